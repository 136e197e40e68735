"""Simulated network between daemons in one event loop, in place of sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from passpier.core import members
from passpier.daemon import messages


class Network:
    """Links between daemons in one event loop, which delay or lose messages."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loss = 0.0
        """Probability that a message is lost."""

        self.delay = (0.0005, 0.005)
        """Minimum and maximum delay of a message in seconds."""

        self.links: dict[str, Link] = {}
        self.cut: set[str] = set()
        """Addresses of isolated daemons, which neither send nor receive messages."""

        self.carried = 0
        """Number of messages that were sent."""

    def connect(self, member: members.Member) -> Link:
        """Create the link of a daemon."""
        link = self.links[member.peer] = Link(self, member)
        return link

    def carry(self, source: Link, address: str, message: Any) -> None:
        """Deliver a message after a random delay, or lose it."""
        self.carried += 1
        if self.rng.random() < self.loss or {source.address, address} & self.cut:
            return
        delay = self.rng.uniform(*self.delay)
        asyncio.get_running_loop().call_later(delay, self._deliver, source, address, message)

    def _deliver(self, source: Link, address: str, message: Any) -> None:
        link = self.links.get(address)
        if link is None or address in self.cut:
            return
        handler = link.handlers.get(type(message))
        if handler is not None:
            result = handler(source.member.incarnation, source.address, message)
            if result is not None:
                asyncio.ensure_future(result)


class Link:
    """A daemon's end of the network, with the methods of `peers.Peers` that its tasks use."""

    def __init__(self, network: Network, member: members.Member) -> None:
        self.network = network
        self.member = member
        self.address = member.peer
        self.handlers: dict[type, Callable[..., Any]] = {}

    def register_handler(self, kind: type, handler: Callable[..., Any]) -> None:
        """Register the handler of a message type."""
        self.handlers[kind] = handler

    def send_all(self, addresses: Iterable[str], message: messages.Message) -> None:
        """Send a message to several peers."""
        for address in addresses:
            self.send(address, message)

    def send(self, address: str, message: messages.Message) -> None:
        """Send a message without waiting for its delivery."""
        if address != self.address:
            self.network.carry(self, address, message)
