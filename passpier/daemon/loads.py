"""Exchanges with peers how much load each daemon has at each replica.

The load reports of replicas arrive late. While few daemons handle requests, they tell each other
what they have sent where. With many daemons this would exceed the budget for control traffic, so
that only the reports are used.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping
from typing import Protocol

from passpier import clocks
from passpier.core import members, replica_memory, replica_processes, replicas
from passpier.daemon import messages, peers

INTERVAL = 0.05
"""Minimum time, in seconds, between two messages to a peer."""

INTERVAL_PEERS = 8
"""Number of peers beyond which the interval grows with their number, to limit the traffic."""

STANDBY_INTERVAL = 0.5
"""Seconds between checks for load in a daemon that is on standby."""

FULL_INTERVAL = 1.0
"""Seconds between two full messages; those in between have changes only. A full message repairs the
loss of an earlier one before the load that was reported last expires at the peer."""

MIN_TOKEN_CHANGE = 1000
"""Change of the tokens left to compute at a replica that is sent, 20 to 50 ms of prefill."""

MIN_SLOT_CHANGE = 0.125
"""Change of the running requests that is sent, as a fraction of the replica's slots."""

MIN_MEMORY_CHANGE = 0.125
"""Change of the KV memory needed at a replica that is sent, as a fraction of its capacity."""

MAX_PEERS = 64
"""Number of peers beyond which no loads are sent, as the traffic grows with its square."""


Load = tuple[tuple[int, ...], int, int]
"""Tokens left to compute, by priority, the number of running requests, and the tokens of KV memory
that they need."""

NO_LOAD: Load = ((), 0, 0)


class Upstreams(Protocol):
    """The upstreams whose load is exchanged."""

    replicas: dict[str, replicas.Replica]


class Loads:
    """Sends this daemon's load at each replica to peers and records theirs."""

    def __init__(
        self,
        membership: members.Membership,
        known_upstreams: Upstreams,
        link: peers.Peers,
        interval: float = INTERVAL,
    ) -> None:
        self._interval = interval
        self._membership = membership
        self._upstreams = known_upstreams
        self._peers = link
        self._sent: dict[replica_processes.ReplicaProcess, Load] = {}
        self._full_sent_at = float('-inf')
        link.register_handler(messages.ReplicaLoads, self._handle_loads)

    async def run(self) -> None:
        """Send changes of the load to peers until cancelled."""
        others: list[members.Member] = []
        while True:
            await asyncio.sleep(self._choose_interval(len(others)))
            others = self._membership.list_load_recipients(clocks.now())
            complete = len(others) < MAX_PEERS
            for replica in self._upstreams.replicas.values():
                replica.peers_complete = complete
            message = self._choose_message(clocks.now())
            if complete and message is not None:
                self._peers.send_all([m.peer for m in others], message)

    def _choose_message(self, now: float) -> messages.ReplicaLoads | None:
        """Return the next message for peers, or none if nothing has to be sent."""
        loads = self._collect(now)
        if now - self._full_sent_at >= FULL_INTERVAL and (loads or self._sent):
            self._full_sent_at = now
            self._sent = loads
            return _build_message(loads, True)
        ended = {process: NO_LOAD for process in self._sent if process not in loads}
        changed = {x: load for x, load in loads.items() if self._is_changed(x, load)} | ended
        if not changed:
            return None
        self._sent.update(changed)
        for process in ended:
            del self._sent[process]
        return _build_message(changed, False)

    def _is_changed(self, process: replica_processes.ReplicaProcess, load: Load) -> bool:
        tokens, running, memory = load
        sent_tokens, sent_running, sent_memory = self._sent.get(process, NO_LOAD)
        if process not in self._sent or abs(sum(tokens) - sum(sent_tokens)) >= MIN_TOKEN_CHANGE:
            return True
        replica = self._upstreams.replicas[process.id]
        if abs(memory - sent_memory) > replica.memory_capacity * MIN_MEMORY_CHANGE:
            return True
        return abs(running - sent_running) >= max(1, replica.slots * MIN_SLOT_CHANGE)

    def _choose_interval(self, peers: int) -> float:
        if not self._sent and self._membership.is_standby(clocks.now()):
            return max(self._interval, STANDBY_INTERVAL)
        return self._interval * max(1.0, peers / INTERVAL_PEERS)

    def _collect(self, now: float) -> dict[replica_processes.ReplicaProcess, Load]:
        return {
            r.process: (
                _trim(replicas.count_pending(r, now)),
                len(r.dispatches),
                replica_memory.count_own(r),
            )
            for r in self._upstreams.replicas.values()
            if r.dispatches
        }

    def _handle_loads(self, sender: str, address: str, message: messages.ReplicaLoads) -> None:
        now = clocks.now()
        known = self._upstreams.replicas
        listed = set()
        rows = itertools.zip_longest(message.loads, message.memory[: len(message.loads)])
        for (name, mark, tokens, running), memory in rows:
            replica = known.get(name)
            if replica is None or replica.process.short_id != mark:
                # The load belongs to an earlier process, which has ended.
                continue
            listed.add(name)
            if running:
                replica.peers[sender] = replicas.PeerLoad(tokens, running, now, max(0, memory or 0))
            else:
                replica.peers.pop(sender, None)
        if message.is_full:
            for name, replica in known.items():
                if sender in replica.peers and name not in listed:
                    del replica.peers[sender]


def _trim(tokens: tuple[int, ...]) -> tuple[int, ...]:
    """Leave out the zeros at the end, since most replicas have requests of few priorities."""
    used = max((n + 1 for n, count in enumerate(tokens) if count), default=0)
    return tokens[:used]


def _build_message(
    loads: Mapping[replica_processes.ReplicaProcess, Load], whole: bool
) -> messages.ReplicaLoads:
    rows = [(x.id, x.short_id, tokens, running) for x, (tokens, running, _) in loads.items()]
    memory = [tokens for _, _, tokens in loads.values()]
    return messages.ReplicaLoads(rows, whole, memory if any(memory) else [])
