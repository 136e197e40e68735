"""Brings replicas to the named weights: elects one process that gives orders, and gives them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Coroutine
from typing import Any

from passpier import clocks, exceptions
from passpier.clients import exchanges, registry
from passpier.core import holders, pauses, replicas, rollout
from passpier.daemon import messages, peers
from passpier.routing import dialect, following, knowledge, pools, roster

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.2
"""Seconds between looks at what is to be ordered."""

STANDBY_INTERVAL = 1.0
"""Seconds between looks of a process that has nothing to do with orders."""

ELECTION_SPREAD = 0.3
"""Seconds over which the processes spread their tries to be elected."""

QUIET_TIME = 0.05
"""Seconds between telling peers that a replica will load and the order: requests on their way
arrive before it, a few milliseconds; longer waits cost more in old weights than they spare."""

ORDER_TRIES = 3
"""Times that an order without an answer is sent before the replica is passed over."""

LOAD_POLL = 0.1
"""Seconds between looks at whether a replica has loaded."""

LOAD_PATIENCE = 3.0
"""Seconds after which a load that was taken counts as lost."""

LOAD_FIRST_LOOK = 0.7
"""Seconds after an order before the first look: a load takes about 0.8 s, each look is priced."""

_KEY = 'order-holder'
_LAST_KEY = 'last-order-holder'
"""Outlasts the lease, so that whoever succeeds itself knows it."""


class Rollouts:
    """One process's part in bringing weights up to date."""

    def __init__(
        self,
        source: registry.Registry,
        known: knowledge.Knowledge,
        follower: following.Follower,
        members: roster.Roster,
        engines: dialect.Engines,
        link: peers.Peers,
        options: dialect.Options,
        rng: random.Random,
    ) -> None:
        self.holder = holders.Holder(options.order_hold, options.lease_ttl)
        self._source = source
        self._known = known
        self._pools = known.pools
        self._follower = follower
        self._roster = members
        self._engines = engines
        self._name = options.name
        self._rng = rng
        self._key = known.records.own_prefix + _KEY
        self._last_key = known.records.own_prefix + _LAST_KEY
        self._rollout = rollout.Rollout()
        self._lease = 0
        self._stopped = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._due = asyncio.Event()
        link.handle(messages.Loading, self._take_loading)
        link.handle(messages.Loaded, self._take_loaded)

    async def run_election(self) -> None:
        """Hold or seek the right to give orders until cancelled."""
        while not self._stopped:
            try:
                if self._roster.leaving and not (self.holder.token and self._is_pending()):
                    # Whoever succeeds has to wait; better now than while replicas lack weights.
                    await self._resign()
                    await asyncio.sleep(CHECK_INTERVAL)
                elif self.holder.token:
                    await self._keep()
                else:
                    await self._seek()
            except (exceptions.StoreError, exceptions.ConflictError) as error:
                log.info('election put off', extra={'error': str(error)})
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))

    async def run_orders(self) -> None:
        """Give orders while this process may, until cancelled."""
        while not self._stopped:
            now = clocks.now()
            if self.holder.may_order(now):
                wanted = self._pools.list_wanted()
                for order in self._rollout.choose(wanted, self._pools.list_states(), now):
                    self._start(self._carry_out(order))
            self._due.clear()
            with contextlib.suppress(TimeoutError):
                pause = CHECK_INTERVAL if self.holder.token else STANDBY_INTERVAL
                await asyncio.wait_for(self._due.wait(), pause)

    async def stop(self) -> None:
        """Give up what is under way and the right to give orders."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        try:
            await self._resign()
        except exceptions.StoreError as error:
            log.info('the right to give orders is left to lapse', extra={'error': str(error)})

    async def _seek(self) -> None:
        if not self._follower.reachable:
            # Those that read the registry notice first that nobody holds the right.
            await asyncio.sleep(STANDBY_INTERVAL)
            return
        if self._key in self._known.members:
            await asyncio.sleep(CHECK_INTERVAL)
            return
        await asyncio.sleep(self._choose_delay())
        if self._key in self._known.members:
            return
        sent_at = clocks.now()
        lease = await self._source.grant(self.holder.lease_ttl)
        last = self._known.members.get(self._last_key)
        name = self._name.encode()
        puts = [registry.Put(self._key, name, lease), registry.Put(self._last_key, name)]
        conditions = [
            registry.IsAt(self._key, 0),
            registry.IsAt(self._last_key, last.revision if last else 0),
        ]
        try:
            token = await self._source.write(puts, conditions)
        except exceptions.ConflictError:
            await self._source.end(lease)
            return
        # The condition held, so that the election before is the one that the item tells of.
        self._lease = lease
        self.holder.elect(token, sent_at, clocks.now(), last.revision if last else 0)
        self._due.set()
        wait = round(max(0.0, self.holder.may_order_from - clocks.now()), 3)
        log.info('elected to give orders', extra={'token': token, 'lease': lease, 'wait': wait})

    def _is_pending(self) -> bool:
        return self._rollout.is_pending(self._pools.list_wanted(), self._pools.list_states())

    def _choose_delay(self) -> float:
        """Return the seconds to wait before seeking election: young processes go first.

        A rolling restart reaches the youngest last, so it keeps the right for longest.
        """
        ordered = sorted(m.incarnation for m in self._roster.membership.list_known())
        older = ordered.index(self._roster.membership.own.incarnation)
        rank = (len(ordered) - 1 - older) / len(ordered)
        return (rank + self._rng.uniform(0, 1 / len(ordered))) * ELECTION_SPREAD

    async def _keep(self) -> None:
        """Renew the lease at short intervals, whatever became of the renewals before."""
        self._start(self._renew(self._lease))
        await asyncio.sleep(self.holder.lease_ttl / holders.RENEWALS_PER_LEASE)
        if self.holder.token and not self.holder.is_held(clocks.now()):
            self._lose('the lease could not be renewed')

    async def _renew(self, lease: int) -> None:
        sent_at = clocks.now()
        try:
            await self._source.renew(lease)
        except registry.LeaseGoneError:
            if lease == self._lease:
                self._lose('the lease lapsed')
        except exceptions.StoreError as error:
            log.info('renewal without answer', extra={'lease': lease, 'error': str(error)})
        else:
            if lease == self._lease:
                self.holder.renew(sent_at)

    async def _resign(self) -> None:
        if not self.holder.token:
            return
        lease = self._lease
        self._lose('this process stops')
        await self._source.end(lease)

    def _lose(self, reason: str) -> None:
        log.info('gives no more orders', extra={'token': self.holder.token, 'reason': reason})
        self.holder.resign()
        self._rollout.reset()
        self._lease = 0

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, order: rollout.Order) -> None:
        version = 0
        try:
            version = await self._load(order)
        except exchanges.ExchangeError as error:
            fields = {'upstream': order.replica, 'error': str(error)}
            log.warning('replica not reached for an order', extra=fields)
            if error.fault is exchanges.Fault.REPLACED:
                self._pools.note_replaced(order.life)
        finally:
            if version >= order.version:
                self._rollout.end(order)
            else:
                self._rollout.fail(order, clocks.now())
            loaded = messages.Loaded(order.replica, order.version, version, order.born)
            self._roster.tell_interested(loaded)
            if version:
                self._pools.learn_version(order.life, version, 'report')
            self._pools.resume(order.life, pauses.Pause.LOADING, order.version)
            self._due.set()

    async def _load(self, order: rollout.Order) -> int:
        """Have a replica load weights; return the version that it has, or 0 if that is unknown."""
        replica = self._pools.find(order.life)
        if replica is None:
            return 0
        loading = messages.Loading(order.replica, pools.PAUSE_LOADING, order.version, order.born)
        self._pause(loading, 'is to load weights')
        self._roster.tell_interested(loading)
        await asyncio.sleep(QUIET_TIME)
        report = await self._engines.report(replica.address, replica.incarnation)
        if not self._known.take_report(order.life, report):
            return 0
        if report.versions.get(order.model, 0) >= order.version:
            return report.versions[order.model]
        wire = dialect.WeightOrder(
            replica.incarnation,
            order.model,
            order.version,
            self._name,
            self.holder.token,
            report.orders,
        )
        result = await self._order(replica, wire)
        log.info(
            'order given',
            extra={
                'upstream': order.replica,
                'born': order.born,
                'model': order.model,
                'weight_version': order.version,
                'token': wire.token,
                'expected_orders': wire.expected_orders,
                'running': report.running,
                'result': result.value,
            },
        )
        if result is dialect.OrderResult.REPLACED:
            self._pools.note_replaced(order.life)
        if result not in (dialect.OrderResult.TAKEN, dialect.OrderResult.HOLDS):
            # Without an answer it may yet be taken; then the next one names too few orders.
            return 0
        return await self._wait_loaded(order, replica.address)

    async def _order(
        self, replica: replicas.Replica, order: dialect.WeightOrder
    ) -> dialect.OrderResult:
        """Give an order, again if there is no answer: only one of them can take effect."""
        result = dialect.OrderResult.UNKNOWN
        for _ in range(ORDER_TRIES):
            # Checked right before each send: this process may have been stopped for a while, or
            # elected anew, and a token must not follow a higher one.
            if order.token != self.holder.token or not self.holder.may_order(clocks.now()):
                break
            # A process that has started since counts orders anew, and might take this one.
            if self._pools.find(replica.life) is None:
                break
            result = await self._engines.order(replica.address, order)
            if result is not dialect.OrderResult.UNKNOWN:
                break
        return result

    async def _wait_loaded(self, order: rollout.Order, address: str) -> int:
        deadline = clocks.now() + LOAD_PATIENCE
        await asyncio.sleep(LOAD_FIRST_LOOK)
        while clocks.now() < deadline:
            report = await self._engines.report(address, order.replica)
            if not self._known.take_report(order.life, report):
                return 0
            version = report.versions.get(order.model, 0)
            if version >= order.version and not report.ordered:
                return version
            await asyncio.sleep(LOAD_POLL)
        log.warning('load not seen', extra={'upstream': order.replica, 'born': order.born})
        return 0

    def _take_loading(self, sender: str, address: str, message: messages.Loading) -> None:
        self._pause(message, f'peer {address} has it load weights')

    def _pause(self, message: messages.Loading, detail: str) -> None:
        why = pauses.Pause.LOADING
        self._pools.pause(message.life, why, message.seconds, detail, message.ordered)

    def _take_loaded(self, sender: str, address: str, message: messages.Loaded) -> None:
        if message.weight_version:
            self._pools.learn_version(message.life, message.weight_version, 'peer')
        self._pools.resume(message.life, pauses.Pause.LOADING, message.ordered)
