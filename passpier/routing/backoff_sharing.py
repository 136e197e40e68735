"""Tells peers which replicas have asked the VM that they are reached through to back off.

A replica sees the VM that a request comes from. That is a peer's if the request goes through a
tunnel, and then holds for all that goes through that peer, its own requests included.
"""

from __future__ import annotations

from collections.abc import Callable

from passpier.core import backpressure, members, replica_processes
from passpier.daemon import messages, peers
from passpier.routing import paths, pools


class BackoffSharing:
    """Applies backoffs to all processes that reach a replica through the same VM."""

    def __init__(
        self,
        replica_pools: pools.Pools,
        membership: members.Membership,
        link: peers.Peers,
        send_to_peers: Callable[[messages.ReplicaBackoff], None],
        replica_paths: paths.Paths,
    ) -> None:
        self._pools = replica_pools
        self._membership = membership
        self._send_to_peers = send_to_peers
        self._paths = replica_paths
        self.has_tunnels: Callable[[str], bool] = lambda address: False
        """Whether peers reach an address through this process."""

        link.register_handler(messages.ReplicaBackoff, self._handle_backoff)

    def handle_signal(
        self, process: replica_processes.ReplicaProcess, signal: backpressure.Signal
    ) -> None:
        """Tell peers of a backoff in a response, if others reach its replica through that VM."""
        replica = self._pools.find(process)
        if replica is None or signal.backoff is None:
            return
        if self._paths.is_direct(replica.address) and not self.has_tunnels(replica.address):
            return
        via = self._choose_via(replica.address)
        self._send_to_peers(
            messages.ReplicaBackoff(process.id, signal.backoff, via, process.started_ms)
        )

    def _choose_via(self, address: str) -> str:
        """Return the tunnel port of the VM from which this process's requests reach an address."""
        return self._paths.choose(address) or self._membership.own.tunnel

    def _handle_backoff(self, sender: str, address: str, message: messages.ReplicaBackoff) -> None:
        replica = self._pools.find(message.process)
        if replica is None or self._choose_via(replica.address) != message.via:
            return
        self._pools.back_off(message.process, message.seconds, f'Retry-After, told by {sender}')
