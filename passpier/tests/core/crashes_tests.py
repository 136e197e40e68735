"""Which requests are suspected of crashing replicas, and whether they may still be sent."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import crashes, replica_processes

CRASHING = 7
NOW = 1000.0


def make_process(number: int) -> replica_processes.ReplicaProcess:
    return replica_processes.ReplicaProcess(f'r{number % 5}', number)


def make_crashes(count: int, at: float = NOW) -> crashes.CrashTracker:
    known = crashes.CrashTracker()
    for number in range(count):
        known.note_crash(CRASHING, make_process(number), at)
    return known


def is_allowed(known: crashes.CrashTracker, now: float, fingerprint: int = CRASHING) -> bool:
    return known.assess(fingerprint, now).refused_for is None


def export_to(source: crashes.CrashTracker, target: crashes.CrashTracker, now: float) -> None:
    target.merge(*source.export(now), now)


def test_a_request_is_blocked_from_the_third_crash_on() -> None:
    assert [is_allowed(make_crashes(n), NOW) for n in range(5)] == [True, True, True, False, False]
    assert is_allowed(make_crashes(9), NOW, fingerprint=8)


def test_the_cause_is_refused_for_its_whole_wait_while_its_last_run_still_counts() -> None:
    """Guards against asking callers to come back within a second, only to refuse them again."""
    known = make_crashes(3)
    known.note_remote_run(CRASHING, NOW + 3.0)
    assert known.assess(CRASHING, NOW + 1.0).refused_for == crashes.TRIAL_AFTER - 1.0


def test_a_process_counts_once_however_many_runs_it_interrupts() -> None:
    known = crashes.CrashTracker()
    for at in (NOW, NOW + 0.1, NOW + 9.0):
        known.note_crash(CRASHING, make_process(1), at)
    assert known.count_crashes(CRASHING) == 1


def test_each_process_of_a_replica_counts() -> None:
    known = crashes.CrashTracker()
    for born in (100, 200, 300):
        known.note_crash(CRASHING, replica_processes.ReplicaProcess('r1', born), NOW)
    assert not is_allowed(known, NOW)


def test_an_unconfirmed_crash_counts_until_it_is_withdrawn() -> None:
    known = make_crashes(2)
    assert known.suspect(CRASHING, make_process(8), NOW)
    assert not known.suspect(CRASHING, make_process(8), NOW)
    assert not is_allowed(known, NOW)
    assert known.withdraw(make_process(8)) == [CRASHING]
    assert is_allowed(known, NOW)


def test_an_unconfirmed_crash_is_not_exported() -> None:
    known, other = crashes.CrashTracker(), crashes.CrashTracker()
    known.suspect(CRASHING, make_process(1), NOW)
    export_to(known, other, NOW)
    assert not other.count_crashes(CRASHING)
    assert known.confirm(make_process(1)) == [CRASHING]
    export_to(known, other, NOW)
    assert other.count_crashes(CRASHING) == 1


def test_a_completed_run_clears_its_request_for_good() -> None:
    """Guards against counting old crashes again from messages that are still under way."""
    known, other = make_crashes(3), make_crashes(3)
    assert known.clear(CRASHING, NOW) == 3
    export_to(other, known, NOW)
    assert is_allowed(known, NOW)
    export_to(known, other, NOW)
    assert is_allowed(other, NOW)
    known.note_crash(CRASHING, make_process(77), NOW)
    assert known.count_crashes(CRASHING) == 1


def test_a_request_blocked_by_mistake_gets_a_trial_later() -> None:
    known = make_crashes(3)
    wait = known.assess(CRASHING, NOW).refused_for
    assert wait == crashes.TRIAL_AFTER
    assert not is_allowed(known, NOW + wait - 0.1)
    assert is_allowed(known, NOW + wait)
    known.clear(CRASHING, NOW + wait)
    assert known.assess(CRASHING, NOW + wait) == crashes.CLEAN


def test_the_cause_gets_two_trials_and_no_third() -> None:
    known = make_crashes(crashes.CAUSE_THRESHOLD)
    now = NOW
    sends = 0
    while now < NOW + crashes.RETENTION_SECONDS / 2:
        now += 0.4
        if is_allowed(known, now):
            sends += 1
            known.note_crash(CRASHING, make_process(100 + sends), now)
    assert sends == crashes.MAX_TRIALS


def test_runs_are_serialized_one_crash_before_blocking() -> None:
    known = make_crashes(2)
    known.begin(CRASHING, NOW)
    assert not is_allowed(known, NOW)
    known.end(CRASHING)
    assert is_allowed(known, NOW)
    known.note_remote_run(CRASHING, NOW + 2.0)
    assert not is_allowed(known, NOW + 1.9)
    assert is_allowed(known, NOW + 2.0)


def test_a_long_run_blocks_others_for_a_limited_time() -> None:
    known = make_crashes(2)
    known.begin(CRASHING, NOW)
    assert not is_allowed(known, NOW + crashes.EXCLUSIVE_RUN_SECONDS - 0.1)
    assert is_allowed(known, NOW + crashes.EXCLUSIVE_RUN_SECONDS)


@pytest.mark.parametrize('count', [0, 1])
def test_requests_with_at_most_one_crash_run_in_parallel(count: int) -> None:
    known = make_crashes(count)
    known.begin(CRASHING, NOW)
    known.note_remote_run(CRASHING, NOW + 2.0)
    assert is_allowed(known, NOW)


def test_a_stream_of_new_suspects_does_not_evict_the_cause() -> None:
    known = crashes.CrashTracker(max_requests=100)
    for number in range(3):
        known.note_crash(CRASHING, make_process(number), NOW)
    for number in range(1000, 3000):
        known.note_crash(number, make_process(number), NOW + number)
        assert len(known) <= 100
    assert not is_allowed(known, NOW)


def test_old_records_expire() -> None:
    known = make_crashes(4)
    known.clear(9, NOW)
    known.expire(NOW + crashes.RETENTION_SECONDS - 1)
    assert len(known) == 1
    known.expire(NOW + crashes.RETENTION_SECONDS + 1)
    assert not len(known)


def test_requests_with_a_single_crash_are_exported_for_a_short_time() -> None:
    known = make_crashes(1)
    assert known.export(NOW)[0]
    assert not known.export(NOW + crashes.RECENT_SECONDS)[0]
    known = make_crashes(2)
    assert known.export(NOW + crashes.RECENT_SECONDS)[0]


events = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(['crash', 'crash', 'crash', 'clear', 'export']),
        st.integers(0, 3),
        st.integers(0, 5),
    ),
    max_size=40,
)


@hypothesis.given(events, st.randoms(use_true_random=False))
def test_all_daemons_agree_in_the_end_whatever_the_order_of_messages(
    history: list[tuple[int, str, int, int]], rng: random.Random
) -> None:
    """Merging and clearing don't depend on the order or repetition of messages."""
    daemons = [crashes.CrashTracker() for _ in range(3)]
    now = NOW
    for number, kind, fingerprint, other in history:
        now += 0.01
        daemon = daemons[number]
        if kind == 'crash':
            daemon.note_crash(fingerprint, make_process(other), now)
        elif kind == 'clear':
            daemon.clear(fingerprint, now)
        else:
            export_to(daemon, daemons[other % 3], now)
    pairs = list(itertools.permutations(range(3), 2)) * 2
    rng.shuffle(pairs)
    for one, other in [*pairs, *itertools.permutations(range(3), 2)]:
        export_to(daemons[one], daemons[other], now)
    for fingerprint in range(4):
        assert len({d.count_crashes(fingerprint) for d in daemons}) == 1


PART = 101
OTHER_PART = 103
"""Parts of prompts, which have odd fingerprints."""


def crash_part(
    tracker: crashes.CrashTracker, number: int, at: float, parts: Sequence[int] = (PART,)
) -> None:
    """Record a crash in which one request with some parts was running, a new one each time."""
    process = replica_processes.ReplicaProcess(f'r{number}', number)
    tracker.note_crash(1000 + 2 * number, process, at)
    for part in parts:
        tracker.note_crash(part, process, at)


def test_a_part_counts_as_the_cause_in_requests_that_differ() -> None:
    tracker = crashes.CrashTracker()
    for number in range(3):
        assert tracker.assess(5000, 0.1 * number, [PART]).refused_for is None
        crash_part(tracker, number, 0.1 * number)
    assert tracker.assess(5000, 0.2, [PART]).refused_for is not None
    assert tracker.assess(5000, 0.2, [OTHER_PART]) == crashes.CLEAN
    assert tracker.assess(5000, 0.2) == crashes.CLEAN


def test_a_part_is_cleared_by_a_run_of_any_request() -> None:
    tracker = crashes.CrashTracker()
    for number in range(4):
        crash_part(tracker, number, 0.1 * number, [PART, OTHER_PART])
    tracker.clear(PART, 0.4)
    assert tracker.assess(5000, 0.4, [PART]) == crashes.CLEAN
    assert tracker.assess(5000, 0.4, [PART, OTHER_PART]).parts == (OTHER_PART,)
    # Only crashes since then count.
    crash_part(tracker, 4, 0.5)
    crash_part(tracker, 5, 0.6)
    assert tracker.assess(5000, 0.6, [PART]) == crashes.CLEAN


def test_a_part_alone_is_tried_sooner_than_several() -> None:
    tracker = crashes.CrashTracker()
    for number in range(3):
        crash_part(tracker, number, 0.0, [PART, OTHER_PART])
    soon = crashes.PART_TRIAL_AFTER + 0.01
    assert tracker.assess(5000, soon, [PART]).is_trial
    assert not tracker.assess(5000, soon, [PART, OTHER_PART]).is_trial
    later = crashes.JOINT_TRIAL_AFTER + 0.01
    assert tracker.assess(5000, later, [PART, OTHER_PART]).parts == (PART, OTHER_PART)
    assert tracker.assess(5000, later, [PART, OTHER_PART]).is_trial


def test_a_part_is_tried_twice_and_not_asked_back_after_that() -> None:
    tracker = crashes.CrashTracker()
    for number in range(3):
        crash_part(tracker, number, 0.0)
    tracker.get_trials = lambda part: crashes.Trials(1, 1.0)
    assert not tracker.assess(5000, 1.0 + crashes.JOINT_TRIAL_AFTER - 0.1, [PART]).is_trial
    assert tracker.assess(5000, 1.0 + crashes.JOINT_TRIAL_AFTER + 0.1, [PART]).is_trial
    tracker.get_trials = lambda part: crashes.Trials(2, 5.0)
    refused = tracker.assess(5000, 100.0, [PART])
    assert not refused.is_trial
    assert refused.retry_after == crashes.RETRY_AFTER_MAX


def test_a_request_that_is_the_cause_itself_does_not_make_its_parts_causes() -> None:
    tracker = crashes.CrashTracker()
    for number in range(4):
        process = replica_processes.ReplicaProcess(f'r{number}', number)
        tracker.note_crash(1000, process, 0.0)
        tracker.note_crash(PART, process, 0.0)
    assert tracker.assess(1000, 0.0, [PART]).refused_for is not None
    assert tracker.assess(5000, 0.0, [PART]) == crashes.CLEAN
    # Crashes of other requests show that it is the part after all.
    for number in range(4, 4 + crashes.UNEXPLAINED_MIN):
        crash_part(tracker, number, 0.0)
    assert tracker.assess(5000, 0.0, [PART]).refused_for is not None


def test_what_peers_have_cleared_is_reported_once() -> None:
    tracker = crashes.CrashTracker()
    crash_part(tracker, 0, 0.0)
    clearing = crashes.Clearing('r0', 0, [PART])
    assert tracker.merge_cleared([clearing], 1.0) == [PART]
    assert tracker.merge_cleared([clearing], 1.0) == []
