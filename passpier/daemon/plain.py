"""Runs calls of plain HTTP services."""

from __future__ import annotations

import asyncio
import logging
import random

from passpier import clocks, exceptions
from passpier.clients import web
from passpier.core import attempts, replicas, retries
from passpier.daemon import calls, dispatcher, metrics, responses, upstreams

log = logging.getLogger(__name__)

CALL_TIMEOUT = 10.0
"""Timeout of one attempt, in seconds, for services without a deadline."""


def get_timeout(call: calls.Call) -> float:
    """Return the timeout of one attempt, in seconds."""
    deadline = call.service.deadline_ms
    return deadline / 1000 if deadline else CALL_TIMEOUT


class PlainCaller:
    """Calls plain services over HTTP."""

    def __init__(
        self,
        client: web.Client,
        known_upstreams: upstreams.Upstreams,
        call_dispatcher: dispatcher.Dispatcher,
        budget: retries.RetryBudget,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._upstreams = known_upstreams
        self._dispatcher = call_dispatcher
        self._budget = budget
        self._counters = counters
        self._rng = rng

    async def run(self, call: calls.Call) -> responses.Response:
        """Return the service's response; raises `RequestFailedError`."""
        excluded: list[str] = []
        while True:
            attempt = f'{call.id}-{call.progress.attempts}'
            placement = await self._dispatcher.place(call, attempt, excluded)
            if isinstance(placement, exceptions.Failure):
                raise calls.RequestFailedError(placement)
            try:
                response = await self._try(call, placement)
            finally:
                self._dispatcher.end(placement)
            if isinstance(response, responses.Response):
                self._budget.note_success()
                self._upstreams.ejector.note_success(placement.replica.name)
                return response
            excluded.append(placement.replica.name)
            await self._recover(call, placement, response)

    async def _try(
        self, call: calls.Call, placement: dispatcher.Placement
    ) -> responses.Response | attempts.Fault:
        call.progress.begin()
        headers = {'X-Request-Id': placement.attempt, 'Content-Type': call.content_type}
        if call.key:
            headers['Idempotency-Key'] = call.key
        url = f'http://{placement.replica.address}{call.path}'
        try:
            body = call.raw if call.method != 'GET' else None
            response = await self._client.fetch(
                call.method, url, body, headers, get_timeout(call), reuse=call.progress.repeatable
            )
        except asyncio.CancelledError:
            call.progress.may_have_run = True
            raise
        except web.ExchangeError as error:
            return attempts.Fault.NO_ANSWER if error.sent else attempts.Fault.NOT_CONNECTED
        replicas.note_first_token(placement.replica, placement.attempt, clocks.now())
        if response.status == 503 and response.headers.get('X-Outcome') == 'not_run':
            return attempts.Fault.REFUSED
        if response.status >= 500:
            return attempts.Fault.FAILED
        call.progress.completed = True
        content_type = response.headers.get('Content-Type', 'application/octet-stream')
        return responses.Response(response.status, content_type, response.body)

    async def _recover(
        self, call: calls.Call, placement: dispatcher.Placement, fault: attempts.Fault
    ) -> None:
        self._upstreams.note_failure(placement.replica)
        step = call.progress.decide(fault, True)
        if step is not attempts.Step.FAIL and not self._budget.spend(clocks.now()):
            step = attempts.Step.FAIL
        self._counters.retries.inc({'step': step.value})
        log.warning(
            'attempt failed',
            extra={
                'request': call.id,
                'attempt': placement.attempt,
                'upstream': placement.replica.name,
                'fault': fault.value,
                'step': step.value,
            },
        )
        if step is attempts.Step.FAIL:
            raise call.fail(exceptions.Code.UPSTREAM_FAILED, fault.value, 1.0)
        await asyncio.sleep(retries.compute_backoff(call.progress.attempts, self._rng))
