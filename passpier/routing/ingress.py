"""The port of the clients: reads requests, checks them against the configuration, has them run."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

import tornado.http1connection
import tornado.httpserver
import tornado.httputil
import tornado.iostream

from passpier import clocks
from passpier.core import rates
from passpier.daemon import metrics
from passpier.routing import answering, clients, dialect, forwarding, knowledge, requests

log = logging.getLogger(__name__)

HEAD_MAX = 64 * 1024
"""Bytes of a request's head that are read at all."""

BODY_MAX = 16 * 1024 * 1024
"""Bytes of a body that are read at all; the configuration's limit is checked below it."""

REST_MAX = 60.0
"""Seconds for which a client's connection may rest."""

RETRY_AFTER_UNKNOWING = 0.3
"""Seconds after which a client should come back to a daemon that knows too little yet."""

END_SECONDS = 0.2
"""Seconds in which the last answers of a stopping process have to be out."""

SURE_AGE = 3.5
"""Seconds of age up to which an unknown key or route is certain enough to be refused for good."""


class HttpClient:
    """Implements `answering.Client` on a connection of tornado's server."""

    def __init__(
        self,
        connection: tornado.http1connection.HTTP1Connection,
        is_last: Callable[[], bool] = lambda: False,
    ) -> None:
        self._connection = connection
        self._is_last = is_last
        self._last = False
        self.started = False
        self.status = 0

    @property
    def gone(self) -> bool:
        """Whether the end of the connection has arrived, also if the event loop has yet to see it.

        A loop that is late reads requests of clients that have given up meanwhile.
        """
        stream = self._connection.stream
        return stream is None or clients.look(stream) is clients.Unread.END

    async def begin(
        self, status: int, reason: str, headers: Sequence[tuple[str, str]], length: int | None
    ) -> None:
        """Send the head; without a length the body comes in chunks."""
        assert not self.started, 'an answer has one head'
        rendered = tornado.httputil.HTTPHeaders()
        for name, value in headers:
            rendered.add(name, value)
        if length is not None:
            rendered['Content-Length'] = str(length)
        self._last = self._is_last()
        if self._last:
            # The process stops. The server itself says so only for requests that it reads now.
            rendered['Connection'] = 'close'
        self.started = True
        self.status = status
        start = tornado.httputil.ResponseStartLine(
            'HTTP/1.1', status, reason or tornado.httputil.responses.get(status, 'Unknown')
        )
        # The head goes out with the first part of the body; its own future says nothing more.
        self._connection.write_headers(start, rendered).add_done_callback(lambda f: f.exception())

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits while the client does not read."""
        if data:
            await self._connection.write(data)

    async def finish(self) -> None:
        """End the answer as complete; returns when its last byte is out.

        A process that stops ends as soon as nothing is under way, and what is still to be written
        would be lost with it.
        """
        stream = self._connection.stream
        self._connection.finish()
        if not stream.closed() and stream.writing():
            await stream.write(b'')
        if self._last:
            stream.close()

    def abort(self) -> None:
        """End the connection, so that the answer cannot look complete."""
        self._connection.close()


class Ingress(tornado.httputil.HTTPServerConnectionDelegate):
    """Takes clients' connections."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        forwarder: forwarding.Forwarder,
        wire: dialect.Dialect,
        counters: metrics.Metrics,
        meter: rates.Meter,
    ) -> None:
        self.meter = meter
        self.known = known
        self.forwarder = forwarder
        self.wire = wire
        self.counters = counters
        self.running: set[_Incoming] = set()
        """Requests that are whole and not answered yet."""

        self.coming: set[_Incoming] = set()
        """Requests of which the head is there, and not yet the whole body."""

        self.takes: Callable[[], bool] = lambda: True
        """Whether new requests are taken: not late in a planned stop."""

        self.stopping = False
        """Whether each answer is the last one on its connection, so that clients go elsewhere."""

        self.active_at = clocks.now()
        """When a request last came or ended."""

        self.clients = clients.Clients()

    @property
    def in_flight(self) -> int:
        """How many requests are under way, those included that are still coming."""
        return len(self.running) + len(self.coming)

    def start_request(
        self,
        server_conn: object,
        request_conn: tornado.httputil.HTTPConnection,
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Begin to read a request."""
        assert isinstance(request_conn, tornado.http1connection.HTTP1Connection)
        self.clients.note_rest(request_conn.stream)
        return _Incoming(self, request_conn)

    async def end_running(self, stopped_at: float) -> None:
        """Have all requests that are still under way answered at once: the process ends."""
        ending = [i.end(stopped_at) for i in list(self.running)]
        if ending:
            await asyncio.wait(ending, timeout=END_SECONDS)

    def build_server(self) -> tornado.httpserver.HTTPServer:
        """Return the server of the clients' port."""
        return tornado.httpserver.HTTPServer(
            self,
            max_header_size=HEAD_MAX,
            max_body_size=BODY_MAX,
            max_buffer_size=BODY_MAX + HEAD_MAX,
            idle_connection_timeout=REST_MAX,
        )


class _Incoming(tornado.httputil.HTTPMessageDelegate):
    """One request while it is read and answered."""

    def __init__(self, owner: Ingress, connection: tornado.http1connection.HTTP1Connection) -> None:
        self._owner = owner
        self._connection = connection
        self._client = HttpClient(connection, lambda: owner.stopping)
        self._ask: dialect.Ask | None = None
        self._refusal: answering.Refusal | None = None
        self._body = bytearray()
        self._arrived_at = 0.0
        self._work: asyncio.Task[None] | None = None
        self._run: forwarding.RequestRun | None = None

    def headers_received(
        self,
        start_line: tornado.httputil.RequestStartLine | tornado.httputil.ResponseStartLine,
        headers: tornado.httputil.HTTPHeaders,
    ) -> None:
        """Take the head."""
        self._arrived_at = clocks.now()
        self._owner.clients.note_request(self._connection.stream)
        self._owner.coming.add(self)
        assert isinstance(start_line, tornado.httputil.RequestStartLine)
        try:
            self._ask = self._owner.wire.read_request(start_line, headers)
        except ValueError as error:
            self._refusal = answering.Refusal(400, 'bad_request', str(error))

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Answer: the request is whole."""
        self._owner.coming.discard(self)
        self._connection.set_close_callback(self._note_gone)
        running = self._owner.running
        running.add(self)
        self._work = asyncio.ensure_future(self._serve())
        self._work.add_done_callback(lambda _: running.discard(self))

    def on_connection_close(self) -> None:
        """Note that the client left before its request was whole."""
        self._owner.coming.discard(self)
        id = self._ask.id if self._ask else ''
        log.info('client left while sending', extra={'request': id, 'bytes': len(self._body)})

    def end(self, stopped_at: float) -> asyncio.Task[None]:
        """Have the request answered now, and return what does it; the signal came `stopped_at`."""
        run = self._run
        log.warning(
            'request ended by the stop',
            extra={
                'request': self._ask.id if self._ask else '',
                'taken_after_signal': round(self._arrived_at - stopped_at, 3),
                'answer_begun': self._client.started,
                'upstream': run.upstream if run else '',
                'sent': bool(run and run.sent),
                'time_left': round(run.ends_at - clocks.now(), 3) if run else 0.0,
            },
        )
        assert self._work is not None, 'what is under way has a task'
        if run is not None and not run.final:
            run.mark_stopping()
            self._work.cancel()
        return self._work

    def _note_gone(self) -> None:
        if self._work is None or self._work.done():
            return
        if self._run is not None and self._run.must_complete:
            log.info('left to its end, client gone', extra={'request': self._run.id})
            return
        self._work.cancel()

    async def _serve(self) -> None:
        owner = self._owner
        owner.meter.note()
        owner.active_at = clocks.now()
        id = self._ask.id if self._ask else ''
        try:
            await self._answer()
        except (
            asyncio.CancelledError,
            tornado.iostream.StreamClosedError,
            answering.ClientGoneError,
        ):
            log.info('client gone', extra={'request': id, 'status': self._client.status})
            self._client.abort()
        except Exception:
            # Whatever went wrong here, the client must not wait for an answer that cannot come.
            log.exception('request failed inside', extra={'request': id})
            self._client.abort()
        finally:
            owner.active_at = clocks.now()
            owner.counters.answer_seconds.observe(
                {'status': str(self._client.status)}, clocks.now() - self._arrived_at
            )

    async def _answer(self) -> None:
        admitted = self._admit()
        if isinstance(admitted, requests.Admitted):
            self._run = self._owner.forwarder.begin(admitted, self._client)
            await self._run.run()
            return
        id = self._ask.id if self._ask else ''
        self._owner.counters.refusals.inc({'code': admitted.reason, 'outcome': 'not_run'})
        await answering.write_refusal(self._client, admitted, self._owner.wire.id_header, id)

    def _admit(self) -> requests.Admitted | answering.Refusal:
        """Return the request with its rules, or why it is refused."""
        if self._refusal is not None:
            return self._refusal
        ask = self._ask
        assert ask is not None
        if not self._owner.takes():
            message = 'this process stops'
            return answering.Refusal(503, 'stopping', message, forwarding.RETRY_AFTER_STOPPING)
        table = self._owner.known.table
        if table is None:
            return _refuse_for_now('no configuration is known yet')
        if len(self._body) > table.configuration.max_body:
            return answering.Refusal(413, 'body_too_large', 'the body is too large')
        route = table.find_route(ask.host, ask.path)
        if route is None:
            return self._refuse_unknown(404, 'no_route', f'no route for {ask.host}{ask.path}')
        account = None
        if table.configuration.has_accounts and not route.public:
            account = table.find_account(ask.key) if ask.key else None
            if account is None:
                return self._refuse_unknown(401, 'unknown_key', 'the key is missing or unknown')
        return requests.Admitted(ask, route, account, bytes(self._body), self._arrived_at)

    def _refuse_unknown(self, status: int, reason: str, message: str) -> answering.Refusal:
        """Refuse for good only if a newer configuration cannot say otherwise."""
        age = self._owner.known.freshness.compute_age(clocks.now())
        if age > SURE_AGE:
            return _refuse_for_now(f'{message}, by a configuration proved {age:.1f} s ago')
        return answering.Refusal(status, reason, message)


def _refuse_for_now(message: str) -> answering.Refusal:
    return answering.Refusal(503, 'not_known_yet', message, RETRY_AFTER_UNKNOWING)
