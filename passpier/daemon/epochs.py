"""Maintains epochs: the set of daemons that hold units of limits, agreed through the store."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from passpier import clocks
from passpier.core import members, shares
from passpier.daemon import limits, messages, peers, storage

log = logging.getLogger(__name__)

PROPOSE_INTERVAL = 2.0
"""Seconds between checks of the epoch's holders."""

JOIN_RETRY_SECONDS = 0.2
"""Seconds after which a new daemon that is not in the epoch yet tries again."""

MAX_READ_GAP = 2.5 * PROPOSE_INTERVAL
"""Seconds between two reads of the members beyond which a lease may have been granted and expired
unseen. It is below the lifetime of leases, unless that is set to half of its default."""

SMALL_FLEET = 16
"""Fleet size up to which a new daemon may write the next epoch itself."""


class Epochs:
    """Reads, proposes and forwards epochs; normally one daemon at a time proposes them."""

    def __init__(
        self,
        membership: members.Membership,
        link: peers.Peers,
        shared_storage: storage.Storage,
        account_limits: limits.Limits,
        add_members: Callable[[list[members.Member]], None],
        announce: Callable[[], None],
    ) -> None:
        self.leaving = False
        self._membership = membership
        self._peers = link
        self._storage = shared_storage
        self._limits = account_limits
        self._add_members = add_members
        self._announce = announce
        self._wake = asyncio.Event()
        self._missing_since: dict[str, float] = {}
        self._unlisted_since: dict[str, float] = {}
        self._read_at = float('-inf')
        self._retained: set[str] = set()
        self._unlisted_holders: set[str] = set()
        """Holders without a lease, as of the last read."""

        self._lost_since: dict[str, float] = {}
        """When this daemon first saw each dropped holder that is still a voter."""

        link.register_handler(messages.EpochRequest, self._handle_request)
        link.register_handler(messages.Epoch, self._handle_epoch)

    async def run(self) -> None:
        """Maintain the epoch until cancelled."""
        await self._storage.repeat(PROPOSE_INTERVAL, self._propose, self._wake)

    def note_registered(self) -> None:
        """Check the epoch immediately if this daemon is new."""
        if self._must_join():
            self._wake.set()

    async def catch_up(self) -> None:
        """Install the epoch from the store."""
        epoch, _ = await self._storage.read_epoch()
        if epoch is not None:
            self.install(epoch)

    def install(self, epoch: storage.EpochRecord) -> None:
        """Install an epoch if it is newer, and forward it to peers."""
        if not self._limits.install_epoch(epoch):
            return
        self._announce()
        for member in self._membership.list_known()[:SMALL_FLEET]:
            self._peers.send(member.peer, make_message(epoch))

    def _handle_request(self, sender: str, address: str, message: messages.EpochRequest) -> None:
        epoch = self._limits.epoch
        if epoch is not None:
            self._peers.send(address, make_message(epoch))

    def _handle_epoch(self, sender: str, address: str, message: messages.Epoch) -> None:
        self.install(
            storage.EpochRecord(message.number, message.holders, message.took_over, message.lost)
        )

    async def _propose(self) -> None:
        if self._limits.epoch is None:
            await self.catch_up()
        if not self._is_proposer():
            return
        asked_at = clocks.now()
        listed = await self._storage.read_members()
        self._record_listed(listed, asked_at)
        self._add_members(listed)
        epoch, at = await self._storage.read_epoch()
        if epoch is not None:
            self.install(epoch)
        await self._write(epoch, at, self._choose_holders(listed, epoch))
        if self._must_join():
            # Another daemon wrote first, or this one is not listed yet.
            asyncio.get_running_loop().call_later(JOIN_RETRY_SECONDS, self._wake.set)

    async def _write(
        self, epoch: storage.EpochRecord | None, at: int, wanted: dict[str, storage.HolderRecord]
    ) -> None:
        lost = self._choose_lost(epoch, wanted)
        if epoch is None or wanted != epoch.holders or lost != epoch.lost:
            number = epoch.number + 1 if epoch else 1
            left_out = set(epoch.holders) - set(wanted) if epoch else set()
            missing = {i for i in left_out if not self._limits.has_departed(i)}
            before = epoch.took_over if epoch else 0
            record = storage.EpochRecord(number, wanted, number if missing else before, lost)
            if await self._storage.write_epoch(record, at):
                fields = {'epoch': record.number, 'holders': len(wanted), 'lost': len(lost)}
                log.info('epoch proposed', extra=fields)
                self.install(record)

    def _choose_lost(
        self, epoch: storage.EpochRecord | None, wanted: Mapping[str, storage.HolderRecord]
    ) -> dict[str, storage.HolderRecord]:
        """Return the dropped holders that remain voters."""
        if epoch is None:
            return {}
        now = clocks.now()
        lost = {
            incarnation: holder
            for incarnation, holder in epoch.voters.items()
            if incarnation not in wanted and not self._limits.has_departed(incarnation)
        }
        self._lost_since = {i: self._lost_since.get(i, now) for i in lost}
        if self._unlisted_holders:
            # Without them, those that are heard might no longer be enough to drop the others.
            return lost
        return {i: h for i, h in lost.items() if now - self._lost_since[i] < shares.VOTER_SECONDS}

    def _must_join(self) -> bool:
        """Return whether this daemon should join the epoch of a small fleet by writing it itself.

        In a large fleet new daemons borrow units and wait for the proposer, so that many starts at
        once do not contend for the epoch.
        """
        epoch = self._limits.epoch
        listed = epoch is not None and self._membership.own.incarnation in epoch.holders
        return not listed and not self.leaving and len(self._membership) <= SMALL_FLEET

    def _is_proposer(self) -> bool:
        """Return whether this daemon maintains the epoch.

        This is the oldest daemon, and also the oldest of those that know the last settled
        generation: a daemon that was isolated for long does not, and may leave nobody out.
        """
        own = self._membership.own.incarnation
        serving = {m.incarnation for m in self._membership.list_serving(clocks.now())}
        informed = serving & self._limits.book.common_holders
        return self._must_join() or own in (min(serving, default=own), min(informed, default=''))

    def _choose_holders(
        self, listed: list[members.Member], epoch: storage.EpochRecord | None
    ) -> dict[str, storage.HolderRecord]:
        """Return the listed daemons and the current holders that may still be running."""
        before = epoch.holders if epoch else {}
        for incarnation in self._find_replaced(listed, epoch):
            self._limits.note_departed(incarnation)
        unlisted = set(before) - {m.incarnation for m in listed}
        self._unlisted_holders = unlisted
        missing = self._find_missing(unlisted)
        holders = {}
        for incarnation, holder in before.items():
            if not self._limits.has_departed(incarnation) and incarnation not in missing:
                holders[incarnation] = holder
        for member in listed:
            beat = self._membership.get_beat(member.incarnation)
            alive = beat is not None and (beat.counter > 0 or member == self._membership.own)
            if alive and beat is not None and not beat.leaving:
                holders[member.incarnation] = (member.name, member.failure_domain, member.peer)
        return holders

    def _find_missing(self, unlisted: set[str]) -> set[str]:
        """Return the holders whose units may be reassigned without a notice that they stopped."""
        now = clocks.now()
        known = {i for i in unlisted if not self._limits.has_departed(i)}
        expired = {i for i in known if self._is_fenced(i, now)}
        self._limits.record_contacts()
        retained = {i for i in expired if not self._limits.may_drop(i)}
        if retained - self._retained:
            contact = self._limits.book.describe_contact(now)
            log.warning('vanished holders kept', extra={'kept': sorted(retained), **contact})
        self._retained = retained
        return expired - retained

    def _record_listed(self, listed: list[members.Member], asked_at: float) -> None:
        if clocks.now() - self._read_at > MAX_READ_GAP:
            self._unlisted_since.clear()
        self._read_at = asked_at
        for member in listed:
            self._unlisted_since.pop(member.incarnation, None)

    def _find_replaced(
        self, listed: list[members.Member], epoch: storage.EpochRecord | None
    ) -> set[str]:
        # Two processes can't share an address, so an older incarnation there has ended.
        newest: dict[str, str] = {}
        for member in listed:
            newest[member.peer] = max(newest.get(member.peer, ''), member.incarnation)
        voters = epoch.voters if epoch else {}
        return {i for i, holder in voters.items() if newest.get(holder[2], '') > i}

    def _is_fenced(self, incarnation: str, now: float) -> bool:
        """Return whether a holder without a lease has been silent for long enough to be fenced.

        Holders may use their units for a while after their last lease, and after they were last
        heard, so both times count.
        """
        unlisted_since = self._unlisted_since.setdefault(incarnation, now)
        silent_since = self._membership.get_advanced_at(incarnation)
        if silent_since is None:
            silent_since = self._missing_since.setdefault(incarnation, now)
        else:
            # It was heard. If it becomes unknown again, its silence counts from that time.
            self._missing_since.pop(incarnation, None)
        return now - max(silent_since, unlisted_since) > shares.GONE_SECONDS


def make_message(epoch: storage.EpochRecord) -> messages.Epoch:
    """Return the message that sends an epoch to peers."""
    return messages.Epoch(epoch.number, epoch.holders, epoch.took_over, epoch.lost)
