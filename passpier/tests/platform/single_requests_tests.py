"""Requests through a router with the platform adapter; store and replicas are stand-ins."""

from __future__ import annotations

import asyncio
import math

import pytest

from passpier.clients import connections
from passpier.core import features, replicas
from passpier.platform import names
from passpier.standins.platform import deployment, replica
from passpier.tests.platform import harness

SECONDS_WITHOUT_CAPACITY = 1.2
"""Seconds without capacity: longer than any first attempt waits in the queue."""

COMPLETE_STREAM = ''.join(f'id: {n}\ndata: piece {n}\n\n' for n in range(5)).encode()


def test_each_kind_of_route_gets_a_complete_response() -> None:
    async def check(running: deployment.Deployment) -> None:
        for path in ('/safe/x?y=1', '/once/x?y=1', '/open/x?y=1'):
            reply = await running.ask(path, id='a' + path[1:4])
            assert reply.status == 200
            assert reply.body == f'POST {path} 8'.encode()
            assert reply.headers.get(names.SERVER_STAMP)
            assert reply.headers.get(names.REQUEST_ID) == 'a' + path[1:4]
        for path in ('/stream/x', '/resume/x'):
            reply = await running.ask(path, headers=harness.PROMPT_HEADERS)
            assert (reply.status, reply.body) == (200, COMPLETE_STREAM)

    harness.run_check(check)


def test_headers_of_the_router_cannot_be_forged_by_clients() -> None:
    async def check(running: deployment.Deployment) -> None:
        forged = [
            (names.ACCOUNT, 'somebody'),
            (names.SALT, 'somebody'),
            ('X-Passpier-Kv-Hold', '7'),
            (names.EXPECT_INCARNATION, 'nobody'),
            (names.CACHE_SOURCE, '127.0.0.1:1'),
        ]
        await running.ask(
            '/stream/x', id='one', headers=[*harness.PROMPT_HEADERS, *forged], patience_ms=900
        )
        (run,) = running.list_runs('one')
        assert run.account == 'tower'
        assert run.salt == f'tower/{deployment.MODEL}/1'
        assert 0 < run.time_left_ms <= 900
        await running.ask('/stream/x', id='two', headers=harness.PROMPT_HEADERS, key='secret-2')
        (run,) = running.list_runs('two')
        table = running.routers[0].registry_state.table
        assert table is not None
        owner = table.get_cache_owner(table.find_account('secret-2'))
        assert owner not in ('tower', 'farm')
        assert (run.account, run.salt) == ('farm', f'{owner}/{deployment.MODEL}/1')

    harness.run_check(check)


@pytest.mark.parametrize(
    ('path', 'key', 'host', 'status'),
    [
        ('/nowhere/x', deployment.KEY, deployment.HOST, 404),
        ('/safe/x', deployment.KEY, 'other.example', 404),
        ('/safe/x', 'wrong', deployment.HOST, 401),
        ('/safe/x', None, deployment.HOST, 401),
        ('/open/x', None, deployment.HOST, 200),
    ],
)
def test_request_that_the_configuration_does_not_allow_does_not_run(
    path: str, key: str | None, host: str, status: int
) -> None:
    async def check(running: deployment.Deployment) -> None:
        reply = await running.ask(path, key=key, host=host, id='one')
        assert reply.status == status
        assert len(running.list_runs('one')) == (status == 200)

    harness.run_check(check)


def test_body_over_the_limit_is_refused() -> None:
    async def check(running: deployment.Deployment) -> None:
        reply = await running.ask('/safe/x', body=b'x' * 100_001, id='one')
        assert reply.status == 413
        assert not running.list_runs('one')

    harness.run_check(check)


@pytest.mark.parametrize(
    ('path', 'fault', 'status', 'runs'),
    [
        ('/safe/x', 'refuse', 200, 1),
        ('/once/x', 'refuse', 200, 1),
        ('/safe/x', 'fail', 200, 2),
        ('/once/x', 'fail', 500, 1),
        ('/safe/x', 'lose', 200, 2),
        ('/once/x', 'lose', 502, 1),
        ('/safe/x', 'swap', 200, 2),
        ('/once/x', 'swap', 504, 1),
        ('/safe/x', 'lie', 200, 2),
        ('/once/x', 'lie', 502, 1),
        ('/stream/x', 'refuse', 200, 1),
        ('/stream/x', 'lose', 502, 1),
        ('/resume/x', 'lose', 200, 2),
        ('/resume/x', 'cut', 200, 2),
    ],
)
def test_outcome_of_a_single_fault(path: str, fault: str, status: int, runs: int) -> None:
    async def check(running: deployment.Deployment) -> None:
        running.age_routers()
        # The replicas share a single fault, so it hits one request, wherever that goes first.
        wants_model = path.startswith(('/stream/', '/resume/'))
        headers = harness.PROMPT_HEADERS if wants_model else []
        shared = replica.Faults()
        setattr(shared, fault, 1)
        for stand_in in running.replicas.values():
            if bool(stand_in.model) == wants_model:
                stand_in.faults = shared
        reply = await running.ask(path, id='one', headers=headers, patience_ms=800)
        assert getattr(shared, fault) == 0
        assert reply.status == status
        assert len(running.list_runs('one')) == runs
        if status == 200 and headers:
            assert reply.body == COMPLETE_STREAM
        stamped = reply.headers.get(names.SERVER_STAMP) is not None
        assert stamped == (status in (200, 500))

    harness.run_check(check)


# Guards against a repeated refusal of one attempt that passes for the answer to the next one.
# With `is_shared`, other requests have used the connections between the attempts.
@pytest.mark.parametrize('is_shared', [False, True])
@pytest.mark.parametrize('path', ['/once/x', '/stream/x'])
def test_repeated_refusal_is_not_taken_for_the_answer_to_another_attempt(
    path: str, is_shared: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def check(running: deployment.Deployment) -> None:
        running.age_routers()
        if is_shared:
            # The id of the last request on a connection tells nothing then.
            monkeypatch.setattr(connections, '_may_confuse', lambda connection, request: False)
        routes = running.configuration['routes']
        running.configure(routes=[{**r, 'max_attempts': 3} for r in routes])
        for id in ('llm-1', 'app-1'):
            running.remove_entry(id)
        pools = running.routers[0].pools
        await harness.wait_for(lambda: len(pools.list_serving('app')) == 1)
        wants_model = path == '/stream/x'
        headers = harness.PROMPT_HEADERS if wants_model else []
        only = running.replicas['llm-0' if wants_model else 'app-0']
        assert (await running.ask(path, headers=headers)).status == 200
        only.faults.refuse = only.faults.repeat = 1
        reply = await running.ask(path, id='one', headers=headers)
        assert reply.status == 200
        assert len(running.list_runs('one')) == 1
        assert sum(a.id == 'one' for a in only.arrivals) == 2

    harness.run_check(check)


def test_interrupted_stream_that_cannot_be_resumed_does_not_look_complete() -> None:
    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.faults.cut = 1
        with pytest.raises(Exception, match='ended|closed|peer'):
            await running.ask('/stream/x', id='one', headers=harness.PROMPT_HEADERS)
        assert len(running.list_runs('one')) == 1

    harness.run_check(check)


def test_interrupted_stream_waits_for_capacity_at_another_replica(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In a full pool, the other replicas have capacity only when a request ends."""
    has_room = replicas.has_room
    first_at: list[float] = []

    def has_room_later(replica: replicas.Replica, now: float, *priority: int) -> bool:
        if not first_at:
            first_at.append(now)
        return (
            has_room(replica, now, *priority)
            and not 0.0 < now - first_at[0] < SECONDS_WITHOUT_CAPACITY
        )

    async def check(running: deployment.Deployment) -> None:
        await running.wait_settled()
        shared = replica.Faults(cut=1)
        for stand_in in running.replicas.values():
            stand_in.faults = shared
        monkeypatch.setattr(replicas, 'has_room', has_room_later)
        reply = await running.ask('/resume/x', headers=harness.PROMPT_HEADERS, id='one')
        assert (reply.status, reply.body) == (200, COMPLETE_STREAM)
        assert len(running.list_runs('one')) == 2

    harness.run_check(check)


@pytest.mark.parametrize('enabled', [True, False])
def test_requests_held_without_room_are_told_when_to_return(enabled: bool) -> None:
    """Guards against an admission policy that isn't attached, or not with the feature off."""

    async def check(running: deployment.Deployment) -> None:
        others = frozenset() if enabled else frozenset({features.Feature.ADMISSION})
        running.add_router('vm-x', 'a', enabled_features=features.ALL - others)
        await running.wait_ready()
        process = running.routers[-1]
        request_dispatcher = process.forwarder.dispatcher
        assert (request_dispatcher.admission is not None) == enabled
        for known in process.pools.replicas.values():
            known.paused_until = math.inf
        reply = await running.ask('/open/x', entry=1)
        assert reply.status == 503
        returns_after = float(reply.headers.get('Retry-After') or 0.0)
        assert 0 < returns_after < 2.0
        if enabled:
            assert returns_after <= 2.0 / 3

    harness.run_check(check)


def test_without_replicas_requests_are_refused_at_once_with_retry_after() -> None:
    async def check(running: deployment.Deployment) -> None:
        for id in list(running.replicas):
            running.remove_entry(id)
        async with asyncio.timeout(0.5):
            while running.routers[0].pools.replicas:
                await asyncio.sleep(0.01)
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await running.ask('/once/x', id='one')
        assert reply.status == 503
        assert loop.time() - began < 1.0
        assert float(reply.headers.get('Retry-After') or 0) > 0

    harness.run_check(check)


def test_request_ends_at_the_timeout_of_its_route() -> None:
    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.faults.silent = True
        reply = await running.ask('/brief/x', id='one')
        assert reply.status == 504
        (run,) = running.list_runs('one')
        assert run.time_left_ms <= 150
        for stand_in in running.replicas.values():
            stand_in.faults.silent = False

    harness.run_check(check)


async def disconnect_during_request(running: deployment.Deployment) -> None:
    """Disconnect a client while a replica works on its request."""
    for stand_in in running.replicas.values():
        stand_in.work_seconds = 1.0
    pending = asyncio.ensure_future(running.ask('/safe/x', id='one'))
    while not running.list_runs('one'):
        await asyncio.sleep(0.01)
    pending.cancel()


def test_disconnect_leaves_nothing_running() -> None:
    async def check(running: deployment.Deployment) -> None:
        await disconnect_during_request(running)
        while not any('one' in stand_in.abandoned for stand_in in running.replicas.values()):
            await asyncio.sleep(0.01)
        assert running.routers[0].ingress.in_flight == 0

    harness.run_check(check)


@pytest.mark.parametrize(('path', 'status'), [('/safe/x', 200), ('/resume/x', 200)])
def test_silent_replica_is_abandoned_and_gets_no_requests(path: str, status: int) -> None:
    async def check(running: deployment.Deployment) -> None:
        wants_model = path.startswith('/resume/')
        headers = harness.PROMPT_HEADERS if wants_model else []
        silent = running.replicas['llm-0' if wants_model else 'app-0']
        await running.wait_settled()
        running.make_unreachable(silent.id)
        loop = asyncio.get_running_loop()
        for number in range(8):
            began = loop.time()
            reply = await running.ask(path, id=f'q{number}', headers=headers)
            assert reply.status == status
            assert loop.time() - began < 1.9
        arrived = len(silent.runs)
        assert arrived <= 2
        running.make_reachable(silent.id)
        state = running.routers[0].pools.replicas[silent.id]
        while loop.time() < state.paused_until:
            await asyncio.sleep(0.02)
        assert not running.routers[0].prober.is_unresponsive(silent.id)

    harness.run_check(check)


def test_slow_replica_that_is_alive_is_waited_for() -> None:
    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.work_seconds = 0.9
        reply = await running.ask('/once/x', id='one')
        assert reply.status == 200
        assert len(running.list_runs('one')) == 1

    harness.run_check(check)


def test_started_stream_never_gets_a_second_response_head(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')

    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.faults.cut = 1
        freshness = running.routers[0].registry_state.freshness
        pending = asyncio.ensure_future(
            running.ask('/resume/x', id='one', headers=harness.PROMPT_HEADERS)
        )
        running.faults.down = True
        while not running.list_runs('one'):
            await asyncio.sleep(0.001)
        # From here on keys may have been revoked, so the stream must not be resumed elsewhere.
        freshness.covered_at = float('-inf')
        with pytest.raises(Exception, match='ended|closed|peer'):
            await pending
        assert len(running.list_runs('one')) == 1

    harness.run_check(check)
    ended = [r for r in caplog.records if r.message == 'request ended']
    assert [r.__dict__['outcome'] for r in ended] == ['stream_cut']


def test_request_that_may_have_run_is_never_reported_as_not_run() -> None:
    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.faults.lose = 1
            stand_in.work_seconds = 0.1
        freshness = running.routers[0].registry_state.freshness
        pending = asyncio.ensure_future(running.ask('/safe/x', id='one'))
        running.faults.down = True
        while not running.list_runs('one'):
            await asyncio.sleep(0.001)
        freshness.covered_at = float('-inf')
        assert (await pending).status == 502

    harness.run_check(check)


def test_log_reports_an_unknown_outcome_after_a_disconnect(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level('INFO')

    async def check(running: deployment.Deployment) -> None:
        await disconnect_during_request(running)
        while running.routers[0].ingress.in_flight:
            await asyncio.sleep(0.01)

    harness.run_check(check)
    (ended,) = [r.__dict__ for r in caplog.records if r.message == 'request ended']
    assert (ended['outcome'], ended['ran']) == ('client_gone', 'unknown')
