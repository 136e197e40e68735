"""Routes by host and path prefix, keys and traffic shares."""

from __future__ import annotations

import collections

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import buckets, routes


def make_route(
    host: str, prefix: str, *shares: tuple[str, int], public: bool = False
) -> routes.Route:
    split = tuple(routes.Share(s, w) for s, w in shares) or (routes.Share('one', 1),)
    return routes.Route(
        f'{host}{prefix}', host, prefix, routes.Kind.REPEATABLE, split, 1.0, 0.5, public=public
    )


def make_table(*given: routes.Route, accounts: tuple[routes.Account, ...] = ()) -> routes.Table:
    return routes.Table(routes.Configuration(1, given, accounts=accounts))


segments = st.lists(st.sampled_from(['a', 'b', 'ab']), max_size=4)


@hypothesis.given(st.lists(segments, unique_by=tuple, max_size=8), segments)
def test_the_longest_prefix_wins(prefixes: list[list[str]], path: list[str]) -> None:
    made = [make_route('h', '/' + ''.join(s + '/' for s in p)) for p in prefixes]
    asked = '/' + ''.join(s + '/' for s in path) + 'x'
    matching = [r for r in made if asked.startswith(r.prefix)]
    expected = max(matching, key=lambda r: len(r.prefix), default=None)
    assert make_table(*made).find_route('H', asked) == expected


def test_routes_apply_to_their_host_only() -> None:
    table = make_table(make_route('a', '/x/'))
    assert table.find_route('b', '/x/y') is None
    assert table.find_route('a', '/xy') is None


def test_a_key_belongs_to_one_account() -> None:
    accounts = (routes.Account('a', ('k1', 'k2')), routes.Account('b', ('k3',)))
    table = make_table(accounts=accounts)
    assert table.find_account('k2') == accounts[0]
    assert table.find_account('') is None
    assert table.find_account('a') is None


def test_traffic_is_split_by_weight_and_stable() -> None:
    route = make_route('h', '/', ('big', 90), ('small', 10))
    table = make_table(route)
    drawn = collections.Counter(table.choose_service(route, str(n)) for n in range(2000))
    assert 120 < drawn['small'] < 280
    assert table.choose_service(route, '7') == table.choose_service(route, '7')


def test_a_service_of_weight_zero_gets_nothing() -> None:
    route = make_route('h', '/', ('old', 0), ('new', 5))
    table = make_table(route)
    assert {table.choose_service(route, str(n)) for n in range(200)} == {'new'}


def test_repeatable_kinds() -> None:
    assert routes.Kind.REPEATABLE.is_repeatable
    assert routes.Kind.RESUMABLE_STREAM.is_repeatable
    assert not routes.Kind.STREAM.is_repeatable
    assert not routes.Kind.ONCE.is_repeatable


def test_accounts_weigh_by_their_rate_limits() -> None:
    """Guards against equal shares for accounts with limits of different size."""
    limits = {'small': 100.0, 'usual': 1000.0, 'large': 4000.0, 'huge': 1e9}
    accounts = [routes.Account(a, (), rate=buckets.Rate(r, 0.0)) for a, r in limits.items()]
    weights = routes.compute_weights([*accounts, routes.Account('unlimited', ())])
    assert 'unlimited' not in weights
    assert weights['large'] == pytest.approx(4 * weights['usual'], rel=0.2)
    assert weights['small'] >= 1
    assert weights['huge'] == routes.MAX_WEIGHT
    assert not routes.compute_weights([routes.Account('unlimited', ())])
