"""Phases of a daemon's planned stop."""

from __future__ import annotations

import enum

import msgspec


class Phase(enum.Enum):
    """The phase of a stop."""

    SERVING = 'serving'
    ANNOUNCED = 'announced'
    """This daemon is no longer listed as an entry, but callers with old addresses are served."""

    CLOSING = 'closing'
    """New requests are refused; running ones are finished."""

    STOPPED = 'stopped'


MARGIN = 3.0
"""Seconds beyond the lifetime of entries for which callers with old addresses are served."""


class Drain(msgspec.Struct):
    """The progress of a stop; times are in seconds."""

    entry_ttl: float
    bound: float
    margin: float = MARGIN
    began_at: float | None = None
    forced: bool = False

    def configure(self, entry_ttl: float, bound: float, margin: float = MARGIN) -> None:
        """Set the times; they also apply to a stop in progress."""
        self.entry_ttl = entry_ttl
        self.bound = bound
        self.margin = margin

    def begin(self, not_later: float) -> None:
        """Start the stop; a second call has no effect.

        All times count from `not_later`, a time at which the stop had certainly not been requested
        yet. A process that was suspended since then notices the request late and may be killed
        soon.
        """
        if self.began_at is None:
            self.began_at = not_later

    def force(self) -> None:
        """End the stop now, regardless of running requests."""
        self.forced = True

    def accepts_requests(self, now: float) -> bool:
        """Return whether new requests are accepted, as long as many come with old addresses."""
        if self.began_at is None:
            return True
        accept_seconds = min(self.entry_ttl + self.margin, self.bound)
        return not self.forced and now - self.began_at < accept_seconds

    def get_phase(self, in_flight: int, now: float) -> Phase:
        """Return the current phase; `in_flight` counts running and just finished requests."""
        if self.began_at is None:
            return Phase.SERVING
        elapsed = now - self.began_at
        if self.forced or elapsed >= self.bound:
            return Phase.STOPPED
        if elapsed < self.entry_ttl + self.margin:
            return Phase.ANNOUNCED
        return Phase.CLOSING if in_flight else Phase.STOPPED
