"""Ranks the addresses that a caller should use."""

from __future__ import annotations

import dataclasses

from passpier.core import members, rendezvous

NEAR_ENOUGH = 2
"""Daemons of a client's own failure domain that are enough to name no others."""


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


def choose_near(serving: list[members.Member], failure_domain: str) -> list[str]:
    """Return the entries of a client's own failure domain, if two or more can stand in there.

    With fewer, the others are named too: a client keeps an answer for a while, and needs somewhere
    to go when the only near daemon is lost.
    """
    near = [m.entry for m in serving if m.failure_domain == failure_domain]
    if len(near) >= NEAR_ENOUGH:
        return sorted(near)
    return sorted(m.entry for m in serving)
