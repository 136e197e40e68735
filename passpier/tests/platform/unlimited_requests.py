"""A router that ignores the rate limits of replicas, for the tests of the checks."""

from __future__ import annotations

import importlib
import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

from passpier.core import backpressure, replica_processes  # noqa: E402
from passpier.routing import throttling  # noqa: E402


class UnlimitedThrottling(throttling.Throttling):
    """Learns of no limit."""

    def handle_signal(
        self,
        process: replica_processes.ReplicaProcess,
        signal: backpressure.Signal,
        ran_since: float | None,
    ) -> None:
        pass


if __name__ == '__main__':
    throttling.Throttling = UnlimitedThrottling  # type: ignore[misc]
    importlib.import_module('passpier.platform.main').main()
