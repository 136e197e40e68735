"""Limits the number of open client connections by closing the longest idle ones."""

from __future__ import annotations

import enum
import logging
import socket
import weakref

import tornado.iostream

log = logging.getLogger(__name__)


class Unread(enum.Enum):
    """What has arrived on a connection that the event loop has not read yet."""

    NOTHING = 'nothing'
    BYTES = 'bytes'
    END = 'end'
    """The client has closed the connection or its sending side; no response is expected any
    more."""


def _is_idle(stream: tornado.iostream.IOStream) -> bool:
    """Return whether no request has arrived that the event loop has yet to handle.

    A stream that is not waiting for bytes has received some.
    """
    return stream.reading() and peek(stream) is not Unread.BYTES


def peek(stream: tornado.iostream.IOStream) -> Unread:
    """Return what has arrived on a connection, without reading it."""
    if stream.closed():
        return Unread.END
    try:
        return Unread.BYTES if stream.socket.recv(1, socket.MSG_PEEK) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except OSError:
        return Unread.END


class ClientConnections:
    """Keeps the number of client connections below a limit, so that new ones can be accepted.

    Without free file descriptors neither clients nor upstreams can connect. The connection that has
    been idle longest is closed first: it has no request in progress, and its client can open
    another one.
    """

    def __init__(self, most: int = 1000) -> None:
        self.max_open = most
        self._open: weakref.WeakSet[tornado.iostream.IOStream] = weakref.WeakSet()
        self._idle: weakref.WeakKeyDictionary[tornado.iostream.IOStream, None] = (
            weakref.WeakKeyDictionary()
        )
        """In the order in which they became idle."""

    def __len__(self) -> int:
        return len(self._open)

    def mark_idle(self, stream: tornado.iostream.IOStream) -> None:
        """Record that a connection waits for its first or next request."""
        if stream not in self._open:
            self._open.add(stream)
            self._close_surplus()
        self._idle.pop(stream, None)
        self._idle[stream] = None

    def mark_busy(self, stream: tornado.iostream.IOStream) -> None:
        """Record that a request has begun on a connection."""
        self._idle.pop(stream, None)

    def close_idle(self) -> bool:
        """Close all connections without a request, as the process ends.

        The client notices at once, and sends no request that would not be read. Returns whether
        there is still a connection on which a request has arrived that is yet to be read.
        """
        for stream in list(self._idle):
            if stream.closed() or _is_idle(stream):
                del self._idle[stream]
                stream.close()
        return bool(self._idle)

    def _close_surplus(self) -> None:
        if len(self._open) <= self.max_open:
            return
        for ended in [s for s in self._open if s.closed()]:
            self._open.discard(ended)
            self._idle.pop(ended, None)
        closed = 0
        for oldest in list(self._idle):
            if len(self._open) <= self.max_open:
                break
            if not _is_idle(oldest):
                continue
            del self._idle[oldest]
            self._open.discard(oldest)
            oldest.close()
            closed += 1
        if closed:
            log.warning(
                'idle client connections closed', extra={'closed': closed, 'open': len(self._open)}
            )
