"""Client of the platform's metadata store; implements `registry.Registry`."""

from __future__ import annotations

import base64
import binascii
import logging
import urllib.parse
from collections.abc import Sequence
from typing import Any

import msgspec

from passpier import clocks, exceptions
from passpier.clients import connections, exchanges, registry
from passpier.platform import names, records

log = logging.getLogger(__name__)

CALL_TIMEOUT = 1.0
"""Timeout of a call in seconds; the store responds within milliseconds, and a slow one within a
quarter of a second."""


class _Item(msgspec.Struct):
    private_key: str
    revision: int
    value: str = ''
    lease: int = 0
    removed: bool = False


class _RangeResponse(msgspec.Struct):
    items: list[_Item]
    store_revision: int
    truncated: bool = False


class _WatchResponse(msgspec.Struct):
    events: list[_Item]
    store_revision: int


class _TransactionResponse(msgspec.Struct):
    revision: int


class _LeaseResponse(msgspec.Struct):
    lease: int


class Store:
    """Calls the store over pooled connections."""

    def __init__(self, address: str, pool: connections.Pool) -> None:
        self.address = address
        self._pool = pool
        self._timeline = 0

    async def read(self, prefix: str) -> registry.Listing:
        """Return all items under a prefix, page by page."""
        sent_at = clocks.now()
        items: dict[str, registry.Item] = {}
        revision: int | None = None
        after = ''
        while True:
            query = {'path_prefix': prefix}
            if after:
                query['after'] = after
            page = records.decode(await self._call('GET', '/kv-range', query), _RangeResponse)
            # The pages are not a consistent snapshot. The revision is that of the first page, so
            # that a watch from there delivers whatever changed while the others were read.
            revision = page.store_revision if revision is None else revision
            for item in page.items:
                items[item.private_key] = _convert(item)
            if not page.truncated or not page.items:
                return registry.Listing(tuple(items.values()), revision, sent_at)
            after = page.items[-1].private_key

    async def watch(self, prefix: str, after: int, wait: float) -> registry.Changes:
        """Return the changes after a revision, after at most `wait` seconds."""
        sent_at = clocks.now()
        query = {'path_prefix': prefix, 'after': str(after), 'wait_ms': str(int(wait * 1000))}
        response = await self._call('GET', '/kv-watch', query, timeout=wait + CALL_TIMEOUT)
        watched = records.decode(response, _WatchResponse)
        items = tuple(_convert(i) for i in watched.events)
        return registry.Changes(items, watched.store_revision, sent_at, clocks.now())

    async def write(
        self, puts: Sequence[registry.Put], conditions: Sequence[registry.ExpectedRevision] = ()
    ) -> int:
        """Apply all writes in one transaction and return its revision."""
        body = _render_transaction(puts, conditions)
        return records.decode(
            await self._call('POST', '/kv-txn', body=body), _TransactionResponse
        ).revision

    async def grant(self, ttl: float) -> int:
        """Grant a lease of `ttl` seconds and return its id."""
        response = await self._call('POST', '/kv-lease', body={'ttl_ms': int(ttl * 1000)})
        return records.decode(response, _LeaseResponse).lease

    async def renew(self, lease: int) -> None:
        """Renew a lease."""
        await self._call('POST', f'/kv-keep/{lease}', body={})

    async def end(self, lease: int) -> None:
        """Revoke a lease."""
        await self._call('DELETE', f'/kv-lease-end/{lease}')

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        timeout: float = CALL_TIMEOUT,
    ) -> bytes:
        target = f'{path}?{urllib.parse.urlencode(query)}' if query else path
        headers = [('Host', self.address), ('Content-Type', 'application/json')]
        data = msgspec.json.encode(body) if body is not None else b''
        request = exchanges.Request(method, target, headers, data)
        try:
            response = await self._pool.fetch(self.address, request, timeout)
        except exchanges.ExchangeError as error:
            raise exceptions.StoreError(f'{method} {path}: {error}') from error
        self._note_timeline(response.head)
        status = response.head.status
        if status == 200:
            return response.body
        text = f'{method} {path}: status {status}'
        if status == 410:
            raise registry.CompactedError(text)
        if status == 412:
            raise exceptions.ConflictError(text)
        if status == 404:
            raise registry.LeaseExpiredError(text)
        raise exceptions.StoreError(text)

    def _note_timeline(self, head: exchanges.Head) -> None:
        timeline = int(head.get(names.STORE_ERA) or 0)
        if timeline != self._timeline:
            log.warning(
                'registry timeline changed',
                extra={'timeline': timeline, 'timeline_before': self._timeline},
            )
            self._timeline = timeline


def _render_transaction(
    puts: Sequence[registry.Put], conditions: Sequence[registry.ExpectedRevision]
) -> dict[str, Any]:
    return {
        'expected_revision': [{'private_key': c.key, 'revision': c.revision} for c in conditions],
        'puts': [
            {
                'private_key': p.key,
                'value': base64.b64encode(p.data).decode(),
                'lease': p.lease,
            }
            for p in puts
        ],
        'remove': [],
    }


def _convert(item: _Item) -> registry.Item:
    try:
        data = base64.b64decode(item.value)
    except binascii.Error as error:
        raise exceptions.StoreError(f'{item.private_key}: invalid base64: {error}') from error
    return registry.Item(item.private_key, data, item.revision, item.lease, item.removed)
