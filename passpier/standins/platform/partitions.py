"""Cuts routers off from replicas that others still reach, from the registry and from peers."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import weakref
from collections.abc import Collection, Iterable

import tornado.iostream

from passpier.clients import connections
from passpier.daemon import messages, peers
from passpier.standins.platform import proxy


class Cut(enum.Enum):
    """What a partition does to connections; new ones never come up."""

    HANG = 'hang'
    """Open connections fall silent, new ones hang."""

    RESET = 'reset'
    """Open connections are reset, and so are new ones."""

    REFUSE = 'refuse'
    """Open connections live on, new ones are refused."""


class Links(enum.Flag):
    """Links between a router and the other routers or the registry."""

    REGISTRY = enum.auto()
    TO_PEERS = enum.auto()
    FROM_PEERS = enum.auto()
    PEERS = TO_PEERS | FROM_PEERS
    ALL = REGISTRY | PEERS


@dataclasses.dataclass(frozen=True, eq=False, slots=True)
class Isolation:
    """A partition between some routers, which reach each other, and everything else."""

    links: Links
    """The links that are cut."""

    routers: frozenset[str]
    """Names of the routers."""

    addresses: frozenset[str]
    """Their addresses for peers."""

    def passes(self, sender: str, receiver: str) -> bool:
        """Return whether messages arrive that one address sends to another."""
        is_inside = sender in self.addresses
        if is_inside == (receiver in self.addresses):
            return True
        return not self.links & (Links.TO_PEERS if is_inside else Links.FROM_PEERS)


def filter_messages(link: peers.Peers, isolations: Collection[Isolation]) -> None:
    """Drop messages of a router that a partition doesn't let pass."""
    send_all = link.send_all

    def send_passing(addresses: Iterable[str], message: messages.AnyMessage) -> None:
        passing = [a for a in addresses if all(i.passes(link.address, a) for i in isolations)]
        send_all(passing, message)

    link.send_all = send_passing  # type: ignore[method-assign]


class PartitionedPool(connections.Pool):
    """A router's connections, which can be cut off from some addresses."""

    def __init__(self, quick: Collection[str] = ()) -> None:
        super().__init__(quick)
        self._cut: frozenset[str] = frozenset()
        self._kind = Cut.HANG
        self._streams: dict[str, weakref.WeakSet[tornado.iostream.IOStream]] = {}

    def cut_off(self, addresses: Collection[str], kind: Cut) -> None:
        """Cut the router off from addresses, in addition to the ones that are cut off already."""
        self._cut |= frozenset(addresses)
        self._kind = kind
        for address in addresses:
            for stream in list(self._streams.get(address, ())):
                self._cut_stream(stream)

    def heal(self) -> None:
        """End the partition; connections that have fallen silent stay so."""
        self._cut = frozenset()

    def resume(self) -> None:
        """End a silence: its connections go on, and nothing that was sent on them is lost."""
        for address in self._cut:
            for stream in list(self._streams.get(address, ())):
                if not stream.closed():
                    proxy.accept_packets(stream.socket)
        self.heal()

    async def dial(self, address: str) -> tornado.iostream.IOStream:
        """Open a connection, unless the address is cut off."""
        if address in self._cut:
            if self._kind is Cut.HANG:
                await asyncio.sleep(connections.CONNECT_TIMEOUT * 2)
            raise ConnectionRefusedError('cut off')
        stream = await super().dial(address)
        self._streams.setdefault(address, weakref.WeakSet()).add(stream)
        return stream

    def _cut_stream(self, stream: tornado.iostream.IOStream) -> None:
        if stream.closed() or self._kind is Cut.REFUSE:
            return
        if self._kind is Cut.RESET:
            stream.close((ConnectionResetError, ConnectionResetError('cut off'), None))
            return
        proxy.drop_packets(stream.socket)
