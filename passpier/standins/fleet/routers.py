"""One router of the fleet model: the product's own objects, with links in place of sockets."""

from __future__ import annotations

import random

from passpier import clocks
from passpier.core import catalogue, members, routes
from passpier.daemon import dispatcher, loads, metrics, peers
from passpier.routing import pools, router, sharing, sources
from passpier.standins import network
from passpier.standins.fleet import engines

SERVICE = 'llm'
RATE = 10.0
"""Requests a second that each router tells of itself, so that all count as taking requests."""


class Router:
    """One router's decisions."""

    def __init__(
        self,
        own: members.Member,
        fleet: list[members.Member],
        net: network.Network,
        pool: list[engines.Engine],
        rng: random.Random,
    ) -> None:
        now = clocks.now()
        self.pools = pools.Pools(10.0)
        self.pools.apply_configuration(_build_configuration(pool))
        for engine in pool:
            entry = catalogue.Entry(
                engine.name,
                SERVICE,
                f'{engine.name}:1',
                engine.domain,
                engine.speed.slots,
                False,
                {'m': 1},
            )
            self.pools.apply_change(catalogue.Change(engine.name, entry, 'model'))
            # As after some minutes of traffic.
            self.pools.get(engine.name).seconds_per_token = 1 / engine.speed.read_rate
        self.membership = members.Membership(own, 1e6, now)
        for member in fleet:
            self.membership.add(member, now)
        beats = [members.Beat(m.incarnation, 1, rate=RATE) for m in fleet]
        self.membership.merge(beats, now)
        self.membership.advance(now, 0, 0, 0, False, RATE)
        link: peers.Peers = net.connect(own)  # type: ignore[assignment]
        self.loads = loads.Loads(self.membership, self.pools, link, router.LOADS_INTERVAL)
        self.sharing = sharing.Sharing(sources.Sources(self.pools), self.membership, link)
        self.dispatcher = dispatcher.Dispatcher(self.pools, metrics.Metrics(), rng)


def _build_configuration(pool: list[engines.Engine]) -> routes.Configuration:
    speed = pool[0].speed
    engine = routes.Engine(('m',), speed.slots, speed.memory)
    return routes.Configuration(1, services={SERVICE: routes.Service(SERVICE, 0, engine)})
