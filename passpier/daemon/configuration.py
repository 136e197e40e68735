"""The configuration in force: taken from the store or from peers, and passed on."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import zlib
from collections.abc import Callable

from passpier import clocks
from passpier.config import declarations, directory
from passpier.core import members, revisions
from passpier.daemon import messages, peers, storage

log = logging.getLogger(__name__)

FIRST_SECONDS = 2.0
"""Seconds for which a daemon that has just started lets requests wait for its configuration."""

MAX_CHUNKS_A_MESSAGE = 64
"""Chunks that one message carries; the rest is asked for with the next."""

BEHIND_CHECK = 0.05
"""Seconds between looks at who is behind, while an operator waits."""


class Configuration:
    """The newest configuration that this daemon knows; it never steps back."""

    def __init__(
        self,
        membership: members.Membership,
        link: peers.Peers,
        shared: storage.Storage,
        apply: Callable[[directory.Directory], None],
    ) -> None:
        self._membership = membership
        self._peers = link
        self._storage = shared
        self._apply = apply
        self._pending: revisions.Index | None = None
        self._chunks: dict[str, bytes] = {}
        self.holder = revisions.Holder()
        self.current: directory.Directory | None = None
        self._first = asyncio.Event()
        link.handle(messages.RevisionWanted, self._send_index)
        link.handle(messages.RevisionSent, self._take_index)
        link.handle(messages.ChunksWanted, self._send_chunks)
        link.handle(messages.ChunksSent, self._take_chunks)

    def install(self, revision: revisions.Revision) -> bool:
        """Put a configuration in force if it is newer."""
        if not self.holder.install(revision):
            return False
        fleet = declarations.decode_fleet(revision.document)
        self.current = directory.Directory(fleet, revision.index.revision)
        self._pending = None
        self._chunks = {}
        log.info('configuration in force', extra={'revision': self.current.revision})
        self._apply(self.current)
        self._first.set()
        return True

    async def wait_for_first(self) -> None:
        """Return once there is a configuration, or after a while without."""
        if self.current is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._first.wait(), FIRST_SECONDS)

    async def pull(self) -> None:
        """Take over the store's configuration if it is newer."""
        revision = await self._storage.read_revision(self.holder.current)
        if revision is not None:
            self.install(revision)

    async def wait_for(self, number: int, timeout: float) -> list[str]:
        """Return the live daemons that have not reported a revision within `timeout` seconds."""
        end = clocks.now() + timeout
        while True:
            behind = self.list_behind(number)
            if not behind or clocks.now() >= end:
                return behind
            await asyncio.sleep(BEHIND_CHECK)

    def list_behind(self, number: int) -> list[str]:
        """Return the names of the live daemons whose revision is older than `number`."""
        alive = self._membership.list_alive(clocks.now())
        return [m.name for m in alive if self.get_revision(m) < number]

    def get_revision(self, member: members.Member) -> int:
        """Return the revision that a daemon has reported."""
        if member == self._membership.own:
            return self.holder.number
        beat = self._membership.get_beat(member.incarnation)
        return beat.revision if beat else 0

    def ask(self, address: str) -> None:
        """Ask a peer for a newer configuration."""
        self._peers.send(address, messages.RevisionWanted(self.holder.number))

    def _send_index(self, sender: str, address: str, message: messages.RevisionWanted) -> None:
        current = self.holder.current
        if current is not None and current.index.revision > message.revision:
            self._peers.send(address, messages.RevisionSent(current.index))

    def _take_index(self, sender: str, address: str, message: messages.RevisionSent) -> None:
        newest = max(self.holder.number, self._pending.revision if self._pending else 0)
        if message.index.revision < newest or message.index.revision == self.holder.number:
            return
        self._pending = message.index
        self._complete(address)

    def _send_chunks(self, sender: str, address: str, message: messages.ChunksWanted) -> None:
        current = self.holder.current
        if current is None:
            return
        found = {
            name: zlib.compress(current.chunks[name], 1)
            for name in message.names[:MAX_CHUNKS_A_MESSAGE]
            if name in current.chunks
        }
        if found:
            self._peers.send(address, messages.ChunksSent(found))

    def _take_chunks(self, sender: str, address: str, message: messages.ChunksSent) -> None:
        for name, data in message.chunks.items():
            chunk = zlib.decompress(data)
            if revisions.hash_chunk(chunk) == name:
                self._chunks[name] = chunk
        self._complete(address)

    def _complete(self, address: str) -> None:
        """Install the pending configuration, or ask for what it lacks."""
        if self._pending is None:
            return
        current = self.holder.current
        known = {**(current.chunks if current else {}), **self._chunks}
        missing = [name for name in dict.fromkeys(self._pending.chunks) if name not in known]
        if missing:
            self._peers.send(address, messages.ChunksWanted(missing[:MAX_CHUNKS_A_MESSAGE]))
            return
        revision = revisions.build_revision(self._pending, known)
        if revision is not None:
            self.install(revision)
