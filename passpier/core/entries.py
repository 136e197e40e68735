"""Ranks the addresses that a caller should use."""

from __future__ import annotations

import dataclasses

from passpier.core import members, rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An address for callers; keys made from its incarnation are homed there."""

    address: str
    incarnation: str
    failure_domain: str


def rank_entries(account: str, serving: list[members.Member], count: int) -> list[Entry]:
    """Return the first `count` entries of an account, spread over failure domains."""
    by_name = {m.name: m for m in serving}
    ranked = rendezvous.rank_spread(account, {m.name: m.failure_domain for m in serving})
    chosen = [by_name[name] for name in ranked[:count]]
    return [Entry(m.entry, m.incarnation, m.failure_domain) for m in chosen]
