"""How long engines take from one token of an answer to the next, by pool."""

from __future__ import annotations

FIRST_SECONDS = 0.05
"""Seconds a token before anything was measured: that of an engine whose slots are all in use."""

WEIGHT = 0.05
"""Part that one gap has in the mean: it follows a change within some twenty tokens."""

SLOWDOWN = 2.0
"""Times the mean that is reckoned with: answers slow down when more of them run beside."""


class Pace:
    """Means of the gaps between tokens."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, pool: str, gap: float) -> None:
        """Count a gap between two tokens of one answer, in seconds."""
        mean = self._means.get(pool, gap)
        self._means[pool] = mean + WEIGHT * (gap - mean)

    def estimate(self, pool: str, tokens: int) -> float:
        """Return the seconds that an answer of so many tokens may take after its first."""
        return self._means.get(pool, FIRST_SECONDS) * SLOWDOWN * tokens
