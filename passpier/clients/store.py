"""Clients of the key-value store: the interface, the etcd v3 JSON gateway, an in-memory store."""

from __future__ import annotations

import asyncio
import base64
import itertools
from collections.abc import AsyncIterator, Sequence
from typing import Annotated, Any, Protocol

import msgspec

from passpier import exceptions
from passpier.clients import web
from passpier.utils import decoding

CALL_TIMEOUT = 2.0
"""Timeout of a call in seconds."""


class Value(msgspec.Struct, frozen=True):
    """A key with its value and the store revisions of its creation and its last change."""

    key: str
    data: bytes
    mod_revision: int
    create_revision: int


class Delete(msgspec.Struct, frozen=True):
    """A deletion in a transaction."""

    key: str


class Put(msgspec.Struct, frozen=True):
    """A write in a transaction; it is bound to `lease` unless that is 0."""

    key: str
    data: bytes
    lease: int = 0


class ExpectedRevision(msgspec.Struct, frozen=True):
    """A precondition: the key was last written at `revision`; 0 means that it does not exist."""

    key: str
    revision: int


_Number = Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]


class _Row(msgspec.Struct):
    key: bytes
    mod_revision: _Number
    create_revision: _Number
    value: bytes = b''


class _Renewal(msgspec.Struct):
    ttl: int = msgspec.field(name='TTL', default=0)


class _Response(msgspec.Struct):
    """The response to any call, without the fields of other calls."""

    kvs: list[_Row] = []
    succeeded: bool = False
    lease: _Number = msgspec.field(name='ID', default=0)
    result: _Renewal = msgspec.field(default_factory=_Renewal)


_decoder = decoding.build_json_decoder(_Response, strict=False)
"""The gateway sends numbers of 64 bits as strings."""


class Store(Protocol):
    """Interface to a key-value store. Every call may raise `StoreError`."""

    async def read(self, prefix: str) -> list[Value]:
        """Return all values whose key starts with `prefix`."""

    async def get(self, key: str) -> Value | None:
        """Return the value of a key, or none if it does not exist."""

    async def write(
        self, operations: Sequence[Put | Delete], conditions: Sequence[ExpectedRevision] = ()
    ) -> bool:
        """Apply all operations if all conditions hold; return whether they did."""

    async def grant(self, ttl: int) -> int:
        """Grant a lease of `ttl` seconds and return its id."""

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return false if it has expired."""

    async def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""

    def watch(self, prefix: str) -> AsyncIterator[None]:
        """Yield once the watch is established, and after each change under `prefix`."""


class EtcdStore:
    """A store behind the etcd v3 JSON gateway; a failed call switches to the next endpoint."""

    def __init__(self, endpoints: Sequence[str], client: web.Client) -> None:
        self._endpoints = itertools.cycle(endpoints)
        self._endpoint = next(self._endpoints)
        self._client = client

    async def read(self, prefix: str) -> list[Value]:
        """Return all values whose key starts with `prefix`."""
        body = {'key': _encode(prefix), 'range_end': _encode(_next_prefix(prefix))}
        return [_convert(row) for row in (await self._call('/v3/kv/range', body)).kvs]

    async def get(self, key: str) -> Value | None:
        """Return the value of a key, or none if it does not exist."""
        rows = (await self._call('/v3/kv/range', {'key': _encode(key)})).kvs
        return _convert(rows[0]) if rows else None

    async def write(
        self, operations: Sequence[Put | Delete], conditions: Sequence[ExpectedRevision] = ()
    ) -> bool:
        """Apply all operations if all conditions hold; return whether they did."""
        compare = [
            {'key': _encode(c.key), 'target': 'MOD', 'mod_revision': str(c.revision)}
            for c in conditions
        ]
        body = {'compare': compare, 'success': [_render_operation(o) for o in operations]}
        return (await self._call('/v3/kv/txn', body)).succeeded

    async def grant(self, ttl: int) -> int:
        """Grant a lease of `ttl` seconds and return its id."""
        lease = (await self._call('/v3/lease/grant', {'TTL': str(ttl)})).lease
        if not lease:
            raise exceptions.StoreError('/v3/lease/grant: no lease')
        return lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return false if it has expired."""
        return (await self._call('/v3/lease/keepalive', {'ID': str(lease)})).result.ttl > 0

    async def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        await self._call('/v3/lease/revoke', {'ID': str(lease)})

    async def watch(self, prefix: str) -> AsyncIterator[None]:
        """Yield once the watch is established, and after each change under `prefix`."""
        create = {'key': _encode(prefix), 'range_end': _encode(_next_prefix(prefix))}
        exchange = self._client.open(
            'POST', f'http://{self._endpoint}/v3/watch', _encode_body({'create_request': create})
        )
        try:
            while True:
                if await exchange.read() is None:
                    raise exceptions.StoreError('watch ended')
                yield None
        except web.ExchangeError as error:
            raise exceptions.StoreError(str(error)) from error
        finally:
            exchange.abort()

    async def _call(self, path: str, body: dict[str, Any]) -> _Response:
        try:
            response = await self._client.fetch(
                'POST', f'http://{self._endpoint}{path}', _encode_body(body), timeout=CALL_TIMEOUT
            )
        except web.ExchangeError as error:
            self._endpoint = next(self._endpoints)
            raise exceptions.StoreError(f'{path}: {error}') from error
        if response.status != 200:
            raise exceptions.StoreError(f'{path}: status {response.status}')
        try:
            return _decoder.decode(response.body)
        except exceptions.DecodingError as error:
            raise exceptions.StoreError(f'{path}: {error}') from error


class MemoryStore:
    """A store in the memory of this process, to try out a single daemon."""

    def __init__(self) -> None:
        self._values: dict[str, Value] = {}
        self._revision = 0
        self._changed = asyncio.Event()

    async def read(self, prefix: str) -> list[Value]:
        """Return all values whose key starts with `prefix`."""
        return [v for k, v in sorted(self._values.items()) if k.startswith(prefix)]

    async def get(self, key: str) -> Value | None:
        """Return the value of a key, or none if it does not exist."""
        return self._values.get(key)

    async def write(
        self, operations: Sequence[Put | Delete], conditions: Sequence[ExpectedRevision] = ()
    ) -> bool:
        """Apply all operations if all conditions hold; return whether they did."""
        for condition in conditions:
            value = self._values.get(condition.key)
            if (value.mod_revision if value else 0) != condition.revision:
                return False
        self._revision += 1
        for operation in operations:
            old = self._values.pop(operation.key, None)
            if isinstance(operation, Put):
                created = old.create_revision if old else self._revision
                value = Value(operation.key, operation.data, self._revision, created)
                self._values[operation.key] = value
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def grant(self, ttl: int) -> int:
        """Return a lease id; leases never expire."""
        return 1

    async def keep_alive(self, lease: int) -> bool:
        """Do nothing; leases never expire."""
        return True

    async def revoke(self, lease: int) -> None:
        """Do nothing; keys are not bound to leases."""

    async def watch(self, prefix: str) -> AsyncIterator[None]:
        """Yield immediately, and after each change of any key."""
        while True:
            changed = self._changed
            yield None
            await changed.wait()


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _next_prefix(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _encode_body(body: dict[str, Any]) -> bytes:
    return msgspec.json.encode(body)


def _convert(row: _Row) -> Value:
    # Other writers may have chosen a key that is no text.
    key = row.key.decode(errors='replace')
    return Value(key, row.value, row.mod_revision, row.create_revision)


def _render_operation(operation: Put | Delete) -> dict[str, Any]:
    if isinstance(operation, Delete):
        return {'request_delete_range': {'key': _encode(operation.key)}}
    put = {
        'key': _encode(operation.key),
        'value': base64.b64encode(operation.data).decode(),
        'lease': str(operation.lease),
    }
    return {'request_put': put}
