"""Requests accepted during a planned stop, and its duration.

Guards against a signal that is noticed late, by a process that was suspended or whose event loop
was busy. All times count from when the signal had certainly not come yet.
"""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from passpier.core import drain

ENTRY_TTL = 1.0
MARGIN = 2.0
BOUND = 7.0


def begin(at: float = 0.0) -> drain.Drain:
    stop = drain.Drain(ENTRY_TTL, BOUND, MARGIN)
    stop.begin(at)
    return stop


def test_a_daemon_that_is_not_stopping_accepts_everything() -> None:
    assert drain.Drain(ENTRY_TTL, BOUND, MARGIN).accepts_requests(1e9)


@hypothesis.given(strategies.floats(0, 5), strategies.floats(0, 20), strategies.integers(0, 3))
def test_no_request_is_accepted_too_late_after_a_signal_noticed_late(
    unnoticed: float, after: float, in_flight: int
) -> None:
    """`unnoticed` is how long before the signal, at 0, the process last ran."""
    stop = begin(-unnoticed)
    assert not (stop.accepts_requests(after) and after > ENTRY_TTL + MARGIN)
    if after >= BOUND:
        assert stop.get_phase(in_flight, after) is drain.Phase.STOPPED


def test_callers_with_old_addresses_are_accepted() -> None:
    assert begin().accepts_requests(2.9)
    assert not begin().accepts_requests(3.1)


def test_a_second_signal_has_no_effect() -> None:
    stop = begin()
    stop.begin(1.0)
    assert stop.accepts_requests(2.9)
    assert not stop.accepts_requests(3.1)


def test_a_forced_stop_accepts_nothing() -> None:
    stop = begin()
    stop.force()
    assert not stop.accepts_requests(0.5)
    assert stop.get_phase(1, 0.5) is drain.Phase.STOPPED


def test_a_stop_accepts_nothing_after_its_bound() -> None:
    """The platform's grace period may be shorter than the lifetime of old addresses."""
    stop = drain.Drain(ENTRY_TTL, 1.5, MARGIN)
    stop.begin(0.0)
    assert not stop.accepts_requests(1.6)
