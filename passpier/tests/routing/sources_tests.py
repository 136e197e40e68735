"""Which cache source an engine is given for the parts of a prompt that it lacks."""

from __future__ import annotations

import pytest

from passpier import clocks
from passpier.core import (
    cache_store_contents,
    catalogue,
    choice,
    prompts,
    rendezvous,
    replica_processes,
    routes,
)
from passpier.routing import pools, sources

STORES = {f'10.0.{n}.1:80': f'd{n}' for n in range(3)}
DOMAINS = 4


@pytest.fixture(name='cache_sources')
def make_sources(monkeypatch: pytest.MonkeyPatch) -> sources.CacheSources:
    monkeypatch.setattr(clocks, 'now', lambda: 100.0)
    cache_sources = pools.Pools(10.0)
    stores = tuple(routes.CacheStore(a, d, 1000) for a, d in STORES.items())
    cache_sources.apply_configuration(routes.Configuration(1, cache_stores=stores))
    for number in range(20):
        domain = f'd{number % DOMAINS}'
        entry = catalogue.Entry(f'r{number}', 's', f'a{number}:1', domain, 8, False, {'m': 1})
        cache_sources.apply_change(catalogue.Change(entry.id, entry, 'recorded'))
    return sources.CacheSources(cache_sources)


def make_prompt(family: str) -> prompts.Prompt:
    parts = [prompts.Part('aa', 800), prompts.Part(family, 400), prompts.Part('own', 50)]
    return prompts.Prompt('m', tuple(parts))


def choose(cache_sources: sources.CacheSources, name: str, family: str) -> sources.CacheSource:
    prompt = make_prompt(family)
    job = prompts.build_job(prompt, '', 1)
    return cache_sources.choose(cache_sources.pools.get(name), job, prompt, 'salt')


def record_read(cache_sources: sources.CacheSources, name: str, job: choice.Job) -> None:
    cache_sources.record_read(
        replica_processes.ReplicaProcess(name), '1', job.chain, job.block_ends, len(job.chain) - 1
    )


def store_parts(cache_sources: sources.CacheSources, address: str, family: str) -> None:
    store = cache_sources.pools.stores.get(address)
    assert store is not None
    store.apply(
        [
            cache_store_contents.hash_part('salt', 'aa'),
            cache_store_contents.hash_part('salt', family),
        ],
        [],
    )


def test_a_family_has_one_store_for_all_replicas(cache_sources: sources.CacheSources) -> None:
    for family in map(str, range(30)):
        assert len({choose(cache_sources, f'r{n}', family).save for n in range(20)} - {''}) == 1


def test_families_are_spread_over_stores_near_their_home_replicas(
    cache_sources: sources.CacheSources,
) -> None:
    used = [choose(cache_sources, 'r0', str(n)).save for n in range(300)]
    assert {*used} == {*STORES}
    near = 0
    for family, store in enumerate(used):
        home = max(
            cache_sources.pools.replicas, key=lambda r: rendezvous.compute_weight(str(family), r)
        )
        near += cache_sources.pools.get(home).failure_domain == STORES[store]
    # One domain of four has no store; a third of its families gets one nearby by chance.
    assert near >= 300 * 0.65


def test_a_store_that_is_down_is_skipped(cache_sources: sources.CacheSources) -> None:
    store = choose(cache_sources, 'r0', 'f').save
    down = cache_sources.pools.stores.get(store)
    assert down is not None
    down.up = False
    other = choose(cache_sources, 'r1', 'f').save
    assert other in STORES
    assert other != store


def test_the_last_reader_of_the_parts_is_the_source(cache_sources: sources.CacheSources) -> None:
    store = choose(cache_sources, 'r0', 'f').save
    store_parts(cache_sources, store, 'f')
    assert choose(cache_sources, 'r0', 'f') == sources.CacheSource(store)
    job = prompts.build_job(make_prompt('f'), '', 1)
    record_read(cache_sources, 'r5', job)
    assert choose(cache_sources, 'r0', 'f') == sources.CacheSource('a5:1')
    assert choose(cache_sources, 'r5', 'f') == sources.CacheSource(store)


def test_a_reader_that_may_have_evicted_the_parts_is_no_source(
    cache_sources: sources.CacheSources, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = choose(cache_sources, 'r0', 'f').save
    store_parts(cache_sources, store, 'f')
    job = prompts.build_job(make_prompt('f'), '', 1)
    record_read(cache_sources, 'r5', job)
    cache_sources.pools.update_version(replica_processes.ReplicaProcess('r5'), 2, 'report')
    assert choose(cache_sources, 'r0', 'f').fetch == store
    record_read(cache_sources, 'r6', job)
    cache_sources.pools.unresponsive.add('r6')
    assert choose(cache_sources, 'r0', 'f').fetch == store
    record_read(cache_sources, 'r7', job)
    monkeypatch.setattr(clocks, 'now', lambda: 100.0 + sources.IN_MEMORY_SECONDS + 0.1)
    assert choose(cache_sources, 'r0', 'f').fetch == store
