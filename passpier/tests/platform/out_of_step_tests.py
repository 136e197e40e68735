"""Streams that are resumed at a router whose view of the registry is behind.

Guards against streams of two software versions: a router that is cut off from the registry and its
peers doesn't learn of a version that joins meanwhile, and must not infer that there is none.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Sequence

import pytest

from passpier import clocks
from passpier.platform import names
from passpier.routing import router
from passpier.standins.platform import deployment, partitions, replica, stream_clients
from passpier.tests.platform import harness

log = logging.getLogger(__name__)

SERVICE = 'llm'
EVENT_COUNT = 40
EVENT_PAUSE = 0.05

JOIN_DELAY = 0.1
"""Seconds from the start of a partition until replicas of the new version join."""

LOAD_SECONDS = 0.8
"""Seconds before the crash in which streams begin."""

STREAM_COUNT = 60

RESUME_DELAY = 0.05
"""Seconds from the crash until the clients resume their streams."""

PROOF_AGE = 0.1
"""Maximum age in seconds of the registry's state at the start of a partition, so that the time for
which it lasts decides how old that state is when streams are resumed."""

MIN_CONTINUED_SHARE = 0.5
"""Share of resumed streams that have to go on while replicas of their version serve."""

KEYED_PATH = '/resume/x'
"""Path of a route whose keys are refused once the registry's state is 1.5 s old."""

PUBLIC_PATH = '/public/x'
"""Path of a route that needs no key, so that the bound of keys refuses no request."""

KINDS = {
    'both': partitions.Links.ALL,
    'registry': partitions.Links.REGISTRY,
    'peers': partitions.Links.PEERS,
}
"""The links that a partition cuts."""


def add_replica(running: deployment.Deployment, id: str, software: str) -> None:
    """Have a model replica of a software version, with streams that last for two seconds."""
    known = running.replicas.get(id)
    target = known or replica.Replica(id, SERVICE, 'zone-0', deployment.MODEL)
    target.software = software
    target.tells_software = True
    target.event_count = EVENT_COUNT
    target.event_pause = EVENT_PAUSE
    target.slots = STREAM_COUNT
    if known is None:
        running.add_replica(target)


async def prepare(running: deployment.Deployment) -> None:
    """Have three replicas of `v1`, streams at all routers, and a record of the only version.

    Routers write such a record only after as long as streams last.
    """
    routes = running.configuration['routes']
    resumable = next(r for r in routes if r['name'] == 'resume')
    public = {**resumable, 'name': 'public', 'path_prefix': '/public/', 'public': True}
    running.configure(routes=[*routes, public])
    for number in range(3):
        add_replica(running, f'llm-{number}', 'v1')
    await running.wait_ready()
    early = build_streams('early', len(running.routers), KEYED_PATH)
    addresses = [r.options.caller for r in running.routers]
    await asyncio.gather(*(s.read(running, a, 1) for s, a in zip(early, addresses, strict=True)))
    key = f'{names.OWN_PREFIX}software/{SERVICE}'
    running.store.put(key, ['v1'])
    await harness.wait_for(lambda: all(key in r.registry_state.members for r in running.routers))


def build_streams(prefix: str, count: int, path: str) -> list[stream_clients.Stream]:
    """Return streams that are yet to be read."""
    rng = random.Random(prefix)
    prompts = [deployment.make_prompt(rng) for _ in range(count)]
    return [stream_clients.Stream(f'{prefix}{n}', p, path=path) for n, p in enumerate(prompts)]


async def isolate(
    running: deployment.Deployment, cut: Sequence[router.Router], links: partitions.Links
) -> partitions.Isolation:
    """Cut routers off together right after the first has proved its view of the registry."""
    freshness = cut[0].registry_state.freshness
    await harness.wait_for(lambda: freshness.compute_age(clocks.now()) < PROOF_AGE)
    return running.isolate(cut, links)


async def begin_streams(
    running: deployment.Deployment, others: Sequence[router.Router], path: str, ends_at: float
) -> list[stream_clients.Stream]:
    """Read streams through routers until `ends_at`; return those of `v2`, whose clients left."""
    await asyncio.sleep(ends_at - LOAD_SECONDS - clocks.now())
    streams = build_streams('s', STREAM_COUNT, path)
    pending = []
    for number, stream in enumerate(streams):
        address = others[number % len(others)].options.caller
        pending.append(asyncio.ensure_future(stream.read(running, address)))
        left = LOAD_SECONDS * (1 - (number + 1) / STREAM_COUNT)
        await asyncio.sleep(ends_at - left - clocks.now())
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
    return [s for s in streams if s.versions == {'v2'}]


def lacks_version(cut: router.Router) -> bool:
    """Return whether a router knows of no replica of `v2`."""
    return 'v2' not in cut.pools.list_versions(SERVICE, 0.0)


async def resume(
    running: deployment.Deployment,
    at: router.Router,
    streams: Sequence[stream_clients.Stream],
) -> int:
    """Resume streams at a router; return how many found it without knowledge of `v2`."""
    await asyncio.sleep(RESUME_DELAY)
    behind = len(streams) if lacks_version(at) else 0
    await asyncio.gather(*(s.read(running, at.options.caller) for s in streams))
    log.info(
        '%d resumed, %d behind, %d of two versions, %d complete',
        len(streams), behind, count_mixed(streams), sum(s.is_complete for s in streams),
    )  # fmt: skip
    return behind


def count_mixed(streams: Sequence[stream_clients.Stream]) -> int:
    """Return the number of streams with events of several versions."""
    return sum(len(s.versions) > 1 for s in streams)


async def break_off(
    running: deployment.Deployment,
    links: partitions.Links,
    path: str,
    seconds: float,
    joining: int = 1,
    cut_count: int = 1,
) -> tuple[list[stream_clients.Stream], int, partitions.Isolation]:
    """Break streams of `v2` off while routers are out of step, and resume them at the first.

    They are resumed `seconds` after the routers were cut off.

    `joining` replicas of `v2` join, of which the first crashes. Returns the streams, how many of
    them found the router without knowledge of `v2`, and the partition, which goes on.
    """
    cut, others = running.routers[:cut_count], running.routers[cut_count:]
    isolation = await isolate(running, cut, links)
    ends_at = clocks.now() + seconds - RESUME_DELAY
    await asyncio.sleep(JOIN_DELAY)
    for number in range(joining):
        add_replica(running, f'new-{number}', 'v2')
    streams = await begin_streams(running, others, path, ends_at)
    running.crash_replica('new-0')
    behind = await resume(running, cut[0], streams)
    assert streams
    return streams, behind, isolation


# Guards against an inference from a view of the registry that is older than the streams.
@pytest.mark.parametrize('links', KINDS.values(), ids=KINDS)
@pytest.mark.parametrize(('path', 'seconds'), [(KEYED_PATH, 1.1), (PUBLIC_PATH, 2.4)])
def test_streams_keep_their_version_at_a_router_that_is_out_of_step(
    path: str, seconds: float, links: partitions.Links
) -> None:
    async def check(running: deployment.Deployment) -> None:
        await prepare(running)
        streams, behind, _ = await break_off(running, links, path, seconds)
        # Either link alone tells the router of the new version, though perhaps late.
        assert behind == len(streams) or links is not partitions.Links.ALL
        assert count_mixed(streams) == 0

    harness.run_check(check, routers=4)


# Guards against an inference from answers of peers that are out of step as well.
@pytest.mark.parametrize('routers', [3, 4])
@pytest.mark.parametrize(('path', 'seconds'), [(KEYED_PATH, 1.1), (PUBLIC_PATH, 2.4)])
def test_streams_keep_their_version_at_routers_that_are_out_of_step_together(
    path: str, seconds: float, routers: int
) -> None:
    async def check(running: deployment.Deployment) -> None:
        await prepare(running)
        links = partitions.Links.ALL
        streams, behind, _ = await break_off(running, links, path, seconds, cut_count=2)
        assert behind == len(streams)
        assert count_mixed(streams) == 0

    harness.run_check(check, routers=routers)


# Guards against refusing streams for good after a router has been out of step.
@pytest.mark.parametrize(('path', 'seconds'), [(KEYED_PATH, 1.1), (PUBLIC_PATH, 2.4)])
def test_streams_go_on_at_a_router_that_is_in_step_again(path: str, seconds: float) -> None:
    async def check(running: deployment.Deployment) -> None:
        await prepare(running)
        streams, behind, isolation = await break_off(
            running, partitions.Links.ALL, path, seconds, joining=2
        )
        assert behind == len(streams)
        cut = running.routers[0]
        running.rejoin(isolation)
        await harness.wait_for(lambda: not lacks_version(cut))
        left = [s for s in streams if not s.is_complete]
        assert await resume(running, cut, left) == 0
        assert count_mixed(streams) == 0
        assert sum(s.is_complete for s in streams) >= MIN_CONTINUED_SHARE * len(streams)

    harness.run_check(check, routers=4)


# Guards against refusing streams of the only version because one of the routers is gone.
def test_streams_of_the_only_version_go_on_after_their_router_was_killed() -> None:
    async def check(running: deployment.Deployment) -> None:
        await prepare(running)
        first, *others = running.routers
        streams = build_streams('s', 20, KEYED_PATH)
        pending = [
            asyncio.ensure_future(s.read(running, first.options.caller, patience=2.5))
            for s in streams
        ]
        await harness.wait_for(lambda: all(s.events for s in streams))
        running.isolate([first])
        first.force_stop()
        await asyncio.gather(*pending)
        assert not any(s.is_complete for s in streams)
        await resume(running, others[0], streams)
        assert all(s.is_whole for s in streams)
        assert sum(s.is_complete for s in streams) >= MIN_CONTINUED_SHARE * len(streams)

    harness.run_check(check, routers=4)
