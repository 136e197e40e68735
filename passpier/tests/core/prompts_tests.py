"""Hashes of prompt parts: isolation of accounts, families, sizes."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import msgspec

from passpier.core import cache_view, prompts, routes

parts = st.lists(
    st.builds(prompts.Part, st.sampled_from(['p', 'q', 'r', 'p/q']), st.integers(1, 500)),
    min_size=1,
    max_size=5,
).map(tuple)

OPEN = routes.Account('open', ())
ALSO_OPEN = routes.Account('also-open', ())
ISOLATED = routes.Account('walled', (), isolated=True)
ALSO_ISOLATED = routes.Account('also-walled', (), isolated=True)
TABLE = routes.Table(routes.Configuration(1, accounts=(OPEN, ALSO_OPEN, ISOLATED, ALSO_ISOLATED)))


def render_salt(account: routes.Account | None, model: str, version: str) -> str:
    return prompts.render_salt(TABLE.get_cache_owner(account), model, version)


@hypothesis.given(parts)
def test_isolated_accounts_share_nothing(prompt_parts: tuple[prompts.Part, ...]) -> None:
    prompt = prompts.Prompt('m', prompt_parts)
    chains = [
        set(prompts.build_job(prompt, TABLE.get_cache_owner(account), 1).chain)
        for account in (OPEN, ISOLATED, ALSO_ISOLATED)
    ]
    assert not chains[0] & chains[1]
    assert not chains[1] & chains[2]
    assert chains[0] == set(prompts.build_job(prompt, TABLE.get_cache_owner(ALSO_OPEN), 1).chain)


def test_salts_differ_by_account_model_and_version() -> None:
    salts = {
        render_salt(account, model, version)
        for account in (OPEN, ISOLATED, ALSO_ISOLATED)
        for model in ('m', 'n')
        for version in ('1', '2')
    }
    assert len(salts) == 12
    assert render_salt(OPEN, 'm', '1') == render_salt(ALSO_OPEN, 'm', '1')
    assert render_salt(None, 'm', '1') == render_salt(OPEN, 'm', '1')


@hypothesis.given(parts, parts)
def test_a_match_is_a_common_prefix(
    held: tuple[prompts.Part, ...], asked: tuple[prompts.Part, ...]
) -> None:
    cache = cache_view.CacheView()
    cache.set_incarnation('r', 'i')
    chain = prompts.build_job(prompts.Prompt('m', held), TABLE.get_cache_owner(OPEN), 1).chain
    cache.add('r', 'i', chain, cache_view.Evidence.ANSWER, 0.0)
    job = prompts.build_job(prompts.Prompt('m', asked), TABLE.get_cache_owner(OPEN), 1)
    match = cache.match('r', job.chain, 0.0)
    common = 0
    for one, other in zip(held, asked, strict=False):
        if one.name != other.name:
            break
        common += 1
    assert match.blocks == common
    assert job.count_tokens(match.blocks) == sum(p.tokens for p in asked[:common])


def test_a_family_is_the_last_shared_part() -> None:
    prompt_parts = (prompts.Part('base', 10), prompts.Part('station', 20), prompts.Part('own', 5))
    assert prompts.get_family(prompts.Prompt('m', prompt_parts)) == 'station'
    assert prompts.get_family(prompts.Prompt('m', prompt_parts[:1])) == 'base'
    assert prompts.get_family(prompts.Prompt('m', ())) == ''


# Guards against parts that an account made before it became isolated and that others use after.
def test_account_that_becomes_isolated_leaves_no_parts_to_others() -> None:
    walled = msgspec.structs.replace(OPEN, isolated=True)
    before = TABLE.get_cache_owner(OPEN)
    after = routes.Table(routes.Configuration(2, accounts=(walled, ALSO_OPEN, ISOLATED)))
    assert TABLE.get_cache_owner(ALSO_OPEN) == before
    assert after.get_cache_owner(walled) == OPEN.name
    assert after.get_cache_owner(OPEN) == OPEN.name, 'a request that was queued before'
    assert after.get_cache_owner(ALSO_OPEN) not in (before, OPEN.name)
    assert after.get_cache_owner(None) == after.get_cache_owner(ALSO_OPEN)
    none = routes.Table(routes.Configuration(3, accounts=(OPEN, ALSO_OPEN)))
    assert none.get_cache_owner(OPEN) == ''
