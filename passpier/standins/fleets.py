"""A small fleet of processes on one machine, for tests and benchmarks."""

from __future__ import annotations

import contextlib
import hashlib
import json
import pathlib
from collections.abc import Iterator, Sequence
from typing import Any

import yaml

from passpier.standins import processes

MODEL = 'advisory-7b'
KEYS = {'tower': 'tower-key', 'district': 'district-key'}
FLAGS = ('--heartbeat', '0.2', '--entry-ttl', '1', '--lease-ttl', '3', '--drain-bound', '30')


class Fleet:
    """The processes of a fleet: a store, a VM list, engines, plain services and daemons."""

    def __init__(
        self,
        trial: processes.ProcessGroup,
        daemons: int = 2,
        engines: int = 2,
        services: int = 1,
        engine_flags: Sequence[str] = (),
        daemon_flags: Sequence[str] = (),
    ) -> None:
        folder = trial.folder
        self.process_group = trial
        self.store = processes.Standin('store', 'store', folder)
        self.vms = processes.Standin('vms', 'vms', folder)
        self.engines = [
            processes.EngineProcess(f'engine-{i}', folder, list(engine_flags))
            for i in range(1, engines + 1)
        ]
        self.services = [
            processes.Standin(f'service-{i}', 'service', folder) for i in range(1, services + 1)
        ]
        flags = [*FLAGS, '--vm-list', self.vms.address, *daemon_flags]
        self.daemons = [
            processes.DaemonProcess(f'vm-{i}', folder, self.store.address, f'hall-{i % 4}', flags)
            for i in range(1, daemons + 1)
        ]
        for daemon in self.daemons:
            daemon.arguments += ['--seeds', ','.join(d.peer for d in self.daemons if d != daemon)]
            if len(self.daemons) == 1:
                daemon.arguments = daemon.arguments[:-2]
        self.schema = self.build_schema()

    @property
    def standins(self) -> list[processes.Standin]:
        """All processes except the daemons."""
        return [self.store, self.vms, *self.engines, *self.services]

    def start(self) -> None:
        """Start everything, apply the schema, and wait until the daemons are ready."""
        self.process_group.add(*self.standins)
        for standin in self.standins:
            processes.wait_for_port(standin.address)
        self.process_group.add(*self.daemons)
        for daemon in self.daemons:
            processes.wait_for_port(daemon.operators)
        self.apply(self.schema, 0)
        for daemon in self.daemons:
            processes.wait_until(daemon.is_ready, f'{daemon.name} ready')
        processes.wait_until(self.is_settled, 'shares settled')

    def is_settled(self) -> bool:
        """Return whether all daemons have settled their shares of an epoch that includes all."""
        for daemon in self.daemons:
            status = daemon.rpc('status')['result']
            alive = [d for d in status['daemons'] if d['alive'] and d['revision']]
            if len(alive) != len(self.daemons) or not status['shares_settled']:
                return False
        return True

    def apply(self, schema: dict[str, Any], base: int, daemon: int = 0) -> Any:
        """Apply a schema through a daemon; return the JSON-RPC response."""
        nonce = hashlib.sha256(json.dumps([schema, base]).encode()).hexdigest()
        return self.daemons[daemon].rpc('apply', document=schema, base=base, nonce=nonce)

    def build_schema(self) -> dict[str, Any]:
        """Return a schema with two model services and a plain one."""
        engine_pool = [
            {
                'name': e.name,
                'address': e.address,
                'events': e.events,
                'replay': e.replay,
                'vm': f'{e.name}-vm',
                'failure_domain': 'hall-a',
            }
            for e in self.engines
        ]
        service_pool = [
            {'name': s.name, 'address': s.address, 'vm': f'{s.name}-vm', 'failure_domain': 'hall-a'}
            for s in self.services
        ]
        return {
            'fleet': 'trial',
            'models': [{'name': MODEL, 'weight_version': 'v1', 'block_tokens': 64}],
            'services': [
                {'name': 'flag', 'model': MODEL, 'pool': 'engines', 'deadline_ms': 20_000},
                {'name': 'draft', 'model': MODEL, 'pool': 'engines', 'repeatable': False},
                {
                    'name': 'ack',
                    'kind': 'plain',
                    'pool': 'services',
                    'paths': [{'path': '/ack', 'repeatable': False}],
                },
            ],
            'accounts': [
                {
                    'name': name,
                    'key_digests': [hashlib.sha256(key.encode()).hexdigest()],
                    'concurrency': 200,
                    'tokens_per_second': 10_000_000,
                }
                for name, key in KEYS.items()
            ],
            'pools': [
                {'name': 'engines', 'upstreams': engine_pool},
                {'name': 'services', 'upstreams': service_pool},
            ],
        }

    def write_schema(self, schema: dict[str, Any] | None = None) -> pathlib.Path:
        """Write a schema file and return its path."""
        path = self.process_group.folder / 'schema.yaml'
        path.write_text(yaml.safe_dump(schema or self.schema, sort_keys=False))
        return path

    def complete(self, daemon: int, prompt: str, tokens: int = 8, **fields: Any) -> Response:
        """Request a streamed completion from a daemon."""
        return complete(self.daemons[daemon].entry, prompt, tokens, **fields)

    def call_service(
        self, daemon: int, key: str = '', path: str = '/ack', method: str = 'POST'
    ) -> Response:
        """Call the plain service through a daemon."""
        headers = make_headers()
        if key:
            headers['Idempotency-Key'] = key
        url = f'http://{self.daemons[daemon].entry}/services/ack{path}'
        body = {'n': 1} if method == 'POST' else None
        return Response(*processes.call(method, url, body, headers))

    def count_runs(self, key: str) -> int:
        """Return how often the plain services ran an idempotency key."""
        return sum(s.get('/_runs').get(key, 0) for s in self.services)


class Response:
    """An HTTP response, with the parsed chunks of a streamed completion."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        lines = [line[6:] for line in body.decode().splitlines() if line.startswith('data: ')]
        self.is_complete = bool(lines) and lines[-1] == '[DONE]'
        self.chunks = [json.loads(line) for line in lines if line != '[DONE]']

    @property
    def text(self) -> str:
        """The concatenated text of all chunks."""
        return ''.join(c['choices'][0]['text'] for c in self.chunks if 'choices' in c)

    @property
    def error(self) -> dict[str, Any]:
        """The error of a refusal or of a broken stream."""
        if self.chunks:
            return self.chunks[-1].get('error', {})
        return json.loads(self.body).get('error', {})

    @property
    def cached(self) -> int:
        """The number of cached tokens in the usage."""
        return self.chunks[-1]['usage']['prompt_tokens_details']['cached_tokens']


def complete(entry: str, prompt: str, tokens: int = 8, **fields: Any) -> Response:
    """Request a streamed completion from an entry address."""
    body = {'model': 'flag', 'prompt': prompt, 'max_tokens': tokens, 'stream': True, **fields}
    url = f'http://{entry}/v1/completions'
    return Response(*processes.call('POST', url, body, make_headers()))


def make_headers(key: str = KEYS['tower']) -> dict[str, str]:
    """Return the request headers of a caller."""
    return {'Authorization': f'Bearer {key}', 'Content-Type': 'application/json'}


@contextlib.contextmanager
def run_fleet(**options: Any) -> Iterator[Fleet]:
    """Yield a started fleet; kill its processes at the end of the context."""
    with processes.run_process_group() as trial:
        fleet = Fleet(trial, **options)
        fleet.start()
        yield fleet
