"""Keeps what replica processes have asked for while the registry doesn't list them.

An entry may lapse while its process lives, as when the registry was away, and return soon after.
"""

from __future__ import annotations

import collections

import msgspec

from passpier.core import replica_processes

MAX_PROCESSES = 1024
"""Number of processes that are remembered; those removed first are dropped first."""


class Asked(msgspec.Struct, frozen=True):
    """What a replica process has asked for."""

    backoff_until: float
    is_leaving: bool
    """Whether it has said that it is leaving."""


class UnlistedProcesses:
    """The processes whose entries have been removed, and what each has asked for."""

    def __init__(self) -> None:
        self._asked: collections.OrderedDict[replica_processes.ReplicaProcess, Asked] = (
            collections.OrderedDict()
        )

    def note_removed(
        self, process: replica_processes.ReplicaProcess, asked: Asked, now: float
    ) -> None:
        """Remember a process that is no longer listed, if anything that it asked for holds."""
        if asked.backoff_until <= now and not asked.is_leaving:
            return
        self._asked[process] = asked
        if len(self._asked) > MAX_PROCESSES:
            self._asked.popitem(last=False)

    def take(self, process: replica_processes.ReplicaProcess) -> Asked | None:
        """Forget a process that is listed again; return what it has asked for, if known."""
        return self._asked.pop(process, None)
