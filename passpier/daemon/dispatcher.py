"""Queues calls per pool, assigns each to a replica and logs every routing decision."""

from __future__ import annotations

import asyncio
import collections
import heapq
import logging
import math
import random
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Protocol

import msgspec

from passpier import clocks, exceptions
from passpier.core import admission, admission_policy, cache_view, choice, priorities, replicas
from passpier.daemon import calls, metrics

log = logging.getLogger(__name__)

QUEUE_CHECK_INTERVAL = 0.02
"""Seconds between attempts to place queued calls."""

DECISIONS_KEPT = 2000
"""Number of requests whose decisions are kept for `explain`."""

MAX_LOGGED_CANDIDATES = 5
"""Maximum number of candidates in the log line of a decision, which also has the total count."""

MAX_UNPLACED = 2
"""Queued requests of a priority that may find no candidate in one round although a replica has
room, as a filter excludes it. A long queue must not cost a selection of candidates per request and
round."""

MAX_UNPLACED_RETRIES = 8
"""The same for requests that may not use all replicas, which tells nothing about others."""

RATE_SHARE = 0.05
"""Weight of a new sample in the moving average of the drain rate."""

RETRY_UNKNOWN = 1.0
"""Retry delay, in seconds, where it is unknown when an upstream will have capacity."""

RETRY_MAX = 10.0
"""Maximum retry delay, in seconds, for callers that no upstream can serve."""

RETRY_JITTER = 0.5
"""Maximum jitter, as a fraction of the retry delay, to spread callers that are refused together."""


class Pools(Protocol):
    """The pools of upstreams that calls are assigned to."""

    cache: cache_view.CacheView

    def get(self, name: str) -> replicas.Replica:
        """Return an upstream by name."""

    def list_serving(
        self, pool: str, version: str = '', software: str | None = None
    ) -> list[replicas.Replica]:
        """Return the upstreams of a pool that accept new work and serve a weight version.

        With `software`, only those that are known to run that software version.
        """

    def describe_weights(self, name: str) -> Mapping[str, object]:
        """Return the log fields for an upstream's weights and the age of that information."""


class Placement(msgspec.Struct):
    """The assignment of one attempt of a call to a replica, until it is ended."""

    call: calls.Call
    replica: replicas.Replica
    attempt: str
    choice: choice.Choice


class CandidateFilter(Protocol):
    """Restricts the replicas that a call may be placed on."""

    def select(
        self, call: calls.Call, available: Sequence[replicas.Replica], now: float
    ) -> Sequence[replicas.Replica]:
        """Return the candidates among the available replicas; the call waits if none has room."""


class PlacementObserver(Protocol):
    """Is notified of placements and their ends."""

    def note_placed(self, placement: Placement, queued: bool, now: float) -> None:
        """Record a placement, and whether its call was queued before."""

    def note_ended(self, placement: Placement, now: float) -> None:
        """Record the end of a placement."""


class _QueuedAttempt(msgspec.Struct):
    """An attempt that waits for its placement."""

    call: calls.Call
    exclude: Sequence[str]
    allowed: Collection[str] | None
    attempt: str
    result: asyncio.Future[Placement | exceptions.Failure]
    returned: bool = False
    """Whether the request was refused before."""

    hold_until: float | None = None
    """When it is refused unless it is placed, if that isn't the call's deadline."""

    @property
    def restricted(self) -> bool:
        """Whether it may not use all replicas of its pool."""
        return bool(self.exclude) or self.allowed is not None or self.call.software is not None


class _Pool:
    """A pool's queue and its measured drain rate, in tokens per second."""

    def __init__(self) -> None:
        self.queue: admission.FairQueue[_QueuedAttempt] = admission.FairQueue()
        self.rate = 0.0
        self.last_placed_at = 0.0
        self.worker: asyncio.Task[None] | None = None


class Dispatcher:
    """Decides when each call is sent and to which replica."""

    def __init__(
        self,
        pools: Pools,
        counters: metrics.Metrics,
        rng: random.Random,
        decisions_kept: int = DECISIONS_KEPT,
    ) -> None:
        self._upstreams = pools
        self._counters = counters
        self._decisions_kept = decisions_kept
        self._pools: dict[str, _Pool] = collections.defaultdict(_Pool)
        self._policies = choice.build_policies(rng)
        self._rng = rng
        self._decisions: collections.OrderedDict[str, list[bytes]] = collections.OrderedDict()
        self.filters: list[CandidateFilter] = []
        """Applied in order; each gets the candidates of the one before."""

        self.observers: list[PlacementObserver] = []
        self.own_domain = ''
        """The failure domain that calls should not leave without need; empty for none."""

        self.admission: admission_policy.Admission | None = None
        """Decides for which priorities replicas have room, and who is refused; if none, requests
        queue regardless of the priorities at the replicas."""

    async def place(
        self,
        call: calls.Call,
        attempt: str,
        exclude: Sequence[str] = (),
        allowed: Collection[str] | None = None,
    ) -> Placement | exceptions.Failure:
        """Return the placement of an attempt, or the failure; waits while all replicas are full.

        `exclude` names the replicas that have failed the call, the last one at the end. They are
        used only if there are no others. `allowed` names the only replicas that may be used.
        """
        pool = self._pools[call.service.pool]
        waiting = _QueuedAttempt(
            call, tuple(exclude), allowed, attempt, asyncio.get_running_loop().create_future()
        )
        if self.admission is not None:
            self._note_arrival(pool, waiting, self.admission)
        if not self._has_precedence(pool, call):
            placed = self._try_place(waiting)
            if placed is not None:
                if isinstance(placed, Placement):
                    pool.queue.note_overtaking(call.service.priority)
                return placed
        refusal = self._check_ready(waiting)
        verdict = None
        if refusal is None and self._is_assessed(call):
            refusal, verdict = self._assess(pool, waiting)
        elif refusal is None:
            refusal = self._check_queue(pool, call)
        if refusal is not None:
            self._log_refusal(call, refusal, self._describe_verdict(waiting, verdict))
            return refusal
        pool.queue.put(self._make_ticket(waiting))
        self._start_worker(call.service.pool, pool)
        try:
            return await waiting.result
        except asyncio.CancelledError:
            self._end_unclaimed(waiting)
            if self.admission is not None:
                # It would count as waiting and as a refusal until its deadline. Without a policy,
                # `abandon` removes it.
                pool.queue.remove(lambda t: t.item is waiting)
            raise

    def place_now(
        self, call: calls.Call, attempt: str, exclude: Collection[str]
    ) -> Placement | None:
        """Place an attempt at once on a replica with room that is not excluded, if there is one."""
        usable = [r for r in self._list_serving(call) if r.name not in exclude]
        return self._place_on(call, attempt, usable, clocks.now())

    def list_accepting(self, call: calls.Call) -> set[str]:
        """Return the upstreams that take new work for a call, whatever their present load."""
        now = clocks.now()
        serving = self._list_serving(call)
        return {r.name for r in serving if replicas.compute_ready_at(r, now) <= now}

    def end(self, placement: Placement) -> None:
        """End a placement and free its capacity."""
        now = clocks.now()
        replicas.end_dispatch(placement.replica, placement.attempt, now)
        for observer in self.observers:
            observer.note_ended(placement, now)
        pool = self._pools[placement.call.service.pool]
        if len(pool.queue):
            self._place_queued(placement.call.service.pool, pool)

    def abandon(self, call: calls.Call) -> None:
        """Remove a call from its queue because its caller has disconnected."""
        call.cancelled = True
        pool = self._pools[call.service.pool]
        for ticket in pool.queue.remove(lambda t: t.item.call is call):
            self._refuse(ticket.item, exceptions.Code.BAD_REQUEST, 'the caller has gone', None)

    def list_decisions(self, request: str) -> list[bytes]:
        """Return the decisions logged for a request, encoded as JSON."""
        return self._decisions.get(request, [])

    def has_waiting(self, call: calls.Call) -> bool:
        """Return whether the account of a call has other calls queued for the same pool."""
        return self._pools[call.service.pool].queue.has_waiting(call.account.name)

    def list_waiting(self, pool: str) -> Iterator[admission.Ticket[calls.Call]]:
        """Yield a ticket for each call that is queued for a pool."""
        if pool in self._pools:
            for ticket in self._pools[pool].queue:
                yield admission.Ticket(
                    ticket.item.call,
                    ticket.account,
                    ticket.weight,
                    ticket.priority,
                    ticket.tokens,
                    ticket.deadline,
                )

    def count_queued(self) -> int:
        """Return the number of queued calls."""
        return sum(len(pool.queue) for pool in self._pools.values())

    def _end_unclaimed(self, waiting: _QueuedAttempt) -> None:
        """End a placement that was made just before its waiting task was cancelled."""
        if not waiting.result.done() or waiting.result.cancelled():
            return
        placed = waiting.result.result()
        if isinstance(placed, Placement):
            self.end(placed)

    def _note_arrival(
        self, pool: _Pool, waiting: _QueuedAttempt, policy: admission_policy.Admission
    ) -> None:
        call = waiting.call
        now = clocks.now()
        policy.note_arrival(call.service.pool, call.service.priority, now)
        if call.fingerprint and call.placement_deadline is None:
            waiting.returned = policy.schedule.recognise(call.fingerprint, now)
        if not call.job.prompt_tokens:
            # Each request without a prompt counts as one token; accounts take turns by request.
            pool.queue.quantum = 1

    def _is_assessed(self, call: calls.Call) -> bool:
        """Return whether the admission policy decides on a call, and not its deadline alone.

        Further attempts of a request were admitted with the first one.
        """
        if self.admission is None or call.ends_at is None or call.placement_deadline is not None:
            return False
        return self.admission.applies(call.service.pool, call.account.name, clocks.now())

    def _assess(
        self, pool: _Pool, waiting: _QueuedAttempt
    ) -> tuple[exceptions.Failure | None, admission_policy.Verdict]:
        """Return the verdict on a call that found no room, with the failure if it is refused."""
        assert self.admission is not None
        call = waiting.call
        now = clocks.now()
        picture = self.admission.get_picture(call.service.pool, now)
        verdict = self.admission.assess(self._build_demand(pool, waiting), picture, now)
        labels = {'pool': call.service.pool, 'priority': str(call.service.priority)}
        self._counters.expected_wait.set(labels, verdict.estimate.wait)
        if verdict.action is admission_policy.Action.WAIT:
            waiting.hold_until = verdict.until
            return self._check_size(pool, call, verdict.estimate.wait), verdict
        message = f'the expected wait is {verdict.estimate.wait:.2f} s'
        return self._note_verdict(call, verdict, message), verdict

    def _note_verdict(
        self, call: calls.Call, verdict: admission_policy.Verdict, message: str
    ) -> exceptions.Failure:
        """Record a refusal by the admission policy and return it as a failure."""
        assert self.admission is not None
        if call.fingerprint:
            self.admission.schedule.remember(call.fingerprint, clocks.now())
        reason = verdict.reason.value if verdict.reason is not None else ''
        labels = {'reason': reason, 'priority': str(call.service.priority)}
        self._counters.admission_refusals.inc(labels)
        code = exceptions.Code.DEADLINE
        return exceptions.Failure(code, call.progress.outcome, message, verdict.retry_after)

    def _build_demand(self, pool: _Pool, waiting: _QueuedAttempt) -> admission_policy.Demand:
        call = waiting.call
        tokens = call.job.prompt_tokens
        serving = self._upstreams.list_serving(call.service.pool)
        if tokens:
            pool_rate = sum(1 / r.seconds_per_token for r in serving)
        else:
            pool_rate = sum(r.slots / max(r.service_seconds, 1e-3) for r in serving)
        prefill = sum(r.seconds_per_token * r.miss_share for r in serving) * tokens
        assert call.ends_at is not None
        due = call.first_event_due
        return admission_policy.Demand(
            call.service.pool,
            call.account.name,
            call.account.weight,
            call.service.priority,
            max(1, tokens),
            call.deadline,
            call.ends_at if due is None else due,
            call.ends_at,
            prefill / max(1, len(serving)),
            self._count_ahead(pool, call),
            pool.rate or pool_rate,
            pool_rate,
            pool.queue.quantum,
            waiting.returned,
        )

    def _count_ahead(self, pool: _Pool, call: calls.Call) -> int:
        return pool.queue.count_ahead(
            call.account.name,
            call.account.weight,
            call.service.priority,
            call.job.prompt_tokens,
            self.admission is not None,
        )

    def _has_precedence(self, pool: _Pool, call: calls.Call) -> bool:
        """Return whether queued requests are placed before a new one."""
        if self.admission is None:
            return len(pool.queue) > 0
        return pool.queue.has_as_urgent(call.service.priority)

    def _list_open(
        self, usable: Sequence[replicas.Replica], service: str, priority: int, now: float
    ) -> list[replicas.Replica]:
        if self.admission is None:
            return [r for r in usable if replicas.is_open(r, now)]
        most_urgent = self.admission.get_most_urgent(service, now)
        return [r for r in usable if admission_policy.is_open(r, now, priority, most_urgent)]

    def _any_has_room(
        self, available: Sequence[replicas.Replica], service: str, priority: int, now: float
    ) -> bool:
        if self.admission is None:
            return any(replicas.has_room(r, now) for r in available)
        most_urgent = self.admission.get_most_urgent(service, now)
        return any(admission_policy.has_room(r, now, priority, most_urgent) for r in available)

    def _try_place(
        self, waiting: _QueuedAttempt, queued: bool = False, priority: int | None = None
    ) -> Placement | exceptions.Failure | None:
        call = waiting.call
        usable = self._list_usable(waiting)
        if not usable:
            message = f'no upstream of pool {call.service.pool!r} takes work'
            refusal = exceptions.Failure(
                exceptions.Code.NO_UPSTREAM, call.progress.outcome, message, 1.0
            )
            self._log_refusal(call, refusal)
            return refusal
        return self._place_on(call, waiting.attempt, usable, clocks.now(), queued, priority)

    def _place_on(
        self,
        call: calls.Call,
        attempt: str,
        usable: Sequence[replicas.Replica],
        now: float,
        queued: bool = False,
        room_priority: int | None = None,
    ) -> Placement | None:
        """Place an attempt on one of the usable replicas, unless no candidate has room.

        `room_priority` is the priority for which there has to be room, if it isn't its own.
        """
        pool, priority = call.service.pool, call.service.priority
        if room_priority is None:
            room_priority = priority
        available: Sequence[replicas.Replica] = self._list_open(usable, pool, room_priority, now)
        for candidate_filter in self.filters:
            available = candidate_filter.select(call, available, now)
        # While the pool has capacity, a busy replica that has the prefix cached may be the best.
        if not self._any_has_room(available, pool, room_priority, now):
            return None
        chosen = choice.choose(
            call.job,
            available,
            self._upstreams.cache,
            self._policies[call.policy],
            now,
            self.own_domain,
        )
        if chosen is None:
            return None
        replica = self._upstreams.get(chosen.name)
        replicas.begin_dispatch(replica, attempt, chosen.miss_tokens, now, priority)
        self._log_choice(call, attempt, chosen, now)
        self._count_waste(call, chosen)
        placement = Placement(call, replica, attempt, chosen)
        for observer in self.observers:
            observer.note_placed(placement, queued, now)
        return placement

    def _check_ready(self, waiting: _QueuedAttempt) -> exceptions.Failure | None:
        """Refuse a call whose deadline passes before any upstream accepts another request."""
        call = waiting.call
        now = clocks.now()
        usable = self._list_usable(waiting)
        ready_at = min((replicas.compute_ready_at(r, now) for r in usable), default=now)
        if ready_at <= max(now, call.deadline):
            return None
        wait = ready_at - now if math.isfinite(ready_at) else RETRY_UNKNOWN
        retry_after = min(wait * self._rng.uniform(1.0, 1.0 + RETRY_JITTER), RETRY_MAX)
        message = 'all upstreams have asked for fewer requests'
        return exceptions.Failure(
            exceptions.Code.OVERLOADED, call.progress.outcome, message, retry_after
        )

    def _list_serving(self, call: calls.Call) -> list[replicas.Replica]:
        return self._upstreams.list_serving(call.service.pool, call.weight_version, call.software)

    def _list_usable(self, waiting: _QueuedAttempt) -> list[replicas.Replica]:
        """Return the upstreams for a call, including excluded ones only if there are no others.

        The last one that was excluded is the least likely to succeed.
        """
        serving = self._list_serving(waiting.call)
        if waiting.allowed is not None:
            serving = [r for r in serving if r.name in waiting.allowed]
        for exclude in (waiting.exclude, waiting.exclude[-1:]):
            usable = [r for r in serving if r.name not in exclude]
            if usable:
                return usable
        return serving

    def _check_queue(self, pool: _Pool, call: calls.Call) -> exceptions.Failure | None:
        """Refuse a call if its predicted wait exceeds its deadline or the queue is full."""
        ahead = self._count_ahead(pool, call)
        wait = admission.predict_wait(ahead, self._get_rate(pool, call)) if ahead else 0.0
        overdue = clocks.now() + wait - call.deadline
        if overdue > 0:
            message = f'the first token would come {overdue:.2f} s after its deadline'
            code = exceptions.Code.DEADLINE
            return exceptions.Failure(code, call.progress.outcome, message, max(0.1, overdue))
        return self._check_size(pool, call, wait)

    def _check_size(self, pool: _Pool, call: calls.Call, wait: float) -> exceptions.Failure | None:
        """Refuse a call if the queue is full."""
        if len(pool.queue) >= admission.MAX_WAITING:
            code = exceptions.Code.OVERLOADED
            return exceptions.Failure(code, call.progress.outcome, 'too many wait', max(1.0, wait))
        return None

    def _get_rate(self, pool: _Pool, call: calls.Call) -> float:
        if pool.rate:
            return pool.rate
        serving = self._upstreams.list_serving(call.service.pool)
        return sum(1 / r.seconds_per_token for r in serving) or 1.0

    def _make_ticket(self, waiting: _QueuedAttempt) -> admission.Ticket[_QueuedAttempt]:
        call = waiting.call
        return admission.Ticket(
            waiting,
            call.account.name,
            call.account.weight,
            call.service.priority,
            max(1, call.job.prompt_tokens),
            call.deadline if waiting.hold_until is None else waiting.hold_until,
            waiting.returned,
        )

    def _start_worker(self, name: str, pool: _Pool) -> None:
        if pool.worker is None or pool.worker.done():
            pool.last_placed_at = clocks.now()
            pool.worker = asyncio.ensure_future(self._run_worker(name, pool))

    async def _run_worker(self, name: str, pool: _Pool) -> None:
        while len(pool.queue):
            self._place_queued(name, pool)
            self._refuse_expired(pool)
            self._counters.queued.set({'pool': name}, len(pool.queue))
            await asyncio.sleep(QUEUE_CHECK_INTERVAL)
        self._counters.queued.set({'pool': name}, 0)

    def _place_queued(self, name: str, pool: _Pool) -> None:
        if self.admission is not None:
            self._place_by_priority(name, pool, self.admission)
            return
        blocked = []
        while len(pool.queue):
            now = clocks.now()
            serving = self._upstreams.list_serving(name)
            if serving and not any(replicas.has_room(r, now) for r in serving):
                break
            ticket = pool.queue.take()
            assert ticket is not None
            if ticket.item.result.done():
                continue
            placed = self._try_place(ticket.item, queued=True)
            if placed is None:
                # A retry may not be able to use the replicas that have room.
                blocked.append(ticket)
                continue
            self._update_rate(pool, ticket.tokens)
            ticket.item.result.set_result(placed)
        for ticket in blocked:
            pool.queue.put_back(ticket)

    def _place_by_priority(
        self, name: str, pool: _Pool, policy: admission_policy.Admission
    ) -> None:
        """Place queued requests until nothing has room for any of their priorities."""
        blocked: set[int] = set()
        retries: list[admission.Ticket[_QueuedAttempt]] = []
        unplaced: list[admission.Ticket[_QueuedAttempt]] = []
        tries: collections.Counter[tuple[int, bool]] = collections.Counter()
        serving = self._upstreams.list_serving(name)
        least_urgent = 0
        while (ticket := pool.queue.take(blocked)) is not None:
            if ticket.item.result.done():
                continue
            now = clocks.now()
            most_urgent = policy.get_most_urgent(name, now)
            priority = most_urgent if ticket.overtaken else ticket.priority
            if serving and not self._any_has_room(serving, name, priority, now):
                # What has no room for a priority has none for less urgent ones either.
                blocked.update(range(priority, priorities.LEAST_URGENT + 1))
                unplaced.append(ticket)
                continue
            placed = self._try_place(ticket.item, queued=True, priority=priority)
            if placed is None:
                restricted = ticket.item.restricted
                tries[ticket.priority, restricted] += 1
                limit = MAX_UNPLACED_RETRIES if restricted else MAX_UNPLACED
                if tries[ticket.priority, restricted] >= limit:
                    blocked.add(ticket.priority)
                (retries if restricted else unplaced).append(ticket)
                continue
            if isinstance(placed, Placement):
                self._update_rate(pool, ticket.tokens)
                if not ticket.overtaken:
                    least_urgent = max(least_urgent, ticket.priority)
            ticket.item.result.set_result(placed)
        for ticket in retries:
            # At the end, so that the next round tries others.
            pool.queue.put_back(ticket)
        for ticket in reversed(unplaced):
            pool.queue.put_back(ticket, first=True)
        pool.queue.note_room(least_urgent)

    def _update_rate(self, pool: _Pool, tokens: int) -> None:
        now = clocks.now()
        sample = tokens / max(now - pool.last_placed_at, 1e-3)
        pool.last_placed_at = now
        if pool.rate:
            # Averages the inverse rate: each sample is the time taken by a known number of tokens.
            inverse = 1 / pool.rate + RATE_SHARE * (1 / sample - 1 / pool.rate)
            pool.rate = 1 / inverse
        else:
            pool.rate = sample

    def _refuse_expired(self, pool: _Pool) -> None:
        now = clocks.now()
        for ticket in pool.queue.remove(lambda t: t.deadline <= now):
            message = 'the first token can no longer come before its deadline'
            waiting = ticket.item
            if self.admission is None or not self._is_assessed(waiting.call):
                self._refuse(waiting, exceptions.Code.DEADLINE, message, 0.5)
                continue
            picture = self.admission.get_picture(waiting.call.service.pool, now)
            demand = self._build_demand(pool, waiting)
            held = now - waiting.call.arrived_at
            verdict = self.admission.refuse_held(demand, picture, held, now)
            self._end_refused(waiting, self._note_verdict(waiting.call, verdict, message), verdict)

    def _refuse(
        self,
        waiting: _QueuedAttempt,
        code: exceptions.Code,
        message: str,
        retry_after: float | None,
    ) -> None:
        failure = exceptions.Failure(code, waiting.call.progress.outcome, message, retry_after)
        self._end_refused(waiting, failure)

    def _end_refused(
        self,
        waiting: _QueuedAttempt,
        failure: exceptions.Failure,
        verdict: admission_policy.Verdict | None = None,
    ) -> None:
        self._log_refusal(waiting.call, failure, self._describe_verdict(waiting, verdict))
        if not waiting.result.done():
            waiting.result.set_result(failure)

    def _count_waste(self, call: calls.Call, chosen: choice.Choice) -> None:
        most = max(c.matched_tokens for c in chosen.candidates)
        matched = call.job.prompt_tokens - chosen.miss_tokens
        if most > matched:
            self._counters.wasted_tokens.add({'service': call.service.name}, most - matched)

    def _log_choice(
        self, call: calls.Call, attempt: str, chosen: choice.Choice, now: float
    ) -> None:
        fields = {
            'request': call.id,
            'attempt': attempt,
            'account': call.account.name,
            'service': call.service.name,
            'policy': call.policy,
            'prompt_tokens': call.job.prompt_tokens,
            'waited': round(now - call.arrived_at, 4),
            'chosen': chosen.name,
            'reason': chosen.reason,
            **({} if call.software is None else {'software': call.software}),
            **self._upstreams.describe_weights(chosen.name),
            'candidate_count': len(chosen.candidates),
            'candidates': [_render(c) for c in _list_best(chosen)],
        }
        self._record(call.id, fields)
        log.info('routing decision', extra=fields)

    def _describe_verdict(
        self, waiting: _QueuedAttempt, verdict: admission_policy.Verdict | None
    ) -> dict[str, object]:
        """Return the log fields for the inputs of a decision of the admission policy."""
        if verdict is None:
            return {}
        estimate = verdict.estimate
        return {
            'cause': verdict.reason.value if verdict.reason is not None else '',
            'priority': waiting.call.service.priority,
            'expected_wait': round(estimate.wait, 4),
            'tokens_ahead': estimate.tokens_ahead,
            'tokens_per_second': round(estimate.rate),
            'picture_age': round(estimate.age, 3) if estimate.age is not None else None,
            'picture_vms': estimate.vms,
            'returned': waiting.returned,
        }

    def _log_refusal(
        self, call: calls.Call, refusal: exceptions.Failure, inputs: Mapping[str, object] = {}
    ) -> None:
        fields = {
            'request': call.id,
            'account': call.account.name,
            'service': call.service.name,
            'reason': refusal.code.value,
            'outcome': refusal.outcome.value,
            'detail': refusal.message,
            'retry_after': refusal.retry_after,
            **inputs,
        }
        self._record(call.id, fields)
        log.info('refusal', extra=fields)

    def _record(self, request: str, fields: Mapping[str, object]) -> None:
        if not self._decisions_kept:
            return
        self._decisions.setdefault(request, []).append(msgspec.json.encode(fields))
        while len(self._decisions) > self._decisions_kept:
            self._decisions.popitem(last=False)


def _list_best(chosen: choice.Choice) -> list[choice.Candidate]:
    """Return the winner and the cheapest others, so that log lines do not grow with the pool."""
    others = [c for c in chosen.candidates if c.name != chosen.name]
    return [
        chosen.winner,
        *heapq.nsmallest(MAX_LOGGED_CANDIDATES - 1, others, key=lambda c: c.total),
    ]


def _render(candidate: choice.Candidate) -> dict[str, object]:
    return {
        'upstream': candidate.name,
        'matched_tokens': candidate.matched_tokens,
        'confidence': round(candidate.confidence, 3),
        'wait': round(candidate.wait, 4),
        'prefill': round(candidate.prefill, 4),
        'recompute': round(candidate.recompute, 4),
        'crowding': round(candidate.crowding, 4),
        'crossing': candidate.crossing,
    }
