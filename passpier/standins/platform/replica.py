"""Stand-in for a service replica: runs requests, streams, accepts orders; with fault injection."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import math
import socket
import struct
import time
import weakref
from collections.abc import Callable
from typing import Any

import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web

from passpier import clocks
from passpier.platform import names

EVENT_PAUSE = 0.005
"""Seconds between two events of a stream."""


WORK_SECONDS = 'X-Standin-Seconds'
"""Header in which a client sets how many seconds of work a request takes."""

SOFTWARE_FIELD = 'software'
"""Field of an event with the version of its replica's software; readers ignore unknown ones."""

CRASH_AFTER = 0.02
"""Seconds between the start of a run that crashes its replica and the crash."""

SCRIPT_PAUSE = 0.002
"""Seconds between two parts of a script, so that they arrive apart."""

WORK_SLICE = 0.1
"""Seconds of work after which `Replica.slowdown` is read again."""


def read_unix_ms() -> int:
    """Return the Unix time in milliseconds, the unit in which replicas report their start."""
    return time.time_ns() // 1_000_000


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults of a replica; a count is the number of coming requests that are affected."""

    refuse: int = 0
    """Refused as full, not run."""

    repeat: int = 0
    """Refusals that are repeated where the next answer on their connection is expected."""

    fail: int = 0
    """Run, then answered with 500."""

    lose: int = 0
    """Run, then the connection is reset without a response."""

    cut: int = 0
    """Streams that are reset in the middle of their second event."""

    swap: int = 0
    """Answered with another request's id."""

    silent: bool = False
    """Accepts requests and never answers them."""

    unreachable: bool = False
    """Leaves every call unanswered, load reports included."""

    lie: int = 0
    """Run, then answered with 503, without the header that marks a request as not run."""

    ignore_order: int = 0
    """Orders that are accepted and have no effect."""

    late_refusal: float = 0.0
    """Seconds after which every request is refused as not run; 0 refuses none."""

    limit: float | None = None
    """Requests a second that it accepts from all routers together, sent in each response."""

    backoff: float = 0.0
    """Every request is refused as not run with this `Retry-After` in seconds; 0 refuses none."""

    brittle: int | None = None
    """Requests a second that it can refuse for want of room; one more crashes it. Sent in each
    response."""

    endless: tuple[bytes, bytes] | None = None
    """Every call gets the first of these in place of a response, then the second without end."""

    partial: bytes | None = None
    """Every request gets these bytes in place of a response, and the connection is closed."""

    scripts: list[list[bytes]] = dataclasses.field(default_factory=list)
    """Each coming request gets the bytes of the next script, one part after the other, in place of
    a response, and the connection is closed. Replicas may share one list."""

    unframed: bool = False
    """Whether streams have neither a length nor chunks, and end with their connection."""

    leaves: bool = False
    """Whether each response says that the replica is leaving; does not change its entry."""

    @property
    def sends_signals(self) -> bool:
        """Whether responses carry a limit, a backoff or the leaving flag."""
        return self.limit is not None or bool(self.backoff) or self.leaves


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a replica started to execute."""

    id: str
    account: str
    salt: str
    version: int
    after: str
    time_left_ms: int
    at: float = 0.0
    source: str = ''
    """The address that it may fetch cached parts from."""

    ended: float = math.inf
    """When the run ended, or its caller's disconnect was noticed."""

    def end(self) -> None:
        """Record that the run is over."""
        self.ended = min(self.ended, clocks.now())


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a replica; `process_number` is the number of the replica's process."""

    id: str
    at: float
    process_number: int = 1
    time_left: float = math.inf
    """The seconds that it is given for the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackpressureSignal:
    """A backpressure signal in a response: a limit, the leaving flag or a backoff."""

    id: str
    at: float
    process_number: int
    limit: float | None = None
    leaving: bool = False
    backoff: float = 0.0


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica's state; `model` is empty for plain services."""

    id: str
    service: str
    zone: str
    model: str = ''
    version: int = 1
    software: str = 'v1'
    """Version of its software."""

    tells_software: bool = False
    """Whether each event of a stream has a line with the version of its software."""

    slots: int = 16
    work_seconds: float = 0.01
    event_count: int = 5
    event_bytes: int = 0
    """Spaces that are appended to each event of a stream."""

    slowdown: float = 1.0
    """Factor by which work takes longer, including work in progress."""

    load_seconds: float = 0.2
    """Seconds that loading new weights takes."""

    event_pause: float = EVENT_PAUSE
    """Seconds between two events of a stream."""

    address: str = ''
    """Address under which it is recorded: its own or that of a proxy."""

    port: int = 0
    """Port that it listens on; the same after a restart."""

    state: str = 'ready'
    started_ms: int = dataclasses.field(default_factory=read_unix_ms)
    """Start of the current process in Unix milliseconds."""

    process_number: int = 1
    """Number of the current process, increased by each crash."""

    active: int = 0
    orders: int = 0
    """Orders that the current process has accepted."""

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    """Requests that were received, run or not."""

    signals: list[BackpressureSignal] = dataclasses.field(default_factory=list)
    """Backpressure signals that were sent."""

    misdirected: int = 0
    """Requests that expected another instance or other weights."""

    report_count: int = 0
    """Reports that it has been asked for."""

    loading: bool = False
    runs: list[Run] = dataclasses.field(default_factory=list)
    finished: list[str] = dataclasses.field(default_factory=list)
    """Requests that were answered completely."""

    abandoned: list[str] = dataclasses.field(default_factory=list)
    """Requests whose caller disconnected."""

    abandoned_at: dict[str, float] = dataclasses.field(default_factory=dict)
    """When the disconnect of the caller was noticed, by request id."""

    worked_until: dict[str, float] = dataclasses.field(default_factory=dict)
    """When the work on each request ended or its caller disconnected."""

    aborted: set[str] = dataclasses.field(default_factory=set)
    """Requests whose connections the replica itself closed."""

    accepted_orders: list[tuple[float, dict[str, object]]] = dataclasses.field(default_factory=list)
    """Accepted orders with the times at which they arrived."""

    cache_events: list[list[object]] = dataclasses.field(default_factory=list)
    """Prompt parts cached by the current process: number, sign, salt, part, tokens and model."""

    endless_bytes: int = 0
    """Bytes of responses without end that callers have taken."""

    faults: Faults = dataclasses.field(default_factory=Faults)
    refused_at: list[float] = dataclasses.field(default_factory=list)
    """When it refused requests for want of room."""

    falls: list[float] = dataclasses.field(default_factory=list)
    """When it crashed because it had to refuse too many."""

    crash_body: bytes = b''
    """Body of requests that crash each process that runs them; no request does if it is empty."""

    crash_part: str = ''
    """Part of prompts that crashes each process that begins to respond to it; none if empty."""

    on_crash: Callable[[], object] = lambda: None
    """Called after such a request has crashed the replica."""

    crashed_by: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    """Requests that have crashed the replica, with the times of the crashes."""

    server: Server | None = dataclasses.field(default=None, repr=False)

    @property
    def arrival_count(self) -> int:
        """Number of requests that were received, run or not."""
        return len(self.arrivals)

    def listen(self) -> None:
        """Accept connections on the replica's port, which is the same after a restart."""
        sockets = tornado.netutil.bind_sockets(self.port, '127.0.0.1')
        self.server = Server(build_application(self))
        self.server.add_sockets(sockets)

    @property
    def has_announced_leaving(self) -> bool:
        """Whether the current process has said in a response that it is leaving."""
        return any(s.leaving and s.process_number == self.process_number for s in self.signals)

    def crash(self, resets: bool = True) -> None:
        """End the current process: reset its connections and discard its state.

        The kernel closes a connection in order instead if the process had read all that arrived.
        """
        self.process_number += 1
        for run in self.runs:
            run.end()
        self.active = 0
        self.orders = 0
        self.loading = False
        self.cache_events.clear()
        if self.server is not None:
            self.server.stop()
            self.server.close_all(_reset if resets else tornado.iostream.IOStream.close)
            self.server = None

    def restart(
        self, version: int | None = None, born: int | None = None, software: str | None = None
    ) -> None:
        """Start a new process under the same id.

        The new process has the weights `version` and the software version `software`, by default
        those of the previous one. A `born` before that of the previous process simulates a clock
        that was set back.
        """
        if self.server is not None:
            self.crash()
        self.started_ms = max(read_unix_ms(), self.started_ms + 1) if born is None else born
        self.state = 'ready'
        if version is not None:
            self.version = version
        if software is not None:
            self.software = software
        self.listen()

    def build_successor(self, id: str) -> Replica:
        """Return a replica like this one under another id, yet to be started."""
        return Replica(
            id,
            self.service,
            self.zone,
            self.model,
            self.version,
            self.software,
            self.tells_software,
            event_count=self.event_count,
            event_pause=self.event_pause,
        )

    def cache_prompt(self, salt: str, parts: str) -> None:
        """Add to the cache the parts of a prompt that it does not hold yet."""
        kept = {(event[2], event[3]) for event in self.cache_events}
        for item in filter(None, parts.split(',')):
            part, _, tokens = item.partition(':')
            if (salt, part) not in kept:
                number = len(self.cache_events) + 1
                self.cache_events.append([number, '+', salt, part, int(tokens), self.model])

    def render_entry(self) -> dict[str, object]:
        """Return the entry with which the replica registers."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.software,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'models': [{'name': self.model, 'version': self.version}] if self.model else [],
            'sequence': 1,
            'born': self.started_ms,
        }


class Server(tornado.httpserver.HTTPServer):
    """An HTTP server that can close all its connections at once, as a crash of its process does."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server; tornado calls this in place of a constructor."""
        super().initialize(*args, **kwargs)
        self._streams: weakref.WeakSet[tornado.iostream.IOStream] = weakref.WeakSet()

    def handle_stream(self, stream: tornado.iostream.IOStream, address: Any) -> None:
        """Serve a new connection."""
        self._streams.add(stream)
        super().handle_stream(stream, address)

    def close_all(self, close: Callable[[tornado.iostream.IOStream], None]) -> None:
        """Close all open connections with the given function."""
        for stream in list(self._streams):
            if not stream.closed():
                close(stream)


def _reset(stream: tornado.iostream.IOStream) -> None:
    """Close a connection with a TCP reset."""
    linger = struct.pack('ii', 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()


class _Handler(tornado.web.RequestHandler):
    def initialize(self, replica: Replica) -> None:
        self.replica = replica
        self._life = replica.process_number
        self._run_record: Run | None = None
        """The run of the request, once it has started."""

    async def prepare(self) -> None:
        while self.replica.faults.unreachable:
            await self.pause(0.01)
        if self.replica.faults.endless is not None:
            await self._send_endless(*self.replica.faults.endless)
        if self.replica.faults.partial is not None and self.id:
            await self._send_script([self.replica.faults.partial])
        if self.replica.faults.scripts and self.id:
            await self._send_script(self.replica.faults.scripts.pop(0))

    def _record_arrival(self) -> None:
        deadline = self.request.headers.get(names.DEADLINE)
        time_left = math.inf if deadline is None else int(deadline) / 1000
        self.replica.arrivals.append(Arrival(self.id, clocks.now(), self._life, time_left))

    async def _send_script(self, parts: list[bytes]) -> None:
        """Send bytes and close the connection in order."""
        self._record_arrival()
        stream = self.detach()
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            for part in parts:
                await stream.write(part)
                await asyncio.sleep(SCRIPT_PAUSE)
        stream.close()
        raise tornado.web.Finish

    async def _send_endless(self, first: bytes, more: bytes) -> None:
        """Send bytes until the caller closes the connection."""
        if self.id:
            self._record_arrival()
        stream = self.detach()
        with contextlib.suppress(tornado.iostream.StreamClosedError):
            await stream.write(first)
            while True:
                await stream.write(more)
                self.replica.endless_bytes += len(more)
        raise tornado.web.Finish

    def flush(self, include_footers: bool = False) -> asyncio.Future[None]:
        """Add the current backpressure signals to the response head."""
        if not self._headers_written:
            self._add_signals()
        return super().flush(include_footers)

    def _add_signals(self) -> None:
        faults = self.replica.faults
        if faults.limit is not None:
            self.set_header(names.RATE_LIMIT, str(faults.limit))
        if faults.brittle is not None:
            self.set_header(names.BRITTLE, str(faults.brittle))
        if faults.leaves:
            self.set_header(names.LEAVING, '1')
        backoff = float(self._headers.get('Retry-After', 0.0))
        if self.id and (faults.limit is not None or faults.leaves or backoff):
            said = BackpressureSignal(
                self.id, clocks.now(), self._life, faults.limit, faults.leaves, backoff
            )
            self.replica.signals.append(said)

    @property
    def is_alive(self) -> bool:
        """Whether the process that received the request is still running."""
        return self._life == self.replica.process_number

    async def pause(self, seconds: float) -> None:
        """Sleep; abort the request if its process has crashed meanwhile."""
        await asyncio.sleep(seconds)
        if not self.is_alive:
            self.replica.aborted.add(self.id)
            raise tornado.web.Finish

    async def simulate_work(self, seconds: float) -> None:
        """Spend `seconds` of work, which takes longer while the replica is slowed down."""
        while seconds > 0:
            await self.pause(min(seconds, WORK_SLICE) * self.replica.slowdown)
            seconds -= WORK_SLICE

    @property
    def id(self) -> str:
        """The id of the request; empty if it does not come from a client."""
        return self.request.headers.get(names.REQUEST_ID, '')

    def is_misdirected(self) -> bool:
        expected = self.request.headers.get(names.EXPECT_INCARNATION, self.replica.id)
        return expected != self.replica.id

    def take_fault(self, fault: str) -> bool:
        left = getattr(self.replica.faults, fault)
        if left:
            setattr(self.replica.faults, fault, left - 1)
        return bool(left)

    def reset(self) -> None:
        self.replica.aborted.add(self.id)
        _reset(self.request.connection.stream)  # type: ignore[union-attr]
        raise tornado.web.Finish


class _Report(_Handler):
    def get(self) -> None:
        replica = self.replica
        replica.report_count += 1
        models = [{'name': replica.model, 'version': replica.version, 'adapters': []}]
        self.write(
            {
                'stage': 'both',
                'models': models,
                'utilization': replica.loading,
                'sequence': replica.orders,
                'queued': 0,
                'active': replica.active,
                'born': replica.started_ms,
            }
        )


class _CacheEvents(_Handler):
    def get(self) -> None:
        replica = self.replica
        since = int(self.get_argument('since', '0'))
        self.write(
            {
                'boot_epoch': replica.started_ms,
                'next_token': len(replica.cache_events) + 1,
                'lost': False,
                'events': replica.cache_events[max(0, since - 1) :],
                'born': replica.started_ms,
            }
        )


class _Order(_Handler):
    def post(self) -> None:
        replica = self.replica
        body = json.loads(self.request.body)
        if self.is_misdirected():
            self.set_status(421)
        elif replica.loading or body.get('expected_revision', replica.orders) != replica.orders:
            self.set_status(409)
        elif replica.version == body['version']:
            self.set_status(200)
        else:
            replica.accepted_orders.append((clocks.now(), body))
            replica.orders += 1
            self.set_status(202)
            if not self.take_fault('ignore_order'):
                replica.loading = True
                loop = asyncio.get_running_loop()
                loop.call_later(replica.load_seconds, self._finish_load, body['version'])

    def _finish_load(self, version: int) -> None:
        if not self.is_alive:
            return
        self.replica.version = version
        self.replica.loading = False


class _Request(_Handler):
    """Handles client requests, on every other path."""

    async def get(self) -> None:
        """Run the request or refuse it."""
        self.set_header(names.REQUEST_ID, self.request.headers.get(names.REQUEST_ID, ''))
        replica = self.replica
        self._record_arrival()
        await self._repeat_refusal()
        wanted = self.request.headers.get(names.EXPECT_VERSION, str(replica.version))
        if self.is_misdirected() or (replica.model and wanted != str(replica.version)):
            replica.misdirected += 1
            self.set_header(names.INCARNATION, replica.id)
            self.set_status(421)
            return
        if replica.faults.late_refusal:
            await self.pause(replica.faults.late_refusal)
            self.set_header(names.NOT_EXECUTED, '1')
            self.set_status(503)
            return
        if replica.faults.backoff:
            self.set_header(names.NOT_EXECUTED, '1')
            self.set_header('Retry-After', str(replica.faults.backoff))
            self.set_status(503)
            return
        full = replica.active >= replica.slots or replica.loading
        if full and self._falls_over():
            raise tornado.web.Finish
        if full or self.take_fault('refuse'):
            self.set_header(names.NOT_EXECUTED, '1')
            self.set_status(503)
            if self.take_fault('repeat'):
                self._get_stream().repeated = self.id
            return
        await self._run()

    post = get

    def _get_stream(self) -> Any:
        return self.request.connection.stream  # type: ignore[union-attr]

    async def _repeat_refusal(self) -> None:
        """Send the refusal of an earlier request on this connection once more."""
        stream = self._get_stream()
        id, stream.repeated = getattr(stream, 'repeated', ''), ''
        if id:
            head = f'HTTP/1.1 503 Full\r\n{names.REQUEST_ID}: {id}\r\n{names.NOT_EXECUTED}: 1\r\n'
            await stream.write(f'{head}Content-Length: 0\r\n\r\n'.encode())

    def _falls_over(self) -> bool:
        """Count a refusal for want of room; return whether a brittle replica crashes by it."""
        replica = self.replica
        now = clocks.now()
        replica.refused_at.append(now)
        recent = sum(at > now - 1.0 for at in replica.refused_at)
        if replica.faults.brittle is None or recent <= replica.faults.brittle:
            return False
        replica.falls.append(now)
        replica.crash()
        replica.on_crash()
        return True

    async def _run(self) -> None:
        replica = self.replica
        headers = self.request.headers
        id = headers[names.REQUEST_ID]
        run = self._run_record = Run(
            id,
            headers.get(names.ACCOUNT, ''),
            headers.get(names.SALT, ''),
            replica.version,
            headers.get(names.LAST_EVENT_ID, ''),
            int(headers[names.DEADLINE]),
            clocks.now(),
            headers.get(names.CACHE_SOURCE, ''),
        )
        replica.runs.append(run)
        if replica.crash_body and self.request.body == replica.crash_body:
            await self._crash_replica(id)
        replica.active += 1
        self._extra_seconds = float(headers.get(WORK_SECONDS, '0'))
        try:
            while replica.faults.silent:
                await self.pause(0.01)
            await self.simulate_work(
                replica.work_seconds + (0.0 if replica.model else self._extra_seconds)
            )
            await self._answer(id)
        finally:
            run.end()
            replica.worked_until.setdefault(id, clocks.now())
            if self.is_alive:
                replica.active -= 1

    def _has_crash_part(self) -> bool:
        parts = self.request.headers.get(names.PREFIX_HASHES, '').split(',')
        return bool(self.replica.crash_part) and any(
            part.strip().partition(':')[0] == self.replica.crash_part for part in parts
        )

    async def _crash_replica(self, id: str) -> None:
        await self.pause(CRASH_AFTER)
        self.replica.crashed_by.append((id, clocks.now()))
        self.replica.crash()
        self.replica.on_crash()
        raise tornado.web.Finish

    def on_connection_close(self) -> None:
        """Record the request as abandoned by its caller."""
        if not self.is_alive:
            return
        if self._run_record is not None:
            self._run_record.end()
        id = self.id
        now = clocks.now()
        self.replica.abandoned.append(id)
        self.replica.abandoned_at.setdefault(id, now)
        self.replica.worked_until.setdefault(id, now)

    async def _answer(self, id: str) -> None:
        if self.take_fault('lose'):
            self.reset()
        if self.take_fault('lie'):
            self.set_status(503)
            return
        self.set_header(names.SERVER_STAMP, f'{self.replica.id}.{id}')
        if self.take_fault('swap'):
            self.set_header(names.REQUEST_ID, 'of-somebody-else')
        if self.take_fault('fail'):
            self.set_status(500)
            self.write('failed')
            return
        if not self.replica.model:
            self.write(f'{self.request.method} {self.request.uri} {len(self.request.body)}')
            self.replica.finished.append(id)
            return
        await self._stream(id)

    async def _stream(self, id: str) -> None:
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header(names.WEIGHT_VERSION, str(self.replica.version))
        salt = self.request.headers.get(names.SALT, '')
        self.replica.cache_prompt(salt, self.request.headers.get(names.PREFIX_HASHES, ''))
        first = int(self.request.headers.get(names.LAST_EVENT_ID) or -1) + 1
        if self.replica.faults.unframed:
            await self._stream_unframed(first)
            return
        cut = self.take_fault('cut')
        pause = self.replica.event_pause + self._extra_seconds / self.replica.event_count
        for number in range(first, self.replica.event_count):
            if cut and number == first + 1:
                self.write(f'id: {number}\nda')
                await self.flush()
                await self.pause(self.replica.event_pause)
                self.reset()
            padding = ' ' * self.replica.event_bytes
            self.write(f'id: {number}\n{self._render_software()}data: piece {number}{padding}\n\n')
            await self.flush()
            if self._has_crash_part():
                await self._crash_replica(self.id)
            await self.simulate_work(pause)
        self.replica.finished.append(id)

    def _render_software(self) -> str:
        """Return the line of an event that tells the version of the software."""
        if not self.replica.tells_software:
            return ''
        return f'{SOFTWARE_FIELD}: {self.replica.software}\n'

    async def _stream_unframed(self, first: int) -> None:
        """Send a stream whose end is that of its connection, also if the replica crashes."""
        self._auto_finish = False
        fields = [f'{name}: {value}' for name, value in self._headers.get_all()]
        stream = self.detach()
        await stream.write('\r\n'.join(['HTTP/1.1 200 OK', *fields, '', '']).encode())
        for number in range(first, self.replica.event_count):
            if self._has_crash_part():
                await stream.write(f'id: {number}\nda'.encode())
                stream.close()
                await self._crash_replica(self.id)
            await stream.write(f'id: {number}\ndata: piece {number}\n\n'.encode())
            await self.simulate_work(self.replica.event_pause)
        self.replica.finished.append(self.id)
        stream.close()


def build_application(replica: Replica) -> tornado.web.Application:
    """Return the replica's HTTP application."""
    state = {'replica': replica}
    return tornado.web.Application(
        [
            (names.REPORT_PATH, _Report, state),
            (names.ORDER_PATH, _Order, state),
            (names.CACHE_EVENTS_PATH, _CacheEvents, state),
            ('/.*', _Request, state),
        ]
    )
