"""What a router concludes from registry entries about replicas that restart with the same id.

A restarted replica keeps no state: neither newer weights nor a cache, and it has not announced that
it is leaving.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from passpier import clocks
from passpier.clients import connections, registry
from passpier.core import choice, pauses, prompts, replica_processes
from passpier.platform import dialect, names
from passpier.routing import pools, registry_mirror
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

ID = 'i-1'
MODEL = 'm1'
SERVICES: list[dict[str, Any]] = [
    {'name': 'llm', 'engine': {'slots': 16, 'kv_capacity': 9000, 'models': [{'name': MODEL}]}},
    {'name': 'app'},
]


class RegistryWriter:
    """Applies entries to the registry state of a router, each at the next revision."""

    def __init__(self) -> None:
        self.state = registry_mirror.RegistryState(dialect.Records(), pools.Pools(10.0), 5.0)
        self.number = 0
        self.put(names.CONFIGURATION_KEY, {'version': 1, 'services': SERVICES})

    def put(self, key: str, value: Any) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.number += 1
        revision = registry.Revision(0, self.number)
        item = registry.Item(key, data, revision)
        now = clocks.now()
        self.state.apply_watch(registry.Changes((item,), revision, now, now), 0.0, now)

    def record(self, id: str = ID, **fields: Any) -> None:
        self.put(names.REPLICA_PREFIX + id, make_entry(**fields))

    def list_used(self, service: str = 'llm') -> set[str]:
        return {r.name for r in self.state.pools.list_serving(service)}


def make_entry(weights: int = 1, **fields: Any) -> dict[str, Any]:
    entry = {
        'service': 'llm',
        'address': '10.0.0.1:8080',
        'zone': 'd0',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'models': [{'name': MODEL, 'version': weights, 'adapters': []}],
        'sequence': 1,
        'born': 1000,
    }
    return {k: v for k, v in (entry | fields).items() if v is not None}


def make_job() -> choice.Job:
    parts = (prompts.Part('aa', 800), prompts.Part('own', 50))
    return prompts.build_job(prompts.Prompt(MODEL, parts), '', 1)


@pytest.fixture(name='store')
def make_registry() -> RegistryWriter:
    store = RegistryWriter()
    store.record(weights=3)
    return store


def test_restarted_replica_with_older_weights_has_those_weights(store: RegistryWriter) -> None:
    """Guards against keeping the higher version of the previous process.

    With it, requests were sent with the wrong precondition and salt, and the replica got no order
    to load weights, because it seemed to have the newest ones.
    """
    store.record(weights=2, born=2000)
    assert store.state.pools.get(ID).weight_version == '2'


def test_restarted_replica_has_an_empty_cache(store: RegistryWriter) -> None:
    job = make_job()
    replica_pools = store.state.pools
    incarnation = replica_pools.cache.get_incarnation(ID)
    replica_pools.cache.correct(ID, incarnation, job.chain, 0, len(job.chain), clocks.now())
    assert replica_pools.cache.match(ID, job.chain, clocks.now()).blocks
    store.record(weights=3, born=2000)
    assert not replica_pools.cache.match(ID, job.chain, clocks.now()).blocks


def test_state_of_the_previous_process_is_dropped(store: RegistryWriter) -> None:
    """Guards against keeping pauses, failure counts and learnt rates of the previous process."""
    replica_pools = store.state.pools
    before = replica_pools.get(ID)
    before.seconds_per_token = 1.0
    replica_pools.unresponsive.add(ID)
    for _ in range(3):
        replica_pools.ejector.note_failure(ID, clocks.now())
    before.paused_until = clocks.now() + 100.0
    store.record(weights=3, born=2000)
    now = clocks.now()
    after = replica_pools.get(ID)
    assert after.seconds_per_token < 1.0
    assert after.paused_until < now
    assert not replica_pools.unresponsive
    assert not replica_pools.ejector.is_ejected(ID, now)


def test_leaving_of_the_previous_process_does_not_apply(store: RegistryWriter) -> None:
    """The process that announced it is gone; the current one has announced nothing."""
    store.record(weights=3, state='draining')
    assert not store.list_used()
    store.record(weights=3, born=2000)
    assert store.list_used() == {ID}


def test_leaving_applies_to_the_process_that_announced_it(store: RegistryWriter) -> None:
    store.record(weights=3, state='draining')
    store.record(weights=3)
    assert not store.list_used()


def test_restarted_replica_is_reached_at_its_new_address(store: RegistryWriter) -> None:
    store.record(weights=3, born=2000, address='10.0.0.2:8080')
    assert store.state.pools.get(ID).address == '10.0.0.2:8080'


def test_start_time_may_be_earlier_after_a_clock_change(store: RegistryWriter) -> None:
    store.record(weights=2, born=500)
    assert store.state.pools.get(ID).weight_version == '2'


def test_state_of_the_same_process_is_kept(store: RegistryWriter) -> None:
    replica_pools = store.state.pools
    replica_pools.get(ID).seconds_per_token = 1.0
    replica_pools.pause(replica_pools.get(ID).process, pauses.Pause.FULL, 10.0, 'full')
    store.record(weights=4)
    assert replica_pools.get(ID).seconds_per_token == 1.0
    assert replica_pools.get(ID).paused_until > clocks.now()
    assert replica_pools.get(ID).weight_version == '4'


def test_replica_restarted_during_a_rollout_gets_the_newest_weights() -> None:
    """Guards against routers that take it for up to date and never order it to load weights."""

    async def check(running: deployment.Deployment) -> None:
        restarted = running.replicas['llm-0']
        running.release_version(2)
        await harness.wait_for(lambda: restarted.version == 2)
        running.restart_replica(restarted.id, version=1)
        all_pools = [router.pools for router in running.routers]
        await harness.wait_for(
            lambda: (
                restarted.version == 2
                and all(
                    p.get(restarted.id).process
                    == replica_processes.ReplicaProcess(restarted.id, restarted.started_ms)
                    for p in all_pools
                )
                and all(p.get(restarted.id).weight_version == '2' for p in all_pools)
            )
        )
        replies = [await running.ask('/resume/x', headers=harness.PROMPT_HEADERS) for _ in range(6)]
        assert [r.status for r in replies] == [200] * 6

    harness.run_check(check, 2)


def test_connections_to_a_stopped_process_are_not_reused() -> None:
    """A non-idempotent request was lost on such a connection, although it never ran."""

    async def check(running: deployment.Deployment) -> None:
        router = running.routers[0]
        restarted = running.replicas['app-0']
        idle = router.adapter.pool._idle
        path = connections.Path(restarted.address)
        while not idle.get(path):
            assert (await running.ask('/once/x')).status == 200
            await asyncio.sleep(0.01)
        before = list(idle[path])
        entry = restarted.render_entry() | {'born': 2000}
        running.store.put(names.REPLICA_PREFIX + restarted.id, entry)
        await harness.wait_for(lambda: router.pools.get(restarted.id).started_ms == 2000)
        assert all(c.closed for c in before)

    harness.run_check(check)


def record_restart(running: deployment.Deployment, id: str) -> None:
    """Record in the registry that the process of a replica has restarted."""
    entry = running.replicas[id].render_entry() | {'born': 2000}
    running.store.put(names.REPLICA_PREFIX + id, entry)


async def wait_for_working_replica(running: deployment.Deployment, request: str) -> str:
    """Wait until a replica works on a request; return its id."""

    def find() -> list[str]:
        replicas = running.replicas.values()
        return [r.id for r in replicas if any(run.id == request for run in r.runs)]

    await harness.wait_for(lambda: bool(find()))
    return find()[0]


def test_non_idempotent_request_has_unknown_outcome_after_a_restart() -> None:
    """Guards against waiting until the deadline: the new process cannot know the outcome."""

    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.faults.silent = True
        pending = asyncio.ensure_future(running.ask('/slow/x', id='q', patience_ms=8000))
        record_restart(running, await wait_for_working_replica(running, 'q'))
        reply = await pending
        assert reply.status == 502
        assert len(running.list_runs('q')) == 1

    harness.run_check(check)


def test_stream_of_a_stopped_process_is_resumed_elsewhere() -> None:
    async def check(running: deployment.Deployment) -> None:
        running.age_routers()
        for replica in running.replicas.values():
            replica.faults.silent = True
        pending = asyncio.ensure_future(
            running.ask('/resume/x', id='q', patience_ms=8000, headers=harness.PROMPT_HEADERS)
        )
        first = await wait_for_working_replica(running, 'q')
        for replica in running.replicas.values():
            replica.faults.silent = replica.id == first
        record_restart(running, first)
        assert (await pending).status == 200
        runs = [r.id for r in running.replicas.values() if r.model and r.runs]
        assert len(runs) == 2

    harness.run_check(check)


@pytest.mark.parametrize('field', ['born', 'models'])
def test_entry_without_a_field_that_the_others_have_is_not_used(
    store: RegistryWriter, field: str
) -> None:
    """Guards against sending requests to entries of other writers that only lack this field."""
    store.record('i-other', **{field: None})
    assert store.list_used() == {ID}
    store.record('i-other')
    assert store.list_used() == {ID, 'i-other'}


@pytest.mark.parametrize('field', ['born', 'models'])
def test_replica_with_an_overwritten_entry_is_used_once_it_is_restored(
    store: RegistryWriter, field: str
) -> None:
    store.record('i-2')
    store.record(ID, **{field: None})
    assert store.list_used() == {'i-2'}
    store.record()
    assert store.list_used() == {ID, 'i-2'}


def test_entries_are_used_if_none_reports_its_start() -> None:
    store = RegistryWriter()
    store.record('i-1', born=None)
    store.record('i-2', born=None)
    assert store.list_used() == {'i-1', 'i-2'}


def test_entries_of_other_services_are_not_compared(store: RegistryWriter) -> None:
    store.record('i-app', service='app', born=None, models=None)
    assert store.list_used('app') == {'i-app'}
