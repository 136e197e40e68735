"""Who still counts as a holder of units: silence counts from when a daemon was last heard."""

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


def test_silence_counts_anew_after_a_daemon_was_heard() -> None:
    """It was unknown at first, heard later, and dropped: it counted as gone from the first time."""
    membership = members.Membership(OWN, 0.5, 0.0)
    looked_after = make_epochs(membership)
    assert not looked_after._is_certainly_gone('i1', 0.0)
    membership.add(OTHER, 1.0)
    membership.merge([members.Beat('i1', 1)], 1.0)
    assert not looked_after._is_certainly_gone('i1', 1.0)
    membership.remove('i1')
    later = shares.GONE_SECONDS + 5.0
    assert not looked_after._is_certainly_gone('i1', later)
    assert looked_after._is_certainly_gone('i1', later + shares.GONE_SECONDS + 1.0)
