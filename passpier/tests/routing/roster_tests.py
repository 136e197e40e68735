"""Registration of a process while leases expire."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import cast

import pytest

from passpier import clocks
from passpier.clients import registry
from passpier.core import members, rates
from passpier.daemon import peers
from passpier.routing import pools, registry_mirror, roster
from passpier.standins import network, virtual_time
from passpier.tests.routing import fleets

SIZE = 420
WRITES_PER_SECOND = 400

pytestmark = pytest.mark.usefixtures('virtual_clock')


class Registry:
    """Grants and expires leases; `writes` are the times of writing calls."""

    def __init__(self) -> None:
        self.timeline = fleets.TIMELINE
        self.writes: list[float] = []
        self.entries: set[str] = set()

    async def grant(self, ttl: float) -> registry.Lease:
        self.writes.append(clocks.now())
        return registry.Lease(self.timeline, 1)

    async def write(
        self, puts: Sequence[registry.Put], conditions: Sequence[registry.ExpectedRevision] = ()
    ) -> registry.Revision:
        self.writes.append(clocks.now())
        self.entries |= {put.key for put in puts}
        return registry.Revision(self.timeline, 1)

    async def renew(self, lease: registry.Lease) -> None:
        if lease.timeline != self.timeline:
            raise registry.LeaseExpiredError('expired')


def make_state() -> registry_mirror.RegistryState:
    return registry_mirror.RegistryState(fleets.Records(), pools.Pools(10.0), 5.0)


def make_roster(
    number: int,
    fleet: list[members.Member],
    state: registry_mirror.RegistryState | None = None,
) -> roster.Roster:
    rng = random.Random(number)
    link = network.Network(rng).connect(fleet[number])
    state = state or make_state()
    made = roster.Roster(fleet[number], state, cast(peers.Peers, link), rates.Meter(0.0), rng)
    for member in fleet:
        made.membership.add(member, clocks.now())
    beats = [members.Beat(m.incarnation, 10**6) for m in fleet if m != fleet[number]]
    made.membership.merge(beats, clocks.now())
    return made


def test_a_large_fleet_registers_again_within_the_rate_of_the_registry() -> None:
    """Guards against all processes writing their entries at once after a return of the registry."""

    async def check() -> None:
        fleet = [
            members.Member(f'vm-{n}', f'i{n:03}', '10.0.0.1', n, 1000 + n, f'd{n % 7}')
            for n in range(SIZE)
        ]
        source = Registry()
        rosters = [make_roster(n, fleet) for n in range(SIZE)]
        tasks = [
            asyncio.ensure_future(r.run_registration(cast(registry.Registry, source)))
            for r in rosters
        ]
        await asyncio.sleep(1.0)
        source.timeline += 1
        source.entries.clear()
        source.writes.clear()
        returned_at = clocks.now()
        await asyncio.sleep(roster.MEMBER_LEASE / 3)
        await asyncio.sleep(SIZE / roster.REGISTRATIONS_PER_SECOND + 1.0)
        for task in tasks:
            task.cancel()
        assert len(source.entries) == SIZE
        counts = [0] * 20
        for at in source.writes:
            counts[int(at - returned_at)] += 1
        assert max(counts) <= WRITES_PER_SECOND

    virtual_time.run(check())
