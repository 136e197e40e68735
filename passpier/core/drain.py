"""The phases of a daemon's planned stop."""

from __future__ import annotations

import dataclasses
import enum


class Phase(enum.Enum):
    """How far a stop has come."""

    SERVING = 'serving'
    ANNOUNCED = 'announced'
    """No answer names this daemon any more; callers with old addresses are still served."""

    CLOSING = 'closing'
    """No new requests; what runs is finished."""

    STOPPED = 'stopped'


MARGIN = 3.0
"""Seconds on top of the entry lifetime for which old addresses are served."""


@dataclasses.dataclass(slots=True)
class Drain:
    """A stop's progress; times in seconds."""

    entry_ttl: float
    bound: float
    margin: float = MARGIN
    began_at: float | None = None
    hurried: bool = False

    def begin(self, now: float) -> None:
        """Start the stop; a second call ends it early."""
        if self.began_at is None:
            self.began_at = now
        else:
            self.hurried = True

    def get_phase(self, in_flight: int, now: float) -> Phase:
        """Return the phase at this time with so many requests running or just ended."""
        if self.began_at is None:
            return Phase.SERVING
        elapsed = now - self.began_at
        if self.hurried or elapsed >= self.bound:
            return Phase.STOPPED
        if elapsed < self.entry_ttl + self.margin:
            return Phase.ANNOUNCED
        return Phase.CLOSING if in_flight else Phase.STOPPED
