"""The names nearest to a key, while names come and go."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from passpier.core import hash_ring

names = strategies.dictionaries(
    strategies.text(min_size=1, max_size=5), strategies.sampled_from('abcd'), max_size=20
)


@hypothesis.given(strategies.text(max_size=8), names, strategies.integers(0, 10))
def test_nearest_names_are_distinct_and_spread_over_groups(
    key: str, groups: dict[str, str], count: int
) -> None:
    nearest = hash_ring.find_nearest(key, groups, count)
    assert len(set(nearest)) == len(nearest) == min(count, len(groups))
    spread = len(set(groups.values()))
    assert len({groups[name] for name in nearest[:spread]}) == min(spread, len(nearest))


@hypothesis.given(strategies.text(max_size=8), names, strategies.integers(1, 5))
def test_names_that_stay_are_still_among_the_nearest(
    key: str, groups: dict[str, str], count: int
) -> None:
    """Guards against records at peers that nobody finds after another one has gone."""
    before = hash_ring.find_nearest(key, groups, count)
    for gone in before[:1]:
        rest = {name: group for name, group in groups.items() if name != gone}
        after = hash_ring.find_nearest(key, rest, 2 * count)
        assert set(before) - {gone} <= set(after)


def test_keys_are_spread_over_names() -> None:
    groups = {f'vm-{n}': f'd{n % 4}' for n in range(60)}
    first = {hash_ring.find_nearest(f'key-{n}', groups, 1)[0] for n in range(2000)}
    assert len(first) >= 55
