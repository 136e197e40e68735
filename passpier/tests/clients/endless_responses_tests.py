"""Bytes from an upstream that never end: memory stays bounded and the connection is closed."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator

import pytest
from tornado import iostream

from passpier.clients import connections, engines, exchanges, web
from passpier.core import sse
from passpier.tests.clients import exchanges_tests

BLOCK = 16 * 1024
SENT_MAX = 64 * 1024 * 1024
"""Bytes after which a server gives up: far more than a client may take."""

READ_MAX = exchanges.RESPONSE_MAX + 1024 * 1024
"""Bytes that a client may read before it closes the connection."""

ID_HEADERS = {exchanges_tests.ID: '1'}
PATIENCE = 4.0
LOOP_STALL_MAX = 0.25
"""Seconds for which the event loop may be busy with one upstream."""


def head(id: str, framing: str = 'Transfer-Encoding: chunked') -> bytes:
    return f'HTTP/1.1 200 OK\r\n{exchanges_tests.ID}: {id}\r\n{framing}\r\n\r\n'.encode()


def chunk(data: bytes) -> bytes:
    return b'%x\r\n' % len(data) + data + b'\r\n'


FILLER = b'x' * BLOCK
CASES = {
    'head': (b'HTTP/1.1 200 OK\r\nX: ', FILLER),
    'header lines': (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n' * 2000),
    'informational heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 500),
    'no protocol': (b'', FILLER),
    'body of another response': (head('stranger'), chunk(FILLER)),
    'unframed body of another response': (head('stranger', 'X: y'), FILLER),
    'other responses': (b'', exchanges_tests.render_response('stranger') * 200),
    'chunk extension': (head('1') + b'5;', FILLER),
    'trailers': (head('1') + b'0\r\n', b'X: y\r\n' * 2000),
    'body': (head('1'), chunk(FILLER)),
    'unframed body': (head('1', 'X: y'), FILLER),
}
"""What a server sends first, and then without end."""


class Server:
    """A server that answers each request without end."""

    def __init__(self, first: bytes, more: bytes) -> None:
        self.closed = asyncio.Event()
        self.sent = 0
        self._first = first
        self._more = more

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await exchanges_tests.read_request(reader)
        blocks: Iterator[bytes] = itertools.chain([self._first], itertools.repeat(self._more))
        try:
            while self.sent < SENT_MAX:
                block = next(blocks)
                writer.write(block)
                await writer.drain()
                self.sent += len(block)
        finally:
            self.closed.set()


@pytest.fixture
def read_sizes(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return a list of the numbers of bytes that clients read.

    What a server has sent tells less: megabytes of it may lie in the kernel's buffers.
    """
    sizes: list[int] = []
    read = iostream.IOStream.read_from_fd

    def record(stream: iostream.IOStream, buffer: bytearray | memoryview) -> int | None:
        size = read(stream, buffer)
        sizes.append(size or 0)
        return size

    monkeypatch.setattr(iostream.IOStream, 'read_from_fd', record)
    return sizes


async def measure_stall() -> float:
    """Return the longest time for which the event loop was busy, until cancelled."""
    loop = asyncio.get_running_loop()
    longest = 0.0
    try:
        while True:
            began = loop.time()
            await asyncio.sleep(0)
            longest = max(longest, loop.time() - began)
    except asyncio.CancelledError:
        return longest


# Guards against an upstream that takes a VM's memory or time with bytes that are no response.
@pytest.mark.parametrize('case', CASES)
def test_endless_response_is_given_up(case: str, read_sizes: list[int]) -> None:
    async def check() -> None:
        server = Server(*CASES[case])
        async with exchanges_tests.serving(server.serve) as listening:
            pool = connections.Pool()
            stall = asyncio.ensure_future(measure_stall())
            await asyncio.sleep(0)
            with pytest.raises(exchanges.ExchangeError) as raised:
                await pool.fetch(listening.address, exchanges_tests.make_request(), PATIENCE)
            assert raised.value.fault is exchanges.Fault.MALFORMED
            await asyncio.wait_for(server.closed.wait(), PATIENCE)
            stall.cancel()
            assert await stall < LOOP_STALL_MAX
            assert 0 < sum(read_sizes) < READ_MAX
            assert pool.buffers.used == 0

    exchanges_tests.run(check())


# Guards against an upstream that keeps the event loop busy with a body in very many parts.
@pytest.mark.parametrize('id', ['1', 'stranger'])
def test_chunks_of_one_byte_leave_the_event_loop_to_others(id: str) -> None:
    async def check() -> None:
        server = Server(head(id), chunk(b'x') * 10_000)
        async with exchanges_tests.serving(server.serve) as listening:
            pool = connections.Pool()
            stall = asyncio.ensure_future(measure_stall())
            await asyncio.sleep(0)
            with pytest.raises(exchanges.ExchangeError):
                await pool.fetch(listening.address, exchanges_tests.make_request(), PATIENCE)
            await asyncio.wait_for(server.closed.wait(), PATIENCE)
            stall.cancel()
            assert await stall < LOOP_STALL_MAX
            assert pool.buffers.used == 0

    exchanges_tests.run(check())


def test_body_in_small_chunks_is_read_completely() -> None:
    body = bytes(range(256)) * 40

    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await exchanges_tests.read_request(reader)
        chunks = b''.join(chunk(body[n : n + 1]) for n in range(len(body)))
        writer.write(head('1') + chunks + chunk(b''))
        await reader.read()

    async def check() -> None:
        async with exchanges_tests.serving(handler) as listening:
            pool = connections.Pool()
            request = exchanges_tests.make_request()
            assert (await pool.fetch(listening.address, request, PATIENCE)).body == body

    exchanges_tests.run(check())


# Guards against an upstream whose endless body is kept as a whole until a time-out.
def test_endless_body_is_given_up_by_curl() -> None:
    async def check() -> None:
        server = Server(head('1'), chunk(FILLER))
        async with exchanges_tests.serving(server.serve) as listening:
            client = web.Client()
            url = f'http://{listening.address}/'
            with pytest.raises(web.ExchangeError, match='too long'):
                await client.fetch('GET', url, headers=ID_HEADERS, timeout=PATIENCE)
            await asyncio.wait_for(server.closed.wait(), PATIENCE)
            assert server.sent < SENT_MAX
            client.close()

    exchanges_tests.run(check())


# Guards against an engine that takes a daemon's memory or time with one event or very many.
@pytest.mark.parametrize('sort', ['event', 'chunks of one byte', 'blank events'])
def test_endless_events_of_an_engine_leave_the_event_loop_to_others(sort: str) -> None:
    bodies = {
        'event': chunk(FILLER),
        'chunks of one byte': chunk(b'x') * 10_000,
        'blank events': chunk(b'\n' * BLOCK),
    }

    async def read_events(address: str) -> None:
        client = web.Client()
        exchange = client.open('GET', f'http://{address}/', headers=ID_HEADERS)
        try:
            async for _ in engines.read_events(exchange):
                pass
        finally:
            exchange.abort()
            client.close()

    async def check() -> None:
        server = Server(head('1'), bodies[sort])
        async with exchanges_tests.serving(server.serve) as listening:
            stall = asyncio.ensure_future(measure_stall())
            await asyncio.sleep(0)
            with pytest.raises((web.ExchangeError, TimeoutError)):
                await asyncio.wait_for(read_events(listening.address), PATIENCE)
            stall.cancel()
            assert await stall < LOOP_STALL_MAX

    exchanges_tests.run(check())


# Guards against an event that takes a VM's memory, and time that grows with its square.
@pytest.mark.parametrize('part', [b'x' * 100, b'data: x\n', b'id: 1\r\n'])
def test_endless_event_is_given_up(part: bytes) -> None:
    splitter = sse.EventSplitter()
    with pytest.raises(sse.OverlongEventError):
        for _ in range(SENT_MAX // len(part)):
            splitter.feed(part)
