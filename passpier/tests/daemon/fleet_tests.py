"""A fleet of processes under kills, drains and store outages."""

from __future__ import annotations

import contextlib
import http.client
import json
import signal
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest
import uuid_utils

from passpier import clocks
from passpier.standins import fleets, processes
from passpier.tests.daemon import path_tests


@pytest.fixture(scope='module')
def fleet() -> Iterator[fleets.Fleet]:
    with fleets.run_fleet(daemons=3, engine_flags=['--decode-ms', '4']) as started:
        yield started


class LoadGenerator:
    """Callers that stream continuously from the entries that they were given."""

    def __init__(self, fleet: fleets.Fleet, callers: int = 6, tokens: int = 60) -> None:
        self.fleet = fleet
        self.tokens = tokens
        self.ended = threading.Event()
        self.answers: list[tuple[str, fleets.Response]] = []
        self.failures: list[Exception] = []
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(callers)]

    def run(self, number: int) -> None:
        """Fetch entries, keep them for their lifetime and use one."""
        turn = 0
        while not self.ended.is_set():
            entry = self.fetch_entry(number)
            until = clocks.now() + 1.0
            while clocks.now() < until and not self.ended.is_set():
                turn += 1
                self.ask(entry, f'caller {number} turn {turn}')

    def fetch_entry(self, number: int) -> str:
        """Return an entry, from the first daemon that answers."""
        for daemon in self.fleet.daemons:
            with contextlib.suppress(OSError):
                url = f'http://{daemon.entry}/v1/entries'
                body = processes.call('GET', url, None, fleets.make_headers())[2]
                listed = json.loads(body).get('entries')
                if listed:
                    return listed[number % len(listed)]['address']
        raise TimeoutError('no daemon answers')

    def ask(self, entry: str, prompt: str) -> None:
        """Send one request and record its response or failure."""
        try:
            self.answers.append((prompt, fleets.complete(entry, prompt, self.tokens)))
        except OSError as error:
            self.failures.append(error)

    def __enter__(self) -> LoadGenerator:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.ended.set()
        for thread in self.threads:
            thread.join()


def restart(fleet: fleets.Fleet, number: int) -> float:
    """Restart a daemon; return the seconds until it is ready."""
    began = clocks.now()
    daemon = fleet.daemons[number]
    daemon.start()
    processes.wait_until(daemon.is_ready, f'{daemon.name} ready')
    return clocks.now() - began


def get_revision(fleet: fleets.Fleet, number: int = 0) -> int:
    return fleet.daemons[number].rpc('show')['result']['revision']


def change_deadline(fleet: fleets.Fleet, deadline_ms: int) -> dict[str, Any]:
    schema = fleet.build_schema()
    schema['services'][0]['deadline_ms'] = deadline_ms
    return schema


def test_a_drain_interrupts_no_request(fleet: fleets.Fleet) -> None:
    daemon = fleet.daemons[1]
    with LoadGenerator(fleet) as load:
        processes.wait_until(lambda: len(load.answers) > 10, 'load runs')
        daemon.send(signal.SIGTERM)
        # A caller that got this address just before may use it for the lifetime of entries.
        processes.wait_until(lambda: daemon.list_events('drain begins'), 'drain begins')
        late = [fleets.complete(daemon.entry, f'late {n}', 5) for n in range(3)]
        assert all(a.is_complete for a in late), [a.body for a in late]
        assert daemon.popen.wait(30) == 0
        count = len(load.answers)
        processes.wait_until(lambda: len(load.answers) > count + 10, 'load goes on')
    assert not load.failures
    for prompt, answer in load.answers:
        assert answer.status == 200, answer.body
        assert answer.is_complete
        assert answer.text == path_tests.compute_text(prompt, load.tokens)
    print(f'drain under load: {len(load.answers)} answers, none cut')
    restart(fleet, 1)


def test_a_drain_waits_for_a_caller_that_reads_slowly(fleet: fleets.Fleet) -> None:
    daemon = fleet.daemons[2]
    fleet.services[0].set_faults(padding=12_000_000)
    connection = http.client.HTTPConnection(daemon.entry, timeout=30)
    connection.connect()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 262_144)
    connection.request('POST', '/services/ack/tile', b'{}', fleets.make_headers())
    response = connection.getresponse()
    fleet.services[0].set_faults(padding=0)
    daemon.send(signal.SIGTERM)
    processes.wait_until(lambda: daemon.list_events('drain begins'), 'drain begins')
    processes.wait_until(lambda: fleet.complete(2, 'closing?').status != 200, 'closing', 10)
    for _ in range(400):
        # It must go on answering, as one response is not completely sent.
        assert processes.call('GET', f'http://{daemon.entry}/healthz')[0] == 200
    assert len(json.loads(response.read())['padding']) == 12_000_000
    connection.close()
    assert daemon.popen.wait(30) == 0
    restart(fleet, 2)


def test_a_killed_daemon_serves_at_once_while_the_store_is_down(fleet: fleets.Fleet) -> None:
    prefix = ' '.join(f'farm {n}' for n in range(300))
    assert fleet.complete(2, prefix).is_complete
    processes.wait_until(lambda: fleet.complete(2, prefix).cached > 400, 'prefix cached', 10)
    fleet.store.set_faults(drop=True)
    try:
        fleet.daemons[0].kill()
        seconds = restart(fleet, 0)
        answer = fleet.complete(0, prefix)
        assert answer.text == path_tests.compute_text(prefix, 8)
        assert answer.cached > 400
        print(f'restart with the store down: ready in {seconds:.2f} s, prefix found')
    finally:
        fleet.store.set_faults(drop=False)


def wait_for_all(fleet: fleets.Fleet, revision: int) -> float:
    began = clocks.now()
    answer = fleet.daemons[0].rpc('wait', revision=revision, timeout=10)['result']
    assert answer['behind'] == []
    return clocks.now() - began


def lists_alive(fleet: fleets.Fleet, name: str) -> bool:
    """Return whether any daemon considers a daemon alive."""
    listed = [d for f in fleet.daemons for d in f.rpc('status')['result']['daemons']]
    return any(d['alive'] for d in listed if d['name'] == name)


def test_a_slow_store_slows_no_request(fleet: fleets.Fleet) -> None:
    fleet.store.set_faults(delay=0.7)
    try:
        assert all(fleet.complete(n % 3, f'slow store {n}').is_complete for n in range(6))
        base = get_revision(fleet)
        assert fleet.apply(change_deadline(fleet, 13_700), base)['result']['revision'] == base + 1
        print(f'slow store: in force everywhere after {wait_for_all(fleet, base + 1):.2f} s')
    finally:
        fleet.store.set_faults(delay=0.0)


def test_keys_run_once_through_kill_and_outage(fleet: fleets.Fleet) -> None:
    incarnation = fleet.daemons[1].list_events('serving')[-1]['incarnation']
    homed = [f'{incarnation}.{uuid_utils.uuid7()}' for _ in range(4)]
    fleet.store.set_faults(drop=True)
    try:
        served = [fleet.call_service(n % 3, key).status for n, key in enumerate(homed)]
        opaque = fleet.call_service(0, 'opaque-1')
    finally:
        fleet.store.set_faults(drop=False)
    assert served == [200] * 4
    assert opaque.error['outcome'] == 'unknown'
    assert opaque.error['retry_after'] > 0
    assert fleet.count_runs('opaque-1') == 0
    fleet.daemons[1].kill()
    restart(fleet, 1)
    for number, key in enumerate(homed):
        assert fleet.call_service(number % 3, key).error['outcome'] == 'unknown'
        assert fleet.count_runs(key) == 1
    processes.wait_until(lambda: fleet.call_service(0, 'opaque-1').status == 200, 'claimed', 20)
    assert fleet.count_runs('opaque-1') == 1


@pytest.mark.parametrize('signal_name', ['vm_list', 'report', 'configuration'])
def test_a_leaving_upstream_gets_no_new_work(fleet: fleets.Fleet, signal_name: str) -> None:
    leaving = fleet.engines[0]
    schema = fleet.build_schema()
    if signal_name == 'vm_list':
        fleet.vms.post('/vms', {f'{leaving.name}-vm': 'leaving'})
    elif signal_name == 'report':
        leaving.post('/_counters', {'leaving': True})
    else:
        schema['pools'][0]['upstreams'][0]['leaving'] = True
        fleet.apply(schema, get_revision(fleet))
    began = clocks.now()
    processes.wait_until(lambda: all_list_leaving(fleet, signal_name), 'all list the state', 10)
    seconds = clocks.now() - began
    before = sum(leaving.get_counters()['runs'].values())
    for number in range(12):
        assert fleet.complete(number % 3, f'leaving {signal_name} {number}').is_complete
    assert sum(leaving.get_counters()['runs'].values()) == before
    print(f'{signal_name}: no new work after {seconds:.2f} s')
    fleet.vms.post('/vms', {f'{leaving.name}-vm': 'live'})
    leaving.post('/_counters', {'leaving': False})
    fleet.apply(fleet.build_schema(), get_revision(fleet))
    processes.wait_until(lambda: all_list_leaving(fleet, ''), 'all list the state', 10)


def all_list_leaving(fleet: fleets.Fleet, signal_name: str) -> bool:
    wanted = [signal_name] if signal_name else []
    for daemon in fleet.daemons:
        upstreams = daemon.rpc('status')['result']['upstreams']
        if next(u['leaving'] for u in upstreams if u['name'] == 'engine-1') != wanted:
            return False
    return True


def test_new_weights_are_ordered_by_one_daemon_and_served(fleet: fleets.Fleet) -> None:
    """Replicas load one at a time, so the pool keeps serving; the response of one order is lost."""
    fleet.engines[0].set_faults(lose_answer=1)
    schema = fleet.build_schema()
    schema['models'][0]['weight_version'] = 'v2'
    for upstream in schema['pools'][0]['upstreams']:
        upstream['checks_fencing'] = True
    with LoadGenerator(fleet, callers=4, tokens=20) as load:
        fleet.apply(schema, get_revision(fleet))
        processes.wait_until(
            lambda: {e.get_counters()['weight_version'] for e in fleet.engines} == {'v2'}, 'v2', 60
        )
        count = len(load.answers)
        processes.wait_until(lambda: len(load.answers) > count + 4, 'v2 serves', 10)
    assert not load.failures
    assert all(a.is_complete for _, a in load.answers), [
        a.body for _, a in load.answers if not a.is_complete
    ]
    orders = [e.get_counters()['orders'] for e in fleet.engines]
    assert all(1 <= len(o) <= 2 for o in orders)
    placing_daemons = [d for d in fleet.daemons if d.list_events('placement decision')]
    assert len(placing_daemons) == 1
    schema['models'][0]['weight_version'] = 'v1'
    fleet.apply(schema, get_revision(fleet))
    processes.wait_until(
        lambda: {e.get_counters()['weight_version'] for e in fleet.engines} == {'v1'}, 'v1', 60
    )
    fleet.apply(fleet.build_schema(), get_revision(fleet))
    processes.wait_until(lambda: fleet.complete(0, 'old weights?').is_complete, 'v1 serves', 10)


def test_a_limit_holds_over_all_daemons(fleet: fleets.Fleet) -> None:
    """Three daemons share six units; requests go to one of them first, then to all."""
    schema = fleet.build_schema()
    schema['accounts'][0]['concurrency'] = 6
    fleet.apply(schema, get_revision(fleet))
    processes.wait_until(fleet.is_settled, 'settled')
    for targets in ([0], [0, 1, 2]):
        answers: list[fleets.Response] = []

        def ask(number: int, targets: list[int], answers: list[fleets.Response]) -> None:
            target = targets[number % len(targets)]
            answers.append(fleet.complete(target, f'limit {number}', 150))

        threads = [threading.Thread(target=ask, args=(n, targets, answers)) for n in range(18)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        refused = [a for a in answers if a.status == 429]
        served = [a for a in answers if a.is_complete]
        assert len(served) == 6, [a.error for a in answers if a.status != 200]
        assert len(refused) == 12
        assert all(a.error['outcome'] == 'not_run' for a in refused)
        assert all(a.error['entries'] and a.error['retry_after'] > 0 for a in refused)
    fleet.apply(fleet.build_schema(), get_revision(fleet))


def test_restarts_at_once_do_not_overload_the_store() -> None:
    with fleets.run_fleet(daemons=6, engines=1) as fleet:
        for daemon in fleet.daemons:
            daemon.kill()
        before = sum(fleet.store.get('/stats').values())
        began = clocks.now()
        for daemon in fleet.daemons:
            daemon.start()
        for daemon in fleet.daemons:
            processes.wait_until(daemon.is_ready, f'{daemon.name} ready')
        seconds = clocks.now() - began
        calls = sum(fleet.store.get('/stats').values()) - before
        assert all(fleet.complete(n, 'herd').is_complete for n in range(6))
        print(f'6 restarts at once: all ready in {seconds:.2f} s, {calls / 6:.1f} store calls each')
        assert calls / 6 < 30
