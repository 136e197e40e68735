"""Passes on what is known of the registry, with the age of its proof, between processes.

A few processes read the registry. Each of the others asks them in turn, several times a second,
what has changed behind the revision that it knows, and reads for itself only if the answers have
grown old. Now and then everybody asks anybody, so that whoever knows more is found, whatever is
cut off.
"""

from __future__ import annotations

import asyncio
import logging
import random
import zlib

import msgspec

from passpier import clocks
from passpier.clients import registry
from passpier.core import members, namings, readers
from passpier.daemon import messages, peers
from passpier.routing import history, knowledge

log = logging.getLogger(__name__)

ASK_INTERVAL = 0.25
"""Seconds between two questions: a change is known everywhere well within a second."""

ASK_ANYBODY = 2
"""Every how many rounds a process drawn at random is asked as well."""

FALLBACK_AGE = 1.5
"""Seconds of age from which a process reads for itself: sound readers' proofs are younger, and a
replica that leaves must be known to do so within two seconds."""

FALLBACK_SPREAD = 0.25
"""Seconds over which the processes spread their falling back: the first that succeeds tells."""

COMPRESS_FROM = 1000
"""Bytes from which news are compressed: a large configuration must pass through a small link."""


class Relay:
    """One process's part in passing knowledge on."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        membership: members.Membership,
        link: peers.Peers,
        rng: random.Random,
    ) -> None:
        self._known = known
        self._membership = membership
        self._peers = link
        self._rng = rng
        self._spread = rng.uniform(0, FALLBACK_SPREAD)
        self._rounds = 0
        self._reads = True
        link.handle(messages.ProofWanted, self._answer)
        link.handle(messages.Proof, self._take)

    def is_reader(self, now: float) -> bool:
        """Return whether this process is one of those that read the registry."""
        return self._membership.own in readers.choose_readers(self._membership.list_serving(now))

    def should_read(self, now: float) -> bool:
        """Return whether this process reads now, be it only because others tell it too little."""
        age = self._known.freshness.compute_age(now)
        reader = self.is_reader(now)
        fallback = not self._known.is_ready() or self.compute_patience(now) < 0
        if (reader or fallback) != self._reads:
            self._reads = reader or fallback
            log.info(
                'reads the registry' if self._reads else 'is told of the registry',
                extra={'reader': reader, 'age': round(age, 3), 'revision': self._known.revision},
            )
        return self._reads

    def compute_patience(self, now: float) -> float:
        """Return the seconds after which this process reads if it is told nothing until then."""
        return FALLBACK_AGE + self._spread - self._known.freshness.compute_age(now)

    def count_sharers(self, now: float) -> float:
        """Return how many processes share the calls of one reader when all have to read."""
        if self.is_reader(now):
            return 1.0
        return max(1.0, len(self._membership.list_alive(now)) / readers.LEAST)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(ASK_INTERVAL * self._rng.uniform(0.9, 1.1))
            now = clocks.now()
            self._known.expire(now)
            self.ask(now)

    def ask(self, now: float) -> None:
        """Send this round's questions."""
        self._rounds += 1
        addresses = set()
        serving = self._membership.list_serving(now)
        chosen = readers.choose_readers(serving)
        if self._membership.own not in chosen:
            # A different one each time: some of them may be cut off without knowing it yet.
            teller = readers.choose_teller(self._membership.own, chosen, self._rounds)
            if teller is not None:
                addresses.add(teller.peer)
        if self._rounds % ASK_ANYBODY == 0:
            addresses |= {m.peer for m in self._membership.choose_targets(self._rng, 1)}
        known = self._known
        question = messages.ProofWanted(now, known.revision, not known.is_ready())
        self._peers.send_all(addresses, question)

    def _answer(self, sender: str, address: str, message: messages.ProofWanted) -> None:
        now = clocks.now()
        known = self._known
        weights = [export_namings(m, n, now) for m, n in known.pools.namings.items()]
        news = history.News((), False)
        # Who knows nothing yet reads the registry itself, unless that has failed.
        if known.revision > message.revision and (message.revision or message.wants_all):
            news = known.export_since(message.revision)
        answer = messages.Proof(
            message.sent_at,
            known.changed_at,
            known.freshness.compute_age(now),
            weights,
            message.revision,
            known.revision,
            known.catalogue.list_awaited(now),
            news.whole,
            encode_items(news.items),
        )
        self._peers.send(address, answer)

    def _take(self, sender: str, address: str, message: messages.Proof) -> None:
        now = clocks.now()
        known = self._known
        if message.items or message.whole:
            news = history.News(decode_items(message.items), message.whole)
            changes = knowledge.Told(news, message.since, message.known_revision, message.awaited)
            if not known.take_news(changes, now):
                return
        # The peer answered after the question was sent, so its ages count from there at the latest.
        known.take_proof(message.revision, message.sent_at - message.age)
        for named in message.weights:
            told = [namings.Naming(v, message.sent_at - age) for v, age in named.ages]
            known.pools.learn_namings(named.model, told)


def export_namings(model: str, known: namings.Namings, now: float) -> messages.Named:
    """Return what a peer is told of the named weights of a model."""
    return messages.Named(model, [(n.version, now - n.not_before) for n in known.known])


_decoder = msgspec.msgpack.Decoder(tuple[registry.Item, ...])


def encode_items(items: tuple[registry.Item, ...]) -> bytes:
    """Return items as bytes, compressed if that is worth it."""
    if not items:
        return b''
    data = msgspec.msgpack.encode(items)
    if len(data) < COMPRESS_FROM:
        return b'p' + data
    return b'z' + zlib.compress(data)


def decode_items(data: bytes) -> tuple[registry.Item, ...]:
    """Return the items that `encode_items` has made into bytes."""
    if not data:
        return ()
    body = zlib.decompress(data[1:]) if data[:1] == b'z' else data[1:]
    return _decoder.decode(body)
