"""Faults that the stand-ins simulate: restarting replicas, entries of other writers."""

from __future__ import annotations

import asyncio
import base64
import json
import random

from passpier import clocks
from passpier.clients import connections, exchanges
from passpier.platform import dialect, names
from passpier.routing import dialect as routing
from passpier.standins.platform import deployment, foreign_entries, invariants, partitions, replica
from passpier.tests.platform import harness

ORDER = {'model': deployment.MODEL, 'version': 2, 'holder': 'vm-0', 'fencing_token': 1}


def test_restarted_replica_has_no_previous_state() -> None:
    async def check() -> None:
        running = deployment.Deployment()
        pool = connections.Pool()
        engines = dialect.Engines(pool)
        await running.start(routers=0)
        stand_in = running.replicas['llm-0']
        stand_in.work_seconds = 60.0
        before = (stand_in.address, stand_in.started_ms)
        prompt = [*deployment.make_prompt(random.Random(1)), (names.SALT, 's')]
        stand_in.cache_prompt('s', prompt[2][1])
        pending = asyncio.ensure_future(
            running.ask_at(stand_in.address, '/resume/x', 'r1', headers=prompt)
        )
        await harness.wait_for(lambda: stand_in.active == 1)
        running.restart_replica('llm-0', version=3)
        try:
            await pending
        except exchanges.ExchangeError as error:
            assert error.fault is exchanges.Fault.CLOSED
        else:
            raise AssertionError('the running request was not interrupted')
        report = await engines.report(stand_in.address, stand_in.id)
        assert (report.accepted_orders, report.running, report.versions) == (
            0,
            0,
            {deployment.MODEL: 3},
        )
        changes = await engines.read_cache_changes(stand_in.address, 0, 0.0)
        assert (changes.epoch, changes.changes) == (stand_in.started_ms, ())
        assert stand_in.address == before[0]
        assert stand_in.started_ms > before[1]
        entry = json.loads(base64.b64decode(running.store.items['servers/llm-0'].value))
        assert entry['born'] == stand_in.started_ms
        pool.close()
        await running.stop()

    asyncio.run(check())


def test_weight_load_ends_with_the_process_that_began_it() -> None:
    async def check() -> None:
        running = deployment.Deployment()
        await running.start(routers=0)
        stand_in = running.replicas['llm-0']
        stand_in.load_seconds = 0.05
        assert (await order(running, stand_in)).head.status == 202
        running.crash_replica('llm-0')
        running.restart_replica('llm-0')
        await asyncio.sleep(0.1)
        assert (stand_in.version, stand_in.orders) == (1, 0)
        await running.stop()

    asyncio.run(check())


async def order(running: deployment.Deployment, stand_in: replica.Replica) -> exchanges.Response:
    headers = [('Host', stand_in.address)]
    body = json.dumps(ORDER).encode()
    request = exchanges.Request('POST', names.ORDER_PATH, headers, body)
    return await running.pool.fetch(stand_in.address, request, 1.0)


def test_other_writers_cover_each_field() -> None:
    entry = replica.Replica('r', 'llm', 'zone-0', deployment.MODEL).render_entry()
    values = foreign_entries.build_malformed_entries(entry)
    assert {f'without {field}' for field in entry} < set(values)
    assert len(set(values.values())) == len(values)
    assert set(foreign_entries.UNREADABLE) < set(values)


def test_partition_cuts_links_to_the_rest_in_the_given_direction() -> None:
    isolation = partitions.Isolation(
        partitions.Links.TO_PEERS, frozenset({'vm-0', 'vm-1'}), frozenset({'a', 'b'})
    )
    assert not isolation.passes('a', 'c')
    assert isolation.passes('c', 'a')
    assert isolation.passes('a', 'b')
    assert isolation.passes('c', 'd')


def test_partition_drops_messages_until_it_ends() -> None:
    async def check(running: deployment.Deployment) -> None:
        first, second = running.routers
        isolation = running.isolate([first])
        known = first.roster.membership
        await harness.wait_for(lambda: len(known.list_alive(clocks.now())) == 1)
        running.rejoin(isolation)
        await harness.wait_for(lambda: len(known.list_alive(clocks.now())) == 2)
        assert second.is_ready()

    harness.run_check(check, routers=2)


# Guards against an adapter that checks whether an order may be sent only before it connects.
def test_the_adapter_withholds_an_order_that_may_no_longer_be_sent() -> None:
    async def check(running: deployment.Deployment) -> None:
        engines = dialect.Engines(running.pool)
        target = running.replicas['llm-0']
        order = routing.WeightOrder(target.id, deployment.MODEL, 2, 'vm-0', 1, 0)
        assert (
            await engines.order(target.address, order, lambda: False) is routing.OrderResult.UNKNOWN
        )
        assert target.accepted_orders == []
        assert await engines.order(target.address, order, lambda: True) is routing.OrderResult.TAKEN
        assert len(target.accepted_orders) == 1

    harness.run_check(check)


# Guards against a check of the retry budget that sees no window in which the traffic has ended.
def test_retries_after_the_end_of_the_traffic_exceed_the_window_that_begins_with_them() -> None:
    sent = [number / 40 for number in range(400)]
    allowance = invariants.RetryAllowance(0.2, 40.0, 10.0)
    in_time = invariants.find_worst_window('', sent, [10.0] * 60, allowance)
    late = invariants.find_worst_window('', sent, [18.0] * 60, allowance)
    assert in_time.share < 1.0
    assert late.share > 1.0
    assert late.until > 18.0
