"""An event loop with virtual time: its clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar('T')


class _JumpingSelector(selectors.SelectSelector):
    """Selector that never blocks and adds the requested timeouts to its clock."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready events; without any, advance the clock by the timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers without waiting for them."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time."""
        return self._jumping.now


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
