"""Retry budgets, which bound amplification, and jittered backoff."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable

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

RECENT_SHARE = 0.6
"""Share of a window, its last part, whose requests count towards what can be saved. A retry may
arrive seconds after it was sent, when the requests before that part count in no window."""

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


@dataclasses.dataclass(eq=False, slots=True)
class Hold:
    """A retry that is held for an attempt until it is sent, released or withdrawn."""

    on_withdrawn: Callable[[Hold], None]
    """Called when the budget no longer covers the retry, which may then not be sent."""


class SharedBudget:
    """One process's share of a retry budget that all processes keep without coordination.

    In each window, all processes together may send `ratio` times their requests plus `slack`
    retries. A process earns retries with time and with each request, and can save a part of those
    of a window. It starts without any, so that a restart never adds to what is sent.

    A retry that is held for an attempt counts as saved until the attempt has been sent. What can be
    saved falls with the requests, and the retries held last are withdrawn once it covers fewer.

    A replica may read much later what was sent to it, even if the attempt was given up meanwhile.
    Retries that have been sent and may still arrive take the place of others that could be saved.
    """

    def __init__(self, ratio: float, slack: float, window: float, started_at: float) -> None:
        """`started_at` is the start of the process, which has sent no retry since then."""
        self._requests: collections.deque[float] = collections.deque()
        self._balance = 0.0
        self._holds: dict[Hold, None] = {}
        """The held retries, in the order in which they were obtained."""

        self._earned_until = started_at
        self.unanswered = 0
        """The number of retries that have been sent and may still arrive."""

        self.configure(ratio, slack, window)

    @property
    def requests(self) -> int:
        """The number of recent requests, which count towards what can be saved."""
        return len(self._requests)

    @property
    def held(self) -> int:
        """The number of retries held for attempts that have not been sent."""
        return len(self._holds)

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
        self.update(now, processes)
        return self._balance - len(self._holds)

    def compute_limit(self, now: float, processes: int) -> float:
        """Return how many retries may be saved; `processes` is the number that share the slack."""
        self._forget(now)
        slack = self._slack / max(1, processes)
        return (slack + self._ratio * len(self._requests)) * SAVED_SHARE

    def has_any(self, now: float, processes: int) -> bool:
        """Return whether a retry is left; `processes` is the number that share the slack."""
        return self.compute_left(now, processes) >= 1.0

    def hold(self, now: float, processes: int, on_withdrawn: Callable[[Hold], None]) -> Hold | None:
        """Return a held retry if any is left."""
        if not self.has_any(now, processes):
            return None
        hold = Hold(on_withdrawn)
        self._holds[hold] = None
        return hold

    def release(self, hold: Hold) -> None:
        """Return a held retry that is not used."""
        del self._holds[hold]

    def spend(self, hold: Hold) -> None:
        """Count a held retry as sent."""
        del self._holds[hold]
        self._balance -= 1.0

    def charge(self) -> None:
        """Count a retry that was sent without having been held."""
        self._balance -= 1.0

    def update(self, now: float, processes: int) -> None:
        """Earn the retries of the time since the last update, and drop those above the limit.

        What is held is not exempt: it was obtained while there were more requests, or fewer
        processes, and would come on top of what the present ones allow.
        """
        windows = max(0.0, now - self._earned_until) / self._window
        self._balance += self._slack / max(1, processes) * (1 - SAVED_SHARE) * windows
        self._earned_until = now
        limit = max(0.0, self.compute_limit(now, processes) - self.unanswered)
        self._balance = min(self._balance, limit)
        withdrawn = []
        while self._holds and len(self._holds) > self._balance:
            withdrawn.append(self._holds.popitem()[0])
        for hold in withdrawn:
            hold.on_withdrawn(hold)

    def _forget(self, now: float) -> None:
        """Drop the requests that are not recent."""
        while self._requests and self._requests[0] <= now - self._window * RECENT_SHARE:
            self._requests.popleft()


class RequestRetries:
    """The retries of one request: one held for its next attempt, and one reserved for later."""

    def __init__(self, budget: SharedBudget) -> None:
        self._budget = budget
        self.sent = 0
        """The number of attempts that were sent."""

        self._settled = 0
        """The number of these that have arrived or never will."""

        self._held: Hold | None = None
        self._reserved: Hold | None = None
        self.on_withdrawn: Callable[[], None] = lambda: None
        """Called when the retry held for the next attempt has been withdrawn."""

    @property
    def needs_retry(self) -> bool:
        """Whether the next attempt needs a retry; the first one doesn't."""
        return self.sent > 0

    @property
    def unanswered(self) -> int:
        """The number of retries that may still arrive; the first attempt to arrive is none."""
        return max(0, self.sent - max(1, self._settled))

    def has_any(self, now: float, processes: int) -> bool:
        """Return whether the request has a retry or can get one."""
        can_hold = self._budget.has_any(now, processes)
        return can_hold or self._held is not None or self._reserved is not None

    def hold(self, now: float, processes: int) -> bool:
        """Hold a retry for the next attempt, the reserved one if there is one; return success."""
        self._budget.update(now, processes)
        if self._held is None:
            self._held, self._reserved = self._reserved, None
        if self._held is None:
            self._held = self._budget.hold(now, processes, self._withdraw)
        return self._held is not None

    def reserve(self, now: float, processes: int) -> bool:
        """Reserve a retry for later, until `release` is called; return success."""
        if self._reserved is None:
            self._reserved = self._budget.hold(now, processes, self._withdraw)
        return self._reserved is not None

    def note_sent(self) -> bool:
        """Count an attempt that was sent; return false if it should have had a retry and had none.

        The first one needs no retry.
        """
        is_paid = self._held is not None or not self.needs_retry
        if self._held is not None:
            self._budget.spend(self._held)
        elif self.needs_retry:
            self._budget.charge()
        self._held = None
        self._count(sent=1)
        return is_paid

    def note_settled(self) -> None:
        """Count one of the attempts as settled: it has arrived, or it never will."""
        self._count(settled=1)

    def _count(self, sent: int = 0, settled: int = 0) -> None:
        """Count attempts, and tell the budget how many more retries may still arrive."""
        before = self.unanswered
        self.sent += sent
        self._settled += settled
        self._budget.unanswered += self.unanswered - before

    def release(self) -> None:
        """Return the reserved retry, if there is one."""
        if self._reserved is not None:
            self._budget.release(self._reserved)
            self._reserved = None

    def close(self) -> None:
        """Return all retries that were not used."""
        self.release()
        self.release_held()

    def release_held(self) -> None:
        """Return the retry held for the next attempt, if there is one."""
        if self._held is not None:
            self._budget.release(self._held)
            self._held = None

    def _withdraw(self, hold: Hold) -> None:
        """Forget a retry that the budget has withdrawn."""
        if hold is self._reserved:
            self._reserved = None
            return
        self._held = None
        self.on_withdrawn()
