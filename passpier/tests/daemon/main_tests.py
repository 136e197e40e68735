"""Drains of a daemon: requests that can finish do, all others get a response with a true outcome.

These tests guard against three failures: a second request to stop (an operator's drain and the
platform's signal) closed all connections without a response, so did the bound of the drain, and
requests were accepted that could not finish before it.
"""

from __future__ import annotations

import http.client
import signal
import threading
import time
from collections.abc import Callable, Iterator

import pytest
import uuid_utils

from passpier.standins import fleets, processes

BOUND = 6.0
"""Maximum duration of a drain in these tests, in seconds."""

DECODE_MS = 50
"""Milliseconds per token, so that answers of some hundred tokens outlast a drain."""

SHORT_TOKENS = 40
"""Tokens of a response that finishes within a drain."""

LONG_TOKENS = 1000
"""Tokens of a response that does not finish within a drain."""

PROMPT_BYTES = 1_600_000
"""Bytes of a prompt that an engine takes ten seconds for, so that other requests queue."""

FLAGS = ['--entry-ttl', '0.2', '--drain-bound', str(BOUND)]


@pytest.fixture
def fleet() -> Iterator[fleets.Fleet]:
    engine_flags = ['--decode-ms', str(DECODE_MS), '--slots', '2']
    options = {'engines': 1, 'engine_flags': engine_flags, 'daemon_flags': FLAGS}
    with fleets.run_fleet(daemons=2, **options) as started:
        schema = started.build_schema()
        schema['services'][0]['deadline_ms'] = 1_500
        started.apply(schema, started.daemons[0].rpc('show')['result']['revision'])
        wanted = started.daemons[0].rpc('show')['result']['revision']
        assert not started.daemons[0].rpc('wait', revision=wanted, timeout=10)['result']['behind']
        yield started


class BackgroundRequest:
    """A request sent by a thread, with its response or failure."""

    def __init__(self, send: Callable[[], fleets.Response]) -> None:
        self._send = send
        self._answer: fleets.Response | None = None
        self._failure: Exception | None = None
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        try:
            self._answer = self._send()
        except (OSError, http.client.HTTPException) as error:
            self._failure = error

    def wait(self) -> fleets.Response:
        """Return the response; fails the test if the connection was closed without one."""
        self._thread.join(60)
        assert self._failure is None, f'no answer: {self._failure!r}'
        assert self._answer is not None, 'still waiting'
        return self._answer


def begin_stream(fleet: fleets.Fleet, prompt: str, tokens: int) -> BackgroundRequest:
    """Request a stream from daemon 0 and return once an engine computes it."""
    before = count_running(fleet)
    request = BackgroundRequest(lambda: fleet.complete(0, prompt, tokens))
    processes.wait_until(lambda: count_running(fleet) > before, f'{prompt} runs')
    return request


def count_running(fleet: fleets.Fleet) -> int:
    return sum(fleet.engines[0].get_counters()['runs'].values())


def begin_drain(fleet: fleets.Fleet) -> processes.DaemonProcess:
    daemon = fleet.daemons[0]
    daemon.send(signal.SIGTERM)
    processes.wait_until(lambda: daemon.list_events('drain begins'), 'drain begins')
    return daemon


def request_draft(fleet: fleets.Fleet, number: int, key: str, tokens: int) -> fleets.Response:
    """Request a completion that may run only once, without streaming."""
    body = {'model': 'draft', 'prompt': 'draft', 'max_tokens': tokens}
    headers = {**fleets.make_headers(), 'Idempotency-Key': key}
    url = f'http://{fleet.daemons[number].entry}/v1/completions'
    return fleets.Response(*processes.call('POST', url, body, headers))


def check_draining(answer: fleets.Response, outcome: str) -> None:
    assert answer.error['code'] == 'draining', answer.body
    assert answer.error['outcome'] == outcome
    assert answer.error['retry_after'] > 0
    assert answer.error['entries']


def test_a_signal_after_an_operators_drain_interrupts_nothing(fleet: fleets.Fleet) -> None:
    request = begin_stream(fleet, 'drained', SHORT_TOKENS)
    daemon = fleet.daemons[0]
    assert fleet.daemons[1].rpc('drain', name=daemon.name)['result']['draining'] == daemon.name
    processes.wait_until(lambda: daemon.list_events('drain begins'), 'drain begins')
    daemon.send(signal.SIGTERM)
    assert request.wait().is_complete
    assert daemon.popen.wait(30) == 0


def test_a_second_sigterm_interrupts_nothing(fleet: fleets.Fleet) -> None:
    request = begin_stream(fleet, 'twice', SHORT_TOKENS)
    daemon = begin_drain(fleet)
    daemon.send(signal.SIGTERM)
    assert request.wait().is_complete
    assert daemon.popen.wait(30) == 0


def test_a_second_sigint_ends_the_drain(fleet: fleets.Fleet) -> None:
    request = begin_stream(fleet, 'interrupted', LONG_TOKENS)
    daemon = fleet.daemons[0]
    daemon.send(signal.SIGINT)
    processes.wait_until(lambda: daemon.list_events('drain begins'), 'drain begins')
    daemon.send(signal.SIGINT)
    answer = request.wait()
    assert not answer.is_complete
    assert answer.chunks
    check_draining(answer, 'unknown')
    assert daemon.popen.wait(30) == 0
    assert daemon.list_events('drain hurried')


def test_a_request_that_cannot_finish_within_the_drain_is_refused_at_once(
    fleet: fleets.Fleet,
) -> None:
    daemon = begin_drain(fleet)
    short = fleet.complete(0, 'short', 5)
    assert short.is_complete, short.body
    long = fleet.complete(0, 'long', LONG_TOKENS)
    assert long.status == 503
    check_draining(long, 'not_run')
    assert long.headers['X-Passpier-Outcome'] == 'not_run'
    assert daemon.popen.poll() is None
    # The key may have run before, and is not looked up during a drain.
    check_draining(request_draft(fleet, 0, 'late', LONG_TOKENS), 'unknown')
    assert daemon.popen.wait(30) == 0


def test_a_drain_waits_for_an_incomplete_request(fleet: fleets.Fleet) -> None:
    """Guards against a daemon that exits between the head and the body of a request."""
    daemon = fleet.daemons[0]
    body = b'{"model": "flag", "prompt": "late", "max_tokens": 5}'
    connection = http.client.HTTPConnection(daemon.entry, timeout=30)
    connection.putrequest('POST', '/v1/completions')
    for name, value in {**fleets.make_headers(), 'Content-Length': str(len(body))}.items():
        connection.putheader(name, value)
    connection.endheaders(body[:10])
    begin_drain(fleet)
    processes.wait_until(lambda: not accepts(daemon), 'closing', 10)
    # A daemon without requests in progress would exit within this time.
    time.sleep(1.0)
    connection.send(body[10:])
    response = connection.getresponse()
    answer = fleets.Response(response.status, dict(response.headers), response.read())
    check_draining(answer, 'not_run')
    assert daemon.popen.wait(30) == 0


def accepts(daemon: processes.DaemonProcess) -> bool:
    """Return whether a daemon accepts requests."""
    try:
        return fleets.complete(daemon.entry, 'closing?', 1).status == 200
    except OSError:
        return False


def test_requests_in_progress_at_the_bound_get_a_true_outcome(fleet: fleets.Fleet) -> None:
    """Covers a stream, a prompt being computed, a queued one, and calls of a plain service."""
    fleet.services[0].set_faults(work=9.0)
    incarnation = fleet.daemons[0].list_events('serving')[-1]['incarnation']
    homed = f'{incarnation}.{uuid_utils.uuid7()}'
    begun = begin_stream(fleet, 'begun', LONG_TOKENS)
    computed = begin_stream(fleet, 'x' * PROMPT_BYTES, 5)
    before = count_running(fleet)
    waiting = BackgroundRequest(lambda: request_draft(fleet, 0, 'waits-at-bound', 5))
    opaque = BackgroundRequest(lambda: fleet.call_service(0, 'runs-at-bound'))
    forwarded = BackgroundRequest(lambda: fleet.call_service(1, homed))
    for key in (homed, 'runs-at-bound'):
        processes.wait_until(lambda key=key: fleet.count_runs(key) == 1, f'{key} runs')
    daemon = begin_drain(fleet)
    stream = begun.wait()
    assert stream.status == 200
    assert stream.chunks
    assert not stream.is_complete
    check_draining(stream, 'unknown')
    for request in (computed, opaque):
        answer = request.wait()
        assert answer.status == 503
        check_draining(answer, 'unknown')
    assert forwarded.wait().error['outcome'] == 'unknown'
    assert forwarded.wait().error['code'] == 'draining'
    check_draining(waiting.wait(), 'not_run')
    assert daemon.popen.wait(30) == 0
    assert count_running(fleet) == before
    assert request_draft(fleet, 1, 'waits-at-bound', 5).status == 200
    assert fleet.call_service(1, 'runs-at-bound').error['outcome'] == 'unknown'
    assert fleet.count_runs('runs-at-bound') == 1
