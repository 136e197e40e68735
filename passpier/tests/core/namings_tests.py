"""Since when weights may be outdated, against a plain list of all namings."""

from __future__ import annotations

import math
import random

import hypothesis
import hypothesis.strategies as st

from passpier.core import namings

BOUND = 10.0
UNKNOWN = -math.inf


def make_namings(*known: tuple[int, float]) -> namings.Namings:
    """Return namings that were learnt when they were made."""
    made = namings.Namings()
    for version, not_before in known:
        assert made.note(version, not_before, not_before)
    return made


def test_old_weights_serve_until_shortly_before_the_bound() -> None:
    known = make_namings((3, 100.0))
    assert known.may_use(2, BOUND, 108.0)
    assert not known.may_use(2, BOUND, 109.0)
    assert known.may_use(3, BOUND, 500.0)
    assert namings.Namings().may_use(1, BOUND, 500.0)


def test_each_version_counts_from_the_first_newer_one() -> None:
    known = make_namings((8, 100.0), (9, 105.0), (12, 107.0))
    outdated = [known.get_outdated(v) for v in (7, 8, 9, 10, 11, 12)]
    assert [n and n.not_before for n in outdated] == [100.0, 105.0, 107.0, 107.0, 107.0, None]
    assert known.is_outdated(8, 105.0)
    assert not known.is_outdated(8, 106.0, grace=1.5)
    assert not known.is_outdated(12, 500.0)


def test_what_was_outdated_at_an_unknown_time_is_used_for_a_moment() -> None:
    known = namings.Namings()
    known.note(8, UNKNOWN, 0.0)
    known.note(9, 1.0, 1.0)
    assert known.is_outdated(7, 0.0, grace=1.5)
    assert known.may_use(7, BOUND, namings.LATE_GRACE - 0.1)
    assert not known.may_use(7, BOUND, namings.LATE_GRACE)
    assert known.may_use(8, BOUND, 9.0)
    assert not known.may_use(8, BOUND, 1.0 + BOUND - namings.OLD_WEIGHTS_MARGIN)


def test_whoever_is_told_needs_no_grace() -> None:
    """A process that had just started used weights that its peers knew to be outdated long ago."""
    known = namings.Namings()
    known.note(9, UNKNOWN, 0.0)
    known.merge([namings.Naming(8, -9.0), namings.Naming(9, -4.0)])
    assert not known.may_use(7, BOUND, 0.3)
    assert known.may_use(8, BOUND, 0.3)


def test_a_newer_naming_gives_no_new_grace() -> None:
    known = namings.Namings()
    known.note(8, UNKNOWN, 0.0)
    known.note(9, UNKNOWN, 5.0)
    assert not known.may_use(7, BOUND, 5.5)
    assert known.may_use(8, BOUND, 5.5)


def test_a_process_that_starts_is_told_of_all_namings() -> None:
    known = namings.Namings()
    known.note(9, UNKNOWN, 0.0)
    witness = make_namings((8, -5.0), (9, -0.5))
    assert known.merge(witness.known) == math.inf
    assert known.known == witness.known
    assert known.may_use(8, BOUND, 7.9)
    assert known.may_use(7, BOUND, 3.4)
    assert not known.may_use(7, BOUND, 3.6)


def test_who_knows_better_learns_nothing() -> None:
    known = make_namings((8, 1.0), (9, 5.0))
    before = known.known
    for told in ((9, UNKNOWN), (9, 0.9), (8, 0.5)):
        assert known.merge([namings.Naming(*told)]) == 0.0
        assert known.known == before


def test_who_is_behind_or_ahead_may_know_better_of_older_versions() -> None:
    known = make_namings((8, 1.0), (9, 5.0))
    assert known.merge([namings.Naming(8, 1.5)]) == 0.5
    assert known.merge([namings.Naming(8, 2.0), namings.Naming(10, 7.0)]) == 2.0
    assert known.known == make_namings((8, 2.0), (9, 7.0)).known


def test_needless_namings_are_forgotten() -> None:
    known = make_namings((8, 1.0), (9, 2.0), (10, 12.0), (11, 14.0))
    known.forget(12.0)
    assert [n.version for n in known.known] == [9, 10, 11]
    assert not known.may_use(7, BOUND, 12.0)
    assert known.may_use(9, BOUND, 20.4)
    assert not known.may_use(9, BOUND, 20.5)


class Process:
    """Knows the namings up to its last proof, which it gets now and then."""

    def __init__(self) -> None:
        self.namings = namings.Namings()
        self.proved_at = UNKNOWN
        self.learnt_at: dict[int, float] = {}

    def prove(self, newest: int, now: float) -> None:
        if self.namings.note(newest, self.proved_at, now):
            self.learnt_at[newest] = now
        self.proved_at = now


@hypothesis.given(st.integers(0, 100_000))
def test_nobody_takes_a_version_for_younger_than_it_is(seed: int) -> None:
    """Processes look rarely, start again, and tell each other late; one of them looks often."""
    rng = random.Random(seed)
    named: list[tuple[float, int]] = [(0.0, 1)]
    processes = [Process() for _ in range(4)]
    now, version = 0.0, 1
    for _ in range(80):
        now += rng.uniform(0.05, 0.5)
        if rng.random() < 0.2:
            version += rng.randint(1, 3)
            named.append((now, version))
        number = rng.randrange(1, 4)
        if rng.random() < 0.1:
            processes[number] = Process()
        elif rng.random() < 0.3:
            processes[number].prove(version, now)
        processes[0].prove(version, now)
        teller, listener = rng.sample(processes, 2)
        late = rng.choice([0.0, 0.3, 5.0])
        told = [namings.Naming(n.version, n.not_before - late) for n in teller.namings.known]
        listener.namings.merge(told)
        for process in processes:
            check(process, named, now)
    for process in processes:
        process.prove(version, now)
        process.namings.merge(processes[0].namings.known)
        assert process.namings.known[-1].not_before >= named[-1][0] - 0.5 or version == 1


def check(process: Process, named: list[tuple[float, int]], now: float) -> None:
    known = process.namings.known
    assert list(known) == sorted(known, key=lambda n: (n.version, n.not_before))
    for version in range(process.namings.newest):
        outdated = process.namings.get_outdated(version)
        assert outdated is not None
        named_at = min(at for at, v in named if v > version)
        assert outdated.not_before <= named_at
        learnt_at = min(at for v, at in process.learnt_at.items() if v > version)
        if now - named_at > BOUND and now - learnt_at > namings.LATE_GRACE:
            assert not process.namings.may_use(version, BOUND, now)
