"""Invalid entries among those of the replicas, written by others, must not be used."""

from __future__ import annotations

import contextlib
import json
from typing import Any

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier import exceptions
from passpier.platform import dialect, names, records
from passpier.routing import registry_mirror
from passpier.tests.platform import replica_restarts_tests

ID = replica_restarts_tests.ID
OTHER = 'i-2'

INVALID: dict[str, bytes | dict[str, Any]] = {
    'no bytes': b'',
    'not JSON': b'\xff\xfe{',
    'not UTF-8': json.dumps(replica_restarts_tests.make_entry(zone='#'))
    .encode()
    .replace(b'#', b'\xff'),
    'nested too deeply': b'[' * 5000,
    'another shape': b'[1,2]',
    'nothing': b'{}',
    'half': json.dumps(replica_restarts_tests.make_entry()).encode()[:60],
    **{
        f'no {field}': replica_restarts_tests.make_entry(1, **{field: None})
        for field in (
            'service',
            'address',
            'zone',
            'version',
            'slots',
            'state',
            'sequence',
            'cold_remaining_ms',
        )
    },
    'service of another type': replica_restarts_tests.make_entry(service=7),
    'no service': replica_restarts_tests.make_entry(service=''),
    'address of another type': replica_restarts_tests.make_entry(address=['10.0.0.1', 8080]),
    'empty address': replica_restarts_tests.make_entry(address=''),
    'address without a port': replica_restarts_tests.make_entry(address='10.0.0.1'),
    'port 0': replica_restarts_tests.make_entry(address='10.0.0.1:0'),
    'port too high': replica_restarts_tests.make_entry(address='10.0.0.1:70000'),
    'signed port': replica_restarts_tests.make_entry(address='10.0.0.1:+80'),
    'address that is no number': replica_restarts_tests.make_entry(address='replica:80'),
    'address of everybody': replica_restarts_tests.make_entry(address='0.0.0.0:80'),
    'unknown state': replica_restarts_tests.make_entry(state='sleepy'),
    'state of another type': replica_restarts_tests.make_entry(state=1),
    'no slots': replica_restarts_tests.make_entry(slots=0),
    'negative slots': replica_restarts_tests.make_entry(slots=-4),
    'huge slots': replica_restarts_tests.make_entry(slots=10**12),
    'slots as a fraction': replica_restarts_tests.make_entry(slots=8.0),
    'slots as text': replica_restarts_tests.make_entry(slots='8'),
    'slots as a truth value': replica_restarts_tests.make_entry(slots=True),
    'models of another type': replica_restarts_tests.make_entry(models='m1'),
    'models as a table': replica_restarts_tests.make_entry(models={'m1': 3}),
    'version of weights as text': replica_restarts_tests.make_entry(
        models=[{'name': 'm1', 'version': '3'}]
    ),
    'negative version of weights': replica_restarts_tests.make_entry(
        models=[{'name': 'm1', 'version': -1}]
    ),
    'slow start as text': replica_restarts_tests.make_entry(cold_remaining_ms='0'),
    'start as a fraction': replica_restarts_tests.make_entry(born=1000.5),
    'start as text': replica_restarts_tests.make_entry(born='1000'),
    'negative start': replica_restarts_tests.make_entry(born=-5),
    'start beyond all time': replica_restarts_tests.make_entry(born=10**30),
}


def build_store() -> replica_restarts_tests.RegistryWriter:
    store = replica_restarts_tests.RegistryWriter()
    store.record(ID, weights=3)
    store.record(OTHER, weights=3, address='10.0.0.2:8080')
    return store


@pytest.fixture(name='store')
def make_store() -> replica_restarts_tests.RegistryWriter:
    return build_store()


@pytest.mark.parametrize('name', INVALID)
def test_invalid_entry_is_not_used(store: replica_restarts_tests.RegistryWriter, name: str) -> None:
    """Guards against using the previous entry of the key, or defaults for invalid fields."""
    store.put(names.REPLICA_PREFIX + ID, INVALID[name])
    assert store.list_used() == {OTHER}
    assert set(store.state.pools.replicas) == {OTHER}


@pytest.mark.parametrize('name', INVALID)
def test_invalid_entry_is_dropped_even_during_an_outage(
    store: replica_restarts_tests.RegistryWriter, name: str
) -> None:
    """Entries that vanish during a registry outage may return, but this one was overwritten."""
    store.state.catalogue.note_outage(1e12)
    store.put(names.REPLICA_PREFIX + ID, INVALID[name])
    assert store.list_used() == {OTHER}


def test_replica_is_used_again_after_it_rewrites_its_entry(
    store: replica_restarts_tests.RegistryWriter,
) -> None:
    store.put(names.REPLICA_PREFIX + ID, b'\xff')
    store.record(ID, weights=3)
    assert store.list_used() == {ID, OTHER}


def test_optional_fields_may_be_missing(store: replica_restarts_tests.RegistryWriter) -> None:
    """Replicas of plain services have no models; older ones do not report their start time."""
    store.record(ID, service='app', models=None, born=None, weights=0)
    assert store.list_used('app') == {ID}


def test_replica_of_an_unknown_service_is_used_once_it_is_configured(
    store: replica_restarts_tests.RegistryWriter,
) -> None:
    store.record('i-3', service='soon', address='10.0.0.3:8080')
    assert not store.list_used('soon')
    assert 'i-3' not in {s.id for s in store.state.pools.list_states()}
    services = [
        *replica_restarts_tests.SERVICES,
        replica_restarts_tests.SERVICES[0] | {'name': 'soon'},
    ]
    store.put(names.CONFIGURATION_KEY, {'version': 2, 'services': services})
    assert store.list_used('soon') == {'i-3'}
    assert 'i-3' in {s.id for s in store.state.pools.list_states()}


def test_replica_of_a_removed_service_is_not_used(
    store: replica_restarts_tests.RegistryWriter,
) -> None:
    store.put(
        names.CONFIGURATION_KEY, {'version': 2, 'services': replica_restarts_tests.SERVICES[1:]}
    )
    assert not store.list_used()
    assert not store.state.pools.list_states()


def test_two_entries_may_have_the_same_address(
    store: replica_restarts_tests.RegistryWriter,
) -> None:
    """The process at the address states its identity in each response."""
    store.record('i-3', weights=3)
    assert store.list_used() == {ID, OTHER, 'i-3'}


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=5,
)


@hypothesis.given(data=st.binary(max_size=60) | _JSON.map(lambda v: json.dumps(v).encode()))
def test_arbitrary_bytes_do_not_affect_other_entries(data: bytes) -> None:
    store = build_store()
    store.put(names.REPLICA_PREFIX + ID, data)
    store.put(names.VERSION_PREFIX + replica_restarts_tests.MODEL, data)
    assert store.list_used() == {OTHER}


@hypothesis.given(
    field=st.sampled_from(sorted(replica_restarts_tests.make_entry())),
    value=_JSON,
    cut=st.integers(0, 200),
)
def test_arbitrary_field_values_do_not_affect_other_entries(
    field: str, value: Any, cut: int
) -> None:
    store = build_store()
    data = json.dumps(replica_restarts_tests.make_entry() | {field: value}).encode()
    store.put(names.REPLICA_PREFIX + ID, data)
    store.put(names.REPLICA_PREFIX + 'i-3', data[:cut])
    assert OTHER in store.list_used()
    assert all(r.slots > 0 and r.address for r in store.state.pools.replicas.values())


def test_invalid_releases_are_ignored(store: replica_restarts_tests.RegistryWriter) -> None:
    key = names.VERSION_PREFIX + replica_restarts_tests.MODEL
    store.put(key, {'model': replica_restarts_tests.MODEL, 'version': 4})
    for invalid in (
        b'\xff',
        {'model': replica_restarts_tests.MODEL},
        {'model': replica_restarts_tests.MODEL, 'version': 5.0},
        {'model': replica_restarts_tests.MODEL, 'version': '5'},
        {'model': replica_restarts_tests.MODEL, 'version': -1},
        {'model': replica_restarts_tests.MODEL, 'version': 10**30},
        {'model': 'another', 'version': 5},
    ):
        store.put(key, invalid)
    newest = {m: n.newest for m, n in store.state.pools.releases.items()}
    assert newest == {replica_restarts_tests.MODEL: 4}


def test_persistently_invalid_record_is_logged_once(
    store: replica_restarts_tests.RegistryWriter, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(registry_mirror.log, 'warning', lambda text, **_: lines.append(text))
    for _ in range(5):
        store.put(names.REPLICA_PREFIX + ID, b'\xff')
    assert len(lines) == 1
    store.record(ID, weights=3)
    store.put(names.REPLICA_PREFIX + ID, b'\xff')
    assert len(lines) == 2


def test_invalid_cache_events_are_skipped() -> None:
    """Guards against rejecting the whole response for one event: the cache counted as down."""
    events = [
        [7, '+', 's', 'aa', 800, 'm1'],
        [8, '*', 's', 'bb', 800, 'm1'],
        [9.5, '+', 's', 'cc', 800, 'm1'],
        [10, '+', 's', 'dd'],
        'no event',
        [11, '-', 's', 'ee', 0, 'm1'],
    ]
    response = {'boot_epoch': 5, 'next_token': 12, 'lost': False, 'events': events}
    decoded = records.decode_cache_events(json.dumps(response).encode())
    assert [e.part for e in decoded.events] == ['aa', 'ee']
    assert decoded.next_token == 12
    assert decoded.lost


def test_a_hundred_invalid_entries_do_not_affect_the_replicas(
    store: replica_restarts_tests.RegistryWriter, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    counted: list[str] = []
    monkeypatch.setattr(registry_mirror.log, 'warning', lambda text, **_: lines.append(text))
    store.state.on_refused = counted.append
    for _ in range(2):
        for number, invalid in enumerate([*INVALID.values()] * 3):
            store.put(f'{names.REPLICA_PREFIX}foreign-{number}', invalid)
    assert store.list_used() == {ID, OTHER}
    assert set(store.state.pools.replicas) == {ID, OTHER}
    assert len(lines) == len(INVALID) * 3
    assert counted == ['replica'] * len(INVALID) * 6


def test_engine_that_does_not_report_its_weights_is_not_used(
    store: replica_restarts_tests.RegistryWriter,
) -> None:
    """Guards against requests without a weight precondition, and with a salt without a version."""
    store.record('i-3', models=[], address='10.0.0.3:8080')
    assert store.list_used() == {ID, OTHER}
    store.record('i-3', weights=3, address='10.0.0.3:8080')
    assert store.list_used() == {ID, OTHER, 'i-3'}


_FIELDS = st.sampled_from(
    ['models', 'name', 'version', 'sequence', 'born', 'active', 'events', 'boot_epoch', 'routes']
    + ['next_token', 'services', 'tenants', 'limits', 'model', 'utilization', 'lost', 'kv_capacity']
)


@pytest.mark.parametrize(
    'decode',
    [
        records.decode_report,
        records.decode_cache_events,
        records.decode_configuration,
        records.decode_named_version,
        lambda data: records.decode_replica(ID, data),
    ],
)
@hypothesis.given(data=st.data())
def test_any_input_is_decoded_or_rejected_with_a_store_error(
    decode: Any, data: st.DataObject
) -> None:
    table = st.dictionaries(_FIELDS, _JSON, max_size=5)
    table |= st.dictionaries(_FIELDS, st.lists(table, max_size=2), max_size=5)
    text = data.draw(st.binary(max_size=40) | table.map(lambda v: json.dumps(v).encode()))
    with contextlib.suppress(exceptions.StoreError):
        decode(text)


@pytest.mark.parametrize(
    'field', [{'sequence': 1.0}, {'sequence': -1}, {'born': 'x'}, {'models': {}}, {'active': True}]
)
def test_invalid_report_is_rejected(field: dict[str, Any]) -> None:
    with pytest.raises(exceptions.StoreError):
        records.decode_report(json.dumps({'sequence': 2, 'models': []} | field).encode())


@pytest.mark.parametrize(
    ('value', 'expected'),
    [(0, 0), (96_567, 96_567), (12.5, 12), (-1, None), ('x', None), (True, None), (1e300, None)],
)
def test_invalid_memory_does_not_invalidate_a_report(value: object, expected: int | None) -> None:
    """Guards against replicas that seem unresponsive because of a field they need not have."""
    data = json.dumps({'sequence': 2, 'kv_used': value}).encode()
    report = records.decode_report(data)
    assert report.sequence == 2
    assert dialect._read_tokens(report.kv_used) == expected
    assert dialect._read_tokens(report.kv_total) is None
