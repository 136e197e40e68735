"""Lets the traffic stop while streams wait for the replicas of a service that is gone."""

from __future__ import annotations

import asyncio
import random

from passpier import clocks
from passpier.routing import router
from passpier.standins.platform import clients, fault_injection, invariants, replica

SERVICE = 'llm'

KINDS = ('resume',)
"""Kinds of short requests: those that wait until their deadline once they have begun."""

RETRY_ALLOWANCE = invariants.RetryAllowance(0.2, 20.0, 3.0)
"""Retries that all routers together may send. Several windows fit into the time for which streams
wait, and most of what may be saved follows from the requests."""

PATIENCE = 12.0
"""Timeout in seconds of clients, which for streams outlasts several windows."""

ATTEMPTS = 4
"""Replicas that a request may be sent to."""

SLOTS = 200
"""Requests that a replica takes at once, so that streams wait for replicas and not for room."""

SETTLING_SECONDS = router.DISCOVERY_SECONDS + 1.0
"""Seconds until routers know how many of them share the slack; they hold few retries before."""

BUSY_SECONDS = (2.0, 5.0)
"""Minimum and maximum seconds of traffic before streams break off."""

CUT_SECONDS = (0.3, 0.45)
"""Minimum and maximum seconds in which streams begin that break off."""

CALM_SECONDS = (4.0, 8.0)
"""Minimum and maximum seconds for which the service is gone and no requests come."""

FAILING_SECONDS = (0.0, 3.0)
"""Minimum and maximum seconds for which the service's new replicas break streams off."""

EVENT_PAUSE = 0.5
"""Seconds before a stream breaks off."""

ALWAYS = 1_000_000
"""Number of coming requests that a fault affects: more than any run sends."""


class LullInjector:
    """Ends a busy time with the loss of all replicas of a service, again and again."""

    def __init__(
        self,
        targets: fault_injection.FaultTargets,
        faults: fault_injection.FaultInjector,
        senders: clients.Clients,
        rng: random.Random,
    ) -> None:
        self._targets = targets
        self._faults = faults
        self._clients = senders
        self._rng = rng

    def prepare(self) -> None:
        """Let requests wait for replicas, and replicas take many of them."""
        running = self._targets.deployment
        running.allow_attempts(ATTEMPTS)
        routes = running.configuration['routes']
        running.configure(routes=[{**r, 'timeout_ms': int(PATIENCE * 1000)} for r in routes])
        for target in running.replicas.values():
            target.slots = SLOTS
        self._clients.short_kinds = KINDS
        self._clients.short_patience = PATIENCE

    async def run(self, ends_at: float) -> None:
        """Play one lull after the other until `ends_at`; the service is there in the end."""
        await asyncio.sleep(SETTLING_SECONDS)
        while clocks.now() < ends_at:
            await asyncio.sleep(self._rng.uniform(*BUSY_SECONDS))
            serving = self._list_serving()
            self._break_off(serving)
            await asyncio.sleep(self._rng.uniform(*CUT_SECONDS))
            seconds = self._rng.uniform(*CALM_SECONDS)
            self._faults.log_fault(f'no requests and no {SERVICE} for {seconds:.2f} s', seconds)
            self._clients.is_paused = True
            for target in serving:
                self._targets.deployment.remove_entry(target.id)
            await asyncio.sleep(seconds)
            successors = [await self._replace(target) for target in serving]
            await asyncio.sleep(self._rng.uniform(*FAILING_SECONDS))
            for target in successors:
                target.faults.cut = 0
            self._clients.is_paused = False

    def _list_serving(self) -> list[replica.Replica]:
        running = self._targets.deployment
        return [
            target
            for target in running.replicas.values()
            if target.service == SERVICE and running.has_entry(target.id)
        ]

    def _break_off(self, serving: list[replica.Replica]) -> None:
        for target in serving:
            target.event_pause = EVENT_PAUSE
            target.faults.cut = ALWAYS

    async def _replace(self, target: replica.Replica) -> replica.Replica:
        """Start the successor of a replica, which breaks streams off at first."""
        successor = target.build_successor(f'{target.id}-next')
        successor.slots = SLOTS
        successor.event_pause = replica.EVENT_PAUSE
        successor.faults.cut = ALWAYS
        self._targets.deployment.add_replica(successor)
        await self._targets.put_behind_proxy(successor)
        return successor
