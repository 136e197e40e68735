"""Keeps in the registry which requests replicas have ended under, for processes no peer can tell.

Peers tell each other at once, but not behind a cut, and whoever starts after all have ended finds
nobody to ask. A record is one write for each replica that ends, by each process that had requests
running there, and lapses by itself.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.core import crashes, fingerprints, lives
from passpier.daemon import suspects
from passpier.routing import knowledge

log = logging.getLogger(__name__)

INTERVAL = 0.2
"""Seconds between looks at what has come and what is to be written."""

LEASE = 600.0
"""Seconds after which records lapse, the most that registries grant: a caller that has not sent its
request for so long has mostly given up, and if it has not, three replicas tell again."""

LEASE_USED = 300.0
"""Seconds for which new records go under the same lease."""

MOST_KEPT = 256
"""Ends seen here of which the requests are kept, to be written or written again; the oldest go
first."""

_KEY = 'suspects/'
_TRIAL_KEY = 'trials/'


class Record(msgspec.Struct, array_like=True):
    """What is written of one end."""

    replica: str
    born: int
    suspects: list[int]


class Marks:
    """One process's part in writing and reading the records."""

    def __init__(
        self,
        source: registry.Registry,
        known: knowledge.Knowledge,
        shared: suspects.Suspects,
        name: str,
    ) -> None:
        self._source = source
        self._known = known
        self._suspects = shared
        self._prefix = known.records.own_prefix + _KEY
        self._trial_prefix = known.records.own_prefix + _TRIAL_KEY
        self._name = name
        self._read: dict[str, int] = {}
        """By key, the revision that was taken over."""

        self._seen: dict[lives.Life, list[int]] = {}
        """The requests under each end that was seen here; some see it later than others."""

        self._unwritten: set[lives.Life] = set()
        self._lease = 0
        self._granted_at = float('-inf')
        shared.on_end = self._note_end
        shared.claim_trial = self.claim_trial

    async def run(self) -> None:
        """Read and write until cancelled."""
        while True:
            self.take_records()
            try:
                await self.write_records()
            except exceptions.StoreError as error:
                self._granted_at = float('-inf')
                log.info('record of an end put off', extra={'error': str(error)})
            await asyncio.sleep(INTERVAL)

    async def claim_trial(self, fingerprint: int) -> bool:
        """Return whether this process alone may run a request that is held back elsewhere.

        One claim is given in `LEASE` seconds, over all processes; none while the registry is away.
        """
        name = fingerprints.render_fingerprint(fingerprint)
        key = self._trial_prefix + name
        if key in self._known.members:
            # Another process has it; to ask for a lease would cost a call for each arrival.
            return False
        try:
            lease = await self._source.grant(LEASE)
            await self._source.write([registry.Put(key, b'', lease)], [registry.IsAt(key, 0)])
        except (exceptions.StoreError, exceptions.ConflictError) as error:
            fields = {'fingerprint': name, 'error': str(error)}
            log.info('no trial of a suspect', extra=fields)
            return False
        log.info('trial of a suspect', extra={'fingerprint': name})
        return True

    def take_records(self) -> None:
        """Take over the records that are new."""
        members = self._known.members
        self._read = {key: revision for key, revision in self._read.items() if key in members}
        for key, item in members.items():
            if key.startswith(self._prefix) and self._read.get(key) != item.revision:
                self._read[key] = item.revision
                self._take(key, item)

    async def write_records(self) -> None:
        """Write what was seen here since the last time; raises `StoreError`."""
        if not self._unwritten:
            return
        now = clocks.now()
        if now - self._granted_at > LEASE_USED:
            self._lease = await self._source.grant(LEASE)
            self._granted_at = now
        writing = {life: list(self._seen[life]) for life in self._unwritten}
        puts = [self._build_put(life, under) for life, under in writing.items()]
        await self._source.write(puts)
        self._unwritten -= {life for life, under in writing.items() if self._seen[life] == under}
        log.info('ends recorded', extra={'upstreams': [str(life) for life in writing]})

    def _note_end(self, life: lives.Life, under: list[int]) -> None:
        self._seen.setdefault(life, []).extend(under)
        self._unwritten.add(life)
        while len(self._seen) > MOST_KEPT:
            oldest = next(iter(self._seen))
            del self._seen[oldest]
            self._unwritten.discard(oldest)

    def _build_put(self, life: lives.Life, under: list[int]) -> registry.Put:
        data = msgspec.json.encode(Record(life.id, life.born, under))
        return registry.Put(f'{self._prefix}{self._name}/{life}', data, self._lease)

    def _take(self, key: str, item: registry.Item) -> None:
        try:
            record = msgspec.json.decode(item.data, type=Record)
        except msgspec.MsgspecError as error:
            log.error('record of an end skipped', extra={'key': key, 'error': str(error)})
            return
        # It has no age that two clocks agree on; it was true when it was read.
        end = crashes.End(record.replica, record.born, 0.0, record.suspects)
        self._suspects.take_ends([end], 'registry')
