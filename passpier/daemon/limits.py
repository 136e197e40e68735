"""Enforces the limits of client accounts: uses own units first, then borrows from peers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import uuid

import expression
import msgspec

from passpier import clocks, exceptions
from passpier.config import directory
from passpier.core import members, shares
from passpier.daemon import messages, peers, storage

log = logging.getLogger(__name__)

BORROW_TIMEOUT = 0.25
"""Seconds to wait for the response of a peer that may lend a unit."""

FIRST_SHARE_TIMEOUT = 3.0
"""Seconds for which requests wait for the first share of a daemon that has just started."""


class Unit(msgspec.Struct):
    """A unit in use; `lender` is the peer address that it was borrowed from, or empty."""

    account: str
    loan: str = ''
    lender: str = ''


class Limits:
    """Shares of the accounts' limits held by this daemon, with loans from and to peers."""

    def __init__(self, membership: members.Membership, link: peers.Peers, entry_count: int) -> None:
        self._membership = membership
        self._peers = link
        self._entry_count = entry_count
        self._replies = peers.Replies()
        self._borrowed: dict[str, str] = {}
        self._lenders: set[str] = set()
        self.book = shares.ShareBook(membership.own.incarnation)
        self._settled = asyncio.Event()
        self._isolated = False
        self._confirm_from: dict[int, float] = {}
        self.epoch: storage.EpochRecord | None = None
        self._config: directory.Directory | None = None
        link.register_handler(messages.BorrowRequest, self._handle_borrow)
        link.register_handler(messages.BorrowResponse, self._handle_lent)
        link.register_handler(messages.Repay, self._handle_repay)
        link.register_handler(messages.ActiveLoans, self._handle_loans)

    async def acquire(self, account: str) -> expression.Result[Unit, exceptions.Failure]:
        """Return a unit, or the failure; after a start, waits for the first share."""
        # Checked before the attempt, as the first share may arrive while a peer is asked.
        is_starting = not self._settled.is_set()
        result = await self._try_acquire(account)
        if result.is_ok() or not is_starting:
            return result
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._settled.wait(), FIRST_SHARE_TIMEOUT)
        return await self._try_acquire(account)

    def release(self, unit: Unit, tokens: int) -> None:
        """Return a unit to its owner and charge the tokens that were used."""
        if unit.lender:
            self._borrowed.pop(unit.loan, None)
            self._peers.send(unit.lender, messages.Repay(unit.loan, tokens))
            return
        self.book.charge(unit.account, tokens, clocks.now())
        self.book.release(unit.account)

    def install_epoch(self, epoch: storage.EpochRecord) -> bool:
        """Install an epoch if it is newer; return whether it was."""
        if self.epoch is not None and epoch.number <= self.epoch.number:
            return False
        if self.epoch is not None and epoch.took_over > self.epoch.number:
            self._confirm_from[epoch.number] = clocks.now() + shares.CONFIRM_SECONDS
        self.epoch = epoch
        own = self._membership.own
        for incarnation, holder in epoch.voters.items():
            if holder[2] == own.peer and incarnation != own.incarnation:
                # This process uses the address, so the process that used it before has ended.
                self.book.departed.add(incarnation)
        self._install_grant()
        return True

    def get_confirmable(self) -> shares.Generation:
        """Return the newest generation that this daemon may confirm."""
        now = clocks.now()
        self._confirm_from = {n: at for n, at in self._confirm_from.items() if at > now}
        return self.book.get_confirmable(min(self._confirm_from, default=float('inf')))

    def install(self, config: directory.Directory) -> None:
        """Install a newer configuration."""
        self._config = config
        self._install_grant()

    def _install_grant(self) -> None:
        if self.epoch is None or self._config is None:
            return
        self.book.note_isolation(clocks.now())
        holders = {
            i: shares.Holder(holder[0], holder[1]) for i, holder in self.epoch.holders.items()
        }
        generation = shares.Generation(self.epoch.number, self._config.revision)
        self.book.install(
            shares.Grant(
                generation,
                holders,
                self._config.accounts,
                self._entry_count,
                frozenset(self.epoch.lost),
            )
        )

    def tick(self) -> None:
        """Settle the newest generation if possible; tell lenders which loans are still in use."""
        self.record_contacts()
        self.settle()
        for lender in list(self._lenders):
            loans = [loan for loan, address in self._borrowed.items() if address == lender]
            self._peers.send(lender, messages.ActiveLoans(loans))
            if not loans:
                self._lenders.discard(lender)

    def settle(self) -> None:
        """Settle the newest generation once every holder has confirmed it."""
        if not self.book.settle(self._get_confirmed):
            return
        self._settled.set()
        generation = self.book.generation
        log.info(
            'shares settled',
            extra={'epoch': generation.epoch, 'revision': generation.revision},
        )

    def record_contacts(self) -> None:
        """Record when each voter was last heard; log when this daemon becomes isolated or not."""
        now = clocks.now()
        self.book.note_isolation(now)
        for incarnation in self.book.list_voters():
            beat = self._membership.get_beat(incarnation)
            at = self._membership.get_advanced_at(incarnation)
            # A holder in an epoch that is unknown here may no longer count this daemon as one.
            if beat is None or at is None or self.epoch is None:
                continue
            if beat.counter and max(beat.epoch, beat.known_epoch) <= self.epoch.number:
                self.book.note_holder_contact(incarnation, at)
        self.book.note_isolation(now)
        isolated = self.book.is_isolated(now)
        if isolated != self._isolated:
            self._isolated = isolated
            event = 'shares unusable' if isolated else 'shares usable'
            log.warning(event, extra=self.book.describe_contact(now))

    def may_drop(self, incarnation: str) -> bool:
        """Return whether a holder that disappeared may be left out of the next epoch."""
        beat = self._membership.get_beat(incarnation)
        confirmed = shares.NO_GRANT.generation
        if beat is not None:
            confirmed = shares.Generation(beat.epoch, beat.confirmed)
        return self.book.may_drop(confirmed, clocks.now())

    def note_departed(self, incarnation: str) -> None:
        """Record that a daemon has certainly stopped."""
        self.book.departed.add(incarnation)
        self.book.drop_borrower(incarnation, clocks.now())

    def has_departed(self, incarnation: str) -> bool:
        """Return whether a daemon has certainly stopped."""
        return incarnation in self.book.departed

    async def _try_acquire(self, account: str) -> expression.Result[Unit, exceptions.Failure]:
        if self.book.acquire(account, clocks.now()):
            return expression.Ok(Unit(account))
        retry_after = self.book.compute_retry_after(account)
        for incarnation in self.book.rank_lenders(account):
            member = self._membership.get(incarnation)
            if member is None or member not in self._membership.list_alive(clocks.now()):
                continue
            unit, delay = await self._borrow(account, member.peer)
            if unit is not None:
                return expression.Ok(unit)
            retry_after = max(retry_after, delay)
        failure = exceptions.Failure(
            exceptions.Code.LIMIT,
            exceptions.Outcome.NOT_RUN,
            f'the limit of account {account!r} is reached',
            retry_after,
        )
        return expression.Error(failure)

    async def _borrow(self, account: str, address: str) -> tuple[Unit | None, float]:
        loan = uuid.uuid4().hex
        self._borrowed[loan] = address
        self._lenders.add(address)
        self._peers.send(address, messages.BorrowRequest(loan, account))
        granted = False
        try:
            response = await self._replies.wait(loan, BORROW_TIMEOUT)
            granted = isinstance(response, messages.BorrowResponse) and response.granted
        finally:
            # Also runs if the request is cancelled while the response is pending.
            if not granted:
                del self._borrowed[loan]
        if granted:
            return Unit(account, loan, address), 0.0
        return None, response.retry_after if isinstance(response, messages.BorrowResponse) else 0.0

    def _handle_borrow(self, sender: str, address: str, message: messages.BorrowRequest) -> None:
        granted = self.book.lend(message.loan, message.account, sender, clocks.now())
        retry_after = self.book.compute_retry_after(message.account)
        self._peers.send(address, messages.BorrowResponse(message.loan, granted, retry_after))

    def _handle_lent(self, sender: str, address: str, message: messages.BorrowResponse) -> None:
        if not self._replies.resolve(message.loan, message) and message.granted:
            self._peers.send(address, messages.Repay(message.loan, 0))

    def _handle_repay(self, sender: str, address: str, message: messages.Repay) -> None:
        self.book.repay(message.loan, message.tokens, clocks.now())

    def _handle_loans(self, sender: str, address: str, message: messages.ActiveLoans) -> None:
        self.book.reconcile(sender, set(message.loans), clocks.now())

    def _get_confirmed(self, incarnation: str) -> shares.Generation | None:
        if incarnation == self._membership.own.incarnation:
            return self.get_confirmable()
        if incarnation in self.book.departed or incarnation not in self.book.holders:
            # The writer of an epoch leaves out only holders that have certainly stopped.
            return None
        beat = self._membership.get_beat(incarnation)
        if beat is None:
            return shares.NO_GRANT.generation
        return shares.Generation(beat.epoch, beat.confirmed)
