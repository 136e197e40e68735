"""Records crashes and the requests running at them in the registry, for processes peers can't tell.

Peers tell each other at once, but not across a partition, and a process that starts after all
others have ended has no peer to ask. Each process that had requests running on a crashed replica
writes one record per crash, which expires by itself. When the registry returns from an older copy,
which may lack records, each process writes its own again.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import crashes, fingerprints, replica_processes
from passpier.daemon import suspects
from passpier.routing import registry_mirror

log = logging.getLogger(__name__)

INTERVAL = 0.2
"""Seconds between checks for records to read or write."""

LEASE = 600.0
"""Seconds after which records expire, the most that registries grant. A caller that has not sent
its request again by then has mostly given up; if not, it takes three more crashes to detect it
again."""

LEASE_USED = 300.0
"""Seconds for which new records are written under the same lease."""

CRASHES_MAX = 256
"""Maximum number of crashes seen here whose requests are kept to be written, or written again. The
oldest are dropped first."""

BATCH_SIZE = 32
"""Writes in one transaction, the most that registries accept."""

_KEY = 'suspects/'
_TRIAL_KEY = 'trials/'


class Record(msgspec.Struct, array_like=True):
    """The stored record of one crash."""

    replica: str
    started_ms: int
    suspects: list[int]


class _SeenCrash(msgspec.Struct):
    at: float
    suspects: list[int]
    """The requests running at the crash; more may be added later."""


class CrashRecords:
    """Reads and writes the records."""

    def __init__(
        self,
        source: registry.Registry,
        registry_state: registry_mirror.RegistryState,
        suspect_tracker: suspects.SuspectRequests,
        name: str,
    ) -> None:
        self._source = source
        self._registry_state = registry_state
        self._suspects = suspect_tracker
        self._prefix = registry_state.records.own_prefix + _KEY
        self._trial_prefix = registry_state.records.own_prefix + _TRIAL_KEY
        self._name = name
        self._read: dict[str, registry.Revision] = {}
        """By key, the revision of the last record applied."""

        self._seen: dict[replica_processes.ReplicaProcess, _SeenCrash] = {}
        """The crashes that were seen here."""

        self._unwritten: set[replica_processes.ReplicaProcess] = set()
        self._lease: registry.Lease | None = None
        self._granted_at = float('-inf')
        self._timeline = registry.NO_REVISION.timeline
        self._claims: dict[str, float] = {}
        """By key, when a trial was claimed or its claim was first seen here."""

        self._own_claims: set[str] = set()
        self._unwritten_claims: set[str] = set()
        """Own claims that have to be written again."""

        suspect_tracker.on_crash = self._note_crash
        suspect_tracker.claim_trial = self.claim_trial

    async def run(self) -> None:
        """Read and write records until cancelled."""
        while True:
            self.check_timeline()
            self.apply_records()
            try:
                await self.write_records()
            except exceptions.StoreError as error:
                self._granted_at = float('-inf')
                log.info('crash record not written, will be retried', extra={'error': str(error)})
            await asyncio.sleep(INTERVAL)

    async def claim_trial(self, fingerprint: int) -> bool:
        """Return whether this process alone may run a request that is refused everywhere else.

        Over all processes, one claim is granted in `LEASE` seconds; none while the registry is
        unavailable.
        """
        name = fingerprints.render_fingerprint(fingerprint)
        key = self._trial_prefix + name
        if key in self._registry_state.members or key in self._claims:
            # Asking for a lease would cost a call for each request.
            return False
        try:
            lease = await self._source.grant(LEASE)
            await self._source.write(
                [registry.Put(key, b'', lease)],
                [registry.ExpectedRevision(key, registry.NO_REVISION)],
            )
        except (exceptions.StoreError, exceptions.ConflictError) as error:
            fields = {'fingerprint': name, 'error': str(error)}
            log.info('trial of a suspect request not granted', extra=fields)
            return False
        self._claims[key] = clocks.now()
        self._own_claims.add(key)
        log.info('trial of a suspect request granted', extra={'fingerprint': name})
        return True

    def check_timeline(self) -> None:
        """Have the records of this process written again if the registry has returned."""
        before, self._timeline = self._timeline, self._registry_state.revision.timeline
        if self._timeline == before or before == registry.NO_REVISION.timeline:
            return
        oldest = clocks.now() - LEASE
        self._unwritten |= {process for process, seen in self._seen.items() if seen.at > oldest}
        self._unwritten_claims |= self._own_claims
        log.info(
            'records written again after a return of the registry',
            extra={'crashes': len(self._unwritten), 'trials': len(self._unwritten_claims)},
        )

    def apply_records(self) -> None:
        """Apply new records."""
        members = self._registry_state.members
        self._note_claims()
        self._read = {key: revision for key, revision in self._read.items() if key in members}
        for key, item in members.items():
            if key.startswith(self._prefix) and self._read.get(key) != item.revision:
                self._read[key] = item.revision
                self._apply_record(key, item)

    async def write_records(self) -> None:
        """Write the crashes seen here since the last write; raises `StoreError`."""
        while self._unwritten or self._unwritten_claims:
            await self._write_batch()

    async def _write_batch(self) -> None:
        now = clocks.now()
        if self._lease is None or now - self._granted_at > LEASE_USED:
            self._lease = await self._source.grant(LEASE)
            self._granted_at = now
        claims = list(self._unwritten_claims)[:BATCH_SIZE]
        processes = list(self._unwritten)[: BATCH_SIZE - len(claims)]
        writing = {process: list(self._seen[process].suspects) for process in processes}
        puts = [registry.Put(key, b'', self._lease) for key in claims]
        puts += [self._build_put(process, running) for process, running in writing.items()]
        await self._source.write(puts)
        self._unwritten_claims -= set(claims)
        self._unwritten -= {
            process
            for process, running in writing.items()
            if process not in self._seen or self._seen[process].suspects == running
        }
        log.info('crashes recorded', extra={'upstreams': [str(process) for process in writing]})

    def _note_claims(self) -> None:
        """Remember claims for as long as they last, also if the registry loses them."""
        now = clocks.now()
        for key in self._registry_state.members:
            if key.startswith(self._trial_prefix):
                self._claims.setdefault(key, now)
        self._claims = {key: at for key, at in self._claims.items() if now - at < LEASE}
        self._own_claims &= self._claims.keys()
        self._unwritten_claims &= self._claims.keys()

    def _note_crash(self, process: replica_processes.ReplicaProcess, running: list[int]) -> None:
        seen = self._seen.setdefault(process, _SeenCrash(clocks.now(), []))
        seen.suspects.extend(running)
        self._unwritten.add(process)
        while len(self._seen) > CRASHES_MAX:
            oldest = next(iter(self._seen))
            del self._seen[oldest]
            self._unwritten.discard(oldest)

    def _build_put(
        self, process: replica_processes.ReplicaProcess, running: list[int]
    ) -> registry.Put:
        data = msgspec.json.encode(Record(process.id, process.started_ms, running))
        return registry.Put(f'{self._prefix}{self._name}/{process}', data, self._lease)

    def _apply_record(self, key: str, item: registry.Item) -> None:
        try:
            record = msgspec.json.decode(item.data, type=Record)
        except msgspec.MsgspecError as error:
            log.error('invalid crash record ignored', extra={'key': key, 'error': str(error)})
            return
        # The record has no age, since clocks differ; the crash counts as having happened now.
        crash = crashes.Crash(record.replica, record.started_ms, 0.0, record.suspects)
        self._suspects.merge_crashes([crash], 'registry')
