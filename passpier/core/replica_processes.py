"""Identifies the processes of a replica.

A replica keeps its id when it restarts, but the state of its process is lost: weights may be older,
the cache is empty, order numbers start again, and it isn't draining any more. So all knowledge
about a replica belongs to one process and doesn't apply to any other.
"""

from __future__ import annotations

import msgspec

SHORT_IDS = 2**16
"""Number of distinct short ids: two processes of a replica share one in 1 of 65,536 cases."""


class ReplicaProcess(msgspec.Struct, frozen=True):
    """One process of a replica, from its start to its end."""

    id: str
    started_ms: int = 0
    """Start time in Unix milliseconds by the replica's own clock; 0 if it isn't reported."""

    @property
    def short_id(self) -> int:
        """A short id that distinguishes the processes of a replica in messages with many rows."""
        return self.started_ms % SHORT_IDS

    def __str__(self) -> str:
        """Return the form used in log lines and cache identities."""
        return f'{self.id}@{self.started_ms}'
