"""Load orders while the lease for giving them is lost and acquired again."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

import pytest

from passpier import clocks
from passpier.clients import registry
from passpier.core import catalogue, members, routes
from passpier.daemon import messages, peers
from passpier.routing import dialect, pools, registry_follower, registry_mirror, rollouts, roster
from passpier.standins import network, virtual_time
from passpier.tests.routing import fleets

pytestmark = pytest.mark.usefixtures('virtual_clock')

MODEL = 'model'
LOAD_SECONDS = 0.8


class Roster:
    """Records the messages to peers."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def notify_serving(self, message: messages.Message) -> None:
        self.sent.append(message)


class Engines:
    """Replicas that accept orders, respond to some, and load; `orders` are those that arrived."""

    def __init__(self) -> None:
        self.orders: list[dialect.WeightOrder] = []
        self.versions: dict[str, int] = {}
        self.instead_of_response: dict[int, Any] = {}
        """By the number of the order, what happens instead of a response."""

        self.on_connecting: Callable[[], None] = lambda: None
        """Called before each order while its connection is opened."""

    async def report(self, address: str, incarnation: str) -> dialect.Report:
        taken = sum(o.incarnation == incarnation for o in self.orders)
        return dialect.Report({MODEL: self.versions[incarnation]}, False, taken, 0, 0)

    async def order(
        self, address: str, order: dialect.WeightOrder, may_send: Callable[[], bool]
    ) -> dialect.OrderResult:
        self.on_connecting()
        if not may_send():
            return dialect.OrderResult.UNKNOWN
        self.orders.append(order)
        event = self.instead_of_response.get(len(self.orders))
        await asyncio.sleep(0.01)
        if event is not None:
            event()
            return dialect.OrderResult.UNKNOWN
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_SECONDS, self.versions.update, {order.incarnation: order.version})
        return dialect.OrderResult.TAKEN


class Paths:
    """Direct paths to all replicas but those whose addresses are in `lost`."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.lost: set[str] = set()

    def is_direct(self, address: str) -> bool:
        return address not in self.lost

    async def report(self, address: str, incarnation: str) -> dialect.Report:
        return await self._fleet.rollouts._engines.report(address, incarnation)


class Fleet:
    """One process that may give orders, and replicas with version 1."""

    def __init__(self, *names: str) -> None:
        self.engines = Engines()
        self.paths = Paths(self)
        self.roster = Roster()
        known = registry_mirror.RegistryState(fleets.Records(), pools.Pools(10.0), 5.0)
        self.pools = known.pools
        link = network.Network(random.Random(1)).connect(
            members.Member('vm-0', 'i0', '10.0.0.1', 1, 2, 'd0')
        )
        options = cast(dialect.Options, Options())
        self.rollouts = rollouts.Rollouts(
            cast(registry.Registry, None),
            known,
            cast(registry_follower.RegistryFollower, None),
            cast(roster.Roster, self.roster),
            cast(dialect.Engines, self.engines),
            self.paths,
            cast(peers.Peers, link),
            options,
            random.Random(1),
        )
        services = {'s': routes.Service('s', 100)}
        self.pools.apply_configuration(routes.Configuration(1, services=services))
        for name in names:
            self.engines.versions[name] = 1
            entry = catalogue.Entry(name, 's', f'{name}:1', 'd0', 8, False, {MODEL: 1})
            self.pools.apply_change(catalogue.Change(name, entry, 'recorded'))

    def elect(self, token: int, succeeds: int = 0) -> None:
        now = clocks.now()
        self.rollouts.holder.elect(token, now, now - 10.0, succeeds)

    def lose_and_regain_lease(self, token: int) -> None:
        """Lose the lease and acquire it again at once, as its own successor."""
        before = self.rollouts.holder.token
        self.rollouts._drop_lease('the lease lapsed')
        self.elect(token, before)

    def release(self, version: int) -> None:
        now = clocks.now()
        self.pools.record_release(MODEL, version, now, now)


class Options:
    """The options that load orders need."""

    name = 'vm-0'
    order_hold = 3.0
    lease_ttl = 30.0


async def run_orders(fleet: Fleet, seconds: float) -> None:
    task = asyncio.ensure_future(fleet.rollouts.run_orders())
    await asyncio.sleep(seconds)
    task.cancel()


def test_an_order_is_not_repeated_under_an_old_token() -> None:
    """An order without a response was sent again after its sender had been elected anew.

    The new token had arrived at the replica by then; the repeated order still had the old one.
    """

    async def check() -> None:
        fleet = Fleet('r1')
        fleet.elect(5)
        fleet.release(2)
        fleet.engines.instead_of_response[1] = lambda: fleet.lose_and_regain_lease(9)
        await run_orders(fleet, 8.0)
        tokens = [o.token for o in fleet.engines.orders]
        assert tokens[0] == 5
        assert set(tokens[1:]) == {9}
        assert fleet.engines.versions == {'r1': 2}

    virtual_time.run(check())


# Guards against an order that is sent after its lease was lost while the connection was opened.
def test_an_order_is_not_sent_under_a_lease_that_was_lost_while_connecting() -> None:
    async def check() -> None:
        fleet = Fleet('r1')
        fleet.elect(5)
        fleet.release(2)
        fleet.engines.on_connecting = lambda: fleet.rollouts._drop_lease('the lease lapsed')
        await run_orders(fleet, 2.0)
        assert fleet.engines.orders == []

    virtual_time.run(check())


def test_replicas_without_direct_path_are_left_to_another_process() -> None:
    """Orders through a peer would count as those of a second holder; one at a time may order."""

    async def check() -> None:
        fleet = Fleet('r1', 'r2', 'r3')
        fleet.paths.lost.add('r1:1')
        fleet.elect(5)
        fleet.release(2)
        assert not fleet.rollouts._is_cut_off()
        await run_orders(fleet, 8.0)
        assert {o.incarnation for o in fleet.engines.orders} == {'r2', 'r3'}
        # Nothing is left for this process to do.
        assert fleet.rollouts._is_cut_off()
        fleet.paths.lost.clear()
        assert not fleet.rollouts._is_cut_off()
        await run_orders(fleet, 4.0)
        assert fleet.engines.versions == {'r1': 2, 'r2': 2, 'r3': 2}
        assert not fleet.rollouts._is_cut_off()

    virtual_time.run(check())
