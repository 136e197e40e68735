"""Exchanges with peers the demand of each VM for each service.

Few active VMs send their demand to each other. With many, the traffic would grow with the square of
their number, so each sends its own demand and what it knows of others to a few at random.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Sequence

import msgspec

from passpier import clocks
from passpier.core import members, pool_demand
from passpier.daemon import demand_meter, messages, metrics, peers

log = logging.getLogger(__name__)

INTERVAL = 0.25
"""Seconds between measurements, and minimum time between two messages to a peer."""

INTERVAL_PEERS = 8
"""Number of peers beyond which that time grows with their number, so that messages of 150 bytes
stay under 5 KB/s."""

FULL_INTERVAL = 1.0
"""Seconds between two full messages, which repair the loss of earlier ones, and between rounds of
gossip."""

MAX_DIRECT = 16
"""Number of active VMs up to which each sends its demand to all others."""

MAX_RELAYED = 30
"""Maximum number of other VMs whose demand is relayed in one message. At 91 VMs, 30 make 99% of the
rows known everywhere, and 20 make it 96%."""

MAX_RELAYED_BYTES = 2000
"""Maximum size of their rows in one message, so that a round takes 6 KB besides the own rows."""

LOG_INTERVAL = 1.0
"""Minimum time between two log lines on a service, as a short queue may become empty and non-empty
many times a second."""

ID_LENGTH = 8
"""Characters at the end of an incarnation that identify a VM; these are 32 random bits."""


class _Observed(msgspec.Struct):
    """What was last logged of a service's pool."""

    is_waiting: bool = False
    logged_at: float = -math.inf
    waiting_since: float = 0.0


class DemandSharing:
    """Measures this VM's demand, sends it to peers and records theirs."""

    def __init__(
        self,
        board: pool_demand.DemandBoard,
        meter: demand_meter.DemandMeter,
        list_services: Callable[[], Sequence[str]],
        membership: members.Membership,
        link: peers.Peers,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._meter = meter
        self._list_services = list_services
        self._membership = membership
        self._peers = link
        self._rng = rng
        self._own_id = _shorten(membership.own.incarnation)
        self._listed: frozenset[str] = frozenset()
        """The services of the last measurement; the configuration may change."""

        self._sent: dict[str, pool_demand.ServiceDemand] = {}
        """The demand that was sent last, without services that have none."""

        self._sent_at = -math.inf
        self._full_sent_at = -math.inf
        self._recipients: list[members.Member] = []
        self._is_standby = True
        self._observed: dict[str, _Observed] = {}
        self._counters = counters
        self._sent_count = counters.buffer(counters.demand_messages, {'direction': 'sent'})
        self._received_count = counters.buffer(counters.demand_messages, {'direction': 'received'})
        link.register_handler(messages.DemandShares, self._handle_shares)

    async def run(self) -> None:
        """Measure and send until cancelled."""
        # After a mass restart, the rounds of all VMs would coincide.
        await asyncio.sleep(self._rng.uniform(0.0, INTERVAL))
        while True:
            self.sync(clocks.now())
            await asyncio.sleep(INTERVAL)

    def sync(self, now: float) -> None:
        """Measure the own demand and send it if it is due."""
        services = self._list_services()
        demands = [self._meter.measure(name, now) for name in services]
        for demand in demands:
            self._board.update_own(demand, now)
        for name in self._listed.difference(services):
            self._board.update_own(pool_demand.ServiceDemand(name), now)
        self._listed = frozenset(services)
        # Every fourth time, although timers are not exact.
        is_full = now - self._full_sent_at >= FULL_INTERVAL - INTERVAL / 2
        if is_full:
            self._full_sent_at = now
            self._update_recipients(now)
        self._note_pools(is_full, now)
        if self._is_standby:
            self._sent.clear()
        elif len(self._recipients) < MAX_DIRECT:
            self._send_direct(demands, is_full, now)
        elif is_full:
            self._send_gossip(demands, now)

    def _update_recipients(self, now: float) -> None:
        self._is_standby = self._membership.is_standby(now)
        self._recipients = self._membership.list_load_recipients(now)
        is_direct = len(self._recipients) + (not self._is_standby) <= MAX_DIRECT
        self._board.max_age = pool_demand.MAX_AGE if is_direct else pool_demand.GOSSIP_MAX_AGE

    def _send_direct(
        self, demands: Sequence[pool_demand.ServiceDemand], is_full: bool, now: float
    ) -> None:
        spread = max(1.0, len(self._recipients) / INTERVAL_PEERS)
        if not is_full and now - self._sent_at < INTERVAL * (spread - 0.5):
            return
        due = [d for d in demands if self._is_due(d, is_full)]
        if due:
            self._send(self._recipients, due, (), now)

    def _send_gossip(self, demands: Sequence[pool_demand.ServiceDemand], now: float) -> None:
        due = [d for d in demands if self._is_due(d, True)]
        if due:
            targets = self._membership.choose_among(self._recipients, self._rng)
            self._send(targets, due, self._list_relayed(now), now)

    def _is_due(self, demand: pool_demand.ServiceDemand, is_full: bool) -> bool:
        sent = self._sent.get(demand.service)
        if demand.is_empty:
            return sent is not None
        return is_full or sent is None or pool_demand.is_changed(sent, demand)

    def _send(
        self,
        recipients: Sequence[members.Member],
        due: Sequence[pool_demand.ServiceDemand],
        relayed: tuple[messages.RelayedDemand, ...],
        now: float,
    ) -> None:
        if not recipients:
            return
        self._sent_at = now
        for demand in due:
            if demand.is_empty:
                self._sent.pop(demand.service, None)
            else:
                self._sent[demand.service] = demand
        rows = tuple(_pack(demand, demand.accounts) for demand in due)
        self._peers.send_all([m.peer for m in recipients], messages.DemandShares(rows, relayed))
        self._sent_count.add(len(recipients))

    def _list_relayed(self, now: float) -> tuple[messages.RelayedDemand, ...]:
        """Return the newest rows of other VMs, without their accounts."""
        groups: dict[tuple[str, float], list[messages.ServiceDemandRow]] = {}
        for sender, row in self._board.list_peer_rows(now):
            groups.setdefault((sender, row.as_of), []).append(_pack(row.demand, ()))
        newest = sorted(groups, key=lambda group: -group[1])[:MAX_RELAYED]
        relayed: list[messages.RelayedDemand] = []
        size = 0
        for sender, as_of in newest:
            age_ms = round((now - as_of) * 1000)
            demand = messages.RelayedDemand(sender, age_ms, tuple(groups[sender, as_of]))
            size += len(messages.encode(demand))
            if size > MAX_RELAYED_BYTES:
                break
            relayed.append(demand)
        return tuple(relayed)

    def _handle_shares(self, sender: str, address: str, message: messages.DemandShares) -> None:
        now = clocks.now()
        self._received_count.add(1)
        for row in message.rows:
            self._board.merge(_shorten(sender), _unpack(row), 0.0, now)
        for relayed in message.relayed:
            if relayed.sender != self._own_id:
                age = relayed.age_ms / 1000
                for row in relayed.rows:
                    self._board.merge(relayed.sender, _unpack(row), age, now, relayed=True)

    def _note_pools(self, updates_metrics: bool, now: float) -> None:
        """Log where requests begin or cease to wait; update metrics once a second."""
        services = self._board.list_services()
        for service in self._observed.keys() | services:
            picture = self._board.get_picture(service, now)
            observed = self._observed.setdefault(service, _Observed())
            if updates_metrics:
                self._counters.demand_vms.set({'pool': service}, picture.vms)
            is_waiting = picture.waiting > 0
            if is_waiting != observed.is_waiting and now - observed.logged_at >= LOG_INTERVAL:
                _log_change(service, picture, observed, now)
                observed.is_waiting = is_waiting
                observed.logged_at = now
        if updates_metrics:
            for service in self._observed.keys() - services:
                # Its demand is over, and the last line and the metric said so.
                if not self._observed[service].is_waiting:
                    del self._observed[service]


def _log_change(
    service: str, picture: pool_demand.Picture, observed: _Observed, now: float
) -> None:
    fields = {
        'service': service,
        'running': [p.running for p in picture.priorities],
        'age': round(picture.age, 3),
        'vms': picture.vms,
    }
    if picture.waiting:
        observed.waiting_since = now
        log.info(
            'requests wait in the pool',
            extra={
                **fields,
                'waiting': [p.waiting for p in picture.priorities],
                'waiting_tokens': [p.waiting_tokens for p in picture.priorities],
            },
        )
    else:
        seconds = round(now - observed.waiting_since, 3)
        log.info('no requests wait in the pool', extra={**fields, 'waited_seconds': seconds})


def _shorten(incarnation: str) -> str:
    return incarnation[-ID_LENGTH:]


def _pack(
    demand: pool_demand.ServiceDemand, accounts: tuple[tuple[str, int], ...]
) -> messages.ServiceDemandRow:
    rows = [None if p == pool_demand.NO_DEMAND else _pack_priority(p) for p in demand.priorities]
    while rows and rows[-1] is None:
        rows.pop()
    return messages.ServiceDemandRow(demand.service, tuple(rows), accounts)


def _pack_priority(demand: pool_demand.PriorityDemand) -> messages.PriorityDemandRow:
    return messages.PriorityDemandRow(
        demand.running,
        demand.waiting,
        demand.waiting_tokens,
        round(demand.request_rate * 100),
        round(demand.prefill_rate),
        round(demand.placed_rate),
        round(demand.longest_prefill),
        round(demand.slot_seconds * 1000),
        round(demand.stream_rate * 100),
        round(demand.paused_rate * 100),
    )


def _unpack(row: messages.ServiceDemandRow) -> pool_demand.ServiceDemand:
    priorities = tuple(
        pool_demand.NO_DEMAND if p is None else _unpack_priority(p) for p in row.priorities
    )
    return pool_demand.ServiceDemand(row.service, priorities, row.accounts)


def _unpack_priority(row: messages.PriorityDemandRow) -> pool_demand.PriorityDemand:
    return pool_demand.PriorityDemand(
        row.running,
        row.waiting,
        row.waiting_tokens,
        row.requests_per_100s / 100,
        float(row.prefill_rate),
        float(row.placed_rate),
        float(row.longest_prefill),
        row.slot_ms / 1000,
        row.streams_per_100s / 100,
        row.paused_per_100s / 100,
    )
