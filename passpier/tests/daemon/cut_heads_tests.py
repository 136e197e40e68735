"""Upstreams that stop within the head of a response and close: no caller may get a success."""

from __future__ import annotations

import collections
import socketserver
import threading
from collections.abc import Iterator
from typing import cast

import pytest

from passpier.standins import fleets, processes

CUT_STEP = 7
"""Bytes from one cut to the next."""

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n'


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    length = 0
    """How much of the head it sends."""

    def __init__(self) -> None:
        super().__init__(('127.0.0.1', 0), _Handler)
        self.paths: collections.Counter[str] = collections.Counter()

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self.server_address[1]}'


class _Handler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        """Read the head of a request, send a part of a response's, and close."""
        server = cast(_Server, self.server)
        start = self.rfile.readline().split()
        if not start:
            return
        server.paths[start[1].decode()] += 1
        while self.rfile.readline().strip():
            pass
        self.wfile.write(HEAD[: server.length])


@pytest.fixture(scope='module')
def upstream() -> Iterator[_Server]:
    with _Server() as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield server
        server.shutdown()


# Guards against successes with an empty body when an upstream stops within its response's head.
def test_head_that_is_cut_is_never_a_success(upstream: _Server) -> None:
    with processes.run_process_group() as trial:
        fleet = fleets.Fleet(trial, daemons=1)
        for pool in fleet.schema['pools']:
            for entry in pool['upstreams']:
                entry['address'] = upstream.address
        fleet.start()
        successes = []
        for length in range(len(HEAD) - 1, -1, -CUT_STEP):
            upstream.length = length
            if fleet.call_service(0, key=f'key {length}').status < 300:
                successes.append(HEAD[:length])
            if fleet.complete(0, f'prompt {length}').is_complete:
                successes.append(HEAD[:length])
        assert successes == []
        for path in ('/ack', '/v1/completions'):
            assert upstream.paths[path] >= len(HEAD) // CUT_STEP
        upstream.length = len(HEAD)
        assert fleet.call_service(0, key='whole').status == 200
