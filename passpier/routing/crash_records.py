"""Records crashes and the requests running at them in the registry, for processes peers can't tell.

Peers tell each other at once, but not across a partition, and a process that starts after all
others have ended has no peer to ask. Each process that had requests running on a crashed replica
writes one record per crash, which expires by itself. When the registry returns from an older copy,
which may lack records, each process writes its own again.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Annotated

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import crashes, fingerprints, replica_processes
from passpier.daemon import suspects
from passpier.routing import registry_mirror
from passpier.utils import decoding

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
_TRIAL_SUFFIXES = ('', '.2')
"""Of the keys of a cause's first and second trial."""


class Record(msgspec.Struct, array_like=True):
    """The stored record of one crash."""

    replica: str
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]
    suspects: list[int]

    def __post_init__(self) -> None:
        # Peers are told of the fingerprints, and a message can't hold larger ones.
        if not all(0 <= suspect < 1 << 8 * fingerprints.SIZE for suspect in self.suspects):
            raise ValueError('a suspect is no fingerprint')


_decoder = decoding.build_json_decoder(Record)


class _SeenCrash(msgspec.Struct):
    at: float
    suspects: list[int]
    """The requests running at the crash; more may be added later."""


class _Claim(msgspec.Struct):
    """The claim of a trial."""

    at: float
    """When it was made here, or first seen."""

    timeline: int
    is_listed: bool = False
    """Whether the registry has listed it in that timeline."""

    lease: registry.Lease | None = None
    """Its lease, if it is one of our own."""


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
        self._claims: dict[str, _Claim] = {}
        """The claims of trials by key."""

        self._released: list[registry.Lease] = []
        """The leases of own claims that are over."""

        self._unwritten_claims: set[str] = set()
        """Own claims that have to be written again."""

        suspect_tracker.on_crash = self._note_crash
        suspect_tracker.claim_trial = self.claim_trial
        suspect_tracker.on_clear = self._note_cleared
        suspect_tracker.crashes.get_trials = self.get_trials

    async def run(self) -> None:
        """Read and write records until cancelled."""
        while True:
            self.check_timeline()
            self.apply_records()
            try:
                await self.write_records()
                await self._end_released()
            except exceptions.StoreError as error:
                self._granted_at = float('-inf')
                log.info('crash record not written, will be retried', extra={'error': str(error)})
            await asyncio.sleep(INTERVAL)

    async def claim_trial(self, fingerprint: int) -> bool:
        """Return whether this process alone may run what is refused everywhere else.

        Over all processes, one claim for a request is granted in `LEASE` seconds, and
        `crashes.MAX_TRIALS` for a prompt part; none while the registry is unavailable.
        """
        most = crashes.MAX_TRIALS if fingerprints.is_part(fingerprint) else 1
        keys = [key for key in self._list_claim_keys(fingerprint) if not self._is_claimed(key)]
        if len(keys) <= len(_TRIAL_SUFFIXES) - most:
            # Asking for a lease would cost a call for each request.
            return False
        return await self._claim(fingerprint, keys[0])

    def get_trials(self, fingerprint: int) -> crashes.Trials:
        """Return the trials that are known to have been claimed."""
        known = [
            self._claims[k].at for k in self._list_claim_keys(fingerprint) if k in self._claims
        ]
        return crashes.Trials(len(known), max(known, default=float('-inf')))

    def _list_claim_keys(self, fingerprint: int) -> list[str]:
        name = fingerprints.render_fingerprint(fingerprint)
        return [f'{self._trial_prefix}{name}{suffix}' for suffix in _TRIAL_SUFFIXES]

    def _is_claimed(self, key: str) -> bool:
        return key in self._registry_state.members or key in self._claims

    async def _claim(self, fingerprint: int, key: str) -> bool:
        name = fingerprints.render_fingerprint(fingerprint)
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
        self._claims[key] = _Claim(clocks.now(), self._timeline, lease=lease)
        log.info('trial of a suspect request granted', extra={'fingerprint': name})
        return True

    def check_timeline(self) -> None:
        """Have the records of this process written again if the registry has returned."""
        before, self._timeline = self._timeline, self._registry_state.revision.timeline
        if self._timeline == before or before == registry.NO_REVISION.timeline:
            return
        oldest = clocks.now() - LEASE
        self._unwritten |= {process for process, seen in self._seen.items() if seen.at > oldest}
        self._unwritten_claims |= {k for k, c in self._claims.items() if c.lease is not None}
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
        members = self._registry_state.members
        for key in members:
            if key.startswith(self._trial_prefix):
                claim = self._claims.setdefault(key, _Claim(now, self._timeline))
                claim.timeline, claim.is_listed = self._timeline, True
        self._claims = {
            key: claim
            for key, claim in self._claims.items()
            if now - claim.at < LEASE and not self._is_released(key, claim)
        }
        self._unwritten_claims &= self._claims.keys()

    def _is_released(self, key: str, claim: _Claim) -> bool:
        """Return whether whoever made a claim has withdrawn it, as the part was cleared."""
        is_gone = key not in self._registry_state.members
        return is_gone and claim.is_listed and claim.timeline == self._timeline

    def _note_cleared(self, fingerprint: int) -> None:
        """Correct the records of this process, and release its claims of trials."""
        for process, seen in self._seen.items():
            if fingerprint in seen.suspects:
                seen.suspects = [x for x in seen.suspects if x != fingerprint]
                self._unwritten.add(process)
        for key in self._list_claim_keys(fingerprint):
            claim = self._claims.get(key)
            if claim is not None and claim.lease is not None:
                self._released.append(claim.lease)
                del self._claims[key]

    async def _end_released(self) -> None:
        while self._released:
            await self._source.end(self._released[0])
            self._released.pop(0)

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
            record = _decoder.decode(item.data)
        except exceptions.DecodingError as error:
            log.error('invalid crash record ignored', extra={'key': key, 'error': str(error)})
            return
        # The record has no age, since clocks differ; the crash counts as having happened now.
        crash = crashes.Crash(record.replica, record.started_ms, 0.0, record.suspects)
        self._suspects.merge_crashes([crash], 'registry')
