"""Chooses where an engine fetches cached prompt parts that it lacks, and where it saves its own."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import msgspec

from passpier import clocks
from passpier.core import (
    cache_store_contents,
    cache_view,
    choice,
    prompts,
    rendezvous,
    replica_processes,
    replicas,
)
from passpier.routing import pools

IN_MEMORY_SECONDS = 3.0
"""Seconds for which parts that a replica has processed are certainly in its memory: it replaces a
tenth to a fifth of its memory each second under full load."""

NO_READER = (replica_processes.ReplicaProcess(''), float('-inf'))
"""The last reader of a part that no replica has processed, and when."""

READERS_MAX = 20_000
"""Maximum number of parts for which the last reader is kept."""


class CacheSource(msgspec.Struct, frozen=True):
    """The addresses where an engine fetches cached parts, and saves what it computes."""

    fetch: str = ''
    save: str = ''


class CacheSources:
    """Tracks which replicas and cache stores hold which prompt parts."""

    def __init__(self, replica_pools: pools.Pools) -> None:
        self.pools = replica_pools
        self._readers: collections.OrderedDict[
            int, tuple[replica_processes.ReplicaProcess, float]
        ] = collections.OrderedDict()
        """By the last shared part of prompts, the last replica process to read it, and when."""

    def choose(
        self, replica: replicas.Replica, job: choice.Job, prompt: prompts.Prompt, salt: str
    ) -> CacheSource:
        """Return where a replica fetches the parts it lacks, and where it saves its own."""
        now = clocks.now()
        recent = self._find_recent_reader(replica, job, now)
        store = self._choose_store(replica, choice.get_family(job))
        store_contents = self.pools.stores.get(store)
        if store_contents is None:
            return CacheSource(recent or self._find_holder(replica, job))
        shared = [cache_store_contents.hash_part(salt, p.name) for p in prompt.parts[:-1]]
        if store_contents.holds_all(shared, now):
            return CacheSource(recent or store)
        store_contents.note_saving(shared, now)
        return CacheSource(recent or self._find_holder(replica, job) or store, store)

    def record_read(
        self,
        process: replica_processes.ReplicaProcess,
        version: str,
        chain: list[int],
        ends: Sequence[int],
        shared: int,
    ) -> None:
        """Record that a replica has processed a prompt, whose first `shared` parts others share."""
        sizes = [end - start for start, end in zip((0, *ends), ends, strict=False)]
        now = clocks.now()
        incarnation = pools.identify_cache(process, version)
        self.pools.cache.add(process.id, incarnation, chain, cache_view.Evidence.EVENT, now, sizes)
        if not shared:
            return
        last = chain[shared - 1]
        self._readers[last] = (process, now)
        self._readers.move_to_end(last)
        while len(self._readers) > READERS_MAX:
            self._readers.popitem(last=False)

    def _find_recent_reader(self, replica: replicas.Replica, job: choice.Job, now: float) -> str:
        """Return the address of the replica that last processed a prompt's shared parts.

        Its link is many times faster than that of a cache store, and what it processed moments ago
        is still in its memory.
        """
        shared = job.chain[:-1]
        process, read_at = self._readers.get(shared[-1], NO_READER) if shared else NO_READER
        other = self.pools.find(process)
        if other is None or other is replica or now - read_at > IN_MEMORY_SECONDS:
            return ''
        is_silent = other.name in self.pools.unresponsive
        usable = not other.leaving and now >= other.paused_until and not is_silent
        same = other.weight_version == replica.weight_version
        return other.address if usable and same else ''

    def _choose_store(self, replica: replicas.Replica, family: str) -> str:
        """Return the cache store for a prompt family, near the family's home replica."""
        names = self.pools.list_siblings(replica.name)
        home = max(names, key=lambda name: rendezvous.compute_weight(family, name))
        domain = self.pools.replicas.get(home, replica).failure_domain
        return self.pools.stores.choose(family, domain)

    def _find_holder(self, replica: replicas.Replica, job: choice.Job) -> str:
        """Return the address of the replica that caches most of a prompt, unless it is this one."""
        now = clocks.now()
        cache = self.pools.cache
        own = cache.match(replica.name, job.chain, now).blocks
        best = ''
        for other in self.pools.replicas.values():
            if other.weight_version != replica.weight_version or other.leaving:
                continue
            blocks = cache.match(other.name, job.chain, now).blocks
            if blocks > own and now >= other.paused_until:
                own, best = blocks, other.address
        return best
