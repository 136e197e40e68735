"""Which configuration is in force at a daemon: only ever a newer one."""

from __future__ import annotations

import dataclasses
import hashlib

CHUNK_SIZE = 512 * 1024
"""Bytes of a configuration document that one store value holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Index:
    """The accepted configuration: its number, its parts, and who accepted it.

    `nonce` tells an operator whose answer was lost whether it was his write that took effect.
    """

    revision: int
    chunks: tuple[str, ...]
    nonce: str
    based_on: int


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """A whole configuration document with its index."""

    index: Index
    document: bytes


def split_document(document: bytes) -> dict[str, bytes]:
    """Return a document's parts by content hash, in order."""
    parts = [document[i : i + CHUNK_SIZE] for i in range(0, len(document), CHUNK_SIZE)]
    return {hashlib.sha256(part).hexdigest(): part for part in parts}


def join_document(index: Index, parts: dict[str, bytes]) -> bytes | None:
    """Return the document of an index; none if a part is missing or damaged."""
    for name in index.chunks:
        part = parts.get(name)
        if part is None or hashlib.sha256(part).hexdigest() != name:
            return None
    return b''.join(parts[name] for name in index.chunks)


class Holder:
    """The configuration in force; steps only forward."""

    def __init__(self) -> None:
        self.current: Revision | None = None

    @property
    def number(self) -> int:
        """The revision in force; 0 for none."""
        return self.current.index.revision if self.current else 0

    def install(self, revision: Revision) -> bool:
        """Put a revision in force if it is newer; return whether it was."""
        if revision.index.revision <= self.number:
            return False
        self.current = revision
        return True
