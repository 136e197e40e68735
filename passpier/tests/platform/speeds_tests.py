"""Samples of replica speeds from the responses that a router reads."""

from __future__ import annotations

from passpier import clocks
from passpier.core import features
from passpier.platform import names
from passpier.standins.platform import deployment, replica
from passpier.tests.platform import harness


async def ask_streams(running: deployment.Deployment, entry: int = 0) -> None:
    for number in range(12):
        headers = [
            *harness.PROMPT_HEADERS[:2],
            (names.PREFIX_HASHES, f'{number + 1:08x}:1460'),
        ]
        reply = await running.ask('/stream/x', entry, headers=headers)
        assert reply.status == 200


def test_prefills_and_gaps_of_streams_are_learnt() -> None:
    """Guards against samples that are not passed on by the forwarding of requests."""

    async def check(running: deployment.Deployment) -> None:
        await ask_streams(running)
        process = running.routers[0]
        assert process.load_balancing.speeds is not None
        found = [
            process.load_balancing.speeds.get_estimator(process.pools.get_service(r.name)).estimate(
                r.process, clocks.now()
            )
            for r in process.pools.replicas.values()
        ]
        known = [s for s in found if s is not None]
        assert known
        assert sum(s.samples for s in known) > 10
        assert max(s.event_seconds for s in known) > replica.EVENT_PAUSE * 0.8

    harness.run_check(check)


def test_router_without_the_feature_learns_nothing_from_its_peers() -> None:
    async def check(running: deployment.Deployment) -> None:
        process = running.add_router('off', 'a', enabled_features=frozenset())
        await running.wait_ready()
        await ask_streams(running, 1)
        assert process.load_balancing.speeds is None
        assert features.Feature.REPLICA_SPEEDS in running.routers[0].options.enabled_features
        assert all(r.speed is None for r in process.pools.replicas.values())

    harness.run_check(check)
