"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

_TERMINATORS = (b'\n\n', b'\r\n\r\n')


class EventSplitter:
    """Buffers bytes and returns complete events; `last_id` is the id of the last one returned."""

    def __init__(self) -> None:
        self._buffer = b''
        self.last_id = ''

    @property
    def has_rest(self) -> bool:
        """Whether the buffer contains an incomplete event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events completed by `data`, each with its terminator."""
        self._buffer += data
        events: list[bytes] = []
        while True:
            candidates = [(i, e) for e in _TERMINATORS if (i := self._buffer.find(e)) >= 0]
            if not candidates:
                return events
            index, ending = min(candidates)
            event = self._buffer[: index + len(ending)]
            self._buffer = self._buffer[len(event) :]
            self.last_id = _find_id(event) or self.last_id
            events.append(event)


def _find_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip().decode('utf-8', 'replace')
    return ''
