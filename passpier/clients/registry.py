"""Interface to the platform's key-value service, for routers that keep no data of their own.

Revisions are values of the service's single counter, which only increases. `sent_at` is the
monotonic time in seconds at which a call was sent; the data in its response was valid at that time
or later.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from passpier import exceptions


class Item(msgspec.Struct, frozen=True):
    """A key with its value, or only the key of a deleted one if `removed` is set."""

    key: str
    data: bytes
    revision: int
    lease: int = 0
    removed: bool = False


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix; changes after `revision` may or may not be included."""

    items: tuple[Item, ...]
    revision: int
    sent_at: float


class Changes(msgspec.Struct, frozen=True):
    """Changes that a watch returned; the next watch continues after `revision`."""

    items: tuple[Item, ...]
    revision: int
    sent_at: float
    received_at: float


class Put(msgspec.Struct, frozen=True):
    """A write in a transaction; it is bound to `lease` unless that is 0."""

    key: str
    data: bytes
    lease: int = 0


class ExpectedRevision(msgspec.Struct, frozen=True):
    """A precondition: the key was last written at `revision`; 0 means that it does not exist."""

    key: str
    revision: int


class CompactedError(exceptions.StoreError):
    """The service has dropped the history after a revision; the prefix has to be read again."""


class LeaseExpiredError(exceptions.StoreError):
    """The lease has expired."""


class Registry(Protocol):
    """Calls to the service.

    Each may raise `StoreError`; a write that raised it may nevertheless take effect.
    """

    async def read(self, prefix: str) -> Listing:
        """Return all items under a prefix."""

    async def watch(self, prefix: str, after: int, wait: float) -> Changes:
        """Return the changes after a revision, after at most `wait` seconds."""

    async def write(self, puts: Sequence[Put], conditions: Sequence[ExpectedRevision] = ()) -> int:
        """Apply all writes in one transaction and return its revision.

        Raises `ConflictError` if a precondition does not hold.
        """

    async def grant(self, ttl: float) -> int:
        """Grant a lease of `ttl` seconds and return its id."""

    async def renew(self, lease: int) -> None:
        """Renew a lease; raise `LeaseExpiredError` if it has expired."""

    async def end(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
