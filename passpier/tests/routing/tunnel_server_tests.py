"""Tunnels through a process on loopback: who may open them, where to, and how they end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
import tornado.iostream
import tornado.netutil

from passpier import clocks
from passpier.clients import connections, exchanges
from passpier.core import catalogue, members, routes
from passpier.routing import pools, tunnel_server
from passpier.standins.platform import proxy
from passpier.tests.clients import exchanges_tests

MOST = 2

RETRANSMISSION_SECONDS = 2.0
"""Seconds in which the kernel sends again, several times, what has not been acknowledged."""

Check = Callable[['Tunneling'], Awaitable[None]]


class Tunneling:
    """A tunnel server on loopback, with one replica that it knows."""

    def __init__(self, replica: str, member_ip: str = '127.0.0.1') -> None:
        now = clocks.now()
        own = members.Member('vm-0', 'i0', '127.0.0.1', 1, 2, 'd0')
        self.membership = members.Membership(own, 0.5, now)
        self.pools = pools.Pools(10.0)
        self.pools.apply_configuration(
            routes.Configuration(1, services={'s': routes.Service('s', 100)})
        )
        entry = catalogue.Entry('r1', 's', replica, 'd0', 8, False, {})
        self.pools.apply_change(catalogue.Change('r1', entry, 'recorded'))
        self.dialled = connections.Pool()
        self.server = tunnel_server.TunnelServer(
            self.membership, self.pools, self.dialled.dial, MOST
        )
        if member_ip != '127.0.0.1':
            # Leaves no member with the address that requests come from.
            known = members.Member('vm-0', 'i0', member_ip, 1, 2, 'd0')
            self.server._membership = members.Membership(known, 0.5, now)
        sockets = tornado.netutil.bind_sockets(0, '127.0.0.1', family=socket.AF_INET)
        self.proxy = f'127.0.0.1:{sockets[0].getsockname()[1]}'
        self.listening = self.server.build_server()
        self.listening.add_sockets(sockets)
        self.pool = connections.Pool()
        self.replica = replica

    async def fetch(self, address: str = '', id: str = '1') -> bytes:
        request = exchanges_tests.make_request(id)
        response = await self.pool.fetch(address or self.replica, request, 2.0, self.proxy)
        return response.body

    async def open(self, id: str = '1') -> exchanges.Exchange:
        request = exchanges_tests.make_request(id)
        return await self.pool.open(self.replica, request, self.proxy)

    def close(self) -> None:
        self.pool.close()
        self.server.close()
        self.listening.stop()


def run_check(handler: exchanges_tests.Handler, check: Check, member_ip: str = '127.0.0.1') -> None:
    @contextlib.asynccontextmanager
    async def tunneling() -> AsyncIterator[Tunneling]:
        async with exchanges_tests.serving(handler) as replica:
            opened = Tunneling(replica.address, member_ip)
            try:
                yield opened
            finally:
                opened.close()

    async def run() -> None:
        async with tunneling() as opened:
            await check(opened)

    asyncio.run(asyncio.wait_for(run(), 10))


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while True:
        id = await exchanges_tests.read_request(reader)
        writer.write(exchanges_tests.render_response(id, f'for {id}'.encode()))


def test_requests_share_a_tunnel_like_a_direct_connection() -> None:
    async def check(opened: Tunneling) -> None:
        assert [await opened.fetch(id=id) for id in '123'] == [b'for 1', b'for 2', b'for 3']
        assert opened.pool.opened == 1

    run_check(answer, check)


def test_only_known_replicas_are_connected_to() -> None:
    async def check(opened: Tunneling) -> None:
        async with exchanges_tests.serving(answer) as other:
            with pytest.raises(exchanges.ExchangeError, match='403') as caught:
                await opened.fetch(other.address)
            assert not caught.value.sent
            assert other.connections == 0

    run_check(answer, check)


def test_only_members_may_open_tunnels() -> None:
    async def check(opened: Tunneling) -> None:
        with pytest.raises(exchanges.ExchangeError, match='403'):
            await opened.fetch()

    run_check(answer, check, member_ip='10.0.0.9')


def test_a_process_without_a_direct_path_opens_no_tunnel() -> None:
    async def check(opened: Tunneling) -> None:
        opened.server.is_direct = lambda address: False
        with pytest.raises(exchanges.ExchangeError, match='502'):
            await opened.fetch()

    run_check(answer, check)


def test_the_number_of_tunnels_is_bounded() -> None:
    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def check(opened: Tunneling) -> None:
        held = [await opened.open(str(number)) for number in range(MOST)]
        with pytest.raises(exchanges.ExchangeError, match='503'):
            await opened.open('more')
        held[0].close()
        while len(opened.server._tunnels) == MOST:
            await asyncio.sleep(0.01)
        await opened.open('again')

    run_check(hold, check)


def test_a_request_that_waits_for_its_response_keeps_the_tunnel_busy() -> None:
    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await exchanges_tests.read_request(reader)
        await asyncio.sleep(0.2)
        writer.write(exchanges_tests.render_response('1'))
        await reader.read()

    async def check(opened: Tunneling) -> None:
        exchange = await opened.open()
        await asyncio.sleep(0.1)
        (tunnel,) = opened.server._tunnels
        assert tunnel.is_busy(clocks.now() + 10.0)
        await exchange.read_all()
        assert not tunnel.is_busy(clocks.now() + 10.0)

    run_check(hold, check)


def test_a_client_that_leaves_is_noticed_by_the_replica_at_once() -> None:
    left = asyncio.Event()

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await exchanges_tests.read_request(reader)
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        left.set()

    async def check(opened: Tunneling) -> None:
        exchange = await opened.open()
        await asyncio.sleep(0.05)
        exchange.close()
        async with asyncio.timeout(0.5):
            await left.wait()

    run_check(hold, check)


# Guards against a request that is given up and arrives by its tunnel once a lost link is back.
def test_request_that_is_given_up_never_arrives_by_a_tunnel() -> None:
    arrived: list[str] = []
    accepted: list[socket.socket] = []

    async def note(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.append(writer.get_extra_info('socket'))
        while True:
            arrived.append(await exchanges_tests.read_request(reader))
            writer.write(exchanges_tests.render_response(arrived[-1]))

    async def check(opened: Tunneling) -> None:
        await opened.fetch(id='1')
        proxy.drop_packets(accepted[0])
        exchange = await opened.open('2')
        await asyncio.sleep(0.1)
        exchange.close()
        await asyncio.sleep(0.1)
        proxy.accept_packets(accepted[0])
        await asyncio.sleep(RETRANSMISSION_SECONDS)
        assert arrived == ['1']

    run_check(note, check)


BEGUN = b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nhalf of '


def test_a_response_without_length_ends_with_its_connection() -> None:
    async def end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await exchanges_tests.read_request(reader)
        writer.write(BEGUN + b'it' * 100_000)
        await writer.drain()

    async def check(opened: Tunneling) -> None:
        assert await opened.fetch() == b'half of ' + b'it' * 100_000

    run_check(end, check)


def test_a_reset_in_a_response_without_length_does_not_look_like_its_end() -> None:
    async def break_off(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await exchanges_tests.read_request(reader)
        writer.write(BEGUN)
        await asyncio.sleep(0.05)
        exchanges_tests.reset(writer)

    async def check(opened: Tunneling) -> None:
        with pytest.raises(exchanges.ExchangeError):
            await opened.fetch()

    run_check(break_off, check)


def test_a_process_that_ends_does_not_complete_a_response_without_length() -> None:
    """The kernel closes the sockets of a process that is killed as `close` does."""

    async def pause(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await exchanges_tests.read_request(reader)
        writer.write(BEGUN)
        await reader.read()

    async def check(opened: Tunneling) -> None:
        exchange = await opened.open()
        await exchange.read()
        opened.server.close()
        with pytest.raises(exchanges.ExchangeError):
            await exchange.read()

    run_check(pause, check)


def test_a_replica_that_refuses_connections_fails_the_tunnel_before_anything_is_sent() -> None:
    async def check(opened: Tunneling) -> None:
        async def refuse(address: str) -> tornado.iostream.IOStream:
            raise ConnectionRefusedError('refused')

        opened.server._dial = refuse
        with pytest.raises(exchanges.ExchangeError, match='502') as caught:
            await opened.fetch()
        assert not caught.value.sent

    run_check(answer, check)


def test_bytes_of_a_response_are_not_buffered_without_bound() -> None:
    """A client that does not read holds the replica up, through the tunnel as well."""
    sent = 0

    async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await exchanges_tests.read_request(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1000000000\r\n\r\n')
        while True:
            writer.write(bytes(100_000))
            await writer.drain()
            sent += 100_000

    async def check(opened: Tunneling) -> None:
        await opened.open()
        before = -1
        while before != sent:
            before = sent
            await asyncio.sleep(0.3)
        assert sent < 50_000_000

    run_check(send, check)


def test_requests_with_other_methods_are_refused() -> None:
    async def check(opened: Tunneling) -> None:
        request = exchanges.Request('GET', '/x', [('Host', 'h')])
        response = await opened.pool.fetch(opened.proxy, request, 2.0)
        assert response.head.status == 403

    run_check(answer, check)
