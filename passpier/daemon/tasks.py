"""Runs a process and its background tasks; if one of them fails, the process exits."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Coroutine
from typing import Any, NoReturn

from passpier import clocks

log = logging.getLogger(__name__)


def start(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task whose failure ends the process."""
    task = asyncio.ensure_future(work)
    task.add_done_callback(_check)
    return task


def _check(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.critical('task failed', exc_info=task.exception())
        raise SystemExit(1)


def run_process(work: Coroutine[Any, Any, None]) -> NoReturn:
    """Run a coroutine in a `clocks.Loop`, then end the process at once with status 0.

    The interpreter's teardown is left out: it takes half a second on a busy machine, in which the
    process may be killed. All log lines have been written by then.
    """
    clocks.run(work)
    os._exit(0)
