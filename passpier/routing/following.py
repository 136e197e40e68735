"""Follows the registry: reads all of it once, then watches for changes while it is its turn."""

from __future__ import annotations

import asyncio
import logging
import random

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import retries
from passpier.routing import knowledge, relaying

log = logging.getLogger(__name__)

RETRY_BASE = 0.1
"""Seconds before a failed call is made again; doubled up to `RETRY_MAX`."""

RETRY_MAX = 0.4
RETRY_SHARED_MAX = 2.0
"""Seconds before a failed call is made again by one of many that all fall back on reading."""

TURN_CHECK = 0.25
"""Seconds between looks at whether this process should read."""

TURN_CHECK_MIN = 0.02
"""Seconds between such looks at the least, when the time to fall back on reading is near."""

GATHER_PAUSE = 0.1
"""Seconds after a change before the next watch: what changes meanwhile comes in one answer."""

EVERYTHING = ''
"""Prefix of all keys."""


class Follower:
    """Keeps a `Knowledge` up to date."""

    def __init__(
        self,
        source: registry.Registry,
        known: knowledge.Knowledge,
        relay: relaying.Relay,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._known = known
        self._relay = relay
        self._rng = rng
        self._failures = 0
        self._whole = True
        self.reachable = False
        """Whether this process reads the registry and got an answer the last time."""

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            now = clocks.now()
            if not self._relay.should_read(now):
                self.reachable = False
                self._failures = 0
                patience = self._relay.compute_patience(now)
                await asyncio.sleep(min(TURN_CHECK, max(TURN_CHECK_MIN, patience)))
                continue
            try:
                await self._step()
            except registry.HistoryGoneError as error:
                log.warning('history gone, reading all again', extra={'error': str(error)})
                self._whole = True
            except exceptions.StoreError as error:
                await self._note_failure(error)

    async def _step(self) -> None:
        """Read everything, or watch once."""
        if self._whole:
            reading = await self._source.read(EVERYTHING)
            self._known.take_reading(reading, clocks.now())
            self._whole = False
            self._note_answer()
            return
        wait = self._known.freshness.choose_wait(clocks.now(), self._rng.random())
        changes = await self._source.watch(EVERYTHING, self._known.revision, wait)
        now = clocks.now()
        self._known.take_changes(changes, wait, now)
        self._known.expire(now)
        self._note_answer()
        if changes.items:
            await asyncio.sleep(GATHER_PAUSE)

    def _note_answer(self) -> None:
        if not self.reachable:
            self.reachable = True
            log.info(
                'registry reached',
                extra={'revision': self._known.revision, 'failures': self._failures},
            )
            if self._failures:
                self._known.catalogue.note_disturbance(clocks.now())
        self._failures = 0

    async def _note_failure(self, error: exceptions.StoreError) -> None:
        now = clocks.now()
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
        pause = retries.compute_backoff(self._failures, self._rng, RETRY_BASE, RETRY_MAX)
        sharers = self._relay.count_sharers(now)
        await asyncio.sleep(pause if sharers <= 1 else min(RETRY_SHARED_MAX, pause * sharers))
