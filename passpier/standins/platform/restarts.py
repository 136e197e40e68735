"""Injects restarts of replicas and malformed entries of other writers, in seeded series."""

from __future__ import annotations

import asyncio
import random

from passpier import clocks
from passpier.standins.platform import fault_injection, foreign_entries, invariants, replica

DOWNTIMES = (0.3, 2.0, 10.0)
"""Possible seconds between the crash and the restart of a replica."""

INTERVALS = (1.0, 4.0)
"""Minimum and maximum seconds between two faults of a series."""

ENTRY_TTL = 1.5
"""Seconds after a crash at which the entry of a replica expires."""

ORDER_WAIT = 2.0
"""Maximum seconds to wait for an order to a replica."""

FOREIGN_COUNT = 100
"""Number of malformed entries that are written at a time."""

OVERWRITE_DURATIONS = (0.3, 6.0)
"""Minimum and maximum seconds until an overwritten entry is restored."""


class RestartInjector:
    """Crashes replicas and restarts them under their ids."""

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
        """Continue until `ends_at`; return when all replicas have been restarted."""
        started: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            await asyncio.sleep(self._rng.uniform(*INTERVALS))
            started.append(asyncio.ensure_future(self._restart_replica(ends_at)))
        await asyncio.gather(*started)

    async def _restart_replica(self, ends_at: float) -> None:
        chosen = self._pick()
        if chosen is None:
            return
        moment = self._rng.choice(['at any time', 'during an order', 'during its replacement'])
        if moment == 'during an order':
            await self._wait_for_order(chosen)
        elif moment == 'during its replacement':
            await self._faults.begin_replacement(chosen)
        left = ends_at + DOWNTIMES[1] - clocks.now()
        away = self._rng.choice([s for s in DOWNTIMES if s <= left] or DOWNTIMES[:1])
        version = self._rng.choice([None, 1, max(1, chosen.version - 1)])
        self._faults.log_fault(
            f'{chosen.id} crashes {moment}, back after {away} s, weights {version or "as before"}'
        )
        chosen.crash()
        if away > ENTRY_TTL and self._rng.random() < 0.5:
            await asyncio.sleep(ENTRY_TTL)
            self._targets.deployment.remove_entry(chosen.id)
            away -= ENTRY_TTL
        await asyncio.sleep(away)
        self._targets.deployment.restart_replica(chosen.id, version if chosen.model else None)

    def _pick(self) -> replica.Replica | None:
        """Return a replica whose service has another ready one."""
        ready = [
            r
            for r in self._targets.deployment.replicas.values()
            if r.state == 'ready' and r.server is not None
        ]
        services = [r.service for r in ready]
        free = [r for r in ready if services.count(r.service) > 1]
        return self._rng.choice(free) if free else None

    async def _wait_for_order(self, chosen: replica.Replica) -> None:
        if not chosen.model:
            return
        self._targets.release_version()
        ends_at = clocks.now() + ORDER_WAIT
        while not chosen.loading and clocks.now() < ends_at:
            await asyncio.sleep(0.01)


class ForeignEntryInjector:
    """Writes malformed entries under unused ids and over the entries of replicas."""

    def __init__(
        self,
        targets: fault_injection.FaultTargets,
        faults: fault_injection.FaultInjector,
        rng: random.Random,
    ) -> None:
        self.overwritten: list[invariants.OverwrittenEntry] = []
        self._targets = targets
        self._faults = faults
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Continue until `ends_at`; return when all replicas have their own entries again."""
        started: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            await asyncio.sleep(self._rng.uniform(*INTERVALS))
            if self._rng.random() < 0.5:
                self._write_many()
            else:
                started.append(asyncio.ensure_future(self._overwrite()))
        await asyncio.gather(*started)

    def _write_many(self) -> None:
        self._targets.deployment.write_foreign_entries(FOREIGN_COUNT, self._rng)
        self._faults.log_fault(f'{FOREIGN_COUNT} entries of other writers are added')

    async def _overwrite(self) -> None:
        running = self._targets.deployment
        chosen = self._rng.choice(list(running.replicas.values()))
        if not running.has_entry(chosen.id):
            return
        kind = self._rng.choice(
            list(foreign_entries.build_malformed_entries(chosen.render_entry()))
        )
        seconds = self._rng.uniform(*OVERWRITE_DURATIONS)
        self._faults.log_fault(
            f'the entry of {chosen.id} is overwritten ({kind}) for {seconds:.2f} s'
        )
        revision = running.overwrite_entry(chosen.id, kind)
        began = clocks.now()
        while clocks.now() < began + seconds and running.get_entry_revision(chosen.id) == revision:
            await asyncio.sleep(0.01)
        self.overwritten.append(invariants.OverwrittenEntry(chosen.id, began, clocks.now()))
        if running.get_entry_revision(chosen.id) == revision:
            running.write_entry(chosen.id)
