"""Account limits of a daemon that has just started."""

from __future__ import annotations

import asyncio
import random
from typing import cast

from passpier import clocks
from passpier.config import declarations, directory
from passpier.core import members
from passpier.daemon import limits, peers, storage
from passpier.standins import network, virtual_time


def make_member(number: int) -> members.Member:
    return members.Member(f'vm-{number}', f'i{number}', '127.0.0.1', 1 + number, 10 + number, 'd')


def test_a_share_that_arrives_while_a_peer_is_asked_is_used() -> None:
    """Guards against refusing a request whose daemon gets its first share while it asks a peer."""

    async def run() -> bool:
        own, unresponsive = make_member(0), make_member(1)
        membership = members.Membership(own, 1.0, clocks.now())
        membership.add(unresponsive, clocks.now())
        link = network.Network(random.Random(1)).connect(own)
        account_limits = limits.Limits(membership, cast(peers.Peers, link), 3)
        fleet = declarations.Fleet('f', accounts=(declarations.Account('a', concurrency=8),))
        account_limits.install(directory.Directory(fleet, 1))
        seats = {m.incarnation: (m.name, 'd', m.peer) for m in (own, unresponsive)}
        account_limits.install_epoch(storage.EpochRecord(1, seats))
        acquired = asyncio.ensure_future(account_limits.acquire('a'))
        await asyncio.sleep(limits.BORROW_TIMEOUT / 2)
        account_limits.note_departed(unresponsive.incarnation)
        account_limits.settle()
        account_limits.book.note_store_contact(clocks.now())
        return (await acquired).is_ok()

    assert virtual_time.run(run())
