"""Freshness of a daemon's knowledge of the registry.

Times are monotonic, in seconds. A read proves the state at the time when it was sent, not when its
response arrived. A watch that returned no changes proves the state at the end of its wait, counted
from when it was sent; an open watch proves nothing.
"""

from __future__ import annotations

import msgspec

WAIT_MAX = 1.0
"""Maximum wait of a watch in seconds. Each watch is a billed call, but each second makes the proof
older, and passing it on to other daemons adds a third of a second."""

WAIT_MIN = 0.1
"""Minimum wait of a watch in seconds, to avoid a tight loop."""

BOUND_MARGIN = 0.5
"""Safety margin before the bound in seconds, for latency to the upstream and late timers."""

WAIT_SPREAD = 0.5
"""Share of the maximum wait that is jitter. A change wakes all daemons at once; with equal waits
their proofs would stay the same age, instead of one of them always having a recent one."""

RENEWAL_SHARE = 0.75
"""Share of the bound at which a new proof should be available."""


class Freshness(msgspec.Struct):
    """The age of the newest proof and the bound within which a key revocation must be known."""

    bound: float
    proved_at: float = float('-inf')

    def prove(self, at: float) -> None:
        """Record that the state at `at` is known completely."""
        self.proved_at = max(self.proved_at, at)

    def prove_by_watch(self, sent_at: float, wait: float, answered_at: float, empty: bool) -> None:
        """Record a finished watch."""
        completed = empty and answered_at - sent_at >= wait
        self.prove(sent_at + wait if completed else sent_at)

    def compute_age(self, now: float) -> float:
        """Return the seconds since the newest proof."""
        return now - self.proved_at

    def is_fresh(self, now: float) -> bool:
        """Return whether any revocation older than the bound would be known."""
        return self.compute_age(now) <= self.bound - BOUND_MARGIN

    def choose_wait(self, now: float, jitter: float) -> float:
        """Return the seconds for which the next watch may wait; `jitter` is from 0 to 1."""
        remaining = self.proved_at + self.bound * RENEWAL_SHARE - now
        longest = WAIT_MAX * (1 - WAIT_SPREAD * jitter)
        return min(longest, max(WAIT_MIN, remaining))
