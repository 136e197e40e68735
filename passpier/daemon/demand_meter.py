"""Measures this VM's demand for each service, from the dispatcher's placements and queues."""

from __future__ import annotations

import collections
import heapq
import math
from collections.abc import Callable, Iterator

from passpier.core import admission, pool_demand, priorities
from passpier.daemon import calls, dispatcher

AVERAGE_SECONDS = 2.0
"""Time constant of the rates. Demand changes within a few seconds, and in less than a second a VM
gets only a few requests."""

STREAM_AVERAGE_SECONDS = 10.0
"""Time constant of the rates of streams: pauses are rare, and concern a few streams at a time."""

NEGLIGIBLE_RATE = 0.05
"""Requests per second below which a rate counts as 0, so that it ends after the last request."""

MIN_BUSY_SECONDS = dispatcher.QUEUE_CHECK_INTERVAL
"""Minimum time for which a queue that was used counts as not empty, since requests that waited for
a millisecond say nothing of how many tokens are dequeued per second."""

PREFILL_SAMPLES = 64
"""Number of the latest placements of which the typical long prompt is determined."""

LONG_PROMPT_QUANTILE = 0.9
"""Fraction of the prompts that are shorter than a typical long one."""

SLOT_SAMPLE_WEIGHT = 0.05
"""Weight of a new sample in the mean time in a slot."""


class _PriorityMeter:
    """The requests of one service and priority."""

    def __init__(self) -> None:
        self.running = 0
        self.placed = 0
        """Placements since the last measurement."""

        self.placed_tokens = 0
        """Their tokens to compute."""

        self.dequeued_tokens = 0
        """The prompt tokens of those that were queued."""

        self.request_rate = 0.0
        self.prefill_rate = 0.0
        self.dequeued_average = 0.0
        """Decayed sum of the dequeued tokens."""

        self.prefills: collections.deque[int] = collections.deque(maxlen=PREFILL_SAMPLES)
        self.longest_prefill = 0.0
        self.slot_seconds = 0.0
        self.streams = 0
        """Streams that have ended since the last measurement."""

        self.paused_streams = 0
        self.stream_rate = 0.0
        self.paused_rate = 0.0

    def update(self, elapsed: float, decay: float) -> None:
        """Update the averages at the end of a measurement interval."""
        if self.placed:
            ordered = sorted(self.prefills)
            self.longest_prefill = float(ordered[int(len(ordered) * LONG_PROMPT_QUANTILE)])
        self.request_rate += (self.placed / elapsed - self.request_rate) * (1 - decay)
        self.prefill_rate += (self.placed_tokens / elapsed - self.prefill_rate) * (1 - decay)
        self.dequeued_average = self.dequeued_average * decay + self.dequeued_tokens
        weight = 1 - math.exp(-elapsed / STREAM_AVERAGE_SECONDS)
        self.stream_rate += (self.streams / elapsed - self.stream_rate) * weight
        self.paused_rate += (self.paused_streams / elapsed - self.paused_rate) * weight
        self.placed = self.placed_tokens = self.dequeued_tokens = 0
        self.streams = self.paused_streams = 0
        if self.request_rate < NEGLIGIBLE_RATE:
            self.request_rate = self.prefill_rate = 0.0
            self.stream_rate = self.paused_rate = 0.0


class _ServiceMeter:
    """The requests of one service."""

    def __init__(self, now: float) -> None:
        self.priorities = [_PriorityMeter() for _ in range(priorities.LEVELS)]
        self.measured_at = now
        self.is_idle = False
        """Whether there was no demand at the last measurement and nothing was placed since."""

        self.first_arrival = math.inf
        """Earliest arrival of a request that was dequeued since the last measurement."""

        self.last_dequeued = -math.inf
        self.busy_average = 0.0
        """Decayed sum of the seconds for which the queue was not empty."""

    def update(self, first_waiting: float | None, now: float) -> bool:
        """Update the averages; return whether requests have been queued since the last time.

        `first_waiting` is the earliest arrival of the requests that are queued now, if any.
        """
        is_waiting = first_waiting is not None
        is_used = is_waiting or self.last_dequeued >= self.measured_at
        elapsed = now - self.measured_at
        if elapsed <= 0:
            return is_used
        decay = math.exp(-elapsed / AVERAGE_SECONDS)
        self.busy_average *= decay
        if is_used:
            since = min(self.first_arrival, math.inf if first_waiting is None else first_waiting)
            until = now if is_waiting else self.last_dequeued
            self.busy_average += max(MIN_BUSY_SECONDS, until - max(self.measured_at, since))
        for meter in self.priorities:
            meter.update(elapsed, decay)
        self.first_arrival = math.inf
        self.measured_at = now
        return is_used


class DemandMeter:
    """Observes the dispatcher's placements."""

    def __init__(
        self, list_waiting: Callable[[str], Iterator[admission.Ticket[calls.Call]]]
    ) -> None:
        self._list_waiting = list_waiting
        self._services: dict[str, _ServiceMeter] = {}
        self._running: dict[int, tuple[dispatcher.Placement, float]] = {}
        """By identity, the placements that have not ended, each with its start."""

    def note_placed(self, placement: dispatcher.Placement, queued: bool, now: float) -> None:
        """Record a placement, and whether its call was queued before."""
        call = placement.call
        service = self._services.get(call.service.pool)
        if service is None:
            service = self._services[call.service.pool] = _ServiceMeter(call.arrived_at)
        elif service.is_idle:
            service.is_idle = False
        tokens = placement.choice.miss_tokens
        meter = service.priorities[min(call.service.priority, priorities.LEAST_URGENT)]
        meter.running += 1
        meter.placed += 1
        meter.placed_tokens += tokens
        meter.prefills.append(tokens)
        if queued:
            meter.dequeued_tokens += max(1, call.job.prompt_tokens)
            service.first_arrival = min(service.first_arrival, call.arrived_at)
            service.last_dequeued = now
        self._running[id(placement)] = placement, now

    def note_ended(self, placement: dispatcher.Placement, now: float) -> None:
        """Record the end of a placement."""
        known = self._running.pop(id(placement), None)
        if known is None:
            return
        service = placement.call.service
        meter = self._services[service.pool].priorities[
            min(service.priority, priorities.LEAST_URGENT)
        ]
        seconds = now - known[1]
        meter.running -= 1
        mean = meter.slot_seconds or seconds
        meter.slot_seconds = mean + SLOT_SAMPLE_WEIGHT * (seconds - mean)

    def note_stream(self, call: calls.Call, paused: bool) -> None:
        """Record the end of a stream, and whether it paused for longer than its route allows."""
        service = self._services.get(call.service.pool)
        if service is None:
            return
        meter = service.priorities[min(call.service.priority, priorities.LEAST_URGENT)]
        meter.streams += 1
        meter.paused_streams += paused

    def measure(self, name: str, now: float) -> pool_demand.ServiceDemand:
        """Return the present demand for a service; called at regular intervals."""
        waiting = list(self._list_waiting(name))
        service = self._services.get(name)
        if service is None:
            if not waiting:
                return pool_demand.ServiceDemand(name)
            service = self._services[name] = _ServiceMeter(now)
        if service.is_idle and not waiting:
            service.measured_at = now
            return pool_demand.ServiceDemand(name)
        first_waiting = min((t.item.arrived_at for t in waiting), default=None)
        is_used = service.update(first_waiting, now)
        counts = [0] * priorities.LEVELS
        tokens = [0] * priorities.LEVELS
        accounts: collections.Counter[str] = collections.Counter()
        for ticket in waiting:
            priority = min(ticket.priority, priorities.LEAST_URGENT)
            counts[priority] += 1
            tokens[priority] += ticket.tokens
            if ticket.account:
                accounts[ticket.account] += ticket.tokens
        busy = service.busy_average if is_used else math.inf
        demands = tuple(
            _build_demand(meter, counts[priority], tokens[priority], busy)
            for priority, meter in enumerate(service.priorities)
        )
        service.is_idle = all(d == pool_demand.NO_DEMAND for d in demands)
        largest = heapq.nlargest(
            pool_demand.MAX_ACCOUNTS, accounts.items(), key=lambda item: item[1]
        )
        return pool_demand.ServiceDemand(name, demands, tuple(largest))


def _build_demand(
    meter: _PriorityMeter, waiting: int, waiting_tokens: int, busy: float
) -> pool_demand.PriorityDemand:
    if not (meter.running or waiting or meter.request_rate):
        return pool_demand.NO_DEMAND
    return pool_demand.PriorityDemand(
        meter.running,
        waiting,
        waiting_tokens,
        meter.request_rate,
        meter.prefill_rate,
        meter.dequeued_average / busy if busy else 0.0,
        meter.longest_prefill,
        meter.slot_seconds,
        meter.stream_rate,
        meter.paused_rate,
    )
