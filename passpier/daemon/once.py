"""Runs requests that may run at most once: at their home, or behind a claim in the store."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import uuid
from collections.abc import Awaitable, Callable

import msgspec

from passpier import clocks, exceptions
from passpier.clients import store as store_clients
from passpier.core import claims, members
from passpier.daemon import answers, calls, messages, peers

log = logging.getLogger(__name__)

CLAIM_PREFIX = '/passpier/claims/'
CLAIM_TTL = 86_400
"""Seconds for which the store remembers a claim."""

CLAIM_LEASE_SECONDS = 3_600.0
"""Seconds for which one lease is used for new claims."""

CLAIM_GROUP = 64
"""Claims written by one transaction."""

CLAIM_TRIES = 3
FORWARD_TIMEOUT = 15.0
"""Seconds to wait for the home of a key."""

UNKNOWN = exceptions.Outcome.UNKNOWN
NOT_RUN = exceptions.Outcome.NOT_RUN

Execute = Callable[[calls.Call], Awaitable[answers.Answer]]
Admit = Callable[[calls.Call], bool]


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim as the store keeps it; `claimed_at` by the holder's clock, in seconds."""

    incarnation: str
    nonce: str
    claimed_at: float


class Once:
    """The keys that this daemon incarnation runs, and the way to those of others."""

    def __init__(
        self,
        membership: members.Membership,
        link: peers.Peers,
        store: store_clients.Store,
        retention: float,
        execute: Execute,
        admit: Admit,
    ) -> None:
        self._membership = membership
        self._peers = link
        self._execute = execute
        self._admit = admit
        self._table: claims.KeyTable[answers.Answer] = claims.KeyTable(retention)
        self._running: dict[str, asyncio.Task[answers.Answer]] = {}
        self._replies = peers.Replies()
        self._stopped = False
        self._claimer = Claimer(store, membership.own.incarnation, self._table)
        link.handle(messages.Forwarded, self._take_answer)

    async def run(self, call: calls.Call) -> answers.Answer:
        """Return the answer of a call with a key; raises `RequestFailedError`."""
        key = claims.parse_key(call.key)
        if isinstance(key, claims.Opaque):
            return await self._run_here(call, clocks.read_time_of_day(), True)
        if key.incarnation == self._membership.own.incarnation:
            return await self._run_here(call, key.made_at, False)
        return await self._forward(call, key.incarnation)

    async def cut(self, patience: float) -> None:
        """End all runs and take no more; waits so many seconds for claims to be given back."""
        self._stopped = True
        running = list(self._running.values())
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running, timeout=patience)

    async def _run_here(self, call: calls.Call, made_at: float, opaque: bool) -> answers.Answer:
        name = f'{call.account.name}/{call.key}'
        verdict = self._table.begin(name, made_at, clocks.read_time_of_day())
        if verdict is claims.Verdict.RUN and (self._stopped or not self._admit(call)):
            self._table.fail(name, False)
            # Of an opaque key others may know more.
            raise _refuse_stop(UNKNOWN if opaque else NOT_RUN)
        if verdict is claims.Verdict.RUN:
            self._running[name] = asyncio.ensure_future(self._track(name, call, opaque))
        if verdict in (claims.Verdict.RUN, claims.Verdict.JOIN):
            return await asyncio.shield(self._running[name])
        if verdict is claims.Verdict.ANSWER:
            answer = self._table.get_answer(name)
            assert answer is not None
            return answers.Answer(answer.status, answer.content_type, answer.body, True)
        raise calls.RequestFailedError(_FAILURES[verdict])

    async def _track(self, name: str, call: calls.Call, opaque: bool) -> answers.Answer:
        """Run a key that is marked as running until everything about it has ended."""
        owned = not opaque
        may_have_run = False
        answer = None
        try:
            if opaque:
                holder = await self._claim(name)
                if holder != self._membership.own.incarnation:
                    return await self._forward(call, holder)
                owned = True
            answer = await self._execute_or_cut(call)
            return answer
        except calls.RequestFailedError as error:
            may_have_run = error.failure.outcome is not exceptions.Outcome.NOT_RUN
            if opaque and owned and not may_have_run:
                await self._claimer.release(name)
            raise
        except BaseException:
            may_have_run = True
            if self._stopped:
                raise _refuse_stop(UNKNOWN) from None
            raise
        finally:
            del self._running[name]
            if answer is not None:
                self._table.finish(name, answer, len(answer.body))
            else:
                self._table.fail(name, owned and may_have_run)

    async def _execute_or_cut(self, call: calls.Call) -> answers.Answer:
        try:
            return await self._execute(call)
        except asyncio.CancelledError:
            if not self._stopped:
                raise
            raise _refuse_stop(call.life.outcome) from None

    async def _claim(self, name: str) -> str:
        """Return the incarnation that may run an opaque key."""
        try:
            holder = await self._claimer.claim(name)
        except exceptions.StoreError as error:
            # Nothing was sent now, but another daemon may have run this key before.
            failure = exceptions.Failure(
                exceptions.Code.STORE_UNAVAILABLE,
                exceptions.Outcome.UNKNOWN,
                f'the key cannot be looked up, nothing was sent: {error}',
                2.0,
            )
            raise calls.RequestFailedError(failure) from error
        if not holder:
            raise calls.RequestFailedError(_FAILURES[claims.Verdict.EXPIRED])
        return holder

    async def _forward(self, call: calls.Call, incarnation: str) -> answers.Answer:
        member = self._membership.get(incarnation)
        if member is None:
            raise _lose_home(call)
        if not self._admit(call):
            raise _refuse_stop(UNKNOWN)
        id = uuid.uuid4().hex
        service = call.service.name if call.service.kind == 'plain' else ''
        log.info(
            'forwarding decision', extra={'request': call.id, 'home': member.name, 'forward': id}
        )
        message = messages.Forward(
            id,
            call.account.name,
            service,
            call.path,
            call.key,
            call.raw,
            call.method,
            call.content_type,
        )
        self._peers.send(member.peer, message)
        answer = await self._replies.wait(id, FORWARD_TIMEOUT)
        if not isinstance(answer, messages.Forwarded):
            raise _lose_home(call)
        if answer.failure:
            failure = msgspec.json.decode(answer.failure, type=exceptions.Failure)
            raise calls.RequestFailedError(failure)
        return answers.Answer(answer.status, answer.content_type, answer.body)

    def _take_answer(self, sender: str, address: str, message: messages.Forwarded) -> None:
        self._replies.resolve(message.id, message)


class Claimer:
    """Claims keys in the store by create-if-absent, many in one transaction."""

    def __init__(
        self,
        store: store_clients.Store,
        incarnation: str,
        table: claims.KeyTable[answers.Answer],
    ) -> None:
        self._store = store
        self._incarnation = incarnation
        self._table = table
        self._waiting: list[tuple[str, ClaimRecord, asyncio.Future[None]]] = []
        self._writer: asyncio.Task[None] | None = None
        self._lease = 0
        self._leased_at = float('-inf')

    async def claim(self, name: str) -> str:
        """Return the incarnation that may run a key, this one or the holder of an older claim.

        An empty string stands for this incarnation's own claim from before what its table
        remembers. Raises `StoreError` if the store does not settle it.
        """
        record = ClaimRecord(self._incarnation, uuid.uuid4().hex, clocks.read_time_of_day())
        for attempt in range(CLAIM_TRIES):
            try:
                await self._write(name, record)
                return self._incarnation
            except exceptions.StoreError:
                if attempt == CLAIM_TRIES - 1:
                    raise
            except exceptions.ConflictError:
                holder = await self._read_holder(name, record)
                if holder is not None:
                    return holder
        raise exceptions.StoreError('the claim was not settled')

    async def release(self, name: str) -> None:
        """Give up a claim of this incarnation; that the store does not answer does no harm."""
        key = _get_claim_key(name)
        try:
            value = await self._store.get(key)
            if value is not None and _decode_claim(value).incarnation == self._incarnation:
                condition = store_clients.IsAt(key, value.mod_revision)
                await self._store.write([store_clients.Delete(key)], [condition])
        except exceptions.StoreError:
            log.info('claim not released')

    async def _read_holder(self, name: str, record: ClaimRecord) -> str | None:
        key = _get_claim_key(name)
        value = await self._store.get(key)
        if value is None:
            return None
        found = _decode_claim(value)
        if found.nonce == record.nonce or found.incarnation != self._incarnation:
            return found.incarnation
        # Only this incarnation can have run it, and its table would know.
        if not self._table.covers(found.claimed_at):
            return ''
        # A release whose answer was lost may still come; it must not meet the claim used now.
        put = store_clients.Put(key, msgspec.json.encode(record), await self._get_lease())
        renewed = await self._store.write([put], [store_clients.IsAt(key, value.mod_revision)])
        return self._incarnation if renewed else None

    async def _write(self, name: str, record: ClaimRecord) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((name, record, future))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.ensure_future(self._run_writer())
        await future

    async def _run_writer(self) -> None:
        while self._waiting:
            group = self._waiting[:CLAIM_GROUP]
            del self._waiting[:CLAIM_GROUP]
            try:
                await self._write_group(group)
            except exceptions.StoreError as error:
                # The lease may be what the store does not know any more.
                self._leased_at = float('-inf')
                for _, _, future in group:
                    if not future.done():
                        future.set_exception(exceptions.StoreError(str(error)))

    async def _write_group(
        self, group: list[tuple[str, ClaimRecord, asyncio.Future[None]]]
    ) -> None:
        lease = await self._get_lease()
        keys = [_get_claim_key(name) for name, _, _ in group]
        puts = [
            store_clients.Put(key, msgspec.json.encode(record), lease)
            for key, (_, record, _) in zip(keys, group, strict=True)
        ]
        if await self._store.write(puts, [store_clients.IsAt(key, 0) for key in keys]):
            for _, _, future in group:
                future.set_result(None)
        elif len(group) == 1:
            group[0][2].set_exception(exceptions.ConflictError(group[0][0]))
        else:
            for item in group:
                await self._write_group([item])

    async def _get_lease(self) -> int:
        now = clocks.now()
        if now - self._leased_at > CLAIM_LEASE_SECONDS:
            self._lease = await self._store.grant(CLAIM_TTL)
            self._leased_at = now
        return self._lease


_FAILURES = {
    claims.Verdict.RAN: exceptions.Failure(
        exceptions.Code.REPEATED,
        exceptions.Outcome.RAN,
        'this key has run; its answer is no longer held',
    ),
    claims.Verdict.UNKNOWN: exceptions.Failure(
        exceptions.Code.REPEATED,
        exceptions.Outcome.UNKNOWN,
        'this key was sent and no answer came; it will not be sent again',
    ),
    claims.Verdict.EXPIRED: exceptions.Failure(
        exceptions.Code.KEY_EXPIRED,
        exceptions.Outcome.UNKNOWN,
        'this key is outside the time for which keys are remembered; it may have run',
    ),
    claims.Verdict.FULL: exceptions.Failure(
        exceptions.Code.OVERLOADED,
        exceptions.Outcome.NOT_RUN,
        'too many keys are remembered',
        60.0,
    ),
}


def _refuse_stop(outcome: exceptions.Outcome) -> calls.RequestFailedError:
    return calls.refuse_stopping('this daemon stops before there could be an answer', outcome)


def _lose_home(call: calls.Call) -> calls.RequestFailedError:
    message = 'the only daemon that may run this key cannot be reached; it may have run'
    code = exceptions.Code.REPEATED
    return calls.RequestFailedError(exceptions.Failure(code, exceptions.Outcome.UNKNOWN, message))


def _get_claim_key(name: str) -> str:
    account, _, key = name.partition('/')
    return f'{CLAIM_PREFIX}{account}/{hashlib.sha256(key.encode()).hexdigest()[:40]}'


def _decode_claim(value: store_clients.Value) -> ClaimRecord:
    return msgspec.json.decode(value.data, type=ClaimRecord)
