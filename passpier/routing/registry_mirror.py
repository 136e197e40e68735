"""Keeps this process's copy of the registry, with its age."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Mapping, Sequence

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import catalogue, freshness, replica_processes, routes
from passpier.routing import dialect, history, pools

log = logging.getLogger(__name__)

MIN_ENTRY_SECONDS = 2.0
"""Seconds for which a replica usually has an entry at least: it ends when the replica has drained,
or after several missed heartbeats. One that leaves unannounced may have an entry for less."""


MARK_KEY = 'timeline'
"""Key, below the prefix of the routers' own, of the newest timeline that covers revocations."""


def encode_mark(revision: registry.Revision) -> bytes:
    """Return the mark of a revision's timeline."""
    return str(revision.timeline).encode()


class PeerChanges(msgspec.Struct, frozen=True):
    """A peer's changes after revision `since`, up to `revision`."""

    changes: history.ChangeSet
    since: registry.Revision
    revision: registry.Revision
    awaited: Mapping[str, float]
    """Replicas whose vanished entries may come back, with the seconds left for that."""


class RegistryState:
    """Configuration, replicas and released weights; none of them ever reverts to an older state.

    When the registry returns from an older copy, which items exist follows its new timeline. The
    versions of the configuration and of weights stay, and so does what replicas have announced.
    """

    def __init__(
        self, records: dialect.Records, replica_pools: pools.Pools, key_bound: float
    ) -> None:
        self.records = records
        self.pools = replica_pools
        self.freshness = freshness.Freshness(key_bound)
        self.table: routes.Table | None = None
        self.catalogue = catalogue.Catalogue()
        self.revision = registry.NO_REVISION
        """The registry's revision up to which all changes are applied."""

        self.changed_at = registry.NO_REVISION
        """The revision of the newest applied change that routers did not write themselves."""

        self.on_refused: Callable[[str], None] = lambda kind: None
        """Called with the kind of each record that is invalid."""

        self.on_return: Callable[[], None] = lambda: None
        """Called when the registry has returned from an older copy."""

        self.configuration_watchers: set[Callable[[], None]] = set()
        """Called when another configuration has come into force."""

        self._configuration: registry.Item | None = None
        """The record of the configuration in force."""

        self._complete_from = float('-inf')
        """The time from which on a proof covers what the registry lacked after its last return."""

        self._is_configuration_lost = False
        """Whether the registry returned from a copy that has an older configuration."""

        self._invalid: dict[str, str] = {}
        """By key, why its current record is invalid."""

        self._revisions: dict[str, registry.Revision] = {}
        self._history = history.History()
        self._members: dict[str, registry.Item] = {}

    @property
    def members(self) -> dict[str, registry.Item]:
        """Items written by router processes, by key."""
        return self._members

    @property
    def mark_key(self) -> str:
        """The key under which processes mark a timeline that covers revocations."""
        return self.records.own_prefix + MARK_KEY

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force, or 0."""
        return self.table.configuration.version if self.table is not None else 0

    def apply_listing(self, listing: registry.Listing, now: float) -> None:
        """Apply a full listing of the registry, unless it is of an earlier timeline."""
        if listing.revision.timeline < self.revision.timeline:
            return
        self._apply_all(listing.items, listing.revision, now)
        self.freshness.prove(listing.sent_at)

    def apply_watch(self, changes: registry.Changes, wait: float, now: float) -> None:
        """Apply the result of a watch, unless its timeline has ended meanwhile."""
        if changes.revision.timeline != self.revision.timeline:
            return
        self._apply_changed(changes.items, changes.revision, now)
        self.freshness.prove_by_watch(changes.sent_at, wait, changes.received_at, not changes.items)

    def apply_freshness(self, revision: registry.Revision, proved_at: float) -> bool:
        """Apply a peer's time of freshness; return whether it is valid here.

        It is if all changes that the peer had applied are applied here as well.
        """
        if self.table is None or not self._has_applied(revision):
            return False
        self.freshness.prove(proved_at)
        return True

    def apply_report(
        self, process: replica_processes.ReplicaProcess, report: dialect.Report
    ) -> bool:
        """Apply a replica's report; return whether the expected process sent it.

        A process that started later than the known one is reported before its entry arrives. An
        earlier start is an outdated report, or the replica's clock has jumped back, which its entry
        will tell.
        """
        if report.started_ms is None or report.started_ms == process.started_ms:
            self.pools.apply_report(process, report.versions)
            self.pools.apply_signal(process, report.signal)
            if report.memory_used is not None:
                self.pools.apply_memory(process, report.memory_used, report.memory_total or 0)
            return True
        other = replica_processes.ReplicaProcess(process.id, report.started_ms)
        change = self.catalogue.note_restart(other, report.versions)
        if change is not None:
            self.pools.apply_change(change, self.freshness.covered_at)
        return False

    def export_since(self, revision: registry.Revision) -> history.ChangeSet:
        """Return the changes that a peer lacks whose state is complete up to a revision."""
        return self._history.list_since(revision)

    def apply_peer_changes(self, received: PeerChanges, now: float) -> bool:
        """Apply a peer's changes.

        Returns false if changes may be missing between the local state and those of the peer.
        """
        if received.changes.is_full:
            if received.revision >= self.revision:
                self._apply_all(received.changes.items, received.revision, now, received.awaited)
            return True
        if not self._has_applied(received.since):
            return False
        self._apply_changed(received.changes.items, received.revision, now, received.awaited)
        return True

    def export_lost_configuration(self, version: int) -> registry.Item | None:
        """Return the configuration in force if the registry has lost it and it is newer."""
        if self._is_configuration_lost and self.configuration_version > version:
            return self._configuration
        return None

    def apply_lost_configuration(self, item: registry.Item) -> None:
        """Apply a configuration that the registry has lost and a peer still knows."""
        before = self.configuration_version
        try:
            self._apply_configuration(item)
        except exceptions.StoreError as error:
            log.error('invalid configuration of a peer ignored', extra={'error': str(error)})
        if self.configuration_version > before:
            self._is_configuration_lost = True

    def is_ready(self) -> bool:
        """Return whether a configuration is known, without which requests can't be routed."""
        return self.table is not None

    def is_complete(self, at: float) -> bool:
        """Return whether all that replicas had written by a point in time is certainly known."""
        return self.freshness.proved_at >= max(at, self._complete_from)

    def may_become_complete(self, now: float) -> bool:
        """Return whether a proof that begins now would make the state complete.

        After a return of the registry from an older copy, replicas first write again what it lacks.
        """
        return self.is_ready() and now >= self._complete_from

    def expire(self, now: float) -> None:
        """Drop replicas whose vanished entries have not come back in time."""
        for change in self.catalogue.expire(now):
            self.pools.apply_change(change)

    def _has_applied(self, revision: registry.Revision) -> bool:
        """Return whether all changes up to a revision are applied, in its timeline."""
        return revision.timeline == self.revision.timeline and revision <= self.revision

    def _enter_timeline(self, revision: registry.Revision, now: float) -> None:
        """Prepare for the first complete state of a timeline, which is that of a revision."""
        self.changed_at = registry.Revision(revision.timeline, 0)
        self.freshness.note_return(now)
        if self.revision == registry.NO_REVISION:
            return
        log.warning(
            'registry returned from an older copy',
            extra={
                'revision': str(revision),
                'known_revision': str(self.revision),
                'age': round(self.freshness.compute_age(now), 3),
            },
        )
        self.on_return()
        self.catalogue.note_return(now)
        self._complete_from = now + catalogue.RETURN_GRACE

    def _apply_all(
        self,
        items: Sequence[registry.Item],
        revision: registry.Revision,
        now: float,
        awaited: Mapping[str, float] | None = None,
    ) -> None:
        is_outdated = self.freshness.compute_age(now) > MIN_ENTRY_SECONDS
        if registry.NO_REVISION < self.revision < revision and is_outdated:
            self.pools.note_gap(now)
        if revision.timeline > self.revision.timeline:
            self._enter_timeline(revision, now)
            # A peer awaits only replicas that it knew.
            awaited = None
        self._apply_changed(items, revision, now, awaited)
        keys = {i.key for i in items}
        gone = [k for k in self._revisions if k not in keys]
        for key in gone:
            # Items newer than the listing can't be in it.
            if self._revisions[key] <= revision:
                self._remove(key, revision, now, awaited)
        self._history.mark_incomplete_until(revision)

    def _apply_changed(
        self,
        items: Sequence[registry.Item],
        revision: registry.Revision,
        now: float,
        awaited: Mapping[str, float] | None = None,
    ) -> None:
        known_revision = self.revision
        outdated = []
        for item in items:
            # Watches, listings and peers deliver the same changes in any order. An old one would
            # restore a removed item, and its removal would not be delivered again.
            if item.revision <= known_revision:
                if item.revision != self._revisions.get(item.key):
                    outdated.append(item)
                continue
            if not item.removed:
                self._apply_item(item, now)
            elif self._revisions.get(item.key, registry.NO_REVISION) <= item.revision:
                self._remove(item.key, item.revision, now, awaited)
        self.revision = max(self.revision, revision)
        if outdated:
            log.info(
                'outdated registry changes ignored',
                extra={
                    'count': len(outdated),
                    'key': outdated[0].key,
                    'revision': str(outdated[0].revision),
                    'known_revision': str(known_revision),
                },
            )

    def _apply_item(self, item: registry.Item, now: float) -> None:
        if self._revisions.get(item.key, registry.NO_REVISION) >= item.revision:
            return
        self._revisions[item.key] = item.revision
        self._history.note(item)
        self._note_change(item.key, item.revision)
        try:
            self._dispatch_item(item, now)
        except exceptions.StoreError as error:
            self._reject_item(item, str(error))
        else:
            self._invalid.pop(item.key, None)

    def _reject_item(self, item: registry.Item, error: str) -> None:
        """Handle an invalid record; if it is a replica's entry, the replica is removed."""
        records = self.records
        is_replica = item.key.startswith(records.replica_prefix)
        self.on_refused('replica' if is_replica else 'operator')
        if self._invalid.get(item.key) != error:
            self._invalid[item.key] = error
            log.warning(
                'invalid registry record',
                extra={'key': item.key, 'revision': str(item.revision), 'error': error},
            )
        if is_replica:
            change = self.catalogue.invalidate(item.key.removeprefix(records.replica_prefix))
            if change is not None:
                self.pools.apply_change(change)

    def _dispatch_item(self, item: registry.Item, now: float) -> None:
        records = self.records
        if item.key == records.configuration_key:
            self._is_configuration_lost = not self._apply_configuration(item)
        elif item.key.startswith(records.version_prefix):
            self._apply_release(item, now)
        elif item.key.startswith(records.replica_prefix):
            id = item.key.removeprefix(records.replica_prefix)
            self._apply_entry(records.decode_replica(id, item.data), item.revision)
        elif item.key.startswith(records.own_prefix):
            self._members[item.key] = item
            if item.key == self.mark_key and item.data == encode_mark(item.revision):
                self.freshness.note_covering()

    def _apply_entry(self, entry: catalogue.Entry, revision: registry.Revision) -> None:
        change = self.catalogue.put(entry)
        if change is not None:
            self.pools.apply_change(change, self.freshness.covered_at)
        elif self.catalogue.is_skipped(entry.process):
            log.info(
                'late entry of an earlier upstream process skipped',
                extra={
                    'upstream': entry.id,
                    'born': entry.started_ms,
                    'revision': str(revision),
                },
            )

    def _apply_configuration(self, item: registry.Item) -> bool:
        """Apply a configuration; return false if a newer one is in force."""
        configuration = self.records.decode_configuration(item.data)
        known = self.configuration_version
        if known > configuration.version:
            log.warning(
                'older configuration ignored',
                extra={
                    'version': configuration.version,
                    'known_version': known,
                    'revision': str(item.revision),
                },
            )
            return False
        self._configuration = item
        if self.table is not None and known == configuration.version:
            return True
        self.table = routes.Table(configuration)
        self.pools.apply_configuration(configuration)
        for notify in tuple(self.configuration_watchers):
            notify()
        log.info(
            'configuration in force',
            extra={
                'version': configuration.version,
                'revision': str(item.revision),
                'routes': len(configuration.routes),
                'accounts': len(configuration.accounts),
                'age': round(self.freshness.compute_age(clocks.now()), 3),
            },
        )
        return True

    def _apply_release(self, item: registry.Item, now: float) -> None:
        model, version = self.records.decode_named_version(item.data)
        if item.key != self.records.version_prefix + model:
            raise exceptions.StoreError(f'names weights of {model}')
        # The last state known to be fresh did not have it yet; right after a start there is none.
        if not self.pools.record_release(model, version, self.freshness.proved_at, now):
            return
        age = self.freshness.compute_age(now)
        log.info(
            'weights released',
            extra={
                'model': model,
                'weight_version': version,
                'revision': str(item.revision),
                'age': round(age, 3) if math.isfinite(age) else None,
            },
        )

    def _note_change(self, key: str, revision: registry.Revision) -> None:
        if not key.startswith(self.records.own_prefix):
            self.changed_at = max(self.changed_at, revision)

    def _remove(
        self,
        key: str,
        revision: registry.Revision,
        now: float,
        awaited: Mapping[str, float] | None,
    ) -> None:
        self._revisions.pop(key, None)
        self._invalid.pop(key, None)
        self._history.note(registry.Item(key, b'', revision, removed=True))
        self._note_change(key, revision)
        self._members.pop(key, None)
        if key == self.records.configuration_key:
            self._is_configuration_lost = True
        if key.startswith(self.records.replica_prefix):
            id = key.removeprefix(self.records.replica_prefix)
            left = None if awaited is None else awaited.get(id, 0.0)
            change = self.catalogue.remove(id, now, left)
            if change is not None:
                self.pools.apply_change(change)
