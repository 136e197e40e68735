"""Lets the store return from older copies of itself, in seeded series."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import Protocol

from passpier import clocks
from passpier.core import freshness
from passpier.platform import names
from passpier.standins.platform import deployment, metastore

COPY_INTERVAL = 0.5
"""Seconds between two copies."""

COPIES_KEPT = 8
"""Number of copies from which a return is drawn."""

INTERVALS = (0.5, 4.0)
"""Minimum and maximum seconds between two returns; they may overlap other outages."""

AWAY_SECONDS = (0.0, 1.0)
"""Minimum and maximum seconds for which the store is away before it returns."""

REWRITE_SECONDS = (0.0, 0.8)
"""Minimum and maximum seconds after which the operator and the replicas write again, which the
routers allow a second for."""


BURST_SIZE_MAX = 40
"""Maximum number of configuration changes in quick succession that a return loses: until as many
have followed, revisions are given out that the routers know."""

SEEN_SECONDS = 0.3
"""Seconds in which the routers see these changes."""


class FaultLog(Protocol):
    """Records the faults of a run."""

    def log_fault(self, what: str, seconds: float | None = None) -> None:
        """Record a fault; `seconds` is the duration of an unplanned one."""


class ReturnInjector:
    """Copies the store regularly and lets it return as one of the last copies."""

    def __init__(
        self, running: deployment.Deployment, faults: FaultLog, rng: random.Random
    ) -> None:
        self._running = running
        self._faults = faults
        self._rng = rng
        self._copies: collections.deque[metastore.Copy] = collections.deque(maxlen=COPIES_KEPT)

    async def run(self, ends_at: float) -> None:
        """Continue until `ends_at`; return when everything lost has been written again.

        Right after a return routers may refuse keys, so the time for that has passed as well.
        """
        copying = asyncio.ensure_future(self._make_copies())
        try:
            pause = self._rng.uniform(*INTERVALS)
            while clocks.now() + pause < ends_at:
                await asyncio.sleep(pause)
                await self._return()
                pause = self._rng.uniform(*INTERVALS)
            await asyncio.sleep(freshness.REWRITE_SECONDS)
        finally:
            copying.cancel()

    async def _make_copies(self) -> None:
        while True:
            self._copies.append(self._running.store.copy())
            await asyncio.sleep(COPY_INTERVAL)

    async def _return(self) -> None:
        saved = self._rng.choice(self._copies)
        for _ in range(self._rng.randint(0, BURST_SIZE_MAX)):
            self._running.configure()
        await asyncio.sleep(SEEN_SECONDS)
        away = self._rng.uniform(*AWAY_SECONDS)
        pause = self._rng.uniform(*REWRITE_SECONDS)
        store = self._running.store
        lost = store.revision - saved.revision
        what = f'the store returns after {away:.2f} s without its last {lost} changes'
        self._faults.log_fault(f'{what}, written again after {pause:.2f} s', away + pause)
        self._running.faults.down = True
        await asyncio.sleep(away)
        before = store.copy()
        store.restore(saved)
        self._running.faults.down = False
        # Copies of a history that has ended are not used for a further return.
        self._copies.clear()
        self._copies.append(store.copy())
        await asyncio.sleep(pause)
        store.write_again(before, saved, names.OWN_PREFIX)
