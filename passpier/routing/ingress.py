"""The clients' port: parses requests, checks them against the configuration, and runs them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

import tornado.http1connection
import tornado.httpserver
import tornado.httputil
import tornado.iostream

from passpier import clocks
from passpier.core import buffer_limits, rates
from passpier.daemon import metrics
from passpier.routing import (
    client_connections,
    dialect,
    forwarding,
    registry_mirror,
    requests,
    responses,
)

log = logging.getLogger(__name__)

HEAD_MAX = 64 * 1024
"""Maximum size in bytes of a request's head."""

BODY_MAX = 16 * 1024 * 1024
"""Maximum size in bytes of a body; the configuration's own limit is below it."""

IDLE_TIMEOUT = 60.0
"""Seconds for which a client's connection may be idle."""

RETRY_AFTER_NOT_READY = 0.3
"""Seconds after which a client should retry at a process that has no current configuration yet."""

FINAL_RESPONSE_SECONDS = 0.2
"""Seconds in which the last responses of a stopping process must be sent."""

FINAL_REFUSAL_AGE_MAX = 3.5
"""Maximum age in seconds of the configuration at which an unknown key or route is refused for
good."""


class HttpClient:
    """Implements `responses.Client` on a connection of tornado's server."""

    def __init__(
        self,
        connection: tornado.http1connection.HTTP1Connection,
        should_close: Callable[[], bool] = lambda: False,
        buffers: buffer_limits.BufferUsage | None = None,
    ) -> None:
        self._connection = connection
        self._buffers = buffers or buffer_limits.BufferUsage()
        self._should_close = should_close
        self._closes = False
        self.started = False
        self.status = 0

    @property
    def gone(self) -> bool:
        """Whether the client's close has arrived, even if the event loop has not handled it yet.

        A delayed loop reads requests of clients that have given up meanwhile.
        """
        stream = self._connection.stream
        return stream is None or client_connections.peek(stream) is client_connections.Unread.END

    async def begin(
        self, status: int, reason: str, headers: Sequence[tuple[str, str]], length: int | None
    ) -> None:
        """Send the head; without a length the body comes in chunks."""
        assert not self.started, 'a response has one head'
        rendered = tornado.httputil.HTTPHeaders()
        for name, value in headers:
            rendered.add(name, value)
        if length is not None:
            rendered['Content-Length'] = str(length)
        self._closes = self._should_close()
        if self._closes:
            # The process is stopping. The server sets this header only for requests that it reads
            # from now on.
            rendered['Connection'] = 'close'
        self.started = True
        self.status = status
        start = tornado.httputil.ResponseStartLine(
            'HTTP/1.1', status, reason or tornado.httputil.responses.get(status, 'Unknown')
        )
        # The head is sent with the first part of the body, whose future covers both.
        self._connection.write_headers(start, rendered).add_done_callback(lambda f: f.exception())

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits for a client that reads slowly."""
        if data:
            self._buffers.add(len(data))
            try:
                await self._connection.write(data)
            finally:
                self._buffers.remove(len(data))

    async def finish(self) -> None:
        """End the response as complete; returns when its last byte is sent.

        A stopping process exits as soon as no request is in progress, and anything not yet written
        would be lost.
        """
        stream = self._connection.stream
        self._connection.finish()
        if not stream.closed() and stream.writing():
            await stream.write(b'')
        if self._closes:
            stream.close()

    def abort(self) -> None:
        """Close the connection, so that the response can't look complete."""
        self._connection.close()


class Ingress(tornado.httputil.HTTPServerConnectionDelegate):
    """Accepts clients' connections."""

    def __init__(
        self,
        registry_state: registry_mirror.RegistryState,
        forwarder: forwarding.Forwarder,
        wire: dialect.Dialect,
        counters: metrics.Metrics,
        meter: rates.Meter,
        buffers: buffer_limits.BufferUsage | None = None,
    ) -> None:
        self.meter = meter
        self.buffers = buffers or buffer_limits.BufferUsage()
        self.registry_state = registry_state
        self.forwarder = forwarder
        self.wire = wire
        self.counters = counters
        self.running: set[_IncomingRequest] = set()
        """Requests that are complete and not answered yet."""

        self.receiving: set[_IncomingRequest] = set()
        """Requests whose head has arrived, but not the complete body."""

        self.accepts_requests: Callable[[], bool] = lambda: True
        """Whether new requests are accepted; false late in a drain."""

        self.stopping = False
        """Whether each response closes its connection, so that clients connect elsewhere."""

        self.last_active_at = clocks.now()
        """When a request last arrived or ended."""

        self.clients = client_connections.ClientConnections()

    @property
    def in_flight(self) -> int:
        """The number of requests in progress, including those still being received."""
        return len(self.running) + len(self.receiving)

    def start_request(
        self,
        server_conn: object,
        request_conn: tornado.httputil.HTTPConnection,
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Begin to read a request."""
        assert isinstance(request_conn, tornado.http1connection.HTTP1Connection)
        self.clients.mark_idle(request_conn.stream)
        return _IncomingRequest(self, request_conn)

    async def end_running(self, stopped_at: float) -> None:
        """End all requests in progress with a response, since the process exits."""
        ending = [i.end(stopped_at) for i in list(self.running)]
        if ending:
            await asyncio.wait(ending, timeout=FINAL_RESPONSE_SECONDS)

    def build_server(self) -> tornado.httpserver.HTTPServer:
        """Return the server of the clients' port."""
        return tornado.httpserver.HTTPServer(
            self,
            max_header_size=HEAD_MAX,
            max_body_size=BODY_MAX,
            max_buffer_size=BODY_MAX + HEAD_MAX,
            idle_connection_timeout=IDLE_TIMEOUT,
        )


class _IncomingRequest(tornado.httputil.HTTPMessageDelegate):
    """One request while it is received and answered."""

    def __init__(self, owner: Ingress, connection: tornado.http1connection.HTTP1Connection) -> None:
        self._owner = owner
        self._connection = connection
        self._client = HttpClient(connection, lambda: owner.stopping, owner.buffers)
        self._client_request: dialect.ClientRequest | None = None
        self._refusal: responses.Refusal | None = None
        self._body = bytearray()
        self._counted = 0
        """Bytes of the body that are counted as buffered."""

        self._arrived_at = 0.0
        self._work: asyncio.Task[None] | None = None
        self._run: forwarding.RequestRun | None = None

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> None:
        """Parse the head."""
        self._arrived_at = clocks.now()
        self._owner.clients.mark_busy(self._connection.stream)
        self._owner.receiving.add(self)
        assert isinstance(start_line, tornado.httputil.RequestStartLine)
        try:
            self._client_request = self._owner.wire.read_request(start_line, headers)
        except ValueError as error:
            self._refusal = responses.Refusal(400, 'bad_request', str(error))

    def data_received(self, chunk: bytes) -> None:
        """Append a part of the body, unless the request is refused."""
        if self._refusal is not None:
            return
        size = len(self._body) + len(chunk)
        owner = self._owner
        table = owner.registry_state.table
        if table is not None and size > table.configuration.max_body:
            self._refusal = responses.Refusal(413, 'body_too_large', 'the body is too large')
        elif not owner.buffers.may_receive(size):
            message = f'{owner.buffers.used} bytes are buffered, above {owner.buffers.limit}'
            self._refusal = responses.Refusal(
                503, 'buffers_full', message, buffer_limits.RETRY_AFTER
            )
        if self._refusal is not None:
            # The rest still arrives, as the client reads the response after it has sent all.
            self._release_body()
            return
        self._body += chunk
        self._counted = size
        owner.buffers.add(len(chunk))

    def _release_body(self) -> None:
        """Drop the body and stop counting it."""
        self._owner.buffers.remove(self._counted)
        self._counted = 0
        self._body = bytearray()

    def finish(self) -> None:
        """Answer the complete request."""
        self._owner.receiving.discard(self)
        self._connection.set_close_callback(self._handle_disconnect)
        running = self._owner.running
        running.add(self)
        self._work = asyncio.ensure_future(self._serve())
        self._work.add_done_callback(lambda _: running.discard(self))
        # Until then the body may be sent again to another replica.
        self._work.add_done_callback(lambda _: self._release_body())

    def on_connection_close(self) -> None:
        """Log that the client disconnected before its request was complete."""
        self._owner.receiving.discard(self)
        id = self._client_request.id if self._client_request else ''
        log.info(
            'client disconnected before its request was complete',
            extra={'request': id, 'bytes': len(self._body)},
        )
        self._release_body()

    def end(self, stopped_at: float) -> asyncio.Task[None]:
        """Have the request answered now, and return the task; the signal came at `stopped_at`."""
        run = self._run
        log.warning(
            'request ended because the process stops',
            extra={
                'request': self._client_request.id if self._client_request else '',
                'taken_after_signal': round(self._arrived_at - stopped_at, 3),
                'answer_begun': self._client.started,
                'upstream': run.upstream if run else '',
                'sent': bool(run and run.sent),
                'time_left': round(run.ends_at - clocks.now(), 3) if run else 0.0,
            },
        )
        assert self._work is not None, 'a request in progress has a task'
        if run is not None and not run.final:
            run.mark_stopping()
            self._work.cancel()
        return self._work

    def _handle_disconnect(self) -> None:
        if self._work is None or self._work.done():
            return
        if self._run is not None and self._run.must_complete:
            log.info(
                'client disconnected, upstream request not cancelled',
                extra={'request': self._run.id},
            )
            return
        self._work.cancel()

    async def _serve(self) -> None:
        owner = self._owner
        owner.meter.note()
        owner.last_active_at = clocks.now()
        id = self._client_request.id if self._client_request else ''
        try:
            await self._answer()
        except (
            asyncio.CancelledError,
            tornado.iostream.StreamClosedError,
            responses.ClientGoneError,
        ):
            log.info('client disconnected', extra={'request': id, 'status': self._client.status})
            self._client.abort()
        except Exception:
            # After an internal error, don't let the client wait for a response that can't come.
            log.exception('request failed with an internal error', extra={'request': id})
            self._client.abort()
        finally:
            owner.last_active_at = clocks.now()
            owner.counters.answer_seconds.observe(
                {'status': str(self._client.status)}, clocks.now() - self._arrived_at
            )

    async def _answer(self) -> None:
        admitted = self._admit()
        if isinstance(admitted, requests.Admitted):
            self._run = self._owner.forwarder.begin(admitted, self._client)
            await self._run.run()
            return
        id = self._client_request.id if self._client_request else ''
        self._owner.counters.refusals.inc({'code': admitted.reason, 'outcome': 'not_run'})
        await responses.write_refusal(self._client, admitted, self._owner.wire.id_header, id)

    def _admit(self) -> requests.Admitted | responses.Refusal:
        """Return the request with its route and account, or why it is refused."""
        if self._refusal is not None:
            return self._refusal
        client_request = self._client_request
        assert client_request is not None
        if not self._owner.accepts_requests():
            message = 'this process stops'
            return responses.Refusal(503, 'stopping', message, forwarding.RETRY_AFTER_STOPPING)
        table = self._owner.registry_state.table
        if table is None:
            return _refuse_temporarily('no configuration is known yet')
        if len(self._body) > table.configuration.max_body:
            return responses.Refusal(413, 'body_too_large', 'the body is too large')
        route = table.find_route(client_request.host, client_request.path)
        if route is None:
            return self._refuse_unknown(
                404, 'no_route', f'no route for {client_request.host}{client_request.path}'
            )
        account = None
        if table.configuration.has_accounts and not route.public:
            account = table.find_account(client_request.key) if client_request.key else None
            if account is None:
                return self._refuse_unknown(401, 'unknown_key', 'the key is missing or unknown')
        body = bytes(self._body)
        # Holds no second copy; the body counts as buffered until the request ends.
        self._body = bytearray()
        return requests.Admitted(client_request, route, account, body, self._arrived_at)

    def _refuse_unknown(self, status: int, reason: str, message: str) -> responses.Refusal:
        """Refuse for good only if no newer configuration can say otherwise."""
        age = self._owner.registry_state.freshness.compute_revocation_age(clocks.now())
        if age > FINAL_REFUSAL_AGE_MAX:
            return _refuse_temporarily(f'{message}, by a configuration proved {age:.1f} s ago')
        return responses.Refusal(status, reason, message)


def _refuse_temporarily(message: str) -> responses.Refusal:
    return responses.Refusal(503, 'not_known_yet', message, RETRY_AFTER_NOT_READY)
