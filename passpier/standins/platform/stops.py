"""Injects planned stops of router processes, combined with pauses, reloads and slow replicas."""

from __future__ import annotations

import asyncio
import random
import signal

from passpier import clocks
from passpier.standins.platform import fault_injection, invariants, routers

ROUND_INTERVALS = (0.5, 4.0)
"""Minimum and maximum seconds between two rounds of stops."""

STAGGER = 0.5
"""Maximum seconds between the first and the last stop of a round."""

PAUSE_SECONDS = 1.0
"""Maximum seconds for which a process is paused around its SIGTERM."""

PAUSE_SHARE = 0.4
"""Share of stops with a pause around the SIGTERM."""

REPEAT_SHARE = 0.5
"""Share of stops with a second SIGTERM."""

RELOAD_SHARE = 0.5
"""Share of stops with a SIGHUP after the SIGTERM."""

SLOW_INTERVALS = (0.5, 3.0)
"""Minimum and maximum seconds between two times at which a replica becomes slow."""

SLOW_FACTORS = (2.0, 8.0)
"""Minimum and maximum factor by which a replica is slowed down."""

SLOW_SECONDS = (1.0, 5.0)
"""Minimum and maximum seconds for which a replica is slow."""


class StopInjector:
    """Stops routers, and slows down replicas meanwhile."""

    def __init__(
        self,
        targets: fault_injection.FaultTargets,
        faults: fault_injection.FaultInjector,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._faults = faults
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Start one round after the other until `ends_at`; return when all are over."""
        await asyncio.gather(self._run_rounds(ends_at), self._slow_replicas(ends_at))

    async def _run_rounds(self, ends_at: float) -> None:
        started: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            free = [r for r in self._targets.routers if not r.busy]
            count = min(len(free) - 1, self._rng.randint(1, max(1, len(free) // 2)))
            for router in self._rng.sample(free, max(0, count)):
                router.busy = True
                started.append(asyncio.ensure_future(self._stop(router)))
            await asyncio.sleep(self._rng.uniform(*ROUND_INTERVALS))
        await asyncio.gather(*started)

    async def _stop(self, router: routers.RouterProcess) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, STAGGER))
        pause = self._draw(PAUSE_SHARE, PAUSE_SECONDS)
        before = self._rng.uniform(0.0, pause)
        second = self._draw(REPEAT_SHARE, routers.STOP_BOUND)
        reload = self._draw(RELOAD_SHARE, routers.STOP_BOUND)
        self._faults.log_fault(
            f'{router.name} is stopped (planned); paused for {pause:.2f} s, {before:.2f} s of it '
            f'before; SIGTERM again after {second:.2f} s, SIGHUP after {reload:.2f} s'
        )
        paused_since = clocks.now()
        if pause:
            router.send(signal.SIGSTOP)
            await asyncio.sleep(before)
        stop = invariants.Stop(router.name, clocks.now(), paused_since)
        router.send(signal.SIGTERM)
        if pause:
            await asyncio.sleep(pause - before)
            router.send(signal.SIGCONT)
            self._faults.log_resumption(router.name, paused_since)
        between = [
            asyncio.ensure_future(self._signal_again(router, second)),
            asyncio.ensure_future(self._reload(router, reload)),
        ]
        await self._faults.finish_stop(router, stop)
        for task in between:
            task.cancel()

    def _draw(self, share: float, most: float) -> float:
        """Return random seconds up to `most` with probability `share`, else 0."""
        return self._rng.uniform(0.1, most) if self._rng.random() < share else 0.0

    async def _signal_again(self, router: routers.RouterProcess, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if seconds and router.is_running:
            router.send(signal.SIGTERM)

    async def _reload(self, router: routers.RouterProcess, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if seconds and router.handles_signal(signal.SIGHUP):
            router.write_settings()
            router.send(signal.SIGHUP)

    async def _slow_replicas(self, ends_at: float) -> None:
        started: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            started.append(asyncio.ensure_future(self._slow_replica()))
            await asyncio.sleep(self._rng.uniform(*SLOW_INTERVALS))
        await asyncio.gather(*started)

    async def _slow_replica(self) -> None:
        chosen = self._rng.choice(list(self._targets.deployment.replicas.values()))
        chosen.slowdown = self._rng.uniform(*SLOW_FACTORS)
        seconds = self._rng.uniform(*SLOW_SECONDS)
        self._faults.log_fault(
            f'{chosen.id} works {chosen.slowdown:.1f} times slower for {seconds:.2f} s'
        )
        await asyncio.sleep(seconds)
        chosen.slowdown = 1.0
