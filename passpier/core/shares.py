"""Limits of client accounts, enforced over all daemons without coordination per request.

An account's limit is a number of units. Each daemon holds some of them and uses only those; a
daemon without a free unit borrows one from a holder for the duration of one request.
The number of units per daemon follows from a generation (epoch of holders and configuration
revision). A generation is settled once every holder has confirmed it. Until then, a daemon uses at
most the minimum of what the last settled and all later generations grant it. Whatever mixture of
generations the daemons are in, the sum of their units never exceeds the limit.

A daemon can't distinguish an outage of the store from a partition that separates only its own side
from it. So a daemon continues without the store only while it is in contact with more than half of
the holders, and the units of lost holders are reassigned only by a daemon that misses at most half
of them: of the two sides of a partition, at most one may do either.

A holder that was dropped without proof that it had stopped remains a voter for some time. A daemon
that continues without the store needs contact with more than half of the voters as well. Without
this, a few holders that are left after others were dropped would be a majority of their own, and if
most of them died, the rest could never drop them, even with all others back.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from passpier.core import rendezvous

FENCE_SECONDS = 30.0
"""Seconds without contact to the store or most holders after which a daemon uses no units."""

GONE_SECONDS = 60.0
"""Seconds of silence after which a holder with an expired lease has certainly fenced itself."""

CONFIRM_SECONDS = 40.0
"""Seconds for which an epoch that drops a lost holder is not confirmed. For that long, the holder
may rely on a contact from before this daemon knew of the epoch, which is relayed for some
seconds."""

VOTER_SECONDS = 3600.0
"""Seconds for which a dropped holder remains a voter while no holder is missing."""

LOAN_GRACE = 5.0
"""Seconds for which a new loan may be missing from its borrower's list."""


class Generation(msgspec.Struct, frozen=True, order=True):
    """An epoch of holders combined with a configuration revision."""

    epoch: int
    revision: int

    def covers(self, other: Generation) -> bool:
        """Return whether confirming this generation also confirms `other`."""
        return self.epoch >= other.epoch and self.revision >= other.revision


class Limited(Protocol):
    """An object with a limit over the whole fleet, such as an account."""

    @property
    def concurrency(self) -> int:
        """Maximum concurrent requests."""

    @property
    def tokens_per_second(self) -> int:
        """Maximum prompt and completion tokens per second."""


class Limit(msgspec.Struct, frozen=True):
    """A plain implementation of `Limited`."""

    concurrency: int
    tokens_per_second: int


class Holder(msgspec.Struct, frozen=True):
    """A daemon that holds units, listed by its incarnation."""

    name: str
    failure_domain: str


class Grant(msgspec.Struct, frozen=True):
    """The allocation of a generation: holders by incarnation, limits by account.

    `lost` are the voters that are no holders.
    """

    generation: Generation
    holders: Mapping[str, Holder]
    limits: Mapping[str, Limited]
    count: int
    lost: frozenset[str] = frozenset()

    @property
    def voters(self) -> set[str]:
        """The incarnations of which most must be in contact to continue without the store."""
        return {*self.holders, *self.lost}

    def compute_units(self, account: str, holder: str) -> int:
        """Return the units of `account` that `holder` may use."""
        limit = self.limits.get(account)
        if limit is None or holder not in self.holders:
            return 0
        ranked = self.rank_holders(account)
        if holder not in ranked:
            return 0
        units, rest = divmod(limit.concurrency, len(ranked))
        return units + (ranked.index(holder) < rest)

    def rank_holders(self, account: str) -> list[str]:
        """Return the incarnations holding units of `account`, ranked like callers' entries."""
        by_name = {h.name: incarnation for incarnation, h in self.holders.items()}
        domains = {h.name: h.failure_domain for h in self.holders.values()}
        return [by_name[name] for name in rendezvous.rank_spread(account, domains)[: self.count]]


NO_GRANT = Grant(Generation(0, 0), {}, {}, 1)
"""The grant of a daemon that has just started."""


class _Account(msgspec.Struct):
    held: int
    in_flight: int = 0
    tokens: float = 0.0
    charged_at: float = float('-inf')


class _Loan(msgspec.Struct, frozen=True):
    account: str
    borrower: str
    lent_at: float


class ShareBook:
    """The units held by this daemon, by account; accounts are added on first use."""

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self._grants: list[Grant] = [NO_GRANT]
        self._accounts: dict[str, _Account] = {}
        self._loans: dict[str, _Loan] = {}
        self.departed: set[str] = set()
        """Holders that are certain to have stopped."""

        self._store_contact_at = float('-inf')
        self._heard_from: dict[str, float] = {}
        self._was_isolated = False

    @property
    def settled(self) -> bool:
        """Whether only one generation is in force."""
        return len(self._grants) == 1

    @property
    def generation(self) -> Generation:
        """The newest generation known to this daemon."""
        return self._grants[-1].generation

    @property
    def holders(self) -> Mapping[str, Holder]:
        """The holders of the newest generation."""
        return self._grants[-1].holders

    @property
    def common_holders(self) -> set[str]:
        """The holders common to all generations since the settled one, which they all know."""
        return set.intersection(*(set(grant.holders) for grant in self._grants))

    def rank_lenders(self, account: str) -> list[str]:
        """Return the other incarnations that may lend units of `account`."""
        ranked = [i for grant in reversed(self._grants) for i in grant.rank_holders(account)]
        return [i for i in dict.fromkeys(ranked) if i != self.holder]

    def note_store_contact(self, at: float) -> None:
        """Record that the store still listed this daemon at that time, so that nobody drops it."""
        self._store_contact_at = max(self._store_contact_at, at)

    def note_holder_contact(self, holder: str, at: float) -> None:
        """Record the last contact with another holder, direct or relayed."""
        self._heard_from[holder] = max(self._heard_from.get(holder, at), at)

    def note_isolation(self, now: float) -> None:
        """Record whether this daemon is isolated; also to be called before applying new contacts.

        If an isolated daemon then learns of an epoch beyond the next one, it loses its units until
        that epoch is settled.
        """
        self._was_isolated = self.is_isolated(now)

    def list_involved(self) -> set[str]:
        """Return the other holders of all current generations, except those that have stopped."""
        involved = {name for grant in self._grants for name in grant.holders}
        return involved - self.departed - {self.holder}

    def list_voters(self) -> set[str]:
        """Return the other voters of all current generations, except those that have stopped."""
        voters = {name for grant in self._grants for name in grant.voters}
        return voters - self.departed - {self.holder}

    def may_drop(self, confirmed: Generation, now: float) -> bool:
        """Return whether a lost holder may be dropped from the next epoch.

        The lost holder may be in contact with the holders that this daemon has no contact with, and
        continues without the store while these are a majority of both the holders and the voters
        of its newest generation: the one that it has `confirmed` or a later one. That generation
        contains at least those common to all generations from the confirmed one on.
        """
        # All holders of the first one have confirmed it, unless this daemon has just joined.
        epochs = [grant.generation.epoch for grant in self._grants]
        first = max((n for n, epoch in enumerate(epochs) if epoch <= confirmed.epoch), default=0)
        grants = self._grants[first:]
        holders = set.intersection(*(set(grant.holders) for grant in grants))
        voters = set.intersection(*(grant.voters for grant in grants))
        return self._hears_half(self.list_involved(), holders, now) or self._hears_half(
            self.list_voters(), voters, now
        )

    def _hears_half(self, others: set[str], common: set[str], now: float) -> bool:
        """Return whether those of `others` that are not heard are at most half of `common`."""
        unheard = sum(self._is_unheard(other, now) for other in others)
        return 2 * unheard <= len(common - self.departed)

    def install(self, grant: Grant) -> None:
        """Add a newer generation; until it is settled, the minimum of old and new units applies."""
        if grant.generation == self.generation or not grant.generation.covers(self.generation):
            return
        if self._was_isolated and grant.generation.epoch > self.generation.epoch + 1:
            # An epoch in between may have dropped this daemon and reassigned its units.
            self._grants = [NO_GRANT]
        self._grants.append(grant)
        for name, account in self._accounts.items():
            account.held = self._compute_held(name)

    def settle(self, get_confirmed: Callable[[str], Generation | None]) -> bool:
        """Drop older generations once all holders have confirmed the newest or are gone.

        `get_confirmed` returns a holder's confirmed generation, or `None` if it is certainly gone.
        """
        if len(self._grants) < 2:
            return False
        newest = self._grants[-1]
        involved = {name for grant in self._grants for name in grant.holders}
        for name in involved:
            confirmed = get_confirmed(name)
            if confirmed is not None and not confirmed.covers(newest.generation):
                return False
        self._grants = [newest]
        self._heard_from = {h: at for h, at in self._heard_from.items() if h in newest.voters}
        for name, account in self._accounts.items():
            account.held = newest.compute_units(name, self.holder)
        return True

    def get_confirmable(self, below: float = float('inf')) -> Generation:
        """Return the newest generation whose units cover the requests in flight.

        Generations from epoch `below` on are ignored.
        """
        confirmable = NO_GRANT.generation
        for grant in self._grants:
            fits = all(
                a.in_flight <= grant.compute_units(name, self.holder)
                for name, a in self._accounts.items()
                if a.in_flight
            )
            if not fits or grant.generation.epoch >= below:
                break
            confirmable = grant.generation
        return confirmable

    def acquire(self, name: str, now: float) -> bool:
        """Take a unit for a request; return false if none is free or the token rate is used up.

        An isolated daemon uses no units, as others may have settled a generation without it.
        """
        account = self._get(name)
        self._refill(name, account, now)
        if account.in_flight >= account.held or account.tokens < 0 or self.is_isolated(now):
            return False
        account.in_flight += 1
        return True

    def release(self, name: str) -> None:
        """Return the unit of a request."""
        self._get(name).in_flight -= 1

    def charge(self, name: str, tokens: int, now: float) -> None:
        """Charge the tokens that a request used."""
        account = self._get(name)
        self._refill(name, account, now)
        account.tokens -= tokens

    def lend(self, loan: str, name: str, borrower: str, now: float) -> bool:
        """Take a unit for another daemon; return whether one was free."""
        if loan in self._loans or not self.acquire(name, now):
            return False
        self._loans[loan] = _Loan(name, borrower, now)
        return True

    def repay(self, loan: str, tokens: int, now: float) -> None:
        """End a loan and charge the tokens that its request used."""
        entry = self._loans.pop(loan, None)
        if entry is not None:
            self.charge(entry.account, tokens, now)
            self.release(entry.account)

    def count_loans(self) -> int:
        """Return the number of units on loan."""
        return len(self._loans)

    def reconcile(self, borrower: str, active: set[str], now: float) -> None:
        """End loans that a borrower no longer uses, because a repayment was lost."""
        for loan, entry in list(self._loans.items()):
            recent = now - entry.lent_at < LOAN_GRACE
            if entry.borrower == borrower and loan not in active and not recent:
                self.repay(loan, 0, now)

    def drop_borrower(self, borrower: str, now: float) -> None:
        """End all loans to a daemon that is certainly gone."""
        for loan, entry in list(self._loans.items()):
            if entry.borrower == borrower:
                self.repay(loan, 0, now)

    def get_held(self, name: str) -> int:
        """Return the units that this daemon holds of an account."""
        return self._get(name).held

    def compute_retry_after(self, name: str) -> float:
        """Return the seconds until an account's token balance is positive, at least 0.1."""
        account = self._get(name)
        rate = self._compute_rate(name, account)
        return max(0.1, -account.tokens / rate) if rate > 0 else 1.0

    def _get(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(self._compute_held(name))
        return account

    def _compute_held(self, name: str) -> int:
        return min(grant.compute_units(name, self.holder) for grant in self._grants)

    def is_isolated(self, now: float) -> bool:
        """Return whether others may have settled a generation without this daemon."""
        if now - self._store_contact_at <= FENCE_SECONDS:
            return False
        return not all(self._has_majority(grant, now) for grant in self._grants)

    def describe_contact(self, now: float) -> dict[str, float | int]:
        """Return the basis of `is_isolated` for the log; ages in seconds."""
        others = self.list_involved()
        voters = self.list_voters()
        return {
            'store_age': round(now - self._store_contact_at, 3),
            'holders': 1 + len(others),
            'heard': 1 + sum(not self._is_unheard(h, now) for h in others),
            'voters': 1 + len(voters),
            'heard_voters': 1 + sum(not self._is_unheard(v, now) for v in voters),
        }

    def _has_majority(self, grant: Grant, now: float) -> bool:
        return all(self._hears_most(group, now) for group in (set(grant.holders), grant.voters))

    def _hears_most(self, group: set[str], now: float) -> bool:
        others = group - self.departed - {self.holder}
        reached = 1 + sum(not self._is_unheard(other, now) for other in others)
        return 2 * reached > 1 + len(others)

    def _is_unheard(self, holder: str, now: float) -> bool:
        return now - self._heard_from.get(holder, float('-inf')) > FENCE_SECONDS

    def _compute_rate(self, name: str, account: _Account) -> float:
        limits = [g.limits[name] for g in self._grants if name in g.limits]
        if not limits:
            return 0.0
        return min(limit.tokens_per_second / limit.concurrency for limit in limits) * account.held

    def _refill(self, name: str, account: _Account, now: float) -> None:
        rate = self._compute_rate(name, account)
        if account.charged_at == float('-inf'):
            account.charged_at = now
        account.tokens = min(rate, account.tokens + (now - account.charged_at) * rate)
        account.charged_at = now
