"""Consistent hashing on a ring: the names nearest to a key, with one hash per call."""

from __future__ import annotations

import bisect
import collections
import functools
import heapq
from collections.abc import Mapping

import xxhash


def find_nearest(key: str, groups: Mapping[str, str], count: int) -> list[str]:
    """Return up to `count` names (keys of `groups`), the first of them in different groups.

    Adding or removing a name leaves the order of the others within their groups as it is.
    """
    hashes, ring = _build_ring(tuple(groups))
    start = bisect.bisect(hashes, _compute_hash(key))
    sizes: collections.Counter[str] = collections.Counter()
    ranked = []
    for position, name in enumerate(ring[start:] + ring[:start]):
        group = groups[name]
        ranked.append((sizes[group], position, name))
        sizes[group] += 1
        if len(sizes) >= count:
            break
    return [name for _, _, name in heapq.nsmallest(count, ranked)]


@functools.lru_cache(maxsize=16)
def _build_ring(names: tuple[str, ...]) -> tuple[list[int], list[str]]:
    """Return the names and their hashes, in the order of the hashes."""
    placed = sorted((_compute_hash(name), name) for name in names)
    return [place for place, _ in placed], [name for _, name in placed]


def _compute_hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
