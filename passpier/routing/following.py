"""Follows the registry: reads all of it once, then watches for changes."""

from __future__ import annotations

import asyncio
import logging
import random
import time

from passpier import exceptions
from passpier.clients import registry
from passpier.core import retries
from passpier.routing import knowledge

log = logging.getLogger(__name__)

RETRY_BASE = 0.1
"""Seconds before a failed call is made again; doubled up to `RETRY_MAX`."""

RETRY_MAX = 0.4
EVERYTHING = ''
"""Prefix of all keys."""


class Follower:
    """Keeps a `Knowledge` up to date."""

    def __init__(
        self, source: registry.Registry, known: knowledge.Knowledge, rng: random.Random
    ) -> None:
        self._source = source
        self._known = known
        self._rng = rng
        self._failures = 0
        self.reachable = False

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                reading = await self._source.read(EVERYTHING)
                self._known.take_reading(reading, time.monotonic())
                self._note_answer()
                await self._watch()
            except registry.HistoryGoneError as error:
                log.warning('history gone, reading all again', extra={'error': str(error)})
            except exceptions.StoreError as error:
                await self._note_failure(error)

    async def _watch(self) -> None:
        while True:
            wait = self._known.freshness.choose_wait(time.monotonic(), self._rng.random())
            try:
                changes = await self._source.watch(EVERYTHING, self._known.revision, wait)
            except registry.HistoryGoneError:
                raise
            except exceptions.StoreError as error:
                await self._note_failure(error)
                continue
            now = time.monotonic()
            self._known.take_changes(changes, wait, now)
            self._known.expire(now)
            self._note_answer()

    def _note_answer(self) -> None:
        if not self.reachable:
            self.reachable = True
            log.info(
                'registry reached',
                extra={'revision': self._known.revision, 'failures': self._failures},
            )
            if self._failures:
                self._known.catalogue.note_disturbance(time.monotonic())
        self._failures = 0

    async def _note_failure(self, error: exceptions.StoreError) -> None:
        now = time.monotonic()
        self._known.catalogue.note_disturbance(now)
        self._failures += 1
        if self.reachable or self._failures == 1:
            self.reachable = False
            log.warning(
                'registry lost',
                extra={
                    'error': str(error),
                    'age': round(self._known.freshness.compute_age(now), 3),
                },
            )
        await asyncio.sleep(
            retries.compute_backoff(self._failures, self._rng, RETRY_BASE, RETRY_MAX)
        )
