"""Keeps what replica processes have asked for while the registry doesn't list them.

An entry may lapse while its process lives, as when the registry was away, and return soon after.
"""

from __future__ import annotations

import collections

from passpier.core import replica_processes

MAX_PROCESSES = 1024
"""Number of processes that are remembered; those removed first are dropped first."""


class UnlistedProcesses:
    """The processes whose entries have been removed, and until when each asked for a backoff."""

    def __init__(self) -> None:
        self._backoffs: collections.OrderedDict[replica_processes.ReplicaProcess, float] = (
            collections.OrderedDict()
        )

    def note_removed(
        self, process: replica_processes.ReplicaProcess, backoff_until: float, now: float
    ) -> None:
        """Remember a process that is no longer listed, if it has asked for something."""
        if backoff_until <= now:
            return
        self._backoffs[process] = backoff_until
        if len(self._backoffs) > MAX_PROCESSES:
            self._backoffs.popitem(last=False)

    def take_backoff(self, process: replica_processes.ReplicaProcess, now: float) -> float:
        """Forget a process that is listed again; return the seconds left of its backoff."""
        return max(0.0, self._backoffs.pop(process, now) - now)
