"""Pauses during which a replica gets no requests.

Each reason has its own end time; the end of one pause doesn't affect the others.
"""

from __future__ import annotations

import enum

import msgspec


class Pause(enum.Enum):
    """The reason for a pause."""

    FULL = 'full'
    LOADING = 'loading'
    SILENT = 'silent'
    BACKOFF = 'backoff'
    """The replica refused a request and requested a backoff."""


class _Paused(msgspec.Struct, frozen=True):
    until: float
    version: int


class Pauses:
    """The current pauses of one replica, with monotonic times in seconds."""

    def __init__(self) -> None:
        self._paused: dict[Pause, _Paused] = {}

    @property
    def until(self) -> float:
        """The end of the last pause."""
        return max((p.until for p in self._paused.values()), default=float('-inf'))

    def get_until(self, reason: Pause) -> float:
        """Return when the pause for a reason ends."""
        paused = self._paused.get(reason)
        return paused.until if paused is not None else float('-inf')

    def begin(self, reason: Pause, until: float, version: int = 0) -> None:
        """Begin or extend a pause; `version` is the weight version being loaded, if any."""
        before = self._paused.get(reason, _Paused(until, version))
        self._paused[reason] = _Paused(max(until, before.until), max(version, before.version))

    def end(self, reason: Pause, version: int = 0) -> None:
        """End a pause unless it is for loading weights newer than `version`."""
        paused = self._paused.get(reason)
        if paused is not None and paused.version <= version:
            del self._paused[reason]
