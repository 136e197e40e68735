"""Tracks the router processes of a deployment, by registry entries and heartbeats.

The registry lists which processes exist. Heartbeats show which are alive, also during a registry
outage.
"""

from __future__ import annotations

import asyncio
import logging
import random

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import entries, members, rates
from passpier.daemon import messages, peers
from passpier.routing import dialect, registry_mirror
from passpier.utils import decoding

log = logging.getLogger(__name__)

HEARTBEAT = 0.5
"""Seconds between heartbeats."""

DISCOVERY_HEARTBEAT = 0.1
"""The same while no other process is known: until one is, this process serves only a small part of
the requests of rate-limited accounts."""

MEMBER_LEASE = 10.0
"""Seconds after which the entry of a process that is gone expires. Heartbeats detect that much
sooner, and each renewal is a billed call."""

MAX_NOTIFIED = 128
"""Maximum number of request-serving processes for messages about single replicas: each message goes
to all of them, so that a larger fleet goes without."""

RETRY_DELAY = 0.5
"""Seconds before a failed call to the registry is retried."""

REGISTRATIONS_PER_SECOND = 50
"""New entries per second of all processes together after their leases have expired at once, as when
the registry returns from an older copy; each is two of the writes per second that it grants."""

MAX_LOGGED_NAME = 40
"""Maximum number of characters of a name in an error message."""

_KEY = 'members/'

_decoder = decoding.build_json_decoder(members.Member)


class _Entry(msgspec.Struct, frozen=True):
    """A member's entry in the registry; it has no member if it is invalid."""

    revision: registry.Revision
    member: members.Member | None


class Roster:
    """Announces this process and tracks the others."""

    def __init__(
        self,
        own: members.Member,
        registry_state: registry_mirror.RegistryState,
        link: peers.Peers,
        meter: rates.Meter,
        rng: random.Random,
    ) -> None:
        self.membership = members.Membership(own, HEARTBEAT, clocks.now())
        self.leaving = False
        self.max_known = 1
        """The largest number of VMs that had a live or a registered process at the same time."""

        self._registry_state = registry_state
        self._peers = link
        self._rng = rng
        self._prefix = registry_state.records.own_prefix + _KEY
        self._meter = meter
        self._listed: dict[str, str] = {}
        """The names of the registered processes by incarnation."""

        self._entries: dict[str, _Entry] = {}
        """The entries in the registry by key."""

        self._refuses = False
        self._lease: registry.Lease | None = None
        self._departed = False
        link.register_handler(messages.Heartbeat, self._handle_heartbeat)
        link.register_handler(messages.MembersRequest, self._handle_members_request)
        link.register_handler(messages.Members, self._handle_members)
        link.register_handler(messages.Goodbye, self._handle_goodbye)

    @property
    def is_listed(self) -> bool:
        """Whether the registry lists this process."""
        return self.membership.own.incarnation in self._listed

    async def run_registration(self, source: registry.Registry) -> None:
        """Keep this process's entry alive until cancelled."""
        while not self._departed:
            try:
                await self._register(source)
            except registry.LeaseExpiredError:
                pause = self._choose_registration_pause()
                log.warning('own entry expired', extra={'pause': round(pause, 3)})
                self._lease = None
                await asyncio.sleep(pause)
                continue
            except exceptions.StoreError as error:
                log.info('registration failed, will be retried', extra={'error': str(error)})
                await asyncio.sleep(RETRY_DELAY)
                continue
            await asyncio.sleep(MEMBER_LEASE / 3)

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeat(self.membership.choose_targets(self._rng))
            now = clocks.now()
            self.sync_registry(now)
            self.membership.forget_gone(now)
            self.max_known = max(self.max_known, self._count_known(now))
            pause = HEARTBEAT if len(self.membership) > 1 else DISCOVERY_HEARTBEAT
            await asyncio.sleep(pause * self._rng.uniform(0.9, 1.1))

    def notify_serving(self, message: messages.AnyMessage) -> None:
        """Send a message to the peers that serve requests, unless there are too many of them."""
        interested = self.membership.list_load_recipients(clocks.now())
        if len(interested) <= MAX_NOTIFIED:
            self._peers.send_all([m.peer for m in interested], message)

    def begin_leaving(self) -> None:
        """Announce that no client should be sent to this process any more."""
        self.leaving = True
        self.send_heartbeat(self.membership.list_known())

    def announce_departure(self) -> None:
        """Announce to all peers that this process ends."""
        self._departed = True
        addresses = [m.peer for m in self.membership.list_known()]
        self._peers.send_all(addresses, messages.Goodbye(self.membership.own.incarnation))

    async def end(self, source: registry.Registry) -> None:
        """Remove this process's entry from the registry."""
        if self._lease is not None:
            try:
                await source.end(self._lease)
            except exceptions.StoreError as error:
                log.info('own entry not removed, will expire', extra={'error': str(error)})

    def choose_entries(self, query: dialect.Query, now: float, own_ready: bool) -> list[str]:
        """Return the addresses that a client should use: nearby ones, if there are enough."""
        serving = self.membership.list_serving(now)
        own = self.membership.own
        serving = [m for m in serving if m != own or (own_ready and not self.leaving)]
        # If no process is ready, as in a long registry outage, any live one is returned.
        serving = serving or self.membership.list_alive(now)
        request_rates = self.membership.map_rates(serving)
        return entries.choose_near(
            entries.choose_active(serving, request_rates), query.failure_domain
        )

    def sync_registry(self, now: float) -> None:
        """Apply the list of processes in the registry."""
        listed = {}
        self._entries = self._read_entries()
        for entry in self._entries.values():
            member = entry.member
            if member is None:
                continue
            listed[member.incarnation] = member.name
            if self.membership.add(member, now, listed=True):
                log.info(
                    'member found in the registry',
                    extra={'member': member.name, 'address': member.entry},
                )
        for incarnation in self._listed.keys() - listed.keys():
            self._remove_expired(incarnation, now)
        self._listed = listed

    def send_heartbeat(self, targets: list[members.Member]) -> None:
        """Send a heartbeat to some peers."""
        now = clocks.now()
        refuses = self.leaving or not self._registry_state.freshness.is_fresh(now)
        if refuses != self._refuses:
            self._refuses = refuses
            age = round(self._registry_state.freshness.compute_revocation_age(now), 3)
            log.info('ready' if not refuses else 'not ready', extra={'configuration_age': age})
        self.membership.advance(
            now, self._registry_state.revision.number, 0, 0, refuses, self._meter.read(now)
        )
        heartbeat = messages.Heartbeat(
            self.membership.make_digest(self._rng, now), self._registry_state.revision.number, 0
        )
        addresses = [m.peer for m in targets]
        self._peers.send_all(addresses, heartbeat)

    def _read_entries(self) -> dict[str, _Entry]:
        """Return the entries in the registry by key; those that are known aren't decoded again."""
        found = {}
        for key, item in self._registry_state.members.items():
            if key.startswith(self._prefix):
                entry = self._entries.get(key)
                if entry is None or entry.revision != item.revision:
                    entry = _decode_entry(item, key.removeprefix(self._prefix))
                found[key] = entry
        return found

    def _count_known(self, now: float) -> int:
        """Return the number of VMs with a process that is alive or registered."""
        alive = {member.name for member in self.membership.list_alive(now)}
        return len(alive | set(self._listed.values()))

    def _choose_registration_pause(self) -> float:
        """Return the seconds to wait before the own entry is written again."""
        alive = self.membership.list_alive(clocks.now())
        return self._rng.uniform(0.0, len(alive) / REGISTRATIONS_PER_SECOND)

    async def _register(self, source: registry.Registry) -> None:
        lease = self._lease
        if lease is not None:
            await source.renew(lease)
            if not self._is_replaced():
                return
            log.warning('own entry replaced by an invalid one', extra={'lease': lease.id})
        else:
            lease = await source.grant(MEMBER_LEASE)
        own = self.membership.own
        await source.write([registry.Put(self._prefix + own.name, msgspec.json.encode(own), lease)])
        self._lease = lease
        log.info('own entry written', extra={'lease': lease.id})

    def _is_replaced(self) -> bool:
        """Return whether another writer has left an invalid entry in place of the own one."""
        entry = self._entries.get(self._prefix + self.membership.own.name)
        return entry is not None and entry.member is None

    def _remove_expired(self, incarnation: str, now: float) -> None:
        """Drop a process whose entry vanished, unless its heartbeats still arrive."""
        member = self.membership.get(incarnation)
        if member is None or member in self.membership.list_alive(now):
            return
        self.membership.remove(incarnation, silent=True)
        log.info('member removed', extra={'member': member.name})

    def _handle_heartbeat(self, sender: str, address: str, message: messages.Heartbeat) -> None:
        unknown = self.membership.merge(message.beats, clocks.now())
        if unknown:
            self._peers.send(address, messages.MembersRequest(unknown))

    def _handle_members_request(
        self, sender: str, address: str, message: messages.MembersRequest
    ) -> None:
        wanted = message.incarnations
        found = [m for m in self.membership.list_known() if not wanted or m.incarnation in wanted]
        self._peers.send(address, messages.Members(found))

    def _handle_members(self, sender: str, address: str, message: messages.Members) -> None:
        for member in message.members:
            if self.membership.add(member, clocks.now()):
                log.info(
                    'member learnt from a peer',
                    extra={'member': member.name, 'address': member.entry},
                )

    def _handle_goodbye(self, sender: str, address: str, message: messages.Goodbye) -> None:
        self.membership.remove(message.incarnation)
        log.info('member left', extra={'incarnation': message.incarnation})


def _decode_entry(item: registry.Item, name: str) -> _Entry:
    """Return the entry under a name; one that has another name would replace that member."""
    try:
        member = _decoder.decode(item.data)
        if member.name != name:
            raise exceptions.DecodingError(f'not under the name {member.name[:MAX_LOGGED_NAME]!r}')
    except exceptions.DecodingError as error:
        fields = {'key': item.key, 'revision': str(item.revision), 'error': str(error)}
        log.error('invalid member entry ignored', extra=fields)
        return _Entry(item.revision, None)
    return _Entry(item.revision, member)
