"""A ready router accepts new connections, no matter how many arrive or stay open."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from passpier.standins.platform import deployment
from passpier.tests.platform import client_disconnects_tests, harness

CLIENTS = 600
"""Clients that connect while the event loop is busy, as after a failure domain has lost power."""

MAX_CONNECTIONS = 40
"""Limit of open client connections in the tests that exceed it."""


def test_many_clients_can_connect_while_the_loop_is_busy() -> None:
    async def check(running: deployment.Deployment) -> None:
        host, _, port = running.routers[0].options.caller.rpartition(':')
        with contextlib.ExitStack() as stack:
            # The router shares this thread, so it accepts no connection until all are pending.
            for _ in range(CLIENTS):
                client = stack.enter_context(socket.socket())
                client.settimeout(0.5)
                client.connect((host, int(port)))
            reply = await running.ask('/safe/x')
            assert reply.status == 200

    harness.run_check(check)


def test_idle_connections_are_closed_for_new_ones() -> None:
    async def check(running: deployment.Deployment) -> None:
        clients = running.routers[0].ingress.clients
        clients.max_open = MAX_CONNECTIONS
        harness.set_processing_time(running, 1.0)
        busy = client_disconnects_tests.connect(running)
        busy.setblocking(False)
        busy.sendall(client_disconnects_tests.render('/safe/x', 'one'))
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        with contextlib.ExitStack() as stack:
            idle = [
                stack.enter_context(client_disconnects_tests.connect(running))
                for _ in range(2 * MAX_CONNECTIONS)
            ]
            await harness.wait_for(lambda: len(clients) == MAX_CONNECTIONS)
            # The longest idle connection is closed first; one with a running request stays open.
            idle[0].settimeout(1.0)
            assert await asyncio.to_thread(idle[0].recv, 1) == b''
            loop = asyncio.get_running_loop()
            assert b'200 OK' in await loop.sock_recv(busy, 1000)
            assert (await running.ask('/open/x', key=None)).status == 200

    harness.run_check(check)


def test_closed_connections_do_not_count() -> None:
    async def check(running: deployment.Deployment) -> None:
        clients = running.routers[0].ingress.clients
        clients.max_open = MAX_CONNECTIONS
        for _ in range(4 * MAX_CONNECTIONS):
            client = client_disconnects_tests.connect(running)
            await asyncio.sleep(0.002)
            client.close()
        kept = client_disconnects_tests.connect(running)
        kept.setblocking(False)
        await asyncio.sleep(0.05)
        for _ in range(MAX_CONNECTIONS // 2):
            client_disconnects_tests.connect(running).close()
        await asyncio.sleep(0.05)
        kept.sendall(client_disconnects_tests.render('/open/x', 'one'))
        assert b'200 OK' in await asyncio.get_running_loop().sock_recv(kept, 1000)

    harness.run_check(check)


def test_connection_with_an_unread_request_is_not_idle() -> None:
    """The request has arrived, but the busy event loop has not read it yet."""

    async def check(running: deployment.Deployment) -> None:
        clients = running.routers[0].ingress.clients
        clients.max_open = 2
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(client_disconnects_tests.connect(running))
            stack.enter_context(client_disconnects_tests.connect(running))
            await harness.wait_for(lambda: len(clients) == clients.max_open)
            stack.enter_context(client_disconnects_tests.connect(running))
            first.sendall(client_disconnects_tests.render('/safe/x', 'one'))
            first.setblocking(False)
            received = await asyncio.get_running_loop().sock_recv(first, 1000)
        assert b'200 OK' in received

    harness.run_check(check)
