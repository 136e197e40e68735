"""Which path a process takes to a replica, by how the replica answers on each of them."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import cast

import pytest

from passpier.clients import connections, exchanges
from passpier.core import detours, members
from passpier.routing import dialect, paths
from passpier.standins import virtual_time

ADDRESS = '10.1.0.1:80'
PEERS = 6

pytestmark = pytest.mark.usefixtures('virtual_clock')


class Engines:
    """A replica that answers on some paths; calls are recorded by proxy."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {'': 0.001}
        """By proxy, empty for the direct path, after how long the replica answers."""

        self.refused = False
        """Whether the other paths fail at once instead of hanging."""

        self.is_replaced = False
        self.calls: list[tuple[str, bool]] = []

    async def report(
        self, address: str, incarnation: str, proxy: str = '', is_new: bool = False
    ) -> dialect.Report:
        self.calls.append((proxy, is_new))
        if proxy not in self.seconds:
            await asyncio.sleep(0.001 if self.refused else dialect.ASK_TIMEOUT)
            raise exchanges.ExchangeError(exchanges.Fault.CONNECT, 'no connection', False)
        await asyncio.sleep(self.seconds[proxy])
        if self.is_replaced:
            raise exchanges.ExchangeError(exchanges.Fault.REPLACED, 'another one', True)
        return dialect.Report({}, False, 0, 0, 0)


class Process:
    """A process with six peers in two failure domains."""

    def __init__(self) -> None:
        own = members.Member('vm-0', 'i0', '10.0.0.1', 1, 2, 'd0', 1.0, 3)
        self.membership = members.Membership(own, 0.5, 0.0)
        self.counter = 1
        for number in range(1, PEERS + 1):
            ip = f'10.0.0.{number + 1}'
            peer = members.Member(f'vm-{number}', f'i{number}', ip, 1, 2, f'd{number % 2}', 1.0, 3)
            self.membership.add(peer, 0.0)
        self.engines = Engines()
        self.paths = paths.Paths(
            self.membership,
            connections.Pool(),
            cast(dialect.Engines, self.engines),
            random.Random(1),
        )
        self.lost: list[str] = []
        self.paths.on_lost = self.lost.append
        self.beat()

    @property
    def tunnels(self) -> list[str]:
        return [m.tunnel for m in self.membership.list_known() if m.name != 'vm-0']

    def beat(self, leaving: str = '') -> None:
        """Receive a heartbeat of each peer, one of which may be leaving."""
        self.counter += 1
        now = asyncio.get_running_loop().time()
        known = [m for m in self.membership.list_known() if m.name != 'vm-0']
        beats = [
            members.Beat(m.incarnation, self.counter, leaving=m.tunnel == leaving) for m in known
        ]
        self.membership.merge(beats, now)

    async def ask(self) -> str:
        """Ask the replica for its report; return the path that is taken to it then."""
        await self.paths.report(ADDRESS, 'r1')
        return self.paths.choose(ADDRESS)


def run(check: Callable[[Process], Awaitable[None]]) -> None:
    async def play() -> None:
        await check(Process())

    virtual_time.run(play())


def test_a_replica_that_answers_directly_is_asked_by_no_peer() -> None:
    async def check(process: Process) -> None:
        assert await process.ask() == ''
        assert process.engines.calls == [('', False)]

    run(check)


@pytest.mark.parametrize('refused', [False, True])
def test_a_replica_that_answers_through_peers_only_is_reached_through_one(refused: bool) -> None:
    async def check(process: Process) -> None:
        process.engines.refused = refused
        process.engines.seconds = dict.fromkeys(process.tunnels, 0.002)
        assert await process.ask() in process.tunnels
        assert len(process.engines.calls) == 1 + paths.PEERS_ASKED
        # Whether the others are out of reach as well is asked only if the path is known to be lost.
        assert process.lost == ([ADDRESS] if refused else [])

    run(check)


def test_a_replica_that_answers_a_little_later_keeps_its_direct_path() -> None:
    async def check(process: Process) -> None:
        process.engines.seconds = dict.fromkeys(process.tunnels, 0.002)
        process.engines.seconds[''] = paths.HEAD_START + paths.DIRECT_GRACE / 2
        assert await process.ask() == ''

    run(check)


def test_another_process_at_the_address_shows_that_the_path_works() -> None:
    async def check(process: Process) -> None:
        process.engines.is_replaced = True
        with pytest.raises(exchanges.ExchangeError, match='another one'):
            await process.ask()
        assert process.paths.is_direct(ADDRESS)
        assert len(process.engines.calls) == 1

    run(check)


def test_peers_are_soon_asked_less_often_for_a_replica_that_is_down() -> None:
    async def check(process: Process) -> None:
        process.engines.seconds = {}
        process.engines.refused = True
        for _ in range(40):
            with pytest.raises(exchanges.ExchangeError):
                await process.ask()
            await asyncio.sleep(0.25)
            process.beat()
        asked = [proxy for proxy, _ in process.engines.calls if proxy]
        most = paths.EAGER_ASKS + 10.0 / paths.ASK_INTERVAL + 1
        assert len(asked) <= most * paths.PEERS_ASKED
        assert process.paths.is_direct(ADDRESS)

    run(check)


# Guards against asking peers again that don't reach the replica, while others were never asked.
@pytest.mark.parametrize('number', range(PEERS))
def test_the_only_peer_that_reaches_a_replica_is_found_with_the_second_ask(number: int) -> None:
    async def check(process: Process) -> None:
        process.engines.refused = True
        process.engines.seconds = {process.tunnels[number]: 0.002}
        for _ in range(PEERS // paths.PEERS_ASKED):
            with contextlib.suppress(exchanges.ExchangeError):
                await process.ask()
        assert process.paths.choose(ADDRESS) == process.tunnels[number]

    run(check)


def test_both_failure_domains_are_asked() -> None:
    """A whole failure domain may be cut off."""

    async def check(process: Process) -> None:
        known = process.membership.list_known()
        other = [m.tunnel for m in known if m.failure_domain == 'd1']
        process.engines.seconds = dict.fromkeys(other, 0.002)
        assert await process.ask() in other

    run(check)


def test_a_failed_connection_has_the_direct_path_tried_by_a_new_one() -> None:
    async def check(process: Process) -> None:
        process.paths.note_connect_failure(ADDRESS)
        await process.ask()
        await process.ask()
        assert process.engines.calls == [('', True), ('', False)]

    run(check)


def test_the_direct_path_is_taken_again_when_it_works() -> None:
    async def check(process: Process) -> None:
        task = asyncio.ensure_future(process.paths.run())
        process.engines.seconds = dict.fromkeys(process.tunnels, 0.002)
        assert await process.ask() in process.tunnels
        await asyncio.sleep(detours.CHECK_INTERVAL * 3)
        assert not process.paths.is_direct(ADDRESS)
        process.engines.seconds[''] = 0.001
        await asyncio.sleep(detours.CHECK_INTERVAL * 2)
        assert process.paths.is_direct(ADDRESS)
        task.cancel()

    run(check)


def test_a_peer_that_leaves_is_replaced() -> None:
    async def check(process: Process) -> None:
        task = asyncio.ensure_future(process.paths.run())
        process.engines.refused = True
        process.engines.seconds = dict.fromkeys(process.tunnels, 0.002)
        first = await process.ask()
        for _ in range(6):
            process.beat(leaving=first)
            await asyncio.sleep(0.5)
        assert process.paths.choose(ADDRESS) in process.tunnels
        assert process.paths.choose(ADDRESS) != first
        task.cancel()

    run(check)


def test_nothing_is_kept_of_an_address_whose_process_has_ended() -> None:
    async def check(process: Process) -> None:
        process.engines.seconds = dict.fromkeys(process.tunnels, 0.002)
        await process.ask()
        process.paths.forget(ADDRESS)
        assert process.paths.is_direct(ADDRESS)

    run(check)
