"""Keeps the retry budgets of services, and the retries of each request."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import logging
from collections.abc import AsyncIterator, Mapping

from passpier import clocks
from passpier.core import attempts, retries
from passpier.daemon import metrics
from passpier.routing import dialect, response_reader

log = logging.getLogger(__name__)


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
        for service, budget in self._budgets.items():
            labels = {'service': service}
            left = round(budget.compute_left(now, processes), 2)
            self._counters.retries_left.set(labels, left)
            self._counters.retries_held.set(labels, budget.held)
            self._counters.retries_limit.set(labels, round(budget.compute_limit(now, processes), 2))

    def describe(self, service: str) -> dict[str, float]:
        """Return the log fields for the state of a service's budget."""
        budget = self._budgets[service]
        now = clocks.now()
        return {
            'retries_left': round(budget.compute_left(now, self.sharers), 2),
            'retries_held': budget.held,
            'retries_limit': round(budget.compute_limit(now, self.sharers), 2),
            'recent_requests': budget.requests,
            'sharers': self.sharers,
        }

    def begin(self, request: str, service: str) -> RunRetries:
        """Return the retries of a request, which has none yet."""
        return RunRetries(self, self._counters, request, service)

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


class RunRetries:
    """The retries of one request."""

    def __init__(
        self, budgets: RetryBudgets, counters: metrics.Metrics, request: str, service: str
    ) -> None:
        self._budgets = budgets
        self._counters = counters
        self._request = request
        self._service = service
        self._budget = budgets.get(service)
        self._retries = retries.RequestRetries(self._budget)
        self._grant: _Grant | None = None
        """The retry for the next attempt, if that attempt needs one."""

        self._wait: asyncio.Timeout | None = None
        """The wait that ends when that retry is withdrawn, if there is one."""

        self._retries.on_withdrawn = self._note_withdrawn

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

    def note_sent(self, is_retry: bool, sending: Mapping[str, object]) -> None:
        """Count an attempt that was sent; `sending` are log fields that describe it."""
        is_paid = self._retries.note_sent()
        if not is_retry:
            return
        self._counters.retries_sent.inc({'service': self._service})
        grant, self._grant = self._grant, None
        fields = {
            'request': self._request,
            'service': self._service,
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
        self._counters.retries_withdrawn.inc({'service': self._service})
        fields = {
            'request': self._request,
            'service': self._service,
            **({} if grant is None else grant.describe(clocks.now())),
            **self.describe(),
        }
        log.info('retry withdrawn', extra=fields)
        if self._wait is not None:
            self._wait.reschedule(0.0)

    def describe(self) -> dict[str, float]:
        """Return the log fields for the state of the service's budget."""
        return self._budgets.describe(self._service)

    def release(self) -> None:
        """Return the reserved retry, if there is one."""
        self._retries.release()

    def release_held(self) -> None:
        """Return the retry held for the next attempt, if there is one."""
        self._retries.release_held()
        self._grant = None

    def close(self) -> None:
        """Return all retries that were not used."""
        self._retries.close()
