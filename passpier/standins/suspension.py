"""Stands in for a VM that is suspended: the clock that counts this jumps, the monotonic one not."""

from __future__ import annotations

import time
from collections.abc import Callable


class Suspension:
    """Puts readings of the system's clocks ahead; `replace` sets an attribute for a while."""

    def __init__(self, replace: Callable[[object, str, object], None]) -> None:
        self._seconds = 0.0
        self._read = time.clock_gettime
        replace(time, 'clock_gettime', self._read_ahead)

    def happen(self, seconds: float) -> None:
        """Let the VM have been suspended for so long just now."""
        self._seconds += seconds

    def _read_ahead(self, clock: int) -> float:
        ahead = self._seconds if clock != time.CLOCK_MONOTONIC else 0.0
        return self._read(clock) + ahead
