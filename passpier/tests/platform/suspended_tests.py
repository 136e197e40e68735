"""A router whose VM is suspended for seconds, which the kernel's monotonic clock does not count.

After a suspension the router must not act on its old state before it is refreshed, because the rest
of the fleet has moved on.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import pytest

from passpier import clocks
from passpier.core import shares
from passpier.standins import suspension
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

Check = Callable[[deployment.Deployment], Awaitable[None]]

SUSPENSIONS = [2.5, 5.0, 20.0]
"""Seconds, all longer than keys, leases and connections are valid in these tests."""


@pytest.fixture(name='vm')
def make_vm(monkeypatch: pytest.MonkeyPatch) -> suspension.Suspension:
    return suspension.Suspension(monkeypatch.setattr)


def run_check(check: Check) -> None:
    async def run() -> None:
        async with deployment.running() as running:
            await check(running)

    clocks.run(asyncio.wait_for(run(), 60))


async def start_slow_request(
    running: deployment.Deployment, patience_ms: int
) -> asyncio.Task[deployment.Response]:
    """Start a request that takes 4 seconds; return its task once a replica works on it."""
    harness.set_processing_time(running, 4.0)
    pending = asyncio.ensure_future(running.ask('/slow/x', id='slow', patience_ms=patience_ms))
    await harness.wait_for(lambda: bool(running.list_runs('slow')))
    return pending


@pytest.mark.parametrize('seconds', SUSPENSIONS)
def test_keys_are_not_accepted_before_they_are_read_again(
    vm: suspension.Suspension, seconds: float
) -> None:
    """Guards against configuration that still seems fresh, so that a revoked key is accepted."""

    async def check(running: deployment.Deployment) -> None:
        running.faults.down = True
        vm.advance(seconds)
        reply = await running.ask('/safe/x', id='after')
        assert reply.status == 503
        assert not running.list_runs('after')
        running.faults.down = False

    run_check(check)


@pytest.mark.parametrize('seconds', SUSPENSIONS)
def test_right_to_give_orders_has_expired(vm: suspension.Suspension, seconds: float) -> None:
    async def check(running: deployment.Deployment) -> None:
        holder = running.routers[0].rollouts.holder
        await harness.wait_for(lambda: holder.may_order(clocks.now()))
        vm.advance(seconds)
        assert not holder.may_order(clocks.now())

    run_check(check)


def test_shares_of_a_limit_are_not_spent(vm: suspension.Suspension) -> None:
    book = shares.ShareBook('i0')
    holders = {f'i{n}': shares.Holder(f'vm-{n}', 'd') for n in range(3)}
    limits = {'acme': shares.Limit(9, 10**9)}
    book.install(shares.Grant(shares.Generation(1, 1), holders, limits, 3))
    book.settle(lambda holder: shares.Generation(1, 1))
    book.note_store_contact(clocks.now())
    assert book.acquire('acme', clocks.now())
    vm.advance(shares.FENCE_SECONDS + 1.0)
    assert not book.acquire('acme', clocks.now())


def test_peers_are_not_assumed_alive(vm: suspension.Suspension) -> None:
    async def check(running: deployment.Deployment) -> None:
        running.add_router('vm-1', 'zone-1')
        await running.wait_ready()
        membership = running.routers[0].roster.membership
        assert len(membership.list_alive(clocks.now())) == 2
        vm.advance(20.0)
        assert len(membership.list_alive(clocks.now())) == 1

    run_check(check)


def test_request_past_its_deadline_gets_an_immediate_response(vm: suspension.Suspension) -> None:
    """Guards against deadlines that ignore the suspension."""

    async def check(running: deployment.Deployment) -> None:
        pending = await start_slow_request(running, patience_ms=8000)
        vm.advance(9.0)
        # Without the suspension, the response arrives after 4 seconds.
        assert (await pending).status == 504

    run_check(check)


def test_drain_ends_once_its_time_is_over(vm: suspension.Suspension) -> None:
    async def check(running: deployment.Deployment) -> None:
        pending = await start_slow_request(running, patience_ms=9000)
        (process,) = running.routers
        process.begin_stop()
        vm.advance(process.options.stop_bound)
        assert (await pending).status == 502
        await running.wait_ended(process)

    run_check(check)


def test_idle_connections_are_closed_and_the_suspension_is_reported(
    vm: suspension.Suspension, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def check(running: deployment.Deployment) -> None:
        (process,) = running.routers
        await running.ask('/safe/x')
        opened = process.adapter.pool.opened
        vm.advance(0.3)
        await asyncio.sleep(0.3)
        await running.ask('/safe/x')
        assert process.adapter.pool.opened > opened
        body, _ = process.counters.render([])
        assert b'passpier_suspended_seconds_total' in body

    run_check(check)
    (line,) = [r.__dict__ for r in caplog.records if r.message == 'resumed']
    assert line['suspended_for'] == pytest.approx(0.3, abs=0.1)
