"""Replicas that crash when they have to refuse too many requests in a second, and say so."""

from __future__ import annotations

import asyncio
import logging
import random

import pytest

from passpier import clocks
from passpier.clients import exchanges
from passpier.standins.platform import deployment, replica
from passpier.tests.platform import harness

log = logging.getLogger(__name__)

CONTACT_SECONDS = 3.0
"""Seconds after which all routers have to know that replicas are brittle."""

DOWNTIME = 1.0
SLOTS = 4
REPLICAS = 4
WORK_SECONDS = 0.3
CAPACITY = REPLICAS * SLOTS / WORK_SECONDS
"""Requests per second that the replicas can run."""

SECONDS = 8.0


async def send(running: deployment.Deployment, rate: float, seconds: float) -> list[int]:
    """Send requests to random routers and return their statuses."""
    rng = random.Random(7)
    ends_at = clocks.now() + seconds
    pending = []

    async def ask() -> int:
        entry = rng.randrange(len(running.routers))
        try:
            return (await running.ask('/safe/x', entry, patience_ms=1500)).status
        except exchanges.ExchangeError:
            return 0

    while clocks.now() < ends_at:
        pending.append(asyncio.ensure_future(ask()))
        await asyncio.sleep(rng.expovariate(rate))
    return list(await asyncio.gather(*pending))


@pytest.mark.parametrize('limit', [1, 4, 12])
def test_brittle_replicas_are_not_crashed_by_refusals(limit: int) -> None:
    """Guards against routers that try full replicas again and again, each for itself."""

    async def check(running: deployment.Deployment) -> None:
        for number in range(2, REPLICAS):
            running.add_replica(replica.Replica(f'app-{number}', 'app', f'zone-{number % 2}'))
        for stand_in in running.replicas.values():
            if stand_in.service == 'app':
                stand_in.slots = SLOTS
                stand_in.work_seconds = WORK_SECONDS
                running.write_entry(stand_in.id)
        await running.wait_ready()
        began = clocks.now()
        running.make_brittle('app', limit, DOWNTIME)
        statuses = await send(running, CAPACITY * 1.5, SECONDS)
        falls = [at for r in running.replicas.values() for at in r.falls]
        late = [at for at in falls if at > began + CONTACT_SECONDS]
        served = statuses.count(200) / len(statuses)
        log.info('limit %d: %d falls, %d late, served %.2f', limit, len(falls), len(late), served)
        assert len(late) <= 2 + REPLICAS / 10
        # Half of what fits, which is two thirds of what is asked for.
        assert served >= 1 / 3

    harness.run_check(check, routers=4)
