"""Moves slow requests to other replicas.

The slow replica goes on with the request until another one has taken it, so that a request which
nobody else takes loses nothing.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Sequence
from typing import Protocol

from passpier import clocks
from passpier.core import attempts, crashes
from passpier.daemon import calls, dispatcher
from passpier.routing import (
    key_checks,
    pools,
    rate_limiting,
    response_reader,
    retry_budgets,
    sent_attempts,
    suspicions,
)

log = logging.getLogger(__name__)

CONNECT_SECONDS = 0.1
"""Seconds in which another replica has to be connected to if a slow request is moved to it."""

OVERLAP_SECONDS = 0.25
"""Seconds for which the replica that runs a slow request keeps it while another one may be running
it already. The platform tolerates 0.4 s, of which the rest is for the way to the replicas."""


class Run(Protocol):
    """The execution of a request that may be moved."""

    call: calls.Call
    charge: rate_limiting.Charge
    key_check: key_checks.KeyCheck
    retries: retry_budgets.RunRetries
    suspicion: suspicions.RunSuspicion

    @property
    def id(self) -> str:
        """The request's id."""

    @property
    def ends_at(self) -> float:
        """The request's deadline."""

    @property
    def upstream(self) -> str:
        """The id of the replica that runs the request."""

    @property
    def excluded(self) -> Sequence[str]:
        """The replicas that have failed the request."""

    def name_attempt(self) -> str:
        """Return the name of the next attempt."""

    async def open_attempt(
        self,
        placement: dispatcher.Placement,
        judgement: crashes.Assessment,
        cleanup: contextlib.ExitStack,
        connect_seconds: float,
    ) -> sent_attempts.Attempt:
        """Send the request to a replica; raises `AttemptError`. Takes over `cleanup`."""


class Mover:
    """Moves slow requests to other replicas."""

    def __init__(
        self,
        request_dispatcher: dispatcher.Dispatcher,
        replica_pools: pools.Pools,
        heads: sent_attempts.HeadReader,
    ) -> None:
        self._dispatcher = request_dispatcher
        self._pools = replica_pools
        self._heads = heads

    async def move(
        self, run: Run, current: response_reader.ResponseReader
    ) -> sent_attempts.Attempt | None:
        """Have another replica take over a request; return its attempt, unless none does.

        `current` reads from the slow replica, which runs the request meanwhile.
        """
        placement = await self._place(run)
        if placement is None:
            log_not_moved(run, None, 'no other replica available')
            return None
        try:
            return await self._try_replica(run, placement, current)
        except response_reader.AttemptError as error:
            # The times are too short here for a slow response to count against the replica.
            stalled = isinstance(error, response_reader.StalledError)
            if error.fault not in attempts.NOT_RUN_FAULTS and not stalled:
                self._pools.note_failure(placement.replica.process)
            log_not_moved(run, placement, str(error))
        except (key_checks.UnverifiedKeyError, key_checks.RevokedKeyError):
            log_not_moved(run, placement, 'keys may have changed')
        run.retries.release_held()
        return None

    async def _place(self, run: Run) -> dispatcher.Placement | None:
        """Place the next attempt and pay for it, if that is possible at once."""
        if not run.call.progress.may_reach_others or not run.key_check.is_valid():
            return None
        if run.suspicion.assess().is_suspect:
            return None
        exclude = {*run.excluded, run.upstream}
        placement = self._dispatcher.place_now(run.call, run.name_attempt(), exclude)
        if placement is None:
            return None
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._dispatcher.end, placement)
            # The current attempt runs, so its charge is spent.
            run.charge.mark_spent()
            if await run.charge.acquire(run.ends_at - clocks.now()):
                return None
            if not run.retries.hold():
                run.charge.refund()
                return None
            cleanup.pop_all()
        return placement

    async def _try_replica(
        self,
        run: Run,
        placement: dispatcher.Placement,
        current: response_reader.ResponseReader,
    ) -> sent_attempts.Attempt:
        """Send the request to another replica; raises `AttemptError` if it stays where it is."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._dispatcher.end, placement)
            judgement = run.suspicion.assess()
            try:
                attempt = await run.open_attempt(placement, judgement, cleanup, CONNECT_SECONDS)
                cleanup.push(attempt.cleanup)
                await self._await_takeover(run, attempt, current)
            except response_reader.AttemptError as error:
                if error.fault in attempts.NOT_RUN_FAULTS:
                    run.charge.refund()
                else:
                    run.charge.mark_spent()
                raise
            cleanup.pop_all()
        return attempt

    async def _await_takeover(
        self,
        run: Run,
        attempt: sent_attempts.Attempt,
        current: response_reader.ResponseReader,
    ) -> None:
        """Wait until a replica responds; raises `StalledError` if the request stays where it is.

        Without a response of either replica, it is taken from the current one only if it could
        return there, also if no retry is left by then.
        """
        wait = min(OVERLAP_SECONDS, run.ends_at - clocks.now())
        takeover = await self._heads.await_takeover(attempt, current, wait)
        can_return = takeover is sent_attempts.Takeover.UNDECIDED and self._reserve_return(run)
        log.info(
            f'slow {_name_subject(run)} offered',
            extra={
                'request': run.id,
                'upstream': run.upstream,
                'other': attempt.process.id,
                'result': takeover.value,
                'can_return': can_return,
                'seconds': round(clocks.now() - attempt.sent_at, 3),
                'time_left': round(run.ends_at - clocks.now(), 3),
            },
        )
        fault = attempts.Fault.NO_ANSWER
        if takeover is sent_attempts.Takeover.OVERTAKEN:
            raise response_reader.StalledError(fault, 'its replica was the first to respond')
        if takeover is sent_attempts.Takeover.UNDECIDED and not can_return:
            raise response_reader.StalledError(fault, 'not taken in time, and could not return')

    def _reserve_return(self, run: Run) -> bool:
        """Reserve a retry for a return to the current replica, if that one takes requests."""
        return run.upstream in self._dispatcher.list_accepting(run.call) and run.retries.reserve()


def log_not_moved(run: Run, placement: dispatcher.Placement | None, detail: str) -> None:
    """Log that a slow request stays where it is."""
    log.info(
        f'slow {_name_subject(run)} not moved',
        extra={
            'request': run.id,
            'upstream': run.upstream,
            'other': placement.replica.name if placement else '',
            'detail': detail,
        },
    )


def _name_subject(run: Run) -> str:
    return 'stream' if run.call.progress.delivered else 'request'
