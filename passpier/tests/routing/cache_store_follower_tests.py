"""Cache store events, read by one process and sent to the others."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from passpier.clients import exchanges
from passpier.core import cache_store_contents, routes
from passpier.daemon import messages
from passpier.routing import cache_store_follower, dialect, pools
from passpier.standins import virtual_time

STORE = '10.0.0.9:80'


class Engines:
    """Stores with many events."""

    def __init__(self) -> None:
        self.events = [dialect.CacheChange(True, 's', f'p{n}') for n in range(5000)]
        self.asked: list[int] = []
        self.is_cut_off = False
        """Whether the stores don't respond to this process, except through a peer."""

        self.peer_reaches = True

    async def read_cache_changes(
        self, address: str, since: int, wait: float
    ) -> dialect.CacheChanges:
        self.asked.append(since)
        if self.is_cut_off:
            raise exchanges.ExchangeError(exchanges.Fault.CONNECT, 'cut off', False)
        await asyncio.sleep(0.01)
        return dialect.CacheChanges(7, len(self.events), False, tuple(self.events[since:]))

    async def report(self, address: str, incarnation: str) -> dialect.Report:
        """Find a path through a peer, as `paths.Paths` does."""
        if not self.peer_reaches:
            raise exchanges.ExchangeError(exchanges.Fault.CONNECT, 'cut off', False)
        self.is_cut_off = False
        return dialect.Report({}, False, 0, 0, 0)


class Link:
    """Keeps handlers and the messages sent."""

    def __init__(self) -> None:
        self.handlers: dict[type, Any] = {}
        self.sent: list[messages.CacheStoreChanges] = []

    def register_handler(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def notify_serving(self, message: messages.CacheStoreChanges) -> None:
        self.sent.append(message)


def make_follower(
    engines: Engines, is_reader: list[bool]
) -> tuple[cache_store_follower.CacheStoreFollower, Link, pools.Pools]:
    known = pools.Pools(10.0)
    store = routes.CacheStore(STORE, 'd0', 1000)
    known.apply_configuration(routes.Configuration(1, cache_stores=(store,)))
    link = Link()
    follower = cache_store_follower.CacheStoreFollower(
        known, cast(Any, engines), engines, cast(Any, link), cast(Any, link), lambda: is_reader[0]
    )
    return follower, link, known


def test_a_successor_continues_where_its_predecessor_ended() -> None:
    async def run() -> None:
        engines = Engines()
        first, sent, _ = make_follower(engines, [True])
        is_reader = [False]
        second, successor, known = make_follower(engines, is_reader)
        tasks = [asyncio.ensure_future(first.run()), asyncio.ensure_future(second.run())]
        await asyncio.sleep(1.0)
        for message in sent.sent:
            successor.handlers[messages.CacheStoreChanges]('first', 'a:1', message)
        held = known.stores.get(STORE)
        assert held is not None
        assert len(held) == 5000
        tasks[0].cancel()
        engines.events.append(dialect.CacheChange(True, 's', 'new'))
        engines.asked.clear()
        is_reader[0] = True
        await asyncio.sleep(2.0)
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert min(engines.asked) == 5000
        assert [len(m.added) for m in successor.sent] == [1]
        assert held.holds_all([cache_store_contents.hash_part('s', 'new')], 0.0)

    virtual_time.run(run())


@pytest.mark.parametrize(('peer_reaches', 'down'), [(True, False), (False, True)])
def test_a_reader_that_is_cut_off_does_not_declare_the_store_down(
    peer_reaches: bool, down: bool
) -> None:
    """All processes stopped to use a store that only the reader didn't reach."""

    async def run() -> None:
        engines = Engines()
        follower, sent, known = make_follower(engines, [True])
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(1.0)
        engines.is_cut_off, engines.peer_reaches = True, peer_reaches
        await asyncio.sleep(3.0)
        task.cancel()
        store = known.stores.get(STORE)
        assert store is not None
        assert store.up is not down
        assert (0 in [m.epoch for m in sent.sent]) is down

    virtual_time.run(run())
