"""When refused clients of an account come back.

The load: for eight seconds an account sends 2.8 times its rate, as one with many users at once does
(five times its usual, which is 0.55 times its rate); each client comes back once, as it is told.
"""

from __future__ import annotations

import heapq
import random

import pytest

from passpier.core import buckets, turns

RATE = buckets.Rate(29_000, 29_000)
COST = 862
PATIENCE = 12.0
SECONDS_HOT = 8.0


def count_served(takes_turns: bool, seed: int = 1) -> tuple[int, int]:
    """Return how many clients are served, and how many there are."""
    rng = random.Random(seed)
    book = buckets.SharedBuckets(buckets.Tolerance(8.0, 0.1, 0), 0.1, 0.0)
    book.configure({'a': RATE}, 0.0)
    waiting = turns.Turns()
    arrivals = [(20.0 + rng.uniform(0, SECONDS_HOT), False) for _ in range(754)]
    arrivals += [(28.0 + rng.uniform(0, 10.0), False) for _ in range(185)]
    clients = len(arrivals)
    heapq.heapify(arrivals)
    served = 0
    while arrivals:
        now, came_back = heapq.heappop(arrivals)
        wait = book.take('a', COST, now)
        if not wait:
            served += 1
        elif not came_back:
            if takes_turns:
                wait = waiting.take('a', COST, RATE.per_second, wait, PATIENCE, now)
            heapq.heappush(arrivals, (now + wait * rng.uniform(1.0, 1.5), True))
    return served, clients


def test_more_are_served_if_they_come_back_one_after_the_other() -> None:
    at_once, clients = count_served(takes_turns=False)
    in_turn, _ = count_served(takes_turns=True)
    assert in_turn > at_once + clients // 10


def test_each_is_told_to_come_behind_those_before() -> None:
    waiting = turns.Turns()
    told = [waiting.take('a', 100, 1_000.0, 0.05, PATIENCE, 5.0) for _ in range(4)]
    assert told == pytest.approx([0.1, 0.2, 0.3, 0.4])
    assert waiting.take('b', 100, 1_000.0, 0.05, PATIENCE, 5.0) == pytest.approx(0.1)
    # Half a second later all of them have had their turn.
    assert waiting.take('a', 100, 1_000.0, 0.05, PATIENCE, 5.5) == pytest.approx(0.1)


def test_nobody_is_told_to_come_when_it_no_longer_waits() -> None:
    waiting = turns.Turns()
    for _ in range(1_000):
        assert waiting.take('a', 100, 1_000.0, 0.05, 4.0, 5.0) <= 4.0 * turns.SHARE_OF_PATIENCE
    # Those that were told the latest time took no turn of anybody else.
    assert waiting.take('a', 100, 1_000.0, 0.05, 60.0, 5.0) <= 3.2


def test_no_room_in_time_is_said_so() -> None:
    assert turns.Turns().take('a', 100, 1_000.0, 30.0, 4.0, 5.0) == 30.0
    assert turns.Turns().take('a', 100, 0.0, 2.0, 4.0, 5.0) == 3.0
