"""Retry budgets, which bound amplification, and jittered backoff."""

from __future__ import annotations

import collections
import contextlib
import random

import msgspec

BUDGET_SHARE = 0.1
"""Retries earned by each successful request."""

BUDGET_MAX = 50.0
"""Maximum balance of retries."""

BUDGET_PER_SECOND = 0.2
"""Retries earned per second, so that a daemon with little traffic can retry at all."""

BUDGET_SAFETY_FACTOR = 0.8
"""Share of a shared budget that is used, as windows of daemons differ and restarts reset them."""

BACKOFF_BASE = 0.02
BACKOFF_MAX = 1.0


class RetryBudget(msgspec.Struct):
    """A balance of retries that successful requests increase."""

    balance: float = BUDGET_MAX / 2
    updated_at: float = 0.0

    def note_success(self) -> None:
        """Add the retries earned by a successful request."""
        self.balance = min(BUDGET_MAX, self.balance + BUDGET_SHARE)

    def spend(self, now: float) -> bool:
        """Take one retry; return false if none is left."""
        if self.updated_at:
            earned = max(0.0, now - self.updated_at) * BUDGET_PER_SECOND
            self.balance = min(BUDGET_MAX, self.balance + earned)
        self.updated_at = now
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def compute_backoff(
    attempt: int, rng: random.Random, base: float = BACKOFF_BASE, most: float = BACKOFF_MAX
) -> float:
    """Return the seconds to wait before a retry; `attempt` is 1 for the first one."""
    # The exponent is bounded, as an outage may last for thousands of attempts.
    bound = min(most, base * 2 ** min(attempt - 1, 16))
    return rng.uniform(bound / 2, bound)


class SharedBudget:
    """One daemon's share of a retry budget that all daemons keep without coordination.

    In each window, all daemons together may send `ratio` times their requests plus `slack` retries.
    Each spends at most `ratio` times its own requests plus an equal share of the slack, so the sum
    holds regardless of which others are alive or reachable.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.configure(ratio, slack, window)
        self._requests: collections.deque[float] = collections.deque()
        self._spent: collections.deque[float] = collections.deque()

    @property
    def requests(self) -> int:
        """The number of requests counted in the current window."""
        return len(self._requests)

    @property
    def spent(self) -> int:
        """The number of retries taken in the current window."""
        return len(self._spent)

    def configure(self, ratio: float, slack: float, window: float) -> None:
        """Set the parameters; requests and retries counted before are kept."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def note_request(self, now: float) -> None:
        """Count a request of a client."""
        self._forget(now)
        self._requests.append(now)

    def spend(self, now: float, daemons: int) -> bool:
        """Take one retry if any is left; `daemons` is the number that share the slack."""
        if not self.has_any(now, daemons):
            return False
        self._spent.append(now)
        return True

    def refund(self, taken_at: float) -> None:
        """Return a retry that was taken at that time and not used."""
        with contextlib.suppress(ValueError):
            self._spent.remove(taken_at)

    def postpone(self, taken_at: float, now: float) -> None:
        """Count a retry that was taken at one time as taken now, when it is used."""
        self.refund(taken_at)
        self._spent.append(now)

    def has_any(self, now: float, daemons: int) -> bool:
        """Return whether a retry is left; `daemons` is the number that share the slack."""
        return self.compute_left(now, daemons) >= 1.0

    def compute_left(self, now: float, daemons: int) -> float:
        """Return the number of retries left; `daemons` is the number that share the slack."""
        self._forget(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, daemons)
        return allowed * BUDGET_SAFETY_FACTOR - len(self._spent)

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._spent):
            while times and times[0] <= now - self._window:
                times.popleft()


class RequestRetries:
    """The retries of one request, of which one can be reserved for later."""

    def __init__(self, budget: SharedBudget) -> None:
        self._budget = budget
        self._reserved_at: float | None = None

    def spend(self, now: float, daemons: int) -> bool:
        """Use the reserved retry, or else take one; return false if none is left."""
        if self._reserved_at is None:
            return self._budget.spend(now, daemons)
        self._budget.postpone(self._reserved_at, now)
        self._reserved_at = None
        return True

    def reserve(self, now: float, daemons: int) -> bool:
        """Take a retry for later; return false if none is left.

        It counts as taken until `release` is called.
        """
        if self._reserved_at is None and self._budget.spend(now, daemons):
            self._reserved_at = now
        return self._reserved_at is not None

    def release(self) -> None:
        """Return the reserved retry, if there is one."""
        if self._reserved_at is not None:
            self._budget.refund(self._reserved_at)
            self._reserved_at = None
