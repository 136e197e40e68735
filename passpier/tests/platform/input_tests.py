"""Invalid input from clients: malformed, forged, too large or incomplete requests."""

from __future__ import annotations

import asyncio

import pytest

from passpier.daemon import messages
from passpier.platform import names
from passpier.standins.platform import deployment
from passpier.tests.platform import harness


def make_head(*lines: str, id: str = 'one') -> bytes:
    head = [
        'POST /safe/x HTTP/1.1',
        f'Host: {deployment.HOST}',
        f'{names.REQUEST_ID}: {id}',
        f'{names.AUTHORIZATION}: {names.AUTHORIZATION_SCHEME}{deployment.KEY}',
        f'{names.DEADLINE}: 1000',
        *lines,
    ]
    return ('\r\n'.join(head) + '\r\n\r\n').encode()


async def send(running: deployment.Deployment, data: bytes, wait: float = 1.0) -> bytes:
    """Send bytes on a new connection; return what is received until it closes or `wait` is over."""
    host, _, port = running.routers[0].options.caller.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b''
    try:
        writer.write(data)
        async with asyncio.timeout(wait):
            while part := await reader.read(65536):
                received += part
                if b'\r\n\r\n' in received and received.rstrip().endswith((b'}', b'5', b'3', b'0')):
                    break
    except (TimeoutError, ConnectionError):
        return received
    finally:
        writer.close()
    return received


def count_runs(running: deployment.Deployment) -> int:
    return sum(len(r.runs) for r in running.replicas.values())


def test_chunked_body_is_forwarded_completely() -> None:
    async def check(running: deployment.Deployment) -> None:
        data = make_head('Transfer-Encoding: chunked') + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        received = await send(running, data)
        assert received.startswith(b'HTTP/1.1 200')
        assert received.endswith(b'POST /safe/x 5')

    harness.run_check(check)


def test_request_without_length_has_no_body() -> None:
    async def check(running: deployment.Deployment) -> None:
        received = await send(running, make_head())
        assert received.endswith(b'POST /safe/x 0')

    harness.run_check(check)


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
def test_invalid_framing_runs_nothing(data: bytes) -> None:
    async def check(running: deployment.Deployment) -> None:
        received = await send(running, data, 0.4)
        assert not received or received.startswith(b'HTTP/1.1 4')
        assert count_runs(running) == 0
        assert (await running.ask('/safe/x')).status == 200

    harness.run_check(check)


@pytest.mark.parametrize(
    'lines',
    [
        (f'{names.DEADLINE}: soon',),
        (f'{names.MODEL}: m', f'{names.PREFIX_HASHES}: aa:many'),
        (f'{names.MODEL}: m', f'{names.TOKEN_USAGE}: 5,x'),
    ],
)
def test_invalid_headers_get_status_400(lines: tuple[str, ...]) -> None:
    async def check(running: deployment.Deployment) -> None:
        head = make_head(*lines, 'Content-Length: 0').replace(
            f'{names.DEADLINE}: 1000\r\n'.encode(), b''
        )
        received = await send(running, head)
        assert received.startswith(b'HTTP/1.1 400')
        assert count_runs(running) == 0

    harness.run_check(check)


def test_request_without_id_gets_status_400() -> None:
    async def check(running: deployment.Deployment) -> None:
        head = make_head('Content-Length: 0').replace(f'{names.REQUEST_ID}: one\r\n'.encode(), b'')
        assert (await send(running, head)).startswith(b'HTTP/1.1 400')

    harness.run_check(check)


def test_incomplete_request_leaves_no_state() -> None:
    async def check(running: deployment.Deployment) -> None:
        for data in (make_head()[:40], make_head('Content-Length: 10') + b'abc'):
            await send(running, data, 0.1)
        await asyncio.sleep(0.1)
        assert count_runs(running) == 0
        assert running.routers[0].ingress.in_flight == 0

    harness.run_check(check)


def test_pipelined_requests_get_their_own_responses() -> None:
    async def check(running: deployment.Deployment) -> None:
        first = make_head('Content-Length: 1', id='first') + b'a'
        second = make_head('Content-Length: 2', id='second') + b'bb'
        received = await send(running, first + second, 0.5)
        assert len(running.list_runs('first')) == len(running.list_runs('second')) == 1
        assert received.index(b'first') < received.index(b'second')

    harness.run_check(check)


# Guards against a number in a client's header that ends the process once its load is told to peers.
@pytest.mark.parametrize('tokens', [2**31 + 1, 2**64, 10**30, -1])
@pytest.mark.parametrize('header', [names.PREFIX_HASHES, names.TOKEN_USAGE])
def test_token_count_out_of_range_is_refused(header: str, tokens: int) -> None:
    async def check(running: deployment.Deployment) -> None:
        running.add_router('vm-1', 'zone-1')
        await running.wait_ready()
        value = {names.PREFIX_HASHES: f'aa:{tokens}', names.TOKEN_USAGE: f'{tokens},1'}[header]
        headers = [(n, v) for n, v in harness.PROMPT_HEADERS if n != header] + [(header, value)]
        reply = await running.ask('/stream/x', headers=headers)
        assert reply.status == 400
        await asyncio.sleep(0.3)
        assert (await running.ask('/stream/x', headers=harness.PROMPT_HEADERS)).status == 200

    harness.run_check(check)


def test_number_that_cannot_be_encoded_is_not_sent_to_peers() -> None:
    """Guards against ending a background task, and with it the process."""

    async def check(running: deployment.Deployment) -> None:
        link = running.routers[0].peers
        link.send('127.0.0.1:1', messages.WeightsLoaded('llm-0', 1, 2**64))

    harness.run_check(check)
