"""Exchanges messages with other daemons over ZeroMQ sockets."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import zmq

from passpier import exceptions
from passpier.clients import connections
from passpier.daemon import messages, metrics
from passpier.utils import decoding

log = logging.getLogger(__name__)

MAX_QUEUED = 1000
"""Messages queued for a peer that does not receive; further ones are dropped."""

MAX_SOCKETS = 512
"""Maximum number of peers with an open connection."""

FLUSH_SECONDS = 0.05
"""Seconds for sending the last messages at exit, which takes a few milliseconds."""

KEEPALIVE_IDLE = 5
"""Idle seconds after which the kernel probes a sender, to free the descriptors of dead peers.
Heartbeats are more frequent."""

MAX_MESSAGES_PER_TURN = 64
"""Messages handled before the event loop runs other tasks."""

NOBLOCK = int(zmq.NOBLOCK)
"""A plain integer, as combining enumeration members takes as long as sending a message."""

_decoder = decoding.build_messagepack_decoder(messages.Envelope)

M = TypeVar('M', bound=messages.Message)
Handler = Callable[[str, str, M], Awaitable[None] | None]


class Peers:
    """Sends messages to daemons and receives theirs. Messages may get lost, but never corrupted."""

    def __init__(self, incarnation: str, ip: str, port: int, counters: metrics.Metrics) -> None:
        self.incarnation = incarnation
        self._context = zmq.Context()
        self._inbox = self._context.socket(zmq.PULL)
        self._inbox.linger = 0
        self._inbox.setsockopt(zmq.TCP_KEEPALIVE, 1)
        self._inbox.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE)
        self._inbox.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_IDLE)
        if port:
            self._inbox.bind(f'tcp://{ip}:{port}')
            self.port = port
        else:
            self.port = self._inbox.bind_to_random_port(f'tcp://{ip}')
        self.address = f'{ip}:{self.port}'
        self._outboxes: dict[str, zmq.Socket[bytes]] = {}
        self._handlers: dict[type, Handler] = {}
        self._bytes_in = counters.buffer(counters.control_bytes, {'channel': 'peer_in'})
        self._bytes_out = counters.buffer(counters.control_bytes, {'channel': 'peer_out'})
        self.blocked: set[str] = set()
        """Addresses of peers whose messages are dropped in both directions; for tests only."""

    def register_handler(self, kind: type[M], handler: Handler[M]) -> None:
        """Register the handler of one message type; coroutines run as separate tasks."""
        self._handlers[kind] = handler

    def send(self, address: str, message: messages.AnyMessage) -> None:
        """Send without waiting; the message is dropped if the peer's queue is full."""
        self.send_all([address], message)

    def send_all(self, addresses: Iterable[str], message: messages.AnyMessage) -> None:
        """Send one message to several peers, encoding it once."""
        try:
            data = messages.encode(messages.Envelope(self.incarnation, self.address, message))
        except (OverflowError, ValueError) as error:
            # Senders are background tasks, whose failure ends the process.
            fields = {'kind': type(message).__name__, 'error': str(error)}
            log.error('message not encoded', extra=fields)
            return
        for address in addresses:
            self._send(address, data)

    def _send(self, address: str, data: bytes) -> None:
        if address == self.address or address in self.blocked or self._context.closed:
            return
        self._bytes_out.add(len(data))
        try:
            self._get_outbox(address).send(data, NOBLOCK)
        except zmq.ZMQError:
            log.debug('message dropped', extra={'peer': address})

    async def run(self) -> None:
        """Receive until cancelled."""
        loop = asyncio.get_running_loop()
        inbox = self._inbox.fileno()
        loop.add_reader(inbox, self._receive, loop)
        try:
            # The descriptor does not signal messages that arrived earlier.
            self._receive(loop)
            await loop.create_future()
        finally:
            loop.remove_reader(inbox)

    def _receive(self, loop: asyncio.AbstractEventLoop) -> None:
        """Handle received messages; messages that arrive together are signalled only once."""
        for _ in range(MAX_MESSAGES_PER_TURN):
            try:
                data = self._inbox.recv(NOBLOCK)
            except zmq.Again:
                return
            self._handle_data(data)
        loop.call_soon(self._receive, loop)

    def _handle_data(self, data: bytes) -> None:
        self._bytes_in.add(len(data))
        try:
            envelope = _decoder.decode(data)
        except exceptions.DecodingError as error:
            log.warning('message not decoded', extra={'bytes': len(data), 'error': str(error)})
            return
        if envelope.address not in self.blocked:
            self._dispatch_safely(envelope)

    async def flush(self) -> None:
        """Wait until the last messages are sent, without blocking the event loop.

        If `close` waited instead, a dead peer that receives nothing would block the event loop, and
        with it all requests that are still to be answered.
        """
        await asyncio.sleep(FLUSH_SECONDS)

    def close(self) -> None:
        """Close at once; queued messages are lost."""
        for outbox in self._outboxes.values():
            outbox.close(linger=0)
        self._outboxes.clear()
        self._inbox.close(linger=0)
        self._context.term()

    def _dispatch_safely(self, envelope: messages.Envelope) -> None:
        """Pass a message to its handler, whose failure must not hold up the messages behind it."""
        try:
            self._dispatch(envelope)
        except Exception:
            fields = {'kind': type(envelope.message).__name__, 'peer': envelope.address}
            log.exception('message not handled', extra=fields)

    def _dispatch(self, envelope: messages.Envelope) -> None:
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            return
        result = handler(envelope.sender, envelope.address, envelope.message)
        if result is not None:
            asyncio.ensure_future(result)

    def _get_outbox(self, address: str) -> zmq.Socket[bytes]:
        outbox = self._outboxes.pop(address, None)
        if outbox is None:
            outbox = self._context.socket(zmq.PUSH)
            outbox.linger = 0
            outbox.sndhwm = MAX_QUEUED
            # Replaces a connection that stopped transmitting: a new one may work, and a socket that
            # never reads would not notice.
            outbox.setsockopt(zmq.TCP_MAXRT, connections.UNACKED_TIMEOUT)
            outbox.setsockopt(zmq.RECONNECT_IVL, 100)
            outbox.setsockopt(zmq.RECONNECT_IVL_MAX, 2000)
            try:
                outbox.connect(f'tcp://{address}')
            except zmq.ZMQError:
                outbox.close()
                raise
        self._outboxes[address] = outbox
        if len(self._outboxes) > MAX_SOCKETS:
            oldest = next(iter(self._outboxes))
            self._outboxes.pop(oldest).close(linger=0)
        return outbox


class Replies:
    """Matches responses of peers to pending requests by id."""

    def __init__(self) -> None:
        self._waiting: dict[str, asyncio.Future[messages.Message]] = {}

    async def wait(self, id: str, timeout: float) -> messages.Message | None:
        """Return the response, or none after `timeout` seconds."""
        future = self._waiting[id] = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return None
        finally:
            del self._waiting[id]

    def resolve(self, id: str, response: messages.Message) -> bool:
        """Pass a response to the pending request; false if it is no longer pending."""
        future = self._waiting.get(id)
        if future is None or future.done():
            return False
        future.set_result(response)
        return True
