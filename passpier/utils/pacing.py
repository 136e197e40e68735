"""Paces the work on messages that come in very many small parts.

A socket that always has data never makes its reader wait. Without pacing, one peer that sends parts
faster than they are handled would keep the event loop from everything else. Work is counted in
steps of some 15 µs.
"""

from __future__ import annotations

import asyncio

from passpier import clocks

BURST = 1024
"""Steps that a message may take at once."""

OWN_RATE = 2000.0
"""Steps a second that each message may take: 200 events of a stream."""

EXCESS_RATE = 8000.0
"""Steps a second that all messages together may take beyond that: a tenth of a core's time."""

EVENT_STEPS = 8
"""Steps of relaying one event of a stream."""


class Pacer:
    """The rate at which the messages of a process may take more than their own steps."""

    def __init__(self) -> None:
        self._free_at = float('-inf')

    def begin(self) -> Work:
        """Return the account of a new message."""
        return Work(self)

    def reserve(self, steps: float, now: float) -> float:
        """Reserve steps; return the seconds after which they may be taken."""
        begins_at = max(now, self._free_at)
        self._free_at = begins_at + steps / EXCESS_RATE
        return begins_at - now


class Work:
    """The steps that one message has taken."""

    def __init__(self, pacer: Pacer) -> None:
        self._pacer = pacer
        self._left = float(BURST)
        self._updated_at = clocks.now()
        self._is_paced = False

    def _count(self, steps: int) -> float | None:
        """Count steps that were taken; return the seconds to wait before the next ones, if any.

        Even a wait of 0 seconds lets other tasks run.
        """
        now = clocks.now()
        earned = (now - self._updated_at) * OWN_RATE
        self._left = min(BURST, self._left + earned) - steps
        self._updated_at = now
        if self._left >= 0:
            return None
        missing, self._left = -self._left, 0.0
        return self._pacer.reserve(missing, now)

    async def take(self, steps: int) -> bool:
        """Count steps that were taken, and wait until further ones may be.

        Returns whether this is the first wait for the message.
        """
        wait = self._count(steps)
        if wait is None:
            return False
        is_first, self._is_paced = not self._is_paced, True
        await asyncio.sleep(wait)
        return is_first
