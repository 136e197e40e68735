"""KV memory of replicas with 16 slots and 96,567 tokens, which ten long prompts fill."""

from __future__ import annotations

from passpier.core import choice, prompts, replica_memory, replicas

CAPACITY = 96_567
LONG = 9_200
SHARED = 6_300


def make_replica() -> replicas.Replica:
    return replicas.Replica('r', '', '', '', slots=16, memory_capacity=CAPACITY)


def make_need(*parts: str) -> replica_memory.Need:
    sizes = (SHARED, LONG - SHARED)
    named = tuple(prompts.Part(n, s) for n, s in zip(parts, sizes, strict=True))
    job = prompts.build_job(prompts.Prompt('m', named), '', 2)
    return replica_memory.build_need(job, job.prompt_tokens)


def send(replica: replicas.Replica, attempt: str, need: replica_memory.Need, at: float) -> None:
    replicas.begin_dispatch(replica, attempt, need.tokens, at)
    dispatch = replica.dispatches[attempt]
    dispatch.memory_tokens, dispatch.memory_parts = need.tokens, need.parts


def test_memory_for_the_eleventh_long_prompt_is_missing() -> None:
    """Guards against preemption: sixteen slots are free for more than the memory holds."""
    replica = make_replica()
    for number in range(10):
        assert replica_memory.has_memory(replica, LONG, 1.0)
        send(replica, f'{number}', make_need(f's{number}', f'u{number}'), 1.0)
    assert not replica_memory.has_memory(replica, LONG, 1.0)
    # The share of less urgent requests is full already, an urgent one still starts.
    assert replica_memory.has_memory(replica, 884, 1.0, priority=0)
    assert not replica_memory.has_memory(replica, 884, 1.0, priority=2)


def test_shared_parts_count_once_for_as_long_as_any_request_has_them() -> None:
    """Guards against forgetting a shared prefix when the first request that needed it ends."""
    replica = make_replica()
    send(replica, 'a', make_need('s', 'a'), 1.0)
    replica.memory_capacity = 2 * LONG - SHARED
    usage = replica_memory.measure_usage(replica, 1.0)
    assert usage.has_memory(make_need('s', 'b'), 0)
    # A prefix is shared only from its beginning.
    assert not usage.has_memory(make_need('x', 'a'), 0)
    send(replica, 'b', make_need('s', 'b'), 1.0)
    assert replica_memory.estimate_used(replica, 1.0) == 2 * LONG - SHARED
    replicas.end_dispatch(replica, 'a', 1.5)
    assert replica_memory.estimate_used(replica, 1.5) == LONG


def test_requests_of_a_vm_that_has_died_stop_counting() -> None:
    """Guards against memory that stays taken by a VM which sends no more loads."""
    replica = make_replica()
    replica.peers['i1'] = replicas.PeerLoad((), 10, 1.0, 10 * LONG)
    assert not replica_memory.has_memory(replica, LONG, 2.0)
    assert replica_memory.has_memory(replica, LONG, 1.0 + replicas.PEER_LOAD_SECONDS)


def test_a_recent_report_counts_if_it_is_larger() -> None:
    """Guards against trusting own requests alone where the peers send no loads."""
    replica = make_replica()
    send(replica, 'a', make_need('s', 'a'), 1.0)
    replica.memory_report = replicas.MemoryReport(90_000, 0, 2.0)
    assert not replica_memory.has_memory(replica, LONG, 2.9)
    assert replica_memory.has_memory(replica, LONG, 2.0 + replica_memory.REPORT_SECONDS)
    # Requests that were sent after its values were taken are added.
    replica.memory_report = replicas.MemoryReport(50_000, 0, 2.0)
    send(replica, 'b', make_need('t', 'b'), 1.9)
    assert replica_memory.estimate_used(replica, 2.0) == 50_000 + LONG
    replica.memory_report = replicas.MemoryReport(100, 0, 2.0)
    assert replica_memory.estimate_used(replica, 2.0) == 2 * LONG


def test_memory_limits_only_where_the_slots_could_need_more() -> None:
    """Guards against changed decisions where short prompts fill the slots first."""
    sizes = replica_memory.RequestSizes()
    replica = make_replica()
    sizes.note(choice.Job([], 1, 826, priority=0, max_output=58), 1.0, CAPACITY)
    assert not replica_memory.is_limiting(replica, sizes.get_mean(1.0))
    # Short prompts don't lower the mean of the long ones, which may share few replicas.
    sizes.note(choice.Job([], 1, 9190, priority=2, max_output=10), 1.0, CAPACITY)
    assert replica_memory.is_limiting(replica, sizes.get_mean(1.0))
    assert not replica_memory.is_limiting(replicas.Replica('p', '', '', ''), sizes.get_mean(1.0))
    sizes.note(choice.Job([], 1, 826, priority=0, max_output=58), 100.0, CAPACITY)
    assert not replica_memory.is_limiting(replica, sizes.get_mean(100.0))
    assert sizes.estimate_tokens(choice.Job([], 1, 826), CAPACITY) > 826
