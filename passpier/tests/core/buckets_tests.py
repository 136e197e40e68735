"""Spending of accounts with rates at one daemon, and the exchange with others."""

from __future__ import annotations

import random

import pytest

from passpier.core import buckets

TOLERANCE = buckets.Tolerance(8.0, 0.1, 1_000)
RATE = buckets.Rate(1_000, 1_000)
EXCESS = TOLERANCE.compute_excess(RATE)
GRACE = EXCESS * buckets.GRACE_SHARE
CONNECTED_GRACE = TOLERANCE.slack * buckets.SLACK_GRACE_SHARE
"""Regular excess while all are connected; larger than `GRACE`, as the slack is large here."""


def make_buckets(*sharers: str, now: float = 0.0) -> buckets.SharedBuckets:
    book = buckets.SharedBuckets(TOLERANCE, 0.1, now)
    book.configure({'a': RATE}, now)
    book.set_sharers(sharers, now)
    return book


def exchange(one: buckets.SharedBuckets, other: buckets.SharedBuckets, now: float) -> None:
    """Exchange messages between daemons named `one` and `other` until both are connected."""
    for _ in range(2):
        other.apply_update('one', *one.build_update('other', now), now)
        one.apply_update('other', *other.build_update('one', now), now)


def spend_all(book: buckets.SharedBuckets, now: float, cost: int = 10) -> int:
    spent = 0
    while not book.take('a', cost, now):
        spent += cost
    return spent


def test_the_excess_is_a_share_of_a_window_plus_the_slack() -> None:
    assert pytest.approx(0.1 * (8 * 1_000 + 1_000) + 1_000) == EXCESS


def test_small_accounts_may_use_the_slack_while_all_are_connected() -> None:
    small, large = buckets.Rate(100, 100), buckets.Rate(100_000, 100_000)
    assert TOLERANCE.compute_connected_grace(small) == TOLERANCE.slack * buckets.SLACK_GRACE_SHARE
    assert TOLERANCE.compute_connected_grace(large) == TOLERANCE.compute_grace(large)
    connected, partitioned = make_buckets(), make_buckets('b')
    assert spend_all(connected, 10.0) == pytest.approx(RATE.burst + CONNECTED_GRACE, abs=10)
    assert spend_all(partitioned, 10.0) == pytest.approx((RATE.burst + GRACE) / 2, abs=10)


def test_a_bucket_starts_with_a_part_of_the_excess_and_fills_to_the_burst() -> None:
    book = make_buckets()
    assert book.get_level('a', 6.0) == RATE.burst
    young = make_buckets('b', now=5.0)
    initial = EXCESS * buckets.INITIAL_SHARE
    assert young.get_level('a', 5.0) == pytest.approx(initial / buckets.ASSUMED_DAEMONS)


def test_an_account_without_a_rate_is_not_limited() -> None:
    book = make_buckets()
    assert book.take('b', 10**9, 0.0) == 0.0
    book.refund('b', 10**9, 0.0)


def test_requests_below_the_rate_are_never_refused() -> None:
    book = make_buckets()
    for n in range(1_000):
        assert book.take('a', 100, 10.0 + n * 0.1) == 0.0


def list_spent(
    book: buckets.SharedBuckets, asked: float, since: float, seconds: float
) -> list[int]:
    """Request so many units per second; return the spending in each tenth of a second."""
    return [
        sum(not book.take('a', 10, since + n / 10) for _ in range(round(asked / 100))) * 10
        for n in range(round(seconds * 10))
    ]


def test_an_account_above_its_rate_gets_the_allowance_of_each_window() -> None:
    """At least nine tenths of it, as deficits outlast a window for requests in transit."""
    spent = list_spent(make_buckets(), 1_400, 10.0, 60.0)
    allowed = RATE.per_second * TOLERANCE.window + RATE.burst
    windows = [sum(spent[n : n + 80]) for n in range(len(spent) - 80)]
    assert max(windows) <= allowed + CONNECTED_GRACE
    period = round((TOLERANCE.window + buckets.MAX_SEND_DELAY) * 10)
    allowance = RATE.per_second * period / 10 + RATE.burst
    assert sum(spent[:period]) >= 0.99 * allowance
    assert sum(spent[period : 2 * period]) >= 0.99 * allowance


def test_no_window_exceeds_its_allowance_for_any_pattern() -> None:
    rng = random.Random(5)
    book = make_buckets()
    spent: list[int] = []
    for _ in range(40):
        seconds = rng.choice([0.2, 1.0, 3.0, 7.9, 9.0])
        asked = rng.choice([0, 500, 1_000, 1_400, 12_000])
        spent += list_spent(book, asked, 10.0 + len(spent) / 10, seconds)
    allowed = RATE.per_second * TOLERANCE.window + RATE.burst + CONNECTED_GRACE
    assert max(sum(spent[n : n + 80]) for n in range(len(spent) - 80)) <= allowed


def test_the_burst_is_available_again_a_window_later() -> None:
    one, other = make_buckets('other'), make_buckets('one')
    for n in range(200):
        exchange(one, other, 10.0 + n / 10)
        spend_all(one, 10.0 + n / 10)
    assert one.get_spent('a') >= RATE.per_second * 19 + 2 * RATE.burst
    # The other daemon knows that it was spent again.
    assert other.get_level('a', 30.0) <= RATE.per_second / 10


def test_deficits_are_not_forgotten_while_a_daemon_is_disconnected() -> None:
    book = make_buckets('b')
    spent = list_spent(book, 1_400, 10.0, 30.0)
    assert sum(spent) <= (RATE.per_second * 30.0 + RATE.burst + GRACE) / 2


def test_a_refusal_returns_the_time_until_units_are_available() -> None:
    book = make_buckets()
    spend_all(book, 10.0)
    wait = book.take('a', 500, 10.0)
    assert wait > 0.0
    assert book.take('a', 500, 10.0 + wait * 0.9) > 0.0
    assert book.take('a', 500, 10.0 + wait * 1.1) == 0.0


def test_a_full_bucket_admits_a_request_larger_than_the_burst() -> None:
    cost = int(RATE.burst + EXCESS / 2)
    book = make_buckets()
    assert book.take('a', cost, 10.0) == 0.0
    # The deficit has to be refilled before any other request is admitted.
    assert book.take('a', 10, 10.1) > 0.0
    assert book.take('a', int(RATE.burst + 2 * EXCESS), 30.0) == buckets.RETRY_MAX


def test_units_of_requests_that_reached_no_upstream_are_refunded() -> None:
    book = make_buckets()
    book.take('a', 600, 10.0)
    book.refund('a', 600, 10.0)
    assert book.get_level('a', 10.0) == RATE.burst


def test_spending_of_others_is_subtracted() -> None:
    one, other = make_buckets('other'), make_buckets('one')
    exchange(one, other, 10.0)
    spent = spend_all(one, 10.0)
    assert spent == pytest.approx(RATE.burst + CONNECTED_GRACE, abs=10)
    exchange(one, other, 10.1)
    # Its copy was full until the report came, so the units earned meanwhile were lost.
    lost = RATE.per_second * 0.1
    assert other.get_level('a', 10.1) == pytest.approx(one.get_level('a', 10.1) - lost, abs=1)


def test_a_lost_message_is_made_up_for_by_the_next() -> None:
    one, other = make_buckets('other'), make_buckets('one')
    exchange(one, other, 10.0)
    one.take('a', 300, 10.0)
    one.build_update('other', 10.1)
    one.take('a', 200, 10.1)
    exchange(one, other, 10.1)
    assert other.get_level('a', 10.1) == pytest.approx(500, abs=101)


def test_repeated_messages_are_ignored() -> None:
    one, other = make_buckets('other'), make_buckets('one')
    exchange(one, other, 10.0)
    one.take('a', 300, 10.0)
    message = one.build_update('other', 10.0)
    for _ in range(3):
        other.apply_update('one', *message, 10.0)
    assert other.get_level('a', 10.0) == pytest.approx(RATE.burst - 300)


def test_a_daemon_without_confirmations_gets_an_equal_share() -> None:
    names = ('b', 'c', 'd')
    book = make_buckets(*names)
    assert spend_all(book, 10.0, cost=1) == pytest.approx((RATE.burst + GRACE) / 4, abs=2)
    assert book.compute_share(10.0) == 1 / 4


def test_two_sides_of_a_partition_spend_no_more_than_one_bucket() -> None:
    one, other = make_buckets('other'), make_buckets('one')
    exchange(one, other, 10.0)
    # Both notice the partition before either spends.
    spent = spend_all(one, 11.0) + spend_all(other, 11.0)
    assert spent <= RATE.burst + GRACE + 10
    for n in range(80):
        spent += spend_all(one, 11.0 + n * 0.1) + spend_all(other, 11.0 + n * 0.1)
    assert spent <= RATE.burst + GRACE + RATE.per_second * 8 + 20


def test_reserved_units_are_released_after_a_partition_unless_spent() -> None:
    idle, other = make_buckets('other'), make_buckets('one')
    exchange(idle, other, 10.0)
    assert idle.get_level('a', 12.0) == RATE.burst / 2
    exchange(idle, other, 12.0)
    assert idle.get_level('a', 12.0) == RATE.burst
    idle.get_level('a', 14.0)
    spend_all(other, 14.0)
    exchange(idle, other, 14.0)
    assert idle.get_level('a', 14.0) <= RATE.burst / 2 + GRACE


def test_a_daemon_that_only_receives_is_not_connected() -> None:
    one, other = make_buckets('other'), make_buckets('one')
    exchange(one, other, 10.0)
    for n in range(20):
        now = 10.0 + n * 0.1
        one.build_update('other', now)
        one.apply_update('other', *other.build_update('one', now), now)
    assert not one.is_connected('other', now)


def test_a_new_daemon_does_not_count_past_spending_of_others() -> None:
    old = make_buckets('one')
    for n in range(100):
        old.take('a', 100, 10.0 + n * 0.1)
    new = make_buckets('other', now=20.0)
    exchange(new, old, 20.5)
    assert new.get_level('a', 20.5) >= 0.0


def test_a_standby_daemon_adopts_the_remaining_level() -> None:
    busy, idle = make_buckets('one'), make_buckets('other')
    assert idle.get_level('a', 10.0) == RATE.burst / 2
    busy.set_sharers([], 10.0)
    spend_all(busy, 10.0)
    busy.set_sharers(['one'], 10.0)
    exchange(idle, busy, 10.0)
    assert idle.get_level('a', 10.0) <= busy.get_level('a', 10.0) + RATE.burst / 2


def test_a_lower_rate_applies_at_once_and_forgets_old_deficits() -> None:
    book = make_buckets()
    spend_all(book, 10.0)
    lower = buckets.Rate(100, 100)
    book.configure({'a': lower}, 10.0)
    assert book.get_level('a', 12.0) == pytest.approx(
        100 * 2.0 - TOLERANCE.compute_excess(lower) * buckets.GRACE_SHARE, abs=1
    )
    assert book.get_level('a', 30.0) == lower.burst
    book.configure({'a': RATE}, 30.0)
    assert book.get_level('a', 32.0) == RATE.burst


def test_after_a_suspension_no_daemon_counts_as_connected() -> None:
    one, other = make_buckets('other'), make_buckets('one')
    exchange(one, other, 10.0)
    assert one.compute_share(10.1) == 1.0
    assert one.compute_share(15.0) == 0.5


def test_a_new_daemon_that_knows_no_others_uses_a_small_share() -> None:
    book = make_buckets(now=10.0)
    assert book.compute_share(11.0) == 1 / buckets.ASSUMED_DAEMONS
    assert book.compute_share(10.0 + buckets.STARTUP_SECONDS) == 1.0


def test_reports_received_before_the_rates_are_no_new_spending() -> None:
    """Guards against a new process counting another's total spending as just spent."""
    old = make_buckets('one')
    for n in range(100):
        old.take('a', 100, 10.0 + n * 0.1)
    new = buckets.SharedBuckets(TOLERANCE, 0.1, 20.0)
    new.set_sharers(['other'], 20.0)
    exchange(new, old, 20.1)
    new.configure({'a': RATE}, 20.2)
    old.take('a', 100, 20.2)
    exchange(new, old, 20.3)
    assert new.get_level('a', 20.3) >= 0.0


def test_a_reconnected_daemon_does_not_spread_the_level_of_its_small_share() -> None:
    """Guards against adopting the remainder of its share as the level of the whole bucket."""
    names = [f'd{n}' for n in range(8)]
    books = {n: make_buckets(*(x for x in names if x != n)) for n in names}

    def exchange_all(reached: list[str], now: float) -> None:
        for _ in range(3):
            for one in reached:
                for other in reached:
                    if one != other:
                        books[other].apply_update(one, *books[one].build_update(other, now), now)

    exchange_all(names, 10.0)
    exchange_all(names[1:], 12.0)
    spend_all(books['d0'], 12.0)
    exchange_all(names, 12.1)
    spent_disconnected = (RATE.burst + GRACE) / 8
    assert books['d1'].get_level('a', 12.1) >= RATE.burst - spent_disconnected - 10


def test_starting_daemons_that_lose_connections_count_nothing_twice() -> None:
    """Guards against counting the same spending twice: in an adopted level and in later reports.

    After all daemons had started on a busy machine, levels fell by millions and no request was
    served.
    """
    names = [f'd{n}' for n in range(12)]
    books = {n: buckets.SharedBuckets(TOLERANCE, 0.1, 10.0) for n in names}
    for name, book in books.items():
        book.configure({'a': RATE}, 10.0)
        book.set_sharers((n for n in names if n != name), 10.0)
    spent = 0
    rng = random.Random(1)
    for step in range(200):
        now = 10.0 + step * 0.05
        for name in rng.sample(names, 6):
            spent += 20 * (books[name].take('a', 20, now) == 0.0)
            for other in rng.sample(names, 3):
                if other != name:
                    books[other].apply_update(name, *books[name].build_update(other, now), now)
    initial = EXCESS * buckets.INITIAL_SHARE
    left = initial + RATE.per_second * 10.0 - spent
    for book in books.values():
        assert book.get_level('a', 20.0) >= min(left, 0.0) - RATE.per_second
