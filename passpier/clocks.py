"""The clocks of the process. No other module reads the system's clocks.

A VM may be suspended for seconds, which the kernel's monotonic clock does not count. With that
clock, a process would take outdated state for current after a suspension: revoked keys, its right
to give orders, its share of a limit. The clock used here counts suspensions, so that a suspension
has the same effect as a process that was stopped for that time.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar('T')

MIN_SUSPENSION = 0.1
"""Seconds that the clock must gain on the monotonic clock to count as a suspension."""

MAX_READ_GAP = 0.01
"""Seconds within which both clocks have to be read; otherwise the process was preempted between
the reads, and they are repeated."""

_START_FIELD = 19
"""Index of the start time, in clock ticks, among the status fields behind the program's name."""

_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
"""A clock that counts suspensions, if the system has one, as Linux does."""


def now() -> float:
    """Return the seconds since an arbitrary point in time; only differences are meaningful."""
    return time.clock_gettime(_CLOCK_ID)


def read_monotonic() -> float:
    """Return the monotonic time, which does not count suspensions."""
    return time.monotonic()


def read_process_start() -> float:
    """Return when this process was started, as a time of `now`; the present if it is unknown.

    Until its own code runs, a process may take seconds on a busy machine.
    """
    try:
        status = pathlib.Path('/proc/self/stat').read_text()
        ticks = int(status.rpartition(')')[2].split()[_START_FIELD])
    except (OSError, ValueError, IndexError):
        return now()
    return min(ticks / os.sysconf('SC_CLK_TCK'), now())


def read_time_of_day() -> float:
    """Return the Unix time, which jumps when the clock is set."""
    return time.time()


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose timers and timeouts are based on `now`.

    A timer that is due when a suspension ends runs in the next iteration, which the shortest
    periodic timer starts within 20 to 100 ms. The loop's clock is replaced, instead of passing a
    clock to each component, so that the timeouts of libraries use it too.
    """

    def time(self) -> float:
        """Return the time that timers are compared with."""
        return now()


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a `Loop`, like `asyncio.run`."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(work)


class SuspensionDetector:
    """Detects that the VM was suspended."""

    def __init__(self) -> None:
        self._lead = _measure_lead()

    def poll(self) -> float:
        """Return the seconds for which the VM was suspended since the last call, or 0."""
        lead = _measure_lead()
        seconds = lead - self._lead
        if seconds < MIN_SUSPENSION:
            return 0.0
        self._lead = lead
        return seconds


def _measure_lead() -> float:
    while True:
        monotonic = read_monotonic()
        including_suspensions = now()
        if read_monotonic() - monotonic < MAX_READ_GAP:
            return including_suspensions - monotonic
