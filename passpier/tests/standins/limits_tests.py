"""Accounts far above their limits, and just below them, while daemons come, go and are cut off.

The load: one account sends 4.4 times its rate, as a caller that runs wild, or 0.55 times, as usual,
to all daemons, to one, or to another one every few seconds. The bounds are what operators state:
nothing in any window beyond rate, burst and tolerance; below the rate nothing refused.
"""

from __future__ import annotations

import pytest

from passpier.core import buckets
from passpier.standins.fleet import limits

RATES = (29_000, 160_000, 614_000)
"""Tokens a second of a small account, a middling and a large one."""

WILD = 4.4
USUAL = 0.55
DRAWN_SEEDS = 8


@pytest.mark.parametrize('name', [n for n in limits.PLAYS if n != 'drawn'])
@pytest.mark.parametrize('rate', RATES)
def test_no_account_exceeds_its_limit(name: str, rate: int) -> None:
    found = limits.play(name, True, 8, rate, WILD, 1)
    assert found.excess <= 0
    assert found.ran


@pytest.mark.parametrize('seed', range(DRAWN_SEEDS))
def test_no_account_exceeds_its_limit_whatever_happens(seed: int) -> None:
    assert limits.play('drawn', True, 12, RATES[seed % 3], WILD, seed).excess <= 0


def test_what_was_set_aside_for_daemons_that_end_is_not_spent_by_others() -> None:
    """Half of them were cut off, spent their part and were killed; the others took it for unspent.

    Four cuts and kills within three seconds; 57,000 tokens too many ran.
    """
    assert limits.play('drawn', True, 12, 614_000, WILD, 177).excess <= 0


@pytest.mark.parametrize('name', ['calm', 'one daemon'])
@pytest.mark.parametrize('rate', RATES)
def test_nothing_below_a_limit_is_refused_while_all_are_in_touch(name: str, rate: int) -> None:
    found = limits.play(name, True, 12, rate, USUAL, 2)
    assert found.refused_below == 0


def test_even_shares_refuse_callers_that_use_one_daemon() -> None:
    """The way that was weighed against: it keeps the limit, and refuses what lies far below it."""
    found = limits.play('one daemon', False, 12, 160_000, USUAL, 2)
    assert found.excess <= 0
    assert found.refused_below > found.asked / 2


def test_without_a_charge_the_model_sees_the_limit_exceeded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(buckets.SharedBuckets, 'take', lambda *_: 0.0)
    assert limits.play('calm', True, 8, 160_000, WILD, 1).excess > 0


def test_two_sides_that_each_go_on_as_if_alone_exceed_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(buckets.SharedBuckets, 'compute_share', lambda *_: 1.0)
    assert limits.play('cut at rest', True, 8, 614_000, WILD, 1).excess > 0
