"""Which replicas of a pool are reserved for short urgent prompts, and the candidates of a request.

Engines run prefill between the events of their streams, so a long prompt pauses all streams at its
replica. Short urgent prompts therefore get replicas of their own.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import msgspec

from passpier.core import (
    choice,
    pool_demand,
    priorities,
    rendezvous,
    replica_processes,
    replicas,
    speeds,
)

PAUSED_SHARE_MIN = 0.02
"""Fraction of the urgent streams with too long a pause from which on a pool is partitioned, even if
the expected pause is shorter: slowdowns of replicas and rare, very long prompts aren't in it."""

PAUSED_RATE_MIN = 0.3
"""Streams with too long a pause per second below which their fraction says little: three in the ten
seconds of its average."""

KEPT_PAUSE_SHARE = 0.25
"""Fraction of the permitted pause that one long prompt causes, from which on a partition is kept:
the pauses that called for it end with it."""

SHORT_PROMPT_SHARE = 0.25
"""Largest typical urgent prompt, as a fraction of the longest one of the other priorities. Longer
ones would pause the streams at the reserved replicas themselves."""

COINCIDING_PROMPTS = 2
"""Long prompts that are assumed to follow each other at one replica."""

USED_SHARE = 0.5
"""Fraction of the reserved replicas' slots and prefill time that the urgent class takes."""

SPARE_REPLICAS = 1
"""Replicas reserved above that demand."""

POOL_PER_RESERVED = 3
"""Serving replicas for each one that may be reserved."""

MIN_POOL = 8
"""Serving replicas below which a pool is not partitioned: the others would have to take the work of
a lost replica from too few."""

SHRINK_SECONDS = 5.0
"""Seconds of lower demand after which one replica is released."""

SLOW_SPEED_SHARE = 0.8
"""Prefill speed below which a replica counts as slow, as a fraction of the pool's median speed."""

SLOW_TARGET_SHARE = 0.5
"""Fraction of the permitted pause within which a slow replica has to serve an urgent prompt."""

FREE_SLOT_SHARE = 0.75
"""Fraction of a reserved replica's slots up to which it gets urgent requests while others have
room: placements of other VMs are known a tenth of a second later."""

OVERFLOW_SLOT_SHARE = 0.25
"""Fraction of a reserved replica's slots below which it takes other requests if no other replica
has room: their prefill pauses the streams that run there."""


class Separation(msgspec.Struct, frozen=True):
    """The partition of a pool."""

    reserved: frozenset[str] = frozenset()
    """Replicas for short urgent prompts; empty if the pool is not partitioned."""


class Assessment(msgspec.Struct, frozen=True):
    """The inputs of a partition and the number of replicas that they call for."""

    reason: str
    wanted: int = 0
    slots: float = 0.0
    """Slots that the urgent class occupies."""

    prefill_rate: float = 0.0
    urgent_prefill: float = 0.0
    other_prefill: float = 0.0
    pause: float = 0.0
    """Longest expected time between two events of a stream at the slowest replica."""

    paused_share: float = 0.0
    """Fraction of the urgent streams with too long a pause."""


def scale(picture: pool_demand.Picture, factor: float) -> pool_demand.Picture:
    """Return a picture with its rates multiplied."""
    rows = tuple(
        msgspec.structs.replace(
            d,
            request_rate=d.request_rate * factor,
            prefill_rate=d.prefill_rate * factor,
            stream_rate=d.stream_rate * factor,
            paused_rate=d.paused_rate * factor,
        )
        for d in picture.priorities
    )
    return msgspec.structs.replace(picture, priorities=rows)


def get_speed(replica: replicas.Replica) -> speeds.Speed | None:
    """Return the measured speed of a replica, or `None` before any measurement."""
    if replica.speed is not None:
        return replica.speed
    # The default is no measurement, and could call for a partition that isn't needed.
    if replica.seconds_per_token == replicas.DEFAULT_SECONDS_PER_TOKEN:
        return None
    return speeds.Speed(replica.seconds_per_token, 0.0, 0.0)


class Separator:
    """Partitions the pool of one service; `priority` is that of its most urgent routes.

    The priority of an account doesn't matter here: the class of a request follows from its size,
    which its route tells.
    """

    def __init__(self, service: str, priority: int) -> None:
        self.priority = priority
        self.assessment = Assessment('no demand known')
        """The inputs of the last partition."""

        self._service = service
        self._number = 0
        self._lower_since: float | None = None
        self._reserved: dict[str, replica_processes.ReplicaProcess] = {}

    def divide(
        self,
        pool: Sequence[replicas.Replica],
        picture: pool_demand.Picture | None,
        event_gap: float,
        now: float,
    ) -> Separation:
        """Return the partition of the serving replicas; `event_gap` is 0 if pauses have no limit.

        Measurements that no longer call for a partition count as lower demand, so that values near
        a limit don't switch it on and off.
        """
        limit = len(pool) // POOL_PER_RESERVED
        obstacle = ''
        if picture is None:
            obstacle = 'no demand known'
        elif event_gap <= 0:
            obstacle = 'pauses not limited'
        elif len(pool) < MIN_POOL:
            obstacle = 'pool too small'
        if picture is None or obstacle:
            self.assessment = Assessment(obstacle)
            self._number, self._lower_since, self._reserved = 0, None, {}
            return Separation()
        known = {r.name: s for r in pool if (s := get_speed(r)) is not None}
        urgent, _ = self._split(picture)
        typical = max((d.longest_prefill for d in urgent), default=0.0)
        ranked = self._rank(pool, known, typical, event_gap)
        # Reserved replicas stay so, but the last in the order are the first to be released: sets of
        # VMs that differ converge with each change of the number.
        kept = [r for r in ranked if self._reserved.get(r.name) == r.process]
        ordered = kept + [r for r in ranked if self._reserved.get(r.name) != r.process]
        self.assessment = self._assess(ordered, known, picture, event_gap)
        self._adjust(min(self.assessment.wanted, limit), now)
        self._number = min(self._number, limit)
        chosen = _cover_domains(ordered[: self._number], ranked)
        self._reserved = {r.name: r.process for r in chosen}
        return Separation(frozenset(self._reserved))

    def select(
        self,
        job: choice.Job,
        available: Sequence[replicas.Replica],
        separation: Separation,
        now: float,
    ) -> list[replicas.Replica]:
        """Return the candidates for a request; it waits if there are none."""
        reserved = separation.reserved
        if not reserved or not job.prompt_tokens:
            return list(available)
        if self._is_urgent(job.priority):
            own = [r for r in available if r.name in reserved and _has_free_slot(r, now)]
            return own or list(available)
        own = [r for r in available if r.name not in reserved and replicas.has_room(r, now)]
        return own or [
            r
            for r in available
            if r.name in reserved
            and replicas.estimate_running(r, now) < r.slots * OVERFLOW_SLOT_SHARE
            and replicas.has_room(r, now)
        ]

    def _is_urgent(self, level: int) -> bool:
        return priorities.get_route_priority(level) <= self.priority

    def _split(
        self, picture: pool_demand.Picture
    ) -> tuple[list[pool_demand.PriorityDemand], list[pool_demand.PriorityDemand]]:
        """Return the demand of the urgent class and that of all others."""
        urgent = [d for n, d in enumerate(picture.priorities) if self._is_urgent(n)]
        others = [d for n, d in enumerate(picture.priorities) if not self._is_urgent(n)]
        return urgent, others

    def _rank(
        self,
        pool: Sequence[replicas.Replica],
        known: dict[str, speeds.Speed],
        typical: float,
        event_gap: float,
    ) -> list[replicas.Replica]:
        """Return the replicas in the order in which they are reserved."""
        slow = set()
        if known:
            limit = statistics.median(s.seconds_per_token for s in known.values())
            limit /= SLOW_SPEED_SHARE
            budget = event_gap * SLOW_TARGET_SHARE
            for name, speed in known.items():
                seconds = typical * speed.seconds_per_token + speed.event_seconds
                if speed.seconds_per_token > limit and seconds <= budget:
                    slow.add(name)
        names = rendezvous.rank_names(self._service, [r.name for r in pool])
        places = {name: place for place, name in enumerate(names)}
        sizes: dict[str, int] = {}
        ranks: dict[str, tuple[int, int]] = {}
        for replica in sorted(pool, key=lambda r: (r.name not in slow, places[r.name])):
            size = sizes.get(replica.failure_domain, 0)
            sizes[replica.failure_domain] = size + 1
            ranks[replica.name] = (size, places[replica.name])
        return sorted(pool, key=lambda r: ranks[r.name])

    def _assess(
        self,
        ordered: Sequence[replicas.Replica],
        known: dict[str, speeds.Speed],
        picture: pool_demand.Picture,
        event_gap: float,
    ) -> Assessment:
        urgent, others = self._split(picture)
        other_prefill = max((d.longest_prefill for d in others), default=0.0)
        slowest = max((s.seconds_per_token for s in known.values()), default=0.0)
        event_seconds = max((s.event_seconds for s in known.values()), default=0.0)
        assessment = Assessment(
            'prefill pauses streams',
            slots=sum(d.request_rate * d.slot_seconds for d in urgent),
            prefill_rate=sum(d.prefill_rate for d in urgent),
            urgent_prefill=max((d.longest_prefill for d in urgent), default=0.0),
            other_prefill=other_prefill,
            pause=COINCIDING_PROMPTS * other_prefill * slowest + event_seconds,
            paused_share=_compute_paused_share(urgent),
        )
        is_kept = bool(self._number) and other_prefill * slowest > event_gap * KEPT_PAUSE_SHARE
        is_paused = assessment.paused_share >= PAUSED_SHARE_MIN

        reason = ''
        if not any(d.request_rate for d in urgent):
            reason = 'no urgent demand'
        elif assessment.urgent_prefill > other_prefill * SHORT_PROMPT_SHARE:
            reason = 'urgent prompts not short'
        elif not known:
            reason = 'no speed known'
        elif assessment.pause <= event_gap and not is_paused and not is_kept:
            reason = 'pauses within the target'
        if reason:
            return msgspec.structs.replace(assessment, reason=reason)
        wanted = _count_needed(ordered, known, assessment)
        domains = len({r.failure_domain for r in ordered})
        return msgspec.structs.replace(assessment, wanted=max(wanted, domains))

    def _adjust(self, wanted: int, now: float) -> None:
        """Increase the number at once, and reduce it by one after a time of lower demand."""
        if wanted >= self._number:
            self._number, self._lower_since = wanted, None
        elif self._lower_since is None:
            self._lower_since = now
        elif now - self._lower_since >= SHRINK_SECONDS:
            self._number, self._lower_since = self._number - 1, now


def _has_free_slot(replica: replicas.Replica, now: float) -> bool:
    """Return whether a replica starts an urgent request at once, without a queue for its slots."""
    if replicas.estimate_running(replica, now) >= replica.slots * FREE_SLOT_SHARE:
        return False
    return replicas.has_room(replica, now)


def _compute_paused_share(urgent: Sequence[pool_demand.PriorityDemand]) -> float:
    """Return the fraction of streams with too long a pause, or 0 if these are few."""
    paused = sum(d.paused_rate for d in urgent)
    if paused < PAUSED_RATE_MIN:
        return 0.0
    return paused / max(paused, sum(d.stream_rate for d in urgent))


def _count_needed(
    ordered: Sequence[replicas.Replica],
    known: dict[str, speeds.Speed],
    assessment: Assessment,
) -> int:
    """Return how many of the first replicas the urgent class needs."""
    median = statistics.median(s.seconds_per_token for s in known.values())
    slots = rate = 0.0
    for number, replica in enumerate(ordered, 1):
        speed = known.get(replica.name)
        slots += replica.slots * USED_SHARE
        rate += USED_SHARE / (speed.seconds_per_token if speed is not None else median)
        if slots >= assessment.slots and rate >= assessment.prefill_rate:
            return number + SPARE_REPLICAS
    return len(ordered)


def _cover_domains(
    chosen: Sequence[replicas.Replica], ranked: Sequence[replicas.Replica]
) -> list[replicas.Replica]:
    """Replace the last replicas of other failure domains if a domain has none.

    A domain that returns after a failure would otherwise have none until the number grows.
    """
    covered = list(chosen)
    domains = {r.failure_domain for r in ranked}
    if len(covered) < len(domains):
        return covered
    places = {r.name: place for place, r in enumerate(ranked)}
    for domain in sorted(domains - {r.failure_domain for r in covered}):
        present = [r.failure_domain for r in covered]
        spare = [r for r in covered if present.count(r.failure_domain) > 1]
        covered.remove(max(spare, key=lambda r: places[r.name]))
        covered.append(next(r for r in ranked if r.failure_domain == domain))
    return covered
