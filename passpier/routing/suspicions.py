"""Suspects one request, and the parts of its prompt, of the crashes of its replicas."""

from __future__ import annotations

import logging

from passpier import clocks
from passpier.core import crashes, fingerprints, replica_processes
from passpier.daemon import suspects

log = logging.getLogger(__name__)

MAX_LOGGED_PARTS = 6
"""Maximum number of prompt parts in a log line."""


class RunSuspicion:
    """Whether one request may crash replicas, by how its attempts end.

    A prompt's shared parts are cleared once a response has gone on for too long to be the response
    to the cause of a crash.
    """

    def __init__(
        self, tracker: suspects.SuspectRequests, fingerprint: int, shared_parts: tuple[int, ...]
    ) -> None:
        self._tracker = tracker
        self.fingerprint = fingerprint
        self.shared_parts = shared_parts
        """The fingerprints of the prompt's parts but the last."""

        self._response_began_at: float | None = None
        """When the response of the current or last attempt began to arrive, if it has."""

        self._has_progressed = False
        """Whether it has gone on for long enough."""

    @property
    def rendered_fingerprint(self) -> str:
        """The request's fingerprint as written to the log."""
        return fingerprints.render_fingerprint(self.fingerprint)

    def assess(self) -> crashes.Assessment:
        """Return whether the request may be sent now, and with which precautions."""
        return self._tracker.assess(self.fingerprint, self.shared_parts)

    async def assess_before_send(self) -> crashes.Assessment:
        """Return the same right before sending; claims the trial if the request needs one."""
        return await self._tracker.assess_before_send(self.fingerprint, self.shared_parts)

    def begin_attempt(self) -> None:
        """Note that another attempt has been sent, to which nothing has arrived yet."""
        self._response_began_at = None
        self._has_progressed = False

    def begin_response(self) -> None:
        """Note that the response has begun to arrive."""
        self._response_began_at = clocks.now()

    def note_progress(self) -> None:
        """Clear the prompt's parts once the response has gone on for a while."""
        assert self._response_began_at is not None, 'events follow a head'
        if clocks.now() - self._response_began_at >= crashes.CLEARED_AFTER:
            self._has_progressed = True
            self._clear_parts()

    def note_success(self) -> None:
        """Clear the request and the prompt's parts, as a replica has responded."""
        self._tracker.note_success(self.fingerprint)
        self._clear_parts()

    def note_disconnect(self, process: replica_processes.ReplicaProcess, now: float) -> None:
        """Note that the connection to a replica broke, whose process may have ended."""
        self._tracker.note_disconnect(self.fingerprint, process, self._list_suspect_parts(now))

    def describe_parts(self) -> list[str]:
        """Return the prompt's shared parts as written to the log."""
        shown = self.shared_parts[:MAX_LOGGED_PARTS]
        return [fingerprints.render_fingerprint(part) for part in shown]

    def describe_response_age(self, now: float) -> float | None:
        """Return for how many seconds the last attempt's response had been arriving, if it had."""
        began_at = self._response_began_at
        return None if began_at is None else round(now - began_at, 3)

    def log_refusal(self, request: str, assessment: crashes.Assessment) -> None:
        """Log that the request is refused, as it has crashed replicas."""
        assert assessment.refused_for is not None
        log.info(
            'suspect request refused',
            extra={
                'request': request,
                'fingerprint': self.rendered_fingerprint,
                'ends': assessment.crash_count,
                'parts': [fingerprints.render_fingerprint(part) for part in assessment.parts],
                'reason': assessment.reason,
                'refused_for': round(assessment.refused_for, 3),
            },
        )

    def _clear_parts(self) -> None:
        for part in self.shared_parts:
            self._tracker.note_success(part)

    def _list_suspect_parts(self, now: float) -> tuple[int, ...]:
        """Return the prompt's parts that may have crashed the replica of the last attempt."""
        began_at = self._response_began_at
        is_late = began_at is not None and now - began_at >= crashes.UNSUSPECTED_AFTER
        return () if self._has_progressed or is_late else self.shared_parts
