"""Chooses the replica for a request: cost estimates and the policies that rank candidates."""

from __future__ import annotations

import random
import statistics
from collections.abc import Sequence
from typing import Protocol

import msgspec

from passpier.core import cache_view, locality, rendezvous, replicas

TIE_SECONDS = 0.002
"""Cost differences below this count as a tie."""

RATE_TOLERANCE = 2.0
"""Factor within which a replica's learnt prefill rate is replaced by the pool's median."""

FAMILY_BLOCKS = 2
"""Blocks after the service's preamble that identify a prompt's family."""

REUSE_WEIGHT = {'first_token': 3.0, 'reuse': 4.0}
"""Cost of one second spent computing blocks that another replica has cached, relative to one second
of waiting."""

HOME_WEIGHT = {'first_token': 2.5, 'reuse': 4.0}
"""Additional cost of one second of computing away from the family's home replica; see
`HOME_PLACES`."""

HOME_PLACES = 8
"""Rendezvous ranks after a family's home over which that cost rises to its maximum, independent of
the pool size. Spread over a whole large pool, the cost of the next ten ranks would be close to zero
and the prompts of a family would scatter."""

CROWDING_WEIGHT = {'first_token': 0.2, 'reuse': 0.0}
"""Cost of pausing one running stream for a second, relative to one second of waiting.

Engines run prefill between the tokens of their streams, and all of these pause meanwhile: a prefill
of half a second delays every stream of the replica. This cost steers long prompts away from
replicas with many streams and spreads prefill work. For the objective `reuse`, a prompt belongs
where its prefix is cached, so the cost is zero.
"""

CROWDING_MIN_REQUESTS = 8
"""Running requests up to which the crowding cost is zero. Replicas with short streams have about as
many; charging for them would move prompts away from their homes without any benefit."""

CROWDING_MAX_REQUESTS = 20
"""Running requests above which the crowding cost stops rising. When all replicas are crowded, it
favors the replica with the fewest tokens to compute, and waiting times must still count."""


class Job(msgspec.Struct, frozen=True):
    """The properties of a request that policies use."""

    chain: list[int]
    block_tokens: int
    prompt_tokens: int
    preamble_blocks: int = 0
    objective: str = 'first_token'
    priority: int = 1
    block_ends: tuple[int, ...] = ()
    """Cumulative tokens at the end of each block, if blocks differ in size."""

    spread_key: str = ''
    """Key by which `SpreadPolicy` places a crash suspect, to keep it apart from other suspects."""

    family: str = ''
    """Key that prompts with a common prefix share, if the request provides one."""

    max_output: int = 0
    """Maximum number of output tokens, or 0 if the client states none."""

    def count_tokens(self, blocks: int) -> int:
        """Return the number of tokens in the first `blocks` blocks."""
        if not self.block_ends:
            return blocks * self.block_tokens
        return self.block_ends[blocks - 1] if blocks else 0


class Candidate(msgspec.Struct, frozen=True):
    """A replica with its cost terms, in seconds except `matched_tokens`."""

    name: str
    matched_tokens: int
    confidence: float
    wait: float
    prefill: float
    recompute: float
    crowding: float
    """Cost of the pauses that the prefill causes in the streams running there."""

    crossing: float = 0.0
    """Cost of leaving the failure domain."""

    @property
    def total(self) -> float:
        """The total estimated cost."""
        return self.wait + self.prefill + self.recompute + self.crowding + self.crossing


class Choice(msgspec.Struct, frozen=True):
    """The chosen replica, the reason, and all candidates."""

    name: str
    reason: str
    candidates: tuple[Candidate, ...]
    miss_tokens: int

    @property
    def winner(self) -> Candidate:
        """The chosen replica's cost terms."""
        return next(c for c in self.candidates if c.name == self.name)


class Policy(Protocol):
    """A strategy for choosing among candidates."""

    def pick(self, job: Job, candidates: Sequence[Candidate]) -> tuple[Candidate, str]:
        """Return the winner and the reason."""


class CostPolicy:
    """Chooses the lowest cost; ties go to the rendezvous winner of the prompt's family."""

    def pick(self, job: Job, candidates: Sequence[Candidate]) -> tuple[Candidate, str]:
        """Return the cheapest candidate."""
        best = min(candidates, key=lambda c: c.total)
        near = [c for c in candidates if c.total <= best.total + TIE_SECONDS]
        if len(near) == 1:
            return best, 'prefix' if best.matched_tokens else 'least_cost'
        family = get_family(job)
        winner = max(near, key=lambda c: rendezvous.compute_weight(family, c.name))
        return winner, 'tie_by_family'


class RoundRobinPolicy:
    """Chooses the candidates in rotation."""

    def __init__(self) -> None:
        self._turn = 0

    def pick(self, job: Job, candidates: Sequence[Candidate]) -> tuple[Candidate, str]:
        """Return the next candidate by name."""
        ordered = sorted(candidates, key=lambda c: c.name)
        self._turn += 1
        return ordered[self._turn % len(ordered)], 'turn'


class LeastLoadPolicy:
    """Chooses the shortest wait, at random among equals."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, job: Job, candidates: Sequence[Candidate]) -> tuple[Candidate, str]:
        """Return a candidate with the least wait."""
        least = min(c.wait + c.crossing for c in candidates)
        near = [c for c in candidates if c.wait + c.crossing <= least + 1e-9]
        return self._rng.choice(near), 'least_load'


class PrefixHashPolicy:
    """Chooses the rendezvous winner of the prompt's family, regardless of load."""

    def pick(self, job: Job, candidates: Sequence[Candidate]) -> tuple[Candidate, str]:
        """Return the home replica of the family."""
        family = get_family(job)
        winner = max(candidates, key=lambda c: rendezvous.compute_weight(family, c.name))
        return winner, 'family'


class SpreadPolicy:
    """Chooses the request's own rendezvous winner, so that crash suspects spread over the pool."""

    def pick(self, job: Job, candidates: Sequence[Candidate]) -> tuple[Candidate, str]:
        """Return the candidate with the highest weight for the request."""
        winner = max(candidates, key=lambda c: rendezvous.compute_weight(job.spread_key, c.name))
        return winner, 'apart'


def build_policies(rng: random.Random) -> dict[str, Policy]:
    """Return the policies by the names used in routing rules."""
    return {
        'cost': CostPolicy(),
        'round_robin': RoundRobinPolicy(),
        'least_load': LeastLoadPolicy(rng),
        'prefix_hash': PrefixHashPolicy(),
        'apart': SpreadPolicy(),
    }


def get_family(job: Job) -> str:
    """Return the key by which prompts with a common prefix are placed together."""
    if job.family or not job.chain:
        return job.family
    return str(job.chain[min(job.preamble_blocks + FAMILY_BLOCKS, len(job.chain) - 1)])


def estimate(
    job: Job,
    replica: replicas.Replica,
    match: cache_view.Match,
    rate: float,
    duplicated: int,
    rank: float,
    now: float,
    own_domain: str = '',
) -> Candidate:
    """Return a replica's cost terms for a job.

    `rate` is in seconds per token; `duplicated` is the number of tokens to compute here that
    another replica has cached; `rank` is the distance from the family's home, from 0 (home) to 1.
    """
    matched = job.count_tokens(match.blocks)
    miss = max(0.0, job.prompt_tokens - matched * match.confidence)
    running = replicas.estimate_running(replica, now)
    # Without a prompt, the number of running requests is the only indicator of the wait.
    excess = max(0, running + 1 - replica.slots) if job.prompt_tokens else running
    slot_wait = excess * replica.service_seconds / max(1, replica.slots)
    wait = replicas.estimate_backlog(replica, now, job.priority) * rate + slot_wait
    duplication = duplicated * rate * REUSE_WEIGHT[job.objective]
    at_home = min(miss, locality.count_home_tokens(job, own_domain))
    away = at_home * rate * HOME_WEIGHT[job.objective] * rank
    return Candidate(
        replica.name,
        matched,
        match.confidence,
        wait,
        miss * rate,
        duplication + away,
        _count_crowding_requests(running) * miss * rate * CROWDING_WEIGHT[job.objective],
        locality.estimate_crossing(own_domain, replica.failure_domain),
    )


def _count_crowding_requests(running: int) -> int:
    """Return the number of running requests that count for the crowding cost."""
    return min(
        max(0, running - CROWDING_MIN_REQUESTS), CROWDING_MAX_REQUESTS - CROWDING_MIN_REQUESTS
    )


def estimate_all(
    job: Job,
    pool: Sequence[replicas.Replica],
    cache: cache_view.CacheView,
    now: float,
    own_domain: str = '',
) -> list[Candidate]:
    """Return the cost terms of all replicas of a pool."""
    matches = [cache.match(replica.name, job.chain, now) for replica in pool]
    # Every replica soon caches the preamble, so copies of it are not counted as duplicates.
    preamble = job.preamble_blocks
    most = max((m.blocks for m in matches), default=0)
    ranks = rank_homes(get_family(job), pool)
    median = statistics.median(r.seconds_per_token for r in pool) if pool else 0.0
    return [
        estimate(
            job,
            r,
            m,
            get_rate(r, median, now),
            job.count_tokens(max(most, preamble)) - job.count_tokens(max(m.blocks, preamble)),
            ranks.get(r.name, 1.0),
            now,
            own_domain,
        )
        for r, m in zip(pool, matches, strict=True)
    ]


def rank_homes(family: str, pool: Sequence[replicas.Replica]) -> dict[str, float]:
    """Return the distance of the nearest replicas from a family's home; all others count as 1."""
    places = min(HOME_PLACES, len(pool) - 1)
    first = rendezvous.find_first(family, tuple(r.name for r in pool), HOME_PLACES)
    return {name: place / max(1, places) for place, name in enumerate(first)}


def get_rate(replica: replicas.Replica, median: float, now: float) -> float:
    """Return a replica's prefill time per token: the pool's median unless it differs widely.

    Small differences are measurement noise and would move prompts away from their homes. Speeds
    are only set while the replicas are known to differ.
    """
    if replica.speed is not None:
        return replicas.get_seconds_per_token(replica, now)
    own = replica.seconds_per_token
    return median if median / RATE_TOLERANCE < own < median * RATE_TOLERANCE else own


def choose(
    job: Job,
    pool: Sequence[replicas.Replica],
    cache: cache_view.CacheView,
    policy: Policy,
    now: float,
    own_domain: str = '',
) -> Choice | None:
    """Return the choice among `pool`, or `None` if it is empty.

    Leaving `own_domain` costs something, if it is given.
    """
    candidates = estimate_all(job, pool, cache, now, own_domain)
    if not candidates:
        return None
    winner, reason = policy.pick(job, candidates)
    miss = max(0, job.prompt_tokens - winner.matched_tokens)
    return Choice(winner.name, reason, tuple(candidates), miss)
