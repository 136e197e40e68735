"""Processes in virtual time that follow a registry through each other or by themselves."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import catalogue, members, routes
from passpier.routing import pools, registry_follower, registry_mirror, relaying
from passpier.standins import network, virtual_time

KEY_BOUND = 5.0

TIMELINE = 1
"""The timeline in which a registry begins."""

VERSION_BOUND = 10.0
"""Seconds after the release of newer weights in which older ones may be used."""


def at(number: int) -> registry.Revision:
    """Return a revision of the first timeline."""
    return registry.Revision(TIMELINE, number)


class Records:
    """Registry records with simple keys and values."""

    configuration_key = 'configuration'
    version_prefix = 'weights/'
    replica_prefix = 'replicas/'
    own_prefix = 'own/'

    def decode_configuration(self, data: bytes) -> routes.Configuration:
        services = {'service': routes.Service('service', 100)}
        return routes.Configuration(int(data), services=services)

    def decode_replica(self, id: str, data: bytes) -> catalogue.Entry:
        versions = {'model': int(data)} if data.isdigit() else {}
        return catalogue.Entry(id, 'service', 'a:1', 'd0', 8, data == b'draining', versions)

    def decode_named_version(self, data: bytes) -> tuple[str, int]:
        return 'model', int(data)


@dataclasses.dataclass
class Copy:
    """A copy of the registry's state, from which it may return."""

    items: dict[str, registry.Item]
    changes: list[registry.Item]
    number: int
    compacted_at: int


class Registry:
    """Keeps all changes; each process has its own connection, which can be interrupted."""

    def __init__(self) -> None:
        self.items: dict[str, registry.Item] = {}
        self.changes: list[registry.Item] = []
        self.timeline = TIMELINE
        self.number = 0
        self.compacted_at = 0
        self.calls = 0

    @property
    def revision(self) -> registry.Revision:
        return registry.Revision(self.timeline, self.number)

    def put(self, key: str, data: bytes) -> None:
        self.number += 1
        self.items[key] = registry.Item(key, data, self.revision)
        self.changes.append(self.items[key])

    def remove(self, key: str) -> None:
        self.number += 1
        del self.items[key]
        self.changes.append(registry.Item(key, b'', self.revision, removed=True))

    def copy(self) -> Copy:
        return Copy(dict(self.items), list(self.changes), self.number, self.compacted_at)

    def restore(self, saved: Copy) -> None:
        """Return to an older state; revisions since then are given out again."""
        self.timeline += 1
        self.items = {key: self._move(item) for key, item in saved.items.items()}
        self.changes = [self._move(item) for item in saved.changes]
        self.number = saved.number
        self.compacted_at = saved.compacted_at

    def _move(self, item: registry.Item) -> registry.Item:
        """Return an item as the current timeline has it."""
        revision = registry.Revision(self.timeline, item.revision.number)
        return msgspec.structs.replace(item, revision=revision)


class Connection:
    """The registry calls of one process."""

    def __init__(self, source: Registry, rng: random.Random) -> None:
        self.source = source
        self.rng = rng
        self.cut = False

    async def read(self, prefix: str) -> registry.Listing:
        sent_at = clocks.now()
        await self._simulate_call()
        items = tuple(self.source.items.values())
        revision = self.source.revision
        await self._simulate_call()
        return registry.Listing(items, revision, sent_at)

    async def watch(self, prefix: str, after: registry.Revision, wait: float) -> registry.Changes:
        sent_at = clocks.now()
        await self._simulate_call()
        ends_at = clocks.now() + wait
        self._check_history(after)
        while clocks.now() < ends_at and self.source.revision == after:
            await asyncio.sleep(0.01)
        self._check_history(after)
        items = tuple(c for c in self.source.changes if c.revision > after)
        revision = self.source.revision
        await self._simulate_call()
        return registry.Changes(items, revision, sent_at, clocks.now())

    def _check_history(self, after: registry.Revision) -> None:
        if after.timeline != self.source.timeline:
            raise registry.CompactedError('returned from an older copy')
        if not self.source.compacted_at <= after.number <= self.source.number:
            raise registry.CompactedError('forgotten')

    async def _simulate_call(self) -> None:
        self.source.calls += 1
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        if self.cut:
            raise exceptions.StoreError('cut off')


@dataclasses.dataclass
class Process:
    """One process: its registry state and how it gets it."""

    known: registry_mirror.RegistryState
    membership: members.Membership
    relay: relaying.Relay
    connection: Connection
    disturbed_at: float
    """When it started or resumed; time bounds apply to it only a while after that."""

    def list_used(self) -> set[str]:
        return {r.name for r in self.known.pools.list_serving('service')}


class Fleet:
    """Processes in virtual time with fixed membership, which start without registry state."""

    def __init__(self, size: int, seed: int, key_bound: float = KEY_BOUND) -> None:
        self.rng = random.Random(seed)
        self.key_bound = key_bound
        self.registry = Registry()
        self.registry.put('configuration', b'1')
        self.network = network.Network(self.rng)
        fleet = [
            members.Member(f'vm-{n}', f'i{n:03}', '10.0.0.1', n, 1000 + n, f'd{n % 4}')
            for n in range(size)
        ]
        self.fleet = fleet
        self.processes = [self.make(m, fleet) for m in fleet]
        self.tasks: dict[str, list[asyncio.Task[None]]] = {}

    def make(self, own: members.Member, fleet: list[members.Member]) -> Process:
        known = registry_mirror.RegistryState(Records(), pools.Pools(VERSION_BOUND), self.key_bound)
        membership = members.Membership(own, 1e6, clocks.now())
        for member in fleet:
            membership.add(member, clocks.now())
        link = self.network.connect(own)
        relay = relaying.Relay(known, membership, link, self.rng)  # type: ignore[arg-type]
        connection = Connection(self.registry, self.rng)
        return Process(known, membership, relay, connection, clocks.now())

    def start(self) -> None:
        for process in self.processes:
            self.run(process)

    def run(self, process: Process) -> None:
        follower = registry_follower.RegistryFollower(
            process.connection,  # type: ignore[arg-type]
            process.known,
            process.relay,
            self.rng,
        )
        self.tasks[process.membership.own.name] = [
            asyncio.ensure_future(process.relay.run()),
            asyncio.ensure_future(follower.run()),
        ]

    def freeze(self, number: int) -> None:
        """Suspend one process until `thaw`; messages to it are lost."""
        own = self.processes[number].membership.own
        for task in self.tasks[own.name]:
            task.cancel()
        self.network.cut.add(own.peer)

    def thaw(self, number: int) -> None:
        """Resume a process with the state it had."""
        process = self.processes[number]
        self.network.cut.discard(process.membership.own.peer)
        process.disturbed_at = clocks.now()
        self.run(process)

    def restart(self, number: int) -> None:
        """End one process and start it again without state."""
        own = self.processes[number].membership.own
        for task in self.tasks[own.name]:
            task.cancel()
        self.processes[number] = self.make(own, self.fleet)
        self.run(self.processes[number])

    async def stop(self) -> None:
        tasks = [t for group in self.tasks.values() for t in group]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def run_fleet(
    size: int,
    seed: int,
    check: Callable[[Fleet], Awaitable[None]],
    key_bound: float = KEY_BOUND,
) -> None:
    async def run() -> None:
        fleet = Fleet(size, seed, key_bound)
        fleet.start()
        try:
            await check(fleet)
        finally:
            await fleet.stop()

    virtual_time.run(run())


class LeaseRegistry:
    """Keeps what is written, under leases that do not expire by themselves."""

    def __init__(self) -> None:
        self.items: dict[str, registry.Item] = {}
        self.leases: dict[registry.Lease, list[str]] = {}
        self.unavailable = False
        self.granted = 0
        self.largest_write = 0
        self.writes = 0

    async def grant(self, ttl: float) -> registry.Lease:
        if self.unavailable:
            raise exceptions.StoreError('no answer')
        self.granted += 1
        return registry.Lease(TIMELINE, self.granted)

    async def end(self, lease: registry.Lease) -> None:
        for key in self.leases.pop(lease, []):
            del self.items[key]

    async def write(
        self, puts: Sequence[registry.Put], conditions: Sequence[registry.ExpectedRevision] = ()
    ) -> registry.Revision:
        if self.unavailable:
            raise exceptions.StoreError('no answer')
        self.writes += 1
        self.largest_write = max(self.largest_write, len(puts))
        if any(self._get_revision(c.key) != c.revision for c in conditions):
            raise exceptions.ConflictError('changed')
        revision = at(self.writes)
        for put in puts:
            self.items[put.key] = registry.Item(put.key, put.data, revision)
            if put.lease is not None:
                self.leases.setdefault(put.lease, []).append(put.key)
        return revision

    def _get_revision(self, key: str) -> registry.Revision:
        return self.items[key].revision if key in self.items else registry.NO_REVISION
