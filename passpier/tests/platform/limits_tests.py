"""Rate limits of accounts: which requests run, which are refused, and with which response."""

from __future__ import annotations

import asyncio
import json

import pytest

from passpier import clocks
from passpier.core import buckets
from passpier.platform import names, records
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

RATE = 10_000
"""Tokens per second; the burst has the same size."""

COST = 1_420
"""Tokens of one prompt and its completion, as declared in the header."""

EVENT_PAUSE = 0.5
"""Seconds between the events of a stream."""

SLOW_MS = 6_000
SLOW_ROUTE = {'target_latency_ms': SLOW_MS, 'timeout_ms': SLOW_MS}

PROMPT = [
    (names.MODEL, deployment.MODEL),
    (names.TOKEN_USAGE, '1400,20'),
    (names.PREFIX_HASHES, 'aa:1400'),
]


def set_rate(running: deployment.Deployment, rate: float = RATE, **more: object) -> None:
    tenant = {
        'name': 'tower',
        'api_keys': [deployment.KEY],
        'unit': 'tokens',
        'uncached_tokens': 200,
        'rate_per_s': rate,
        'burst': rate,
        **more,
    }
    running.configure(tenants=[tenant])


@pytest.fixture(autouse=True)
def skip_warm_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a process without known peers rely on that immediately after its start."""
    monkeypatch.setattr(buckets, 'STARTUP_SECONDS', 0.0)


async def wait_full(running: deployment.Deployment) -> None:
    """Wait until all routers know the rate and have nearly their full share of the burst."""
    async with asyncio.timeout(20):
        while not all(
            r.limiter.buckets.has_rates
            and r.limiter.buckets.get_level('tower', clocks.now())
            >= RATE * 0.9 / len(running.routers)
            for r in running.routers
        ):
            for process in running.routers:
                process.limiter.sync(clocks.now())
            await asyncio.sleep(0.05)


@pytest.mark.parametrize('routers', [1, 2])
def test_account_far_above_its_limit_is_held_to_it(routers: int) -> None:
    async def check(running: deployment.Deployment) -> None:
        # Only the limit may refuse requests, also where the machine is slow.
        routes = running.configuration['routes']
        running.configure(routes=[{**r, **SLOW_ROUTE} for r in routes])
        set_rate(running)
        await wait_full(running)
        requests = [
            running.ask('/stream/x', n % routers, id=f'n{n}', patience_ms=SLOW_MS, headers=PROMPT)
            for n in range(120)
        ]
        replies = await asyncio.gather(*requests)
        statuses = [r.status for r in replies]
        others = {(r.status, r.body) for r in replies if r.status not in (200, 429)}
        assert set(statuses) == {200, 429}, others
        rate = buckets.Rate(RATE, RATE)
        tolerance = running.routers[0].options.rate_tolerance
        allowance = RATE * tolerance.window + RATE
        assert statuses.count(200) * COST <= allowance + tolerance.compute_excess(rate)
        assert len(replies) * COST > allowance + tolerance.compute_excess(rate)
        for n, reply in enumerate(replies):
            assert len(running.list_runs(f'n{n}')) == (reply.status == 200)
            if reply.status == 429:
                assert float(reply.headers.get('Retry-After') or 0) > 0

    harness.run_check(check, routers=routers)


def test_retry_after_the_stated_time_is_served() -> None:
    async def check(running: deployment.Deployment) -> None:
        set_rate(running)
        await wait_full(running)
        refused = 0
        for n in range(14):
            reply = await running.ask('/stream/x', id=f'n{n}', headers=PROMPT)
            if reply.status == 429:
                refused += 1
                await asyncio.sleep(float(reply.headers.get('Retry-After') or 0))
                reply = await running.ask('/stream/x', id=f'again{n}', headers=PROMPT)
            assert reply.status == 200
        assert refused

    harness.run_check(check)


def test_request_that_reached_no_replica_is_not_counted() -> None:
    async def check(running: deployment.Deployment) -> None:
        set_rate(running)
        await wait_full(running)
        for id in list(running.replicas):
            running.remove_entry(id)
        await harness.wait_for(lambda: not running.routers[0].pools.replicas)
        replies = [await running.ask('/stream/x', headers=PROMPT) for _ in range(10)]
        assert {r.status for r in replies} == {503}
        assert running.routers[0].limiter.buckets.get_level('tower', clocks.now()) >= RATE * 0.9

    harness.run_check(check)


def test_each_run_of_a_repeated_request_is_counted() -> None:
    async def check(running: deployment.Deployment) -> None:
        set_rate(running)
        await wait_full(running)
        for replica in running.replicas.values():
            replica.faults.lose = 1
        book = running.routers[0].limiter.buckets
        before = book.get_spent('tower')
        await running.ask('/resume/x', id='one', headers=PROMPT)
        assert book.get_spent('tower') - before == COST * len(running.list_runs('one'))

    harness.run_check(check)


# Guards against accounts that run more than their limit when streams that wait for a replica are
# sent with what they were charged before, while the account has regained as much.
def test_stream_that_waits_for_a_replica_is_charged_once_it_has_one() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.configure(
            routes=[{**r, 'timeout_ms': SLOW_MS} for r in running.configuration['routes']]
        )
        set_rate(running)
        await wait_full(running)
        await running.wait_settled()
        process = running.routers[0]
        models = [target for target in running.replicas.values() if target.model]
        for model in models:
            model.event_pause = EVENT_PAUSE
            model.faults.cut = 1
        pending = asyncio.ensure_future(
            running.ask('/resume/x', id='one', patience_ms=SLOW_MS, headers=PROMPT)
        )
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        for model in models:
            running.remove_entry(model.id)
        await harness.wait_for(lambda: process.forwarder.budgets.get('llm').held == 1)
        await asyncio.sleep(EVENT_PAUSE)
        assert process.limiter.buckets.get_spent('tower') == COST
        for model in models:
            running.add_replica(model.build_successor(f'{model.id}-again'))
        assert (await pending).status == 200
        assert process.limiter.buckets.get_spent('tower') == 2 * COST
        assert len(running.list_runs('one')) == 2

    harness.run_check(check)


def test_requests_without_tokens_have_the_configured_cost() -> None:
    async def check(running: deployment.Deployment) -> None:
        set_rate(running)
        await wait_full(running)
        book = running.routers[0].limiter.buckets
        before = book.get_spent('tower')
        await running.ask('/safe/x')
        assert book.get_spent('tower') - before == 200

    harness.run_check(check)


def test_account_without_a_rate_is_never_refused() -> None:
    async def check(running: deployment.Deployment) -> None:
        set_rate(running, 0)
        replies = [await running.ask('/stream/x', headers=PROMPT) for _ in range(20)]
        assert {r.status for r in replies} == {200}

    harness.run_check(check)


def test_rates_are_decoded_from_the_configuration() -> None:
    tenants = [
        {'name': 'a', 'rate_per_s': 10, 'burst': 5, 'unit': 'tokens', 'uncached_tokens': 200},
        {'name': 'b', 'rate_per_s': 3},
        {'name': 'c', 'rate_per_s': 0, 'burst': 7},
        {'name': 'd'},
    ]
    raw = json.dumps({'version': 1, 'tenants': tenants}).encode()
    by_tokens, by_requests, *unlimited = records.decode_configuration(raw).accounts
    assert by_tokens.rate == buckets.Rate(10, 5)
    assert [by_tokens.compute_cost(t) for t in (None, 42)] == [200, 42]
    assert by_requests.rate == buckets.Rate(3, 0)
    assert [by_requests.compute_cost(t) for t in (None, 42)] == [1, 1]
    assert [a.rate for a in unlimited] == [None, None]
