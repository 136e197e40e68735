"""Excludes replicas that lack the KV memory for a call."""

from __future__ import annotations

import collections
import logging
from collections.abc import Sequence

from passpier.core import admission, replica_memory, replicas
from passpier.daemon import calls, dispatcher, metrics

log = logging.getLogger(__name__)

USAGE_SECONDS = 0.01
"""Seconds for which the measured memory of a replica is used again, unless this daemon places or
ends a request there. Each check of the queue asks for all waiting calls and all replicas."""


class MemoryFilter:
    """Implements `dispatcher.CandidateFilter` and records the memory of each placement.

    An engine that runs out of memory preempts its newest least urgent request and computes it
    again, so a call waits here instead.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._sizes: dict[str, replica_memory.RequestSizes] = collections.defaultdict(
            replica_memory.RequestSizes
        )
        self._logged: collections.OrderedDict[str, None] = collections.OrderedDict()
        """Calls whose wait was logged, the oldest first."""

        self._usages: dict[str, replica_memory.Usage] = {}
        self._measured_since = float('-inf')

    def select(
        self, call: calls.Call, available: Sequence[replicas.Replica], now: float
    ) -> Sequence[replicas.Replica]:
        """Return the replicas with memory for a call.

        A call that no replica could ever have memory for goes to the one with the most.
        """
        sizes = self._sizes[call.service.pool]
        mean = sizes.get_mean(now)
        if not mean or not call.job.prompt_tokens:
            return available
        priority = call.service.priority
        capacity = max((replica_memory.get_capacity(r) for r in available), default=0)
        need = replica_memory.build_need(call.job, sizes.estimate_tokens(call.job, capacity))
        fitting = [
            r
            for r in available
            if not replica_memory.is_limiting(r, mean)
            or self._get_usage(r, now).has_memory(need, priority)
        ]
        if len(fitting) == len(available):
            return available
        if not fitting and all(
            need.tokens > replica_memory.get_limit(r, priority) for r in available
        ):
            return [max(available, key=lambda r: _rank(r, now))]
        if call.id not in self._logged and not any(replicas.has_room(r, now) for r in fitting):
            self._note_wait(call, need.tokens, available, now)
        return fitting

    def note_placed(self, placement: dispatcher.Placement, queued: bool, now: float) -> None:
        """Record the memory of a placement where memory may run out."""
        call = placement.call
        self._logged.pop(call.id, None)
        replica = placement.replica
        self._usages.pop(replica.name, None)
        if not replica.memory_capacity or not call.job.prompt_tokens:
            return
        sizes = self._sizes[call.service.pool]
        capacity = replica_memory.get_capacity(replica)
        sizes.note(call.job, now, capacity)
        dispatch = replica.dispatches.get(placement.attempt)
        if dispatch is not None and replica_memory.is_limiting(replica, sizes.get_mean(now)):
            tokens = sizes.estimate_tokens(call.job, capacity)
            need = replica_memory.build_need(call.job, tokens)
            dispatch.memory_tokens, dispatch.memory_parts = need.tokens, need.parts

    def note_ended(self, placement: dispatcher.Placement, now: float) -> None:
        """Forget the measured memory of a replica, as a request there has ended."""
        self._usages.pop(placement.replica.name, None)

    def _get_usage(self, replica: replicas.Replica, now: float) -> replica_memory.Usage:
        if now - self._measured_since >= USAGE_SECONDS:
            self._usages.clear()
            self._measured_since = now
        usage = self._usages.get(replica.name)
        if usage is None or usage.replica is not replica:
            usage = self._usages[replica.name] = replica_memory.measure_usage(replica, now)
        return usage

    def _note_wait(
        self, call: calls.Call, tokens: int, available: Sequence[replicas.Replica], now: float
    ) -> None:
        """Log and count, once per call, that only memory keeps it from being placed."""
        if not any(replicas.has_room(r, now) for r in available):
            return
        self._logged[call.id] = None
        # Refused calls are not removed otherwise.
        if len(self._logged) > admission.MAX_WAITING:
            self._logged.popitem(last=False)
        self._counters.memory_waits.inc({'service': call.service.pool})
        best = max(available, key=lambda r: _rank(r, now))
        report = best.memory_report
        log.info(
            'request waits for memory',
            extra={
                'request': call.id,
                'service': call.service.pool,
                'priority': call.service.priority,
                'tokens': tokens,
                'replicas': len(available),
                'upstream': best.name,
                'used': round(replica_memory.estimate_used(best, now)),
                'capacity': replica_memory.get_capacity(best),
                'report_age': round(now - report.received_at, 3) if report else None,
                'peers_age': round(max(ages), 3) if (ages := _list_ages(best, now)) else None,
            },
        )


def _rank(replica: replicas.Replica, now: float) -> tuple[int, float]:
    """Return the key by which replicas are ordered by their memory: all of it, then the free."""
    return replica_memory.get_capacity(replica), -replica_memory.estimate_used(replica, now)


def _list_ages(replica: replicas.Replica, now: float) -> list[float]:
    ages = (now - p.received_at for p in replica.peers.values())
    return [age for age in ages if age < replicas.PEER_LOAD_SECONDS]
