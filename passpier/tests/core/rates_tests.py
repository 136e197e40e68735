"""Event rates, and the active daemons chosen by them."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from passpier.core import entries, members, rates


def make_member(number: int, domain: str, capacity: float = 1.0) -> members.Member:
    return members.Member(
        f'vm-{number}', f'i{number}', f'10.0.0.{number}', 80, 90, domain, capacity
    )


def test_a_rate_rises_at_once_and_falls_slowly() -> None:
    meter = rates.Meter(0.0)
    for _ in range(50):
        meter.note()
    assert meter.read(0.5) == 100.0
    assert 70.0 < meter.read(1.0) < 100.0
    for second in range(2, 60):
        meter.read(float(second))
    assert meter.read(60.0) == 0.0


@hypothesis.given(st.lists(st.integers(0, 500), max_size=20))
def test_a_rate_never_exceeds_the_highest_count(counts: list[int]) -> None:
    meter = rates.Meter(0.0)
    for second, count in enumerate(counts, 1):
        for _ in range(count):
            meter.note()
        assert count <= meter.read(float(second)) <= max(counts)


def test_a_few_large_vms_per_domain_are_active() -> None:
    serving = [make_member(n, f'd{n % 2}', 2.0 if n < 4 else 0.5) for n in range(40)]
    active = entries.choose_active(serving, {})
    assert len(active) == 2 * entries.MIN_ACTIVE
    assert {f'vm-{n}' for n in range(4)} <= {m.name for m in active}


def test_more_vms_become_active_with_the_request_rate() -> None:
    serving = [make_member(n, 'd0') for n in range(40)]
    busy = {m.incarnation: entries.REQUESTS_PER_CORE / 4 for m in serving}
    assert len(entries.choose_active(serving, busy)) == 10
    busy = {m.incarnation: 10 * entries.REQUESTS_PER_CORE for m in serving}
    assert len(entries.choose_active(serving, busy)) == 40


@hypothesis.given(st.integers(1, 60), st.integers(0, 59))
def test_a_lost_daemon_is_replaced_by_the_next_one(size: int, lost: int) -> None:
    serving = [make_member(n, 'd0') for n in range(size)]
    before = entries.choose_active(serving, {})
    rest = [m for m in serving if m.name != f'vm-{lost}']
    after = entries.choose_active(rest, {})
    assert len(after) == min(len(rest), entries.MIN_ACTIVE)
    assert len(set(before) - set(after)) <= 1


def test_the_number_of_listed_entries_is_limited() -> None:
    serving = [make_member(n, f'd{n}') for n in range(100)]
    listed = entries.choose_near(entries.choose_active(serving, {}), 'd5')
    assert len(listed) == entries.MAX_LISTED
