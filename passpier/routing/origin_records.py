"""Records in the registry where streams began, for routers that start after all others have ended.

Peers that were told where a stream began are lost together with its router if all routers end at
once. While a service has several software versions, each router therefore writes the streams that
begin at it to the registry, some times a second. A stream that began after the last write is
unknown to the routers that follow.

A router groups its streams by the time of their beginning, with one key for each group, so that a
write has the newest streams only. Keys are used again once the streams of their group are over.
"""

from __future__ import annotations

import logging
from typing import Annotated

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import members, stream_origins
from passpier.routing import registry_mirror
from passpier.utils import decoding

log = logging.getLogger(__name__)

MIN_WRITE_INTERVAL = 0.25
"""Minimum seconds between two writes of a router: a longer one loses more streams."""

WRITES_PER_SECOND = 40.0
"""Maximum number of writes per second of all routers together; registries limit them."""

MAX_ROUTERS = 80
"""Maximum number of routers that write: with more, a record would come later than most streams
last, and all routers receive all records."""

GROUP_SECONDS = 2.0
"""Seconds for which the streams that begin belong to one group."""

MAX_GROUPS = 32
"""Maximum number of groups of a router, the most that one transaction can write."""

MAX_ID_LENGTH = 100
"""Maximum length of the id of a stream that is recorded; clients choose the ids."""

MAX_GROUP_STREAMS = 500
"""Maximum number of streams in a group; any further ones are not recorded."""

LEASE = 600.0
"""Seconds after which the records of a router that has ended expire, the most that registries
grant."""

LEASE_USED = 300.0
"""Seconds for which a lease is used, so that records outlast it by the longest stream."""

_KEY = 'origins/'


class StreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """The streams of a group that began at one software version of a service."""

    service: str
    software: str
    streams: list[str]
    replica: str = ''
    """The replica that began them; empty if replicas don't report when they started."""

    started_ms: Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)] = 0


_decoder = decoding.build_json_decoder(list[StreamRecord])


class _Group(msgspec.Struct):
    """Streams that began within a short time."""

    number: int
    began_at: float
    origins: dict[str, stream_origins.Origin] = {}
    """The origins by stream."""

    expires_at: float = 0.0
    """When the last of the streams is over."""

    is_written: bool = False


class OriginRecords:
    """Writes the records of this router, and reads those of all."""

    def __init__(
        self,
        source: registry.Registry,
        registry_state: registry_mirror.RegistryState,
        membership: members.Membership,
    ) -> None:
        self._source = source
        self._registry_state = registry_state
        self._membership = membership
        self._prefix = registry_state.records.own_prefix + _KEY
        self._own_prefix = f'{self._prefix}{membership.own.incarnation}/'
        self._groups: list[_Group] = []
        """The own groups, the oldest first."""

        self._lease: registry.Lease | None = None
        self._granted_at = float('-inf')
        self._written_at = float('-inf')
        self._timeline = registry.NO_REVISION.timeline

    def note(self, stream: str, origin: stream_origins.Origin, expires_at: float) -> None:
        """Have a stream recorded that began here."""
        if len(stream) > MAX_ID_LENGTH:
            return
        now = clocks.now()
        group = self._groups[-1] if self._groups else None
        if group is None or now - group.began_at >= GROUP_SECONDS:
            group = self._add_group(now)
        if len(group.origins) >= MAX_GROUP_STREAMS:
            return
        group.origins[stream] = origin
        group.expires_at = max(group.expires_at, expires_at)
        group.is_written = False

    def forget(self, stream: str) -> None:
        """Have the record of a stream removed, as its origin has turned out to be uncertain."""
        for group in self._groups:
            if group.origins.pop(stream, None) is not None:
                group.is_written = False

    def find(self, stream: str) -> stream_origins.Origin | None:
        """Return where a stream began, if that is recorded."""
        # Few streams are looked for, so that nothing is decoded but the group that has the stream.
        text = msgspec.json.encode(stream)
        for key, item in self._registry_state.members.items():
            if key.startswith(self._prefix) and text in item.data:
                for record in _decode_group(key, item.data):
                    if stream in record.streams:
                        return stream_origins.Origin(
                            record.service, record.software, record.replica, record.started_ms
                        )
        return None

    async def write(self) -> None:
        """Write the groups that have changed, unless the last write was too recent."""
        now = clocks.now()
        self._check_timeline()
        changed = [group for group in self._groups if not group.is_written]
        routers = len(self._membership.list_alive(now))
        interval = max(MIN_WRITE_INTERVAL, routers / WRITES_PER_SECOND)
        if not changed or routers > MAX_ROUTERS or now - self._written_at < interval:
            return
        self._written_at = now
        try:
            await self._write_groups(changed, now)
        except exceptions.StoreError as error:
            self._granted_at = float('-inf')
            for group in changed:
                group.is_written = False
            log.info('stream origins not recorded', extra={'error': str(error)})

    async def _write_groups(self, groups: list[_Group], now: float) -> None:
        """Write groups; raises `StoreError`."""
        if self._lease is None or now - self._granted_at > LEASE_USED:
            self._lease = await self._source.grant(LEASE)
            self._granted_at = now
        puts = []
        for group in groups:
            # Streams that begin during the write need another one.
            group.is_written = True
            key = f'{self._own_prefix}{group.number}'
            puts.append(registry.Put(key, _encode_group(group), self._lease))
        await self._source.write(puts)

    def _check_timeline(self) -> None:
        """Have all groups written again if the registry has returned from an older copy."""
        before, self._timeline = self._timeline, self._registry_state.revision.timeline
        if self._timeline == before or before == registry.NO_REVISION.timeline:
            return
        self._granted_at = float('-inf')
        for group in self._groups:
            group.is_written = False

    def _add_group(self, now: float) -> _Group:
        """Begin a group under the first free number, or that of the oldest group."""
        self._groups = [group for group in self._groups if group.expires_at > now]
        if len(self._groups) >= MAX_GROUPS:
            self._groups.pop(0)
        used = {group.number for group in self._groups}
        number = next(n for n in range(MAX_GROUPS) if n not in used)
        group = _Group(number, now)
        self._groups.append(group)
        return group


def _encode_group(group: _Group) -> bytes:
    """Return the record of a group."""
    streams: dict[stream_origins.Origin, list[str]] = {}
    for stream, origin in group.origins.items():
        if not origin.started_ms:
            origin = stream_origins.Origin(origin.service, origin.software)
        streams.setdefault(origin, []).append(stream)
    return msgspec.json.encode(
        [
            StreamRecord(o.service, o.software, names, o.replica, o.started_ms)
            for o, names in streams.items()
        ]
    )


def _decode_group(key: str, data: bytes) -> list[StreamRecord]:
    """Return the streams of a group; none if the record is invalid."""
    try:
        return _decoder.decode(data)
    except exceptions.DecodingError as error:
        log.error('invalid stream origins ignored', extra={'key': key, 'error': str(error)})
        return []
