"""Keeps replicas within the rate limits they ask for: tracks limits, tells peers, sets throttles.

A limit is in force until a response no longer has it. That response must belong to a request that
was sent after the limit was last received: an earlier one may have been in flight before the limit.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

import msgspec

from passpier import clocks
from passpier.core import backpressure, members, replica_processes, throttles
from passpier.daemon import messages, peers
from passpier.routing import pools

log = logging.getLogger(__name__)

INTERVAL = 0.5
"""Seconds between updates of which processes share the limits; heartbeats are as frequent."""

REMIND_INTERVAL = 1.0
"""Seconds between repeated messages on one replica while responses confirm its limit."""

NOTIFY_INTERVAL = 0.2
"""Minimum seconds between messages on one replica while its limit changes with each response."""

ENDED_REMIND_SECONDS = 5.0
"""Seconds for which peers are reminded that a limit has ended."""

PROBE_AFTER = 10.0
"""Seconds without confirmation of a limit after which a process without a share sends one
request."""

PROBE_SPREAD_MAX = 60.0
"""Maximum number of seconds over which the processes spread these requests."""


class _LimitState(msgspec.Struct):
    """The known limit of one replica."""

    limit: float | None
    """Requests a second; none if the limit has ended."""

    as_of: float
    """The latest time at which this limit was certainly in force."""

    changed_at: float
    confirmed_at: float = float('-inf')
    """When this process last got a response that confirms it."""

    notified_at: float = float('-inf')
    probe_at: float = float('inf')


class Throttling:
    """Applies replicas' limits in this process and shares them with peers."""

    def __init__(
        self,
        replica_pools: pools.Pools,
        membership: members.Membership,
        link: peers.Peers,
        send_to_peers: Callable[[messages.ReplicaLimit], None],
        rng: random.Random,
    ) -> None:
        self._pools = replica_pools
        self._membership = membership
        self._send_to_peers = send_to_peers
        self._rng = rng
        self._limits: dict[replica_processes.ReplicaProcess, _LimitState] = {}
        link.register_handler(messages.ReplicaLimit, self._handle_limited)

    def handle_signal(
        self,
        process: replica_processes.ReplicaProcess,
        signal: backpressure.Signal,
        ran_since: float | None,
    ) -> None:
        """Apply a response's limit; see `pools.Pools.apply_signal`."""
        now = clocks.now()
        if signal.limit is not None:
            self._apply_limit(process, signal.limit, now, 'answer')
        elif ran_since is not None and process in self._limits:
            self._apply_limit(process, None, ran_since, 'answer')
        else:
            return
        state = self._limits.get(process)
        if state is None:
            return
        state.confirmed_at = now
        if state.changed_at >= state.notified_at and now - state.notified_at >= NOTIFY_INTERVAL:
            self._notify_peers(process, state, now)

    async def run(self) -> None:
        """Update shares and remind peers until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL)
            self.sync(clocks.now())

    def sync(self, now: float) -> None:
        """Recompute all throttles, remind peers, and drop limits that are over."""
        if not self._limits:
            return
        senders = self._list_senders(now)
        for process, state in list(self._limits.items()):
            ended = state.limit is None and now - state.changed_at > ENDED_REMIND_SECONDS
            if ended or self._pools.find(process) is None:
                del self._limits[process]
                continue
            self._set_throttle(process, state, senders, now)
            if (
                state.confirmed_at > state.notified_at
                and now - state.notified_at >= REMIND_INTERVAL
            ):
                self._notify_peers(process, state, now)

    def _apply_limit(
        self,
        process: replica_processes.ReplicaProcess,
        limit: float | None,
        as_of: float,
        source: str,
    ) -> None:
        """Apply the limit as it was at a time, unless a later state is known."""
        now = clocks.now()
        state = self._limits.get(process)
        if self._pools.find(process) is None or (state is None and limit is None):
            return
        if state is None:
            state = self._limits[process] = _LimitState(None, float('-inf'), now)
        if as_of <= state.as_of:
            return
        state.as_of = as_of
        state.probe_at = now + PROBE_AFTER + self._rng.uniform(0, self._choose_probe_spread(limit))
        if limit == state.limit:
            return
        state.limit = limit
        state.changed_at = now
        senders = self._list_senders(now)
        self._set_throttle(process, state, senders, now)
        self._log(process, state, source, len(senders), now)

    def _choose_probe_spread(self, limit: float | None) -> float:
        rate = max(limit or 0.0, throttles.MIN_LIMIT)
        return min(PROBE_SPREAD_MAX, len(self._membership) / rate)

    def _set_throttle(
        self,
        process: replica_processes.ReplicaProcess,
        state: _LimitState,
        senders: Sequence[str],
        now: float,
    ) -> None:
        replica = self._pools.find(process)
        if replica is None:
            return
        if state.limit is None:
            replica.throttle = None
            return
        own = self._membership.own.name
        share = throttles.compute_share(process.id, state.limit, own, senders)
        if replica.throttle is None:
            replica.throttle = throttles.Throttle(share, now)
        else:
            replica.throttle.configure(share, now)
        if now >= state.probe_at and not share.rate:
            state.probe_at = now + PROBE_AFTER
            replica.throttle.allow_probe(now)

    def _list_senders(self, now: float) -> list[str]:
        return list_senders(self._membership, now)

    def _notify_peers(
        self, process: replica_processes.ReplicaProcess, state: _LimitState, now: float
    ) -> None:
        state.notified_at = now
        self._send_to_peers(
            messages.ReplicaLimit(process.id, state.limit, now - state.as_of, process.started_ms)
        )

    def _handle_limited(self, sender: str, address: str, message: messages.ReplicaLimit) -> None:
        self._apply_limit(message.process, message.limit, clocks.now() - message.age, sender)

    def _log(
        self,
        process: replica_processes.ReplicaProcess,
        state: _LimitState,
        source: str,
        senders: int,
        now: float,
    ) -> None:
        replica = self._pools.get(process.id)
        share = replica.throttle.share if replica.throttle is not None else None
        log.info(
            'upstream limit changed',
            extra={
                'upstream': process.id,
                'born': process.started_ms,
                'limit': state.limit,
                'age': round(now - state.as_of, 3),
                'source': source,
                'share': round(share.rate, 3) if share is not None else None,
                'senders': senders,
            },
        )


def list_senders(membership: members.Membership, now: float) -> list[str]:
    """Return the names of the processes that send requests now and will go on doing so."""
    taking = {m.incarnation for m in membership.list_load_recipients(now)}
    if not membership.is_standby(now):
        taking.add(membership.own.incarnation)
    return sorted(m.name for m in membership.list_serving(now) if m.incarnation in taking)
