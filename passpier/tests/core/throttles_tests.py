"""Daemons' shares of a replica's limit: their sum and how much of it can be used."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passpier.core import throttles
from passpier.standins.platform import invariants

STEP = 0.02
SECONDS = 16.0
LIMITS = st.floats(0.0, 60.0)


def list_names(count: int) -> list[str]:
    return [f'vm-{n}' for n in range(count)]


def send_greedily(known: list[throttles.Throttle], seconds: float, start: float) -> list[float]:
    """Send as many requests as the throttles allow, at every step; return their times."""
    sent = []
    for step in range(int(seconds / STEP)):
        now = start + step * STEP
        for throttle in known:
            while throttle.take(now):
                sent.append(now)
    return sent


def build_throttles(limit: float, names: list[str], now: float = 0.0) -> list[throttles.Throttle]:
    shares = [throttles.compute_share('llm-0', limit, own, names) for own in names]
    return [throttles.Throttle(s, now) for s in shares if s.rate]


@given(LIMITS, st.integers(1, 420))
def test_all_daemons_together_keep_a_limit_and_can_use_it(limit: float, daemons: int) -> None:
    known = build_throttles(limit, list_names(daemons))
    sent = send_greedily(known, SECONDS, 0.0)
    assert invariants.find_limit_excess(sent, limit) == []
    assert len(sent) >= int(0.9 * limit * SECONDS) - len(known)


@given(LIMITS, st.integers(1, 420), st.floats(0.0, 100.0))
def test_a_burst_after_a_rest_stays_within_the_tolerance(
    limit: float, daemons: int, rest: float
) -> None:
    known = build_throttles(limit, list_names(daemons), -rest)
    assert invariants.find_limit_excess(send_greedily(known, SECONDS, 0.0), limit) == []


@given(LIMITS, st.integers(2, 40), st.integers(0, 2**16))
def test_a_limit_holds_while_some_daemons_do_not_know_one_of_them(
    limit: float, daemons: int, seed: int
) -> None:
    """Gossip spreads the start or loss of a daemon to the others one by one.

    The requests of that daemon are not counted: it has just started or is partitioned.
    """
    rng = random.Random(seed)
    names = list_names(daemons)
    known = []
    for own in names[:-1]:
        seen = names if rng.random() < 0.5 else names[:-1]
        share = throttles.compute_share('llm-0', limit, own, seen)
        if share.rate:
            known.append(throttles.Throttle(share, -10.0))
    assert invariants.find_limit_excess(send_greedily(known, SECONDS, 0.0), limit) == []


def test_daemons_agree_on_the_senders() -> None:
    names = list_names(8)
    senders = [n for n in names if throttles.compute_share('llm-0', 1.0, n, names).rate]
    assert len(senders) == 3


def test_a_bucket_is_empty_at_first() -> None:
    throttle = throttles.Throttle(throttles.Share(2.0, 1.0), 10.0)
    assert not throttle.take(10.0)
    assert throttle.compute_ready_at(10.0) == pytest.approx(10.5)
    assert throttle.take(10.5)
    assert not throttle.take(10.9)


def test_a_smaller_share_cuts_the_level() -> None:
    throttle = throttles.Throttle(throttles.Share(10.0, 5.0), 0.0)
    assert throttle.has_token(1.0)
    throttle.configure(throttles.Share(1.0, 1.0), 1.0)
    assert [throttle.take(1.0), throttle.take(1.0)] == [True, False]


def test_a_daemon_without_a_share_sends_only_granted_probes() -> None:
    throttle = throttles.Throttle(throttles.NO_SHARE, 0.0)
    assert not throttle.has_token(1000.0)
    assert throttle.compute_ready_at(1000.0) == float('inf')
    throttle.allow_probe(1000.0)
    throttle.allow_probe(1000.0)
    assert [throttle.take(1001.0), throttle.take(1001.0)] == [True, False]
