"""Notices that the VM was suspended, for whatever must not wait until it ages by itself."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from passpier import clocks
from passpier.daemon import metrics

log = logging.getLogger(__name__)

LOOK_INTERVAL = 0.1
"""Seconds between looks: what is old by the clock is refused without one."""


async def watch(counters: metrics.Metrics, resume: Callable[[], None]) -> None:
    """Call `resume` after each suspension, until cancelled.

    All ages and bounds go by a clock that counts suspensions: what was known is as old as it is,
    and rights have lapsed as they have for others, so that nothing is declared void here.
    """
    suspensions = clocks.Suspensions()
    while True:
        await asyncio.sleep(LOOK_INTERVAL)
        seconds = suspensions.find()
        if seconds:
            log.warning('resumed', extra={'suspended_for': round(seconds, 3)})
            counters.suspended_seconds.add({}, seconds)
            resume()
