"""Tracks what the shared cache stores hold: one process reads their events and tells the others."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from passpier.clients import exchanges
from passpier.core import cache_store_contents
from passpier.daemon import messages, peers
from passpier.routing import dialect, pools, roster

log = logging.getLogger(__name__)

READ_INTERVAL = 0.3
"""Seconds between two reads: a read that returns without waiting for events is billed."""

STANDBY_INTERVAL = 0.6
"""Seconds between checks whether this process should read."""

READ_WAIT = 1.0
"""Maximum number of seconds for which a read waits for events."""

FAILURES_TO_DOWN = 2
"""Consecutive failed reads after which a store counts as down."""


class Paths(Protocol):
    """The paths to cache stores."""

    async def report(self, address: str, incarnation: str) -> dialect.Report:
        """Ask by any path, and keep to the one by which an answer comes."""


class _StoreReader(msgspec.Struct):
    """How far the events of one store have been read."""

    next: int = 0
    failures: int = 0
    task: asyncio.Task[None] | None = None


class CacheStoreFollower:
    """Keeps the view of the cache stores' contents up to date."""

    def __init__(
        self,
        replica_pools: pools.Pools,
        engines: dialect.Engines,
        paths: Paths,
        router_roster: roster.Roster,
        link: peers.Peers,
        is_reader: Callable[[], bool],
    ) -> None:
        self._pools = replica_pools
        self._engines = engines
        self._paths = paths
        self._roster = router_roster
        self._is_reader = is_reader
        self._readers: dict[str, _StoreReader] = {}
        link.register_handler(messages.CacheStoreChanges, self._handle_store_changes)

    async def run(self) -> None:
        """Read events while this process is the reader, until cancelled."""
        try:
            while True:
                reads = self._is_reader()
                if reads:
                    self._start_reads()
                await asyncio.sleep(READ_INTERVAL if reads else STANDBY_INTERVAL)
        finally:
            for reader in self._readers.values():
                if reader.task is not None:
                    reader.task.cancel()

    def _start_reads(self) -> None:
        """Read each store in a task of its own: reads wait, and a store may not respond."""
        for address in self._pools.stores.addresses:
            reader = self._readers.setdefault(address, _StoreReader())
            if reader.task is None or reader.task.done():
                reader.task = asyncio.ensure_future(self._read(address, reader))

    async def _read(self, address: str, reader: _StoreReader) -> None:
        try:
            batch = await self._engines.read_cache_changes(address, reader.next, READ_WAIT)
        except exchanges.ExchangeError as error:
            await self._find_path(address)
            self._note_failure(address, reader, str(error))
            return
        reader.failures = 0
        store = self._pools.stores.get(address)
        if store is None:
            return
        if batch.epoch != store.epoch:
            log.info('cache store restarted', extra={'address': address, 'epoch': batch.epoch})
        if batch.lost:
            log.info('cache store events lost', extra={'address': address, 'next': batch.next})
        reader.next = batch.next
        added = [cache_store_contents.hash_part(c.salt, c.part) for c in batch.changes if c.added]
        removed = [
            cache_store_contents.hash_part(c.salt, c.part) for c in batch.changes if not c.added
        ]
        message = messages.CacheStoreChanges(address, batch.epoch, batch.next, added, removed)
        self._apply(message)
        if batch.changes:
            self._roster.notify_serving(message)

    async def _find_path(self, address: str) -> None:
        """Have the next read go through a peer, if the store is out of reach of this VM only."""
        try:
            await self._paths.report(address, '')
        except exchanges.ExchangeError as error:
            log.info('no path to a cache store', extra={'address': address, 'error': str(error)})

    def _note_failure(self, address: str, reader: _StoreReader, error: str) -> None:
        reader.failures += 1
        if reader.failures == FAILURES_TO_DOWN:
            log.warning('cache store unreachable', extra={'address': address, 'error': error})
            message = messages.CacheStoreChanges(address, 0, reader.next, [], [])
            self._apply(message)
            self._roster.notify_serving(message)

    def _handle_store_changes(
        self, sender: str, address: str, message: messages.CacheStoreChanges
    ) -> None:
        # The next reader continues from here: all events that a store still keeps would fill a
        # link.
        self._readers.setdefault(message.store, _StoreReader()).next = message.next
        self._apply(message)

    def _apply(self, message: messages.CacheStoreChanges) -> None:
        store = self._pools.stores.get(message.store)
        if store is None:
            return
        up = message.epoch != 0
        if up != store.up:
            text = 'cache store in use' if up else 'cache store not in use'
            log.info(text, extra={'address': message.store, 'epoch': message.epoch})
        store.up = up
        if up:
            store.begin_epoch(message.epoch)
            store.apply(message.added, message.removed)
