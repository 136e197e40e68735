"""Starts, runs and stops the daemon."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import logging
import random
import signal
import sys
from collections.abc import Sequence

import tornado.httpserver
import tornado.netutil
import uuid_utils

from passpier import clocks, exceptions
from passpier.clients import engines, store, web
from passpier.config import settings
from passpier.core import drain, members
from passpier.daemon import (
    callers,
    dispatcher,
    events,
    fleet,
    generation,
    limits,
    loads,
    logs,
    metrics,
    operators,
    peers,
    placement,
    plain,
    service,
    storage,
    suspects,
    suspension_monitor,
    tasks,
    upstreams,
)

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
STOP_CHECK = 0.05
"""Seconds between checks whether the drain is complete."""

FINAL_RESPONSE_TIMEOUT = 1.0
"""Seconds after the bound of a drain for sending the final responses of cancelled requests."""

BODY_MARGIN = 64 * 1024
"""Bytes over the body limit that are still read, so that a refusal can be sent."""


class Daemon:
    """All components and tasks of one daemon."""

    def __init__(self, options: settings.Settings) -> None:
        self.options = options
        self._interrupted = False
        rng = random.Random(options.seed or None)
        counters = self.counters = metrics.Metrics()
        self._caller_sockets = tornado.netutil.bind_sockets(options.caller_port, options.ip)
        self._operator_sockets = tornado.netutil.bind_sockets(options.operator_port, options.ip)
        incarnation = uuid_utils.uuid7().hex
        self.peers = peers.Peers(incarnation, options.ip, options.peer_port, counters)
        own = members.Member(
            options.name,
            incarnation,
            options.ip,
            self._caller_sockets[0].getsockname()[1],
            self.peers.port,
            options.failure_domain,
        )
        membership = members.Membership(own, options.heartbeat, clocks.now())
        self.client = web.Client()
        engine_client = engines.HttpEngines(self.client)
        self.upstreams = upstreams.Upstreams(
            self.client, engine_client, options.vm_list, options.view_blocks, counters
        )
        self.events = None
        if options.events == 'all':
            self.events = events.Events(self.upstreams, counters)
        shared_storage = storage.Storage(self._build_store(), options.lease_ttl, rng)
        account_limits = limits.Limits(membership, self.peers, options.entry_count)
        self.fleet = fleet.Fleet(
            options,
            membership,
            self.peers,
            shared_storage,
            self.upstreams,
            self.events,
            account_limits,
            counters,
            rng,
        )
        call_dispatcher = dispatcher.Dispatcher(self.upstreams, counters, rng)
        self.suspects = suspects.SuspectRequests(
            membership,
            self.peers,
            self.upstreams.has_ended,
            lambda: membership.choose_targets(rng),
        )
        generator = generation.Generator(
            engine_client, self.upstreams, call_dispatcher, counters, rng, self.suspects
        )
        plain_caller = plain.PlainCaller(
            self.client, self.upstreams, call_dispatcher, generator.budget, counters, rng
        )
        self.service = service.Service(
            self.fleet, call_dispatcher, generator, plain_caller, self.peers, counters
        )
        self.loads = loads.Loads(membership, self.upstreams, self.peers)
        self.placement = placement.ModelPlacement(self.fleet, self.upstreams, engine_client)
        self.operators = operators.Operators(self.service, self.peers)

    async def run(self) -> None:
        """Serve until a drain is complete."""
        coroutines = [
            self.peers.run(),
            self.fleet.run_heartbeats(),
            self.fleet.run_bootstrap(),
            self.fleet.run_store(),
            self.upstreams.run_polls(),
            self.upstreams.run_vm_list(),
            self.placement.run(),
            self.loads.run(),
            self.suspects.run(),
            suspension_monitor.watch(self.counters, self.fleet.announce),
        ]
        running = [tasks.start(coroutine) for coroutine in coroutines]
        servers = self._listen()
        self._handle_signals()
        log.info(
            'serving',
            extra={
                'entry': self.fleet.membership.own.entry,
                'operators': self._operator_sockets[0].getsockname()[1],
                'peers': self.peers.address,
                'incarnation': self.fleet.membership.own.incarnation,
            },
        )
        await self.fleet.stopping.wait()
        await self._finish_requests()
        for server in servers:
            server.stop()
        for task in running:
            task.cancel()
        await self._leave()
        # Another request may have arrived on an open connection.
        await self._finish_requests()
        await self._close(servers)

    async def _finish_requests(self) -> None:
        while self.service.get_phase() is not drain.Phase.STOPPED:
            await asyncio.sleep(STOP_CHECK)
        if self.service.in_flight:
            await self._cancel_all()

    async def _cancel_all(self) -> None:
        """Cancel all requests in progress, each with a final response."""
        log.warning(
            'stopped with requests running',
            extra={'cut': self.service.in_flight, 'hurried': self.fleet.drain.forced},
        )
        end = clocks.now() + FINAL_RESPONSE_TIMEOUT
        await self.service.cancel_all(FINAL_RESPONSE_TIMEOUT / 2)
        while self.service.in_flight and clocks.now() < end:
            await asyncio.sleep(STOP_CHECK)
        if self.service.in_flight:
            log.warning('answers not taken', extra={'left': self.service.in_flight})

    async def _leave(self) -> None:
        self.fleet.announce_departure()
        with contextlib.suppress(exceptions.StoreError):
            await self.fleet.storage.unregister()
        if self.events is not None:
            self.events.close()
        await self.peers.flush()

    async def _close(self, servers: Sequence[tornado.httpserver.HTTPServer]) -> None:
        # Closes idle connections at once, so that callers do not send requests that get lost.
        for server in servers:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(server.close_all_connections(), FINAL_RESPONSE_TIMEOUT)
        self.peers.close()
        self.client.close()
        log.info('stopped')

    def _listen(self) -> list[tornado.httpserver.HTTPServer]:
        bound = self.options.max_body + BODY_MARGIN
        caller_server = tornado.httpserver.HTTPServer(
            callers.RequestTracker(self.service), max_buffer_size=bound, max_body_size=bound
        )
        caller_server.add_sockets(self._caller_sockets)
        secret = self.options.operator_secret.get_secret_value()
        operator_server = tornado.httpserver.HTTPServer(
            operators.build_application(self.operators, secret)
        )
        operator_server.add_sockets(self._operator_sockets)
        return [caller_server, operator_server]

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        signal.signal(signal.SIGTERM, functools.partial(self._handle_sigterm, loop))
        loop.add_signal_handler(signal.SIGINT, self._handle_sigint)

    def _handle_sigterm(self, loop: asyncio.AbstractEventLoop, number: int, frame: object) -> None:
        """Begin to drain; called by the interpreter, even while the event loop is busy."""
        loop.call_soon_threadsafe(self.fleet.begin_drain, clocks.now())

    def _handle_sigint(self) -> None:
        """Begin to drain on an interrupt from the terminal; a second one ends the drain."""
        self.fleet.begin_drain()
        if self._interrupted:
            self.fleet.force_drain()
        self._interrupted = True

    def _build_store(self) -> store.Store:
        endpoints = self.options.store_endpoints
        return store.EtcdStore(endpoints, self.client) if endpoints else store.MemoryStore()


def main() -> None:
    """Run the daemon; exits with status 2 if the settings are invalid."""
    try:
        options = settings.load_settings(sys.argv[1:])
    except exceptions.FindingsError as error:
        for finding in error.findings:
            print(f'passpierd: {finding}', file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    logs.configure_logging(options.log_level, options.log_format, options.name)
    tasks.run_process(_run(options))


async def _run(options: settings.Settings) -> None:
    await Daemon(options).run()


if __name__ == '__main__':
    main()
