"""Rate limits of an account above and below its rate while daemons start, stop or are isolated.

One account sends 4.4 times its rate, as a faulty caller does, or 0.55 times, as usual, to all
daemons, to one, or to another one every few seconds. Operators require that no window exceeds rate,
burst and tolerance, and that nothing is refused below the rate.
"""

from __future__ import annotations

import pytest

from passpier.core import buckets
from passpier.standins.fleet import limits

RATES = (29_000, 160_000, 614_000)
"""Tokens a second of a small, a medium and a large account."""

OVERLOAD = 4.4
NORMAL_LOAD = 0.55
RANDOM_SEEDS = 8


@pytest.mark.parametrize('name', [n for n in limits.SCENARIOS if n != 'drawn'])
@pytest.mark.parametrize('rate', RATES)
def test_no_account_exceeds_its_limit(name: str, rate: int) -> None:
    found = limits.run_scenario(name, True, 8, rate, OVERLOAD, 1)
    assert found.excess <= 0
    assert found.ran


@pytest.mark.parametrize('seed', range(RANDOM_SEEDS))
def test_no_account_exceeds_its_limit_under_random_faults(seed: int) -> None:
    assert limits.run_scenario('drawn', True, 12, RATES[seed % 3], OVERLOAD, seed).excess <= 0


def test_the_reserve_for_daemons_that_crash_is_not_spent_by_others() -> None:
    """Half of the daemons are isolated, spend their share and are killed (seed 177).

    The others took the share for unspent: after four partitions and kills within three seconds,
    57,000 tokens too many ran.
    """
    assert limits.run_scenario('drawn', True, 12, 614_000, OVERLOAD, 177).excess <= 0


@pytest.mark.parametrize('name', ['calm', 'one daemon'])
@pytest.mark.parametrize('rate', RATES)
def test_nothing_below_a_limit_is_refused_while_all_are_connected(name: str, rate: int) -> None:
    found = limits.run_scenario(name, True, 12, rate, NORMAL_LOAD, 2)
    assert found.refused_below_limit == 0


def test_even_shares_refuse_callers_that_use_one_daemon() -> None:
    """The rejected alternative: even shares keep the limit but refuse traffic far below it."""
    found = limits.run_scenario('one daemon', False, 12, 160_000, NORMAL_LOAD, 2)
    assert found.excess <= 0
    assert found.refused_below_limit > found.requested / 2


def test_the_simulation_detects_that_usage_is_not_charged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(buckets.SharedBuckets, 'take', lambda *_: 0.0)
    assert limits.run_scenario('calm', True, 8, 160_000, OVERLOAD, 1).excess > 0


def test_the_simulation_detects_partitions_that_each_use_the_whole_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(buckets.SharedBuckets, 'compute_share', lambda *_: 1.0)
    assert limits.run_scenario('cut at rest', True, 8, 614_000, OVERLOAD, 1).excess > 0
