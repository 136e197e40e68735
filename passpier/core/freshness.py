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

URGENT_WAIT_MIN = 0.02
"""The same, where a longer wait would make the knowledge stale."""

BATCH_DELAY = 0.1
"""Maximum seconds between a change and the next watch, so that further changes come in one
response."""

BOUND_MARGIN = 0.5
"""Safety margin before the bound in seconds, for latency to the upstream and late timers."""

WAIT_SPREAD = 0.5
"""Share of the maximum wait that is jitter. A change wakes all daemons at once; with equal waits
their proofs would stay the same age, instead of one of them always having a recent one."""

RENEWAL_SHARE = 0.75
"""Maximum age of the last proof when the next one is available, as a share of the bound."""

RELAY_SECONDS = 0.65
"""Seconds that a proof may take from a process that watches to all others: they ask several times a
second, and watch themselves if that is not enough."""

TIMER_MARGIN = 0.1
"""Seconds by which a new proof has to precede the refusal, for late timers."""

LATENCY_ASSUMED = 0.05
"""Latency of a call in seconds before any was measured."""

LATENCY_SHARE_MAX = 0.25
"""Maximum share of the refusal age that counts as latency, as after a suspension of the VM."""

LATENCY_DECAY = 0.9
"""Factor by which the measured latency decreases with each faster call."""

REWRITE_SECONDS = 1.0
"""Seconds after a return of the registry from an older copy within which the operator writes again
what the copy lacks. Until then, its state does not prove that a revocation would be known. A
process that has just started can't tell when the registry last returned."""

BOUND_MIN = 0.8
"""Shortest bound that can be kept, in seconds, at a latency of `LATENCY_ASSUMED`."""


class Freshness(msgspec.Struct):
    """The age of the newest proof and the bound within which a key revocation must be known.

    After a return of the registry from an older copy, proofs are relayed as before, but cover
    revocations only once the operator has had the time to write them again.
    """

    bound: float
    proved_at: float = float('-inf')
    covered_at: float = float('-inf')
    """The newest proof that covers revocations."""

    covers_from: float = float('-inf')
    """The time from which on proofs cover them."""

    latency: float = LATENCY_ASSUMED
    """Latency of recent calls in seconds."""

    def prove(self, at: float) -> None:
        """Record that the state at `at` is known completely."""
        self.proved_at = max(self.proved_at, at)
        if at >= self.covers_from:
            self.covered_at = max(self.covered_at, at)

    def note_return(self, now: float) -> None:
        """Record that the registry has returned from an older copy, which was learnt at `now`."""
        self.covers_from = now + REWRITE_SECONDS

    def note_covering(self) -> None:
        """Record that the state known has what the registry lacked after its last return."""
        self.covers_from = float('-inf')
        self.covered_at = max(self.covered_at, self.proved_at)

    @property
    def needs_mark(self) -> bool:
        """Return whether proofs cover revocations, which processes that start can't know yet."""
        return self.covered_at >= self.covers_from > float('-inf')

    def prove_by_watch(self, sent_at: float, wait: float, answered_at: float, empty: bool) -> None:
        """Record a finished watch."""
        completed = empty and answered_at - sent_at >= wait
        self.prove(sent_at + wait if completed else sent_at)
        if completed:
            latency = max(answered_at - sent_at - wait, self.latency * LATENCY_DECAY)
            self.latency = min(latency, self.refusal_age * LATENCY_SHARE_MAX)

    def compute_age(self, now: float) -> float:
        """Return the seconds since the newest proof."""
        return now - self.proved_at

    def compute_revocation_age(self, now: float) -> float:
        """Return the seconds since the newest proof that covers revocations."""
        return now - self.covered_at

    def is_fresh(self, now: float) -> bool:
        """Return whether any revocation older than the bound would be known."""
        return self.compute_revocation_age(now) <= self.refusal_age

    @property
    def refusal_age(self) -> float:
        """The age from which keys are refused."""
        return self.bound - BOUND_MARGIN

    @property
    def renewal_age(self) -> float:
        """The age of a proof at which the next one is due at all processes."""
        relayed = max(self.refusal_age - RELAY_SECONDS, self.refusal_age / 2)
        return min(self.bound * RENEWAL_SHARE, relayed - self.latency)

    @property
    def fallback_age(self) -> float:
        """The age of relayed proofs from which a process has to watch itself."""
        return self.refusal_age - TIMER_MARGIN - WAIT_MIN - 2 * self.latency

    def choose_wait(self, now: float, jitter: float) -> float:
        """Return the seconds for which the next watch may wait; `jitter` is from 0 to 1.

        If it brings a change at its end, there is still time for another one.
        """
        age = self.compute_revocation_age(now)
        longest = min(WAIT_MAX * (1 - WAIT_SPREAD * jitter), max(0.0, self.renewal_age))
        return max(self._choose_shortest_wait(age), min(longest, self.renewal_age - age))

    def choose_pause(self, now: float) -> float:
        """Return the seconds to wait before the next watch after one that brought a change."""
        left = self._compute_time_left(self.compute_revocation_age(now)) - URGENT_WAIT_MIN
        return min(BATCH_DELAY, max(0.0, left))

    def _choose_shortest_wait(self, age: float) -> float:
        if age > self.refusal_age:
            # Too late already: the registry is slow or away, and must not be flooded.
            return WAIT_MIN
        return min(WAIT_MIN, max(URGENT_WAIT_MIN, self._compute_time_left(age)))

    def _compute_time_left(self, age: float) -> float:
        """Return how long a watch may still wait for its response to be in time."""
        return self.refusal_age - TIMER_MARGIN - self.latency - age
