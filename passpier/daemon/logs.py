"""Log output: one JSON object, or one line of text, for each event."""

from __future__ import annotations

import logging
import sys
from typing import Any

import pythonjsonlogger.json


def configure_logging(level: str, form: str, name: str) -> None:
    """Send all logs to standard error; each line carries the daemon's name."""
    handler = logging.StreamHandler(sys.stderr)
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
