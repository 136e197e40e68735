"""Replicas that refuse a request and tell its router to back off.

Guards against routers that ignore `Retry-After`: a replica that refuses requests looks idle, so it
was the cheapest choice and got three to four more requests within the backoff; two are tolerated.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from passpier import clocks
from passpier.clients import connections
from passpier.core import backpressure, replicas
from passpier.routing import pools
from passpier.standins.platform import deployment, invariants, partitions
from passpier.tests.platform import harness

BACKOFF = 2.0


@pytest.mark.parametrize('service', ['llm', 'app'])
def test_replica_gets_no_requests_during_its_backoff(service: str) -> None:
    """BUDGET: a router must not send what it would have sent without the backoff."""

    async def check(running: deployment.Deployment) -> None:
        refusing = running.replicas[f'{service}-0']
        refusing.faults.backoff = BACKOFF
        # Refused requests never run, so this replica always looks idle.
        harness.set_processing_time(running, 0.2)
        path = '/stream/x' if service == 'llm' else '/safe/x'
        rng = random.Random(45)
        router_of: dict[str, str] = {}

        async def ask(number: int) -> deployment.Response:
            entry = number % len(running.routers)
            id = f'r{number}'
            router_of[id] = running.routers[entry].options.name
            headers = deployment.make_prompt(rng) if service == 'llm' else []
            return await running.ask(path, entry, id=id, headers=headers)

        replies: list[asyncio.Future[deployment.Response]] = []
        deadline = clocks.now() + 2 * BACKOFF
        while clocks.now() < deadline:
            replies.append(asyncio.ensure_future(ask(len(replies))))
            await asyncio.sleep(0.05)
        statuses = [r.status for r in await asyncio.gather(*replies)]
        assert invariants.find_backoff_violations(refusing, router_of) == []
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 0.9 * len(statuses)

    harness.run_check(check, routers=2)


def test_requests_are_refused_at_once_while_all_replicas_back_off() -> None:
    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.faults.backoff = 3.0
        for _ in range(4):
            await running.ask('/safe/x')
        before = sum(replica.arrival_count for replica in running.replicas.values())
        began = clocks.now()
        replies = [await running.ask('/safe/x') for _ in range(10)]
        assert clocks.now() - began < 1.0
        assert {r.status for r in replies} == {503}
        assert all(1.0 < float(r.headers.get('Retry-After') or 0) <= 10.0 for r in replies)
        assert sum(replica.arrival_count for replica in running.replicas.values()) == before

    harness.run_check(check)


def test_replica_is_used_again_after_its_backoff() -> None:
    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.faults.backoff = 0.4
        assert (await running.ask('/safe/x')).status == 503
        for replica in running.replicas.values():
            replica.faults.backoff = 0.0
        await asyncio.sleep(0.4)
        assert (await running.ask('/safe/x')).status == 200

    harness.run_check(check)


def test_backoff_applies_only_to_the_router_that_received_it() -> None:
    async def check(running: deployment.Deployment) -> None:
        first, second = running.routers
        process = first.pools.replicas['app-0'].process
        first.pools.apply_signal(process, backpressure.Signal(backoff=3.0))
        now = clocks.now()
        assert not replicas.is_open(first.pools.replicas['app-0'], now)
        assert replicas.is_open(second.pools.replicas['app-0'], now)

    harness.run_check(check, routers=2)


def test_shorter_backoff_does_not_shorten_a_longer_one() -> None:
    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        replica = router.pools.replicas['app-0']
        for backoff in (3.0, 0.1, 1e9):
            router.pools.apply_signal(replica.process, backpressure.Signal(backoff=backoff))
            assert replica.backoff_until > clocks.now() + 2.0
        assert replica.backoff_until <= clocks.now() + pools.BACKOFF_MAX

    harness.run_check(check)


# Guards against a backoff that is forgotten with the replica's entry in the registry.
@pytest.mark.parametrize('service', ['llm', 'app'])
def test_backoff_outlasts_the_entry_of_its_replica(service: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        refusing = running.replicas[f'{service}-0']
        refusing.faults.backoff = BACKOFF
        running.remove_entry(f'{service}-1')
        await harness.wait_for(lambda: f'{service}-1' not in router.pools.replicas)
        path = '/stream/x' if service == 'llm' else '/safe/x'
        headers = harness.PROMPT_HEADERS if service == 'llm' else []
        assert (await running.ask(path, id='first', headers=headers)).status == 503
        running.remove_entry(refusing.id)
        await harness.wait_for(lambda: refusing.id not in router.pools.replicas)
        running.write_entry(refusing.id)
        await harness.wait_for(lambda: refusing.id in router.pools.replicas)
        await asyncio.sleep(invariants.BACKOFF_GRACE)
        ids = [f'r{number}' for number in range(10)]
        replies = await asyncio.gather(*(running.ask(path, id=id, headers=headers) for id in ids))
        router_of = dict.fromkeys(['first', *ids], router.options.name)
        assert invariants.find_backoff_violations(refusing, router_of) == []
        assert {reply.status for reply in replies} == {503}
        assert [arrival.id for arrival in refusing.arrivals] == ['first']

    harness.run_check(check)


# Guards against a backoff that binds the next process of a replica.
def test_backoff_ends_with_the_process_that_asked_for_it() -> None:
    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        refusing = running.replicas['app-0']
        refusing.faults.backoff = BACKOFF
        running.remove_entry('app-1')
        await harness.wait_for(lambda: 'app-1' not in router.pools.replicas)
        assert (await running.ask('/safe/x')).status == 503
        refusing.faults.backoff = 0.0
        before = router.pools.replicas['app-0'].process
        running.restart_replica('app-0')
        await harness.wait_for(lambda: router.pools.replicas['app-0'].process != before)
        assert (await running.ask('/safe/x')).status == 200

    harness.run_check(check)


# Guards against requests of peers through a VM that has been told to back off.
def test_routers_that_share_a_path_share_its_backoff() -> None:
    async def check(running: deployment.Deployment) -> None:
        refusing = running.replicas['app-0']
        running.remove_entry('app-1')
        known = [router.pools.replicas for router in running.routers]
        await harness.wait_for(lambda: all('app-1' not in replicas for replicas in known))
        *cut, peer = running.routers
        for router in cut:
            running.cut_off(router.options.name, [refusing.id], partitions.Cut.RESET)
        for entry in range(len(cut)):
            assert (await running.ask('/safe/x', entry)).status == 200
            assert running.routers[entry].paths.choose(refusing.address)
        refusing.faults.backoff = BACKOFF
        before = len(refusing.arrivals)
        assert (await running.ask('/safe/x', len(cut) - 1)).status == 503
        await asyncio.sleep(invariants.BACKOFF_GRACE)
        replies = [await running.ask('/safe/x', entry) for entry in range(len(cut) + 1)]
        assert {reply.status for reply in replies} == {503}
        assert len(refusing.arrivals) - before == 1

    harness.run_check(check, routers=5)


# Guards against a backoff that binds routers that reach the replica from their own VMs.
def test_backoff_of_a_router_with_a_path_of_its_own_is_not_shared() -> None:
    async def check(running: deployment.Deployment) -> None:
        refusing = running.replicas['app-0']
        running.remove_entry('app-1')
        known = [router.pools.replicas for router in running.routers]
        await harness.wait_for(lambda: all('app-1' not in replicas for replicas in known))
        cut, peer, other = running.routers
        running.cut_off(cut.options.name, [refusing.id], partitions.Cut.RESET)
        assert (await running.ask('/safe/x', 0)).status == 200
        via = cut.paths.choose(refusing.address)
        own = [r for r in (peer, other) if r.roster.membership.own.tunnel != via]
        refusing.faults.backoff = BACKOFF
        assert (await running.ask('/safe/x', 0)).status == 503
        await asyncio.sleep(invariants.BACKOFF_GRACE)
        now = clocks.now()
        assert [replicas.is_open(r.pools.replicas['app-0'], now) for r in own] == [True]

    harness.run_check(check, routers=3)


def test_backoff_during_connect_moves_the_request_to_another_replica(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request was placed before the replica asked the router to back off."""

    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        pool = router.adapter.pool
        connect = pool._connect

        async def connect_late(address: str) -> connections.Connection:
            connection = await connect(address)
            if address == running.replicas['app-0'].address:
                process = router.pools.replicas['app-0'].process
                router.pools.apply_signal(process, backpressure.Signal(backoff=2.0))
            return connection

        monkeypatch.setattr(pool, '_connect', connect_late)
        replies = await asyncio.gather(*(running.ask('/safe/x') for _ in range(8)))
        assert {r.status for r in replies} == {200}
        assert running.replicas['app-0'].arrival_count == 0

    harness.run_check(check)
