"""A TCP proxy on loopback that delays, holds up, silences and resets what passes through it."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import enum
import socket
import struct

CHUNK = 65536
LOOK = 0.02
"""Seconds between looks at whether a cut has healed."""


SO_ATTACH_FILTER = 26
"""Linux's socket option for a packet filter; the socket module does not name it."""

DROP_ALL = struct.pack('HBBI', 0x06, 0, 0, 0)
"""A packet filter of one instruction: return 0 bytes of each packet."""


class Way(enum.Enum):
    """A direction of bytes through the proxy."""

    OUT = 'out'
    """From whoever connects to the target."""

    BACK = 'back'


class Proxy:
    """Forwards connections to a target; bytes that a cut holds up arrive once it has healed."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay = 0.0
        self.cut: set[Way] = set()
        self.address = ''
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'

    def heal(self) -> None:
        """Let everything through again."""
        self.delay = 0.0
        self.cut.clear()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    def silence(self) -> None:
        """Let nothing more through on open connections, and tell neither side; new ones work."""
        for writer in list(self._writers):
            _silence(writer)

    async def stop(self) -> None:
        """End the proxy and its connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except OSError:
            # The target is gone, as its own port would tell: by a reset.
            _reset(writer)
        except asyncio.CancelledError:
            # Only `stop` cancels; asyncio's streams would report a task that ends so as failed.
            _reset(writer)
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._pass(Way.OUT)
        host, _, port = self.target.rpartition(':')
        there, back = await asyncio.open_connection(host, int(port))
        self._writers.add(back)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, back, Way.OUT))
                group.create_task(self._pump(there, writer, Way.BACK))
        except* OSError:
            # Either side was reset; the other one is told the same way.
            _reset(writer)
            _reset(back)
        finally:
            self._writers.discard(back)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way
    ) -> None:
        while data := await reader.read(CHUNK):
            await self._pass(way)
            writer.write(data)
            await writer.drain()
        await self._pass(way)
        # Neither routers nor their clients go on after the other side has closed.
        with contextlib.suppress(OSError):
            writer.close()

    async def _pass(self, way: Way) -> None:
        if self.delay:
            await asyncio.sleep(self.delay)
        while way in self.cut:
            await asyncio.sleep(LOOK)


def _silence(writer: asyncio.StreamWriter) -> None:
    """Have the kernel drop whatever comes for a socket, acknowledgements included."""
    code = ctypes.create_string_buffer(DROP_ALL)
    program = struct.pack('HL', 1, ctypes.addressof(code))
    with contextlib.suppress(OSError):
        # The connection may have ended in this very moment.
        writer.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def _reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset instead of an orderly close."""
    with contextlib.suppress(OSError):
        # Without lingering, the kernel resets what is closed.
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()
