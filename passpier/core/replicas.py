"""What a daemon knows of each upstream: identity, load and state."""

from __future__ import annotations

import dataclasses

DEFAULT_SECONDS_PER_TOKEN = 1 / 20_000
"""Assumed prefill time before anything was learnt."""

LEARNING_RATE = 0.1
"""Weight of a new sample in the moving averages."""

QUEUE_PER_SLOT = 0.5
"""Requests that may wait at a replica for each of its slots."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A replica's own account of its load, which may be late."""

    running: int
    waiting: int
    backlog: int
    received_at: float


@dataclasses.dataclass(slots=True)
class Dispatch:
    """One of our own attempts at a replica; tokens are those to be computed."""

    tokens: int
    started_at: float
    work_ahead: int
    first_token: bool = False


@dataclasses.dataclass(slots=True)
class Replica:
    """One upstream with its reported and our own load."""

    name: str
    address: str
    vm: str
    failure_domain: str
    incarnation: str = ''
    weight_version: str = ''
    slots: int = 8
    report: Report | None = None
    dispatches: dict[str, Dispatch] = dataclasses.field(default_factory=dict)
    seconds_per_token: float = DEFAULT_SECONDS_PER_TOKEN
    service_seconds: float = 0.2
    leaving_reasons: frozenset[str] = frozenset()

    @property
    def leaving(self) -> bool:
        """Whether any signal says that this upstream leaves."""
        return bool(self.leaving_reasons)


def set_leaving(replica: Replica, reason: str, leaving: bool) -> bool:
    """Set or clear one signal of leaving; return whether it changed."""
    before = replica.leaving_reasons
    replica.leaving_reasons = before | {reason} if leaving else before - {reason}
    return before != replica.leaving_reasons


def estimate_running(replica: Replica, now: float) -> int:
    """Return how many requests are running or waiting, by the later of report and dispatches."""
    own = len(replica.dispatches)
    report = replica.report
    if report is None:
        return own
    since = sum(d.started_at > report.received_at for d in replica.dispatches.values())
    age = max(0.0, now - report.received_at)
    drained = int(age * replica.slots / max(replica.service_seconds, 1e-3))
    return max(own, max(0, report.running + report.waiting - drained) + since)


def estimate_backlog(replica: Replica, now: float) -> float:
    """Return the tokens still to be computed before a new request's own."""
    own = 0.0
    since = 0.0
    report = replica.report
    horizon = report.received_at if report else float('-inf')
    for dispatch in replica.dispatches.values():
        if dispatch.first_token:
            continue
        left = max(0.0, dispatch.tokens - _count_computed(replica, dispatch, now))
        own += left
        if dispatch.started_at > horizon:
            since += left
    if report is None:
        return own
    drained = (now - report.received_at) / replica.seconds_per_token
    return max(own, max(0.0, report.backlog - drained) + since)


def has_room(replica: Replica, now: float) -> bool:
    """Return whether another request would start soon enough to be sent now."""
    bound = replica.slots + max(1, int(replica.slots * QUEUE_PER_SLOT))
    return estimate_running(replica, now) < bound


def begin_dispatch(replica: Replica, attempt: str, tokens: int, now: float) -> None:
    """Note an attempt that is about to be sent."""
    ahead = int(estimate_backlog(replica, now))
    replica.dispatches[attempt] = Dispatch(tokens, now, ahead)


def note_first_token(replica: Replica, attempt: str, now: float) -> None:
    """Learn the prefill rate from the time to an attempt's first token."""
    dispatch = replica.dispatches.get(attempt)
    if dispatch is None or dispatch.first_token:
        return
    dispatch.first_token = True
    work = dispatch.tokens + dispatch.work_ahead
    if work >= 256:
        sample = (now - dispatch.started_at) / work
        # A slot that was waited for must not be learnt as slow prefill.
        sample = min(sample, replica.seconds_per_token * 2)
        replica.seconds_per_token += LEARNING_RATE * (sample - replica.seconds_per_token)


def end_dispatch(replica: Replica, attempt: str, now: float) -> None:
    """Note that an attempt is over."""
    dispatch = replica.dispatches.pop(attempt, None)
    if dispatch is not None and dispatch.first_token:
        sample = now - dispatch.started_at
        replica.service_seconds += LEARNING_RATE * (sample - replica.service_seconds)


def _count_computed(replica: Replica, dispatch: Dispatch, now: float) -> float:
    elapsed = now - dispatch.started_at - dispatch.work_ahead * replica.seconds_per_token
    return max(0.0, elapsed) / replica.seconds_per_token
