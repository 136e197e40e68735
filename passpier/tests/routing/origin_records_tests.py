"""Origins of streams in the registry, for routers that start after all others have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import pytest

from passpier import clocks
from passpier.clients import registry
from passpier.core import members, stream_origins
from passpier.routing import origin_records, pools, registry_mirror
from passpier.standins import virtual_time
from passpier.tests.routing import fleets

pytestmark = pytest.mark.usefixtures('virtual_clock')

ORIGIN = stream_origins.Origin('s', 'v1', 'r1', 1000)

LIFETIME = 17.0


class Router:
    """The records of one router, and its copy of the registry."""

    def __init__(self, source: fleets.LeaseRegistry, name: str) -> None:
        own = members.Member(name, name, '10.0.0.1', 1, 2, 'd0')
        self.source = source
        self.state = registry_mirror.RegistryState(fleets.Records(), pools.Pools(10.0), 5.0)
        self.membership = members.Membership(own, 0.5, clocks.now())
        self.records = origin_records.OriginRecords(
            cast(registry.Registry, source), self.state, self.membership
        )

    def note(self, stream: str) -> None:
        self.records.note(stream, ORIGIN, clocks.now() + LIFETIME)

    def read(self) -> None:
        """Read the registry."""
        self.state.members.clear()
        self.state.members.update(self.source.items)

    async def run(self, seconds: float) -> None:
        """Write what has changed, several times a second."""
        ends_at = clocks.now() + seconds
        while clocks.now() < ends_at:
            await self.records.write()
            await asyncio.sleep(0.1)


def play(check: Callable[[fleets.LeaseRegistry, Router], Awaitable[None]]) -> None:
    async def run() -> None:
        source = fleets.LeaseRegistry()
        await check(source, Router(source, 'first'))

    virtual_time.run(run())


# Guards against streams that nobody can continue once all routers have ended.
def test_router_that_starts_later_finds_the_origin_of_a_stream() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        first.note('a')
        await first.run(0.2)
        later = Router(source, 'later')
        assert later.records.find('a') is None
        later.read()
        assert later.records.find('a') == ORIGIN
        assert later.records.find('b') is None

    play(check)


# Guards against entries of all replicas in the registry, where a replica's id means its process.
def test_replicas_without_start_times_are_not_recorded() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        for number in range(10):
            begun = stream_origins.Origin('s', 'v1', f'r{number}')
            first.records.note(f's{number}', begun, clocks.now() + LIFETIME)
        await first.run(0.2)
        first.read()
        assert first.records.find('s9') == stream_origins.Origin('s', 'v1')

    play(check)


def test_streams_of_some_time_are_written_together() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        for number in range(100):
            first.note(f's{number}')
            await first.run(0.1)
        assert len(source.items) <= 10.0 / origin_records.GROUP_SECONDS + 1
        assert source.writes <= 10.0 / origin_records.MIN_WRITE_INTERVAL + 1
        first.read()
        assert all(first.records.find(f's{number}') for number in range(99))

    play(check)


def test_keys_are_used_again_once_their_streams_are_over() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        for number in range(200):
            first.note(f's{number}')
            await first.run(0.5)
        assert len(source.items) <= LIFETIME / origin_records.GROUP_SECONDS + 2
        first.read()
        assert first.records.find('s0') is None
        assert first.records.find('s190') == ORIGIN

    play(check)


@pytest.mark.parametrize(('count', 'writes'), [(60, 4), (origin_records.MAX_ROUTERS + 1, 0)])
def test_routers_of_a_large_fleet_write_less_often_or_not_at_all(count: int, writes: int) -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        for number in range(count - 1):
            name = f'm{number}'
            first.membership.add(
                members.Member(name, name, '10.0.0.1', 1, 2, 'd0'), clocks.now(), listed=True
            )
        fleet = first.membership.list_known()
        for number in range(50):
            beats = [members.Beat(m.incarnation, number + 1) for m in fleet]
            first.membership.merge(beats, clocks.now())
            first.note(f's{number}')
            await first.run(0.1)
        assert source.writes == writes

    play(check)


def test_streams_are_recorded_once_the_registry_is_back() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        source.unavailable = True
        first.note('a')
        await first.run(1.0)
        source.unavailable = False
        await first.run(1.0)
        first.read()
        assert first.records.find('a') == ORIGIN

    play(check)


def test_records_are_written_again_after_the_registry_returned_from_an_older_copy() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        first.state.revision = fleets.at(1)
        first.note('a')
        await first.run(1.0)
        source.items.clear()
        first.state.revision = registry.Revision(fleets.TIMELINE + 1, 1)
        await first.run(1.0)
        first.read()
        assert first.records.find('a') == ORIGIN

    play(check)


def test_long_ids_are_not_recorded() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        first.note('x' * (origin_records.MAX_ID_LENGTH + 1))
        await first.run(1.0)
        assert source.writes == 0

    play(check)


# Guards against streams that go on at a version which turned out not to be theirs.
def test_forgotten_streams_are_removed() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        first.note('a')
        first.note('b')
        await first.run(1.0)
        first.records.forget('a')
        await first.run(1.0)
        first.read()
        assert first.records.find('a') is None
        assert first.records.find('b') == ORIGIN

    play(check)


@pytest.mark.parametrize(
    'data', [b'', b'"a"', b'{"a":1}', b'[["s","a"]]', b'["a"]', b'[["a","v",[]]]']
)
def test_invalid_records_are_ignored(data: bytes) -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        item = registry.Item('own/origins/x/0', data, fleets.at(1))
        first.state.members[item.key] = item
        assert first.records.find('a') is None

    play(check)
