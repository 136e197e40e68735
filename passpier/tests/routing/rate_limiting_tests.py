"""Which processes report their spending to which, where few of many serve requests."""

from __future__ import annotations

import asyncio
import random
import types
from collections.abc import Mapping
from typing import Any, cast

import pytest

from passpier import clocks
from passpier.core import buckets, entries, members
from passpier.daemon import messages
from passpier.routing import rate_limiting, registry_mirror
from passpier.standins import network, virtual_time

RATE = buckets.Rate(100_000, 100_000)
RATES = {'acme': RATE}
SERVING = 6
STANDBY = 18

pytestmark = pytest.mark.usefixtures('virtual_clock')


class Process:
    """The rate limiter of one process; heartbeats reach it at once."""

    def __init__(
        self, net: network.Network, number: int, rates: Mapping[str, buckets.Rate] = RATES
    ) -> None:
        own = members.Member(f'vm-{number}', f'i{number}', f'10.0.0.{number}', 1, 2, 'd0')
        self.membership = members.Membership(own, 0.5, clocks.now())
        link = cast(Any, net.connect(own))
        table = types.SimpleNamespace(rates=rates)
        known = cast(registry_mirror.RegistryState, types.SimpleNamespace(table=table))
        tolerance = buckets.Tolerance(8.0, 0.1, 110_000)
        self.limiter = rate_limiting.RateLimiter(
            known, self.membership, link, tolerance, random.Random(number)
        )


class Fleet:
    def __init__(self) -> None:
        self.net = network.Network(random.Random(1))
        self.processes = [Process(self.net, n) for n in range(SERVING + STANDBY)]
        self.told = 0
        self.counters = 0
        self.tasks = [asyncio.ensure_future(p.limiter.run()) for p in self.processes]

    def beat(self, serving: int) -> None:
        """Let all processes know the request rates of all others."""
        self.counters += 1
        now = clocks.now()
        beats = [
            members.Beat(f'i{n}', self.counters + 1, rate=10.0 if n < serving else 0.0)
            for n in range(len(self.processes))
        ]
        for process in self.processes:
            own = process.membership.own
            process.membership.advance(
                now, 0, 0, 0, False, beats[self.processes.index(process)].rate
            )
            for other in self.processes:
                if other is not process:
                    process.membership.add(other.membership.own, now)
            process.membership.merge([b for b in beats if b.incarnation != own.incarnation], now)

    async def run(self, seconds: float, serving: int) -> int:
        """Let the serving processes spend; return the number of messages sent."""
        before = self.net.carried
        ends = clocks.now() + seconds
        while clocks.now() < ends:
            self.beat(serving)
            for process in self.processes[:serving]:
                await process.limiter.charge('r', 'acme', 500, 10.0)
            await asyncio.sleep(0.25)
        return self.net.carried - before

    def end(self) -> None:
        for task in self.tasks:
            task.cancel()


def test_a_process_back_on_standby_stops_sending() -> None:
    """After a start all served requests; later each still messaged each, ten times a second."""

    async def play() -> None:
        fleet = Fleet()
        await fleet.run(5.0, len(fleet.processes))
        await fleet.run(5.0, SERVING)
        sent = await fleet.run(5.0, SERVING)
        fleet.end()
        rounds = 5.0 / rate_limiting.INTERVAL
        # Some are named to clients without being used yet.
        sharing = SERVING + entries.MIN_ACTIVE
        assert sent <= 1.2 * rounds * sharing * (sharing - 1)
        assert fleet.processes[0].limiter.buckets.compute_share(clocks.now()) == 1.0

    virtual_time.run(play())


def test_a_standby_process_serves_its_first_request_at_once() -> None:
    async def play() -> None:
        fleet = Fleet()
        await fleet.run(10.0, SERVING)
        newcomer = fleet.processes[-1]
        began = clocks.now()
        assert await newcomer.limiter.charge('r', 'acme', 60_000, 10.0) == 0.0
        assert clocks.now() - began < rate_limiting.CONTACT_TIMEOUT
        fleet.end()

    virtual_time.run(play())


def test_processes_that_spend_nothing_do_not_reply_to_replies() -> None:
    async def play() -> None:
        fleet = Fleet()
        await fleet.run(10.0, SERVING)
        await asyncio.sleep(5.0)
        before = fleet.net.carried
        one, other = fleet.processes[-2:]
        link = fleet.net.links[one.membership.own.peer]
        link.send(other.membership.own.peer, messages.RateUsage(1, 0, False, []))
        await asyncio.sleep(5.0)
        fleet.end()
        assert fleet.net.carried - before <= 3

    virtual_time.run(play())


def test_without_limited_accounts_no_sharers_are_determined(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lookups: list[object] = []
    monkeypatch.setattr(entries, 'choose_active', lambda *arguments: lookups.append(arguments))

    async def play() -> None:
        net = network.Network(random.Random(1))
        process = Process(net, 0, rates={})
        task = asyncio.ensure_future(process.limiter.run())
        await asyncio.sleep(5.0)
        task.cancel()
        assert net.carried == 0
        assert not lookups

    virtual_time.run(play())
