"""Decides which replicas are ordered to load new weights next."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

import msgspec

from passpier.core import replica_processes

LOADING_SHARE = 0.4
"""Share of a model's replicas that may load at the same time; one may always load. The weight
sources are sized for that many loads at full rate, and the other replicas serve the requests
meanwhile."""

ORDER_TIMEOUT = 6.0
"""Seconds after which an order without a recorded end is given again: the longest one takes 5.1 s,
with three attempts without a response and the timeout of its load."""

FAILURE_BACKOFF = 1.0
"""Seconds for which a replica that didn't accept an order is skipped."""


class Wanted(msgspec.Struct, frozen=True):
    """The newest released version of a model's weights."""

    model: str
    version: int


class State(msgspec.Struct, frozen=True):
    """A replica's weights; a replica that is `draining` gets no orders."""

    id: str
    versions: Mapping[str, int]
    draining: bool = False
    started_ms: int = 0
    """Start time of its process in Unix milliseconds."""

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that has these weights."""
        return replica_processes.ReplicaProcess(self.id, self.started_ms)


class Order(msgspec.Struct, frozen=True):
    """An order for a replica to load a version of a model."""

    replica: str
    model: str
    version: int
    number: int
    """Distinguishes orders to the same replica."""

    started_ms: int = 0
    """Start time of the process that has to load, in Unix milliseconds."""

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that has to load; the order doesn't apply to any other one."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class _OpenOrder(msgspec.Struct, frozen=True):
    """An order that may still be carried out."""

    order: Order
    given_at: float


class Rollout:
    """The open orders, at most one per replica process."""

    def __init__(self) -> None:
        self._open: dict[replica_processes.ReplicaProcess, _OpenOrder] = {}
        self._failed_at: dict[replica_processes.ReplicaProcess, float] = {}
        self._count = 0

    def choose(self, wanted: Iterable[Wanted], states: Iterable[State], now: float) -> list[Order]:
        """Return the orders to give now and record them as open."""
        targets = {w.model: w.version for w in wanted}
        known = {s.id: s for s in states}
        serving = [s for s in known.values() if not s.draining]
        sizes = collections.Counter(model for s in serving for model in s.versions)
        self._drop_expired(known, now)
        loading = collections.Counter(o.order.model for o in self._open.values())
        chosen = []
        for process, model in _list_outdated(serving, targets):
            at_limit = loading[model] >= max(1, int(sizes[model] * LOADING_SHARE))
            failed_at = self._failed_at.get(process, float('-inf'))
            if at_limit or process in self._open or now - failed_at < FAILURE_BACKOFF:
                continue
            self._count += 1
            order = Order(process.id, model, targets[model], self._count, process.started_ms)
            self._open[process] = _OpenOrder(order, now)
            loading[model] += 1
            chosen.append(order)
        return chosen

    def is_pending(self, wanted: Iterable[Wanted], states: Iterable[State]) -> bool:
        """Return whether some replica still lacks a released version."""
        targets = {w.model: w.version for w in wanted}
        return bool(_list_outdated((s for s in states if not s.draining), targets))

    def end(self, order: Order) -> None:
        """Record that an order was carried out."""
        if self._close(order):
            self._failed_at.pop(order.process, None)

    def fail(self, order: Order, now: float) -> None:
        """Record that an order was not accepted or had no visible effect."""
        if self._close(order):
            self._failed_at[order.process] = now

    def reset(self) -> None:
        """Forget all orders, as another daemon is responsible for them now."""
        self._open.clear()
        self._failed_at.clear()

    def _drop_expired(self, known: Mapping[str, State], now: float) -> None:
        """Drop orders that have timed out or whose replicas have restarted."""

        def is_current(process: replica_processes.ReplicaProcess) -> bool:
            state = known.get(process.id)
            return state is None or state.process == process

        self._open = {
            process: o
            for process, o in self._open.items()
            if is_current(process) and now - o.given_at < ORDER_TIMEOUT
        }
        self._failed_at = {
            process: at for process, at in self._failed_at.items() if is_current(process)
        }

    def _close(self, order: Order) -> bool:
        """Close an order; return false if it isn't open, as its replica may have a newer one."""
        known = self._open.get(order.process)
        if known is None or known.order != order:
            return False
        del self._open[order.process]
        return True


def _list_outdated(
    states: Iterable[State], targets: Mapping[str, int]
) -> list[tuple[replica_processes.ReplicaProcess, str]]:
    """Return processes and models below the wanted version, the most outdated versions first.

    Those are the first to be excluded from routing while they wait.
    """
    outdated = [
        (version, s.process, model)
        for s in states
        for model, version in s.versions.items()
        if version < targets.get(model, 0)
    ]
    outdated.sort(key=lambda entry: entry[0])
    return [(process, model) for _, process, model in outdated]
