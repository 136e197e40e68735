"""A key table never runs a key twice, whatever the clock does."""

from __future__ import annotations

import collections

import hypothesis.strategies as st
import uuid_utils
from hypothesis import stateful

from passpier.core import claims
from passpier.tests import broken

RETENTION = 10.0


class MovingHorizonTable(claims.KeyTable[str]):
    """Broken variant: its horizon moves back with the clock."""

    def _expire(self, now: float) -> None:
        super()._expire(now)
        self._horizon = now - self._retention


class KeyMachine(stateful.RuleBasedStateMachine):
    """Keys, responses, failures, and a wall clock that jumps in both directions."""

    keys: stateful.Bundle = stateful.Bundle('keys')

    def __init__(self) -> None:
        super().__init__()
        self.table = self.make_table()
        self.now = 1000.0
        self.runs: collections.Counter[str] = collections.Counter()
        self.running: set[str] = set()
        self.count = 0

    def make_table(self) -> claims.KeyTable[str]:
        return claims.KeyTable(RETENTION, max_entries=6)

    @stateful.precondition(lambda self: self.count < 4)
    @stateful.rule(target=keys, skew=st.sampled_from([-15, 0, 15]))
    def make_key(self, skew: float) -> tuple[str, float]:
        self.count += 1
        return f'k{self.count}', self.now + skew

    @stateful.rule(jump=st.sampled_from([-25, -5, 5, 25]))
    def move_clock(self, jump: float) -> None:
        self.now += jump

    @stateful.rule(key=keys, end=st.sampled_from(['', 'answer', 'unknown', 'not_run']))
    def send(self, key: tuple[str, float], end: str) -> None:
        name, made_at = key
        if self.table.begin(name, made_at, self.now) is claims.Verdict.RUN:
            assert name not in self.running
            self.running.add(name)
            if end:
                self.finish(key, end)

    @stateful.rule(key=keys, end=st.sampled_from(['answer', 'unknown', 'not_run']))
    def finish(self, key: tuple[str, float], end: str) -> None:
        name = key[0]
        if name not in self.running:
            return
        self.running.discard(name)
        if end == 'answer':
            self.runs[name] += 1
            self.table.finish(name, f'answer to {name}', 10)
        else:
            self.runs[name] += end == 'unknown'
            self.table.fail(name, end == 'unknown')

    @stateful.invariant()
    def each_key_runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values())
        assert len(self.table) <= 6


class BrokenMachine(KeyMachine):
    def make_table(self) -> claims.KeyTable[str]:
        return MovingHorizonTable(RETENTION, max_entries=6)


KeyTableTest = KeyMachine.TestCase


def test_broken_variant_is_caught() -> None:
    broken.check_detects_fault(BrokenMachine)


def test_running_keys_are_joined_and_responses_repeated() -> None:
    table: claims.KeyTable[str] = claims.KeyTable(RETENTION)
    assert table.begin('k', 5.0, 5.0) is claims.Verdict.RUN
    assert table.begin('k', 5.0, 5.0) is claims.Verdict.JOIN
    table.finish('k', 'whole', 5)
    assert table.begin('k', 5.0, 6.0) is claims.Verdict.ANSWER
    assert table.get_response('k') == 'whole'


def test_homed_and_opaque_keys_are_recognized() -> None:
    made = uuid_utils.uuid7()
    parsed = claims.parse_key(f'home.{made}')
    assert isinstance(parsed, claims.HomedKey)
    assert parsed.incarnation == 'home'
    assert abs(parsed.made_at - made.timestamp / 1000) < 1
    for opaque in ('order-77', 'a.b', '.', f'.{made}', 'x.00000000-0000-4000-8000-000000000000'):
        assert isinstance(claims.parse_key(opaque), claims.OpaqueKey)
