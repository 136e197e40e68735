"""Keeps client accounts within their rates: charges requests, tells the other processes."""

from __future__ import annotations

import asyncio
import logging
import random

from passpier import clocks
from passpier.core import buckets, entries, members, routes, turns
from passpier.daemon import messages, peers
from passpier.routing import knowledge

log = logging.getLogger(__name__)

INTERVAL = 0.1
"""Seconds between two messages to a peer while requests of limited accounts come."""

USUAL_PEERS = 24
"""Processes that share the rates up to which that holds; it grows with more, so that one process
does not send more messages."""

SHARERS_INTERVAL = 0.5
"""Seconds between looks at who shares the rates, as often as heartbeats bring news."""

QUIET_SECONDS = 2.0
"""Seconds without any charge after which nobody is told anything until the next one."""

ASK_SECONDS = 0.15
"""Seconds for which a request waits at the most for word from processes that are out of touch. It
takes some milliseconds; a process that has stood by is in touch with nobody."""

ASK_AGAIN_SECONDS = 1.0
"""Seconds after which they are asked again; until then whoever is out of touch counts as away."""

RETRY_MIN = 0.05
"""Seconds after which a refused client should come back at the earliest."""

RETRY_SPREAD = 0.5
"""Part of the wait by which clients that are refused together come back apart."""


class Limiter:
    """One process's part in keeping the rates."""

    def __init__(
        self,
        known: knowledge.Knowledge,
        membership: members.Membership,
        link: peers.Peers,
        tolerance: buckets.Tolerance,
        rng: random.Random,
    ) -> None:
        self.book = buckets.SharedBuckets(tolerance, INTERVAL, clocks.now())
        self._known = known
        self._membership = membership
        self._peers = link
        self._rng = rng
        self._table: routes.Table | None = None
        self._sharers_at = float('-inf')
        self._addresses: dict[str, str] = {}
        """Of the other processes that share the rates."""

        self._carries = False
        """Whether this process is one of those that share the rates."""

        self._spent_at = float('-inf')
        """When a limited account last asked for something here."""

        self._told_at: dict[str, float] = {}
        """When others were last told, those included that do not share the rates."""

        self._turns = turns.Turns()
        self._heard = asyncio.Event()
        self._asked_at = float('-inf')
        link.handle(messages.Spent, self._take_spent)

    async def run(self) -> None:
        """Tell the others until cancelled."""
        while True:
            await asyncio.sleep(self.book.interval if self.book.has_rates else SHARERS_INTERVAL)
            now = clocks.now()
            self.sync(now)
            if self._may_tell(now) and now - self.book.changed_at < QUIET_SECONDS:
                self._tell_all(now)

    def sync(self, now: float) -> None:
        """Take over the configuration and who shares the rates."""
        table = self._known.table
        if table is not None and table is not self._table:
            self._table = table
            self.book.configure(table.rates, now)
        if not self.book.has_rates:
            return
        # After a start the others are met one by one.
        interval = SHARERS_INTERVAL if self._addresses else INTERVAL
        if now - self._sharers_at >= interval:
            self._sharers_at = now
            self._set_sharers(now)
            self._turns.forget(now)

    async def charge(self, request: str, account: str, cost: int, patience: float) -> float:
        """Spend `cost` units, or return the seconds after which the client should come back.

        It still waits for `patience` seconds.
        """
        now = clocks.now()
        self.sync(now)
        self._spent_at = now
        wait = self.book.take(account, cost, now)
        if wait and self.book.compute_share(now) < 1.0:
            wait = await self._ask(account, cost)
            now = clocks.now()
        if not wait:
            return 0.0
        turn = self._take_turn(account, cost, wait, patience, now)
        retry_after = max(RETRY_MIN, turn) * self._rng.uniform(1.0, 1.0 + RETRY_SPREAD)
        log.info(
            'over limit',
            extra={
                'request': request,
                'account': account,
                'cost': cost,
                'left': round(self.book.get_level(account, now)),
                'share': round(self.book.compute_share(now), 3),
                'sharers': len(self._addresses),
                'retry_after': round(retry_after, 3),
            },
        )
        return retry_after

    def _take_turn(
        self, account: str, cost: int, wait: float, patience: float, now: float
    ) -> float:
        """Return when a refused client should come back, behind those that were told before it."""
        # Each process has clients of its own that come back.
        pace = self.book.get_rate(account).per_second / (len(self._addresses) + 1)
        return self._turns.take(account, cost, pace, wait, patience / (1.0 + RETRY_SPREAD), now)

    async def _ask(self, account: str, cost: int) -> float:
        """Spend `cost` units as soon as enough processes are in touch, if they are shortly."""
        now = clocks.now()
        if now - self._asked_at > ASK_AGAIN_SECONDS:
            self._asked_at = now
            self._tell_all(now)
        while now < self._asked_at + ASK_SECONDS:
            self._heard.clear()
            try:
                await asyncio.wait_for(self._heard.wait(), self._asked_at + ASK_SECONDS - now)
            except TimeoutError:
                break
            now = clocks.now()
            if not self.book.take(account, cost, now):
                return 0.0
        return self.book.take(account, cost, clocks.now())

    def _set_sharers(self, now: float) -> None:
        """Find out who may spend: who took requests lately, and whom clients are sent to."""
        membership = self._membership
        known = membership.list_known()
        named = entries.choose_active(known, membership.map_rates(known))
        sharers = {m.incarnation: m.peer for m in [*named, *membership.list_carrying()]}
        own = membership.own.incarnation
        took = membership.get_rate(own) > 0 and not membership.is_standing_by(now)
        self._carries = took or own in sharers
        sharers.pop(own, None)
        self.book.set_sharers(sharers, now)
        self.book.interval = INTERVAL * max(1.0, len(sharers) / USUAL_PEERS)
        self._addresses = sharers
        self.book.forget(m.incarnation for m in known)
        self._told_at = {n: at for n, at in self._told_at.items() if now - at < QUIET_SECONDS}

    def _may_tell(self, now: float) -> bool:
        """Return whether others have to know of this process: it may spend, or has lately."""
        spent = now - self._spent_at < QUIET_SECONDS
        return self.book.has_rates and (self._carries or spent)

    def _tell_all(self, now: float) -> None:
        for name, address in self._addresses.items():
            self._tell(name, address, now)

    def _tell(self, name: str, address: str, now: float) -> None:
        self._told_at[name] = now
        number, heard, knows, rows = self.book.tell(name, now)
        told = [(row.account, row.spent, row.left) for row in rows]
        self._peers.send(address, messages.Spent(number, heard, knows, told))

    def _take_spent(self, sender: str, address: str, message: messages.Spent) -> None:
        now = clocks.now()
        self.sync(now)
        was_in_touch = self.book.is_in_touch(sender, now)
        rows = [buckets.Row(*row) for row in message.rows]
        number, heard = message.number, message.confirmed
        self.book.hear(sender, number, heard, message.knows, rows, now)
        if not was_in_touch:
            self._heard.set()
        # Whoever is not told anyway waits for word from here, perhaps with a request.
        late = now - self._told_at.get(sender, float('-inf')) >= self.book.interval
        is_told = sender in self._addresses and was_in_touch
        if late and not is_told and self._may_tell(now):
            self._tell(sender, address, now)


class Charge:
    """What one request has been charged and has not spent yet."""

    def __init__(
        self, limiter: Limiter, request: str, account: routes.Account | None, tokens: int | None
    ) -> None:
        self._limiter = limiter
        self._request = request
        self._account = account if account is not None and account.rate is not None else None
        self._tokens = tokens
        self._charged = 0

    async def take(self, patience: float) -> float:
        """Charge one attempt, unless the charge of the last one was not spent.

        Returns 0, or the seconds after which the client should come back, which still waits for
        `patience` seconds.
        """
        if self._charged or self._account is None:
            return 0.0
        cost = self._account.compute_cost(self._tokens)
        retry_after = await self._limiter.charge(self._request, self._account.name, cost, patience)
        if not retry_after:
            self._charged = cost
        return retry_after

    def note_spent(self) -> None:
        """Note that an attempt may have run: the next one is charged anew."""
        self._charged = 0

    def give_back(self) -> None:
        """Give back what was charged for an attempt that did not run."""
        if self._charged and self._account is not None:
            self._limiter.book.give_back(self._account.name, self._charged, clocks.now())
            self._charged = 0
