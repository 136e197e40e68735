"""Updates replicas to the released weights: elects one process and gives its load orders."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Coroutine
from typing import Any, Protocol

from passpier import clocks, exceptions
from passpier.clients import exchanges, registry
from passpier.core import order_lease, pauses, replicas, rollout
from passpier.daemon import messages, peers
from passpier.routing import dialect, pools, registry_follower, registry_mirror, roster

log = logging.getLogger(__name__)

CHECK_INTERVAL = 0.2
"""Seconds between checks for orders to give."""

STANDBY_INTERVAL = 1.0
"""Seconds between checks in a process that isn't elected."""

ELECTION_SPREAD = 0.3
"""Seconds over which the processes spread their attempts to be elected."""

NOTICE_DELAY = 0.05
"""Seconds between telling peers that a replica will load and the order, so that requests in flight
arrive before it. They take a few milliseconds; a longer wait costs more time on old weights than it
saves."""

ORDER_TRIES = 3
"""Number of times an order without a response is sent before the replica is skipped."""

LOAD_POLL = 0.1
"""Seconds between checks whether a replica has loaded."""

LOAD_TIMEOUT = 3.0
"""Seconds after which an accepted load counts as failed."""

LOAD_FIRST_POLL = 0.7
"""Seconds between an order and the first check: a load takes about 0.8 s, and each check is
billed."""

_KEY = 'order-holder'
_LAST_KEY = 'last-order-holder'
"""Has no lease, so that a process elected twice in a row finds out that it succeeds itself."""


class Paths(Protocol):
    """The paths to replicas."""

    def is_direct(self, address: str) -> bool:
        """Return whether an address is reached without a peer."""

    async def report(self, address: str, incarnation: str) -> dialect.Report:
        """Return a replica's report by any path; raises `ExchangeError`."""


class Rollouts:
    """Takes part in the election, and gives orders while elected."""

    def __init__(
        self,
        source: registry.Registry,
        registry_state: registry_mirror.RegistryState,
        follower: registry_follower.RegistryFollower,
        router_roster: roster.Roster,
        engines: dialect.Engines,
        paths: Paths,
        link: peers.Peers,
        options: dialect.Options,
        rng: random.Random,
    ) -> None:
        self.holder = order_lease.OrderLease(options.order_hold, options.lease_ttl)
        self._source = source
        self._registry_state = registry_state
        self._pools = registry_state.pools
        self._follower = follower
        self._roster = router_roster
        self._engines = engines
        self._paths = paths
        self._name = options.name
        self._rng = rng
        self._key = registry_state.records.own_prefix + _KEY
        self._last_key = registry_state.records.own_prefix + _LAST_KEY
        self._rollout = rollout.Rollout()
        self._lease: registry.Lease | None = None
        self._stopped = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        link.register_handler(messages.WeightsLoading, self._handle_loading)
        link.register_handler(messages.WeightsLoaded, self._handle_loaded)

    async def run_election(self) -> None:
        """Hold or seek the lease for giving orders until cancelled."""
        while not self._stopped:
            try:
                if self._roster.leaving and not (self.holder.token and self._is_pending()):
                    # The successor has to wait before it may give orders, which does least harm
                    # while no replica lacks weights.
                    await self._resign('this process stops')
                    await asyncio.sleep(CHECK_INTERVAL)
                elif self._is_cut_off():
                    await self._resign('no replica that lacks weights is reached directly')
                    await asyncio.sleep(CHECK_INTERVAL)
                elif self.holder.token:
                    await self._hold_lease()
                else:
                    await self._try_election()
            except (exceptions.StoreError, exceptions.ConflictError) as error:
                log.info('election failed, will be retried', extra={'error': str(error)})
                await asyncio.sleep(self._rng.uniform(0.1, 0.3))

    async def run_orders(self) -> None:
        """Give orders while this process holds the lease, until cancelled."""
        while not self._stopped:
            now = clocks.now()
            if self.holder.may_order(now):
                released = self._pools.list_released_versions()
                for order in self._rollout.choose(released, self._list_reached(), now):
                    self._start(self._execute_order(order))
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                pause = CHECK_INTERVAL if self.holder.token else STANDBY_INTERVAL
                await asyncio.wait_for(self._wake.wait(), pause)

    async def stop(self) -> None:
        """Cancel orders in progress and give up the lease."""
        self._stopped = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        try:
            await self._resign('this process stops')
        except exceptions.StoreError as error:
            log.info('order lease not released, will expire', extra={'error': str(error)})

    async def _try_election(self) -> None:
        if not self._follower.reachable:
            # Processes that read the registry see first that the lease is free.
            await asyncio.sleep(STANDBY_INTERVAL)
            return
        if self._key in self._registry_state.members:
            await asyncio.sleep(CHECK_INTERVAL)
            return
        await asyncio.sleep(self._choose_delay())
        if self._key in self._registry_state.members:
            return
        sent_at = clocks.now()
        lease = await self._source.grant(self.holder.lease_ttl)
        last = self._registry_state.members.get(self._last_key)
        previous = last.revision if last is not None else registry.NO_REVISION
        name = self._name.encode()
        puts = [registry.Put(self._key, name, lease), registry.Put(self._last_key, name)]
        conditions = [
            registry.ExpectedRevision(self._key, registry.NO_REVISION),
            registry.ExpectedRevision(self._last_key, previous),
        ]
        try:
            revision = await self._source.write(puts, conditions)
        except exceptions.ConflictError:
            revisions = {c.key: str(c.revision) for c in conditions}
            log.info('election lost', extra={'conditions': revisions})
            await self._source.end(lease)
            return
        # The conditions held, so the item names the election just before this one.
        self._lease = lease
        token = revision.token
        self.holder.elect(token, sent_at, clocks.now(), previous.token)
        self._wake.set()
        wait = round(max(0.0, self.holder.may_order_from - clocks.now()), 3)
        fields = {'token': token, 'revision': str(revision), 'lease': lease.id, 'wait': wait}
        log.info('order lease acquired', extra=fields)

    def _is_pending(self) -> bool:
        return self._rollout.is_pending(
            self._pools.list_released_versions(), self._pools.list_states()
        )

    def _is_cut_off(self) -> bool:
        """Return whether only other processes can give the orders that are pending.

        An order sent through a peer would count as one by another holder.
        """
        released = self._pools.list_released_versions()
        return self._is_pending() and not self._rollout.is_pending(released, self._list_reached())

    def _list_reached(self) -> list[rollout.State]:
        """Return the weights of the replicas that are reached directly."""
        known = self._pools.replicas
        return [s for s in self._pools.list_states() if self._paths.is_direct(known[s.id].address)]

    def _choose_delay(self) -> float:
        """Return the seconds to wait before seeking election, fewest for the youngest process.

        A rolling restart reaches the youngest last, so that it keeps the lease longest.
        """
        ordered = sorted(m.incarnation for m in self._roster.membership.list_known())
        older = ordered.index(self._roster.membership.own.incarnation)
        rank = (len(ordered) - 1 - older) / len(ordered)
        return (rank + self._rng.uniform(0, 1 / len(ordered))) * ELECTION_SPREAD

    async def _hold_lease(self) -> None:
        """Renew the lease at short intervals, whether or not earlier renewals were answered."""
        if self._lease is not None:
            self._start(self._renew(self._lease))
        await asyncio.sleep(self.holder.lease_ttl / order_lease.RENEWALS_PER_LEASE)
        if self.holder.token and not self.holder.is_held(clocks.now()):
            self._drop_lease('the lease could not be renewed')

    async def _renew(self, lease: registry.Lease) -> None:
        sent_at = clocks.now()
        try:
            await self._source.renew(lease)
        except registry.LeaseExpiredError:
            if lease == self._lease:
                self._drop_lease('the lease lapsed')
        except exceptions.StoreError as error:
            log.info('order lease renewal failed', extra={'lease': lease.id, 'error': str(error)})
        else:
            if lease == self._lease:
                self.holder.renew(sent_at)

    async def _resign(self, reason: str) -> None:
        if not self.holder.token:
            return
        lease = self._lease
        self._drop_lease(reason)
        if lease is not None:
            await self._source.end(lease)

    def _drop_lease(self, reason: str) -> None:
        log.info('order lease given up', extra={'token': self.holder.token, 'reason': reason})
        self.holder.resign()
        self._rollout.reset()
        self._lease = None

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute_order(self, order: rollout.Order) -> None:
        version = 0
        try:
            version = await self._load(order)
        except exchanges.ExchangeError as error:
            fields = {'upstream': order.replica, 'error': str(error)}
            log.warning('replica unreachable for an order', extra=fields)
            if error.fault is exchanges.Fault.REPLACED:
                self._pools.mark_replaced(order.process)
        finally:
            if version >= order.version:
                self._rollout.end(order)
            else:
                self._rollout.fail(order, clocks.now())
            loaded = messages.WeightsLoaded(order.replica, order.version, version, order.started_ms)
            self._roster.notify_serving(loaded)
            if version:
                self._pools.update_version(order.process, version, 'report')
            self._pools.resume(order.process, pauses.Pause.LOADING, order.version)
            self._wake.set()

    async def _load(self, order: rollout.Order) -> int:
        """Have a replica load weights; return the version that it has, or 0 if unknown."""
        replica = self._pools.find(order.process)
        if replica is None:
            return 0
        loading = messages.WeightsLoading(
            order.replica, pools.PAUSE_LOADING, order.version, order.started_ms
        )
        self._pause(loading, 'is to load weights')
        self._roster.notify_serving(loading)
        await asyncio.sleep(NOTICE_DELAY)
        report = await self._paths.report(replica.address, replica.incarnation)
        if not self._paths.is_direct(replica.address):
            log.info('order left to other processes', extra={'upstream': order.replica})
            return 0
        if not self._registry_state.apply_report(order.process, report):
            return 0
        if report.versions.get(order.model, 0) >= order.version:
            return report.versions[order.model]
        wire = dialect.WeightOrder(
            replica.incarnation,
            order.model,
            order.version,
            self._name,
            self.holder.token,
            report.accepted_orders,
        )
        result = await self._send_order(replica, wire)
        log.info(
            'order sent',
            extra={
                'upstream': order.replica,
                'born': order.started_ms,
                'model': order.model,
                'weight_version': order.version,
                'token': wire.token,
                'expected_orders': wire.expected_orders,
                'running': report.running,
                'result': result.value,
            },
        )
        if result is dialect.OrderResult.REPLACED:
            self._pools.mark_replaced(order.process)
        if result not in (dialect.OrderResult.TAKEN, dialect.OrderResult.HOLDS):
            # An unanswered order may still be carried out; the next one then has too low an order
            # count and is rejected.
            return 0
        return await self._wait_loaded(order, replica.address)

    async def _send_order(
        self, replica: replicas.Replica, order: dialect.WeightOrder
    ) -> dialect.OrderResult:
        """Send an order, again if there is no response; only one of the copies can take effect."""
        result = dialect.OrderResult.UNKNOWN

        def may_send() -> bool:
            # This process may have been suspended for a while, also while it connected, or elected
            # anew, and a token must not be sent after a higher one.
            return order.token == self.holder.token and self.holder.may_order(clocks.now())

        for _ in range(ORDER_TRIES):
            if not may_send():
                break
            # A process that has started since counts orders from 0, and might accept this one.
            if self._pools.find(replica.process) is None:
                break
            result = await self._engines.order(replica.address, order, may_send)
            if result is not dialect.OrderResult.UNKNOWN:
                break
        return result

    async def _wait_loaded(self, order: rollout.Order, address: str) -> int:
        deadline = clocks.now() + LOAD_TIMEOUT
        await asyncio.sleep(LOAD_FIRST_POLL)
        while clocks.now() < deadline:
            report = await self._engines.report(address, order.replica)
            if not self._registry_state.apply_report(order.process, report):
                return 0
            version = report.versions.get(order.model, 0)
            if version >= order.version and not report.order_pending:
                return version
            await asyncio.sleep(LOAD_POLL)
        log.warning(
            'load not confirmed in time',
            extra={'upstream': order.replica, 'born': order.started_ms},
        )
        return 0

    def _handle_loading(self, sender: str, address: str, message: messages.WeightsLoading) -> None:
        self._pause(message, f'peer {address} has it load weights')

    def _pause(self, message: messages.WeightsLoading, detail: str) -> None:
        why = pauses.Pause.LOADING
        self._pools.pause(message.process, why, message.seconds, detail, message.ordered)

    def _handle_loaded(self, sender: str, address: str, message: messages.WeightsLoaded) -> None:
        if message.weight_version:
            self._pools.update_version(message.process, message.weight_version, 'peer')
        self._pools.resume(message.process, pauses.Pause.LOADING, message.ordered)
