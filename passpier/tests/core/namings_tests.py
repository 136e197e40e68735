"""Since when weights are outdated, against a plain list of all namings."""

from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import namings

BOUND = 10.0
OFFSET = 0.02
"""Seconds that a message takes."""


def make_namings(*seen: tuple[int, float], found: int = 0) -> namings.Namings:
    known = namings.Namings(found, 0.0)
    for version, known_at in seen:
        assert known.note(version, known_at)
    return known


def test_old_weights_serve_until_shortly_before_the_bound() -> None:
    known = make_namings((3, 100.0))
    assert known.may_use(2, BOUND, 108.0)
    assert not known.may_use(2, BOUND, 109.0)
    assert known.may_use(3, BOUND, 500.0)
    assert namings.Namings().may_use(1, BOUND, 500.0)


def test_each_version_counts_from_the_first_newer_one() -> None:
    known = make_namings((8, 100.0), (9, 105.0), (12, 107.0))
    outdated_at = [known.get_outdated_at(v) for v in (7, 8, 9, 10, 11, 12)]
    assert outdated_at == [100.0, 105.0, 107.0, 107.0, 107.0, None]
    assert known.is_outdated(8, 105.0)
    assert not known.is_outdated(8, 106.0, grace=1.5)
    assert not known.is_outdated(12, 500.0)


def test_what_was_outdated_before_the_start_is_used_for_a_moment() -> None:
    known = make_namings((9, 1.0), found=8)
    assert known.may_use(7, BOUND, namings.FOUND_GRACE - 0.1)
    assert not known.may_use(7, BOUND, namings.FOUND_GRACE)
    assert known.may_use(8, BOUND, 9.0)
    assert known.is_outdated(7, 0.0, grace=1.5)


def test_a_process_that_starts_is_told_of_all_namings() -> None:
    known = make_namings(found=9)
    witness = make_namings((8, -5.0), (9, -0.5))
    assert known.merge(witness.found, witness.seen)
    assert known.seen == witness.seen
    assert known.may_use(8, BOUND, 7.9)
    assert not known.may_use(7, BOUND, 3.6)


def test_who_has_seen_more_learns_nothing_from_who_has_started() -> None:
    known = make_namings((8, 1.0), (9, 5.0))
    assert not known.merge(9, ())
    assert not known.merge(8, (namings.Naming(9, 5.0 + OFFSET),))
    assert known.seen == make_namings((8, 1.0), (9, 5.0)).seen


@pytest.mark.parametrize('newest', [8, 10])
def test_who_is_behind_or_ahead_is_not_listened_to(newest: int) -> None:
    known = make_namings((9, 5.0))
    assert not known.merge(0, (namings.Naming(newest, 1.0),))
    assert known.seen == make_namings((9, 5.0)).seen


def test_times_that_are_told_to_and_fro_do_not_drift() -> None:
    left, right = make_namings((9, 5.0)), make_namings((9, 5.3))
    for _ in range(1000):
        right.merge(0, [namings.Naming(n.version, n.known_at + OFFSET) for n in left.seen])
        left.merge(0, [namings.Naming(n.version, n.known_at + OFFSET) for n in right.seen])
    assert left.seen[0].known_at == 5.0
    assert right.seen[0].known_at == 5.0 + OFFSET


def test_needless_namings_are_forgotten() -> None:
    known = make_namings((8, 1.0), (9, 2.0), (10, 12.0), (11, 14.0))
    known.forget(12.0)
    assert [n.version for n in known.seen] == [9, 10, 11]
    assert not known.may_use(7, BOUND, 12.0)
    assert known.get_outdated_at(9) == 12.0


@hypothesis.given(st.integers(0, 100_000))
def test_processes_that_tell_each_other_agree_with_the_list(seed: int) -> None:
    """Each misses the namings before its start; those between two looks fall together."""
    rng = random.Random(seed)
    named: list[tuple[float, int]] = []
    processes = [namings.Namings() for _ in range(4)]
    now, version = 0.0, 0
    for _ in range(60):
        now += rng.uniform(0.05, 1.5)
        if rng.random() < 0.4:
            version += rng.randint(1, 3)
            named.append((now, version))
        number = rng.randrange(4)
        if rng.random() < 0.15:
            processes[number] = namings.Namings(version, now)
        else:
            for process in processes:
                if version and rng.random() < 0.8:
                    process.note(version, now)
        teller, listener = rng.sample(processes, 2)
        told = [namings.Naming(n.version, n.known_at + OFFSET) for n in teller.seen]
        listener.merge(teller.found, told)
        for process in processes:
            check(process, named)


def check(process: namings.Namings, named: list[tuple[float, int]]) -> None:
    times = [n.known_at for n in process.seen]
    versions = [n.version for n in process.seen]
    assert times == sorted(times)
    assert versions == sorted(set(versions))
    for version in range(process.found, process.newest):
        outdated_at = process.get_outdated_at(version)
        assert outdated_at is not None
        assert outdated_at >= min(at for at, v in named if v > version)
