"""Replaces replicas by others with any software version, while clients read and resume streams."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping

from passpier import clocks
from passpier.standins.platform import deployment, replica, returns, stream_clients

SERVICE = 'mixed'
ROUTE = 'mixed'
VERSIONS = ('v1', 'v1.1', 'v2')
REPLICA_COUNT = 6
EVENT_COUNT = 24
EVENT_PAUSE = 0.05

INTERVALS = (0.3, 1.2)
"""Minimum and maximum seconds between two changes of a replica."""

DOWNTIMES = (0.1, 2.0)
"""Minimum and maximum seconds for which a crashed replica is down."""

DRAIN_SECONDS = (1.0, 3.0)
"""Minimum and maximum seconds for which a replica drains before its entry goes."""

STREAM_RATE = 6.0
"""Streams per second."""

RESUMPTIONS = 2
"""Times that a client resumes a stream."""

RESUME_PAUSES = (0.0, 0.4)
"""Minimum and maximum seconds after which it does so."""

LEAVING_SHARE = 0.4
"""Share of clients that disconnect from a stream and resume it."""


class VersionInjector:
    """Changes the replicas of a service of its own, and checks the streams that it serves."""

    def __init__(
        self,
        running: deployment.Deployment,
        faults: returns.FaultLog,
        rng: random.Random,
        map_addresses: Callable[[], Mapping[str, str]],
        list_known: Callable[[str, str], Collection[str]] | None = None,
    ) -> None:
        """Prepare for `run`; `list_known` returns the versions of a service that a router knows."""
        self.streams: list[stream_clients.Stream] = []
        self.routers: dict[str, str] = {}
        """The router that each attempt was sent to, by its request id."""

        self.resumed_behind = 0
        """Resumptions at routers that lacked a version of the service."""

        self._running = running
        self._faults = faults
        self._rng = rng
        self._map_addresses = map_addresses
        self._list_known = list_known
        self._resumed = 0
        self._resumed_unknown = 0
        """Those at routers that lacked the version of the stream."""

        self._replicas: list[replica.Replica] = []

    def add_service(self) -> None:
        """Add the service, its route and its replicas."""
        known = self._running.configuration
        model = next(s for s in known['services'] if 'engine' in s)
        route = next(r for r in known['routes'] if r.get('resumable'))
        self._running.configure(
            services=[*known['services'], {**model, 'name': SERVICE}],
            routes=[
                *known['routes'],
                {**route, 'name': ROUTE, 'path_prefix': f'/{ROUTE}/', 'service': SERVICE},
            ],
        )
        for number in range(REPLICA_COUNT):
            added = replica.Replica(
                f'{SERVICE}-{number}',
                SERVICE,
                f'zone-{number % 2}',
                deployment.MODEL,
                software=VERSIONS[number % 2],
                tells_software=True,
                event_count=EVENT_COUNT,
                event_pause=EVENT_PAUSE,
            )
            self._add_replica(added)

    async def run(self, ends_at: float) -> None:
        """Continue until `ends_at`; return when all streams have ended."""
        await asyncio.gather(
            self._change_replicas(ends_at),
            self._send_streams(ends_at),
        )

    def describe_streams(self) -> str:
        """Return how many streams were interrupted, and how many of these went on."""
        interrupted = [s for s in self.streams if len(s.statuses) > 1]
        continued = sum(s.is_complete for s in interrupted)
        mixed = sum(len(s.versions) > 1 for s in self.streams)
        counts = (
            f'{len(self.streams)} streams, {continued} of {len(interrupted)} resumed ones whole, '
            f'{mixed} of two versions'
        )
        return f'{counts}\n  {self._describe_resumptions()}'

    def _describe_resumptions(self) -> str:
        """Return how many resumptions met a router that was out of step."""
        if self._list_known is None:
            return f'{self._resumed} resumptions'
        return (
            f'{self._resumed} resumptions, {self.resumed_behind} at a router that lacked a version'
            f" of the service, {self._resumed_unknown} at one that lacked the stream's own"
        )

    def find_violations(self) -> list[str]:
        """Return each stream with events of several versions, or that is not whole."""
        found = [s for s in self.streams if len(s.versions) > 1 or not s.is_whole]
        return [
            f'{s.id} has events {[(e.number, e.software) for e in s.events]} in '
            f'{len(s.statuses)} attempts'
            for s in found
        ]

    def _add_replica(self, added: replica.Replica) -> None:
        self._replicas.append(added)
        self._running.add_replica(added)

    async def _change_replicas(self, ends_at: float) -> None:
        started: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            await asyncio.sleep(self._rng.uniform(*INTERVALS))
            free = [r for r in self._replicas if r.state == 'ready' and r.server is not None]
            if not free:
                # All of them drain or restart at this moment.
                continue
            chosen = self._rng.choice(free)
            change = self._rng.choice([self._restart_replica, self._replace_replica])
            started.append(asyncio.ensure_future(change(chosen, self._rng.choice(VERSIONS))))
        await asyncio.gather(*started)

    async def _restart_replica(self, chosen: replica.Replica, software: str) -> None:
        self._faults.log_fault(f'{chosen.id} ({chosen.software}) crashes, back with {software}')
        chosen.crash()
        await asyncio.sleep(self._rng.uniform(*DOWNTIMES))
        self._running.restart_replica(chosen.id, software=software)

    async def _replace_replica(self, chosen: replica.Replica, software: str) -> None:
        successor = chosen.build_successor(f'{SERVICE}-{len(self._replicas)}')
        successor.software = software
        self._faults.log_fault(
            f'{successor.id} ({software}) replaces {chosen.id} ({chosen.software}), which drains'
        )
        self._add_replica(successor)
        chosen.state = 'draining'
        self._running.write_entry(chosen.id)
        await asyncio.sleep(self._rng.uniform(*DRAIN_SECONDS))
        self._running.remove_entry(chosen.id)

    async def _send_streams(self, ends_at: float) -> None:
        pending: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            pending.append(asyncio.ensure_future(self._read_stream()))
            await asyncio.sleep(self._rng.expovariate(STREAM_RATE))
        await asyncio.gather(*pending)

    async def _read_stream(self) -> None:
        rng = self._rng
        stream = self.build_stream(SERVICE, rng)
        stop_after = rng.randrange(1, EVENT_COUNT) if rng.random() < LEAVING_SHARE else None
        await self.read(stream, self._choose_router(), stop_after)
        for _ in range(RESUMPTIONS):
            if stream.is_complete or not stream.events:
                return
            await asyncio.sleep(rng.uniform(*RESUME_PAUSES))
            await self.read(stream, self._choose_router())

    def _choose_router(self) -> str:
        return self._rng.choice(list(self._map_addresses()))

    def build_stream(self, service: str, rng: random.Random) -> stream_clients.Stream:
        """Return a new stream of a service, which the checks include."""
        prompt = deployment.make_prompt(rng)
        stream = stream_clients.Stream(
            f'{service}-{len(self.streams)}', prompt, path=f'/{service}/x'
        )
        self.streams.append(stream)
        return stream

    async def read(
        self, stream: stream_clients.Stream, router: str, stop_after: int | None = None
    ) -> None:
        """Read a stream, or the rest of it, through a router, unless that has gone."""
        address = self._map_addresses().get(router)
        if address is None:
            return
        self.routers[stream.next_attempt] = router
        if stream.events:
            self._note_resumption(stream, router)
        await stream.read(self._running, address, stop_after)

    def _note_resumption(self, stream: stream_clients.Stream, router: str) -> None:
        self._resumed += 1
        if self._list_known is None:
            return
        service = stream.path.split('/')[1]
        known = self._list_known(router, service)
        current = {
            r.software
            for r in self._running.replicas.values()
            if r.service == service and self._running.has_entry(r.id)
        }
        self.resumed_behind += not current <= set(known)
        self._resumed_unknown += not stream.versions <= set(known)
