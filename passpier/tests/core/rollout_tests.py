"""Rollout of released weights to replicas that lose, delay and ignore orders."""

from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import rollout


def make_states(versions: dict[str, int], draining: tuple[str, ...] = ()) -> list[rollout.State]:
    return [rollout.State(r, {'m': v}, r in draining) for r, v in versions.items()]


def test_two_of_five_replicas_load_at_once() -> None:
    plan = rollout.Rollout()
    wanted = [rollout.Wanted('m', 2)]
    states = make_states(dict.fromkeys('abcde', 1))
    orders = plan.choose(wanted, states, 0.0)
    assert len(orders) == 2
    assert plan.choose(wanted, states, 0.1) == []
    plan.end(orders[0])
    assert [o.replica for o in plan.choose(wanted, states, 0.2)] == ['a']


@pytest.mark.parametrize('size', [5, 45, 70, 670])
def test_the_number_of_rounds_does_not_depend_on_the_pool_size(size: int) -> None:
    plan = rollout.Rollout()
    versions = {f'r{n}': 1 for n in range(size)}
    wanted = [rollout.Wanted('m', 2)]
    rounds = 0
    while orders := plan.choose(wanted, make_states(versions), float(rounds)):
        assert len(orders) <= size * 0.4
        for order in orders:
            versions[order.replica] = 2
            plan.end(order)
        rounds += 1
    assert set(versions.values()) == {2}
    assert rounds == 3


def test_most_of_a_small_pool_keeps_serving() -> None:
    plan = rollout.Rollout()
    wanted = [rollout.Wanted('m', 2)]
    states = make_states({'a': 1, 'b': 1, 'c': 1, 'd': 1}, draining=('d',))
    assert len(plan.choose(wanted, states, 0.0)) == 1
    assert len(rollout.Rollout().choose(wanted, make_states({'a': 1}), 0.0)) == 1


def test_an_order_without_effect_is_repeated() -> None:
    plan = rollout.Rollout()
    wanted = [rollout.Wanted('m', 2)]
    states = make_states({'a': 1})
    assert plan.choose(wanted, states, 0.0)
    assert plan.choose(wanted, states, rollout.ORDER_TIMEOUT + 0.1)


def test_a_replica_that_accepts_no_order_does_not_block_others() -> None:
    plan = rollout.Rollout()
    wanted = [rollout.Wanted('m', 2)]
    versions = {'a': 1, 'b': 1, 'c': 1, 'd': 1, 'e': 2}
    ordered = []
    now = 0.0
    for _ in range(20):
        now += 0.15
        for order in plan.choose(wanted, make_states(versions), now):
            ordered.append(order.replica)
            if order.replica in 'ab':
                plan.fail(order, now)
            else:
                versions[order.replica] = 2
                plan.end(order)
    assert {'c', 'd'} <= set(ordered[:4])
    assert ordered.count('a') <= 4


def test_intermediate_versions_are_skipped() -> None:
    plan = rollout.Rollout()
    orders = plan.choose([rollout.Wanted('m', 5)], make_states({'a': 1, 'b': 4}), 0.0)
    assert {o.version for o in orders} == {5}


def test_draining_replicas_and_other_models_get_no_orders() -> None:
    plan = rollout.Rollout()
    states = [*make_states({'a': 1, 'b': 1}, draining=('a',)), rollout.State('c', {'other': 1})]
    assert [o.replica for o in plan.choose([rollout.Wanted('m', 2)], states, 0.0)] == ['b']


def test_models_are_loaded_independently() -> None:
    plan = rollout.Rollout()
    wanted = [rollout.Wanted('m', 2), rollout.Wanted('n', 2)]
    states = [rollout.State(r, {m: 1}) for r, m in (('a', 'm'), ('b', 'm'), ('c', 'n'), ('d', 'n'))]
    assert [o.replica for o in plan.choose(wanted, states, 0.0)] == ['a', 'c']


def test_the_most_outdated_weights_are_replaced_first() -> None:
    """They are the first to be excluded from routing while they wait."""
    plan = rollout.Rollout()
    states = make_states({'a': 8, 'b': 8, 'c': 7, 'd': 9, 'e': 8})
    orders = plan.choose([rollout.Wanted('m', 10)], states, 0.0)
    assert [o.replica for o in orders] == ['c', 'a']


def test_the_late_end_of_an_order_does_not_close_a_newer_one() -> None:
    """Guards against closing the newer order, so that another one is given during the load."""
    plan = rollout.Rollout()
    wanted = [rollout.Wanted('m', 2)]
    states = make_states({'a': 1})
    (old,) = plan.choose(wanted, states, 0.0)
    plan.reset()
    (new,) = plan.choose(wanted, states, 0.1)
    plan.fail(old, 0.2)
    plan.end(old)
    assert plan.choose(wanted, states, 0.3) == []
    plan.end(new)
    assert plan.choose(wanted, states, 0.4)


def test_a_rollout_is_pending_until_all_replicas_have_the_version() -> None:
    plan = rollout.Rollout()
    wanted = [rollout.Wanted('m', 2)]
    assert plan.is_pending(wanted, make_states({'a': 2, 'b': 1}))
    assert not plan.is_pending(wanted, make_states({'a': 2, 'b': 3}))


@hypothesis.given(st.integers(0, 10_000), st.integers(1, 9))
def test_every_replica_reaches_the_newest_version(seed: int, count: int) -> None:
    rng = random.Random(seed)
    plan = rollout.Rollout()
    versions = {str(n): 1 for n in range(count)}
    loading: dict[str, tuple[float, rollout.Order]] = {}
    target = 2
    now = 0.0
    while now < 90.0:
        now += 0.2
        if now < 20 and rng.random() < 0.02:
            target += 1
        for replica, (at, order) in list(loading.items()):
            if now >= at:
                del loading[replica]
                versions[replica] = max(versions[replica], order.version)
                plan.end(order)
        wanted = [rollout.Wanted('m', target)]
        for order in plan.choose(wanted, make_states(versions), now):
            fate = rng.random() if now < 40 else 1.0
            if fate < 0.2:
                continue
            late = rng.uniform(2, 12) if fate < 0.4 else 0.8
            loading[order.replica] = (now + late, order)
    assert set(versions.values()) == {target}


def test_an_order_to_an_ended_process_does_not_block_its_successor() -> None:
    """Guards against counting it as open, and as one of the few loads, until it times out."""
    orders = rollout.Rollout()
    wanted = [rollout.Wanted('m', 2)]
    first = orders.choose(wanted, [rollout.State('a', {'m': 1}, started_ms=1000)], 10.0)
    assert [o.started_ms for o in first] == [1000]
    again = orders.choose(wanted, [rollout.State('a', {'m': 1}, started_ms=2000)], 10.1)
    assert [o.started_ms for o in again] == [2000]
    orders.fail(first[0], 10.2)
    assert not orders.choose(wanted, [rollout.State('a', {'m': 1}, started_ms=2000)], 10.3)
    orders.end(again[0])
    assert orders.choose(wanted, [rollout.State('a', {'m': 1}, started_ms=2000)], 10.4)
