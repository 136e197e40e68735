"""Differences between two configuration documents."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference; `kind` is `+` (added), `-` (removed) or `~` (changed)."""

    kind: str
    path: str
    detail: str = ''

    def __str__(self) -> str:
        return f'{self.kind} {self.path}' + (f': {self.detail}' if self.detail else '')


def compare(old: dict[str, Any], new: dict[str, Any]) -> list[Change]:
    """Return the changes from `old` to `new`; lists of named items are compared by name."""
    return _compare(old, new, '')


def _compare(old: Any, new: Any, path: str) -> list[Change]:
    if old == new:
        return []
    if isinstance(old, dict) and isinstance(new, dict):
        return _compare_maps(old, new, path)
    if _is_named(old) and _is_named(new):
        before = {item['name']: item for item in old}
        after = {item['name']: item for item in new}
        return _compare_maps(before, after, path)
    return [Change('~', path, f'{old!r} to {new!r}')]


def _compare_maps(old: dict[str, Any], new: dict[str, Any], path: str) -> list[Change]:
    changes = []
    for key in dict.fromkeys([*old, *new]):
        child_path = f'{path}.{key}' if path else str(key)
        if key not in new:
            changes.append(Change('-', child_path))
        elif key not in old:
            changes.append(Change('+', child_path))
        else:
            changes += _compare(old[key], new[key], child_path)
    return changes


def _is_named(items: Any) -> bool:
    return isinstance(items, list) and all(isinstance(i, dict) and 'name' in i for i in items)
