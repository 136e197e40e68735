"""Levels of requests by the priorities of their accounts and routes."""

from __future__ import annotations

import pytest

from passpier.core import priorities


def test_the_account_takes_precedence() -> None:
    assert priorities.combine(0, 2) < priorities.combine(1, 0)


def test_routes_decide_between_requests_of_equal_accounts() -> None:
    """Guards against an account's priority that hides the route's.

    Short urgent requests waited behind long ones where all accounts have a priority.
    """
    assert priorities.combine(1, 0) < priorities.combine(1, 1) < priorities.combine(1, 2)


def test_routes_decide_without_accounts() -> None:
    levels = [priorities.combine(None, route) for route in range(3)]
    assert levels == sorted(set(levels))
    assert levels[-1] <= priorities.LEAST_URGENT


@pytest.mark.parametrize('account', [None, -1, 0, 1, 9])
@pytest.mark.parametrize('route', [-1, 0, 1, 2, 7])
def test_levels_are_in_range_and_tell_the_route(account: int | None, route: int) -> None:
    level = priorities.combine(account, route)
    assert 0 <= level <= priorities.LEAST_URGENT
    assert priorities.get_route_priority(level) == min(max(0, route), 2)
