"""Planned stops of a daemon: nothing that can end is cut, and what is cut gets a true answer.

An operator's drain and the platform's signal for one stop came as two requests to stop, and the
second ended it: whatever ran was cut without an answer. The same happened to all that still ran at
the stop's bound, and requests were taken that could not end before it.
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
"""Seconds that a stop of these daemons may last."""

DECODE_MS = 50
"""Milliseconds for a token, so that answers of some hundred outlast a stop."""

SHORT = 40
"""Tokens of an answer that ends within a stop."""

LONG = 1000
"""Tokens of one that does not."""

PROMPT_BYTES = 1_600_000
"""Bytes of a prompt that takes an engine ten seconds, so that others wait for it."""

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


class Asked:
    """A request that is asked for in the background, and its answer or what went wrong."""

    def __init__(self, ask: Callable[[], fleets.Answer]) -> None:
        self._ask = ask
        self._answer: fleets.Answer | None = None
        self._failure: Exception | None = None
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        try:
            self._answer = self._ask()
        except (OSError, http.client.HTTPException) as error:
            self._failure = error

    def wait(self) -> fleets.Answer:
        """Return the answer; a connection that was closed without one fails the test."""
        self._thread.join(60)
        assert self._failure is None, f'no answer: {self._failure!r}'
        assert self._answer is not None, 'still waiting'
        return self._answer


def begin_stream(fleet: fleets.Fleet, prompt: str, tokens: int) -> Asked:
    """Ask daemon 0 for a stream and return once it is being computed."""
    before = count_running(fleet)
    asked = Asked(lambda: fleet.complete(0, prompt, tokens))
    processes.wait_until(lambda: count_running(fleet) > before, f'{prompt} runs')
    return asked


def count_running(fleet: fleets.Fleet) -> int:
    return sum(fleet.engines[0].get_counters()['runs'].values())


def begin_stop(fleet: fleets.Fleet) -> processes.DaemonProcess:
    daemon = fleet.daemons[0]
    daemon.send(signal.SIGTERM)
    processes.wait_until(lambda: daemon.list_events('drain begins'), 'drain begins')
    return daemon


def ask_draft(fleet: fleets.Fleet, number: int, key: str, tokens: int) -> fleets.Answer:
    """Ask a daemon for a whole completion that may run only once."""
    body = {'model': 'draft', 'prompt': 'draft', 'max_tokens': tokens}
    headers = {**fleets.make_headers(), 'Idempotency-Key': key}
    url = f'http://{fleet.daemons[number].entry}/v1/completions'
    return fleets.Answer(*processes.call('POST', url, body, headers))


def check_cut(answer: fleets.Answer, outcome: str) -> None:
    assert answer.error['code'] == 'draining', answer.body
    assert answer.error['outcome'] == outcome
    assert answer.error['retry_after'] > 0
    assert answer.error['entries']


def test_a_signal_after_an_operators_drain_cuts_nothing(fleet: fleets.Fleet) -> None:
    asked = begin_stream(fleet, 'drained', SHORT)
    daemon = fleet.daemons[0]
    assert fleet.daemons[1].rpc('drain', name=daemon.name)['result']['draining'] == daemon.name
    processes.wait_until(lambda: daemon.list_events('drain begins'), 'drain begins')
    daemon.send(signal.SIGTERM)
    assert asked.wait().whole
    assert daemon.popen.wait(30) == 0


def test_a_second_signal_to_stop_cuts_nothing(fleet: fleets.Fleet) -> None:
    asked = begin_stream(fleet, 'twice', SHORT)
    daemon = begin_stop(fleet)
    daemon.send(signal.SIGTERM)
    assert asked.wait().whole
    assert daemon.popen.wait(30) == 0


def test_a_person_ends_a_stop_early_by_a_second_interrupt(fleet: fleets.Fleet) -> None:
    asked = begin_stream(fleet, 'interrupted', LONG)
    daemon = fleet.daemons[0]
    daemon.send(signal.SIGINT)
    processes.wait_until(lambda: daemon.list_events('drain begins'), 'drain begins')
    daemon.send(signal.SIGINT)
    answer = asked.wait()
    assert not answer.whole
    assert answer.chunks
    check_cut(answer, 'unknown')
    assert daemon.popen.wait(30) == 0
    assert daemon.list_events('drain hurried')


def test_a_request_that_cannot_end_within_the_stop_is_refused_at_once(fleet: fleets.Fleet) -> None:
    daemon = begin_stop(fleet)
    short = fleet.complete(0, 'short', 5)
    assert short.whole, short.body
    long = fleet.complete(0, 'long', LONG)
    assert long.status == 503
    check_cut(long, 'not_run')
    assert long.headers['X-Passpier-Outcome'] == 'not_run'
    assert daemon.popen.poll() is None
    # It may have run before under this key, and whether it did is not looked up any more.
    check_cut(ask_draft(fleet, 0, 'late', LONG), 'unknown')
    assert daemon.popen.wait(30) == 0


def test_a_request_that_is_still_coming_is_waited_for(fleet: fleets.Fleet) -> None:
    """Its head had come, and it did not count as under way: the daemon ended before its body."""
    daemon = fleet.daemons[0]
    body = b'{"model": "flag", "prompt": "late", "max_tokens": 5}'
    connection = http.client.HTTPConnection(daemon.entry, timeout=30)
    connection.putrequest('POST', '/v1/completions')
    for name, value in {**fleets.make_headers(), 'Content-Length': str(len(body))}.items():
        connection.putheader(name, value)
    connection.endheaders(body[:10])
    begin_stop(fleet)
    processes.wait_until(lambda: not accepts(daemon), 'closing', 10)
    # A daemon that takes itself for done ends within this time.
    time.sleep(1.0)
    connection.send(body[10:])
    response = connection.getresponse()
    answer = fleets.Answer(response.status, dict(response.headers), response.read())
    check_cut(answer, 'not_run')
    assert daemon.popen.wait(30) == 0


def accepts(daemon: processes.DaemonProcess) -> bool:
    """Return whether a daemon takes requests; one that refuses or is gone does not."""
    try:
        return fleets.complete(daemon.entry, 'closing?', 1).status == 200
    except OSError:
        return False


def test_what_is_under_way_at_the_bound_gets_a_true_answer(fleet: fleets.Fleet) -> None:
    """A begun stream, a prompt being computed, one that waits for it, calls of a service."""
    fleet.services[0].set_faults(work=9.0)
    incarnation = fleet.daemons[0].list_events('serving')[-1]['incarnation']
    homed = f'{incarnation}.{uuid_utils.uuid7()}'
    begun = begin_stream(fleet, 'begun', LONG)
    computed = begin_stream(fleet, 'x' * PROMPT_BYTES, 5)
    before = count_running(fleet)
    waiting = Asked(lambda: ask_draft(fleet, 0, 'waits-at-bound', 5))
    opaque = Asked(lambda: fleet.call_service(0, 'runs-at-bound'))
    forwarded = Asked(lambda: fleet.call_service(1, homed))
    for key in (homed, 'runs-at-bound'):
        processes.wait_until(lambda key=key: fleet.count_runs(key) == 1, f'{key} runs')
    daemon = begin_stop(fleet)
    stream = begun.wait()
    assert stream.status == 200
    assert stream.chunks
    assert not stream.whole
    check_cut(stream, 'unknown')
    for asked in (computed, opaque):
        answer = asked.wait()
        assert answer.status == 503
        check_cut(answer, 'unknown')
    assert forwarded.wait().error['outcome'] == 'unknown'
    assert forwarded.wait().error['code'] == 'draining'
    check_cut(waiting.wait(), 'not_run')
    assert daemon.popen.wait(30) == 0
    assert count_running(fleet) == before
    assert ask_draft(fleet, 1, 'waits-at-bound', 5).status == 200
    assert fleet.call_service(1, 'runs-at-bound').error['outcome'] == 'unknown'
    assert fleet.count_runs('runs-at-bound') == 1
