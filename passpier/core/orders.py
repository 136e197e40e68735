"""Orders to upstreams: which ones are needed, and when they may be given.

An order contains the wanted state, never a change, and a fencing token. For upstreams that don't
check the token, a new lease holder waits for the longest possible order of its predecessor, and any
effect of a late order is detected by comparing the observed with the wanted state, and corrected.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

LONGEST_ORDER = 30.0
"""Maximum duration of an order in seconds, after which it has certainly ended."""


class Wanted(msgspec.Struct, frozen=True):
    """The state that an upstream should be in."""

    upstream: str
    model: str
    weight_version: str
    adapters: tuple[str, ...]
    checks_fencing: bool


class Observed(msgspec.Struct, frozen=True):
    """The state that an upstream reports."""

    upstream: str
    weight_version: str


class OrderBook(msgspec.Struct):
    """The orders of one lease holder, with at most one open order per upstream."""

    fence: int
    held_since: float
    max_loads: int = 2
    open: dict[str, float] = msgspec.field(default_factory=dict)

    def plan(
        self, wanted: Sequence[Wanted], observed: Sequence[Observed], serving: int, now: float
    ) -> list[Wanted]:
        """Return the orders to give now, limited by the capacity of the weight store.

        At most one fewer than `serving` replicas load at the same time, but one always may, so that
        a pool never loads new weights on all its replicas at once.
        """
        versions = {o.upstream: o.weight_version for o in observed}
        for item in wanted:
            if versions.get(item.upstream) == item.weight_version:
                # The order was carried out, even if its response was lost.
                self.finish(item.upstream)
        available = min(self.max_loads, max(1, serving - 1)) - len(self.open)
        orders: list[Wanted] = []
        for item in wanted:
            if len(orders) >= available:
                break
            if versions.get(item.upstream) in (None, item.weight_version):
                continue
            if item.upstream in self.open or not self._may_order(item, now):
                continue
            orders.append(item)
            self.open[item.upstream] = now
        return orders

    def finish(self, upstream: str) -> None:
        """Close an order that has ended."""
        self.open.pop(upstream, None)

    def expire(self, now: float) -> None:
        """Close orders without a response once they have certainly ended."""
        for upstream in [u for u, at in self.open.items() if now - at > LONGEST_ORDER]:
            del self.open[upstream]

    def _may_order(self, item: Wanted, now: float) -> bool:
        return item.checks_fencing or now - self.held_since >= LONGEST_ORDER
