"""Detects unresponsive replicas: probes those on which requests are waiting.

A replica that is merely slow or busy returns a report at once. One that is down returns nothing,
by any path: it gets no more requests, those that can are retried elsewhere, and it is probed until
it responds. Other processes are told and probe it themselves, since a replica may be unreachable
for some clients only.

Unresponsiveness belongs to one process: if another one responds, the replica has restarted.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Protocol

from passpier import clocks
from passpier.clients import exchanges
from passpier.core import pauses, replica_processes
from passpier.daemon import messages
from passpier.routing import dialect, registry_mirror

log = logging.getLogger(__name__)

PROBE_AFTER = 0.4
"""Seconds without any data, while a request waits, after which a replica is probed."""

CONTACT_SECONDS = 0.1
"""Seconds since the last response of a replica after which it has to respond to a report before it
is sent a request. A suspended replica would read the request when it goes on, long after it has
been given up."""

STREAM_CONTACT_SECONDS = 0.3
"""The same before a stream is sent to it. The events of streams show that most replicas respond,
and a report delays the first event."""

PROBE_INTERVAL = 0.5
"""Seconds between probes of an unresponsive replica."""

VERSION_MISMATCH_SECONDS = 1.0
"""Seconds after which a replica that keeps rejecting requests for its weight version is probed.
Right after each load some requests are rejected once, and a probe is billed."""

SURVEY_INTERVAL = 0.2
"""Minimum seconds between the starts of two surveys of a service, each with a call to every replica
of it."""

FINAL_SECONDS = 0.02
"""Seconds after a timeout for a response that a delayed event loop sees at the same moment."""

SILENT_SECONDS = 2 * PROBE_INTERVAL + dialect.ASK_TIMEOUT
"""Seconds for which a replica gets nothing after a probe without a response."""

UNANSWERED_MAX = 2
"""Unanswered probes after which a replica counts as unresponsive: a packet may be lost."""


class Reporter(Protocol):
    """Asks replicas for their reports."""

    async def report(self, address: str, incarnation: str) -> dialect.Report:
        """Return a replica's report; raises `ExchangeError`."""


class Surveyor(Protocol):
    """Finds out which processes the replicas of a service are."""

    async def survey(self, service: str) -> None:
        """Have the replicas of a service that respond report which processes they are by now."""


class Prober:
    """Tracks which replicas don't respond to this process."""

    def __init__(
        self,
        registry_state: registry_mirror.RegistryState,
        reporter: Reporter,
        notify_peers: Callable[[messages.ReplicaUnresponsive], None],
    ) -> None:
        self._registry_state = registry_state
        self._pools = registry_state.pools
        self._reporter = reporter
        self._notify_peers = notify_peers
        self._last_contacts: dict[str, tuple[replica_processes.ReplicaProcess, float]] = {}
        """By name, the process that responded last, and when."""

        self._mismatches: dict[str, tuple[replica_processes.ReplicaProcess, str, float]] = {}
        """By name, the process and the weight version it first rejected, and when."""

        self._tasks: dict[replica_processes.ReplicaProcess, asyncio.Task[None]] = {}
        self._end_states: dict[replica_processes.ReplicaProcess, asyncio.Future[bool]] = {}
        """Whether the processes being probed have ended, as soon as that is known."""

        self._probed_since: dict[replica_processes.ReplicaProcess, float] = {}
        """When the probes in progress began."""

        self._surveys: dict[str, asyncio.Task[None]] = {}
        """By service, the survey in progress or the last one."""

        self._surveyed_at: dict[str, float] = {}
        """By service, when the last finished survey began."""

        self.on_contact: Callable[[replica_processes.ReplicaProcess], None] = lambda process: None
        """Called each time that a replica process responds."""

    def record_contact(self, process: replica_processes.ReplicaProcess) -> None:
        """Record that a replica process responded."""
        if self._pools.find(process) is not None:
            self._last_contacts[process.id] = (process, clocks.now())
            self.on_contact(process)

    def is_unresponsive(self, name: str) -> bool:
        """Return whether a replica is unresponsive."""
        return name in self._pools.unresponsive

    def has_restarted(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a replica process has ended and another one has replaced it."""
        return self._pools.has_restarted(process)

    def probe(
        self, process: replica_processes.ReplicaProcess, quiet_seconds: float = PROBE_AFTER
    ) -> None:
        """Probe a replica, unless it responded within `quiet_seconds` or is being probed."""
        if process in self._tasks or self._pools.find(process) is None:
            return
        if clocks.now() - self._get_last_contact(process) < quiet_seconds:
            return
        self._end_states[process] = asyncio.get_running_loop().create_future()
        self._probed_since[process] = clocks.now()
        task = asyncio.ensure_future(self._run_probe(process))
        self._tasks[process] = task
        task.add_done_callback(lambda _: self._finish_probe(process))

    async def is_responsive(
        self,
        process: replica_processes.ReplicaProcess,
        seconds: float = math.inf,
        quiet_seconds: float = CONTACT_SECONDS,
    ) -> bool:
        """Return whether a replica has responded in the last `quiet_seconds`, or does to a probe.

        It has `seconds` from the start of the probe, and at most until it counts as unresponsive.
        Callers that wait at the same time share the probe.
        """
        self.probe(process, quiet_seconds)
        state = self._end_states.get(process)
        if state is None:
            return True
        ends_at = self._probed_since[process] + seconds
        left = max(0.0, ends_at - clocks.now()) if math.isfinite(seconds) else None
        await asyncio.wait([state], timeout=left)
        await asyncio.wait([state], timeout=FINAL_SECONDS)
        if state.done() and not state.result():
            return True
        self._pools.pause(process, pauses.Pause.SILENT, SILENT_SECONDS, 'no response to a probe')
        return False

    async def wait_decided(self, process: replica_processes.ReplicaProcess, timeout: float) -> None:
        """Wait until a probe in progress, if there is one, shows whether the process responds."""
        state = self._end_states.get(process)
        if state is not None:
            await asyncio.wait([state], timeout=timeout)

    async def has_ended(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a process whose connection broke has ended, after probing it."""
        if self._pools.find(process) is None:
            return True
        self.probe(process, 0.0)
        return await asyncio.shield(self._end_states[process])

    async def confirm(self, process: replica_processes.ReplicaProcess) -> bool:
        """Return whether a replica still is the given process, by its own report."""
        replica = self._pools.find(process)
        if replica is None:
            return False
        try:
            report = await self._reporter.report(replica.address, replica.incarnation)
        except exchanges.ExchangeError as error:
            fields = {'upstream': process.id, 'born': process.started_ms, 'error': str(error)}
            log.info('upstream process not confirmed', extra=fields)
            return False
        return self._registry_state.apply_report(process, report)

    async def survey(self, service: str) -> None:
        """Have the replicas of a service that respond report which processes they are by now.

        Callers that wait at the same time share the reports.
        """
        asked_at = clocks.now()
        while self._surveyed_at.get(service, float('-inf')) < asked_at:
            survey = self._surveys.get(service)
            if survey is None or survey.done():
                survey = self._surveys[service] = asyncio.ensure_future(self._survey(service))
            await asyncio.wait([survey])

    async def _survey(self, service: str) -> None:
        last_at = self._surveyed_at.get(service, float('-inf'))
        await asyncio.sleep(max(0.0, last_at + SURVEY_INTERVAL - clocks.now()))
        began_at = clocks.now()
        processes = [r.process for r in self._pools.list_service(service) if r.started_ms]
        responsive = [p for p in processes if not self.is_unresponsive(p.id)]
        await asyncio.gather(*(self.confirm(p) for p in responsive))
        self._surveyed_at[service] = began_at

    def note_version_mismatch(
        self, process: replica_processes.ReplicaProcess, version: str
    ) -> None:
        """Record that a replica doesn't have weights `version`; probe it if that persists.

        It may have restarted, or loaded other weights by a delayed order.
        """
        now = clocks.now()
        first = self._mismatches.get(process.id)
        if first is None or first[:2] != (process, version):
            self._mismatches[process.id] = (process, version, now)
        elif now - first[2] >= VERSION_MISMATCH_SECONDS:
            del self._mismatches[process.id]
            self.probe(process, 0.0)

    def stop(self) -> None:
        """Cancel all probes."""
        for task in self._tasks.values():
            task.cancel()

    def _finish_probe(self, process: replica_processes.ReplicaProcess) -> None:
        self._tasks.pop(process, None)
        # If still undecided, its entry is gone or another process has replaced it.
        self._set_ended(process, True)
        del self._end_states[process], self._probed_since[process]

    def _set_ended(self, process: replica_processes.ReplicaProcess, ended: bool) -> None:
        if not self._end_states[process].done():
            self._end_states[process].set_result(ended)

    async def _run_probe(self, process: replica_processes.ReplicaProcess) -> None:
        unanswered = 0
        while (replica := self._pools.find(process)) is not None:
            try:
                report = await self._reporter.report(replica.address, replica.incarnation)
            except exchanges.ExchangeError as error:
                if error.fault is exchanges.Fault.REPLACED:
                    self._pools.mark_replaced(process)
                    self._pools.unresponsive.discard(process.id)
                    return
                detail = str(error)
            else:
                if self._registry_state.apply_report(process, report):
                    self._set_ended(process, False)
                    self._mark_responsive(process)
                    return
                detail = f'answered by the process born at {report.started_ms}'
            unanswered += 1
            if unanswered == UNANSWERED_MAX:
                self._set_ended(process, True)
                self._mark_unresponsive(process, detail)
            if unanswered >= UNANSWERED_MAX:
                self._pools.pause(process, pauses.Pause.SILENT, SILENT_SECONDS, 'gives no answer')
                await asyncio.sleep(PROBE_INTERVAL)

    def _mark_unresponsive(self, process: replica_processes.ReplicaProcess, error: str) -> None:
        if self._pools.find(process) is None:
            return
        self._pools.unresponsive.add(process.id)
        self._notify_peers(messages.ReplicaUnresponsive(process.id, process.started_ms))
        log.warning(
            'upstream unresponsive',
            extra={
                'upstream': process.id,
                'born': process.started_ms,
                'error': error,
                'last_heard_age': self.compute_contact_age(process),
            },
        )

    def compute_contact_age(self, process: replica_processes.ReplicaProcess) -> float | None:
        """Return the seconds since a process last responded, or none if it never did."""
        contacted_at = self._get_last_contact(process)
        return round(clocks.now() - contacted_at, 3) if math.isfinite(contacted_at) else None

    def _mark_responsive(self, process: replica_processes.ReplicaProcess) -> None:
        if self._pools.find(process) is None:
            return
        silent_for = self.compute_contact_age(process)
        self.record_contact(process)
        self._pools.resume(process, pauses.Pause.SILENT)
        if process.id in self._pools.unresponsive:
            self._pools.unresponsive.discard(process.id)
            log.info(
                'upstream responding again',
                extra={
                    'upstream': process.id,
                    'born': process.started_ms,
                    'silent_for': silent_for,
                },
            )

    def _get_last_contact(self, process: replica_processes.ReplicaProcess) -> float:
        last_process, contacted_at = self._last_contacts.get(process.id, (process, float('-inf')))
        return contacted_at if last_process == process else float('-inf')
