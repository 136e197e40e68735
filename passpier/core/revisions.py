"""Configuration revisions, their storage in chunks, and the active one."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Annotated

import msgspec
import xxhash

from passpier.utils import decoding

CHUNK_SIZE = 512 * 1024
"""Maximum bytes of a configuration document in one store value."""

BOUNDARY = b'},{'
"""Where a document may be split: between two items of a list."""

ITEMS_PER_CHUNK = 128
"""Average number of items per chunk."""


_Number = Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]


class Index(msgspec.Struct, frozen=True):
    """The accepted configuration: its revision, its chunks and the write that set it.

    With `nonce`, an operator whose response was lost can check whether the write took effect.
    """

    revision: _Number
    chunks: tuple[str, ...]
    nonce: str
    based_on: _Number


class Revision(msgspec.Struct, frozen=True):
    """A complete configuration: its index and its chunks by content hash."""

    index: Index
    chunks: Mapping[str, bytes]

    @property
    def document(self) -> bytes:
        """The configuration document."""
        return b''.join(self.chunks[name] for name in self.index.chunks)


def hash_chunk(data: bytes) -> str:
    """Return the name of a chunk."""
    return hashlib.sha256(data).hexdigest()


def split_document(document: bytes) -> list[bytes]:
    """Split a document into chunks.

    A split point depends only on the item before it, so a change of one item changes only one or
    two chunks.
    """
    chunks = []
    start = 0
    position = document.find(BOUNDARY)
    while position >= 0:
        end = position + len(BOUNDARY)
        item = document[max(start, document.rfind(BOUNDARY, start, position)) : position]
        if xxhash.xxh3_64_intdigest(item) % ITEMS_PER_CHUNK == 0:
            chunks.append(document[start:end])
            start = end
        position = document.find(BOUNDARY, end)
    chunks.append(document[start:])
    return [chunk[i : i + CHUNK_SIZE] for chunk in chunks for i in range(0, len(chunk), CHUNK_SIZE)]


def build_revision(index: Index, chunks: Mapping[str, bytes]) -> Revision | None:
    """Return the revision of an index, or `None` if a chunk is missing or corrupt."""
    for name in index.chunks:
        chunk = chunks.get(name)
        if chunk is None or hash_chunk(chunk) != name:
            return None
    return Revision(index, {name: chunks[name] for name in index.chunks})


class ActiveRevision:
    """The active configuration; only a newer revision replaces it."""

    def __init__(self) -> None:
        self.current: Revision | None = None

    @property
    def number(self) -> int:
        """The active revision, or 0 if there is none."""
        return self.current.index.revision if self.current else 0

    def install(self, revision: Revision) -> bool:
        """Activate a revision if it is newer; return whether it was."""
        if revision.index.revision <= self.number:
            return False
        self.current = revision
        return True
