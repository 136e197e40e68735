"""A router of the simulated fleet: production objects, with links in place of sockets."""

from __future__ import annotations

import random

from passpier import clocks
from passpier.core import catalogue, members, routes
from passpier.daemon import dispatcher, loads, metrics, peers
from passpier.routing import placement_sharing, pools, router, sources
from passpier.standins import network
from passpier.standins.fleet import engines

SERVICE = 'llm'
REQUEST_RATE = 10.0
"""Requests a second that each router reports, so that all count as receiving requests."""


class Router:
    """The decision-making parts of a router."""

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
                engine.spec.slots,
                False,
                {'m': 1},
            )
            self.pools.apply_change(catalogue.Change(engine.name, entry, 'model'))
            # The value that routers have learned after some minutes of traffic.
            self.pools.get(engine.name).seconds_per_token = 1 / engine.spec.prefill_rate
        self.membership = members.Membership(own, 1e6, now)
        for member in fleet:
            self.membership.add(member, now)
        beats = [members.Beat(m.incarnation, 1, rate=REQUEST_RATE) for m in fleet]
        self.membership.merge(beats, now)
        self.membership.advance(now, 0, 0, 0, False, REQUEST_RATE)
        link: peers.Peers = net.connect(own)  # type: ignore[assignment]
        self.loads = loads.Loads(self.membership, self.pools, link, router.LOADS_INTERVAL)
        self.sharing = placement_sharing.PlacementSharing(
            sources.CacheSources(self.pools), self.membership, link
        )
        self.dispatcher = dispatcher.Dispatcher(self.pools, metrics.Metrics(), rng)


def _build_configuration(pool: list[engines.Engine]) -> routes.Configuration:
    spec = pool[0].spec
    engine = routes.Engine(('m',), spec.slots, spec.memory_tokens)
    return routes.Configuration(1, services={SERVICE: routes.Service(SERVICE, 0, engine)})
