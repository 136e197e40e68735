"""Request bodies at a VM of 128 MB: together they stay within what it may buffer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import cast

import tornado.netutil

from passpier.core import buffer_limits, rates, routes
from passpier.daemon import metrics
from passpier.platform import dialect, names
from passpier.routing import forwarding, ingress, pools, registry_mirror

LARGE = 4 * 2**20


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[tuple[ingress.Ingress, int]]:
    """A clients' port of a VM of 128 MB that knows no routes yet."""
    state = registry_mirror.RegistryState(dialect.Records(), pools.Pools(10.0), 5.0)
    known = ingress.Ingress(
        state,
        cast(forwarding.Forwarder, None),
        dialect.Requests(),
        metrics.Metrics(),
        rates.Meter(0.0),
        buffer_limits.BufferUsage(128),
    )
    server = known.build_server()
    sockets = tornado.netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    yield known, sockets[0].getsockname()[1]
    server.stop()
    await server.close_all_connections()


async def begin_post(port: int, length: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    head = f'POST /x HTTP/1.1\r\nHost: h\r\n{names.REQUEST_ID}: 1\r\nContent-Length: {length}'
    writer.write(f'{head}\r\n\r\n'.encode())
    return reader, writer


async def post(port: int, length: int) -> str:
    """Return the head of the response to a body of some length, in lower case."""
    reader, writer = await begin_post(port, length)
    writer.write(b'x' * length)
    head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return head.decode().lower()


def test_above_the_limit_only_large_bodies_are_refused() -> None:
    """Guards against bodies for slow replicas that take more than a VM of 128 MB has."""

    async def run() -> None:
        async with serving() as (known, port):
            known.buffers.add(32 * 2**20 + 1)
            refused = await post(port, LARGE)
            assert ' 503 ' in refused
            assert 'retry-after: 0.500' in refused
            # Not refused for its size, but as there is no configuration yet.
            assert 'retry-after: 0.300' in await post(port, buffer_limits.SMALL_BODY)
            known.buffers.remove(32 * 2**20 + 1)
            assert 'retry-after: 0.300' in await post(port, LARGE)
            await asyncio.sleep(0.05)
            assert known.buffers.used == 0

    asyncio.run(asyncio.wait_for(run(), 20))


def test_bodies_of_slow_uploads_together_stay_within_the_limit() -> None:
    """Guards against uploads that were all accepted while little of them had arrived."""

    async def run() -> None:
        async with serving() as (known, port):
            opened = [await begin_post(port, LARGE) for _ in range(16)]
            for _, writer in opened:
                writer.write(b'x' * (LARGE - 1))
                await writer.drain()
            await asyncio.sleep(0.2)
            assert known.buffers.limit is not None
            assert 0 < known.buffers.used <= known.buffers.limit + buffer_limits.SMALL_BODY
            # Those that disconnect within their bodies leave nothing behind.
            for _, writer in opened:
                writer.close()
            await asyncio.sleep(0.2)
            assert known.buffers.used == 0

    asyncio.run(asyncio.wait_for(run(), 20))


def test_a_body_above_the_configured_size_is_not_kept() -> None:
    """Guards against bodies of 16 MB that were received as a whole before they were refused."""

    async def run() -> None:
        async with serving() as (known, port):
            known.registry_state.table = routes.Table(routes.Configuration(1, max_body=1000))
            reader, writer = await begin_post(port, LARGE)
            writer.write(b'x' * (LARGE - 1))
            await writer.drain()
            await asyncio.sleep(0.05)
            assert known.buffers.used == 0
            writer.write(b'x')
            assert b' 413 ' in await reader.readline()
            writer.close()

    asyncio.run(asyncio.wait_for(run(), 20))
