"""A router whose VM is suspended for seconds, which the kernel's monotonic clock does not count.

Until it has learnt anew, it may not act on what it knew: others have gone on meanwhile.
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
from passpier.tests.platform import scenes

Check = Callable[[deployment.Deployment], Awaitable[None]]

SUSPENDED = [2.5, 5.0, 20.0]
"""Seconds, all longer than keys, leases and connections last here."""


@pytest.fixture(name='vm')
def make_vm(monkeypatch: pytest.MonkeyPatch) -> suspension.Suspension:
    return suspension.Suspension(monkeypatch.setattr)


def play(check: Check) -> None:
    async def run() -> None:
        async with deployment.running() as running:
            await check(running)

    clocks.run(asyncio.wait_for(run(), 60))


async def ask_slowly(
    running: deployment.Deployment, patience_ms: int
) -> asyncio.Task[deployment.Reply]:
    """Return what waits for an answer that takes 4 seconds, once a replica is at work on it."""
    scenes.set_work(running, 4.0)
    asking = asyncio.ensure_future(running.ask('/slow/x', id='slow', patience_ms=patience_ms))
    await scenes.wait_for(lambda: bool(running.list_runs('slow')))
    return asking


@pytest.mark.parametrize('seconds', SUSPENDED)
def test_keys_are_not_trusted_before_they_are_read_again(
    vm: suspension.Suspension, seconds: float
) -> None:
    """The reading seemed to be as fresh as before, and a key that was taken away was let in."""

    async def check(running: deployment.Deployment) -> None:
        running.faults.down = True
        vm.happen(seconds)
        reply = await running.ask('/safe/x', id='after')
        assert reply.status == 503
        assert not running.list_runs('after')
        running.faults.down = False

    play(check)


@pytest.mark.parametrize('seconds', SUSPENDED)
def test_the_right_to_give_orders_has_lapsed(vm: suspension.Suspension, seconds: float) -> None:
    async def check(running: deployment.Deployment) -> None:
        holder = running.routers[0].rollouts.holder
        await scenes.wait_for(lambda: holder.may_order(clocks.now()))
        vm.happen(seconds)
        assert not holder.may_order(clocks.now())

    play(check)


def test_units_of_a_limit_are_not_spent(vm: suspension.Suspension) -> None:
    book = shares.ShareBook('i0')
    holders = {f'i{n}': shares.Holder(f'vm-{n}', 'd') for n in range(3)}
    limits = {'acme': shares.Limit(9, 10**9)}
    book.install(shares.Grant(shares.Generation(1, 1), holders, limits, 3))
    book.settle(lambda holder: shares.Generation(1, 1))
    book.hear(clocks.now())
    assert book.acquire('acme', clocks.now())
    vm.happen(shares.FENCE_SECONDS + 1.0)
    assert not book.acquire('acme', clocks.now())


def test_a_peer_that_was_alive_before_is_not_taken_for_alive(vm: suspension.Suspension) -> None:
    async def check(running: deployment.Deployment) -> None:
        running.add_router('vm-1', 'zone-1')
        await running.wait_ready()
        membership = running.routers[0].roster.membership
        assert len(membership.list_alive(clocks.now())) == 2
        vm.happen(20.0)
        assert len(membership.list_alive(clocks.now())) == 1

    play(check)


def test_a_request_whose_time_is_over_is_answered_at_once(vm: suspension.Suspension) -> None:
    """It was worked on for as long again as it had left before."""

    async def check(running: deployment.Deployment) -> None:
        asking = await ask_slowly(running, patience_ms=8000)
        vm.happen(9.0)
        # Else it has its answer after the 4 seconds.
        assert (await asking).status == 504

    play(check)


def test_a_stop_ends_when_its_time_is_over(vm: suspension.Suspension) -> None:
    async def check(running: deployment.Deployment) -> None:
        asking = await ask_slowly(running, patience_ms=9000)
        (process,) = running.routers
        process.begin_stop()
        vm.happen(process.options.stop_bound)
        assert (await asking).status == 502
        await running.wait_ended(process)

    play(check)


def test_resting_connections_are_closed_and_the_suspension_is_told(
    vm: suspension.Suspension, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)

    async def check(running: deployment.Deployment) -> None:
        (process,) = running.routers
        await running.ask('/safe/x')
        opened = process.adapter.pool.opened
        vm.happen(0.3)
        await asyncio.sleep(0.3)
        await running.ask('/safe/x')
        assert process.adapter.pool.opened > opened
        body, _ = process.counters.render([])
        assert b'passpier_suspended_seconds_total' in body

    play(check)
    (told,) = [r.__dict__ for r in caplog.records if r.message == 'resumed']
    assert told['suspended_for'] == pytest.approx(0.3, abs=0.1)
