"""What a process believes of replicas that start again under their id, from the entries it reads.

A replica that has started again holds nothing of before: neither newer weights nor a cache, and it
has said nothing of leaving.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from passpier import clocks
from passpier.clients import registry
from passpier.core import choice, lives, pauses, prompts
from passpier.platform import dialect, names
from passpier.routing import knowledge, pools
from passpier.standins.platform import deployment
from passpier.tests.platform import scenes

ID = 'i-1'
MODEL = 'm1'
SERVICES: list[dict[str, Any]] = [
    {'name': 'llm', 'engine': {'slots': 16, 'kv_capacity': 9000, 'models': [{'name': MODEL}]}},
    {'name': 'app'},
]


class Registry:
    """Writes entries, each at the next revision, into what a process knows."""

    def __init__(self) -> None:
        self.known = knowledge.Knowledge(dialect.Records(), pools.Pools(10.0), 5.0)
        self.revision = 0
        self.put(names.CONFIGURATION_KEY, {'version': 1, 'services': SERVICES})

    def put(self, key: str, value: Any) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = registry.Item(key, data, self.revision)
        now = clocks.now()
        self.known.take_changes(registry.Changes((item,), self.revision, now, now), 0.0, now)

    def record(self, id: str = ID, **fields: Any) -> None:
        self.put(names.REPLICA_PREFIX + id, make_entry(**fields))

    def list_used(self, service: str = 'llm') -> set[str]:
        return {r.name for r in self.known.pools.list_serving(service)}


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
    return prompts.build_job(prompts.Prompt(MODEL, parts), None, 1)


@pytest.fixture(name='store')
def make_registry() -> Registry:
    store = Registry()
    store.record(weights=3)
    return store


def test_a_replica_that_starts_again_with_older_weights_has_these(store: Registry) -> None:
    """The higher version of the process before stayed in the books.

    Requests went there with the wrong precondition and the wrong salt, and no order ever brought
    the replica up, since it seemed to have the newest weights.
    """
    store.record(weights=2, born=2000)
    assert store.known.pools.get(ID).weight_version == '2'


def test_a_replica_that_starts_again_has_an_empty_cache(store: Registry) -> None:
    job = make_job()
    known = store.known.pools
    incarnation = known.cache.get_incarnation(ID)
    known.cache.correct(ID, incarnation, job.chain, 0, len(job.chain), clocks.now())
    assert known.cache.match(ID, job.chain, clocks.now()).blocks
    store.record(weights=3, born=2000)
    assert not known.cache.match(ID, job.chain, clocks.now()).blocks


def test_what_a_replica_did_before_it_started_again_is_forgotten(store: Registry) -> None:
    """Pauses, strikes, learnt rates and open requests were those of the process before."""
    known = store.known.pools
    before = known.get(ID)
    before.seconds_per_token = 1.0
    known.silent.add(ID)
    for _ in range(3):
        known.ejector.note_failure(ID, clocks.now())
    before.paused_until = clocks.now() + 100.0
    store.record(weights=3, born=2000)
    now = clocks.now()
    after = known.get(ID)
    assert after.seconds_per_token < 1.0
    assert after.paused_until < now
    assert not known.silent
    assert not known.ejector.is_ejected(ID, now)


def test_leaving_that_the_process_before_announced_does_not_bind(store: Registry) -> None:
    """What was said to leave has left: the process that stands there now has said nothing."""
    store.record(weights=3, state='draining')
    assert not store.list_used()
    store.record(weights=3, born=2000)
    assert store.list_used() == {ID}


def test_leaving_binds_the_process_that_announced_it(store: Registry) -> None:
    store.record(weights=3, state='draining')
    store.record(weights=3)
    assert not store.list_used()


def test_a_replica_that_starts_again_elsewhere_is_sought_there(store: Registry) -> None:
    store.record(weights=3, born=2000, address='10.0.0.2:8080')
    assert store.known.pools.get(ID).address == '10.0.0.2:8080'


def test_after_a_jump_of_its_clock_a_replica_may_be_born_earlier(store: Registry) -> None:
    store.record(weights=2, born=500)
    assert store.known.pools.get(ID).weight_version == '2'


def test_the_same_process_keeps_what_was_learnt(store: Registry) -> None:
    known = store.known.pools
    known.get(ID).seconds_per_token = 1.0
    known.pause(known.get(ID).life, pauses.Pause.FULL, 10.0, 'full')
    store.record(weights=4)
    assert known.get(ID).seconds_per_token == 1.0
    assert known.get(ID).paused_until > clocks.now()
    assert known.get(ID).weight_version == '4'


def test_a_replica_that_starts_again_in_a_release_comes_to_the_newest_weights() -> None:
    """Routers took it for up to date, sent it what it refused, and never ordered it."""

    async def check(running: deployment.Deployment) -> None:
        reborn = running.replicas['llm-0']
        running.name_version(2)
        await scenes.wait_for(lambda: reborn.version == 2)
        running.restart_replica(reborn.id, version=1)
        known = [router.pools for router in running.routers]
        await scenes.wait_for(
            lambda: (
                reborn.version == 2
                and all(k.get(reborn.id).life == lives.Life(reborn.id, reborn.born) for k in known)
                and all(k.get(reborn.id).weight_version == '2' for k in known)
            )
        )
        replies = [await running.ask('/resume/x', headers=scenes.PROMPT) for _ in range(6)]
        assert [r.status for r in replies] == [200] * 6

    scenes.play(check, 2)


def test_connections_to_a_process_that_has_ended_are_not_used_again() -> None:
    """A request that may run only once was lost on one of them, though nothing had run."""

    async def check(running: deployment.Deployment) -> None:
        known = running.routers[0]
        reborn = running.replicas['app-0']
        resting = known.adapter.pool._idle
        while not resting.get(reborn.address):
            assert (await running.ask('/once/x')).status == 200
            await asyncio.sleep(0.01)
        before = list(resting[reborn.address])
        entry = reborn.render_entry() | {'born': 2000}
        running.meta.put(names.REPLICA_PREFIX + reborn.id, entry)
        await scenes.wait_for(lambda: known.pools.get(reborn.id).born == 2000)
        assert all(c.closed for c in before)

    scenes.play(check)


def start_again(running: deployment.Deployment, id: str) -> None:
    """Let a replica record that its process has started again."""
    entry = running.replicas[id].render_entry() | {'born': 2000}
    running.meta.put(names.REPLICA_PREFIX + id, entry)


async def wait_for_run(running: deployment.Deployment, request: str) -> str:
    """Return the replica that has begun to work on a request."""

    def find() -> list[str]:
        known = running.replicas.values()
        return [r.id for r in known if any(run.id == request for run in r.runs)]

    await scenes.wait_for(lambda: bool(find()))
    return find()[0]


def test_what_may_run_once_ends_as_unknown_when_its_process_has_ended() -> None:
    """It waited for the next process until its time was over, and nobody could tell it more."""

    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.faults.silent = True
        asked = asyncio.ensure_future(running.ask('/slow/x', id='q', patience_ms=8000))
        start_again(running, await wait_for_run(running, 'q'))
        reply = await asked
        assert reply.status == 502
        assert len(running.list_runs('q')) == 1

    scenes.play(check)


def test_a_stream_whose_process_has_ended_goes_on_elsewhere() -> None:
    async def check(running: deployment.Deployment) -> None:
        for replica in running.replicas.values():
            replica.faults.silent = True
        asked = asyncio.ensure_future(
            running.ask('/resume/x', id='q', patience_ms=8000, headers=scenes.PROMPT)
        )
        first = await wait_for_run(running, 'q')
        for replica in running.replicas.values():
            replica.faults.silent = replica.id == first
        start_again(running, first)
        assert (await asked).status == 200
        runs = [r.id for r in running.replicas.values() if r.model and r.runs]
        assert len(runs) == 2

    scenes.play(check)


@pytest.mark.parametrize('field', ['born', 'models'])
def test_an_entry_that_lacks_what_others_tell_is_not_used(store: Registry, field: str) -> None:
    """Another writer's differed in that alone, and requests went to the address in it."""
    store.record('i-other', **{field: None})
    assert store.list_used() == {ID}
    store.record('i-other')
    assert store.list_used() == {ID, 'i-other'}


@pytest.mark.parametrize('field', ['born', 'models'])
def test_a_replica_whose_entry_is_written_over_is_used_again_with_its_own(
    store: Registry, field: str
) -> None:
    store.record('i-2')
    store.record(ID, **{field: None})
    assert store.list_used() == {'i-2'}
    store.record()
    assert store.list_used() == {ID, 'i-2'}


def test_where_no_entry_tells_its_start_all_are_used() -> None:
    store = Registry()
    store.record('i-1', born=None)
    store.record('i-2', born=None)
    assert store.list_used() == {'i-1', 'i-2'}


def test_what_another_services_replicas_tell_says_nothing(store: Registry) -> None:
    store.record('i-app', service='app', born=None, models=None)
    assert store.list_used('app') == {'i-app'}
