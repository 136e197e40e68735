"""Measures the processor time of router processes: when idle, for each request, and at startup.

Routers run as processes against stand-ins, as in the soak, without faults. The processor time of
each process is read from the operating system before and after each phase.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import random
import tempfile
from collections.abc import Awaitable, Callable

import fire

from passpier import clocks
from passpier.standins.platform import deployment, replica, routers

TICKS = os.sysconf('SC_CLK_TCK')
"""Clock ticks a second, the unit of processor time in `/proc`."""

UNKNOWN_KEY = 'secret-of-nobody'


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """The cost of one kind of work, over all routers."""

    work: str
    count: int
    """Number of requests or processes."""

    milliseconds: float
    """Processor time of each."""

    at_rest: float
    """The part that idle processes would have used in the same time."""

    def render(self) -> str:
        """Return the row as text."""
        own = self.milliseconds - self.at_rest
        return f'{self.work:<28} {self.count:>6} {self.milliseconds:>9.2f} {own:>9.2f}'


@dataclasses.dataclass(slots=True)
class Report:
    """The measured costs of a run."""

    routers: int
    replicas: int
    idle: float = 0.0
    """Share of a core that an idle router uses."""

    rows: list[Row] = dataclasses.field(default_factory=list)

    def render(self) -> str:
        """Return the report as text."""
        head = (
            f'{self.routers} routers, {self.replicas} replicas; at rest {self.idle:.2%} of a core'
        )
        columns = f'{"work":<28} {"done":>6} {"ms each":>9} {"own ms":>9}'
        return '\n'.join([head, columns, *(row.render() for row in self.rows)])


class Costs:
    """One measurement."""

    def __init__(self, seed: int, count: int, replicas: int, rate: float) -> None:
        self._rng = random.Random(seed)
        self._rate = rate
        self._replicas = replicas
        self._count = count
        self._running: deployment.Deployment
        self._routers: list[routers.RouterProcess] = []
        self._report = Report(count, replicas)

    async def run(self, seconds: float) -> Report:
        """Measure each kind of work for `seconds`."""
        with tempfile.TemporaryDirectory(prefix='passpier-costs-') as name:
            async with deployment.running(routers=0) as self._running:
                try:
                    await self._start(pathlib.Path(name))
                    await self._measure(seconds)
                finally:
                    for router in self._routers:
                        await router.close()
        return self._report

    async def _start(self, folder: pathlib.Path) -> None:
        for number in range(len(self._running.replicas), self._replicas):
            zone = f'zone-{number % 2}'
            added = replica.Replica(f'llm-{number}', 'llm', zone, deployment.MODEL)
            self._running.add_replica(added)
        for number in range(self._count):
            router = routers.RouterProcess(number, folder, self._running.store_address)
            self._routers.append(router)
            await router.open()
        for router in self._routers:
            while not await router.is_ready(self._running.pool):
                await asyncio.sleep(0.05)
        spent = self._read_spent() * 1000 / self._count
        self._report.rows.append(Row('start of a process', self._count, spent, 0.0))

    async def _measure(self, seconds: float) -> None:
        before, began = self._read_spent(), clocks.now()
        await asyncio.sleep(seconds)
        elapsed = clocks.now() - began
        self._report.idle = (self._read_spent() - before) / elapsed / self._count
        for path in ('/safe/x', '/once/x'):
            await self._measure_load(f'request {path}', seconds, self._ask(path))
        for path in ('/stream/x', '/resume/x'):
            await self._measure_load(f'request {path}', seconds, self._ask(path, prompt=True))
        await self._measure_load('refusal, unknown key', seconds, self._ask('/safe/x', UNKNOWN_KEY))

    def _ask(
        self, path: str, key: str = deployment.KEY, prompt: bool = False
    ) -> Callable[[], Awaitable[object]]:
        def ask() -> Awaitable[object]:
            headers = deployment.make_prompt(self._rng) if prompt else ()
            address = self._rng.choice(self._routers).caller
            return self._running.ask_at(address, path, key=key, headers=headers)

        return ask

    async def _measure_load(
        self, work: str, seconds: float, ask: Callable[[], Awaitable[object]]
    ) -> None:
        before, began = self._read_spent(), clocks.now()
        pending = []
        while clocks.now() < began + seconds:
            pending.append(asyncio.ensure_future(ask()))
            await asyncio.sleep(self._rng.expovariate(self._rate))
        await asyncio.gather(*pending)
        elapsed = clocks.now() - began
        spent = (self._read_spent() - before) * 1000 / len(pending)
        at_rest = self._report.idle * self._count * elapsed * 1000 / len(pending)
        self._report.rows.append(Row(work, len(pending), spent, at_rest))

    def _read_spent(self) -> float:
        """Return the processor time of all routers in seconds."""
        return sum(_read_spent(router.popen.pid) for router in self._routers)


def _read_spent(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def main(
    seed: int = 1, routers: int = 10, replicas: int = 60, rate: float = 60.0, seconds: float = 8.0
) -> None:
    """Print the cost of each kind of work; `rate` is in requests a second over all routers."""
    print(asyncio.run(Costs(seed, routers, replicas, rate).run(seconds)).render())


if __name__ == '__main__':
    fire.Fire(main)
