"""Tracks which prompt blocks are believed to be cached at which replica.

Evidence comes from responses (the number of cached tokens), from cache events and from this
daemon's own dispatches. A replica's entries belong to one incarnation and are dropped with it.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Sequence

import msgspec

GAP_CONFIDENCE = 0.98
"""Factor on the trust in a replica's entries per gap in its events; responses restore it."""

GAP_TRUST_FLOOR = 0.8
"""Lower bound of trust after gaps; only wrong predictions reduce it further."""

HALF_LIFE = 300.0
"""Seconds without new evidence after which the confidence in an entry is halved."""


class Evidence(enum.Enum):
    """The source of an entry; the value is its initial age in seconds."""

    ANSWER = 0.0
    EVENT = 20.0
    DISPATCH = 100.0


class CachedBlocks(msgspec.Struct):
    """Blocks believed to be cached by one replica incarnation, oldest evidence first."""

    incarnation: str
    blocks: collections.OrderedDict[int, float] = msgspec.field(
        default_factory=collections.OrderedDict
    )
    sizes: dict[int, int] = msgspec.field(default_factory=dict)
    """Sizes of the blocks whose size isn't 1."""

    size: int = 0
    trust: float = 1.0
    capacity: int = 0
    gaps: int = 0


class Match(msgspec.Struct, frozen=True):
    """The number of leading blocks of a prompt believed to be cached at a replica."""

    blocks: int
    confidence: float


NO_MATCH = Match(0, 0.0)


class CacheView:
    """The known cache contents of all replicas."""

    def __init__(self, max_blocks: int = 400_000) -> None:
        self.max_blocks = max_blocks
        self._replicas: dict[str, CachedBlocks] = {}

    def __len__(self) -> int:
        return sum(len(h.blocks) for h in self._replicas.values())

    def set_incarnation(self, replica: str, incarnation: str, capacity: int = 0) -> bool:
        """Set a replica's incarnation and drop entries of another one; return whether it is new."""
        current = self._replicas.get(replica)
        if current is not None and current.incarnation == incarnation:
            current.capacity = capacity or current.capacity
            return False
        self._replicas[replica] = CachedBlocks(incarnation, capacity=capacity)
        return True

    def get_incarnation(self, replica: str) -> str:
        """Return the known incarnation, or an empty string."""
        state = self._replicas.get(replica)
        return state.incarnation if state else ''

    def get_capacity(self, replica: str) -> int:
        """Return the total block size that a replica can cache, or 0 if it is unknown."""
        state = self._replicas.get(replica)
        return state.capacity if state else 0

    def forget(self, replica: str) -> None:
        """Remove a replica."""
        self._replicas.pop(replica, None)

    def clear(self, replica: str, incarnation: str) -> None:
        """Drop the blocks of one incarnation."""
        state = self._get_current(replica, incarnation)
        if state is not None:
            state.blocks.clear()
            state.sizes.clear()
            state.size = 0
            state.trust = 1.0

    def add(
        self,
        replica: str,
        incarnation: str,
        chain: list[int],
        evidence: Evidence,
        now: float,
        sizes: Sequence[int] = (),
    ) -> None:
        """Record that a replica caches `chain`; evidence of another incarnation is ignored.

        `sizes` are the sizes of the blocks if they differ; otherwise each counts as 1.
        """
        state = self._get_current(replica, incarnation)
        if state is None:
            return
        blocks = state.blocks
        seen_at = now - evidence.value
        # The end of a chain is stored as older, because engines evict it before the beginning.
        for position in range(len(chain) - 1, -1, -1):
            block = chain[position]
            previous = blocks.get(block)
            if previous is None:
                size = sizes[position] if sizes else 1
                state.size += size
                if size != 1:
                    state.sizes[block] = size
            blocks[block] = seen_at if previous is None or previous < seen_at else previous
            blocks.move_to_end(block)
        self._evict_excess(state)

    def remove(self, replica: str, incarnation: str, block: int, now: float) -> None:
        """Record that a replica didn't cache a block at `now`; later evidence is kept."""
        state = self._get_current(replica, incarnation)
        if state is not None and state.blocks.get(block, now + 1) <= now:
            self._drop(state, block)

    def correct(
        self,
        replica: str,
        incarnation: str,
        chain: list[int],
        believed: int,
        cached: int,
        now: float,
    ) -> None:
        """Update from a response: the first `cached` blocks were cached, and now all are.

        `believed` is the number of blocks expected to be cached when the replica was chosen; by now
        the view also contains the blocks of the request itself.
        """
        state = self._get_current(replica, incarnation)
        if state is None:
            return
        if believed > cached:
            state.trust = max(0.2, state.trust * 0.9)
        else:
            state.trust = min(1.0, state.trust + 0.05)
        self.add(replica, incarnation, chain, Evidence.ANSWER, now)

    def note_gap(self, replica: str, incarnation: str) -> None:
        """Reduce the trust in a replica's entries after lost events."""
        state = self._get_current(replica, incarnation)
        if state is not None:
            lowered = max(GAP_TRUST_FLOOR, state.trust * GAP_CONFIDENCE)
            state.trust = min(state.trust, lowered)
            state.gaps += 1

    def match(self, replica: str, chain: list[int], now: float) -> Match:
        """Return how much of `chain` is believed to be cached at a replica."""
        state = self._replicas.get(replica)
        if state is None or not chain:
            return NO_MATCH
        blocks = state.blocks
        count = 0
        for block in chain:
            if block not in blocks:
                break
            count += 1
        if not count:
            return NO_MATCH
        age = max(0.0, now - blocks[chain[count - 1]])
        return Match(count, state.trust * 0.5 ** (age / HALF_LIFE))

    def export(self, limit: int) -> list[tuple[str, str, list[int]]]:
        """Return the most recent blocks of each replica, at most `limit` in total."""
        share = limit // max(1, len(self._replicas))
        return [
            (replica, h.incarnation, list(h.blocks)[-share:])
            for replica, h in self._replicas.items()
        ]

    def merge_snapshot(self, snapshot: list[tuple[str, str, list[int]]], now: float) -> None:
        """Merge a peer's snapshot; replicas with another known incarnation are skipped."""
        for replica, incarnation, blocks in snapshot:
            if not self.get_incarnation(replica):
                self.set_incarnation(replica, incarnation)
            self.add(replica, incarnation, blocks[::-1], Evidence.DISPATCH, now)

    def _get_current(self, replica: str, incarnation: str) -> CachedBlocks | None:
        state = self._replicas.get(replica)
        if state is None or state.incarnation != incarnation:
            return None
        return state

    def _evict_excess(self, state: CachedBlocks) -> None:
        limit_per_replica = self.max_blocks // max(1, len(self._replicas))
        while len(state.blocks) > limit_per_replica:
            self._drop(state, next(iter(state.blocks)))
        while state.capacity and state.size > state.capacity:
            self._drop(state, next(iter(state.blocks)))

    def _drop(self, state: CachedBlocks, block: int) -> None:
        del state.blocks[block]
        state.size -= state.sizes.pop(block, 1)
