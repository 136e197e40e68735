"""Software versions of services in the registry, for routers that start after all have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

import pytest

from passpier import clocks
from passpier.clients import registry
from passpier.core import catalogue, members, routes
from passpier.routing import pools, registry_mirror, version_records
from passpier.standins import virtual_time
from passpier.tests.routing import fleets

pytestmark = pytest.mark.usefixtures('virtual_clock')

SERVICE = 's'
LIFETIME = 17.0


class Router:
    """The records of one router, and its copy of the registry."""

    def __init__(self, source: fleets.LeaseRegistry, name: str) -> None:
        own = members.Member(name, name, '10.0.0.1', 1, 2, 'd0')
        self.source = source
        self.state = registry_mirror.RegistryState(fleets.Records(), pools.Pools(10.0), 5.0)
        self.state.pools.apply_configuration(
            routes.Configuration(1, services={SERVICE: routes.Service(SERVICE, 100)})
        )
        self.records = version_records.VersionRecords(
            cast(registry.Registry, source),
            self.state,
            members.Membership(own, 0.5, clocks.now()),
            self,
        )
        self.is_isolated = False
        self.missed: list[tuple[str, str]] = []
        """Replicas in the registry that this router doesn't know yet, with their versions."""

        self.records.note_stream(SERVICE, LIFETIME)

    async def prove(self, since: float) -> bool:
        """Catch up with the registry."""
        while self.missed and not self.is_isolated:
            self.add_replica(*self.missed.pop())
        return not self.is_isolated

    def add_replica(self, id: str, version: str) -> None:
        entry = catalogue.Entry(id, SERVICE, f'{id}:1', 'd0', 8, False, {}, software=version)
        self.state.pools.apply_change(catalogue.Change(id, entry, 'recorded'))

    def remove_replica(self, id: str) -> None:
        self.state.pools.apply_change(catalogue.Change(id, None, 'entry removed'))

    def read(self) -> None:
        """Read the registry."""
        self.state.members.clear()
        self.state.members.update(self.source.items)

    async def run(self, seconds: float) -> None:
        """Follow the registry, and update it, several times a second."""
        ends_at = clocks.now() + seconds
        while clocks.now() < ends_at:
            self.read()
            await self.records.write()
            await asyncio.sleep(0.1)
        self.read()


def play(check: Callable[[fleets.LeaseRegistry, Router], Awaitable[None]]) -> None:
    async def run() -> None:
        source = fleets.LeaseRegistry()
        first = Router(source, 'first')
        first.add_replica('r1', 'v1')
        await check(source, first)

    virtual_time.run(run())


def test_only_version_is_recorded_once_it_was_seen_for_as_long_as_streams_last() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        await first.run(LIFETIME - 1.0)
        assert first.records.find_only_version(SERVICE) is None
        await first.run(2.0)
        assert first.records.find_only_version(SERVICE) == 'v1'
        await first.run(60.0)
        assert source.writes == 1

    play(check)


# Guards against streams of a second version that pass for some of the first one.
def test_second_version_is_recorded_at_once_also_by_a_router_that_has_just_started() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        await first.run(LIFETIME + 1.0)
        later = Router(source, 'later')
        later.read()
        assert later.records.find_only_version(SERVICE) == 'v1'
        later.add_replica('r1', 'v1')
        later.add_replica('r2', 'v2')
        await later.run(0.2)
        assert later.records.get_versions(SERVICE) == {'v1', 'v2'}

    play(check)


def test_version_is_dropped_once_it_has_been_gone_for_as_long_as_streams_last() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        first.add_replica('r2', 'v2')
        await first.run(LIFETIME + 1.0)
        first.remove_replica('r1')
        await first.run(LIFETIME - 1.0)
        assert first.records.get_versions(SERVICE) == {'v1', 'v2'}
        await first.run(2.0)
        assert first.records.find_only_version(SERVICE) == 'v2'

    play(check)


def test_router_that_has_just_started_drops_no_version() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        first.add_replica('r2', 'v2')
        await first.run(LIFETIME + 1.0)
        later = Router(source, 'later')
        later.add_replica('r2', 'v2')
        await later.run(LIFETIME - 1.0)
        assert later.records.get_versions(SERVICE) == {'v1', 'v2'}

    play(check)


# Guards against a record that a router narrows which has not seen the newest version yet.
def test_router_that_has_seen_less_does_not_overwrite_a_newer_record() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        first.add_replica('r2', 'v2')
        await first.run(LIFETIME + 1.0)
        first.remove_replica('r2')
        stale = Router(source, 'stale')
        stale.read()
        stale.add_replica('r1', 'v1')
        await asyncio.sleep(LIFETIME + 1.0)
        first.add_replica('r3', 'v3')
        await first.run(1.0)
        await stale.records.write()
        first.read()
        assert 'v3' in first.records.get_versions(SERVICE)

    play(check)


def test_unknown_version_rules_out_an_only_one() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        first.add_replica('r2', '')
        await first.run(LIFETIME + 1.0)
        assert first.records.find_only_version(SERVICE) is None

    play(check)


def test_failed_writes_are_repeated_once_a_second() -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        source.unavailable = True
        await first.run(LIFETIME + 5.0)
        source.unavailable = False
        await first.run(version_records.TURN_SECONDS + 0.2)
        assert first.records.find_only_version(SERVICE) == 'v1'

    play(check)


# Guards against a record that lacks a version because its writer hasn't heard of it yet.
@pytest.mark.parametrize('is_isolated', [False, True])
@pytest.mark.parametrize('has_record', [False, True])
def test_router_that_is_behind_does_not_leave_out_a_version(
    is_isolated: bool, has_record: bool
) -> None:
    async def check(source: fleets.LeaseRegistry, first: Router) -> None:
        if has_record:
            first.add_replica('r2', 'v2')
            await first.run(LIFETIME + 1.0)
            first.remove_replica('r2')
        await first.run(LIFETIME - 0.5)
        first.is_isolated = is_isolated
        first.missed.append(('r3', 'v2'))
        await first.run(2.0)
        versions = first.records.get_versions(SERVICE)
        assert versions == ({'v1', 'v2'} if has_record or not is_isolated else frozenset())

    play(check)
