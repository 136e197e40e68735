"""Shared parts of the stand-ins: fault switches and a small HTTP server process."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import logging
import signal
from typing import Any

import tornado.httpserver
import tornado.netutil
import tornado.web


@dataclasses.dataclass
class Faults:
    """Faults that are set by an HTTP call to `/faults`."""

    drop: bool = False
    """Close the connection of every call without a response."""

    delay: float = 0.0
    """Seconds by which every call is delayed."""

    lose_answer: int = 0
    """Number of calls that take effect but get no response."""

    frozen: bool = False
    """Hold every call until the fault is cleared."""

    refuse: bool = False
    """Refuse requests as not run."""

    options: dict[str, Any] = dataclasses.field(default_factory=dict)
    """Further switches of a single stand-in."""


class Handler(tornado.web.RequestHandler):
    """Base handler, which applies the faults that are common to all calls."""

    faults: Faults

    def initialize(self, faults: Faults, **state: Any) -> None:
        """Store the shared state as attributes."""
        self.faults = faults
        for name, value in state.items():
            setattr(self, name, value)

    async def prepare(self) -> None:
        """Drop, delay or hold the call."""
        while self.faults.frozen:
            await asyncio.sleep(0.01)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.drop:
            self.drop_connection()

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        self.request.connection.stream.close()  # type: ignore[union-attr]
        raise tornado.web.Finish

    def drop_lost_answer(self) -> None:
        """Close the connection if the response is to be lost; called after the effect."""
        if self.faults.lose_answer:
            self.faults.lose_answer -= 1
            self.drop_connection()

    def get_body(self) -> dict[str, Any]:
        """Return the JSON body."""
        return json.loads(self.request.body or b'{}')


class FaultsHandler(tornado.web.RequestHandler):
    """Sets and shows the fault switches."""

    def initialize(self, faults: Faults) -> None:
        """Store the shared switches."""
        self.faults = faults

    def post(self) -> None:
        """Set switches from the JSON body; unknown names become options."""
        for name, value in json.loads(self.request.body).items():
            if name in {f.name for f in dataclasses.fields(Faults)}:
                setattr(self.faults, name, value)
            else:
                self.faults.options[name] = value
        self.write(dataclasses.asdict(self.faults))


def build_parser(name: str) -> argparse.ArgumentParser:
    """Return a parser with the flags common to all stand-ins."""
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--ip', default='127.0.0.1')
    return parser


async def serve(routes: list[Any], faults: Faults, port: int, ip: str) -> None:
    """Serve until SIGTERM or SIGINT; print the port as the first line."""
    logging.getLogger('tornado.access').setLevel(logging.ERROR)
    application = tornado.web.Application([('/faults', FaultsHandler, {'faults': faults}), *routes])
    sockets = tornado.netutil.bind_sockets(port, ip)
    server = tornado.httpserver.HTTPServer(application, max_buffer_size=64 * 1024 * 1024)
    server.add_sockets(sockets)
    print(sockets[0].getsockname()[1], flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    server.stop()
