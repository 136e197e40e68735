"""Finds the log lines of a request in log files."""

from __future__ import annotations

import glob
from collections.abc import Iterable, Iterator
from typing import Any

from passpier import exceptions
from passpier.utils import decoding

Line = dict[str, Any]

_LEADING_FIELDS = ('time', 'daemon', 'event')
_OMITTED_FIELDS = frozenset({*_LEADING_FIELDS, 'level', 'name', 'request', 'candidates'})


def read_lines(patterns: Iterable[str], request: str) -> list[Line]:
    """Return the log lines of a request in all files that match the patterns, sorted by time."""
    paths = [p for pattern in patterns for p in sorted(glob.glob(pattern))]
    if not paths:
        finding = exceptions.Finding(' '.join(patterns), 'no log file there')
        raise exceptions.FindingsError([finding])
    found = [line for path in paths for line in _read_file(path) if line.get('request') == request]
    return sorted(found, key=lambda line: str(line.get('time', '')))


def render(lines: Iterable[Line]) -> str:
    """Return log lines as text: one line per event, followed by the candidates it chose from."""
    texts = []
    for line in lines:
        start = ' '.join(str(line.get(name, '-')) for name in _LEADING_FIELDS)
        rest = ' '.join(f'{k}={v}' for k, v in line.items() if k not in _OMITTED_FIELDS)
        texts.append(f'{start}: {rest}')
        for candidate in line.get('candidates', ()):
            texts.append('    ' + ' '.join(f'{k}={v}' for k, v in candidate.items()))
    return '\n'.join(texts)


def _read_file(path: str) -> Iterator[Line]:
    with open(path, errors='replace') as file:
        for text in file:
            # Other programs may write to the same file, and a timestamp may precede the JSON.
            start = text.find('{')
            if start < 0:
                continue
            try:
                line = decoding.decode_json(text[start:].encode())
            except exceptions.DecodingError:
                continue
            if isinstance(line, dict):
                yield line
