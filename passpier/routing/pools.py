"""The upstreams as the router believes them to be: who serves what, with which weights."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Mapping, Sequence

from passpier.core import (
    catalogue,
    ejection,
    kept,
    namings,
    pauses,
    replicas,
    rollout,
    routes,
    view,
)

log = logging.getLogger(__name__)

ROOM_SECONDS = 0.6
"""Seconds of prefill that may wait at an engine; its own queue knows priorities."""

PAUSE_FULL = 0.03
"""Seconds for which a replica that refused a request for want of room gets no other."""

PAUSE_LOADING = 1.2
"""Seconds for which a replica that was told to load weights gets nothing, unless it ends sooner."""

OLD_WEIGHTS_GRACE = 1.5
"""Seconds after new weights are named from which answers of old ones are worth less."""

GAIN_LOGGED = 0.5
"""Seconds by which a peer knows better when weights were named for a line in the log."""

ENOUGH_NEW = 0.75
"""Part of a pool that must have new weights before all requests go there."""


class Pools:
    """Replicas by service, with their load, weights and caches."""

    def __init__(self, version_bound: float, view_blocks: int = 100_000) -> None:
        self.replicas: dict[str, replicas.Replica] = {}
        self.cache = view.CacheView(view_blocks)
        self.ejector = ejection.Ejector()
        self.stores = kept.Stores()
        self.silent: set[str] = set()
        """Replicas that give this process no sign of life."""

        self.namings: dict[str, namings.Namings] = {}
        """By model: which weights were named, and since when older ones are outdated."""

        self._pauses: dict[str, pauses.Pauses] = {}
        self.version_bound = version_bound
        """Seconds after newer weights were named within which a request may begin on older ones."""

        self._pools: dict[str, list[str]] = {}
        self._models: dict[str, str] = {}
        self._services: Mapping[str, routes.Service] = {}

    def apply_configuration(self, configuration: routes.Configuration) -> None:
        """Take over services and cache stores."""
        self._services = configuration.services
        self.stores.set_domains({s.address: s.failure_domain for s in configuration.cache_stores})
        for replica in self.replicas.values():
            model = self._find_model(self._service_of(replica.name))
            self._models[replica.name] = model or self._models[replica.name]

    def apply_change(self, change: catalogue.Change) -> None:
        """Take over a replica that came, changed or went."""
        fields = {'upstream': change.id, 'reason': change.reason}
        if change.entry is None:
            self._drop(change.id)
            log.info('upstream gone', extra=fields)
            return
        entry = change.entry
        replica = self.replicas.get(entry.id)
        if replica is None:
            replica = self._add(entry)
        replica.slots = entry.slots
        replicas.set_leaving(replica, 'registry', entry.draining)
        version = entry.versions.get(self._models[entry.id], 0)
        if version:
            self.learn_version(entry.id, version, 'registry')
        log.info(
            'upstream changed',
            extra={
                **fields,
                'service': entry.service,
                'address': entry.address,
                'weight_version': replica.weight_version,
                'leaving': replica.leaving,
            },
        )

    def note_naming(self, model: str, version: int, not_before: float, now: float) -> bool:
        """Note a named version; return whether it is newer than the known ones.

        Until `not_before` it was certainly not named.
        """
        known = self.namings.setdefault(model, namings.Namings())
        known.forget(now - self.version_bound)
        return known.note(version, not_before, now)

    def learn_namings(self, model: str, told: Sequence[namings.Naming]) -> None:
        """Take over what a peer knows of when versions were named."""
        known = self.namings.get(model)
        if known is None or known.merge(told) < GAIN_LOGGED:
            return
        now = time.monotonic()
        ages = {n.version: _compute_age(n, now) for n in known.known}
        log.info('weights named later', extra={'model': model, 'ages': ages})

    def list_wanted(self) -> list[rollout.Wanted]:
        """Return the newest weights of each model."""
        return [rollout.Wanted(model, n.newest) for model, n in self.namings.items()]

    def learn_version(self, name: str, version: int, source: str) -> None:
        """Note a replica's weight version; it only rises within an incarnation."""
        replica = self.replicas.get(name)
        if replica is None or int(replica.weight_version or 0) >= version:
            return
        replica.weight_version = str(version)
        self.resume(name, pauses.Pause.LOADING, version)
        self.cache.set_incarnation(name, f'{name}/{version}', self.cache.get_capacity(name))
        log.info(
            'upstream weights',
            extra={'upstream': name, 'weight_version': version, 'source': source},
        )

    def note_replaced(self, name: str) -> None:
        """Note that a replica's process is gone, though its entry may still be there."""
        replica = self.replicas.get(name)
        if replica is not None and replicas.set_leaving(replica, 'replaced', True):
            log.info('upstream replaced', extra={'upstream': name, 'address': replica.address})

    def pause(
        self, name: str, why: pauses.Pause, seconds: float, detail: str, version: int = 0
    ) -> None:
        """Give a replica no new requests for a while; a load's `version` is what it is to load."""
        replica = self.replicas.get(name)
        if replica is None:
            return
        known = self._pauses[name]
        known.begin(why, time.monotonic() + seconds, version)
        replica.paused_until = known.until
        log.info(
            'upstream paused',
            extra={
                'upstream': name,
                'why': why.value,
                'seconds': seconds,
                'reason': detail,
                'weight_version': version,
            },
        )

    def resume(self, name: str, why: pauses.Pause, version: int = 0) -> None:
        """End a pause, but not that of a load of newer weights than `version`."""
        replica = self.replicas.get(name)
        if replica is not None:
            known = self._pauses[name]
            known.end(why, version)
            replica.paused_until = known.until

    def get(self, name: str) -> replicas.Replica:
        """Return a known upstream."""
        return self.replicas[name]

    def list_serving(self, pool: str, version: str = '') -> list[replicas.Replica]:
        """Return the upstreams of a pool that may begin a request now or shortly."""
        now = time.monotonic()
        usable = {}
        for name in self._pools.get(pool, ()):
            replica = self.replicas[name]
            if not replica.leaving and self._may_serve(replica, now):
                usable[name] = replica
        usable = self._prefer_new(usable, now)
        return [usable[name] for name in self.ejector.select(list(usable), now)]

    def describe_weights(self, name: str) -> Mapping[str, object]:
        """Return what the line of a decision tells of a replica's weights.

        `outdated_for` are the seconds for which they may have been outdated; it is left out if they
        are not, and null if nobody knows.
        """
        known = self.namings.get(self._models.get(name, ''))
        if known is None:
            return {}
        version = int(self.replicas[name].weight_version or 0)
        fields: dict[str, object] = {'weight_version': version, 'named_version': known.newest}
        naming = known.get_outdated(version)
        if naming is not None:
            fields['outdated_for'] = _compute_age(naming, time.monotonic())
        return fields

    def note_failure(self, name: str) -> None:
        """Count a failed attempt against a replica."""
        if self.ejector.note_failure(name, time.monotonic()):
            log.warning('upstream ejected', extra={'upstream': name})

    def find_engine(self, service: str) -> routes.Engine | None:
        """Return what the replicas of a model service can do."""
        found = self._services.get(service)
        return found.engine if found else None

    def list_states(self) -> list[rollout.State]:
        """Return the weights of all engines."""
        return [
            rollout.State(
                r.name,
                {self._models[r.name]: int(r.weight_version)},
                r.leaving or r.name in self.silent,
            )
            for r in self.replicas.values()
            if r.weight_version
        ]

    def _may_serve(self, replica: replicas.Replica, now: float) -> bool:
        known = self.namings.get(self._models.get(replica.name, ''))
        version = int(replica.weight_version or 0)
        if not version or known is None or version >= known.newest:
            return True
        # A request begins when those before it have been read.
        wait = replicas.estimate_backlog(replica, now) * replica.seconds_per_token
        return known.may_use(version, self.version_bound, now + wait)

    def _prefer_new(
        self, usable: dict[str, replicas.Replica], now: float
    ) -> dict[str, replicas.Replica]:
        """Leave out replicas with old weights once enough others have the new ones."""
        new = {n: r for n, r in usable.items() if not self._is_outdated(r, now)}
        ready = sum(now >= r.paused_until for r in new.values())
        return new if ready >= max(1.0, len(usable) * ENOUGH_NEW) else usable

    def _is_outdated(self, replica: replicas.Replica, now: float) -> bool:
        known = self.namings.get(self._models.get(replica.name, ''))
        version = int(replica.weight_version or 0)
        if not version or known is None:
            return False
        return known.is_outdated(version, now, OLD_WEIGHTS_GRACE)

    def _add(self, entry: catalogue.Entry) -> replicas.Replica:
        replica = replicas.Replica(
            entry.id, entry.address, entry.id, entry.failure_domain, entry.id, slots=entry.slots
        )
        self._models[entry.id] = self._find_model(entry.service) or next(iter(entry.versions), '')
        if self._models[entry.id]:
            replica.room_seconds = ROOM_SECONDS
        engine = self.find_engine(entry.service)
        capacity = engine.cache_tokens if engine else 0
        self.cache.set_incarnation(entry.id, f'{entry.id}/0', capacity)
        self.replicas[entry.id] = replica
        self._pauses[entry.id] = pauses.Pauses()
        self._pools.setdefault(entry.service, []).append(entry.id)
        return replica

    def _drop(self, name: str) -> None:
        self.replicas.pop(name, None)
        self.silent.discard(name)
        self._pauses.pop(name, None)
        self._models.pop(name, None)
        self.cache.forget(name)
        self.ejector.note_success(name)
        for names in self._pools.values():
            if name in names:
                names.remove(name)

    def _find_model(self, service: str) -> str:
        engine = self.find_engine(service)
        return engine.models[0] if engine and engine.models else ''

    def list_siblings(self, name: str) -> list[str]:
        """Return all replicas of a replica's service; itself alone if it has just gone."""
        return self._pools.get(self._service_of(name)) or [name]

    def _service_of(self, name: str) -> str:
        return next((s for s, names in self._pools.items() if name in names), '')


def _compute_age(naming: namings.Naming, now: float) -> float | None:
    """Return for how many seconds a version may have been named at most, if that is known."""
    age = now - naming.not_before
    return round(age, 3) if math.isfinite(age) else None
