"""Reported outcomes are true, and a request that isn't repeatable runs at most once."""

from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier import exceptions
from passpier.core import attempts, ejection, retries

FAULTS = st.lists(st.tuples(st.sampled_from(list(attempts.Fault)), st.booleans()), max_size=8)
NOT_RUN_FAULTS = {attempts.Fault.NOT_CONNECTED, attempts.Fault.REFUSED}


class OptimisticProgress(attempts.RequestProgress):
    """Broken variant: treats an unanswered request as one that didn't run."""

    def decide(self, fault: attempts.Fault, has_budget: bool) -> attempts.Step:
        if fault is attempts.Fault.NO_ANSWER:
            fault = attempts.Fault.NOT_CONNECTED
        return super().decide(fault, has_budget)


def check_outcome(
    kind: type[attempts.RequestProgress],
    repeatable: bool,
    faults: list[tuple[attempts.Fault, bool]],
) -> None:
    """Apply faults; a request may or may not have run in case of an uncertain one."""
    progress = kind(repeatable, resumable=False)
    runs = 0
    for fault, ran in faults:
        progress.begin()
        runs += ran and fault not in NOT_RUN_FAULTS
        if progress.decide(fault, True) is attempts.Step.FAIL:
            break
    if progress.outcome is exceptions.Outcome.NOT_RUN:
        assert runs == 0
    if not repeatable:
        assert runs <= 1


@hypothesis.given(st.booleans(), FAULTS)
def test_a_reported_not_run_is_true(
    repeatable: bool, faults: list[tuple[attempts.Fault, bool]]
) -> None:
    check_outcome(attempts.RequestProgress, repeatable, faults)


def test_broken_variant_is_caught() -> None:
    @hypothesis.settings(report_multiple_bugs=False)
    @hypothesis.given(st.booleans(), FAULTS)
    def prove(repeatable: bool, faults: list[tuple[attempts.Fault, bool]]) -> None:
        check_outcome(OptimisticProgress, repeatable, faults)

    with pytest.raises(AssertionError):
        prove()


def test_an_interrupted_stream_is_resumed_first() -> None:
    progress = attempts.RequestProgress(repeatable=False)
    progress.begin()
    progress.delivered = 3
    assert progress.decide(attempts.Fault.INTERRUPTED, True) is attempts.Step.RESUME
    progress.resumes = attempts.MAX_RESUMES
    assert progress.decide(attempts.Fault.INTERRUPTED, True) is attempts.Step.FAIL
    assert progress.outcome is exceptions.Outcome.UNKNOWN


def test_a_partially_delivered_stream_is_continued() -> None:
    progress = attempts.RequestProgress(repeatable=True, resumable=False)
    progress.begin()
    progress.delivered = 3
    assert progress.decide(attempts.Fault.INTERRUPTED, True) is attempts.Step.CONTINUE


def count_steps(progress: attempts.RequestProgress, fault: attempts.Fault) -> int:
    """Return the number of attempts after the first one if all fail with the same fault."""
    progress.begin()
    count = 0
    while progress.decide(fault, True) is not attempts.Step.FAIL:
        progress.begin()
        count += 1
    return count


@pytest.mark.parametrize('fault', [attempts.Fault.REFUSED, attempts.Fault.INTERRUPTED])
def test_begun_stream_may_return_to_the_replicas_that_it_reached(fault: attempts.Fault) -> None:
    """Guards against cutting a stream that one of these replicas could finish."""
    progress = attempts.RequestProgress(repeatable=True, resumable=False, max_attempts=2)
    progress.delivered = 3
    assert count_steps(progress, fault) == 1 + attempts.MAX_RETURNS
    assert not progress.may_reach_others


@pytest.mark.parametrize('fault', [f for f in attempts.Fault if f is not attempts.Fault.REFUSED])
def test_failed_request_without_a_response_is_not_sent_to_the_same_replicas_again(
    fault: attempts.Fault,
) -> None:
    progress = attempts.RequestProgress(repeatable=True, resumable=False, max_attempts=2)
    assert count_steps(progress, fault) == 1


def test_request_that_has_not_run_is_refused_after_its_attempts() -> None:
    """The client may send it again itself."""
    progress = attempts.RequestProgress(repeatable=True, resumable=False, max_attempts=2)
    assert count_steps(progress, attempts.Fault.REFUSED) == 1
    assert progress.outcome is exceptions.Outcome.NOT_RUN


def test_retries_are_limited_in_a_full_outage() -> None:
    """Without successes, only the budget's constant rate per second is earned."""
    budget = retries.RetryBudget()
    attempt_count = 0
    for request in range(2000):
        now = 1.0 + request / 200
        attempt_count += 1
        for _ in range(attempts.MAX_ATTEMPTS - 1):
            if not budget.spend(now):
                break
            attempt_count += 1
    factor = attempt_count / 2000
    print(f'amplification in a full outage: {factor:.3f}')
    assert factor < 1.02


@hypothesis.given(st.integers(1, 12), st.integers(0, 2**16))
def test_backoff_is_bounded_and_jittered(attempt: int, seed: int) -> None:
    wait = retries.compute_backoff(attempt, random.Random(seed))
    bound = min(retries.BACKOFF_MAX, retries.BACKOFF_BASE * 2 ** (attempt - 1))
    assert bound / 2 <= wait <= bound


@hypothesis.given(
    st.integers(1, 9),
    st.lists(st.tuples(st.integers(0, 8), st.booleans(), st.floats(0, 2)), max_size=60),
)
def test_at_most_the_allowed_share_is_ejected(
    size: int, results: list[tuple[int, bool, float]]
) -> None:
    ejector = ejection.Ejector()
    names = [str(i) for i in range(size)]
    now = 0.0
    for index, success, wait in results:
        now += wait
        name = names[index % size]
        if success:
            ejector.note_success(name)
            assert not ejector.is_ejected(name, now)
        else:
            ejector.note_failure(name, now)
        kept = ejector.select(names, now)
        assert len(kept) >= size - int(size * ejection.MAX_SHARE)
        assert set(kept) <= set(names)
