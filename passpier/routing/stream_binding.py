"""Binds a stream to the software version that began it."""

from __future__ import annotations

import logging

from passpier import clocks
from passpier.core import replica_processes, replicas, routes, stream_origins
from passpier.daemon import calls
from passpier.routing import origin_sharing, pools, probing, requests

log = logging.getLogger(__name__)


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
        origin = await self._find_origin()
        if origin is not None and await self._has_restarted_unnoticed(origin):
            origin = await self._find_origin()
        if origin is None or origin.service != self._call.service.pool:
            return False
        self._call.software = origin.software
        return True

    async def _find_origin(self) -> stream_origins.Origin | None:
        admitted = self._admitted
        return await self._origins.find(
            admitted.stream, self._call.service.pool, admitted.stream_seconds
        )

    async def _has_restarted_unnoticed(self, origin: stream_origins.Origin) -> bool:
        """Return whether the replica that began a stream has restarted, by its own report.

        No router may have known of the restart when the stream began.
        """
        if not origin.started_ms or self._prober.is_unresponsive(origin.replica):
            return False
        is_same = await self._prober.confirm(origin.process)
        return not is_same and self._pools.has_restarted(origin.process)

    def begin_attempt(self) -> None:
        """Note that another attempt follows."""
        self._is_process_certain = False

    async def confirm(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a process that responds may continue the stream, if it has begun.

        A replica that has restarted, perhaps with another version, accepts requests under its id
        before its registry entry says so. Without start times, each process has an id of its own.
        """
        if self._call.software is None:
            return True
        if process.started_ms and not await self._prober.confirm(process):
            return False
        self._is_process_certain = True
        return True

    def note_event(self, replica: replicas.Replica) -> None:
        """Bind the stream to the version of the replica that writes it, and record which one.

        While that version is unknown, the stream can't leave its replica.
        """
        is_resumable = self._admitted.route.kind is routes.Kind.RESUMABLE_STREAM
        if not is_resumable or self._is_lost:
            return
        if not self._call.software or not self._call.progress.delivered:
            self._call.software = self._call.software or replica.software
            origin = stream_origins.Origin(
                self._call.service.pool, self._call.software, replica.name, replica.started_ms
            )
            seconds = self._admitted.stream_seconds
            self._origins.note_begun(self._admitted.stream, origin, seconds)
        self._check_process(replica)

    def _check_process(self, replica: replicas.Replica) -> None:
        """Unbind the stream if a later process of the replica may have begun it.

        A process that is known to have been replaced sends no more events. They come from its
        successor, which got the request before its start was known here, or were received before
        the end of the process and are only read now.
        """
        if self._is_process_certain or not self._pools.may_be_other_version(
            replica.process, self._call.software or '', clocks.now()
        ):
            return
        log.info(
            'stream origin uncertain',
            extra={
                'request': self._call.id,
                'stream': self._admitted.stream,
                'upstream': replica.name,
                'born': replica.started_ms,
                'software': self._call.software,
            },
        )
        self._is_lost = True
        self._call.software = ''
        self._origins.forget(self._admitted.stream, self._call.service.pool)
