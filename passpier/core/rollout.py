"""Which replicas are to load new weights next."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

LOADING_SHARE = 0.4
"""Part of a model's replicas that may load at the same time, but for one that always may. Weight
sources are laid out for so many at full rate, and the others carry the requests meanwhile."""

ORDER_PATIENCE = 4.0
"""Seconds after which an order without visible effect is given again."""

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


class Rollout:
    """The orders under way."""

    def __init__(self) -> None:
        self._open: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def choose(self, wanted: Iterable[Wanted], states: Iterable[State], now: float) -> list[Order]:
        """Return the orders to give now and count them as under way."""
        targets = {w.model: w.version for w in wanted}
        live = [s for s in states if not s.draining]
        missing = [
            Order(s.id, model, targets[model])
            for s in live
            for model, version in s.versions.items()
            if version < targets.get(model, 0)
        ]
        sizes = collections.Counter(model for s in live for model in s.versions)
        self._open = {r: at for r, at in self._open.items() if now - at < ORDER_PATIENCE}
        chosen = []
        for order in missing:
            if now - self._failed_at.get(order.replica, float('-inf')) < FAILURE_PAUSE:
                continue
            if len(self._open) >= max(1, int(sizes[order.model] * LOADING_SHARE)):
                break
            if order.replica not in self._open:
                self._open[order.replica] = now
                chosen.append(order)
        return chosen

    def is_pending(self, wanted: Iterable[Wanted], states: Iterable[State]) -> bool:
        """Return whether some replica still lacks a named version."""
        targets = {w.model: w.version for w in wanted}
        return any(
            version < targets.get(model, 0)
            for s in states
            if not s.draining
            for model, version in s.versions.items()
        )

    def end(self, replica: str) -> None:
        """Note that an order is carried out."""
        self._open.pop(replica, None)
        self._failed_at.pop(replica, None)

    def fail(self, replica: str, now: float) -> None:
        """Note that an order was not taken, or had no effect that could be seen."""
        self._open.pop(replica, None)
        self._failed_at[replica] = now

    def reset(self) -> None:
        """Forget all orders: another daemon gives them now."""
        self._open.clear()
        self._failed_at.clear()
