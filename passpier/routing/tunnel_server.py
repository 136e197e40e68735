"""Connects peers to replicas that they don't reach themselves, by HTTP's CONNECT method.

A tunnel copies bytes: the peer at its other end has the client, and decides everything about its
requests. Only members may open tunnels, only to known replicas and cache stores, never through a
third process.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

import tornado.http1connection
import tornado.httpserver
import tornado.httputil
import tornado.iostream

from passpier import clocks
from passpier.clients import connections
from passpier.core import members
from passpier.routing import pools

log = logging.getLogger(__name__)

COPY_BYTES = 16 * 1024
"""Bytes that a tunnel holds in each direction."""

QUIET_SECONDS = 0.5
"""Seconds after the last bytes of a response in which more of it may follow."""

CLOSE_SECONDS = 1.0
"""Seconds in which the last bytes have to be taken before a tunnel is reset."""

_ESTABLISHED = b'HTTP/1.1 200 Connection established\r\n\r\n'

Dial = Callable[[str], Awaitable[tornado.iostream.IOStream]]


class Tunnel:
    """The two connections of a tunnel."""

    def __init__(
        self, peer: tornado.iostream.IOStream, replica: tornado.iostream.IOStream, address: str
    ) -> None:
        self.address = address
        """The address of the replica."""

        self._peer = peer
        self._replica = replica
        self._responds = True
        """Whether the last bytes came from the replica."""

        self._used_at = clocks.now()
        # A process that is killed in the middle of a response must not make it look complete.
        connections.reset_on_close(peer)

    def is_busy(self, now: float) -> bool:
        """Return whether a request is probably in progress."""
        return not self._responds or now - self._used_at < QUIET_SECONDS

    async def run(self) -> None:
        """Copy in both directions until either side closes."""
        copies = [
            asyncio.ensure_future(self._copy(self._peer, self._replica, False)),
            asyncio.ensure_future(self._copy(self._replica, self._peer, True)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            if self._peer.error is not None:
                # A request that the peer has given up must not arrive later.
                connections.reset_on_close(self._replica)
            if self._replica.closed() and self._replica.error is None:
                # An orderly close may be the end of a response, and follows its last bytes.
                self._peer.socket.shutdown(socket.SHUT_WR)
                await asyncio.wait(copies, timeout=CLOSE_SECONDS)
        except OSError as error:
            log.debug('peer closed a tunnel first', extra={'error': str(error)})
        finally:
            for copy in copies:
                copy.cancel()
            self.close()

    def close(self) -> None:
        """Close both connections."""
        self._replica.close()
        self._peer.close()

    async def _copy(
        self,
        source: tornado.iostream.IOStream,
        sink: tornado.iostream.IOStream,
        responds: bool,
    ) -> None:
        try:
            while True:
                data = await source.read_bytes(COPY_BYTES, partial=True)
                self._used_at = clocks.now()
                self._responds = responds
                await sink.write(data)
        except tornado.iostream.StreamClosedError:
            # Either side closed; `run` passes that on to the other one.
            return


class TunnelServer(tornado.httputil.HTTPServerConnectionDelegate):
    """Accepts the tunnels of peers."""

    def __init__(
        self, membership: members.Membership, replica_pools: pools.Pools, dial: Dial, most: int
    ) -> None:
        self._membership = membership
        self._pools = replica_pools
        self._dial = dial
        self._most = most
        self._tunnels: set[Tunnel] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_direct: Callable[[str], bool] = lambda address: True
        """Whether this process reaches an address without a peer."""

    def count_busy(self) -> int:
        """Return the number of tunnels with a request in progress."""
        now = clocks.now()
        return sum(t.is_busy(now) for t in self._tunnels)

    def leads_to(self, address: str) -> bool:
        """Return whether any open tunnel leads to an address."""
        return any(tunnel.address == address for tunnel in self._tunnels)

    def build_server(self) -> tornado.httpserver.HTTPServer:
        """Return the server of the tunnels' port."""
        return tornado.httpserver.HTTPServer(self, chunk_size=COPY_BYTES)

    def start_request(
        self, server_conn: object, request_conn: tornado.httputil.HTTPConnection
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Begin to read a request for a tunnel."""
        assert isinstance(request_conn, tornado.http1connection.HTTP1Connection)
        return _TunnelRequest(self, request_conn)

    def start(self, connection: tornado.http1connection.HTTP1Connection, address: str) -> None:
        """Open the tunnel that a peer has requested, or refuse it."""
        task = asyncio.ensure_future(self._serve(connection, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Close all tunnels."""
        for task in list(self._tasks):
            task.cancel()
        for tunnel in list(self._tunnels):
            tunnel.close()

    async def _serve(
        self, connection: tornado.http1connection.HTTP1Connection, address: str
    ) -> None:
        source = _get_peer_ip(connection)
        status = self._check(source, address)
        if status:
            self._refuse(connection, status, source, address, 'not allowed')
            return
        try:
            async with asyncio.timeout(connections.CONNECT_TIMEOUT):
                replica = await self._dial(address)
        except (TimeoutError, OSError, tornado.iostream.StreamClosedError) as error:
            self._refuse(connection, 502, source, address, str(error) or 'timed out')
            return
        if connection.stream is None or connection.stream.closed():
            replica.close()
            return
        log.info('tunnel opened', extra={'peer': source, 'address': address})
        await self._run(connection.detach(), replica, address)

    async def _run(
        self, peer: tornado.iostream.IOStream, replica: tornado.iostream.IOStream, address: str
    ) -> None:
        tunnel = Tunnel(peer, replica, address)
        self._tunnels.add(tunnel)
        try:
            await peer.write(_ESTABLISHED)
            await tunnel.run()
        except tornado.iostream.StreamClosedError:
            log.debug('peer closed a tunnel before it was established')
        finally:
            tunnel.close()
            self._tunnels.discard(tunnel)

    def _check(self, source: str, address: str) -> int:
        """Return the status with which a tunnel is refused, or 0 if it isn't."""
        if source not in {m.ip for m in self._membership.list_known()}:
            return 403
        names = [r.name for r in self._pools.replicas.values() if r.address == address]
        if not names and address not in self._pools.stores.addresses:
            return 403
        if not self.is_direct(address) or self._pools.unresponsive.intersection(names):
            return 502
        return 503 if len(self._tunnels) >= self._most else 0

    def _refuse(
        self,
        connection: tornado.http1connection.HTTP1Connection,
        status: int,
        source: str,
        address: str,
        detail: str,
    ) -> None:
        fields = {'peer': source, 'address': address, 'status': status, 'detail': detail}
        log.info('tunnel refused', extra=fields)
        if connection.stream is None or connection.stream.closed():
            return
        reason = tornado.httputil.responses[status]
        headers = tornado.httputil.HTTPHeaders({'Content-Length': '0', 'Connection': 'close'})
        start = tornado.httputil.ResponseStartLine('HTTP/1.1', status, reason)
        connection.write_headers(start, headers).add_done_callback(lambda f: f.exception())
        connection.finish()


class _TunnelRequest(tornado.httputil.HTTPMessageDelegate):
    def __init__(
        self, owner: TunnelServer, connection: tornado.http1connection.HTTP1Connection
    ) -> None:
        self._owner = owner
        self._connection = connection
        self._address = ''

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> None:
        """Parse the head; any other method than CONNECT names no known address."""
        assert isinstance(start_line, tornado.httputil.RequestStartLine)
        self._address = start_line.path if start_line.method == 'CONNECT' else ''

    def finish(self) -> None:
        """Open the tunnel."""
        self._owner.start(self._connection, self._address)


def _get_peer_ip(connection: tornado.http1connection.HTTP1Connection) -> str:
    try:
        ip: str = connection.stream.socket.getpeername()[0]
    except (AttributeError, OSError) as error:
        log.debug('peer has gone', extra={'error': str(error)})
        return ''
    return ip
