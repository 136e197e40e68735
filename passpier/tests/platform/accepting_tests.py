"""A router that is ready takes new connections, however many come or stay."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from passpier.standins.platform import deployment
from passpier.tests.platform import leaving_tests, scenes

CROWD = 600
"""Clients that connect while the event loop is busy: as after a loss of power of a domain."""

RESTING = 40
"""Connections that may stay open in the test of a full table."""


def test_a_crowd_that_comes_while_the_loop_is_busy_is_not_turned_away() -> None:
    async def check(running: deployment.Deployment) -> None:
        host, _, port = running.routers[0].options.caller.rpartition(':')
        with contextlib.ExitStack() as stack:
            # The router shares this thread: it accepts nobody until all have connected.
            for _ in range(CROWD):
                client = stack.enter_context(socket.socket())
                client.settimeout(0.5)
                client.connect((host, int(port)))
            reply = await running.ask('/safe/x')
            assert reply.status == 200

    scenes.play(check)


def test_resting_clients_give_way_to_new_ones() -> None:
    async def check(running: deployment.Deployment) -> None:
        clients = running.routers[0].ingress.clients
        clients.most = RESTING
        scenes.set_work(running, 1.0)
        at_work = leaving_tests.connect(running)
        at_work.setblocking(False)
        at_work.sendall(leaving_tests.render('/safe/x', 'one'))
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        with contextlib.ExitStack() as stack:
            resting = [
                stack.enter_context(leaving_tests.connect(running)) for _ in range(2 * RESTING)
            ]
            await scenes.wait_for(lambda: len(clients) == RESTING)
            # The first to rest is the first to go; who has a request under way stays.
            resting[0].settimeout(1.0)
            assert await asyncio.to_thread(resting[0].recv, 1) == b''
            loop = asyncio.get_running_loop()
            assert b'200 OK' in await loop.sock_recv(at_work, 1000)
            assert (await running.ask('/open/x', key=None)).status == 200

    scenes.play(check)


def test_connections_that_have_ended_take_no_place() -> None:
    async def check(running: deployment.Deployment) -> None:
        clients = running.routers[0].ingress.clients
        clients.most = RESTING
        for _ in range(4 * RESTING):
            client = leaving_tests.connect(running)
            await asyncio.sleep(0.002)
            client.close()
        kept = leaving_tests.connect(running)
        kept.setblocking(False)
        await asyncio.sleep(0.05)
        for _ in range(RESTING // 2):
            leaving_tests.connect(running).close()
        await asyncio.sleep(0.05)
        kept.sendall(leaving_tests.render('/open/x', 'one'))
        assert b'200 OK' in await asyncio.get_running_loop().sock_recv(kept, 1000)

    scenes.play(check)


def test_who_has_sent_a_request_does_not_rest() -> None:
    """The request has arrived, but the busy event loop has yet to read it."""

    async def check(running: deployment.Deployment) -> None:
        clients = running.routers[0].ingress.clients
        clients.most = 2
        with contextlib.ExitStack() as stack:
            first = stack.enter_context(leaving_tests.connect(running))
            stack.enter_context(leaving_tests.connect(running))
            await scenes.wait_for(lambda: len(clients) == clients.most)
            stack.enter_context(leaving_tests.connect(running))
            first.sendall(leaving_tests.render('/safe/x', 'one'))
            first.setblocking(False)
            got = await asyncio.get_running_loop().sock_recv(first, 1000)
        assert b'200 OK' in got

    scenes.play(check)
