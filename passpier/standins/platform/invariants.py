"""Invariants of the routers, checked against what clients and replicas observed."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import math
import types
from collections.abc import Collection, Iterable, Mapping, Sequence

from passpier.standins.platform import replica

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and never will."""

RESUMED_ORDER_GRACE = 0.3
"""Seconds after a pause in which an order may arrive that was sent before the pause."""

DISTURBANCE_GRACE = 3.0
"""Seconds after a router's start or pause, or a disturbed link to a replica, in which time limits
are not checked."""

RUN_ONCE_KINDS = frozenset({'once', 'stream', 'slow', 'patient'})
"""Request kinds that may run at most once."""

STREAM_KINDS = frozenset({'stream', 'resume', 'patient'})

UNPLANNED_FAULT_GRACE = 1.0
"""Seconds after an unplanned fault in which a cut request is not attributed to planned work."""

CLOSE_RACE_SECONDS = 0.2
"""Seconds after sending in which a request that reached no replica may have raced with the close of
its connection."""

UNREAD_BEFORE_EXIT = 0.5
"""Seconds before the exit of a stopped process in which it may leave requests unread. An event loop
was seen to end 0.16 s before its process, which had not logged the request."""

ACCEPTED_AFTER_STOP = 3.0
"""Seconds after SIGTERM in which a request may be sent that is too long for the grace period."""

REMOVAL_GRACE = 2.0
"""Seconds after the removal of a replica's entry in which requests may still reach it."""

STREAM_GRACE_SHARE = 5 / 6
"""Share of the grace period after which a running stream may be cut."""

LIMIT_WINDOW = 4.0
"""Seconds of the window in which requests to a replica with a limit are counted."""

LIMIT_SHARE = 1.5
"""Tolerated requests in a window as a multiple of the limit, plus `LIMIT_SLACK` requests."""

LIMIT_SLACK = 5

LIMIT_GRACE = 0.5
"""Seconds after which a router that relayed a response with a limit has to respect the limit."""

BACKOFF_GRACE = 0.5
"""Seconds after which a router that was told to back off has to do so."""

BACKOFF_ALLOWED = 2
"""Requests of the router that may still reach the replica during the backoff."""

LINK_DELAY_MAX = 0.7
"""Maximum seconds that a response takes over undisturbed links, with a busy event loop."""

EVENT_COUNT = 5
"""Number of events in a stream of the stand-in replicas."""

COMPLETE_BODY = b''.join(b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(EVENT_COUNT))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """A request and what its client received; status 0 means that the response is incomplete."""

    id: str
    kind: str
    key: str
    sent_at: float
    status: int
    body: bytes
    seconds: float
    echoed_id: str = ''
    """The request id in the response."""

    router: str = ''
    """The router that received the request."""

    patience: float = math.inf
    """Seconds for which the client waits."""

    begun: bool = False
    """Whether a response head arrived."""

    local_port: int = 0
    """The client's port of the connection."""

    @property
    def ended_at(self) -> float:
        """When the response or the end of the connection arrived."""
        return self.sent_at + self.seconds


@dataclasses.dataclass(slots=True)
class Stop:
    """A planned stop of a router; `at` is the time of the SIGTERM."""

    router: str
    at: float
    paused_since: float = 0.0
    """Start of the pause (SIGSTOP) in which the SIGTERM was sent; equal to `at` without one."""

    ended: float = math.inf
    """When the process exited."""

    def __post_init__(self) -> None:
        self.paused_since = self.paused_since or self.at

    def may_leave_unread(self, outcome: RequestOutcome) -> bool:
        """Return whether a request may have arrived too late for the process to read it."""
        return self.ended - UNREAD_BEFORE_EXIT <= outcome.sent_at <= self.ended


@dataclasses.dataclass(frozen=True, slots=True)
class Resumption:
    """The end of a router's pause."""

    name: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OverwrittenEntry:
    """A period in which a replica's entry was overwritten by another writer."""

    id: str
    began: float
    ended: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPeriod:
    """A period in which a replica sent a limit in its responses."""

    id: str
    limit: float
    began: float
    ended: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAllowance:
    """How many retries a service may get: `ratio` times its requests plus `slack` in a window."""

    ratio: float
    slack: float
    window: float
    """Seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPeak:
    """The retries that a service got in the window that came nearest to the allowance."""

    service: str
    count: int
    allowed: float
    until: float
    window: float
    """Seconds."""

    @property
    def excess(self) -> float:
        """By how many retries the allowance was exceeded; negative if it wasn't."""
        return self.count - self.allowed

    @property
    def share(self) -> float:
        """The retries as a share of the allowance."""
        return self.count / self.allowed

    def render(self) -> str:
        """Return the peak as text."""
        return f'{self.service} {self.count} of {self.allowed:.0f} ({self.share:.2f})'


@dataclasses.dataclass(frozen=True, slots=True)
class BoundUse:
    """How near a run came to a bound; a check that nothing comes near proves nothing."""

    name: str
    used: float
    allowed: float

    @property
    def share(self) -> float:
        """What was used as a share of what is allowed."""
        return self.used / self.allowed

    def render(self) -> str:
        """Return it as text."""
        return f'{self.name} {self.used:.2f} of {self.allowed:.2f} ({self.share:.2f})'


@dataclasses.dataclass(frozen=True, slots=True)
class OutdatedRun:
    """A run on weights that had been outdated for `age` seconds."""

    id: str
    router: str
    replica: str
    version: int
    age: float
    undisturbed: float
    """Seconds since the last disturbance of its router or replica, or for which the weights had
    been outdated."""

    def render(self) -> str:
        """Return it as text."""
        return (
            f'{self.id} by {self.router} began at {self.replica} on weights {self.version}, '
            f'outdated for {self.age:.2f} s, {self.undisturbed:.2f} s after any disturbance'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A period in which a router started or was paused, or a replica's link was disturbed."""

    of: str
    began: float
    ended: float

    def excuses(self, at: float) -> bool:
        """Return whether time limits are not checked for an event at that time."""
        return self.began <= at < self.ended + DISTURBANCE_GRACE


def is_excused(disturbances: Iterable[Disturbance], names: tuple[str, ...], at: float) -> bool:
    """Return whether a disturbance of one of the named routers or replicas excuses an event."""
    return any(d.of in names and d.excuses(at) for d in disturbances)


def find_violations(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    revoked: Mapping[str, float],
    key_bound: float,
    order_gap: float,
    resumptions: Sequence[Resumption] = (),
) -> list[str]:
    """Return a description of each violation.

    `revoked` has the times at which keys were revoked, `key_bound` the seconds after which they
    must be rejected, `order_gap` the minimum seconds between orders of two routers.
    """
    targets = list(replicas)
    runs = collections.Counter(run.id for r in targets for run in r.runs)
    violations = [
        f'{run.id} ran on weights {run.version} with cache of {run.salt}'
        for r in targets
        for run in r.runs
        if run.salt and not run.salt.endswith(f'/{run.version}')
    ]
    for one in outcomes:
        violations += _check_request(one, runs[one.id])
        revoked_at = revoked.get(one.key)
        if revoked_at is not None and runs[one.id] and one.sent_at > revoked_at + key_bound:
            violations.append(f'{one.id} ran {one.sent_at - revoked_at:.2f} s after its key went')
    return violations + _check_orders(targets, order_gap, resumptions)


def find_outdated_runs(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    named: Mapping[int, float],
    bound: float,
    disturbances: Sequence[Disturbance] = (),
    stream_routers: Mapping[str, str] = types.MappingProxyType({}),
) -> list[str]:
    """Return each run that started on weights which had been outdated for longer than the bound.

    `named` has the times at which versions were released. A disturbance excuses requests through
    its router, and requests to its replica, since an interrupted link delivers late.
    `stream_routers` has the routers of requests without an outcome, by request id.
    """
    routers = {**stream_routers, **{one.id: one.router for one in outcomes}}
    outdated = list_outdated_runs(replicas, named, disturbances, routers)
    return [run.render() for run in outdated if run.age > bound]


def list_outdated_runs(
    replicas: Iterable[replica.Replica],
    named: Mapping[int, float],
    disturbances: Sequence[Disturbance],
    routers: Mapping[str, str],
) -> list[OutdatedRun]:
    """Return each run on outdated weights that no disturbance excuses.

    `routers` has the routers of requests by request id; see `find_outdated_runs` for the rest.
    """
    outdated = []
    for target in replicas:
        for run in target.runs if target.model else ():
            newer = min((at for v, at in named.items() if v > run.version), default=run.at)
            router = routers.get(run.id, '')
            mine = [d for d in disturbances if d.of in (router, target.id)]
            if run.at > newer and not any(d.excuses(run.at) for d in mine):
                last = max((d.ended for d in mine if d.began <= run.at), default=newer)
                outdated.append(
                    OutdatedRun(
                        run.id, router, target.id, run.version, run.at - newer, run.at - last
                    )
                )
    return outdated


def find_runs_after_overwrite(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    unnamed: Sequence[OverwrittenEntry],
    disturbances: Sequence[Disturbance] = (),
    unplanned: Sequence[tuple[float, float]] = (),
    stream_routers: Mapping[str, str] = types.MappingProxyType({}),
) -> list[str]:
    """Return each run that started on a replica whose entry had been overwritten.

    For `stream_routers` see `find_outdated_runs`.
    """
    routers = {**stream_routers, **{one.id: one.router for one in outcomes}}
    violations = []
    for target in replicas:
        for run in target.runs:
            names = (routers.get(run.id, ''), target.id)
            excused = is_excused(disturbances, names, run.at) or any(
                began <= run.at < ended + DISTURBANCE_GRACE for began, ended in unplanned
            )
            violations += [
                f'{run.id} began at {target.id} {run.at - one.began:.2f} s after another writer '
                f'had overwritten its entry'
                for one in unnamed
                if one.id == target.id
                and one.began + REMOVAL_GRACE < run.at < one.ended
                and not excused
            ]
    return violations


def find_limit_excess(arrived: Sequence[float], limit: float) -> list[str]:
    """Return a description of the window with the most requests, if more than tolerated."""
    count, allowed = _measure_limit(arrived, limit)
    if count <= allowed:
        return []
    text = f'{count} requests within {LIMIT_WINDOW:.0f} s at a limit of {limit} a second'
    return [f'{text}, {int(allowed)} allowed']


def _measure_limit(arrived: Sequence[float], limit: float) -> tuple[int, float]:
    """Return the most requests in a window, and how many are tolerated."""
    times = sorted(arrived)
    counts = [_count_between(times, at - LIMIT_WINDOW, at) for at in times]
    return max(counts, default=0), limit * LIMIT_WINDOW * LIMIT_SHARE + LIMIT_SLACK


def measure_revocations(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    revoked: Mapping[str, float],
    key_bound: float,
) -> list[BoundUse]:
    """Return the longest time after which a revoked key ran a request, if any key was revoked."""
    ran = {run.id for target in replicas for run in target.runs}
    ages = [
        one.sent_at - revoked[one.key]
        for one in outcomes
        if one.id in ran and one.sent_at > revoked.get(one.key, math.inf)
    ]
    if not revoked:
        return []
    return [BoundUse('seconds after a revocation', max(ages, default=0.0), key_bound)]


def measure_outdated_weights(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    named: Mapping[int, float],
    bound: float,
    disturbances: Sequence[Disturbance],
) -> list[BoundUse]:
    """Return for how long weights had been outdated that a request ran on, if one did."""
    routers = {one.id: one.router for one in outcomes}
    ages = [run.age for run in list_outdated_runs(replicas, named, disturbances, routers)]
    return [BoundUse('seconds on outdated weights', max(ages), bound)] if ages else []


def measure_limits(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    limits: Sequence[LimitPeriod],
    disturbances: Sequence[Disturbance],
) -> list[BoundUse]:
    """Return the most requests in a window at a replica's limit, if there was a limit."""
    arrivals = _list_limited_arrivals(outcomes, replicas, limits, disturbances)
    uses = [
        BoundUse('requests at a limit', *_measure_limit(arrived, period.limit))
        for period, arrived in arrivals
    ]
    return [max(uses, key=lambda use: use.share)] if uses else []


def measure_retries(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    services: Mapping[str, str],
    allowance: RetryAllowance,
) -> list[RetryPeak]:
    """Return, for each service that got retries, the window that came nearest to the allowance.

    `services` has the service of each kind of request. The requests are those of the window, of
    the one before it or of the one half a window before it, whichever has the most.
    """
    outcomes, targets = list(outcomes), list(replicas)
    peaks = []
    for service in sorted(set(services.values())):
        sent = sorted(one.sent_at for one in outcomes if services.get(one.kind) == service)
        retried = _list_retries(target for target in targets if target.service == service)
        if retried:
            peaks.append(find_worst_window(service, sent, retried, allowance))
    return peaks


def find_worst_window(
    service: str, sent: Sequence[float], retried: Sequence[float], allowance: RetryAllowance
) -> RetryPeak:
    """Return the window in which the retries come nearest to the allowance, or exceed it most.

    `sent` and `retried` are the sorted times of requests and of retries. Every window counts: the
    retries' share grows where one arrives, and where a request leaves the windows that count.
    """
    window = allowance.window
    ends = {at + late for at in sent for late in (window, window * 1.5, window * 2)}
    ends = {at for at in ends if retried[0] <= at < retried[-1] + window}.union(retried)
    windows = (_measure_window(service, at, retried, sent, allowance) for at in sorted(ends))
    return max(windows, key=lambda one: one.share)


def count_retries(replicas: Iterable[replica.Replica]) -> dict[str, int]:
    """Return the number of arrivals beyond the first of each request, by service."""
    targets = list(replicas)
    services = sorted({target.service for target in targets})
    return {s: len(_list_retries(t for t in targets if t.service == s)) for s in services}


def find_retry_excess(peaks: Iterable[RetryPeak]) -> list[str]:
    """Return the windows with more retries than allowed."""
    return [
        f'{one.service} got {one.excess:.1f} retries more than allowed in the {one.window} s '
        f'until {one.until:.2f}'
        for one in peaks
        if one.excess > 0
    ]


def _list_retries(replicas: Iterable[replica.Replica]) -> list[float]:
    """Return the times of all arrivals but the first of each request, in order."""
    seen = set()
    retried = []
    for arrival in sorted((a for r in replicas for a in r.arrivals), key=lambda a: a.at):
        if arrival.id in seen:
            retried.append(arrival.at)
        seen.add(arrival.id)
    return retried


def _measure_window(
    service: str,
    at: float,
    retried: Sequence[float],
    sent: Sequence[float],
    allowance: RetryAllowance,
) -> RetryPeak:
    """Return the retries of the window that ends at a time, and how many were allowed."""
    window = allowance.window
    requests = max(
        _count_between(sent, end - window, end) for end in (at, at - window / 2, at - window)
    )
    allowed = allowance.ratio * requests + allowance.slack
    return RetryPeak(service, _count_between(retried, at - window, at), allowed, at, window)


def _count_between(times: Sequence[float], began: float, ended: float) -> int:
    """Return how many of the sorted times lie after `began` and not after `ended`."""
    return bisect.bisect_right(times, ended) - bisect.bisect_right(times, began)


def find_backpressure_violations(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    limits: Sequence[LimitPeriod],
    disturbances: Sequence[Disturbance] = (),
) -> list[str]:
    """Return each limit, backoff or leaving flag of a replica that routers did not respect."""
    outcomes, targets = list(outcomes), list(replicas)
    routers = {one.id: one.router for one in outcomes}
    violations = find_limit_violations(outcomes, targets, limits, disturbances)
    violations += find_requests_after_leaving(outcomes, targets, disturbances)
    for refusing in targets:
        violations += find_backoff_violations(refusing, routers, disturbances)
    return violations


def find_limit_violations(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    limits: Sequence[LimitPeriod],
    disturbances: Sequence[Disturbance] = (),
) -> list[str]:
    """Return each limit that was exceeded by all routers together that knew it."""
    return [
        f'{period.id} got {text}'
        for period, arrived in _list_limited_arrivals(outcomes, replicas, limits, disturbances)
        for text in find_limit_excess(arrived, period.limit)
    ]


def _list_limited_arrivals(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    limits: Sequence[LimitPeriod],
    disturbances: Sequence[Disturbance],
) -> list[tuple[LimitPeriod, list[float]]]:
    """Return, for each limit, when requests arrived whose router knew it."""
    targets = {r.id: r for r in replicas}
    by_id = {one.id: one for one in outcomes}
    found = []
    for one in limits:
        limited = targets.get(one.id)
        if limited is None:
            # The replica was replaced under another id.
            continue
        signals = [signal for signal in limited.signals if one.began <= signal.at < one.ended]
        known_since = _find_signal_times(
            [signal for signal in signals if signal.limit is not None], by_id
        )
        arrived = []
        for arrival in limited.arrivals:
            router = by_id[arrival.id].router if arrival.id in by_id else ''
            since = known_since.get((router, arrival.process_number), math.inf)
            counts = since + LIMIT_GRACE <= arrival.at <= one.ended
            if counts and not is_excused(disturbances, (router, one.id), arrival.at):
                arrived.append(arrival.at)
        found.append((one, arrived))
    return found


def find_backoff_violations(
    refusing: replica.Replica,
    routers: Mapping[str, str],
    disturbances: Sequence[Disturbance] = (),
) -> list[str]:
    """Return each backoff that a router did not respect.

    `routers` has the router that each request was sent to, by request id.
    """
    violations = []
    for signal in refusing.signals:
        router = routers.get(signal.id)
        if router is None or not signal.backoff:
            continue
        arrived = [
            a.at
            for a in refusing.arrivals
            if routers.get(a.id) == router
            and a.process_number == signal.process_number
            and signal.at + BACKOFF_GRACE < a.at < signal.at + signal.backoff
        ]
        names = (router, refusing.id)
        excused = any(is_excused(disturbances, names, at) for at in arrived)
        if len(arrived) > BACKOFF_ALLOWED and not excused:
            text = f'{refusing.id} got {len(arrived)} requests of {router}'
            violations.append(f'{text} that was to back off for {signal.backoff} s')
    return violations


def find_requests_after_leaving(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    disturbances: Sequence[Disturbance] = (),
) -> list[str]:
    """Return each request that a router sent to a replica known to be leaving."""
    by_id = {one.id: one for one in outcomes}
    violations = []
    for left in replicas:
        signals = [signal for signal in left.signals if signal.leaving]
        known_since = _find_signal_times(signals, by_id)
        for arrival in left.arrivals:
            one = by_id.get(arrival.id)
            since = known_since.get((one.router if one else '', arrival.process_number), math.inf)
            if one is None or one.sent_at <= since + REMOVAL_GRACE:
                continue
            if not is_excused(disturbances, (one.router, left.id), arrival.at):
                late = arrival.at - since
                violations.append(
                    f'{one.id} reached {left.id} {late:.2f} s after it said it leaves'
                )
    return violations


def _find_signal_times(
    signals: Iterable[replica.BackpressureSignal], outcomes: Mapping[str, RequestOutcome]
) -> dict[tuple[str, int], float]:
    """Return when routers knew of a replica's signal, by router and number of its process."""
    known_since: dict[tuple[str, int], float] = {}
    for signal in signals:
        one = outcomes.get(signal.id)
        if one is not None and one.status == 200:
            known_since.setdefault((one.router, signal.process_number), signal.at + LINK_DELAY_MAX)
    return known_since


def find_lost_requests(
    outcomes: Iterable[RequestOutcome],
    replicas: Iterable[replica.Replica],
    stops: Sequence[Stop],
    grace: float,
    unplanned: Sequence[tuple[float, float]] = (),
    refused: Mapping[str, Collection[tuple[int, float]]] = types.MappingProxyType({}),
) -> list[str]:
    """Return each accepted request without a response where only planned work went on.

    `grace` is the number of seconds from SIGTERM to the kill; `unplanned` has the starts and ends
    of unplanned faults, `refused` by router the ports of clients whose connections no process has
    accepted, with the times. A port may be used again, so that the times count as well.
    """
    targets = list(replicas)
    violations = []
    for one in outcomes:
        if one.status or one.seconds >= one.patience or _is_disturbed(one, unplanned):
            continue
        runs = [run for r in targets for run in r.runs if run.id == one.id]
        if any(one.id in r.aborted for r in targets):
            continue
        stop = max(
            (s for s in stops if s.router == one.router and s.at <= one.ended_at),
            key=lambda s: s.at,
            default=None,
        )
        if not runs and _is_refused(one, refused.get(one.router, ())):
            continue
        if not runs and (
            one.seconds <= CLOSE_RACE_SECONDS or (stop and stop.may_leave_unread(one))
        ):
            continue
        worked_until = max((r.worked_until.get(one.id, 0.0) for r in targets), default=0.0)
        if stop is None or not _is_too_long(one, stop, grace, worked_until):
            violations.append(_describe_lost(one, stop, len(runs), worked_until))
    return violations


def _is_refused(outcome: RequestOutcome, refused: Iterable[tuple[int, float]]) -> bool:
    return any(
        port == outcome.local_port and outcome.sent_at <= at <= outcome.ended_at
        for port, at in refused
    )


def _is_disturbed(outcome: RequestOutcome, unplanned: Sequence[tuple[float, float]]) -> bool:
    return any(
        began <= outcome.ended_at and outcome.sent_at <= ended + UNPLANNED_FAULT_GRACE
        for began, ended in unplanned
    )


def _is_too_long(outcome: RequestOutcome, stop: Stop, grace: float, worked_until: float) -> bool:
    """Return whether a stop may cut a stream: it was sent in time and its replica still works.

    A process that was paused cannot tell when its signal arrived, so that it counts the grace
    period from the start of the pause.
    """
    in_time = outcome.sent_at <= stop.at + ACCEPTED_AFTER_STOP
    return (
        outcome.begun and in_time and worked_until >= stop.paused_since + grace * STREAM_GRACE_SHARE
    )


def _describe_lost(
    outcome: RequestOutcome, stop: Stop | None, runs: int, worked_until: float
) -> str:
    text = (
        f'{outcome.id} ({outcome.kind}, begun: {outcome.begun}, runs: {runs}) got no answer from '
        f'{outcome.router} for {outcome.seconds:.2f} s'
    )
    if stop is None:
        return text
    sent, ended, worked = (t - stop.at for t in (outcome.sent_at, outcome.ended_at, worked_until))
    text += f'; from SIGTERM: sent {sent:+.2f} s, cut {ended:+.2f} s'
    return f'{text}, work until {worked:+.2f} s' if runs else text


def _check_request(outcome: RequestOutcome, runs: int) -> list[str]:
    violations = []
    once = outcome.kind in RUN_ONCE_KINDS
    if once and runs > 1:
        violations.append(f'{outcome.id} ({outcome.kind}) ran {runs} times')
    if once and outcome.status in NOT_RUN and runs:
        violations.append(f'{outcome.id} was told {outcome.status} and ran')
    if outcome.status == 200 and outcome.kind in STREAM_KINDS and outcome.body != COMPLETE_BODY:
        violations.append(f'{outcome.id} looks whole and is not')
    if outcome.echoed_id and outcome.echoed_id != outcome.id:
        violations.append(f'{outcome.id} got the answer of {outcome.echoed_id}')
    return violations


def _check_orders(
    replicas: Sequence[replica.Replica], order_gap: float, resumptions: Sequence[Resumption]
) -> list[str]:
    orders = sorted(
        (at, str(order['holder']), int(str(order['fencing_token'])))
        for target in replicas
        for at, order in target.accepted_orders
        if not any(
            t.name == order['holder'] and 0 <= at - t.at < RESUMED_ORDER_GRACE for t in resumptions
        )
    )
    violations = []
    for (at, holder, token), (later, other, next_token) in zip(orders, orders[1:], strict=False):
        if holder != other and later - at < order_gap:
            violations.append(f'{holder} and {other} gave orders {later - at:.2f} s apart')
        if next_token < token:
            violations.append(f'the token fell from {token} to {next_token}')
    return violations
