"""Configuration under concurrent operators, store outages, isolation and restarts."""

from __future__ import annotations

import signal
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from passpier.standins import fleets, processes
from passpier.tests.daemon import fleet_tests


@pytest.fixture(scope='module')
def fleet() -> Iterator[fleets.Fleet]:
    with fleets.run_fleet(daemons=3, engine_flags=['--decode-ms', '4']) as started:
        yield started


def test_one_of_concurrent_operators_wins_and_the_others_get_a_conflict(
    fleet: fleets.Fleet,
) -> None:
    base = fleet_tests.get_revision(fleet)
    answers: dict[int, Any] = {}

    def apply(number: int) -> None:
        schema = fleet_tests.change_deadline(fleet, 10_000 + number)
        answers[number] = fleet.apply(schema, base, number)

    threads = [threading.Thread(target=apply, args=(n,)) for n in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [n for n, a in answers.items() if 'result' in a]
    assert len(winners) == 1
    for number, answer in answers.items():
        if number not in winners:
            assert answer['error']['data'] == {'base': base, 'in_force': base + 1}
    fleet_tests.wait_for_all(fleet, base + 1)
    shown = fleet.daemons[2].rpc('show')['result']['document']['services'][0]['deadline_ms']
    assert shown == 10_000 + winners[0]


def test_an_accepted_configuration_spreads_while_the_store_is_down(fleet: fleets.Fleet) -> None:
    base = fleet_tests.get_revision(fleet)
    paused = fleet.daemons[2]
    paused.send(signal.SIGSTOP)
    try:
        assert (
            fleet.apply(fleet_tests.change_deadline(fleet, 11_000), base)['result']['revision']
            == base + 1
        )
        fleet.store.set_faults(drop=True)
    finally:
        paused.send(signal.SIGCONT)
    seconds = fleet_tests.wait_for_all(fleet, base + 1)
    print(f'configuration at a paused daemon {seconds:.2f} s after it woke, store down')
    refused = fleet.apply(fleet_tests.change_deadline(fleet, 12_000), base + 1)
    fleet.store.set_faults(drop=False)
    assert refused['error']['code'] == 3
    assert {fleet_tests.get_revision(fleet, n) for n in range(3)} == {base + 1}


def test_a_lost_answer_of_the_store_is_resolved(fleet: fleets.Fleet) -> None:
    processes.wait_until(lambda: all_see_store(fleet), 'store back')
    base = fleet_tests.get_revision(fleet)
    fleet.store.set_faults(lose_answer=2)
    answer = fleet.apply(fleet_tests.change_deadline(fleet, 13_000), base)
    fleet.store.set_faults(lose_answer=0)
    assert answer['result']['revision'] == base + 1
    print(f'in force everywhere after {fleet_tests.wait_for_all(fleet, base + 1):.2f} s')


def all_see_store(fleet: fleets.Fleet) -> bool:
    return all(d.rpc('status')['result']['store_available'] for d in fleet.daemons)


def test_a_daemon_without_the_store_follows_its_peers(fleet: fleets.Fleet) -> None:
    seeds = ['--seeds', ','.join(d.peer for d in fleet.daemons)]
    unused_address = f'127.0.0.1:{processes.pick_port()}'
    isolated = processes.DaemonProcess(
        'vm-9', fleet.process_group.folder, unused_address, 'hall-3', seeds
    )
    fleet.process_group.add(isolated)
    processes.wait_until(isolated.is_ready, 'vm-9 ready')
    base = fleet_tests.get_revision(fleet)
    assert isolated.rpc('show')['result']['revision'] == base
    assert fleets.complete(isolated.entry, 'cut off').is_complete
    fleet.apply(fleet_tests.change_deadline(fleet, 13_500), base)
    processes.wait_until(
        lambda: isolated.rpc('show')['result']['revision'] == base + 1, 'followed', 10
    )
    assert fleets.complete(isolated.entry, 'still cut off').is_complete
    isolated.kill()
    processes.wait_until(
        lambda: not fleet_tests.lists_alive(fleet, 'vm-9'), 'vm-9 is found dead', 20
    )


def test_restarts_never_revert_the_configuration(fleet: fleets.Fleet) -> None:
    base = fleet_tests.get_revision(fleet)
    fleet.apply(fleet_tests.change_deadline(fleet, 14_000), base)
    fleet.daemons[1].kill()
    fleet.store.set_faults(drop=True)
    try:
        fleet_tests.restart(fleet, 1)
        assert fleet_tests.get_revision(fleet, 1) == base + 1
    finally:
        fleet.store.set_faults(drop=False)
