"""What clients send that is torn, forged, too large or incomplete."""

from __future__ import annotations

import asyncio

import pytest

from passpier.platform import names
from passpier.standins.platform import deployment
from passpier.tests.platform import scenes


def make_head(*lines: str, id: str = 'one') -> bytes:
    head = [
        'POST /safe/x HTTP/1.1',
        f'Host: {deployment.HOST}',
        f'{names.REQUEST_ID}: {id}',
        f'{names.KEY}: {names.KEY_SCHEME}{deployment.KEY}',
        f'{names.DEADLINE}: 1000',
        *lines,
    ]
    return ('\r\n'.join(head) + '\r\n\r\n').encode()


async def send(running: deployment.Deployment, data: bytes, wait: float = 1.0) -> bytes:
    """Send bytes on a connection of their own; return what comes until it ends or rests."""
    host, _, port = running.routers[0].options.caller.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    got = b''
    try:
        writer.write(data)
        async with asyncio.timeout(wait):
            while part := await reader.read(65536):
                got += part
                if b'\r\n\r\n' in got and got.rstrip().endswith((b'}', b'5', b'3', b'0')):
                    break
    except (TimeoutError, ConnectionError):
        return got
    finally:
        writer.close()
    return got


def count_runs(running: deployment.Deployment) -> int:
    return sum(len(r.runs) for r in running.replicas.values())


def test_a_chunked_body_arrives_whole() -> None:
    async def check(running: deployment.Deployment) -> None:
        data = make_head('Transfer-Encoding: chunked') + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        got = await send(running, data)
        assert got.startswith(b'HTTP/1.1 200')
        assert got.endswith(b'POST /safe/x 5')

    scenes.play(check)


def test_a_body_without_length_is_none() -> None:
    async def check(running: deployment.Deployment) -> None:
        got = await send(running, make_head())
        assert got.endswith(b'POST /safe/x 0')

    scenes.play(check)


@pytest.mark.parametrize(
    'data',
    [
        make_head('Content-Length: 3', 'Transfer-Encoding: chunked') + b'0\r\n\r\nGET / HTTP',
        make_head('Content-Length: 3', 'Content-Length: 5') + b'abcde',
        make_head('Content-Length: -1'),
        make_head('Content-Length: 0x3') + b'abc',
        make_head('Transfer-Encoding: chunked') + b'zz\r\nabc\r\n0\r\n\r\n',
        make_head('Transfer-Encoding: gzip, chunked') + b'0\r\n\r\n',
        make_head('Bad Name: x', 'Content-Length: 0'),
        make_head('X-Big: ' + 'x' * 70_000, 'Content-Length: 0'),
        b'no protocol\r\n\r\n',
        b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
    ],
)
def test_forged_framing_runs_nothing(data: bytes) -> None:
    async def check(running: deployment.Deployment) -> None:
        got = await send(running, data, 0.4)
        assert not got or got.startswith(b'HTTP/1.1 4')
        assert count_runs(running) == 0
        assert (await running.ask('/safe/x')).status == 200

    scenes.play(check)


@pytest.mark.parametrize(
    'lines',
    [
        (f'{names.DEADLINE}: soon',),
        (f'{names.MODEL}: m', f'{names.PARTS}: aa:many'),
        (f'{names.MODEL}: m', f'{names.TOKENS}: 5,x'),
    ],
)
def test_headers_that_make_no_sense_are_answered_400(lines: tuple[str, ...]) -> None:
    async def check(running: deployment.Deployment) -> None:
        head = make_head(*lines, 'Content-Length: 0').replace(
            f'{names.DEADLINE}: 1000\r\n'.encode(), b''
        )
        got = await send(running, head)
        assert got.startswith(b'HTTP/1.1 400')
        assert count_runs(running) == 0

    scenes.play(check)


def test_a_request_without_id_is_answered_400() -> None:
    async def check(running: deployment.Deployment) -> None:
        head = make_head('Content-Length: 0').replace(f'{names.REQUEST_ID}: one\r\n'.encode(), b'')
        assert (await send(running, head)).startswith(b'HTTP/1.1 400')

    scenes.play(check)


def test_a_torn_request_leaves_nothing_behind() -> None:
    async def check(running: deployment.Deployment) -> None:
        for data in (make_head()[:40], make_head('Content-Length: 10') + b'abc'):
            await send(running, data, 0.1)
        await asyncio.sleep(0.1)
        assert count_runs(running) == 0
        assert running.routers[0].ingress.in_flight == 0

    scenes.play(check)


def test_two_requests_on_one_connection_get_their_own_answers() -> None:
    async def check(running: deployment.Deployment) -> None:
        first = make_head('Content-Length: 1', id='first') + b'a'
        second = make_head('Content-Length: 2', id='second') + b'bb'
        got = await send(running, first + second, 0.5)
        assert len(running.list_runs('first')) == len(running.list_runs('second')) == 1
        assert got.index(b'first') < got.index(b'second')

    scenes.play(check)
