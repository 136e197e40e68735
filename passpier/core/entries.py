"""Chooses and ranks the daemons whose addresses callers should use."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from passpier.core import members, rendezvous

MIN_NEAR = 2
"""Daemons in a client's own failure domain from which on no others are listed."""

MIN_ACTIVE = 3
"""Minimum number of active daemons per failure domain, if there are as many. If a third of all VMs
is lost at once, all three are lost in one case of 27."""

REQUESTS_PER_CORE = 50.0
"""Target requests per second and core of a daemon's VM. A request takes about 5 ms of CPU time
(docs/CAPACITY.md), which leaves room for bursts of three times as many."""

MAX_LISTED = 64
"""Maximum number of entries in one response."""


class Entry(msgspec.Struct, frozen=True):
    """An address for callers; idempotency keys with its incarnation are homed there."""

    address: str
    incarnation: str
    failure_domain: str


def rank_entries(account: str, serving: list[members.Member], count: int) -> list[Entry]:
    """Return the top `count` entries for an account, spread over failure domains."""
    by_name = {m.name: m for m in serving}
    ranked = rendezvous.rank_spread(account, {m.name: m.failure_domain for m in serving})
    chosen = [by_name[name] for name in ranked[:count]]
    return [Entry(m.entry, m.incarnation, m.failure_domain) for m in chosen]


def choose_active(
    serving: Sequence[members.Member], rates: Mapping[str, float]
) -> list[members.Member]:
    """Return the active daemons, which callers should use; the others are on standby.

    A small number of active daemons limits the exchange of load and cache updates, and the
    connections to upstreams. Each failure domain has as many as its current requests need, the
    largest VMs first. `rates` are requests per second by incarnation.
    """
    by_domain: dict[str, list[members.Member]] = {}
    for member in serving:
        by_domain.setdefault(member.failure_domain, []).append(member)
    active = []
    for domain, domain_members in by_domain.items():
        needed_cores = (
            sum(rates.get(m.incarnation, 0.0) for m in domain_members) / REQUESTS_PER_CORE
        )
        ranked = sorted(
            domain_members,
            key=lambda m: (-m.capacity, -rendezvous.compute_weight(domain, m.incarnation)),
        )
        cores = 0.0
        for rank, member in enumerate(ranked):
            if rank >= MIN_ACTIVE and cores >= needed_cores:
                break
            active.append(member)
            cores += member.capacity
    return active


def choose_near(active: Sequence[members.Member], failure_domain: str) -> list[str]:
    """Return the entries in a client's own failure domain, if there are at least two.

    With fewer, entries in other domains are listed, too: a client caches the response for a while
    and needs an alternative if the only near daemon fails.
    """
    near = [m.entry for m in active if m.failure_domain == failure_domain]
    if len(near) >= MIN_NEAR:
        return sorted(near)[:MAX_LISTED]
    chosen = rendezvous.rank_spread(failure_domain, {m.entry: m.failure_domain for m in active})
    return sorted(chosen[:MAX_LISTED])
