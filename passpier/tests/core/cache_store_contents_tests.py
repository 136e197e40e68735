"""Tracked contents of a cache store, against the store itself."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from passpier.core import cache_store_contents


@hypothesis.given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=40))
def test_events_in_order_give_the_contents(events: list[tuple[bool, int]]) -> None:
    known = cache_store_contents.StoreContents()
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
    known = cache_store_contents.StoreContents()
    known.begin_epoch(1)
    known.apply([1, 2], [])
    known.begin_epoch(1)
    assert known.holds_all([1, 2], 0.0)
    known.begin_epoch(2)
    assert not known.holds_all([1], 0.0)


def test_parts_being_saved_count_for_a_limited_time() -> None:
    known = cache_store_contents.StoreContents()
    known.note_saving([1, 2], 10.0)
    assert known.holds_all([1, 2], 10.1)
    assert not known.holds_all([1, 2], 10.1 + cache_store_contents.SAVING_SECONDS)
    known.apply([1], [])
    assert known.holds_all([1], 99.0)


def test_parts_differ_by_salt() -> None:
    assert cache_store_contents.hash_part('a/m/1', 'p') != cache_store_contents.hash_part(
        'a/m/2', 'p'
    )
    assert cache_store_contents.hash_part('a', 'bp') != cache_store_contents.hash_part('ab', 'p')
