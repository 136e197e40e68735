"""Stand-in for the platform's key-value store: the etcd v3 JSON gateway, in memory."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
from typing import Any

import tornado.iostream

from passpier import clocks
from passpier.standins import common


@dataclasses.dataclass
class Entry:
    """The value of a key with its revisions and lease."""

    value: str
    create: int
    mod: int
    version: int
    lease: str


class State:
    """Keys, leases and watchers."""

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[bytes, Entry] = {}
        self.leases: dict[str, tuple[float, float]] = {}
        self.watchers: set[asyncio.Queue[dict[str, Any]]] = set()
        self.next_lease = 1000
        self.calls: dict[str, int] = {}

    def count_call(self, name: str) -> None:
        """Count a call."""
        self.calls[name] = self.calls.get(name, 0) + 1

    def expire(self) -> None:
        """Revoke expired leases."""
        now = clocks.now()
        for lease in [n for n, (end, _) in self.leases.items() if end < now]:
            self.revoke(lease)

    def revoke(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""
        self.leases.pop(lease, None)
        keys = [k for k, e in self.entries.items() if e.lease == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)

    def select_keys(self, request: dict[str, Any]) -> list[bytes]:
        """Return the keys in a request's range."""
        key = base64.b64decode(request['key'])
        if not request.get('range_end'):
            return [key] if key in self.entries else []
        end = base64.b64decode(request['range_end'])
        return sorted(k for k in self.entries if key <= k < end)

    def render(self, key: bytes) -> dict[str, Any]:
        """Return a key in the format of the gateway."""
        entry = self.entries[key]
        return {
            'key': base64.b64encode(key).decode(),
            'value': entry.value,
            'create_revision': str(entry.create),
            'mod_revision': str(entry.mod),
            'version': str(entry.version),
            'lease': entry.lease,
        }

    def put(self, request: dict[str, Any]) -> None:
        """Write a key at the current revision."""
        key = base64.b64decode(request['key'])
        old = self.entries.get(key)
        self.entries[key] = Entry(
            request.get('value', ''),
            old.create if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            str(request.get('lease', '0')),
        )
        self.notify({'type': 'PUT', 'kv': self.render(key)})

    def delete(self, key: bytes) -> None:
        """Delete a key at the current revision."""
        del self.entries[key]
        shown = {'key': base64.b64encode(key).decode(), 'mod_revision': str(self.revision)}
        self.notify({'type': 'DELETE', 'kv': shown})

    def notify(self, event: dict[str, Any]) -> None:
        """Send an event to all watchers."""
        for queue in self.watchers:
            queue.put_nowait(event)

    def compare(self, condition: dict[str, Any]) -> bool:
        """Evaluate one condition of a transaction."""
        entry = self.entries.get(base64.b64decode(condition['key']))
        target = condition['target']
        if target == 'VALUE':
            return entry is not None and entry.value == condition['value']
        field = {'MOD': 'mod', 'CREATE': 'create', 'VERSION': 'version'}[target]
        name = {'MOD': 'mod_revision', 'CREATE': 'create_revision', 'VERSION': 'version'}[target]
        return (getattr(entry, field) if entry else 0) == int(condition.get(name, 0))

    def apply(self, operation: dict[str, Any]) -> dict[str, Any]:
        """Execute one operation of a transaction."""
        if 'request_put' in operation:
            self.put(operation['request_put'])
            return {'response_put': {}}
        if 'request_delete_range' in operation:
            keys = self.select_keys(operation['request_delete_range'])
            for key in keys:
                self.delete(key)
            return {'response_delete_range': {'deleted': str(len(keys))}}
        kvs = [self.render(k) for k in self.select_keys(operation['request_range'])]
        return {'response_range': {'kvs': kvs, 'count': str(len(kvs))}}


class Call(common.Handler):
    """Base handler of the store's API."""

    state: State

    async def prepare(self) -> None:
        """Count the call, apply the faults, and revoke expired leases."""
        self.state.count_call(self.request.path)
        await super().prepare()
        self.state.expire()

    def reply(self, answer: dict[str, Any]) -> None:
        """Send the response, unless it is to be lost."""
        self.drop_lost_answer()
        header = {'revision': str(self.state.revision)}
        self.write({'header': header, **answer})


class Range(Call):
    """Reads a range of keys."""

    def post(self) -> None:
        """Return the keys in the range."""
        kvs = [self.state.render(k) for k in self.state.select_keys(self.get_body())]
        self.reply({'kvs': kvs, 'count': str(len(kvs))})


class Txn(Call):
    """Runs a transaction."""

    def post(self) -> None:
        """Evaluate the conditions, then execute one of the branches."""
        body = self.get_body()
        succeeded = all(self.state.compare(c) for c in body.get('compare', []))
        branch = body.get('success' if succeeded else 'failure', [])
        if any('request_range' not in operation for operation in branch):
            self.state.revision += 1
        responses = [self.state.apply(operation) for operation in branch]
        self.reply({'succeeded': succeeded, 'responses': responses})


class Grant(Call):
    """Grants a lease."""

    def post(self) -> None:
        """Return the id of the new lease."""
        ttl = float(self.get_body()['TTL'])
        self.state.next_lease += 1
        lease = str(self.state.next_lease)
        self.state.leases[lease] = (clocks.now() + ttl, ttl)
        self.reply({'ID': lease, 'TTL': str(int(ttl))})


class KeepAlive(Call):
    """Renews a lease."""

    def post(self) -> None:
        """Return the new time to live; none if the lease has expired."""
        lease = str(self.get_body()['ID'])
        known = self.state.leases.get(lease)
        if known is None:
            self.reply({'result': {'ID': lease}})
            return
        self.state.leases[lease] = (clocks.now() + known[1], known[1])
        self.reply({'result': {'ID': lease, 'TTL': str(int(known[1]))}})


class Revoke(Call):
    """Revokes a lease."""

    def post(self) -> None:
        """Delete the lease and its keys."""
        self.state.revoke(str(self.get_body()['ID']))
        self.reply({})


class Watch(Call):
    """Streams the changes of a range."""

    async def post(self) -> None:
        """Send one line for each change, until the caller disconnects or calls are dropped."""
        request = self.get_body()['create_request']
        low = base64.b64decode(request['key'])
        high = base64.b64decode(request['range_end']) if request.get('range_end') else low + b'\0'
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.state.watchers.add(queue)
        try:
            await self._send({'created': True})
            while not self.faults.drop:
                try:
                    event = await asyncio.wait_for(queue.get(), 0.2)
                except TimeoutError:
                    self.state.expire()
                    continue
                if low <= base64.b64decode(event['kv']['key']) < high and not self.faults.frozen:
                    await self._send({'events': [event]})
        except tornado.iostream.StreamClosedError:
            return
        finally:
            self.state.watchers.discard(queue)
        self.drop_connection()

    async def _send(self, result: dict[str, Any]) -> None:
        header = {'revision': str(self.state.revision)}
        self.write(json.dumps({'result': {'header': header, **result}}) + '\n')
        await self.flush()


class Stats(common.Handler):
    """Returns the number of calls by path."""

    state: State

    async def prepare(self) -> None:
        """Ignore all faults."""

    def get(self) -> None:
        """Return the counts."""
        self.write(self.state.calls)


def main() -> None:
    """Run the stand-in."""
    arguments = common.build_parser('standin-store').parse_args()
    faults = common.Faults()
    state = {'faults': faults, 'state': State()}
    routes = [
        ('/v3/kv/range', Range, state),
        ('/v3/kv/txn', Txn, state),
        ('/v3/lease/grant', Grant, state),
        ('/v3/lease/keepalive', KeepAlive, state),
        ('/v3/lease/revoke', Revoke, state),
        ('/v3/watch', Watch, state),
        ('/stats', Stats, state),
    ]
    asyncio.run(common.serve(routes, faults, arguments.port, arguments.ip))


if __name__ == '__main__':
    main()
