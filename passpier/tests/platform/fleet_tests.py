"""Routers together: weights, members, planned stops, configuration and keys, store faults."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from passpier import clocks
from passpier.clients import exchanges
from passpier.platform import names
from passpier.routing import router
from passpier.standins.platform import deployment, replica

Check = Callable[[deployment.Deployment], Awaitable[None]]
PROMPT = [
    (names.MODEL, deployment.MODEL),
    (names.TOKENS, '1460,80'),
    (names.PARTS, '5c1e07a2:800,e4402b7d:250'),
]


def play(check: Check, routers: int = 1) -> None:
    async def run() -> None:
        async with deployment.running(routers) as running:
            await check(running)

    asyncio.run(asyncio.wait_for(run(), 40))


async def wait_for(condition: Callable[[], object], bound: float = 10.0) -> None:
    async with asyncio.timeout(bound):
        while not condition():
            await asyncio.sleep(0.01)


async def resolve(running: deployment.Deployment, entry: int, zone: str = '') -> list[str]:
    address = running.routers[entry].options.directory
    target = f'/resolve?name=x&region=here&zone={zone}'
    request = exchanges.Request('GET', target, [('Host', address)])
    answer = await running.pool.fetch(address, request, 1.0)
    body = json.loads(answer.body)
    assert 0 < body['ttl_s'] <= 5
    addresses: list[str] = body['addresses']
    return addresses


async def ask_ready(running: deployment.Deployment, entry: int) -> int:
    address = running.routers[entry].options.ready
    request = exchanges.Request('GET', '/readyz', [('Host', address)])
    return (await running.pool.fetch(address, request, 1.0)).head.status


def list_engines(running: deployment.Deployment) -> list[replica.Replica]:
    return [r for r in running.replicas.values() if r.model]


def test_named_weights_come_to_every_replica_by_one_holder() -> None:
    async def check(running: deployment.Deployment) -> None:
        await wait_for(lambda: any(r.rollouts.holder.token for r in running.routers))
        running.name_version(2)
        await asyncio.sleep(0.2)
        running.name_version(3)
        await wait_for(lambda: all(r.version == 3 for r in list_engines(running)))
        orders = [o for r in list_engines(running) for _, o in r.taken]
        assert len({o['holder'] for o in orders}) == 1
        assert len({o['fencing_token'] for o in orders}) == 1
        known = running.routers[0].pools
        await wait_for(
            lambda: all(known.replicas[r.id].weight_version == '3' for r in list_engines(running))
        )
        reply = await running.ask('/stream/x', id='after', headers=PROMPT)
        assert reply.status == 200
        (run,) = running.list_runs('after')
        assert run.version == 3
        assert run.salt.endswith('/3')

    play(check, routers=3)


def test_the_salt_is_that_of_the_replicas_weights_while_they_change() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.name_version(2)
        replies = []
        while not all(r.version == 2 for r in list_engines(running)):
            replies.append(await running.ask('/resume/x', headers=PROMPT))
            await asyncio.sleep(0.02)
        assert {r.status for r in replies} <= {200, 503}
        for known in list_engines(running):
            for run in known.runs:
                assert run.salt == f'tower/{deployment.MODEL}/{run.version}'

    play(check)


def test_another_router_takes_over_the_orders() -> None:
    async def check(running: deployment.Deployment) -> None:
        await wait_for(lambda: any(r.rollouts.holder.token for r in running.routers))
        holder = next(r for r in running.routers if r.rollouts.holder.token)
        holder.begin_stop()
        running.name_version(2)
        await wait_for(lambda: all(r.version == 2 for r in list_engines(running)), 15)

    play(check, routers=2)


def test_a_new_configuration_is_in_force_everywhere_at_once() -> None:
    async def check(running: deployment.Deployment) -> None:
        routes = running.configuration['routes']
        moved = [{**r, 'path_prefix': '/moved/'} if r['name'] == 'safe' else r for r in routes]
        running.configure(routes=moved)
        tables = [r.known for r in running.routers]
        await wait_for(lambda: all(k.table.configuration.version == 2 for k in tables), 1.0)  # type: ignore[union-attr]
        for entry in range(2):
            assert (await running.ask('/moved/x', entry)).status == 200
            assert (await running.ask('/safe/x', entry)).status == 404

    play(check, routers=2)


def test_a_revoked_key_runs_nothing_more() -> None:
    async def check(running: deployment.Deployment) -> None:
        assert (await running.ask('/safe/x', key='secret-2')).status == 200
        running.configure(tenants=running.configuration['tenants'][:1])
        await wait_for(lambda: running.routers[0].known.table.configuration.version == 2, 0.5)  # type: ignore[union-attr]
        reply = await running.ask('/safe/x', key='secret-2', id='late')
        assert reply.status == 401
        assert not running.list_runs('late')

    play(check)


def test_keys_are_refused_once_the_configuration_may_be_old() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.faults.down = True
        bound = running.routers[0].options.key_bound
        while (await running.ask('/safe/x', id='x')).status == 200:
            assert running.routers[0].known.freshness.compute_age(clocks.now()) < bound
            await asyncio.sleep(0.02)
        reply = await running.ask('/safe/x', id='late')
        assert reply.status == 503
        assert not running.list_runs('late')
        assert (await running.ask('/open/x', key=None)).status == 200
        assert await ask_ready(running, 0) == 503
        running.faults.down = False
        await wait_for(lambda: running.routers[0].is_ready())
        assert (await running.ask('/safe/x')).status == 200

    play(check)


def test_a_router_without_the_store_stays_fresh_by_its_peers() -> None:
    async def check(running: deployment.Deployment) -> None:
        cut = running.routers[0]
        cut.adapter.source.address = '127.0.0.1:1'  # type: ignore[attr-defined]
        await asyncio.sleep(cut.options.key_bound + 1.0)
        assert (await running.ask('/safe/x', entry=0)).status == 200
        # The peer tells that a key was taken away; see relaying_tests for peers that cannot.
        running.configure(tenants=running.configuration['tenants'][:1])
        await asyncio.sleep(cut.options.key_bound)
        reply = await running.ask('/safe/x', entry=0, id='late', key='secret-2')
        assert reply.status == 401
        assert not running.list_runs('late')
        assert (await running.ask('/safe/x', entry=0)).status == 200

    play(check, routers=2)


def test_a_router_that_starts_without_the_store_says_not_run() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.faults.down = True
        running.add_router('late', 'zone-0')
        await asyncio.sleep(0.3)
        reply = await running.ask('/safe/x', entry=1, id='early')
        assert reply.status == 503
        assert float(reply.headers.get('Retry-After') or 0) > 0
        assert not running.list_runs('early')
        running.faults.down = False
        await wait_for(lambda: running.routers[1].is_ready())
        assert (await running.ask('/safe/x', entry=1)).status == 200

    play(check)


def test_lost_history_is_read_again() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.configure()
        running.meta.forget_history()
        running.add_replica(replica.Replica('app-9', 'app', 'zone-0'))
        running.remove_replica('app-0')
        running.meta.forget_history()
        known = running.routers[0].pools
        await wait_for(lambda: 'app-9' in known.replicas and 'app-0' not in known.replicas)

    play(check)


@pytest.mark.parametrize('fault', ['lose_answers', 'late_effects'])
def test_lost_answers_of_writes_do_no_harm(fault: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        setattr(running.faults, fault, 3)
        process = running.add_router('late', 'zone-1')
        await wait_for(lambda: process.is_ready() and process.roster.membership.own.name)
        key = f'{names.OWN_PREFIX}members/late'
        await wait_for(lambda: key in running.meta.items)
        running.name_version(2)
        await wait_for(lambda: all(r.version == 2 for r in list_engines(running)), 20)

    play(check)


def test_a_draining_replica_gets_nothing_more() -> None:
    async def check(running: deployment.Deployment) -> None:
        leaving = running.replicas['app-0']
        leaving.state = 'draining'
        running.record('app-0')
        await wait_for(lambda: running.routers[0].pools.replicas['app-0'].leaving, 1.0)
        before = len(leaving.runs)
        for _ in range(10):
            assert (await running.ask('/safe/x')).status == 200
        assert len(leaving.runs) == before

    play(check)


def test_an_address_used_again_by_another_service_runs_nothing() -> None:
    async def check(running: deployment.Deployment) -> None:
        stranger = running.replicas['app-0']
        stranger.id = 'somebody-else'
        for number in range(12):
            assert (await running.ask('/once/x', id=f'q{number}')).status == 200
            await asyncio.sleep(0.05)
        assert not stranger.runs
        # One answer tells that the replica is gone, whatever the registry still says.
        assert stranger.misdirected <= 1

    play(check)


def test_the_directory_names_who_serves_and_nobody_else() -> None:
    async def check(running: deployment.Deployment) -> None:
        entries = [r.options.caller for r in running.routers]
        await wait_for(lambda: len(running.routers[0].roster.membership.list_known()) == 4)
        near = await resolve(running, 0, 'zone-1')
        assert near == sorted([entries[1], entries[3]])
        assert sorted(await resolve(running, 0, 'elsewhere')) == sorted(entries)
        running.routers[1].begin_stop()
        async with asyncio.timeout(1.0):
            while entries[1] in await resolve(running, 0, 'zone-1'):
                await asyncio.sleep(0.01)
        assert await ask_ready(running, 1) == 503

    play(check, routers=4)


def test_a_planned_stop_serves_on_and_cuts_nothing() -> None:
    async def check(running: deployment.Deployment) -> None:
        for known in running.replicas.values():
            known.work = 0.4
        asked = [asyncio.ensure_future(running.ask('/once/x', entry=0)) for _ in range(4)]
        await wait_for(lambda: running.routers[0].ingress.in_flight == 4)
        running.routers[0].begin_stop()
        late = await running.ask('/safe/x', entry=0)
        assert late.status == 200
        assert late.headers.get('Connection') == 'close'
        assert {r.status for r in await asyncio.gather(*asked)} == {200}

    play(check, routers=2)


def test_a_full_replica_is_passed_over() -> None:
    async def check(running: deployment.Deployment) -> None:
        # Until then it may spend only its part of a large fleet's retries.
        await running.wait_settled()
        running.replicas['app-0'].faults.refuse = 1000
        replies = [await running.ask('/safe/x') for _ in range(20)]
        assert {r.status for r in replies} == {200}

    play(check)


def test_what_comes_late_in_a_stop_is_refused_instead_of_cut() -> None:
    async def check(running: deployment.Deployment) -> None:
        for known in running.replicas.values():
            known.work = 4.5
        process = running.routers[0]
        early = asyncio.ensure_future(running.ask('/slow/x', entry=0, patience_ms=6000))
        await wait_for(lambda: process.ingress.in_flight == 1)
        process.begin_stop()
        await asyncio.sleep(process.options.answer_ttl + 3.2)
        reply = await running.ask('/slow/x', entry=0, id='late', patience_ms=6000)
        assert reply.status == 503
        assert float(reply.headers.get('Retry-After') or 9) < 1
        assert not running.list_runs('late')
        assert (await early).status == 200

    play(check)


def test_a_taken_port_ends_the_start_and_nothing_hangs() -> None:
    async def check(running: deployment.Deployment) -> None:
        taken = running.routers[0].options.caller
        process = running.add_router('second', 'zone-0', caller=taken)
        with pytest.raises(OSError, match='in use'):
            await running.wait_ended(process)
        running.routers.remove(process)
        assert (await running.ask('/safe/x')).status == 200

    play(check)


def test_a_router_that_has_just_started_spends_little_of_the_shared_budget() -> None:
    async def check(running: deployment.Deployment) -> None:
        process = running.routers[0]
        assert process.forwarder.daemons >= router.DAEMONS_AT_START
        budget = process.forwarder.get_budget('app')
        granted = sum(budget.spend(clocks.now(), process.forwarder.daemons) for _ in range(100))
        assert granted <= process.options.retry_slack / router.DAEMONS_AT_START

    play(check)
