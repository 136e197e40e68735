"""Fencing of holders that are no longer heard."""

from __future__ import annotations

from typing import Any, cast

from passpier.core import members, shares
from passpier.daemon import epochs
from passpier.standins import network

OWN = members.Member('vm-0', 'i0', '10.0.0.1', 1, 2, 'd0')
OTHER = members.Member('vm-1', 'i1', '10.0.0.2', 1, 2, 'd1')


def make_epochs(membership: members.Membership) -> epochs.Epochs:
    link = network.Network(cast(Any, None)).connect(OWN)
    return epochs.Epochs(
        membership, cast(Any, link), cast(Any, None), cast(Any, None), cast(Any, None), print
    )


def test_silence_counts_from_when_a_daemon_was_last_heard() -> None:
    """A daemon is unknown, then heard, then removed; silence used to count from the first time."""
    membership = members.Membership(OWN, 0.5, 0.0)
    maintained = make_epochs(membership)
    assert not maintained._is_fenced('i1', 0.0)
    membership.add(OTHER, 1.0)
    membership.merge([members.Beat('i1', 1)], 1.0)
    assert not maintained._is_fenced('i1', 1.0)
    membership.remove('i1')
    later = shares.GONE_SECONDS + 5.0
    assert not maintained._is_fenced('i1', later)
    assert maintained._is_fenced('i1', later + shares.GONE_SECONDS + 1.0)
