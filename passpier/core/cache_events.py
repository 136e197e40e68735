"""Translates an engine's cache events into block hashes of the cache view.

An engine's own block hashes have no meaning outside of the engine. The hashes of the cache view are
computed from the tokens in an event and rooted in its account.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passpier.core import blocks


class Stored(msgspec.Struct, frozen=True):
    """Blocks added to a cache, as a chain after `parent` (an engine hash, or `None`)."""

    hashes: Sequence[int]
    parent: int | None
    tokens: Sequence[int]
    block_size: int
    account: str
    adapter: str


class Translator:
    """Maps the hashes of one engine incarnation to those of the cache view."""

    def __init__(self, model: str, weight_version: str, block_tokens: int) -> None:
        self._model = model
        self._weight_version = weight_version
        self._block_tokens = block_tokens
        self._known: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._known)

    def store(self, event: Stored) -> list[int]:
        """Return the hashes of added blocks, or an empty list if their chain isn't fully known."""
        if event.block_size != self._block_tokens or not event.account:
            return []
        parent = self._find_parent(event)
        if parent is None:
            return []
        data = blocks.encode_tokens(list(event.tokens))
        chain = blocks.compute_chain(parent, data, event.block_size)
        if len(chain) != len(event.hashes):
            return []
        self._known.update(zip(event.hashes, chain, strict=True))
        return chain

    def remove(self, hashes: Sequence[int]) -> list[int]:
        """Return the hashes of removed blocks, as far as they are known."""
        found = [self._known.pop(h, None) for h in hashes]
        return [block for block in found if block is not None]

    def clear(self) -> None:
        """Forget all hashes."""
        self._known.clear()

    def _find_parent(self, event: Stored) -> int | None:
        if event.parent is not None:
            return self._known.get(event.parent)
        scope = blocks.Scope(event.account, self._model, self._weight_version, event.adapter)
        return blocks.compute_root(scope)
