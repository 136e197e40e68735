"""Attempts that have been sent to a replica, and what the heads of their responses tell."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import Callable

from passpier import clocks
from passpier.clients import exchanges
from passpier.core import attempts, pauses, replica_processes, replicas
from passpier.daemon import dispatcher
from passpier.routing import dialect, pools, probing, response_reader, retry_budgets


class Takeover(enum.Enum):
    """What became of an attempt that is to replace the one at a slow replica."""

    TAKEN = 'taken'
    """Its replica has responded first, or the slow one has broken off."""

    OVERTAKEN = 'overtaken'
    """The slow replica has responded first."""

    UNDECIDED = 'undecided'
    """Neither replica has sent anything."""


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt and its response, as far as that has been read."""

    placement: dispatcher.Placement
    exchange: exchanges.Exchange
    reader: response_reader.ResponseReader
    cleanup: contextlib.ExitStack
    """Ends everything that was begun for the attempt."""

    pending: retry_budgets.PendingAttempt
    """Its arrival at the replica, as far as that is known."""

    head: exchanges.Head | None = None

    @property
    def sent_at(self) -> float:
        """When it was sent."""
        return self.pending.sent_at

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The replica process that it was sent to."""
        return self.placement.replica.process


class HeadReader:
    """Reads the heads of responses and applies what they tell about their replicas."""

    def __init__(
        self, wire: dialect.Dialect, replica_pools: pools.Pools, prober: probing.Prober
    ) -> None:
        self._wire = wire
        self._pools = replica_pools
        self._prober = prober
        self.on_prefill: Callable[[replicas.Replica, replicas.PrefillSample], None] = (
            lambda replica, sample: None
        )
        """Called with each sample of a replica's prefill rate."""

    async def read(self, attempt: Attempt, wait: float) -> exchanges.Head:
        """Return the head of a result within `wait` seconds; raises `AttemptError`."""
        head = await attempt.reader.read_head(wait)
        attempt.pending.settle()
        now = clocks.now()
        if self._apply(head, attempt) is dialect.Verdict.FAILURE:
            response = await attempt.reader.read_whole()
            raise response_reader.AttemptError(
                attempts.Fault.FAILED, f'status {head.status}', response
            )
        replica = attempt.placement.replica
        sample = replicas.note_first_token(replica, attempt.placement.attempt, now)
        if sample is not None:
            self.on_prefill(replica, sample)
        attempt.head = head
        return head

    async def await_takeover(
        self, attempt: Attempt, current: response_reader.ResponseReader, wait: float
    ) -> Takeover:
        """Return which of two replicas is first to respond within `wait` seconds.

        Raises `AttemptError` if the replica of `attempt` refuses the request or fails.
        """
        head = asyncio.ensure_future(self.read(attempt, wait))
        more = asyncio.ensure_future(current.wait_for_more())
        try:
            await asyncio.wait([head, more], return_when=asyncio.FIRST_COMPLETED)
            if head.done():
                await head
            elif not current.is_cut_off:
                return Takeover.OVERTAKEN
            return Takeover.TAKEN
        except response_reader.StalledError:
            return Takeover.UNDECIDED
        finally:
            head.cancel()
            more.cancel()
            await asyncio.gather(head, more, return_exceptions=True)

    def _apply(self, head: exchanges.Head, attempt: Attempt) -> dialect.Verdict:
        """Classify the head of a response and apply what it reports; raise if it is no result."""
        verdict = self._wire.classify_response(head)
        process = attempt.process
        replica = attempt.placement.replica
        self._learn_signal(head, attempt, verdict)
        version = self._wire.read_version(head)
        if version:
            self._pools.update_version(process, int(version), 'answer')
        if verdict is dialect.Verdict.NOT_RUN:
            replicas.note_refusal(replica, attempt.placement.attempt, clocks.now())
            self._pools.pause(process, pauses.Pause.FULL, pools.PAUSE_FULL, f'status {head.status}')
            raise response_reader.AttemptError(
                attempts.Fault.REFUSED, f'refused with status {head.status}'
            )
        if verdict is dialect.Verdict.WRONG_UPSTREAM:
            reported = self._wire.read_incarnation(head)
            if reported and reported != replica.incarnation:
                self._pools.mark_replaced(process)
                raise response_reader.AttemptError(
                    attempts.Fault.REFUSED, f'{reported} has the address now'
                )
            self._pools.pause(process, pauses.Pause.FULL, pools.PAUSE_FULL, 'other weights')
            self._prober.note_version_mismatch(process, replica.weight_version)
            raise response_reader.AttemptError(
                attempts.Fault.REFUSED, 'other weights than asked for'
            )
        if verdict is dialect.Verdict.INVALID:
            raise response_reader.AttemptError(
                attempts.Fault.FAILED, f'no sound answer, status {head.status}'
            )
        return verdict

    def _learn_signal(
        self, head: exchanges.Head, attempt: Attempt, verdict: dialect.Verdict
    ) -> None:
        """Apply the backpressure signal of a response, unless another process gave it."""
        if verdict is dialect.Verdict.WRONG_UPSTREAM:
            reported = self._wire.read_incarnation(head)
            if reported and reported != attempt.placement.replica.incarnation:
                return
        signal = self._wire.read_signal(head)
        ran_since = attempt.sent_at if verdict is dialect.Verdict.SUCCESS else None
        self._pools.apply_signal(attempt.process, signal, ran_since)
