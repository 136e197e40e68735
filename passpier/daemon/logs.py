"""Log output: one JSON object, or one line of text, for each event; bounded, never blocking."""

from __future__ import annotations

import logging
import os
import sys
from typing import Any, TextIO

import pythonjsonlogger.json

from passpier import clocks

LINES_PER_SECOND = 400.0
"""Lines written in the long run; a daemon under full load makes about five a request."""

LINES_AT_ONCE = 2000.0
"""Lines that may come in a burst."""


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor; leaves out and counts what exceeds the bounds.

    Warnings and worse pass the rate bound. A reader that does not keep up costs lines, not time.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._allowance = LINES_AT_ONCE
        self._updated_at = clocks.now()
        self._rest = b''
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, if the bounds allow it."""
        now = clocks.now()
        earned = (now - self._updated_at) * LINES_PER_SECOND
        self._allowance = min(LINES_AT_ONCE, self._allowance + earned)
        self._updated_at = now
        if self._allowance < 1 and record.levelno < logging.WARNING:
            self.left_out += 1
            return
        self._allowance -= 1
        if self.left_out:
            record.left_out = self.left_out
        if self._write(self.format(record).encode() + b'\n'):
            self.left_out = 0
        else:
            self.left_out += 1

    def _write(self, line: bytes) -> bool:
        """Write a line; return false if nothing of it could be written."""
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._descriptor, self._rest) :]
            if self._rest:
                return False
            # What is cut off here goes out first the next time, so that lines stay whole.
            self._rest = line[os.write(self._descriptor, line) :]
        except OSError:
            # The reader is gone or full; there is nowhere left to report that to.
            return False
        return True


def configure_logging(level: str, form: str, name: str, output: TextIO = sys.stderr) -> None:
    """Send all logs to `output`; each line carries the daemon's name."""
    handler = BoundedHandler(output.fileno())
    if form == 'json':
        handler.setFormatter(
            pythonjsonlogger.json.JsonFormatter(
                '%(asctime)s %(levelname)s %(name)s %(message)s',
                rename_fields={'asctime': 'time', 'levelname': 'level', 'message': 'event'},
                static_fields={'daemon': name},
            )
        )
    else:
        handler.setFormatter(_TextFormatter('%(asctime)s %(levelname)s %(name)s %(message)s'))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    logging.getLogger('jsonrpcserver').setLevel(logging.WARNING)


class _TextFormatter(logging.Formatter):
    """Appends the extra fields to the message."""

    _known = frozenset(vars(logging.makeLogRecord({}))) | {'message', 'asctime'}

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        extra: dict[str, Any] = {k: v for k, v in vars(record).items() if k not in self._known}
        return ' '.join([super().format(record), *(f'{k}={v}' for k, v in extra.items())])
