"""Prefix matches never cross accounts, weight versions, adapters or engine incarnations."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest
from hypothesis import stateful

from passpier.core import blocks, cache_events, cache_view
from passpier.tests import broken

BLOCK = 2
SCOPES = [
    blocks.Scope(account, 'm', version, adapter)
    for account in ('a', 'b')
    for version in ('v1', 'v2')
    for adapter in ('', 'x')
]
PROMPTS = st.lists(st.integers(0, 1), min_size=2, max_size=8)


def compute_chain(scope: blocks.Scope, tokens: list[int]) -> list[int]:
    return blocks.compute_chain(blocks.compute_root(scope), blocks.encode_tokens(tokens), BLOCK)


class IsolationMachine(stateful.RuleBasedStateMachine):
    """A replica that restarts and evicts; the oracle records all evidence of cached blocks."""

    def __init__(self) -> None:
        super().__init__()
        self.cache = self.make_view()
        self.boot = 0
        self.evidence: set[tuple[object, ...]] = set()
        self.translator = cache_events.Translator('m', 'v1', BLOCK)
        self.cache.set_incarnation('r', 'boot-0')

    def make_view(self) -> cache_view.CacheView:
        return cache_view.CacheView()

    def chain(self, scope: blocks.Scope, tokens: list[int]) -> list[int]:
        return compute_chain(scope, tokens)

    def add_evidence(self, scope: blocks.Scope, tokens: list[int]) -> None:
        for end in range(BLOCK, len(tokens) + 1, BLOCK):
            self.evidence.add((self.boot, scope, tuple(tokens[:end])))

    @stateful.rule(scope=st.sampled_from(SCOPES), tokens=PROMPTS, late=st.integers(0, 1))
    def answer(self, scope: blocks.Scope, tokens: list[int], late: int) -> None:
        """A response from this incarnation, or a late one from the previous incarnation."""
        chain = self.chain(scope, tokens)
        self.cache.correct('r', f'boot-{self.boot - late}', chain, 0, len(chain), 1.0)
        if not late:
            self.add_evidence(scope, tokens)

    @stateful.rule(account=st.sampled_from('ab'), tokens=PROMPTS, late=st.integers(0, 1))
    def event(self, account: str, tokens: list[int], late: int) -> None:
        """An event for stored blocks."""
        whole = tokens[: len(tokens) // BLOCK * BLOCK]
        hashes = [hash((account, tuple(whole[: i + BLOCK]))) for i in range(0, len(whole), BLOCK)]
        stored = cache_events.Stored(hashes, None, whole, BLOCK, account, '')
        chain = self.translator.store(stored)
        self.cache.add('r', f'boot-{self.boot - late}', chain, cache_view.Evidence.EVENT, 1.0)
        if not late:
            self.add_evidence(blocks.Scope(account, 'm', 'v1', ''), tokens)

    @stateful.rule()
    def gap(self) -> None:
        self.cache.note_gap('r', f'boot-{self.boot}')

    @stateful.rule()
    def restart(self) -> None:
        self.boot += 1
        self.translator.clear()
        self.cache.set_incarnation('r', f'boot-{self.boot}')

    @stateful.rule()
    def clear(self) -> None:
        self.cache.clear('r', f'boot-{self.boot}')
        self.evidence = {s for s in self.evidence if s[0] != self.boot}

    @stateful.rule(scope=st.sampled_from(SCOPES), tokens=PROMPTS)
    def match(self, scope: blocks.Scope, tokens: list[int]) -> None:
        matched = self.cache.match('r', self.chain(scope, tokens), 1.0).blocks
        if matched:
            assert (self.boot, scope, tuple(tokens[: matched * BLOCK])) in self.evidence


IsolationTest = IsolationMachine.TestCase


class SharedRootMachine(IsolationMachine):
    """Broken variant: the root doesn't contain the account."""

    def chain(self, scope: blocks.Scope, tokens: list[int]) -> list[int]:
        return compute_chain(blocks.Scope('', scope.model, scope.weight_version), tokens)


class StaleView(cache_view.CacheView):
    """Broken variant: a new incarnation keeps the entries of the previous one."""

    def set_incarnation(self, replica: str, incarnation: str, capacity: int = 0) -> bool:
        known = self._replicas.get(replica)
        changed = super().set_incarnation(replica, incarnation, capacity)
        if known is not None and changed:
            self._replicas[replica].blocks = known.blocks
        return changed


class StaleMachine(IsolationMachine):
    def make_view(self) -> cache_view.CacheView:
        return StaleView()


@pytest.mark.parametrize('machine', [SharedRootMachine, StaleMachine])
def test_broken_variants_are_caught(machine: type[IsolationMachine]) -> None:
    broken.check_detects_fault(machine)


def test_events_without_account_or_known_parent_are_ignored() -> None:
    translator = cache_events.Translator('m', 'v1', BLOCK)
    assert not translator.store(cache_events.Stored([1], None, [1, 2], BLOCK, '', ''))
    assert not translator.store(cache_events.Stored([2], 99, [1, 2], BLOCK, 'a', ''))


@hypothesis.given(st.lists(st.integers(0, 2**32 - 1), max_size=40), st.integers(1, 5))
def test_the_chain_of_a_prefix_is_a_prefix_of_the_chain(tokens: list[int], size: int) -> None:
    root = blocks.compute_root(SCOPES[0])
    data = blocks.encode_tokens(tokens)
    whole = blocks.compute_chain(root, data, size)
    half = blocks.compute_chain(root, data[: len(data) // 8 * 4], size)
    assert whole[: len(half)] == half


def test_an_expected_miss_does_not_reduce_trust() -> None:
    """Guards against counting the request's own blocks as expected hits, which wore out trust."""
    cache = cache_view.CacheView()
    cache.set_incarnation('r', 'i')
    for number in range(50):
        chain = [number * 10 + n for n in range(1, 6)]
        cache.add('r', 'i', chain, cache_view.Evidence.DISPATCH, 0.0)
        cache.correct('r', 'i', chain, 0, 0, 0.0)
    assert cache.match('r', [1, 2], 0.0).confidence == 1.0
    cache.correct('r', 'i', [1, 2], 2, 0, 0.0)
    assert cache.match('r', [1, 2], 0.0).confidence < 1.0


def test_a_late_removal_does_not_override_newer_evidence() -> None:
    cache = cache_view.CacheView()
    cache.set_incarnation('r', 'i')
    cache.add('r', 'i', [1, 2], cache_view.Evidence.ANSWER, 5.0)
    cache.remove('r', 'i', 1, 3.0)
    assert cache.match('r', [1, 2], 5.0).blocks == 2
    cache.remove('r', 'i', 2, 5.0)
    assert cache.match('r', [1, 2], 5.0).blocks == 1


def test_confidence_decreases_with_gaps_and_age() -> None:
    cache = cache_view.CacheView()
    cache.set_incarnation('r', 'i')
    cache.add('r', 'i', [1, 2], cache_view.Evidence.EVENT, 0.0)
    fresh = cache.match('r', [1, 2], 0.0).confidence
    cache.note_gap('r', 'i')
    assert cache.match('r', [1, 2], 0.0).confidence < fresh
    assert cache.match('r', [1, 2], 600.0).confidence < cache.match('r', [1, 2], 0.0).confidence
