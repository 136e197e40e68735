"""A registry that cuts watches that wait, while it answers every other call."""

from __future__ import annotations

import asyncio

import pytest

from passpier import clocks
from passpier.clients import registry
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

CUTTING_SECONDS = 2.0
SILENT_SECONDS = 10.0
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


# Guards against a short outage that passes for a cut watch, so that live replicas are dropped.
def test_replica_stays_in_use_if_its_entry_vanishes_while_the_registry_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: deployment.Deployment) -> None:
        process = running.routers[0]
        source = process.adapter.source
        watch = source.watch
        ended = asyncio.Event()

        async def watch_in_silence(
            prefix: str, after: registry.Revision, wait: float
        ) -> registry.Changes:
            monkeypatch.setattr(source, 'watch', watch)
            running.faults.delay = SILENT_SECONDS
            running.remove_entry('app-0')
            try:
                return await watch(prefix, after, wait)
            finally:
                running.faults.delay = 0.0
                ended.set()

        monkeypatch.setattr(source, 'watch', watch_in_silence)
        await ended.wait()
        removed = running.store.revision
        await harness.wait_for(lambda: process.registry_state.revision.number >= removed)
        assert 'app-0' in process.pools.replicas

    harness.run_check(check)
