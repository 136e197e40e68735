"""Tracked contents of a cache store, against the store itself."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from passpier.core import kept


@hypothesis.given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=40))
def test_events_in_order_give_the_contents(events: list[tuple[bool, int]]) -> None:
    known = kept.Kept()
    held: set[int] = set()
    for added, part in events:
        if added:
            held.add(part)
            known.apply([part], [])
        else:
            held.discard(part)
            known.apply([], [part])
    assert set(known.export()) == held
    assert known.holds_all(sorted(held), 0.0)


def test_a_restarted_store_is_empty() -> None:
    known = kept.Kept()
    known.begin_epoch(1)
    known.apply([1, 2], [])
    known.begin_epoch(1)
    assert known.holds_all([1, 2], 0.0)
    known.begin_epoch(2)
    assert not known.holds_all([1], 0.0)


def test_parts_being_saved_count_for_a_limited_time() -> None:
    known = kept.Kept()
    known.note_saving([1, 2], 10.0)
    assert known.holds_all([1, 2], 10.1)
    assert not known.holds_all([1, 2], 10.1 + kept.SAVING_SECONDS)
    known.apply([1], [])
    assert known.holds_all([1], 99.0)


def test_parts_differ_by_salt() -> None:
    assert kept.identify('a/m/1', 'p') != kept.identify('a/m/2', 'p')
    assert kept.identify('a', 'bp') != kept.identify('ab', 'p')
