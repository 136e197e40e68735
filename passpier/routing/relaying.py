"""Relays registry changes between processes, with the age at which they were known to be complete.

A few processes read the registry. Each of the others queries them in turn, several times a second,
for changes after its own revision, and reads the registry itself only if the replies get too old.
Now and then every process queries a random one, so that the newest state is found during any
partition.
"""

from __future__ import annotations

import asyncio
import logging
import random
import zlib

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import members, readers, weight_releases
from passpier.daemon import messages, peers
from passpier.routing import history, registry_mirror
from passpier.utils import decoding

log = logging.getLogger(__name__)

QUERY_INTERVAL = 0.25
"""Seconds between queries: a change must be known everywhere well within a second."""

RANDOM_QUERY_ROUNDS = 2
"""Number of rounds after which a random process is queried as well."""

PEERS_ASKED_FOR_TIMES = 8
"""Processes queried in each round while the time of a release is unknown."""

FALLBACK_AGE = 1.5
"""Maximum age in seconds from which a process reads the registry itself: working readers keep it
lower, and a leaving replica must be known as such within two seconds."""

FALLBACK_SPREAD = 0.25
"""Seconds over which the processes spread that fallback: the first to succeed informs the
others."""

COMPRESS_FROM = 1000
"""Size in bytes from which changes are compressed: a large configuration must fit through a slow
link."""

MAX_DECOMPRESSED = 64 * 1024 * 1024
"""Maximum size in bytes of decompressed changes, which may be the whole registry."""


class Relay:
    """Exchanges registry changes with peers."""

    def __init__(
        self,
        registry_state: registry_mirror.RegistryState,
        membership: members.Membership,
        link: peers.Peers,
        rng: random.Random,
    ) -> None:
        self._registry_state = registry_state
        self._membership = membership
        self._peers = link
        self._rng = rng
        self._spread = rng.uniform(0, FALLBACK_SPREAD)
        self._rounds = 0
        self._started_at = clocks.now()
        self._turn = 0
        """Counts the queries to readers, which are asked in rotation."""

        self._reads = True
        link.register_handler(messages.FreshnessRequest, self._handle_freshness_request)
        link.register_handler(messages.FreshnessProof, self._handle_freshness_proof)

    def is_reader(self, now: float) -> bool:
        """Return whether this process is one of those that read the registry."""
        return self._membership.own in self._choose_readers(now)

    def should_read(self, now: float) -> bool:
        """Return whether this process reads the registry: as a reader, or for lack of responses."""
        age = self._registry_state.freshness.compute_age(now)
        reader = self.is_reader(now)
        fallback = not self._registry_state.is_ready() or self.compute_fallback_delay(now) < 0
        if (reader or fallback) != self._reads:
            self._reads = reader or fallback
            log.info(
                'reading the registry' if self._reads else 'following the registry through peers',
                extra={
                    'reader': reader,
                    'age': round(age, 3),
                    'revision': str(self._registry_state.revision),
                },
            )
        return self._reads

    def compute_fallback_delay(self, now: float) -> float:
        """Return the seconds until this process reads the registry if it gets no response."""
        known = self._registry_state.freshness
        earliest = min(FALLBACK_AGE, known.fallback_age - FALLBACK_SPREAD)
        return earliest + self._spread - known.compute_age(now)

    def count_sharers(self, now: float) -> float:
        """Return how many processes share the call rate of one reader when all have to read."""
        if self.is_reader(now):
            return 1.0
        return max(1.0, len(self._membership.list_alive(now)) / readers.MIN_READERS)

    async def run(self) -> None:
        """Query peers until cancelled."""
        while True:
            await asyncio.sleep(QUERY_INTERVAL * self._rng.uniform(0.9, 1.1))
            now = clocks.now()
            self._registry_state.expire(now)
            self.send_queries(now)

    def send_queries(self, now: float) -> None:
        """Send the queries of one round."""
        self._rounds += 1
        addresses = set()
        reader = None if self.is_reader(now) else self.choose_reader(now)
        if reader is not None:
            addresses.add(reader)
        if self._rounds % RANDOM_QUERY_ROUNDS == 0:
            addresses |= {m.peer for m in self._membership.choose_targets(self._rng, 1)}
        state = self._registry_state
        if any(known.is_awaiting_time(now) for known in state.pools.releases.values()):
            # Those that know the time may be leaving, and others may have ended unnoticed.
            asked = self._membership.choose_targets(self._rng, PEERS_ASKED_FOR_TIMES)
            addresses |= {m.peer for m in asked}
        self._peers.send_all(addresses, self.build_request(now))

    def choose_reader(self, now: float) -> str | None:
        """Return the address of another reader to ask; none if there is no other.

        It is a different one each time: some may be isolated without having noticed yet.
        """
        self._turn += 1
        chosen = self._choose_readers(now)
        reader = readers.pick_reader(self._membership.own, chosen, self._turn)
        return reader.peer if reader is not None else None

    def build_request(self, now: float) -> messages.FreshnessRequest:
        """Return a request for the changes that this process lacks."""
        state = self._registry_state
        return messages.FreshnessRequest(
            now, state.revision, not state.is_ready(), state.configuration_version
        )

    def _choose_readers(self, now: float) -> list[members.Member]:
        # If no process serves, as after a return of the registry, some still have to read.
        serving = self._membership.list_serving(now) or self._membership.list_alive(now)
        return readers.choose_readers(serving)

    def _handle_freshness_request(
        self, sender: str, address: str, message: messages.FreshnessRequest
    ) -> None:
        self._peers.send(address, self.build_proof(message))

    def build_proof(self, message: messages.FreshnessRequest) -> messages.FreshnessProof:
        """Return the changes that a peer lacks and the age of the state here."""
        now = clocks.now()
        state = self._registry_state
        weights = [export_releases(m, n, now) for m, n in state.pools.releases.items()]
        changes = history.ChangeSet((), False)
        # A process that knows nothing yet reads the registry itself, unless that has failed.
        is_empty = message.revision == registry.NO_REVISION
        if state.revision > message.revision and (not is_empty or message.wants_all):
            changes = state.export_since(message.revision)
        lost = state.export_lost_configuration(message.configuration_version)
        return messages.FreshnessProof(
            message.sent_at,
            state.changed_at,
            state.freshness.compute_age(now),
            weights,
            message.revision,
            state.revision,
            state.catalogue.list_awaited(now),
            changes.is_full,
            encode_items(changes.items),
            encode_items((lost,) if lost is not None else ()),
        )

    def _handle_freshness_proof(
        self, sender: str, address: str, message: messages.FreshnessProof
    ) -> None:
        self.apply_proof(address, message)

    def apply_proof(self, address: str, message: messages.FreshnessProof) -> None:
        """Apply a peer's changes, and the time at which its state was complete."""
        try:
            items = decode_items(message.items)
            configuration = decode_items(message.configuration)
        except exceptions.DecodingError as error:
            # Without an answer from any peer, this process reads the registry itself.
            log.warning('changes not decoded', extra={'peer': address, 'error': str(error)})
            return
        now = clocks.now()
        if not self._started_at <= message.sent_at <= now:
            # An earlier process at this address sent the request, perhaps before the VM started.
            return
        state = self._registry_state
        if items or message.is_full:
            changes = history.ChangeSet(items, message.is_full)
            peer_changes = registry_mirror.PeerChanges(
                changes, message.since, message.known_revision, message.awaited
            )
            if not state.apply_peer_changes(peer_changes, now):
                return
        for item in configuration:
            state.apply_lost_configuration(item)
        # The peer replied after the query was sent, so its ages count from that time at the latest.
        state.apply_freshness(message.revision, message.sent_at - message.age)
        for named in message.weights:
            peer_releases = [
                weight_releases.Release(v, message.sent_at - age) for v, age in named.ages
            ]
            state.pools.merge_releases(named.model, peer_releases)


def export_releases(
    model: str, release_history: weight_releases.ReleaseHistory, now: float
) -> messages.ModelReleases:
    """Return the releases of a model's weights in the form that peers are sent."""
    return messages.ModelReleases(
        model, [(n.version, now - n.not_before) for n in release_history.known]
    )


_decoder = decoding.build_messagepack_decoder(tuple[registry.Item, ...])


def encode_items(items: tuple[registry.Item, ...]) -> bytes:
    """Return items as bytes, compressed if they are large."""
    if not items:
        return b''
    data = msgspec.msgpack.encode(items)
    if len(data) < COMPRESS_FROM:
        return b'p' + data
    return b'z' + zlib.compress(data)


def decode_items(data: bytes) -> tuple[registry.Item, ...]:
    """Return the items that `encode_items` encoded; raise `DecodingError` if they are invalid."""
    if not data:
        return ()
    body = data[1:]
    if data[:1] == b'z':
        body = decoding.decompress(body, MAX_DECOMPRESSED)
    return _decoder.decode(body)
