"""Shares with peers which requests crash replicas, to limit their retries; see `core.crashes`.

When a request loses its connection, the replica is asked whether its process has ended. If so, all
live peers are notified of the requests that were running there. Reports are also repeated to a few
peers at a time, for those that were unreachable or have started since.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence

from passpier import clocks
from passpier.core import crashes, fingerprints, members, rendezvous, replica_processes
from passpier.daemon import messages, peers

log = logging.getLogger(__name__)

GOSSIP_INTERVAL = 0.5
"""Seconds between repeated reports to a few peers. A peer that missed a report, as in a network
partition, gets it a second or two after it is reachable again."""


class SuspectRequests:
    """Record of the requests suspected of crashing replicas, shared with the peers."""

    def __init__(
        self,
        membership: members.Membership,
        link: peers.Peers,
        has_ended: Callable[[replica_processes.ReplicaProcess], Awaitable[bool]],
        choose_targets: Callable[[], list[members.Member]],
    ) -> None:
        self.crashes = crashes.CrashTracker()
        self._membership = membership
        self._peers = link
        self._has_ended = has_ended
        self._choose_targets = choose_targets
        self.on_crash: Callable[[replica_processes.ReplicaProcess, list[int]], None] = (
            lambda process, suspected: None
        )
        """Called with each crash that this process detects, and the requests suspected of it."""

        self.on_clear: Callable[[int], None] = lambda fingerprint: None
        """Called when a request or a part is known not to have caused crashes that it counted
        for."""

        self.claim_trial: Callable[[int], Awaitable[bool]] = self._claim_by_rank
        """Asked before a refused request is tried once more; true if this process may try it."""

        self._checks: set[asyncio.Task[None]] = set()
        link.register_handler(messages.ReplicaCrashes, self._handle_ended)
        link.register_handler(messages.SuspectRun, self._handle_trying)

    def assess(self, fingerprint: int, parts: Sequence[int] = ()) -> crashes.Assessment:
        """Return whether a request may be sent now, and with which precautions.

        `parts` are those that its prompt shares with others.
        """
        return self.crashes.assess(fingerprint, clocks.now(), parts)

    async def assess_before_send(
        self, fingerprint: int, parts: Sequence[int] = ()
    ) -> crashes.Assessment:
        """Return the same right before sending; claims the trial if the request needs one."""
        assessment = self.assess(fingerprint, parts)
        if not assessment.is_trial:
            return assessment
        for cause in assessment.parts or (fingerprint,):
            if not await self.claim_trial(cause):
                return self._refuse_trial(assessment, fingerprint, parts)
        return assessment

    def _refuse_trial(
        self, assessment: crashes.Assessment, fingerprint: int, parts: Sequence[int]
    ) -> crashes.Assessment:
        count = assessment.crash_count
        if not assessment.parts:
            return crashes.Assessment(count, crashes.TRIAL_AFTER, 'its trial is over')
        # Others may have been heard meanwhile.
        again = self.assess(fingerprint, parts)
        if again.refused_for is not None:
            return again
        text = 'another process tries its prompt'
        return crashes.Assessment(count, crashes.COPY_RETRY_AFTER, text, assessment.parts)

    def begin(self, fingerprint: int, assessment: crashes.Assessment, seconds: float) -> None:
        """Register a request that is about to be sent with a timeout of `seconds`."""
        self.crashes.begin(fingerprint, clocks.now())
        if assessment.is_shared:
            self._broadcast(
                messages.SuspectRun(fingerprint, min(seconds, crashes.EXCLUSIVE_RUN_SECONDS))
            )

    def end(self, fingerprint: int) -> None:
        """Note that a run has finished, whether it succeeded or not."""
        self.crashes.end(fingerprint)

    def note_disconnect(
        self,
        fingerprint: int,
        process: replica_processes.ReplicaProcess,
        parts: Sequence[int] = (),
    ) -> None:
        """Note that a run lost its connection, which may mean that the replica's process ended.

        `parts` are those of its prompt that may be the cause.
        """
        now = clocks.now()
        is_first = self.crashes.suspect(fingerprint, process, now)
        for part in parts:
            self.crashes.suspect(part, process, now)
        if is_first:
            task = asyncio.ensure_future(self._check_process(process))
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    def note_success(self, fingerprint: int) -> None:
        """Note that a run succeeded, which clears its request of all crashes recorded so far.

        The same for a prompt part to which a replica responds.
        """
        if not self.crashes.count_crashes(fingerprint):
            return
        now = clocks.now()
        ends = self.crashes.clear(fingerprint, now)
        fields = {'fingerprint': fingerprints.render_fingerprint(fingerprint), 'ends': ends}
        log.info(f'{_name_cause(fingerprint)} cleared', extra=fields)
        self.on_clear(fingerprint)
        if ends >= crashes.SHARING_THRESHOLD:
            _, cleared = self.crashes.export(now)
            self._broadcast(messages.ReplicaCrashes([], cleared))

    def merge_crashes(
        self,
        ends: Sequence[crashes.Crash],
        source: str,
        cleared: Sequence[crashes.Clearing] = (),
    ) -> None:
        """Merge reports of crashes from another source."""
        now = clocks.now()
        for fingerprint in self.crashes.merge_cleared(cleared, now):
            self.on_clear(fingerprint)
        changed = self.crashes.merge(ends, (), now)
        self._log_suspects(changed, source)

    async def run(self) -> None:
        """Repeat reports to a few peers until cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL)
            now = clocks.now()
            self.crashes.expire(now)
            ends, cleared = self.crashes.export(now)
            if ends or cleared:
                addresses = [m.peer for m in self._choose_targets()]
                self._peers.send_all(addresses, messages.ReplicaCrashes(ends, cleared))

    async def _check_process(self, process: replica_processes.ReplicaProcess) -> None:
        if not await self._has_ended(process):
            suspected = self.crashes.withdraw(process)
            log.info('upstream lives', extra=_describe(process) | {'requests': len(suspected)})
            return
        suspected = self.crashes.confirm(process)
        log.warning('upstream ended', extra=_describe(process) | {'requests': len(suspected)})
        self._log_suspects(suspected, 'seen here')
        now = clocks.now()
        self.on_crash(process, suspected)
        ends = [e for e in self.crashes.export_crashes(suspected, now) if e.process == process]
        self._broadcast(messages.ReplicaCrashes(ends, []))

    async def _claim_by_rank(self, fingerprint: int) -> bool:
        """Choose one daemon for a trial, which is unique as far as all see the same members."""
        serving = self._membership.list_serving(clocks.now())
        names = [m.name for m in serving]
        return rendezvous.rank_names(str(fingerprint), names)[:1] == [self._membership.own.name]

    def _handle_ended(self, sender: str, address: str, message: messages.ReplicaCrashes) -> None:
        self.merge_crashes(message.reports, sender, message.cleared)

    def _handle_trying(self, sender: str, address: str, message: messages.SuspectRun) -> None:
        self.crashes.note_remote_run(message.fingerprint, clocks.now() + message.seconds)

    def _broadcast(self, message: messages.AnyMessage) -> None:
        alive = self._membership.list_alive(clocks.now())
        own = self._membership.own
        self._peers.send_all([m.peer for m in alive if m is not own], message)

    def _log_suspects(self, suspects: crashes.Suspects, source: str) -> None:
        """Log the requests that were running in more than one crash."""
        for fingerprint in suspects:
            ends = self.crashes.count_crashes(fingerprint)
            if ends < crashes.SHARING_THRESHOLD:
                continue
            log.warning(
                f'{_name_cause(fingerprint)} suspected',
                extra={
                    'fingerprint': fingerprints.render_fingerprint(fingerprint),
                    'ends': ends,
                    'held_back': ends >= crashes.CAUSE_THRESHOLD,
                    'source': source,
                },
            )


def _name_cause(fingerprint: int) -> str:
    return 'prompt part' if fingerprints.is_part(fingerprint) else 'request'


def _describe(process: replica_processes.ReplicaProcess) -> dict[str, object]:
    return {'upstream': process.id, 'born': process.started_ms}
