"""Finds replicas that have fallen silent: asks those that keep requests waiting whether they live.

A replica that is merely slow or busy answers a report at once. One that is dark or cut off from
this process answers nothing: it gets no more requests, those that may go elsewhere do so, and it is
asked again until it answers. Other processes are told, and ask for themselves, since a replica may
be silent towards some callers only.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from passpier.clients import exchanges
from passpier.core import pauses
from passpier.daemon import messages
from passpier.routing import dialect, pools

log = logging.getLogger(__name__)

SUSPECT_AFTER = 0.4
"""Seconds without a sign of life, while a request waits, after which a replica is asked."""

ASK_INTERVAL = 0.5
"""Seconds between questions to a silent replica."""

QUESTIONS = 2
"""Unanswered questions after which a replica counts as silent: a packet may be lost."""


class Prober:
    """Knows which replicas are silent towards this process."""

    def __init__(
        self,
        known: pools.Pools,
        engines: dialect.Engines,
        tell: Callable[[messages.Silent], None],
    ) -> None:
        self._pools = known
        self._engines = engines
        self._tell = tell
        self._heard_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def note_heard(self, name: str) -> None:
        """Note a sign of life."""
        self._heard_at[name] = time.monotonic()

    def is_silent(self, name: str) -> bool:
        """Return whether a replica gives no sign of life."""
        return name in self._pools.silent

    def suspect(self, name: str, patience: float = SUSPECT_AFTER) -> None:
        """Ask a replica, unless it was heard from within `patience` seconds or is being asked."""
        if name in self._tasks or name not in self._pools.replicas:
            return
        if time.monotonic() - self._heard_at.get(name, float('-inf')) < patience:
            return
        task = asyncio.ensure_future(self._ask(name))
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    def stop(self) -> None:
        """Ask nobody any more."""
        for task in self._tasks.values():
            task.cancel()

    async def _ask(self, name: str) -> None:
        unanswered = 0
        while (replica := self._pools.replicas.get(name)) is not None:
            try:
                await self._engines.report(replica.address, replica.incarnation)
            except exchanges.ExchangeError as error:
                if error.fault is exchanges.Fault.REPLACED:
                    self._pools.note_replaced(name)
                    break
                unanswered += 1
                if unanswered == QUESTIONS:
                    self._begin_silence(name, str(error))
            else:
                self._end_silence(name)
                return
            if unanswered >= QUESTIONS:
                seconds = 2 * ASK_INTERVAL + dialect.ASK_TIMEOUT
                self._pools.pause(name, pauses.Pause.SILENT, seconds, 'gives no answer')
                await asyncio.sleep(ASK_INTERVAL)
        self._pools.silent.discard(name)

    def _begin_silence(self, name: str, error: str) -> None:
        self._pools.silent.add(name)
        self._tell(messages.Silent(name))
        heard = self._heard_at.get(name)
        age = round(time.monotonic() - heard, 3) if heard else None
        log.warning(
            'upstream silent', extra={'upstream': name, 'error': error, 'last_heard_age': age}
        )

    def _end_silence(self, name: str) -> None:
        self._heard_at[name] = time.monotonic()
        if name in self._pools.silent:
            self._pools.silent.discard(name)
            self._pools.resume(name, pauses.Pause.SILENT)
            log.info('upstream answers again', extra={'upstream': name})
