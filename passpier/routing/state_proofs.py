"""Proves on demand that this process's copy of the registry is complete.

The copy may lag behind by seconds: most processes learn of changes from peers, and one that is cut
off or suspended learns of none. That something isn't in the copy is evidence only once a call to
the registry that began later has returned.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import Protocol

import msgspec

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.daemon import messages, peers
from passpier.routing import registry_follower, registry_mirror, relaying

log = logging.getLogger(__name__)

PROOF_SECONDS = 0.7
"""Seconds for which a caller waits for a proof."""

READ_SECONDS = 0.35
"""Timeout of a call to the registry in seconds; a slow one answers within a quarter of a second."""

ASK_SECONDS = 0.3
"""Seconds after which the next source of a proof is asked as well: a reader may be waiting for a
slow registry."""

RETRY_DELAY = 0.05
"""Seconds after a failed call before the next one of a reader. All others together call as often as
the fewest readers that a fleet has."""


class Prover(Protocol):
    """Proves that the local copy of the registry is complete."""

    async def prove(self, since: float) -> bool:
        """Return whether all changes up to `since` are known here; may wait for a proof."""


class StateProofs:
    """Confirms the state of the registry, through one of its readers or by a call of its own."""

    def __init__(
        self,
        source: registry.Registry,
        registry_state: registry_mirror.RegistryState,
        relay: relaying.Relay,
        link: peers.Peers,
    ) -> None:
        self._source = source
        self._registry_state = registry_state
        self._relay = relay
        self._peers = link
        self._numbers = itertools.count()
        self._replies = peers.Replies()
        self._refresh: asyncio.Task[None] | None = None
        self._read: asyncio.Task[None] | None = None
        self._retry_at = float('-inf')
        """The time before which the registry is not called, as it has failed to answer."""

        link.register_handler(messages.ProofRequest, self._handle_request)
        link.register_handler(messages.ProofResponse, self._handle_response)

    async def prove(self, since: float) -> bool:
        """Return whether all changes up to `since` are known here; may wait for a proof.

        Callers that wait at the same time share the calls to readers and to the registry.
        """
        ends_at = clocks.now() + PROOF_SECONDS
        while not self._registry_state.is_complete(since):
            left = ends_at - clocks.now()
            if left <= 0 or not self._registry_state.may_become_complete(clocks.now()):
                age = self._registry_state.freshness.compute_age(clocks.now())
                log.info('registry state not proved', extra={'registry_age': round(age, 3)})
                return False
            if self._refresh is None or self._refresh.done():
                self._refresh = asyncio.ensure_future(self._refresh_state())
            await asyncio.wait([self._refresh], timeout=left)
        return True

    async def _refresh_state(self) -> None:
        """Get a proof from the registry or a reader, and from the other one if that takes long."""
        began_at = clocks.now()
        sources = [self._ask_reader, self._share_read]
        if self._relay.is_reader(began_at):
            sources.reverse()
        for source in sources:
            await asyncio.wait([asyncio.ensure_future(source())], timeout=ASK_SECONDS)
            if self._registry_state.is_complete(began_at):
                return

    async def _ask_reader(self) -> None:
        """Ask one of the processes that read the registry."""
        now = clocks.now()
        address = self._relay.choose_reader(now)
        if address is None:
            return
        id = str(next(self._numbers))
        self._peers.send(address, messages.ProofRequest(id, self._relay.build_request(now)))
        await self._replies.wait(id, READ_SECONDS)

    async def _share_read(self) -> None:
        """Wait for the current call to the registry, or begin one."""
        if self._read is None or self._read.done():
            if clocks.now() < self._retry_at:
                await asyncio.sleep(RETRY_DELAY)
                return
            self._read = asyncio.ensure_future(self._read_registry())
        await asyncio.wait([self._read])

    async def _read_registry(self) -> None:
        """Apply the changes that the registry has by now."""
        try:
            await self._read_changes()
        except (TimeoutError, exceptions.StoreError) as error:
            now = clocks.now()
            self._retry_at = now + RETRY_DELAY * self._relay.count_sharers(now)
            log.info('registry state not read', extra={'error': str(error) or 'timed out'})

    async def _read_changes(self) -> None:
        state = self._registry_state
        try:
            async with asyncio.timeout(READ_SECONDS):
                changes = await self._source.watch(registry_follower.ALL_KEYS, state.revision, 0.0)
        except registry.CompactedError:
            # A listing takes longer, and is of use to those who ask later as well.
            listing = await self._source.read(registry_follower.ALL_KEYS)
            state.apply_listing(listing, clocks.now())
        else:
            state.apply_watch(changes, 0.0, clocks.now())

    async def _handle_request(
        self, sender: str, address: str, message: messages.ProofRequest
    ) -> None:
        received_at = clocks.now()
        await self._share_read()
        if not self._registry_state.is_complete(received_at):
            # The call that was shared had begun earlier.
            await self._share_read()
        proof = self._relay.build_proof(message.request)
        if self._registry_state.is_complete(received_at):
            # The request had been sent by then.
            proof = msgspec.structs.replace(proof, age=0.0)
        self._peers.send(address, messages.ProofResponse(message.id, proof))

    def _handle_response(self, sender: str, address: str, message: messages.ProofResponse) -> None:
        self._relay.apply_proof(address, message.proof)
        self._replies.resolve(message.id, message)
