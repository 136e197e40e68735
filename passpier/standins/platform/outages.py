"""Injects failures of whole services, with restarts of all routers among them."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Sequence

from passpier import clocks
from passpier.standins.platform import fault_injection, replica, routers

OUTAGE_SECONDS = (0.5, 2.0)
"""Minimum and maximum seconds for which all replicas of a service fail."""

RETURN_SECONDS = (7.0, 9.5)
"""Minimum and maximum seconds from the start of an outage to the next one of the same service. Both
may fall into one window of the retry budget."""

RECOVERY_SECONDS = (4.0, 8.0)
"""Minimum and maximum seconds between two pairs of outages."""

KILLED_SHARE = 0.8
"""Share of pairs of outages between which all routers are killed at once; else they are paused."""

RESTART_SECONDS = (0.0, 0.5)
"""Minimum and maximum seconds for which all routers are gone."""

PAUSE_SECONDS = (0.5, 7.0)
"""Minimum and maximum seconds for which all routers are paused."""

KINDS = {'app': ('fail', 'refuse', 'lose'), 'llm': ('fail', 'refuse', 'lose', 'cut')}
"""By service, the faults of its replicas by which it fails."""

ALWAYS = 1_000_000
"""Number of coming requests that a fault affects: more than any run sends."""


class OutageInjector:
    """Lets all replicas of a service fail for a while, twice in a row, again and again."""

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
        """Start one pair of outages after the other until `ends_at`; return when all are over."""
        while clocks.now() < ends_at:
            await asyncio.sleep(self._rng.uniform(*RECOVERY_SECONDS))
            service = self._rng.choice(list(KINDS))
            next_at = clocks.now() + self._rng.uniform(*RETURN_SECONDS)
            await self._fail_service(service)
            if self._rng.random() < KILLED_SHARE:
                await self._kill_routers()
            else:
                await self._pause_routers()
            await asyncio.sleep(max(0.0, next_at - clocks.now()))
            await self._fail_service(service)

    async def _fail_service(self, service: str) -> None:
        kind = self._rng.choice(KINDS[service])
        seconds = self._rng.uniform(*OUTAGE_SECONDS)
        self._faults.log_fault(f'all of {service}: fault {kind} for {seconds:.2f} s', seconds)
        ends_at = clocks.now() + seconds
        while clocks.now() < ends_at:
            # Replicas that were added meanwhile fail as well.
            self._set_fault(service, kind, ALWAYS)
            await asyncio.sleep(min(0.1, max(0.0, ends_at - clocks.now())))
        self._set_fault(service, kind, 0)

    def _set_fault(self, service: str, kind: str, count: int) -> None:
        for target in self._list_replicas():
            if target.service == service:
                setattr(target.faults, kind, count)

    def _list_replicas(self) -> Sequence[replica.Replica]:
        return list(self._targets.deployment.replicas.values())

    async def _kill_routers(self) -> None:
        seconds = self._rng.uniform(*RESTART_SECONDS)
        chosen = self._take_routers()
        self._faults.log_fault(
            f'{len(chosen)} routers are killed and restarted after {seconds:.2f} s', seconds + 2.0
        )
        for router in chosen:
            router.kill()
        await asyncio.sleep(seconds)
        for router in chosen:
            self._faults.start(router)
            router.busy = False

    async def _pause_routers(self) -> None:
        seconds = self._rng.uniform(*PAUSE_SECONDS)
        chosen = self._take_routers()
        self._faults.log_fault(f'{len(chosen)} routers are paused for {seconds:.2f} s', seconds)
        began = clocks.now()
        for router in chosen:
            router.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for router in chosen:
            router.send(signal.SIGCONT)
            self._faults.log_resumption(router.name, began)
            router.busy = False

    def _take_routers(self) -> list[routers.RouterProcess]:
        """Return all routers that no other fault is injected into, and mark them as busy."""
        chosen = [router for router in self._targets.routers if not router.busy]
        for router in chosen:
            router.busy = True
        return chosen
