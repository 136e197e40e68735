"""Times of releases and outdated weights, against a plain list of all releases."""

from __future__ import annotations

import math
import random

import hypothesis
import hypothesis.strategies as st

from passpier.core import weight_releases

BOUND = 10.0
UNKNOWN = -math.inf


def make_history(*known: tuple[int, float]) -> weight_releases.ReleaseHistory:
    """Return a history whose releases were discovered at once."""
    history = weight_releases.ReleaseHistory()
    for version, not_before in known:
        assert history.note(version, not_before, not_before)
    return history


def test_outdated_weights_are_used_until_shortly_before_the_bound() -> None:
    known = make_history((3, 100.0))
    assert known.may_use(2, BOUND, 108.0)
    assert not known.may_use(2, BOUND, 109.0)
    assert known.may_use(3, BOUND, 500.0)
    assert weight_releases.ReleaseHistory().may_use(1, BOUND, 500.0)


def test_a_version_is_outdated_from_the_first_newer_release() -> None:
    known = make_history((8, 100.0), (9, 105.0), (12, 107.0))
    outdated = [known.get_outdated(v) for v in (7, 8, 9, 10, 11, 12)]
    assert [n and n.not_before for n in outdated] == [100.0, 105.0, 107.0, 107.0, 107.0, None]
    assert known.is_outdated(8, 105.0)
    assert not known.is_outdated(8, 106.0, grace=1.5)
    assert not known.is_outdated(12, 500.0)


def test_weights_outdated_for_an_unknown_time_are_used_for_a_grace_period() -> None:
    known = weight_releases.ReleaseHistory()
    known.note(8, UNKNOWN, 0.0)
    known.note(9, 1.0, 1.0)
    assert known.is_outdated(7, 0.0, grace=1.5)
    assert known.may_use(7, BOUND, weight_releases.LATE_DISCOVERY_GRACE - 0.1)
    assert not known.may_use(7, BOUND, weight_releases.LATE_DISCOVERY_GRACE)
    assert known.may_use(8, BOUND, 9.0)
    assert not known.may_use(8, BOUND, 1.0 + BOUND - weight_releases.OLD_WEIGHTS_MARGIN)


def test_a_process_that_takes_long_to_start_has_no_grace_period_left() -> None:
    """Guards against a grace period that counts from the discovery, seconds after the start."""
    known = weight_releases.ReleaseHistory(process_started_at=10.0)
    known.note(8, UNKNOWN, 11.0)
    assert known.may_use(7, BOUND, 11.9)
    assert not known.may_use(7, BOUND, 10.0 + weight_releases.START_GRACE)
    late = weight_releases.ReleaseHistory(process_started_at=10.0)
    late.note(8, UNKNOWN, 14.0)
    assert not late.may_use(7, BOUND, 14.0)
    assert late.is_awaiting_time(14.0)


def test_a_running_process_has_the_whole_grace_period() -> None:
    known = weight_releases.ReleaseHistory(process_started_at=10.0)
    known.note(8, 40.0, 60.0)
    assert known.may_use(7, BOUND, 61.9)
    assert not known.may_use(7, BOUND, 60.0 + weight_releases.LATE_DISCOVERY_GRACE)


def test_better_times_from_peers_end_the_grace_period() -> None:
    """Guards against a new process using weights that its peers know to be long outdated."""
    known = weight_releases.ReleaseHistory()
    known.note(9, UNKNOWN, 0.0)
    known.merge([weight_releases.Release(8, -9.0), weight_releases.Release(9, -4.0)])
    assert not known.may_use(7, BOUND, 0.3)
    assert known.may_use(8, BOUND, 0.3)


def test_a_newer_release_does_not_renew_the_grace_period() -> None:
    known = weight_releases.ReleaseHistory()
    known.note(8, UNKNOWN, 0.0)
    known.note(9, UNKNOWN, 5.0)
    assert not known.may_use(7, BOUND, 5.5)
    assert known.may_use(8, BOUND, 5.5)


def test_a_new_process_learns_all_releases_from_a_peer() -> None:
    known = weight_releases.ReleaseHistory()
    known.note(9, UNKNOWN, 0.0)
    peer = make_history((8, -5.0), (9, -0.5))
    assert known.merge(peer.known) == math.inf
    assert known.known == peer.known
    assert known.may_use(8, BOUND, 7.9)
    assert known.may_use(7, BOUND, 3.4)
    assert not known.may_use(7, BOUND, 3.6)


def test_less_precise_times_change_nothing() -> None:
    known = make_history((8, 1.0), (9, 5.0))
    before = known.known
    for received in ((9, UNKNOWN), (9, 0.9), (8, 0.5)):
        assert known.merge([weight_releases.Release(*received)]) == 0.0
        assert known.known == before


def test_peers_with_other_versions_may_have_better_times_of_older_ones() -> None:
    known = make_history((8, 1.0), (9, 5.0))
    assert known.merge([weight_releases.Release(8, 1.5)]) == 0.5
    assert known.merge([weight_releases.Release(8, 2.0), weight_releases.Release(10, 7.0)]) == 2.0
    assert known.known == make_history((8, 2.0), (9, 7.0)).known


def test_releases_that_are_not_needed_are_dropped() -> None:
    known = make_history((8, 1.0), (9, 2.0), (10, 12.0), (11, 14.0))
    known.forget(12.0)
    assert [n.version for n in known.known] == [9, 10, 11]
    assert not known.may_use(7, BOUND, 12.0)
    assert known.may_use(9, BOUND, 20.4)
    assert not known.may_use(9, BOUND, 20.5)


class Process:
    """Knows the releases up to its last proof of freshness, which it gets now and then."""

    def __init__(self) -> None:
        self.namings = weight_releases.ReleaseHistory()
        self.proved_at = UNKNOWN
        self.discovered_at: dict[int, float] = {}

    def prove(self, newest: int, now: float) -> None:
        if self.namings.note(newest, self.proved_at, now):
            self.discovered_at[newest] = now
        self.proved_at = now


@hypothesis.given(st.integers(0, 100_000))
def test_no_process_uses_outdated_weights_beyond_the_bound(seed: int) -> None:
    """Processes read rarely, restart and exchange releases late; one of them reads often."""
    rng = random.Random(seed)
    released: list[tuple[float, int]] = [(0.0, 1)]
    processes = [Process() for _ in range(4)]
    now, version = 0.0, 1
    for _ in range(80):
        now += rng.uniform(0.05, 0.5)
        if rng.random() < 0.2:
            version += rng.randint(1, 3)
            released.append((now, version))
        number = rng.randrange(1, 4)
        if rng.random() < 0.1:
            processes[number] = Process()
        elif rng.random() < 0.3:
            processes[number].prove(version, now)
        processes[0].prove(version, now)
        sender, receiver = rng.sample(processes, 2)
        late = rng.choice([0.0, 0.3, 5.0])
        received = [
            weight_releases.Release(n.version, n.not_before - late) for n in sender.namings.known
        ]
        receiver.namings.merge(received)
        for process in processes:
            check(process, released, now)
    for process in processes:
        process.prove(version, now)
        process.namings.merge(processes[0].namings.known)
        assert process.namings.known[-1].not_before >= released[-1][0] - 0.5 or version == 1


def check(process: Process, released: list[tuple[float, int]], now: float) -> None:
    known = process.namings.known
    assert list(known) == sorted(known, key=lambda n: (n.version, n.not_before))
    for version in range(process.namings.newest):
        outdated = process.namings.get_outdated(version)
        assert outdated is not None
        released_at = min(at for at, v in released if v > version)
        assert outdated.not_before <= released_at
        discovered_at = min(at for v, at in process.discovered_at.items() if v > version)
        if now - released_at > BOUND and now - discovered_at > weight_releases.LATE_DISCOVERY_GRACE:
            assert not process.namings.may_use(version, BOUND, now)
