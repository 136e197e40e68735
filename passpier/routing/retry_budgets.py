"""Keeps the retry budgets of services, and the retries of each request."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import logging
from collections.abc import AsyncIterator, Mapping

from passpier import clocks
from passpier.core import attempts, replica_processes, retries
from passpier.daemon import metrics
from passpier.routing import dialect, response_reader

log = logging.getLogger(__name__)

UNANSWERED_SECONDS = 60.0
"""Seconds after which an attempt that was given up is taken to be lost, with the VM of its replica,
unless that replica has responded before."""


LATE_SECONDS = 0.5
"""Seconds after which a repeated request is read too late: its deadline counts from the reading."""


class RetryWithdrawnError(response_reader.AttemptError):
    """The retry held for an attempt was withdrawn before the attempt was sent."""

    def __init__(self) -> None:
        text = 'the retry budget no longer covers the attempt'
        super().__init__(attempts.Fault.NOT_CONNECTED, text)


class RetryBudgets:
    """The retry budgets of all services."""

    def __init__(self, options: dialect.Options, counters: metrics.Metrics) -> None:
        self._options = options
        self._counters = counters
        self.sharers = 1
        """Processes assumed to share the budgets."""

        self.started_at = clocks.now()
        """Since when retries are earned."""

        self._budgets: dict[str, retries.SharedBudget] = collections.defaultdict(self._build)
        self._given_up: dict[str, list[PendingAttempt]] = {}
        """By replica, the attempts that were given up and that it may still read, oldest first."""

    def reload(self, options: dialect.Options) -> None:
        """Apply changed settings."""
        self._options = options
        for budget in self._budgets.values():
            budget.configure(options.retry_ratio, options.retry_slack, options.retry_window)

    def get(self, service: str) -> retries.SharedBudget:
        """Return the budget of a service."""
        return self._budgets[service]

    def share(self, processes: int, is_listed: bool) -> None:
        """Share the budgets with that many processes, and publish what is left of them.

        `is_listed` tells whether the registry lists this process, and so would list the others.
        """
        now = clocks.now()
        if processes != self.sharers:
            fields = {'sharers': processes, 'before': self.sharers, 'listed': is_listed}
            log.info('retry budget shared', extra=fields)
        self.sharers = processes
        self._counters.retry_sharers.set({}, processes)
        self._forget_lost(now)
        for service, budget in self._budgets.items():
            labels = {'service': service}
            left = round(budget.compute_left(now, processes), 2)
            self._counters.retries_left.set(labels, left)
            self._counters.retries_held.set(labels, budget.held)
            self._counters.retries_unanswered.set(labels, budget.unanswered)
            self._counters.retries_limit.set(labels, round(budget.compute_limit(now, processes), 2))

    def describe(self, service: str) -> dict[str, float]:
        """Return the log fields for the state of a service's budget."""
        budget = self._budgets[service]
        now = clocks.now()
        return {
            'retries_left': round(budget.compute_left(now, self.sharers), 2),
            'retries_held': budget.held,
            'retries_unanswered': budget.unanswered,
            'retries_limit': round(budget.compute_limit(now, self.sharers), 2),
            'recent_requests': budget.requests,
            'sharers': self.sharers,
        }

    def begin(self, request: str, service: str) -> RunRetries:
        """Return the retries of a request, which has none yet."""
        return RunRetries(self, self._counters, request, service)

    def note_given_up(self, pending: PendingAttempt) -> None:
        """Remember an attempt that was given up and that its replica may still read."""
        self._given_up.setdefault(pending.process.id, []).append(pending)

    def note_contact(self, process: replica_processes.ReplicaProcess) -> None:
        """Settle what was given up at a replica that responds: its process runs, and has read it.

        The same if another process responds under its id, as the former one has ended.
        """
        given_up = self._given_up.pop(process.id, [])
        now = clocks.now()
        late = [pending for pending in given_up if pending.is_late(now)]
        for pending in late:
            self._counters.attempts_late.inc({'service': pending.service})
        for pending in given_up:
            pending.settle()
        if any(pending.is_retried for pending in given_up):
            oldest = now - given_up[0].sent_at
            fields = {
                'upstream': process.id,
                'count': len(given_up),
                'late': len(late),
                'oldest': round(oldest, 3),
            }
            log.info('unanswered attempts settled', extra=fields)

    def _forget_lost(self, now: float) -> None:
        """Settle attempts that were given up long ago, and forget those that were not repeated."""
        for name, given_up in list(self._given_up.items()):
            for pending in given_up:
                if now - pending.sent_at >= UNANSWERED_SECONDS:
                    pending.settle()
            self._given_up[name] = [pending for pending in given_up if pending.may_count]
            if not self._given_up[name]:
                del self._given_up[name]

    def _build(self) -> retries.SharedBudget:
        options = self._options
        return retries.SharedBudget(
            options.retry_ratio, options.retry_slack, options.retry_window, self.started_at
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A retry that a request obtained, and the state of the budget then."""

    at: float
    limit: float
    sharers: int

    def describe(self, now: float) -> dict[str, object]:
        """Return the log fields for a retry that is still held."""
        return {
            'held_for': round(now - self.at, 3),
            'limit_when_held': round(self.limit, 2),
            'sharers_when_held': self.sharers,
        }


class PendingAttempt:
    """An attempt that was sent and that its replica may have yet to read."""

    def __init__(
        self,
        run: RunRetries,
        process: replica_processes.ReplicaProcess,
        sending: Mapping[str, object],
    ) -> None:
        self._run = run
        self.process = process
        self.sending = sending
        """Log fields that describe how it was sent."""

        self.sent_at = clocks.now()
        self.is_settled = False

    @property
    def service(self) -> str:
        """The service that it was sent to."""
        return self._run.service

    def is_late(self, now: float) -> bool:
        """Whether its request was repeated and its replica may read it only now."""
        return self.is_retried and not self.is_settled and now - self.sent_at > LATE_SECONDS

    @property
    def is_retried(self) -> bool:
        """Whether the request was sent more than once, so that it counts when it arrives."""
        return self._run.is_repeated

    @property
    def may_count(self) -> bool:
        """Whether it is not settled, and the request was sent more than once or may yet be."""
        return not self.is_settled and (self.is_retried or not self._run.is_closed)

    def settle(self) -> None:
        """Note that the attempt has arrived, or that it never will."""
        if not self.is_settled:
            self.is_settled = True
            self._run.note_settled()


class RunRetries:
    """The retries of one request."""

    def __init__(
        self, budgets: RetryBudgets, counters: metrics.Metrics, request: str, service: str
    ) -> None:
        self._budgets = budgets
        self._counters = counters
        self._request = request
        self.service = service
        self._budget = budgets.get(service)
        self._retries = retries.RequestRetries(self._budget)
        self._grant: _Grant | None = None
        """The retry for the next attempt, if that attempt needs one."""

        self.is_closed = False
        """Whether there will be no further attempt."""

        self._wait: asyncio.Timeout | None = None
        """The wait that ends when that retry is withdrawn, if there is one."""

        self._retries.on_withdrawn = self._note_withdrawn

    @property
    def is_repeated(self) -> bool:
        """Whether the request was sent more than once."""
        return self._retries.sent > 1

    def note_request(self, arrived_at: float) -> None:
        """Count the request towards what the service earns."""
        self._budget.note_request(arrived_at)

    def has_any(self) -> bool:
        """Return whether the request has a retry or can get one."""
        return self._retries.has_any(clocks.now(), self._budgets.sharers)

    def hold(self) -> bool:
        """Hold a retry for the next attempt; return false if none is left."""
        now = clocks.now()
        if not self._retries.hold(now, self._budgets.sharers):
            return False
        if self._grant is None:
            sharers = self._budgets.sharers
            self._grant = _Grant(now, self._budget.compute_limit(now, sharers), sharers)
        return True

    def may_send(self) -> bool:
        """Return whether the next attempt may be sent; checked just before its first byte."""
        return not self._retries.needs_retry or self.hold()

    @contextlib.asynccontextmanager
    async def waiting(self) -> AsyncIterator[None]:
        """Interrupt the body once the held retry is withdrawn; raises `RetryWithdrawnError`."""
        if not self.may_send():
            raise RetryWithdrawnError
        try:
            async with asyncio.timeout(None) as self._wait:
                yield
        except TimeoutError as error:
            raise RetryWithdrawnError from error
        finally:
            self._wait = None

    def reserve(self) -> bool:
        """Reserve a retry for a later attempt; return false if none is left."""
        return self._retries.reserve(clocks.now(), self._budgets.sharers)

    def note_sent(
        self, process: replica_processes.ReplicaProcess, sending: Mapping[str, object]
    ) -> PendingAttempt:
        """Count an attempt that was sent; `sending` are log fields that describe it."""
        is_paid = self._retries.note_sent()
        if self.is_repeated:
            self._log_sent(process, sending, is_paid)
        return PendingAttempt(self, process, sending)

    def note_settled(self) -> None:
        """Count one of the attempts as settled: it has arrived, or it never will."""
        self._retries.note_settled()

    def _log_sent(
        self,
        process: replica_processes.ReplicaProcess,
        sending: Mapping[str, object],
        is_paid: bool,
    ) -> None:
        self._counters.retries_sent.inc({'service': self.service})
        grant, self._grant = self._grant, None
        fields = {
            'request': self._request,
            'service': self.service,
            'upstream': process.id,
            **sending,
            'held_for': None,
            **({} if grant is None else grant.describe(clocks.now())),
            **self.describe(),
        }
        if is_paid:
            log.info('retry sent', extra=fields)
        else:
            log.error('retry sent without a budget', extra=fields)

    def _note_withdrawn(self) -> None:
        """Record that the retry for the next attempt was withdrawn, and end the wait with it."""
        grant, self._grant = self._grant, None
        self._counters.retries_withdrawn.inc({'service': self.service})
        fields = {
            'request': self._request,
            'service': self.service,
            **({} if grant is None else grant.describe(clocks.now())),
            **self.describe(),
        }
        log.info('retry withdrawn', extra=fields)
        if self._wait is not None:
            self._wait.reschedule(0.0)

    def describe(self) -> dict[str, float]:
        """Return the log fields for the state of the service's budget."""
        return self._budgets.describe(self.service)

    def release(self) -> None:
        """Return the reserved retry, if there is one."""
        self._retries.release()

    def release_held(self) -> None:
        """Return the retry held for the next attempt, if there is one."""
        self._retries.release_held()
        self._grant = None

    def close(self) -> None:
        """Return all retries that were not used; there is no further attempt."""
        self.is_closed = True
        self._retries.close()
