"""Reads a response from a replica while the replica responds and the client waits."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

from passpier import clocks
from passpier.clients import exchanges
from passpier.core import attempts, replica_processes
from passpier.routing import probing

T = TypeVar('T')

FINAL_READ_SECONDS = 0.02
"""Seconds for a final read after the timeout: a delayed event loop sees the timeout and a response
that arrived in time at once."""

LATE_SECONDS = 0.25
"""Seconds from the first read after the client's deadline for what had arrived in time, if the
event loop was delayed. Without a limit, a response without end would always have more."""

WHOLE_MAX = 1024 * 1024
"""Maximum size in bytes of a response that is read completely before any of it is sent on."""


class AttemptError(Exception):
    """An attempt brought no response; `passed` is the upstream's own error response, if any.

    `broken_off` means that it ended as if the replica's process had crashed.
    """

    def __init__(
        self,
        fault: attempts.Fault,
        message: str,
        passed: exchanges.Response | None = None,
        broken_off: bool = False,
    ) -> None:
        super().__init__(message)
        self.fault = fault
        self.passed = passed
        self.broken_off = broken_off


class StalledError(AttemptError):
    """Nothing arrived before the timeout, from a replica that may still go on."""


class SilentError(AttemptError):
    """The replica gives no sign of life, or its connection has fallen silent."""


class UnresponsiveError(AttemptError):
    """The replica was sent nothing, since it has not responded to a probe."""

    def __init__(self, name: str) -> None:
        super().__init__(attempts.Fault.NOT_CONNECTED, f'no response from {name} before sending')


class ResponseReader:
    """Reads one exchange with a replica process; `ends_at` is the client's deadline.

    A repeatable request doesn't wait for an unresponsive replica or connection. Any other one does,
    for as long as the kernel keeps the connection open: its response may still arrive.
    """

    def __init__(
        self,
        exchange: exchanges.Exchange,
        prober: probing.Prober,
        process: replica_processes.ReplicaProcess,
        ends_at: float,
        repeatable: bool,
    ) -> None:
        self._exchange = exchange
        self._prober = prober
        self._process = process
        self._ends_at = ends_at
        self._repeatable = repeatable
        self._late_since: float | None = None
        """When the body was first read after the deadline."""

    async def read_head(self, wait: float) -> exchanges.Head:
        """Return status and headers within `wait` seconds; raises `AttemptError`."""
        return await self._read_while_alive(
            self._exchange.read_head, wait, attempts.Fault.NO_ANSWER
        )

    async def read_part(self, wait: float) -> bytes | None:
        """Return the next part of the body, or none at its end; raises `AttemptError`."""
        fault = attempts.Fault.INTERRUPTED
        self.check_deadline()
        part = await self._read_while_alive(self._exchange.read, wait, fault)
        if part is None:
            await self._check_end()
        return part

    def check_deadline(self) -> None:
        """Raise `StalledError` once a response goes on beyond the client's deadline."""
        now = clocks.now()
        if now <= self._ends_at:
            return
        self._late_since = now if self._late_since is None else self._late_since
        if now - self._late_since > LATE_SECONDS:
            raise StalledError(attempts.Fault.INTERRUPTED, 'goes on after the deadline')

    async def _check_end(self) -> None:
        """Raise `AttemptError` unless a response that has ended is complete.

        Where nothing tells its length, the end of a killed process looks like that of a response.
        """
        if self._exchange.ended_by_close and not await self._prober.confirm(self._process):
            text = 'the process may have ended before the response was complete'
            raise AttemptError(attempts.Fault.INTERRUPTED, text, broken_off=True)

    @property
    def is_cut_off(self) -> bool:
        """Whether the next read raises an error that tells how the response was cut off."""
        return self._exchange.is_cut_off

    async def wait_for_more(self) -> None:
        """Wait until there is more of the response, or it is cut off."""
        with contextlib.suppress(exchanges.ExchangeError):
            await self._exchange.wait_for_more()

    async def read_whole(self) -> exchanges.Response:
        """Return the complete response, before the client's deadline."""
        whole = asyncio.ensure_future(self._exchange.read_all(WHOLE_MAX))
        try:
            for seconds in (max(0.0, self._ends_at - clocks.now()), FINAL_READ_SECONDS):
                await asyncio.wait([whole], timeout=seconds)
                if whole.done():
                    response = whole.result()
                    await self._check_end()
                    return response
        except exchanges.ExchangeError as error:
            raise _convert(error, attempts.Fault.INTERRUPTED) from error
        finally:
            whole.cancel()
        raise AttemptError(attempts.Fault.NO_ANSWER, 'not whole in time')

    async def _read_while_alive(
        self, read: Callable[[], Awaitable[T]], wait: float, fault: attempts.Fault
    ) -> T:
        """Return the result of `read` within `wait` seconds, while the replica responds."""
        ends_at = clocks.now() + max(0.0, wait)
        marked = overtime = False
        while True:
            left = ends_at - clocks.now()
            try:
                async with asyncio.timeout(max(0.0, min(left, probing.PROBE_AFTER))):
                    result = await read()
            except TimeoutError as error:
                if left <= probing.PROBE_AFTER:
                    if overtime:
                        raise StalledError(fault, 'no answer in time') from error
                    overtime = True
                    ends_at = clocks.now() + FINAL_READ_SECONDS
                    continue
                if self._prober.has_restarted(self._process):
                    text = 'the replica has started again'
                    raise AttemptError(fault, text, broken_off=True) from error
                if self._prober.is_unresponsive(self._process.id) and self._repeatable:
                    raise SilentError(fault, 'the replica gives no sign of life') from error
                if self._exchange.is_path_lost and self._repeatable:
                    raise SilentError(fault, 'the path to the replica is lost') from error
                if not self._exchange.has_unacked_data:
                    self._prober.probe(self._process)
                    continue
                if marked and self._repeatable:
                    raise SilentError(fault, 'the connection has fallen silent') from error
                marked = True
                self._exchange.note_unresponsive()
                # The probe uses a new connection, and is sent even if the replica responded on
                # another one.
                self._prober.probe(self._process, 0.0)
            except exchanges.ExchangeError as error:
                raise _convert(error, fault) from error
            else:
                self._prober.record_contact(self._process)
                return result


def _convert(error: exchanges.ExchangeError, fault: attempts.Fault) -> AttemptError:
    closed = error.fault is exchanges.Fault.CLOSED
    return AttemptError(fault, str(error), broken_off=closed)
