"""The replicas that exist, by their entries in the registry.

Entries that vanish while the registry is disturbed are kept for a while after its return, since
their leases may have lapsed while their replicas live. A replica that was seen leaving stays so.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

RETURN_GRACE = 2.0
"""Seconds after the registry's return in which a lapsed entry comes back if its replica lives."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What a replica records of itself."""

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    versions: Mapping[str, int]
    """Weight version of each model."""


@dataclasses.dataclass(slots=True)
class _Known:
    entry: Entry
    missing_until: float | None = None
    """Until when an entry that vanished may come back."""

    watched: bool = False
    """Whether this process saw it vanish itself; then further disturbance prolongs the wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One replica that came, changed or went; `entry` is none when it is gone."""

    id: str
    entry: Entry | None
    reason: str


class Catalogue:
    """All replicas that are not certainly gone."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._disturbed_until = float('-inf')

    def list_entries(self) -> list[Entry]:
        """Return the entries of all replicas that may be alive."""
        return [k.entry for k in self._known.values()]

    def note_disturbance(self, now: float) -> None:
        """Note that the registry is not answering, or has only just answered again."""
        self._disturbed_until = max(self._disturbed_until, now + RETURN_GRACE)

    def list_awaited(self, now: float) -> dict[str, float]:
        """Return the replicas whose vanished entries may come back, and for how many seconds."""
        awaited = {}
        for id, known in self._known.items():
            if known.missing_until is None:
                continue
            ends_at = known.missing_until
            if known.watched:
                ends_at = max(ends_at, self._disturbed_until)
            awaited[id] = max(0.0, ends_at - now)
        return awaited

    def put(self, entry: Entry) -> Change | None:
        """Take over an entry; return the change, if it is one."""
        known = self._known.get(entry.id)
        if known is not None:
            known.missing_until = None
            if known.entry.draining and not entry.draining:
                entry = dataclasses.replace(entry, draining=True)
            if known.entry == entry:
                return None
        self._known[entry.id] = _Known(entry)
        return Change(entry.id, entry, 'draining' if entry.draining else 'recorded')

    def remove(self, id: str, now: float, awaited: float | None = None) -> Change | None:
        """Note that an entry vanished; the replica is gone unless the entry may come back.

        It may while the registry is disturbed, or, told by a peer, for the `awaited` seconds that
        the peer waits for it: whether the registry answers this process says nothing then.
        """
        known = self._known.get(id)
        if known is None:
            return None
        until = self._disturbed_until if awaited is None else now + awaited
        if now < until and not known.entry.draining:
            if known.missing_until is None:
                known.missing_until = until
                known.watched = awaited is None
            return None
        del self._known[id]
        return Change(id, None, 'entry removed')

    def expire(self, now: float) -> list[Change]:
        """Drop replicas whose entries did not come back in time."""
        awaited = self.list_awaited(now)
        late = [id for id, seconds in awaited.items() if seconds <= 0]
        for id in late:
            del self._known[id]
        return [Change(i, None, 'entry did not come back') for i in late]
