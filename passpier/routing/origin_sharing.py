"""Shares with peers at which software version streams began, for clients that resume them.

Clients mostly resume a stream because its router has gone. So each router tells a few peers of the
streams that begin at it, chosen by the id of the stream, and a router at which a stream is resumed
asks these. While all replicas of a service have had one version for as long as streams last, nobody
is told: that version is where every stream began. If all routers end at once, the registry has the
streams (`origin_records`), or the only version (`version_records`).
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Collection, Sequence

from passpier import clocks
from passpier.core import hash_ring, members, stream_origins
from passpier.daemon import messages, peers
from passpier.routing import (
    origin_records,
    probing,
    registry_mirror,
    state_proofs,
    version_records,
)

log = logging.getLogger(__name__)

HOLDERS = 3
"""Peers that are told where a stream began; in different failure domains, if there are as many."""

PEERS_ASKED = 8
"""Peers that are asked: more than are told, as the routers' views of the fleet differ."""

ASK_SECONDS = 0.15
"""Seconds in which peers must answer; those that are alive take a few milliseconds."""

LIFETIME_MARGIN = 5.0
"""Seconds for which an origin is remembered after the stream's deadline."""

MAX_LIFETIME = 600.0
"""Maximum number of seconds for which an origin is remembered."""

VERSION_CHECK_INTERVAL = 0.1
"""Seconds between checks for services that have got a second version."""

EXPIRY_INTERVAL = 5.0
"""Seconds between rounds in which expired records are dropped."""


class OriginSharing:
    """Records the origins of streams, here and at peers."""

    def __init__(
        self,
        registry_state: registry_mirror.RegistryState,
        membership: members.Membership,
        link: peers.Peers,
        records: origin_records.OriginRecords,
        versions: version_records.VersionRecords,
        prover: state_proofs.Prover,
        surveyor: probing.Surveyor,
    ) -> None:
        self._prover = prover
        self._surveyor = surveyor
        self._records = records
        self._versions = versions
        self.own = stream_origins.OriginTable()
        """The streams that began here."""

        self.held = stream_origins.OriginTable()
        """Those that peers have told of."""

        self._registry_state = registry_state
        self._pools = registry_state.pools
        self._membership = membership
        self._peers = link
        self._services: set[str] = set()
        """The services of streams that began here."""

        self._told_services: set[str] = set()
        """Those with several versions, of which all streams have been told."""

        self._single_version_services: set[str] = set()
        """Those with one version only according to the registry, whose streams aren't recorded."""

        self._numbers = itertools.count()
        self._asked: dict[str, asyncio.Queue[messages.OriginResponse]] = {}
        link.register_handler(messages.StreamBegun, self._handle_begun)
        link.register_handler(messages.OriginRequest, self._handle_request)
        link.register_handler(messages.OriginResponse, self._handle_response)

    def note_begun(self, stream: str, origin: stream_origins.Origin, seconds: float) -> None:
        """Record where a stream began that may last for the given number of seconds."""
        if not origin.software:
            return
        now = clocks.now()
        lifetime = _compute_lifetime(seconds)
        expires_at = now + lifetime
        self.own.note(stream, origin, now, expires_at)
        self._services.add(origin.service)
        self._versions.note_stream(origin.service, lifetime)
        if self._has_several_versions(origin.service, now) or not self._has_watched(lifetime):
            self._tell(stream, origin, expires_at, now)
        if self._versions.find_only_version(origin.service) != origin.software:
            self._records.note(stream, origin, expires_at)

    def choose_version(self, service: str) -> str | None:
        """Return the version at which a new stream has to begin, if any.

        Until the registry has the record of a second version, a stream that begins there could pass
        for one of the first version after a restart of all routers.
        """
        software = self._versions.find_only_version(service)
        if not software or len(self._pools.list_versions(service, clocks.now())) < 2:
            return None
        return None if self._pools.is_superseded(service, software) else software

    def forget(self, stream: str, service: str) -> None:
        """Drop a record that has turned out to be uncertain, here and at peers."""
        self.own.forget(stream)
        self._records.forget(stream)
        now = clocks.now()
        self._tell(stream, stream_origins.Origin(service, ''), now, now)

    async def find(self, stream: str, service: str, seconds: float) -> stream_origins.Origin | None:
        """Return where a stream began that may last for `seconds`, if that is certain."""
        asked_at = clocks.now()
        found, source = self._find_certain(stream, asked_at), 'record'
        if found is None:
            found, source = self._check(stream, self._records.find(stream), asked_at), 'registry'
        asked: list[str] = []
        responses: list[messages.OriginResponse] = []
        if found is None:
            lifetime = _compute_lifetime(seconds)
            alive = self._membership.list_alive(asked_at)
            asked = self._choose_peers(stream, alive, PEERS_ASKED)
            responses = await self._ask(asked, stream, service, lifetime)
            named = next((r.origin for r in responses if r.origin), None)
            found, source = self._check(stream, named, clocks.now()), 'peer'
            if found is None:
                found = await self._infer(service, lifetime, asked_at, responses)
                source = 'only version'
        log.info(
            'stream origin found' if found else 'stream origin unknown',
            extra={
                'stream': stream,
                'service': service,
                'software': found.software if found else '',
                'source': source if found else '',
                'asked': len(asked),
                'answers': len(responses),
                'seconds': round(clocks.now() - asked_at, 4),
                'registry_age': round(self._registry_state.freshness.compute_age(asked_at), 3),
                'proved': self._registry_state.freshness.proved_at >= asked_at,
            },
        )
        return found

    async def is_in_step(self, stream: str, service: str, seconds: float) -> bool:
        """Return whether this router certainly knows if a record of a stream was withdrawn."""
        asked_at = clocks.now()
        if await self._prover.prove(asked_at):
            return True
        asked = self._choose_peers(stream, self._membership.list_alive(asked_at), PEERS_ASKED)
        lifetime = _compute_lifetime(seconds)
        responses = await self._ask(asked, stream, service, lifetime, wants_all=True)
        return self._is_agreed(len(responses))

    async def run(self) -> None:
        """Tell peers of the streams of services that get a second version, until cancelled."""
        expired_at = clocks.now()
        while True:
            await asyncio.sleep(VERSION_CHECK_INTERVAL)
            now = clocks.now()
            self._tell_services(now)
            if now - expired_at >= EXPIRY_INTERVAL:
                expired_at = now
                self.own.expire(now)
                self.held.expire(now)

    async def run_records(self) -> None:
        """Write the records of versions and streams to the registry, until cancelled."""
        while True:
            await asyncio.sleep(VERSION_CHECK_INTERVAL)
            self._record_services()
            await self._versions.write()
            await self._records.write()

    def _tell_services(self, now: float) -> None:
        """Tell peers of the own streams of services that have got a second version."""
        several = {s for s in self._services if self._has_several_versions(s, now)}
        for service in several - self._told_services:
            records = self.own.list_service(service)
            log.info('streams told to peers', extra={'service': service, 'count': len(records)})
            for stream, record in records:
                self._tell(stream, record.origin, record.expires_at, now)
        self._told_services = several

    def _record_services(self) -> None:
        """Record the own streams of services that have no longer one version only."""
        single = {s for s in self._services if self._versions.find_only_version(s)}
        for service in self._single_version_services - single:
            for stream, record in self.own.list_service(service):
                self._records.note(stream, record.origin, record.expires_at)
        self._single_version_services = single

    def _tell(
        self, stream: str, origin: stream_origins.Origin, expires_at: float, now: float
    ) -> None:
        holders = self._choose_peers(stream, self._membership.list_serving(now), HOLDERS)
        seconds = round(expires_at - now, 1)
        self._peers.send_all(holders, messages.StreamBegun(stream, origin, seconds))

    def _has_several_versions(self, service: str, now: float) -> bool:
        return len(self._pools.list_versions(service, now - MAX_LIFETIME)) > 1

    def _has_watched(self, lifetime: float) -> bool:
        """Return whether this process has seen the versions of that time."""
        return self._pools.observed_since <= clocks.now() - lifetime

    def _find_certain(self, stream: str, now: float) -> stream_origins.Origin | None:
        """Return where a stream began, if that is known here and certain."""
        record = self.own.find(stream, now) or self.held.find(stream, now)
        return self._check(stream, record.origin, record.noted_at) if record is not None else None

    def _check(
        self, stream: str, origin: stream_origins.Origin | None, noted_at: float
    ) -> stream_origins.Origin | None:
        """Return the origin of a stream that had begun at `noted_at`, unless it is uncertain.

        If its replica has restarted since, others may not know when, and get the version only.
        """
        if origin is None:
            return None
        if not self._is_uncertain(origin, noted_at):
            if not self._pools.has_restarted(origin.process):
                return origin
            return stream_origins.Origin(origin.service, origin.software)
        log.info(
            'stream record uncertain',
            extra={
                'stream': stream,
                'upstream': origin.replica,
                'born': origin.started_ms,
                'software': origin.software,
                'age': round(clocks.now() - noted_at, 3),
            },
        )
        return None

    def _is_uncertain(self, origin: stream_origins.Origin, noted_at: float) -> bool:
        """Return whether another process than the recorded one may have begun a stream.

        Its router may have learnt of the replica's restart too late, or may have ended before.
        """
        return self._pools.may_be_other_version(origin.process, origin.software, noted_at)

    def _choose_peers(
        self, stream: str, known: Collection[members.Member], count: int
    ) -> list[str]:
        """Return the addresses of the peers that know of a stream, the likeliest first."""
        others = {m.name: m for m in known if m is not self._membership.own}
        domains = {name: m.failure_domain for name, m in others.items()}
        return [others[name].peer for name in hash_ring.find_nearest(stream, domains, count)]

    async def _ask(
        self,
        asked: Sequence[str],
        stream: str,
        service: str,
        lifetime: float,
        wants_all: bool = False,
    ) -> list[messages.OriginResponse]:
        """Return the responses of peers, up to the first that knows the origin or all of them."""
        id = str(next(self._numbers))
        received: asyncio.Queue[messages.OriginResponse] = asyncio.Queue()
        self._asked[id] = received
        responses: list[messages.OriginResponse] = []
        self._peers.send_all(asked, messages.OriginRequest(id, stream, service, lifetime))
        try:
            async with asyncio.timeout(ASK_SECONDS):
                while len(responses) < len(asked):
                    responses.append(await received.get())
                    if responses[-1].origin is not None and not wants_all:
                        break
        except TimeoutError:
            fields = {'stream': stream, 'asked': len(asked), 'answers': len(responses)}
            log.info('peers did not answer in time', extra=fields)
        finally:
            del self._asked[id]
        return responses

    async def _infer(
        self,
        service: str,
        lifetime: float,
        asked_at: float,
        responses: Sequence[messages.OriginResponse],
    ) -> stream_origins.Origin | None:
        """Return where all streams of a service began, if it certainly has had one version only."""
        sightings = [r.sighting for r in responses]
        if stream_origins.has_several_versions([self._see(service, lifetime), *sightings]):
            return None
        # The registry doesn't have the version of a process that has just started.
        is_proved, _ = await asyncio.gather(
            self._prover.prove(asked_at), self._surveyor.survey(service)
        )
        if not is_proved and not self._is_agreed(len(responses)):
            return None
        software = stream_origins.find_only_version([self._see(service, lifetime), *sightings])
        return stream_origins.Origin(service, software) if software else None

    def _is_agreed(self, answered: int) -> bool:
        """Return whether what the peers know makes up for a proof of the registry's state.

        A router that is missing may have begun the stream, and read the registry since.
        """
        alive = len(self._membership.list_alive(clocks.now()))
        known = len(self._membership.list_known())
        return alive == known and answered >= min(known - 1, PEERS_ASKED)

    def _see(self, service: str, lifetime: float) -> stream_origins.Sighting:
        since = clocks.now() - lifetime
        versions = frozenset(self._pools.list_versions(service, since))
        if self._has_watched(lifetime):
            return stream_origins.Sighting(versions, True)
        recorded = self._versions.get_versions(service)
        return stream_origins.Sighting(versions | recorded, len(recorded) == 1)

    def _handle_begun(self, sender: str, address: str, message: messages.StreamBegun) -> None:
        origin = message.origin
        if not origin.software:
            self.held.forget(message.stream)
        elif self._is_uncertain(origin, clocks.now()):
            # The sender doesn't know yet that another process got the request.
            fields = {'stream': message.stream, 'upstream': origin.replica, 'peer': address}
            log.info('stream origin rejected', extra=fields | {'born': origin.started_ms})
            replaced = messages.ProcessReplaced(origin.replica, origin.started_ms)
            self._peers.send(address, replaced)
        else:
            now = clocks.now()
            self.held.note(message.stream, origin, now, now + message.seconds)

    def _handle_request(self, sender: str, address: str, message: messages.OriginRequest) -> None:
        origin = self._find_certain(message.stream, clocks.now())
        sighting = self._see(message.service, message.seconds)
        self._peers.send(address, messages.OriginResponse(message.id, origin, sighting))

    def _handle_response(self, sender: str, address: str, message: messages.OriginResponse) -> None:
        received = self._asked.get(message.id)
        if received is not None:
            received.put_nowait(message)


def _compute_lifetime(seconds: float) -> float:
    """Return for how long a stream may be resumed that lasts for `seconds`."""
    return min(seconds + LIFETIME_MARGIN, MAX_LIFETIME)
