"""Chained hashes that identify prompt blocks.

A block's hash covers all blocks before it and is rooted in the client account, the model, the
weight version and the adapter. Hashes of other accounts or weight versions are therefore never
equal, and lookups need no separate isolation check.
"""

from __future__ import annotations

import array

import msgspec
import xxhash

BYTES_PER_TOKEN = 4
"""Bytes of one token in the canonical token string."""

_FIELD_SEPARATOR = b'\x00'


class Scope(msgspec.Struct, frozen=True):
    """The properties that cached blocks must have in common to be interchangeable."""

    account: str
    model: str
    weight_version: str
    adapter: str = ''


def encode_text(text: str) -> bytes:
    """Return the canonical token string of a text: its UTF-8 bytes padded to whole tokens."""
    data = text.encode()
    return data + b' ' * (-len(data) % BYTES_PER_TOKEN)


def encode_tokens(tokens: list[int]) -> bytes:
    """Return the canonical token string of token ids."""
    return array.array('I', tokens).tobytes()


def count_tokens(data: bytes) -> int:
    """Return the number of tokens in a canonical token string."""
    return len(data) // BYTES_PER_TOKEN


def compute_root(scope: Scope) -> int:
    """Return the hash to which the first block of a scope is chained."""
    fields = (scope.account, scope.model, scope.weight_version, scope.adapter)
    return xxhash.xxh3_64_intdigest(_FIELD_SEPARATOR.join(f.encode() for f in fields))


def compute_chain(root: int, data: bytes, block_tokens: int) -> list[int]:
    """Return the hashes of the complete blocks in `data`; a partial last block has none."""
    size = block_tokens * BYTES_PER_TOKEN
    view = memoryview(data)
    chain = []
    parent = root
    for end in range(size, len(data) + 1, size):
        parent = xxhash.xxh3_64_intdigest(view[end - size : end], seed=parent)
        chain.append(parent)
    return chain
