"""A router that ignores its retry budget, for the tests of the checks."""

from __future__ import annotations

import importlib
import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from passpier.core import retries  # noqa: E402


class UnboundedBudget(retries.SharedBudget):
    """Grants every retry and withdraws none."""

    def update(self, now: float, processes: int) -> None:
        pass

    def has_any(self, now: float, processes: int) -> bool:
        return True


if __name__ == '__main__':
    retries.SharedBudget = UnboundedBudget  # type: ignore[misc]
    importlib.import_module('passpier.platform.main').main()
