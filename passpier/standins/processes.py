"""Starts and ends the processes of a trial: stand-ins and daemons, by the quickstart and tests."""

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
"""Ports that one process takes from at a time; test runs beside each other take hundreds each."""

_claims: list[socket.socket] = []
"""Sockets at the first ports of the blocks that this process takes from, bound until it ends."""


def _claim_ports() -> Iterator[int]:
    """Yield the ports of one block after the other that no other process takes from."""
    starts = list(range(FIRST_PORT, LAST_PORT, PORT_BLOCK))
    random.Random(os.getpid()).shuffle(starts)
    for start in starts:
        claim = socket.socket()
        try:
            claim.bind(('127.0.0.1', start))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        yield from range(start + 1, start + PORT_BLOCK)


_ports = itertools.cycle(_claim_ports())


def pick_port() -> int:
    """Return a port that is free now.

    It lies below the range from which the system takes ports for outgoing connections, as one of
    those could otherwise take it before it is bound.
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
    """Return status, headers and body of an HTTP call; raises `OSError` without an answer."""
    data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


class Process:
    """One process with its log file."""

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = folder / f'{name}.log'
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open('ab') as log:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', *self.arguments], stdout=log, stderr=log
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
        """End the process at once."""
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout: float = STOP_SECONDS) -> int:
        """Ask the process to stop and return its exit code."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        return self.popen.wait(timeout)

    def read_log(self) -> str:
        """Return what the process has written."""
        return self.log.read_text(errors='replace')

    def list_events(self, event: str) -> list[dict[str, Any]]:
        """Return the JSON log lines of one event."""
        lines = [line for line in self.read_log().splitlines() if line.startswith('{')]
        return [entry for line in lines if (entry := json.loads(line)).get('event') == event]


class Standin(Process):
    """A stand-in with an HTTP port."""

    def __init__(
        self, name: str, module: str, folder: pathlib.Path, arguments: list[str] | None = None
    ) -> None:
        self.port = pick_port()
        self.address = f'127.0.0.1:{self.port}'
        flags = [f'passpier.standins.{module}', '--port', str(self.port), *(arguments or [])]
        super().__init__(name, flags, folder)

    def set_faults(self, **faults: Any) -> None:
        """Switch faults."""
        call('POST', f'http://{self.address}/faults', faults)

    def get(self, path: str) -> Any:
        """Return the JSON answer of a path."""
        return json.loads(call('GET', f'http://{self.address}{path}')[2])

    def post(self, path: str, body: Any) -> Any:
        """Post JSON to a path."""
        return json.loads(call('POST', f'http://{self.address}{path}', body)[2])


class EngineProcess(Standin):
    """A stand-in engine."""

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
        """Return the engine's own counts."""
        return self.get('/_counters')


class DaemonProcess(Process):
    """A `passpierd`."""

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
        """Call an operators' procedure; returns the whole JSON-RPC answer."""
        body = {'jsonrpc': '2.0', 'id': 1, 'method': method, 'params': parameters}
        headers = {'Authorization': f'Bearer {SECRET}'}
        return json.loads(call('POST', f'http://{self.operators}/rpc', body, headers)[2])

    def is_ready(self) -> bool:
        """Return whether the daemon serves with a configuration."""
        try:
            return call('GET', f'http://{self.entry}/readyz', timeout=2)[0] == 200
        except OSError:
            return False


class Trial:
    """Processes that start and end together."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[Process] = []

    def add(self, *added: Process) -> None:
        """Start processes."""
        for process in added:
            self.processes.append(process)
            process.start()

    def stop(self) -> None:
        """End whatever still runs."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.kill()


@contextlib.contextmanager
def run_trial() -> Iterator[Trial]:
    """Yield a trial whose processes are ended afterwards."""
    with tempfile.TemporaryDirectory(prefix='passpier-') as folder:
        trial = Trial(pathlib.Path(folder))
        try:
            yield trial
        finally:
            trial.stop()


def wait_until(condition: Any, what: str, timeout: float = START_SECONDS) -> None:
    """Return once `condition()` is true; raises `TimeoutError`."""
    end = clocks.now() + timeout
    while clocks.now() < end:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(0.02)
    raise TimeoutError(f'{what}: not within {timeout} s')


def wait_for_port(address: str) -> None:
    """Return once something listens at an address."""
    host, _, port = address.rpartition(':')

    def connect() -> bool:
        with socket.create_connection((host, int(port)), timeout=1):
            return True

    wait_until(connect, f'{address} listens')


def write_schema(
    folder: pathlib.Path, example: str, addresses: dict[str, dict[str, Any]]
) -> pathlib.Path:
    """Write an example schema file with other upstream addresses, by upstream name."""
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
