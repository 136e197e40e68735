"""The dispatcher with a limit on KV memory: calls wait at the VM instead of being preempted."""

from __future__ import annotations

import asyncio
import logging

import msgspec
import pytest

from passpier import clocks
from passpier.core import prompts, replica_memory, replicas
from passpier.daemon import calls, dispatcher, memory_filter, metrics
from passpier.standins import virtual_time
from passpier.tests.daemon import dispatcher_tests

CAPACITY = 96_567
LONG = 9_200
DIGEST = 2
QUERY = 0

pytestmark = pytest.mark.usefixtures('virtual_clock')


def make_dispatcher(
    *names: str, capacity: int = CAPACITY
) -> tuple[dispatcher.Dispatcher, list[replicas.Replica], metrics.Metrics]:
    call_dispatcher, first = dispatcher_tests.make_dispatcher(*names)
    pool = [first, *(call_dispatcher._upstreams.get(n) for n in names)]
    for replica in pool:
        replica.slots = 16
        replica.memory_capacity = capacity
        replica.seconds_per_token = 1e-7
    counters = metrics.Metrics()
    limit = memory_filter.MemoryFilter(counters)
    call_dispatcher.filters.append(limit)
    call_dispatcher.observers.append(limit)
    return call_dispatcher, pool, counters


def make_call(id: str, priority: int, tokens: int = LONG - 10, output: int = 10) -> calls.Call:
    call = dispatcher_tests.make_call(id)
    call.service = msgspec.structs.replace(call.service, priority=priority)
    prompt = prompts.Prompt('m', (prompts.Part(id, tokens),), output)
    call.job = prompts.build_job(prompt, '', priority)
    return call


async def place(
    call_dispatcher: dispatcher.Dispatcher, id: str, priority: int, tokens: int = LONG - 10
) -> dispatcher.Placement:
    placed = await call_dispatcher.place(make_call(id, priority, tokens), id)
    assert isinstance(placed, dispatcher.Placement)
    return placed


def test_the_eleventh_long_prompt_waits_and_an_urgent_short_one_does_not(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against preemption at 16 slots and 96,567 tokens, of which ten long prompts fill all.

    Nine of them are of a less urgent priority, which fills at most 0.9 of the capacity.
    """
    caplog.set_level(logging.INFO, memory_filter.log.name)

    async def run() -> None:
        call_dispatcher, (replica,), counters = make_dispatcher()
        running = [await place(call_dispatcher, f'd{n}', DIGEST) for n in range(9)]
        running.append(await place(call_dispatcher, 'urgent', QUERY))
        waiting = asyncio.ensure_future(place(call_dispatcher, 'eleventh', DIGEST))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        running.append(await place(call_dispatcher, 'short', QUERY, 874))
        assert replica_memory.estimate_used(replica, clocks.now()) <= CAPACITY
        lines = [r for r in caplog.records if r.message == 'request waits for memory']
        assert [vars(r)['request'] for r in lines] == ['eleventh']
        body, _ = counters.render([])
        assert b'passpier_memory_waits_total{service="p"} 1' in body
        for placement in running[:2]:
            call_dispatcher.end(placement)
        assert (await waiting).replica is replica

    virtual_time.run(run())


def test_a_replica_without_memory_is_passed_over() -> None:
    """Guards against a wait while another replica has memory."""

    async def run() -> None:
        call_dispatcher, (first, _), _ = make_dispatcher('f')
        await place(call_dispatcher, 'warm', DIGEST)
        first.peers['i1'] = replicas.PeerLoad((), 9, clocks.now(), 9 * LONG)
        placed = [await place(call_dispatcher, f'd{n}', DIGEST) for n in range(5)]
        assert {p.replica.name for p in placed} == {'f'}

    virtual_time.run(run())


def test_a_request_larger_than_any_capacity_goes_to_the_replica_with_the_most() -> None:
    """Guards against a request that waits for ever, as no replica will have memory for it."""

    async def run() -> None:
        call_dispatcher, (first, second), _ = make_dispatcher('f')
        second.memory_capacity = first.memory_capacity + 1000
        await place(call_dispatcher, 'warm', DIGEST)
        assert (await place(call_dispatcher, 'huge', DIGEST, 2 * CAPACITY)).replica is second

    virtual_time.run(run())


def test_short_prompts_fill_all_slots_as_before() -> None:
    """Guards against changed decisions where the slots need less than the memory."""

    async def run() -> None:
        call_dispatcher, (replica,), _ = make_dispatcher()
        for number in range(16):
            await place(call_dispatcher, f's{number}', DIGEST, 5900)
        assert len(replica.dispatches) == 16
        assert not any(d.memory_tokens for d in replica.dispatches.values())

    virtual_time.run(run())


@pytest.mark.parametrize(
    'output', [10**9, 10**400, -(10**9)], ids=['large', 'not_a_float', 'negative']
)
def test_a_maximum_output_beyond_any_capacity_affects_no_other_requests(output: int) -> None:
    """Guards against one client's number that makes all others wait, or fails the dispatcher.

    A mean that includes 1e9 tokens exceeds every capacity; 1e400 is no float and fits no message.
    A negative number must not give memory back.
    """

    async def run() -> None:
        call_dispatcher, (replica,), _ = make_dispatcher()
        await place(call_dispatcher, 'warm', DIGEST)
        call = make_call('x', DIGEST, output=output)
        placed = await asyncio.wait_for(call_dispatcher.place(call, 'x'), 1.0)
        if isinstance(placed, dispatcher.Placement):
            assert LONG - 10 <= replica.dispatches['x'].memory_tokens <= CAPACITY + LONG
            call_dispatcher.end(placed)
        unstated = make_call('y', DIGEST, output=0)
        placed = await asyncio.wait_for(call_dispatcher.place(unstated, 'y'), 1.0)
        assert isinstance(placed, dispatcher.Placement)
        assert replica.dispatches['y'].memory_tokens < 2 * LONG

    virtual_time.run(run())
