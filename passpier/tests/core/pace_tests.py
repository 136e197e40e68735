"""Estimates of the duration of a response."""

from __future__ import annotations

import pytest

from passpier.core import pace


def test_an_estimate_follows_the_measurements_of_its_pool() -> None:
    known = pace.Pace()
    assert known.estimate('slow', 100) == pytest.approx(
        100 * pace.DEFAULT_SECONDS * pace.SAFETY_FACTOR
    )
    known.note('slow', 0.2)
    known.note('fast', 0.01)
    assert known.estimate('slow', 10) == pytest.approx(10 * 0.2 * pace.SAFETY_FACTOR)
    for _ in range(100):
        known.note('slow', 0.02)
    assert known.estimate('slow', 10) == pytest.approx(10 * 0.02 * pace.SAFETY_FACTOR, rel=0.1)
    assert known.estimate('fast', 10) == pytest.approx(10 * 0.01 * pace.SAFETY_FACTOR)
