"""Enforces the rates of client accounts, with spending reported between processes."""

from __future__ import annotations

import asyncio
import logging
import random

from passpier import clocks
from passpier.core import buckets, entries, members, retry_schedule, routes
from passpier.daemon import messages, peers
from passpier.routing import registry_mirror

log = logging.getLogger(__name__)

INTERVAL = 0.1
"""Seconds between messages to a peer while requests of rate-limited accounts arrive."""

PEERS_AT_BASE_INTERVAL = 24
"""Maximum number of sharing processes at which that interval is used. It grows with more of them,
so that one process doesn't send more messages."""

SHARERS_INTERVAL = 0.5
"""Seconds between updates of which processes share the rates; heartbeats are as frequent."""

QUIET_SECONDS = 2.0
"""Seconds without a charge after which no messages are sent until the next charge."""

CONTACT_TIMEOUT = 0.15
"""Maximum number of seconds for which a request waits for messages from processes that are not
connected. They take some milliseconds; a process that was on standby is connected to none."""

CONTACT_RETRY_SECONDS = 1.0
"""Seconds before they are contacted again; until then those not connected count as absent."""

RETRY_MIN = 0.05
"""Minimum delay, in seconds, after which a refused client should retry."""

RETRY_SPREAD = 0.5
"""Fraction of the delay by which retries of clients that were refused together are spread."""


class RateLimiter:
    """Enforces the shared rates in this process."""

    def __init__(
        self,
        registry_state: registry_mirror.RegistryState,
        membership: members.Membership,
        link: peers.Peers,
        tolerance: buckets.Tolerance,
        rng: random.Random,
    ) -> None:
        self.buckets = buckets.SharedBuckets(tolerance, INTERVAL, clocks.now())
        self._registry_state = registry_state
        self._membership = membership
        self._peers = link
        self._rng = rng
        self._table: routes.Table | None = None
        self._sharers_at = float('-inf')
        self._addresses: dict[str, str] = {}
        """The peer addresses of the other processes that share the rates."""

        self._is_sharer = False
        """Whether this process is one of those that share the rates."""

        self._spent_at = float('-inf')
        """When a request of a rate-limited account was last charged here."""

        self._sent_at: dict[str, float] = {}
        """When each process was last sent a message, also if it doesn't share the rates."""

        self._turns = retry_schedule.RetrySchedule()
        self._connected = asyncio.Event()
        self._contacted_at = float('-inf')
        link.register_handler(messages.RateUsage, self._handle_usage)

    async def run(self) -> None:
        """Send messages to the other processes until cancelled."""
        while True:
            await asyncio.sleep(
                self.buckets.interval if self.buckets.has_rates else SHARERS_INTERVAL
            )
            now = clocks.now()
            self.sync(now)
            if self._must_report(now) and now - self.buckets.changed_at < QUIET_SECONDS:
                self._send_to_sharers(now)

    def sync(self, now: float) -> None:
        """Apply the configuration and the set of processes that share the rates."""
        table = self._registry_state.table
        if table is not None and table is not self._table:
            self._table = table
            self.buckets.configure(table.rates, now)
        if not self.buckets.has_rates:
            return
        # After a start the other processes are discovered one by one.
        interval = SHARERS_INTERVAL if self._addresses else INTERVAL
        if now - self._sharers_at >= interval:
            self._sharers_at = now
            self._set_sharers(now)
            self._turns.forget(now)

    async def charge(self, request: str, account: str, cost: int, time_left: float) -> float:
        """Spend `cost` units, or return the seconds after which the client should retry.

        The client waits for `time_left` more seconds.
        """
        now = clocks.now()
        self.sync(now)
        self._spent_at = now
        wait = self.buckets.take(account, cost, now)
        if wait and self.buckets.compute_share(now) < 1.0:
            wait = await self._contact_sharers(account, cost)
            now = clocks.now()
        if not wait:
            return 0.0
        turn = self._queue_retry(account, cost, wait, time_left, now)
        retry_after = max(RETRY_MIN, turn) * self._rng.uniform(1.0, 1.0 + RETRY_SPREAD)
        log.info(
            'account over its rate limit',
            extra={
                'request': request,
                'account': account,
                'cost': cost,
                'left': round(self.buckets.get_level(account, now)),
                'share': round(self.buckets.compute_share(now), 3),
                'sharers': len(self._addresses),
                'retry_after': round(retry_after, 3),
            },
        )
        return retry_after

    def _queue_retry(
        self, account: str, cost: int, wait: float, time_left: float, now: float
    ) -> float:
        """Return the retry delay of a refused client, queued behind those refused before it."""
        # Each process refuses clients of its own, which all retry.
        pace = self.buckets.get_rate(account).per_second / (len(self._addresses) + 1)
        return self._turns.schedule(
            account, cost, pace, wait, time_left / (1.0 + RETRY_SPREAD), now
        )

    async def _contact_sharers(self, account: str, cost: int) -> float:
        """Spend `cost` units as soon as enough processes are connected, if that is soon."""
        now = clocks.now()
        if now - self._contacted_at > CONTACT_RETRY_SECONDS:
            self._contacted_at = now
            self._send_to_sharers(now)
        while now < self._contacted_at + CONTACT_TIMEOUT:
            self._connected.clear()
            try:
                await asyncio.wait_for(
                    self._connected.wait(), self._contacted_at + CONTACT_TIMEOUT - now
                )
            except TimeoutError:
                break
            now = clocks.now()
            if not self.buckets.take(account, cost, now):
                return 0.0
        return self.buckets.take(account, cost, clocks.now())

    def _set_sharers(self, now: float) -> None:
        """Determine who shares the rates: processes that serve requests or are named to clients."""
        membership = self._membership
        known = membership.list_known()
        named = entries.choose_active(known, membership.map_rates(known))
        sharers = {m.incarnation: m.peer for m in [*named, *membership.list_known_active()]}
        own = membership.own.incarnation
        serves = membership.get_rate(own) > 0 and not membership.is_standby(now)
        self._is_sharer = serves or own in sharers
        sharers.pop(own, None)
        self.buckets.set_sharers(sharers, now)
        self.buckets.interval = INTERVAL * max(1.0, len(sharers) / PEERS_AT_BASE_INTERVAL)
        self._addresses = sharers
        self.buckets.forget(m.incarnation for m in known)
        self._sent_at = {n: at for n, at in self._sent_at.items() if now - at < QUIET_SECONDS}

    def _must_report(self, now: float) -> bool:
        """Return whether others must know this process: it may spend, or has done so lately."""
        spent = now - self._spent_at < QUIET_SECONDS
        return self.buckets.has_rates and (self._is_sharer or spent)

    def _send_to_sharers(self, now: float) -> None:
        for name, address in self._addresses.items():
            self._send(name, address, now)

    def _send(self, name: str, address: str, now: float) -> None:
        self._sent_at[name] = now
        number, confirmed, knows, rows = self.buckets.build_update(name, now)
        usage_rows = [(row.account, row.spent, row.remaining) for row in rows]
        self._peers.send(address, messages.RateUsage(number, confirmed, knows, usage_rows))

    def _handle_usage(self, sender: str, address: str, message: messages.RateUsage) -> None:
        now = clocks.now()
        self.sync(now)
        was_in_touch = self.buckets.is_connected(sender, now)
        rows = [buckets.UsageRow(*row) for row in message.rows]
        number, confirmed = message.number, message.confirmed
        self.buckets.apply_update(sender, number, confirmed, message.is_reliable, rows, now)
        if not was_in_touch:
            self._connected.set()
        # A peer that is not sent messages regularly may be waiting for one with a request at hand.
        late = now - self._sent_at.get(sender, float('-inf')) >= self.buckets.interval
        is_updated = sender in self._addresses and was_in_touch
        if late and not is_updated and self._must_report(now):
            self._send(sender, address, now)


class Charge:
    """The charge of one request, as long as it is not spent."""

    def __init__(
        self, limiter: RateLimiter, request: str, account: routes.Account | None, tokens: int | None
    ) -> None:
        self._limiter = limiter
        self._request = request
        self._account = account if account is not None and account.rate is not None else None
        self._tokens = tokens
        self._charged = 0

    async def acquire(self, time_left: float) -> float:
        """Charge one attempt, unless the charge of the last one was not spent.

        Returns 0, or the seconds after which the client should retry; it waits for `time_left` more
        seconds.
        """
        if self._charged or self._account is None:
            return 0.0
        cost = self._account.compute_cost(self._tokens)
        retry_after = await self._limiter.charge(self._request, self._account.name, cost, time_left)
        if not retry_after:
            self._charged = cost
        return retry_after

    def mark_spent(self) -> None:
        """Record that an attempt may have run: the next one is charged anew."""
        self._charged = 0

    def refund(self) -> None:
        """Refund the charge of an attempt that did not run."""
        if self._charged and self._account is not None:
            self._limiter.buckets.refund(self._account.name, self._charged, clocks.now())
            self._charged = 0
