"""HTTP/1.1 exchanges with upstreams over kept connections.

The parser is h11, the sockets are tornado's. In place of a ready-made client, because a router has
to know what none of them tells: whether any byte of a request left, whether an answer belongs to
the request, whether it ended by its framing or by a reset, and whether bytes came that nobody asked
for. A request is never sent a second time here.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import logging
import socket
import time
from collections.abc import Callable, Sequence

import h11
import tornado.iostream

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 0.5
"""Seconds; a connection takes milliseconds, and nothing was sent when it fails."""

UNACKED_TIMEOUT = 1500
"""Milliseconds for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT)."""

KEEPALIVE_IDLE = 1
"""Seconds of silence before the kernel probes a connection, and between probes."""

KEEPALIVE_PROBES = 2
IDLE_DEFAULT = 5.0
"""Seconds for which a connection is kept if the upstream does not say how long it keeps it."""

IDLE_MARGIN = 0.5
"""Seconds before the upstream's own idle limit at which a connection is given up."""

ONCE_IDLE = 4.0
"""Seconds of rest after which a connection is not trusted with a request that runs only once."""

READ_SIZE = 65536
BUFFERED_MAX = 512 * 1024
"""Bytes of an answer that may wait for their reader before the socket is left unread."""


class Fault(enum.Enum):
    """How an exchange can fail."""

    CONNECT = 'connect'
    """No connection came about; nothing was sent."""

    CLOSED = 'closed'
    """The connection ended before the answer was whole."""

    REPLACED = 'replaced'
    """Another process answers at the address."""

    WITHHELD = 'withheld'
    """Not sent, since it was no longer allowed once the connection stood."""

    GARBLED = 'garbled'
    """The bytes that came are no answer in the protocol."""


class ExchangeError(Exception):
    """An exchange failed; `sent` is false if certainly nothing reached the upstream."""

    def __init__(self, fault: Fault, message: str, sent: bool) -> None:
        super().__init__(message)
        self.fault = fault
        self.sent = sent


Headers = Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What is sent; the answer must carry `id` in the header `id_header`, if one is named."""

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    id_header: str = ''
    id: str = ''
    once: bool = False
    may_send: Callable[[], bool] | None = None
    """Asked right before the first byte goes out: a process may stand still while it connects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    reason: str
    headers: Headers

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n == wanted), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    head: Head
    body: bytes


class _Connection:
    """One connection; reads all the time, so that an end or stray bytes at rest are noticed."""

    def __init__(self, address: str, stream: tornado.iostream.IOStream) -> None:
        self.address = address
        self.stream = stream
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.idle_limit = IDLE_DEFAULT
        self._reader = asyncio.ensure_future(self._read())

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        return self.stream.closed()

    def close(self) -> None:
        """Close at once."""
        self.stream.close()

    async def _read(self) -> None:
        while True:
            try:
                data = await self.stream.read_bytes(READ_SIZE, partial=True)
            except tornado.iostream.StreamClosedError:
                if self.exchange is not None:
                    self.exchange.note_closed(self.stream.error)
                return
            if self.exchange is None:
                log.warning('bytes on a resting connection', extra={'address': self.address})
                self.close()
                return
            await self.exchange.take(data)


class Exchange:
    """One request whose answer is read as it comes."""

    def __init__(self, pool: Pool, connection: _Connection, request: Request) -> None:
        self._pool = pool
        self._connection = connection
        self._request = request
        self._parser = _start_parser()
        self._head: asyncio.Future[Head] = asyncio.get_running_loop().create_future()
        self._parts: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._changed = asyncio.Event()
        self._read = asyncio.Event()
        self._ended = False
        self._error: ExchangeError | None = None
        self._foreign = False
        connection.exchange = self

    def send(self) -> None:
        """Write the request."""
        headers = [(n, v) for n, v in self._request.headers]
        if self._request.body or self._request.method not in ('GET', 'HEAD'):
            headers.append(('Content-Length', str(len(self._request.body))))
        start = h11.Request(
            method=self._request.method, target=self._request.target, headers=headers
        )
        data = self._parser.send(start) or b''
        if self._request.body:
            data += self._parser.send(h11.Data(data=self._request.body)) or b''
        data += self._parser.send(h11.EndOfMessage()) or b''
        future = self._connection.stream.write(data)
        # The reader notices a connection that ends; the write's own error says nothing more.
        future.add_done_callback(lambda f: f.exception())

    async def read_head(self) -> Head:
        """Return status and headers."""
        return await asyncio.shield(self._head)

    async def read(self) -> bytes | None:
        """Return the next part of the body, or none at its end."""
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self._ended:
                return None
            self._changed.clear()
            await self._changed.wait()
        part = self._parts.popleft()
        self._buffered -= len(part)
        self._read.set()
        return part

    async def read_all(self, most: int = 16 * 1024 * 1024) -> Answer:
        """Return the whole answer of at most `most` bytes."""
        head = await self.read_head()
        body = bytearray()
        while (part := await self.read()) is not None:
            body += part
            if len(body) > most:
                raise ExchangeError(Fault.GARBLED, 'the answer is too long', True)
        return Answer(head, bytes(body))

    def close(self) -> None:
        """End the exchange: whatever has not come by now is not wanted."""
        self._read.set()
        if self._connection.exchange is self:
            self._connection.exchange = None
            self._connection.close()
        if not self._head.done():
            self._head.cancel()

    async def take(self, data: bytes) -> None:
        """Parse what came; waits while the reader of the answer is far behind."""
        try:
            self._parser.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._fail(Fault.GARBLED, str(error))
            self._connection.close()
        while self._buffered > BUFFERED_MAX and self._connection.exchange is self:
            self._read.clear()
            await self._read.wait()

    def note_closed(self, error: BaseException | None) -> None:
        """Note that the connection ended; only an orderly end can end an answer without length."""
        if self._ended or self._error is not None:
            return
        if error is None:
            try:
                self._parser.receive_data(b'')
                self._parse()
            except h11.RemoteProtocolError:
                self._fail(Fault.CLOSED, 'the connection ended before the answer was whole')
        if not self._ended:
            self._fail(Fault.CLOSED, str(error or 'the connection ended'))

    def _parse(self) -> None:
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_part(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                if not self._foreign:
                    self._finish()
                    return
                self._skip_answer()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(Fault.CLOSED, 'closed before the answer was whole')
                return

    def _take_head(self, event: h11.Response) -> None:
        headers = [(n.decode('latin-1'), v.decode('latin-1')) for n, v in event.headers]
        head = Head(event.status_code, event.reason.decode('latin-1'), headers)
        expected = self._request.id_header
        self._foreign = bool(expected) and head.get(expected) != self._request.id
        if not self._foreign and not self._head.done():
            self._head.set_result(head)

    def _take_part(self, part: bytes) -> None:
        if not self._foreign:
            self._parts.append(part)
            self._buffered += len(part)
            self._changed.set()

    def _skip_answer(self) -> None:
        """Go on behind an answer to another request; ours may follow on the same connection."""
        log.warning(
            'answer to another request dropped',
            extra={'request': self._request.id, 'address': self._connection.address},
        )
        rest, _ = self._parser.trailing_data
        self._parser = _start_parser()
        self._write_unsent(self._parser)
        self._foreign = False
        if rest:
            self._parser.receive_data(rest)

    def _write_unsent(self, parser: h11.Connection) -> None:
        """Bring a new parser to where the request is out, without writing it."""
        headers = [('Host', 'x'), ('Content-Length', '0')]
        parser.send(h11.Request(method=self._request.method, target='/', headers=headers))
        parser.send(h11.EndOfMessage())

    def _finish(self) -> None:
        self._ended = True
        self._changed.set()
        if self._connection.exchange is not self:
            return
        self._connection.exchange = None
        reusable = (
            not self._parser.trailing_data[0]
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._connection.stream.writing()
        )
        if reusable:
            assert self._head.done()
            self._pool.keep(self._connection, self._head.result())
        else:
            self._connection.close()

    def _fail(self, fault: Fault, message: str) -> None:
        self._error = self._error or ExchangeError(fault, message, True)
        if self._connection.exchange is self:
            self._connection.exchange = None
            self._connection.close()
        if not self._head.done():
            self._head.set_exception(self._error)
            # Whoever gave the exchange up no longer reads the head.
            self._head.exception()
        self._changed.set()


class Pool:
    """Opens exchanges and keeps connections; `opened` counts new connections."""

    def __init__(self) -> None:
        self._resting: dict[str, list[_Connection]] = {}
        self.opened = 0
        self.reused = 0

    async def open(self, address: str, request: Request) -> Exchange:
        """Send a request and return its exchange; raises `ExchangeError`."""
        connection = self._take_resting(address, request.once)
        if connection is None:
            connection = await self._connect(address)
        else:
            self.reused += 1
        if request.may_send is not None and not request.may_send():
            connection.close()
            raise ExchangeError(Fault.WITHHELD, 'no longer allowed when connected', False)
        exchange = Exchange(self, connection, request)
        try:
            exchange.send()
        except (h11.LocalProtocolError, tornado.iostream.StreamClosedError) as error:
            exchange.close()
            raise ExchangeError(Fault.CONNECT, str(error), False) from error
        return exchange

    async def fetch(self, address: str, request: Request, timeout: float) -> Answer:
        """Return a whole answer within `timeout` seconds; raises `ExchangeError`."""
        exchange: Exchange | None = None
        try:
            async with asyncio.timeout(timeout):
                exchange = await self.open(address, request)
                return await exchange.read_all()
        except TimeoutError as error:
            raise ExchangeError(Fault.CLOSED, 'timed out', exchange is not None) from error
        finally:
            if exchange is not None:
                exchange.close()

    def keep(self, connection: _Connection, head: Head) -> None:
        """Let a connection rest for the next exchange."""
        limit = _parse_idle_limit(head.get('keep-alive'))
        connection.idle_limit = IDLE_DEFAULT if limit is None else limit
        connection.idle_since = time.monotonic()
        self._resting.setdefault(connection.address, []).append(connection)

    def forget(self, address: str) -> None:
        """Close the resting connections to an address that may belong to somebody else now."""
        for connection in self._resting.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all resting connections."""
        for address in list(self._resting):
            self.forget(address)

    def close_expired(self) -> None:
        """Close connections that have rested for as long as the upstream allows."""
        now = time.monotonic()
        for address, resting in list(self._resting.items()):
            kept = [c for c in resting if not c.closed and not _is_expired(c, now)]
            for connection in resting:
                if connection not in kept:
                    connection.close()
            if kept:
                self._resting[address] = kept
            else:
                del self._resting[address]

    def _take_resting(self, address: str, once: bool) -> _Connection | None:
        resting = self._resting.get(address, [])
        now = time.monotonic()
        while resting:
            connection = resting.pop()
            if connection.closed:
                continue
            if _is_expired(connection, now):
                connection.close()
                continue
            if once and now - connection.idle_since > ONCE_IDLE:
                # The ones below have rested for longer still.
                resting.append(connection)
                return None
            return connection
        return None

    async def _connect(self, address: str) -> _Connection:
        host, _, port = address.rpartition(':')
        plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT)
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE)
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        stream = tornado.iostream.IOStream(plain)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await stream.connect((host, int(port)))
        except (TimeoutError, OSError, tornado.iostream.StreamClosedError) as error:
            stream.close()
            message = f'no connection to {address}: {error}'
            raise ExchangeError(Fault.CONNECT, message, False) from error
        except BaseException:
            stream.close()
            raise
        self.opened += 1
        return _Connection(address, stream)


def _start_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=64 * 1024)


def _is_expired(connection: _Connection, now: float) -> bool:
    return now - connection.idle_since > connection.idle_limit - IDLE_MARGIN


def _parse_idle_limit(text: str | None) -> float | None:
    """Return the seconds of a `Keep-Alive: timeout=N` header."""
    for part in (text or '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.strip().isdigit():
            return float(value)
    return None
