"""How much is buffered for clients that read slowly or not at all, on real connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import tornado.iostream

from passpier.clients import connections, exchanges
from passpier.tests.clients import exchanges_tests

STREAM_MAX = 256 * 1024
"""Bytes of a stream that may be buffered between a replica and its client."""


async def send_for_ever(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(f'HTTP/1.1 200 OK\r\n{exchanges_tests.ID}: 1\r\n\r\n'.encode())
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            writer.write(b'x' * 65536)
            await writer.drain()


def measure(exchange: exchanges.Exchange) -> int:
    """Return the bytes of a response that are buffered in this process."""
    stream = exchange._connection.stream
    return len(exchange._unread) + stream._read_buffer_size


async def settle(opened: list[exchanges.Exchange]) -> None:
    """Wait until no exchange buffers any more bytes than before."""
    before = -1
    while (total := sum(measure(e) for e in opened)) != before:
        before = total
        await asyncio.sleep(0.2)


def test_a_stream_buffers_at_most_256_kb_for_a_client_that_does_not_read() -> None:
    """Guards against hundreds of slow readers at a VM of 128 MB that hold 512 KB each."""

    async def run() -> None:
        pool = connections.Pool()
        async with exchanges_tests.serving(send_for_ever) as server:
            exchange = await pool.open(server.address, exchanges_tests.make_request())
            await settle([exchange])
            assert 0 < measure(exchange) <= STREAM_MAX
            assert pool.buffers.used == len(exchange._unread)
            for _ in range(100):
                assert await exchange.read()
            exchange.close()
            assert pool.buffers.used == 0

    asyncio.run(asyncio.wait_for(run(), 20))


def test_above_the_limit_streams_of_slow_readers_buffer_one_part_each() -> None:
    """Guards against 256 slow readers that take more than a VM of 128 MB has."""
    count = 256

    async def run() -> None:
        pool = connections.Pool()
        pool.buffers.configure(128)
        assert pool.buffers.limit == 32 * 2**20
        async with exchanges_tests.serving(send_for_ever) as server:
            request = exchanges_tests.make_request()
            opened = [await pool.open(server.address, request) for _ in range(count)]
            await settle(opened)
            assert pool.buffers.is_full
            assert pool.buffers.used <= pool.buffers.limit + count * connections.READ_SIZE
            # Each one still gets its response.
            for exchange in opened:
                for _ in range(5):
                    assert await asyncio.wait_for(exchange.read(), 5)
            for exchange in opened:
                exchange.close()
            assert pool.buffers.used == 0

    asyncio.run(asyncio.wait_for(run(), 40))


def test_a_request_body_counts_until_the_replica_has_read_it() -> None:
    """Guards against bodies for a slow replica that no limit takes into account."""
    size = 16 * 2**20

    async def run() -> None:
        pool = connections.Pool()
        reads = asyncio.Event()

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reads.wait()
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(size)
            writer.write(exchanges_tests.render_response('1'))

        async with exchanges_tests.serving(answer) as server:
            request = exchanges_tests.make_request(body=b'x' * size)
            exchange = await pool.open(server.address, request)
            await asyncio.sleep(0.2)
            assert pool.buffers.used > size
            reads.set()
            assert (await exchange.read_all()).body == b'ok'
            assert pool.buffers.used == 0
            reads.clear()
            exchange = await pool.open(server.address, request)
            exchange.close()
            await asyncio.sleep(0.1)
            assert pool.buffers.used == 0

    asyncio.run(asyncio.wait_for(run(), 20))


def test_the_kernel_disconnects_a_client_that_reads_nothing_for_5_s() -> None:
    """Guards against a client that stops reading and occupies its replica until its deadline.

    Once the client's receive window is closed, its kernel acknowledges no more bytes, so the
    unacknowledged timeout of accepted connections applies.
    """

    async def run() -> None:
        with socket.socket() as listening, socket.socket() as client:
            connections.configure_keepalive(listening)
            listening.bind(('127.0.0.1', 0))
            listening.listen()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(listening.getsockname())
            stream = tornado.iostream.IOStream(listening.accept()[0])
            with contextlib.suppress(tornado.iostream.StreamClosedError):
                await asyncio.wait_for(stream.write(b'x' * 8_000_000), 5.0)
            assert isinstance(stream.error, TimeoutError)

    asyncio.run(run())
