"""A replica that repeats its response to an earlier call where that to the next one is due."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Iterator

import pytest

from passpier.clients import connections, exchanges
from passpier.platform import dialect, names
from passpier.routing import dialect as routing
from passpier.tests.clients import exchanges_tests

REPORT = {
    'stage': 'both',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'utilization': False,
    'sequence': 0,
    'queued': 0,
    'active': 0,
}
EVENTS: dict[str, object] = {'boot_epoch': 1, 'next_token': 1, 'lost': False, 'events': []}
ORDER = routing.WeightOrder('i-1', 'm', 2, 'vm-0', 1, 0)


class Replica:
    """Answers each call, after it has repeated its answer to the one before on the connection.

    As replicas do, it returns the ids of requests only.
    """

    def __init__(self, statuses: Iterator[int]) -> None:
        self.statuses = statuses

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        late = b''
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            start, *lines = head.strip().split('\r\n')
            headers = {n.lower(): v for n, v in (line.split(': ', 1) for line in lines)}
            await reader.readexactly(int(headers.get('content-length', 0)))
            own = self._render(start.split(' ')[1], headers.get(names.REQUEST_ID.lower()))
            writer.write(late + own)
            late = own

    def _render(self, target: str, id: str | None) -> bytes:
        content = EVENTS if target.startswith(names.CACHE_EVENTS_PATH) else REPORT
        body = json.dumps(content).encode()
        echo = f'{names.REQUEST_ID}: {id}\r\n' if id is not None else ''
        head = f'HTTP/1.1 {next(self.statuses)} S\r\n{echo}Content-Length: {len(body)}\r\n\r\n'
        return head.encode() + body


def build_client_request(id: str, once: bool) -> exchanges.Request:
    headers = [('Host', 'h'), (names.REQUEST_ID, id)]
    return exchanges.Request('POST', '/x', headers, b'x', names.REQUEST_ID, id, once=once)


async def send(pool: connections.Pool, address: str, id: str, once: bool = True) -> int:
    return (await pool.fetch(address, build_client_request(id, once), 2.0)).head.status


# Guards against an order that is taken for accepted by the late response to another call.
@pytest.mark.parametrize('other', ['report', 'request', 'order'])
def test_late_response_to_another_call_is_not_the_response_to_an_order(other: str) -> None:
    async def check() -> None:
        replica = Replica(itertools.chain([200], itertools.repeat(409)))
        async with exchanges_tests.serving(replica.serve) as listening:
            pool = connections.Pool()
            engines = dialect.Engines(pool)
            if other == 'report':
                await engines.report(listening.address, '')
            elif other == 'request':
                await send(pool, listening.address, 'one')
            else:
                await engines.order(listening.address, ORDER, lambda: True)
            result = await engines.order(listening.address, ORDER, lambda: True)
            assert result is routing.OrderResult.BUSY

    exchanges_tests.run(check())


# Guards against a replica that is taken for another one by its late answer to a request.
def test_late_response_to_a_request_is_not_a_report_or_a_list_of_events() -> None:
    async def check() -> None:
        replica = Replica(itertools.cycle([421, 200]))
        async with exchanges_tests.serving(replica.serve) as listening:
            pool = connections.Pool()
            engines = dialect.Engines(pool)
            assert await send(pool, listening.address, 'one') == 421
            assert (await engines.report(listening.address, 'i-1')).versions == {'m': 1}
            assert await send(pool, listening.address, 'two') == 421
            assert (await engines.read_cache_changes(listening.address, 1, 0.1)).epoch == 1

    exchanges_tests.run(check())


# Guards against a late response to an order that is taken for a report.
def test_late_response_to_an_order_is_not_a_report() -> None:
    async def check() -> None:
        replica = Replica(itertools.chain([421], itertools.repeat(200)))
        async with exchanges_tests.serving(replica.serve) as listening:
            engines = dialect.Engines(connections.Pool())
            first = await engines.order(listening.address, ORDER, lambda: True)
            assert first is routing.OrderResult.REPLACED
            assert (await engines.report(listening.address, 'i-1')).versions == {'m': 1}

    exchanges_tests.run(check())


# Guards against a late response to a request that is taken for that to another one with its id.
@pytest.mark.parametrize('once', [True, False])
def test_late_response_is_not_that_to_a_request_with_the_same_id(once: bool) -> None:
    async def check() -> None:
        replica = Replica(itertools.chain([503], itertools.repeat(200)))
        async with exchanges_tests.serving(replica.serve) as listening:
            pool = connections.Pool()
            assert await send(pool, listening.address, 'one', once) == 503
            assert await send(pool, listening.address, 'one', once) == 200

    exchanges_tests.run(check())
