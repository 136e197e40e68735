"""Routers share their demand, unless the feature is switched off at one of them."""

from __future__ import annotations

import asyncio

from passpier import clocks
from passpier.core import features
from passpier.standins.platform import deployment
from passpier.tests.platform import harness


def test_requests_at_one_router_are_known_to_others_that_share_demand() -> None:
    async def check(running: deployment.Deployment) -> None:
        others = features.ALL - {features.Feature.POOL_DEMAND}
        running.add_router('vm-2', 'zone-0', enabled_features=others)
        await running.wait_ready()
        harness.set_processing_time(running, 2.0)
        asked = asyncio.ensure_future(running.ask('/safe/x', 0, patience_ms=5000))

        def count_running(entry: int) -> int:
            picture = running.routers[entry].load_balancing.demand_board.get_picture(
                'app', clocks.now()
            )
            return sum(p.running for p in picture.priorities)

        await harness.wait_for(lambda: count_running(1) == 1)
        assert count_running(2) == 0
        assert (await asked).status == 200
        await harness.wait_for(lambda: count_running(1) == 0)
        sent = 'passpier_demand_messages_total{direction="sent"}'
        pages = [r.counters.render(['text/plain'])[0].decode() for r in running.routers]
        assert [sent in page for page in pages] == [True, False, False]

    harness.run_check(check, routers=2)
