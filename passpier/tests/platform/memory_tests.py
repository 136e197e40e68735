"""The KV memory of engines with 10,000 tokens limits the requests that run there at once."""

from __future__ import annotations

import asyncio

import pytest

from passpier.core import features
from passpier.platform import names
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

REQUESTS = 12
PROMPT_TOKENS = 500
OUTPUT_TOKENS = 3000


async def measure_peak(running: deployment.Deployment) -> int:
    """Return how many of twelve requests ran at one replica at once, most of which are output."""
    harness.set_processing_time(running, 0.3)
    asked = [
        asyncio.ensure_future(
            running.ask(
                '/patient/x',
                id=f'r{number}',
                headers=[
                    (names.MODEL, deployment.MODEL),
                    (names.TOKEN_USAGE, f'{PROMPT_TOKENS},{OUTPUT_TOKENS}'),
                    (names.PREFIX_HASHES, f'own{number}:{PROMPT_TOKENS}'),
                ],
            )
        )
        for number in range(REQUESTS)
    ]
    peak = 0
    while not all(a.done() for a in asked):
        peak = max(peak, *(r.active for r in running.replicas.values()))
        await asyncio.sleep(0.005)
    assert any(a.result().status == 200 for a in asked)
    return peak


@pytest.mark.parametrize('is_enabled', [True, False])
def test_requests_that_exceed_the_memory_wait_unless_the_feature_is_disabled(
    is_enabled: bool,
) -> None:
    """Guards against preemption by a third request of 3,500 tokens, and against no effect."""
    disabled = frozenset() if is_enabled else {features.Feature.REPLICA_MEMORY}

    async def run() -> None:
        async with deployment.running(routers=0) as running:
            process = running.add_router('vm-0', 'd0', enabled_features=features.ALL - disabled)
            await running.wait_ready()
            peak = await measure_peak(running)
            metrics, _ = process.counters.render([])
            assert (peak <= 2) == is_enabled
            assert (b'passpier_memory_waits_total{service="llm"}' in metrics) == is_enabled

    asyncio.run(asyncio.wait_for(run(), harness.TEST_TIMEOUT))


def test_the_limit_on_buffers_follows_the_settings() -> None:
    """Guards against a limit that is not applied, at the start or after a reload."""

    async def run() -> None:
        async with deployment.running(routers=0) as running:
            process = running.add_router('vm-0', 'd0', memory_mb=128)
            buffers = process.ingress.buffers
            assert buffers is running.router_pools['vm-0'].buffers
            assert buffers.limit == 32 * 2**20
            process.reload(deployment.build_options('vm-0', 'd0'))
            assert buffers.limit is None
            off = features.ALL - {features.Feature.BUFFER_LIMITS}
            other = running.add_router('vm-1', 'd0', memory_mb=128, enabled_features=off)
            assert other.ingress.buffers.limit is None
            await running.wait_ready()

    asyncio.run(asyncio.wait_for(run(), harness.TEST_TIMEOUT))
