"""Starts background tasks; if one fails, the process exits."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

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
