"""Remembers which processes of replicas have ended, and until when no successor ran.

A router learns of a restart some time after it. What a router recorded of a process meanwhile may
belong to its successor.
"""

from __future__ import annotations

import collections
import math

import msgspec

from passpier.core import replica_processes

MARGIN = 1.0
"""Seconds by which a successor may have started earlier than it seems: entries are written after
the start, and the clocks of machines differ."""

MAX_PROCESSES = 4096
"""Number of processes that are remembered; the oldest are dropped first."""


class _Ended(msgspec.Struct):
    alone_until: float = math.inf
    """A time before the start of its successor."""

    successors: set[str] = msgspec.field(default_factory=set)
    """The software versions of the processes that followed and have ended as well."""


class RestartHistory:
    """The processes of all replicas that have ended, and what is known of their successors."""

    def __init__(self) -> None:
        self._ended: collections.OrderedDict[replica_processes.ReplicaProcess, _Ended] = (
            collections.OrderedDict()
        )
        self._last: dict[str, replica_processes.ReplicaProcess] = {}
        """The processes that ended last, by replica."""

    def note_removed(self, process: replica_processes.ReplicaProcess, software: str) -> None:
        """Record that a process with a software version has ended."""
        if not process.started_ms:
            # Nothing tells it apart from its successors.
            return
        for earlier, ended in self._ended.items():
            if earlier.id == process.id:
                ended.successors.add(software)
        self._ended[process] = _Ended()
        self._last[process.id] = process
        if len(self._ended) > MAX_PROCESSES:
            oldest, _ = self._ended.popitem(last=False)
            if self._last.get(oldest.id) == oldest:
                del self._last[oldest.id]

    def note_successor(
        self, process: replica_processes.ReplicaProcess, absent_at: float, started_at: float
    ) -> None:
        """Record which process follows the one of its replica that ended last, if one did.

        It had no entry at `absent_at` and started at `started_at` by its own clock. The earlier of
        both counts, since the registry may take no writes, and clocks may be set.
        """
        last = self._last.get(process.id)
        if last is not None and last != process:
            ended = self._ended[last]
            ended.alone_until = min(ended.alone_until, min(absent_at, started_at) - MARGIN)

    def may_be_other_version(
        self,
        process: replica_processes.ReplicaProcess,
        software: str,
        current: str | None,
        at: float,
    ) -> bool:
        """Return whether a successor, not of the version `software`, may have run at a time.

        The present process of the replica has the version `current`; it has none if the replica has
        gone. Without a record of its end, other processes may have run before the present one.
        """
        ended = self._ended.get(process)
        if ended is None:
            return current is not None
        successors = ended.successors if current is None else {*ended.successors, current}
        return at > ended.alone_until and not successors <= {software}
