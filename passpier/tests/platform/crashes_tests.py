"""Requests that crash every replica that runs them, and that are repeated at any router.

Guards against a crash-causing request that takes down a whole service. One account's prompt was
repeated every 0.3 to 0.5 s, with a new request id and at another router each time: it crashed 15 to
26 replicas, all five of a service within 0.9 s, and each crash failed up to 29 other requests. The
router retried the request at the next replica after 0.3 ms, then responded 502, and no router
recorded which requests were running at a crashed replica. The request that is involved in most
crashes, identified by path, caller and body, is the cause; nearly all others are involved in one.
"""

from __future__ import annotations

import asyncio
import logging
import random

import pytest

from passpier import clocks
from passpier.standins.platform import deployment, replica
from passpier.tests.platform import harness

DEADLY = b'a prompt that no replica survives'

CRASHES_UNTIL_KNOWN = 3
"""Number of crashes after which a request is known to cause them."""

SHARED_WITHIN = 1.5
"""Seconds within which all routers know the cause."""

MAX_SENDS_AFTER = 3
"""How often the request may still be sent after that."""

DOWNTIME = 0.4
"""Seconds for which a crashed replica is down."""


def list_crash_times(running: deployment.Deployment) -> list[float]:
    return sorted(at for r in running.replicas.values() for _, at in r.crashed_by)


def list_send_times(running: deployment.Deployment, prefix: str) -> list[float]:
    runs = [run for r in running.replicas.values() for run in r.runs]
    return sorted(run.at for run in runs if run.id.startswith(prefix))


async def send_repeatedly(
    running: deployment.Deployment, path: str, seconds: float, rng: random.Random
) -> list[deployment.Response]:
    """Send the deadly request to random routers for some seconds."""
    replies = []
    deadline = clocks.now() + seconds
    number = 0
    while clocks.now() < deadline:
        number += 1
        entry = rng.randrange(len(running.routers))
        reply = await running.ask(
            path, entry, id=f'deadly-{number}', body=DEADLY, headers=harness.PROMPT_HEADERS
        )
        replies.append(reply)
        await asyncio.sleep(rng.uniform(0.05, 0.2))
    return replies


def test_request_that_crashes_replicas_is_soon_no_longer_sent() -> None:
    async def check(running: deployment.Deployment) -> None:
        for number in range(2, 5):
            zone = f'zone-{number % 2}'
            running.add_replica(replica.Replica(f'llm-{number}', 'llm', zone, deployment.MODEL))
        await running.wait_ready()
        running.crash_on_body(DEADLY, DOWNTIME)
        await send_repeatedly(running, '/stream/x', 6.0, random.Random(30))
        known_at = list_crash_times(running)[CRASHES_UNTIL_KNOWN - 1] + SHARED_WITHIN
        late_sends = [at for at in list_send_times(running, 'deadly-') if at > known_at]
        assert len(late_sends) <= MAX_SENDS_AFTER

    harness.run_check(check, routers=3)


def test_log_identifies_a_repeated_request(caplog: pytest.LogCaptureFixture) -> None:
    """The request id differs each time, so log lines need the fingerprint as well."""
    caplog.set_level(logging.INFO)

    async def check(running: deployment.Deployment) -> None:
        for id, body in (('one', b'same'), ('two', b'same'), ('three', b'other')):
            await running.ask('/safe/x', id=id, body=body)

    harness.run_check(check)
    ended = [r.__dict__ for r in caplog.records if r.message == 'request ended']
    one, two, three = (r['fingerprint'] for r in ended)
    assert one == two != three


def test_other_requests_are_served_while_one_crashes_replicas() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.crash_on_body(DEADLY, DOWNTIME)
        rng = random.Random(31)
        await send_repeatedly(running, '/stream/x', 2.0, rng)
        await asyncio.sleep(DOWNTIME)
        entries = range(len(running.routers))
        suspected = [await running.ask('/stream/x', e, body=DEADLY) for e in entries]
        assert {r.status for r in suspected} == {503}
        assert all(float(r.headers.get('Retry-After') or 0) > 1 for r in suspected)
        unrelated = [
            await running.ask('/stream/x', e, headers=harness.PROMPT_HEADERS) for e in entries
        ]
        assert {r.status for r in unrelated} == {200}

    harness.run_check(check, routers=3)


def test_new_router_knows_the_suspect_requests() -> None:
    """All other routers have stopped, so the new one can learn it only from the registry."""

    async def check(running: deployment.Deployment) -> None:
        running.crash_on_body(DEADLY, DOWNTIME)
        await send_repeatedly(running, '/stream/x', 3.0, random.Random(32))
        (first,) = running.routers
        first.force_stop()
        await running.wait_ended(first)
        running.routers.clear()
        running.add_router('vm-new', 'zone-1')
        await running.wait_ready()
        await asyncio.sleep(DOWNTIME)
        reply = await running.ask('/stream/x', id='deadly-again', body=DEADLY)
        assert reply.status == 503
        assert not running.list_runs('deadly-again')

    harness.run_check(check, routers=1)


def test_reset_connections_make_no_request_suspect() -> None:
    """The replica is alive: it, or something in the network, has reset the connection."""

    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.faults.lose = 20
        for number in range(6):
            await running.ask('/safe/x', id=f'reset-{number}', body=b'same')
        await asyncio.sleep(0.1)
        for stand_in in running.replicas.values():
            stand_in.faults.lose = 0
        reply = await running.ask('/safe/x', id='last', body=b'same')
        assert reply.status == 200

    harness.run_check(check)
