"""Records in the registry which software versions services have, for routers that start later.

A router that has just started doesn't know which versions it missed, so that it can't tell where a
stream began that nobody knows. If the record of a service has one version only, every stream of the
service began at it. A record gets a further version as soon as a router sees it, and loses one once
no replica has had it for as long as streams last.
"""

from __future__ import annotations

import logging

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import hash_ring, members
from passpier.routing import registry_mirror, state_proofs
from passpier.utils import decoding

log = logging.getLogger(__name__)

WRITERS = 2
"""Routers that update the record of a service at once; any further one waits for them."""

TURN_SECONDS = 1.0
"""Seconds after which another router updates a record, and between two tries of a router."""

_KEY = 'software/'

_decoder = decoding.build_json_decoder(frozenset[str])


class VersionRecords:
    """Reads and updates the records."""

    def __init__(
        self,
        source: registry.Registry,
        registry_state: registry_mirror.RegistryState,
        membership: members.Membership,
        prover: state_proofs.Prover,
    ) -> None:
        self._prover = prover
        self._source = source
        self._registry_state = registry_state
        self._pools = registry_state.pools
        self._membership = membership
        self._prefix = registry_state.records.own_prefix + _KEY
        self._lifetimes: dict[str, float] = {}
        """By service, the longest time for which a stream that began here may be resumed."""

        self._decoded: dict[str, tuple[registry.Item, frozenset[str]]] = {}
        """By service, its record and the versions that it has."""

        self._outdated_since: dict[str, float] = {}
        self._tried_at: dict[str, float] = {}

    def note_stream(self, service: str, lifetime: float) -> None:
        """Have the versions of a service recorded, with those of as long as a stream lasts."""
        self._lifetimes[service] = max(lifetime, self._lifetimes.get(service, 0.0))

    def get_versions(self, service: str) -> frozenset[str]:
        """Return the versions recorded for a service; none if there is no valid record."""
        item = self._get_item(service)
        if item is None:
            return frozenset()
        decoded = self._decoded.get(service)
        if decoded is None or decoded[0] is not item:
            decoded = self._decoded[service] = item, _decode_versions(item)
        return decoded[1]

    def find_only_version(self, service: str) -> str | None:
        """Return the version at which all streams of a service began that no other record has."""
        versions = self.get_versions(service)
        return next(iter(versions)) if len(versions) == 1 else None

    async def write(self) -> None:
        """Update the records that differ from what this router has seen."""
        now = clocks.now()
        for service, lifetime in list(self._lifetimes.items()):
            versions = self._list_wanted(service, lifetime, now)
            if versions == self.get_versions(service):
                self._outdated_since.pop(service, None)
            elif self._is_due(service, now):
                self._tried_at[service] = now
                await self._update(service, lifetime)

    async def _update(self, service: str, lifetime: float) -> None:
        """Update the record of a service.

        To record only some versions is to claim that there was no other one. This router may not
        have heard of the newest yet.
        """
        now = clocks.now()
        recorded = self.get_versions(service)
        versions = self._list_wanted(service, lifetime, now)
        if not recorded or not versions >= recorded:
            if not await self._prover.prove(now):
                return
            versions = self._list_wanted(service, lifetime, now)
        await self._write_versions(service, versions)

    def _list_wanted(self, service: str, lifetime: float, now: float) -> frozenset[str]:
        """Return the versions that streams of a service may have begun at."""
        seen = self._pools.list_versions(service, now - lifetime)
        if self._pools.observed_since > now - lifetime:
            # Versions may have ended before this process knew of them.
            recorded = self.get_versions(service)
            return recorded | seen if recorded else frozenset()
        return frozenset(seen)

    def _is_due(self, service: str, now: float) -> bool:
        """Return whether it is this router's turn to update an outdated record."""
        since = self._outdated_since.setdefault(service, now)
        if now - self._tried_at.get(service, float('-inf')) < TURN_SECONDS:
            return False
        return now - since >= TURN_SECONDS or self._is_writer(service, now)

    def _is_writer(self, service: str, now: float) -> bool:
        alive = {m.name: m.failure_domain for m in self._membership.list_alive(now)}
        return self._membership.own.name in hash_ring.find_nearest(service, alive, WRITERS)

    async def _write_versions(self, service: str, versions: frozenset[str]) -> None:
        item = self._get_item(service)
        # A router that has seen less must not overwrite the record of one that has seen more.
        revision = item.revision if item is not None else registry.NO_REVISION
        put = registry.Put(self._get_key(service), msgspec.json.encode(sorted(versions)))
        fields = {'service': service, 'software': sorted(versions)}
        try:
            await self._source.write([put], [registry.ExpectedRevision(put.key, revision)])
        except (exceptions.StoreError, exceptions.ConflictError) as error:
            log.info('software versions not recorded', extra={**fields, 'error': str(error)})
        else:
            log.info('software versions recorded', extra=fields)

    def _get_item(self, service: str) -> registry.Item | None:
        return self._registry_state.members.get(self._get_key(service))

    def _get_key(self, service: str) -> str:
        return self._prefix + service


def _decode_versions(item: registry.Item) -> frozenset[str]:
    """Return the versions of a record; none if it is invalid."""
    try:
        return _decoder.decode(item.data)
    except exceptions.DecodingError as error:
        fields = {'key': item.key, 'revision': str(item.revision), 'error': str(error)}
        log.error('invalid software record ignored', extra=fields)
        return frozenset()
