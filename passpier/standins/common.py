"""What the stand-ins share: fault switches and the start of a small HTTP process."""

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
    """Faults that an HTTP call to `/faults` switches; delays in seconds."""

    drop: bool = False
    delay: float = 0.0
    lose_answer: int = 0
    frozen: bool = False
    refuse: bool = False
    options: dict[str, Any] = dataclasses.field(default_factory=dict)


class Handler(tornado.web.RequestHandler):
    """Base handler: applies the faults that hold for every call."""

    faults: Faults

    def initialize(self, faults: Faults, **state: Any) -> None:
        """Keep the shared state."""
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
            self.cut()

    def cut(self) -> None:
        """Close the connection without an answer."""
        self.request.connection.stream.close()  # type: ignore[union-attr]
        raise tornado.web.Finish

    def cut_if_answer_is_lost(self) -> None:
        """Close the connection after the effect, while such a fault is set."""
        if self.faults.lose_answer:
            self.faults.lose_answer -= 1
            self.cut()

    def get_body(self) -> dict[str, Any]:
        """Return the JSON body."""
        return json.loads(self.request.body or b'{}')


class FaultsHandler(tornado.web.RequestHandler):
    """Sets and shows the fault switches."""

    def initialize(self, faults: Faults) -> None:
        """Keep the shared switches."""
        self.faults = faults

    def post(self) -> None:
        """Set the named switches; unknown ones are kept as options."""
        for name, value in json.loads(self.request.body).items():
            if name in {f.name for f in dataclasses.fields(Faults)}:
                setattr(self.faults, name, value)
            else:
                self.faults.options[name] = value
        self.write(dataclasses.asdict(self.faults))


def build_parser(name: str) -> argparse.ArgumentParser:
    """Return a parser with the flags that all stand-ins share."""
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--ip', default='127.0.0.1')
    return parser


async def serve(routes: list[Any], faults: Faults, port: int, ip: str) -> None:
    """Serve until SIGTERM; print the port as the first line."""
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
