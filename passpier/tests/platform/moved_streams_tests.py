"""Streams that are to be continued by another replica, which refuses them.

Guards against cutting a stream that could still be answered: the replica that began it is alive,
but the route's attempts are used up.
"""

from __future__ import annotations

import asyncio

import pytest

from passpier.clients import connections, exchanges
from passpier.standins.platform import deployment, replica
from passpier.tests.platform import harness

PATIENCE_MS = 9000

ONE_RETRY_SLACK = 2.6
"""Slack of a retry budget of which one retry can be saved up."""


def get_models(running: deployment.Deployment) -> list[replica.Replica]:
    """Return the model replicas, which serve streams; the one that has run a request first."""
    models = [replica for replica in running.replicas.values() if replica.model]
    return sorted(models, key=lambda r: not r.runs)


async def ask_stream(running: deployment.Deployment) -> asyncio.Future[deployment.Response]:
    """Send a resumable stream; return its pending response once a replica runs it."""
    pending = asyncio.ensure_future(
        running.ask('/resume/x', id='one', patience_ms=PATIENCE_MS, headers=harness.PROMPT_HEADERS)
    )
    await harness.wait_for(lambda: bool(running.list_runs('one')))
    return pending


async def prepare(running: deployment.Deployment, event_pause: float) -> None:
    """Give streams three events with `event_pause` seconds between them, and enough time."""
    running.configure(
        routes=[{**r, 'timeout_ms': PATIENCE_MS} for r in running.configuration['routes']]
    )
    await running.wait_settled()
    for model in get_models(running):
        model.event_pause = event_pause
        model.event_count = 3


def check_events(response: deployment.Response) -> None:
    """Check that a stream is complete, with each event once and in order."""
    assert response.status == 200
    ids = [line for line in response.body.splitlines() if line.startswith(b'id:')]
    assert ids == [b'id: 0', b'id: 1', b'id: 2']


def count_arrivals(models: list[replica.Replica]) -> list[int]:
    """Return for each replica how many times it was sent the stream."""
    return [sum(a.id == 'one' for a in r.arrivals) for r in models]


@pytest.mark.parametrize('refusal', ['full', 'other weights', 'down'])
def test_slow_stream_that_no_other_replica_takes_goes_on_where_it_is(refusal: str) -> None:
    """The other replica is full, has loaded other weights, or is down."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.3)
        pending = await ask_stream(running)
        first, other = get_models(running)
        if refusal == 'full':
            other.faults.refuse = 1
        elif refusal == 'other weights':
            other.version += 1
        else:
            running.crash_replica(other.id)
        check_events(await pending)
        assert count_arrivals([first, other]) == [1, int(refusal != 'down')]

    harness.run_check(check)


def test_slow_stream_that_is_refused_goes_on_at_a_replica_that_drains() -> None:
    """Its own replica takes no new request, so that the stream could not return there."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.3)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.faults.refuse = 1
        first.state = 'draining'
        running.write_entry(first.id)
        check_events(await pending)
        assert count_arrivals([first, other]) == [1, 1]

    harness.run_check(check)


# Guards against retries that a stream holds until its end for a move that was not made.
def test_move_to_a_replica_that_refuses_connections_leaves_no_retry_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.3)
        process = running.routers[0]
        held: list[int] = []

        async def fail(address: str) -> connections.Connection:
            held.append(process.forwarder.budgets.get('llm').held)
            raise exchanges.ExchangeError(exchanges.Fault.CONNECT, 'refused', False)

        pending = await ask_stream(running)
        # The move comes after a second without an event.
        await asyncio.sleep(0.9)
        process.adapter.pool.close()
        monkeypatch.setattr(process.adapter.pool, '_connect', fail)
        await harness.wait_for(lambda: 1 in held)
        await asyncio.sleep(0.1)
        monkeypatch.undo()
        assert process.forwarder.budgets.get('llm').held == 0
        check_events(await pending)

    harness.run_check(check)


def test_slow_stream_continues_at_a_replica_that_takes_it() -> None:
    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.3)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.event_pause = 0.01
        check_events(await pending)
        assert first.abandoned == ['one']
        assert other.finished == ['one']

    harness.run_check(check)


def test_moved_stream_that_is_refused_late_returns_to_its_first_replica() -> None:
    """The other replica queues the stream and then refuses it."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.3)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.faults.late_refusal = 0.4
        check_events(await pending)
        assert count_arrivals([first, other]) == [2, 1]

    harness.run_check(check)


@pytest.mark.parametrize(
    ('seconds', 'arrivals'), [(0.05, [1, 1]), (0.15, [1, 1]), (0.5, [2, 1]), (1.0, [2, 1])]
)
def test_slow_stream_is_whole_however_late_it_is_refused(
    seconds: float, arrivals: list[int]
) -> None:
    """The other replica refuses after a delay, as over a long way or with a busy machine.

    A stream is not taken from its replica before a refusal that is only a little late.
    """

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.4)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.faults.late_refusal = seconds
        check_events(await pending)
        assert count_arrivals([first, other]) == arrivals

    harness.run_check(check)


def test_slow_stream_without_a_retry_for_its_return_goes_on_where_it_is() -> None:
    """Guards against a move that spends the last retry, after which a late refusal cuts it."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.3)
        running.routers[0].forwarder.budgets.get('llm').configure(0.0, ONE_RETRY_SLACK, 10.0)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.faults.late_refusal = 0.5
        check_events(await pending)
        assert count_arrivals([first, other]) == [1, 1]

    harness.run_check(check)


def test_slow_stream_that_could_not_return_stays_until_it_is_taken() -> None:
    """Its replica takes no new request, so that a late refusal elsewhere would cut the stream."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.4)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.faults.late_refusal = 0.6
        first.state = 'draining'
        running.write_entry(first.id)
        check_events(await pending)
        assert count_arrivals([first, other]) == [1, 1]

    harness.run_check(check)


@pytest.mark.parametrize('seconds', [0.05, 0.15, 0.5, 1.0])
def test_slow_stream_is_whole_however_late_it_is_taken(seconds: float) -> None:
    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=2.5)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.work_seconds = seconds
        other.event_pause = 0.01
        check_events(await pending)
        assert (first.abandoned, other.finished) == (['one'], ['one'])

    harness.run_check(check)


def test_slow_stream_stays_if_its_replica_goes_on_before_the_other_one_takes_it() -> None:
    """Guards against closing an attempt that has just sent its next event."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=1.15)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.work_seconds = 0.5
        check_events(await pending)
        assert (first.finished, other.abandoned) == (['one'], ['one'])

    harness.run_check(check)


def test_slow_stream_whose_replica_crashes_while_it_is_moved_continues_at_the_other_one() -> None:
    """The other replica has not answered yet when the first one breaks off."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=2.5)
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.work_seconds = 0.5
        other.event_pause = 0.01
        await harness.wait_for(lambda: len(running.list_runs('one')) == 2)
        running.crash_replica(first.id)
        await harness.wait_for(lambda: len(running.routers[0].suspects.crashes) == 1)
        check_events(await pending)
        assert count_arrivals([first, other]) == [1, 1]

    harness.run_check(check)


@pytest.mark.parametrize('path', ['/patient/x', '/resume/x'])
def test_begun_stream_waits_for_a_silent_replica_if_nothing_can_continue_it(path: str) -> None:
    """Guards against cutting a stream with time left when its replica is suspended for a second.

    One stream may not be continued elsewhere, the other has no retry left for it.
    """

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=2.4)
        running.routers[0].forwarder.budgets.get('llm').configure(0.0, 0.0, 10.0)
        pending = asyncio.ensure_future(
            running.ask(path, id='one', patience_ms=PATIENCE_MS, headers=harness.PROMPT_HEADERS)
        )
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        first, _ = get_models(running)
        running.make_unreachable(first.id)
        await harness.wait_for(lambda: running.routers[0].prober.is_unresponsive(first.id))
        check_events(await pending)

    harness.run_check(check)


@pytest.mark.parametrize('lack', ['retry', 'replica'])
def test_interrupted_stream_waits_until_it_can_be_continued(lack: str) -> None:
    """Guards against cutting a stream with time left because nothing can continue it at once."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=0.3)
        budget = running.routers[0].forwarder.budgets.get('llm')
        pending = await ask_stream(running)
        models = get_models(running)
        # The first event follows at once, the second one after a pause.
        await harness.wait_for(lambda: bool(models[0].cache_events))
        await asyncio.sleep(0.1)
        if lack == 'retry':
            budget.configure(0.0, 0.0, 10.0)
        else:
            for model in models:
                running.remove_entry(model.id)
            pools = running.routers[0].pools
            await harness.wait_for(lambda: not pools.list_serving('llm'))
        models[0].crash()
        await asyncio.sleep(1.0)
        models[0].restart()
        budget.configure(0.0, 100.0, 10.0)
        for model in models:
            running.write_entry(model.id)
        check_events(await pending)

    harness.run_check(check)


def test_interrupted_stream_that_is_refused_returns_to_its_first_replica() -> None:
    """The first replica resets the connection within an event; the other one is full."""

    async def check(running: deployment.Deployment) -> None:
        await prepare(running, event_pause=0.1)
        for model in get_models(running):
            model.faults.cut = 1
            model.work_seconds = 0.2
        pending = await ask_stream(running)
        first, other = get_models(running)
        other.faults.refuse = 1
        check_events(await pending)
        assert count_arrivals([first, other]) == [2, 1]

    harness.run_check(check)


async def ask_repeatable(running: deployment.Deployment) -> asyncio.Future[deployment.Response]:
    """Send a request that may be repeated; return its pending response once a replica runs it.

    The replica takes longer than an attempt may take if another one can follow.
    """
    await running.wait_settled()
    harness.set_processing_time(running, 1.4)
    pending = asyncio.ensure_future(running.ask('/safe/x', id='one', patience_ms=2600))
    await harness.wait_for(lambda: bool(running.list_runs('one')))
    return pending


def get_apps(running: deployment.Deployment) -> list[replica.Replica]:
    """Return the replicas of the plain service; the one that has run a request first."""
    apps = [replica for replica in running.replicas.values() if not replica.model]
    return sorted(apps, key=lambda r: not r.runs)


def test_slow_request_that_is_refused_elsewhere_goes_on_where_it_is() -> None:
    """Guards against ending an attempt that answers in time, for one that nobody accepts."""

    async def check(running: deployment.Deployment) -> None:
        pending = await ask_repeatable(running)
        first, other = get_apps(running)
        other.faults.refuse = 1
        assert (await pending).status == 200
        assert count_arrivals([first, other]) == [1, 1]

    harness.run_check(check)


def test_slow_request_without_a_retry_goes_on_where_it_is() -> None:
    """Guards against failing a request with time left because the retry budget is used up."""

    async def check(running: deployment.Deployment) -> None:
        pending = await ask_repeatable(running)
        first, other = get_apps(running)
        running.routers[0].forwarder.budgets.get('app').configure(0.0, 0.0, 10.0)
        assert (await pending).status == 200
        assert count_arrivals([first, other]) == [1, 0]

    harness.run_check(check)


def test_slow_request_that_is_refused_late_returns_to_its_first_replica() -> None:
    """The other replica queues the request and then refuses it."""

    async def check(running: deployment.Deployment) -> None:
        pending = await ask_repeatable(running)
        first, other = get_apps(running)
        other.faults.late_refusal = 0.4
        await harness.wait_for(lambda: bool(other.arrivals))
        first.work_seconds = 0.1
        assert (await pending).status == 200
        assert count_arrivals([first, other]) == [2, 1]

    harness.run_check(check)
