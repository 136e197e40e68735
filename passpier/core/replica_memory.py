"""Estimates the KV memory that the running requests of a replica need, in tokens."""

from __future__ import annotations

import msgspec

from passpier.core import choice, replicas

REPORT_SECONDS = 1.0
"""Seconds for which a replica's report on its memory is used."""

REPORT_LAG = 0.3
"""Seconds by which the values of a report lag behind its arrival: they are a few hundred
milliseconds old."""

LESS_URGENT_SHARE = 0.9
"""Fraction of the capacity that requests other than the most urgent may fill. The rest lets an
urgent request start without the preemption of another one."""

MEAN_WEIGHT = 0.05
"""Weight of a new sample in the mean size of requests."""

MEAN_SECONDS = 60.0
"""Seconds without a request of a priority after which its mean size is ignored."""


class Need(msgspec.Struct, frozen=True):
    """The KV memory of a request, with hash and tokens of the prompt parts that may be shared."""

    tokens: int
    parts: tuple[tuple[int, int], ...] = ()


class _Mean(msgspec.Struct):
    value: float
    updated_at: float


class RequestSizes:
    """The mean size of a service's requests by priority.

    Requests of one priority may be concentrated on some replicas, so that the mean over all
    priorities would be too low for these.
    """

    def __init__(self) -> None:
        self._means: dict[int, _Mean] = {}
        self._output = 0.0

    def note(self, job: choice.Job, now: float, capacity: int) -> None:
        """Record the size of a request that is sent to a replica with a capacity in tokens."""
        output = _bound_output(job, capacity)
        if output:
            self._output += MEAN_WEIGHT * (output - self._output) if self._output else output
        tokens = min(self.estimate_tokens(job, capacity), capacity)
        mean = self._means.get(job.priority)
        if mean is None or now - mean.updated_at > MEAN_SECONDS:
            self._means[job.priority] = _Mean(tokens, now)
        else:
            mean.value += MEAN_WEIGHT * (tokens - mean.value)
            mean.updated_at = now

    def estimate_tokens(self, job: choice.Job, capacity: int) -> int:
        """Return the tokens of prompt and response; the latter is the mean if none is stated."""
        return job.prompt_tokens + (_bound_output(job, capacity) or round(self._output))

    def get_mean(self, now: float) -> float:
        """Return the mean tokens of a request, of the priority for which it is the largest."""
        means = (m.value for m in self._means.values() if now - m.updated_at <= MEAN_SECONDS)
        return max(means, default=0.0)


def _bound_output(job: choice.Job, capacity: int) -> int:
    """Return the stated maximum output, or 0 if there is none, at most a replica's capacity.

    Clients may state any number; one without a bound would dominate the means for many requests.
    """
    return min(max(0, job.max_output), capacity)


class Usage(msgspec.Struct, frozen=True):
    """The memory of one replica at one time."""

    replica: replicas.Replica
    used: float
    parts: frozenset[int]
    """The prompt parts of this daemon's requests there."""

    def has_memory(self, need: Need, priority: int) -> bool:
        """Return whether there is memory for a request, which shares the parts already there."""
        shared = sum(tokens for part, tokens in need.parts if part in self.parts)
        return self.used + need.tokens - shared <= get_limit(self.replica, priority)


def measure_usage(replica: replicas.Replica, now: float) -> Usage:
    """Return the memory in use at a replica and what it is used for, as far as it is known."""
    parts = frozenset(part for d in replica.dispatches.values() for part, _ in d.memory_parts)
    return Usage(replica, estimate_used(replica, now), parts)


def is_limiting(replica: replicas.Replica, mean: float) -> bool:
    """Return whether requests of a mean size in all slots need more than a replica's memory."""
    capacity = get_capacity(replica)
    return bool(capacity) and replica.slots * mean > capacity


def build_need(job: choice.Job, tokens: int) -> Need:
    """Return the memory for a request of `tokens` tokens, prompt and response."""
    ends = [job.count_tokens(n) for n in range(len(job.chain) + 1)]
    sizes = (end - start for start, end in zip(ends, ends[1:], strict=False))
    return Need(tokens, tuple(zip(job.chain, sizes, strict=True)))


def get_capacity(replica: replicas.Replica) -> int:
    """Return a replica's memory as it reports it, else as configured; 0 if none is configured."""
    report = replica.memory_report
    if replica.memory_capacity and report is not None and report.total:
        return report.total
    return replica.memory_capacity


def count_own(replica: replicas.Replica, after: float = float('-inf')) -> int:
    """Return the memory of this daemon's requests since `after`; shared parts count once."""
    total = 0
    counted = set()
    for dispatch in replica.dispatches.values():
        if dispatch.started_at > after:
            total += dispatch.memory_tokens
            for part, tokens in dispatch.memory_parts:
                if part in counted:
                    total -= tokens
                counted.add(part)
    return total


def estimate_used(replica: replicas.Replica, now: float) -> float:
    """Return the memory in use: the larger of what all daemons have sent and what is reported.

    A report does not include the requests that were sent after its values were taken.
    """
    peers = replica.peers.values()
    known = count_own(replica) + sum(
        p.memory_tokens for p in peers if now - p.received_at < replicas.PEER_LOAD_SECONDS
    )
    report = replica.memory_report
    if report is None or now - report.received_at >= REPORT_SECONDS:
        return known
    return max(known, report.used + count_own(replica, report.received_at - REPORT_LAG))


def get_limit(replica: replicas.Replica, priority: int) -> float:
    """Return the memory that requests of a priority may fill together with all others."""
    return get_capacity(replica) * (LESS_URGENT_SHARE if priority else 1.0)


def has_memory(replica: replicas.Replica, tokens: int, now: float, priority: int = 0) -> bool:
    """Return whether a replica has memory for `tokens` more tokens, or its memory is unknown."""
    if not get_capacity(replica):
        return True
    return estimate_used(replica, now) + tokens <= get_limit(replica, priority)
