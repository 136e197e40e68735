"""Rendezvous hashing: a stable ranking of names for a key."""

from __future__ import annotations

import functools
import heapq
from collections.abc import Iterable

import xxhash


@functools.lru_cache(maxsize=65536)
def compute_weight(key: str, name: str) -> int:
    """Return the weight of `name` for `key`; the highest wins."""
    return xxhash.xxh3_64_intdigest(f'{key}\x00{name}'.encode())


def find_first(key: str, names: tuple[str, ...], count: int) -> tuple[str, ...]:
    """Return the `count` names with the highest weights for `key`, the highest first."""
    return _find_first(key, _intern(names), count)


@functools.lru_cache(maxsize=64)
def _intern(names: tuple[str, ...]) -> tuple[str, ...]:
    """Return one object for equal tuples, so that the cache doesn't hold a large pool per key."""
    return names


@functools.lru_cache(maxsize=8192)
def _find_first(key: str, names: tuple[str, ...], count: int) -> tuple[str, ...]:
    return tuple(heapq.nsmallest(count, names, key=lambda name: (-compute_weight(key, name), name)))


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` from the highest to the lowest weight for `key`."""
    return sorted(names, key=lambda name: (-compute_weight(key, name), name))


def rank_spread(key: str, groups: dict[str, str]) -> list[str]:
    """Return the names (keys of `groups`), ranked so that the first are in different groups."""
    group_sizes: dict[str, int] = {}
    ranked = []
    for position, name in enumerate(rank_names(key, groups)):
        group_rank = group_sizes.get(groups[name], 0)
        group_sizes[groups[name]] = group_rank + 1
        ranked.append((group_rank, position, name))
    ranked.sort()
    return [name for _, _, name in ranked]
