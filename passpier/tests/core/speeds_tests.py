"""Speeds of replicas as nine VMs learn them, each from one long prompt per replica in 3 seconds."""

from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import replica_processes, speeds

TOKENS = 9190.0
RATE = 1 / 81_900
"""Seconds per token at the usual speed."""

GAP = 0.03
UNEVEN = (0.6, 1.0, 1.6)
POOL = [replica_processes.ReplicaProcess(f'r{n}', 1) for n in range(30)]


def get_share(index: int, relative: tuple[float, ...]) -> float:
    return relative[index % len(relative)]


def learn(
    relative: tuple[float, ...], seconds: float, spread: float = 0.0
) -> speeds.SpeedEstimator:
    """Return what one of nine VMs has learnt after some time, with messages every 2 seconds."""
    rng = random.Random(1)
    vms = [speeds.SpeedEstimator() for _ in range(9)]
    for step in range(round(seconds / 0.1)):
        now = step * 0.1
        for index, process in enumerate(POOL):
            taken = TOKENS * RATE / get_share(index, relative) * rng.uniform(1 - spread, 1 + spread)
            for number, vm in enumerate(vms):
                # Each VM has its own phase at each replica.
                if (step + number * 7 + index * 11) % 30 == 0:
                    vm.note_prefill(process, TOKENS, taken, now, taken)
        if step % 20 == 19:
            for number, vm in enumerate(vms[1:]):
                for process in vm.list_own(now - 2.0):
                    vms[0].merge(f'vm-{number}', process, vm.read_own(process, now), now)
    vms[0].assess(seconds)
    return vms[0]


def get_rate(
    estimator: speeds.SpeedEstimator, process: replica_processes.ReplicaProcess, now: float
) -> float:
    speed = estimator.estimate(process, now)
    assert speed is not None
    return speed.seconds_per_token


def test_replicas_of_different_speeds_are_told_apart_within_seconds() -> None:
    """Replicas of 0.6, 1 and 1.6 times the usual speed, of which each VM sees few prompts."""
    early = learn(UNEVEN, 6.0)
    assert early.is_uneven
    late = learn(UNEVEN, 30.0)
    for index, process in enumerate(POOL):
        usual = RATE / get_share(index, UNEVEN)
        # Some 15 samples, and the mean of 1.1 times the usual time that counts for 4.
        assert get_rate(early, process, 6.0) == pytest.approx(usual, rel=0.2)
        assert get_rate(late, process, 30.0) == pytest.approx(usual, rel=0.08)


@pytest.mark.parametrize('seconds', [6.0, 30.0])
def test_equal_replicas_are_not_taken_for_uneven(seconds: float) -> None:
    """Equal replicas, at which waiting makes samples differ by up to 25% in both directions."""
    assert not learn((1.0,), seconds, 0.25).is_uneven


def test_uneven_pool_stays_uneven_near_the_limit() -> None:
    """Guards against a state that changes with each sample at replicas of 1 and 1.3."""
    estimator = learn((1.0, 1.0, 1.32), 30.0)
    assert estimator.is_uneven
    for index, process in enumerate(POOL):
        share = 1.22 if index % 3 == 2 else 1.0
        sums = speeds.SpeedSums(200.0, 200 * TOKENS, 200 * TOKENS * RATE / share)
        estimator.merge('other', process, sums, 30.0)
    assert not estimator.assess(30.0)
    assert estimator.spread < speeds.UNEVEN_RATIO


def test_replica_with_few_samples_counts_as_an_average_one() -> None:
    estimator = learn((1.0,), 30.0)
    new = replica_processes.ReplicaProcess('new', 2)
    assert get_rate(estimator, new, 30.0) == pytest.approx(RATE)
    estimator.note_prefill(new, TOKENS, TOKENS * RATE * 2, 30.0)
    assert RATE * 1.1 < get_rate(estimator, new, 30.0) < RATE * 1.3
    assert speeds.SpeedEstimator().estimate(new, 30.0) is None


def test_slowdown_is_seen_by_the_first_late_prompt_and_ends_with_the_first_usual_one() -> None:
    """A replica that turns 2.5 times slower for 0.6 s and back."""
    estimator = learn(UNEVEN, 30.0)
    process, other = POOL[0], POOL[3]
    expected = TOKENS * RATE / get_share(0, UNEVEN)
    estimator.note_prefill(process, TOKENS, expected * 2, 30.0, expected * 2.5)
    assert estimator.is_slowed(process, 30.0 + 0.9 * speeds.SLOWED_SECONDS)
    assert not estimator.is_slowed(other, 30.0)
    assert not estimator.is_slowed(process, 30.0 + speeds.SLOWED_SECONDS)
    assert get_rate(estimator, process, 30.0) < RATE / get_share(0, UNEVEN) * 1.1
    estimator.note_prefill(process, TOKENS, expected, 30.3, expected)
    assert not estimator.is_slowed(process, 30.3)
    estimator.note_prefill(process, TOKENS, expected * 2, 31.0)
    assert not estimator.is_slowed(process, 31.0), 'the attempt may have waited for a slot'


def test_slowdown_is_seen_by_a_long_gap() -> None:
    estimator = speeds.SpeedEstimator()
    for number in range(20):
        estimator.note_event_gap(POOL[0], GAP, number * 0.1)
    estimator.check_event_gap(POOL[0], GAP * 2.5, 2.0)
    assert not estimator.is_slowed(POOL[0], 2.0)
    estimator.check_event_gap(POOL[0], GAP * 3.1, 2.0)
    assert estimator.is_slowed(POOL[0], 2.0)
    estimator.check_event_gap(POOL[0], GAP, 2.1)
    assert not estimator.is_slowed(POOL[0], 2.1)


def test_gaps_are_estimated_beside_prefills() -> None:
    estimator = speeds.SpeedEstimator()
    for number in range(20):
        estimator.note_prefill(POOL[0], TOKENS, TOKENS * RATE, number * 0.1)
        estimator.note_event_gap(POOL[0], GAP, number * 0.1)
    speed = estimator.estimate(POOL[0], 2.0)
    assert speed is not None
    assert speed.event_seconds == pytest.approx(GAP)
    assert 30 < speed.samples < 40


def test_sums_of_a_lost_sender_are_gone_within_30_seconds() -> None:
    estimator = learn((1.0,), 30.0)
    sums = speeds.SpeedSums(1000.0, 1000 * TOKENS, 5000 * TOKENS * RATE)
    estimator.merge('lost', POOL[0], sums, 30.0)
    assert get_rate(estimator, POOL[0], 30.0) > RATE * 4
    for number in range(31):
        estimator.note_prefill(POOL[0], TOKENS, TOKENS * RATE, 30.0 + number)
        estimator.expire(30.0 + number)
    assert get_rate(estimator, POOL[0], 60.0) == pytest.approx(RATE, rel=0.01)
    estimator.expire(300.0)
    assert not estimator.list_processes()
    assert estimator.estimate(POOL[0], 300.0) is None


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from('abc'), st.integers(0, 2), st.integers(1, 99), st.floats(0, 3)),
        max_size=60,
    ),
    st.integers(0, 2),
)
def test_estimate_depends_on_the_last_sums_of_each_sender_only(
    received: list[tuple[str, int, int, float]], ended: int
) -> None:
    """Guards against errors that add up in the totals, which are changed by differences."""
    estimator, expected = speeds.SpeedEstimator(), speeds.SpeedEstimator()
    last = {}
    now = 0.0
    for sender, index, count, pause in received:
        now += pause
        sums = speeds.SpeedSums(count, count * TOKENS, count * (index + 1), count, count * GAP)
        estimator.merge(sender, POOL[index], sums, now)
        last[sender, index] = (sums, now)
    estimator.forget(POOL[ended], now)
    for (sender, index), (sums, at) in sorted(last.items(), key=lambda x: x[1][1]):
        if index != ended:
            expected.merge(sender, POOL[index], sums, at)
    for process in POOL[:3]:
        got, wanted = estimator.estimate(process, now), expected.estimate(process, now)
        assert (got is None) == (wanted is None)
        if got is not None and wanted is not None:
            assert got.seconds_per_token == pytest.approx(wanted.seconds_per_token, rel=1e-6)
            assert got.samples == pytest.approx(wanted.samples, abs=1e-6)
