"""When an elected daemon may give orders to upstreams that don't check fencing tokens.

Two daemons must not give orders within `hold` seconds of each other. The holder of the lease gives
orders only while the lease is certainly valid, counted from when the renewal was sent. A successor
waits for `hold` seconds from its election, which is after the predecessor's lease ended. A daemon
that succeeds itself doesn't have to wait again.
"""

from __future__ import annotations

import msgspec

RENEWALS_PER_LEASE = 5
"""Renewals sent per lease duration, each without waiting for the previous one."""

LEASE_SAFETY_SHARE = 0.2
"""Share of a lease that isn't used, to allow for order latency and clock drift."""


class OrderLease(msgspec.Struct):
    """A daemon's lease for giving orders, with monotonic times in seconds."""

    hold: float
    lease_ttl: float
    token: int = 0
    """Fencing token: the registry's revision of the election; 0 while not elected."""

    renewed_at: float = float('-inf')
    may_order_from: float = float('inf')
    last_token: int = 0
    """Fencing token of the last election that this daemon knows it has won."""

    def elect(self, token: int, sent_at: float, answered_at: float, succeeds: int) -> None:
        """Record a won election; the request for its lease was sent at `sent_at`.

        `succeeds` is the fencing token of the previous election, whoever won it. If it was this
        daemon, no other can have given orders since, so an earlier wait just continues.
        """
        reelected = bool(succeeds) and succeeds == self.last_token
        if not reelected:
            self.may_order_from = answered_at + self.hold
        self.token = token
        self.last_token = token
        self.renewed_at = sent_at

    def renew(self, sent_at: float) -> None:
        """Record a renewal that the registry confirmed."""
        self.renewed_at = max(self.renewed_at, sent_at)

    def resign(self) -> None:
        """Stop giving orders."""
        self.token = 0

    def is_held(self, now: float) -> bool:
        """Return whether the lease is certainly valid."""
        return bool(self.token) and now < self.renewed_at + self.lease_ttl * (
            1 - LEASE_SAFETY_SHARE
        )

    def may_order(self, now: float) -> bool:
        """Return whether an order may be sent now."""
        return self.is_held(now) and now >= self.may_order_from
