"""Which replicas are to load new weights next."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

LOADING_SHARE = 0.4
"""Part of a model's replicas that may load at the same time, but for one that always may. Weight
sources are laid out for so many at full rate, and the others carry the requests meanwhile."""

ORDER_PATIENCE = 6.0
"""Seconds after which an order whose end was not noted is given again: the longest one takes 5.1 s,
with three tries, each without an answer, and the patience for its load."""

FAILURE_PAUSE = 1.0
"""Seconds for which a replica that did not take an order is passed over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """The newest named version of a model's weights."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """A replica's weights; `draining` ones are left as they are."""

    id: str
    versions: Mapping[str, int]
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A replica that is to load a version of a model."""

    replica: str
    model: str
    version: int
    number: int
    """Tells orders to the same replica apart."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Open:
    """An order that may still have an effect."""

    order: Order
    given_at: float


class Rollout:
    """The orders under way."""

    def __init__(self) -> None:
        self._open: dict[str, _Open] = {}
        self._failed_at: dict[str, float] = {}
        self._count = 0

    def choose(self, wanted: Iterable[Wanted], states: Iterable[State], now: float) -> list[Order]:
        """Return the orders to give now and count them as under way."""
        targets = {w.model: w.version for w in wanted}
        live = [s for s in states if not s.draining]
        sizes = collections.Counter(model for s in live for model in s.versions)
        self._open = {r: o for r, o in self._open.items() if now - o.given_at < ORDER_PATIENCE}
        loading = collections.Counter(o.order.model for o in self._open.values())
        chosen = []
        for replica, model in _list_outdated(live, targets):
            full = loading[model] >= max(1, int(sizes[model] * LOADING_SHARE))
            failed_at = self._failed_at.get(replica, float('-inf'))
            if full or replica in self._open or now - failed_at < FAILURE_PAUSE:
                continue
            self._count += 1
            order = Order(replica, model, targets[model], self._count)
            self._open[replica] = _Open(order, now)
            loading[model] += 1
            chosen.append(order)
        return chosen

    def is_pending(self, wanted: Iterable[Wanted], states: Iterable[State]) -> bool:
        """Return whether some replica still lacks a named version."""
        targets = {w.model: w.version for w in wanted}
        return bool(_list_outdated((s for s in states if not s.draining), targets))

    def end(self, order: Order) -> None:
        """Note that an order is carried out."""
        if self._close(order):
            self._failed_at.pop(order.replica, None)

    def fail(self, order: Order, now: float) -> None:
        """Note that an order was not taken, or had no effect that could be seen."""
        if self._close(order):
            self._failed_at[order.replica] = now

    def reset(self) -> None:
        """Forget all orders: another daemon gives them now."""
        self._open.clear()
        self._failed_at.clear()

    def _close(self, order: Order) -> bool:
        """Return whether an order was still open; its replica may have a newer one by now."""
        known = self._open.get(order.replica)
        if known is None or known.order != order:
            return False
        del self._open[order.replica]
        return True


def _list_outdated(states: Iterable[State], targets: Mapping[str, int]) -> list[tuple[str, str]]:
    """Return replicas and models that lack the wanted version, the most outdated ones first.

    Those are the first that must not be used any more while they wait for their turn.
    """
    lacking = [
        (version, s.id, model)
        for s in states
        for model, version in s.versions.items()
        if version < targets.get(model, 0)
    ]
    lacking.sort(key=lambda entry: entry[0])
    return [(replica, model) for _, replica, model in lacking]
