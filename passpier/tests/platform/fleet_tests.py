"""Several routers: weight rollouts, membership, drains, configuration, keys, store faults."""

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
PROMPT_HEADERS = [
    (names.MODEL, deployment.MODEL),
    (names.TOKEN_USAGE, '1460,80'),
    (names.PREFIX_HASHES, '5c1e07a2:800,e4402b7d:250'),
]


def run_check(check: Check, routers: int = 1) -> None:
    async def run() -> None:
        async with deployment.running(routers) as running:
            await check(running)

    asyncio.run(asyncio.wait_for(run(), 40))


async def wait_for(condition: Callable[[], object], timeout: float = 10.0) -> None:
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)


async def fetch_addresses(running: deployment.Deployment, entry: int, zone: str = '') -> list[str]:
    address = running.routers[entry].options.directory
    target = f'/resolve?name=x&region=here&zone={zone}'
    request = exchanges.Request('GET', target, [('Host', address)])
    response = await running.pool.fetch(address, request, 1.0)
    body = json.loads(response.body)
    assert 0 < body['ttl_s'] <= 5
    addresses: list[str] = body['addresses']
    return addresses


async def fetch_ready_status(running: deployment.Deployment, entry: int) -> int:
    address = running.routers[entry].options.ready
    request = exchanges.Request('GET', '/readyz', [('Host', address)])
    return (await running.pool.fetch(address, request, 1.0)).head.status


def list_engines(running: deployment.Deployment) -> list[replica.Replica]:
    return [r for r in running.replicas.values() if r.model]


def test_released_weights_reach_every_replica_from_one_holder() -> None:
    async def check(running: deployment.Deployment) -> None:
        await wait_for(lambda: any(r.rollouts.holder.token for r in running.routers))
        running.release_version(2)
        await asyncio.sleep(0.2)
        running.release_version(3)
        await wait_for(lambda: all(r.version == 3 for r in list_engines(running)))
        orders = [o for r in list_engines(running) for _, o in r.accepted_orders]
        assert len({o['holder'] for o in orders}) == 1
        assert len({o['fencing_token'] for o in orders}) == 1
        pools = running.routers[0].pools
        await wait_for(
            lambda: all(pools.replicas[r.id].weight_version == '3' for r in list_engines(running))
        )
        reply = await running.ask('/stream/x', id='after', headers=PROMPT_HEADERS)
        assert reply.status == 200
        (run,) = running.list_runs('after')
        assert run.version == 3
        assert run.salt.endswith('/3')

    run_check(check, routers=3)


def test_salt_matches_the_weights_of_the_replica_during_a_rollout() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.release_version(2)
        replies = []
        while not all(r.version == 2 for r in list_engines(running)):
            replies.append(await running.ask('/resume/x', headers=PROMPT_HEADERS))
            await asyncio.sleep(0.02)
        assert {r.status for r in replies} <= {200, 503}
        for engine in list_engines(running):
            for run in engine.runs:
                assert run.salt == f'tower/{deployment.MODEL}/{run.version}'

    run_check(check)


def test_another_router_takes_over_the_rollout() -> None:
    async def check(running: deployment.Deployment) -> None:
        await wait_for(lambda: any(r.rollouts.holder.token for r in running.routers))
        holder = next(r for r in running.routers if r.rollouts.holder.token)
        holder.begin_stop()
        running.release_version(2)
        await wait_for(lambda: all(r.version == 2 for r in list_engines(running)), 15)

    run_check(check, routers=2)


def test_new_configuration_reaches_all_routers_quickly() -> None:
    async def check(running: deployment.Deployment) -> None:
        routes = running.configuration['routes']
        moved = [{**r, 'path_prefix': '/moved/'} if r['name'] == 'safe' else r for r in routes]
        running.configure(routes=moved)
        states = [r.registry_state for r in running.routers]
        await wait_for(lambda: all(s.table.configuration.version == 2 for s in states), 1.0)  # type: ignore[union-attr]
        for entry in range(2):
            assert (await running.ask('/moved/x', entry)).status == 200
            assert (await running.ask('/safe/x', entry)).status == 404

    run_check(check, routers=2)


async def queue_request(
    running: deployment.Deployment,
) -> tuple[list[asyncio.Task[deployment.Response]], asyncio.Task[deployment.Response]]:
    """Return running requests that take all room, and one of another account that is queued."""
    process = running.routers[0]
    for id in ('app-0', 'app-1'):
        running.replicas[id].slots = 1
        running.replicas[id].work_seconds = 1.0
        running.write_entry(id)
        # The router sends one request more than that, which is not to be refused.
        running.replicas[id].slots = 2
    routes = [{**r, 'target_latency_ms': 4000} for r in running.configuration['routes']]
    running.configure(routes=routes)
    await wait_for(lambda: process.registry_state.configuration_version == running.version)
    await wait_for(lambda: [r.slots for r in process.pools.list_serving('app')] == [1, 1])
    running_before = [asyncio.ensure_future(running.ask('/safe/x')) for _ in range(4)]
    await asyncio.sleep(0.1)
    late = asyncio.ensure_future(running.ask('/safe/x', key='secret-2', id='late'))
    await asyncio.sleep(0.1)
    assert not late.done()
    return running_before, late


# Guards against a request that waits for a replica although its key has been revoked.
def test_queued_request_is_refused_as_soon_as_its_key_is_revoked() -> None:
    async def check(running: deployment.Deployment) -> None:
        running_before, late = await queue_request(running)
        running.configure(tenants=running.configuration['tenants'][:1])
        assert (await late).status == 401
        assert not any(request.done() for request in running_before)
        assert {reply.status for reply in await asyncio.gather(*running_before)} == {200}

    run_check(check)


# Guards against running a request whose key was revoked while the request was queued.
def test_queued_request_with_a_revoked_key_does_not_run() -> None:
    async def check(running: deployment.Deployment) -> None:
        running_before, late = await queue_request(running)
        # As if it left the queue at that moment: the key is looked up again right before the send.
        running.routers[0].registry_state.configuration_watchers.clear()
        running.configure(tenants=running.configuration['tenants'][:1])
        assert {reply.status for reply in await asyncio.gather(*running_before)} == {200}
        assert (await late).status == 401
        assert not running.list_runs('late')

    run_check(check)


def test_revoked_key_is_refused() -> None:
    async def check(running: deployment.Deployment) -> None:
        assert (await running.ask('/safe/x', key='secret-2')).status == 200
        running.configure(tenants=running.configuration['tenants'][:1])
        await wait_for(
            lambda: running.routers[0].registry_state.table.configuration.version == 2,  # type: ignore[union-attr]
            0.5,
        )
        reply = await running.ask('/safe/x', key='secret-2', id='late')
        assert reply.status == 401
        assert not running.list_runs('late')

    run_check(check)


def test_keys_are_refused_once_the_configuration_may_be_outdated() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.faults.down = True
        key_bound = running.routers[0].options.key_bound
        while (await running.ask('/safe/x', id='x')).status == 200:
            assert running.routers[0].registry_state.freshness.compute_age(clocks.now()) < key_bound
            await asyncio.sleep(0.02)
        reply = await running.ask('/safe/x', id='late')
        assert reply.status == 503
        assert not running.list_runs('late')
        assert (await running.ask('/open/x', key=None)).status == 200
        assert await fetch_ready_status(running, 0) == 503
        running.faults.down = False
        await wait_for(lambda: running.routers[0].is_ready())
        assert (await running.ask('/safe/x')).status == 200

    run_check(check)


def test_router_without_the_store_gets_the_configuration_from_its_peers() -> None:
    async def check(running: deployment.Deployment) -> None:
        isolated = running.routers[0]
        isolated.adapter.source.address = '127.0.0.1:1'  # type: ignore[attr-defined]
        await asyncio.sleep(isolated.options.key_bound + 1.0)
        assert (await running.ask('/safe/x', entry=0)).status == 200
        # The peer relays that a key was revoked; see relaying_tests for peers that cannot.
        running.configure(tenants=running.configuration['tenants'][:1])
        await asyncio.sleep(isolated.options.key_bound)
        reply = await running.ask('/safe/x', entry=0, id='late', key='secret-2')
        assert reply.status == 401
        assert not running.list_runs('late')
        assert (await running.ask('/safe/x', entry=0)).status == 200

    run_check(check, routers=2)


def test_router_that_starts_without_the_store_responds_not_run() -> None:
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

    run_check(check)


def test_listing_is_read_again_after_the_history_was_compacted() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.configure()
        running.store.compact_history()
        running.add_replica(replica.Replica('app-9', 'app', 'zone-0'))
        running.remove_entry('app-0')
        running.store.compact_history()
        pools = running.routers[0].pools
        await wait_for(lambda: 'app-9' in pools.replicas and 'app-0' not in pools.replicas)

    run_check(check)


@pytest.mark.parametrize('fault', ['lose_answers', 'late_effects'])
def test_lost_responses_of_writes_do_no_harm(fault: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        setattr(running.faults, fault, 3)
        process = running.add_router('late', 'zone-1')
        await wait_for(lambda: process.is_ready() and process.roster.membership.own.name)
        key = f'{names.OWN_PREFIX}members/late'
        await wait_for(lambda: key in running.store.items)
        running.release_version(2)
        await wait_for(lambda: all(r.version == 2 for r in list_engines(running)), 20)

    run_check(check)


def test_draining_replica_gets_no_requests() -> None:
    async def check(running: deployment.Deployment) -> None:
        leaving = running.replicas['app-0']
        leaving.state = 'draining'
        running.write_entry('app-0')
        await wait_for(lambda: running.routers[0].pools.replicas['app-0'].leaving, 1.0)
        before = len(leaving.runs)
        for _ in range(10):
            assert (await running.ask('/safe/x')).status == 200
        assert len(leaving.runs) == before

    run_check(check)


def test_address_reused_by_another_process_runs_no_requests() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.age_routers()
        stranger = running.replicas['app-0']
        stranger.id = 'somebody-else'
        for number in range(12):
            assert (await running.ask('/once/x', id=f'q{number}')).status == 200
            await asyncio.sleep(0.05)
        assert not stranger.runs
        # A single response shows that the replica is gone, even if the registry still lists it.
        assert stranger.misdirected <= 1

    run_check(check)


def test_directory_lists_exactly_the_serving_routers() -> None:
    async def check(running: deployment.Deployment) -> None:
        entries = [r.options.caller for r in running.routers]
        await wait_for(lambda: len(running.routers[0].roster.membership.list_known()) == 4)
        near = await fetch_addresses(running, 0, 'zone-1')
        assert near == sorted([entries[1], entries[3]])
        assert sorted(await fetch_addresses(running, 0, 'elsewhere')) == sorted(entries)
        running.routers[1].begin_stop()
        async with asyncio.timeout(1.0):
            while entries[1] in await fetch_addresses(running, 0, 'zone-1'):
                await asyncio.sleep(0.01)
        assert await fetch_ready_status(running, 1) == 503

    run_check(check, routers=4)


def test_drain_completes_all_requests() -> None:
    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.work_seconds = 0.4
        pending = [asyncio.ensure_future(running.ask('/once/x', entry=0)) for _ in range(4)]
        await wait_for(lambda: running.routers[0].ingress.in_flight == 4)
        running.routers[0].begin_stop()
        late = await running.ask('/safe/x', entry=0)
        assert late.status == 200
        assert late.headers.get('Connection') == 'close'
        assert {r.status for r in await asyncio.gather(*pending)} == {200}

    run_check(check, routers=2)


def test_full_replica_is_skipped() -> None:
    async def check(running: deployment.Deployment) -> None:
        # Before that, the router has hardly earned any retries.
        await running.wait_settled()
        running.replicas['app-0'].faults.refuse = 1000
        replies = [await running.ask('/safe/x') for _ in range(20)]
        assert {r.status for r in replies} == {200}

    run_check(check)


def test_request_late_in_a_drain_is_refused_instead_of_interrupted() -> None:
    async def check(running: deployment.Deployment) -> None:
        for stand_in in running.replicas.values():
            stand_in.work_seconds = 4.5
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

    run_check(check)


def test_start_fails_if_the_port_is_in_use() -> None:
    async def check(running: deployment.Deployment) -> None:
        taken = running.routers[0].options.caller
        process = running.add_router('second', 'zone-0', caller=taken)
        with pytest.raises(OSError, match='in use'):
            await running.wait_ended(process)
        running.routers.remove(process)
        assert (await running.ask('/safe/x')).status == 200

    run_check(check)


def test_new_router_spends_little_of_the_shared_retry_budget() -> None:
    async def check(running: deployment.Deployment) -> None:
        process = running.routers[0]
        assert process.forwarder.budgets.sharers >= router.DAEMONS_AT_START
        budget = process.forwarder.budgets.get('app')
        requests = [process.forwarder.budgets.begin(f'r{n}', 'app') for n in range(100)]
        granted = sum(one.hold() for one in requests)
        assert granted == budget.held
        assert granted <= process.options.retry_slack / router.DAEMONS_AT_START

    run_check(check)
