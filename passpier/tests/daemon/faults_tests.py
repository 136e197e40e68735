"""Answers stay complete and correct, and outcomes true, while upstreams fail."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Iterator

import pytest
import uuid_utils

from passpier.standins import fleets, processes
from passpier.tests.daemon import path_tests


@pytest.fixture(scope='module')
def fleet() -> Iterator[fleets.Fleet]:
    with fleets.run_fleet(engine_flags=['--decode-ms', '5']) as started:
        yield started


@pytest.mark.parametrize('fault', ['cut_at', 'skip_at', 'double_at', 'cross_at'])
@pytest.mark.parametrize('position', [0, 3])
def test_damaged_streams_are_repaired(fleet: fleets.Fleet, fault: str, position: int) -> None:
    for engine in fleet.engines:
        engine.set_faults(**{fault: position})
    prompt = f'{fault} {position}'
    answer = fleet.complete(0, prompt, 12)
    assert answer.text == path_tests.compute_text(prompt, 12)
    assert answer.is_complete
    assert answer.chunks[-1]['usage']['completion_tokens'] == 12


def test_streams_of_a_crashed_engine_continue_on_another(fleet: fleets.Fleet) -> None:
    answers: list[fleets.Response] = []

    def send(number: int) -> None:
        answers.append(fleet.complete(0, f'storm {number}', 200))

    threads = [threading.Thread(target=send, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    crashing = fleet.engines[0]
    processes.wait_until(lambda: crashing.get_counters()['running'] >= 2, 'streams run', 10)
    crashing.post('/_counters', {'crash': True})
    for thread in threads:
        thread.join()
    texts = {path_tests.compute_text(f'storm {n}', 200) for n in range(6)}
    assert {a.text for a in answers} == texts
    assert all(a.is_complete for a in answers)


def test_a_frozen_engine_delays_answers_but_loses_none(fleet: fleets.Fleet) -> None:
    fleet.engines[0].set_faults(frozen=True)
    try:
        answers = [fleet.complete(0, f'frozen {n}', 4) for n in range(4)]
    finally:
        fleet.engines[0].set_faults(frozen=False)
    assert all(a.is_complete for a in answers)
    assert [a.text for a in answers] == [
        path_tests.compute_text(f'frozen {n}', 4) for n in range(4)
    ]


def test_a_lost_answer_is_not_run_again_by_the_http_client(fleet: fleets.Fleet) -> None:
    """On a reused connection, curl would send the request a second time automatically."""
    service = fleet.services[0]
    assert fleet.call_service(0, path='/tile').status == 200
    service.set_faults(lose_answer=1)
    lost = fleet.call_service(0, 'lost-1')
    assert lost.error['outcome'] == 'unknown'
    again = fleet.call_service(0, 'lost-1')
    assert again.error['outcome'] == 'unknown'
    assert fleet.call_service(1, 'lost-1').error['outcome'] == 'unknown'
    assert fleet.count_runs('lost-1') == 1


def test_without_upstreams_a_request_is_refused_with_a_true_outcome(fleet: fleets.Fleet) -> None:
    for engine in fleet.engines:
        engine.set_faults(refuse=True)
    try:
        answer = fleet.complete(0, 'refused')
    finally:
        for engine in fleet.engines:
            engine.set_faults(refuse=False)
    assert answer.status == 502
    assert answer.error['outcome'] == 'not_run'
    assert answer.error['retry_after'] > 0
    assert int(answer.headers['Retry-After']) >= 1
    runs = {r for e in fleet.engines for r in e.get_counters()['runs']}
    assert not any(r.startswith(answer.headers['X-Request-Id']) for r in runs)


def test_an_answer_from_other_weights_is_not_delivered(fleet: fleets.Fleet) -> None:
    """The engines serve other weights than those that they reported before."""
    for engine in fleet.engines:
        engine.set_faults(answer_version='v0')
    answer = fleet.complete(0, 'whose weights?')
    for engine in fleet.engines:
        engine.set_faults(answer_version=None)
    assert answer.status in (502, 503)
    assert answer.error['outcome'] == 'unknown'
    assert not answer.text
    processes.wait_until(lambda: fleet.complete(0, 'now?').is_complete, 'right weights again', 10)


def test_a_paused_daemon_runs_no_key_twice(fleet: fleets.Fleet) -> None:
    """The home daemon of a key is paused and resumed while another daemon forwards the key."""
    home = fleet.daemons[0]
    incarnation = home.list_events('serving')[-1]['incarnation']
    key = f'{incarnation}.{uuid_utils.uuid7()}'
    fleet.services[0].set_faults(work=0.5)
    results: list[fleets.Response] = []
    first = threading.Thread(target=lambda: results.append(fleet.call_service(0, key)))
    first.start()
    processes.wait_until(lambda: fleet.count_runs(key) == 1, 'the call runs', 5)
    home.send(signal.SIGSTOP)
    try:
        elsewhere = threading.Thread(target=lambda: results.append(fleet.call_service(1, key)))
        elsewhere.start()
        time.sleep(1.0)
    finally:
        home.send(signal.SIGCONT)
    first.join()
    elsewhere.join()
    fleet.services[0].set_faults(work=0.0)
    assert fleet.count_runs(key) == 1
    assert len(results) == 2
    assert all(r.status == 200 or r.error['outcome'] == 'unknown' for r in results)
