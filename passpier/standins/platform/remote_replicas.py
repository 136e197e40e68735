"""Replicas that run as processes of their own, so that they can be suspended.

Once it goes on, a suspended process reads whatever its kernel has received meanwhile, also what has
been reset since.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
from typing import Any

import fire
import msgspec
import tornado.netutil
import tornado.web

from passpier import clocks
from passpier.clients import connections, exchanges
from passpier.standins import processes
from passpier.standins.platform import deployment, replica

RECORDS_PATH = '/records'
FETCH_SECONDS = 5.0
START_SECONDS = 20.0
"""Seconds within which a process has to listen."""


class Settings(msgspec.Struct, frozen=True):
    """What a replica process is started with; see `replica.Replica` for the first fields."""

    id: str
    service: str
    zone: str
    model: str
    slots: int
    work_seconds: float
    event_pause: float
    started_ms: int
    port: int
    control_port: int
    """Port at which its records can be fetched."""


class Records(msgspec.Struct):
    """What a replica process has observed; the fields are those of `replica.Replica`."""

    version: int
    loading: bool
    orders: int
    arrivals: list[replica.Arrival]
    runs: list[replica.Run]
    finished: list[str]
    abandoned: list[str]
    abandoned_at: dict[str, float]
    worked_until: dict[str, float]
    aborted: set[str]
    accepted_orders: list[tuple[float, dict[str, object]]]
    misdirected: int
    report_count: int


class ReplicaProcess(processes.Process):
    """The process of a replica, with a copy of its state for the checks."""

    def __init__(self, state: replica.Replica, folder: pathlib.Path) -> None:
        self.state = state
        state.port = processes.pick_port()
        state.address = f'127.0.0.1:{state.port}'
        control_port = processes.pick_port()
        self._control = f'127.0.0.1:{control_port}'
        settings = Settings(
            state.id,
            state.service,
            state.zone,
            state.model,
            state.slots,
            state.work_seconds,
            state.event_pause,
            state.started_ms,
            state.port,
            control_port,
        )
        text = msgspec.json.encode(settings).decode()
        super().__init__(state.id, ['passpier.standins.platform.remote_replicas', text], folder)

    async def open(self, running: deployment.Deployment) -> None:
        """Start the process and add its replica to a deployment."""
        self.start()
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_listening():
                await asyncio.sleep(0.05)
        running.replicas[self.state.id] = self.state
        running.write_entry(self.state.id)

    async def _is_listening(self) -> bool:
        host, _, port = self._control.rpartition(':')
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    def suspend(self) -> None:
        """Suspend the process; its kernel goes on receiving."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let the process go on."""
        self.send(signal.SIGCONT)

    async def collect(self, pool: connections.Pool) -> None:
        """Update the copy of the state; raises `ExchangeError`."""
        request = exchanges.Request('GET', RECORDS_PATH, [('Host', self._control)])
        answer = await pool.fetch(self._control, request, FETCH_SECONDS)
        records = msgspec.msgpack.decode(answer.body, type=Records)
        for field in records.__struct_fields__:
            setattr(self.state, field, getattr(records, field))

    def close(self) -> None:
        """Kill the process."""
        if self.popen.poll() is None:
            self.kill()


class _RecordsHandler(tornado.web.RequestHandler):
    def initialize(self, state: replica.Replica) -> None:
        self._state = state

    def get(self) -> None:
        values = {field: getattr(self._state, field) for field in Records.__struct_fields__}
        self.write(msgspec.msgpack.encode(Records(**values)))


async def _serve(settings: Settings) -> None:
    state = replica.Replica(
        settings.id, settings.service, settings.zone, settings.model, port=settings.port
    )
    for field in ('slots', 'work_seconds', 'event_pause', 'started_ms'):
        setattr(state, field, getattr(settings, field))
    state.listen()
    records = tornado.web.Application([(RECORDS_PATH, _RecordsHandler, {'state': state})])
    records.listen(settings.control_port, '127.0.0.1')
    await asyncio.Event().wait()


def main(settings: Any) -> None:
    """Run a replica with the given settings, as JSON, until the process is killed."""
    decoded = settings if isinstance(settings, dict) else json.loads(settings)
    clocks.run(_serve(msgspec.convert(decoded, Settings)))


if __name__ == '__main__':
    fire.Fire(main)
