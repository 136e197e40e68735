"""A pool of persistent connections to upstreams."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
import struct
import weakref
from collections.abc import Callable, Collection, Container
from typing import NamedTuple

import h11
import tornado.iostream

from passpier import clocks
from passpier.clients import exchanges, tunnels
from passpier.core import buffer_limits
from passpier.utils import pacing

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 0.5
"""Seconds; connecting takes milliseconds, and a failed attempt is safe because nothing was sent."""

UNACKED_TIMEOUT = 1500
"""Milliseconds for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). It also ends a
connection at rest whose keep-alive probes go unanswered for that long, whatever their number."""

UPSTREAM_UNACKED_TIMEOUT = 4000
"""The same to upstreams, which may be silent for a second or two and go on. What was sent meanwhile
is acknowledged at the next retransmission, after up to twice the silence."""

KEEPALIVE_IDLE = 1
"""Idle seconds before the kernel probes a connection, and seconds between probes."""

KEEPALIVE_PROBES = 2
DEFAULT_IDLE_LIMIT = 5.0
"""Idle timeout in seconds if the upstream does not state its own."""

IDLE_MARGIN = 0.5
"""Seconds before the upstream's idle timeout at which a connection is closed."""

ONCE_IDLE_LIMIT = 4.0
"""Idle seconds after which a connection is not used for a request that is not idempotent."""

STALE_RESET_WINDOW = 0.05
"""Seconds after a send within which a reset means that the upstream had already dropped the idle
connection: such a reset takes one round trip, while a crash causes one at any time."""

STALE_IDLE_FACTOR = 0.5
"""Fraction of the idle time of a stale connection that is still considered safe."""

STALE_MEMORY = 30.0
"""Seconds for which the reduced idle limit applies; a new connection is cheaper than a lost
request."""

UNRESPONSIVE_MEMORY = 5.0
"""Seconds after a connection became unresponsive within which a response on a new connection shows
that the network was at fault. A later response may come from a restarted process."""

READ_SIZE = 65536

TCP_INFO_UNACKED_OFFSET = 24
"""Offset of the number of unacknowledged segments in Linux's `struct tcp_info`."""


def configure_keepalive(sock: socket.socket, unacked_timeout: int = UNACKED_TIMEOUT) -> None:
    """Make the kernel close unresponsive connections; accepted sockets inherit the options."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def reset_on_close(stream: tornado.iostream.IOStream) -> None:
    """Make the kernel reset a connection when it is closed, without sending what is left."""
    if not stream.closed():
        linger = struct.pack('ii', 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class Path(NamedTuple):
    """A way to an address: direct, or by a tunnel through the peer at `proxy`."""

    address: str
    proxy: str = ''


class Connection:
    """One connection; always reads, to detect a close or unsolicited bytes while it is idle."""

    def __init__(self, pool: Pool, path: Path, stream: tornado.iostream.IOStream) -> None:
        self._pool = pool
        self.path = path
        self.stream = stream
        self.is_path_lost = False
        self.exchange: exchanges.Exchange | None = None
        self.idle_since = 0.0
        self.idle_limit = DEFAULT_IDLE_LIMIT
        self.opened_at = clocks.now()
        self.used_at = self.opened_at
        """Start time of the current exchange."""

        self.last_id: str | None = None
        """The id of the last request, empty if it had none; `None` before the first one."""

        self._reader = asyncio.ensure_future(self._read())

    @property
    def address(self) -> str:
        """The address that the connection leads to."""
        return self.path.address

    @property
    def proxy(self) -> str:
        """The peer through which it leads there; empty if directly."""
        return self.path.proxy

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        return self.stream.closed()

    @property
    def has_unacked_data(self) -> bool:
        """Whether sent bytes are unacknowledged; a healthy network takes milliseconds for that."""
        if self.closed:
            return False
        try:
            tcp_info = self.stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
            (unacked,) = struct.unpack_from('I', tcp_info, TCP_INFO_UNACKED_OFFSET)
        except (OSError, struct.error) as error:
            log.debug('TCP_INFO not available', extra={'error': str(error)})
            return False
        return bool(unacked)

    def note_unresponsive(self) -> None:
        """Record that the current exchange has received nothing."""
        self._pool.note_unresponsive(self.path, self.used_at)

    def close(self) -> None:
        """Close the connection immediately."""
        self.stream.close()

    def reset(self) -> None:
        """Close the connection; the kernel drops what the peer has not acknowledged."""
        reset_on_close(self.stream)
        self.stream.close()

    def release(self, head: exchanges.Head) -> None:
        """Return the connection to its pool; `head` may state its idle timeout."""
        self._pool.release(self, head)

    async def _read(self) -> None:
        while True:
            try:
                data = await self.stream.read_bytes(READ_SIZE, partial=True)
            except tornado.iostream.StreamClosedError:
                self._note_end()
                return
            if self.exchange is None:
                log.warning('bytes on an idle connection', extra={'address': self.address})
                self.close()
                return
            if not self.exchange.received_any:
                self._pool.note_response(self)
            await self.exchange.feed(data)

    def _note_end(self) -> None:
        if self.exchange is None:
            return
        reset = isinstance(self.stream.error, ConnectionResetError)
        quick = clocks.now() - self.used_at < STALE_RESET_WINDOW
        if self.idle_since and reset and quick and not self.exchange.received_any:
            self._pool.note_stale(self.address, self.used_at - self.idle_since)
        if isinstance(self.stream.error, TimeoutError):
            self.note_unresponsive()
        self.exchange.note_closed(self.stream.error)


class Pool:
    """Opens exchanges on pooled connections; `opened` counts new connections.

    An upstream may drop idle connections earlier than it states, and the next request on such a
    stale connection is lost. Once that is seen, requests that are not idempotent only use
    connections with a shorter idle time, for all upstreams: upstreams of the same kind behave
    alike.

    Established connections may become unresponsive while new ones work, for example when a network
    device has lost its state. Once one does, the idle connections to the same address are closed.
    If the address then responds on a new connection, the network was at fault, and all connections
    to any address that have been idle since before the fault are closed.

    An address is reached directly, or by a tunnel through a peer if `choose_proxy` names one.

    The connections to `quick` addresses are closed sooner when they become unresponsive, because
    all requests there can be repeated.
    """

    def __init__(self, quick: Collection[str] = ()) -> None:
        self._quick = quick
        self.choose_proxy: Callable[[str], str] = lambda address: ''
        """Returns the peer to go through to an address; empty for a direct connection."""

        self.buffers = buffer_limits.BufferUsage()
        """Counts what is buffered for the exchanges."""

        self.pacer = pacing.Pacer()
        """Paces messages in very many parts."""

        self._idle: dict[Path, list[Connection]] = {}
        self._connections: weakref.WeakSet[Connection] = weakref.WeakSet()
        self._once_idle_limit = ONCE_IDLE_LIMIT
        self._once_idle_limit_until = float('-inf')
        self._unresponsive_since: dict[Path, float] = {}
        """When the connections of a path became unresponsive, until it responds again."""

        self.opened = 0
        self.reused = 0

    async def open(
        self,
        address: str,
        request: exchanges.Request,
        proxy: str | None = None,
        is_new: bool = False,
        avoided: Container[exchanges.Connection] = (),
    ) -> exchanges.Exchange:
        """Send a request and return its exchange; raise `ExchangeError` if that fails.

        It takes the usual path to the address, or that through `proxy`, direct if empty. With
        `is_new`, it takes a new connection, else none of those that are `avoided`.
        """
        path = Path(address, self.choose_proxy(address) if proxy is None else proxy)
        connection = None if is_new else self._take_idle(path, request, avoided)
        if connection is None:
            connection = await self._connect_by(path)
        else:
            self.reused += 1
        if request.may_send is not None and not request.may_send():
            connection.close()
            raise exchanges.ExchangeError(
                exchanges.Fault.WITHHELD, 'no longer allowed once connected', False
            )
        connection.last_id = request.id
        exchange = exchanges.Exchange(connection, request, self.buffers, self.pacer)
        try:
            exchange.send()
        except (h11.LocalProtocolError, tornado.iostream.StreamClosedError) as error:
            exchange.close()
            raise exchanges.ExchangeError(exchanges.Fault.CONNECT, str(error), False) from error
        return exchange

    async def fetch(
        self,
        address: str,
        request: exchanges.Request,
        timeout: float,
        proxy: str | None = None,
        is_new: bool = False,
        max_bytes: int = exchanges.RESPONSE_MAX,
    ) -> exchanges.Response:
        """Return the complete response within `timeout` seconds; raise `ExchangeError` if not.

        Its body may have at most `max_bytes` bytes. For `proxy` and `is_new` see `open`.
        """
        exchange: exchanges.Exchange | None = None
        try:
            async with asyncio.timeout(timeout):
                exchange = await self.open(address, request, proxy, is_new)
                return await exchange.read_all(max_bytes)
        except TimeoutError as error:
            if exchange is not None and not exchange.received_any:
                exchange.note_unresponsive()
            raise exchanges.ExchangeError(
                exchanges.Fault.TIMED_OUT, 'timed out', exchange is not None
            ) from error
        finally:
            if exchange is not None:
                exchange.close()

    def release(self, connection: Connection, head: exchanges.Head) -> None:
        """Return a connection to the pool for the next exchange."""
        if connection.is_path_lost:
            connection.close()
            return
        limit = _parse_idle_limit(head.get('keep-alive'))
        connection.idle_limit = DEFAULT_IDLE_LIMIT if limit is None else limit
        connection.idle_since = clocks.now()
        self._idle.setdefault(connection.path, []).append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address whose process has ended."""
        for path in [p for p in self._idle if p.address == address]:
            for connection in self._idle.pop(path):
                connection.close()

    def note_path_lost(self, path: Path) -> None:
        """Close the idle connections of a path that is replaced, and mark those in use."""
        for connection in list(self._connections):
            if connection.path == path:
                connection.is_path_lost = True
        for connection in self._idle.pop(path, []):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that have reached their idle limit.

        Also drops outdated records of unresponsive addresses.
        """
        now = clocks.now()
        for path, since in list(self._unresponsive_since.items()):
            if now - since > UNRESPONSIVE_MEMORY:
                del self._unresponsive_since[path]
        for path, idle in list(self._idle.items()):
            kept = [c for c in idle if not c.closed and not _is_expired(c, now)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[path] = kept
            else:
                del self._idle[path]

    def _take_idle(
        self, path: Path, request: exchanges.Request, avoided: Container[exchanges.Connection]
    ) -> Connection | None:
        idle = self._idle.get(path, [])
        now = clocks.now()
        # The one that has been idle for the shortest time comes first.
        for connection in reversed(idle.copy()):
            if connection in avoided or _may_confuse(connection, request):
                continue
            if request.once and now - connection.idle_since > self._get_once_idle_limit(now):
                return None
            idle.remove(connection)
            if connection.closed:
                continue
            if _is_expired(connection, now):
                connection.close()
                continue
            connection.used_at = now
            return connection
        return None

    def note_stale(self, address: str, idle_seconds: float) -> None:
        """Record that an upstream had dropped a connection that was idle for `idle_seconds`."""
        now = clocks.now()
        self._once_idle_limit = min(
            self._get_once_idle_limit(now), idle_seconds * STALE_IDLE_FACTOR
        )
        self._once_idle_limit_until = now + STALE_MEMORY
        log.info(
            'idle connection was stale',
            extra={
                'address': address,
                'rested': round(idle_seconds, 3),
                'trusted': round(self._once_idle_limit, 3),
            },
        )

    def note_unresponsive(self, path: Path, since: float) -> None:
        """Record that a connection has received nothing since a request was sent on it."""
        idle = self._idle.pop(path, [])
        if idle or path not in self._unresponsive_since:
            fields = {'address': path.address, 'proxy': path.proxy, 'resting_closed': len(idle)}
            log.info('connection unresponsive', extra=fields)
        self._unresponsive_since.setdefault(path, since)
        for connection in idle:
            connection.close()

    def note_response(self, connection: Connection) -> None:
        """Record that an address responds.

        A response on a new connection shows that older connections are unresponsive because of the
        network.
        """
        since = self._unresponsive_since.get(connection.path)
        if since is None or connection.opened_at < since:
            return
        del self._unresponsive_since[connection.path]
        if clocks.now() - since > UNRESPONSIVE_MEMORY:
            return
        closed = 0
        for idle in self._idle.values():
            for other in idle:
                if other.idle_since < since:
                    other.close()
                    closed += 1
        log.info(
            'idle connections closed, address responds on new ones only',
            extra={'address': connection.address, 'closed': closed},
        )

    def _get_once_idle_limit(self, now: float) -> float:
        return self._once_idle_limit if now < self._once_idle_limit_until else ONCE_IDLE_LIMIT

    async def _connect_by(self, path: Path) -> Connection:
        connection = await (
            self._connect_through(path) if path.proxy else self._connect(path.address)
        )
        self.opened += 1
        self._connections.add(connection)
        return connection

    async def _connect(self, address: str) -> Connection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                stream = await self.dial(address)
        except (TimeoutError, OSError, tornado.iostream.StreamClosedError) as error:
            message = f'cannot connect to {address}: {_describe(error)}'
            raise exchanges.ExchangeError(exchanges.Fault.CONNECT, message, False) from error
        return Connection(self, Path(address), stream)

    async def _connect_through(self, path: Path) -> Connection:
        stream: tornado.iostream.IOStream | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                stream = await self.dial(path.proxy)
                await tunnels.open_tunnel(stream, path.address)
        except (TimeoutError, OSError, tornado.iostream.StreamClosedError) as error:
            message = f'cannot connect to {path.address} through {path.proxy}: {_describe(error)}'
            raise exchanges.ExchangeError(exchanges.Fault.CONNECT, message, False) from error
        else:
            connection = Connection(self, path, stream)
            stream = None
            return connection
        finally:
            if stream is not None:
                stream.close()

    async def dial(self, address: str) -> tornado.iostream.IOStream:
        """Open a TCP connection; raises `OSError` or tornado's `StreamClosedError`."""
        host, _, port = address.rpartition(':')
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        timeout = UNACKED_TIMEOUT if address in self._quick else UPSTREAM_UNACKED_TIMEOUT
        configure_keepalive(sock, timeout)
        stream = tornado.iostream.IOStream(sock)
        try:
            return await stream.connect((host, int(port)))
        except BaseException:
            stream.close()
            raise


def _describe(error: Exception) -> str:
    """Return the cause of a failed connection attempt; that of a closed stream is in the stream."""
    if isinstance(error, tornado.iostream.StreamClosedError) and error.real_error is not None:
        return str(error.real_error)
    return str(error) or 'timed out'


def _may_confuse(connection: Connection, request: exchanges.Request) -> bool:
    """Return whether a late response to the last request could pass for that to this one.

    Requests for reports, which have no id, may get an outdated one.
    """
    matters = bool(request.id) or request.once
    return matters and connection.last_id == request.id


def _is_expired(connection: Connection, now: float) -> bool:
    return now - connection.idle_since > connection.idle_limit - IDLE_MARGIN


def _parse_idle_limit(text: str | None) -> float | None:
    """Return the timeout in seconds of a `Keep-Alive: timeout=N` header."""
    for part in (text or '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and re.fullmatch('[0-9]+', value.strip()):
            return float(value)
    return None
