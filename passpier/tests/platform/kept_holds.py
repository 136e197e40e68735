"""A router that keeps held retries whatever becomes of the traffic, for the tests of the checks."""

from __future__ import annotations

import importlib
import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from passpier.core import retries  # noqa: E402


class KeptHolds(retries.SharedBudget):
    """Exempts held retries from what can be saved, and counts none that may still arrive."""

    def compute_limit(self, now: float, processes: int) -> float:
        return max(super().compute_limit(now, processes), float(self.held)) + self.unanswered


if __name__ == '__main__':
    retries.SharedBudget = KeptHolds  # type: ignore[misc]
    importlib.import_module('passpier.platform.main').main()
