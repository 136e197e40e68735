"""Attaches the features of load balancing that are enabled to the dispatcher and the forwarder."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from passpier.core import admission_policy, features, members, pool_demand, routes
from passpier.daemon import demand_meter, dispatcher, memory_filter, metrics, peers
from passpier.routing import (
    demand_sharing,
    dialect,
    forwarding,
    registry_mirror,
    replica_separation,
    speed_sharing,
)


class LoadBalancing:
    """The features of one process; each is left out if it is switched off."""

    def __init__(
        self,
        options: dialect.Options,
        registry_state: registry_mirror.RegistryState,
        membership: members.Membership,
        link: peers.Peers,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._enabled = options.enabled_features
        self._own_domain = options.failure_domain
        self._registry_state = registry_state
        self._membership = membership
        self._peers = link
        self._counters = counters
        self._rng = rng
        self._meter: demand_meter.DemandMeter | None = None
        self._demand_sharing: demand_sharing.DemandSharing | None = None
        self._shared_services: tuple[routes.Table | None, list[str]] = None, []
        self.demand_board = pool_demand.DemandBoard()
        """The demand of all VMs; empty if the feature is switched off."""

        self.speeds: speed_sharing.SpeedSharing | None = None

    def attach_dispatcher(self, call_dispatcher: dispatcher.Dispatcher) -> None:
        """Attach what decides where requests are placed, and who waits."""
        if features.Feature.LOCALITY in self._enabled:
            call_dispatcher.own_domain = self._own_domain
        if features.Feature.POOL_DEMAND in self._enabled:
            self._share_demand(call_dispatcher)
        if features.Feature.REPLICA_MEMORY in self._enabled:
            limiter = memory_filter.MemoryFilter(self._counters)
            call_dispatcher.filters.append(limiter)
            call_dispatcher.observers.append(limiter)
        if features.Feature.SEPARATION in self._enabled:
            call_dispatcher.filters.append(self._build_separation())
        if features.Feature.ADMISSION in self._enabled:
            policy = admission_policy.Admission()
            policy.get_weights = self._get_weights
            if self._demand_sharing is not None:
                policy.pictures = self.demand_board
            call_dispatcher.admission = policy

    def attach_forwarder(self, forwarder: forwarding.Forwarder) -> None:
        """Attach what learns from responses."""
        if self._meter is not None:
            forwarder.on_stream_ended = self._meter.note_stream
        if features.Feature.REPLICA_SPEEDS in self._enabled:
            self.speeds = speed_sharing.SpeedSharing(
                self._registry_state.pools, self._membership, self._peers, self._counters
            )
            forwarder.heads.on_prefill = self.speeds.note_prefill
            forwarder.on_event_gap = self.speeds.note_event_gap

    def list_tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return what has to run for as long as the process."""
        sharing = (self._demand_sharing, self.speeds)
        return [shared.run for shared in sharing if shared is not None]

    def _share_demand(self, call_dispatcher: dispatcher.Dispatcher) -> None:
        self._meter = demand_meter.DemandMeter(call_dispatcher.list_waiting)
        call_dispatcher.observers.append(self._meter)
        self._demand_sharing = demand_sharing.DemandSharing(
            self.demand_board,
            self._meter,
            self._list_shared_services,
            self._membership,
            self._peers,
            self._counters,
            self._rng,
        )

    def _build_separation(self) -> replica_separation.ReplicaSeparation:
        return replica_separation.ReplicaSeparation(
            self._registry_state.pools,
            self._get_configuration,
            self._get_picture,
            lambda now: 1 + len(self._membership.list_load_recipients(now)),
            self._counters,
        )

    def _list_shared_services(self) -> list[str]:
        """Return the services whose demand is shared, of the configuration in force."""
        table = self._registry_state.table
        if table is not self._shared_services[0]:
            names = pool_demand.list_shared_services(table.configuration) if table else []
            self._shared_services = table, names
        return self._shared_services[1]

    def _get_weights(self) -> Mapping[str, int]:
        table = self._registry_state.table
        return table.weights if table is not None else {}

    def _get_configuration(self) -> routes.Configuration | None:
        table = self._registry_state.table
        return table.configuration if table is not None else None

    def _get_picture(self, service: str, now: float) -> pool_demand.Picture | None:
        """Return the pool demand of a service; without it, no replicas are reserved."""
        if self._demand_sharing is None:
            return None
        return self.demand_board.get_picture(service, now)
