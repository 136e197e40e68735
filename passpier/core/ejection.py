"""Temporarily ejects upstreams that fail repeatedly from load balancing."""

from __future__ import annotations

import msgspec

FAILURES_TO_EJECT = 3
"""Consecutive failures that eject an upstream."""

BASE_SECONDS = 1.0
MAX_SECONDS = 30.0

MAX_SHARE = 0.5
"""Maximum ejected share of a pool; beyond it, failing upstreams are used nevertheless."""


class _Health(msgspec.Struct):
    failures: int = 0
    ejections: int = 0
    until: float = float('-inf')


class Ejector:
    """Consecutive failures and current ejections by upstream."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def note_success(self, name: str) -> None:
        """Reset an upstream's failures and ejections."""
        self._health.pop(name, None)

    def note_failure(self, name: str, now: float) -> bool:
        """Count a failure; return whether it ejects the upstream."""
        health = self._health.setdefault(name, _Health())
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT or health.until > now:
            return False
        health.until = now + min(MAX_SECONDS, BASE_SECONDS * 2**health.ejections)
        health.ejections += 1
        return True

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether an upstream is currently ejected."""
        health = self._health.get(name)
        return health is not None and health.until > now

    def select(self, names: list[str], now: float) -> list[str]:
        """Return the upstreams to choose from, with the ejected share limited to `MAX_SHARE`."""
        healthy = [n for n in names if not self.is_ejected(n, now)]
        least = len(names) - int(len(names) * MAX_SHARE)
        if len(healthy) >= least:
            return healthy
        ejected = sorted(
            (n for n in names if self.is_ejected(n, now)), key=lambda n: self._health[n].until
        )
        return healthy + ejected[: least - len(healthy)]
