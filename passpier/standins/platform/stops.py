"""Planned stops of router processes, in series that overlap, with what may come between."""

from __future__ import annotations

import asyncio
import random
import signal

from passpier import clocks
from passpier.standins.platform import promises, routers, troubles

ROUND_PAUSES = (0.5, 4.0)
"""Least and most seconds between two rounds of stops."""

STAGGER = 0.5
"""Most seconds between the first and the last stop of a round."""

STILL_SECONDS = 1.0
"""Most seconds for which a process stands still around its SIGTERM."""

STILL_SHARE = 0.4
SECOND_SHARE = 0.5
RELOAD_SHARE = 0.5

SLOW_PAUSES = (0.5, 3.0)
"""Least and most seconds between two times at which a replica becomes slow."""

SLOW_FACTORS = (2.0, 8.0)
SLOW_SECONDS = (1.0, 5.0)


class StopTroubles:
    """Stops routers, and slows replicas meanwhile."""

    def __init__(
        self, stage: troubles.Stage, shared: troubles.Troubles, rng: random.Random
    ) -> None:
        self._stage = stage
        self._troubles = shared
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Begin one round after the other until `ends_at`; return when all are over."""
        await asyncio.gather(self._run_rounds(ends_at), self._slow_replicas(ends_at))

    async def _run_rounds(self, ends_at: float) -> None:
        begun: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            free = [r for r in self._stage.routers if not r.busy]
            count = min(len(free) - 1, self._rng.randint(1, max(1, len(free) // 2)))
            for router in self._rng.sample(free, max(0, count)):
                router.busy = True
                begun.append(asyncio.ensure_future(self._stop(router)))
            await asyncio.sleep(self._rng.uniform(*ROUND_PAUSES))
        await asyncio.gather(*begun)

    async def _stop(self, router: routers.RouterProcess) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, STAGGER))
        still = self._draw(STILL_SHARE, STILL_SECONDS)
        before = self._rng.uniform(0.0, still)
        second = self._draw(SECOND_SHARE, routers.STOP_BOUND)
        reload = self._draw(RELOAD_SHARE, routers.STOP_BOUND)
        self._troubles.note(
            f'{router.name} is stopped as planned; stands still for {still:.2f} s, {before:.2f} s '
            f'of it before; told again after {second:.2f} s, to reload after {reload:.2f} s'
        )
        still_since = clocks.now()
        if still:
            router.send(signal.SIGSTOP)
            await asyncio.sleep(before)
        stop = promises.Stop(router.name, clocks.now(), still_since)
        router.send(signal.SIGTERM)
        if still:
            await asyncio.sleep(still - before)
            router.send(signal.SIGCONT)
            self._troubles.note_thaw(router.name, still_since)
        between = [
            asyncio.ensure_future(self._signal_again(router, second)),
            asyncio.ensure_future(self._reload(router, reload)),
        ]
        await self._troubles.end_stop(router, stop)
        for task in between:
            task.cancel()

    def _draw(self, share: float, most: float) -> float:
        """Return seconds up to `most`, or 0 but for a share of the cases."""
        return self._rng.uniform(0.1, most) if self._rng.random() < share else 0.0

    async def _signal_again(self, router: routers.RouterProcess, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if seconds and router.runs:
            router.send(signal.SIGTERM)

    async def _reload(self, router: routers.RouterProcess, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if seconds and router.hears(signal.SIGHUP):
            router.write_settings()
            router.send(signal.SIGHUP)

    async def _slow_replicas(self, ends_at: float) -> None:
        begun: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            begun.append(asyncio.ensure_future(self._slow_replica()))
            await asyncio.sleep(self._rng.uniform(*SLOW_PAUSES))
        await asyncio.gather(*begun)

    async def _slow_replica(self) -> None:
        chosen = self._rng.choice(list(self._stage.deployment.replicas.values()))
        chosen.slowed = self._rng.uniform(*SLOW_FACTORS)
        seconds = self._rng.uniform(*SLOW_SECONDS)
        self._troubles.note(f'{chosen.id} is {chosen.slowed:.1f} times slower for {seconds:.2f} s')
        await asyncio.sleep(seconds)
        chosen.slowed = 1.0
