"""Measures events per second, with a fast rise and a slow decay."""

from __future__ import annotations

DECAY_SECONDS = 3.0
"""Seconds in which a rate falls to a third after events have stopped; callers keep addresses for
about that long."""

NEGLIGIBLE_RATE = 0.05
"""Rate below which 0 is returned."""


class Meter:
    """A meter for the rate of events."""

    def __init__(self, now: float) -> None:
        self._read_at = now
        self._count = 0
        self._rate = 0.0

    def note(self) -> None:
        """Count an event."""
        self._count += 1

    def read(self, now: float) -> float:
        """Return the current events per second."""
        elapsed = now - self._read_at
        if elapsed <= 0:
            return self._rate
        decayed = self._rate * max(0.0, 1.0 - elapsed / DECAY_SECONDS)
        self._rate = max(self._count / elapsed, decayed)
        self._read_at, self._count = now, 0
        if self._rate < NEGLIGIBLE_RATE:
            self._rate = 0.0
        return round(self._rate, 2)
