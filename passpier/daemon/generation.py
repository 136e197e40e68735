"""Runs model requests: attempts, validation of chunks, stream resumption and continuation."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncGenerator
from typing import Any

import msgspec

from passpier import clocks, exceptions
from passpier.clients import engines, web
from passpier.core import (
    attempts,
    cache_view,
    crashes,
    fingerprints,
    pace,
    replica_processes,
    replicas,
    retries,
    streams,
)
from passpier.daemon import calls, dispatcher, metrics, suspects, upstreams

log = logging.getLogger(__name__)

FIRST_TOKEN_MIN = 3.0
"""Minimum timeout, in seconds, for the first token."""

FIRST_TOKEN_FACTOR = 5.0
"""Timeout for the first token as a multiple of its estimated time."""

RESUME_TIMEOUT = 1.0
"""Seconds that an engine has to resume an interrupted stream."""

MIN_CONTINUE_WAIT = 5.0
"""Minimum time, in seconds, that a stream that has begun may wait for its next engine."""

PRIORITY_STEP_MS = 250
"""Milliseconds of queueing that one level of priority is worth at the engine."""

BACKLOG_PENALTY_MS = 1000
"""Milliseconds by which a request is put back if its account has others queued."""

TOKEN_TIMEOUT = 2.0
"""Seconds without a token after which a stream counts as broken."""

_NOT_RUN_STATUSES = frozenset({412, 429, 503})


class Piece(msgspec.Struct, frozen=True):
    """Part of a response's text; the last one has the finish reason and the usage."""

    text: str
    finish_reason: str | None = None
    usage: engines.Usage | None = None


class _AttemptError(Exception):
    """A failed attempt; `disconnected` means that the engine may have crashed."""

    def __init__(self, fault: attempts.Fault, message: str, disconnected: bool = False) -> None:
        super().__init__(message)
        self.fault = fault
        self.disconnected = disconnected


def identify_process(replica: replicas.Replica) -> replica_processes.ReplicaProcess:
    """Return the engine process of a replica, by its last known incarnation."""
    return replica_processes.ReplicaProcess(f'{replica.name}/{replica.incarnation}')


def _encode(call: calls.Call) -> bytes:
    return call.prompt + msgspec.json.encode({k: call.body[k] for k in sorted(call.body)})


class Generator:
    """Runs model requests against engines."""

    def __init__(
        self,
        engine_client: engines.Engines,
        known_upstreams: upstreams.Upstreams,
        call_dispatcher: dispatcher.Dispatcher,
        counters: metrics.Metrics,
        rng: random.Random,
        crash_suspects: suspects.SuspectRequests,
    ) -> None:
        self.suspects = crash_suspects
        self.engines = engine_client
        self.upstreams = known_upstreams
        self.dispatcher = call_dispatcher
        self.counters = counters
        self.rng = rng
        self.budget = retries.RetryBudget()
        self.pace = pace.Pace()

    def run(self, call: calls.Call) -> AsyncGenerator[Piece, None]:
        """Yield the response's pieces in order; raises `RequestFailedError` on failure."""
        return _Run(self, call).run()


class _Run:
    """The state of one call over all its attempts."""

    def __init__(self, owner: Generator, call: calls.Call) -> None:
        self._owner = owner
        self._call = call
        self._text: list[str] = []
        self._excluded: list[str] = []
        self._placement: dispatcher.Placement | None = None
        self._tracker = streams.Tracker('')
        self._resuming = False
        self._first_at = 0.0
        self._last_at = 0.0
        self._base_tokens = 0
        self._fingerprint = fingerprints.compute_fingerprint(
            call.account.name, call.method, call.service.name, call.path, _encode(call)
        )
        self._process = replica_processes.ReplicaProcess('')
        """The engine process that received the current attempt."""

        self._is_registered = False
        """Whether the current attempt is registered with `SuspectRequests` as running."""

    async def run(self) -> AsyncGenerator[Piece, None]:
        """Yield pieces until the response is complete."""
        try:
            while True:
                try:
                    async for piece in self._attempt():
                        yield piece
                    self._owner.budget.note_success()
                    return
                except _AttemptError as error:
                    await self._recover(error)
        finally:
            await self._end_placement()

    async def _attempt(self) -> AsyncGenerator[Piece, None]:
        exchange = await self._open()
        assert self._placement is not None
        try:
            await self._check_head(exchange)
            async for piece in self._read(exchange):
                yield piece
        except web.ExchangeError as error:
            raise _AttemptError(self._classify(error), str(error), error.sent) from error
        except asyncio.CancelledError:
            self._call.progress.may_have_run = True
            raise
        finally:
            # Only the end mark follows a complete response, so its connection can be reused.
            if not self._tracker.ended:
                exchange.abort()

    async def _open(self) -> web.Exchange:
        call = self._call
        if self._resuming:
            assert self._placement is not None
            return self._owner.engines.resume(
                self._placement.replica.address,
                self._placement.attempt,
                self._tracker.next_sequence,
                call.chat,
            )
        attempt = f'{call.id}-{call.progress.attempts}'
        assessment = self._owner.suspects.assess(self._fingerprint)
        self._check_suspicion(assessment)
        if assessment.is_suspect:
            call.policy = 'apart'
        if not self._text:
            self._choose_version()
        if assessment.is_suspect:
            name = fingerprints.render_fingerprint(self._fingerprint)
            call.job = msgspec.structs.replace(call.job, spread_key=name)
        placed = await self._owner.dispatcher.place(call, attempt, self._excluded)
        if isinstance(placed, exceptions.Failure):
            raise calls.RequestFailedError(placed)
        placement = self._placement = placed
        await self._register_send()
        self._process = identify_process(placement.replica)
        self._tracker = streams.Tracker(attempt)
        self._base_tokens = len(self._text)
        call.progress.begin()
        body = msgspec.json.encode(self._build_body())
        # Only repeatable attempts may use a kept connection, where the client may send them twice.
        return self._owner.engines.generate(
            placement.replica.address,
            call.path,
            body,
            attempt,
            call.weight_version,
            call.progress.repeatable,
        )

    async def _register_send(self) -> None:
        """Register the attempt as running; raises `RequestFailedError` if it may not be sent."""
        crash_suspects = self._owner.suspects
        assessment = await crash_suspects.assess_before_send(self._fingerprint)
        self._check_suspicion(assessment)
        crash_suspects.begin(self._fingerprint, assessment, self._get_first_timeout())
        self._is_registered = True

    def _check_suspicion(self, assessment: crashes.Assessment) -> None:
        """Refuse a request suspected of crashing engines; raises `RequestFailedError`."""
        if assessment.refused_for is not None:
            raise self._call.fail(
                exceptions.Code.SUSPECTED, assessment.reason, assessment.retry_after
            )

    def _choose_version(self) -> None:
        """Choose the weight version to request: the configured one, or one that is still served."""
        call = self._call
        assert call.model is not None
        wanted = call.model.weight_version
        version = self._owner.upstreams.choose_version(call.service.pool, wanted)
        if version != call.weight_version:
            model = msgspec.structs.replace(call.model, weight_version=version)
            call.weight_version = version
            call.job = calls.build_job(call.account, call.service, model, call.prompt)

    def _build_body(self) -> dict[str, Any]:
        call = self._call
        body = dict(call.body)
        body.update(
            model=call.service.adapter or call.service.model,
            stream=True,
            cache_salt=call.account.name,
            priority=self._compute_priority(),
            max_tokens=call.max_tokens - len(self._text),
        )
        if self._text:
            text = ''.join(self._text)
            if call.chat:
                body['messages'] = [*body['messages'], {'role': 'assistant', 'content': text}]
                body['continue_final_message'] = True
                body['add_generation_prompt'] = False
            else:
                body['prompt'] = body['prompt'] + text
        return body

    def _compute_priority(self) -> int:
        """Return the priority number for the engine, where lower goes first.

        It grows with the time of sending, so that only requests sent shortly after a less urgent
        one can overtake it. Otherwise one busy service could starve others at the engine.
        """
        number = (
            int(clocks.read_time_of_day() * 1000) + self._call.service.priority * PRIORITY_STEP_MS
        )
        if self._owner.dispatcher.has_waiting(self._call):
            number += BACKLOG_PENALTY_MS
        return number

    async def _check_head(self, exchange: web.Exchange) -> None:
        assert self._placement is not None
        replica = self._placement.replica
        try:
            timeout = RESUME_TIMEOUT if self._resuming else self._get_first_timeout()
            head = await asyncio.wait_for(exchange.read_head(), timeout)
        except TimeoutError as error:
            fault = attempts.Fault.FAILED if self._resuming else attempts.Fault.NO_ANSWER
            raise _AttemptError(fault, 'no answer in time') from error
        identity = engines.parse_identity(head.headers)
        before = replica.incarnation
        self._owner.upstreams.update_identity(replica, identity)
        self._process = identify_process(replica)
        if head.status != 200:
            refused = (
                head.status in _NOT_RUN_STATUSES and head.headers.get('X-Outcome') == 'not_run'
            )
            fault = attempts.Fault.REFUSED if refused else attempts.Fault.FAILED
            raise _AttemptError(fault, f'status {head.status}')
        wanted = self._call.weight_version
        if wanted and identity.weight_version not in ('', wanted):
            message = f'weights {identity.weight_version!r} instead of {wanted!r}'
            raise _AttemptError(attempts.Fault.WRONG_VERSION, message)
        if self._resuming and before and identity.incarnation not in ('', before):
            raise _AttemptError(attempts.Fault.FAILED, 'the engine was restarted')
        self._note_dispatched(replica, identity)

    def _note_dispatched(self, replica: replicas.Replica, identity: engines.Identity) -> None:
        # Once the engine answers it is computing the prompt, which then is in its cache.
        key = f'{identity.incarnation}/{identity.weight_version}'
        now = clocks.now()
        chain = self._call.job.chain
        self._owner.upstreams.cache.add(replica.name, key, chain, cache_view.Evidence.DISPATCH, now)

    async def _read(self, exchange: web.Exchange) -> AsyncGenerator[Piece, None]:
        events = engines.read_events(exchange)
        while not self._tracker.ended:
            timeout = TOKEN_TIMEOUT if self._tracker.next_sequence else self._get_first_timeout()
            try:
                data = await asyncio.wait_for(anext(events), timeout)
            except StopAsyncIteration:
                text = 'the stream ended early'
                raise _AttemptError(attempts.Fault.INTERRUPTED, text, disconnected=True) from None
            except TimeoutError as error:
                raise _AttemptError(attempts.Fault.INTERRUPTED, 'the stream stalled') from error
            chunk = self._decode(data)
            if chunk is not None:
                yield self._accept(chunk)

    def _decode(self, data: bytes) -> engines.Chunk | None:
        if data == engines.END_MARK:
            raise _AttemptError(attempts.Fault.INTERRUPTED, 'an end mark without an end')
        try:
            chunk = engines.decode_chunk(data)
        except exceptions.DecodingError as error:
            raise _AttemptError(attempts.Fault.INTERRUPTED, f'bad chunk: {error}') from error
        sequence = chunk.sequence
        if sequence == engines.NO_SEQUENCE:
            sequence = self._tracker.next_sequence
        verdict = self._tracker.check(chunk.id, sequence, chunk.finish_reason is not None)
        if verdict is streams.Verdict.DROP:
            self._owner.counters.dropped_chunks.inc({})
            return None
        if verdict is streams.Verdict.GAP:
            raise _AttemptError(attempts.Fault.INTERRUPTED, 'a chunk is missing')
        return chunk

    def _accept(self, chunk: engines.Chunk) -> Piece:
        assert self._placement is not None
        now = clocks.now()
        call = self._call
        labels = {'service': call.service.name}
        if not self._last_at:
            self._first_at = now
            self._owner.counters.first_token.observe(labels, now - call.arrived_at)
        else:
            self._owner.counters.token_gap.observe(labels, now - self._last_at)
            self._owner.pace.note(call.service.pool, now - self._last_at)
        self._last_at = now
        replicas.note_first_token(self._placement.replica, self._placement.attempt, now)
        call.progress.may_have_run = True
        if chunk.finish_reason is None:
            self._text.append(chunk.text)
            call.progress.delivered += 1
            return Piece(chunk.text)
        return self._finish(chunk)

    def _finish(self, chunk: engines.Chunk) -> Piece:
        call = self._call
        usage = chunk.usage or engines.Usage()
        cached = usage.prompt_tokens_details.cached_tokens if usage.prompt_tokens_details else 0
        cached = min(cached, usage.prompt_tokens)
        if not self._base_tokens:
            self._learn_usage(usage.prompt_tokens, cached)
        self._owner.counters.prompt_tokens.add({'kind': 'cached'}, cached)
        self._owner.counters.prompt_tokens.add({'kind': 'computed'}, usage.prompt_tokens - cached)
        if self._base_tokens:
            usage.prompt_tokens = max(0, usage.prompt_tokens - self._base_tokens)
            usage.completion_tokens += self._base_tokens
        if usage.completion_tokens != len(self._text):
            raise _AttemptError(attempts.Fault.FAILED, 'the count of the answer is wrong')
        call.progress.completed = True
        self._owner.suspects.note_success(self._fingerprint)
        self._log_response(usage, cached)
        return Piece(chunk.text, chunk.finish_reason, usage)

    def _log_response(self, usage: engines.Usage, cached: int) -> None:
        assert self._placement is not None
        log.info(
            'answered',
            extra={
                'request': self._call.id,
                'attempt': self._placement.attempt,
                'upstream': self._placement.replica.name,
                'prompt_tokens': usage.prompt_tokens,
                'cached_tokens': cached,
                'completion_tokens': usage.completion_tokens,
                'first_token': round(self._first_at - self._call.arrived_at, 4),
            },
        )

    def _learn_usage(self, prompt_tokens: int, cached_tokens: int) -> None:
        assert self._placement is not None
        replica = self._placement.replica
        replicas.note_usage(replica, prompt_tokens, cached_tokens)
        self._owner.upstreams.ejector.note_success(replica.name)
        job = self._call.job
        matched = self._placement.choice.winner.matched_tokens
        self._owner.upstreams.cache.correct(
            replica.name,
            f'{replica.incarnation}/{replica.weight_version}',
            job.chain,
            matched // job.block_tokens,
            cached_tokens // job.block_tokens,
            clocks.now(),
        )

    def _classify(self, error: web.ExchangeError) -> attempts.Fault:
        if not error.sent:
            return attempts.Fault.NOT_CONNECTED
        if self._tracker.next_sequence or self._resuming:
            return attempts.Fault.INTERRUPTED
        return attempts.Fault.NO_ANSWER

    def _get_first_timeout(self) -> float:
        assert self._placement is not None
        estimate = self._placement.choice.winner.total
        return max(FIRST_TOKEN_MIN, FIRST_TOKEN_FACTOR * estimate)

    async def _recover(self, error: _AttemptError) -> None:
        call = self._call
        fault = error.fault
        placement = self._placement
        if error.disconnected and placement is not None and not placement.replica.leaving:
            self._owner.suspects.note_disconnect(self._fingerprint, self._process)
        if self._resuming and fault is not attempts.Fault.INTERRUPTED:
            # The stream cannot be resumed; what is known of the original attempt still holds.
            fault = attempts.Fault.NO_ANSWER
            call.progress.resumes = attempts.MAX_RESUMES
        now = clocks.now()
        step = call.progress.decide(fault, True)
        # A stream that has begun is continued whatever the budget: its caller has half a response.
        if step is attempts.Step.RETRY and not self._owner.budget.spend(now):
            step = attempts.Step.FAIL
        self._log_fault(error, step)
        self._owner.counters.retries.inc({'step': step.value})
        self._resuming = step is attempts.Step.RESUME
        if step is attempts.Step.RESUME:
            return
        if self._placement is not None:
            self._owner.upstreams.note_failure(self._placement.replica)
            self._excluded.append(self._placement.replica.name)
        await self._end_placement()
        if step is attempts.Step.CONTINUE:
            call.placement_deadline = max(call.deadline, now + MIN_CONTINUE_WAIT)
        if step is attempts.Step.FAIL:
            code = exceptions.Code.STREAM_BROKEN if self._text else exceptions.Code.UPSTREAM_FAILED
            raise call.fail(code, str(error), 1.0)
        await asyncio.sleep(retries.compute_backoff(call.progress.attempts, self._owner.rng))

    def _log_fault(self, error: _AttemptError, step: attempts.Step) -> None:
        log.warning(
            'attempt failed',
            extra={
                'request': self._call.id,
                'attempt': self._placement.attempt if self._placement else '',
                'upstream': self._placement.replica.name if self._placement else '',
                'fault': error.fault.value,
                'detail': str(error),
                'step': step.value,
                'delivered': len(self._text),
            },
        )

    async def _end_placement(self) -> None:
        placement, self._placement = self._placement, None
        if placement is None:
            return
        if self._is_registered:
            self._is_registered = False
            self._owner.suspects.end(self._fingerprint)
        self._owner.dispatcher.end(placement)
        if not self._call.progress.completed:
            cancel = self._owner.engines.cancel(placement.replica.address, placement.attempt)
            asyncio.ensure_future(cancel)
