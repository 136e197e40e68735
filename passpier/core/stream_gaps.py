"""Measures the longest gap between the events of a stream, and the longest delay in sending one."""

from __future__ import annotations


class StreamGaps:
    """The gaps of one stream; times are in seconds."""

    def __init__(self) -> None:
        self.longest = 0.0
        """The longest time between the arrivals of two events."""

        self.ended_at: float | None = None
        """When that gap ended, if there was one."""

        self.longest_send = 0.0
        """The longest time for which the client did not take an event."""

        self.first_at: float | None = None
        """When the first event arrived."""

        self._last_at: float | None = None

    def note_event(self, now: float) -> None:
        """Record the arrival of an event."""
        if self._last_at is not None and now - self._last_at > self.longest:
            self.longest = now - self._last_at
            self.ended_at = now
        if self.first_at is None:
            self.first_at = now
        self._last_at = now

    def note_sent(self, arrived_at: float, now: float) -> None:
        """Record that the client has taken an event."""
        self.longest_send = max(self.longest_send, now - arrived_at)
