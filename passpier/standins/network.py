"""Links between daemons of one event loop, in place of sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from passpier.core import members
from passpier.daemon import messages


class Network:
    """Links between daemons of one event loop; messages are delayed, lost, or cut off."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loss = 0.0
        self.delay = (0.0005, 0.005)
        """Least and longest way of a message, in seconds."""

        self.links: dict[str, Link] = {}
        self.cut: set[str] = set()
        self.carried = 0
        """Messages that were sent."""

    def connect(self, member: members.Member) -> Link:
        """Return a daemon's link."""
        link = self.links[member.peer] = Link(self, member)
        return link

    def carry(self, source: Link, address: str, message: Any) -> None:
        """Deliver a message later, or never."""
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
    """Has the methods of `peers.Peers` that the tasks use."""

    def __init__(self, network: Network, member: members.Member) -> None:
        self.network = network
        self.member = member
        self.address = member.peer
        self.handlers: dict[type, Callable[..., Any]] = {}

    def handle(self, kind: type, handler: Callable[..., Any]) -> None:
        """Have messages of one type handled."""
        self.handlers[kind] = handler

    def send_all(self, addresses: Iterable[str], message: messages.Message) -> None:
        """Send one message to several peers."""
        for address in addresses:
            self.send(address, message)

    def send(self, address: str, message: messages.Message) -> None:
        """Send without waiting."""
        if address != self.address:
            self.network.carry(self, address, message)
