"""Checks how many replicas run a request at once, and how much time they are given for it."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
from collections.abc import Iterable, Mapping, Sequence

from passpier.standins.platform import invariants, replica

PARALLEL_ALLOWED = 3
"""Requests that may run on more replicas at once than their route allows."""

RESENT_AFTER = 0.5
"""Seconds after its first arrival from which on a request counts as sent again late."""

DEADLINE_TOLERANCE = 0.5
"""Seconds by which a deadline may end after that of the client."""

OVERLONG_ALLOWED = 20
OVERLONG_SHARE = 0.2
"""Deadlines that may end later than that: this number, or this share of the requests that were sent
again late if that is more."""


LEFT_AFTER = 0.5
"""Seconds after its client has left from which on a request must not reach a replica."""

ARRIVALS_ALLOWED = 3
"""Requests that may do so all the same."""


@dataclasses.dataclass(frozen=True, slots=True)
class ParallelRuns:
    """A request that ran on several replicas at once."""

    id: str
    count: int
    allowed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deadline:
    """The deadline that a replica was given for a request.

    `excess` is by how many seconds it ends after the deadlines of the client and of the request's
    first arrival.
    """

    id: str
    excess: float
    is_resent: bool
    """Whether the request had arrived at a replica some time before."""

    @property
    def is_overlong(self) -> bool:
        """Whether it ends later than tolerated."""
        return self.excess > DEADLINE_TOLERANCE


def list_parallel_runs(
    outcomes: Iterable[invariants.RequestOutcome],
    replicas: Iterable[replica.Replica],
    max_attempts: Mapping[str, int],
) -> list[ParallelRuns]:
    """Return each request with the largest number of replicas that ran it at once.

    `max_attempts` has the replicas that a request may be sent to, by its kind.
    """
    runs = collections.defaultdict(list)
    for target in replicas:
        for run in target.runs:
            runs[run.id].append((run.at, run.ended, target.id))
    return [
        ParallelRuns(one.id, _count_at_once(runs[one.id]), max_attempts[one.kind])
        for one in outcomes
        if one.id in runs and one.kind in max_attempts
    ]


def _count_at_once(runs: Iterable[tuple[float, float, str]]) -> int:
    """Return the largest number of replicas with overlapping runs."""
    running: list[tuple[float, str]] = []
    most = 0
    for at, ended, name in sorted(runs):
        while running and running[0][0] <= at:
            heapq.heappop(running)
        heapq.heappush(running, (ended, name))
        most = max(most, len({other for _, other in running}))
    return most


def list_deadlines(
    outcomes: Iterable[invariants.RequestOutcome],
    replicas: Iterable[replica.Replica],
    disturbances: Sequence[invariants.Disturbance] = (),
) -> list[Deadline]:
    """Return the deadlines of all requests without a stream that no disturbance excuses."""
    arrived = collections.defaultdict(list)
    for target in replicas:
        for arrival in target.arrivals:
            arrived[arrival.id].append((arrival, target.id))
    found = []
    for one in outcomes:
        if one.kind in invariants.STREAM_KINDS or one.id not in arrived:
            continue
        arrivals = sorted(arrived[one.id], key=lambda pair: pair[0].at)
        first = arrivals[0][0]
        for arrival, name in arrivals:
            is_resent = arrival.at > first.at + RESENT_AFTER
            ends_at = arrival.at + arrival.time_left
            own = max(first.at + first.time_left, one.sent_at + one.patience)
            excess = ends_at - own if is_resent else arrival.time_left - one.patience
            if not invariants.is_excused(disturbances, (one.router, name), arrival.at):
                found.append(Deadline(one.id, excess, is_resent))
    return found


def measure(
    outcomes: Iterable[invariants.RequestOutcome],
    replicas: Iterable[replica.Replica],
    max_attempts: Mapping[str, int],
    disturbances: Sequence[invariants.Disturbance] = (),
) -> list[invariants.BoundUse]:
    """Return how near a run came to the bounds of both checks."""
    outcomes, targets = list(outcomes), list(replicas)
    uses = (
        measure_parallel_runs(outcomes, targets, max_attempts),
        measure_deadlines(outcomes, targets, disturbances),
    )
    return [use for use in uses if use is not None]


def measure_parallel_runs(
    outcomes: Iterable[invariants.RequestOutcome],
    replicas: Iterable[replica.Replica],
    max_attempts: Mapping[str, int],
) -> invariants.BoundUse | None:
    """Return the most replicas that ran a request at once, if any ran one."""
    uses = [
        invariants.BoundUse('replicas that run a request at once', one.count, one.allowed)
        for one in list_parallel_runs(outcomes, replicas, max_attempts)
    ]
    return max(uses, key=lambda use: use.share, default=None)


def measure_deadlines(
    outcomes: Iterable[invariants.RequestOutcome],
    replicas: Iterable[replica.Replica],
    disturbances: Sequence[invariants.Disturbance] = (),
) -> invariants.BoundUse | None:
    """Return by how much a deadline ended too late, if a request was sent again late."""
    name = 'seconds beyond the deadline of a request sent again'
    uses = [
        invariants.BoundUse(name, one.excess, DEADLINE_TOLERANCE)
        for one in list_deadlines(outcomes, replicas, disturbances)
        if one.is_resent
    ]
    return max(uses, key=lambda use: use.share, default=None)


def find_violations(
    outcomes: Iterable[invariants.RequestOutcome],
    replicas: Iterable[replica.Replica],
    max_attempts: Mapping[str, int],
    disturbances: Sequence[invariants.Disturbance] = (),
) -> list[str]:
    """Return each of both bounds that was exceeded."""
    outcomes, targets = list(outcomes), list(replicas)
    parallel = [
        one
        for one in list_parallel_runs(outcomes, targets, max_attempts)
        if one.count > one.allowed
    ]
    violations = []
    if len(parallel) > PARALLEL_ALLOWED:
        ids = ', '.join(f'{one.id} on {one.count} of {one.allowed}' for one in parallel)
        violations.append(f'{len(parallel)} requests ran on too many replicas at once: {ids}')
    deadlines = list_deadlines(outcomes, targets, disturbances)
    overlong = [one for one in deadlines if one.is_overlong]
    resent = sum(one.is_resent for one in deadlines)
    if len(overlong) > max(OVERLONG_ALLOWED, OVERLONG_SHARE * resent):
        most = max(one.excess for one in overlong)
        violations.append(
            f'{len(overlong)} deadlines ended later than those of the clients, by up to '
            f'{most:.2f} s; {resent} requests were sent again late'
        )
    return violations


def list_arrivals_after_leaving(
    left_at: Mapping[str, float], replicas: Iterable[replica.Replica]
) -> list[replica.Arrival]:
    """Return the arrivals of requests whose clients had left too long before."""
    return [
        arrival
        for target in replicas
        for arrival in target.arrivals
        if arrival.at > left_at.get(arrival.id, math.inf) + LEFT_AFTER
    ]


def find_late_arrivals(
    left_at: Mapping[str, float], replicas: Iterable[replica.Replica]
) -> list[str]:
    """Return whether too many requests reached replicas after their clients had left."""
    late = list_arrivals_after_leaving(left_at, replicas)
    if len(late) <= ARRIVALS_ALLOWED:
        return []
    most = max(arrival.at - left_at[arrival.id] for arrival in late)
    return [f'{len(late)} requests arrived up to {most:.2f} s after their clients had left']
