"""A registry that cuts watches that wait, while it answers every other call."""

from __future__ import annotations

import asyncio

from passpier import clocks
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

CUTTING_SECONDS = 2.0
REMOVED_WITHIN = 1.0
"""Seconds in which a replica without an entry has to be out of use; the platform allows 2 s."""


# Guards against cut watches that pass for an outage, which keeps the entries that vanish meanwhile.
def test_replica_is_out_of_use_soon_although_watches_are_cut() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.faults.cuts_watches = True
        await asyncio.sleep(CUTTING_SECONDS)
        running.remove_entry('app-0')
        removed_at = clocks.now()
        await harness.wait_for(
            lambda: all('app-0' not in router.pools.replicas for router in running.routers)
        )
        assert clocks.now() - removed_at < REMOVED_WITHIN
        assert all(router.is_ready() for router in running.routers)

    harness.run_check(check, routers=2)


# Guards against entries that expire during an outage and pass for removed ones.
def test_replica_stays_in_use_if_its_entry_vanishes_during_an_outage() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.faults.down = True
        await asyncio.sleep(CUTTING_SECONDS)
        running.remove_entry('app-0')
        running.faults.down = False
        await asyncio.sleep(REMOVED_WITHIN)
        assert all('app-0' in router.pools.replicas for router in running.routers)

    harness.run_check(check, routers=2)
