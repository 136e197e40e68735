"""A replica leaves without having said `draining` while waiting watches are cut now and then."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))
import standins
from standins import TROUBLE, now

HOST, MODEL, SERVICE, KEY = 'jepu9.example', 'daka510000', 'dele69a', 'k7hq2m5v8x1b4n6c9z3d'
DRAIN_S = 2.0
CUT_EVERY_S = 1.5
"""Seconds from one cut of the waiting watches to the next time that one waits."""

SERVES_ON_S = 3.0
"""Seconds that the replica serves on for after its entry has gone: `drain_ms` and longer."""


def configuration() -> dict:
    return {
        'version': 3,
        'routes': [
            {
                'name': 'hazard-flag',
                'host': HOST,
                'path_prefix': '/lepu270/',
                'type': 'streaming',
                'resumable': False,
                'timeout_ms': 4000,
                'target_latency_ms': 600,
                'gap_target_ms': 500,
                'priority': 1,
                'service': SERVICE,
                'max_attempts': 1,
                'public': False,
                'sticky': True,
            }
        ],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/healthz',
                'max_connections': 370,
                'engine': {'slots': 4, 'kv_capacity': 90000, 'models': [{'name': MODEL}]},
            }
        ],
        'limits': {
            'max_header_bytes': 32768,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 10000,
            'idle_timeout_ms': 30000,
        },
        'tenants': [{'name': 'zibo747', 'api_keys': [KEY], 'priority': 0, 'isolated': False}],
    }


async def main(record: standins.Record, folder: pathlib.Path) -> int:
    store = standins.Store()
    await store.start()
    store.put('op/config', configuration())
    store.put(f'op/version/{MODEL}', {'model': MODEL, 'version': 1})
    replicas = [
        standins.Replica(record, store, f'i-{n}f3a91c2', SERVICE, MODEL) for n in range(3)
    ]
    for replica in replicas:
        await replica.start()
    router = standins.Router(folder, 'edge-isb-hall-1', store.address)
    router.start()
    tasks = []

    async def send() -> None:
        number = 0
        while True:
            id = f'r{number}'
            call = standins.ask(
                record, router.frontend, id, KEY, '/lepu270/2f', f'a{number:x}:100,b{number:x}:50',
                '150,40', 4000, HOST, MODEL, b'question',
            )
            tasks.append(asyncio.ensure_future(call))
            number += 1
            await asyncio.sleep(0.05)

    async def cut() -> None:
        while True:
            while not store.watches:
                await asyncio.sleep(0.005)
            count = store.cut_watches()
            record.note(f'the store cuts {count} waiting watches')
            await asyncio.sleep(CUT_EVERY_S)

    running = []
    try:
        if not await router.wait_ready():
            record.note('the router did not become ready')
            return 2
        await asyncio.sleep(0.5)
        running.append(asyncio.ensure_future(send()))
        if TROUBLE:
            running.append(asyncio.ensure_future(cut()))
        await asyncio.sleep(4.0)
        leaving = replicas[0]
        left_at = leaving.leave()
        record.note(f'acknowledged: the entry of {leaving.id} has gone', left_at)
        await asyncio.sleep(SERVES_ON_S)
        ended_at = now()
        leaving.end()
        record.note(f'{leaving.id} has ended')
        await asyncio.sleep(3.0)
    finally:
        for task in running:
            task.cancel()
        await asyncio.sleep(1.0)
        router.kill()
        await asyncio.gather(*tasks, *running, return_exceptions=True)
        for replica in replicas:
            replica.beats.cancel()
    answers = {t.result().id: t.result() for t in tasks if not t.cancelled()}
    if not any(a.status == 200 and a.whole for a in answers.values()):
        record.note('the router does not serve')
        return 2
    late = [(id, at) for id, at in leaving.arrivals if at > left_at + DRAIN_S]
    for id, at in late:
        answer = answers[id]
        record.note(
            f'BROKEN: {id} reaches {leaving.id} {at - left_at:.3f} s after its entry has gone; '
            f'the client gets {answer.status} {"whole" if answer.whole else "cut"}'
        )
    lost = [id for id, _ in late if not (answers[id].status == 200 and answers[id].whole)]
    failed = [
        a.id for a in answers.values() if a.sent_at > ended_at and not (a.status == 200 and a.whole)
    ]
    text = (
        f'{len(late)} requests reach a replica over {DRAIN_S} s after its entry has gone, '
        f'{len(lost)} of them lost; {len(failed)} requests sent after its end fail'
    )
    record.note(text)
    print(text)
    return 1 if late else 0


standins.run_case(main, pathlib.Path(__file__).resolve().parent)
