"""The current configuration: fetched from the store or from peers, and sent to peers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import zlib
from collections.abc import Callable

from passpier import clocks, exceptions
from passpier.config import declarations, directory
from passpier.core import members, revisions
from passpier.daemon import messages, peers, storage
from passpier.utils import decoding

log = logging.getLogger(__name__)

FIRST_TIMEOUT = 2.0
"""Seconds for which requests wait for the configuration of a daemon that has just started."""

MAX_CHUNKS_PER_MESSAGE = 64
"""Maximum number of chunks in one message; the others are requested with the next."""

BEHIND_CHECK_INTERVAL = 0.05
"""Seconds between checks for daemons that are behind, while an operator waits."""


class Configuration:
    """The newest configuration known to this daemon; its revision never decreases."""

    def __init__(
        self,
        membership: members.Membership,
        link: peers.Peers,
        shared_storage: storage.Storage,
        apply: Callable[[directory.Directory], None],
    ) -> None:
        self._membership = membership
        self._peers = link
        self._storage = shared_storage
        self._apply = apply
        self._pending: revisions.Index | None = None
        self._chunks: dict[str, bytes] = {}
        self.holder = revisions.ActiveRevision()
        self.current: directory.Directory | None = None
        self._first_installed = asyncio.Event()
        link.register_handler(messages.RevisionRequest, self._send_index)
        link.register_handler(messages.RevisionResponse, self._handle_index)
        link.register_handler(messages.ChunksRequest, self._send_chunks)
        link.register_handler(messages.ChunksResponse, self._handle_chunks)

    def install(self, revision: revisions.Revision) -> bool:
        """Apply a configuration if it is newer and valid."""
        if revision.index.revision <= self.holder.number:
            return False
        try:
            fleet = declarations.decode_fleet(revision.document)
        except exceptions.DecodingError as error:
            fields = {'revision': revision.index.revision, 'error': str(error)}
            log.error('invalid configuration ignored', extra=fields)
            return False
        self.holder.install(revision)
        self.current = directory.Directory(fleet, revision.index.revision)
        self._pending = None
        self._chunks = {}
        log.info('configuration in force', extra={'revision': self.current.revision})
        self._apply(self.current)
        self._first_installed.set()
        return True

    async def wait_for_first(self) -> None:
        """Wait for the first configuration, with a timeout."""
        if self.current is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._first_installed.wait(), FIRST_TIMEOUT)

    async def pull(self) -> None:
        """Apply the configuration from the store if it is newer."""
        revision = await self._storage.read_revision(self.holder.current)
        if revision is not None:
            self.install(revision)

    async def wait_for(self, number: int, timeout: float) -> list[str]:
        """Return the live daemons that have not reported a revision after `timeout` seconds."""
        end = clocks.now() + timeout
        while True:
            behind = self.list_behind(number)
            if not behind or clocks.now() >= end:
                return behind
            await asyncio.sleep(BEHIND_CHECK_INTERVAL)

    def list_behind(self, number: int) -> list[str]:
        """Return the names of the live daemons whose revision is below `number`."""
        alive = self._membership.list_alive(clocks.now())
        return [m.name for m in alive if self.get_revision(m) < number]

    def get_revision(self, member: members.Member) -> int:
        """Return the revision that a daemon reported last."""
        if member == self._membership.own:
            return self.holder.number
        beat = self._membership.get_beat(member.incarnation)
        return beat.revision if beat else 0

    def request(self, address: str) -> None:
        """Request a newer configuration from a peer."""
        self._peers.send(address, messages.RevisionRequest(self.holder.number))

    def _send_index(self, sender: str, address: str, message: messages.RevisionRequest) -> None:
        current = self.holder.current
        if current is not None and current.index.revision > message.revision:
            self._peers.send(address, messages.RevisionResponse(current.index))

    def _handle_index(self, sender: str, address: str, message: messages.RevisionResponse) -> None:
        newest = max(self.holder.number, self._pending.revision if self._pending else 0)
        if message.index.revision < newest or message.index.revision == self.holder.number:
            return
        self._pending = message.index
        self._complete(address)

    def _send_chunks(self, sender: str, address: str, message: messages.ChunksRequest) -> None:
        current = self.holder.current
        if current is None:
            return
        found = {
            name: zlib.compress(current.chunks[name], 1)
            for name in message.names[:MAX_CHUNKS_PER_MESSAGE]
            if name in current.chunks
        }
        if found:
            self._peers.send(address, messages.ChunksResponse(found))

    def _handle_chunks(self, sender: str, address: str, message: messages.ChunksResponse) -> None:
        for name, data in message.chunks.items():
            try:
                chunk = decoding.decompress(data, revisions.CHUNK_SIZE)
            except exceptions.DecodingError as error:
                log.warning('chunk not decoded', extra={'peer': address, 'error': str(error)})
                continue
            if revisions.hash_chunk(chunk) == name:
                self._chunks[name] = chunk
        self._complete(address)

    def _complete(self, address: str) -> None:
        """Install the pending configuration, or request its missing chunks."""
        if self._pending is None:
            return
        current = self.holder.current
        known = {**(current.chunks if current else {}), **self._chunks}
        missing = [name for name in dict.fromkeys(self._pending.chunks) if name not in known]
        if missing:
            self._peers.send(address, messages.ChunksRequest(missing[:MAX_CHUNKS_PER_MESSAGE]))
            return
        revision = revisions.build_revision(self._pending, known)
        if revision is not None:
            self.install(revision)
