"""A TCP proxy on loopback that can delay, block, silence and reset its connections."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import enum
import socket
import struct

from passpier import clocks

CHUNK_BYTES = 65536
POLL_INTERVAL = 0.02
"""Seconds between checks whether a blocked direction is open again."""


SO_ATTACH_FILTER = 26
"""Linux socket option that attaches a packet filter; the socket module does not define it."""

SO_DETACH_FILTER = 27
"""Linux socket option that removes it again."""

DROP_ALL = struct.pack('HBBI', 0x06, 0, 0, 0)
"""Packet filter with one instruction, which keeps 0 bytes of each packet."""


class Direction(enum.Enum):
    """A direction of bytes through the proxy."""

    OUT = 'out'
    """From the connecting side to the target."""

    BACK = 'back'


class Proxy:
    """Forwards connections to a target.

    `cut` has the blocked directions; blocked bytes are delivered after `heal`.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay = 0.0
        self.cut: set[Direction] = set()
        self.address = ''
        self.refused: list[tuple[int, float]] = []
        """Ports of clients whose connections nobody accepted at the target, with the times."""

        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'

    def heal(self) -> None:
        """Remove the delay and unblock both directions."""
        self.delay = 0.0
        self.cut.clear()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    def silence(self) -> None:
        """Drop all further packets of open connections; new connections work."""
        for writer in list(self._writers):
            _silence(writer)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
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
            # The target is down; its own port would reset the connection as well.
            _reset(writer)
        except asyncio.CancelledError:
            # Only `stop` cancels; asyncio would log a cancelled connection task as failed.
            _reset(writer)
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._hold(Direction.OUT)
        host, _, port = self.target.rpartition(':')
        client_port = writer.get_extra_info('peername')[1]
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            self.refused.append((client_port, clocks.now()))
            raise
        self._writers.add(back)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, back, Direction.OUT))
                group.create_task(self._pump(there, writer, Direction.BACK))
        except* OSError:
            # One side was reset, so the other one is reset, too.
            _reset(writer)
            _reset(back)
        finally:
            self._writers.discard(back)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Direction
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._hold(way)
            writer.write(data)
            await writer.drain()
        await self._hold(way)
        # Neither routers nor their clients use half-closed connections.
        with contextlib.suppress(OSError):
            writer.close()

    async def _hold(self, way: Direction) -> None:
        if self.delay:
            await asyncio.sleep(self.delay)
        while way in self.cut:
            await asyncio.sleep(POLL_INTERVAL)


def _silence(writer: asyncio.StreamWriter) -> None:
    """Let the kernel drop all packets for a socket, including acknowledgements."""
    with contextlib.suppress(OSError):
        # The connection may have been closed already.
        drop_packets(writer.get_extra_info('socket'))


def drop_packets(sock: socket.socket) -> None:
    """Let the kernel drop all packets that arrive for a socket, including acknowledgements."""
    code = ctypes.create_string_buffer(DROP_ALL)
    program = struct.pack('HL', 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def accept_packets(sock: socket.socket) -> None:
    """Undo `drop_packets`."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        # With a linger time of 0, the kernel resets the connection on close.
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()
