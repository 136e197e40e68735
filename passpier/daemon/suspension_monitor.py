"""Detects suspensions of the VM, for state that has to be refreshed immediately afterwards."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from passpier import clocks
from passpier.daemon import metrics

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.1
"""Seconds between checks. Expiry does not depend on them, as the clock counts suspensions."""


async def watch(counters: metrics.Metrics, resume: Callable[[], None]) -> None:
    """Call `resume` after each suspension, until cancelled.

    All ages and deadlines use a clock that counts the time of suspensions, so that state and leases
    have expired as they have for other daemons. Nothing has to be invalidated here.
    """
    detector = clocks.SuspensionDetector()
    while True:
        await asyncio.sleep(CHECK_INTERVAL)
        seconds = detector.poll()
        if seconds:
            log.warning('resumed', extra={'suspended_for': round(seconds, 3)})
            counters.suspended_seconds.add({}, seconds)
            resume()
