"""Which replicas may begin a request, by their weights and pauses."""

from __future__ import annotations

import msgspec
import pytest

from passpier import clocks
from passpier.core import catalogue, pauses, replica_processes, replicas, routes
from passpier.routing import pools


@pytest.fixture(name='replica_pools')
def make_replica_pools(monkeypatch: pytest.MonkeyPatch) -> pools.Pools:
    monkeypatch.setattr(clocks, 'now', lambda: 100.0)
    replica_pools = pools.Pools(10.0)
    services = {'s': routes.Service('s', 100)}
    replica_pools.apply_configuration(routes.Configuration(1, services=services))
    for number in range(4):
        entry = catalogue.Entry(f'r{number}', 's', f'a{number}:1', 'd0', 8, False, {'m': 1})
        replica_pools.apply_change(catalogue.Change(entry.id, entry, 'recorded'))
    return replica_pools


def test_newer_weights_do_not_prolong_the_use_of_older_ones(
    replica_pools: pools.Pools, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request began on weights that had been outdated for longer than the bound.

    A replica repeatedly crashed before it had loaded version 8 and came back with 7, while the
    process that gives orders was killed as well. When 9 was released, 5.5 seconds after 8, the
    routers counted the replica's time from the release of 9: only the newest release was kept. The
    log showed it: 10.6 seconds since 8 was known, 5.0 since 9.
    """
    replica_pools.record_release('m', 8, 100.0, 100.0)
    replica_pools.record_release('m', 9, 105.5, 105.5)
    replica_pools.update_version(replica_processes.ReplicaProcess('r0'), 7, 'registry')
    replica_pools.update_version(replica_processes.ReplicaProcess('r1'), 8, 'registry')
    replica_pools.update_version(replica_processes.ReplicaProcess('r2'), 9, 'registry')
    monkeypatch.setattr(clocks, 'now', lambda: 109.0)
    serving = {r.name for r in replica_pools.list_serving('s')}
    assert serving & {'r0', 'r1', 'r2'} == {'r1', 'r2'}


def test_the_end_of_an_older_load_does_not_end_the_pause_of_a_newer_one(
    replica_pools: pools.Pools, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A late message on version 8, while the replica loaded 9, had it sent requests it rejected."""
    replica_pools.pause(
        replica_processes.ReplicaProcess('r0'),
        pauses.Pause.LOADING,
        pools.PAUSE_LOADING,
        'is to load',
        9,
    )
    replica_pools.update_version(replica_processes.ReplicaProcess('r0'), 8, 'registry')
    replica_pools.resume(replica_processes.ReplicaProcess('r0'), pauses.Pause.LOADING, 8)
    assert not replicas.is_open(replica_pools.get('r0'), 100.0)
    monkeypatch.setattr(clocks, 'now', lambda: 100.5)
    replica_pools.update_version(replica_processes.ReplicaProcess('r0'), 9, 'registry')
    assert replicas.is_open(replica_pools.get('r0'), 100.5)


def test_the_end_of_one_pause_does_not_end_another(replica_pools: pools.Pools) -> None:
    """An unresponsive replica got requests after another process had had it load weights."""
    replica_pools.pause(
        replica_processes.ReplicaProcess('r0'), pauses.Pause.SILENT, 1.4, 'gives no answer'
    )
    replica_pools.pause(
        replica_processes.ReplicaProcess('r0'),
        pauses.Pause.LOADING,
        pools.PAUSE_LOADING,
        'is to load',
        2,
    )
    replica_pools.update_version(replica_processes.ReplicaProcess('r0'), 2, 'peer')
    assert not replicas.is_open(replica_pools.get('r0'), 100.0)
    replica_pools.resume(replica_processes.ReplicaProcess('r0'), pauses.Pause.SILENT)
    assert replicas.is_open(replica_pools.get('r0'), 100.0)


def test_an_order_that_failed_ends_its_pause(replica_pools: pools.Pools) -> None:
    replica_pools.pause(
        replica_processes.ReplicaProcess('r0'),
        pauses.Pause.LOADING,
        pools.PAUSE_LOADING,
        'is to load',
        2,
    )
    replica_pools.resume(replica_processes.ReplicaProcess('r0'), pauses.Pause.LOADING, 2)
    assert replicas.is_open(replica_pools.get('r0'), 100.0)


def test_a_request_that_would_begin_on_outdated_weights_is_not_sent(
    replica_pools: pools.Pools, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests are queued at replicas; the bound applies when one begins, not when it is sent."""
    replica_pools.record_release('m', 2, 100.0, 100.0)
    busy = replica_pools.get('r0')
    monkeypatch.setattr(clocks, 'now', lambda: 108.0)
    for number in range(4):
        replicas.begin_dispatch(busy, str(number), int(0.2 / busy.seconds_per_token), 108.0)
    serving = {r.name for r in replica_pools.list_serving('s')}
    assert 'r0' not in serving
    assert 'r1' in serving


def make_entry(id: str, started_ms: int) -> catalogue.Change:
    entry = catalogue.Entry(
        id, 't', f'{id}:1', 'd0', 8, False, {}, started_ms, reports_start=bool(started_ms)
    )
    return catalogue.Change(id, entry, 'recorded')


def test_entries_of_other_writers_are_not_used_while_all_replicas_are_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against taking entries without a start time for those of older software.

    For a moment no entry with one was there: a replica had crashed, the other's entry was
    overwritten.
    """
    now = 100.0
    monkeypatch.setattr(clocks, 'now', lambda: now)
    replica_pools = pools.Pools(10.0)
    replica_pools.apply_configuration(
        routes.Configuration(1, services={'t': routes.Service('t', 100)})
    )
    replica_pools.apply_change(make_entry('foreign', 0))
    assert [r.name for r in replica_pools.list_serving('t')] == ['foreign']
    replica_pools.apply_change(make_entry('genuine', 7))
    now = 500.0
    replica_pools.apply_change(catalogue.Change('genuine', None, 'entry did not come back'))
    assert replica_pools.list_serving('t') == []
    now = 500.0 + catalogue.FIELDS_EXPECTED_SECONDS - 0.1
    assert replica_pools.list_serving('t') == []
    now = 500.0 + catalogue.FIELDS_EXPECTED_SECONDS
    assert [r.name for r in replica_pools.list_serving('t')] == ['foreign']
    replica_pools.apply_change(make_entry('genuine', 8))
    assert [r.name for r in replica_pools.list_serving('t')] == ['genuine']


def make_version(id: str, software: str, started_ms: int = 7) -> catalogue.Change:
    change = make_entry(id, started_ms)
    assert change.entry is not None
    entry = msgspec.structs.replace(change.entry, software=software)
    return catalogue.Change(id, entry, 'recorded')


def build_versions() -> pools.Pools:
    """Return pools with two replicas of `v1` and one of `v2`."""
    replica_pools = pools.Pools(10.0)
    replica_pools.apply_configuration(
        routes.Configuration(1, services={'t': routes.Service('t', 100)})
    )
    for id, software in (('a', 'v1'), ('b', 'v1'), ('c', 'v2')):
        replica_pools.apply_change(make_version(id, software))
    return replica_pools


def list_names(replica_pools: pools.Pools, software: str | None) -> list[str]:
    return [r.name for r in replica_pools.list_serving('t', software=software)]


def test_replicas_of_one_software_version_are_listed() -> None:
    replica_pools = build_versions()
    assert list_names(replica_pools, None) == ['a', 'b', 'c']
    assert list_names(replica_pools, 'v1') == ['a', 'b']
    assert list_names(replica_pools, 'v3') == []
    replica_pools.apply_change(make_version('d', ''))
    assert list_names(replica_pools, '') == []
    replica_pools.unresponsive.add('a')
    assert list_names(replica_pools, 'v1') == ['b']
    assert list_names(replica_pools, None) == ['a', 'b', 'c', 'd']


def test_version_is_superseded_only_while_others_serve() -> None:
    replica_pools = build_versions()
    assert not replica_pools.is_superseded('t', 'v1')
    replicas.set_leaving(replica_pools.get('a'), 'registry', True)
    assert not replica_pools.is_superseded('t', 'v1')
    replica_pools.unresponsive.add('b')
    assert replica_pools.is_superseded('t', 'v1')
    replicas.set_leaving(replica_pools.get('c'), 'registry', True)
    assert not replica_pools.is_superseded('t', 'v1')
    replica_pools.apply_change(make_version('d', ''))
    assert not replica_pools.is_superseded('t', 'v1')


def test_versions_of_replicas_that_have_gone_are_listed_for_some_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clocks, 'now', lambda: 100.0)
    replica_pools = build_versions()
    replica_pools.apply_change(catalogue.Change('c', None, 'entry removed'))
    assert replica_pools.list_versions('t', 99.0) == {'v1', 'v2'}
    assert replica_pools.list_versions('t', 100.0) == {'v1'}
    assert replica_pools.list_versions('other', 99.0) == set()


def test_entries_of_other_writers_are_no_versions_of_a_service() -> None:
    """Guards against refusing to continue streams because of a version that nobody runs."""
    replica_pools = build_versions()
    replica_pools.apply_change(make_version('foreign', 'v9', started_ms=0))
    assert replica_pools.list_versions('t', 0.0) == {'v1', 'v2'}
    replica_pools.apply_change(catalogue.Change('foreign', None, 'entry removed'))
    assert replica_pools.list_versions('t', 0.0) == {'v1', 'v2'}
