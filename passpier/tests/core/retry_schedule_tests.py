"""Scheduled retries of refused clients of an account.

In the simulated load, an account sends 2.8 times its rate for eight seconds, like one with a peak
of users (five times its usual load of 0.55 times its rate). Each client retries once, as told.
"""

from __future__ import annotations

import heapq
import random

import pytest

from passpier.core import buckets, retry_schedule

RATE = buckets.Rate(29_000, 29_000)
COST = 862
CLIENT_TIMEOUT = 12.0
OVERLOAD_SECONDS = 8.0


def count_served(scheduled: bool, seed: int = 1) -> tuple[int, int]:
    """Return how many clients are served, and how many there are."""
    rng = random.Random(seed)
    book = buckets.SharedBuckets(buckets.Tolerance(8.0, 0.1, 0), 0.1, 0.0)
    book.configure({'a': RATE}, 0.0)
    schedule = retry_schedule.RetrySchedule()
    arrivals = [(20.0 + rng.uniform(0, OVERLOAD_SECONDS), False) for _ in range(754)]
    arrivals += [(28.0 + rng.uniform(0, 10.0), False) for _ in range(185)]
    clients = len(arrivals)
    heapq.heapify(arrivals)
    served = 0
    while arrivals:
        now, retried = heapq.heappop(arrivals)
        wait = book.take('a', COST, now)
        if not wait:
            served += 1
        elif not retried:
            if scheduled:
                wait = schedule.schedule('a', COST, RATE.per_second, wait, CLIENT_TIMEOUT, now)
            heapq.heappush(arrivals, (now + wait * rng.uniform(1.0, 1.5), True))
    return served, clients


def test_scheduled_retries_serve_more_clients() -> None:
    at_once, clients = count_served(scheduled=False)
    in_turn, _ = count_served(scheduled=True)
    assert in_turn > at_once + clients // 10


def test_each_retry_is_scheduled_after_those_before() -> None:
    schedule = retry_schedule.RetrySchedule()
    waits = [schedule.schedule('a', 100, 1_000.0, 0.05, CLIENT_TIMEOUT, 5.0) for _ in range(4)]
    assert waits == pytest.approx([0.1, 0.2, 0.3, 0.4])
    assert schedule.schedule('b', 100, 1_000.0, 0.05, CLIENT_TIMEOUT, 5.0) == pytest.approx(0.1)
    # Half a second later all of the scheduled retries are over.
    assert schedule.schedule('a', 100, 1_000.0, 0.05, CLIENT_TIMEOUT, 5.5) == pytest.approx(0.1)


def test_no_retry_is_scheduled_after_the_client_timeout() -> None:
    schedule = retry_schedule.RetrySchedule()
    for _ in range(1_000):
        assert (
            schedule.schedule('a', 100, 1_000.0, 0.05, 4.0, 5.0)
            <= 4.0 * retry_schedule.MAX_WAIT_SHARE
        )
    # Retries at the maximum wait reserved no units.
    assert schedule.schedule('a', 100, 1_000.0, 0.05, 60.0, 5.0) <= 3.2


def test_a_wait_beyond_the_client_timeout_is_returned() -> None:
    assert retry_schedule.RetrySchedule().schedule('a', 100, 1_000.0, 30.0, 4.0, 5.0) == 30.0
    assert retry_schedule.RetrySchedule().schedule('a', 100, 0.0, 2.0, 4.0, 5.0) == 3.0
