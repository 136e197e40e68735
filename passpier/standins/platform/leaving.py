"""Measures how soon upstreams learn that the client of a request has disconnected.

Routers run as processes. Clients send requests that take a second or two and close their
connections at random times, many of them at once. Stand-in replicas record when each request
arrived and when it was aborted.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import pathlib
import random
import tempfile

import fire

from passpier import clocks
from passpier.standins.platform import deployment, replica, routers

WORK_SECONDS = 1.5
"""Seconds that a replica works on a request before the response head; a stream then takes about as
long again."""

EVENT_COUNT = 160
"""Number of events of a stream, 5 ms apart."""

WAVE_SECONDS = 0.1
"""Seconds within which all clients of a wave disconnect."""

BOUND = 0.5
"""Seconds after a disconnect within which the upstream should be notified."""

KINDS = ('safe', 'once', 'stream', 'resume')
PATIENCE_MS = 5000
"""Deadline of the requests in milliseconds."""

READY_SECONDS = 20.0
"""Seconds within which all routers have to be ready."""


@dataclasses.dataclass(slots=True)
class Report:
    """The result of a measurement; times are in seconds."""

    asked: int = 0
    notified_after: list[float] = dataclasses.field(default_factory=list)
    """Times until the notification, of requests that would have run beyond the bound."""

    never_notified: int = 0
    late_arrivals: int = 0
    """Requests that reached a replica later than the bound after the disconnect."""

    broken_off: int = 0
    """Requests that may run at most once and were aborted."""

    def compute_share(self) -> float:
        """Return the share of notifications that arrived within the bound."""
        count = len(self.notified_after) + self.never_notified
        return sum(s <= BOUND for s in self.notified_after) / count if count else 1.0

    def render(self) -> str:
        """Return the report as text."""
        times = sorted(self.notified_after) or [0.0]
        p99 = times[int(len(times) * 0.99)]
        return (
            f'{self.asked} requests, {len(self.notified_after) + self.never_notified} to be ended: '
            f'{self.compute_share():.4f} learnt within {BOUND} s, median '
            f'{times[len(times) // 2] * 1000:.0f} ms, p99 {p99 * 1000:.0f} ms, longest '
            f'{times[-1] * 1000:.0f} ms; {self.never_notified} never learnt, '
            f'{self.late_arrivals} late arrivals, {self.broken_off} run-once requests broken off'
        )


class DisconnectMeasurement:
    """One measurement."""

    def __init__(self, seed: int, clients: int, waves: int, count: int) -> None:
        self._rng = random.Random(seed)
        self._clients = clients
        self._waves = waves
        self._count = count
        self._deployment = deployment.Deployment()
        self._routers: list[routers.RouterProcess] = []
        self._disconnected_at: dict[str, float] = {}

    async def run(self) -> Report:
        """Start everything, let clients connect and disconnect, and report."""
        with tempfile.TemporaryDirectory(prefix='passpier-leaving-') as name:
            try:
                await self._start(pathlib.Path(name))
                for number in range(self._waves):
                    await self._run_wave(number)
                await asyncio.sleep(WORK_SECONDS + EVENT_COUNT * replica.EVENT_PAUSE + BOUND)
                return self._report()
            finally:
                for router in self._routers:
                    await router.close()
                await self._deployment.stop()

    async def _start(self, folder: pathlib.Path) -> None:
        await self._deployment.start(routers=0)
        for target in self._deployment.replicas.values():
            target.work_seconds, target.event_count, target.slots = (
                WORK_SECONDS,
                EVENT_COUNT,
                10 * self._clients,
            )
            self._deployment.write_entry(target.id)
        for number in range(self._count):
            router = routers.RouterProcess(number, folder, self._deployment.store_address)
            self._routers.append(router)
            await router.open()
        async with asyncio.timeout(READY_SECONDS):
            while not all([await r.is_ready(self._deployment.pool) for r in self._routers]):
                await asyncio.sleep(0.1)

    async def _run_wave(self, wave: int) -> None:
        disconnects_at = clocks.now() + self._rng.uniform(0.3, WORK_SECONDS / 2)
        tasks = [
            self._send_and_leave(
                f'w{wave}-{n}', disconnects_at + self._rng.uniform(0.0, WAVE_SECONDS)
            )
            for n in range(self._clients)
        ]
        await asyncio.gather(*tasks)

    async def _send_and_leave(self, id: str, disconnects_at: float) -> None:
        kind = self._rng.choice(KINDS)
        host, _, port = self._rng.choice(self._routers).caller.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(self._render(kind, id))
        await writer.drain()
        await asyncio.sleep(max(0.0, disconnects_at - clocks.now()))
        self._disconnected_at[f'{kind} {id}'] = clocks.now()
        writer.close()

    def _render(self, kind: str, id: str) -> bytes:
        prompt = deployment.make_prompt(self._rng) if kind in ('stream', 'resume') else []
        return deployment.render_request(f'/{kind}/x', f'{kind} {id}', PATIENCE_MS, prompt)

    def _report(self) -> Report:
        report = Report(len(self._disconnected_at))
        targets = list(self._deployment.replicas.values())
        abandoned = {id: at for r in targets for id, at in r.abandoned_at.items()}
        for run in (run for r in targets for run in r.runs if run.id in self._disconnected_at):
            disconnected_at = self._disconnected_at[run.id]
            report.late_arrivals += run.at > disconnected_at + BOUND
            if run.id.startswith('once'):
                report.broken_off += run.id in abandoned
                continue
            takes = (
                WORK_SECONDS
                if run.id.startswith('safe')
                else WORK_SECONDS + EVENT_COUNT * replica.EVENT_PAUSE
            )
            if run.at + takes <= disconnected_at + BOUND:
                continue
            if run.id in abandoned:
                report.notified_after.append(max(0.0, abandoned[run.id] - disconnected_at))
            else:
                report.never_notified += 1
        return report


def main(
    seed: int = 1, count: int = 1, clients: int = 150, waves: int = 4, routers: int = 2
) -> None:
    """Measure `count` seeds from `seed` on, each with some waves of clients that disconnect."""
    # The stand-ins write to closed connections, and tornado would log each of them.
    logging.disable(logging.CRITICAL)
    for number in range(seed, seed + count):
        report = asyncio.run(DisconnectMeasurement(number, clients, waves, routers).run())
        print(f'seed {number}: {report.render()}', flush=True)


if __name__ == '__main__':
    fire.Fire(main)
