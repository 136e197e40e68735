"""The choice of replicas and the load estimates behind it."""

from __future__ import annotations

import heapq
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import cache_view, choice, replicas, speeds

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


RATE = 1 / 81_900
"""Prefill time per token at the usual speed."""

LONG = 9190
PROMPTS = 2500
UNEVEN = (0.6, 1.0, 1.6)


class Vm:
    """What one VM knows of the replicas."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.pool, self.cache = make_pool(30)
        self.estimator = speeds.SpeedEstimator()
        for replica in self.pool:
            replica.seconds_per_token = RATE
            replica.slots = 48
            replica.room_seconds = 0.3


class Load:
    """Long prompts without a common prefix that nine VMs place on 30 replicas.

    Each replica computes its prompts one after the other. The VMs tell each other their loads every
    0.1 seconds, and their samples every 2 seconds if they use speeds.
    """

    def __init__(
        self, relative: tuple[float, ...], use_speeds: bool, seed: int = 1, slowdowns: bool = False
    ) -> None:
        self.vms = [Vm(f'vm-{n}') for n in range(9)]
        names = [r.name for r in self.vms[0].pool]
        self.taken = {x: LONG * RATE / relative[n % len(relative)] for n, x in enumerate(names)}
        self.use_speeds = use_speeds
        self.rng = random.Random(seed)
        self.phases = {x: self.rng.uniform(0, 4) for x in names} if slowdowns else {}
        self.free_at = dict.fromkeys(names, 0.0)
        self.waits: list[float] = []
        """Seconds from the placement of each prompt to its first event."""

        self.placed: list[str] = []

    def run(self, utilization: float, prompts: int = PROMPTS) -> None:
        """Place all prompts."""
        now, shared_at, samples_sent_at = 0.0, 0.0, 0.0
        interval = 1 / sum(1 / taken for taken in self.taken.values()) / utilization
        running: list[tuple[float, int, Vm, replicas.Replica]] = []
        policy = choice.CostPolicy()
        for number in range(prompts):
            now += self.rng.expovariate(1 / interval)
            while running and running[0][0] <= now:
                ended_at, attempt, vm, replica = heapq.heappop(running)
                self.end(vm, replica, str(attempt), ended_at)
            if now - shared_at >= 0.1:
                shared_at = now
                self.share_loads(now)
            if now - samples_sent_at >= 2.0 and self.use_speeds:
                samples_sent_at = now
                self.share_samples(now)
            vm = self.rng.choice(self.vms)
            usable = [r for r in vm.pool if replicas.has_room(r, now)] or vm.pool
            job = choice.Job([number], LONG, LONG)
            chosen = choice.choose(job, usable, vm.cache, policy, now)
            assert chosen is not None
            replica = next(r for r in vm.pool if r.name == chosen.name)
            replicas.begin_dispatch(replica, str(number), LONG, now)
            ends_at = self.compute(replica.name, now)
            heapq.heappush(running, (ends_at, number, vm, replica))
            self.waits.append(ends_at - now)
            self.placed.append(replica.name)

    def compute(self, name: str, now: float) -> float:
        """Return when a replica has computed another prompt."""
        begins_at = max(now, self.free_at[name])
        slowed = name in self.phases and (begins_at + self.phases[name]) % 4 < 0.6
        self.free_at[name] = begins_at + self.taken[name] * (2.5 if slowed else 1)
        return self.free_at[name]

    def end(self, vm: Vm, replica: replicas.Replica, attempt: str, now: float) -> None:
        """Learn from the first event of a prompt."""
        sample = replicas.note_first_token(replica, attempt, now)
        replicas.end_dispatch(replica, attempt, now)
        if sample is None or not self.use_speeds:
            return
        process = replica.process
        vm.estimator.note_prefill(process, sample.tokens, sample.seconds, now, sample.waited)
        replica.slowed_until = vm.estimator.get_slowed_until(process)

    def share_loads(self, now: float) -> None:
        """Tell all VMs the loads of the others."""
        for vm in self.vms:
            for index, replica in enumerate(vm.pool):
                load = replicas.PeerLoad(
                    replicas.count_pending(replica, now), len(replica.dispatches), now
                )
                for other in self.vms:
                    if other is not vm:
                        other.pool[index].peers[vm.name] = load
                        other.pool[index].peers_complete = True

    def share_samples(self, now: float) -> None:
        """Tell all VMs the samples of the others, and set the speeds."""
        for vm in self.vms:
            for other in self.vms:
                for process in vm.estimator.list_own(now - 2.0) if other is not vm else ():
                    sums = vm.estimator.read_own(process, now)
                    other.estimator.merge(vm.name, process, sums, now)
        for vm in self.vms:
            vm.estimator.assess(now)
            for known in vm.pool:
                speed = vm.estimator.estimate(known.process, now)
                known.speed = speed if vm.estimator.is_uneven else None


def compute_late_share(load: Load) -> float:
    """Return the share of prompts that take longer than two in a row at the slowest replicas."""
    waits = load.waits[PROMPTS // 3 :]
    return sum(w > 0.374 for w in waits) / len(waits)


@pytest.mark.parametrize('seed', [1, 2])
def test_prompts_rarely_queue_at_slow_replicas(seed: int) -> None:
    """Replicas of 0.6, 1 and 1.6 times the usual speed.

    Two prompts in a row at the slowest ones, 374 ms, leave nothing of the pause that streams may
    have. Without speeds, 5% of the prompts take longer.
    """
    load = Load(UNEVEN, use_speeds=True, seed=seed)
    load.run(0.7)
    assert compute_late_share(load) < 0.02
    slow = sum(int(name[1:]) % 3 == 0 for name in load.placed[PROMPTS // 3 :])
    # Their share of the pool's capacity is 0.19.
    assert slow < 0.19 * PROMPTS * 2 / 3


@pytest.mark.parametrize('slowdowns', [False, True])
@pytest.mark.parametrize('seed', [1, 2])
def test_nothing_changes_at_replicas_of_equal_speed(seed: int, slowdowns: bool) -> None:
    """Guards against noise in the estimates, which would move prompts from their homes.

    Slowdowns that affect all replicas alike must not count as a difference either.
    """
    before, after = (Load((1.0,), x, seed, slowdowns) for x in (False, True))
    before.run(0.7)
    after.run(0.7)
    assert after.placed == before.placed


def make_replica(rate: float) -> replicas.Replica:
    replica = replicas.Replica('r', '', '', '', slots=48, seconds_per_token=RATE)
    replica.room_seconds = 0.3
    replica.speed = speeds.Speed(rate, 0.03, 20.0)
    return replica


@pytest.mark.parametrize('relative', UNEVEN)
def test_the_queue_of_a_slow_replica_is_no_longer_in_seconds(relative: float) -> None:
    """Guards against limits in tokens at the usual speed: 0.3 s are 0.5 s at a slow replica."""
    replica = make_replica(RATE / relative)
    queued = 0
    while replicas.has_room(replica, 1.0):
        replicas.begin_dispatch(replica, str(queued), 1000, 1.0)
        queued += 1
    assert queued * 1000 * RATE / relative == pytest.approx(0.3, abs=1000 * RATE / relative)


def test_a_slowed_replica_counts_with_twice_its_time_per_token() -> None:
    """A replica that turns 2.5 times slower for 0.6 s and back."""
    replica = make_replica(RATE)
    replica.slowed_until = 1.6
    assert choice.get_rate(replica, RATE * 5, 1.5) == 2 * RATE
    assert choice.get_rate(replica, RATE * 5, 1.6) == RATE
    replicas.begin_dispatch(replica, 'a', 15_000, 1.0)
    assert not replicas.has_room(replica, 1.0)
    assert replicas.has_room(replica, 1.6)


def test_gaps_count_only_while_no_prefill_is_known_to_run() -> None:
    replica = replicas.Replica('r', '', '', '')
    assert not replicas.has_prefill(replica, 1.0, 1.1)
    replicas.begin_dispatch(replica, 'a', LONG, 1.0)
    assert replicas.has_prefill(replica, 1.05, 1.1)
    replicas.note_first_token(replica, 'a', 1.2)
    assert replicas.has_prefill(replica, 1.1, 1.3)
    assert not replicas.has_prefill(replica, 1.25, 1.3)
    replica.peers['x'] = replicas.PeerLoad((0, LONG, 0, 0), 1, 1.3)
    assert replicas.has_prefill(replica, 1.4, 1.5)
    assert not replicas.has_prefill(replica, 3.4, 3.5), 'the peer may have failed'
    replica.peers['x'] = replicas.PeerLoad((0, 0, 0, 0), 1, 4.0)
    assert replicas.has_prefill(replica, 3.9, 4.1), 'its prefill may just have ended'
    assert not replicas.has_prefill(replica, 4.05, 4.1)
