"""Remembers at which software version streams began, and which versions a service has had.

What two versions of a service's software write doesn't fit together, so a stream that has begun may
go on only at replicas of the version that began it.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import msgspec

from passpier.core import replica_processes

MAX_BYTES = 4 * 2**20
"""Approximate memory of all records; the oldest are dropped first."""

RECORD_BYTES = 300
"""Approximate memory of one record besides its texts."""

VERSIONS_KEPT_SECONDS = 3600.0
"""Seconds for which a version that no replica has any more is remembered."""


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """The service, the software version and the replica process at which a stream began."""

    service: str
    software: str
    replica: str = ''
    """Empty if only the version is known."""

    started_ms: int = 0

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that began the stream, as far as the first router knew."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class Record(msgspec.Struct, frozen=True):
    """Where a stream began, as recorded at a point in time."""

    origin: Origin
    noted_at: float
    """When the stream had certainly begun."""

    expires_at: float


class OriginTable:
    """The origins of recent streams by the id of the request that began them."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._records: collections.OrderedDict[str, Record] = collections.OrderedDict()
        self._max_bytes = max_bytes
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def note(self, stream: str, origin: Origin, now: float, expires_at: float) -> None:
        """Record an origin, or keep a known one for longer."""
        record = Record(origin, now, expires_at)
        known = self._remove(stream)
        if known is not None:
            record = msgspec.structs.replace(known, expires_at=max(known.expires_at, expires_at))
        self._records[stream] = record
        self._bytes += _estimate_bytes(stream, record.origin)
        while self._bytes > self._max_bytes:
            self._remove(next(iter(self._records)))

    def forget(self, stream: str) -> None:
        """Drop the record of a stream."""
        self._remove(stream)

    def find(self, stream: str, now: float) -> Record | None:
        """Return the record of a stream, if there is one."""
        record = self._records.get(stream)
        return record if record is not None and record.expires_at > now else None

    def list_service(self, service: str) -> list[tuple[str, Record]]:
        """Return the streams of a service and their records."""
        return [item for item in self._records.items() if item[1].origin.service == service]

    def expire(self, now: float) -> None:
        """Drop the records of streams that are over."""
        for stream in [s for s, record in self._records.items() if record.expires_at <= now]:
            self._remove(stream)

    def _remove(self, stream: str) -> Record | None:
        record = self._records.pop(stream, None)
        if record is not None:
            self._bytes -= _estimate_bytes(stream, record.origin)
        return record


class VersionHistory:
    """The software versions that replicas of one service no longer have, and until when."""

    def __init__(self) -> None:
        self._gone_at: dict[str, float] = {}

    def note_gone(self, software: str, now: float) -> None:
        """Record that a replica with a version has ended."""
        self._gone_at[software] = now
        oldest = now - VERSIONS_KEPT_SECONDS
        self._gone_at = {v: at for v, at in self._gone_at.items() if at > oldest}

    def list_since(self, present: Iterable[str], since: float) -> set[str]:
        """Return the `present` versions and those that replicas have had after `since`."""
        return {*present, *(v for v, at in self._gone_at.items() if at > since)}


class Sighting(msgspec.Struct, frozen=True):
    """The versions that one process has seen at a service lately."""

    versions: frozenset[str]
    """Contains an empty string for replicas whose version is unknown."""

    is_complete: bool
    """Whether the process has seen all versions of that time, and not only the present ones."""


def has_several_versions(sightings: Iterable[Sighting]) -> bool:
    """Return whether replicas of a service have had several versions lately."""
    return len({version for s in sightings for version in s.versions}) > 1


def find_only_version(sightings: Iterable[Sighting]) -> str:
    """Return the version that all replicas of a service have had lately, or an empty string."""
    sightings = list(sightings)
    versions = {version for s in sightings for version in s.versions}
    if len(versions) != 1 or not any(s.is_complete for s in sightings):
        return ''
    return versions.pop()


def _estimate_bytes(stream: str, origin: Origin) -> int:
    texts = (stream, origin.service, origin.software, origin.replica)
    return RECORD_BYTES + sum(len(text) for text in texts)
