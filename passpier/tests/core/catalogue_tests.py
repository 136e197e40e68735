"""Replica entries that are added, changed, expired, restored or removed."""

from __future__ import annotations

import hypothesis.stateful
import hypothesis.strategies as st
import msgspec

from passpier.core import catalogue, replica_processes


def make_entry(id: str, draining: bool = False, address: str = '') -> catalogue.Entry:
    return catalogue.Entry(id, 's', address or f'{id}:1', 'd', 4, draining, {'m': 1})


def list_ids(known: catalogue.Catalogue) -> set[str]:
    return {e.id for e in known.list_entries()}


def test_without_an_outage_a_removed_entry_is_dropped_at_once() -> None:
    known = catalogue.Catalogue()
    known.put(make_entry('a'))
    change = known.remove('a', 10.0)
    assert change is not None and change.entry is None
    assert not list_ids(known)


def test_entries_that_expire_in_an_outage_get_a_grace_period() -> None:
    known = catalogue.Catalogue()
    for id in 'ab':
        known.put(make_entry(id))
    known.note_outage(10.0)
    assert known.remove('a', 10.5) is None
    assert known.remove('b', 10.5) is None
    assert known.put(make_entry('a')) is None
    assert known.expire(11.9) == []
    assert [c.id for c in known.expire(12.1)] == ['b']
    assert list_ids(known) == {'a'}


def test_an_outage_does_not_undo_draining() -> None:
    known = catalogue.Catalogue()
    known.put(make_entry('a', draining=True))
    known.note_outage(10.0)
    assert known.put(make_entry('a')) is None
    assert known.list_entries()[0].draining
    change = known.remove('a', 10.1)
    assert change is not None and change.entry is None


def test_a_return_from_a_copy_does_not_undo_draining_of_replicas_that_left() -> None:
    known = catalogue.Catalogue()
    known.put(make_entry('a', draining=True))
    known.put(make_entry('b'))
    known.remove('a', 1.0)
    known.remove('b', 1.0)
    known.note_return(10.0)
    known.put(make_entry('a'))
    known.put(make_entry('b'))
    assert {e.id: e.draining for e in known.list_entries()} == {'a': True, 'b': False}


def test_a_reused_address_belongs_to_another_replica() -> None:
    known = catalogue.Catalogue()
    known.put(make_entry('a', address='x:1'))
    known.put(msgspec.structs.replace(make_entry('b', address='x:1'), service='other'))
    known.remove('a', 1.0)
    assert [(e.id, e.service) for e in known.list_entries()] == [('b', 'other')]


class CatalogueMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Oracle: a replica is known iff listed, or expired in a recent outage and not draining."""

    def __init__(self) -> None:
        super().__init__()
        self.known = catalogue.Catalogue()
        self.now = 0.0
        self.outage_until = float('-inf')
        self.listed: dict[str, bool] = {}
        self.expired: set[str] = set()
        self.draining_ids: set[str] = set()

    @hypothesis.stateful.rule(id=st.sampled_from('abc'), draining=st.booleans())
    def put(self, id: str, draining: bool) -> None:
        known = id in self.listed or id in self.expired
        if draining or not known:
            self.draining_ids.discard(id)
            if draining:
                self.draining_ids.add(id)
        self.listed[id] = draining
        self.expired.discard(id)
        self.known.put(make_entry(id, draining))

    @hypothesis.stateful.rule(id=st.sampled_from('abc'))
    def remove(self, id: str) -> None:
        if self.listed.pop(id, None) is not None:
            if self.now < self.outage_until and id not in self.draining_ids:
                self.expired.add(id)
            else:
                self.draining_ids.discard(id)
        self.known.remove(id, self.now)

    @hypothesis.stateful.rule()
    def begin_outage(self) -> None:
        self.outage_until = max(self.outage_until, self.now + catalogue.RETURN_GRACE)
        self.known.note_outage(self.now)

    @hypothesis.stateful.rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        if self.now >= self.outage_until:
            self.expired.clear()
        self.known.expire(self.now)

    @hypothesis.stateful.invariant()
    def matches_the_oracle(self) -> None:
        entries = {e.id: e.draining for e in self.known.list_entries()}
        assert set(entries) == set(self.listed) | self.expired
        assert {i for i, d in entries.items() if d} == self.draining_ids & set(entries)


TestCatalogue = CatalogueMachine.TestCase


def test_restarted_process_has_an_unknown_software_version_until_its_entry_arrives() -> None:
    """Guards against taking a process for one of the version that its predecessor ran."""
    known = catalogue.Catalogue()
    before = catalogue.Entry('a', 's', 'a:1', 'd0', 8, False, {}, 1, software='v1')
    known.put(before)
    change = known.note_restart(replica_processes.ReplicaProcess('a', 2), {})
    assert change is not None
    assert change.entry is not None
    assert change.entry.software == ''
    after = catalogue.Entry('a', 's', 'a:1', 'd0', 8, False, {}, 2, software='v2')
    change = known.put(after)
    assert change is not None
    assert change.entry == after


def test_a_late_entry_of_an_earlier_restart_does_not_replace_the_reported_process() -> None:
    """Guards against taking the running process for one that has ended, which can't be undone.

    A replica restarts twice. It reports its second restart before the entry of its first one
    arrives.
    """
    known = catalogue.Catalogue()
    entry = msgspec.structs.replace(make_entry('a'), started_ms=1000)
    known.put(entry)
    known.note_restart(replica_processes.ReplicaProcess('a', 3000), {'m': 1})
    assert known.put(msgspec.structs.replace(entry, started_ms=2000)) is None
    assert known.list_entries()[0].started_ms == 3000
    current = msgspec.structs.replace(entry, started_ms=3000, versions={'m': 2})
    change = known.put(current)
    assert change is not None
    assert change.entry == current


def test_a_process_with_a_clock_that_was_set_back_is_known_by_its_report() -> None:
    """Guards against ignoring for good a process whose entry looked like a late one."""
    known = catalogue.Catalogue()
    entry = msgspec.structs.replace(make_entry('a'), started_ms=1000)
    known.put(entry)
    known.note_restart(replica_processes.ReplicaProcess('a', 3000), {'m': 1})
    set_back = msgspec.structs.replace(entry, started_ms=2000, versions={'m': 3})
    known.put(set_back)
    change = known.note_restart(set_back.process, {'m': 3})
    assert change is not None
    assert change.entry == set_back
