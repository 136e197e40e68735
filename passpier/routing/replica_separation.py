"""Restricts the candidates of requests so that long prompts don't pause short urgent streams."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

import msgspec

from passpier.core import pool_demand, replicas, routes, separation
from passpier.daemon import calls, metrics
from passpier.routing import pools

log = logging.getLogger(__name__)

DIVIDE_INTERVAL = 0.25
"""Seconds for which a partition is reused unless one of its replicas is lost."""

REASON_LOGGED_INTERVAL = 5.0
"""Minimum seconds between two log lines on a new reason for the same set."""

MAX_LOGGED_REPLICAS = 5
"""Maximum number of replicas that were added or removed in a log line."""


class _Partition(msgspec.Struct):
    """The partition of one service and the configuration that it is based on."""

    separator: separation.Separator
    event_gap: float
    current: separation.Separation = separation.Separation()
    reserved: list[replicas.Replica] = []
    divided_at: float = float('-inf')
    logged_reason: str = ''
    logged_at: float = float('-inf')


class ReplicaSeparation:
    """A filter of candidates that keeps the partition of each service with prompts."""

    def __init__(
        self,
        replica_pools: pools.Pools,
        get_configuration: Callable[[], routes.Configuration | None],
        get_picture: Callable[[str, float], pool_demand.Picture | None],
        count_vms: Callable[[float], int],
        counters: metrics.Metrics,
    ) -> None:
        self._pools = replica_pools
        self._get_configuration = get_configuration
        self._get_picture = get_picture
        self._count_vms = count_vms
        self._counters = counters
        self._configuration: routes.Configuration | None = None
        self._partitions: dict[str, _Partition] = {}

    def select(
        self, call: calls.Call, available: Sequence[replicas.Replica], now: float
    ) -> Sequence[replicas.Replica]:
        """Return the candidates for a call; it waits if there are none."""
        if not call.job.prompt_tokens:
            return available
        configuration = self._get_configuration()
        if configuration is not self._configuration:
            self._apply_configuration(configuration)
        partition = self._partitions.get(call.service.pool)
        if partition is None:
            return available
        if now - partition.divided_at >= DIVIDE_INTERVAL or self._has_lost(partition):
            self._divide(call.service.pool, partition, now)
        if not partition.current.reserved:
            return available
        selected = partition.separator.select(call.job, available, partition.current, now)
        # A retry or a resumed stream may be limited to replicas that are all reserved. It must not
        # wait for the others.
        if not selected and (call.progress.attempts or call.software is not None):
            return available
        return selected

    def _has_lost(self, partition: _Partition) -> bool:
        known = self._pools.replicas
        return any(known.get(r.name) is not r or r.leaving for r in partition.reserved)

    def _apply_configuration(self, configuration: routes.Configuration | None) -> None:
        """Keep the partitions of the services for which the relevant configuration is the same."""
        self._configuration = configuration
        before, self._partitions = self._partitions, {}
        for service in configuration.services.values() if configuration is not None else ():
            urgent = find_urgent(configuration, service)
            if urgent is None:
                continue
            partition = before.get(service.name)
            if partition is None or urgent != (partition.separator.priority, partition.event_gap):
                # The old set stays for the log line and the metric of the next change.
                current = partition.current if partition is not None else separation.Separation()
                separator = separation.Separator(service.name, urgent[0])
                partition = _Partition(separator, urgent[1], current)
            self._partitions[service.name] = partition
        for name in before.keys() - self._partitions.keys():
            self._counters.reserved_replicas.set({'service': name}, 0)

    def _divide(self, service: str, partition: _Partition, now: float) -> None:
        serving = self._pools.list_serving(service)
        picture = self._get_picture(service, now)
        scaled_by = 1
        if picture is not None and picture.vms == 1:
            # Without data from peers, they are assumed to have as much demand each.
            scaled_by = self._count_vms(now)
            picture = separation.scale(picture, scaled_by)
        divided = partition.separator.divide(serving, picture, partition.event_gap, now)
        partition.divided_at = now
        partition.reserved = [r for r in serving if r.name in divided.reserved]
        before, partition.current = partition.current.reserved, divided
        reason = partition.separator.assessment.reason
        is_due = now - partition.logged_at >= REASON_LOGGED_INTERVAL
        if divided.reserved == before and (reason == partition.logged_reason or not is_due):
            return
        partition.logged_reason, partition.logged_at = reason, now
        number = len(divided.reserved)
        self._counters.reserved_replicas.set({'service': service}, number)
        inputs = partition.separator.assessment
        log.info(
            'reserved replicas',
            extra={
                'service': service,
                'number': number,
                'number_before': len(before),
                'added': sorted(divided.reserved - before)[:MAX_LOGGED_REPLICAS],
                'removed': sorted(before - divided.reserved)[:MAX_LOGGED_REPLICAS],
                'reason': inputs.reason,
                'wanted': inputs.wanted,
                'serving': len(serving),
                'urgent_slots': round(inputs.slots, 1),
                'urgent_prefill_rate': round(inputs.prefill_rate),
                'urgent_prefill': round(inputs.urgent_prefill),
                'other_prefill': round(inputs.other_prefill),
                'pause': round(inputs.pause, 3),
                'paused_share': round(inputs.paused_share, 3),
                'event_gap': partition.event_gap,
                'vms': picture.vms if picture is not None else 0,
                'scaled_by': scaled_by,
                'age': round(picture.age, 3) if picture is not None else None,
            },
        )


def find_urgent(
    configuration: routes.Configuration | None, service: routes.Service
) -> tuple[int, float] | None:
    """Return the most urgent priority of a service's routes, and the longest pause of these.

    `None` if the service has no prompts or no routes; the pause is 0 if it is not limited.
    """
    if configuration is None or service.engine is None:
        return None
    own = [r for r in configuration.routes if any(s.service == service.name for s in r.shares)]
    if not own:
        return None
    priority = min(r.priority for r in own)
    gaps = [r.event_gap for r in own if r.priority == priority and r.event_gap > 0]
    return priority, min(gaps, default=0.0)
