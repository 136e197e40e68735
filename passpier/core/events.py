"""Cuts a stream of server-sent events into whole events, so that none is passed on in part."""

from __future__ import annotations

_ENDS = (b'\n\n', b'\r\n\r\n')


class Splitter:
    """Collects bytes and hands out whole events; `last_id` is that of the last one handed out."""

    def __init__(self) -> None:
        self._rest = b''
        self.last_id = ''

    @property
    def has_rest(self) -> bool:
        """Whether part of an event is still waiting for its end."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that `data` completes, each with its ending."""
        self._rest += data
        events: list[bytes] = []
        while True:
            ends = [(i, e) for e in _ENDS if (i := self._rest.find(e)) >= 0]
            if not ends:
                return events
            index, ending = min(ends)
            event = self._rest[: index + len(ending)]
            self._rest = self._rest[len(event) :]
            self.last_id = _find_id(event) or self.last_id
            events.append(event)


def _find_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip().decode('utf-8', 'replace')
    return ''
