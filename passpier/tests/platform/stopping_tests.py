"""Planned stops: whatever a stopping process takes is answered.

Seen: long streams that a process took several seconds after its signal were cut in the middle as it
ended, and requests without an answer yet were closed without one. How it came about: a stop takes
requests for as long as clients may keep old addresses, then lets them end until its bound. Cause:
a request was taken without asking whether it can end before the bound does. The time since the
signal stood in for that; it is counted from when the signal is noticed, a second signal set it to
nothing, and at the bound nobody gave the answers that were still owed. Proved by the tests below:
a process that notices its signal late, one that gets two, and one whose replicas are too slow.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from passpier.clients import exchanges
from passpier.core import drain
from passpier.routing import router
from passpier.standins.platform import deployment, routers
from passpier.tests.platform import leaving_tests, scenes

SHORT_STOP = 1.0
"""Seconds that a stop may take in tests in which it is too short for what runs."""


@contextlib.asynccontextmanager
async def running_process(
    folder: pathlib.Path,
) -> AsyncIterator[tuple[deployment.Deployment, routers.RouterProcess]]:
    """Start the stand-ins and one router as a process."""
    async with deployment.running(routers=0) as running:
        process = routers.RouterProcess(0, folder, running.store_address)
        await process.open()
        try:
            while not await process.is_ready(running.pool):
                await asyncio.sleep(0.05)
            yield running, process
        finally:
            await process.close()


def play_process(
    folder: pathlib.Path,
    check: Callable[[deployment.Deployment, routers.RouterProcess], Awaitable[None]],
) -> None:
    """Run a check against one router process."""

    async def run() -> None:
        async with running_process(folder) as (running, process):
            await check(running, process)

    asyncio.run(asyncio.wait_for(run(), scenes.BOUND))


def set_work(running: deployment.Deployment, seconds: float) -> None:
    for known in running.replicas.values():
        known.work = seconds


def test_a_signal_that_is_noticed_late_lets_nothing_in_that_cannot_end(
    tmp_path: pathlib.Path,
) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 7.0)
        process.send(signal.SIGSTOP)
        process.send(signal.SIGTERM)
        await asyncio.sleep(0.8)
        process.send(signal.SIGCONT)
        # Three lifetimes of the directory's answers, and a little more, after the signal.
        await asyncio.sleep(2.5)
        late = await running.ask_at(process.caller, '/slow/x', 'late', patience_ms=9000)
        assert late.status == 503
        assert float(late.headers.get('Retry-After') or 9) < 1
        assert not running.list_runs('late')

    play_process(tmp_path, check)


def test_what_surely_ends_in_time_is_still_taken(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        process.send(signal.SIGTERM)
        await asyncio.sleep(2.5)
        late = await running.ask_at(process.caller, '/once/x', patience_ms=1500)
        assert late.status == 200

    play_process(tmp_path, check)


@pytest.mark.parametrize('pause', [0.0, 0.3])
def test_a_second_signal_cuts_nothing(tmp_path: pathlib.Path, pause: float) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 0.9)
        asked = [
            asyncio.ensure_future(
                running.ask_at(process.caller, f'/{kind}/x', kind, patience_ms=3000)
            )
            for kind in ('once', 'safe')
        ]
        await scenes.wait_for(lambda: bool(running.list_runs('once') and running.list_runs('safe')))
        process.send(signal.SIGTERM)
        await asyncio.sleep(pause)
        process.send(signal.SIGTERM)
        assert [r.status for r in await asyncio.gather(*asked)] == [200, 200]

    play_process(tmp_path, check)


def test_at_the_end_of_a_stop_what_runs_is_answered_as_unknown(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 20.0)
        asked = asyncio.ensure_future(
            running.ask_at(process.caller, '/slow/x', 'one', patience_ms=9000)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        process.send(signal.SIGTERM)
        assert (await asked).status == 502

    play_process(tmp_path, check)


def test_at_the_end_of_a_stop_what_waits_is_refused_as_not_run() -> None:
    async def check(running: deployment.Deployment) -> None:
        set_work(running, 20.0)
        running.configure(
            routes=[{**r, 'target_latency_ms': 8000} for r in running.configuration['routes']]
        )
        plain = [r for r in running.replicas.values() if not r.model]
        for known in plain:
            known.slots = 1
            running.record(known.id)
        process = running.add_router('vm-0', 'zone-0', stop_bound=SHORT_STOP)
        await running.wait_ready()
        asked = []
        for number in range(4):
            id = f'n{number}'
            asked.append(asyncio.ensure_future(running.ask('/slow/x', id=id, patience_ms=9000)))
        await scenes.wait_for(lambda: process.ingress.in_flight == len(asked))
        process.begin_stop()
        replies = await asyncio.gather(*asked)
        for number, reply in enumerate(replies):
            assert reply.status == (502 if running.list_runs(f'n{number}') else 503)
        assert any(reply.status == 503 for reply in replies)

    scenes.play(check, routers=0)


def test_a_stream_that_has_begun_never_looks_whole_at_the_end_of_a_stop() -> None:
    async def check(running: deployment.Deployment) -> None:
        for known in running.replicas.values():
            known.events = 100_000
        process = running.add_router('vm-0', 'zone-0', stop_bound=SHORT_STOP)
        await running.wait_ready()
        asked = asyncio.ensure_future(
            running.ask('/patient/x', id='one', patience_ms=9000, headers=scenes.PROMPT)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        process.begin_stop()
        with pytest.raises(exchanges.ExchangeError):
            await asked

    scenes.play(check, routers=0)


def test_a_late_event_loop_closes_nothing_without_an_answer(tmp_path: pathlib.Path) -> None:
    """The loop is late by more than the grace for answers, just when a request's time ends."""

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 20.0)
        asked = asyncio.ensure_future(
            running.ask_at(process.caller, '/once/x', 'one', patience_ms=1000)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        await asyncio.sleep(0.8)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(0.6)
        process.send(signal.SIGCONT)
        assert (await asked).status == 504

    play_process(tmp_path, check)


def test_an_answer_that_came_while_the_loop_was_late_is_delivered(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 0.9)
        asked = asyncio.ensure_future(
            running.ask_at(process.caller, '/once/x', 'one', patience_ms=1000)
        )
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        await asyncio.sleep(0.8)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(0.6)
        process.send(signal.SIGCONT)
        assert (await asked).status in (200, 504)

    play_process(tmp_path, check)


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


def test_what_began_before_the_signal_ends_its_connection_too(tmp_path: pathlib.Path) -> None:
    """Else its client sends the next request on a connection that ends with the process."""

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 0.5)
        reader, writer = await connect(process.caller)
        writer.write(deployment.render_request('/once/x', 'one', 3000, body=b'question'))
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        process.send(signal.SIGTERM)
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        assert b'\r\nconnection: close\r\n' in head.lower()

    play_process(tmp_path, check)


def test_an_answer_that_is_going_out_at_the_end_of_a_stop_goes_out_whole() -> None:
    """Its upstream is done with it: only its client has yet to read."""

    async def check(running: deployment.Deployment) -> None:
        process = running.add_router('vm-0', 'zone-0', stop_bound=SHORT_STOP)
        await running.wait_ready()
        for listening in process._client_server._sockets.values():
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        path = '/slow/' + 'x' * 40_000
        loop = asyncio.get_running_loop()
        with leaving_tests.connect(running, received=2048) as client:
            client.setblocking(False)
            await loop.sock_sendall(client, deployment.render_request(path, 'one', 9000))
            await scenes.wait_for(lambda: any(r.finished for r in running.replicas.values()))
            process.begin_stop()
            await asyncio.sleep(SHORT_STOP + 2 * router.STOP_CHECK)
            got = b''
            while path.encode() not in got and (data := await loop.sock_recv(client, 65536)):
                got += data
        assert path.encode() in got

    scenes.play(check, routers=0)


def test_a_changed_bound_holds_for_the_next_stop() -> None:
    async def check(running: deployment.Deployment) -> None:
        set_work(running, 20.0)
        process = running.add_router('vm-0', 'zone-0', stop_bound=60.0)
        await running.wait_ready()
        process.reload(dataclasses.replace(process.options, stop_bound=SHORT_STOP))
        asked = asyncio.ensure_future(running.ask('/slow/x', id='one', patience_ms=4000))
        await scenes.wait_for(lambda: bool(running.list_runs('one')))
        process.begin_stop()
        # Its own time would be over later, with another status.
        assert (await asked).status == 502

    scenes.play(check, routers=0)


def test_a_body_that_comes_slowly_is_answered_before_the_process_ends(
    tmp_path: pathlib.Path,
) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        reader, writer = await connect(process.caller)
        asked = deployment.render_request('/once/x', 'one', 9000, body=b'question')
        process.send(signal.SIGTERM)
        await asyncio.sleep(0.5)
        writer.write(asked[:-4])
        # Longer than old addresses are kept, shorter than the stop may last.
        await asyncio.sleep(3.5)
        writer.write(asked[-4:])
        assert (await reader.readline()).startswith(b'HTTP/1.1 503')
        writer.close()

    play_process(tmp_path, check)


def test_a_signal_that_is_noticed_very_late_lets_nothing_in_that_cannot_end(
    tmp_path: pathlib.Path,
) -> None:
    """Later than the stop reckons with; the process is killed before its own bound comes."""

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        set_work(running, 7.0)
        process.send(signal.SIGSTOP)
        process.send(signal.SIGTERM)
        asyncio.get_running_loop().call_later(routers.STOP_BOUND, process.kill)
        await asyncio.sleep(drain.LATE_NOTICE + 0.6)
        process.send(signal.SIGCONT)
        await asyncio.sleep(1.7)
        late = await running.ask_at(process.caller, '/slow/x', 'late', patience_ms=9000)
        assert late.status == 503
        assert not running.list_runs('late')

    play_process(tmp_path, check)
