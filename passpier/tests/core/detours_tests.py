"""Addresses that are reached through peers, and when the direct path is tried again."""

from __future__ import annotations

from passpier.core import detours

ADDRESS = '10.0.0.1:80'


def begin(known: detours.Detours, now: float, proxy: str = 'peer:1') -> bool:
    return known.begin(ADDRESS, proxy, 'r1', now)


def test_an_address_is_reached_through_its_peer_until_the_detour_ends() -> None:
    known = detours.Detours()
    assert known.get_proxy(ADDRESS) == ''
    assert begin(known, 0.0)
    assert known.get_proxy(ADDRESS) == 'peer:1'
    assert not begin(known, 1.0)
    assert begin(known, 2.0, 'peer:2')
    assert known.list_proxies() == {'peer:2'}
    assert known.end(ADDRESS, 3.0)
    assert known.get_proxy(ADDRESS) == ''
    assert not known.end(ADDRESS, 3.0)


def take_due(known: detours.Detours, now: float) -> list[str]:
    return [address for address, _ in known.take_due(now, 100)]


def test_one_check_is_due_in_each_interval() -> None:
    known = detours.Detours()
    begin(known, 0.0)
    assert not take_due(known, 0.5)
    assert take_due(known, detours.CHECK_INTERVAL) == [ADDRESS]
    assert not take_due(known, detours.CHECK_INTERVAL)
    assert take_due(known, 2 * detours.CHECK_INTERVAL) == [ADDRESS]


def test_the_checks_of_many_detours_take_turns() -> None:
    known = detours.Detours()
    for number in range(10):
        known.begin(f'10.0.0.{number}:80', 'peer:1', 'r', 0.0)
    first = [address for address, _ in known.take_due(5.0, 6)]
    second = [address for address, _ in known.take_due(5.25, 6)]
    assert len(first) == 6
    assert len(set(first + second)) == 10


def test_all_paths_are_checked_when_one_works_again() -> None:
    known = detours.Detours()
    begin(known, 0.0)
    known.check_all(0.1)
    assert take_due(known, 0.1) == [ADDRESS]


def lose_again(known: detours.Detours, now: float) -> float:
    """Begin a detour and return its interval."""
    begin(known, now)
    ((_, detour),) = known.take_due(now + detours.CHECK_INTERVAL_MAX, 1)
    return detour.interval


def test_a_path_that_is_soon_lost_again_is_checked_less_often() -> None:
    known = detours.Detours()
    now = 0.0
    intervals = []
    for _ in range(6):
        intervals.append(lose_again(known, now))
        now += 1.0
        known.end(ADDRESS, now)
        now += 1.0
    assert intervals == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert lose_again(known, now + detours.FLAP_SECONDS + 1.0) == detours.CHECK_INTERVAL


def test_nothing_is_kept_of_a_forgotten_address() -> None:
    known = detours.Detours()
    begin(known, 0.0)
    known.end(ADDRESS, 1.0)
    begin(known, 2.0)
    known.forget(ADDRESS)
    assert len(known) == 0
    assert lose_again(known, 3.0) == detours.CHECK_INTERVAL
