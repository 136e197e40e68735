"""Tells peers of this daemon's own load at each replica, and takes theirs.

Load reports come late. In a small fleet every daemon knows from its peers what they have sent
where; in a large one this would not fit the control budget, and reports must do.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from passpier.core import members, replicas
from passpier.daemon import messages, peers

INTERVAL = 0.05
"""Seconds between two messages to a peer, at the least."""

MAX_PEERS = 8
"""Daemons beyond which loads are not told."""


class Known(Protocol):
    """The upstreams whose loads are told."""

    replicas: dict[str, replicas.Replica]


class Loads:
    """Exchange of loads with peers."""

    def __init__(
        self,
        membership: members.Membership,
        known: Known,
        link: peers.Peers,
        interval: float = INTERVAL,
    ) -> None:
        self._interval = interval
        self._membership = membership
        self._upstreams = known
        self._peers = link
        self._sent: list[tuple[str, tuple[int, ...], int]] = []
        link.handle(messages.Loads, self._take)

    async def run(self) -> None:
        """Tell peers whenever the loads have changed."""
        while True:
            await asyncio.sleep(self._interval)
            loads = self._collect()
            others = self._membership.list_alive(time.monotonic())
            complete = len(others) <= MAX_PEERS
            for replica in self._upstreams.replicas.values():
                replica.peers_complete = complete
            if loads == self._sent or not complete:
                continue
            self._sent = loads
            self._peers.send_all([m.peer for m in others], messages.Loads(loads))

    def _collect(self) -> list[tuple[str, tuple[int, ...], int]]:
        now = time.monotonic()
        return [
            (r.name, replicas.count_pending(r, now), len(r.dispatches))
            for r in self._upstreams.replicas.values()
            if r.dispatches
        ]

    def _take(self, sender: str, address: str, message: messages.Loads) -> None:
        now = time.monotonic()
        told = {name: (tokens, running) for name, tokens, running in message.loads}
        for name, replica in self._upstreams.replicas.items():
            if name in told:
                replica.peers[sender] = replicas.PeerLoad(*told[name], now)
            else:
                replica.peers.pop(sender, None)
