"""Simulates the suspension of a VM: all clocks jump ahead except the monotonic one."""

from __future__ import annotations

import time
from collections.abc import Callable


class Suspension:
    """Advances the readings of the system clocks.

    `replace` sets an attribute temporarily, like `setattr` of pytest's `monkeypatch`.
    """

    def __init__(self, replace: Callable[[object, str, object], None]) -> None:
        self._seconds = 0.0
        self._read = time.clock_gettime
        replace(time, 'clock_gettime', self._read_ahead)

    def advance(self, seconds: float) -> None:
        """Simulate a suspension of the VM that has just ended and took `seconds`."""
        self._seconds += seconds

    def _read_ahead(self, clock: int) -> float:
        ahead = self._seconds if clock != time.CLOCK_MONOTONIC else 0.0
        return self._read(clock) + ahead
