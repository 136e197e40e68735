"""Marks in the registry that its timeline has what earlier ones had acknowledged.

A process that starts can't tell whether the registry has just returned from an older copy, which
may lack a revocation. The mark tells it that the operator has had the time to write again. A copy
has no mark of the timeline that begins with it.
"""

from __future__ import annotations

import asyncio
import logging

from passpier import clocks, exceptions
from passpier.clients import registry
from passpier.routing import registry_mirror, relaying

log = logging.getLogger(__name__)

INTERVAL = 0.5
"""Seconds between checks whether the timeline has to be marked."""


class TimelineMarks:
    """Marks the registry's timeline, from one of the processes that read the registry."""

    def __init__(
        self,
        source: registry.Registry,
        registry_state: registry_mirror.RegistryState,
        relay: relaying.Relay,
    ) -> None:
        self._source = source
        self._registry_state = registry_state
        self._relay = relay

    async def run(self) -> None:
        """Mark each timeline once it covers revocations, until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL)
            if self._registry_state.freshness.needs_mark and self._relay.is_reader(clocks.now()):
                await self._mark()

    async def _mark(self) -> None:
        state = self._registry_state
        known = state.members.get(state.mark_key)
        condition = registry.ExpectedRevision(
            state.mark_key, known.revision if known is not None else registry.NO_REVISION
        )
        put = registry.Put(state.mark_key, registry_mirror.encode_mark(state.revision))
        timeline = state.revision.timeline
        try:
            await self._source.write([put], [condition])
        except exceptions.ConflictError:
            log.debug('timeline marked by another process', extra={'timeline': timeline})
        except exceptions.StoreError as error:
            log.info('timeline not marked', extra={'timeline': timeline, 'error': str(error)})
        else:
            log.info('timeline marked', extra={'timeline': timeline})
