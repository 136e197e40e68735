"""Returns of refused clients.

In the simulated load, digests of the licences come at 2.1 times their usual rate of 76/s for four
seconds, over nine VMs, to a pool that serves 1.2 times the usual rate. Each client returns once, as
told, to a VM that does not know it.
"""

from __future__ import annotations

import heapq
import random

import pytest

from passpier.core import admission_policy, refusal_schedule
from passpier.tests import fakes

TOKENS = 9_190
RATE = 76.0
SERVED = 1.2 * RATE * TOKENS
BURST_SECONDS = 4.0
VMS = 9
HOLD, OBJECTIVE, DEADLINE = 0.517, 1.035, 5.176


def make_demand(now: float, arrived_at: float) -> admission_policy.Demand:
    return admission_policy.Demand(
        's', 'a', 1, 2, TOKENS, now + HOLD, now + OBJECTIVE, arrived_at + DEADLINE, 0.0, 0, 1.0, 1.0
    )


def find_room(overdue_only: bool, seed: int) -> float:
    """Return the share of refused clients that wait when they return and are not refused again.

    With `overdue_only`, they return after the time by which they would have been late.
    """
    rng = random.Random(seed)
    policies = [admission_policy.Admission() for _ in range(VMS)]
    burst = int(2.1 * RATE * BURST_SECONDS)
    arrivals = [(rng.uniform(0, BURST_SECONDS), -1.0) for _ in range(burst)]
    arrivals += [(rng.uniform(BURST_SECONDS, 10.0), -1.0) for _ in range(int(6 * RATE))]
    heapq.heapify(arrivals)
    backlog, last, refused, found = 0.0, 0.0, 0, 0
    while arrivals:
        now, refused_at = heapq.heappop(arrivals)
        backlog = max(0.0, backlog - (now - last) * SERVED)
        last = now
        arrived_at = now if refused_at < 0 else refused_at
        waiting = fakes.PriorityDemand(int(backlog // TOKENS), int(backlog), SERVED)
        nothing = fakes.PriorityDemand(0, 0, 0.0)
        picture = fakes.Picture((nothing, nothing, waiting), {'a': int(backlog)}, VMS, 0.2)
        verdict = rng.choice(policies).assess(make_demand(now, arrived_at), picture, now)
        if verdict.action is admission_policy.Action.WAIT:
            backlog += TOKENS
            found += refused_at >= 0
        elif refused_at < 0:
            refused += 1
            overdue = max(0.1, verdict.estimate.wait - HOLD)
            heapq.heappush(
                arrivals, (now + (overdue if overdue_only else verdict.retry_after), now)
            )
    return found / refused


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_clients_that_return_as_told_find_room(seed: int) -> None:
    """Guards against clients that return after the overdue time and meet the same queue."""
    as_told = find_room(overdue_only=False, seed=seed)
    assert as_told > find_room(overdue_only=True, seed=seed) + 0.2


def test_returns_follow_one_another_within_a_third_of_the_remaining_time() -> None:
    schedule = refusal_schedule.RefusalSchedule()
    times = [schedule.schedule('s/2', 1_000, 10_000.0, 0.05, 3.0, 0.0) for _ in range(20)]
    longest = 3.0 * refusal_schedule.MAX_WAIT_SHARE
    assert longest < 1.0
    assert times[:9] == pytest.approx([0.1 * n for n in range(1, 10)])
    assert times[9:] == pytest.approx([longest] * 11)
    # Nor is it exceeded if the expected wait is longer.
    assert schedule.schedule('s/2', 1_000, 10_000.0, 7.0, 3.0, 0.0) == pytest.approx(longest)


def test_a_returned_request_is_recognised_once_and_for_ten_seconds() -> None:
    """Guards against memory that grows with the refusals of a hot account."""
    schedule = refusal_schedule.RefusalSchedule()
    schedule.remember(2, 0.0)
    assert schedule.recognise(2, 5.0)
    assert not schedule.recognise(2, 5.0)
    schedule.remember(4, 0.0)
    assert not schedule.recognise(4, refusal_schedule.REMEMBERED_SECONDS)
    for fingerprint in range(refusal_schedule.MAX_REMEMBERED + 1):
        schedule.remember(fingerprint, 20.0)
    assert not schedule.recognise(0, 20.0)
    assert schedule.recognise(1, 20.0)
