"""The state that a daemon tracks per upstream: identity, load and availability."""

from __future__ import annotations

import msgspec

from passpier.core import (
    backpressure,
    priorities,
    refusals,
    replica_processes,
    speeds,
    throttles,
)

SAID_LEAVING = 'said so'
"""Reason for leaving of a replica that has announced it in a response."""

DEFAULT_SECONDS_PER_TOKEN = 1 / 20_000
"""Prefill time per token that is assumed before any measurement."""

LEARNING_RATE = 0.1
"""Weight of a new sample in the moving averages."""

MIN_RATE_SAMPLE_TOKENS = 512
"""Prefill tokens below which the time to the first token is mostly overhead, so that it is not used
to learn the prefill rate."""

ROOM_SECONDS = 0.1
"""Seconds of prefill that may be queued at a replica; further requests stay in the daemon's fair
queue."""

QUEUE_PER_SLOT = 0.5
"""Requests that may be queued at a replica per slot."""

MIN_PENDING_SHARE = 0.85
"""Minimum share of its prefill tokens that a request counts for until its first token arrives.

Whatever delays it beyond the estimate (work sent by others, memory, slots) delays the next request
as well.
"""

PEER_LOAD_SECONDS = 2.0
"""Seconds after which another daemon's load message is ignored."""


class Report(msgspec.Struct, frozen=True):
    """A load report sent by the replica itself; it may be out of date."""

    running: int
    waiting: int
    backlog: int
    received_at: float


class PrefillSample(msgspec.Struct, frozen=True):
    """The measured prefill of one attempt, with the work that was ahead of it."""

    tokens: int
    seconds: float
    """Bounded, as waiting for a slot must not be learnt as slow prefill."""

    waited: float | None
    """The same without the bound; none if the replica may have had work that was unknown here, or
    no free slot."""


class Dispatch(msgspec.Struct):
    """An attempt that this daemon sent to a replica; `tokens` is its estimated prefill."""

    tokens: int
    started_at: float
    work_ahead: int
    priority: int = 1
    first_token: bool = False
    charged: bool = False
    """Whether it has taken a token from the replica's throttle."""

    at_risk: bool = False
    """Whether it has taken a token because a brittle replica may refuse it."""

    memory_tokens: int = 0
    """KV memory that the request needs, in tokens; 0 if memory is not limited."""

    memory_parts: tuple[tuple[int, int], ...] = ()
    """Hash and tokens of the prompt parts that other requests may share."""


class PeerLoad(msgspec.Struct, frozen=True):
    """The load that another daemon has on a replica: running requests and pending prefill tokens.

    `tokens` has one number per priority, the most urgent first.
    """

    tokens: tuple[int, ...]
    running: int
    received_at: float
    memory_tokens: int = 0


class MemoryReport(msgspec.Struct, frozen=True):
    """KV memory of a replica by its own report, in tokens; some hundred milliseconds old."""

    used: int
    total: int
    """Its capacity, or 0 if it is not reported."""

    received_at: float


class Replica(msgspec.Struct):
    """An upstream with its reported load and the load from known dispatches."""

    name: str
    address: str
    vm: str
    failure_domain: str
    incarnation: str = ''
    weight_version: str = ''
    slots: int = 8
    report: Report | None = None
    dispatches: dict[str, Dispatch] = msgspec.field(default_factory=dict)
    peers: dict[str, PeerLoad] = msgspec.field(default_factory=dict)
    peers_complete: bool = False
    """Whether all daemons announce their load here, so that the replica's reports aren't needed."""

    miss_share: float = 1.0
    overhead: float = 0.0
    seconds_per_token: float = DEFAULT_SECONDS_PER_TOKEN
    service_seconds: float = 0.2
    leaving_reasons: frozenset[str] = frozenset()
    paused_until: float = float('-inf')
    """End of the current pause for new requests, such as during a load of weights."""

    backoff_until: float = float('-inf')
    """End of the backoff that the replica has asked for."""

    room_seconds: float = ROOM_SECONDS
    """Seconds of prefill that may be queued at this replica."""

    weights_learnt_at: float = float('-inf')
    """Monotonic time at which its weight version was last reported."""

    weights_confirmed_at: float = float('-inf')
    """The same for the last time that a source named the known version."""

    signal: backpressure.Signal = backpressure.NO_SIGNAL
    """The backpressure signal of its last response."""

    throttle: throttles.Throttle | None = None
    """Limits the rate of this daemon's requests while the replica announces a limit."""

    refusals: throttles.Throttle | None = None
    """Limits the requests that the replica may have to refuse while it is brittle."""

    refused_at: float = float('-inf')
    """When it last refused a request of this daemon."""

    started_ms: int = 0
    """Start time of its process in Unix milliseconds; 0 if it isn't reported."""

    software: str = ''
    """Version of its process's software; empty if it is unknown."""

    prefilled_at: float = float('-inf')
    """When the last prefill for this daemon ended."""

    speed: speeds.Speed | None = None
    """Its speed as learnt by all VMs; none unless the replicas of its service differ in speed."""

    slowed_until: float = float('-inf')
    """Until when its prefill takes `speeds.SLOWED_FACTOR` times as long as `speed` tells."""

    memory_capacity: int = 0
    """Configured KV memory in tokens, or 0 if it is unknown."""

    memory_report: MemoryReport | None = None

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that this state belongs to."""
        return replica_processes.ReplicaProcess(self.name, self.started_ms)

    @property
    def leaving(self) -> bool:
        """Whether any source reports that this upstream is shutting down."""
        return bool(self.leaving_reasons)


def runs_software(replica: Replica, software: str | None) -> bool:
    """Return whether a replica is known to run a software version; any will do for none."""
    return software is None or (bool(software) and replica.software == software)


def set_leaving(replica: Replica, reason: str, leaving: bool) -> bool:
    """Set or clear one reason for leaving; return whether it changed."""
    before = replica.leaving_reasons
    replica.leaving_reasons = before | {reason} if leaving else before - {reason}
    return before != replica.leaving_reasons


def get_seconds_per_token(replica: Replica, now: float) -> float:
    """Return a replica's prefill time per token, by the estimate of all VMs if there is one."""
    if replica.speed is None:
        return replica.seconds_per_token
    slowed = speeds.SLOWED_FACTOR if now < replica.slowed_until else 1.0
    return replica.speed.seconds_per_token * slowed


def estimate_running(replica: Replica, now: float) -> int:
    """Return the estimated number of running or queued requests, from reports and dispatches."""
    known = len(replica.dispatches)
    if replica.peers:
        known += sum(p.running for p in _list_peers(replica, now))
    report = replica.report
    if report is None or replica.peers_complete:
        return known
    since = sum(d.started_at > report.received_at for d in replica.dispatches.values())
    age = max(0.0, now - report.received_at)
    completed = int(age * replica.slots / max(replica.service_seconds, 1e-3))
    return max(known, max(0, report.running + report.waiting - completed) + since)


def estimate_backlog(
    replica: Replica, now: float, priority: int = priorities.LEAST_URGENT
) -> float:
    """Return the prefill tokens ahead of a new request of that priority."""
    known = 0.0
    if replica.dispatches:
        known = float(sum(count_pending(replica, now)[: priority + 1]))
    if replica.peers:
        known += _estimate_peers(replica, now, priority, known)
    report = replica.report
    if report is None or replica.peers_complete:
        return known
    since = sum(count_pending(replica, now, report.received_at)[: priority + 1])
    computed = (now - report.received_at) / get_seconds_per_token(replica, now)
    return max(known, max(0.0, report.backlog * replica.miss_share - computed) + since)


def count_pending(replica: Replica, now: float, after: float = float('-inf')) -> tuple[int, ...]:
    """Return the pending prefill tokens of own dispatches since `after`, by priority."""
    pending = [0] * priorities.LEVELS
    rate = get_seconds_per_token(replica, now)
    for dispatch in replica.dispatches.values():
        if not dispatch.first_token and dispatch.started_at > after:
            left = dispatch.tokens - _count_computed(dispatch, rate, now)
            pending[dispatch.priority] += int(max(left, dispatch.tokens * MIN_PENDING_SHARE))
    return tuple(pending)


def is_open(replica: Replica, now: float) -> bool:
    """Return whether a replica accepts another request, even if it has to queue there."""
    if now < replica.paused_until:
        return False
    if replica.throttle is not None and not replica.throttle.has_token(now):
        return False
    running = estimate_running(replica, now)
    if replica.refusals is not None:
        # A brittle replica may let fewer requests wait, or none.
        risky = _is_risky(replica, running, now)
        return running < replica.slots and (not risky or replica.refusals.has_token(now))
    return running < replica.slots + count_queue_places(replica)


def count_queue_places(replica: Replica) -> int:
    """Return how many requests may be queued at a replica that isn't brittle."""
    return max(1, int(replica.slots * QUEUE_PER_SLOT))


def _is_risky(replica: Replica, running: int, now: float) -> bool:
    """Return whether a brittle replica may refuse a request for want of room."""
    if now - replica.refused_at < refusals.MEMORY_SECONDS:
        return True
    waits = any(not d.first_token for d in replica.dispatches.values())
    return waits or running >= replica.slots * refusals.ROOM_SHARE


def has_room(replica: Replica, now: float, priority: int = priorities.LEAST_URGENT) -> bool:
    """Return whether the queue at a replica is short enough to send another request now.

    Only queued requests of the same and more urgent priorities count.
    """
    if not is_open(replica, now):
        return False
    # The allowed queue is divided among the daemons that use the replica: a daemon with running
    # requests is the first to learn that one has ended, and would otherwise keep the whole queue
    # for as long as it has requests waiting.
    sharers = 1 + sum(p.running > 0 for p in _list_peers(replica, now))
    rate = get_seconds_per_token(replica, now)
    own = sum(count_pending(replica, now)[: priority + 1]) * rate
    if own >= replica.room_seconds / sharers:
        return False
    # The total is checked as well, as one request per daemon may already exceed it.
    backlog = estimate_backlog(replica, now, priority)
    return backlog * rate < replica.room_seconds


def begin_dispatch(
    replica: Replica, attempt: str, tokens: int, now: float, priority: int = 1
) -> None:
    """Record an attempt that is about to be sent."""
    ahead = int(estimate_backlog(replica, now, priority))
    charged = replica.throttle is not None and replica.throttle.take(now)
    at_risk = False
    if replica.refusals is not None and _is_risky(replica, estimate_running(replica, now), now):
        at_risk = replica.refusals.take(now)
    replica.dispatches[attempt] = Dispatch(
        tokens, now, ahead, priority, charged=charged, at_risk=at_risk
    )


def note_refusal(replica: Replica, attempt: str, now: float) -> None:
    """Record that a replica refused an attempt for want of room."""
    replica.refused_at = now
    dispatch = replica.dispatches.get(attempt)
    if dispatch is not None:
        dispatch.at_risk = False


def _end_risk(replica: Replica, dispatch: Dispatch) -> None:
    """Return the token of an attempt that wasn't refused."""
    if dispatch.at_risk and replica.refusals is not None:
        replica.refusals.give_back()
    dispatch.at_risk = False


def may_send(replica: Replica, attempt: str, now: float) -> bool:
    """Return whether an attempt that was placed may still be sent under the current limits."""
    if now < replica.backoff_until:
        return False
    dispatch = replica.dispatches.get(attempt)
    if dispatch is None or replica.throttle is None or dispatch.charged:
        return True
    dispatch.charged = replica.throttle.take(now)
    return dispatch.charged


def compute_ready_at(replica: Replica, now: float) -> float:
    """Return when the replica allows another request, or infinity if that is unknown."""
    ready_at = max(now, replica.backoff_until)
    if replica.throttle is None:
        return ready_at
    return max(ready_at, replica.throttle.compute_ready_at(now))


def note_first_token(replica: Replica, attempt: str, now: float) -> PrefillSample | None:
    """Update the prefill rate from the time to an attempt's first token; return the sample.

    Short prompts give none, and neither does a token that isn't the first one.
    """
    dispatch = replica.dispatches.get(attempt)
    if dispatch is None or dispatch.first_token:
        return None
    dispatch.first_token = True
    replica.prefilled_at = now
    _end_risk(replica, dispatch)
    work = dispatch.tokens + dispatch.work_ahead
    elapsed = now - dispatch.started_at
    if work < MIN_RATE_SAMPLE_TOKENS:
        # The duration of a short prefill is mostly network latency.
        sample = elapsed - work * replica.seconds_per_token
        replica.overhead += LEARNING_RATE * (max(0.0, sample) - replica.overhead)
        return None
    waited = max(0.0, elapsed - replica.overhead)
    # Bounded, as waiting for a slot must not be learnt as slow prefill.
    sample = min(waited / work, replica.seconds_per_token * 2)
    replica.seconds_per_token += LEARNING_RATE * (sample - replica.seconds_per_token)
    busy = estimate_running(replica, now) > replica.slots
    uncertain = busy or any(any(p.tokens) for p in _list_peers(replica, now))
    return PrefillSample(work, sample * work, None if uncertain else waited)


def has_prefill(replica: Replica, since: float, now: float) -> bool:
    """Return whether a prefill is known to have run at a replica after `since`."""
    if replica.prefilled_at >= since:
        return True
    if any(not d.first_token for d in replica.dispatches.values()):
        return True
    # A load that has just changed may be that of a prefill that has just ended.
    return any(p.received_at >= since or any(p.tokens) for p in _list_peers(replica, now))


def end_dispatch(replica: Replica, attempt: str, now: float) -> None:
    """Remove a finished attempt and update the service time."""
    dispatch = replica.dispatches.pop(attempt, None)
    if dispatch is not None:
        _end_risk(replica, dispatch)
        if not dispatch.first_token:
            replica.prefilled_at = now
    if dispatch is not None and dispatch.first_token:
        sample = now - dispatch.started_at
        replica.service_seconds += LEARNING_RATE * (sample - replica.service_seconds)


def note_usage(replica: Replica, prompt_tokens: int, cached_tokens: int) -> None:
    """Update the share of prompt tokens that the replica had to compute."""
    if prompt_tokens:
        sample = 1 - cached_tokens / prompt_tokens
        replica.miss_share += LEARNING_RATE * (sample - replica.miss_share)


def _estimate_peers(replica: Replica, now: float, priority: int, own: float) -> float:
    """Return the pending prefill tokens of other daemons' requests.

    A replica processes all requests from one queue, so the tokens it has computed since the load
    messages came are subtracted once from the total and not from each daemon's load in full. A
    minimum share stays counted, as the first tokens of other daemons' requests are unknown.
    """
    total = 0.0
    weighted_age = 0.0
    for peer in _list_peers(replica, now):
        tokens = sum(peer.tokens[: priority + 1])
        total += tokens
        weighted_age += tokens * (now - peer.received_at)
    if not total:
        return 0.0
    computed = weighted_age / total / get_seconds_per_token(replica, now)
    return max(total * MIN_PENDING_SHARE, total - computed * total / (total + own))


def _list_peers(replica: Replica, now: float) -> list[PeerLoad]:
    return [p for p in replica.peers.values() if now - p.received_at < PEER_LOAD_SECONDS]


def _count_computed(dispatch: Dispatch, rate: float, now: float) -> float:
    elapsed = now - dispatch.started_at - dispatch.work_ahead * rate
    return max(0.0, elapsed) / rate
