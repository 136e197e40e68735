"""Where an engine is sent for the parts of a prompt that it lacks."""

from __future__ import annotations

import pytest

from passpier import clocks
from passpier.core import catalogue, choice, kept, lives, prompts, rendezvous, routes
from passpier.routing import pools, sources

STORES = {f'10.0.{n}.1:80': f'd{n}' for n in range(3)}
DOMAINS = 4


@pytest.fixture(name='known')
def make_sources(monkeypatch: pytest.MonkeyPatch) -> sources.Sources:
    monkeypatch.setattr(clocks, 'now', lambda: 100.0)
    known = pools.Pools(10.0)
    stores = tuple(routes.CacheStore(a, d, 1000) for a, d in STORES.items())
    known.apply_configuration(routes.Configuration(1, cache_stores=stores))
    for number in range(20):
        domain = f'd{number % DOMAINS}'
        entry = catalogue.Entry(f'r{number}', 's', f'a{number}:1', domain, 8, False, {'m': 1})
        known.apply_change(catalogue.Change(entry.id, entry, 'recorded'))
    return sources.Sources(known)


def make_prompt(family: str) -> prompts.Prompt:
    parts = [prompts.Part('aa', 800), prompts.Part(family, 400), prompts.Part('own', 50)]
    return prompts.Prompt('m', tuple(parts))


def choose(known: sources.Sources, name: str, family: str) -> sources.Source:
    prompt = make_prompt(family)
    job = prompts.build_job(prompt, None, 1)
    return known.choose(known.pools.get(name), job, prompt, 'salt')


def note_read(known: sources.Sources, name: str, job: choice.Job) -> None:
    known.note_read(lives.Life(name), '1', job.chain, job.ends, len(job.chain) - 1)


def hold(known: sources.Sources, address: str, family: str) -> None:
    store = known.pools.stores.get(address)
    assert store is not None
    store.apply([kept.identify('salt', 'aa'), kept.identify('salt', family)], [])


def test_a_family_has_one_store_whichever_replica_asks(known: sources.Sources) -> None:
    for family in map(str, range(30)):
        assert len({choose(known, f'r{n}', family).save for n in range(20)} - {''}) == 1


def test_the_stores_share_the_families_and_lie_near_their_homes(known: sources.Sources) -> None:
    used = [choose(known, 'r0', str(n)).save for n in range(300)]
    assert {*used} == {*STORES}
    near = 0
    for family, store in enumerate(used):
        home = max(known.pools.replicas, key=lambda r: rendezvous.compute_weight(str(family), r))
        near += known.pools.get(home).failure_domain == STORES[store]
    # One domain of four has no store; a third of its families finds one nearby by chance.
    assert near >= 300 * 0.65


def test_a_store_that_is_down_is_passed_over(known: sources.Sources) -> None:
    store = choose(known, 'r0', 'f').save
    down = known.pools.stores.get(store)
    assert down is not None
    down.up = False
    other = choose(known, 'r1', 'f').save
    assert other in STORES
    assert other != store


def test_who_has_just_read_the_parts_is_the_source(known: sources.Sources) -> None:
    store = choose(known, 'r0', 'f').save
    hold(known, store, 'f')
    assert choose(known, 'r0', 'f') == sources.Source(store)
    job = prompts.build_job(make_prompt('f'), None, 1)
    note_read(known, 'r5', job)
    assert choose(known, 'r0', 'f') == sources.Source('a5:1')
    assert choose(known, 'r5', 'f') == sources.Source(store)


def test_a_reader_that_may_have_lost_the_parts_is_no_source(
    known: sources.Sources, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = choose(known, 'r0', 'f').save
    hold(known, store, 'f')
    job = prompts.build_job(make_prompt('f'), None, 1)
    note_read(known, 'r5', job)
    known.pools.learn_version(lives.Life('r5'), 2, 'report')
    assert choose(known, 'r0', 'f').fetch == store
    note_read(known, 'r6', job)
    known.pools.silent.add('r6')
    assert choose(known, 'r0', 'f').fetch == store
    note_read(known, 'r7', job)
    monkeypatch.setattr(clocks, 'now', lambda: 100.0 + sources.IN_MEMORY_SECONDS + 0.1)
    assert choose(known, 'r0', 'f').fetch == store
