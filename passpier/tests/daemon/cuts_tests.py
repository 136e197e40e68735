"""Account limits during network partitions, store outages and kills, in virtual time.

Daemons acquire all units that they can get and hold each for some seconds. The number of requests
running on all daemons must never exceed the limit, and after the last fault all units must become
usable again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from typing import Any, cast

import msgspec
import pydantic
import pytest
import uuid_utils

from passpier import clocks, exceptions
from passpier.clients import store
from passpier.config import schema, settings
from passpier.core import members, shares
from passpier.daemon import fleet, limits, metrics, storage, tasks
from passpier.standins import network, virtual_time

LIMIT = 12
DAEMONS = 5
LEASE = 10
MAX_REQUEST_SECONDS = 20.0
"""Longest run of a request: less than the time from the fencing of a holder until it is dropped."""

SEEDS = 20
SHRINKING_SEEDS = 8

RECOVERY_SECONDS = 400.0
"""Seconds after the last fault within which all units have to be usable again."""

pytestmark = pytest.mark.usefixtures('virtual_clock')


class FaultyPlatform(network.Network):
    """A network and a store with leases, partitioned by groups of daemons."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.groups: dict[str, int] = {}
        self.groups_with_store: set[int] = {0}
        """Groups of daemons that can reach the store."""

        self.loss = 0.0
        """Fraction of the store's responses that are lost, before or after the call took effect."""

        self.values = store.MemoryStore()
        self.leases: dict[int, float] = {}
        self.owners: dict[str, int] = {}

    def get_group(self, address: str) -> int:
        return self.groups.get(address, 0)

    def carry(self, source: network.Link, address: str, message: Any) -> None:
        if self.get_group(source.address) == self.get_group(address):
            super().carry(source, address, message)

    async def expire(self) -> None:
        """Delete the keys of expired leases."""
        now = clocks.now()
        expired = {key for key, lease in self.owners.items() if self.leases.get(lease, 0.0) < now}
        for key in expired:
            del self.owners[key]
            await self.values.write([store.Delete(key)])


class StoreView(store.MemoryStore):
    """The platform's store as seen by one daemon."""

    def __init__(self, platform: FaultyPlatform, address: str) -> None:
        super().__init__()
        self._platform = platform
        self._address = address

    async def read(self, prefix: str) -> list[store.Value]:
        await self._simulate_call()
        return await self._platform.values.read(prefix)

    async def get(self, key: str) -> store.Value | None:
        await self._simulate_call()
        return await self._platform.values.get(key)

    async def write(
        self,
        operations: Sequence[store.Put | store.Delete],
        conditions: Sequence[store.ExpectedRevision] = (),
    ) -> bool:
        await self._simulate_call()
        done = await self._platform.values.write(operations, conditions)
        for operation in operations:
            if done and isinstance(operation, store.Put) and operation.lease:
                self._platform.owners[operation.key] = operation.lease
        self._lose()
        return done

    async def grant(self, ttl: int) -> int:
        await self._simulate_call()
        lease = len(self._platform.leases) + 1
        self._platform.leases[lease] = clocks.now() + ttl
        return lease

    async def keep_alive(self, lease: int) -> bool:
        await self._simulate_call()
        if self._platform.leases[lease] < clocks.now():
            return False
        self._platform.leases[lease] = clocks.now() + LEASE
        self._lose()
        return True

    async def watch(self, prefix: str) -> AsyncIterator[None]:
        await asyncio.sleep(3600.0)
        yield None

    async def _simulate_call(self) -> None:
        await asyncio.sleep(self._platform.rng.uniform(0.001, 0.05))
        if self._platform.get_group(self._address) not in self._platform.groups_with_store:
            raise exceptions.StoreError('no answer')
        self._lose()
        await self._platform.expire()

    def _lose(self) -> None:
        if self._platform.loss and self._platform.rng.random() < self._platform.loss / 2:
            raise exceptions.StoreError('lost')


class NoUpstreams:
    """Replaces the upstreams and their cache view, which these tests do not use."""

    def __init__(self) -> None:
        self.cache = self

    def apply(self, config: object) -> None:
        """Do nothing."""

    def export(self, limit: int) -> list[object]:
        return []

    def merge_snapshot(self, holdings: object, now: float) -> None:
        """Do nothing."""


class Daemon:
    """The tasks of a daemon that maintain its share of the limits, and requests that use it."""

    def __init__(self, platform: FaultyPlatform, number: int, seeds: Sequence[str]) -> None:
        self.platform = platform
        options = settings.Settings(
            name=f'vm-{number}',
            operator_secret=pydantic.SecretStr('secret-secret'),
            seeds=tuple(seeds),
        )
        incarnation = uuid_utils.uuid7().hex
        own = members.Member(f'vm-{number}', incarnation, '127.0.0.1', 1, 1000 + number, 'd')
        membership = members.Membership(own, options.heartbeat, clocks.now())
        link = cast(Any, platform.connect(own))
        shared = storage.Storage(StoreView(platform, own.peer), LEASE, platform.rng)
        self.limits = limits.Limits(membership, link, DAEMONS)
        self.fleet = fleet.Fleet(
            options,
            membership,
            link,
            shared,
            cast(Any, NoUpstreams()),
            None,
            self.limits,
            metrics.Metrics(),
            platform.rng,
        )
        self.address = own.peer
        self.running = 0
        jobs = [self.fleet.run_heartbeats(), self.fleet.run_bootstrap(), self.fleet.run_store()]
        self._tasks = [tasks.start(job) for job in [*jobs, self._acquire_units()]]

    @property
    def usable(self) -> int:
        """Number of units that this daemon may use now."""
        isolated = self.limits.book.is_isolated(clocks.now())
        return 0 if isolated else self.limits.book.get_held('acme')

    async def _acquire_units(self) -> None:
        while True:
            while self.limits.book.acquire('acme', clocks.now()):
                self.running += 1
                seconds = self.platform.rng.uniform(0.5, MAX_REQUEST_SECONDS)
                asyncio.get_running_loop().call_later(seconds, self._end)
            await asyncio.sleep(0.5)

    def _end(self) -> None:
        self.running -= 1
        self.limits.book.release('acme')

    def kill(self) -> None:
        """Stop at once, with all requests."""
        for task in self._tasks:
            task.cancel()
        del self.platform.links[self.address]


class Simulation:
    """A fleet with injected faults."""

    def __init__(self, seed: int) -> None:
        self.platform = FaultyPlatform(random.Random(seed))
        self.daemons: list[Daemon] = []
        self.started = 0
        self.max_running = 0

    def start_daemon(self) -> None:
        self.started += 1
        seeds = [d.address for d in self.daemons]
        self.daemons.append(Daemon(self.platform, self.started, seeds))

    async def start(self, count: int = DAEMONS) -> None:
        """Start the fleet with a configuration."""
        for _ in range(count):
            self.start_daemon()
            await asyncio.sleep(0.3)
        account = {'name': 'acme', 'key_digests': ['0' * 64], 'concurrency': LIMIT}
        document = {'fleet': 'f', 'accounts': [{**account, 'tokens_per_second': 10**9}]}
        dumped = schema.Fleet.model_validate(document).model_dump(mode='json')
        first = self.daemons[0].fleet
        accepted = await first.storage.accept_revision(msgspec.json.encode(dumped), 0, 'n')
        assert not isinstance(accepted, int)
        first.configuration.install(accepted)
        await self.run(30.0)
        assert self.count_usable() == LIMIT

    def count_usable(self) -> int:
        return sum(d.usable for d in self.daemons)

    async def run(self, seconds: float) -> None:
        """Advance the time, checking the limit continuously."""
        end = clocks.now() + seconds
        while clocks.now() < end:
            await asyncio.sleep(0.25)
            running = sum(d.running for d in self.daemons)
            self.max_running = max(self.max_running, running)
            assert running <= LIMIT, f'{running} of {LIMIT} at {clocks.now():.1f} s'

    def partition(self, groups: Sequence[int], groups_with_store: set[int]) -> None:
        """Partition the daemons into groups, of which some reach the store."""
        addresses = [d.address for d in self.daemons]
        self.platform.groups = dict(zip(addresses, groups, strict=True))
        self.platform.groups_with_store = groups_with_store

    def heal(self) -> None:
        self.partition([0] * len(self.daemons), {0})

    def partition_at_random(self) -> None:
        rng = self.platform.rng
        groups = [rng.randrange(rng.choice([2, 2, 3])) for _ in self.daemons]
        self.partition(groups, {g for g in range(3) if rng.random() < 0.5})

    def kill(self, number: int) -> None:
        self.daemons.pop(number).kill()


async def simulate(seed: int, loss: float = 0.0) -> tuple[int, int]:
    """Inject random faults; return the most requests at once and the units usable at the end."""
    simulation = Simulation(seed)
    rng = simulation.platform.rng
    await simulation.start()
    simulation.platform.loss = loss
    killed = 0
    for _ in range(5):
        kind = rng.choice(['cut', 'cut', 'cut', 'outage', 'kill', 'start', 'heal'])
        if kind == 'cut':
            simulation.partition_at_random()
        elif kind == 'outage':
            simulation.partition([0] * len(simulation.daemons), set())
        elif kind == 'kill' and killed < 2:
            simulation.kill(rng.randrange(len(simulation.daemons)))
            killed += 1
        elif kind == 'start':
            simulation.start_daemon()
        else:
            simulation.heal()
        await simulation.run(rng.uniform(5.0, 180.0))
    simulation.heal()
    simulation.platform.loss = 0.0
    await simulation.run(RECOVERY_SECONDS)
    return simulation.max_running, simulation.count_usable()


async def simulate_shrinking(seed: int) -> tuple[int, int]:
    """Cut off a minority until it is dropped; then lose some of the others, as the first rejoin.

    Those that are lost second are killed, or cut off themselves. Most of the daemons remain alive
    and in contact. Returns the most requests at once and the units usable at the end.
    """
    simulation = Simulation(seed)
    rng = simulation.platform.rng
    count = rng.randint(5, 8)
    minority = (count - 1) // 2
    await simulation.start(count)
    isolated = set(rng.sample(range(count), rng.randint(1, minority)))
    simulation.partition([int(n in isolated) for n in range(count)], {0})
    await simulation.run(rng.uniform(100.0, 300.0))
    others = [d for n, d in enumerate(simulation.daemons) if n not in isolated]
    lost = rng.sample(others, min(rng.randint(1, minority), len(others) - 1))
    if rng.random() < 0.5:
        for daemon in lost:
            simulation.kill(simulation.daemons.index(daemon))
            await simulation.run(rng.choice([1.0, rng.uniform(1.0, 200.0)]))
    else:
        simulation.partition([int(d in lost) for d in simulation.daemons], {0})
        await simulation.run(rng.uniform(100.0, 300.0))
    simulation.heal()
    await simulation.run(RECOVERY_SECONDS)
    return simulation.max_running, simulation.count_usable()


def test_no_partition_lets_an_account_exceed_its_limit() -> None:
    for seed in range(SEEDS):
        max_running, usable = virtual_time.run(simulate(seed))
        assert (max_running, usable) == (LIMIT, LIMIT), f'seed {seed}'


def test_no_lost_answer_of_the_store_lets_an_account_exceed_its_limit() -> None:
    for seed in range(SEEDS // 4):
        max_running, usable = virtual_time.run(simulate(seed, loss=0.3))
        assert (max_running, usable) == (LIMIT, LIMIT), f'seed {seed}'


def test_broken_variants_exceed_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken variants: any one peer counts as a majority; any holder may be dropped."""

    def hears_any_peer(self: shares.ShareBook, grant: shares.Grant, now: float) -> bool:
        return any(not self._is_unheard(h, now) for h in self.list_involved())

    with monkeypatch.context() as patch:
        patch.setattr(shares.ShareBook, '_has_majority', hears_any_peer)
        check_exceeded()
    monkeypatch.setattr(shares.ShareBook, 'may_drop', lambda self, confirmed, now: True)
    check_exceeded()


async def simulate_second_cut() -> tuple[int, int]:
    """Two of five are dropped; two of the other three are cut off, as the first two rejoin."""
    simulation = Simulation(1)
    await simulation.start()
    for isolated in ({3, 4}, {1, 2}):
        simulation.partition([int(n in isolated) for n in range(DAEMONS)], {0})
        await simulation.run(300.0)
    simulation.heal()
    await simulation.run(RECOVERY_SECONDS)
    return simulation.max_running, simulation.count_usable()


def test_a_majority_of_the_holders_that_are_left_does_not_exceed_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Broken variant: they continue without the store by a majority of their own."""
    assert virtual_time.run(simulate_second_cut()) == (LIMIT, LIMIT)

    def has_majority(self: shares.ShareBook, grant: shares.Grant, now: float) -> bool:
        return self._hears_most(set(grant.holders), now)

    monkeypatch.setattr(shares.ShareBook, '_has_majority', has_majority)
    with pytest.raises(AssertionError, match='of 12 at'):
        virtual_time.run(simulate_second_cut())


@pytest.mark.parametrize('killed', [0, 2])
def test_dropped_holders_remain_voters_only_while_holders_are_missing(
    monkeypatch: pytest.MonkeyPatch, killed: int
) -> None:
    """Guards against a majority that nobody can reach once daemons were removed for good."""
    monkeypatch.setattr(shares, 'VOTER_SECONDS', 100.0)

    async def run() -> int:
        simulation = Simulation(1)
        await simulation.start()
        simulation.partition([0, 0, 0, 1, 1], {0})
        await simulation.run(130.0)
        for _ in range(killed):
            simulation.kill(1)
        await simulation.run(300.0)
        epoch = simulation.daemons[0].limits.epoch
        assert epoch is not None
        return len(epoch.lost)

    assert virtual_time.run(run()) == killed


def check_exceeded() -> None:
    with pytest.raises(AssertionError, match='of 12 at'):
        for seed in range(40):
            virtual_time.run(simulate(seed))


def test_a_dropped_daemon_uses_no_units_when_it_reaches_the_store_again() -> None:
    """Guards against treating the store's first response as a confirmation of the old units."""
    assert virtual_time.run(simulate(76)) == (LIMIT, LIMIT)


def test_a_daemon_that_rejoins_does_not_use_its_old_units() -> None:
    """Guards against using the old units after installing a later epoch that includes it again."""
    assert virtual_time.run(simulate(15)) == (LIMIT, LIMIT)


def test_a_daemon_that_was_isolated_for_long_does_not_block_takeovers() -> None:
    """Guards against an oldest daemon that must not drop a killed one, while no other tries to."""
    assert virtual_time.run(simulate(265)) == (LIMIT, LIMIT)


@pytest.mark.parametrize('seed', range(SHRINKING_SEEDS))
def test_holders_that_are_left_of_a_larger_fleet_do_not_block_takeovers(seed: int) -> None:
    """Guards against a few dead holders that were a majority after others had been dropped."""
    assert virtual_time.run(simulate_shrinking(seed)) == (LIMIT, LIMIT)


def test_a_moving_partition_allows_no_early_takeover() -> None:
    """Those that drop a holder last heard a third daemon just before it heard that holder again."""
    assert virtual_time.run(simulate(324)) == (LIMIT, LIMIT)


def test_the_units_of_a_dead_daemon_are_reassigned() -> None:
    """Guards against a proposer that was dropped itself, and so must not drop the dead daemon."""
    assert virtual_time.run(simulate(257)) == (LIMIT, LIMIT)


def test_a_long_store_outage_stops_no_daemon_while_most_are_alive() -> None:
    async def run() -> int:
        simulation = Simulation(1)
        await simulation.start()
        simulation.partition([0] * DAEMONS, set())
        simulation.kill(4)
        simulation.kill(0)
        await simulation.run(3_600.0)
        return simulation.count_usable()

    # The units of the two killed daemons are reassigned only when the store is back.
    assert virtual_time.run(run()) >= LIMIT * 3 // DAEMONS


def test_units_of_killed_daemons_become_usable_again() -> None:
    async def run() -> int:
        simulation = Simulation(2)
        await simulation.start()
        simulation.kill(4)
        simulation.kill(0)
        simulation.start_daemon()
        await simulation.run(3 * shares.GONE_SECONDS)
        return simulation.count_usable()

    assert virtual_time.run(run()) == LIMIT
