"""Releases new software versions while some routers are out of step.

Each release has a service of its own, since a router can only take a version for the only one as
long as it has seen no other. Streams that begin at the new version while some routers don't know
of it break off and are resumed there.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from passpier import clocks
from passpier.platform import names
from passpier.standins.platform import deployment, partitions, replica, returns, stream_clients

OLD_VERSION = 'v1'
NEW_VERSION = 'v2'
OLD_COUNT = 3
"""Replicas of the old version, which serve on."""

NEW_COUNT_MAX = 2
"""Maximum number of replicas of the new version, of which one crashes."""

EVENT_COUNT = 30
EVENT_PAUSE = 0.05

INTERVALS = (0.5, 1.5)
"""Minimum and maximum seconds between the starts of two releases, which may overlap."""

SETTLE_SECONDS = 0.8
"""Seconds until all routers know a new service."""

OUT_OF_STEP_SECONDS = (0.9, 2.8)
"""Minimum and maximum seconds for which routers are out of step when streams are resumed there."""

JOIN_DELAYS = (0.0, 0.3)
"""Minimum and maximum seconds after which the new version joins."""

LOAD_SECONDS = 0.7
"""Seconds before the crash in which streams begin."""

STREAM_COUNT = 24
RESUME_DELAYS = (0.0, 0.1)
"""Minimum and maximum seconds from the crash until a client resumes its stream."""

END_DELAYS = (0.15, 0.6)
"""Minimum and maximum seconds from the crash until the routers get in step again."""

RETRIES = 2
"""Times that a client resumes its stream once more."""

RETRY_PAUSES = (0.3, 1.0)
"""Minimum and maximum seconds after which it does so."""

PUBLIC_SHARE = 0.5
"""Share of services whose route needs no key; keys are refused while the registry is silent."""

PARTITIONS = (
    partitions.Links.ALL,
    partitions.Links.ALL,
    partitions.Links.REGISTRY,
    partitions.Links.PEERS,
    partitions.Links.REGISTRY | partitions.Links.TO_PEERS,
    partitions.Links.REGISTRY | partitions.Links.FROM_PEERS,
)
"""What a partition cuts. With all links cut, no other router can tell of a version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """A period in which some routers are out of step."""

    routers: Collection[str]
    """Their names."""

    end: Callable[[], None]


class StreamReader(Protocol):
    """Reads streams and records them."""

    def build_stream(self, service: str, rng: random.Random) -> stream_clients.Stream:
        """Return a new stream of a service."""

    async def read(
        self, stream: stream_clients.Stream, router: str, stop_after: int | None = None
    ) -> None:
        """Read a stream, or the rest of it, through a router."""


class ReleaseInjector:
    """Releases versions to one service after the other."""

    def __init__(
        self,
        running: deployment.Deployment,
        faults: returns.FaultLog,
        rng: random.Random,
        reader: StreamReader,
        map_addresses: Callable[[], Mapping[str, str]],
        open_gap: Callable[[random.Random], Gap | None],
    ) -> None:
        self._running = running
        self._faults = faults
        self._rng = rng
        self._reader = reader
        self._map_addresses = map_addresses
        self._open_gap = open_gap
        self.joined_at: dict[str, float] = {}
        """When the new version of each service joined, in seconds of Unix time."""

    async def run(self, ends_at: float) -> None:
        """Start releases until `ends_at`; return when all streams have ended."""
        started: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            started.append(asyncio.ensure_future(self._release(f'release-{len(started)}')))
            await asyncio.sleep(self._rng.uniform(*INTERVALS))
        await asyncio.gather(*started)

    async def _release(self, service: str) -> None:
        rng = random.Random(f'{service} {self._rng.random()}')
        replicas = self._add_service(service, rng.random() < PUBLIC_SHARE)
        await asyncio.sleep(SETTLE_SECONDS)
        # A router records the versions of the services that it has streams of.
        streams = {r: self._reader.build_stream(service, rng) for r in self._map_addresses()}
        await asyncio.gather(*(self._reader.read(s, r, 1) for r, s in streams.items()))
        gap = self._open_gap(rng)
        if gap is not None:
            replicas += await self._interrupt_streams(service, rng, gap)
        for target in replicas:
            self._running.remove_entry(target.id)

    def _add_service(self, service: str, public: bool) -> list[replica.Replica]:
        """Add a service with a route, replicas of the old version and a record of it."""
        known = self._running.configuration
        model = next(s for s in known['services'] if 'engine' in s)
        route = next(r for r in known['routes'] if r.get('resumable'))
        path = {'name': service, 'path_prefix': f'/{service}/', 'service': service}
        self._running.configure(
            services=[*known['services'], {**model, 'name': service}],
            routes=[*known['routes'], {**route, **path, 'public': public}],
        )
        # Routers write a record only after as long as streams last.
        self._running.store.put(f'{names.OWN_PREFIX}software/{service}', [OLD_VERSION])
        return [self._add_replica(service, f'{n}', OLD_VERSION) for n in range(OLD_COUNT)]

    def _add_replica(self, service: str, name: str, software: str) -> replica.Replica:
        weights = [r.version for r in self._running.replicas.values() if r.model]
        added = replica.Replica(
            f'{service}-{name}',
            service,
            f'zone-{len(self._running.replicas) % 2}',
            deployment.MODEL,
            max(weights),
            software=software,
            tells_software=True,
            event_count=EVENT_COUNT,
            event_pause=EVENT_PAUSE,
        )
        self._running.add_replica(added)
        return added

    async def _interrupt_streams(
        self, service: str, rng: random.Random, gap: Gap
    ) -> list[replica.Replica]:
        """Add replicas of the new version, crash one, and resume all streams; return them."""
        ends_at = clocks.now() + rng.uniform(*OUT_OF_STEP_SECONDS)
        self._faults.log_fault(
            f'{NEW_VERSION} joins {service}, {sorted(gap.routers)} are out of step'
        )
        await asyncio.sleep(rng.uniform(*JOIN_DELAYS))
        count = rng.randint(1, NEW_COUNT_MAX)
        self.joined_at[service] = time.time()
        added = [self._add_replica(service, f'new-{n}', NEW_VERSION) for n in range(count)]
        others = [r for r in self._map_addresses() if r not in gap.routers]
        await asyncio.sleep(max(0.0, ends_at - LOAD_SECONDS - clocks.now()))
        streams = await self._begin_streams(service, rng, others)
        added[0].crash()
        resumed = [asyncio.ensure_future(self._resume(s, rng, list(gap.routers))) for s in streams]
        await asyncio.sleep(rng.uniform(*END_DELAYS))
        gap.end()
        await asyncio.gather(*resumed)
        return added

    async def _begin_streams(
        self, service: str, rng: random.Random, others: list[str]
    ) -> list[stream_clients.Stream]:
        """Read streams through routers that are in step; return them when all clients leave."""
        streams, pending = [], []
        for _ in range(STREAM_COUNT if others else 0):
            stream = self._reader.build_stream(service, rng)
            streams.append(stream)
            pending.append(asyncio.ensure_future(self._reader.read(stream, rng.choice(others))))
            await asyncio.sleep(LOAD_SECONDS / STREAM_COUNT)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        return [s for s in streams if s.events and not s.is_complete]

    async def _resume(
        self, stream: stream_clients.Stream, rng: random.Random, behind: list[str]
    ) -> None:
        """Resume a stream at a router that is out of step, then at any."""
        await asyncio.sleep(rng.uniform(*RESUME_DELAYS))
        await self._reader.read(stream, rng.choice(behind))
        for _ in range(RETRIES):
            if stream.is_complete:
                return
            await asyncio.sleep(rng.uniform(*RETRY_PAUSES))
            await self._reader.read(stream, rng.choice(list(self._map_addresses())))


def open_partition(
    running: deployment.Deployment, faults: returns.FaultLog, rng: random.Random
) -> Gap | None:
    """Cut one or two routers off from the registry, from peers, or both; some remain in step."""
    taken = {name for isolation in running.isolations for name in isolation.routers}
    free = [r for r in running.routers if not r.stopping and r.options.name not in taken]
    if len(free) < 2:
        return None
    chosen = rng.sample(free, rng.randint(1, min(2, len(free) - 1)))
    links = rng.choice(PARTITIONS)
    isolation = running.isolate(chosen, links)
    faults.log_fault(f'{sorted(isolation.routers)} are cut off from {links.name}')
    return Gap(isolation.routers, lambda: running.rejoin(isolation))
