"""Tracks the upstreams: applies the configuration, polls load reports and the VM list."""

from __future__ import annotations

import asyncio
import collections
import logging
from collections.abc import Mapping

import msgspec

from passpier import clocks, exceptions
from passpier.clients import engines, web
from passpier.config import directory
from passpier.core import cache_view, ejection, replica_processes, replicas
from passpier.daemon import metrics
from passpier.utils import decoding

log = logging.getLogger(__name__)

POLL_INTERVAL = 0.5
"""Seconds between rounds of polls."""

POLLS_PER_ROUND = 10
"""Load reports requested per round, whatever the size of the fleet; responses have it as well."""

END_CHECK_ATTEMPTS = 2
"""Unanswered requests after which a process counts as ended; one packet may get lost."""

REPORT_MAX_AGE = 0.5
"""Seconds after which a load report is requested again."""

LEAVING_STATES = frozenset({'leaving', 'gone'})


class VmList(msgspec.Struct):
    """The platform's list of VMs with their states."""

    vms: dict[str, str]


_vm_list_decoder = decoding.build_json_decoder(VmList)


class Upstreams:
    """All replicas in the current configuration, with their observed state."""

    def __init__(
        self,
        client: web.Client,
        engine_client: engines.Engines,
        vm_list: str | None,
        view_blocks: int,
        counters: metrics.Metrics,
    ) -> None:
        self._client = client
        self._engines = engine_client
        self._vm_list = vm_list
        self._counters = counters
        self.replicas: dict[str, replicas.Replica] = {}
        self.pools: dict[str, list[str]] = {}
        self.cache = cache_view.CacheView(view_blocks)
        self.ejector = ejection.Ejector()
        self._models: dict[str, str] = {}
        self._polled_at: dict[str, float] = {}

    def apply(self, config: directory.Directory) -> None:
        """Apply a configuration; upstreams that stay in it keep their observed state."""
        names = set()
        self.pools = {}
        for pool in config.fleet.pools:
            self.pools[pool.name] = [u.name for u in pool.upstreams]
            model = config.find_model_of_pool(pool.name)
            for upstream in pool.upstreams:
                names.add(upstream.name)
                self._models[upstream.name] = model.name if model else ''
                replica = self.replicas.get(upstream.name)
                if replica is None or replica.address != upstream.address:
                    replica = self.replicas[upstream.name] = replicas.Replica(
                        upstream.name, upstream.address, upstream.vm, upstream.failure_domain
                    )
                    self.cache.forget(upstream.name)
                self._set_leaving(replica, 'configuration', upstream.leaving)
        for name in set(self.replicas) - names:
            del self.replicas[name]
            self.cache.forget(name)

    def is_engine(self, name: str) -> bool:
        """Return whether an upstream is a model engine."""
        return bool(self._models.get(name))

    def get(self, name: str) -> replicas.Replica:
        """Return an upstream by name."""
        return self.replicas[name]

    def list_serving(
        self, pool: str, version: str = '', software: str | None = None
    ) -> list[replicas.Replica]:
        """Return the upstreams of a pool that accept new work and serve a weight version.

        With `software`, only those that are known to run that software version.
        """
        now = clocks.now()
        members = [self.replicas[n] for n in self.pools.get(pool, ()) if n in self.replicas]
        usable = {
            r.name: r
            for r in members
            if not r.leaving
            and (not version or r.weight_version in ('', version))
            and replicas.runs_software(r, software)
        }
        return [usable[name] for name in self.ejector.select(list(usable), now)]

    def describe_weights(self, name: str) -> Mapping[str, object]:
        """Return the log fields that describe an upstream's weights."""
        return {'weight_version': self.replicas[name].weight_version}

    def choose_version(self, pool: str, wanted: str) -> str:
        """Return the weight version to request from a pool.

        It is the wanted one once a replica serves it. Until then it is the one that most replicas
        serve, so that loading new weights does not interrupt the service.
        """
        versions = collections.Counter(
            r.weight_version for r in self.list_serving(pool) if r.weight_version
        )
        if not versions or wanted in versions:
            return wanted
        return max(sorted(versions), key=lambda v: versions[v])

    def update_identity(self, replica: replicas.Replica, identity: engines.Identity) -> None:
        """Update a replica's identity and load from a response's headers."""
        if not identity.incarnation:
            return
        self._note_incarnation(replica, identity.incarnation, identity.weight_version, 0)
        if identity.load is not None:
            running, waiting, backlog = identity.load
            replica.report = replicas.Report(running, waiting, backlog, clocks.now())

    def note_failure(self, replica: replicas.Replica) -> None:
        """Count a failed attempt against a replica."""
        if self.ejector.note_failure(replica.name, clocks.now()):
            log.warning('upstream ejected', extra={'upstream': replica.name})

    async def has_ended(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether an engine process has ended, by requesting a report from the engine."""
        name, _, incarnation = process.id.partition('/')
        replica = self.replicas.get(name)
        if replica is None:
            return True
        for _ in range(END_CHECK_ATTEMPTS):
            try:
                report = await self._engines.report(replica.address)
            except web.ExchangeError as error:
                log.info('no report', extra={'upstream': name, 'error': str(error)})
                continue
            self._note_incarnation(
                replica, report.incarnation, report.weight_version, report.capacity
            )
            return bool(incarnation) and report.incarnation != incarnation
        return True

    async def run_polls(self) -> None:
        """Poll load reports, the least recently polled first, a limited number per round."""
        while True:
            now = clocks.now()
            due = [
                name
                for name, replica in self.replicas.items()
                if self.is_engine(name)
                and now - self._polled_at.get(name, 0.0) >= POLL_INTERVAL
                and self._needs_report(replica, now)
            ]
            due.sort(key=lambda name: self._polled_at.get(name, 0.0))
            await asyncio.gather(*(self._poll(name) for name in due[:POLLS_PER_ROUND]))
            self._count_states()
            await asyncio.sleep(POLL_INTERVAL)

    def _needs_report(self, replica: replicas.Replica, now: float) -> bool:
        # Answers carry the load as well, but only reports have the capacity of the cache.
        if replica.report is None or not self.cache.get_capacity(replica.name):
            return True
        return now - replica.report.received_at > REPORT_MAX_AGE

    async def run_vm_list(self) -> None:
        """Poll the platform's list of VMs."""
        while self._vm_list:
            try:
                response = await self._client.fetch(
                    'GET', f'http://{self._vm_list}/vms', timeout=1.0
                )
                self._apply_vms(_vm_list_decoder.decode(response.body).vms)
            except (web.ExchangeError, exceptions.DecodingError) as error:
                log.debug('VM list unavailable', extra={'error': str(error)})
            await asyncio.sleep(POLL_INTERVAL)

    async def _poll(self, name: str) -> None:
        replica = self.replicas[name]
        self._polled_at[name] = clocks.now()
        try:
            report = await self._engines.report(replica.address)
        except web.ExchangeError:
            self.note_failure(replica)
            return
        self._note_incarnation(replica, report.incarnation, report.weight_version, report.capacity)
        replica.slots = report.slots
        replica.report = replicas.Report(
            report.running, report.waiting, report.backlog, clocks.now()
        )
        self._set_leaving(replica, 'report', report.leaving)

    def _apply_vms(self, vms: dict[str, str]) -> None:
        for replica in self.replicas.values():
            state = vms.get(replica.vm, '')
            self._set_leaving(replica, 'vm_list', state in LEAVING_STATES)

    def _set_leaving(self, replica: replicas.Replica, reason: str, leaving: bool) -> None:
        if replicas.set_leaving(replica, reason, leaving):
            log.info(
                'upstream leaving' if leaving else 'upstream no longer leaving',
                extra={'upstream': replica.name, 'signal': reason},
            )

    def _note_incarnation(
        self, replica: replicas.Replica, incarnation: str, version: str, capacity: int
    ) -> None:
        replica.incarnation = incarnation
        replica.weight_version = version
        # Cached blocks are valid for one weight version only, so it is a part of the cache key.
        if self.cache.set_incarnation(replica.name, f'{incarnation}/{version}', capacity):
            replica.report = None
            log.info(
                'upstream incarnation',
                extra={
                    'upstream': replica.name,
                    'incarnation': incarnation,
                    'weight_version': version,
                },
            )

    def _count_states(self) -> None:
        now = clocks.now()
        states = {'serving': 0, 'leaving': 0, 'ejected': 0}
        for replica in self.replicas.values():
            if replica.leaving:
                states['leaving'] += 1
            elif self.ejector.is_ejected(replica.name, now):
                states['ejected'] += 1
            else:
                states['serving'] += 1
        for state, count in states.items():
            self._counters.upstreams.set({'state': state}, count)
        self._counters.view_blocks.set({}, len(self.cache))
