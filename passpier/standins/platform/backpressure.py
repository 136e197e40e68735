"""Makes replicas send backpressure signals in their responses, in seeded series that overlap."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from passpier import clocks
from passpier.standins.platform import deployment, invariants, replica

INTERVALS = (0.3, 2.0)
"""Minimum and maximum seconds between two signals of the series."""

LIMITS = (1.0, 2.0, 5.0)
"""Possible limits, in requests a second."""

BACKOFFS = (0.7, 2.0, 3.0)
"""Possible values of Retry-After in seconds, which a replica sends with each refusal."""

DURATIONS = (2.0, 8.0)
"""Minimum and maximum seconds for which a replica sends a limit or refuses."""

SCARCE_LIMITS = (2.0, 3.0, 5.0)
"""Possible limits of all replicas of a service, in requests a second for each."""

SCARCE_SECONDS = (6.0, 12.0)
"""Minimum and maximum seconds for which all replicas of a service send a limit."""

QUIET_SECONDS = 4.0
"""Seconds before the end of a run in which no replica sends signals, so that routers can also
forget the last ones."""


class Host(Protocol):
    """The run that the series belongs to."""

    def log_fault(self, what: str, seconds: float | None = None) -> None:
        """Record a fault; `seconds` is the duration of an unplanned one."""

    async def begin_replacement(self, chosen: replica.Replica) -> None:
        """Add a replica of the same service, and let the chosen one drain."""


class BackpressureInjector:
    """Makes replicas send limits, refuse with a backoff, and announce that they are leaving."""

    def __init__(self, running: deployment.Deployment, host: Host, rng: random.Random) -> None:
        self.limits: list[invariants.LimitPeriod] = []
        self._running = running
        self._host = host
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Continue until shortly before `ends_at`."""
        last = ends_at - QUIET_SECONDS
        kinds: list[Callable[[float], Awaitable[None]]] = [self._limit, self._refuse, self._leave]
        started: list[asyncio.Future[None]] = []
        while clocks.now() < last:
            started.append(asyncio.ensure_future(self._rng.choice(kinds)(last)))
            await asyncio.sleep(self._rng.uniform(*INTERVALS))
        await asyncio.gather(*started)

    async def run_scarcity(self, ends_at: float) -> None:
        """Let all replicas of one service after the other send a limit until `ends_at`."""
        while clocks.now() < ends_at:
            service = self._rng.choice(sorted({r.service for r in self._list_free()}))
            limit = self._rng.choice(SCARCE_LIMITS)
            seconds = min(self._rng.uniform(*SCARCE_SECONDS), ends_at - clocks.now())
            limited = self._list_free(service)
            await asyncio.gather(*(self._limit_replica(r, limit, seconds) for r in limited))

    async def _limit(self, last: float) -> None:
        chosen = self._pick()
        if chosen is None:
            return
        limit = self._rng.choice(LIMITS)
        await self._limit_replica(chosen, limit, self._draw_seconds(last))

    async def _limit_replica(self, chosen: replica.Replica, limit: float, seconds: float) -> None:
        self._host.log_fault(f'{chosen.id} accepts {limit} requests a second for {seconds:.2f} s')
        began = clocks.now()
        chosen.faults.limit = limit
        await asyncio.sleep(seconds)
        chosen.faults.limit = None
        self.limits.append(invariants.LimitPeriod(chosen.id, limit, began, clocks.now()))

    async def _refuse(self, last: float) -> None:
        chosen = self._pick()
        if chosen is None:
            return
        seconds = self._draw_seconds(last)
        chosen.faults.backoff = self._rng.choice(BACKOFFS)
        self._host.log_fault(
            f'{chosen.id} refuses for {seconds:.2f} s with Retry-After {chosen.faults.backoff} s',
            seconds,
        )
        await asyncio.sleep(seconds)
        chosen.faults.backoff = 0.0

    async def _leave(self, last: float) -> None:
        """Let a replica announce that it is leaving, long before its entry does, and drain it."""
        chosen = self._pick()
        if chosen is None or len(self._list_free(chosen.service)) < 2:
            return
        self._host.log_fault(f'{chosen.id} announces that it is leaving')
        chosen.faults.leaves = True
        await asyncio.sleep(self._draw_seconds(last))
        await self._host.begin_replacement(chosen)

    def _draw_seconds(self, last: float) -> float:
        return max(0.0, min(self._rng.uniform(*DURATIONS), last - clocks.now()))

    def _pick(self) -> replica.Replica | None:
        """Return a replica that sends no signals yet."""
        free = self._list_free()
        return self._rng.choice(free) if free else None

    def _list_free(self, service: str = '') -> list[replica.Replica]:
        return [
            r
            for r in self._running.replicas.values()
            if r.state == 'ready' and not r.faults.sends_signals and r.service.startswith(service)
        ]
