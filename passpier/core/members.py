"""Tracks which daemons are alive, by gossip of heartbeat counters.

With every heartbeat, each daemon sends the counters that advanced most recently to a few others.
The list in the store says which daemons exist; a counter that stops advancing means that its daemon
is gone. Clocks and leases of other VMs are not trusted.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Annotated

import msgspec

FANOUT = 3
"""Peers to which each heartbeat is sent."""

REMOTE_DOMAIN_TARGETS = 1
"""How many of them are in other failure domains, if there are enough in the own one."""

DIGEST_LIMIT = 48
"""Maximum number of members in one heartbeat."""

SUSPECT_BEATS = 6.0
"""Heartbeats without progress after which a member counts as gone, in a small fleet."""

FIRST_CONTACT_BEATS = 3.0
"""Heartbeats within which a member that is only listed has to show a first heartbeat."""

SMALL_FLEET = 8
"""Members up to which load and cache updates are sent to all, whether they take requests or not."""

ACTIVE_RATE_SHARE = 0.1
"""Share of the highest request rate from which on a daemon counts as active (serving requests)."""

ACTIVE_RATE_MIN = 0.1
"""Requests per second below which a daemon never counts as active."""

MAX_REMOVED = 1000
"""Maximum number of removed members whose last counter is remembered."""

FORGET_SECONDS = 600.0
"""Seconds after which a member that is gone is removed."""

MAX_CAPACITY = 10_000.0
"""Largest plausible number of CPU cores of a VM; the members with the most read the registry."""

_IPV4_PATTERN = (
    r'^([1-9][0-9]?|1[0-9]{2}|2[01][0-9]|22[0-3])'
    r'(\.([0-9]|[1-9][0-9]|1[0-9]{2}|2[0-4][0-9]|25[0-5])){3}\Z'
)
"""Unicast addresses. A name would be resolved by the thread that sends all messages to peers."""

MAX_NAME_LENGTH = 1000
"""Maximum number of characters of a name, which is sent to peers often."""

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
_OptionalPort = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Member(msgspec.Struct, frozen=True):
    """A daemon incarnation and its addresses; decoders check them, as others may have written it.

    The failure domain may be empty, as it may be in the settings.
    """

    name: _Name
    incarnation: _Name
    ip: Annotated[str, msgspec.Meta(pattern=_IPV4_PATTERN)]
    caller_port: _Port
    peer_port: _Port
    failure_domain: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    capacity: Annotated[float, msgspec.Meta(ge=0, le=MAX_CAPACITY)] = 1.0
    """CPU cores available to the daemon on its VM."""

    tunnel_port: _OptionalPort = 0
    """Port on which it connects members to replicas; 0 if it doesn't."""

    @property
    def entry(self) -> str:
        """The address that callers use."""
        return f'{self.ip}:{self.caller_port}'

    @property
    def peer(self) -> str:
        """The address that other daemons use."""
        return f'{self.ip}:{self.peer_port}'

    @property
    def tunnel(self) -> str:
        """The address at which other daemons request tunnels."""
        return f'{self.ip}:{self.tunnel_port}'


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """One member's state in a heartbeat; encoded without field names, as it is sent often.

    `epoch` and `confirmed` (a revision) are the generation of shares that the member has confirmed.
    """

    incarnation: str
    counter: int
    revision: int = 0
    epoch: int = 0
    confirmed: int = 0
    leaving: bool = False
    rate: float = 0.0
    """Recent rate of callers' requests, per second."""

    known_epoch: int = 0
    """The newest epoch that the member has learnt of, confirmed or not."""


class _Record(msgspec.Struct):
    member: Member
    beat: Beat
    advanced_at: float


class Membership:
    """The members known to this daemon, including itself."""

    def __init__(self, own: Member, heartbeat: float, now: float) -> None:
        self.own = own
        self.heartbeat = heartbeat
        self._records = {own.incarnation: _Record(own, Beat(own.incarnation, 1), now)}
        self._removed: dict[str, int] = {}
        """The last counters of removed members, to ignore their beats that still circulate."""

        self._silent: set[str] = set()
        """The removed members that were only silent, and may still be running."""

    def __len__(self) -> int:
        return len(self._records)

    def advance(
        self,
        now: float,
        revision: int,
        epoch: int,
        confirmed: int,
        leaving: bool,
        rate: float = 0.0,
        known: int = 0,
    ) -> None:
        """Advance this daemon's own heartbeat counter and set its state."""
        record = self._records[self.own.incarnation]
        counter = record.beat.counter + 1
        own = self.own.incarnation
        record.beat = Beat(own, counter, revision, epoch, confirmed, leaving, rate, known)
        record.advanced_at = now

    def add(self, member: Member, now: float, listed: bool = False) -> bool:
        """Add a member, replacing an older incarnation of its name; return whether it was added.

        A member that was removed is not added before a newer beat of it arrives, unless it was
        silent and the store still lists it: two members that have forgotten each other send each
        other no beats.
        """
        if member.incarnation in self._records:
            return False
        if member.incarnation in self._removed and not (
            listed and member.incarnation in self._silent
        ):
            return False
        for known in list(self._records.values()):
            if known.member.name != member.name or known.member is self.own:
                continue
            # Incarnations increase with the clock, but the clock may have been set back.
            newer = known.member.incarnation > member.incarnation
            if newer and self._is_alive(known, now, self.compute_timeout()):
                return False
            del self._records[known.member.incarnation]
        self._records[member.incarnation] = _Record(member, Beat(member.incarnation, 0), now)
        return True

    def merge(self, beats: list[Beat], now: float) -> list[str]:
        """Apply newer beats; return the incarnations that are not known."""
        unknown = []
        for beat in beats:
            record = self._records.get(beat.incarnation)
            if record is None:
                if beat.counter > self._removed.get(beat.incarnation, -1):
                    self._forget_removal(beat.incarnation)
                    unknown.append(beat.incarnation)
            elif record.member is not self.own and beat.counter > max(
                record.beat.counter, self._removed.get(beat.incarnation, 0)
            ):
                self._forget_removal(beat.incarnation)
                record.beat = beat
                record.advanced_at = now
        return unknown

    def remove(self, incarnation: str, silent: bool = False) -> None:
        """Remove a member that has stopped, or was silent for long and may still be running."""
        record = self._records.get(incarnation)
        if record is None or record.member is self.own:
            return
        del self._records[incarnation]
        self._removed[incarnation] = max(record.beat.counter, self._removed.pop(incarnation, 0))
        if silent:
            self._silent.add(incarnation)
        else:
            self._silent.discard(incarnation)
        while len(self._removed) > MAX_REMOVED:
            self._forget_removal(next(iter(self._removed)))

    def _forget_removal(self, incarnation: str) -> None:
        self._removed.pop(incarnation, None)
        self._silent.discard(incarnation)

    def get(self, incarnation: str) -> Member | None:
        """Return a known member."""
        record = self._records.get(incarnation)
        return record.member if record else None

    def get_beat(self, incarnation: str) -> Beat | None:
        """Return the last known beat of a member."""
        record = self._records.get(incarnation)
        return record.beat if record else None

    def get_advanced_at(self, incarnation: str) -> float | None:
        """Return when a known member's counter last advanced."""
        record = self._records.get(incarnation)
        return record.advanced_at if record else None

    def list_known(self) -> list[Member]:
        """Return all known members."""
        return [r.member for r in self._records.values()]

    def list_alive(self, now: float) -> list[Member]:
        """Return the members whose counter advanced recently, including this daemon."""
        timeout = self.compute_timeout()
        return [r.member for r in self._records.values() if self._is_alive(r, now, timeout)]

    def list_serving(self, now: float) -> list[Member]:
        """Return the live members that are not leaving."""
        return [m for m in self.list_alive(now) if not self._records[m.incarnation].beat.leaving]

    def list_load_recipients(self, now: float) -> list[Member]:
        """Return the other members that need load and cache updates.

        In a small fleet these are all live members, in a larger one the active ones.
        """
        return self._list_active(self.list_alive(now))

    def list_known_active(self) -> list[Member]:
        """Return the other members that were active according to their last beat, alive or not.

        In a small fleet these are all known members.
        """
        return self._list_active(self.list_known())

    def is_standby(self, now: float) -> bool:
        """Return whether this daemon isn't active, in a fleet that is large enough for standbys."""
        alive = self.list_alive(now)
        if len(alive) <= SMALL_FLEET:
            return False
        return self.get_rate(self.own.incarnation) < self._compute_active_rate(alive)

    def _list_active(self, members: Sequence[Member]) -> list[Member]:
        others = [m for m in members if m is not self.own]
        if len(members) <= SMALL_FLEET:
            return others
        threshold = self._compute_active_rate(members)
        return [m for m in others if self.get_rate(m.incarnation) >= threshold]

    def _compute_active_rate(self, alive: Sequence[Member]) -> float:
        """Return the requests per second from which on a daemon counts as active.

        Standby daemons get some requests, too: from callers with old addresses, and from operators
        that check whether a configuration is in force.
        """
        highest = max(self.get_rate(m.incarnation) for m in alive)
        return max(highest * ACTIVE_RATE_SHARE, ACTIVE_RATE_MIN)

    def get_rate(self, incarnation: str) -> float:
        """Return a member's recent requests per second."""
        record = self._records.get(incarnation)
        return record.beat.rate if record else 0.0

    def map_rates(self, members: Sequence[Member]) -> dict[str, float]:
        """Return the recent requests per second of members, by incarnation."""
        return {m.incarnation: self.get_rate(m.incarnation) for m in members}

    def compute_timeout(self) -> float:
        """Return the seconds of silence after which a member counts as gone."""
        spread_rounds = len(self._records) / (FANOUT * DIGEST_LIMIT)
        return self.heartbeat * (SUSPECT_BEATS + 2 * spread_rounds)

    def _is_alive(self, record: _Record, now: float, timeout: float) -> bool:
        # Compared by identity, as comparing all fields would dominate the cost of this method.
        if record.member is self.own:
            return True
        if not record.beat.counter:
            timeout = min(timeout, self.heartbeat * FIRST_CONTACT_BEATS)
        return record.advanced_at >= now - timeout

    def make_digest(self, rng: random.Random, now: float) -> list[Beat]:
        """Return up to `DIGEST_LIMIT` beats: the own, the most recent others and a random sample.

        Silent members are left out, because a receiver takes a member that is new to it for alive.
        """
        own = self._records[self.own.incarnation].beat
        timeout = self.compute_timeout()
        others = [r for r in self._records.values() if r.member is not self.own]
        others = [r for r in others if r.beat.counter and self._is_alive(r, now, timeout)]
        if len(others) >= DIGEST_LIMIT:
            others.sort(key=lambda r: -r.advanced_at)
            recent = others[: DIGEST_LIMIT // 2]
            rest = others[DIGEST_LIMIT // 2 :]
            others = recent + rng.sample(rest, min(len(rest), DIGEST_LIMIT - 1 - len(recent)))
        return [own] + [r.beat for r in others]

    def choose_targets(self, rng: random.Random, count: int = FANOUT) -> list[Member]:
        """Return random peers to gossip with: one in another failure domain, the others in the own.

        They are drawn from all known members, alive or not, so that a healed partition is noticed.
        Traffic between failure domains is charged; one message in three is enough to spread
        everything across them.
        """
        others = [r.member for r in self._records.values() if r.member is not self.own]
        return self.choose_among(others, rng, count)

    def choose_among(
        self, others: Sequence[Member], rng: random.Random, count: int = FANOUT
    ) -> list[Member]:
        """Return random ones of other members, most of them in the own failure domain."""
        local = [m for m in others if m.failure_domain == self.own.failure_domain]
        remote = [m for m in others if m.failure_domain != self.own.failure_domain]
        chosen = rng.sample(local, min(max(0, count - REMOTE_DOMAIN_TARGETS), len(local)))
        return chosen + rng.sample(remote, min(count - len(chosen), len(remote)))

    def forget_gone(self, now: float) -> None:
        """Remove members that have been gone for long."""
        for record in list(self._records.values()):
            if record.advanced_at < now - FORGET_SECONDS:
                self.remove(record.member.incarnation, silent=True)
