"""Estimates of how long an answer takes."""

from __future__ import annotations

import pytest

from passpier.core import pace


def test_an_estimate_follows_what_was_measured_in_its_own_pool() -> None:
    known = pace.Pace()
    assert known.estimate('slow', 100) == pytest.approx(100 * pace.FIRST_SECONDS * pace.SLOWDOWN)
    known.note('slow', 0.2)
    known.note('fast', 0.01)
    assert known.estimate('slow', 10) == pytest.approx(10 * 0.2 * pace.SLOWDOWN)
    for _ in range(100):
        known.note('slow', 0.02)
    assert known.estimate('slow', 10) == pytest.approx(10 * 0.02 * pace.SLOWDOWN, rel=0.1)
    assert known.estimate('fast', 10) == pytest.approx(10 * 0.01 * pace.SLOWDOWN)
