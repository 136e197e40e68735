"""Replicas that start again under their id, and entries of other writers, in seeded series."""

from __future__ import annotations

import asyncio
import random

from passpier import clocks
from passpier.standins.platform import foreign, promises, replica, troubles

AWAY_SECONDS = (0.3, 2.0, 10.0)
"""Seconds for which a replica is away that starts again."""

PAUSES = (1.0, 4.0)
"""Least and most seconds between two troubles of a series."""

LAPSED_AFTER = 1.5
"""Seconds after a crash at which an entry lapses."""

ORDER_WAIT = 2.0
"""Most seconds to wait for an order to a replica."""

FOREIGN_COUNT = 100
"""Entries that other writers leave at a time."""

OVERWRITTEN_SECONDS = (0.3, 6.0)
"""Least and most seconds until a replica writes its own entry over another writer's."""


class LifeTroubles:
    """Ends replicas and starts them again under their ids."""

    def __init__(
        self, stage: troubles.Stage, shared: troubles.Troubles, rng: random.Random
    ) -> None:
        self._stage = stage
        self._troubles = shared
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Go on until `ends_at`; return when all replicas are back."""
        begun: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            await asyncio.sleep(self._rng.uniform(*PAUSES))
            begun.append(asyncio.ensure_future(self._begin_again(ends_at)))
        await asyncio.gather(*begun)

    async def _begin_again(self, ends_at: float) -> None:
        known = self._pick()
        if known is None:
            return
        moment = self._rng.choice(['at any time', 'within an order', 'within its replacement'])
        if moment == 'within an order':
            await self._wait_for_order(known)
        elif moment == 'within its replacement':
            await self._troubles.begin_replacement(known)
        left = ends_at + AWAY_SECONDS[1] - clocks.now()
        away = self._rng.choice([s for s in AWAY_SECONDS if s <= left] or AWAY_SECONDS[:1])
        version = self._rng.choice([None, 1, max(1, known.version - 1)])
        self._troubles.note(
            f'{known.id} ends {moment}, back after {away} s with weights {version or "as before"}'
        )
        known.crash()
        if away > LAPSED_AFTER and self._rng.random() < 0.5:
            await asyncio.sleep(LAPSED_AFTER)
            self._stage.deployment.remove_replica(known.id)
            away -= LAPSED_AFTER
        await asyncio.sleep(away)
        self._stage.deployment.restart_replica(known.id, version if known.model else None)

    def _pick(self) -> replica.Replica | None:
        """Return a replica whose service keeps another one."""
        ready = [
            r
            for r in self._stage.deployment.replicas.values()
            if r.state == 'ready' and r.server is not None
        ]
        services = [r.service for r in ready]
        free = [r for r in ready if services.count(r.service) > 1]
        return self._rng.choice(free) if free else None

    async def _wait_for_order(self, known: replica.Replica) -> None:
        if not known.model:
            return
        self._stage.name_version()
        ends_at = clocks.now() + ORDER_WAIT
        while not known.loading and clocks.now() < ends_at:
            await asyncio.sleep(0.01)


class ForeignTroubles:
    """Writes entries of other writers beside and over those of replicas."""

    def __init__(
        self, stage: troubles.Stage, shared: troubles.Troubles, rng: random.Random
    ) -> None:
        self.unnamed: list[promises.Unnamed] = []
        self._stage = stage
        self._troubles = shared
        self._rng = rng

    async def run(self, ends_at: float) -> None:
        """Go on until `ends_at`; return when all replicas have their own entries again."""
        begun: list[asyncio.Task[None]] = []
        while clocks.now() < ends_at:
            await asyncio.sleep(self._rng.uniform(*PAUSES))
            if self._rng.random() < 0.5:
                self._write_many()
            else:
                begun.append(asyncio.ensure_future(self._overwrite()))
        await asyncio.gather(*begun)

    def _write_many(self) -> None:
        self._stage.deployment.write_foreign(FOREIGN_COUNT, self._rng)
        self._troubles.note(f'{FOREIGN_COUNT} entries of other writers come')

    async def _overwrite(self) -> None:
        running = self._stage.deployment
        known = self._rng.choice(list(running.replicas.values()))
        if not running.is_recorded(known.id):
            return
        kind = self._rng.choice(list(foreign.build_values(known.render_entry())))
        seconds = self._rng.uniform(*OVERWRITTEN_SECONDS)
        self._troubles.note(f'the entry of {known.id} is overwritten ({kind}) for {seconds:.2f} s')
        revision = running.overwrite(known.id, kind)
        began = clocks.now()
        while clocks.now() < began + seconds and running.get_revision(known.id) == revision:
            await asyncio.sleep(0.01)
        self.unnamed.append(promises.Unnamed(known.id, began, clocks.now()))
        if running.get_revision(known.id) == revision:
            running.record(known.id)
