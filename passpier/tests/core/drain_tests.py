"""Which requests a planned stop takes.

The pattern: a signal that is noticed late, so that the stop believes to be younger than it is. What
is taken once most clients must have left has to end before the process is killed, whenever that
was noticed.
"""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from passpier.core import drain

ENTRY_TTL = 1.0
MARGIN = 2.0
BOUND = 7.6
"""Figures of a platform that kills 8 s after its signal."""


def begin(noticed_at: float) -> drain.Drain:
    stop = drain.Drain(ENTRY_TTL, BOUND, MARGIN)
    stop.begin(noticed_at)
    return stop


def test_who_is_not_stopping_takes_everything() -> None:
    assert drain.Drain(ENTRY_TTL, BOUND, MARGIN).takes(1e9, 0.0)


@hypothesis.given(
    strategies.floats(0, drain.LATE_NOTICE),
    strategies.floats(0, 10),
    strategies.floats(0, 20),
)
def test_what_is_taken_late_ends_in_the_stop(late: float, after: float, patience: float) -> None:
    """`after` is the time from the signal, sent at 0, until the request."""
    stop = begin(late)
    now = max(after, late)
    if stop.takes(now + patience, now) and now > ENTRY_TTL + MARGIN:
        assert now + patience + drain.END_MARGIN <= BOUND


def test_early_in_a_stop_everything_is_taken() -> None:
    assert begin(0.0).takes(1e9, 1.9)


def test_then_only_what_is_certain_to_end() -> None:
    stop = begin(0.0)
    assert stop.takes(6.0, 2.1)
    assert not stop.takes(6.2, 2.1)


def test_late_in_a_stop_nothing_is_taken() -> None:
    assert not begin(0.0).takes(3.2, 3.1)


def test_a_second_signal_changes_nothing() -> None:
    stop = begin(0.0)
    stop.begin(1.0)
    assert stop.takes(1e9, 1.9)
    assert not stop.takes(1e9, 2.1)


def test_who_is_in_a_hurry_takes_nothing() -> None:
    stop = begin(0.0)
    stop.hurry()
    assert not stop.takes(1.0, 0.5)


def test_after_its_bound_a_stop_takes_nothing() -> None:
    """A platform whose grace period is shorter than the time for which old addresses are kept."""
    stop = drain.Drain(ENTRY_TTL, 1.5, MARGIN)
    stop.begin(0.0)
    assert not stop.takes(1.7, 1.6)
