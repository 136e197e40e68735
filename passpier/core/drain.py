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

LATE_NOTICE = 1.0
"""Seconds by which a stop may begin later here than its signal was sent: the VM may have given the
process no time meanwhile, and no clock of the process tells of that."""

END_MARGIN = 0.5
"""Seconds before the bound of a stop by which a request's time must be over for it to end in the
stop for certain: its answer may go out 0.25 s later, and the event loop may be late."""


@dataclasses.dataclass(slots=True)
class Drain:
    """A stop's progress; times in seconds."""

    entry_ttl: float
    bound: float
    margin: float = MARGIN
    began_at: float | None = None
    hurried: bool = False

    def begin(self, now: float) -> None:
        """Start the stop; a second call changes nothing."""
        if self.began_at is None:
            self.began_at = now

    def hurry(self) -> None:
        """End the stop now, whatever runs."""
        self.hurried = True

    def takes(self, ends_at: float, now: float) -> bool:
        """Return whether a request may be taken whose time is over at `ends_at`.

        What is taken has to end before the stop does. While most clients still come with old
        addresses their requests are taken however long they may last: few last for so long, and
        they have most of the stop. From `LATE_NOTICE` before the end of that time on, when the
        signal may be older than it seems, only what is certain to end is taken.
        """
        if self.began_at is None:
            return True
        if self.hurried or now - self.began_at >= self.entry_ttl + self.margin:
            return False
        if now - self.began_at < self.entry_ttl + self.margin - LATE_NOTICE:
            return True
        return ends_at + END_MARGIN <= self.began_at - LATE_NOTICE + self.bound

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
