"""Average time between tokens of a response, by pool."""

from __future__ import annotations

DEFAULT_SECONDS = 0.05
"""Seconds per token assumed before any measurement; typical of an engine with all slots in use."""

SAMPLE_WEIGHT = 0.05
"""Weight of a new sample in the moving average, which follows a change within about 20 tokens."""

SAFETY_FACTOR = 2.0
"""Factor on the average in estimates, as responses slow down when more of them run in parallel."""


class Pace:
    """Moving averages of the gaps between tokens."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, pool: str, gap: float) -> None:
        """Add a gap between two tokens of a response, in seconds."""
        mean = self._means.get(pool, gap)
        self._means[pool] = mean + SAMPLE_WEIGHT * (gap - mean)

    def estimate(self, pool: str, tokens: int) -> float:
        """Return the estimated seconds for `tokens` further tokens after the first."""
        return self._means.get(pool, DEFAULT_SECONDS) * SAFETY_FACTOR * tokens
