"""Forwards requests to upstreams and responses to clients, with retries and moves."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable

import msgspec

from passpier import clocks, exceptions
from passpier.clients import connections, exchanges
from passpier.core import (
    attempts,
    crashes,
    prompts,
    replica_processes,
    replicas,
    routes,
    sse,
    stream_gaps,
)
from passpier.daemon import calls, dispatcher, metrics, suspects
from passpier.routing import (
    delivering,
    dialect,
    key_checks,
    moves,
    origin_sharing,
    paths,
    placement_sharing,
    probing,
    rate_limiting,
    registry_mirror,
    requests,
    response_reader,
    responses,
    retry_budgets,
    sending,
    sent_attempts,
    stream_binding,
    suspicions,
)
from passpier.utils import pacing

log = logging.getLogger(__name__)

CONNECT_TRIES = 3
"""Connections tried for one attempt; nothing reaches an upstream before one is established."""

ATTEMPT_SHARE = 0.4
"""Fraction of the time left after which a request without a response may be moved to another
replica."""

EVENT_GAP_MIN = 1.0
"""Minimum gap between events, in seconds, after which a stream may be moved to another replica."""

EVENT_GAP_FACTOR = 2.0
"""The same, as a multiple of the longest gap that the route allows."""

CONTINUE_INTERVAL = 0.1
"""Seconds between attempts to continue a begun stream for which no replica or retry is left."""

RETRY_AFTER = 0.25
"""Seconds after which a refused client should retry, where nothing better is known."""

RETRY_AFTER_FAILURE = 0.1
"""The same, where another replica may succeed at once."""

RETRY_AFTER_STOPPING = 0.02
"""The same, where this process is stopping and the client will reach another one."""

SEND_SECONDS = 0.002
"""Seconds from which on a client is slow to take an event: the next one may have arrived unnoticed
meanwhile."""


class Forwarder:
    """Forwards admitted requests."""

    def __init__(
        self,
        registry_state: registry_mirror.RegistryState,
        request_dispatcher: dispatcher.Dispatcher,
        pool: connections.Pool,
        wire: dialect.Dialect,
        counters: metrics.Metrics,
        options: dialect.Options,
        prober: probing.Prober,
        replica_paths: paths.Paths,
        shared: placement_sharing.PlacementSharing,
        suspect_tracker: suspects.SuspectRequests,
        limiter: rate_limiting.RateLimiter,
        origins: origin_sharing.OriginSharing,
    ) -> None:
        self.limiter = limiter
        self.origins = origins
        self.prober = prober
        self.suspects = suspect_tracker
        self.sharing = shared
        self.heads = sent_attempts.HeadReader(wire, registry_state.pools, prober)
        self.mover = moves.Mover(request_dispatcher, registry_state.pools, self.heads)
        self.registry_state = registry_state
        self.pools = registry_state.pools
        self.dispatcher = request_dispatcher
        self.wire = wire
        self.counters = counters
        self.options = options
        self.on_stream_ended: Callable[[calls.Call, bool], None] = lambda call, paused: None
        """Called with each stream of several events, and whether it paused for too long."""
        self.on_event_gap: Callable[[replicas.Replica, float, float], None] = (
            lambda replica, began_at, now: None
        )
        """Called with the replica and the arrival times of two successive events of a stream,
        unless the client was slow to take the first of them."""

        self.budgets = retry_budgets.RetryBudgets(options, counters)
        prober.on_contact = self.budgets.note_contact
        self.sender = sending.Sender(pool, replica_paths, prober)
        self.pacer = pool.pacer

    def reload(self, options: dialect.Options) -> None:
        """Apply changed settings."""
        self.options = options
        self.budgets.reload(options)

    def begin(self, admitted: requests.Admitted, client: responses.Client) -> RequestRun:
        """Return the execution of an admitted request, yet to be started."""
        return RequestRun(self, admitted, client)


class RequestRun:
    """The execution of one request."""

    def __init__(
        self, owner: Forwarder, admitted: requests.Admitted, client: responses.Client
    ) -> None:
        self._owner = owner
        self._admitted = admitted
        self._client = client
        route = admitted.route
        table = owner.registry_state.table
        assert table is not None
        self._service = table.choose_service(route, admitted.stream)
        self._position = sse.Position(admitted.client_request.last_event)
        account = admitted.account.name if admitted.account is not None else ''
        weight = table.weights.get(account, 1)
        self._cache_owner = table.get_cache_owner(admitted.account)
        """The owner under whom the call's job names the parts of the prompt."""

        self.call = requests.build_call(admitted, self._service, self._cache_owner, weight)
        self._binding = stream_binding.StreamBinding(
            admitted, self.call, owner.pools, owner.prober, owner.origins
        )
        self._gaps = stream_gaps.StreamGaps()
        self.excluded: list[str] = []
        self._reached: set[str] = set()
        """The replicas that the request has been sent to."""

        self._connections: list[exchanges.Connection] = []
        """The connections that it has been sent on. A replica may repeat its answer to an attempt
        on the same connection, where it would pass for the answer to a later attempt."""

        self._failed_connects = 0
        self.sent = False
        """Whether the current attempt has reached an upstream."""

        self._moved: sent_attempts.Attempt | None = None
        """The next attempt, if another replica is to take over from the current one."""

        client_request = admitted.client_request
        self.retries = owner.budgets.begin(client_request.id, self._service)
        self.suspicion = suspicions.RunSuspicion(
            owner.suspects, admitted.fingerprint, admitted.shared_parts
        )
        self.key_check = key_checks.KeyCheck(
            admitted, owner.registry_state, lambda: owner.options.keys_expire
        )
        self.charge = rate_limiting.Charge(
            owner.limiter, client_request.id, admitted.account, client_request.tokens
        )
        self._failure: response_reader.AttemptError | None = None
        """Why the last attempt that was made has failed."""

        self._outcome = 'client_gone'
        self._stopping = False
        self._delivery = delivering.Delivery(client, owner.wire, admitted.ends_at)
        self._last_replica = replicas.Replica('', '', '', '')
        """The replica of the current or last attempt."""

    @property
    def id(self) -> str:
        """The request's id."""
        return self._admitted.client_request.id

    @property
    def _last_process(self) -> replica_processes.ReplicaProcess:
        """The process of the replica of the current or last attempt."""
        return self._last_replica.process

    @property
    def upstream(self) -> str:
        """The id of the replica of the current or last attempt."""
        return self._last_process.id

    @property
    def ends_at(self) -> float:
        """The request's deadline."""
        return self._admitted.ends_at

    @property
    def final(self) -> bool:
        """Whether the end of the response is being sent to the client."""
        return self._delivery.final

    @property
    def must_complete(self) -> bool:
        """Whether an upstream is running a request that may neither be repeated nor aborted."""
        return self.sent and self._admitted.route.kind is routes.Kind.ONCE

    def mark_stopping(self) -> None:
        """Note that this process stops, so that a cancellation doesn't mean a lost client."""
        self._stopping = True

    async def run(self) -> None:
        """Answer the request in any case; raises `ClientGoneError`."""
        started = clocks.now()
        try:
            await self._answer()
        except delivering.SlowClientError:
            self._outcome = 'not_read'
            self._client.abort()
        except asyncio.CancelledError:
            if not self._stopping:
                raise
            await self._respond_directly(
                503, 'stopping', 'this process stops', RETRY_AFTER_STOPPING
            )
        finally:
            if self._moved is not None:
                self._moved.cleanup.close()
            if not self.sent:
                self.charge.refund()
            self.retries.close()
            self._log_end(clocks.now() - started)

    async def _answer(self) -> None:
        """Make attempts until there is a response or a reason for having none."""
        self.retries.note_request(self.call.arrived_at)
        if not self._admitted.is_resumption:
            self._binding.choose_version()
        elif not await self._binding.find_origin():
            text = 'it is not known where the stream began, it has to be begun anew'
            await self._respond_directly(503, 'unknown_stream', text, RETRY_AFTER_FAILURE)
            return
        while True:
            try:
                if await self._attempt():
                    return
            except key_checks.UnverifiedKeyError:
                await self._respond_directly(
                    503, 'stale_configuration', 'keys may have changed', RETRY_AFTER
                )
                return
            except key_checks.RevokedKeyError:
                await self._respond_revoked()
                return
            except retry_budgets.RetryWithdrawnError:
                if not await self._replace_retry():
                    return
            except response_reader.AttemptError as error:
                if not await self._handle_failure(error):
                    return

    def _log_end(self, seconds: float) -> None:
        event_gap = self._admitted.route.event_gap
        if event_gap and self._gaps.ended_at is not None:
            self._owner.on_stream_ended(self.call, self._gaps.longest > event_gap)
        labels = {'service': self._service, 'outcome': self._outcome}
        self._owner.counters.requests.inc(labels)
        log.info(
            'request ended',
            extra={
                'request': self._admitted.client_request.id,
                'fingerprint': self.suspicion.rendered_fingerprint,
                'parts': self.suspicion.describe_parts(),
                'route': self._admitted.route.name,
                'kind': self._admitted.route.kind.value,
                'outcome': self._outcome,
                'ran': self.call.progress.outcome.value,
                'attempts': self.call.progress.attempts,
                'upstream': self._last_process.id,
                'born': self._last_process.started_ms,
                'software': self._last_replica.software,
                'last_event': self._admitted.client_request.last_event,
                'resumes': self._admitted.client_request.resumes,
                'seconds': round(seconds, 4),
                **self._describe_gaps(),
                'configuration_age': round(
                    self._owner.registry_state.freshness.compute_revocation_age(clocks.now()), 3
                ),
            },
        )

    def _describe_gaps(self) -> dict[str, float]:
        """Return the log fields for the times of a stream's events; empty without any."""
        gaps = self._gaps
        if gaps.first_at is None:
            return {}
        first_event = round(gaps.first_at - self._admitted.arrived_at, 4)
        if gaps.ended_at is None:
            return {'first_event': first_event}
        return {
            'first_event': first_event,
            'longest_gap': round(gaps.longest, 4),
            'gap_age': round(clocks.now() - gaps.ended_at, 4),
            'longest_send': round(gaps.longest_send, 4),
        }

    async def _attempt(self) -> bool:
        """Make one attempt; return whether the request has its final response."""
        self.sent = False
        if self._client.gone:
            raise responses.ClientGoneError
        attempt, self._moved = self._moved, None
        try:
            if attempt is None:
                attempt = await self._send()
            if attempt is not None:
                await self._relay_attempt(attempt)
            return True
        except response_reader.AttemptError:
            raise
        except BaseException:
            # The client has disconnected or this process stops; a request that was sent may have
            # run.
            self.call.progress.may_have_run |= self.sent
            raise

    async def _send(self) -> sent_attempts.Attempt | None:
        """Place and send an attempt, or answer the request without one."""
        call = self.call
        judgement = self.suspicion.assess()
        if judgement.refused_for is not None:
            await self._refuse_suspect(judgement)
            return None
        if self._client.started:
            # It may wait until its deadline. Units charged before would come on top of those that
            # the account regains meanwhile.
            self.charge.refund()
        elif await self._refuse_over_limit():
            return None
        if judgement.is_suspect:
            call.policy = 'apart'
            call.job = msgspec.structs.replace(
                call.job, spread_key=self.suspicion.rendered_fingerprint
            )
        placement = await self._place()
        if isinstance(placement, exceptions.Failure):
            await self._respond_not_placed(placement)
            return None
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._owner.dispatcher.end, placement)
            if self._client.started and await self._refuse_over_limit():
                return None
            return await self._send_placed(placement, cleanup)

    async def _refuse_over_limit(self) -> bool:
        """Charge the account for the next attempt, or refuse it; return whether it was refused."""
        retry_after = await self.charge.acquire(self.ends_at - clocks.now())
        if retry_after:
            await self._respond_directly(
                429, 'over_limit', 'the account is at its limit', retry_after
            )
        return bool(retry_after)

    async def _respond_not_placed(self, failure: exceptions.Failure) -> None:
        """Refuse a request for which there is no replica."""
        if self._binding.is_superseded:
            text = "replicas of the stream's software version have gone, it has to be begun anew"
            await self._respond_directly(503, 'version_gone', text, RETRY_AFTER_FAILURE)
            return
        await self._respond_directly(503, failure.code.value, failure.message, failure.retry_after)

    async def _place(self) -> dispatcher.Placement | exceptions.Failure:
        """Place an attempt; a begun stream waits until its deadline for a replica that takes it."""
        call = self.call
        allowed = None if call.progress.may_reach_others else self._reached
        while True:
            # Only a retry can be withdrawn while the request is queued.
            waiting = self.retries.waiting() if self._reached else contextlib.nullcontext()
            async with self.key_check.waiting(), waiting:
                placement = await self._owner.dispatcher.place(
                    call, self.name_attempt(), self.excluded, allowed
                )
            if isinstance(placement, dispatcher.Placement) or not self._can_wait():
                return placement
            await asyncio.sleep(CONTINUE_INTERVAL)

    def _can_wait(self) -> bool:
        """Return whether the client has half a response and may still get the rest of it."""
        has_time = clocks.now() + CONTINUE_INTERVAL < self.ends_at
        return self._client.started and has_time and not self._binding.is_superseded

    def name_attempt(self) -> str:
        """Return the name of the next attempt, for its placement and the log."""
        return f'{self.id}-{self.call.progress.attempts}.{self._failed_connects}'

    async def _send_placed(
        self, placement: dispatcher.Placement, cleanup: contextlib.ExitStack
    ) -> sent_attempts.Attempt | None:
        admitted = self._admitted
        if not self.key_check.is_valid():
            raise self.key_check.build_error()
        if clocks.now() >= admitted.ends_at:
            await self._respond_directly(
                503, 'no_time', 'no time was left for an attempt', RETRY_AFTER
            )
            return None
        # Peers may have reported the request as a suspect while it was queued.
        judgement = await self.suspicion.assess_before_send()
        if judgement.refused_for is not None:
            await self._refuse_suspect(judgement)
            return None
        self._last_replica = placement.replica
        return await self.open_attempt(placement, judgement, cleanup)

    async def open_attempt(
        self,
        placement: dispatcher.Placement,
        judgement: crashes.Assessment,
        cleanup: contextlib.ExitStack,
        connect_seconds: float = math.inf,
    ) -> sent_attempts.Attempt:
        """Send the request to a replica; raises `AttemptError`.

        The attempt takes over `cleanup`.
        """
        fingerprint = self._admitted.fingerprint
        time_left = self.ends_at - clocks.now()
        self._owner.suspects.begin(fingerprint, judgement, time_left)
        cleanup.callback(self._owner.suspects.end, fingerprint)
        exchange = await self._connect(placement, time_left, connect_seconds)
        sending = {
            'reached': len(self._reached),
            'proxy': exchange.connection.proxy,
            'time_left': round(self.ends_at - clocks.now(), 3),
            'last_heard_age': self._owner.prober.compute_contact_age(placement.replica.process),
        }
        pending = self.retries.note_sent(placement.replica.process, sending)
        cleanup.callback(self._end_exchange, exchange, pending)
        self._reached.add(placement.replica.name)
        self._connections.append(exchange.connection)
        reader = response_reader.ResponseReader(
            exchange,
            self._owner.prober,
            placement.replica.process,
            self.ends_at,
            self.call.progress.repeatable,
        )
        return sent_attempts.Attempt(placement, exchange, reader, cleanup.pop_all(), pending)

    def _end_exchange(
        self, exchange: exchanges.Exchange, pending: retry_budgets.PendingAttempt
    ) -> None:
        """Abort an attempt; a replica that has sent nothing may still read it later."""
        if exchange.is_unanswered:
            self._owner.budgets.note_given_up(pending)
            self._owner.counters.attempts_unanswered.inc({'service': self._service})
            log.info(
                'attempt unanswered',
                extra={
                    'request': self.call.id,
                    'service': self._service,
                    'upstream': pending.process.id,
                    'born': pending.process.started_ms,
                    **pending.sending,
                    'reached': len(self._reached),
                    'seconds': round(clocks.now() - pending.sent_at, 3),
                },
            )
        else:
            pending.settle()
        exchange.close()

    async def _connect(
        self, placement: dispatcher.Placement, time_left: float, connect_seconds: float
    ) -> exchanges.Exchange:
        admitted = self._admitted
        replica = placement.replica
        self._update_cache_owner()
        request = requests.build_request(
            admitted,
            self._cache_owner,
            self.call.job,
            replica,
            self._position.last_id,
            self._owner.sharing.sources,
            self._owner.wire,
            lambda: self._may_send(placement),
        )
        self.call.progress.begin()
        seconds = min(time_left, connect_seconds)
        has_others = self._has_others_than(replica.name)
        try:
            return await self._owner.sender.send(
                replica,
                request,
                seconds,
                self._connections,
                has_others,
                self._choose_quiet_seconds(replica.name),
            )
        except response_reader.UnresponsiveError:
            self.call.progress.attempts -= 1
            raise
        except exchanges.ExchangeError as error:
            self.call.progress.attempts -= 1
            if error.fault is exchanges.Fault.WITHHELD:
                raise self._build_withheld_error() from error
            raise response_reader.AttemptError(attempts.Fault.NOT_CONNECTED, str(error)) from error
        except TimeoutError as error:
            self.call.progress.attempts -= 1
            text = f'no connection for {admitted.client_request.id} in time'
            raise response_reader.AttemptError(attempts.Fault.NOT_CONNECTED, text) from error

    def _choose_quiet_seconds(self, name: str) -> float:
        """Return for how long a replica may have been silent before it is sent the request.

        A request that is read late would begin on weights which are too old by then.
        """
        if self._owner.pools.has_outdated_weights(name):
            return 0.0
        if self._admitted.route.kind.is_stream:
            return probing.STREAM_CONTACT_SECONDS
        return probing.CONTACT_SECONDS

    def _has_others_than(self, name: str) -> bool:
        """Return whether a replica that has not failed the request takes requests."""
        accepting = self._owner.dispatcher.list_accepting(self.call)
        return bool(accepting - {name, *self.excluded})

    def _update_cache_owner(self) -> None:
        """Name the parts of the prompt as the configuration in force does.

        Under an earlier name, a replica could be told to fetch what other accounts have made.
        """
        table = self._owner.registry_state.table
        assert table is not None
        owner = table.get_cache_owner(self._admitted.account)
        prompt = self._admitted.client_request.prompt
        if owner == self._cache_owner or prompt is None:
            return
        self._cache_owner = owner
        chain = prompts.build_job(prompt, owner, self._admitted.priority).chain
        self.call.job = msgspec.structs.replace(self.call.job, chain=chain)

    async def _relay_attempt(self, attempt: sent_attempts.Attempt) -> None:
        self._last_replica = attempt.placement.replica
        self._binding.begin_attempt()
        self.suspicion.begin_attempt()
        self.sent = True
        with attempt.cleanup:
            await self._relay_response(attempt)

    async def _relay_response(self, attempt: sent_attempts.Attempt) -> None:
        placement = attempt.placement
        reader = attempt.reader
        head = attempt.head or await self._read_head(attempt)
        if not await self._binding.confirm(attempt.process):
            text = 'the process that began the stream or was to continue it may have been replaced'
            raise response_reader.AttemptError(attempts.Fault.WRONG_VERSION, text)
        self.suspicion.begin_response()
        self.retries.release()
        if self.call.job.chain:
            self._owner.sharing.record_placement(placement.replica, self.call.job)
        if self._admitted.route.kind.is_stream:
            await self._relay_events(reader, head)
        else:
            await self._send_response(await reader.read_whole())
            self._outcome = 'answered'
        self._owner.pools.note_success(placement.replica.process)
        self.suspicion.note_success()

    async def _read_head(self, attempt: sent_attempts.Attempt) -> exchanges.Head:
        """Return the head of a result; raises `AttemptError`.

        A request is taken from a slow replica only if another one can run it.
        """
        progress = self.call.progress
        while True:
            left = self.ends_at - clocks.now()
            may_move = progress.repeatable and progress.may_reach_others
            can_move = may_move and left > moves.OVERLAP_SECONDS
            wait = left * ATTEMPT_SHARE if can_move else left
            try:
                return await self._owner.heads.read(attempt, wait)
            except response_reader.StalledError as stall:
                if not can_move:
                    raise
                await self._move(attempt.reader, stall)

    async def _relay_events(
        self, reader: response_reader.ResponseReader, head: exchanges.Head
    ) -> None:
        splitter = sse.EventSplitter()
        work = self._owner.pacer.begin()
        previous_at: float | None = None
        while (part := await self._read_part(reader)) is not None:
            for event in _split_events(splitter, part):
                self._advance(event)
                self._binding.note_event(self._last_replica)
                arrived_at = clocks.now()
                self._gaps.note_event(arrived_at)
                if previous_at is not None:
                    self._owner.on_event_gap(self._last_replica, previous_at, arrived_at)
                await self._delivery.send_event(head, event)
                sent_at = clocks.now()
                self._gaps.note_sent(arrived_at, sent_at)
                previous_at = arrived_at if sent_at - arrived_at < SEND_SECONDS else None
                self.call.progress.delivered += 1
                if await work.take(pacing.EVENT_STEPS):
                    fields = {'request': self.call.id, 'upstream': self._last_process.id}
                    log.warning('stream in very many events', extra=fields)
                reader.check_deadline()
            self.suspicion.note_progress()
        if splitter.has_rest:
            text = 'ended within an event'
            raise response_reader.AttemptError(attempts.Fault.INTERRUPTED, text, broken_off=True)
        self.call.progress.completed = True
        await self._delivery.finish_stream(head)
        self._outcome = 'answered'

    def _advance(self, event: bytes) -> None:
        """Note the next event of a stream that may be continued; raises `AttemptError`."""
        if self._admitted.route.kind is not routes.Kind.RESUMABLE_STREAM:
            return
        try:
            self._position.advance(event)
        except sse.OrderError as error:
            raise response_reader.AttemptError(attempts.Fault.INTERRUPTED, str(error)) from error
        self.call.progress.continuable = self._position.is_known

    async def _read_part(self, reader: response_reader.ResponseReader) -> bytes | None:
        """Return the next part of a stream; raises `AttemptError`.

        A stream is taken from a stalled replica only if another one can resume it, since the next
        event may still come.
        """
        progress = self.call.progress
        can_move = progress.continuable and progress.delivered > 0
        gap = max(EVENT_GAP_MIN, self._admitted.route.event_gap * EVENT_GAP_FACTOR)
        is_silent = False
        while True:
            left = self.ends_at - clocks.now()
            wait = min(left, gap) if can_move else left
            try:
                return await reader.read_part(wait)
            except response_reader.StalledError as stall:
                if wait == left:
                    raise
                await self._move(reader, stall)
            except response_reader.SilentError as error:
                # The replica may only be suspended.
                if not progress.delivered or self._can_continue():
                    raise
                if not is_silent:
                    moves.log_not_moved(self, None, str(error))
                is_silent = True

    async def _move(
        self, current: response_reader.ResponseReader, stall: response_reader.StalledError
    ) -> None:
        """Have another replica take over from a slow one, if one can.

        Raises `stall` if the request has been moved, unless the slow replica has broken off: its
        next read tells how.
        """
        self._moved = await self._owner.mover.move(self, current)
        if self._moved is not None and not current.is_cut_off:
            raise stall

    def _can_continue(self) -> bool:
        """Return whether another replica can continue the stream and a retry is left for it."""
        has_budget = self.retries.has_any()
        others = self._owner.dispatcher.list_accepting(self.call) - {self.upstream}
        return self.call.progress.continuable and has_budget and bool(others)

    async def _send_response(self, response: exchanges.Response) -> None:
        """Send an upstream's complete response to the client."""
        self.call.progress.completed = True
        await self._delivery.send_response(response)

    async def _handle_failure(self, error: response_reader.AttemptError) -> bool:
        """Decide what follows a failed attempt; return whether there is another one."""
        self._failure = error
        progress = self.call.progress
        now = clocks.now()
        is_unresponsive = isinstance(error, response_reader.UnresponsiveError)
        if error.fault is not attempts.Fault.REFUSED and not is_unresponsive:
            self._owner.pools.note_failure(self._last_process)
        if error.fault in attempts.NOT_RUN_FAULTS:
            self.sent = False
        elif self._moved is None:
            self.charge.mark_spent()
        if error.broken_off and not self._owner.pools.is_exit_expected(self._last_process):
            self.suspicion.note_disconnect(self._last_process, now)
        has_time = now < self._admitted.ends_at
        step = attempts.Step.FAIL
        has_budget = True
        if self._moved is not None:
            progress.may_have_run = True
            step = attempts.Step.CONTINUE if progress.delivered else attempts.Step.RETRY
        elif error.fault is attempts.Fault.NOT_CONNECTED:
            self._failed_connects += 1
            may_search = is_unresponsive and self._may_find_others()
            if has_time and (self._failed_connects < CONNECT_TRIES or may_search):
                step = attempts.Step.RETRY
        else:
            step = progress.decide(error.fault, has_time)
            has_budget = step is attempts.Step.FAIL or await self._await_retry()
            if not has_budget:
                step = attempts.Step.FAIL
        self._owner.counters.retries.inc({'step': step.value})
        log.info(
            'attempt failed',
            extra={
                'request': self.call.id,
                'fingerprint': self.suspicion.rendered_fingerprint,
                'upstream': self._last_process.id,
                'born': self._last_process.started_ms,
                'software': self._last_replica.software,
                'parts': self.suspicion.describe_parts(),
                'fault': error.fault.value,
                'response_age': self.suspicion.describe_response_age(now),
                'detail': str(error),
                'step': step.value,
                'attempts': progress.attempts,
                'reached': len(self._reached),
                'has_budget': has_budget,
                **self.retries.describe(),
                'ran': progress.outcome.value,
                'time_left': round(self._admitted.ends_at - now, 3),
            },
        )
        if step is attempts.Step.FAIL:
            await self._respond_failure(error)
            return False
        self.excluded.append(self._last_process.id)
        self.call.placement_deadline = self._choose_hold_deadline(now)
        return True

    def _may_find_others(self) -> bool:
        """Return whether another replica may be found for a request that none has been sent."""
        return self._can_wait() or self._has_others_than(self._last_process.id)

    def _choose_hold_deadline(self, now: float) -> float:
        """Return until when the request may be queued for its next replica.

        The queueing time of the first attempt is used up. A client with half a response waits for
        the rest until the deadline.
        """
        ends_at = self._admitted.ends_at
        if self.call.progress.delivered:
            return ends_at
        return min(ends_at, now + self._admitted.route.objective * requests.HOLD_SHARE)

    async def _refuse_suspect(self, judgement: crashes.Assessment) -> None:
        """Refuse a request that has crashed replicas, before it reaches another one."""
        self.suspicion.log_refusal(self.call.id, judgement)
        await self._respond_directly(503, 'suspected', judgement.reason, judgement.retry_after)

    async def _await_retry(self) -> bool:
        """Hold a retry if one is left; a begun stream waits for one until its deadline."""
        while not self.retries.hold():
            if not self._can_wait():
                return False
            await asyncio.sleep(CONTINUE_INTERVAL)
        return True

    async def _replace_retry(self) -> bool:
        """Hold another retry in place of one that was withdrawn; else send the final response."""
        if await self._await_retry():
            return True
        assert self._failure is not None
        await self._respond_failure(self._failure)
        return False

    async def _respond_failure(self, error: response_reader.AttemptError) -> None:
        """Send the final response of a request whose attempts have all failed."""
        if error.passed is not None and not self._client.started:
            self._outcome = 'upstream_failed'
            await self._send_response(error.passed)
            return
        status = 503
        if self.call.progress.outcome is not exceptions.Outcome.NOT_RUN:
            status = 504 if clocks.now() >= self._admitted.ends_at else 502
        retry_after = RETRY_AFTER_FAILURE if status == 503 else None
        await self._respond_directly(status, error.fault.value, str(error), retry_after)

    async def _respond_directly(
        self, status: int, reason: str, message: str, retry_after: float | None
    ) -> None:
        """Send a response of the router itself, as far as the state of the request allows one."""
        if self._client.started:
            self._outcome = 'stream_cut'
            self._client.abort()
            return
        if self.call.progress.outcome is not exceptions.Outcome.NOT_RUN and status in (429, 503):
            # These status codes would assert that the request has not run.
            status, retry_after = 502, None
        self._outcome = reason
        refusal = responses.Refusal(status, reason, message, retry_after)
        await self._delivery.send_refusal(refusal, self.call.id)

    def _may_send(self, placement: dispatcher.Placement) -> bool:
        """Return whether the request may be sent; checked just before its first byte."""
        if self._client.gone or not self.key_check.is_valid() or not self.retries.may_send():
            return False
        return replicas.may_send(placement.replica, placement.attempt, clocks.now())

    def _build_withheld_error(self) -> Exception:
        """Return the error for a request that was withheld."""
        if self._client.gone:
            return responses.ClientGoneError()
        if not self.key_check.is_valid():
            return self.key_check.build_error()
        if not self.retries.may_send():
            return retry_budgets.RetryWithdrawnError()
        text = 'the replica has asked for less since the request was placed'
        return response_reader.AttemptError(attempts.Fault.NOT_CONNECTED, text)

    async def _respond_revoked(self) -> None:
        """Refuse a request whose key was revoked while it was queued."""
        has_run = self.call.progress.outcome is not exceptions.Outcome.NOT_RUN
        status = 502 if has_run else 401
        await self._respond_directly(status, 'unknown_key', 'the key has been revoked', None)


def _split_events(splitter: sse.EventSplitter, part: bytes) -> list[bytes]:
    """Return the events that a part of a stream completes; raises `AttemptError`."""
    try:
        return splitter.feed(part)
    except sse.OverlongEventError as error:
        raise response_reader.AttemptError(attempts.Fault.INTERRUPTED, str(error)) from error
