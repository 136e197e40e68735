"""Bounded block cache of the stand-in engine, with LRU eviction and cache events."""

from __future__ import annotations

import array
import collections
import struct

from passpier.clients import kvevents
from passpier.core import blocks


class BlockCache:
    """Cached blocks, least recently used first; `events` collects the changes."""

    def __init__(self, capacity: int, block_tokens: int) -> None:
        self.capacity = capacity
        self.block_tokens = block_tokens
        self.held: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.events: list[kvevents.Event] = []

    def count_cached(self, chain: list[int]) -> int:
        """Return the number of leading blocks in the cache, and mark them as recently used."""
        count = 0
        for block in chain:
            if block not in self.held:
                break
            count += 1
        for block in reversed(chain[:count]):
            self.held.move_to_end(block)
        return count

    def store(self, chain: list[int], cached: int, data: bytes, salt: str) -> None:
        """Add the blocks of `chain` after the first `cached`; evict the least recently used."""
        new = chain[cached:]
        for block in reversed(chain):
            self.held[block] = None
            self.held.move_to_end(block)
        if new:
            size = self.block_tokens * blocks.BYTES_PER_TOKEN
            part = data[cached * size : len(chain) * size]
            tokens = list(struct.unpack(f'<{len(part) // blocks.BYTES_PER_TOKEN}I', part))
            parent = chain[cached - 1] if cached else None
            keys: list[list[str] | None] = [[salt] for _ in new]
            self.events.append(
                kvevents.BlockStored(new, parent, tokens, self.block_tokens, extra_keys=keys)
            )
        removed = []
        while len(self.held) > self.capacity:
            block, _ = self.held.popitem(last=False)
            removed.append(block)
        if removed:
            self.events.append(kvevents.BlockRemoved(removed))

    def clear(self) -> None:
        """Empty the cache."""
        self.held.clear()
        self.events.append(kvevents.AllBlocksCleared())

    def take_events(self) -> list[kvevents.Event]:
        """Return and clear the collected events."""
        events, self.events = self.events, []
        return events


def encode_prompt(prompt: object) -> bytes:
    """Return the encoded tokens of a completion prompt, which is text or a list of tokens."""
    if isinstance(prompt, str):
        return blocks.encode_text(prompt)
    return array.array('I', list(prompt)).tobytes()  # type: ignore[call-overload]
