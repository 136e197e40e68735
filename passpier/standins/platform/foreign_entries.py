"""Malformed entries, as other writers leave them among those of replicas.

Routers must not use any of them as a replica.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

OTHER_TYPES: Mapping[type, tuple[object, ...]] = {
    str: (7, None, ['text']),
    int: ('7', None, True),
    list: ('text', {}, None, [7], [{'name': 7, 'version': 'text'}]),
}
"""Values of wrong types, by the correct type of a field."""

UNREADABLE: Mapping[str, bytes] = {
    'empty': b'',
    'no text': b'\xff\xfe\x00\x80',
    'no json': b'replica',
    'cut off': b'{"service":"llm","addr',
    'deep': b'[' * 20_000,
    'null': b'null',
    'list': b'[]',
    'number': b'1e999',
}


def build_malformed_entries(entry: Mapping[str, object]) -> dict[str, bytes]:
    """Return malformed variants of a valid entry, by a description of the defect."""
    values = dict(UNREADABLE)
    for field, value in entry.items():
        rest = {name: kept for name, kept in entry.items() if name != field}
        values[f'without {field}'] = _encode(rest)
        for other in OTHER_TYPES[type(value)]:
            values[f'{field} is {other!r}'] = _encode({**rest, field: other})
    values['born is no whole number'] = _encode({**entry, 'born': 1.5})
    for field in ('state', 'service'):
        values[f'unknown {field}'] = _encode({**entry, field: 'not-named-anywhere'})
    return values


def _encode(entry: Mapping[str, object]) -> bytes:
    return json.dumps(entry).encode()
