"""How often and when to try again: a budget that bounds amplification, and jittered backoff."""

from __future__ import annotations

import dataclasses
import random

BUDGET_SHARE = 0.1
"""Retries earned by each successful request."""

BUDGET_MAX = 50.0
"""Retries that can be saved up."""

BUDGET_TRICKLE = 0.2
"""Retries earned each second, so that a quiet daemon can retry at all."""

BACKOFF_BASE = 0.02
BACKOFF_MAX = 1.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Retries that may still be spent."""

    balance: float = BUDGET_MAX / 2
    updated_at: float = 0.0

    def note_success(self) -> None:
        """Earn a share of a retry."""
        self.balance = min(BUDGET_MAX, self.balance + BUDGET_SHARE)

    def spend(self, now: float) -> bool:
        """Take one retry; return false if none is left."""
        if self.updated_at:
            earned = max(0.0, now - self.updated_at) * BUDGET_TRICKLE
            self.balance = min(BUDGET_MAX, self.balance + earned)
        self.updated_at = now
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def compute_backoff(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before a further attempt, the first retry being 1."""
    bound = min(BACKOFF_MAX, BACKOFF_BASE * 2 ** (attempt - 1))
    return rng.uniform(bound / 2, bound)
