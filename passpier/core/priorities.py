"""Combines the priorities of client accounts and routes into one level.

The priority of an account takes precedence. Between requests of equal accounts, that of the route
decides: it would have no effect at all in a deployment where every account has a priority.
"""

from __future__ import annotations

ROUTE_STEPS = 3
"""Route priorities that levels tell apart; higher numbers count as the last of them."""

ACCOUNT_STEPS = 3
"""The same for account priorities. Replicas know ten priorities."""

LEVELS = ROUTE_STEPS * ACCOUNT_STEPS

LEAST_URGENT = LEVELS - 1
"""The highest level, which is the least urgent."""


def combine(account_priority: int | None, route_priority: int) -> int:
    """Return the level of a request; 0 is the most urgent.

    Requests of accounts without a priority rank with the accounts that have the route's.
    """
    within = _clamp(route_priority, ROUTE_STEPS)
    base = within if account_priority is None else _clamp(account_priority, ACCOUNT_STEPS)
    return base * ROUTE_STEPS + within


def get_route_priority(level: int) -> int:
    """Return the priority of the route of a request with a level."""
    return level % ROUTE_STEPS


def _clamp(priority: int, steps: int) -> int:
    return min(max(0, priority), steps - 1)
