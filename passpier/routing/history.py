"""Keeps registry items and recent removals, so that changes can be sent to another process."""

from __future__ import annotations

import collections

import msgspec

from passpier.clients import registry

MAX_REMOVALS = 2000
"""Removed keys that are remembered; a peer that lacks older removals is sent all items."""


class ChangeSet(msgspec.Struct, frozen=True):
    """The changes that a peer lacks whose state is complete up to a revision.

    If `is_full`, these are all items that exist: keys that are missing from them have been removed.
    """

    items: tuple[registry.Item, ...]
    is_full: bool


class History:
    """All current items, and the recently removed keys."""

    def __init__(self) -> None:
        self._items: dict[str, registry.Item] = {}
        self._removals: collections.OrderedDict[str, registry.Revision] = collections.OrderedDict()
        self._complete_from = registry.NO_REVISION
        """The revision from which on all removals are remembered."""

    def note(self, item: registry.Item) -> None:
        """Record an item or a removal."""
        self._removals.pop(item.key, None)
        if not item.removed:
            self._items[item.key] = item
            return
        self._items.pop(item.key, None)
        self._removals[item.key] = item.revision
        while len(self._removals) > MAX_REMOVALS:
            _, revision = self._removals.popitem(last=False)
            self._complete_from = max(self._complete_from, revision)

    def mark_incomplete_until(self, revision: registry.Revision) -> None:
        """Note that removals up to a revision may be missing, as after a full listing."""
        self._complete_from = max(self._complete_from, revision)

    def list_since(self, revision: registry.Revision) -> ChangeSet:
        """Return the changes that a peer lacks whose state is complete up to a revision."""
        if revision < self._complete_from:
            return ChangeSet(tuple(self._items.values()), True)
        items = [i for i in self._items.values() if i.revision > revision]
        for key, removed_at in self._removals.items():
            if removed_at > revision:
                items.append(registry.Item(key, b'', removed_at, removed=True))
        return ChangeSet(tuple(items), False)
