"""Requests stay in their failure domain until the wait there outweighs the crossing."""

from __future__ import annotations

import random

from passpier.core import cache_view, choice, replicas

DOMAINS = ('a', 'b', 'c')
SECONDS_PER_TOKEN = 1 / 81_900


def make_pool(size: int = 9, slots: int = 48) -> list[replicas.Replica]:
    pool = [
        replicas.Replica(f'r{n}', '', '', DOMAINS[n % len(DOMAINS)], slots=slots)
        for n in range(size)
    ]
    for replica in pool:
        replica.seconds_per_token = SECONDS_PER_TOKEN
    return pool


def choose_domain(job: choice.Job, pool: list[replicas.Replica], policy: choice.Policy) -> str:
    cache = cache_view.CacheView()
    for replica in pool:
        cache.set_incarnation(replica.name, 'i')
    chosen = choice.choose(job, pool, cache, policy, 1.0, 'a')
    assert chosen is not None
    return next(r for r in pool if r.name == chosen.name).failure_domain


def make_short_job(number: int) -> choice.Job:
    return choice.Job([1, 100 + number], 100, 826, block_ends=(119, 198))


def load_domain(pool: list[replicas.Replica], domain: str, tokens: int) -> None:
    for replica in pool:
        if replica.failure_domain == domain:
            replicas.begin_dispatch(replica, 'queued', tokens, 1.0)


def test_short_prompts_stay_in_a_calm_domain() -> None:
    """Guards against spreading short prompts over all domains by their hash."""
    pool = make_pool()
    domains = {choose_domain(make_short_job(n), pool, choice.CostPolicy()) for n in range(30)}
    assert domains == {'a'}


def test_short_prompts_leave_a_domain_at_the_top_of_its_demand() -> None:
    """Each replica there has a prompt of 9,190 tokens to compute, 112 ms."""
    pool = make_pool()
    load_domain(pool, 'a', 9190)
    domains = {choose_domain(make_short_job(n), pool, choice.CostPolicy()) for n in range(30)}
    assert 'a' not in domains


def test_a_session_keeps_its_home_in_another_domain() -> None:
    """Guards against computing the long prompts of a session once per domain."""
    pool = make_pool()
    chain = [1, 2, 3]
    job = choice.Job(chain, 100, 9190, block_ends=(2520, 6300, 9190))
    home = next(r for r in pool if choice.rank_homes(choice.get_family(job), pool)[r.name] == 0)
    elsewhere = next(d for d in DOMAINS if d != home.failure_domain)
    cache = cache_view.CacheView()
    for replica in pool:
        cache.set_incarnation(replica.name, 'i')
    chosen = choice.choose(job, pool, cache, choice.CostPolicy(), 1.0, elsewhere)
    assert chosen is not None
    assert chosen.name == home.name


def test_plain_requests_leave_their_domain_only_for_fewer_running_ones() -> None:
    pool = make_pool(size=3, slots=6)
    policy = choice.LeastLoadPolicy(random.Random(1))
    job = choice.Job([], 1, 0)
    for replica in pool:
        replica.service_seconds = 0.09
    assert choose_domain(job, pool, policy) == 'a'
    replicas.begin_dispatch(pool[0], 'one', 0, 1.0)
    assert choose_domain(job, pool, policy) != 'a'


def test_an_unknown_own_domain_changes_nothing() -> None:
    pool = make_pool()
    cache = cache_view.CacheView()
    candidates = choice.estimate_all(make_short_job(1), pool, cache, 1.0)
    assert not any(c.crossing for c in candidates)
