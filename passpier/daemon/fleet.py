"""Maintains this daemon's membership in the fleet: heartbeats, members, configuration."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from passpier import clocks
from passpier.config import directory, settings
from passpier.core import drain, members, rendezvous, shares
from passpier.daemon import (
    configuration,
    epochs,
    events,
    limits,
    messages,
    metrics,
    peers,
    storage,
    upstreams,
)

log = logging.getLogger(__name__)

BOOTSTRAP_INTERVAL = 0.3
"""Seconds between requests to seeds and peers until the bootstrap is complete."""

SNAPSHOT_BLOCKS = 20_000
"""Blocks of the cache view that a starting daemon requests from a peer."""

WATCHERS_PER_DOMAIN = 2
"""Daemons per failure domain that watch the store; the others are informed by peers."""

BOOTSTRAP_PEERS = 3
"""Seeds and peers that a starting daemon asks at a time."""

PUSH_FANOUT = 8
"""Peers that are notified at once of a new configuration or epoch."""


class Fleet:
    """Membership, configuration, epochs and drain of this daemon."""

    def __init__(
        self,
        options: settings.Settings,
        membership: members.Membership,
        link: peers.Peers,
        shared_storage: storage.Storage,
        known_upstreams: upstreams.Upstreams,
        cache_events: events.Events | None,
        account_limits: limits.Limits,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.options = options
        self.membership = membership
        self.storage = shared_storage
        self.upstreams = known_upstreams
        self.limits = account_limits
        self.drain = drain.Drain(options.entry_ttl, options.drain_bound)
        self.stopping = asyncio.Event()
        self._peers = link
        self._events = cache_events
        self._counters = counters
        self._rng = rng
        self._has_cache_view = False
        self._caught_up = False
        self.configuration = configuration.Configuration(
            membership, link, shared_storage, self._apply
        )
        self.epochs = epochs.Epochs(
            membership, link, shared_storage, account_limits, self._add_listed, self.announce
        )
        self._handle_messages()

    def begin_drain(self, asked_at: float | None = None) -> None:
        """Start to drain; later requests, by operators or the platform, have no further effect.

        `asked_at` is when a signal arrived, as the event loop may handle it later.
        """
        now = clocks.now()
        if self.drain.began_at is not None:
            log.info('drain goes on', extra={'elapsed': round(now - self.drain.began_at, 3)})
            return
        began_at = now if asked_at is None else asked_at
        self.drain.begin(began_at)
        self.epochs.leaving = True
        noticed_after = round(now - began_at, 4)
        log.info('drain begins', extra={'noticed_after': noticed_after, 'bound': self.drain.bound})
        self._advance_heartbeat()
        for member in self.membership.list_known():
            self._peers.send(member.peer, self._make_heartbeat())
        self.stopping.set()

    def force_drain(self) -> None:
        """End the drain now."""
        self.drain.force()
        log.info('drain hurried')

    def announce_departure(self) -> None:
        """Notify all peers that this daemon has finished its requests and stops."""
        for member in self.membership.list_known():
            self._peers.send(member.peer, messages.Goodbye(self.membership.own.incarnation))

    @property
    def config(self) -> directory.Directory | None:
        """The configuration in force."""
        return self.configuration.current

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._advance_heartbeat()
            beat = self._make_heartbeat()
            for member in self.membership.choose_targets(self._rng):
                self._peers.send(member.peer, beat)
            self.limits.tick()
            self.membership.forget_gone(clocks.now())
            self._counters.members.set({}, len(self.membership.list_alive(clocks.now())))
            await asyncio.sleep(self.options.heartbeat * self._rng.uniform(0.9, 1.1))

    async def run_bootstrap(self) -> None:
        """Ask seeds and peers for members, configuration, epoch and view until all have arrived."""
        while self.config is None or not self._has_cache_view:
            others = [m.peer for m in self.membership.choose_targets(self._rng)]
            asked = list(dict.fromkeys([*self.options.seeds, *others]))
            for address in self._rng.sample(asked, min(BOOTSTRAP_PEERS, len(asked))):
                self._request_bootstrap(address)
            await asyncio.sleep(BOOTSTRAP_INTERVAL)
            if self.config is not None and not asked:
                return

    async def run_store(self) -> None:
        """Keep the lease, follow the configuration, and propose epochs if responsible."""
        await asyncio.gather(
            self.storage.repeat(self._get_register_interval(), self._register),
            self.epochs.run(),
            self.storage.repeat(storage.POLL_SECONDS, self._poll_revision),
            self._watch(),
        )

    def _handle_messages(self) -> None:
        handle: Callable = self._peers.register_handler
        handle(messages.Heartbeat, self._handle_heartbeat)
        handle(messages.MembersRequest, self._send_members)
        handle(messages.Members, self._handle_members)
        handle(messages.Goodbye, self._handle_goodbye)
        handle(messages.ViewRequest, self._send_view)
        handle(messages.ViewResponse, self._handle_view)
        handle(messages.DrainRequest, lambda *_: self.begin_drain())

    def _request_bootstrap(self, address: str) -> None:
        self._peers.send(address, messages.Members([self.membership.own]))
        self._peers.send(address, messages.MembersRequest([]))
        self.configuration.request(address)
        self._peers.send(address, messages.EpochRequest())
        if self.config is not None and not self._has_cache_view:
            self._peers.send(address, messages.ViewRequest(SNAPSHOT_BLOCKS))

    def _advance_heartbeat(self) -> None:
        confirmed = self.limits.get_confirmable()
        known = self.limits.epoch.number if self.limits.epoch else 0
        leaving = self.drain.began_at is not None
        self.membership.advance(
            clocks.now(),
            self.configuration.holder.number,
            confirmed.epoch,
            confirmed.revision,
            leaving,
            known=known,
        )

    def _make_heartbeat(self) -> messages.Heartbeat:
        epoch = self.limits.epoch.number if self.limits.epoch else 0
        digest = self.membership.make_digest(self._rng, clocks.now())
        return messages.Heartbeat(digest, self.configuration.holder.number, epoch)

    def _push(self, message: messages.AnyMessage) -> None:
        for member in self.membership.choose_targets(self._rng, PUSH_FANOUT):
            self._peers.send(member.peer, message)

    def _handle_heartbeat(self, sender: str, address: str, message: messages.Heartbeat) -> None:
        now = clocks.now()
        unknown = self.membership.merge(message.beats, now)
        self.limits.settle()
        unknown = [i for i in unknown if not self.limits.has_departed(i)]
        if unknown:
            self._peers.send(address, messages.MembersRequest(unknown))
        if message.revision > self.configuration.holder.number:
            self.configuration.request(address)
        elif message.revision < self.configuration.holder.number:
            self._peers.send(address, self._make_heartbeat())
        known_epoch = self.limits.epoch.number if self.limits.epoch else 0
        if message.epoch > known_epoch:
            self._peers.send(address, messages.EpochRequest())

    def _send_members(self, sender: str, address: str, message: messages.MembersRequest) -> None:
        wanted = set(message.incarnations)
        found = [m for m in self.membership.list_known() if not wanted or m.incarnation in wanted]
        self._peers.send(address, messages.Members(found))

    def _handle_members(self, sender: str, address: str, message: messages.Members) -> None:
        self._add_members(message.members)

    def _add_listed(self, listed: list[members.Member]) -> None:
        self._add_members(listed, listed=True)

    def _add_members(self, found: list[members.Member], listed: bool = False) -> None:
        """Add members that a peer knows, or that are listed in the store."""
        now = clocks.now()
        for member in found:
            if self.limits.has_departed(member.incarnation):
                continue
            self._note_replaced(member)
            if self.membership.add(member, now, listed):
                log.info('member found', extra={'member': member.name})

    def _note_replaced(self, member: members.Member) -> None:
        # Two processes can't share an address, so an older incarnation there has ended.
        for other in self.membership.list_known():
            same = other.peer == member.peer and other.incarnation < member.incarnation
            if same and other != self.membership.own:
                self._note_departed(other.incarnation)

    def _handle_goodbye(self, sender: str, address: str, message: messages.Goodbye) -> None:
        self._note_departed(message.incarnation)

    def _note_departed(self, incarnation: str) -> None:
        if incarnation == self.membership.own.incarnation:
            return
        self.limits.note_departed(incarnation)
        self.membership.remove(incarnation)
        log.info('member departed', extra={'incarnation': incarnation})

    def _send_view(self, sender: str, address: str, message: messages.ViewRequest) -> None:
        holdings = []
        for name, key, blocks in self.upstreams.cache.export(message.limit):
            incarnation, _, version = key.partition('/')
            holdings.append((name, incarnation, version, blocks))
        self._peers.send(address, messages.ViewResponse(holdings))

    def _handle_view(self, sender: str, address: str, message: messages.ViewResponse) -> None:
        self._has_cache_view = True
        snapshot = []
        for name, incarnation, version, blocks in message.holdings:
            if name in self.upstreams.replicas:
                snapshot.append((name, f'{incarnation}/{version}', blocks))
        self.upstreams.cache.merge_snapshot(snapshot, clocks.now())

    def _get_register_interval(self) -> float:
        # Each response also confirms that this daemon may use its units.
        return min(self.options.lease_ttl, shares.FENCE_SECONDS) / 3

    async def _register(self) -> None:
        asked_at = clocks.now()
        renewed = await self.storage.register(self.membership.own)
        self._caught_up = self._caught_up and renewed
        if not self._caught_up:
            # An epoch may have left this daemon out while it was not listed.
            await self.epochs.catch_up()
            self._caught_up = True
        self.limits.book.note_store_contact(asked_at)
        self.epochs.note_registered()

    def _apply(self, config: directory.Directory) -> None:
        """Apply a new configuration here, and notify peers."""
        self.upstreams.apply(config)
        if self._events is not None:
            self._events.apply(config)
        self.limits.install(config)
        self._counters.revision.set({}, config.revision)
        self.announce()

    def announce(self) -> None:
        """Send a heartbeat at once, after a change of state or a suspension of the VM."""
        self._advance_heartbeat()
        self._push(self._make_heartbeat())

    async def _poll_revision(self) -> None:
        await self.configuration.pull()
        # Keeps all polls together below ten per second, whatever the size of the fleet.
        await asyncio.sleep(len(self.membership) / 10)

    async def _watch(self) -> None:
        while not self._is_watcher():
            await asyncio.sleep(self.options.heartbeat)
        await self.storage.follow(storage.INDEX_KEY, self.configuration.pull)

    def _is_watcher(self) -> bool:
        own = self.membership.own
        alive = self.membership.list_alive(clocks.now())
        names = [m.name for m in alive if m.failure_domain == own.failure_domain]
        return own.name in rendezvous.rank_names('watch', names)[:WATCHERS_PER_DOMAIN]
