"""Retry budgets, which bound amplification, and jittered backoff."""

from __future__ import annotations

import collections
import random

import msgspec

BUDGET_SHARE = 0.1
"""Retries earned by each successful request."""

BUDGET_MAX = 50.0
"""Maximum balance of retries."""

BUDGET_PER_SECOND = 0.2
"""Retries earned per second, so that a daemon with little traffic can retry at all."""

BUDGET_SAFETY_FACTOR = 0.8
"""Share of a shared budget that is used: a retry may arrive some seconds after it was sent."""

SAVED_SHARE = 0.5
"""Share of a window's retries that can be saved up; the others are earned during the window."""

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
    """One process's share of a retry budget that all processes keep without coordination.

    In each window, all processes together may send `ratio` times their requests plus `slack`
    retries. A process earns retries with time and with each request, and can save a part of those
    of a window. It starts without any, so that a restart never adds to what is sent.

    A retry that is held for an attempt counts as saved until the attempt has been sent.
    """

    def __init__(self, ratio: float, slack: float, window: float, started_at: float) -> None:
        """`started_at` is the start of the process, which has sent no retry since then."""
        self._requests: collections.deque[float] = collections.deque()
        self._balance = 0.0
        self._held = 0
        self._earned_until = started_at
        self.configure(ratio, slack, window)

    @property
    def requests(self) -> int:
        """The number of requests counted in the current window."""
        return len(self._requests)

    @property
    def held(self) -> int:
        """The number of retries held for attempts that have not been sent."""
        return self._held

    def configure(self, ratio: float, slack: float, window: float) -> None:
        """Set the parameters; requests counted and retries saved before are kept."""
        self._ratio = ratio * BUDGET_SAFETY_FACTOR
        self._slack = slack * BUDGET_SAFETY_FACTOR
        self._window = window

    def note_request(self, now: float) -> None:
        """Count a request of a client."""
        self._forget(now)
        self._requests.append(now)
        self._balance += self._ratio * (1 - SAVED_SHARE)

    def compute_left(self, now: float, processes: int) -> float:
        """Return the number of retries left; `processes` is the number that share the slack."""
        self._update(now, max(1, processes))
        return self._balance - self._held

    def compute_limit(self, now: float, processes: int) -> float:
        """Return how many retries may be saved; `processes` is the number that share the slack."""
        self._forget(now)
        slack = self._slack / max(1, processes)
        return (slack + self._ratio * len(self._requests)) * SAVED_SHARE

    def has_any(self, now: float, processes: int) -> bool:
        """Return whether a retry is left; `processes` is the number that share the slack."""
        return self.compute_left(now, processes) >= 1.0

    def hold(self, now: float, processes: int) -> bool:
        """Hold a retry if any is left; `processes` is the number that share the slack."""
        if not self.has_any(now, processes):
            return False
        self._held += 1
        return True

    def release(self) -> None:
        """Return a held retry that is not used."""
        self._held -= 1

    def spend(self) -> None:
        """Count a held retry as sent."""
        self._held -= 1
        self._balance -= 1.0

    def charge(self) -> None:
        """Count a retry that was sent without having been held."""
        self._balance -= 1.0

    def _update(self, now: float, processes: int) -> None:
        """Earn the retries of the time since the last update, and drop those above the limit."""
        windows = max(0.0, now - self._earned_until) / self._window
        self._balance += self._slack / processes * (1 - SAVED_SHARE) * windows
        self._earned_until = now
        limit = self.compute_limit(now, processes)
        self._balance = min(self._balance, max(limit, float(self._held)))

    def _forget(self, now: float) -> None:
        """Drop the requests of before the window."""
        while self._requests and self._requests[0] <= now - self._window:
            self._requests.popleft()


class RequestRetries:
    """The retries of one request: one held for its next attempt, and one reserved for later."""

    def __init__(self, budget: SharedBudget) -> None:
        self._budget = budget
        self._was_sent = False
        self._is_held = False
        self._is_reserved = False

    def has_any(self, now: float, processes: int) -> bool:
        """Return whether the request has a retry or can get one."""
        return self._is_held or self._is_reserved or self._budget.has_any(now, processes)

    def hold(self, now: float, processes: int) -> bool:
        """Hold a retry for the next attempt, the reserved one if there is one; return success."""
        if not self._is_held:
            self._is_held = self._is_reserved or self._budget.hold(now, processes)
            self._is_reserved = False
        return self._is_held

    def reserve(self, now: float, processes: int) -> bool:
        """Reserve a retry for later, until `release` is called; return success."""
        if not self._is_reserved:
            self._is_reserved = self._budget.hold(now, processes)
        return self._is_reserved

    def note_sent(self) -> bool:
        """Count an attempt that was sent; return false if it should have had a retry and had none.

        The first one needs no retry.
        """
        is_paid = self._is_held or not self._was_sent
        if self._is_held:
            self._budget.spend()
        elif self._was_sent:
            self._budget.charge()
        self._was_sent = True
        self._is_held = False
        return is_paid

    def release(self) -> None:
        """Return the reserved retry, if there is one."""
        if self._is_reserved:
            self._budget.release()
            self._is_reserved = False

    def close(self) -> None:
        """Return all retries that were not used."""
        self.release()
        if self._is_held:
            self._budget.release()
            self._is_held = False
