"""Established connections that become unresponsive without a reset, while new ones work.

A packet filter on both sockets of a proxy drops all packets, acknowledgements included, like a
network device that has lost its state. Timeouts and keep-alives must detect that within seconds,
without abandoning upstreams or routers that are alive.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from passpier import clocks
from passpier.clients import connections
from passpier.daemon import messages, metrics, peers
from passpier.standins.platform import deployment, proxy
from passpier.tests.platform import client_disconnects_tests, harness

log = logging.getLogger(__name__)


async def wait_for(condition: harness.Condition, what: str) -> float:
    """Wait until a condition holds; log and return the seconds, which are not checked."""
    began = clocks.now()
    while not condition():
        await asyncio.sleep(0.01)
    seconds = clocks.now() - began
    log.info('%s: after %.2f s', what, seconds)
    return seconds


@dataclasses.dataclass
class ProxiedDeployment:
    """A deployment whose connections to the store and the replicas run through proxies."""

    running: deployment.Deployment
    store: proxy.Proxy
    links: dict[str, proxy.Proxy]

    def silence_replicas(self) -> None:
        for link in self.links.values():
            link.silence()


@contextlib.asynccontextmanager
async def running_proxied(**changes: object) -> AsyncIterator[ProxiedDeployment]:
    running = deployment.Deployment()
    links: dict[str, proxy.Proxy] = {}
    store = proxy.Proxy('')
    try:
        await running.start(routers=0)
        store.target = running.store_address
        await store.start()
        running.store_address = store.address
        for id, replica in running.replicas.items():
            links[id] = proxy.Proxy(replica.address)
            await links[id].start()
            replica.address = links[id].address
            running.write_entry(id)
        running.add_router('vm-0', 'zone-0', **changes)
        await running.wait_ready()
        yield ProxiedDeployment(running, store, links)
    finally:
        await running.stop()
        for link in [store, *links.values()]:
            await link.stop()


def run_check(check: Callable[[ProxiedDeployment], Awaitable[None]], **changes: object) -> None:
    async def run() -> None:
        async with running_proxied(**changes) as proxied:
            await check(proxied)

    asyncio.run(asyncio.wait_for(run(), 30))


def test_messages_between_routers_continue() -> None:
    async def run() -> None:
        counters = metrics.Metrics()
        sender = peers.Peers('here', '127.0.0.1', 0, counters)
        receiver = peers.Peers('there', '127.0.0.1', 0, counters)
        link = proxy.Proxy(receiver.address)
        await link.start()
        received: list[str] = []

        def take(sender: str, address: str, message: messages.Goodbye) -> None:
            received.append(message.incarnation)

        receiver.register_handler(messages.Goodbye, take)
        receiving = asyncio.ensure_future(receiver.run())
        sending = asyncio.ensure_future(send_repeatedly(sender, link.address))
        try:
            await wait_for(lambda: len(received) > 3, 'first messages')
            link.silence()
            received.clear()
            await wait_for(lambda: len(received) > 3, 'messages over a new connection')
        finally:
            for task in (receiving, sending):
                task.cancel()
            sender.close()
            receiver.close()
            await link.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


async def send_repeatedly(link: peers.Peers, address: str) -> None:
    while True:
        link.send(address, messages.Goodbye('x'))
        await asyncio.sleep(0.05)


def test_unresponsive_watch_does_not_count_as_one_without_changes() -> None:
    async def check(proxied: ProxiedDeployment) -> None:
        state = proxied.running.routers[0].registry_state
        # Now a watch request is waiting for changes.
        await asyncio.sleep(0.3)
        before = state.freshness.proved_at
        proxied.store.silence()
        silenced_at = clocks.now()
        proxied.running.configure()
        await wait_for(
            lambda: state.table is not None and state.table.configuration.version == 2,
            'configuration update over a silenced store connection',
        )
        assert before <= state.freshness.proved_at
        # Data received before the silence must not count as proof of freshness after it.
        assert state.freshness.proved_at >= silenced_at

    run_check(check)


def test_unresponsive_connection_closes_the_idle_ones_to_the_store() -> None:
    async def check(proxied: ProxiedDeployment) -> None:
        process = proxied.running.routers[0]
        source = process.adapter.source
        await asyncio.gather(*(source.read('nothing/') for _ in range(6)))
        proxied.store.silence()
        failures = 0
        while True:
            try:
                await source.read('nothing/')
                break
            except Exception:
                failures += 1
        assert failures == 1

    run_check(check)


def test_upstream_that_was_down_closes_no_connections_to_others() -> None:
    async def check(proxied: ProxiedDeployment) -> None:
        running = proxied.running
        await asyncio.gather(*(running.ask('/safe/x') for _ in range(6)))
        pool = running.routers[0].adapter.pool
        address = proxied.links['app-0'].address
        others = [c for c in list_idle(pool) if c.address != address]
        assert others
        # Unresponsive for a long time: the process that responds now was restarted.
        pool.note_unresponsive(
            connections.Path(address), clocks.now() - 2 * connections.UNRESPONSIVE_MEMORY
        )
        await running.routers[0].adapter.engines.report(address, 'app-0')
        assert not [c for c in others if c.closed]
        pool.note_unresponsive(connections.Path(address), clocks.now())
        await running.routers[0].adapter.engines.report(address, 'app-0')
        assert [c for c in others if c.closed]

    run_check(check)


def list_idle(pool: connections.Pool) -> list[connections.Connection]:
    return [c for idle in pool._idle.values() for c in idle]


@pytest.mark.parametrize(('path', 'prompt'), [('/safe/x', False), ('/resume/x', True)])
def test_replicas_that_are_alive_are_not_abandoned(path: str, prompt: bool) -> None:
    headers = harness.PROMPT_HEADERS if prompt else []

    async def check(proxied: ProxiedDeployment) -> None:
        running = proxied.running
        # Before that, the router may spend only a small share of the common retry budget.
        await running.wait_settled()
        await asyncio.gather(*(running.ask(path, headers=headers) for _ in range(8)))
        proxied.silence_replicas()
        replies = await asyncio.gather(
            *(running.ask(path, headers=headers, patience_ms=4000) for _ in range(8))
        )
        assert [r.status for r in replies] == [200] * 8
        assert not running.routers[0].pools.unresponsive
        again = [await running.ask(path, headers=headers) for _ in range(4)]
        assert [r.status for r in again] == [200] * 4

    run_check(check)


def test_running_stream_is_resumed_elsewhere() -> None:
    async def check(proxied: ProxiedDeployment) -> None:
        proxied.running.age_routers()
        for replica in proxied.running.replicas.values():
            replica.event_count = 100
        pending = asyncio.ensure_future(
            proxied.running.ask(
                '/resume/x', id='one', headers=harness.PROMPT_HEADERS, patience_ms=8000
            )
        )
        await wait_for(lambda: bool(proxied.running.list_runs('one')), 'run')
        await asyncio.sleep(0.1)
        proxied.silence_replicas()
        reply = await pending
        assert reply.status == 200
        assert reply.body.count(b'id: ') == 100
        assert len(proxied.running.list_runs('one')) == 2
        assert not proxied.running.routers[0].pools.unresponsive

    run_check(check)


def test_unresponsive_client_blocks_no_replica() -> None:
    async def check(proxied: ProxiedDeployment) -> None:
        running = proxied.running
        for replica in running.replicas.values():
            replica.event_count = 10_000
        link = proxy.Proxy(running.routers[0].options.caller)
        await link.start()
        pending = asyncio.ensure_future(
            running.ask_at(
                link.address,
                '/patient/x',
                'one',
                headers=harness.PROMPT_HEADERS,
                patience_ms=25_000,
            )
        )
        await wait_for(lambda: bool(running.list_runs('one')), 'run')
        await asyncio.sleep(0.1)
        link.silence()
        await wait_for(
            lambda: client_disconnects_tests.list_dropped(running) == ['one'], 'silent client'
        )
        pending.cancel()
        await link.stop()

    run_check(check)
