"""The choice of replicas and the load estimates behind it."""

from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st

from passpier.core import cache_view, choice, replicas

CHAIN = list(range(1, 41))


def make_pool(size: int = 4) -> tuple[list[replicas.Replica], cache_view.CacheView]:
    cache = cache_view.CacheView()
    pool = [replicas.Replica(f'r{n}', '', '', '') for n in range(size)]
    for replica in pool:
        cache.set_incarnation(replica.name, 'i')
    return pool, cache


def make_job(objective: str = 'first_token') -> choice.Job:
    return choice.Job(CHAIN, 64, 40 * 64, 4, objective)


def choose(
    pool: list[replicas.Replica], cache: cache_view.CacheView, **kwargs: str
) -> choice.Choice:
    chosen = choice.choose(make_job(**kwargs), pool, cache, choice.CostPolicy(), 1.0)
    assert chosen is not None
    return chosen


def test_all_daemons_choose_the_same_replica_for_an_unknown_prompt() -> None:
    names = {choose(*make_pool()).name for _ in range(5)}
    assert len(names) == 1


def test_a_cached_prefix_is_preferred_until_its_replica_is_busy() -> None:
    pool, cache = make_pool()
    home = choose(pool, cache).name
    other = next(r for r in pool if r.name != home)
    cache.add(other.name, 'i', CHAIN, cache_view.Evidence.ANSWER, 1.0)
    assert choose(pool, cache).name == other.name
    replicas.begin_dispatch(other, 'a', 60_000, 1.0)
    assert choose(pool, cache).name != other.name


def run_streams(replica: replicas.Replica, count: int) -> None:
    """Add streams to a replica that are past their first token."""
    replica.slots = 64
    for number in range(count):
        dispatch = replicas.Dispatch(0, 1.0, 0, first_token=True)
        replica.dispatches[str(number)] = dispatch


def test_a_long_prompt_avoids_a_replica_with_many_streams() -> None:
    pool, cache = make_pool()
    home = next(r for r in pool if r.name == choose(pool, cache).name)
    run_streams(home, 30)
    assert choose(pool, cache).name != home.name
    # For the objective `reuse`, pauses of running streams have no cost.
    assert choose(pool, cache, objective='reuse').name == home.name


def test_few_streams_do_not_move_a_prompt_from_its_home() -> None:
    pool, cache = make_pool()
    home = next(r for r in pool if r.name == choose(pool, cache).name)
    run_streams(home, choice.CROWDING_MIN_REQUESTS)
    assert choose(pool, cache).name == home.name


def find_max_backlog(objective: str) -> int:
    """Return the backlog in tokens at which a cached prefix is no longer waited for."""
    for tokens in range(1000, 200_000, 1000):
        pool, cache = make_pool()
        cache.add('r1', 'i', CHAIN, cache_view.Evidence.ANSWER, 1.0)
        replicas.begin_dispatch(pool[1], 'a', tokens, 1.0)
        if choose(pool, cache, objective=objective).name != 'r1':
            return tokens
    raise AssertionError('the cached prefix is always preferred')


def test_reuse_waits_longer_for_a_cached_prefix_than_first_token() -> None:
    assert 2_000 < find_max_backlog('first_token') < find_max_backlog('reuse')


def test_a_hot_prefix_spreads_and_returns_to_its_home() -> None:
    """While the home is loaded, other replicas take over, and stay in use once they cache it."""
    pool, cache = make_pool()
    home = next(r for r in pool if r.name == choose(pool, cache).name)
    cache.add(home.name, 'i', CHAIN, cache_view.Evidence.ANSWER, 1.0)
    used = set()
    for number in range(200):
        chosen = choose(pool, cache)
        used.add(chosen.name)
        replica = next(r for r in pool if r.name == chosen.name)
        replicas.begin_dispatch(replica, str(number), max(200, chosen.miss_tokens), 1.0)
        cache.add(chosen.name, 'i', CHAIN, cache_view.Evidence.DISPATCH, 1.0)
    assert len(used) > 1
    for replica in pool:
        replica.dispatches.clear()
    assert choose(pool, cache).name == home.name


@hypothesis.given(st.integers(0, 1000), st.integers(1, 8))
def test_every_policy_picks_a_candidate(seed: int, size: int) -> None:
    pool, cache = make_pool(size)
    rng = random.Random(seed)
    for replica in pool:
        cache.add(replica.name, 'i', CHAIN[: rng.randrange(40)], cache_view.Evidence.EVENT, 1.0)
    for policy in choice.build_policies(rng).values():
        chosen = choice.choose(make_job(), pool, cache, policy, 1.0)
        assert chosen is not None
        assert chosen.name in {c.name for c in chosen.candidates}
    assert choice.choose(make_job(), [], cache, choice.CostPolicy(), 1.0) is None


def test_load_combines_reports_dispatches_and_peer_loads() -> None:
    replica = replicas.Replica('r', '', '', '')
    replicas.begin_dispatch(replica, 'a', 1000, 1.0)
    assert replicas.estimate_running(replica, 1.0) == 1
    replica.report = replicas.Report(5, 3, 4000, 2.0)
    assert replicas.estimate_running(replica, 2.0) == 8
    replicas.begin_dispatch(replica, 'b', 1000, 2.1)
    assert replicas.estimate_backlog(replica, 2.1) > 1000
    replica.peers['x'] = replicas.PeerLoad((0, 50_000, 0, 0), 20, 2.1)
    assert replicas.estimate_running(replica, 2.1) == 22
    assert replicas.estimate_running(replica, 2.2 + replicas.PEER_LOAD_SECONDS) < 22
    replicas.end_dispatch(replica, 'a', 3.0)
    replicas.end_dispatch(replica, 'b', 3.0)
    assert not replica.dispatches


def test_the_prefill_rate_is_learnt() -> None:
    replica = replicas.Replica('r', '', '', '')
    now = 0.0
    for number in range(200):
        replicas.begin_dispatch(replica, str(number), 4000, now)
        now += 0.1
        replicas.note_first_token(replica, str(number), now)
        replicas.end_dispatch(replica, str(number), now)
    assert 0.9 < replica.seconds_per_token / (0.1 / 4000) < 1.1


def make_family_job(family: str) -> choice.Job:
    """Return a job with a common preamble, a family's block and a private last block."""
    chain = [1, hash(family), hash((family, 'own'))]
    ends = (2500, 6300, 9200)
    return choice.Job(chain, 1, 9200, preamble_blocks=1, block_ends=ends, family=family)


def compute_cost_step(size: int) -> float:
    """Return the additional cost of the second replica in a family's ranking, in seconds."""
    pool, cache = make_pool(size)
    costs = sorted(c.total for c in choice.estimate_all(make_family_job('f'), pool, cache, 1.0))
    return costs[1] - costs[0]


def test_the_cost_of_the_second_replica_does_not_depend_on_the_pool_size() -> None:
    assert abs(compute_cost_step(choice.HOME_PLACES + 1) - compute_cost_step(670)) < 1e-9


def test_a_cached_preamble_does_not_move_families_from_their_homes() -> None:
    pool, cache = make_pool(60)
    policy = choice.CostPolicy()
    homes = [choice.choose(make_family_job(f'f{n}'), pool, cache, policy, 1.0) for n in range(50)]
    # Two replicas are the first to cache the preamble under new weights.
    for name in ('r0', 'r1'):
        cache.add(name, 'i', [1], cache_view.Evidence.EVENT, 1.0, [2500])
    again = [choice.choose(make_family_job(f'f{n}'), pool, cache, policy, 1.0) for n in range(50)]
    pairs = zip(homes, again, strict=True)
    moved = [new for old, new in pairs if old and new and old.name != new.name]
    # Only families that rank one of the two among their first replicas may move.
    assert len(moved) <= 3


def test_computed_tokens_are_subtracted_once_from_the_load_of_all_daemons() -> None:
    replica = replicas.Replica('r', '', '', '')
    rate = replica.seconds_per_token
    for sender in ('a', 'b', 'c', 'd'):
        replica.peers[sender] = replicas.PeerLoad((0, 1000, 0, 0), 1, 10.0)
    # In the time of 200 tokens it computes 200 of the announced 4,000, not 200 of each 1,000.
    left = replicas.estimate_backlog(replica, 10.0 + 200 * rate)
    assert abs(left - 3800) < 1


def test_unanswered_requests_keep_counting() -> None:
    replica = replicas.Replica('r', '', '', '')
    rate = replica.seconds_per_token
    replicas.begin_dispatch(replica, 'a', 1000, 10.0)
    replica.peers['b'] = replicas.PeerLoad((0, 1000, 0, 0), 1, 10.0)
    least = 2000 * replicas.MIN_PENDING_SHARE
    assert replicas.estimate_backlog(replica, 10.0 + 9000 * rate) >= least - 1
    replicas.note_first_token(replica, 'a', 10.5)
    assert replicas.estimate_backlog(replica, 10.5) < least
