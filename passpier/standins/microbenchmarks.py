"""Measures, within one process, the cost of an additional replica, block, event or member."""

from __future__ import annotations

import asyncio
import functools
import gc
import json
import random
import statistics
import time
import tracemalloc
import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from passpier.clients import engines, kvevents, store, web
from passpier.config import declarations, directory, schema
from passpier.core import blocks, cache_view, choice, members, replicas, revisions, shares
from passpier.daemon import events, messages, metrics, storage, upstreams
from passpier.standins import cache as block_cache

SCOPE = blocks.Scope('tower', 'advisory-7b', 'v1')
BLOCK_TOKENS = 64


def print_result(name: str, **figures: Any) -> None:
    """Print one result as a JSON line."""
    print(json.dumps({'slope': name, **figures}), flush=True)


def time_us(action: Callable[[], Any], seconds: float = 0.3) -> float:
    """Return the median time of a call in microseconds."""
    action()
    rounds: list[float] = []
    end = time.perf_counter() + seconds
    while time.perf_counter() < end or len(rounds) < 5:
        began = time.perf_counter()
        action()
        rounds.append((time.perf_counter() - began) * 1e6)
    return round(statistics.median(rounds), 2)


def measure_decisions() -> None:
    """Measure a routing decision by number of replicas and prompt length."""
    for tokens in (8_000, 128_000):
        data = random.Random(1).randbytes(tokens * blocks.BYTES_PER_TOKEN)
        root = blocks.compute_root(SCOPE)
        chain = blocks.compute_chain(root, data, BLOCK_TOKENS)
        chain_us = time_us(functools.partial(blocks.compute_chain, root, data, BLOCK_TOKENS))
        print_result('prompt_identity', prompt_tokens=tokens, us=chain_us)
        for count in (5, 50, 670):
            pool, cache = build_pool(count, chain)
            job = choice.Job(chain, BLOCK_TOKENS, tokens)
            policy = choice.CostPolicy()
            us = time_us(functools.partial(choice.choose, job, pool, cache, policy, 1.0))
            print_result('routing_decision', replicas=count, prompt_tokens=tokens, us=us)


def build_pool(count: int, chain: list[int]) -> tuple[list[replicas.Replica], cache_view.CacheView]:
    """Return replicas, a tenth of which hold parts of the chain."""
    cache = cache_view.CacheView(10_000_000)
    pool = []
    for number in range(count):
        replica = replicas.Replica(f'engine-{number}', '', '', '')
        replica.report = replicas.Report(3, 1, 2000, 0.5)
        pool.append(replica)
        cache.set_incarnation(replica.name, 'i')
        if number % 10 == 0:
            held = chain[: len(chain) * (number % 7 + 1) // 8]
            cache.add(replica.name, 'i', held, cache_view.Evidence.ANSWER, 0.5)
    return pool, cache


def measure_events() -> None:
    """Measure cache events with one block and with 32 blocks a message."""
    for batch in (1, 32):
        payloads = build_events(batch, 400)
        size = sum(map(len, payloads)) / len(payloads) / batch
        feed = build_feed()

        def take(payloads: list[bytes] = payloads, feed: events.Feed = feed) -> None:
            for payload in payloads:
                feed.receive_batch(b'kv@boot@advisory-7b', feed.next_sequence, payload)

        us = time_us(take) / len(payloads) / batch
        print_result(
            'cache_event', blocks_a_message=batch, us_a_block=round(us, 2), bytes_a_block=size
        )


def build_events(batch: int, count: int) -> list[bytes]:
    """Return encoded messages that each store `batch` blocks."""
    rng = random.Random(2)
    payloads = []
    for _ in range(count):
        cache = block_cache.BlockCache(10_000, BLOCK_TOKENS)
        data = rng.randbytes(batch * BLOCK_TOKENS * blocks.BYTES_PER_TOKEN)
        chain = blocks.compute_chain(rng.getrandbits(63), data, BLOCK_TOKENS)
        cache.store(chain, 0, data, 'tower')
        payloads.append(kvevents.encode_batch(kvevents.Batch(0.0, cache.take_events())))
    return payloads


def build_feed() -> events.Feed:
    """Return an event feed of an engine with a known incarnation."""
    upstream = declarations.Upstream(name='e', address='127.0.0.1:1', vm='v', failure_domain='d')
    model = declarations.Model(name='advisory-7b', weight_version='v1', block_tokens=BLOCK_TOKENS)
    client = web.Client()
    known = upstreams.Upstreams(
        client, engines.HttpEngines(client), None, 1_000_000, metrics.Metrics()
    )
    known.replicas['e'] = replicas.Replica('e', '', '', '', 'boot', 'v1')
    known.cache.set_incarnation('e', 'boot/v1')
    return events.Feed(upstream, model, known)


def measure_view() -> None:
    """Measure the memory of a block in the view, of an account and of its share."""
    rng = random.Random(3)
    print_result('view_memory', bytes_a_block=measure_bytes(lambda n: fill_view(rng, n), 100_000))
    print_result('account_memory', bytes_an_account=measure_bytes(build_directory, 5_000))
    print_result('share_memory', bytes_an_account=measure_bytes(fill_shares, 5_000))


def measure_bytes(build: Callable[[int], Any], count: int) -> float:
    """Return the mean memory in bytes of `count` items."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build(count)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return round(used / count, 1)


def fill_view(rng: random.Random, count: int) -> cache_view.CacheView:
    """Return a view of `count` blocks."""
    cache = cache_view.CacheView(count * 2)
    cache.set_incarnation('e', 'i')
    for _ in range(count // 100):
        chain = [rng.getrandbits(64) for _ in range(100)]
        cache.add('e', 'i', chain, cache_view.Evidence.ANSWER, rng.random())
    return cache


def build_directory(count: int) -> directory.Directory:
    """Return the directory of a configuration with `count` accounts."""
    return install_document(build_document(count))


def fill_shares(count: int) -> shares.ShareBook:
    """Return a share book with `count` accounts in use, including their limits."""
    limits = {f'account-{n}': shares.Limit(16, 100_000) for n in range(count)}
    holders = {f'i{n}': shares.Holder(f'vm-{n}', f'd{n % 7}') for n in range(8)}
    book = shares.ShareBook('i0')
    book.install(shares.Grant(shares.Generation(1, 1), holders, limits, 3))
    for name in limits:
        book.acquire(name, 0.0)
    return book


def measure_heartbeats() -> None:
    """Measure size and processor time of heartbeats by number of members."""
    for count in (8, 60, 420):
        fleet = [build_member(n) for n in range(count)]
        mine = members.Membership(fleet[0], 1.0, 0.0)
        for member in fleet:
            mine.add(member, 0.0)
        mine.merge([members.Beat(m.incarnation, 1000, 7, 3, 7) for m in fleet], 0.5)
        rng = random.Random(4)
        data = encode_heartbeat(mine, rng)
        send_us = time_us(functools.partial(encode_heartbeat, mine, rng))
        take_us = time_us(functools.partial(take_heartbeat, mine, data))
        rate = members.FANOUT
        print_result(
            'heartbeat',
            members=count,
            bytes_a_message=len(data),
            bytes_a_second_out=len(data) * rate,
            us_to_make=send_us,
            us_to_take=take_us,
            silent_after_seconds=round(mine.compute_timeout(), 1),
        )


def build_member(number: int) -> members.Member:
    """Return a member with an incarnation of realistic length."""
    incarnation = f'{number:032x}'
    return members.Member(f'vm-{number}', incarnation, '10.0.0.1', 8080, 8082, f'd{number % 7}')


def encode_heartbeat(membership: members.Membership, rng: random.Random) -> bytes:
    """Return an encoded heartbeat."""
    beat = messages.Heartbeat(membership.make_digest(rng, 0.0), 7, 3)
    own = membership.own
    return messages.encode(messages.Envelope(own.incarnation, own.peer, beat))


def take_heartbeat(membership: members.Membership, data: bytes) -> None:
    """Decode and merge a heartbeat."""
    message = messages.decode(data).message
    assert isinstance(message, messages.Heartbeat)
    membership.merge(message.beats, 1.0)


def measure_spread() -> None:
    """Measure the rounds of pushes until all of 420 members know a new revision."""
    rng = random.Random(5)
    rounds = []
    for _ in range(50):
        informed = {0}
        count = 0
        frontier = {0}
        while len(informed) < 420:
            told = {rng.randrange(420) for _ in frontier for _ in range(8)}
            frontier = told - informed
            informed |= told
            count += 1
            if not frontier:
                frontier = set(informed)
        rounds.append(count)
    print_result('revision_spread', members=420, fanout=8, rounds_median=statistics.median(rounds))


def measure_detection() -> None:
    """Measure failure detection and false alarms of 420 members, with 1 of 20 messages lost."""
    rng = random.Random(6)
    fleet = [build_member(n) for n in range(420)]
    daemons = [members.Membership(m, 1.0, 0.0) for m in fleet]
    for daemon in daemons:
        for member in fleet:
            daemon.add(member, 0.0)
    by_name = {d.own.name: d for d in daemons}
    dead = set(rng.sample(range(420), 9))
    observer = next(d for n, d in enumerate(daemons) if n not in dead)
    found: dict[str, list[float]] = {f'vm-{n}': [] for n in dead}
    wrong = 0
    for beat in range(1, 61):
        live = [d for n, d in enumerate(daemons) if beat <= 20 or n not in dead]
        for daemon in live:
            daemon.advance(float(beat), 1, 1, 1, False)
            for target in daemon.choose_targets(rng):
                if rng.random() > 0.05:
                    by_name[target.name].merge(daemon.make_digest(rng, float(beat)), float(beat))
        alive = {m.name for m in observer.list_alive(beat)}
        for name, times in found.items():
            if beat > 20 and name not in alive and not times:
                times.append(beat - 20)
        wrong += 420 - len(alive) - sum(name not in alive for name in found)
    times = [t for many in found.values() for t in many]
    print_result(
        'death_detection',
        members=420,
        beats_median=statistics.median(times),
        beats_max=max(times),
        found=len(times),
        false_alarms_of_member_beats=f'{wrong} of {411 * 60}',
    )


def measure_limits() -> None:
    """Measure the usable share of a limit of 60 units among three daemons."""
    names = ['i0', 'i1', 'i2']
    holders = {n: shares.Holder(f'vm-{n}', n) for n in names}
    grant = shares.Grant(
        shares.Generation(1, 1), holders, {'a': shares.Limit(60, 10**9)}, len(names)
    )
    for case in ('all_at_one', 'one_silent', 'one_cut_off'):
        books = {n: shares.ShareBook(n) for n in names}
        for book in books.values():
            book.install(grant)
            book.note_store_contact(0.0)
        for book in books.values():
            book.settle(functools.partial(get_confirmed, books))
        now = shares.FENCE_SECONDS + 1 if case == 'one_cut_off' else 1.0
        reachable = names if case == 'all_at_one' else names[:2]
        for name in reachable:
            books[name].note_store_contact(now)
        local = count_units(books['i0'], [], now)
        lenders = [books[n] for n in reachable if n != 'i0']
        usable = local + count_units(books['i0'], lenders, now)
        print_result('limit_usable', case=case, local_only=local / 60, with_borrowing=usable / 60)


def get_confirmed(books: dict[str, shares.ShareBook], name: str) -> shares.Generation:
    """Return the generation that a daemon can confirm."""
    return books[name].get_confirmable()


def count_units(own: shares.ShareBook, lenders: list[shares.ShareBook], now: float) -> int:
    """Return how many units a daemon gets, its own ones or those of lenders."""
    if not lenders:
        return sum(own.acquire('a', now) for _ in range(100))
    return sum(
        lender.lend(f'{lender.holder}-{n}', 'a', own.holder, now)
        for lender in lenders
        for n in range(100)
    )


def measure_configuration() -> None:
    """Measure bytes and store calls of a configuration change by number of accounts."""
    for accounts in (8, 34_000):
        document = build_document(accounts)

        async def change(document: bytes = document) -> tuple[int, int]:
            shared = CountingStore()
            await storage.Storage(shared, 10, random.Random(1)).accept_revision(document, 0, 'n')
            return shared.calls, shared.bytes

        calls, size = asyncio.run(change())
        parse_us = time_us(functools.partial(install_document, document))
        print_result(
            'configuration_change',
            accounts=accounts,
            document_bytes=len(document),
            store_calls=calls,
            store_bytes=size,
            chunks=len(revisions.split_document(document)),
            bytes_of_one_change=measure_change(document),
            install_ms=round(parse_us / 1000, 1),
        )


def measure_change(document: bytes) -> int:
    """Return the compressed bytes of the chunks that a change of one account changes."""
    before = set(revisions.split_document(document))
    after = document.replace(b'"concurrency":16', b'"concurrency":17', 1)
    changed = [c for c in revisions.split_document(after) if c not in before]
    return sum(len(zlib.compress(c, 1)) for c in changed)


def build_document(accounts: int) -> bytes:
    """Return a configuration document with `accounts` accounts."""
    fleet = schema.Fleet(
        fleet='f',
        accounts=tuple(
            schema.Account(name=f'account-{n}', key_digests=(f'{n:064x}',)) for n in range(accounts)
        ),
    )
    return msgspec.json.encode(fleet.model_dump(mode='json'))


def install_document(document: bytes) -> directory.Directory:
    """Return the directory of a document, as built by a daemon."""
    return directory.Directory(declarations.decode_fleet(document), 1)


class CountingStore(store.MemoryStore):
    """In-memory store that counts calls and written bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0
        self.bytes = 0

    async def get(self, key: str) -> store.Value | None:
        """Count a read."""
        self.calls += 1
        return await super().get(key)

    async def write(self, operations: Any, conditions: Any = ()) -> bool:
        """Count a write."""
        self.calls += 1
        self.bytes += sum(len(o.data) for o in operations if isinstance(o, store.Put))
        return await super().write(operations, conditions)


async def measure_in_process() -> None:
    """Run the benchmarks that need no other process, in an event loop that clients require."""
    measure_decisions()
    measure_events()
    measure_view()
    measure_heartbeats()
    measure_spread()
    measure_detection()
    measure_limits()
