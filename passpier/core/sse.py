"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import re

EVENT_MAX = 256 * 1024
"""Maximum size in bytes of an event; events of models have a few hundred bytes."""

_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n')
_TERMINATOR_MAX = 4


class OverlongEventError(Exception):
    """An event is longer than `EVENT_MAX`; it may have no end."""


class EventSplitter:
    """Buffers bytes and returns complete events; `last_id` is the id of the last one returned."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Position in the buffer before which no terminator begins."""

        self.last_id = ''

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
            self.last_id = _find_id(event) or self.last_id
            events.append(event)
        self._searched = max(0, len(self._buffer) - _TERMINATOR_MAX + 1)
        if not events and len(self._buffer) > EVENT_MAX:
            raise OverlongEventError(f'an event of over {EVENT_MAX} bytes')
        return events


def _find_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip().decode('utf-8', 'replace')
    return ''
