"""What replicas say of their brittleness, as processes learn it from answers and peers."""

from __future__ import annotations

import random
from typing import cast

import pytest

from passpier.core import backpressure, catalogue, members, routes
from passpier.daemon import messages, peers
from passpier.routing import brittleness, pools
from passpier.standins import network, virtual_time

BRITTLE = backpressure.Signal(refusal_limit=8)

pytestmark = pytest.mark.usefixtures('virtual_clock')


class Process:
    """One of two processes that use the same two replicas."""

    def __init__(self) -> None:
        own = members.Member('vm-0', 'i0', '10.0.0.1', 1, 2, 'd0')
        self.pools = pools.Pools(10.0)
        self.pools.apply_configuration(
            routes.Configuration(1, services={'s': routes.Service('s', 100)})
        )
        for name in ('r1', 'r2'):
            entry = catalogue.Entry(name, 's', f'{name}:1', 'd0', 8, False, {})
            self.pools.apply_change(catalogue.Change(name, entry, 'recorded'))
        self.sent: list[messages.ServiceBrittle] = []
        self.brittleness = brittleness.Brittleness(
            self.pools,
            members.Membership(own, 1.0, 0.0),
            cast(peers.Peers, network.Network(random.Random(1)).connect(own)),
            self.sent.append,
        )

    def answer(self, name: str, signal: backpressure.Signal, ran_since: float | None) -> None:
        process = self.pools.replicas[name].process
        self.brittleness.handle_signal(process, signal, ran_since)

    def list_limited(self) -> list[str]:
        return [n for n, r in self.pools.replicas.items() if r.refusals is not None]


def run(check: object) -> None:
    async def play() -> None:
        assert callable(check)
        check()

    virtual_time.run(play())


def test_what_one_replica_says_holds_for_its_service() -> None:
    def check() -> None:
        process = Process()
        process.answer('r1', BRITTLE, None)
        assert process.list_limited() == ['r1', 'r2']
        assert [m.refusal_limit for m in process.sent] == [8]

    run(check)


def test_it_ends_with_an_answer_to_a_later_request() -> None:
    def check() -> None:
        process = Process()
        process.answer('r1', BRITTLE, None)
        process.answer('r2', backpressure.NO_SIGNAL, None)
        process.answer('r2', backpressure.NO_SIGNAL, -1.0)
        assert process.list_limited() == ['r1', 'r2']
        process.answer('r2', backpressure.NO_SIGNAL, 1.0)
        assert process.list_limited() == []

    run(check)


def test_peers_learn_it_and_ignore_older_news() -> None:
    def check() -> None:
        process = Process()
        handle = process.brittleness._handle_brittle
        handle('i1', 'a:1', messages.ServiceBrittle('s', 8, 1.0))
        assert process.list_limited() == ['r1', 'r2']
        handle('i1', 'a:1', messages.ServiceBrittle('s', None, 0.5))
        assert process.list_limited() == []
        handle('i2', 'a:2', messages.ServiceBrittle('s', 8, 0.8))
        assert process.list_limited() == []

    run(check)


def test_a_replica_that_joins_is_limited_at_once() -> None:
    """Guards against requests that were queued everywhere and all go to a replica that starts."""

    def check() -> None:
        process = Process()
        process.answer('r1', BRITTLE, None)
        entry = catalogue.Entry('r3', 's', 'r3:1', 'd0', 8, False, {})
        process.pools.apply_change(catalogue.Change('r3', entry, 'recorded'))
        assert process.list_limited() == ['r1', 'r2', 'r3']

    run(check)
