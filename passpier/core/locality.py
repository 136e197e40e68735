"""Keeps requests in their failure domain while the wait there is short."""

from __future__ import annotations

from typing import Protocol

CROSSING_SECONDS = 0.01
"""Cost of a replica in another failure domain, in seconds of waiting: some ten round trips, as the
bytes between domains are billed. It is small against the objective of a request, so that work
leaves a busy domain before its requests are late."""

REUSABLE_SHARE_MIN = 0.5
"""Share of a prompt's tokens that others may reuse, from which on the whole prompt has a home. A
prompt that shares less has hardly anything to gain from one replica rather than another, and would
leave its domain for it."""


class Job(Protocol):
    """A prompt as the choice of replicas sees it."""

    @property
    def chain(self) -> list[int]:
        """The hashes of its blocks, the last of which is its own."""

    @property
    def prompt_tokens(self) -> int:
        """Its length."""

    def count_tokens(self, blocks: int) -> int:
        """Return the number of tokens in the first `blocks` blocks."""


def count_home_tokens(job: Job, own_domain: str) -> int:
    """Return the tokens of a prompt that are better computed at its home replica."""
    reusable = job.count_tokens(max(0, len(job.chain) - 1))
    if own_domain and reusable < job.prompt_tokens * REUSABLE_SHARE_MIN:
        return reusable
    return job.prompt_tokens


def estimate_crossing(own_domain: str, replica_domain: str) -> float:
    """Return the cost of sending a request to a replica, in seconds.

    It is zero if the own failure domain is unknown.
    """
    return CROSSING_SECONDS if own_domain and own_domain != replica_domain else 0.0
