"""Responses that are cut short by an orderly close: none may pass for a whole one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from passpier.clients import connections, exchanges, web
from passpier.tests.clients import exchanges_tests

HINTS = b'HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n'
START = f'HTTP/1.1 200 OK\r\n{exchanges_tests.ID}: 1\r\n'.encode()
CHUNKS = b'5\r\nwhole\r\n0\r\n\r\n'
RESPONSES = {
    'length': START + b'Content-Length: 5\r\nX: y\r\n\r\nwhole',
    'chunks': START + b'Transfer-Encoding: chunked\r\nX: y\r\n\r\n' + CHUNKS,
    'no framing': START + b'X: y\r\n\r\n',
    'informational': HINTS + START + b'Content-Length: 0\r\n\r\n',
    'bare line feeds': START.replace(b'\r', b'') + b'Content-Length: 5\nX: y\n\nwhole',
}
"""Responses of which each part but the whole is incomplete."""

PATIENCE = 2.0

Fetch = Callable[[str], Awaitable[bytes]]


async def fetch_by_pool(address: str, pool: connections.Pool | None = None, id: str = '1') -> bytes:
    request = exchanges_tests.make_request(id)
    return (await (pool or connections.Pool()).fetch(address, request, PATIENCE)).body


async def fetch_by_curl(address: str) -> bytes:
    client = web.Client()
    try:
        headers = {exchanges_tests.ID: '1'}
        response = await client.fetch('POST', f'http://{address}/x', b'', headers, PATIENCE)
        return response.body
    finally:
        client.close()


async def find_accepted_cuts(
    response: bytes, before: bytes, fetch: Fetch, is_kept: bool = False
) -> list[bytes]:
    """Return the parts of a response that a client takes for a whole one.

    `before` is sent before each part. With `is_kept`, each comes as the second response on its
    connection.
    """
    sent = b''

    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        id = await exchanges_tests.read_request(reader)
        if is_kept:
            writer.write(exchanges_tests.render_response(id))
            await exchanges_tests.read_request(reader)
        writer.write(before + sent)
        await writer.drain()

    accepted = []
    async with exchanges_tests.serving(handler) as server:
        for length in range(len(response)):
            sent = response[:length]
            try:
                await fetch(server.address)
            except (exchanges.ExchangeError, web.ExchangeError):
                continue
            accepted.append(sent)
    return accepted


# Guards against a head that is cut and passes for a response without a body.
@pytest.mark.parametrize('fetch', [fetch_by_pool, fetch_by_curl])
@pytest.mark.parametrize('sort', RESPONSES)
def test_response_that_is_cut_is_never_whole(sort: str, fetch: Fetch) -> None:
    async def check() -> None:
        assert await find_accepted_cuts(RESPONSES[sort], b'', fetch) == []

    exchanges_tests.run(check())


@pytest.mark.parametrize('sort', RESPONSES)
def test_response_that_is_cut_after_one_to_another_request_is_never_whole(sort: str) -> None:
    async def check() -> None:
        before = exchanges_tests.render_response('stranger')
        assert await find_accepted_cuts(RESPONSES[sort], before, fetch_by_pool) == []

    exchanges_tests.run(check())


@pytest.mark.parametrize('sort', RESPONSES)
def test_response_that_is_cut_on_a_kept_connection_is_never_whole(sort: str) -> None:
    async def fetch_second(address: str) -> bytes:
        pool = connections.Pool()
        assert await fetch_by_pool(address, pool, 'first') == b'ok'
        assert list(pool._idle)
        return await fetch_by_pool(address, pool)

    async def check() -> None:
        assert await find_accepted_cuts(RESPONSES[sort], b'', fetch_second, is_kept=True) == []

    exchanges_tests.run(check())
