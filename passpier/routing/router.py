"""Wires up, reloads and stops a router process."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import resource

import tornado.httpserver
import tornado.netutil
import tornado.web
import uuid_utils

from passpier import clocks
from passpier.clients import connections, registry
from passpier.core import (
    backpressure,
    drain,
    features,
    members,
    rates,
    replica_processes,
    replicas,
)
from passpier.daemon import (
    dispatcher,
    loads,
    messages,
    metrics,
    peers,
    suspects,
    suspension_monitor,
    tasks,
)
from passpier.routing import (
    backoff_sharing,
    brittleness,
    cache_store_follower,
    crash_records,
    dialect,
    forwarding,
    ingress,
    load_balancing,
    origin_records,
    origin_sharing,
    paths,
    placement_sharing,
    pools,
    probing,
    rate_limiting,
    registry_follower,
    registry_mirror,
    relaying,
    rollouts,
    roster,
    sources,
    state_proofs,
    throttling,
    timeline_marks,
    tunnel_server,
    version_records,
)

log = logging.getLogger(__name__)

STOP_CHECK = 0.05
"""Seconds between checks whether a drain is complete."""

RESPONSE_LIFETIMES = 3
"""Number of lifetimes for which some clients keep a response of the directory."""

LOOP_CHECK_INTERVAL = 0.1
"""Seconds between checks that the event loop is running. A signal counts as sent at the last one,
up to this much too early."""

GOODBYE_SECONDS = 0.15
"""Seconds in which a stopping process removes its entry and leases from the registry. Both expire
anyway; a slow registry must not delay the process until it is killed."""

FINAL_LOOP_ITERATIONS = 10
"""Iterations of the event loop in which requests that arrived at the last moment are refused; each
takes a few."""

QUIET_BEFORE_STOP = 0.3
"""Seconds without a request before a drain ends, since one may be on its way."""

DAEMONS_AT_START = 32
"""Processes assumed to share the retry budget until the others are known: after a power failure all
start at once, and none may spend the budget of all."""

DISCOVERY_SECONDS = 5.0
"""Seconds after its first listing in the registry in which a process assumes that; heartbeats need
about one to make all known."""

LOADS_INTERVAL = 0.1
"""Seconds between messages on loads to a peer: traffic between failure domains is billed."""

BACKLOG = 1024
"""Connections that may wait to be accepted while the event loop is busy. Others are dropped and
retried after a second: after a power failure hundreds of clients connect at once."""

CLIENT_FILES_SHARE = 0.5
"""Fraction of the file descriptors for client connections; the rest is for upstreams, peers and the
registry."""

TUNNELS_PER_FILE = 0.1
"""Maximum number of tunnels per file descriptor of the process; each takes two."""

MAX_SIBLINGS_CHECKED = 16
"""Replicas of a service that are checked at once when the path to one of them is lost."""

UPKEEP_INTERVAL = 1.0
"""Seconds between rounds that close expired idle connections."""


class Adapter:
    """The components that a platform's adapter provides."""

    def __init__(
        self,
        wire: dialect.Dialect,
        records: dialect.Records,
        directory: dialect.Directory,
        engines: dialect.Engines,
        source: registry.Registry,
        pool: connections.Pool,
    ) -> None:
        self.wire = wire
        self.records = records
        self.directory = directory
        self.engines = engines
        self.source = source
        self.pool = pool


class Router:
    """All tasks of one router process."""

    def __init__(
        self,
        options: dialect.Options,
        adapter: Adapter,
        rng: random.Random,
        process_started_at: float = math.inf,
    ) -> None:
        self.options = options
        self.adapter = adapter
        self.counters = metrics.Metrics()
        self.pools = pools.Pools(options.version_bound, process_started_at=process_started_at)
        self.registry_state = registry_mirror.RegistryState(
            adapter.records, self.pools, options.key_bound
        )
        self.registry_state.on_refused = lambda kind: self.counters.refused_records.inc(
            {'kind': kind}
        )
        self.registry_state.on_return = lambda: self.counters.registry_returns.inc({})
        incarnation = uuid_utils.uuid7().hex
        self.peers = peers.Peers(incarnation, options.ip, options.peer_port, self.counters)
        own = members.Member(
            options.name,
            incarnation,
            options.ip,
            int(options.caller.rpartition(':')[2]),
            self.peers.port,
            options.failure_domain,
            options.capacity,
            options.tunnel_port,
        )
        self.meter = rates.Meter(clocks.now())
        self.roster = roster.Roster(own, self.registry_state, self.peers, self.meter, rng)
        self.paths = paths.Paths(self.roster.membership, adapter.pool, adapter.engines, rng)
        adapter.pool.choose_proxy = self.paths.choose
        self.pools.on_process_ended = self._forget_address
        self.relay = relaying.Relay(self.registry_state, self.roster.membership, self.peers, rng)
        self.registry_follower = registry_follower.RegistryFollower(
            adapter.source, self.registry_state, self.relay, rng
        )
        self.timeline_marks = timeline_marks.TimelineMarks(
            adapter.source, self.registry_state, self.relay
        )
        self.rollouts = rollouts.Rollouts(
            adapter.source,
            self.registry_state,
            self.registry_follower,
            self.roster,
            adapter.engines,
            self.paths,
            self.peers,
            options,
            rng,
        )
        self.cache_store_follower = cache_store_follower.CacheStoreFollower(
            self.pools,
            adapter.engines,
            self.paths,
            self.roster,
            self.peers,
            lambda: bool(self.rollouts.holder.token),
        )
        self.loads = loads.Loads(self.roster.membership, self.pools, self.peers, LOADS_INTERVAL)
        self.sharing = placement_sharing.PlacementSharing(
            sources.CacheSources(self.pools), self.roster.membership, self.peers
        )
        self.prober = probing.Prober(self.registry_state, self.paths, self.roster.notify_serving)
        self.paths.on_lost = self._check_siblings
        self.peers.register_handler(messages.ReplicaUnresponsive, self._handle_unresponsive)
        self.peers.register_handler(messages.ProcessReplaced, self._handle_process_replaced)
        membership = self.roster.membership
        self.suspects = suspects.SuspectRequests(
            membership, self.peers, self.prober.has_ended, lambda: membership.choose_targets(rng)
        )
        self.crash_records = crash_records.CrashRecords(
            adapter.source, self.registry_state, self.suspects, incarnation
        )
        self.limiter = rate_limiting.RateLimiter(
            self.registry_state, membership, self.peers, options.rate_tolerance, rng
        )
        proofs = state_proofs.StateProofs(
            adapter.source, self.registry_state, self.relay, self.peers
        )
        self.origins = origin_sharing.OriginSharing(
            self.registry_state,
            membership,
            self.peers,
            origin_records.OriginRecords(adapter.source, self.registry_state, membership),
            version_records.VersionRecords(adapter.source, self.registry_state, membership, proofs),
            proofs,
            self.prober,
        )
        self.throttling = throttling.Throttling(
            self.pools, membership, self.peers, self.roster.notify_serving, rng
        )
        self.brittleness = brittleness.Brittleness(
            self.pools, membership, self.peers, self.roster.notify_serving
        )
        self.backoff_sharing = backoff_sharing.BackoffSharing(
            self.pools, membership, self.peers, self.roster.notify_serving, self.paths
        )
        self.pools.on_signal = self._handle_signal
        self.pools.on_leaving = self._notify_departing
        self.peers.register_handler(messages.ReplicaLeaving, self._handle_replica_leaving)
        # Routing decisions can't be queried from this process, they are only logged.
        request_dispatcher = dispatcher.Dispatcher(self.pools, self.counters, rng, decisions_kept=0)
        self.load_balancing = load_balancing.LoadBalancing(
            options, self.registry_state, membership, self.peers, self.counters, rng
        )
        self.load_balancing.attach_dispatcher(request_dispatcher)
        self.forwarder = forwarding.Forwarder(
            self.registry_state,
            request_dispatcher,
            adapter.pool,
            adapter.wire,
            self.counters,
            options,
            self.prober,
            self.paths,
            self.sharing,
            self.suspects,
            self.limiter,
            self.origins,
        )
        self.load_balancing.attach_forwarder(self.forwarder)
        self.ingress = ingress.Ingress(
            self.registry_state,
            self.forwarder,
            adapter.wire,
            self.counters,
            self.meter,
            adapter.pool.buffers,
        )
        self._limit_buffers(options)
        self._drain = drain.Drain(*_read_stop_times(options))
        self.forwarder.budgets.sharers = DAEMONS_AT_START
        self._started_at = clocks.now()
        self.listed_at: float | None = None
        """When the registry listed this process for the first time, as far as it knows."""

        self.loop_checked_at = self._started_at
        """When the event loop was last known to run. A signal that is handled now arrived after
        that; how long after is unknown, since the VM may not have scheduled the process
        meanwhile."""

        self._stopping = asyncio.Event()
        self.ingress.accepts_requests = self._accepts_requests
        files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.ingress.clients.max_open = int(files * CLIENT_FILES_SHARE)
        self.tunnels = tunnel_server.TunnelServer(
            membership, self.pools, adapter.pool.dial, int(files * TUNNELS_PER_FILE)
        )
        self.tunnels.is_direct = self.paths.is_direct
        self.backoff_sharing.has_tunnels = self.tunnels.leads_to
        self._client_server = self.ingress.build_server()

    async def run(self) -> None:
        """Serve until a drain is complete."""
        source = self.adapter.source
        # Before the tasks, so that a port in use fails the start without other effects.
        servers = self._listen()
        running = [
            tasks.start(self.peers.run()),
            tasks.start(self.registry_follower.run()),
            tasks.start(self.relay.run()),
            tasks.start(self.timeline_marks.run()),
            tasks.start(self.roster.run_registration(source)),
            tasks.start(self.roster.run_heartbeats()),
            tasks.start(self.rollouts.run_election()),
            tasks.start(self.rollouts.run_orders()),
            tasks.start(self.paths.run()),
            tasks.start(self._check_loop()),
            tasks.start(suspension_monitor.watch(self.counters, self._resume)),
            tasks.start(self._run_upkeep()),
            tasks.start(self.cache_store_follower.run()),
            tasks.start(self.sharing.run()),
            tasks.start(self.loads.run()),
            tasks.start(self.suspects.run()),
            tasks.start(self.crash_records.run()),
            tasks.start(self.limiter.run()),
            tasks.start(self.origins.run()),
            tasks.start(self.origins.run_records()),
            tasks.start(self.throttling.run()),
            tasks.start(self.brittleness.run()),
        ]
        running += [tasks.start(run()) for run in self.load_balancing.list_tasks()]
        try:
            await self._serve(servers)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            self.paths.stop()
            self.tunnels.close()
            self.adapter.pool.close()
            self.peers.close()
        log.info('stopped', extra={'cut': self.ingress.in_flight})

    async def _serve(self, servers: list[tornado.httpserver.HTTPServer]) -> None:
        log.info(
            'started',
            extra={
                'seconds': round(clocks.now() - clocks.read_process_start(), 3),
                'entry': self.options.caller,
                'peers': self.peers.address,
                'incarnation': self.roster.membership.own.incarnation,
                'failure_domain': self.options.failure_domain,
            },
        )
        await self._stopping.wait()
        await self._finish()
        for server in servers:
            server.stop()
        self.prober.stop()
        await self._leave_cluster()
        # A request may have arrived on a kept connection since.
        await self._finish()
        # Requests that arrive from here on are not answered, so nothing may block the loop.
        for _ in range(FINAL_LOOP_ITERATIONS):
            if not self.ingress.clients.close_idle():
                break
            await asyncio.sleep(0)
        await self.ingress.end_running(self._drain.began_at or self._started_at)

    async def _leave_cluster(self) -> None:
        self.roster.announce_departure()
        try:
            async with asyncio.timeout(GOODBYE_SECONDS):
                await self.rollouts.stop()
                await self.roster.end(self.adapter.source)
        except TimeoutError:
            log.info(
                'entry and leases not released in time, will expire',
                extra={'seconds': GOODBYE_SECONDS},
            )
        await self.peers.flush()

    def begin_stop(self, not_later: float | None = None) -> None:
        """Start a drain; a second call has no effect.

        Its times count from `not_later`, or from now: see `loop_checked_at`.
        """
        now = clocks.now()
        began_at = now if not_later is None else not_later
        if self._drain.began_at is not None:
            since = round(now - self._drain.began_at, 3)
            log.info('stop already in progress', extra={'seconds': since})
            return
        self._drain.begin(began_at)
        log.info(
            'stop started',
            extra={
                'in_flight': self.ingress.in_flight,
                'noticed_after': round(now - began_at, 4),
            },
        )
        self.ingress.stopping = True
        self._client_server.conn_params.no_keep_alive = True
        self.roster.begin_leaving()
        self._stopping.set()

    def force_stop(self) -> None:
        """End a drain early, or stop at once: requests in progress are ended as they are."""
        self.begin_stop()
        self._drain.force()
        log.info('stop forced', extra={'in_flight': self.ingress.in_flight})

    def reload(self, options: dialect.Options) -> None:
        """Apply changed settings; addresses stay until the next start."""
        self.options = options
        self.registry_state.freshness.bound = options.key_bound
        self.forwarder.reload(options)
        self.rollouts.holder.hold = options.order_hold
        self.pools.version_bound = options.version_bound
        self.limiter.buckets.tolerance = options.rate_tolerance
        self._drain.configure(*_read_stop_times(options))
        self._limit_buffers(options)
        log.info('settings reloaded', extra={'key_bound': options.key_bound})

    def _limit_buffers(self, options: dialect.Options) -> None:
        if features.Feature.BUFFER_LIMITS in options.enabled_features:
            self.adapter.pool.buffers.configure(options.memory_mb)

    @property
    def stopping(self) -> bool:
        """Whether a drain has begun."""
        return self._drain.began_at is not None

    def is_ready(self) -> bool:
        """Return whether clients should be sent here."""
        now = clocks.now()
        fresh = self.registry_state.freshness.is_fresh(now)
        return self.registry_state.is_ready() and fresh and not self.roster.leaving

    def _handle_unresponsive(
        self, sender: str, address: str, message: messages.ReplicaUnresponsive
    ) -> None:
        log.info(
            'upstream unresponsive at a peer',
            extra={
                'upstream': message.replica,
                'peer': address,
                'last_heard_age': self.prober.compute_contact_age(message.process),
            },
        )
        self.prober.probe(message.process)

    def _handle_process_replaced(
        self, sender: str, address: str, message: messages.ProcessReplaced
    ) -> None:
        self.prober.probe(message.process, 0.0)

    def _forget_address(self, replica: replicas.Replica) -> None:
        """Drop the connections and the path to a replica process that has ended."""
        self.adapter.pool.close_idle(replica.address)
        self.paths.forget(replica.address)

    def _check_siblings(self, address: str) -> None:
        """Check the paths to other replicas of a service when that to one of them is lost."""
        known = self.pools.replicas
        name = next((n for n, r in known.items() if r.address == address), '')
        for sibling in self.pools.list_siblings(name)[:MAX_SIBLINGS_CHECKED] if name else ():
            replica = known[sibling]
            if self.paths.is_direct(replica.address):
                self.paths.note_connect_failure(replica.address)
                self.prober.probe(replica.process, 0.0)

    def _handle_signal(
        self,
        process: replica_processes.ReplicaProcess,
        signal: backpressure.Signal,
        ran_since: float | None,
    ) -> None:
        self.throttling.handle_signal(process, signal, ran_since)
        self.brittleness.handle_signal(process, signal, ran_since)
        self.backoff_sharing.handle_signal(process, signal)

    def _notify_departing(self, process: replica_processes.ReplicaProcess) -> None:
        self.roster.notify_serving(messages.ReplicaLeaving(process.id, process.started_ms))

    def _handle_replica_leaving(
        self, sender: str, address: str, message: messages.ReplicaLeaving
    ) -> None:
        self.pools.mark_leaving(message.process, sender)

    def _accepts_requests(self) -> bool:
        return self._drain.accepts_requests(clocks.now())

    async def _finish(self) -> None:
        while True:
            now = clocks.now()
            recent = now - self.ingress.last_active_at < QUIET_BEFORE_STOP
            busy = self.ingress.in_flight + recent + self.tunnels.count_busy()
            phase = self._drain.get_phase(busy, now)
            if phase is drain.Phase.STOPPED:
                break
            await asyncio.sleep(STOP_CHECK)
        await self.ingress.end_running(self._drain.began_at or self._started_at)

    async def _check_loop(self) -> None:
        while True:
            self.loop_checked_at = clocks.now()
            await asyncio.sleep(LOOP_CHECK_INTERVAL)

    def _resume(self) -> None:
        """Resume work after the VM was suspended."""
        # The peers may have closed these connections meanwhile.
        self.adapter.pool.close()
        self.roster.send_heartbeat(self.roster.membership.list_known())

    async def _run_upkeep(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL)
            self.adapter.pool.close_expired()
            self.counters.buffered_bytes.set({}, self.adapter.pool.buffers.used)
            sharers = self._count_retry_sharers(clocks.now())
            self.forwarder.budgets.share(sharers, self.roster.is_listed)

    def _count_retry_sharers(self, now: float) -> int:
        """Return the number of processes to assume for the retry budget.

        A process that the registry doesn't list can't expect to find the others there, so that
        seeing nobody doesn't mean that it is alone.
        """
        if self.listed_at is None and self.roster.is_listed:
            self.listed_at = now
        if self.listed_at is None or now - self.listed_at < DISCOVERY_SECONDS:
            return max(self.roster.max_known, DAEMONS_AT_START)
        return self.roster.max_known

    def _listen(self) -> list[tornado.httpserver.HTTPServer]:
        """Open all ports; raises `OSError`, with the peers' sockets closed, if one is taken."""
        try:
            return self._open_ports()
        except OSError:
            self.peers.close()
            raise

    def _open_ports(self) -> list[tornado.httpserver.HTTPServer]:
        directory = self.adapter.directory
        state = {'app': self, 'directory': directory}
        pages = tornado.web.Application(
            [
                (directory.directory_path, _DirectoryHandler, state),
                (directory.ready_path, _ReadyHandler, state),
                ('/metrics', _MetricsHandler, state),
            ]
        )
        _listen_on(self._client_server, self.options.caller)
        servers = [self._client_server]
        if self.options.tunnel_port:
            tunnels = self.tunnels.build_server()
            _listen_on(tunnels, self.roster.membership.own.tunnel)
            servers.append(tunnels)
        metrics_address = f'{self.options.ip}:{self.options.metrics_port}'
        for address in {self.options.ready, self.options.directory, metrics_address}:
            server = tornado.httpserver.HTTPServer(pages)
            _listen_on(server, address)
            servers.append(server)
        return servers


class _PageHandler(tornado.web.RequestHandler):
    def initialize(self, app: Router, directory: dialect.Directory) -> None:
        self.app = app
        self.directory = directory


class _DirectoryHandler(_PageHandler):
    def get(self) -> None:
        """Answer with the addresses that a client should use."""
        query = self.directory.read_query(self.request)
        app = self.app
        addresses = app.roster.choose_entries(query, clocks.now(), app.is_ready())
        self.write(self.directory.render_entries(addresses, app.options.answer_ttl))


class _ReadyHandler(_PageHandler):
    def get(self) -> None:
        """Answer whether clients should be sent here."""
        if not self.app.is_ready():
            self.set_status(503)
        self.finish()


class _MetricsHandler(_PageHandler):
    def get(self) -> None:
        """Answer with all metrics."""
        body, headers = self.app.counters.render(self.request.headers.get_list('Accept'))
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(body)


def _read_stop_times(options: dialect.Options) -> tuple[float, float, float]:
    """Return the directory's lifetime, the limit of a stop, and how long old responses are kept."""
    return options.answer_ttl, options.stop_bound, options.answer_ttl * (RESPONSE_LIFETIMES - 1)


def _listen_on(server: tornado.httpserver.HTTPServer, address: str) -> None:
    host, _, port = address.rpartition(':')
    sockets = tornado.netutil.bind_sockets(int(port), host, backlog=BACKLOG)
    for listening in sockets:
        # An unresponsive client must not keep a replica busy with a stream.
        connections.configure_keepalive(listening)
    server.add_sockets(sockets)
