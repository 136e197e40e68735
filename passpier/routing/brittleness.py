"""Tracks which services have brittle replicas, tells peers, and limits the refusals they risk.

All replicas of a service are brittle at the same time. That holds until one of them answers without
saying so a request that was sent after it was last said.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from passpier import clocks
from passpier.core import (
    backpressure,
    members,
    refusals,
    replica_processes,
    replicas,
    throttles,
)
from passpier.daemon import messages, peers
from passpier.routing import pools, throttling

log = logging.getLogger(__name__)

INTERVAL = 0.5
"""Seconds between updates of which processes share the refusals."""

REMIND_INTERVAL = 1.0
"""Seconds between messages on a service while responses confirm its state."""

FORGET_SECONDS = 5.0
"""Seconds for which the end of a brittle time is remembered, to ignore older news."""


class _State(msgspec.Struct):
    refusal_limit: float | None
    as_of: float
    """The latest time at which that was certainly said."""

    notified_at: float = float('-inf')


class Brittleness:
    """Applies what replicas say of their brittleness to all replicas of their services."""

    def __init__(
        self,
        replica_pools: pools.Pools,
        membership: members.Membership,
        link: peers.Peers,
        send_to_peers: Callable[[messages.ServiceBrittle], None],
    ) -> None:
        self._pools = replica_pools
        self._membership = membership
        self._send_to_peers = send_to_peers
        self._states: dict[str, _State] = {}
        replica_pools.on_process_added = self._limit_process
        link.register_handler(messages.ServiceBrittle, self._handle_brittle)

    def handle_signal(
        self,
        process: replica_processes.ReplicaProcess,
        signal: backpressure.Signal,
        ran_since: float | None,
    ) -> None:
        """Apply a response's signal; see `pools.Pools.apply_signal`."""
        service = self._pools.get_service(process.id)
        now = clocks.now()
        if signal.refusal_limit is not None:
            self._apply(service, signal.refusal_limit, now, 'answer')
        elif ran_since is not None and service in self._states:
            self._apply(service, None, ran_since, 'answer')
        else:
            return
        state = self._states.get(service)
        if state is not None and now - state.notified_at >= REMIND_INTERVAL:
            state.notified_at = now
            age = now - state.as_of
            self._send_to_peers(messages.ServiceBrittle(service, state.refusal_limit, age))

    async def run(self) -> None:
        """Update shares until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL)
            self.sync(clocks.now())

    def sync(self, now: float) -> None:
        """Recompute the shares in all brittle replicas, and drop times that are over."""
        for service, state in list(self._states.items()):
            if state.refusal_limit is None and now - state.as_of > FORGET_SECONDS:
                del self._states[service]
            else:
                self._set_shares(service, state.refusal_limit, now)

    def _apply(self, service: str, limit: float | None, as_of: float, source: str) -> None:
        state = self._states.get(service)
        if state is None:
            if limit is None:
                return
            state = self._states[service] = _State(None, float('-inf'))
        if as_of <= state.as_of:
            return
        state.as_of = as_of
        if limit == state.refusal_limit:
            return
        state.refusal_limit = limit
        state.notified_at = float('-inf')
        now = clocks.now()
        self._set_shares(service, limit, now)
        fields = {'service': service, 'refusal_limit': limit, 'source': source}
        log.info('service brittle', extra={**fields, 'age': round(now - as_of, 3)})

    def _set_shares(self, service: str, limit: float | None, now: float) -> None:
        for replica in self._pools.list_service(service):
            self._set_share(replica, limit, now)

    def _set_share(self, replica: replicas.Replica, limit: float | None, now: float) -> None:
        if limit is None:
            replica.refusals = None
            return
        senders = throttling.list_senders(self._membership, now)
        share = refusals.compute_share(replica.name, limit, self._membership.own.name, senders)
        if replica.refusals is None:
            replica.refusals = throttles.Throttle(share, now)
        else:
            replica.refusals.configure(share, now)

    def _limit_process(self, replica: replicas.Replica) -> None:
        """Limit a replica process from its start: requests may be queued for it everywhere."""
        state = self._states.get(self._pools.get_service(replica.name))
        if state is not None:
            now = clocks.now()
            self._set_share(replica, state.refusal_limit, now)
            # Nobody's load there is known yet.
            replica.refused_at = now

    def _handle_brittle(self, sender: str, address: str, message: messages.ServiceBrittle) -> None:
        as_of = clocks.now() - message.age
        self._apply(message.service, message.refusal_limit, as_of, sender)
