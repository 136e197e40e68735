"""Shares which prompts were sent to which replicas, so that all processes know their caches."""

from __future__ import annotations

import asyncio

from passpier import clocks
from passpier.core import choice, members, replica_processes, replicas
from passpier.daemon import messages, peers
from passpier.routing import sources

INTERVAL = 0.05
"""Seconds over which prompts are batched into one message."""

PEERS_AT_BASE_INTERVAL = 24
"""Maximum number of request-serving processes at which that interval is used. It grows with more of
them, so that one process doesn't send more messages."""

MAX_PEERS = 64
"""Maximum number of request-serving processes at which prompts are shared: each process receives
the prompts of all others."""


class PlacementSharing:
    """Exchanges placements of prompts with other processes."""

    def __init__(
        self, cache_sources: sources.CacheSources, membership: members.Membership, link: peers.Peers
    ) -> None:
        self.sources = cache_sources
        self._membership = membership
        self._peers = link
        self._unsent: list[tuple[str, int, str, list[int], list[int]]] = []
        self._wake = asyncio.Event()
        link.register_handler(messages.PlacedPrompts, self._handle_placed)

    def record_placement(self, replica: replicas.Replica, job: choice.Job) -> None:
        """Record that a replica has begun to respond to a prompt."""
        version = replica.weight_version
        self.sources.record_read(
            replica.process, version, job.chain, job.block_ends, len(job.chain) - 1
        )
        # The last part belongs to this prompt alone: no other one can reuse it.
        shared = (
            replica.name,
            replica.started_ms,
            version,
            job.chain[:-1],
            list(job.block_ends[:-1]),
        )
        if job.chain[:-1]:
            self._unsent.append(shared)
            self._wake.set()

    async def run(self) -> None:
        """Send batches to other processes until cancelled."""
        others: list[members.Member] = []
        while True:
            await self._wake.wait()
            await asyncio.sleep(INTERVAL * max(1.0, len(others) / PEERS_AT_BASE_INTERVAL))
            self._wake.clear()
            prompts, self._unsent = self._unsent, []
            others = self._membership.list_load_recipients(clocks.now())
            if len(others) <= MAX_PEERS:
                self._peers.send_all([m.peer for m in others], messages.PlacedPrompts(prompts))

    def _handle_placed(self, sender: str, address: str, message: messages.PlacedPrompts) -> None:
        for name, born, version, chain, ends in message.prompts:
            process = replica_processes.ReplicaProcess(name, born)
            self.sources.record_read(process, version, chain, ends, len(chain))
