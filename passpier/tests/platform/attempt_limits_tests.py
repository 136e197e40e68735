"""How many replicas run a request at once, and how much time they are given: the checks of it."""

from __future__ import annotations

import asyncio

import pytest

from passpier import clocks
from passpier.clients import exchanges
from passpier.platform import dialect, names
from passpier.standins.platform import attempt_limits, deployment, invariants, partitions, replica
from passpier.tests.platform import harness

BURST = 30
"""Requests that are sent at once: more than may be given too much time."""

WORK_SECONDS = 0.6
"""Seconds after which the first attempts fail, so that a request is sent again late."""

PATIENCE_MS = 3000


async def send_burst(running: deployment.Deployment) -> list[invariants.RequestOutcome]:
    """Send requests to one router at once; return what their clients received."""
    began = clocks.now()
    ids = [f'b{number}' for number in range(BURST)]
    replies = await asyncio.gather(
        *(running.ask('/safe/x', id=id, patience_ms=PATIENCE_MS) for id in ids)
    )
    return [
        invariants.RequestOutcome(
            id,
            'safe',
            '',
            began,
            reply.status,
            reply.body,
            clocks.now() - began,
            patience=PATIENCE_MS / 1000,
        )
        for id, reply in zip(ids, replies, strict=True)
    ]


async def resend_over_lost_path(
    running: deployment.Deployment,
) -> list[invariants.RequestOutcome]:
    """Have a burst fail late at one replica, while the path to the other one is lost."""
    running.add_router('vm-0', 'zone-0', retry_slack=1000)
    running.add_router('vm-1', 'zone-1', retry_slack=1000)
    await running.wait_ready()
    running.age_routers()
    failing, other = running.replicas['app-0'], running.replicas['app-1']
    failing.slots = other.slots = BURST
    failing.work_seconds = WORK_SECONDS
    failing.faults.fail = BURST
    running.write_entry(failing.id)
    running.remove_entry(other.id)
    known = [process.pools.replicas for process in running.routers]
    await harness.wait_for(lambda: all(other.id not in replicas for replicas in known))
    sending = asyncio.ensure_future(send_burst(running))
    await asyncio.sleep(WORK_SECONDS / 2)
    running.cut_off('vm-0', [other.id], partitions.Cut.HANG)
    running.write_entry(other.id)
    return await sending


# Guards against deadlines that are computed before a connection is opened, and sent after.
def test_request_sent_again_over_another_path_keeps_the_deadline_of_its_client() -> None:
    async def check(running: deployment.Deployment) -> None:
        outcomes = await resend_over_lost_path(running)
        deadlines = attempt_limits.list_deadlines(outcomes, running.replicas.values())
        assert sum(one.is_resent for one in deadlines) > attempt_limits.OVERLONG_ALLOWED
        allowed = running.map_max_attempts()
        assert not attempt_limits.find_violations(outcomes, running.replicas.values(), allowed)
        assert [one.status for one in outcomes] == [200] * BURST

    harness.run_check(check, routers=0)


def test_router_that_gives_each_attempt_the_whole_time_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def write_whole_time(self: dialect.Requests, time_left: float) -> exchanges.Headers:
        return [(names.DEADLINE, str(PATIENCE_MS))]

    async def check(running: deployment.Deployment) -> None:
        monkeypatch.setattr(dialect.Requests, 'write_deadline', write_whole_time)
        outcomes = await resend_over_lost_path(running)
        allowed = running.map_max_attempts()
        found = attempt_limits.find_violations(outcomes, running.replicas.values(), allowed)
        assert len(found) == 1
        assert 'deadlines ended later' in found[0]

    harness.run_check(check, routers=0)


def make_outcome(id: str, sent_at: float = 0.0) -> invariants.RequestOutcome:
    return invariants.RequestOutcome(id, 'safe', '', sent_at, 200, b'', 1.0, patience=2.0)


def make_replicas(runs: dict[str, list[tuple[float, float]]]) -> list[replica.Replica]:
    """Return a replica for each run of each request; `runs` has starts and ends by request."""
    found: list[replica.Replica] = []
    for id, times in runs.items():
        for at, ended in times:
            target = replica.Replica(f'app-{len(found)}', 'app', 'zone-0')
            target.runs = [replica.Run(id, '', '', 1, '', 1000, at, ended=ended)]
            found.append(target)
    return found


@pytest.mark.parametrize('count', [3, 4])
def test_requests_on_too_many_replicas_at_once_are_detected(count: int) -> None:
    at_once = {f'r{n}': [(0.0, 3.0), (1.0, 2.0), (2.5, 3.0), (2.6, 3.0)] for n in range(count)}
    apart = {'apart': [(0.0, 1.0), (1.0, 2.0), (2.0, 3.0)]}
    replicas = make_replicas({**at_once, **apart})
    outcomes = [make_outcome(id) for id in (*at_once, *apart)]
    found = attempt_limits.find_violations(outcomes, replicas, {'safe': 2})
    assert bool(found) == (count > attempt_limits.PARALLEL_ALLOWED)
    uses = attempt_limits.measure(outcomes, replicas, {'safe': 2})
    assert [use.share for use in uses] == [1.5]


@pytest.mark.parametrize(('late', 'expected'), [(0.4, 0.4), (0.9, 0.9), (0.0, 0.0)])
def test_deadline_counts_from_the_first_arrival_and_the_client(
    late: float, expected: float
) -> None:
    replicas = make_replicas({'r': [(0.0, 1.0)], 'other': [(0.0, 1.0)]})
    replicas[0].arrivals = [replica.Arrival('r', 0.1, time_left=1.9)]
    replicas[1].arrivals = [replica.Arrival('r', 1.0, time_left=1.0 + late)]
    deadlines = attempt_limits.list_deadlines([make_outcome('r')], replicas)
    assert [one.is_resent for one in deadlines] == [False, True]
    assert deadlines[1].excess == pytest.approx(expected)
    disturbances = [invariants.Disturbance('app-1', 0.5, 0.9)]
    assert len(attempt_limits.list_deadlines([make_outcome('r')], replicas, disturbances)) == 1
