"""Runs each request with an idempotency key at most once: at its home daemon or after a claim.

A homed key names the daemon incarnation that may run it. Any other key is opaque and has to be
claimed in the store first.
"""

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
from passpier.daemon import calls, messages, peers, responses
from passpier.utils import decoding

log = logging.getLogger(__name__)

CLAIM_PREFIX = '/passpier/claims/'
CLAIM_TTL = 86_400
"""Lifetime of a claim in the store, in seconds."""

CLAIM_LEASE_SECONDS = 3_600.0
"""Seconds for which new claims share one lease."""

MAX_CLAIMS_PER_WRITE = 64
"""Maximum number of claims written in one transaction."""

CLAIM_TRIES = 3
FORWARD_TIMEOUT = 15.0
"""Seconds to wait for the response of a key's home daemon."""

UNKNOWN = exceptions.Outcome.UNKNOWN
NOT_RUN = exceptions.Outcome.NOT_RUN

Execute = Callable[[calls.Call], Awaitable[responses.Response]]
CanAccept = Callable[[calls.Call], bool]


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim as stored; `claimed_at` is in seconds of the holder's clock."""

    incarnation: str
    nonce: str
    claimed_at: float


_claim_decoder = decoding.build_json_decoder(ClaimRecord)
_failure_decoder = decoding.build_json_decoder(exceptions.Failure)


class IdempotentRunner:
    """Runs calls with keys here, or forwards them to the daemon that may run them."""

    def __init__(
        self,
        membership: members.Membership,
        link: peers.Peers,
        store: store_clients.Store,
        retention: float,
        execute: Execute,
        can_accept: CanAccept,
    ) -> None:
        self._membership = membership
        self._peers = link
        self._execute = execute
        self._can_accept = can_accept
        self._table: claims.KeyTable[responses.Response] = claims.KeyTable(retention)
        self._running: dict[str, asyncio.Task[responses.Response]] = {}
        self._replies = peers.Replies()
        self._stopped = False
        self._claimer = Claimer(store, membership.own.incarnation, self._table)
        link.register_handler(messages.ForwardResponse, self._handle_answer)

    async def run(self, call: calls.Call) -> responses.Response:
        """Return the response of a call with a key; raises `RequestFailedError`."""
        key = claims.parse_key(call.key)
        if isinstance(key, claims.OpaqueKey):
            return await self._run_here(call, clocks.read_time_of_day(), True)
        if key.incarnation == self._membership.own.incarnation:
            return await self._run_here(call, key.made_at, False)
        return await self._forward(call, key.incarnation)

    async def cancel_all(self, timeout: float) -> None:
        """Cancel all runs and accept no more; waits up to `timeout` seconds for claim releases."""
        self._stopped = True
        running = list(self._running.values())
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running, timeout=timeout)

    async def _run_here(self, call: calls.Call, made_at: float, opaque: bool) -> responses.Response:
        name = f'{call.account.name}/{call.key}'
        verdict = self._table.begin(name, made_at, clocks.read_time_of_day())
        if verdict is claims.Verdict.RUN and (self._stopped or not self._can_accept(call)):
            self._table.fail(name, False)
            # Another daemon may have run an opaque key.
            raise _make_draining_error(UNKNOWN if opaque else NOT_RUN)
        if verdict is claims.Verdict.RUN:
            self._running[name] = asyncio.ensure_future(self._run_key(name, call, opaque))
        if verdict in (claims.Verdict.RUN, claims.Verdict.JOIN):
            return await asyncio.shield(self._running[name])
        if verdict is claims.Verdict.ANSWER:
            response = self._table.get_response(name)
            assert response is not None
            return responses.Response(response.status, response.content_type, response.body, True)
        raise calls.RequestFailedError(_FAILURES[verdict])

    async def _run_key(self, name: str, call: calls.Call, opaque: bool) -> responses.Response:
        """Run a key that is marked as running, and record its result."""
        holds_key = not opaque
        may_have_run = False
        response = None
        try:
            if opaque:
                holder = await self._claim(name)
                if holder != self._membership.own.incarnation:
                    return await self._forward(call, holder)
                holds_key = True
            response = await self._execute_cancellable(call)
            return response
        except calls.RequestFailedError as error:
            may_have_run = error.failure.outcome is not exceptions.Outcome.NOT_RUN
            if opaque and holds_key and not may_have_run:
                await self._claimer.release(name)
            raise
        except BaseException:
            may_have_run = True
            if self._stopped:
                raise _make_draining_error(UNKNOWN) from None
            raise
        finally:
            del self._running[name]
            if response is not None:
                self._table.finish(name, response, len(response.body))
            else:
                self._table.fail(name, holds_key and may_have_run)

    async def _execute_cancellable(self, call: calls.Call) -> responses.Response:
        try:
            return await self._execute(call)
        except asyncio.CancelledError:
            if not self._stopped:
                raise
            raise _make_draining_error(call.progress.outcome) from None

    async def _claim(self, name: str) -> str:
        """Return the incarnation that may run an opaque key."""
        try:
            holder = await self._claimer.claim(name)
        except exceptions.StoreError as error:
            # Nothing was sent now, but another daemon may have run this key earlier.
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

    async def _forward(self, call: calls.Call, incarnation: str) -> responses.Response:
        member = self._membership.get(incarnation)
        if member is None:
            raise _make_unreachable_error(call)
        if not self._can_accept(call):
            raise _make_draining_error(UNKNOWN)
        id = uuid.uuid4().hex
        service = call.service.name if call.service.kind == 'plain' else ''
        log.info(
            'forwarding decision', extra={'request': call.id, 'home': member.name, 'forward': id}
        )
        message = messages.ForwardRequest(
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
        response = await self._replies.wait(id, FORWARD_TIMEOUT)
        if not isinstance(response, messages.ForwardResponse):
            raise _make_unreachable_error(call)
        if response.failure:
            try:
                failure = _failure_decoder.decode(response.failure)
            except exceptions.DecodingError as error:
                raise _make_unreachable_error(call) from error
            raise calls.RequestFailedError(failure)
        return responses.Response(response.status, response.content_type, response.body)

    def _handle_answer(self, sender: str, address: str, message: messages.ForwardResponse) -> None:
        self._replies.resolve(message.id, message)


class Claimer:
    """Claims keys in the store by create-if-absent, in batches."""

    def __init__(
        self,
        store: store_clients.Store,
        incarnation: str,
        table: claims.KeyTable[responses.Response],
    ) -> None:
        self._store = store
        self._incarnation = incarnation
        self._table = table
        self._waiting: list[tuple[str, ClaimRecord, asyncio.Future[None]]] = []
        self._writer: asyncio.Task[None] | None = None
        self._lease = 0
        self._leased_at = float('-inf')

    async def claim(self, name: str) -> str:
        """Return the incarnation that may run a key: this one, or the holder of an earlier claim.

        Returns an empty string if this incarnation claimed the key too long ago for its table to
        cover. Raises `StoreError` if the outcome of the claim stays unknown.
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
        """Delete a claim of this incarnation; it does no harm if the store fails to."""
        key = _get_claim_key(name)
        try:
            value = await self._store.get(key)
            if value is not None and _decode_claim(value).incarnation == self._incarnation:
                condition = store_clients.ExpectedRevision(key, value.mod_revision)
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
        # Only this incarnation can have run the key, and its table shows whether it did.
        if not self._table.covers(found.claimed_at):
            return ''
        # A release without a response may still take effect; rewriting the claim makes it fail.
        put = store_clients.Put(key, msgspec.json.encode(record), await self._get_lease())
        renewed = await self._store.write(
            [put], [store_clients.ExpectedRevision(key, value.mod_revision)]
        )
        return self._incarnation if renewed else None

    async def _write(self, name: str, record: ClaimRecord) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((name, record, future))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.ensure_future(self._run_writer())
        await future

    async def _run_writer(self) -> None:
        while self._waiting:
            batch = self._waiting[:MAX_CLAIMS_PER_WRITE]
            del self._waiting[:MAX_CLAIMS_PER_WRITE]
            try:
                await self._write_batch(batch)
            except exceptions.StoreError as error:
                # The lease may have expired in the store.
                self._leased_at = float('-inf')
                for _, _, future in batch:
                    _set_result(future, exceptions.StoreError(str(error)))

    async def _write_batch(
        self, batch: list[tuple[str, ClaimRecord, asyncio.Future[None]]]
    ) -> None:
        lease = await self._get_lease()
        keys = [_get_claim_key(name) for name, _, _ in batch]
        puts = [
            store_clients.Put(key, msgspec.json.encode(record), lease)
            for key, (_, record, _) in zip(keys, batch, strict=True)
        ]
        if await self._store.write(puts, [store_clients.ExpectedRevision(key, 0) for key in keys]):
            for _, _, future in batch:
                _set_result(future, None)
        elif len(batch) == 1:
            _set_result(batch[0][2], exceptions.ConflictError(batch[0][0]))
        else:
            for item in batch:
                await self._write_batch([item])

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


def _make_draining_error(outcome: exceptions.Outcome) -> calls.RequestFailedError:
    return calls.make_draining_error('this daemon stops before there could be an answer', outcome)


def _make_unreachable_error(call: calls.Call) -> calls.RequestFailedError:
    message = 'the only daemon that may run this key cannot be reached; it may have run'
    code = exceptions.Code.REPEATED
    return calls.RequestFailedError(exceptions.Failure(code, exceptions.Outcome.UNKNOWN, message))


def _set_result(future: asyncio.Future[None], error: Exception | None) -> None:
    """End a write, unless its caller has disconnected or it has ended before."""
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)


def _get_claim_key(name: str) -> str:
    account, _, key = name.partition('/')
    return f'{CLAIM_PREFIX}{account}/{hashlib.sha256(key.encode()).hexdigest()[:40]}'


def _decode_claim(value: store_clients.Value) -> ClaimRecord:
    """Return a claim; raise `StoreError` if it is invalid."""
    try:
        return _claim_decoder.decode(value.data)
    except exceptions.DecodingError as error:
        raise exceptions.StoreError(f'{value.key}: {error}') from error
