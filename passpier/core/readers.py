"""Chooses the daemons that watch the registry and pass on its changes to the others.

Calls to the registry cost money and are subject to a rate limit that grows more slowly than the
fleet, and every change wakes every open watch. So only a few daemons, the readers, watch the
registry. All daemons compute the same readers, so the others know which ones to ask.
"""

from __future__ import annotations

from collections.abc import Sequence

from passpier.core import members, rendezvous

MIN_READERS = 3
"""Minimum number of readers: with one lost and one partitioned, there is still one left."""

MEMBERS_PER_READER = 24
"""Daemons per reader: each sends four queries per second, about 100 for one reader."""

_HASH_KEY = 'readers of the registry'


def choose_readers(serving: Sequence[members.Member]) -> list[members.Member]:
    """Return the readers; daemons that know the same serving members compute the same ones.

    The largest VMs come first, because readers send new configurations to all others and give
    orders, which would saturate the link of a small VM.
    """
    ranked = sorted(
        serving,
        key=lambda m: (-m.capacity, -rendezvous.compute_weight(_HASH_KEY, m.incarnation)),
    )
    return ranked[: max(MIN_READERS, -(-len(serving) // MEMBERS_PER_READER))]


def pick_reader(
    own: members.Member, readers: Sequence[members.Member], turn: int
) -> members.Member | None:
    """Return the reader to ask in round `turn`, in rotation; `None` if there is no other."""
    others = {m.incarnation: m for m in readers if m != own}
    ranked = rendezvous.rank_names(own.incarnation, others)
    return others[ranked[turn % len(ranked)]] if ranked else None
