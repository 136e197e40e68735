"""A complete deployment on loopback in one event loop: store, replicas and routers."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random
from collections.abc import AsyncIterator, Collection, Sequence
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

from passpier import clocks
from passpier.clients import connections, exchanges, registry
from passpier.core import buckets
from passpier.platform import dialect, names, store
from passpier.routing import dialect as routing
from passpier.routing import registry_mirror, router
from passpier.standins import processes
from passpier.standins.platform import foreign_entries, metastore, partitions, replica

HOST = 'desk.example'
MODEL = 'm1'
KEY = 'secret-1'
PROMPT_SUBJECTS = 6
"""Number of different subjects of random prompts, which share a prefix each."""

RESPONSE_SLACK = 2.0
"""Seconds that a client waits beyond the deadline that it sends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response, as a client receives it."""

    status: int
    headers: exchanges.Head
    body: bytes


@dataclasses.dataclass(slots=True)
class ObservedResponse:
    """What a client received of a response; the status is 0 if the response is incomplete."""

    status: int = 0
    head: exchanges.Head | None = None
    body: bytes = b''
    error: str = ''
    local_port: int = 0
    """The client's port of the connection, or 0 if there was none."""


class Deployment:
    """The components of a deployment, all accessible to tests."""

    def __init__(self) -> None:
        self.store = metastore.MetaStore(clocks.now)
        self.faults = metastore.Faults()
        self.store_address = ''
        self.replicas: dict[str, replica.Replica] = {}
        self.decoy = replica.Replica('trap', 'llm', 'zone-0', MODEL)
        """Listens at the address in foreign entries, which must not receive any request."""

        self.routers: list[router.Router] = []
        self.version = 0
        self.configuration: dict[str, Any] = build_configuration()
        self.pool = connections.Pool()
        self.router_pools: dict[str, partitions.PartitionedPool] = {}
        """The connections of each router, by its name."""

        self.isolations: list[partitions.Isolation] = []
        """The partitions between routers."""

        self._servers: list[tornado.httpserver.HTTPServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._started_replicas: list[replica.Replica] = []
        self._ids = 0

    async def start(self, routers: int = 1, replicas: int = 2) -> None:
        """Start the store with a configuration, `replicas` of each service, and the routers."""
        application = metastore.build_application(self.store, self.faults)
        self.store_address = self._listen(application)
        self.configure()
        self.mark_timeline()
        self._start_replica(self.decoy)
        for number in range(replicas):
            self.add_replica(replica.Replica(f'llm-{number}', 'llm', f'zone-{number}', MODEL))
            self.add_replica(replica.Replica(f'app-{number}', 'app', f'zone-{number}'))
        for number in range(routers):
            self.add_router(f'vm-{number}', f'zone-{number % 2}')
        await self.wait_ready()

    def configure(self, **changes: Any) -> None:
        """Apply a new configuration, as the operator does."""
        self.version += 1
        self.configuration = {**self.configuration, **changes, 'version': self.version}
        self.store.put(names.CONFIGURATION_KEY, self.configuration)

    def mark_timeline(self) -> None:
        """Mark the store's timeline, as routers that have run for a while do."""
        mark = registry_mirror.encode_mark(registry.Revision(self.store.era, 0))
        self.store.put_bytes(f'{names.OWN_PREFIX}{registry_mirror.MARK_KEY}', mark)

    def allow_attempts(self, count: int) -> None:
        """Let a request reach that many replicas on any route, and have as many of each service."""
        routes = [{**route, 'max_attempts': count} for route in self.configuration['routes']]
        self.configure(routes=routes)
        for number in range(2, count):
            self.add_replica(replica.Replica(f'llm-{number}', 'llm', 'zone-0', MODEL))
            self.add_replica(replica.Replica(f'app-{number}', 'app', 'zone-0'))

    def map_services(self) -> dict[str, str]:
        """Return the service of each kind of request; each has a route of that name."""
        return {route['name']: route['service'] for route in self.configuration['routes']}

    def map_max_attempts(self) -> dict[str, int]:
        """Return the replicas that a request may be sent to, by its kind."""
        return {route['name']: route['max_attempts'] for route in self.configuration['routes']}

    def release_version(self, version: int) -> None:
        """Release new weights, as the operator does."""
        self.store.put(f'{names.VERSION_PREFIX}{MODEL}', {'model': MODEL, 'version': version})

    def add_replica(self, added: replica.Replica) -> None:
        """Start a replica and write its entry."""
        self._start_replica(added)
        self.replicas[added.id] = added
        self.write_entry(added.id)

    def crash_replica(self, id: str) -> None:
        """Crash a replica; its entry stays."""
        self.replicas[id].crash()

    def crash_on_body(self, body: bytes, away: float) -> None:
        """Make every request with this body crash the replica that runs it.

        A crashed replica restarts under its id after `away` seconds.
        """
        for target in self.replicas.values():
            target.crash_body = body
        self._restart_after_crashes(away)

    def crash_on_part(self, part: str, away: float) -> None:
        """Make every prompt with this part crash the replica that responds to it.

        A crashed replica restarts under its id after `away` seconds.
        """
        for target in self.replicas.values():
            target.crash_part = part
        self._restart_after_crashes(away)

    def make_brittle(self, service: str, limit: int | None, away: float) -> None:
        """Make replicas of a service crash if they refuse more than `limit` requests a second.

        They say so in all responses, and restart `away` seconds after a crash.
        """
        for target in self.replicas.values():
            if target.service == service:
                target.faults.brittle = limit
        self._restart_after_crashes(away)

    def _restart_after_crashes(self, away: float) -> None:
        loop = asyncio.get_running_loop()
        for target in self.replicas.values():
            target.on_crash = functools.partial(
                loop.call_later, away, self.restart_replica, target.id
            )

    def restart_replica(
        self,
        id: str,
        version: int | None = None,
        born: int | None = None,
        software: str | None = None,
    ) -> None:
        """Restart a replica under its id, at its address; see `Replica.restart`."""
        self.replicas[id].restart(version, born, software)
        self.write_entry(id)

    def write_foreign_entries(self, count: int, rng: random.Random) -> list[str]:
        """Write malformed entries of other writers under unused ids, and return the ids."""
        values = list(foreign_entries.build_malformed_entries(self.decoy.render_entry()).values())
        ids = [f'foreign-{rng.getrandbits(32):x}' for _ in range(count)]
        for id in ids:
            self.store.put_bytes(names.REPLICA_PREFIX + id, rng.choice(values))
        return ids

    def overwrite_entry(self, id: str, kind: str) -> int:
        """Replace a replica's entry by a malformed one.

        `kind` is a key of `foreign_entries.build_malformed_entries`; `write_entry` restores the
        replica's own entry. Returns the revision of the store.
        """
        values = foreign_entries.build_malformed_entries(self.replicas[id].render_entry())
        return self.store.put_bytes(names.REPLICA_PREFIX + id, values[kind])

    def get_entry_revision(self, id: str) -> int:
        """Return the revision of a replica's entry; 0 if there is none."""
        item = self.store.items.get(names.REPLICA_PREFIX + id)
        return item.revision if item else 0

    def has_entry(self, id: str) -> bool:
        """Return whether an entry exists under a replica's id."""
        return self.get_entry_revision(id) > 0

    def write_entry(self, id: str) -> None:
        """Write a replica's entry."""
        self.store.put(names.REPLICA_PREFIX + id, self.replicas[id].render_entry())

    def remove_entry(self, id: str) -> None:
        """Remove a replica's entry; the replica keeps running."""
        self.store.remove(names.REPLICA_PREFIX + id)

    def make_unreachable(self, id: str) -> None:
        """Make a replica leave every call unanswered."""
        self.replicas[id].faults.unreachable = True

    def make_reachable(self, id: str) -> None:
        """Make a replica answer again."""
        self.replicas[id].faults.unreachable = False

    def cut_off(self, router: str, replica_ids: Collection[str], kind: partitions.Cut) -> None:
        """Cut a router off from some replicas, which all others still reach."""
        addresses = [self.replicas[id].address for id in replica_ids]
        self.router_pools[router].cut_off(addresses, kind)

    def isolate(
        self, cut: Collection[router.Router], links: partitions.Links = partitions.Links.ALL
    ) -> partitions.Isolation:
        """Cut routers off from the registry and from all other routers, which reach replicas."""
        names_of_cut = frozenset(r.options.name for r in cut)
        addresses = frozenset(r.peers.address for r in cut)
        isolation = partitions.Isolation(links, names_of_cut, addresses)
        self.isolations.append(isolation)
        if partitions.Links.REGISTRY in links:
            for name in names_of_cut:
                self.router_pools[name].cut_off([self.store_address], partitions.Cut.HANG)
        return isolation

    def rejoin(self, isolation: partitions.Isolation) -> None:
        """End a partition, and those of the same routers from replicas."""
        self.isolations.remove(isolation)
        for name in isolation.routers:
            self.router_pools[name].heal()

    def add_router(self, name: str, zone: str, **changes: Any) -> router.Router:
        """Start a router."""
        pool = self.router_pools[name] = partitions.PartitionedPool([self.store_address])
        adapter = router.Adapter(
            dialect.Requests(),
            dialect.Records(),
            dialect.Directory(),
            dialect.Engines(pool),
            store.Store(self.store_address, pool),
            pool,
        )
        options = msgspec.structs.replace(build_options(name, zone), **changes)
        process = router.Router(options, adapter, random.Random(name))
        partitions.filter_messages(process.peers, self.isolations)
        self.routers.append(process)
        self._tasks.append(asyncio.ensure_future(process.run()))
        return process

    async def wait_ready(self, bound: float = 5.0) -> None:
        """Wait until all routers are ready and know each other and all replicas."""
        async with asyncio.timeout(bound):
            while not all(r.is_ready() and self._sees_all(r) for r in self.routers):
                await asyncio.sleep(0.01)

    async def wait_settled(self, bound: float = 15.0) -> None:
        """Wait until the routers count the actual number of routers for their retry budget.

        Until then each assumes `router.DAEMONS_AT_START` of them.
        """
        async with asyncio.timeout(bound):
            while any(r.forwarder.budgets.sharers >= router.DAEMONS_AT_START for r in self.routers):
                await asyncio.sleep(0.05)

    def age_routers(self) -> None:
        """Treat the routers as having run for a while: they have earned retries."""
        for process in self.routers:
            process.listed_at = clocks.now() - router.DISCOVERY_SECONDS
            process.forwarder.budgets.started_at -= process.options.retry_window
            process.forwarder.budgets.share(len(self.routers), process.roster.is_listed)

    async def wait_ended(self, process: router.Router) -> None:
        """Wait until a router has ended; raises its exception."""
        await self._tasks[self.routers.index(process)]

    async def stop(self) -> None:
        """Stop everything immediately."""
        for process in self.routers:
            process.force_stop()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.stop()
        for target in self._started_replicas:
            if target.server is not None:
                target.server.stop()
        self.pool.close()

    async def ask(self, path: str, entry: int = 0, **given: Any) -> Response:
        """Send a client request to a router and return the complete response; see `ask_at`."""
        return await self.ask_at(self.routers[entry].options.caller, path, **given)

    async def ask_at(
        self,
        address: str,
        path: str,
        id: str = '',
        key: str | None = KEY,
        patience_ms: int = 2000,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b'question',
        host: str = HOST,
        method: str = 'POST',
    ) -> Response:
        """Send a client request to an address and return the complete response."""
        self._ids += 1
        given = build_headers(id or f'r{self._ids}', patience_ms, key, host)
        request = exchanges.Request(method, path, [*given, *headers], body)
        answer = await self.pool.fetch(address, request, patience_ms / 1000 + RESPONSE_SLACK)
        return Response(answer.head.status, answer.head, answer.body)

    async def observe_at(
        self, address: str, request: exchanges.Request, patience: float
    ) -> ObservedResponse:
        """Send a client request to an address and return what arrives of the response."""
        observed = ObservedResponse()
        exchange: exchanges.Exchange | None = None
        try:
            async with asyncio.timeout(patience + RESPONSE_SLACK):
                exchange = await self.pool.open(address, request)
                observed.local_port = exchange.local_port
                observed.head = await exchange.read_head()
                while (part := await exchange.read()) is not None:
                    observed.body += part
                observed.status = observed.head.status
        except (TimeoutError, exchanges.ExchangeError) as error:
            observed.error = str(error) or 'timed out'
            if exchange is not None and not exchange.received_any:
                exchange.note_unresponsive()
        finally:
            if exchange is not None:
                exchange.close()
        return observed

    def list_runs(self, id: str) -> list[replica.Run]:
        """Return all runs of a request, on any replica."""
        return [r for target in self.replicas.values() for r in target.runs if r.id == id]

    def _sees_all(self, process: router.Router) -> bool:
        now = clocks.now()
        serving = process.roster.membership.list_serving(now)
        enough = len(serving) >= len(self.routers)
        return enough and len(process.pools.replicas) >= len(self.replicas)

    def _start_replica(self, started: replica.Replica) -> None:
        started.port = processes.pick_port()
        started.listen()
        started.address = f'127.0.0.1:{started.port}'
        self._started_replicas.append(started)

    def _listen(self, application: tornado.web.Application) -> str:
        sockets = tornado.netutil.bind_sockets(0, '127.0.0.1')
        server = tornado.httpserver.HTTPServer(application)
        server.add_sockets(sockets)
        self._servers.append(server)
        return f'127.0.0.1:{sockets[0].getsockname()[1]}'


def build_headers(
    id: str, patience_ms: int, key: str | None = KEY, host: str = HOST
) -> list[tuple[str, str]]:
    """Return the headers of every client request."""
    headers = [('Host', host), (names.REQUEST_ID, id), (names.DEADLINE, str(patience_ms))]
    if key is not None:
        headers.append((names.AUTHORIZATION, names.AUTHORIZATION_SCHEME + key))
    return headers


def render_request(
    path: str,
    id: str,
    patience_ms: int,
    headers: Sequence[tuple[str, str]] = (),
    body: bytes = b'',
) -> bytes:
    """Return a request as bytes, for clients that use a socket directly."""
    length = ('Content-Length', str(len(body)))
    given = [*build_headers(id, patience_ms), length, *headers]
    lines = [f'POST {path} HTTP/1.1', *(f'{name}: {value}' for name, value in given), '', '']
    return '\r\n'.join(lines).encode() + body


def make_prompt(rng: random.Random) -> list[tuple[str, str]]:
    """Return the headers of a prompt that shares a random prefix and has a unique last part."""
    subject = rng.randrange(PROMPT_SUBJECTS)
    parts = f'aa:800,b{subject}:400,c{rng.getrandbits(32):x}:200'
    return [(names.MODEL, MODEL), (names.TOKEN_USAGE, '1400,20'), (names.PREFIX_HASHES, parts)]


def build_configuration() -> dict[str, Any]:
    """Return a configuration with routes of each type."""

    def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
        return {
            'name': name,
            'host': HOST,
            'path_prefix': f'/{name}/',
            'type': kind,
            'timeout_ms': 3000,
            'target_latency_ms': 400,
            'priority': 1,
            'service': service,
            'max_attempts': 2,
            'public': False,
            **more,
        }

    return {
        'routes': [
            route('stream', 'streaming', 'llm', sticky=True),
            route('resume', 'streaming', 'llm', sticky=True, resumable=True),
            route('patient', 'streaming', 'llm', sticky=True, timeout_ms=30_000),
            route('safe', 'idempotent', 'app'),
            route('once', 'non_idempotent', 'app'),
            route('open', 'idempotent', 'app', public=True),
            route('brief', 'idempotent', 'app', timeout_ms=150, max_attempts=1),
            route('slow', 'non_idempotent', 'app', timeout_ms=9000, max_attempts=1),
        ],
        'services': [
            {
                'name': 'llm',
                'health_path': '/healthz',
                'max_connections': 100,
                'engine': {'slots': 16, 'kv_capacity': 10000, 'models': [{'name': MODEL}]},
            },
            {'name': 'app', 'health_path': '/healthz', 'max_connections': 100},
        ],
        'limits': {'max_body_bytes': 100_000},
        'tenants': [
            {'name': 'tower', 'api_keys': [KEY], 'priority': 0, 'isolated': True},
            {'name': 'farm', 'api_keys': ['secret-2'], 'isolated': False},
        ],
    }


def build_options(name: str, zone: str) -> routing.Options:
    """Return options for a router on loopback, with short time limits."""
    ports = [processes.pick_port() for _ in range(5)]
    return routing.Options(
        name=name,
        ip='127.0.0.1',
        failure_domain=zone,
        region='here',
        capacity=1.0,
        caller=f'127.0.0.1:{ports[0]}',
        ready=f'127.0.0.1:{ports[1]}',
        directory=f'127.0.0.1:{ports[2]}',
        peer_port=0,
        tunnel_port=ports[4],
        key_bound=2.0,
        keys_expire=True,
        stop_bound=5.0,
        answer_ttl=0.2,
        order_hold=0.5,
        version_bound=8.0,
        lease_ttl=1.0,
        retry_ratio=0.2,
        retry_slack=40,
        retry_window=10.0,
        rate_tolerance=buckets.Tolerance(8.0, 0.1, 1_000),
        metrics_port=ports[3],
    )


@asynccontextmanager
async def running(routers: int = 1, replicas: int = 2) -> AsyncIterator[Deployment]:
    """Start a deployment and stop it at the end of the context."""
    deployment = Deployment()
    try:
        await deployment.start(routers, replicas)
        yield deployment
    finally:
        await deployment.stop()
