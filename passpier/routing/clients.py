"""The open connections of clients: how many there may be, and which goes if there are too many."""

from __future__ import annotations

import logging
import weakref

import tornado.iostream

log = logging.getLogger(__name__)


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

    def close_resting(self) -> None:
        """Close all connections on which nothing is under way, as the process ends.

        A client sees that at once, and does not send a request that nobody would read.
        """
        for stream in list(self._resting):
            stream.close()
        self._resting.clear()

    def _make_room(self) -> None:
        if len(self._open) <= self.most:
            return
        for ended in [s for s in self._open if s.closed()]:
            self._open.discard(ended)
            self._resting.pop(ended, None)
        closed = 0
        while len(self._open) > self.most and self._resting:
            oldest = next(iter(self._resting))
            del self._resting[oldest]
            self._open.discard(oldest)
            oldest.close()
            closed += 1
        if closed:
            log.warning('resting clients closed', extra={'closed': closed, 'open': len(self._open)})
