"""Client of the platform's metadata store; implements `registry.Registry`."""

from __future__ import annotations

import base64
import logging
import urllib.parse
from collections.abc import Sequence
from typing import Annotated, Any, TypeVar

import msgspec

from passpier import clocks, exceptions
from passpier.clients import connections, exchanges, registry
from passpier.platform import names, records
from passpier.utils import decoding

log = logging.getLogger(__name__)

T = TypeVar('T')

CALL_TIMEOUT = 1.0
"""Timeout of a call in seconds; the store responds within milliseconds, and a slow one within a
quarter of a second."""

RESPONSE_MAX = 16 * 1024 * 1024
"""Maximum size in bytes of a response, which may hold several versions of the configuration."""

VALUE_MAX = 512 * 1024
"""Maximum number of characters of a value other than the configuration. The largest are the records
of streams; routers send all items to each other, also those of other writers."""

MAX_LOGGED = 80
"""Maximum number of characters of invalid bytes in a log line."""

_Number = Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]


class _Item(msgspec.Struct):
    private_key: str
    revision: _Number
    value: str = ''
    lease: _Number = 0
    removed: bool = False


class _RangeResponse(msgspec.Struct):
    items: list[msgspec.Raw]
    """Decoded one by one, so that an invalid one does not hide the others."""

    store_revision: _Number
    truncated: bool = False


class _WatchResponse(msgspec.Struct):
    events: list[msgspec.Raw]
    store_revision: _Number


class _TransactionResponse(msgspec.Struct):
    revision: _Number


class _LeaseResponse(msgspec.Struct):
    lease: _Number


_item_decoder = decoding.build_json_decoder(_Item)
_range_decoder = decoding.build_json_decoder(_RangeResponse)
_watch_decoder = decoding.build_json_decoder(_WatchResponse)
_transaction_decoder = decoding.build_json_decoder(_TransactionResponse)
_lease_decoder = decoding.build_json_decoder(_LeaseResponse)


class _Answer(msgspec.Struct, frozen=True):
    body: bytes
    timeline: int


class Store:
    """Calls the store over pooled connections."""

    def __init__(self, address: str, pool: connections.Pool) -> None:
        self.address = address
        self._pool = pool
        self._timeline = 0
        """The newest timeline that a response named."""

    async def read(self, prefix: str) -> registry.Listing:
        """Return all items under a prefix, page by page."""
        sent_at = clocks.now()
        items: dict[str, registry.Item] = {}
        revision: registry.Revision | None = None
        after = ''
        while True:
            query = {'path_prefix': prefix}
            if after:
                query['after'] = after
            answer = await self._call('GET', '/kv-range', query)
            page = _decode_items(answer.body, _range_decoder)
            # The pages are not a consistent snapshot. The revision is that of the first page, so
            # that a watch from there delivers whatever changed while the others were read.
            if revision is None:
                revision = registry.Revision(answer.timeline, page.store_revision)
            if revision.timeline != answer.timeline:
                raise exceptions.StoreError('GET /kv-range: timeline changed between two pages')
            listed = _convert_items(page.items, answer.timeline)
            items.update({item.key: item for item in listed})
            if not page.truncated or not page.items:
                return registry.Listing(tuple(items.values()), revision, sent_at)
            if not listed or listed[-1].key == after:
                raise exceptions.StoreError('GET /kv-range: page without a key to continue after')
            after = listed[-1].key

    async def watch(self, prefix: str, after: registry.Revision, wait: float) -> registry.Changes:
        """Return the changes after a revision, after at most `wait` seconds."""
        sent_at = clocks.now()
        query = {
            'path_prefix': prefix,
            'after': str(after.number),
            'wait_ms': str(int(wait * 1000)),
        }
        try:
            answer = await self._call('GET', '/kv-watch', query, timeout=wait + CALL_TIMEOUT)
        except exceptions.StoreError as error:
            if isinstance(error.__cause__, exchanges.ResponseTooLongError):
                # A watch has no pages, so that these changes can only be read by a listing.
                raise registry.CompactedError(str(error)) from error
            raise
        if answer.timeline != after.timeline:
            # The counter has passed the number since, so that the store does not refuse it.
            raise registry.CompactedError(f'GET /kv-watch: timeline {answer.timeline}')
        watched = _decode_items(answer.body, _watch_decoder)
        items = _convert_items(watched.events, answer.timeline)
        revision = registry.Revision(answer.timeline, watched.store_revision)
        return registry.Changes(items, revision, sent_at, clocks.now())

    async def write(
        self, puts: Sequence[registry.Put], conditions: Sequence[registry.ExpectedRevision] = ()
    ) -> registry.Revision:
        """Apply all writes in one transaction and return its revision."""
        leases = {p.lease for p in puts if p.lease is not None}
        for lease in leases:
            self._check_lease(lease)
        answer = await self._call('POST', '/kv-txn', body=_render_transaction(puts, conditions))
        timelines = {lease.timeline for lease in leases}
        timelines |= {c.revision.timeline for c in conditions if c.revision != registry.NO_REVISION}
        if timelines - {answer.timeline}:
            # Its lease ids and revisions may mean something else there.
            raise exceptions.StoreError(f'POST /kv-txn: done in timeline {answer.timeline}')
        number = records.decode(answer.body, _transaction_decoder).revision
        return registry.Revision(answer.timeline, number)

    async def grant(self, ttl: float) -> registry.Lease:
        """Grant a lease of `ttl` seconds."""
        answer = await self._call('POST', '/kv-lease', body={'ttl_ms': int(ttl * 1000)})
        return registry.Lease(answer.timeline, records.decode(answer.body, _lease_decoder).lease)

    async def renew(self, lease: registry.Lease) -> None:
        """Renew a lease."""
        self._check_lease(lease)
        await self._call('POST', f'/kv-keep/{lease.id}', body={})
        # The answer may be the first one of a new timeline.
        self._check_lease(lease)

    async def end(self, lease: registry.Lease) -> None:
        """Revoke a lease."""
        if lease.timeline == self._timeline:
            await self._call('DELETE', f'/kv-lease-end/{lease.id}')

    def _check_lease(self, lease: registry.Lease) -> None:
        if lease.timeline != self._timeline:
            raise registry.LeaseExpiredError(f'lease {lease.id} is of timeline {lease.timeline}')

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        timeout: float = CALL_TIMEOUT,
    ) -> _Answer:
        target = f'{path}?{urllib.parse.urlencode(query)}' if query else path
        headers = [('Host', self.address), ('Content-Type', 'application/json')]
        data = msgspec.json.encode(body) if body is not None else b''
        request = exchanges.Request(method, target, headers, data)
        try:
            response = await self._pool.fetch(
                self.address, request, timeout, max_bytes=RESPONSE_MAX
            )
        except exchanges.ExchangeError as error:
            is_silent = error.fault is exchanges.Fault.TIMED_OUT
            kind = registry.NoAnswerError if is_silent else exceptions.StoreError
            raise kind(f'{method} {path}: {error}') from error
        text = f'{method} {path}: status {response.head.status}'
        timeline = self._note_timeline(response.head.get(names.STORE_ERA))
        if timeline < self._timeline:
            raise exceptions.StoreError(f'{text}, late, of timeline {timeline}')
        _raise_for_status(response.head.status, text)
        return _Answer(response.body, timeline)

    def _note_timeline(self, value: str | None) -> int:
        """Return the timeline that a response names; one that names none is of the newest."""
        if value is None:
            return self._timeline
        timeline = decoding.parse_number(value)
        if timeline is None:
            raise exceptions.StoreError(f'invalid {names.STORE_ERA}: {value[:MAX_LOGGED]!r}')
        if timeline > self._timeline:
            log.info(
                'registry timeline changed',
                extra={'timeline': timeline, 'timeline_before': self._timeline},
            )
            self._timeline = timeline
        return timeline


def _raise_for_status(status: int, text: str) -> None:
    if status == 410:
        raise registry.CompactedError(text)
    if status == 412:
        raise exceptions.ConflictError(text)
    if status == 404:
        raise registry.LeaseExpiredError(text)
    if status != 200:
        raise exceptions.StoreError(text)


def _render_transaction(
    puts: Sequence[registry.Put], conditions: Sequence[registry.ExpectedRevision]
) -> dict[str, Any]:
    return {
        'expected_revision': [
            {'private_key': c.key, 'revision': c.revision.number} for c in conditions
        ],
        'puts': [
            {
                'private_key': p.key,
                'value': base64.b64encode(p.data).decode(),
                'lease': p.lease.id if p.lease is not None else 0,
            }
            for p in puts
        ],
        'remove': [],
    }


def _decode_items(data: bytes, decoder: decoding.Decoder[T]) -> T:
    """Decode a response with items; raise `StoreError` if it is invalid."""
    try:
        return records.decode(data, decoder)
    except exceptions.StoreError:
        # Other writers choose the keys, and one that is no text must not hide all items.
        return records.decode(decoding.replace_lone_surrogates(data), decoder)


def _convert_items(raw: Sequence[msgspec.Raw], timeline: int) -> tuple[registry.Item, ...]:
    """Return items in the router's own form, without those that can't be decoded."""
    items = []
    for data in raw:
        try:
            items.append(_convert(_item_decoder.decode(bytes(data)), timeline))
        except exceptions.DecodingError as error:
            text = bytes(data)[:MAX_LOGGED].decode(errors='replace')
            log.error('invalid registry item ignored', extra={'item': text, 'error': str(error)})
    return tuple(items)


def _decode_value(item: _Item) -> bytes:
    """Return the content of an item; raise `ValueError` if it is invalid or too large."""
    if len(item.value) > VALUE_MAX and item.private_key != names.CONFIGURATION_KEY:
        raise ValueError(f'{len(item.value)} characters')
    return base64.b64decode(item.value)


def _convert(item: _Item, timeline: int) -> registry.Item:
    if decoding.REPLACEMENT in item.private_key:
        raise exceptions.DecodingError('the key is no text')
    try:
        data = _decode_value(item)
    except ValueError as error:
        # As a record without content, which is valid nowhere, it replaces the one before.
        fields = {'key': item.private_key[:MAX_LOGGED], 'error': str(error)}
        log.error('invalid value of a registry item', extra=fields)
        data = b''
    revision = registry.Revision(timeline, item.revision)
    return registry.Item(item.private_key, data, revision, item.lease, item.removed)
