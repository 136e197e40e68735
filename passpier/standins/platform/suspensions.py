"""Suspends replicas that run as processes, in series that overlap."""

from __future__ import annotations

import asyncio
import random

from passpier import clocks
from passpier.standins.platform import fault_injection, remote_replicas

REPLICAS = 4
"""Replicas of each service."""

INTERVALS = (0.5, 3.0)
"""Minimum and maximum seconds between the starts of two suspensions."""

SECONDS = (0.3, 5.0)
"""Minimum and maximum seconds for which a replica is suspended."""

SUSPENDED_MAX = REPLICAS // 2
"""Replicas of a service that are suspended at the same time."""


class SuspensionInjector:
    """Suspends replicas, some of them together, again and again."""

    def __init__(
        self,
        targets: list[remote_replicas.ReplicaProcess],
        faults: fault_injection.FaultInjector,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._faults = faults
        self._rng = rng
        self._suspended: set[str] = set()
        """The ids of the suspended replicas."""

    async def run(self, ends_at: float) -> None:
        """Start one suspension after the other until `ends_at`; return when all are over."""
        async with asyncio.TaskGroup() as running:
            while clocks.now() < ends_at:
                running.create_task(self._suspend())
                await asyncio.sleep(self._rng.uniform(*INTERVALS))

    async def _suspend(self) -> None:
        target = self._choose()
        if target is None:
            return
        seconds = self._rng.uniform(*SECONDS)
        self._faults.log_fault(f'{target.name} is suspended for {seconds:.2f} s', seconds)
        self._suspended.add(target.name)
        target.suspend()
        await asyncio.sleep(seconds)
        target.resume()
        self._suspended.remove(target.name)

    def _choose(self) -> remote_replicas.ReplicaProcess | None:
        """Return a replica that may be suspended, if there is one."""
        service = self._rng.choice(sorted({target.state.service for target in self._targets}))
        members = [target for target in self._targets if target.state.service == service]
        free = [target for target in members if target.name not in self._suspended]
        if len(members) - len(free) >= SUSPENDED_MAX:
            return None
        return self._rng.choice(free)
