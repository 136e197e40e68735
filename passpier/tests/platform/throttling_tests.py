"""Replicas that announce how many requests per second they accept from all routers together.

Guards against routers that ignore the limit: a replica with a limit of 1 per second got 20 requests
within 4 s from routers that had received a response with that limit; 11 are tolerated.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from passpier import clocks
from passpier.clients import connections, exchanges
from passpier.core import backpressure
from passpier.standins.platform import deployment, invariants, replica
from passpier.tests.platform import harness


async def send_steadily(
    running: deployment.Deployment, path: str, seconds: float, rate: float, rng: random.Random
) -> list[deployment.Response]:
    """Send requests to random routers, at an average `rate` per second.

    Their times are planned, so that a late event loop sends no fewer of them.
    """
    requests = []
    due_at = clocks.now()
    deadline = due_at + seconds
    while due_at < deadline:
        await asyncio.sleep(max(0.0, due_at - clocks.now()))
        entry = rng.randrange(len(running.routers))
        requests.append(asyncio.ensure_future(running.ask(path, entry)))
        due_at += rng.expovariate(rate)
    return await asyncio.gather(*requests)


async def announce_limits(running: deployment.Deployment, path: str) -> float:
    """Make all routers learn the limits of all replicas; return the time from which they apply."""
    for _ in range(2 * len(running.replicas)):
        entries = range(len(running.routers))
        await asyncio.gather(*(running.ask(path, entry) for entry in entries))
    return clocks.now() + invariants.LIMIT_GRACE


@pytest.mark.parametrize('limit', [0.0, 1.0, 1.7, 6.0])
def test_all_routers_together_respect_the_limit_of_a_replica(limit: float) -> None:
    """LIMIT: routers must not send what they would have sent without the limit."""

    async def check(running: deployment.Deployment) -> None:
        running.add_replica(replica.Replica('app-2', 'app', 'zone-0'))
        await running.wait_ready()
        limited = running.replicas['app-0']
        limited.faults.limit = limit
        since = await announce_limits(running, '/safe/x')
        replies = await send_steadily(running, '/safe/x', 8.0, 40.0, random.Random(42))
        arrived = [a.at for a in limited.arrivals if a.at >= since]
        assert invariants.find_limit_excess(arrived, limit) == []
        assert {r.status for r in replies} == {200}
        # The limit is also used, not just respected.
        assert len(arrived) >= (clocks.now() - since) * limit * 0.5

    harness.run_check(check, routers=3)


def test_requests_are_refused_at_once_while_all_replicas_are_at_their_limits() -> None:
    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.faults.limit = 0.0
        await running.ask('/safe/x')
        await running.ask('/safe/x')
        before = sum(stand_in.arrival_count for stand_in in running.replicas.values())
        began = clocks.now()
        replies = [await running.ask('/safe/x') for _ in range(10)]
        assert {r.status for r in replies} == {503}
        assert clocks.now() - began < 1.0
        assert all(0.0 < float(r.headers.get('Retry-After') or 0) <= 10.0 for r in replies)
        assert sum(stand_in.arrival_count for stand_in in running.replicas.values()) == before

    harness.run_check(check)


def test_limit_ends_when_responses_no_longer_state_it() -> None:
    async def check(running: deployment.Deployment) -> None:
        limited = running.replicas['app-0']
        limited.faults.limit = 4.0
        await announce_limits(running, '/safe/x')
        limited.faults.limit = None
        await send_steadily(running, '/safe/x', 2.0, 20.0, random.Random(43))
        before = limited.arrival_count
        await send_steadily(running, '/safe/x', 2.0, 40.0, random.Random(44))
        assert limited.arrival_count - before > 2.0 * 40.0 * 0.25
        assert all(r.pools.replicas['app-0'].throttle is None for r in running.routers)

    harness.run_check(check, routers=2)


@pytest.mark.parametrize('fault', ['fail', 'refuse', 'cut', 'lie', 'misdirect'])
def test_limit_is_learnt_from_any_kind_of_response(fault: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        for stand_in in running.replicas.values():
            stand_in.faults.limit = 3.0
            if fault == 'misdirect':
                stand_in.version = 2
            else:
                setattr(stand_in.faults, fault, 2)
        with contextlib.suppress(exchanges.ExchangeError):
            await running.ask('/stream/x', headers=harness.PROMPT_HEADERS)
        limited = [r for r in router.pools.replicas.values() if r.throttle is not None]
        assert limited
        assert all(r.name.startswith('llm') for r in limited)

    harness.run_check(check)


def test_limit_announced_during_connect_applies_to_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request was placed before the limit was known, and is sent afterwards."""

    async def check(running: deployment.Deployment) -> None:
        (router,) = running.routers
        pool = router.adapter.pool
        connect = pool._connect
        allowed = asyncio.Event()

        async def connect_when_allowed(address: str) -> connections.Connection:
            await allowed.wait()
            return await connect(address)

        for stand_in in running.replicas.values():
            stand_in.faults.limit = 0.0
        monkeypatch.setattr(pool, '_connect', connect_when_allowed)
        pending = [asyncio.ensure_future(running.ask('/safe/x')) for _ in range(8)]
        await asyncio.sleep(0.1)
        for upstream in router.pools.replicas.values():
            router.pools.apply_signal(upstream.process, backpressure.Signal(limit=0.0))
        allowed.set()
        replies = await asyncio.gather(*pending)
        assert {r.status for r in replies} == {503}
        assert not any(stand_in.arrival_count for stand_in in running.replicas.values())

    harness.run_check(check)
