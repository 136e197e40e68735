"""Keeps the router's state of all replicas: service, process, weights, caches and pauses."""

from __future__ import annotations

import collections
import logging
import math
from collections.abc import Callable, Mapping, Sequence

from passpier import clocks
from passpier.core import (
    backpressure,
    cache_store_contents,
    cache_view,
    catalogue,
    ejection,
    pauses,
    replica_processes,
    replica_restarts,
    replicas,
    rollout,
    routes,
    stream_origins,
    unlisted_processes,
    weight_releases,
)

log = logging.getLogger(__name__)

ENGINE_QUEUE_SECONDS = 0.3
"""Seconds of prefill that may be queued at each engine, about two long prompts.

Further requests are queued here, where urgent ones go first and those that would miss their
deadline are rejected at once. A higher value keeps a standing queue at a saturated pool for as long
as the load lasts, so that all requests are late; a lower one rejects bursts on a pool that is far
from saturated.
"""

PAUSE_FULL = 0.03
"""Seconds for which a replica that rejected a request for lack of capacity gets no other."""

BACKOFF_MAX = 600.0
"""Upper bound, in seconds, of a backoff that a replica asks for."""

PAUSE_LOADING = 1.2
"""Seconds without requests for a replica that was told to load weights, unless it is done
sooner."""

REPORT_LAG = 1.5
"""Seconds by which a replica's report may lag behind its state: a few tenths in the replica, and up
to 0.4 on the way. Older weights in a later report are the ones that the replica really has."""

OLD_WEIGHTS_GRACE = 1.5
"""Seconds after the release of new weights from which responses of older ones are worth less."""

CORRECTION_LOGGED_MIN = 0.5
"""Seconds by which a peer's time of a release must be later than ours to be logged."""

INCOMPLETE_LOGGED_MAX = 5
"""Maximum number of ids in a log line on unused entries; the line also has their total count."""

NEW_WEIGHTS_SHARE = 0.75
"""Fraction of a pool's usable replicas that must have the new weights before all requests go
there."""


class Pools:
    """All replicas by service, with their load, weights and caches."""

    def __init__(
        self,
        version_bound: float,
        view_blocks: int = 100_000,
        process_started_at: float = math.inf,
    ) -> None:
        self._process_started_at = process_started_at
        self.replicas: dict[str, replicas.Replica] = {}
        self.cache = cache_view.CacheView(view_blocks)
        self.ejector = ejection.Ejector()
        self.stores = cache_store_contents.CacheStores()
        self.unresponsive: set[str] = set()
        """Replicas that don't respond to this process."""

        self.releases: dict[str, weight_releases.ReleaseHistory] = {}
        """By model, the released weight versions and since when older ones are outdated."""

        self._pauses: dict[str, pauses.Pauses] = {}
        self.version_bound = version_bound
        """Seconds after the release of newer weights in which a request may begin on older ones."""

        self.on_process_ended: Callable[[replicas.Replica], None] = lambda replica: None
        """Called with the state of a replica process that has ended."""

        self.on_process_added: Callable[[replicas.Replica], None] = lambda replica: None
        """Called with the state of a replica process that is new."""

        self.on_signal: Callable[
            [replica_processes.ReplicaProcess, backpressure.Signal, float | None], None
        ] = lambda process, signal, ran_since: None
        """Called with the backpressure signal of each response; see `apply_signal`."""

        self.on_leaving: Callable[[replica_processes.ReplicaProcess], None] = lambda process: None
        """Called when a response announces for the first time that its replica is leaving."""

        self._pools: dict[str, list[str]] = {}
        self._entries: dict[str, catalogue.Entry] = {}
        self._models: dict[str, str] = {}
        self._services: Mapping[str, routes.Service] = {}
        """The configured services; replicas of any other service are not used."""

        self.observed_since = math.inf
        """The time from which on this process has seen all replicas, also those that have gone."""

        self._version_histories: dict[str, stream_origins.VersionHistory] = collections.defaultdict(
            stream_origins.VersionHistory
        )
        """By service, the software versions that replicas have had."""

        self._restarts = replica_restarts.RestartHistory()

        self._unlisted = unlisted_processes.UnlistedProcesses()
        self._incomplete: dict[str, set[str]] = {}
        """By service, the ids of entries that lack fields which other replicas' entries have."""

        self._reported_fields: dict[str, catalogue.ReportedFields] = collections.defaultdict(
            catalogue.ReportedFields
        )

    def apply_configuration(self, configuration: routes.Configuration) -> None:
        """Apply the services and cache stores of a configuration."""
        self.observed_since = min(self.observed_since, clocks.now())
        self._services = configuration.services
        self.stores.set_domains({s.address: s.failure_domain for s in configuration.cache_stores})
        for entry in self._entries.values():
            self._apply_service(entry)

    def note_gap(self, now: float) -> None:
        """Record that replicas may have come and gone unseen before `now`."""
        self.observed_since = max(self.observed_since, now)

    def apply_change(self, change: catalogue.Change, unchanged_at: float = float('-inf')) -> None:
        """Apply the addition, update, restart or removal of a replica.

        `unchanged_at` is the latest time at which the registry certainly didn't have it yet.
        """
        if change.entry is None:
            gone = self._entries.get(change.id)
            self._remove_process(change.id)
            if gone is not None:
                self._restarts.note_removed(gone.process, gone.software)
                self._update_incomplete(gone.service)
            log.info('upstream removed', extra={'upstream': change.id, 'reason': change.reason})
            return
        entry = change.entry
        before = self._entries.get(entry.id)
        if before is not None and not _is_same_process(before, entry):
            self._restarts.note_removed(before.process, before.software)
            self._remove_process(entry.id)
            self._update_incomplete(before.service)
        self._note_restart(entry, unchanged_at)
        is_new = entry.id not in self.replicas
        if is_new:
            self._add_process(entry)
        self._entries[entry.id] = entry
        replica = self.replicas[entry.id]
        if is_new:
            self._restore_asked(entry.process)
            self.on_process_added(replica)
        replica.slots = entry.slots
        replica.software = entry.software
        replicas.set_leaving(replica, 'registry', entry.draining)
        self._apply_service(entry)
        self._update_incomplete(entry.service)
        log.info(
            'upstream changed',
            extra={
                'upstream': entry.id,
                'reason': change.reason,
                'born': entry.started_ms,
                'born_before': before.started_ms if before else None,
                'service': entry.service,
                'configured': entry.service in self._services,
                'address': entry.address,
                'software': entry.software,
                'weight_version': replica.weight_version,
                'leaving': replica.leaving,
            },
        )

    def _restore_asked(self, process: replica_processes.ReplicaProcess) -> None:
        """Apply what a process asked for before its entry lapsed."""
        asked = self._unlisted.take(process)
        if asked is None:
            return
        seconds = asked.backoff_until - clocks.now()
        if seconds > 0:
            self.back_off(process, seconds, 'asked for before it was unlisted')
        if asked.is_leaving:
            self.mark_leaving(process, 'said before it was unlisted')

    def _note_restart(self, entry: catalogue.Entry, unchanged_at: float) -> None:
        """Record that the process of an entry has replaced an earlier one, if it has."""
        uptime = clocks.read_time_of_day() - entry.started_ms / 1000
        self._restarts.note_successor(entry.process, unchanged_at, clocks.now() - uptime)

    def record_release(self, model: str, version: int, not_before: float, now: float) -> bool:
        """Record the release of a weight version; return whether it is newer than the known ones.

        `not_before` is the latest time at which it was certainly not released yet.
        """
        release_history = self.releases.setdefault(
            model, weight_releases.ReleaseHistory(self._process_started_at)
        )
        release_history.forget(now - self.version_bound)
        return release_history.note(version, not_before, now)

    def merge_releases(self, model: str, received: Sequence[weight_releases.Release]) -> None:
        """Merge the lower bounds of release times that a peer knows."""
        release_history = self.releases.get(model)
        if release_history is None or release_history.merge(received) < CORRECTION_LOGGED_MIN:
            return
        now = clocks.now()
        ages = {n.version: _compute_age(n, now) for n in release_history.known}
        log.info(
            'release time of weights corrected by a peer', extra={'model': model, 'ages': ages}
        )

    def list_released_versions(self) -> list[rollout.Wanted]:
        """Return the newest released weight version of each model."""
        return [rollout.Wanted(model, n.newest) for model, n in self.releases.items()]

    def find(self, process: replica_processes.ReplicaProcess) -> replicas.Replica | None:
        """Return a replica if its current process is the given one."""
        replica = self.replicas.get(process.id)
        return replica if replica is not None and replica.started_ms == process.started_ms else None

    def has_restarted(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a replica is known to run as another process than the given one."""
        replica = self.replicas.get(process.id)
        return replica is not None and replica.started_ms != process.started_ms

    def may_be_other_version(
        self, process: replica_processes.ReplicaProcess, software: str, at: float
    ) -> bool:
        """Return whether a successor of a process, not of its version, may have run at a time."""
        replica = self.replicas.get(process.id)
        if replica is not None and replica.started_ms == process.started_ms:
            return False
        current = replica.software if replica is not None else None
        return self._restarts.may_be_other_version(process, software, current, at)

    def is_exit_expected(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a process was expected to exit, so that its end is no crash."""
        replica = self.find(process)
        if replica is None:
            return not self.has_restarted(process)
        return replica.leaving

    def update_version(
        self, process: replica_processes.ReplicaProcess, version: int, source: str
    ) -> None:
        """Update a replica's weight version; older versions are ignored as outdated news."""
        replica = self.find(process)
        if replica is None or not version or version < int(replica.weight_version or 0):
            return
        replica.weights_confirmed_at = clocks.now()
        if version > int(replica.weight_version or 0):
            self._set_version(replica, version, source)

    def apply_report(
        self, process: replica_processes.ReplicaProcess, versions: Mapping[str, int]
    ) -> None:
        """Apply the weight versions that a replica reports.

        They are older than the known ones if the current process carried out, as its first, an
        order that was meant for the process before.
        """
        replica = self.find(process)
        version = versions.get(self._models.get(process.id, ''), 0)
        if replica is None or not version:
            return
        age = clocks.now() - replica.weights_learnt_at
        if age > REPORT_LAG and version < int(replica.weight_version or 0):
            replica.weights_confirmed_at = clocks.now()
            self._set_version(replica, version, 'report of older weights')
        else:
            self.update_version(process, version, 'report')

    def apply_memory(
        self, process: replica_processes.ReplicaProcess, used: int, total: int
    ) -> None:
        """Apply the KV memory that a replica reports, in tokens; `total` is 0 if it is unknown."""
        replica = self.find(process)
        if replica is not None:
            replica.memory_report = replicas.MemoryReport(used, total, clocks.now())

    def _set_version(self, replica: replicas.Replica, version: int, source: str) -> None:
        process = replica.process
        replica.weight_version = str(version)
        replica.weights_learnt_at = clocks.now()
        self.resume(process, pauses.Pause.LOADING, version)
        capacity = self.cache.get_capacity(process.id)
        self.cache.set_incarnation(process.id, identify_cache(process, str(version)), capacity)
        log.info(
            'upstream weight version updated',
            extra={
                'upstream': process.id,
                'born': process.started_ms,
                'weight_version': version,
                'source': source,
            },
        )

    def mark_replaced(self, process: replica_processes.ReplicaProcess) -> None:
        """Record that a replica process is gone, even if its entry still exists."""
        replica = self.find(process)
        if replica is not None and replicas.set_leaving(replica, 'replaced', True):
            fields = {
                'upstream': process.id,
                'born': process.started_ms,
                'address': replica.address,
            }
            log.info('upstream process replaced', extra=fields)

    def apply_signal(
        self,
        process: replica_processes.ReplicaProcess,
        signal: backpressure.Signal,
        ran_since: float | None = None,
    ) -> None:
        """Apply the backpressure signal of a replica's response.

        `ran_since` is the send time of the request that the replica ran and answered. It is none
        for any other response: what such a response doesn't ask for may still be in force.
        """
        replica = self.find(process)
        if replica is None:
            return
        self.on_signal(process, signal, ran_since)
        if signal.backoff is not None:
            self.back_off(process, signal.backoff, 'Retry-After')
        if signal.leaving and self.mark_leaving(process, 'answer'):
            self.on_leaving(process)
        if replica.signal == signal or (ran_since is None and signal == backpressure.NO_SIGNAL):
            return
        replica.signal = signal
        log.info(
            'upstream signal',
            extra={
                'upstream': process.id,
                'born': process.started_ms,
                'limit': signal.limit,
                'leaving': signal.leaving,
                'backoff': signal.backoff,
                'refusal_limit': signal.refusal_limit,
            },
        )

    def mark_leaving(self, process: replica_processes.ReplicaProcess, source: str) -> bool:
        """Record that a replica said that it is leaving; return whether that was unknown.

        It holds for the lifetime of the process, since the registry may lag behind.
        """
        replica = self.find(process)
        if replica is None or not replicas.set_leaving(replica, replicas.SAID_LEAVING, True):
            return False
        fields = {'upstream': process.id, 'born': process.started_ms, 'source': source}
        log.info('upstream is leaving', extra=fields)
        return True

    def back_off(
        self, process: replica_processes.ReplicaProcess, seconds: float, detail: str
    ) -> None:
        """Send a replica nothing for as long as it has asked for, up to a maximum."""
        self.pause(process, pauses.Pause.BACKOFF, min(seconds, BACKOFF_MAX), detail)

    def pause(
        self,
        process: replica_processes.ReplicaProcess,
        kind: pauses.Pause,
        seconds: float,
        detail: str,
        version: int = 0,
    ) -> None:
        """Send a replica no new requests for some seconds; `version` is the one it is to load."""
        replica = self.find(process)
        if replica is None:
            return
        paused = self._pauses[process.id]
        paused.begin(kind, clocks.now() + seconds, version)
        replica.paused_until = paused.until
        replica.backoff_until = paused.get_until(pauses.Pause.BACKOFF)
        log.info(
            'upstream paused',
            extra={
                'upstream': process.id,
                'why': kind.value,
                'seconds': seconds,
                'reason': detail,
                'weight_version': version,
            },
        )

    def resume(
        self, process: replica_processes.ReplicaProcess, kind: pauses.Pause, version: int = 0
    ) -> None:
        """End a pause, except for the load of weights that are newer than `version`."""
        replica = self.find(process)
        if replica is not None:
            paused = self._pauses[process.id]
            paused.end(kind, version)
            replica.paused_until = paused.until

    def get(self, name: str) -> replicas.Replica:
        """Return a known replica."""
        return self.replicas[name]

    def list_serving(
        self, pool: str, version: str = '', software: str | None = None
    ) -> list[replicas.Replica]:
        """Return the replicas of a pool that may begin a request now or shortly.

        With `software`, only those that are known to run that software version and that respond:
        a stream that has begun doesn't wait for a replica that may never come back.
        """
        if pool not in self._services:
            return []
        now = clocks.now()
        usable = {}
        if now >= self._reported_fields[pool].expires_at:
            self._update_incomplete(pool)
        incomplete = self._incomplete.get(pool, ())
        for name in self._pools.get(pool, ()):
            replica = self.replicas[name]
            if name in incomplete or not self._may_continue(replica, software):
                continue
            if not replica.leaving and self._has_usable_weights(replica, now):
                usable[name] = replica
        usable = self._prefer_new_weights(usable, now)
        return [usable[name] for name in self.ejector.select(list(usable), now)]

    def is_superseded(self, service: str, software: str) -> bool:
        """Return whether a service is served by replicas of other software versions only."""
        known = self._list_complete(service)
        stays = any(not r.leaving and self._may_continue(r, software) for r in known)
        serving = self.list_serving(service)
        return not stays and any(r.software not in ('', software) for r in serving)

    def _list_complete(self, service: str) -> list[replicas.Replica]:
        """Return the replicas of a service whose entries lack no field that the others' have."""
        incomplete = self._incomplete.get(service, ())
        return [r for r in self.list_service(service) if r.name not in incomplete]

    def _may_continue(self, replica: replicas.Replica, software: str | None) -> bool:
        """Return whether a stream of a software version, if it has one, may go on at a replica."""
        if software is None:
            return True
        return replicas.runs_software(replica, software) and replica.name not in self.unresponsive

    def list_versions(self, service: str, since: float) -> set[str]:
        """Return the software versions that replicas of a service have had after `since`.

        It contains an empty string if a version is unknown.
        """
        present = [r.software for r in self._list_complete(service)]
        history = self._version_histories.get(service)
        return history.list_since(present, since) if history is not None else set(present)

    def describe_weights(self, name: str) -> Mapping[str, object]:
        """Return the fields of a routing decision on a replica's process and weights.

        `limit` is there if the replica's last response had one. `weights_age` is the number of
        seconds since the weights were last confirmed, null if they never were. `outdated_for` is
        the maximum number of seconds for which they may have been outdated: left out if they are
        current, null if unknown.
        """
        replica = self.replicas[name]
        fields: dict[str, object] = {'born': replica.started_ms}
        if replica.signal.limit is not None:
            fields['limit'] = replica.signal.limit
        release_history = self.releases.get(self._models.get(name, ''))
        if release_history is None:
            return fields
        version = int(replica.weight_version or 0)
        now = clocks.now()
        age = now - replica.weights_confirmed_at
        fields |= {
            'weight_version': version,
            'weights_age': round(age, 3) if math.isfinite(age) else None,
            'named_version': release_history.newest,
        }
        naming = release_history.get_outdated(version)
        if naming is not None:
            fields['outdated_for'] = _compute_age(naming, now)
        return fields

    def has_outdated_weights(self, name: str) -> bool:
        """Return whether newer weights than those of a replica have been released."""
        replica = self.replicas.get(name)
        release_history = self.releases.get(self._models.get(name, ''))
        if replica is None or release_history is None:
            return False
        return release_history.get_outdated(int(replica.weight_version or 0)) is not None

    def note_failure(self, process: replica_processes.ReplicaProcess) -> None:
        """Count a failed attempt against a replica."""
        if self.find(process) and self.ejector.note_failure(process.id, clocks.now()):
            log.warning(
                'upstream ejected', extra={'upstream': process.id, 'born': process.started_ms}
            )

    def note_success(self, process: replica_processes.ReplicaProcess) -> None:
        """Reset the failed attempts of a replica."""
        if self.find(process):
            self.ejector.note_success(process.id)

    def find_engine(self, service: str) -> routes.Engine | None:
        """Return the engine properties of a model service."""
        found = self._services.get(service)
        return found.engine if found else None

    def list_states(self) -> list[rollout.State]:
        """Return the weights of all replicas of configured model services."""
        return [
            rollout.State(
                r.name,
                {self._models[r.name]: int(r.weight_version)},
                r.leaving or r.name in self.unresponsive,
                r.started_ms,
            )
            for r in self.replicas.values()
            if r.weight_version and self._is_used(r.name)
        ]

    def _is_used(self, name: str) -> bool:
        service = self._entries[name].service
        return service in self._services and name not in self._incomplete.get(service, ())

    def _update_incomplete(self, service: str) -> None:
        """Recompute which entries of a service lack fields that the others have."""
        names = self._pools.get(service, ())
        entries = [self._entries[n] for n in names]
        incomplete = self._reported_fields[service].find_incomplete(entries, clocks.now())
        before = self._incomplete.get(service, set())
        if incomplete != before:
            self._incomplete[service] = incomplete
            fields = {'service': service, 'upstreams': sorted(incomplete)[:INCOMPLETE_LOGGED_MAX]}
            log.warning(
                'incomplete registry entries ignored', extra=fields | {'count': len(incomplete)}
            )

    def _has_usable_weights(self, replica: replicas.Replica, now: float) -> bool:
        version = int(replica.weight_version or 0)
        if not version:
            # The responses of an engine with unknown weights can't be attributed to any version.
            return not self._models.get(replica.name)
        release_history = self.releases.get(self._models.get(replica.name, ''))
        if release_history is None or version >= release_history.newest:
            return True
        # The request begins once the engine has prefilled those queued before it.
        rate = replicas.get_seconds_per_token(replica, now)
        wait = replicas.estimate_backlog(replica, now) * rate
        return release_history.may_use(version, self.version_bound, now + wait)

    def _prefer_new_weights(
        self, usable: dict[str, replicas.Replica], now: float
    ) -> dict[str, replicas.Replica]:
        """Leave out replicas with old weights once enough others have the new ones."""
        new = {n: r for n, r in usable.items() if not self._is_outdated(r, now)}
        ready = sum(now >= r.paused_until for r in new.values())
        return new if ready >= max(1.0, len(usable) * NEW_WEIGHTS_SHARE) else usable

    def _is_outdated(self, replica: replicas.Replica, now: float) -> bool:
        release_history = self.releases.get(self._models.get(replica.name, ''))
        version = int(replica.weight_version or 0)
        if not version or release_history is None:
            return False
        return release_history.is_outdated(version, now, OLD_WEIGHTS_GRACE)

    def _add_process(self, entry: catalogue.Entry) -> None:
        """Start tracking a replica process, with no learnt state."""
        replica = replicas.Replica(
            entry.id, entry.address, entry.id, entry.failure_domain, entry.id, slots=entry.slots
        )
        replica.started_ms = entry.started_ms
        self.replicas[entry.id] = replica
        self._pauses[entry.id] = pauses.Pauses()
        self._pools.setdefault(entry.service, []).append(entry.id)

    def _remove_process(self, name: str) -> None:
        """Drop all state learnt about a replica process; no other method does.

        State that is kept elsewhere is keyed by the process, and so never applied to another one;
        what the process has asked for is kept in case its entry returns.
        """
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        ended = self.replicas.pop(name)
        has_said = replicas.SAID_LEAVING in ended.leaving_reasons
        asked = unlisted_processes.Asked(ended.backoff_until, has_said)
        self._unlisted.note_removed(ended.process, asked, clocks.now())
        if name not in self._incomplete.get(entry.service, ()):
            self._version_histories[entry.service].note_gone(ended.software, clocks.now())
        self.on_process_ended(ended)
        self._pools[entry.service].remove(name)
        del self._pauses[name]
        self._models.pop(name, None)
        self.unresponsive.discard(name)
        self.cache.forget(name)
        self.ejector.note_success(name)

    def _apply_service(self, entry: catalogue.Entry) -> None:
        """Apply the engine properties of a replica's service, which may be configured later."""
        replica = self.replicas[entry.id]
        engine = self.find_engine(entry.service)
        model = engine.models[0] if engine and engine.models else next(iter(entry.versions), '')
        if model != self._models.get(entry.id):
            self._models[entry.id] = model
            replica.weight_version = ''
        if model:
            replica.room_seconds = ENGINE_QUEUE_SECONDS
        capacity = engine.cache_tokens if engine else 0
        replica.memory_capacity = capacity
        key = identify_cache(replica.process, replica.weight_version)
        self.cache.set_incarnation(entry.id, key, capacity)
        self.update_version(replica.process, entry.versions.get(model, 0), 'registry')

    def get_service(self, name: str) -> str:
        """Return the service of a replica, or an empty string if the replica is gone."""
        entry = self._entries.get(name)
        return entry.service if entry else ''

    def list_service(self, service: str) -> list[replicas.Replica]:
        """Return all replicas of a service."""
        return [self.replicas[name] for name in self._pools.get(service, ())]

    def list_siblings(self, name: str) -> list[str]:
        """Return all replicas of a replica's service, or just itself if it is gone."""
        entry = self._entries.get(name)
        return self._pools[entry.service] if entry else [name]


def identify_cache(process: replica_processes.ReplicaProcess, version: str) -> str:
    """Return the cache identity of a replica: it depends on its process and its weight version."""
    return f'{process}/{version or 0}'


def _is_same_process(before: catalogue.Entry, entry: catalogue.Entry) -> bool:
    """Return whether two entries belong to one process, which never changes address or service."""
    return (
        before.started_ms == entry.started_ms
        and before.address == entry.address
        and before.service == entry.service
    )


def _compute_age(naming: weight_releases.Release, now: float) -> float | None:
    """Return the maximum number of seconds since a version was released, if known."""
    age = now - naming.not_before
    return round(age, 3) if math.isfinite(age) else None
