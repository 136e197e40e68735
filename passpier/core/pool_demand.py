"""Aggregates the running and queued requests of all VMs, by service and priority.

Each VM has a row with its demand for each service. Rows of peers expire, so that a VM that has
failed or is cut off stops counting.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence

import msgspec

from passpier.core import priorities, routes

MAX_ACCOUNTS = 16
"""Accounts with the most waiting tokens that a row contains."""

MAX_AGE = 2.0
"""Seconds after which a peer's row is ignored, two full messages."""

GOSSIP_MAX_AGE = 6.0
"""The same when rows are relayed: they take four rounds of a second to reach all VMs."""

MIN_RELAYED_ADVANCE = 0.5
"""Seconds by which a relayed row has to be newer than the known one. Ages don't include the time in
transit, so that a row that returns looks newer by that much; new rows come every second."""

MIN_CHANGE_SHARE = 0.1
"""Fraction by which a value has to change to be sent before the next full message."""

MIN_COUNT_CHANGE = 2
"""Requests, or requests per second, by which it has to change as well."""

MIN_TOKEN_CHANGE = 1000
"""Tokens, or tokens per second, by which it has to change as well, 20 to 50 ms of prefill."""


class PriorityDemand(msgspec.Struct, array_like=True, frozen=True):
    """The demand of one priority."""

    running: int = 0
    """Requests at replicas."""

    waiting: int = 0
    """Requests queued at the VM."""

    waiting_tokens: int = 0
    request_rate: float = 0.0
    """Requests placed per second, averaged over a few seconds."""

    prefill_rate: float = 0.0
    """Tokens to compute per second, averaged likewise."""

    placed_rate: float = 0.0
    """Tokens dequeued per second while the queue was not empty; 0 if it was empty."""

    longest_prefill: float = 0.0
    """Tokens to compute of a typical long prompt (90th percentile)."""

    slot_seconds: float = 0.0
    """Mean time for which a request occupies its slot."""

    stream_rate: float = 0.0
    """Streams that ended per second, averaged over some ten seconds."""

    paused_rate: float = 0.0
    """Those with a pause above the limit of their route, averaged likewise."""


NO_DEMAND = PriorityDemand()


class ServiceDemand(msgspec.Struct, array_like=True, frozen=True):
    """The demand for one service."""

    service: str
    priorities: tuple[PriorityDemand, ...] = ()
    """By priority; missing ones have no demand."""

    accounts: tuple[tuple[str, int], ...] = ()
    """The accounts with the most waiting tokens, each with their number."""

    @property
    def is_empty(self) -> bool:
        """Whether there is no demand."""
        return all(p == NO_DEMAND for p in self.priorities)

    @property
    def waiting(self) -> int:
        """Requests queued, of all priorities."""
        return sum(p.waiting for p in self.priorities)


class Picture(msgspec.Struct, frozen=True):
    """The demand for one service, aggregated over all active VMs."""

    priorities: tuple[PriorityDemand, ...] = (NO_DEMAND,) * priorities.LEVELS
    """Sums, but the maximum of `longest_prefill` and the weighted mean of `slot_seconds`."""

    accounts: Mapping[str, int] = {}
    """Waiting tokens by account, of those that the VMs have announced."""

    vms: int = 1
    """Number of VMs included, with this one."""

    age: float = 0.0
    """Age of the oldest row, in seconds."""

    @property
    def waiting(self) -> int:
        """Requests queued at all VMs, of all priorities."""
        return sum(p.waiting for p in self.priorities)


class Row(msgspec.Struct, frozen=True):
    """A VM's demand for a service, and when it was current there."""

    demand: ServiceDemand
    as_of: float


class _Aggregate(msgspec.Struct):
    """A picture, the time of its oldest row and when the first of its rows expires."""

    picture: Picture
    oldest: float
    expires_at: float


class DemandBoard:
    """The demand of this VM and of its peers."""

    def __init__(self) -> None:
        self.max_age = MAX_AGE
        """Seconds after which a peer's row is ignored."""

        self._own: dict[str, Row] = {}
        self._peers: dict[str, dict[str, Row]] = collections.defaultdict(dict)
        """By service and sender."""

        self._aggregates: dict[str, _Aggregate] = {}

    def update_own(self, demand: ServiceDemand, now: float) -> None:
        """Replace this VM's demand for a service; without any, it has no row that could age."""
        if demand.is_empty:
            self._own.pop(demand.service, None)
        else:
            self._own[demand.service] = Row(demand, now)
        self._aggregates.pop(demand.service, None)

    def merge(
        self,
        sender: str,
        demand: ServiceDemand,
        age: float,
        now: float,
        relayed: bool = False,
    ) -> bool:
        """Apply a peer's demand that was current `age` seconds ago; return whether it is newer.

        A relayed row has no accounts, so those that the sender has announced itself are kept.
        """
        as_of = now - max(0.0, age)
        if now - as_of >= self.max_age:
            return False
        rows = self._peers[demand.service]
        known = rows.get(sender)
        if known is not None and as_of < known.as_of + (MIN_RELAYED_ADVANCE if relayed else 0.0):
            return False
        if relayed and known is not None and demand.waiting:
            demand = msgspec.structs.replace(demand, accounts=known.demand.accounts)
        rows[sender] = Row(demand, as_of)
        self._aggregates.pop(demand.service, None)
        return True

    def forget(self, sender: str) -> None:
        """Remove a peer that has stopped."""
        for service, rows in self._peers.items():
            if rows.pop(sender, None) is not None:
                self._aggregates.pop(service, None)

    def get_picture(self, service: str, now: float) -> Picture:
        """Return the aggregate for a service; it has only this VM if no peer has sent any."""
        known = self._aggregates.get(service)
        if known is None or now >= known.expires_at:
            known = self._aggregates[service] = self._aggregate(service, now)
        age = max(0.0, now - known.oldest) if known.oldest < float('inf') else 0.0
        return msgspec.structs.replace(known.picture, age=age)

    def list_services(self) -> list[str]:
        """Return the services with a row of any VM."""
        return list(self._own.keys() | {s for s, rows in self._peers.items() if rows})

    def list_peer_rows(self, now: float) -> Iterator[tuple[str, Row]]:
        """Yield the valid rows of peers, each with its sender."""
        for rows in self._peers.values():
            for sender, row in rows.items():
                if now - row.as_of < self.max_age:
                    yield sender, row

    def _aggregate(self, service: str, now: float) -> _Aggregate:
        peers = self._peers[service]
        for sender in [s for s, row in peers.items() if now - row.as_of >= self.max_age]:
            del peers[sender]
        own = self._own.get(service)
        rows = ([] if own is None else [own]) + list(peers.values())
        picture = Picture(
            sum_priorities([row.demand.priorities for row in rows]),
            _sum_accounts(row.demand.accounts for row in rows),
            1 + len(peers),
        )
        oldest = min((row.as_of for row in rows), default=float('inf'))
        first = min((row.as_of for row in peers.values()), default=float('inf'))
        return _Aggregate(picture, oldest, first + self.max_age)


def sum_priorities(rows: Sequence[tuple[PriorityDemand, ...]]) -> tuple[PriorityDemand, ...]:
    """Return the aggregate of each priority over several VMs."""
    return tuple(
        _sum([r[priority] for r in rows if len(r) > priority and r[priority] is not NO_DEMAND])
        for priority in range(priorities.LEVELS)
    )


def _sum(demands: Sequence[PriorityDemand]) -> PriorityDemand:
    if not demands:
        return NO_DEMAND
    # VMs that place few requests know little of how long these occupy their slots.
    weights = [d.request_rate + d.running for d in demands]
    weight = sum(weights)
    slot_seconds = sum(w * d.slot_seconds for w, d in zip(weights, demands, strict=True))
    return PriorityDemand(
        sum(d.running for d in demands),
        sum(d.waiting for d in demands),
        sum(d.waiting_tokens for d in demands),
        sum(d.request_rate for d in demands),
        sum(d.prefill_rate for d in demands),
        sum(d.placed_rate for d in demands),
        max(d.longest_prefill for d in demands),
        slot_seconds / weight if weight else max(d.slot_seconds for d in demands),
        sum(d.stream_rate for d in demands),
        sum(d.paused_rate for d in demands),
    )


def _sum_accounts(rows: Iterable[tuple[tuple[str, int], ...]]) -> dict[str, int]:
    totals: collections.Counter[str] = collections.Counter()
    for accounts in rows:
        for account, tokens in accounts:
            totals[account] += tokens
    return dict(totals)


def is_changed(sent: ServiceDemand, demand: ServiceDemand) -> bool:
    """Return whether peers should get a demand before the next full message."""
    if bool(sent.waiting) != bool(demand.waiting) or sent.is_empty != demand.is_empty:
        return True
    pairs = itertools.zip_longest(sent.priorities, demand.priorities, fillvalue=NO_DEMAND)
    return any(
        _differs(old.running, new.running, MIN_COUNT_CHANGE)
        or _differs(old.waiting, new.waiting, MIN_COUNT_CHANGE)
        or _differs(old.request_rate, new.request_rate, MIN_COUNT_CHANGE)
        or _differs(old.waiting_tokens, new.waiting_tokens, MIN_TOKEN_CHANGE)
        or _differs(old.prefill_rate, new.prefill_rate, MIN_TOKEN_CHANGE)
        or _differs(old.placed_rate, new.placed_rate, MIN_TOKEN_CHANGE)
        for old, new in pairs
    )


def _differs(old: float, new: float, minimum: float) -> bool:
    return abs(new - old) >= max(minimum, MIN_CHANGE_SHARE * max(old, new))


def list_shared_services(configuration: routes.Configuration) -> list[str]:
    """Return the services whose demand VMs share: those with several priorities or accounts."""
    priorities: dict[str, set[int]] = collections.defaultdict(set)
    for route in configuration.routes:
        for share in route.shares:
            priorities[share.service].add(route.priority)
    has_accounts = configuration.has_accounts or bool(configuration.accounts)
    return [s for s, found in priorities.items() if has_accounts or len(found) > 1]
