"""Routers that are cut off from replicas, while clients, the registry and peers reach them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection, Mapping

import pytest

from passpier import clocks
from passpier.clients import exchanges
from passpier.standins.platform import deployment, partitions
from passpier.tests.platform import harness

log = logging.getLogger(__name__)

CONTACT_SECONDS = 3.0
"""Seconds from the start of a partition after which it must not be noticed by clients any more, as
the platform sets them (`contact_ms`)."""

REQUEST_INTERVAL = 0.04
PATHS = ('/safe/x', '/once/x', '/resume/x', '/stream/x')


class Traffic:
    """Steady requests of all kinds to one router, and their statuses by the time of sending."""

    def __init__(self, running: deployment.Deployment, entry: int) -> None:
        self._running = running
        self._entry = entry
        self._pending: set[asyncio.Task[None]] = set()
        self.outcomes: list[tuple[float, str, int]] = []

    async def send(self, seconds: float) -> None:
        """Send requests for some seconds and wait for their responses."""
        ends_at = clocks.now() + seconds
        number = 0
        while clocks.now() < ends_at:
            task = asyncio.ensure_future(self._send_one(PATHS[number % len(PATHS)]))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
            number += 1
            await asyncio.sleep(REQUEST_INTERVAL)
        await asyncio.gather(*self._pending)

    async def _send_one(self, path: str) -> None:
        sent_at = clocks.now()
        headers = harness.PROMPT_HEADERS if path in ('/resume/x', '/stream/x') else []
        try:
            response = await self._running.ask(path, self._entry, headers=headers)
            status = response.status
        except exchanges.ExchangeError:
            status = 0
        self.outcomes.append((sent_at, path, status))

    def list_failed(self, since: float) -> list[tuple[float, str, int]]:
        """Return the requests sent from `since` on that were not answered with a success."""
        return [
            (round(at - since, 2), p, s) for at, p, s in self.outcomes if at >= since and s != 200
        ]


async def check_served(
    running: deployment.Deployment, cuts: Mapping[int, Collection[str]], kind: partitions.Cut
) -> None:
    """Cut routers off from replicas, and check that their clients are served again in time."""
    await running.wait_settled()
    sent = [Traffic(running, entry) for entry in cuts]
    sending = [asyncio.ensure_future(t.send(CONTACT_SECONDS + 3.0)) for t in sent]
    await asyncio.sleep(1.0)
    cut_at = clocks.now()
    for entry, replica_ids in cuts.items():
        running.cut_off(f'vm-{entry}', replica_ids, kind)
    await asyncio.gather(*sending)
    for traffic in sent:
        log.info('%s: failed after the cut: %s', kind, traffic.list_failed(cut_at))
    for traffic in sent:
        assert not traffic.list_failed(cut_at + CONTACT_SECONDS)


@pytest.mark.parametrize('kind', list(partitions.Cut), ids=lambda kind: kind.value)
def test_router_cut_off_from_all_replicas_serves_its_clients(kind: partitions.Cut) -> None:
    """Guards against refusing all requests because the own links to replicas are lost."""

    async def check(running: deployment.Deployment) -> None:
        await check_served(running, {0: list(running.replicas)}, kind)

    harness.run_check(check, routers=3)


def test_routers_cut_off_from_different_services_serve_their_clients() -> None:
    """Guards against taking reach for a property of the VM: each reaches what the other lacks."""

    async def check(running: deployment.Deployment) -> None:
        cuts = {0: ['llm-0', 'llm-1'], 1: ['app-0', 'app-1']}
        await check_served(running, cuts, partitions.Cut.HANG)

    harness.run_check(check, routers=2)


def test_most_routers_cut_off_serve_their_clients_through_the_last_one() -> None:
    """Guards against asking only peers that are cut off themselves."""

    async def check(running: deployment.Deployment) -> None:
        everything = list(running.replicas)
        cuts = dict.fromkeys(range(4), everything)
        await check_served(running, cuts, partitions.Cut.RESET)

    harness.run_check(check, routers=5)


def test_router_returns_to_its_own_links_when_they_work_again() -> None:
    """Guards against loading peers with traffic that doesn't need them any more."""

    async def check(running: deployment.Deployment) -> None:
        await running.wait_settled()
        cut, peer = running.routers
        traffic = Traffic(running, 0)
        sending = asyncio.ensure_future(traffic.send(6.0))
        running.cut_off('vm-0', list(running.replicas), partitions.Cut.RESET)
        await harness.wait_for(lambda: not cut.paths.is_direct(running.replicas['app-0'].address))
        await asyncio.sleep(1.0)
        running.router_pools['vm-0'].heal()
        healed_at = clocks.now()
        addresses = [replica.address for replica in running.replicas.values()]
        await harness.wait_for(lambda: all(cut.paths.is_direct(a) for a in addresses))
        await sending
        assert not traffic.list_failed(healed_at)
        await harness.wait_for(lambda: not peer.tunnels.count_busy())

    harness.run_check(check, routers=2)


def test_peer_that_stops_fails_no_request_of_its_tunnels() -> None:
    """Guards against a planned stop that ends the tunnels of a router without own links."""

    async def check(running: deployment.Deployment) -> None:
        await running.wait_settled()
        running.cut_off('vm-0', list(running.replicas), partitions.Cut.RESET)
        traffic = Traffic(running, 0)
        sending = asyncio.ensure_future(traffic.send(9.0))
        await asyncio.sleep(2.0)
        stops_at = clocks.now()
        used = next(r for r in running.routers if r.tunnels.count_busy())
        used.begin_stop()
        await running.wait_ended(used)
        await sending
        assert not traffic.list_failed(stops_at)

    harness.run_check(check, routers=3)


def test_peer_that_dies_is_replaced_by_another_one() -> None:
    """Guards against a detour that ends with the peer that it leads through."""

    async def check(running: deployment.Deployment) -> None:
        await running.wait_settled()
        running.cut_off('vm-0', list(running.replicas), partitions.Cut.RESET)
        traffic = Traffic(running, 0)
        sending = asyncio.ensure_future(traffic.send(6.0))
        await asyncio.sleep(2.0)
        died_at = clocks.now()
        next(r for r in running.routers if r.tunnels.count_busy()).force_stop()
        await sending
        assert not traffic.list_failed(died_at + CONTACT_SECONDS)

    harness.run_check(check, routers=3)


def test_a_lost_path_does_not_count_as_a_crash_of_the_replica() -> None:
    """Requests that ran there were suspected of crashes at all routers."""

    async def check(running: deployment.Deployment) -> None:
        harness.set_processing_time(running, 0.4)
        pending = [
            asyncio.ensure_future(running.ask('/once/x', id=f'n{i}', body=bytes([i])))
            for i in range(6)
        ]
        await harness.wait_for(lambda: all(running.list_runs(f'n{i}') for i in range(6)))
        running.cut_off('vm-0', list(running.replicas), partitions.Cut.RESET)
        await asyncio.gather(*pending)
        await asyncio.sleep(1.0)
        for router in running.routers:
            assert not len(router.suspects.crashes)

    harness.run_check(check, routers=2)


def test_router_that_gives_orders_hands_them_over_when_it_reaches_no_replica() -> None:
    """Released weights were loaded nowhere until the partition ended, by no router."""

    async def check(running: deployment.Deployment) -> None:
        await harness.wait_for(lambda: any(r.rollouts.holder.token for r in running.routers))
        holder = next(r for r in running.routers if r.rollouts.holder.token)
        engines = [replica for replica in running.replicas.values() if replica.model]
        running.cut_off(holder.options.name, [e.id for e in engines], partitions.Cut.HANG)
        running.release_version(2)
        async with asyncio.timeout(holder.options.version_bound):
            await harness.wait_for(lambda: all(e.version == 2 for e in engines))
        assert not holder.rollouts.holder.token

    harness.run_check(check, routers=3)
