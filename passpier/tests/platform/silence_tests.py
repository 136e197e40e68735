"""Open connections that fall silent for good, without a reset, while new ones work.

A packet filter on both sockets of a proxy drops whatever comes, acknowledgements included, as a
network device does that has lost its state. What must hold: time-outs and keep-alives of our own
notice it within seconds, and neither living upstreams nor living routers are given up for it.
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
from passpier.tests.platform import leaving_tests, scenes

log = logging.getLogger(__name__)


async def wait_for(condition: scenes.Condition, what: str) -> float:
    """Return after how many seconds a condition holds; the time is told, not judged."""
    began = clocks.now()
    while not condition():
        await asyncio.sleep(0.01)
    seconds = clocks.now() - began
    log.info('%s: after %.2f s', what, seconds)
    return seconds


@dataclasses.dataclass
class Scene:
    """A deployment whose links run through proxies."""

    running: deployment.Deployment
    store: proxy.Proxy
    links: dict[str, proxy.Proxy]

    def silence_replicas(self) -> None:
        for link in self.links.values():
            link.silence()


@contextlib.asynccontextmanager
async def staging(**changes: object) -> AsyncIterator[Scene]:
    running = deployment.Deployment()
    links: dict[str, proxy.Proxy] = {}
    store = proxy.Proxy('')
    try:
        await running.start(routers=0)
        store.target = running.store_address
        await store.start()
        running.store_address = store.address
        for id, known in running.replicas.items():
            links[id] = proxy.Proxy(known.address)
            await links[id].start()
            known.address = links[id].address
            running.record(id)
        running.add_router('vm-0', 'zone-0', **changes)
        await running.wait_ready()
        yield Scene(running, store, links)
    finally:
        await running.stop()
        for link in [store, *links.values()]:
            await link.stop()


def play(check: Callable[[Scene], Awaitable[None]], **changes: object) -> None:
    async def run() -> None:
        async with staging(**changes) as scene:
            await check(scene)

    asyncio.run(asyncio.wait_for(run(), 30))


def test_messages_between_routers_go_on() -> None:
    async def run() -> None:
        counters = metrics.Metrics()
        here = peers.Peers('here', '127.0.0.1', 0, counters)
        there = peers.Peers('there', '127.0.0.1', 0, counters)
        link = proxy.Proxy(there.address)
        await link.start()
        heard: list[str] = []

        def take(sender: str, address: str, message: messages.Goodbye) -> None:
            heard.append(message.incarnation)

        there.handle(messages.Goodbye, take)
        receiving = asyncio.ensure_future(there.run())
        telling = asyncio.ensure_future(tell(here, link.address))
        try:
            await wait_for(lambda: len(heard) > 3, 'first messages')
            link.silence()
            heard.clear()
            await wait_for(lambda: len(heard) > 3, 'messages over a new connection')
        finally:
            for task in (receiving, telling):
                task.cancel()
            here.close()
            there.close()
            await link.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


async def tell(link: peers.Peers, address: str) -> None:
    while True:
        link.send(address, messages.Goodbye('x'))
        await asyncio.sleep(0.05)


def test_a_silent_watch_is_not_taken_for_an_empty_one() -> None:
    async def check(scene: Scene) -> None:
        known = scene.running.routers[0].known
        # Within a watch that waits for changes.
        await asyncio.sleep(0.3)
        before = known.freshness.proved_at
        scene.store.silence()
        silenced_at = clocks.now()
        scene.running.configure()
        await wait_for(
            lambda: known.table is not None and known.table.configuration.version == 2,
            'the configuration of a silenced store link',
        )
        assert before <= known.freshness.proved_at
        # Nothing that came before the change may count as a proof behind the silence.
        assert known.freshness.proved_at >= silenced_at

    play(check)


def test_one_silent_connection_to_the_store_ends_the_others_that_rest() -> None:
    async def check(scene: Scene) -> None:
        process = scene.running.routers[0]
        source = process.adapter.source
        await asyncio.gather(*(source.read('nothing/') for _ in range(6)))
        scene.store.silence()
        failures = 0
        while True:
            try:
                await source.read('nothing/')
                break
            except Exception:
                failures += 1
        assert failures == 1

    play(check)


def test_an_upstream_that_was_down_costs_no_connections_elsewhere() -> None:
    async def check(scene: Scene) -> None:
        running = scene.running
        await asyncio.gather(*(running.ask('/safe/x') for _ in range(6)))
        pool = running.routers[0].adapter.pool
        address = scene.links['app-0'].address
        others = [c for c in list_resting(pool) if c.address != address]
        assert others
        # Silent since long before: what answers there now was started again.
        pool.note_silent(address, clocks.now() - 2 * connections.UNRESPONSIVE_MEMORY)
        await running.routers[0].adapter.engines.report(address, 'app-0')
        assert not [c for c in others if c.closed]
        pool.note_silent(address, clocks.now())
        await running.routers[0].adapter.engines.report(address, 'app-0')
        assert [c for c in others if c.closed]

    play(check)


def list_resting(pool: connections.Pool) -> list[connections.Connection]:
    return [c for resting in pool._idle.values() for c in resting]


@pytest.mark.parametrize(('path', 'prompt'), [('/safe/x', False), ('/resume/x', True)])
def test_living_replicas_are_not_given_up(path: str, prompt: bool) -> None:
    headers = scenes.PROMPT if prompt else []

    async def check(scene: Scene) -> None:
        running = scene.running
        # Until then a router may spend but a small part of the retries that all share.
        await running.wait_settled()
        await asyncio.gather(*(running.ask(path, headers=headers) for _ in range(8)))
        scene.silence_replicas()
        replies = await asyncio.gather(
            *(running.ask(path, headers=headers, patience_ms=4000) for _ in range(8))
        )
        assert [r.status for r in replies] == [200] * 8
        assert not running.routers[0].pools.silent
        again = [await running.ask(path, headers=headers) for _ in range(4)]
        assert [r.status for r in again] == [200] * 4

    play(check)


def test_a_stream_under_way_goes_on_elsewhere() -> None:
    async def check(scene: Scene) -> None:
        for known in scene.running.replicas.values():
            known.events = 100
        asked = asyncio.ensure_future(
            scene.running.ask('/resume/x', id='one', headers=scenes.PROMPT, patience_ms=8000)
        )
        await wait_for(lambda: bool(scene.running.list_runs('one')), 'run')
        await asyncio.sleep(0.1)
        scene.silence_replicas()
        reply = await asked
        assert reply.status == 200
        assert reply.body.count(b'id: ') == 100
        assert len(scene.running.list_runs('one')) == 2
        assert not scene.running.routers[0].pools.silent

    play(check)


def test_a_client_that_falls_silent_holds_no_replica() -> None:
    async def check(scene: Scene) -> None:
        running = scene.running
        for known in running.replicas.values():
            known.events = 10_000
        link = proxy.Proxy(running.routers[0].options.caller)
        await link.start()
        asked = asyncio.ensure_future(
            running.ask_at(
                link.address, '/patient/x', 'one', headers=scenes.PROMPT, patience_ms=25_000
            )
        )
        await wait_for(lambda: bool(running.list_runs('one')), 'run')
        await asyncio.sleep(0.1)
        link.silence()
        await wait_for(lambda: leaving_tests.list_dropped(running) == ['one'], 'silent client')
        asked.cancel()
        await link.stop()

    play(check)
