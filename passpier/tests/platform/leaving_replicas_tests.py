"""Replicas that announce in their responses that they are leaving.

Guards against routers that rely on the registry alone: while it was unavailable, a replica got
requests for up to ten seconds after it had announced that it was leaving.
"""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from passpier.clients import exchanges
from passpier.core import replica_processes
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

ANNOUNCED_WITHIN = 0.3
"""Seconds after which no router sends requests to a replica that has announced leaving."""


@pytest.mark.parametrize('service', ['llm', 'app'])
def test_replica_that_announces_leaving_gets_no_more_requests(service: str) -> None:
    """DRAIN: the registry, the other source of this information, is unavailable."""

    async def check(running: deployment.Deployment) -> None:
        leaving = running.replicas[f'{service}-0']
        path = '/stream/x' if service == 'llm' else '/safe/x'
        running.faults.down = True
        leaving.faults.leaves = True
        while not leaving.signals:
            await running.ask(path, headers=harness.PROMPT_HEADERS)
        await asyncio.sleep(ANNOUNCED_WITHIN)
        before = leaving.arrival_count
        for _ in range(2):
            # No more concurrent requests than slots of the only remaining replica.
            pending = [running.ask(path, n % 2, headers=harness.PROMPT_HEADERS) for n in range(10)]
            replies = await asyncio.gather(*pending)
            assert {r.status for r in replies} == {200}, [r.body for r in replies]
        assert leaving.arrival_count == before

    harness.run_check(check, routers=2)


@pytest.mark.parametrize('fault', ['fail', 'refuse', 'cut', 'lie'])
def test_leaving_is_announced_by_any_kind_of_response(fault: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        for replica in running.replicas.values():
            replica.faults.leaves = True
            setattr(replica.faults, fault, 2)
        with contextlib.suppress(exchanges.ExchangeError):
            await running.ask('/stream/x', headers=harness.PROMPT_HEADERS)
        assert any(r.leaving for r in router.pools.replicas.values())

    harness.run_check(check)


def test_requests_are_refused_at_once_while_all_replicas_leave() -> None:
    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.faults.leaves = True
        for _ in range(4):
            await running.ask('/safe/x')
        before = sum(replica.arrival_count for replica in running.replicas.values())
        reply = await running.ask('/safe/x')
        assert reply.status == 503
        assert float(reply.headers.get('Retry-After') or 0) > 0
        assert sum(replica.arrival_count for replica in running.replicas.values()) == before

    harness.run_check(check)


def test_restarted_replica_with_the_same_id_is_used() -> None:
    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        leaving = running.replicas['app-0']
        leaving.faults.leaves = True
        while not leaving.signals:
            await running.ask('/safe/x')
        assert router.pools.replicas['app-0'].leaving
        leaving.faults.leaves = False
        running.restart_replica('app-0')
        process = replica_processes.ReplicaProcess('app-0', leaving.started_ms)
        await harness.wait_for(lambda: router.pools.find(process) is not None)
        before = leaving.arrival_count
        for _ in range(6):
            await running.ask('/safe/x')
        assert leaving.arrival_count > before

    harness.run_check(check)


# Guards against requests to a replica whose announcement is forgotten with its entry.
def test_announcement_outlasts_the_entry_of_its_replica() -> None:
    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        leaving = running.replicas['app-0']
        leaving.faults.leaves = True
        while not leaving.signals:
            await running.ask('/safe/x')
        running.remove_entry(leaving.id)
        await harness.wait_for(lambda: leaving.id not in router.pools.replicas)
        running.write_entry(leaving.id)
        await harness.wait_for(lambda: leaving.id in router.pools.replicas)
        before = leaving.arrival_count
        replies = [await running.ask('/safe/x') for _ in range(6)]
        assert {reply.status for reply in replies} == {200}
        assert leaving.arrival_count == before

    harness.run_check(check)


def test_leaving_replica_finishes_a_running_stream() -> None:
    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.faults.leaves = True
            replica.event_pause = 0.1
        reply = await running.ask('/stream/x', headers=harness.PROMPT_HEADERS)
        assert reply.status == 200
        assert reply.body.count(b'data:') == 5

    harness.run_check(check)
