"""Epochs: who holds units of the accounts' limits, agreed through the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from passpier.core import members, shares
from passpier.daemon import limits, messages, peers, storage

log = logging.getLogger(__name__)

PROPOSE_INTERVAL = 2.0
"""Seconds between looks at whether the epoch's holders are still right."""

RETRY_SECONDS = 0.2
"""Seconds after which a newcomer that is in no epoch yet looks again."""

SMALL_FLEET = 16
"""Daemons up to which a newcomer may write the next epoch itself."""


class Epochs:
    """Reads, proposes and passes on epochs; one daemon at a time looks after them."""

    def __init__(
        self,
        membership: members.Membership,
        link: peers.Peers,
        shared: storage.Storage,
        account_limits: limits.Limits,
        add_members: Callable[[list[members.Member]], None],
        announce: Callable[[], None],
    ) -> None:
        self.leaving = False
        self._membership = membership
        self._peers = link
        self._storage = shared
        self._limits = account_limits
        self._add_members = add_members
        self._announce = announce
        self._hurry = asyncio.Event()
        self._missing_since: dict[str, float] = {}
        link.handle(messages.EpochWanted, self._send)
        link.handle(messages.Epoch, self._take)

    async def run(self) -> None:
        """Look after the epoch until cancelled."""
        await self._storage.repeat(PROPOSE_INTERVAL, self._propose, self._hurry)

    def note_registered(self) -> None:
        """Have the epoch looked at now if this daemon has just come."""
        if self._is_newcomer():
            self._hurry.set()

    def install(self, epoch: storage.EpochRecord) -> None:
        """Take up an epoch if it is newer, and pass it on."""
        if not self._limits.install_epoch(epoch):
            return
        self._announce()
        for member in self._membership.list_known()[:SMALL_FLEET]:
            self._peers.send(member.peer, messages.Epoch(epoch.number, epoch.holders))

    def _send(self, sender: str, address: str, message: messages.EpochWanted) -> None:
        epoch = self._limits.epoch
        if epoch is not None:
            self._peers.send(address, messages.Epoch(epoch.number, epoch.holders))

    def _take(self, sender: str, address: str, message: messages.Epoch) -> None:
        self.install(storage.EpochRecord(message.number, message.holders))

    async def _propose(self) -> None:
        if self._limits.epoch is None:
            epoch, _ = await self._storage.read_epoch()
            if epoch is not None:
                self.install(epoch)
        if not self._is_proposer():
            return
        listed = await self._storage.read_members()
        self._add_members(listed)
        epoch, at = await self._storage.read_epoch()
        if epoch is not None:
            self.install(epoch)
        await self._write(epoch, at, self._choose_holders(listed, epoch))
        if self._is_newcomer():
            # Another newcomer was quicker, or this one was not listed yet.
            asyncio.get_running_loop().call_later(RETRY_SECONDS, self._hurry.set)

    async def _write(
        self, epoch: storage.EpochRecord | None, at: int, wanted: dict[str, storage.Seat]
    ) -> None:
        if epoch is None or wanted != epoch.holders:
            record = storage.EpochRecord(epoch.number + 1 if epoch else 1, wanted)
            if await self._storage.write_epoch(record, at):
                log.info('epoch proposed', extra={'epoch': record.number, 'holders': len(wanted)})
                self.install(record)

    def _is_newcomer(self) -> bool:
        """Return whether this daemon belongs to a small fleet's next epoch and has no units yet.

        In a large fleet newcomers borrow and wait for the proposer, so that a herd of them does
        not contend for the epoch.
        """
        epoch = self._limits.epoch
        listed = epoch is not None and self._membership.own.incarnation in epoch.holders
        return not listed and not self.leaving and len(self._membership) <= SMALL_FLEET

    def _is_proposer(self) -> bool:
        serving = self._membership.list_serving(time.monotonic())
        oldest = min((m.incarnation for m in serving), default=self._membership.own.incarnation)
        return self._is_newcomer() or oldest == self._membership.own.incarnation

    def _choose_holders(
        self, listed: list[members.Member], epoch: storage.EpochRecord | None
    ) -> dict[str, storage.Seat]:
        """Return the listed daemons and those holders of before that may still be running."""
        now = time.monotonic()
        replaced = self._find_replaced(listed, epoch)
        present = {m.incarnation for m in listed}
        holders = {}
        for incarnation, seat in (epoch.holders if epoch else {}).items():
            if self._limits.has_departed(incarnation) or incarnation in replaced:
                continue
            if incarnation in present or not self._is_certainly_gone(incarnation, now):
                holders[incarnation] = seat
        for member in listed:
            beat = self._membership.get_beat(member.incarnation)
            alive = beat is not None and (beat.counter > 0 or member == self._membership.own)
            if alive and beat is not None and not beat.leaving:
                holders[member.incarnation] = (member.name, member.failure_domain, member.peer)
        return holders

    def _find_replaced(
        self, listed: list[members.Member], epoch: storage.EpochRecord | None
    ) -> set[str]:
        # Two processes cannot hold one address, so an older incarnation there has ended.
        newest: dict[str, str] = {}
        for member in listed:
            newest[member.peer] = max(newest.get(member.peer, ''), member.incarnation)
        holders = epoch.holders if epoch else {}
        return {i for i, seat in holders.items() if newest.get(seat[2], '') > i}

    def _is_certainly_gone(self, incarnation: str, now: float) -> bool:
        """Return whether a holder without a lease has been silent for so long that it is fenced."""
        silent_since = self._membership.get_advanced_at(incarnation)
        if silent_since is None:
            silent_since = self._missing_since.setdefault(incarnation, now)
        else:
            # Heard again: were it unknown once more, its silence would count from then.
            self._missing_since.pop(incarnation, None)
        return now - silent_since > shares.GONE_SECONDS
