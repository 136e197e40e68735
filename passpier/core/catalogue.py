"""The replicas that exist, according to their entries in the registry.

Entries that disappear during a registry outage are kept for a grace period after the registry is
back, because their leases may have expired while the replicas are alive. A replica that was once
seen draining stays so until its process ends.

A replica may restart under the same id. Its newest entry identifies the current process, even if
the replica's clock was set back; the replica itself may report a later start before its entry does.
A process that is known to have ended is never taken back, no matter how late messages about it
arrive. While the current process is known from its own report only, entries of processes that
started between the last entry and the report are late ones of earlier restarts.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping, Sequence

import msgspec

from passpier.core import replica_processes

RETURN_GRACE = 2.0
"""Seconds after a registry outage within which a live replica writes its expired entry again."""

ENDED_KEPT = 8
"""Ended processes that are remembered per replica; late messages concern the last one or two."""

FIELDS_EXPECTED_SECONDS = 10.0
"""Seconds after the end of a service's last entry with an optional field for which entries without
it are not used. After a change to older software, the service is not served for that long."""

DRAINED_KEPT = 1000
"""Removed replicas that are remembered as draining, for a return of the registry."""


class Entry(msgspec.Struct, frozen=True):
    """A replica's registry entry."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    versions: Mapping[str, int]
    """Weight version of each model."""

    started_ms: int = 0
    """Start time of its process in Unix milliseconds; 0 if it isn't reported."""

    reports_weights: bool = False
    """Whether the entry lists models, even if the list is empty."""

    reports_start: bool = False
    """Whether the entry contains the start time of the process."""

    software: str = ''
    """Version of the process's software; empty if it is unknown."""

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that wrote the entry."""
        return replica_processes.ReplicaProcess(self.id, self.started_ms)


class _Known(msgspec.Struct):
    entry: Entry
    grace_until: float | None = None
    """End of the grace period of an entry that disappeared."""

    seen_here: bool = False
    """Whether this daemon itself saw it disappear; further outages then extend the grace period."""

    ended_processes: collections.deque[int] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=ENDED_KEPT)
    )
    """Start times of earlier processes, which have ended."""

    recorded_ms: int = 0
    """Start time of the process that wrote the last entry that was applied."""

    skipped: Entry | None = None
    """The last entry that was taken for a late one of an earlier restart."""

    @property
    def is_reported_only(self) -> bool:
        """Whether the current process is known from its own report, and has no entry yet."""
        return self.entry.started_ms != self.recorded_ms


class Change(msgspec.Struct, frozen=True):
    """A replica that was added, changed or removed; `entry` is `None` if it was removed."""

    id: str
    entry: Entry | None
    reason: str


class Catalogue:
    """All replicas that may be alive."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._drained: collections.OrderedDict[str, int] = collections.OrderedDict()
        """Start times of the last processes of removed replicas that were draining."""

        self._restorable: dict[str, int] = {}
        """Those whose next entry may be an older one, from before they drained."""

        self._outage_until = float('-inf')

    def list_entries(self) -> list[Entry]:
        """Return the entries of all replicas that may be alive."""
        return [k.entry for k in self._known.values()]

    def note_outage(self, now: float) -> None:
        """Record that the registry isn't available or has only just become available again."""
        self._outage_until = max(self._outage_until, now + RETURN_GRACE)

    def note_return(self, now: float) -> None:
        """Record that the registry has returned from an older copy.

        Entries that the copy lacks may be written again, as after an outage. It may have entries of
        replicas that have drained and left since.
        """
        self.note_outage(now)
        self._restorable = dict(self._drained)

    def list_awaited(self, now: float) -> dict[str, float]:
        """Return the replicas in their grace period and the seconds that are left of it."""
        awaited = {}
        for id, known in self._known.items():
            if known.grace_until is None:
                continue
            ends_at = known.grace_until
            if known.seen_here:
                ends_at = max(ends_at, self._outage_until)
            awaited[id] = max(0.0, ends_at - now)
        return awaited

    def put(self, entry: Entry) -> Change | None:
        """Apply an entry unless it is outdated; return the change, if any.

        An entry without a start time is attributed to the known process.
        """
        known = self._known.get(entry.id)
        if known is None:
            if self._restorable.pop(entry.id, None) == entry.started_ms:
                entry = msgspec.structs.replace(entry, draining=True)
            self._known[entry.id] = _Known(entry, recorded_ms=entry.started_ms)
            return _describe(entry)
        if not entry.started_ms:
            entry = msgspec.structs.replace(entry, started_ms=known.entry.started_ms)
        if entry.started_ms in known.ended_processes:
            return None
        known.grace_until = None
        if known.is_reported_only and known.recorded_ms < entry.started_ms < known.entry.started_ms:
            # If its process runs after all, with a clock that was set back, its report tells.
            known.skipped = entry
            return None
        known.recorded_ms = entry.started_ms
        if entry.started_ms != known.entry.started_ms:
            return self._replace_process(known, entry)
        if known.entry.draining and not entry.draining:
            entry = msgspec.structs.replace(entry, draining=True)
        if known.entry == entry:
            return None
        known.entry = entry
        return _describe(entry)

    def note_restart(
        self, process: replica_processes.ReplicaProcess, versions: Mapping[str, int]
    ) -> Change | None:
        """Apply a replica's own report of a later start than its entry has.

        The new process isn't draining, even if the previous one was. The version of its software is
        unknown until its entry arrives.
        """
        known = self._known.get(process.id)
        if known is None or process.started_ms in known.ended_processes:
            return None
        if known.skipped is not None and process == known.skipped.process:
            known.recorded_ms = process.started_ms
            return self._replace_process(known, known.skipped)
        if process.started_ms <= known.entry.started_ms:
            return None
        entry = msgspec.structs.replace(
            known.entry,
            started_ms=process.started_ms,
            draining=False,
            versions=dict(versions),
            software='',
        )
        return self._replace_process(known, entry)

    def is_skipped(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a process's entry was taken for a late one of an earlier restart."""
        known = self._known.get(process.id)
        return known is not None and known.skipped is not None and known.skipped.process == process

    def invalidate(self, id: str) -> Change | None:
        """Remove a replica whose entry was overwritten with an invalid one.

        There is no grace period as for an entry that disappeared, because this one was written
        deliberately, and a live replica writes its entry again.
        """
        if self._known.pop(id, None) is None:
            return None
        return Change(id, None, 'entry unusable')

    def remove(self, id: str, now: float, awaited: float | None = None) -> Change | None:
        """Remove a replica whose entry disappeared, unless a grace period applies.

        That is the case after an outage of the registry. If the removal was reported by a peer, the
        grace period is the `awaited` seconds that the peer has left, as the peer's view of the
        registry counts then and not that of this daemon.
        """
        known = self._known.get(id)
        if known is None:
            return None
        until = self._outage_until if awaited is None else now + awaited
        if now < until and not known.entry.draining:
            if known.grace_until is None:
                known.grace_until = until
                known.seen_here = awaited is None
            return None
        del self._known[id]
        self._note_drained(known.entry)
        return Change(id, None, 'entry removed')

    def expire(self, now: float) -> list[Change]:
        """Remove replicas whose grace period has ended."""
        awaited = self.list_awaited(now)
        expired = [id for id, seconds in awaited.items() if seconds <= 0]
        for id in expired:
            del self._known[id]
        return [Change(i, None, 'entry did not come back') for i in expired]

    def _note_drained(self, entry: Entry) -> None:
        if not entry.draining:
            return
        self._drained[entry.id] = entry.started_ms
        if len(self._drained) > DRAINED_KEPT:
            self._drained.popitem(last=False)

    def _replace_process(self, known: _Known, entry: Entry) -> Change:
        known.ended_processes.append(known.entry.started_ms)
        known.entry = entry
        known.skipped = None
        return Change(entry.id, entry, 'started again')


class ReportedFields:
    """Which optional fields the entries of a service have or had until recently.

    All replicas of a service run the same software: if one reports its start time or its models,
    all do, so an entry without them was not written by a replica. That holds for a while after the
    last entry with them has gone, since replicas that restart or whose entries were overwritten
    come back. If no entry has these fields, as with older software, none counts as incomplete.
    """

    def __init__(self) -> None:
        self._has_weights = False
        self._has_starts = False
        self._weights_until = float('-inf')
        self._starts_until = float('-inf')
        self.expires_at = math.inf
        """When the result of `find_incomplete` changes, even if no entry does."""

    def find_incomplete(self, entries: Sequence[Entry], now: float) -> set[str]:
        """Return the ids of all entries that lack a field; `entries` are those of the service."""
        # What the last entries had was in force until now.
        if self._has_weights:
            self._weights_until = now + FIELDS_EXPECTED_SECONDS
        if self._has_starts:
            self._starts_until = now + FIELDS_EXPECTED_SECONDS
        self._has_weights = any(e.reports_weights for e in entries)
        self._has_starts = any(e.reports_start for e in entries)
        needs_weights = self._has_weights or now < self._weights_until
        needs_start = self._has_starts or now < self._starts_until
        self.expires_at = min(
            self._weights_until if needs_weights and not self._has_weights else math.inf,
            self._starts_until if needs_start and not self._has_starts else math.inf,
        )
        return {
            e.id
            for e in entries
            if (needs_weights and not e.reports_weights) or (needs_start and not e.reports_start)
        }


def _describe(entry: Entry) -> Change:
    return Change(entry.id, entry, 'draining' if entry.draining else 'recorded')
