"""Follows the registry: one full read, then watches for changes while this process is a reader."""

from __future__ import annotations

import asyncio
import logging
import random

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import retries
from passpier.routing import registry_mirror, relaying

log = logging.getLogger(__name__)

RETRY_BASE = 0.1
"""Seconds before a failed call is retried; doubled up to `RETRY_MAX`."""

RETRY_MAX = 0.4
RETRY_SHARED_MAX = 2.0
"""Maximum seconds before a retry by one of many processes that all fall back to reading."""

CUT_PAUSE = 0.1
"""Seconds between a watch that was cut and the call that shows whether the registry answers; it
bounds the rate of calls if every watch is cut."""

ROLE_CHECK_INTERVAL = 0.25
"""Seconds between checks whether this process should read."""

ROLE_CHECK_MIN = 0.02
"""Minimum number of seconds between these checks, when the fallback is near."""

ALL_KEYS = ''
"""Prefix of all keys."""


class RegistryFollower:
    """Keeps a `RegistryState` up to date."""

    def __init__(
        self,
        source: registry.Registry,
        registry_state: registry_mirror.RegistryState,
        relay: relaying.Relay,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._registry_state = registry_state
        self._relay = relay
        self._rng = rng
        self._failures = 0
        self._compactions = 0
        """Watches in a row that failed for lack of history."""

        self._needs_full_read = True
        self.reachable = False
        """Whether this process reads the registry and its last call was answered."""

    async def run(self) -> None:
        """Follow the registry until cancelled."""
        while True:
            now = clocks.now()
            if not self._relay.should_read(now):
                self.reachable = False
                self._failures = 0
                fallback_delay = self._relay.compute_fallback_delay(now)
                await asyncio.sleep(min(ROLE_CHECK_INTERVAL, max(ROLE_CHECK_MIN, fallback_delay)))
                continue
            try:
                await self._step()
            except registry.CompactedError as error:
                await self._note_compaction(error)
            except exceptions.StoreError as error:
                await self._note_failure(error)

    async def _step(self) -> None:
        """Read everything, or watch once."""
        if self._needs_full_read:
            reading = await self._source.read(ALL_KEYS)
            self._registry_state.apply_listing(reading, clocks.now())
            self._needs_full_read = False
            self._note_answer()
            return
        wait = self._registry_state.freshness.choose_wait(clocks.now(), self._rng.random())
        try:
            await self._watch(wait)
        except (registry.CompactedError, registry.NoAnswerError):
            raise
        except exceptions.StoreError as error:
            if not self.reachable:
                raise
            await self._check_cut(error)

    async def _watch(self, wait: float) -> None:
        """Wait for changes for at most `wait` seconds, and apply them."""
        changes = await self._source.watch(ALL_KEYS, self._registry_state.revision, wait)
        self._compactions = 0
        now = clocks.now()
        self._registry_state.apply_watch(changes, wait, now)
        self._registry_state.expire(now)
        self._note_answer()
        if changes.items:
            await asyncio.sleep(self._registry_state.freshness.choose_pause(now))

    async def _check_cut(self, error: exceptions.StoreError) -> None:
        """Find out whether the registry has cut a waiting watch, or is away; raises `StoreError`.

        An entry that vanishes beside a cut has been removed; during an outage it may have expired.
        A registry that was silent until the watch timed out was away for long enough for that.
        """
        await asyncio.sleep(CUT_PAUSE)
        await self._watch(0.0)
        log.info('watch of the registry cut', extra={'error': str(error)})

    def _note_answer(self) -> None:
        if not self.reachable:
            self.reachable = True
            log.info(
                'registry reachable',
                extra={
                    'revision': str(self._registry_state.revision),
                    'failures': self._failures,
                },
            )
            if self._failures:
                self._registry_state.catalogue.note_outage(clocks.now())
        self._failures = 0

    async def _note_failure(self, error: exceptions.StoreError) -> None:
        now = clocks.now()
        self._registry_state.catalogue.note_outage(now)
        self._failures += 1
        if self.reachable or self._failures == 1:
            self.reachable = False
            log.warning(
                'registry unreachable',
                extra={
                    'error': str(error),
                    'age': round(self._registry_state.freshness.compute_age(now), 3),
                },
            )
        await self._back_off(self._failures, now)

    async def _note_compaction(self, error: registry.CompactedError) -> None:
        log.warning(
            'registry history compacted, reading everything again', extra={'error': str(error)}
        )
        self._needs_full_read = True
        if self._compactions:
            await self._back_off(self._compactions, clocks.now())
        self._compactions += 1

    async def _back_off(self, failures: int, now: float) -> None:
        pause = retries.compute_backoff(failures, self._rng, RETRY_BASE, RETRY_MAX)
        sharers = self._relay.count_sharers(now)
        await asyncio.sleep(pause if sharers <= 1 else min(RETRY_SHARED_MAX, pause * sharers))
