"""How long processes use outdated weights, while processes start, freeze and lose connections."""

from __future__ import annotations

import asyncio
import functools
import random

import pytest

from passpier import clocks
from passpier.core import members, weight_releases
from passpier.tests.routing import fleets

pytestmark = pytest.mark.usefixtures('virtual_clock')

FRESHNESS_AGE = 1.0
"""Maximum age in seconds of the freshest state of a process while readers work."""

RECOVERY_SECONDS = 3.0
"""Seconds after a fault from which a process is held to the bound."""


class Weights:
    """Releases versions, and knows which replicas are outdated; no replica loads new weights."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.released_at: dict[int, float] = {}

    def release(self, version: int) -> None:
        self.fleet.registry.put('weights/model', str(version).encode())
        self.released_at[version] = clocks.now()

    def put(self, version: int) -> None:
        self.fleet.registry.put(f'replicas/r{version}', str(version).encode())

    async def check_for(self, seconds: float) -> None:
        """Check for some seconds that no process uses a replica with outdated weights."""
        ends_at = clocks.now() + seconds
        while clocks.now() < ends_at:
            await asyncio.sleep(0.2)
            self.check()

    def check(self) -> None:
        now = clocks.now()
        outdated = {f'r{v}' for v in range(1, max(self.released_at)) if self.is_outdated(v, now)}
        for process in self.fleet.processes:
            frozen = process.membership.own.peer in self.fleet.network.cut
            if frozen or process.known.table is None:
                continue
            if now - process.disturbed_at >= RECOVERY_SECONDS:
                assert not outdated & process.list_used(), (now, process.disturbed_at)

    def is_outdated(self, version: int, now: float) -> bool:
        newer = min(at for v, at in self.released_at.items() if v > version)
        return now - newer > fleets.VERSION_BOUND


async def begin(fleet: fleets.Fleet) -> Weights:
    """Let a fleet learn of one version, and of a replica that has it."""
    weights = Weights(fleet)
    weights.release(1)
    weights.put(1)
    await asyncio.sleep(3.0)
    return weights


@pytest.mark.parametrize('seed', range(10))
def test_a_process_that_starts_soon_learns_release_times_from_the_few_that_know_them(
    seed: int,
) -> None:
    """Guards against asking one process at a time while most have just ended.

    One other process still runs, and is leaving. Until it is asked, outdated weights are used.
    """

    async def check(fleet: fleets.Fleet) -> None:
        weights = await begin(fleet)
        weights.release(2)
        await asyncio.sleep(3.0)
        for number in range(2, 8):
            fleet.freeze(number)
        fleet.restart(0)
        started = fleet.processes[0]
        beats = [
            members.Beat(p.membership.own.incarnation, 9, leaving=True) for p in fleet.processes
        ]
        started.membership.merge(beats, clocks.now())
        await asyncio.sleep(0.6)
        assert started.known.pools.releases['model'].known[-1].not_before > 0.0

    fleets.run_fleet(8, seed, check)


def test_processes_that_start_use_no_outdated_weights() -> None:
    """A starting process reads only the newest release, without the time of any.

    Peers that saw the releases tell it the times; without such a peer it must not rely on luck.
    """

    async def check(fleet: fleets.Fleet, restarted: int) -> None:
        weights = Weights(fleet)
        for version in range(1, 5):
            weights.put(version)
        await asyncio.sleep(1.0)
        weights.release(2)
        await weights.check_for(5.5)
        weights.release(3)
        await weights.check_for(2.5)
        for number in range(restarted):
            fleet.restart(number)
        await weights.check_for(4.0)
        weights.release(4)
        await weights.check_for(20.0)

    for restarted in (1, 4, 8):
        for seed in range(4):
            fleets.run_fleet(8, seed, functools.partial(check, restarted=restarted))


@pytest.mark.parametrize('frozen_seconds', [5.0, 8.0])
def test_a_process_frozen_during_a_release_does_not_misdate_it(frozen_seconds: float) -> None:
    """A frozen process took the time at which it resumed for the time of a release.

    All others had just started, so it was the only one that seemed to know the time.
    """

    async def check(fleet: fleets.Fleet) -> None:
        weights = await begin(fleet)
        fleet.freeze(0)
        await asyncio.sleep(0.5)
        weights.release(2)
        await asyncio.sleep(frozen_seconds)
        for number in range(1, len(fleet.processes)):
            fleet.restart(number)
        fleet.thaw(0)
        await weights.check_for(14.0)

    for seed in range(4):
        fleets.run_fleet(8, seed, check)


def test_a_restarted_process_uses_old_weights_as_long_as_its_peers() -> None:
    async def check(fleet: fleets.Fleet) -> None:
        weights = await begin(fleet)
        weights.release(2)
        await asyncio.sleep(3.0)
        fleet.restart(0)
        await asyncio.sleep(
            fleets.VERSION_BOUND - 3.0 - weight_releases.OLD_WEIGHTS_MARGIN - FRESHNESS_AGE
        )
        assert all('r1' in p.list_used() for p in fleet.processes)
        await asyncio.sleep(FRESHNESS_AGE)
        assert not any('r1' in p.list_used() for p in fleet.processes)

    for seed in range(4):
        fleets.run_fleet(8, seed, check)


def test_slow_messages_hardly_shift_a_release_time() -> None:
    """Repeated exchange between peers must not shift a release time, or weights expire early."""

    async def check(fleet: fleets.Fleet) -> None:
        weights = await begin(fleet)
        fleet.network.delay = (0.1, 0.4)
        weights.release(2)
        await asyncio.sleep(fleets.VERSION_BOUND)
        for process in fleet.processes:
            outdated = process.known.pools.releases['model'].get_outdated(1)
            assert outdated is not None
            assert 0.0 <= weights.released_at[2] - outdated.not_before <= FRESHNESS_AGE

    fleets.run_fleet(8, 1, check)


def test_no_process_uses_outdated_weights_under_random_faults() -> None:
    """Releases in quick succession, while processes miss messages, restart and freeze."""

    async def check(fleet: fleets.Fleet) -> None:
        rng = random.Random(fleet.rng.random())
        weights = await begin(fleet)
        version = 1
        for _ in range(30):
            version += rng.randint(1, 2)
            weights.release(version)
            weights.put(version - rng.randint(0, 2))
            inject_faults(fleet, rng)
            await weights.check_for(rng.uniform(0.1, 6.0))

    for seed in range(8):
        fleets.run_fleet(8, seed, check)


def inject_faults(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Restart or freeze processes, compact the registry's history, isolate one process from it."""
    for number, process in enumerate(fleet.processes):
        process.connection.cut = False
        if process.membership.own.peer in fleet.network.cut:
            fleet.thaw(number)
    draw = rng.random()
    if draw < 0.15:
        fleet.freeze(rng.randrange(len(fleet.processes)))
    if draw < 0.3:
        for number in rng.sample(range(len(fleet.processes)), rng.choice([1, 1, 7])):
            if fleet.processes[number].membership.own.peer not in fleet.network.cut:
                fleet.restart(number)
    elif draw < 0.5:
        fleet.registry.compacted_at = fleet.registry.number
    elif draw < 0.8:
        rng.choice(fleet.processes).connection.cut = True
