"""Splits a stream of server-sent events into complete events, and checks their order."""

from __future__ import annotations

import re

EVENT_MAX = 256 * 1024
"""Maximum size in bytes of an event; events of models have a few hundred bytes."""

_TERMINATOR = re.compile(rb'\r?\n\r?\n')
_TERMINATOR_MAX = 4

ID_SHOWN = 40
"""Characters of an id that error messages contain."""

_DATA = re.compile(rb'^data(:|\r?$)', re.MULTILINE)
_NUMBER = re.compile('[0-9]+')


class OverlongEventError(Exception):
    """An event is longer than `EVENT_MAX`; it may have no end."""


class OrderError(Exception):
    """The id of an event is not above that of the event before."""


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Position in the buffer before which no terminator begins."""

    @property
    def has_rest(self) -> bool:
        """Whether the buffer contains an incomplete event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events completed by `data`, each with its terminator.

        Raises `OverlongEventError` if none is complete and the buffer holds too much.
        """
        self._buffer += data
        events: list[bytes] = []
        while found := _TERMINATOR.search(self._buffer, self._searched):
            event = bytes(self._buffer[: found.end()])
            del self._buffer[: found.end()]
            self._searched = 0
            events.append(event)
        self._searched = max(0, len(self._buffer) - _TERMINATOR_MAX + 1)
        if not events and len(self._buffer) > EVENT_MAX:
            raise OverlongEventError(f'an event of over {EVENT_MAX} bytes')
        return events


class Position:
    """Where a stream stands; `last_id` is the id of its last event, by which it is resumed.

    The ids of a stream rise over all of its attempts.
    """

    def __init__(self, last_id: str = '') -> None:
        self.last_id = last_id
        self.is_known = True
        """Whether the stream can be resumed after its last event by `last_id`."""

    def advance(self, event: bytes) -> None:
        """Record the next event; raises `OrderError` if it can't follow the last one."""
        id = _find_id(event)
        if not id:
            # Readers ignore what has no data, such as comments.
            self.is_known = self.is_known and not _DATA.search(event)
            return
        if not _is_after(id, self.last_id):
            raise OrderError(f'event {id[:ID_SHOWN]} after event {self.last_id[:ID_SHOWN]}')
        self.last_id = id
        # Only such an id can be sent in a header.
        self.is_known = id.isascii() and id.isprintable()


def _is_after(id: str, last_id: str) -> bool:
    """Return whether an id is above the last one; ids that are no numbers only have to differ."""
    if not (_NUMBER.fullmatch(id) and _NUMBER.fullmatch(last_id)):
        return id != last_id
    # The order of numbers of any length; `int` limits the length of what it parses.
    digits, last_digits = id.lstrip('0'), last_id.lstrip('0')
    return (len(digits), digits) > (len(last_digits), last_digits)


def _find_id(event: bytes) -> str:
    """Return the id of an event: the last one, as its readers do."""
    ids = [line[3:] for line in event.splitlines() if line.startswith(b'id:')]
    return ids[-1].strip().decode('utf-8', 'replace') if ids else ''
