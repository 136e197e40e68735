"""The retries that all routers together send stay within the budget of their deployment."""

from __future__ import annotations

import asyncio
import pathlib
import random

import pytest

from passpier import clocks
from passpier.clients import exchanges
from passpier.core import replica_processes
from passpier.routing import dialect, retry_budgets, router
from passpier.standins.platform import deployment, invariants, replica, routers
from passpier.tests.platform import harness

ROUTERS = 4
RATE = 60.0
"""Requests a second."""

ALWAYS = 1_000_000
"""Number of coming requests that a fault affects: more than any test sends."""

SETTLED_SECONDS = 11.0
"""Seconds after which a router knows the others, and has served for longer than a window."""

FAILING_SECONDS = 1.5
SECOND_FAILURE = 8.5
"""Seconds from the start of the first failure to that of the second, within one window."""

WINDOW = 3.0
STREAMS = 150
EVENT_PAUSE = 0.5
BUSY_RATE = 120.0
"""Requests a second before the traffic falls."""

MANY_ROUTERS = 1000
"""Routers among which the slack leaves less than a retry for each."""

CALM_SECONDS = 6.5
"""Seconds without requests for which streams wait: over two windows."""

OUTAGE_SECONDS = 4.0
"""Seconds for which streams wait for a replica, longer than a window."""


class Load:
    """Clients that send requests of one kind to random routers, and what they received."""

    def __init__(self, running: deployment.Deployment, kind: str, addresses: list[str]) -> None:
        self.outcomes: list[invariants.RequestOutcome] = []
        self._running = running
        self._kind = kind
        self._addresses = addresses
        self._rng = random.Random(1)
        self._pending: list[asyncio.Task[None]] = []

    async def send(self, seconds: float, rate: float = RATE, patience: float = 2.0) -> None:
        """Send `rate` requests a second, whose clients wait for `patience` seconds."""
        ends_at = clocks.now() + seconds
        while clocks.now() < ends_at:
            self._pending.append(asyncio.ensure_future(self._ask(patience)))
            await asyncio.sleep(1 / rate)

    async def finish(self) -> None:
        """Wait until all clients have their responses."""
        await asyncio.gather(*self._pending)

    async def _ask(self, patience: float) -> None:
        id = f'n{len(self._pending)}'
        address = self._rng.choice(self._addresses)
        prompt = deployment.make_prompt(self._rng) if self._kind == 'resume' else []
        headers = [*deployment.build_headers(id, int(patience * 1000)), *prompt]
        request = exchanges.Request('POST', f'/{self._kind}/x', headers, b'question')
        began = clocks.now()
        observed = await self._running.observe_at(address, request, patience)
        self.outcomes.append(
            invariants.RequestOutcome(
                id, self._kind, '', began, observed.status, observed.body, clocks.now() - began
            )
        )


async def start_routers(
    running: deployment.Deployment, folder: pathlib.Path
) -> list[routers.RouterProcess]:
    """Start router processes and wait until they know each other and have served for a while."""
    started = [
        routers.RouterProcess(number, folder, running.store_address) for number in range(ROUTERS)
    ]
    for process in started:
        await process.open()
    await wait_ready(running, started)
    return started


async def wait_ready(running: deployment.Deployment, started: list[routers.RouterProcess]) -> None:
    """Wait until all router processes are ready."""
    while not all([await process.is_ready(running.pool) for process in started]):
        await asyncio.sleep(0.05)


def set_failing(running: deployment.Deployment, count: int) -> None:
    """Have each application replica run the next `count` requests and answer with a failure."""
    for target in running.replicas.values():
        if not target.model:
            target.faults.fail = count


def measure_retries(
    running: deployment.Deployment, load: Load, options: dialect.Options
) -> list[invariants.RetryPeak]:
    """Return how near the retries came to the budget of routers with a short window."""
    allowance = invariants.RetryAllowance(options.retry_ratio, options.retry_slack, WINDOW)
    return invariants.measure_retries(
        load.outcomes, running.replicas.values(), running.map_services(), allowance
    )


# Guards against retries above the budget when all routers restart after they have spent it.
def test_routers_that_restart_together_do_not_spend_the_retry_budget_twice(
    tmp_path: pathlib.Path,
) -> None:
    async def run() -> None:
        async with deployment.running(routers=0) as running:
            running.configure(
                routes=[{**r, 'max_attempts': 4} for r in running.configuration['routes']]
            )
            for number in range(2, 4):
                running.add_replica(replica.Replica(f'app-{number}', 'app', 'zone-0'))
            processes = await start_routers(running, tmp_path)
            try:
                load = Load(running, 'safe', [process.caller for process in processes])
                await load.send(SETTLED_SECONDS)
                set_failing(running, ALWAYS)
                began = clocks.now()
                await load.send(FAILING_SECONDS)
                for process in processes:
                    process.kill()
                set_failing(running, 0)
                for process in processes:
                    process.start()
                await wait_ready(running, processes)
                await load.send(began + SECOND_FAILURE - clocks.now())
                set_failing(running, ALWAYS)
                await load.send(FAILING_SECONDS)
                await load.finish()
            finally:
                for process in processes:
                    await process.close()
            allowance = invariants.RetryAllowance(0.2, processes[0].retry_slack, 10.0)
            assert sum(one.status == 200 for one in load.outcomes) > RATE * SETTLED_SECONDS / 2
            peaks = invariants.measure_retries(
                load.outcomes, running.replicas.values(), running.map_services(), allowance
            )
            assert not invariants.find_retry_excess(peaks)

    asyncio.run(asyncio.wait_for(run(), 2 * harness.TEST_TIMEOUT))


# Guards against retries above the budget when streams wait for a replica longer than a window.
def test_streams_that_wait_for_a_replica_do_not_send_the_retries_of_two_windows_at_once() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.configure(
            routes=[{**r, 'timeout_ms': 20_000} for r in running.configuration['routes']]
        )
        process = running.routers[0]
        options = process.options
        process.forwarder.budgets.get('llm').configure(
            options.retry_ratio, options.retry_slack, WINDOW
        )
        await running.wait_settled()
        models = [target for target in running.replicas.values() if target.model]
        for model in models:
            model.slots = STREAMS
            model.event_pause = EVENT_PAUSE
            model.faults.cut = ALWAYS
        load = Load(running, 'resume', [options.caller])
        sending = EVENT_PAUSE * 0.8
        await load.send(sending, rate=STREAMS / sending, patience=15.0)
        for model in models:
            running.remove_entry(model.id)
        await asyncio.sleep(OUTAGE_SECONDS)
        for model in models:
            running.add_replica(model.build_successor(f'{model.id}-again'))
        await load.finish()
        peaks = measure_retries(running, load, options)
        assert not invariants.find_retry_excess(peaks)
        assert sum(one.status == 200 for one in load.outcomes) > STREAMS / 4

    harness.run_check(check)


# Guards against retries above the budget that streams hold while the traffic falls.
def test_streams_that_wait_while_the_traffic_falls_keep_the_retry_budget() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.configure(
            routes=[
                {**r, 'timeout_ms': 20_000, 'max_attempts': 4}
                for r in running.configuration['routes']
            ]
        )
        process = running.routers[0]
        options = process.options
        process.forwarder.budgets.get('llm').configure(
            options.retry_ratio, options.retry_slack, WINDOW
        )
        await running.wait_settled()
        models = [target for target in running.replicas.values() if target.model]
        for model in models:
            model.slots = STREAMS
        load = Load(running, 'resume', [options.caller])
        await load.send(2 * WINDOW, BUSY_RATE, patience=15.0)
        for model in models:
            model.event_pause = EVENT_PAUSE
            model.faults.cut = ALWAYS
        await load.send(EVENT_PAUSE * 0.8, BUSY_RATE, patience=15.0)
        for model in models:
            running.remove_entry(model.id)
        await asyncio.sleep(CALM_SECONDS)
        for model in models:
            successor = model.build_successor(f'{model.id}-again')
            successor.slots = STREAMS
            running.add_replica(successor)
        await load.finish()
        peaks = measure_retries(running, load, options)
        assert peaks
        assert not invariants.find_retry_excess(peaks), [peak.render() for peak in peaks]

    harness.run_check(check)


# Guards against streams that are lost because the retry they held was withdrawn.
def test_stream_whose_retry_is_withdrawn_waits_for_another_one() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.configure(
            routes=[{**r, 'timeout_ms': 20_000} for r in running.configuration['routes']]
        )
        await running.wait_settled()
        process = running.routers[0]
        models = [target for target in running.replicas.values() if target.model]
        for model in models:
            model.event_pause = EVENT_PAUSE
            model.faults.cut = ALWAYS
        load = Load(running, 'resume', [process.options.caller])
        sending = asyncio.ensure_future(load.send(0.01, patience=10.0))
        await harness.wait_for(lambda: any(model.arrivals for model in models))
        for model in models:
            running.remove_entry(model.id)
        budgets = process.forwarder.budgets
        await harness.wait_for(lambda: budgets.get('llm').held == 1)
        budgets.share(MANY_ROUTERS, is_listed=True)
        assert budgets.get('llm').held == 0
        await harness.wait_for(lambda: budgets.get('llm').held == 1)
        for model in models:
            running.add_replica(model.build_successor(f'{model.id}-again'))
        await sending
        await load.finish()
        assert [one.status for one in load.outcomes] == [200]
        assert [one.body for one in load.outcomes] == [invariants.COMPLETE_BODY]
        assert process.counters.retries_withdrawn.get({'service': 'llm'}) == 1

    harness.run_check(check)


# Guards against requests that stay in the queue although they may no longer be sent.
def test_wait_of_a_request_whose_retry_is_withdrawn_ends_at_once() -> None:
    async def check(running: deployment.Deployment) -> None:
        await running.wait_settled()
        budgets = running.routers[0].forwarder.budgets
        run = budgets.begin('r1', 'app')
        run.note_sent(replica_processes.ReplicaProcess('app-0'), {})
        assert run.hold()
        with pytest.raises(retry_budgets.RetryWithdrawnError):
            async with run.waiting():
                budgets.share(MANY_ROUTERS, is_listed=True)
                await asyncio.sleep(harness.TEST_TIMEOUT)
        assert not run.may_send()

    harness.run_check(check)


# Guards against retries above the budget while no router knows of any other one.
def test_routers_that_do_not_know_each_other_keep_the_retry_budget() -> None:
    async def run() -> None:
        async with deployment.running(routers=0) as running:
            running.allow_attempts(ROUTERS)
            running.faults.is_read_only = True
            started = [
                running.add_router(f'vm-{number}', 'zone-0', retry_window=WINDOW)
                for number in range(ROUTERS)
            ]
            addresses = {process.peers.address for process in started}
            for process in started:
                process.peers.blocked |= addresses
            while not all(process.is_ready() for process in started):
                await asyncio.sleep(0.05)
            await asyncio.sleep(router.DISCOVERY_SECONDS + WINDOW)
            load = Load(running, 'safe', [process.options.caller for process in started])
            set_failing(running, ALWAYS)
            await load.send(2 * WINDOW)
            await load.finish()
            options = started[0].options
            peaks = measure_retries(running, load, options)
            assert not invariants.find_retry_excess(peaks)
            assert peaks

    asyncio.run(asyncio.wait_for(run(), 2 * harness.TEST_TIMEOUT))
