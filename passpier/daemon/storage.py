"""Access to the platform's store: lease, members, configuration, epochs and placement lease."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import logging
import random
import zlib
from collections.abc import Awaitable, Callable
from typing import Annotated, TypeVar

import msgspec

from passpier import clocks, exceptions
from passpier.clients import store as store_clients
from passpier.core import members, revisions
from passpier.utils import decoding

log = logging.getLogger(__name__)

PREFIX = '/passpier/'
INDEX_KEY = PREFIX + 'config/index'
CHUNK_PREFIX = PREFIX + 'config/chunk/'
MEMBER_PREFIX = PREFIX + 'members/'
EPOCH_KEY = PREFIX + 'epoch'
PLACEMENT_KEY = PREFIX + 'placement'

RETRY_MIN = 0.2
RETRY_MAX = 5.0
"""Minimum and maximum backoff, in seconds, after failed calls of the store; jitter is added."""

CALL_TRIES = 3

T = TypeVar('T')

POLL_SECONDS = 5.0
"""Seconds between reads of the configuration's index, in addition to the watch."""


HolderRecord = tuple[str, str, str]
"""A holder's name, failure domain and peer address."""


_Number = Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]


class EpochRecord(msgspec.Struct, frozen=True):
    """An epoch as stored, with its holders by incarnation."""

    number: _Number
    holders: dict[str, HolderRecord]
    took_over: _Number = 0
    """The last epoch up to this one that left out a holder without knowing that it had stopped."""

    lost: dict[str, HolderRecord] = {}
    """Such holders as remain voters."""

    @property
    def voters(self) -> dict[str, HolderRecord]:
        """The holders and the lost ones."""
        return self.holders | self.lost


_index_decoder = decoding.build_json_decoder(revisions.Index)
_member_decoder = decoding.build_json_decoder(members.Member)
_epoch_decoder = decoding.build_json_decoder(EpochRecord)


class Storage:
    """Reads and writes shared state. Every call may raise `StoreError`."""

    def __init__(self, store: store_clients.Store, lease_ttl: int, rng: random.Random) -> None:
        self.store = store
        self._lease_ttl = lease_ttl
        self._rng = rng
        self.lease = 0
        self.renewed_at = float('-inf')
        self.available = False

    async def read_revision(self, current: revisions.Revision | None) -> revisions.Revision | None:
        """Return the accepted configuration if it is newer; only unknown chunks are read."""
        value = await self.store.get(INDEX_KEY)
        if value is None:
            return None
        index = _decode(value, _index_decoder)
        if current is not None and index.revision <= current.index.revision:
            return None
        chunks = dict(current.chunks) if current else {}
        for name in set(index.chunks) - set(chunks):
            chunk = await self.store.get(CHUNK_PREFIX + name)
            if chunk is not None:
                chunks[name] = _decompress(chunk)
        return revisions.build_revision(index, chunks)

    async def accept_revision(
        self, document: bytes, base: int, nonce: str
    ) -> revisions.Revision | int:
        """Write a configuration based on revision `base`.

        Returns the accepted revision, or the number of a conflicting one. If the response of a
        write is lost, the index is read back, and its nonce shows whose write took effect.
        """
        parts = revisions.split_document(document)
        names = tuple(revisions.hash_chunk(part) for part in parts)
        chunks = dict(zip(names, parts, strict=True))
        for name, part in chunks.items():
            key = CHUNK_PREFIX + name
            if await self._retry(functools.partial(self.store.get, key)) is None:
                put = store_clients.Put(key, zlib.compress(part))
                await self._retry(functools.partial(self.store.write, [put]))
        for _ in range(CALL_TRIES):
            current = await self._retry(functools.partial(self.store.get, INDEX_KEY))
            known = _decode(current, _index_decoder) if current else None
            if known is not None and known.nonce == nonce:
                return revisions.Revision(known, chunks)
            number = known.revision if known else 0
            if number != base:
                return number
            index = revisions.Index(base + 1, names, nonce, base)
            put = store_clients.Put(INDEX_KEY, msgspec.json.encode(index))
            condition = store_clients.ExpectedRevision(
                INDEX_KEY, current.mod_revision if current else 0
            )
            try:
                if await self.store.write([put], [condition]):
                    return revisions.Revision(index, chunks)
            except exceptions.StoreError:
                log.warning('write not answered, reading back', extra={'nonce': nonce})
        raise exceptions.StoreError('the store did not settle the write')

    async def register(self, member: members.Member) -> bool:
        """Renew the lease, or get a new one and write the member record; true if renewed."""
        if self.lease and await self.store.keep_alive(self.lease):
            self._note_response()
            return True
        lease = await self.store.grant(self._lease_ttl)
        key = MEMBER_PREFIX + member.incarnation
        await self.store.write([store_clients.Put(key, msgspec.json.encode(member), lease)])
        self.lease = lease
        self._note_response()
        log.info('registered', extra={'incarnation': member.incarnation})
        return False

    async def unregister(self) -> None:
        """Revoke the lease, which deletes the member record."""
        if self.lease:
            await self.store.revoke(self.lease)

    async def read_members(self) -> list[members.Member]:
        """Return the daemons whose lease is valid."""
        found = []
        for value in await self.store.read(MEMBER_PREFIX):
            try:
                found.append(_decode(value, _member_decoder))
            except exceptions.StoreError as error:
                log.error('invalid member entry ignored', extra={'error': str(error)})
        return found

    async def read_epoch(self) -> tuple[EpochRecord | None, int]:
        """Return the epoch and the store revision at which it was written."""
        value = await self.store.get(EPOCH_KEY)
        if value is None:
            return None, 0
        return _decode(value, _epoch_decoder), value.mod_revision

    async def write_epoch(self, record: EpochRecord, at: int) -> bool:
        """Write an epoch if none was written since store revision `at`."""
        put = store_clients.Put(EPOCH_KEY, msgspec.json.encode(record))
        return await self.store.write([put], [store_clients.ExpectedRevision(EPOCH_KEY, at)])

    async def acquire_placement(self, incarnation: str) -> int:
        """Return the fencing number if this daemon holds the placement lease, else 0."""
        value = await self.store.get(PLACEMENT_KEY)
        if value is not None:
            return value.create_revision if value.data == incarnation.encode() else 0
        put = store_clients.Put(PLACEMENT_KEY, incarnation.encode(), self.lease)
        await self.store.write([put], [store_clients.ExpectedRevision(PLACEMENT_KEY, 0)])
        value = await self.store.get(PLACEMENT_KEY)
        if value is None or value.data != incarnation.encode():
            return 0
        return value.create_revision

    async def repeat(
        self,
        interval: float,
        action: Callable[[], Awaitable[None]],
        wake: asyncio.Event | None = None,
    ) -> None:
        """Run `action` every `interval` seconds, or sooner when `wake` is set.

        Backs off exponentially while the store is unavailable.
        """
        failures = 0
        wake = wake or asyncio.Event()
        while True:
            wake.clear()
            try:
                await action()
                failures = 0
                wait = interval * self._rng.uniform(0.9, 1.1)
            except exceptions.StoreError as error:
                failures += 1
                self.available = False
                wait = min(RETRY_MAX, RETRY_MIN * 2**failures) * self._rng.uniform(0.5, 1.0)
                log.warning('store unavailable', extra={'error': str(error), 'retry_in': wait})
                await asyncio.sleep(wait)
                continue
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(wake.wait(), wait)

    async def follow(self, prefix: str, action: Callable[[], Awaitable[None]]) -> None:
        """Run `action` whenever something under `prefix` changes."""
        failures = 0
        while True:
            try:
                async for _ in self.store.watch(prefix):
                    await action()
                    failures = 0
            except exceptions.StoreError as error:
                log.debug('watch ended', extra={'error': str(error)})
            failures += 1
            bound = min(RETRY_MAX, RETRY_MIN * 2**failures)
            await asyncio.sleep(bound * self._rng.uniform(0.5, 1.0))

    def _note_response(self) -> None:
        self.renewed_at = clocks.now()
        self.available = True

    async def _retry(self, call: Callable[[], Awaitable[T]]) -> T:
        for _ in range(CALL_TRIES - 1):
            try:
                return await call()
            except exceptions.StoreError:
                await asyncio.sleep(RETRY_MIN * self._rng.uniform(0.5, 1.0))
        return await call()


def _decode(value: store_clients.Value, decoder: decoding.Decoder[T]) -> T:
    """Return the record in a value; raise `StoreError` if it is invalid."""
    try:
        return decoder.decode(value.data)
    except exceptions.DecodingError as error:
        raise exceptions.StoreError(f'{value.key}: {error}') from error


def _decompress(value: store_clients.Value) -> bytes:
    """Return a chunk; raise `StoreError` if it is invalid."""
    try:
        return decoding.decompress(value.data, revisions.CHUNK_SIZE)
    except exceptions.DecodingError as error:
        raise exceptions.StoreError(f'{value.key}: {error}') from error
