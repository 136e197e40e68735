"""Binds a stream to the software version that began it."""

from __future__ import annotations

import asyncio
import logging

from passpier import clocks
from passpier.core import replica_processes, replicas, routes, stream_origins
from passpier.daemon import calls
from passpier.routing import origin_sharing, pools, probing, requests

log = logging.getLogger(__name__)

FIND_SECONDS = 1.5
"""Seconds within which it has to be known where a resumed stream began; the client could begin it
anew instead."""


class StreamBinding:
    """The software version at which the response to a request may go on, if it is a stream.

    The version is kept in the call, so that it limits where the call is placed.
    """

    def __init__(
        self,
        admitted: requests.Admitted,
        call: calls.Call,
        replica_pools: pools.Pools,
        prober: probing.Prober,
        origins: origin_sharing.OriginSharing,
    ) -> None:
        self._admitted = admitted
        self._call = call
        self._pools = replica_pools
        self._prober = prober
        self._origins = origins
        self._is_process_certain = False
        """Whether the replica's known process, and no later one, has the current attempt."""

        self._supposed_first: tuple[replica_processes.ReplicaProcess, float] | None = None
        """The process that is taken to have begun the stream, and when it had; none if that is
        certain, or if nothing has begun."""

        self._is_lost = False
        """Whether it has become uncertain which version began the stream."""

    @property
    def is_superseded(self) -> bool:
        """Whether only replicas of other versions serve than the stream's own."""
        software = self._call.software
        return software is not None and self._pools.is_superseded(self._call.service.pool, software)

    def choose_version(self) -> None:
        """Bind a new stream to a version, if it may begin at one version only."""
        if self._admitted.route.kind is routes.Kind.RESUMABLE_STREAM:
            self._call.software = self._origins.choose_version(self._call.service.pool)

    async def find_origin(self) -> bool:
        """Bind a stream that the client resumes; return false if it can't go on."""
        try:
            async with asyncio.timeout(FIND_SECONDS):
                return await self._find_origin()
        except TimeoutError:
            log.info('stream origin not found in time', extra={'stream': self._admitted.stream})
            return False

    async def _find_origin(self) -> bool:
        origin = await self._look_up_origin()
        if origin is not None and origin.started_ms and not await self._runs(origin.process):
            # A restart that was unknown may be known by now, from the replica's own report or from
            # the registry.
            origin = await self._look_up_origin() if await self._is_in_step() else None
        if origin is None or origin.service != self._call.service.pool:
            return False
        self._call.software = origin.software
        return True

    async def _look_up_origin(self) -> stream_origins.Origin | None:
        admitted = self._admitted
        return await self._origins.find(
            admitted.stream, self._call.service.pool, admitted.stream_seconds
        )

    async def _is_in_step(self) -> bool:
        admitted = self._admitted
        return await self._origins.is_in_step(
            admitted.stream, self._call.service.pool, admitted.stream_seconds
        )

    async def _runs(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a process certainly still runs, by its own report."""
        if self._prober.is_unresponsive(process.id):
            return False
        return await self._prober.confirm(process)

    def begin_attempt(self) -> None:
        """Note that another attempt follows."""
        self._is_process_certain = False

    async def confirm(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a process that responds may continue the stream, if it has begun.

        A replica that has restarted, perhaps with another version, accepts requests under its id
        before its registry entry says so. Without start times, each process has an id of its own.
        The replica that began the stream is asked as well, since it may have restarted before that.
        """
        if self._call.software is None:
            return True
        is_current, _ = await asyncio.gather(self._is_current(process), self._check_first())
        if not is_current or self._is_lost:
            return False
        self._is_process_certain = True
        return True

    async def _is_current(self, process: replica_processes.ReplicaProcess) -> bool:
        return not process.started_ms or await self._prober.confirm(process)

    async def _check_first(self) -> None:
        """Unbind the stream if another process than the supposed one may have begun it."""
        if self._supposed_first is None:
            return
        process, noted_at = self._supposed_first
        if await self._runs(process):
            self._supposed_first = None
        else:
            self._check_process(process, noted_at)

    def note_event(self, replica: replicas.Replica) -> None:
        """Bind the stream to the version of the replica that writes it, and record which one.

        While that version is unknown, the stream can't leave its replica.
        """
        is_resumable = self._admitted.route.kind is routes.Kind.RESUMABLE_STREAM
        if not is_resumable or self._is_lost:
            return
        now = clocks.now()
        if not self._call.software or not self._call.progress.delivered:
            self._call.software = self._call.software or replica.software
            if replica.started_ms and not self._is_process_certain:
                self._supposed_first = self._supposed_first or (replica.process, now)
            origin = stream_origins.Origin(
                self._call.service.pool, self._call.software, replica.name, replica.started_ms
            )
            seconds = self._admitted.stream_seconds
            self._origins.note_begun(self._admitted.stream, origin, seconds)
        if not self._is_process_certain:
            # A process that is known to have been replaced sends no more events. They come from its
            # successor, which got the request before its start was known here, or were received
            # before the end of the process and are only read now.
            self._check_process(replica.process, now)

    def _check_process(self, process: replica_processes.ReplicaProcess, at: float) -> None:
        """Unbind the stream if a successor of a process may have written events by a given time."""
        software = self._call.software or ''
        if not self._pools.may_be_other_version(process, software, at):
            return
        log.info(
            'stream origin uncertain',
            extra={
                'request': self._call.id,
                'stream': self._admitted.stream,
                'upstream': process.id,
                'born': process.started_ms,
                'software': software,
            },
        )
        self._is_lost = True
        self._call.software = ''
        self._origins.forget(self._admitted.stream, self._call.service.pool)
