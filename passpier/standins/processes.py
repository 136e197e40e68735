"""Starts and stops processes of stand-ins and daemons, for the quickstart and tests."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from typing import Any

import yaml

from passpier import clocks

SECRET = 'trial-secret'
FIRST_PORT = 12_000
LAST_PORT = 32_000
STOP_SECONDS = 30.0
START_SECONDS = 30.0


PORT_BLOCK = 100
"""Size of the blocks of ports that a process reserves; parallel test runs need hundreds each."""

_port_claims: list[socket.socket] = []
"""Sockets bound to the first port of each block that this process has reserved, until it exits."""


def _claim_ports() -> Iterator[int]:
    """Yield the ports of one block after the other that no other process has reserved."""
    starts = list(range(FIRST_PORT, LAST_PORT, PORT_BLOCK))
    random.Random(os.getpid()).shuffle(starts)
    for start in starts:
        claim = socket.socket()
        try:
            claim.bind(('127.0.0.1', start))
        except OSError:
            claim.close()
            continue
        _port_claims.append(claim)
        yield from range(start + 1, start + PORT_BLOCK)


_ports = itertools.cycle(_claim_ports())


def pick_port() -> int:
    """Return a port that is free now.

    It is below the system's range of ephemeral ports, since an outgoing connection could otherwise
    take it before it is bound.
    """
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port
    raise RuntimeError('no port is free')


def call(
    method: str,
    url: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of an HTTP call; raises `OSError` without a response."""
    data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


class Process:
    """A process with its log file."""

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = folder / f'{name}.log'
        self.source: str | None = None
        """The checkout whose code it runs; the present one by default."""

        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open('ab') as log:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', *self.arguments], stdout=log, stderr=log, cwd=self.source
            )

    @property
    def popen(self) -> subprocess.Popen[bytes]:
        """The running process."""
        assert self._popen is not None
        return self._popen

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout: float = STOP_SECONDS) -> int:
        """Terminate the process with SIGTERM and return its exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        return self.popen.wait(timeout)

    def read_log(self) -> str:
        """Return the output of the process."""
        return self.log.read_text(errors='replace')

    def list_events(self, event: str) -> list[dict[str, Any]]:
        """Return the JSON log lines with an event."""
        lines = [line for line in self.read_log().splitlines() if line.startswith('{')]
        return [entry for line in lines if (entry := json.loads(line)).get('event') == event]


class Standin(Process):
    """The process of a stand-in with an HTTP port."""

    def __init__(
        self, name: str, module: str, folder: pathlib.Path, arguments: list[str] | None = None
    ) -> None:
        self.port = pick_port()
        self.address = f'127.0.0.1:{self.port}'
        flags = [f'passpier.standins.{module}', '--port', str(self.port), *(arguments or [])]
        super().__init__(name, flags, folder)

    def set_faults(self, **faults: Any) -> None:
        """Set fault switches."""
        call('POST', f'http://{self.address}/faults', faults)

    def get(self, path: str) -> Any:
        """Return the JSON response of a path."""
        return json.loads(call('GET', f'http://{self.address}{path}')[2])

    def post(self, path: str, body: Any) -> Any:
        """Post JSON to a path and return the JSON response."""
        return json.loads(call('POST', f'http://{self.address}{path}', body)[2])


class EngineProcess(Standin):
    """The process of a stand-in engine."""

    def __init__(self, name: str, folder: pathlib.Path, arguments: list[str] | None = None) -> None:
        self.events = f'127.0.0.1:{pick_port()}'
        self.replay = f'127.0.0.1:{pick_port()}'
        ports = [
            '--events-port',
            self.events.rpartition(':')[2],
            '--replay-port',
            self.replay.rpartition(':')[2],
        ]
        super().__init__(name, 'engine', folder, [*ports, *(arguments or [])])

    def get_counters(self) -> Any:
        """Return the counters of the engine."""
        return self.get('/_counters')


class DaemonProcess(Process):
    """A `passpierd` process."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        domain: str = 'a',
        arguments: list[str] | None = None,
    ) -> None:
        self.entry = f'127.0.0.1:{pick_port()}'
        self.operators = f'127.0.0.1:{pick_port()}'
        self.peer = f'127.0.0.1:{pick_port()}'
        flags = [
            *('--name', name),
            *('--store', store),
            *('--failure-domain', domain),
            *('--operator-secret', SECRET),
            *('--caller-port', self.entry.rpartition(':')[2]),
            *('--operator-port', self.operators.rpartition(':')[2]),
            *('--peer-port', self.peer.rpartition(':')[2]),
        ]
        super().__init__(name, ['passpier.daemon.main', *flags, *(arguments or [])], folder)

    def rpc(self, method: str, **parameters: Any) -> Any:
        """Call a procedure of the operators' API; return the complete JSON-RPC response."""
        body = {'jsonrpc': '2.0', 'id': 1, 'method': method, 'params': parameters}
        headers = {'Authorization': f'Bearer {SECRET}'}
        return json.loads(call('POST', f'http://{self.operators}/rpc', body, headers)[2])

    def is_ready(self) -> bool:
        """Return whether the daemon has a configuration and is ready to serve."""
        try:
            return call('GET', f'http://{self.entry}/readyz', timeout=2)[0] == 200
        except OSError:
            return False


class ProcessGroup:
    """A group of processes that are killed together."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[Process] = []

    def add(self, *added: Process) -> None:
        """Start processes and add them to the group."""
        for process in added:
            self.processes.append(process)
            process.start()

    def stop(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.kill()


@contextlib.contextmanager
def run_process_group() -> Iterator[ProcessGroup]:
    """Yield a trial; kill its processes at the end of the context."""
    with tempfile.TemporaryDirectory(prefix='passpier-') as folder:
        trial = ProcessGroup(pathlib.Path(folder))
        try:
            yield trial
        finally:
            trial.stop()


def wait_until(condition: Any, what: str, timeout: float = START_SECONDS) -> None:
    """Wait until `condition()` is true; raises `TimeoutError`."""
    end = clocks.now() + timeout
    while clocks.now() < end:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(0.02)
    raise TimeoutError(f'{what}: not within {timeout} s')


def wait_for_port(address: str) -> None:
    """Wait until a process listens at an address."""
    host, _, port = address.rpartition(':')

    def connect() -> bool:
        with socket.create_connection((host, int(port)), timeout=1):
            return True

    wait_until(connect, f'{address} listens')


def write_schema(
    folder: pathlib.Path, example: str, addresses: dict[str, dict[str, Any]]
) -> pathlib.Path:
    """Write an example schema file with the fields of upstreams replaced, by upstream name."""
    document = yaml.safe_load(pathlib.Path(example).read_text())
    for pool in document['pools']:
        for upstream in pool['upstreams']:
            upstream.update(addresses.get(upstream['name'], {}))
    path = folder / 'schema.yaml'
    path.write_text(yaml.safe_dump(document, sort_keys=False))
    return path


def run_cli(daemon: DaemonProcess, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the `passpier` command against a daemon."""
    environment = {
        **os.environ,
        'PASSPIER_DAEMON': daemon.operators,
        'PASSPIER_OPERATOR_SECRET': SECRET,
        'PAGER': 'cat',
    }
    return subprocess.run(
        [sys.executable, '-m', 'passpier.commands.main', *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
