"""Draining before a stop: every request that a draining process accepts gets a response.

Guards against a process that exits while clients wait. A request sent 5.0 s after SIGTERM lost its
connection without a response at 5.7 s: a request whose body was still arriving did not count as in
flight, and closing the sockets to peers blocked the event loop for half a second, the time allowed
for messages to a peer that was gone, while the connections of clients were still open. The time
from deregistration to exit was either 0.01 s or 0.5 s in 40 stops. See
`test_drain_waits_for_a_partly_received_request` and `daemon/peers_tests`.

Related faults covered here: SIGTERM that is handled late, a second SIGTERM that ends the drain, an
exit without responses, a registry that is slow during deregistration.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import socket
import subprocess

import msgspec
import pytest

from passpier import clocks
from passpier.clients import exchanges
from passpier.routing import router
from passpier.standins.platform import deployment, routers
from passpier.tests.platform import client_disconnects_tests, harness

PERSISTENT_CLIENTS = 12
"""Clients that keep sending requests to a draining process."""

LOSS_TOLERANCE = 0.45
"""Seconds between the last byte of a request and the close of its connection from which the request
counts as lost. On a busy machine a process takes up to 0.4 s to exit after its loop has ended, and
reads nothing in that time; the fault that this test guards against blocked the loop for 0.5 s."""

SHORT_STOP = 1.0
"""Seconds that a drain may take in tests in which the running requests take longer."""


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


@pytest.mark.parametrize('late', [0.8, 1.6])
def test_late_handled_sigterm_admits_no_request_that_cannot_finish(
    tmp_path: pathlib.Path, late: float
) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        harness.set_processing_time(running, 7.0)
        # The process keeps running while this request is in flight.
        early = asyncio.ensure_future(
            running.ask_at(process.caller, '/slow/x', 'early', patience_ms=9000)
        )
        await harness.wait_for(lambda: bool(running.list_runs('early')))
        process.send(signal.SIGSTOP)
        process.send(signal.SIGTERM)
        await asyncio.sleep(late)
        process.send(signal.SIGCONT)
        # Just over three times the TTL of the directory's responses after the signal.
        await asyncio.sleep(3.3 - late)
        refused = await running.ask_at(process.caller, '/slow/x', 'late', patience_ms=9000)
        assert refused.status == 503
        assert float(refused.headers.get('Retry-After') or 9) < 1
        assert not running.list_runs('late')
        assert (await early).status == 502

    harness.run_process_check(tmp_path, check)


def test_request_with_a_cached_address_is_accepted(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        process.send(signal.SIGTERM)
        await asyncio.sleep(2.5)
        late = await running.ask_at(process.caller, '/once/x', patience_ms=1500)
        assert late.status == 200

    harness.run_process_check(tmp_path, check)


@pytest.mark.parametrize('pause', [0.0, 0.3])
def test_second_sigterm_interrupts_nothing(tmp_path: pathlib.Path, pause: float) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        harness.set_processing_time(running, 0.9)
        pending = [
            asyncio.ensure_future(
                running.ask_at(process.caller, f'/{kind}/x', kind, patience_ms=3000)
            )
            for kind in ('once', 'safe')
        ]
        await harness.wait_for(
            lambda: bool(running.list_runs('once') and running.list_runs('safe'))
        )
        process.send(signal.SIGTERM)
        await asyncio.sleep(pause)
        process.send(signal.SIGTERM)
        assert [r.status for r in await asyncio.gather(*pending)] == [200, 200]

    harness.run_process_check(tmp_path, check)


def test_running_request_gets_unknown_outcome_at_the_end_of_a_drain(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        harness.set_processing_time(running, 20.0)
        pending = asyncio.ensure_future(
            running.ask_at(process.caller, '/slow/x', 'one', patience_ms=9000)
        )
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        process.send(signal.SIGTERM)
        assert (await pending).status == 502

    harness.run_process_check(tmp_path, check)


def test_queued_request_is_refused_as_not_run_at_the_end_of_a_drain() -> None:
    async def check(running: deployment.Deployment) -> None:
        harness.set_processing_time(running, 20.0)
        running.configure(
            routes=[{**r, 'target_latency_ms': 8000} for r in running.configuration['routes']]
        )
        plain = [r for r in running.replicas.values() if not r.model]
        for replica in plain:
            # The registry entries have one slot, but the replicas accept more and refuse nothing.
            slots, replica.slots = replica.slots, 1
            running.write_entry(replica.id)
            replica.slots = slots
        process = running.add_router('vm-0', 'zone-0', stop_bound=SHORT_STOP)
        await running.wait_ready()
        pending = []
        for number in range(6):
            id = f'n{number}'
            pending.append(asyncio.ensure_future(running.ask('/slow/x', id=id, patience_ms=9000)))
        # Each replica has one request in its slot and one queued; two wait in the router.
        await harness.wait_for(lambda: sum(replica.active for replica in plain) == 4)
        await harness.wait_for(lambda: process.ingress.in_flight == len(pending))
        process.begin_stop()
        replies = await asyncio.gather(*pending)
        for number, reply in enumerate(replies):
            assert reply.status == (502 if running.list_runs(f'n{number}') else 503)
        assert any(reply.status == 503 for reply in replies)

    harness.run_check(check, routers=0)


def test_interrupted_stream_does_not_look_complete_at_the_end_of_a_drain() -> None:
    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.event_count = 100_000
        process = running.add_router('vm-0', 'zone-0', stop_bound=SHORT_STOP)
        await running.wait_ready()
        pending = asyncio.ensure_future(
            running.ask('/patient/x', id='one', patience_ms=9000, headers=harness.PROMPT_HEADERS)
        )
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        process.begin_stop()
        with pytest.raises(exchanges.ExchangeError):
            await pending

    harness.run_check(check, routers=0)


def test_slow_registry_and_dead_peers_do_not_delay_the_exit(
    tmp_path: pathlib.Path,
) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        harness.set_processing_time(running, 20.0)
        other = routers.RouterProcess(1, tmp_path, running.store_address)
        await other.open()
        while not await other.is_ready(running.pool):
            await asyncio.sleep(0.05)
        other.send(signal.SIGSTOP)
        pending = asyncio.ensure_future(
            running.ask_at(process.caller, '/slow/x', 'one', patience_ms=9000)
        )
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        running.faults.delay = 3.0
        process.send(signal.SIGTERM)
        # The platform waits this long before it kills the process.
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(process.popen.wait, routers.STOP_BOUND)
        ended = process.popen.poll()
        await other.close()
        assert (await pending).status == 502
        assert ended == 0

    harness.run_process_check(tmp_path, check)


def test_drain_waits_for_a_partly_received_request(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        reader, writer = await connect(process.caller)
        body = b'x' * 1000
        request = deployment.render_request('/once/x', 'one', 5000, body=body)
        process.send(signal.SIGTERM)
        writer.write(request[: -len(body)])
        # Longer than cached addresses are served, and than an idle process waits before it exits.
        await asyncio.sleep(4.0)
        writer.write(body)
        assert (await reader.readline()).startswith(b'HTTP/1.1 503')
        writer.close()

    harness.run_process_check(tmp_path, check)


def test_response_to_an_earlier_request_closes_its_connection(tmp_path: pathlib.Path) -> None:
    """Otherwise its client sends the next request on a connection that closes with the process."""

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        harness.set_processing_time(running, 0.5)
        reader, writer = await connect(process.caller)
        writer.write(deployment.render_request('/once/x', 'one', 3000, body=b'question'))
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        process.send(signal.SIGTERM)
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        assert b'\r\nconnection: close\r\n' in head.lower()

    harness.run_process_check(tmp_path, check)


def test_response_being_written_at_the_end_of_a_drain_is_completed() -> None:
    """The upstream has completed the request; only the client has not read the response yet."""

    async def check(running: deployment.Deployment) -> None:
        process = running.add_router('vm-0', 'zone-0', stop_bound=SHORT_STOP)
        await running.wait_ready()
        for listening in process._client_server._sockets.values():
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        path = '/slow/' + 'x' * 40_000
        loop = asyncio.get_running_loop()
        with client_disconnects_tests.connect(running, received=2048) as client:
            client.setblocking(False)
            await loop.sock_sendall(client, deployment.render_request(path, 'one', 9000))
            await harness.wait_for(lambda: any(r.finished for r in running.replicas.values()))
            process.begin_stop()
            await asyncio.sleep(SHORT_STOP + 2 * router.STOP_CHECK)
            received = b''
            while path.encode() not in received and (data := await loop.sock_recv(client, 65536)):
                received += data
        assert path.encode() in received

    harness.run_check(check, routers=0)


def test_reloaded_bound_applies_to_the_next_drain() -> None:
    async def check(running: deployment.Deployment) -> None:
        harness.set_processing_time(running, 20.0)
        process = running.add_router('vm-0', 'zone-0', stop_bound=60.0)
        await running.wait_ready()
        process.reload(msgspec.structs.replace(process.options, stop_bound=SHORT_STOP))
        pending = asyncio.ensure_future(running.ask('/slow/x', id='one', patience_ms=4000))
        await harness.wait_for(lambda: bool(running.list_runs('one')))
        process.begin_stop()
        # The deadline of the request is later, and gives another status.
        assert (await pending).status == 502

    harness.run_check(check, routers=0)


class PersistentClient:
    """A client that keeps using one process, on new or kept connections, until it has exited."""

    def __init__(self, address: str, name: str, keeps_alive: bool, pause: float) -> None:
        self.address = address
        self.name = name
        self.keeps_alive = keeps_alive
        self.pause = pause
        self.statuses: list[int] = []
        self.lost: list[str] = []

    async def run(self) -> None:
        number = 0
        while True:
            try:
                reader, writer = await connect(self.address)
            except ConnectionError:
                return
            with contextlib.closing(writer):
                while await self._ask(reader, writer, f'{self.name}-{number}') and self.keeps_alive:
                    number += 1
                number += 1

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id: str
    ) -> bool:
        """Send a request; return whether the connection may be used again."""
        request = deployment.render_request('/safe/x', id, 2000, body=b'question')
        writer.write(request[:-1])
        # The last byte is sent later, so that there is always a partly sent request.
        await asyncio.sleep(self.pause)
        writer.write(request[-1:])
        sent_at = clocks.now()
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            length = int(head.partition('content-length: ')[2].partition('\r\n')[0])
            await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            if clocks.now() - sent_at > LOSS_TOLERANCE:
                self.lost.append(id)
            return False
        self.statuses.append(int(head.split()[1]))
        return 'connection: close' not in head


def test_persistent_clients_get_responses_until_the_exit(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a process that exits while requests are on their way to it.

    Clients that keep using an address keep a draining process busy until it exits, so that their
    requests are open during each of its last steps.
    """

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        harness.set_processing_time(running, 0.1)
        clients = [
            PersistentClient(process.caller, f'c{n}', keeps_alive=bool(n % 2), pause=n % 3 * 0.15)
            for n in range(PERSISTENT_CLIENTS)
        ]
        client_tasks = [asyncio.ensure_future(c.run()) for c in clients]
        await asyncio.sleep(0.5)
        process.send(signal.SIGTERM)
        await asyncio.gather(*client_tasks)
        assert not [id for c in clients for id in c.lost]
        assert {s for c in clients for s in c.statuses} <= {200, 503}
        assert all(200 in c.statuses for c in clients)

    harness.run_process_check(tmp_path, check)


def test_process_exits_without_the_teardown_of_the_interpreter(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that is killed after its last line because its teardown takes long.

    Here the teardown never ends.
    """
    teardown = 'import atexit, threading\natexit.register(threading.Event().wait)\n'
    (tmp_path / 'sitecustomize.py').write_text(teardown)
    monkeypatch.setenv('PYTHONPATH', str(tmp_path))

    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        process.send(signal.SIGTERM)
        await harness.wait_for(lambda: not process.is_running)
        assert process.popen.returncode == 0

    harness.run_process_check(tmp_path, check)
