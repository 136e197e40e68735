"""Interface to the platform's key-value service, for routers that keep no data of their own.

The service may return from an older copy of its data and then lacks what it had acknowledged since.
Revisions and lease ids are given out again, so both carry the timeline in which they are valid.
`sent_at` is the monotonic time in seconds at which a call was sent; the data in its response was
valid at that time or later.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

import msgspec

from passpier import exceptions

FENCING_NUMBER_BITS = 40
"""Bits of a fencing token for the number of its revision: 80 years of 400 writes a second."""


class Revision(NamedTuple):
    """A point in the service's history; those of a later timeline are greater.

    Each return from an older copy begins a timeline. `number` is the value of the counter that
    every change increases within one.
    """

    timeline: int
    number: int

    @property
    def token(self) -> int:
        """A fencing token: a positive integer that increases with the revision."""
        return (self.timeline << FENCING_NUMBER_BITS) | self.number

    def __str__(self) -> str:
        return f'{self.timeline}/{self.number}'


NO_REVISION = Revision(0, 0)
"""Lower than every revision of the service."""


class Lease(NamedTuple):
    """A lease and the timeline in which it was granted."""

    timeline: int
    id: int


class Item(msgspec.Struct, frozen=True):
    """A key with its value, or only the key of a deleted one if `removed` is set."""

    key: str
    data: bytes
    revision: Revision
    lease: int = 0
    removed: bool = False


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix; changes after `revision` may or may not be included."""

    items: tuple[Item, ...]
    revision: Revision
    sent_at: float


class Changes(msgspec.Struct, frozen=True):
    """Changes that a watch returned; the next watch continues after `revision`."""

    items: tuple[Item, ...]
    revision: Revision
    sent_at: float
    received_at: float


class Put(msgspec.Struct, frozen=True):
    """A write in a transaction; it is bound to `lease` if there is one."""

    key: str
    data: bytes
    lease: Lease | None = None


class ExpectedRevision(msgspec.Struct, frozen=True):
    """A precondition: the key was last written at `revision`.

    `NO_REVISION` means that it does not exist.
    """

    key: str
    revision: Revision


class CompactedError(exceptions.StoreError):
    """The service doesn't have the history after a revision; the prefix has to be read again."""


class NoAnswerError(exceptions.StoreError):
    """The service gave no answer in time and didn't close the connection either."""


class LeaseExpiredError(exceptions.StoreError):
    """The lease has expired."""


class Registry(Protocol):
    """Calls to the service.

    Each may raise `StoreError`; a write that raised it may nevertheless take effect. A response of
    an earlier timeline than the newest known one raises it as well.
    """

    async def read(self, prefix: str) -> Listing:
        """Return all items under a prefix."""

    async def watch(self, prefix: str, after: Revision, wait: float) -> Changes:
        """Return the changes after a revision, after at most `wait` seconds.

        Raises `CompactedError` if the service doesn't have all of them, as in a new timeline.
        """

    async def write(
        self, puts: Sequence[Put], conditions: Sequence[ExpectedRevision] = ()
    ) -> Revision:
        """Apply all writes in one transaction and return its revision.

        Raises `ConflictError` if a precondition does not hold, and `LeaseExpiredError` if a lease
        has expired.
        """

    async def grant(self, ttl: float) -> Lease:
        """Grant a lease of `ttl` seconds."""

    async def renew(self, lease: Lease) -> None:
        """Renew a lease; raise `LeaseExpiredError` if it has expired or is of another timeline."""

    async def end(self, lease: Lease) -> None:
        """Revoke a lease and delete its keys, unless it is of another timeline."""
