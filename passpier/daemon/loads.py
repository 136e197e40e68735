"""Tells peers of this daemon's own load at each replica, and takes theirs.

Load reports come late. While few daemons carry requests, each of these knows from the others what
they have sent where; with many this would not fit the control budget, and reports must do.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from passpier.core import members, replicas
from passpier.daemon import messages, peers

INTERVAL = 0.05
"""Seconds between two messages to a peer, at the least."""

USUAL_PEERS = 8
"""Daemons up to which the interval holds; it grows with more, so that the bytes do not."""

STANDBY_INTERVAL = 0.5
"""Seconds between looks at loads of a daemon that takes no requests."""

MAX_PEERS = 64
"""Daemons that take requests beyond which loads are not told. In the fleet model (59 replicas 60 in
100 busy, two seeds) 16 in 100 long prompts come late with 30 routers that tell nothing, 5 if they
do; with 60 routers 21 and 9."""


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
        others: list[members.Member] = []
        while True:
            await asyncio.sleep(self._choose_pause(len(others)))
            loads = self._collect()
            others = self._membership.list_interested(time.monotonic())
            complete = len(others) < MAX_PEERS
            for replica in self._upstreams.replicas.values():
                replica.peers_complete = complete
            if loads == self._sent or not complete:
                continue
            self._sent = loads
            self._peers.send_all([m.peer for m in others], messages.Loads(loads))

    def _choose_pause(self, peers: int) -> float:
        if not self._sent and self._membership.is_standing_by(time.monotonic()):
            return max(self._interval, STANDBY_INTERVAL)
        return self._interval * max(1.0, peers / USUAL_PEERS)

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
