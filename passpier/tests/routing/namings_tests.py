"""For how long processes use outdated weights, whoever names, tells, starts or stands still."""

from __future__ import annotations

import asyncio
import functools
import random

import pytest

from passpier import clocks
from passpier.core import namings
from passpier.tests.routing import fleets

pytestmark = pytest.mark.usefixtures('virtual_clock')

PROOF_AGE = 1.0
"""Seconds that the youngest proof of some process is old at most while readers are sound."""

CONTACT = 3.0
"""Seconds without disturbance after which a process is bound by that."""


class Weights:
    """Names versions, and tells which replicas are outdated; all stay at the weights they have."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.named_at: dict[int, float] = {}

    def name(self, version: int) -> None:
        self.fleet.registry.put('weights/model', str(version).encode())
        self.named_at[version] = clocks.now()

    def put(self, version: int) -> None:
        self.fleet.registry.put(f'replicas/r{version}', str(version).encode())

    async def watch(self, seconds: float) -> None:
        """Check for so long that no process uses a replica whose weights are outdated."""
        ends_at = clocks.now() + seconds
        while clocks.now() < ends_at:
            await asyncio.sleep(0.2)
            self.check()

    def check(self) -> None:
        now = clocks.now()
        outdated = {f'r{v}' for v in range(1, max(self.named_at)) if self.is_outdated(v, now)}
        for process in self.fleet.processes:
            frozen = process.membership.own.peer in self.fleet.network.cut
            if frozen or process.known.table is None:
                continue
            if now - process.disturbed_at >= CONTACT:
                assert not outdated & process.list_used(), (now, process.disturbed_at)

    def is_outdated(self, version: int, now: float) -> bool:
        newer = min(at for v, at in self.named_at.items() if v > version)
        return now - newer > fleets.VERSION_BOUND


async def begin(fleet: fleets.Fleet) -> Weights:
    """Let a fleet come to know one version, and a replica that has it."""
    weights = Weights(fleet)
    weights.name(1)
    weights.put(1)
    await asyncio.sleep(3.0)
    return weights


def test_processes_that_start_use_no_outdated_weights() -> None:
    """Whoever starts reads only the newest naming, and not how long ago any of them was.

    Its peers tell it, if one of them has seen them; otherwise it must not count on its luck.
    """

    async def check(fleet: fleets.Fleet, restarted: int) -> None:
        weights = Weights(fleet)
        for version in range(1, 5):
            weights.put(version)
        await asyncio.sleep(1.0)
        weights.name(2)
        await weights.watch(5.5)
        weights.name(3)
        await weights.watch(2.5)
        for number in range(restarted):
            fleet.restart(number)
        await weights.watch(4.0)
        weights.name(4)
        await weights.watch(20.0)

    for restarted in (1, 4, 8):
        for seed in range(4):
            fleets.play(8, seed, functools.partial(check, restarted=restarted))


@pytest.mark.parametrize('still', [5.0, 8.0])
def test_who_stood_still_at_a_naming_does_not_date_it(still: float) -> None:
    """It learnt of the naming when it went on, and took that for the time of it.

    All others had just started, so that it was the only one that seemed to know.
    """

    async def check(fleet: fleets.Fleet) -> None:
        weights = await begin(fleet)
        fleet.freeze(0)
        await asyncio.sleep(0.5)
        weights.name(2)
        await asyncio.sleep(still)
        for number in range(1, len(fleet.processes)):
            fleet.restart(number)
        fleet.thaw(0)
        await weights.watch(14.0)

    for seed in range(4):
        fleets.play(8, seed, check)


def test_who_starts_among_others_uses_old_weights_as_long_as_they_do() -> None:
    async def check(fleet: fleets.Fleet) -> None:
        weights = await begin(fleet)
        weights.name(2)
        await asyncio.sleep(3.0)
        fleet.restart(0)
        await asyncio.sleep(fleets.VERSION_BOUND - 3.0 - namings.OLD_WEIGHTS_MARGIN - PROOF_AGE)
        assert all('r1' in p.list_used() for p in fleet.processes)
        await asyncio.sleep(PROOF_AGE)
        assert not any('r1' in p.list_used() for p in fleet.processes)

    for seed in range(4):
        fleets.play(8, seed, check)


def test_slow_messages_hardly_move_a_naming_into_the_past() -> None:
    """What is told to and fro must not drift, or old weights would be given up too early."""

    async def check(fleet: fleets.Fleet) -> None:
        weights = await begin(fleet)
        fleet.network.delay = (0.1, 0.4)
        weights.name(2)
        await asyncio.sleep(fleets.VERSION_BOUND)
        for process in fleet.processes:
            outdated = process.known.pools.namings['model'].get_outdated(1)
            assert outdated is not None
            assert 0.0 <= weights.named_at[2] - outdated.not_before <= PROOF_AGE

    fleets.play(8, 1, check)


def test_nobody_uses_outdated_weights_whatever_is_cut_off_or_named() -> None:
    """Namings come quickly; processes are told by others, miss some, and start again."""

    async def check(fleet: fleets.Fleet) -> None:
        rng = random.Random(fleet.rng.random())
        weights = await begin(fleet)
        version = 1
        for _ in range(30):
            version += rng.randint(1, 2)
            weights.name(version)
            weights.put(version - rng.randint(0, 2))
            trouble_of_processes(fleet, rng)
            await weights.watch(rng.uniform(0.1, 6.0))

    for seed in range(8):
        fleets.play(8, seed, check)


def trouble_of_processes(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Restart or freeze processes, forget the registry's history, cut one off from it."""
    for number, process in enumerate(fleet.processes):
        process.view.cut = False
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
        fleet.registry.forgotten = fleet.registry.revision
    elif draw < 0.8:
        rng.choice(fleet.processes).view.cut = True
