"""The open connections of clients: how many there may be, and which goes if there are too many."""

from __future__ import annotations

import enum
import logging
import socket
import weakref

import tornado.iostream

log = logging.getLogger(__name__)


class Unread(enum.Enum):
    """What has come on a connection that the event loop has not read yet."""

    NOTHING = 'nothing'
    BYTES = 'bytes'
    END = 'end'
    """The client has closed; or its sending side, after which no answer is owed."""


def _rests(stream: tornado.iostream.IOStream) -> bool:
    """Return whether no request has come that the event loop has yet to get round to.

    A stream that is not waiting for bytes has got some.
    """
    return stream.reading() and look(stream) is not Unread.BYTES


def look(stream: tornado.iostream.IOStream) -> Unread:
    """Return what has come on a connection, without reading it."""
    if stream.closed():
        return Unread.END
    try:
        return Unread.BYTES if stream.socket.recv(1, socket.MSG_PEEK) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except OSError:
        return Unread.END


class Clients:
    """Keeps the number of clients' connections below a bound, so that new ones can be accepted.

    Without descriptors left nothing can be accepted any more, nor any upstream be reached. The
    connection that has rested longest is closed first: its client opens another one, and has no
    request under way.
    """

    def __init__(self, most: int = 1000) -> None:
        self.most = most
        self._open: weakref.WeakSet[tornado.iostream.IOStream] = weakref.WeakSet()
        self._resting: weakref.WeakKeyDictionary[tornado.iostream.IOStream, None] = (
            weakref.WeakKeyDictionary()
        )
        """In the order in which they came to rest."""

    def __len__(self) -> int:
        return len(self._open)

    def note_rest(self, stream: tornado.iostream.IOStream) -> None:
        """Note a connection that waits for its first or next request."""
        if stream not in self._open:
            self._open.add(stream)
            self._make_room()
        self._resting.pop(stream, None)
        self._resting[stream] = None

    def note_request(self, stream: tornado.iostream.IOStream) -> None:
        """Note that a request has begun on a connection."""
        self._resting.pop(stream, None)

    def close_resting(self) -> bool:
        """Close all connections on which nothing is under way, as the process ends.

        A client sees that at once, and does not send a request that nobody would read. Returns
        whether there is still one on which a request has come that is yet to be read.
        """
        for stream in list(self._resting):
            if stream.closed() or _rests(stream):
                del self._resting[stream]
                stream.close()
        return bool(self._resting)

    def _make_room(self) -> None:
        if len(self._open) <= self.most:
            return
        for ended in [s for s in self._open if s.closed()]:
            self._open.discard(ended)
            self._resting.pop(ended, None)
        closed = 0
        for oldest in list(self._resting):
            if len(self._open) <= self.most:
                break
            if not _rests(oldest):
                continue
            del self._resting[oldest]
            self._open.discard(oldest)
            oldest.close()
            closed += 1
        if closed:
            log.warning('resting clients closed', extra={'closed': closed, 'open': len(self._open)})
