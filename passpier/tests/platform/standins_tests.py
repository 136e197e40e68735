"""The stand-ins' own faults: replicas that start again, entries of other writers."""

from __future__ import annotations

import asyncio
import base64
import json
import random

from passpier.clients import connections, exchanges
from passpier.platform import dialect, names
from passpier.standins.platform import deployment, foreign, replica
from passpier.tests.platform import scenes

ORDER = {'model': deployment.MODEL, 'version': 2, 'holder': 'vm-0', 'fencing_token': 1}


def test_a_replica_that_starts_again_knows_nothing_of_before() -> None:
    async def scene() -> None:
        running = deployment.Deployment()
        pool = connections.Pool()
        engines = dialect.Engines(pool)
        await running.start(routers=0)
        known = running.replicas['llm-0']
        known.work = 60.0
        before = (known.address, known.born)
        prompt = [*deployment.make_prompt(random.Random(1)), (names.SALT, 's')]
        known.cache_prompt('s', prompt[2][1])
        asking = asyncio.ensure_future(
            running.ask_at(known.address, '/resume/x', 'r1', headers=prompt)
        )
        await scenes.wait_for(lambda: known.active == 1)
        running.restart_replica('llm-0', version=3)
        try:
            await asking
        except exchanges.ExchangeError as error:
            assert error.fault is exchanges.Fault.CLOSED
        else:
            raise AssertionError('what ran was not cut off')
        report = await engines.report(known.address, known.id)
        assert (report.orders, report.running, report.versions) == (0, 0, {deployment.MODEL: 3})
        changes = await engines.read_cache_changes(known.address, 0, 0.0)
        assert (changes.epoch, changes.changes) == (known.born, ())
        assert known.address == before[0]
        assert known.born > before[1]
        entry = json.loads(base64.b64decode(running.meta.items['servers/llm-0'].value))
        assert entry['born'] == known.born
        pool.close()
        await running.stop()

    asyncio.run(scene())


def test_a_load_ends_with_the_life_that_began_it() -> None:
    async def scene() -> None:
        running = deployment.Deployment()
        await running.start(routers=0)
        known = running.replicas['llm-0']
        known.load = 0.05
        assert (await order(running, known)).head.status == 202
        running.crash_replica('llm-0')
        running.restart_replica('llm-0')
        await asyncio.sleep(0.1)
        assert (known.version, known.orders) == (1, 0)
        await running.stop()

    asyncio.run(scene())


async def order(running: deployment.Deployment, known: replica.Replica) -> exchanges.Answer:
    headers = [('Host', known.address)]
    body = json.dumps(ORDER).encode()
    request = exchanges.Request('POST', names.ORDER_PATH, headers, body)
    return await running.pool.fetch(known.address, request, 1.0)


def test_other_writers_spoil_each_field() -> None:
    entry = replica.Replica('r', 'llm', 'zone-0', deployment.MODEL).render_entry()
    values = foreign.build_values(entry)
    assert {f'without {field}' for field in entry} < set(values)
    assert len(set(values.values())) == len(values)
    assert set(foreign.UNREADABLE) < set(values)
