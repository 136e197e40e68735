"""Requests that crash their replicas, in a simulated fleet in virtual time.

Routers lose messages, are partitioned, and restart with no state; replicas also crash for other
reasons. The tests count how often a harmful request is still sent after its third crash, once all
routers can know of it, and how many harmless requests are refused.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import random
from collections.abc import Iterator, Sequence
from typing import cast

import pytest

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import members, rendezvous, replica_processes
from passpier.daemon import peers, suspects
from passpier.routing import crash_records, pools, registry_mirror
from passpier.standins import network, virtual_time
from passpier.tests.routing import fleets

SYNC_SECONDS = 3.0
"""Seconds in which a router learns what others know, after its start and after a crash."""

MAX_LATE_SENDS = 3
"""Sends of a request that are allowed after its third crash, once that can be known."""

DEADLY = 1 << 40
"""Requests with fingerprints from this one on crash their replicas."""

RUN_SECONDS = 0.3
CRASH_AFTER = 0.1
RESTART_SECONDS = 3.0
ATTEMPTS = 2
DETECT_SECONDS = 0.005
"""Seconds that a router takes to detect that a replica has crashed."""

KNOWN_AFTER = (0.05, 0.5)
"""Minimum and maximum seconds until a router sees a write to the registry."""

ISOLATED_KNOWN_AFTER = (0.2, 2.0)
"""The same for a router that is isolated from the others."""


@dataclasses.dataclass
class Replica:
    """One replica; `ended` is set when its current process ends."""

    id: str
    born: int = 1
    up: bool = True
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        return replica_processes.ReplicaProcess(self.id, self.born)

    def crash(self) -> None:
        if self.up:
            self.up = False
            self.ended.set()
            asyncio.get_running_loop().call_later(RESTART_SECONDS, self.restart)

    def restart(self) -> None:
        self.born += 1
        self.up = True
        self.ended = asyncio.Event()


@dataclasses.dataclass
class Send:
    """One request that reached a replica."""

    at: float
    connected: bool
    process: replica_processes.ReplicaProcess


class Router:
    """One router, and when it was started."""

    def __init__(self, fleet: Fleet, own: members.Member) -> None:
        self.own = own
        self.started_at = clocks.now()
        self.state = registry_mirror.RegistryState(fleets.Records(), pools.Pools(10.0), 5.0)
        membership = members.Membership(own, 1e6, clocks.now())
        for other in fleet.members:
            membership.add(other, clocks.now())
        link = cast(peers.Peers, fleet.network.connect(own))
        self.suspects = suspects.SuspectRequests(
            membership, link, fleet.has_ended, lambda: membership.choose_targets(fleet.rng)
        )
        source = cast(registry.Registry, fleet)
        self.marks = crash_records.CrashRecords(source, self.state, self.suspects, own.incarnation)
        self.tasks = [
            asyncio.ensure_future(self.suspects.run()),
            asyncio.ensure_future(self.marks.run()),
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Routers and replicas; also stands in for the registry."""

    def __init__(self, seed: int, routers: int = 6, replicas: int = 5) -> None:
        self.rng = random.Random(seed)
        self.network = network.Network(self.rng)
        self.members = [
            members.Member(f'vm-{n}', f'i{n:03}', '10.0.0.1', n, 1000 + n, f'd{n % 3}')
            for n in range(routers)
        ]
        self.replicas = [Replica(f'r{n}') for n in range(replicas)]
        self.items: dict[str, registry.Item] = {}
        self.revision = registry.NO_REVISION
        self.routers = [Router(self, m) for m in self.members]
        self.sends: dict[int, list[Send]] = collections.defaultdict(list)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.requests: list[asyncio.Task[None]] = []

    async def grant(self, ttl: float) -> registry.Lease:
        return registry.Lease(1, 1)

    async def write(
        self, puts: Sequence[registry.Put], conditions: Sequence[registry.ExpectedRevision] = ()
    ) -> registry.Revision:
        await asyncio.sleep(0.01)
        if any(c.key in self.items for c in conditions):
            raise exceptions.ConflictError('exists')
        self.revision = registry.Revision(1, self.revision.number + 1)
        for put in puts:
            self.items[put.key] = registry.Item(put.key, put.data, self.revision)
        for router in self.routers:
            isolated = router.own.peer in self.network.cut
            delay = self.rng.uniform(*(ISOLATED_KNOWN_AFTER if isolated else KNOWN_AFTER))
            asyncio.get_running_loop().call_later(delay, router.state.members.update, self.items)
        return self.revision

    async def has_ended(self, process: replica_processes.ReplicaProcess) -> bool:
        await asyncio.sleep(DETECT_SECONDS)
        (replica,) = (r for r in self.replicas if r.id == process.id)
        return not replica.up or replica.born != process.started_ms

    def restart(self, number: int) -> None:
        self.routers[number].stop()
        self.routers[number] = Router(self, self.members[number])
        # A router accepts requests only after reading the registry.
        self.routers[number].state.members.update(self.items)

    def isolate(self, numbers: set[int]) -> None:
        """Isolate some routers from all others; they still reach the replicas and the registry."""
        self.network.cut |= {self.members[n].peer for n in numbers}

    def heal(self) -> None:
        self.network.cut.clear()

    def send(self, fingerprint: int) -> None:
        self.requests.append(asyncio.ensure_future(self._send(fingerprint)))

    async def _send(self, fingerprint: int) -> None:
        router = self.rng.choice(self.routers)
        tried: set[str] = set()
        for _ in range(ATTEMPTS):
            assessment = await router.suspects.assess_before_send(fingerprint)
            if assessment.refused_for is not None:
                self.outcomes['refused'] += fingerprint < DEADLY
                return
            up = [r for r in self.replicas if r.up and r.id not in tried]
            if not up:
                self.outcomes['no replica'] += fingerprint < DEADLY
                return
            chosen = self.rng.choice(up)
            if assessment.is_suspect:
                chosen = max(up, key=lambda r: rendezvous.compute_weight(str(fingerprint), r.id))
            tried.add(chosen.id)
            process = chosen.process
            connected = clocks.now() - router.started_at > SYNC_SECONDS
            self.sends[fingerprint].append(Send(clocks.now(), connected, process))
            router.suspects.begin(fingerprint, assessment, 1.0)
            succeeded = await self._run(fingerprint, chosen)
            router.suspects.end(fingerprint)
            if succeeded:
                router.suspects.note_success(fingerprint)
                self.outcomes['answered'] += 1
                return
            router.suspects.note_disconnect(fingerprint, process)
        self.outcomes['failed'] += fingerprint < DEADLY

    async def _run(self, fingerprint: int, replica: Replica) -> bool:
        ended = replica.ended
        try:
            async with asyncio.timeout(CRASH_AFTER if fingerprint >= DEADLY else RUN_SECONDS):
                await ended.wait()
        except TimeoutError:
            if fingerprint >= DEADLY:
                replica.crash()
                return False
        return not ended.is_set()

    def count_late(self, fingerprint: int) -> int:
        """Return the number of sends after the third crash by routers that could know of it."""
        ends: dict[replica_processes.ReplicaProcess, float] = {}
        for send in self.sends[fingerprint]:
            ends.setdefault(send.process, send.at + CRASH_AFTER)
        times = sorted(ends.values())
        if len(times) < 3:
            return 0
        return sum(s.connected and s.at > times[2] + SYNC_SECONDS for s in self.sends[fingerprint])


async def send_traffic(fleet: Fleet, seconds: float, rate: float, deadly: float) -> None:
    """Send distinct harmless requests, and the deadly one every `deadly` seconds on average."""

    async def send_deadly() -> None:
        while clocks.now() < ends_at:
            fleet.send(DEADLY)
            await asyncio.sleep(fleet.rng.uniform(0, 2 * deadly))

    ends_at = clocks.now() + seconds
    deadly_sender = asyncio.ensure_future(send_deadly())
    number = 0
    while clocks.now() < ends_at:
        number += 1
        fleet.send(number)
        await asyncio.sleep(fleet.rng.expovariate(rate))
    await deadly_sender
    await asyncio.gather(*fleet.requests)


def simulate(fleet_seed: int, fault: str = '', seconds: float = 60.0, rate: float = 40.0) -> Fleet:
    """Simulate a fleet with one kind of fault and return it."""
    simulated: list[Fleet] = []

    async def run() -> None:
        fleet = Fleet(fleet_seed)
        simulated.append(fleet)
        injecting = asyncio.ensure_future(FAULTS[fault](fleet)) if fault else None
        await send_traffic(fleet, seconds, rate, 0.3)
        if injecting is not None:
            injecting.cancel()
        for router in fleet.routers:
            router.stop()

    virtual_time.run(run())
    return simulated[0]


async def lose_messages(fleet: Fleet) -> None:
    fleet.network.loss = 0.3


async def restart_one_by_one(fleet: Fleet) -> None:
    while True:
        await asyncio.sleep(fleet.rng.uniform(0.5, 4.0))
        fleet.restart(fleet.rng.randrange(len(fleet.routers)))


async def restart_all(fleet: Fleet) -> None:
    while True:
        await asyncio.sleep(fleet.rng.uniform(5.0, 15.0))
        for number in range(len(fleet.routers)):
            fleet.restart(number)


async def isolate_half(fleet: Fleet) -> None:
    """Isolate half of the routers from all others; all still reach the registry."""
    while True:
        await asyncio.sleep(fleet.rng.uniform(0.0, 3.0))
        count = len(fleet.routers) // 2
        fleet.isolate(set(fleet.rng.sample(range(len(fleet.routers)), count)))
        await asyncio.sleep(fleet.rng.uniform(1.0, 20.0))
        fleet.heal()


async def crash_replicas(fleet: Fleet) -> None:
    """Crash replicas for other reasons."""
    while True:
        await asyncio.sleep(fleet.rng.uniform(0.5, 2.0))
        fleet.rng.choice(fleet.replicas).crash()


FAULTS = {
    'messages are lost': lose_messages,
    'routers restart': restart_one_by_one,
    'all routers restart at once': restart_all,
    'routers are isolated': isolate_half,
    'replicas crash for other reasons': crash_replicas,
}

in_virtual_time = pytest.mark.usefixtures('virtual_clock')


@in_virtual_time
@pytest.mark.parametrize('fault', ['', *FAULTS])
@pytest.mark.parametrize('seed', range(4))
def test_a_deadly_request_is_refused_in_time(seed: int, fault: str) -> None:
    fleet = simulate(seed, fault)
    assert fleet.sends[DEADLY]
    assert fleet.count_late(DEADLY) <= MAX_LATE_SENDS


@in_virtual_time
@pytest.mark.parametrize('seed', range(4))
def test_few_harmless_requests_are_refused_beside_it(seed: int) -> None:
    fleet = simulate(seed)
    assert fleet.outcomes['refused'] <= 0.002 * fleet.outcomes['answered']


def simulate_crashes(seed: int, fingerprints: Iterator[int]) -> collections.Counter[str]:
    """Return the outcomes of harmless requests while each replica crashes every few seconds."""

    async def run() -> collections.Counter[str]:
        fleet = Fleet(seed)
        crashing = asyncio.ensure_future(crash_replicas(fleet))
        while clocks.now() < 60.0:
            fleet.send(next(fingerprints))
            await asyncio.sleep(fleet.rng.expovariate(40.0))
        crashing.cancel()
        await asyncio.gather(*fleet.requests)
        for router in fleet.routers:
            router.stop()
        return fleet.outcomes

    return virtual_time.run(run())


@in_virtual_time
@pytest.mark.parametrize('seed', range(4))
def test_unrelated_crashes_hardly_refuse_any_request(seed: int) -> None:
    outcomes = simulate_crashes(seed, itertools.count(1))
    assert outcomes['answered'] > 1000
    assert outcomes['refused'] <= 0.002 * outcomes['answered']


@in_virtual_time
@pytest.mark.parametrize('seed', range(4))
def test_unrelated_crashes_hardly_refuse_a_shared_read(seed: int) -> None:
    """All reads of one path by an account have the same fingerprint, as they have no body."""
    outcomes = simulate_crashes(seed, itertools.repeat(1))
    assert outcomes['answered'] > 1000
    assert outcomes['refused'] <= 0.002 * outcomes['answered']


@in_virtual_time
def test_two_deadly_requests_are_both_refused() -> None:
    async def run() -> None:
        fleet = Fleet(1)
        ends_at = clocks.now() + 40.0
        while clocks.now() < ends_at:
            fleet.send(fleet.rng.choice([DEADLY, DEADLY + 1, fleet.rng.randrange(DEADLY)]))
            await asyncio.sleep(fleet.rng.uniform(0.0, 0.1))
        await asyncio.gather(*fleet.requests)
        for router in fleet.routers:
            router.stop()
        assert [fleet.count_late(x) <= MAX_LATE_SENDS for x in (DEADLY, DEADLY + 1)] == [True, True]

    virtual_time.run(run())
