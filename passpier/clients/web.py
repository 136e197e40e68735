"""HTTP exchanges over tornado's curl client that tell whether a failed request was sent."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import msgspec
import pycurl
import tornado.curl_httpclient
import tornado.httpclient
import tornado.httputil

from passpier.utils import pacing

MAX_CLIENTS = 4000
"""Concurrent exchanges; more would queue inside the client, where admission control cannot see
them."""

MAX_BUFFERED = 8 * 1024 * 1024
"""Unread bytes of a response beyond which the exchange is aborted."""

RESPONSE_MAX = 16 * 1024 * 1024
"""Maximum size in bytes of a response that is read completely."""

READ_MAX = 16 * 1024
"""Maximum size in bytes of a part of a body that is read at once."""

CONNECT_TIMEOUT = 1.0
"""Seconds."""


class ExchangeError(Exception):
    """An exchange failed; `sent` is false only if nothing can have reached the server."""

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class Head(msgspec.Struct, frozen=True):
    """Status and headers of a response."""

    status: int
    headers: tornado.httputil.HTTPHeaders


class Response(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    headers: tornado.httputil.HTTPHeaders
    body: bytes


class Exchange:
    """One request and its response, which is streamed."""

    def __init__(
        self, client: tornado.curl_httpclient.CurlAsyncHTTPClient, pacer: pacing.Pacer
    ) -> None:
        self.work = pacer.begin()
        """Paces the handling of a response in very many parts."""

        self._client = client
        self._unread = bytearray()
        self._progress = asyncio.Event()
        self._ended = False
        self._head: asyncio.Future[Head] = asyncio.get_running_loop().create_future()
        self._lines: list[str] = []
        self._aborted = False
        self._sent = False
        self._error: ExchangeError | None = None

    def start(self, request: tornado.httpclient.HTTPRequest, reuse: bool) -> None:
        """Send the request. Without `reuse`, it gets a new connection of its own.

        If a reused connection closes before the response, curl retries the request. `_note_sent`
        prevents that; a request that is not idempotent uses a new connection anyway, so that the
        case does not arise.
        """

        def prepare(curl: pycurl.Curl) -> None:
            curl.setopt(pycurl.FRESH_CONNECT, 0 if reuse else 1)
            curl.setopt(pycurl.FORBID_REUSE, 0 if reuse else 1)
            curl.setopt(pycurl.TCP_NODELAY, 1)
            curl.setopt(pycurl.PREREQFUNCTION, self._note_sent)
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(self._aborted))

        request.prepare_curl_callback = prepare
        request.header_callback = self._receive_header_line
        request.streaming_callback = self._receive_part
        future = self._client.fetch(request, raise_error=False)
        future.add_done_callback(self._finish)

    async def read_head(self) -> Head:
        """Wait for the response's status and headers."""
        return await asyncio.shield(self._head)

    async def read(self) -> bytes | None:
        """Return the next part of the body, or none at the end."""
        while not self._unread:
            if self._ended:
                if self._error is not None:
                    raise self._error
                return None
            self._progress.clear()
            await self._progress.wait()
        part = bytes(self._unread[:READ_MAX])
        del self._unread[:READ_MAX]
        return part

    async def read_all(self, max_bytes: int = RESPONSE_MAX) -> Response:
        """Read the complete response; its body may have at most `max_bytes` bytes."""
        head = await self.read_head()
        body = bytearray()
        while (part := await self.read()) is not None:
            body += part
            if len(body) > max_bytes:
                raise ExchangeError('the response is too long', True)
        return Response(head.status, head.headers, bytes(body))

    def abort(self) -> None:
        """Abort the exchange; curl notices it at its next progress callback."""
        self._aborted = True
        if not self._head.done():
            self._head.cancel()

    def _note_sent(self, *_: object) -> int:
        # Called when the connection is established and the request is about to be sent. A second
        # call means that curl retries on its own, which would bypass the retry budget.
        if self._sent:
            return pycurl.PREREQFUNC_ABORT
        self._sent = True
        return pycurl.PREREQFUNC_OK

    def _receive_header_line(self, line: str) -> None:
        if not line.endswith('\n'):
            # The connection was closed within the line. Curl takes the head for complete.
            return
        if line.startswith('HTTP/'):
            self._lines = [line]
        elif line.strip():
            self._lines.append(line)
        elif not self._head.done():
            start = tornado.httputil.parse_response_start_line(self._lines[0].strip())
            headers = tornado.httputil.HTTPHeaders.parse(''.join(self._lines[1:]))
            if start.code >= 200:
                self._head.set_result(Head(start.code, headers))

    def _receive_part(self, part: bytes) -> None:
        if self._aborted:
            return
        self._unread += part
        self._aborted = len(self._unread) > MAX_BUFFERED
        self._progress.set()

    def _finish(self, future: asyncio.Future[tornado.httpclient.HTTPResponse]) -> None:
        if future.cancelled():
            self._error = ExchangeError('cancelled', True)
        elif future.exception() is not None:
            self._error = ExchangeError(str(future.exception()), self._sent)
        if not self._head.done():
            error = self._error or ExchangeError('no answer', True)
            self._head.set_exception(error)
            # Retrieves the exception, because an abandoned exchange has nobody to read the head.
            self._head.exception()
        self._ended = True
        self._progress.set()


class Client:
    """Opens exchanges over one connection pool."""

    def __init__(self) -> None:
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(
            max_clients=MAX_CLIENTS, force_instance=True
        )
        self._pacer = pacing.Pacer()

    def open(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        reuse: bool = True,
    ) -> Exchange:
        """Start an exchange."""
        request = tornado.httpclient.HTTPRequest(
            url,
            method,
            headers=tornado.httputil.HTTPHeaders(headers or {}),
            body=body,
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=0,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        exchange = Exchange(self._client, self._pacer)
        exchange.start(request, reuse)
        return exchange

    async def fetch(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout: float = 5.0,
        reuse: bool = True,
        max_bytes: int = RESPONSE_MAX,
    ) -> Response:
        """Return the complete response within `timeout` seconds.

        Its body may have at most `max_bytes` bytes.
        """
        exchange = self.open(method, url, body, headers, reuse)
        try:
            return await asyncio.wait_for(exchange.read_all(max_bytes), timeout)
        except TimeoutError as error:
            raise ExchangeError('timed out', True) from error
        finally:
            exchange.abort()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
