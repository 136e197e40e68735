"""A replica's surplus answer to a refused request is taken for the answer to its next attempt."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins-2'))

import harness  # noqa: E402

ROUTERS = 3
SERVICES = 5
"""Services with one replica each."""

FAULTY = 3
"""Services whose replica sends surplus answers: a share of 0.6, as the site's `garble`."""

SURPLUS_SHARE = 0.03
"""Share of the answers that are followed by a second, late one, as there."""

SURPLUS_SECONDS = 5.0
"""The length of a spell with surplus answers, as there."""

CALM_SECONDS = 2.0
"""Seconds between two spells."""

SPELLS = 12
SLOTS = 3
QUEUE = 1
"""Requests that a replica queues beyond its slots."""

PER_SECOND = 30.0
"""Requests a second for each service, which can run 33."""

ATTEMPTS = 3
"""`max_attempts` of the routes."""

KEY = 'key-of-alpha'


class FaultyReplica(harness.Replica):
    """A replica that repeats some answers in the place where the next answer is expected."""

    def __init__(self, record: harness.Record, name: str, service: str, rng: random.Random) -> None:
        super().__init__(record, name, service, SLOTS, QUEUE)
        self.faulty = False
        self._rng = rng

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request at a time."""
        surplus = b''
        while True:
            request = await harness.read_message(reader)
            if surplus:
                start = surplus.split(b'\r\n')[:2]
                self.record.note(f'replica {self.name} sends a surplus answer: {start}')
                writer.write(surplus)
                await writer.drain()
                surplus = b''
            answer = await self._handle_or_drop(request, reader)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()
            if self.faulty and self._rng.random() < SURPLUS_SHARE:
                surplus = answer


def build_configuration() -> dict[str, object]:
    """Return the configuration: a route that is not idempotent to each service."""
    return {
        'version': 3,
        'routes': [
            {
                'name': f'r-fetch-{n}',
                'host': harness.HOST,
                'path_prefix': f'/fetch-{n}/',
                'type': 'non_idempotent',
                'timeout_ms': 3000,
                'target_latency_ms': 400,
                'priority': 2,
                'service': f'tile-api-{n}',
                'max_attempts': ATTEMPTS,
                'public': False,
                'sticky': False,
                'resumable': False,
            }
            for n in range(SERVICES)
        ],
        'services': [
            {
                'name': f'tile-api-{n}',
                'health_path': '/healthz',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
            }
            for n in range(SERVICES)
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'alpha', 'api_keys': [KEY], 'isolated': False}],
    }


async def send(
    record: harness.Record, address: str, id: str, path: str, answers: dict[str, int]
) -> None:
    """Send one request and note its answer; it isn't repeated."""
    headers = [
        ('X-Passpier-Request-Id', id),
        ('X-Passpier-Deadline-Ms', '3000'),
        ('Authorization', f'Token {KEY}'),
    ]
    record.note(f'client sends {id} {path}')
    try:
        answer = await harness.ask(address, 'POST', path, headers, id.encode(), 3.5)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.note(f'client gets no answer to {id}: {error!r}')
        return
    answers[id] = answer.status
    record.note(f'client gets {answer.status} for {id} {answer.body!r}')


async def send_all(
    record: harness.Record,
    routers: list[harness.Router],
    replicas: list[FaultyReplica],
    answers: dict[str, int],
    trouble: bool,
) -> int:
    """Send the traffic through all spells; return the number of requests."""
    pending: set[asyncio.Task[None]] = set()
    started = harness.now()
    rate = PER_SECOND * SERVICES
    period = CALM_SECONDS + SURPLUS_SECONDS
    number = 0
    while (elapsed := harness.now() - started) < period * SPELLS:
        for replica in replicas[:FAULTY]:
            replica.faulty = trouble and elapsed % period >= CALM_SECONDS
        address = random.choice(routers).frontend
        path = f'/fetch-{number % SERVICES}/1'
        task = asyncio.ensure_future(send(record, address, f'r{number}', path, answers))
        pending.add(task)
        task.add_done_callback(pending.discard)
        number += 1
        await asyncio.sleep(max(0.0, started + number / rate - harness.now()))
    await asyncio.gather(*pending, return_exceptions=True)
    # What still runs at the replicas ends within a second.
    await asyncio.sleep(1.0)
    return number


def judge(
    record: harness.Record, replicas: list[FaultyReplica], answers: dict[str, int], number: int
) -> int:
    """Return 1 if a request has run twice, or has run although its answer says that it has not."""
    runs = collections.Counter(id for replica in replicas for id, _ in replica.runs)
    twice = [id for id, count in runs.items() if count > 1]
    refused = [id for id in runs if answers.get(id) in (408, 421, 429, 503)]
    for id in twice:
        record.note(f'BROKEN, TWICE: {id} has run {runs[id]} times, its answer is {answers.get(id)}')
    for id in refused:
        record.note(f'BROKEN, REFUSED: {id} has run, its answer is {answers[id]}')
    record.note(
        f'{number} sent, {len(runs)} have run, answers {dict(collections.Counter(answers.values()))}, '
        f'refused by replicas {sum(r.refused for r in replicas)}; run twice: {len(twice)}, run and '
        f'refused: {len(refused)}'
    )
    if len(runs) < number / 2:
        return 2
    return 1 if twice or refused else 0


async def run(record: harness.Record, folder: pathlib.Path, trouble: bool) -> int:
    """Run the case; return the exit status."""
    rng = random.Random()
    store = harness.Store(record)
    replicas = [
        FaultyReplica(record, f'i-0a1{n}', f'tile-api-{n}', rng) for n in range(SERVICES)
    ]
    await store.start()
    store.put('op/config', build_configuration())
    for replica in replicas:
        await replica.start()
        store.put(f'servers/{replica.name}', replica.build_entry())
    leases = asyncio.ensure_future(store.run_leases())
    routers = [
        harness.Router(folder, f'edge-isb-hall-{n}', store.address) for n in range(ROUTERS)
    ]
    answers: dict[str, int] = {}
    try:
        for router in routers:
            router.start()
        for router in routers:
            if not await router.wait_ready():
                record.note(f'{router.name} is not ready')
                return 2
        # They get to know each other.
        await asyncio.sleep(3.0)
        number = await send_all(record, routers, replicas, answers, trouble)
        if not all(router.is_running for router in routers):
            record.note('a router has ended')
            return 2
        return judge(record, replicas, answers, number)
    finally:
        for router in routers:
            router.stop()
        leases.cancel()
        for replica in replicas:
            await replica.stop()
        await store.stop()


harness.run_case(run, pathlib.Path(__file__).resolve().parent)
