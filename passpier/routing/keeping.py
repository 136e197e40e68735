"""Follows the shared cache store: one process reads its events and tells the others."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from passpier.clients import exchanges
from passpier.core import kept
from passpier.daemon import messages, peers
from passpier.routing import dialect, pools, roster

log = logging.getLogger(__name__)

READ_INTERVAL = 0.3
"""Seconds between two readings: a reading that need not wait for events is priced."""

READ_WAIT = 1.0
"""Seconds that a reading may wait for events."""

FAILURES_TO_DOWN = 2
"""Failed readings in a row after which the store counts as down."""


class Keeper:
    """Keeps the view of the cache store up to date."""

    def __init__(
        self,
        known: pools.Pools,
        engines: dialect.Engines,
        members: roster.Roster,
        link: peers.Peers,
        is_reader: Callable[[], bool],
    ) -> None:
        self._pools = known
        self._engines = engines
        self._roster = members
        self._is_reader = is_reader
        self._next = 0
        self._failures = 0
        link.handle(messages.Kept, self._take)

    async def run(self) -> None:
        """Read while this process is the one that does, until cancelled."""
        while True:
            address = self._pools.get_cache_store()
            if address and self._is_reader():
                await self._read(address)
            await asyncio.sleep(READ_INTERVAL)

    async def _read(self, address: str) -> None:
        try:
            told = await self._engines.read_cache_changes(address, self._next, READ_WAIT)
        except exchanges.ExchangeError as error:
            self._note_failure(address, str(error))
            return
        self._failures = 0
        known = self._pools.kept
        if told.epoch != known.epoch:
            log.info('cache store restarted', extra={'address': address, 'epoch': told.epoch})
        if told.lost:
            log.info('cache store events lost', extra={'address': address, 'next': told.next})
        self._next = told.next
        added = [kept.identify(c.salt, c.part) for c in told.changes if c.added]
        removed = [kept.identify(c.salt, c.part) for c in told.changes if not c.added]
        message = messages.Kept(told.epoch, added, removed)
        self._apply(message)
        if told.changes:
            self._roster.tell(message)

    def _note_failure(self, address: str, error: str) -> None:
        self._failures += 1
        if self._failures == FAILURES_TO_DOWN:
            log.warning('cache store lost', extra={'address': address, 'error': error})
            message = messages.Kept(0, [], [])
            self._apply(message)
            self._roster.tell(message)

    def _take(self, sender: str, address: str, message: messages.Kept) -> None:
        self._apply(message)

    def _apply(self, message: messages.Kept) -> None:
        known = self._pools.kept
        up = message.epoch != 0
        if up != known.up:
            log.info('cache store in use' if up else 'cache store not in use')
        known.up = up
        if up:
            known.begin_epoch(message.epoch)
            known.apply(message.added, message.removed)
