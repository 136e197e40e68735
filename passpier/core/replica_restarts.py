"""Remembers which processes of replicas were replaced, and until when they certainly ran.

A router learns of a restart some time after it. What a router recorded of a process meanwhile may
belong to its successor.
"""

from __future__ import annotations

import collections

from passpier.core import replica_processes

MARGIN = 1.0
"""Seconds by which a successor may have started earlier than it seems: entries are written after
the start, and the clocks of machines differ."""

MAX_PROCESSES = 4096
"""Number of replaced processes that are remembered; the oldest are dropped first."""


class RestartHistory:
    """The replaced processes, with a time before the start of each one's successor."""

    def __init__(self) -> None:
        self._alone_until: collections.OrderedDict[replica_processes.ReplicaProcess, float] = (
            collections.OrderedDict()
        )

    def note(
        self, process: replica_processes.ReplicaProcess, absent_at: float, started_at: float
    ) -> None:
        """Record that a process has been replaced.

        Its successor had no entry at `absent_at` and started at `started_at` by its own clock. The
        earlier of both counts, since the registry may take no writes, and clocks may be set.
        """
        self._alone_until[process] = min(absent_at, started_at) - MARGIN
        if len(self._alone_until) > MAX_PROCESSES:
            self._alone_until.popitem(last=False)

    def precedes(self, process: replica_processes.ReplicaProcess, at: float) -> bool:
        """Return whether the successor of a process certainly started after a point in time."""
        return at <= self._alone_until.get(process, float('-inf'))
