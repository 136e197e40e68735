"""Log output as JSON or text lines, with a rate limit and without blocking."""

from __future__ import annotations

import logging
import os
import sys
from typing import Any, TextIO

import pythonjsonlogger.json

from passpier import clocks

LINES_PER_SECOND = 400.0
"""Sustained limit of the lines per second; a daemon under full load writes about five a request."""

MAX_BURST_LINES = 2000.0
"""Maximum number of lines in a burst."""


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor; drops and counts lines over the rate limit.

    The limit does not apply to warnings and above. A slow reader loses lines, but never blocks.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._allowance = MAX_BURST_LINES
        self._updated_at = clocks.now()
        self._unwritten = b''
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it if the rate limit is reached."""
        now = clocks.now()
        refill = (now - self._updated_at) * LINES_PER_SECOND
        self._allowance = min(MAX_BURST_LINES, self._allowance + refill)
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
        """Write a line; return false if none of it could be written."""
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
            if self._unwritten:
                return False
            # The unwritten part of a line is written first the next time, so that lines stay whole.
            self._unwritten = line[os.write(self._descriptor, line) :]
        except OSError:
            # The pipe is closed or full, and there is nowhere else to report this.
            return False
        return True


def configure_logging(level: str, form: str, name: str, output: TextIO = sys.stderr) -> None:
    """Send all logs to `output`, with the daemon's name in each line."""
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
    """Formats records as text, with the extra fields after the message."""

    _standard_fields = frozenset(vars(logging.makeLogRecord({}))) | {'message', 'asctime'}

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        extra: dict[str, Any] = {
            k: v for k, v in vars(record).items() if k not in self._standard_fields
        }
        return ' '.join([super().format(record), *(f'{k}={v}' for k, v in extra.items())])
