"""Bounds how often brittle replicas have to refuse requests, over all daemons.

A brittle replica crashes if it has to refuse too many requests in a second for want of room. A
daemon doesn't know exactly how full a replica is, since others send there as well. So each request
that may be refused needs a token, which is returned if it isn't refused. The tokens of all daemons
together cover the refusals that the replica bears, and a few daemons have them, by rendezvous
hashing. Without a token, a daemon sends only what is almost certain to find room.
"""

from __future__ import annotations

from collections.abc import Sequence

from passpier.core import rendezvous, throttles

TOKENS_PER_SENDER = 2.0
"""Refusals per second that each daemon with tokens may cause: one at once, and one in a second."""

ROOM_SHARE = 0.5
"""Fraction of a replica's slots that may be taken for a request to be almost certain to find room:
the load of other daemons is known with a delay."""

MEMORY_SECONDS = 1.0
"""Seconds after a refusal in which no request is certain to find room."""

NO_SHARE = throttles.Share(0.0, 0.0)


def compute_share(replica: str, limit: float, own: str, names: Sequence[str]) -> throttles.Share:
    """Return the share of a replica's refusals for the daemon `own` among all daemons `names`."""
    if limit < 1.0 or not names:
        return NO_SHARE
    senders = min(len(names), max(1, int(limit / TOKENS_PER_SENDER)))
    if own not in rendezvous.find_first(replica, tuple(names), senders):
        return NO_SHARE
    half = limit / senders / 2
    return throttles.Share(half, max(1.0, half))
