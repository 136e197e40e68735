"""Enforces the request limits announced by replicas over all daemons without coordination.

A replica that announces a limit gets requests from a few daemons only: the first ones, by
rendezvous hashing, of the daemons that take requests. Each of them has an equal share of the limit
as a token bucket, and there are at most as many of them as requests may come at once. So the limit
holds whatever they know of each other's requests and whichever messages are lost.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passpier.core import rendezvous

MIN_LIMIT = 0.1
"""Minimum requests per second sent to a replica with a lower limit: only its responses show when
the limit is raised."""

MIN_BURST = 2.0
"""Burst of all daemons together at any limit, in requests."""

BURST_SECONDS = 1.0
"""Additional burst, in seconds of the limit."""

ROUNDING = 1e-9
"""Tolerance for rounding errors, as part of a token."""


class Share(msgspec.Struct, frozen=True):
    """One daemon's share of a limit: requests per second and burst size."""

    rate: float
    burst: float


NO_SHARE = Share(0.0, 1.0)
"""The share of a daemon that may only send the probes that `Throttle.allow_probe` allows."""


def compute_share(replica: str, limit: float, own: str, names: Sequence[str]) -> Share:
    """Return the share of a replica's limit for the daemon `own` among all daemons `names`."""
    limit = max(limit, MIN_LIMIT)
    burst = MIN_BURST + limit * BURST_SECONDS
    senders = int(min(burst, len(names)))
    if own not in rendezvous.find_first(replica, tuple(names), senders):
        return NO_SHARE
    return Share(limit / senders, burst / senders)


class Throttle:
    """Token bucket for one daemon's requests to one replica; empty at first."""

    def __init__(self, share: Share, now: float) -> None:
        self.share = share
        self._level = 0.0
        self._filled_at = now

    def configure(self, share: Share, now: float) -> None:
        """Set a new share; the level is kept up to the new burst size."""
        self._fill(now)
        self.share = share
        self._level = min(self._level, share.burst)

    def give_back(self) -> None:
        """Return a token that was taken for nothing."""
        self._level = min(self._level + 1.0, max(self._level, self.share.burst))

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent."""
        self._fill(now)
        return self._level >= 1.0 - ROUNDING

    def take(self, now: float) -> bool:
        """Take the token for one request; return false if there is none."""
        if not self.has_token(now):
            return False
        self._level -= 1.0
        return True

    def allow_probe(self, now: float) -> None:
        """Allow one request as a probe for the replica's current limit."""
        self._fill(now)
        self._level = max(self._level, 1.0)

    def compute_ready_at(self, now: float) -> float:
        """Return when a request may be sent, or infinity if that is unknown."""
        if self.has_token(now):
            return now
        if not self.share.rate:
            return float('inf')
        return now + (1.0 - self._level) / self.share.rate

    def _fill(self, now: float) -> None:
        earned = max(0.0, now - self._filled_at) * self.share.rate
        self._filled_at = max(now, self._filled_at)
        self._level = min(self._level + earned, max(self._level, self.share.burst))
