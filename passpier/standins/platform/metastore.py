"""Stand-in for the platform's store: items, leases, watches, history; with fault injection."""

from __future__ import annotations

import asyncio
import base64
import copy
import dataclasses
import json
from collections.abc import Callable
from typing import Any

import tornado.web

from passpier.platform import names

PAGE_SIZE = 500
"""Maximum number of items in one page of a range."""

PAGE_BYTES = 1024 * 1024
"""Size of the values of a page from which on it has no further items."""


@dataclasses.dataclass(slots=True)
class Item:
    """The value of a key with its revisions and lease."""

    value: str
    revision: int
    created: int
    lease: int


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of the store; delays in seconds."""

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    """Transactions that take effect and are not answered."""

    late_effects: int = 0
    """Transactions that are not answered and take effect after `late_by`."""

    late_by: float = 0.5
    refuse: int = 0
    """Calls that are answered with 429."""

    cuts_watches: bool = False
    """Closes the connections of watches that wait."""

    is_read_only: bool = False
    """Grants no leases and takes no transactions; answers 503 instead."""


@dataclasses.dataclass(slots=True)
class Copy:
    """A copy of the store's state, from which it may return."""

    items: dict[str, Item]
    revision: int
    oldest: int
    history: list[dict[str, Any]]
    leases: dict[int, tuple[float, float]]
    next_lease: int


class MetaStore:
    """The state of the store; `clock` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.era = 1
        self.items: dict[str, Item] = {}
        self.revision = 0
        self.oldest = 0
        """Revision up to which the history has been compacted."""

        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        """Duration and expiry time by lease."""

        self._changed: list[asyncio.Future[None]] = []
        self._next_lease = 1000

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write one item as JSON, as the platform's own components do."""
        return self.put_bytes(key, json.dumps(value).encode(), lease)

    def put_bytes(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one item with arbitrary bytes."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), lease)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one item."""
        self.revision += 1
        self._remove(key)

    def compact_history(self) -> None:
        """Compact the whole history; watches from older revisions get 410."""
        self.oldest = self.revision
        self.history.clear()
        self._notify()

    def copy(self) -> Copy:
        """Return a copy of the current state."""
        self.expire()
        return Copy(
            copy.deepcopy(self.items),
            self.revision,
            self.oldest,
            list(self.history),
            dict(self.leases),
            self._next_lease,
        )

    def restore(self, saved: Copy) -> None:
        """Return to an older state: revisions and lease ids since then are given out again."""
        self.era += 1
        self.items = copy.deepcopy(saved.items)
        self.revision = saved.revision
        self.oldest = saved.oldest
        self.history = list(saved.history)
        self.leases = dict(saved.leases)
        self._next_lease = saved.next_lease
        self._notify()

    def write_again(self, lost: Copy, returned: Copy, own_prefix: str) -> None:
        """Write what a copy lacked, as its writers do after a return.

        `lost` is the state before the return and `returned` that of the copy. Keys of the routers,
        and those written since, stay as they are.
        """
        for key in sorted(lost.items.keys() | returned.items.keys()):
            current, old, wanted = (i.get(key) for i in (self.items, returned.items, lost.items))
            unchanged = _get_value(current) == _get_value(old)
            if key.startswith(own_prefix) or not unchanged or _get_value(old) == _get_value(wanted):
                continue
            if wanted is None:
                self.remove(key)
            else:
                self.revision += 1
                self._write(key, wanted.value, wanted.lease)

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Execute a transaction; return the HTTP status and the response body."""
        self.expire()
        conditions = body.get('expected_revision', [])
        for row in conditions:
            item = self.items.get(row['private_key'])
            if (item.revision if item else 0) != row['revision']:
                keys = [r['private_key'] for r in conditions]
                return 412, {'items': [self.render(k) for k in keys if k in self.items]}
        if any(p.get('lease') and p['lease'] not in self.leases for p in body.get('puts', [])):
            return 404, {}
        self.revision += 1
        for put in body.get('puts', []):
            self._write(put['private_key'], put['value'], put.get('lease', 0))
        for key in body.get('remove', []):
            self._remove(key)
        return 200, {'revision': self.revision}

    def grant(self, ttl: float) -> int:
        """Grant a lease and return its id."""
        self._next_lease += 1
        self.leases[self._next_lease] = (ttl, self._clock() + ttl)
        return self._next_lease

    def renew(self, lease: int) -> bool:
        """Renew a lease; return false if it has expired."""
        self.expire()
        if lease not in self.leases:
            return False
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, self._clock() + ttl)
        return True

    def revoke(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)

    def expire(self) -> None:
        """Revoke the leases that have expired."""
        now = self._clock()
        for lease in [i for i, (_, ends_at) in self.leases.items() if ends_at <= now]:
            self.revoke(lease)

    def list_changes(self, prefix: str, after: int) -> list[dict[str, Any]] | None:
        """Return the changes after a revision.

        Returns None if the history before it was compacted, or has no such revision.
        """
        self.expire()
        if not self.oldest <= after <= self.revision:
            return None
        return [
            e for e in self.history if e['revision'] > after and e['private_key'].startswith(prefix)
        ]

    async def wait(self, seconds: float) -> None:
        """Wait for a change, for at most `seconds`."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._changed.append(future)
        await asyncio.wait([future], timeout=seconds)
        if future in self._changed:
            self._changed.remove(future)

    def render(self, key: str) -> dict[str, Any]:
        """Return an item in its wire format."""
        item = self.items[key]
        return {
            'private_key': key,
            'value': item.value,
            'revision': item.revision,
            'created': item.created,
            'lease': item.lease,
        }

    def _write(self, key: str, value: str, lease: int) -> None:
        before = self.items.get(key)
        created = before.created if before else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.history.append(self.render(key))
        self._notify()

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append({'private_key': key, 'revision': self.revision, 'removed': True})
            self._notify()

    def _notify(self) -> None:
        for future in self._changed:
            if not future.done():
                future.set_result(None)
        self._changed.clear()


def _get_value(item: Item | None) -> str | None:
    return item.value if item is not None else None


class _Handler(tornado.web.RequestHandler):
    def initialize(self, store: MetaStore, faults: Faults) -> None:
        self.store = store
        self.faults = faults

    async def prepare(self) -> None:
        await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            self.drop_connection()
        if self.faults.refuse:
            self.faults.refuse -= 1
            self.set_status(429)
            raise tornado.web.Finish

    def finish(self, chunk: Any = None) -> asyncio.Future[None]:
        """End the answer with the era in which it was made."""
        self.set_header(names.STORE_ERA, str(self.store.era))
        return super().finish(chunk)

    def drop_connection(self) -> None:
        self.request.connection.stream.close()  # type: ignore[union-attr]
        raise tornado.web.Finish


class _Range(_Handler):
    def get(self) -> None:
        prefix = self.get_argument('path_prefix', '')
        after = self.get_argument('after', '')
        self.store.expire()
        keys = sorted(k for k in self.store.items if k.startswith(prefix) and k > after)
        count = self._count_page(keys)
        self.write(
            {
                'items': [self.store.render(k) for k in keys[:count]],
                'truncated': len(keys) > count,
                'store_revision': self.store.revision,
            }
        )

    def _count_page(self, keys: list[str]) -> int:
        """Return how many of the keys fit into a page; at least one does."""
        size = 0
        for count, key in enumerate(keys[:PAGE_SIZE]):
            if size >= PAGE_BYTES:
                return count
            size += len(self.store.items[key].value)
        return min(len(keys), PAGE_SIZE)


class _Watch(_Handler):
    async def get(self) -> None:
        prefix = self.get_argument('path_prefix', '')
        after = int(self.get_argument('after'))
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(self.get_argument('wait_ms')) / 1000
        while True:
            left = ends_at - loop.time()
            if self.faults.down or (self.faults.cuts_watches and left > 0):
                self.drop_connection()
            events = self.store.list_changes(prefix, after)
            if events is None:
                self.set_status(410)
                return
            if events or left <= 0:
                break
            # The expiry of a lease wakes no waiter, so the store is polled.
            await self.store.wait(min(left, 0.05))
        self.write({'events': events, 'store_revision': self.store.revision})


class _Transaction(_Handler):
    async def post(self) -> None:
        if self.faults.is_read_only:
            self.set_status(503)
            return
        body = json.loads(self.request.body)
        if self.faults.late_effects:
            self.faults.late_effects -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_by, self.store.transact, body)
            self.drop_connection()
        status, answer = self.store.transact(body)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            self.drop_connection()
        self.set_status(status)
        self.write(answer)


class _Lease(_Handler):
    def post(self) -> None:
        if self.faults.is_read_only:
            self.set_status(503)
            return
        ttl = json.loads(self.request.body)['ttl_ms']
        self.write({'lease': self.store.grant(ttl / 1000), 'ttl_ms': ttl})


class _KeepAlive(_Handler):
    def post(self, lease: str) -> None:
        if not self.store.renew(int(lease)):
            self.set_status(404)
        self.write({'ttl_ms': 0})


class _Revoke(_Handler):
    def delete(self, lease: str) -> None:
        self.store.revoke(int(lease))
        self.write({})


def build_application(store: MetaStore, faults: Faults) -> tornado.web.Application:
    """Return the store's HTTP application."""
    state = {'store': store, 'faults': faults}
    return tornado.web.Application(
        [
            ('/kv-range', _Range, state),
            ('/kv-watch', _Watch, state),
            ('/kv-txn', _Transaction, state),
            ('/kv-lease', _Lease, state),
            (r'/kv-keep/(\d+)', _KeepAlive, state),
            (r'/kv-lease-end/(\d+)', _Revoke, state),
        ]
    )
