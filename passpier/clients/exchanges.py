"""HTTP/1.1 exchanges with upstreams over persistent connections.

Built on h11 and tornado's sockets instead of a complete HTTP client, because the router needs to
know what no client exposes: whether any byte of a request was sent, whether a response belongs to
the request, whether it was terminated by its framing or by a reset, and whether unsolicited bytes
arrived. This module never retries a request.
"""

from __future__ import annotations

import asyncio
import enum
import functools
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

import h11
import msgspec
import tornado.iostream

from passpier.core import buffer_limits
from passpier.utils import pacing

log = logging.getLogger(__name__)

BUFFERED_MAX = 128 * 1024
"""Unread bytes of a response body beyond which the socket is no longer read. With what is read at
once and the stream's own buffer, of 64 KB each, at most 256 KB of a response are buffered."""

READ_MAX = 16 * 1024
"""Maximum size in bytes of a part of a body that is read at once."""

LARGE_PART = 256
"""Size in bytes from which the parts of a response are not too small to be parsed unpaced."""

PARSE_BATCH = 64
"""Parts of a response that are parsed before other tasks may run."""

SKIPPED_MAX = 32
"""Maximum number of informational responses and responses to other requests before the response."""

SKIPPED_BYTES_MAX = 1024 * 1024
"""Maximum size in bytes of all that is received before the head of the response."""

RESPONSE_MAX = 4 * 1024 * 1024
"""Maximum size in bytes of a response that is read completely."""


class Fault(enum.Enum):
    """Reasons for which an exchange fails."""

    CONNECT = 'connect'
    """The connection could not be established; nothing was sent."""

    CLOSED = 'closed'
    """The peer closed the connection before the response was complete."""

    TIMED_OUT = 'lost'
    """The connection timed out before the response was complete."""

    REPLACED = 'replaced'
    """Another process responds at the address."""

    WITHHELD = 'withheld'
    """Not sent, because sending was no longer allowed once the connection was established."""

    MALFORMED = 'garbled'
    """The received bytes are not a valid HTTP response."""


class ExchangeError(Exception):
    """An exchange failed; `sent` is false only if nothing can have reached the upstream."""

    def __init__(self, fault: Fault, message: str, sent: bool) -> None:
        super().__init__(message)
        self.fault = fault
        self.sent = sent


class ResponseTooLongError(ExchangeError):
    """A response has more bytes than the caller accepts."""


Headers = Sequence[tuple[str, str]]


class Request(msgspec.Struct, frozen=True):
    """A request; if `id_header` is set, the response must carry `id` in that header.

    With an empty `id` it must carry none. `once` marks a request that is not idempotent.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    id_header: str = ''
    id: str = ''
    once: bool = False
    build_late_headers: Callable[[], Headers] = tuple
    """Returns further headers, right before the first byte is sent."""

    may_send: Callable[[], bool] | None = None
    """Checked right before the first byte is sent: much time may pass while a connection opens."""


class Head(msgspec.Struct, frozen=True):
    """Status and headers of a response; header names are in lower case."""

    status: int
    reason: str
    headers: Headers

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n == wanted), None)


class Response(msgspec.Struct, frozen=True):
    """A complete response."""

    head: Head
    body: bytes


class Connection(Protocol):
    """What an exchange requires of its connection."""

    stream: tornado.iostream.IOStream
    exchange: Exchange | None
    is_path_lost: bool
    """Whether another path to the address has replaced the connection's own."""

    @property
    def address(self) -> str:
        """The address that the connection leads to."""

    @property
    def proxy(self) -> str:
        """The peer through which it leads there; empty if directly."""

    @property
    def has_unacked_data(self) -> bool:
        """Whether the peer has not yet acknowledged all sent bytes."""

    def note_unresponsive(self) -> None:
        """Record that the current exchange has received nothing."""

    def close(self) -> None:
        """Close the connection immediately."""

    def reset(self) -> None:
        """Close the connection; what the peer has not received never arrives."""

    def release(self, head: Head) -> None:
        """Return the connection to its pool; `head` may state its idle timeout."""


class Exchange:
    """One request and its response, which is streamed."""

    def __init__(
        self,
        connection: Connection,
        request: Request,
        buffers: buffer_limits.BufferUsage | None = None,
        pacer: pacing.Pacer | None = None,
    ) -> None:
        self._buffers = buffers or buffer_limits.BufferUsage()
        self._work = (pacer or pacing.Pacer()).begin()
        self._connection = connection
        self._request = request
        self._parser = _start_parser()
        self._head: asyncio.Future[Head] = asyncio.get_running_loop().create_future()
        self._unread = bytearray()
        """What has been received of the body and not been read."""

        self._is_closed = False
        self._progress = asyncio.Event()
        self._drained = asyncio.Event()
        self._ended = False
        self._error: ExchangeError | None = None
        self._is_mismatched = False
        self._skipped = 0
        self._skipped_bytes = 0
        self.received_any = False
        """Whether any bytes have been received."""

        self.ended_by_close = False
        """Whether nothing but the end of the connection tells that the response is complete."""

        connection.exchange = self

    def send(self) -> None:
        """Send the request."""
        headers = [*self._request.headers, *self._request.build_late_headers()]
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
        # The reader detects a closed connection; the error of the write adds nothing to that.
        self._buffers.add(len(data))
        future.add_done_callback(functools.partial(self._note_sent, len(data)))

    def _note_sent(self, size: int, sending: asyncio.Future[None]) -> None:
        self._buffers.remove(size)
        sending.exception()

    @property
    def has_unacked_data(self) -> bool:
        """Whether the request is sent, but the peer's kernel has not acknowledged it."""
        return not self.received_any and self._connection.has_unacked_data

    @property
    def is_unanswered(self) -> bool:
        """Whether the upstream may have the request yet to read.

        It can't any more once it has sent anything or closed the connection. Bytes that its kernel
        has taken are not taken back by a reset.
        """
        is_closed_by_peer = self._error is not None and self._error.fault is not Fault.TIMED_OUT
        return not self.received_any and not is_closed_by_peer

    @property
    def is_path_lost(self) -> bool:
        """Whether another path has replaced the one that the response has to come by."""
        return self._connection.is_path_lost

    def note_unresponsive(self) -> None:
        """Keep other requests off connections that may be as unresponsive as this one."""
        self._connection.note_unresponsive()

    @property
    def connection(self) -> Connection:
        """The connection that the request was sent on."""
        return self._connection

    @property
    def local_port(self) -> int:
        """The local port of the connection, or 0 if it is closed."""
        stream = self._connection.stream
        port: int = 0 if stream.closed() else stream.socket.getsockname()[1]
        return port

    @property
    def is_cut_off(self) -> bool:
        """Whether the response has failed and all of it that arrived has been read."""
        return self._error is not None and not self._unread

    async def read_head(self) -> Head:
        """Wait for the response's status and headers."""
        return await asyncio.shield(self._head)

    async def wait_for_more(self) -> None:
        """Wait until there is more to read, or nothing will follow; raises `ExchangeError`."""
        if not self._head.done():
            await self.read_head()
        else:
            await self._wait_readable()

    async def _wait_readable(self) -> None:
        while not self._unread and not self._ended:
            if self._error is not None:
                raise self._error
            self._progress.clear()
            await self._progress.wait()

    async def read(self) -> bytes | None:
        """Return the next part of the body, or none at the end."""
        await self._wait_readable()
        if not self._unread:
            return None
        part = bytes(self._unread[:READ_MAX])
        del self._unread[:READ_MAX]
        self._count(-len(part))
        self._drained.set()
        return part

    async def read_all(self, max_bytes: int = RESPONSE_MAX) -> Response:
        """Read the complete response; its body may have at most `max_bytes` bytes."""
        head = await self.read_head()
        body = bytearray()
        try:
            while (part := await self.read()) is not None:
                body += part
                self._buffers.add(len(part))
                if len(body) > max_bytes:
                    raise ResponseTooLongError(Fault.MALFORMED, 'the response is too long', True)
        finally:
            self._buffers.remove(len(body))
        return Response(head, bytes(body))

    def close(self) -> None:
        """Abort the exchange; whatever has not been received or sent is discarded.

        A request that is given up must not arrive later, when links are back.
        """
        self._drained.set()
        if not self._is_closed:
            self._is_closed = True
            self._buffers.remove(len(self._unread))
        if self._connection.exchange is self:
            self._connection.exchange = None
            self._connection.reset()
        if not self._head.done():
            self._head.cancel()

    def _count(self, size: int) -> None:
        """Count unread bytes of the body, until the exchange is closed."""
        if not self._is_closed:
            self._buffers.add(size)

    @property
    def _is_behind(self) -> bool:
        """Whether the reader of the body is so far behind that the socket is not to be read."""
        return len(self._unread) > (0 if self._buffers.is_full else BUFFERED_MAX)

    async def feed(self, data: bytes) -> None:
        """Parse received bytes; wait while the reader of the body is far behind."""
        self.received_any = True
        try:
            self._parser.receive_data(data)
            await self._parse_paced(len(data) // LARGE_PART)
            self._check_skipped(len(data))
        except h11.RemoteProtocolError as error:
            self._fail(Fault.MALFORMED, str(error))
        while self._is_behind and self._connection.exchange is self:
            self._drained.clear()
            await self._drained.wait()

    def note_closed(self, error: BaseException | None) -> None:
        """Handle the end of the connection.

        Only an orderly close can complete a response that has no length.
        """
        if self._ended or self._error is not None:
            return
        if error is None:
            try:
                self._parser.receive_data(b'')
                while self._parse() == PARSE_BATCH:
                    pass
                self.ended_by_close = self._ended
            except h11.RemoteProtocolError:
                self._fail(Fault.CLOSED, 'the connection closed before the response was complete')
        if not self._ended:
            closed_by_peer = error is None or isinstance(error, ConnectionError)
            fault = Fault.CLOSED if closed_by_peer else Fault.TIMED_OUT
            self._fail(fault, str(error or 'the connection closed'))

    async def _parse_paced(self, expected: int) -> None:
        """Parse all that has been received, unless the exchange ends meanwhile.

        Parts beyond the number `expected` for its size are paced.
        """
        while self._connection.exchange is self:
            parsed = self._parse()
            if parsed < PARSE_BATCH and self._connection.exchange is not self:
                return
            if await self._work.take(max(0, parsed - expected)):
                self._log_paced()
            if parsed < PARSE_BATCH:
                return
            expected = max(0, expected - parsed)

    def _log_paced(self) -> None:
        fields = {'request': self._request.id, 'address': self._connection.address}
        log.warning('response in very many parts', extra=fields)

    def _parse(self) -> int:
        """Parse the next parts of the response; return their number, at most `PARSE_BATCH`."""
        for parsed in range(PARSE_BATCH):
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return parsed
            if isinstance(event, h11.InformationalResponse):
                self._note_skipped()
            elif isinstance(event, h11.Response):
                self._receive_head(event)
            elif isinstance(event, h11.Data):
                self._receive_part(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                if not self._is_mismatched:
                    self._finish()
                    return parsed
                self._skip_response()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(Fault.CLOSED, 'closed before the response was complete')
                return parsed
        return PARSE_BATCH

    def _receive_head(self, event: h11.Response) -> None:
        headers = [(n.decode('latin-1'), v.decode('latin-1')) for n, v in event.headers]
        head = Head(event.status_code, event.reason.decode('latin-1'), headers)
        header = self._request.id_header
        self._is_mismatched = bool(header) and (head.get(header) or '') != self._request.id
        if not self._is_mismatched and not self._head.done():
            self._head.set_result(head)

    def _note_skipped(self) -> None:
        """Count a response that is not the final response to the request."""
        self._skipped += 1
        if self._skipped > SKIPPED_MAX:
            raise h11.RemoteProtocolError('too many other responses')

    def _check_skipped(self, received: int) -> None:
        """Count received bytes while the head of the response has not arrived."""
        if not self._head.done():
            self._skipped_bytes += received
        if self._skipped_bytes > SKIPPED_BYTES_MAX:
            raise h11.RemoteProtocolError('too many bytes before the response')

    def _receive_part(self, part: bytes) -> None:
        if not self._is_mismatched:
            self._unread += part
            self._count(len(part))
            self._progress.set()

    def _skip_response(self) -> None:
        """Skip the response to another request; ours may follow on the same connection."""
        self._note_skipped()
        log.warning(
            'response to another request dropped',
            extra={'request': self._request.id, 'address': self._connection.address},
        )
        rest, _ = self._parser.trailing_data
        self._parser = _start_parser()
        self._mark_request_sent(self._parser)
        self._is_mismatched = False
        if rest:
            self._parser.receive_data(rest)

    def _mark_request_sent(self, parser: h11.Connection) -> None:
        """Put a new parser into the state after sending a request, without sending anything."""
        headers = [('Host', 'x'), ('Content-Length', '0')]
        parser.send(h11.Request(method=self._request.method, target='/', headers=headers))
        parser.send(h11.EndOfMessage())

    def _finish(self) -> None:
        self._ended = True
        self._progress.set()
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
            self._connection.release(self._head.result())
        else:
            self._connection.close()

    def _fail(self, fault: Fault, message: str) -> None:
        self._error = self._error or ExchangeError(fault, message, True)
        if self._connection.exchange is self:
            self._connection.exchange = None
            self._connection.reset()
        if not self._head.done():
            self._head.set_exception(self._error)
            # Retrieves the exception, because an abandoned exchange has nobody to read the head.
            self._head.exception()
        self._progress.set()


def _start_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=64 * 1024)
