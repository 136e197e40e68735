"""Contents of shared cache stores, derived from their events, to avoid useless saves.

A prompt is saved as a whole, including its private last part. Saving a prompt whose shared parts
are already stored only evicts other shared parts from the store.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import xxhash

from passpier.core import rendezvous

SAVING_SECONDS = 1.5
"""Seconds for which a part being saved counts as stored before an event confirms it."""


def hash_part(salt: str, part: str) -> int:
    """Return the hash that identifies a part under a salt."""
    return xxhash.xxh3_64_intdigest(f'{salt}\x00{part}'.encode())


class StoreContents:
    """The parts held by one store since its last restart; `up` is false while it is unreachable."""

    def __init__(self) -> None:
        self.epoch = 0
        self.up = True
        self._parts: set[int] = set()
        self._saving: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._parts)

    def begin_epoch(self, epoch: int) -> None:
        """Clear the contents if the store has restarted."""
        if epoch != self.epoch:
            self.epoch = epoch
            self._parts.clear()
            self._saving.clear()

    def apply(self, added: Iterable[int], removed: Iterable[int]) -> None:
        """Apply added and removed parts."""
        for part in added:
            self._parts.add(part)
            self._saving.pop(part, None)
        for part in removed:
            self._parts.discard(part)

    def note_saving(self, parts: Iterable[int], now: float) -> None:
        """Record that an engine was asked to save some parts."""
        self._saving = {p: until for p, until in self._saving.items() if until > now}
        for part in parts:
            if part not in self._parts:
                self._saving[part] = now + SAVING_SECONDS

    def holds_all(self, parts: Sequence[int], now: float) -> bool:
        """Return whether all given parts are stored or being saved."""
        return all(p in self._parts or self._saving.get(p, 0.0) > now for p in parts)

    def export(self) -> list[int]:
        """Return all stored parts."""
        return list(self._parts)


class CacheStores:
    """All cache stores; prompts of a family share one store, so that less is stored twice."""

    def __init__(self) -> None:
        self._contents: dict[str, StoreContents] = {}
        self._domains: dict[str, str] = {}

    @property
    def addresses(self) -> list[str]:
        """The addresses of all stores."""
        return list(self._contents)

    def set_domains(self, domains: Mapping[str, str]) -> None:
        """Set the configured stores and their failure domains."""
        self._contents = {
            address: self._contents.get(address) or StoreContents() for address in domains
        }
        self._domains = dict(domains)

    def get(self, address: str) -> StoreContents | None:
        """Return the contents of a store, or `None` if it is no longer configured."""
        return self._contents.get(address)

    def choose(self, family: str, home_domain: str) -> str:
        """Return the store for a family's prompts, or an empty string if none is reachable.

        Stores in the failure domain of the family's home are preferred, because transfers between
        domains occupy the store's link for twice as long.
        """
        up = [address for address, contents in self._contents.items() if contents.up]
        local = [address for address in up if self._domains[address] == home_domain]
        ranked = rendezvous.rank_names(family, local or up)
        return ranked[0] if ranked else ''
