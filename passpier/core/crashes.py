"""Detects requests that crash the replicas running them.

Some requests crash every process that starts to run them, and are sent again by their callers. All
requests that were running in a crashed process are suspects, and one of them may be the cause: the
cause is involved in every crash, the others in few. Crashes are therefore counted per request
(identified by its fingerprint) as the number of distinct processes. All daemons share what they
have seen; the union doesn't depend on the order or number of messages. A run that completes clears
its request of all crashes that were known at that time.

The cause may also be a part that the prompts of different requests share. Parts are counted beside
the requests. All that are shared by many sound requests are involved in many crashes, too, but the
replicas that respond to them soon clear them: a response that goes on for a while is enough, as the
cause crashes a replica as soon as that begins to respond.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Iterator, Sequence

import msgspec

from passpier.core import fingerprints, replica_processes

CAUSE_THRESHOLD = 3
"""Crashes from which on a request counts as their cause. Of 20 requests that run beside the cause
and are spread over four replicas when retried, 4 or 5 are involved in a second crash and 1 in a
third."""

SHARING_THRESHOLD = 2
"""Crashes from which on only one run of a request is allowed at a time and announced to the other
daemons, because one more crash makes it count as the cause. Below that, copies may run in parallel:
they go to the same replica and are involved in the same crash."""

EXCLUSIVE_RUN_SECONDS = 3.0
"""Seconds for which a run blocks other runs of the same request. A request that crashes its replica
does so within a second, and a plain read that many callers send must not wait for a slow one."""

MAX_TRIALS = 2
"""Trial runs that a request counted as the cause still gets, one at a time, in case it isn't. Three
are tolerated; the third is reserved for a daemon that has not yet heard of the last crash."""

TRIAL_AFTER = 30.0
"""Seconds from the last crash to the first trial. A request that is blocked by mistake is delayed
for that long; one that is the cause crashes one replica in it instead of one every 0.5 s."""

UNEXPLAINED_MIN = 2
"""Crashes of a part from which on it counts as the cause although some others are those of a
request that is a cause itself."""

PART_TRIAL_AFTER = 0.3
"""Seconds from the last crash to the first trial of a prompt part. Trials of parts begin soon, as
many sound requests may share them, and end in a fraction of a second."""

JOINT_TRIAL_AFTER = 3.0
"""The same for several parts of one request at once, and between the trials of a part. Requests
that have only one of them come first, and clear those that didn't cause the crashes."""

CLEARED_AFTER = 0.3
"""Seconds for which a response has to go on arriving to clear the parts of its prompt. Replicas
crash 0.04 to 0.11 s after they begin to respond."""

UNSUSPECTED_AFTER = 1.0
"""Seconds between the beginning of a response and its failure from which on the parts of its prompt
are no suspects, without any further event: a router notices a crash later than it was."""

COPY_RETRY_AFTER = 0.5
"""Seconds after which a copy of a running suspect may be retried; a run takes 0.1 to 1 s."""

RETRY_AFTER_MAX = 60.0
"""Maximum `Retry-After` in seconds for requests that crash replicas: the request may have been
changed, or suspected by mistake."""

RETENTION_SECONDS = 3600.0
"""Seconds for which a request is remembered after its last crash."""

MAX_REQUESTS = 2048
"""Maximum number of remembered requests, 425 bytes each. Those with the fewest crashes are evicted
first, the oldest of them first. At 20 requests per crash this covers the last 100 crashes."""

EVICTION_BATCH = 64
"""Requests that are evicted at once when there are too many."""

RECENT_SECONDS = 10.0
"""Seconds for which every crash is sent repeatedly, in case a message is lost; after that only
requests that may be the cause."""

MAX_EXPORTED = 128
"""Maximum number of requests per message, those with the most crashes first."""

Suspects = Sequence[int]
"""Fingerprints of requests."""


class _ProcessReport(msgspec.Struct, frozen=True, array_like=True):
    replica: str
    started_ms: int

    @property
    def process(self) -> replica_processes.ReplicaProcess:
        """The process that ended."""
        return replica_processes.ReplicaProcess(self.replica, self.started_ms)


class Crash(_ProcessReport, frozen=True, array_like=True):
    """Reports that a process ended `age` seconds ago while some requests were running there."""

    age: float
    suspects: list[int]


class Clearing(_ProcessReport, frozen=True, array_like=True):
    """Reports that some requests running in a crashed process did not cause the crash."""

    suspects: list[int]


class Assessment(msgspec.Struct, frozen=True):
    """Whether a request may be sent now, and under which conditions."""

    crash_count: int = 0
    """Number of crashes that it was involved in."""

    refused_for: float | None = None
    """Seconds until it may be retried; `None` if it may be sent now."""

    reason: str = ''
    parts: tuple[int, ...] = ()
    """The prompt parts that may be the cause, all of which are tried by a trial."""

    @property
    def retry_after(self) -> float | None:
        """The `Retry-After` in seconds for a refused caller."""
        return None if self.refused_for is None else min(self.refused_for, RETRY_AFTER_MAX)

    @property
    def is_suspect(self) -> bool:
        """Whether it has to be placed apart from other suspects."""
        return self.crash_count > 0

    @property
    def is_trial(self) -> bool:
        """Whether it counts as the cause but may be sent once more, by a single daemon."""
        return self.refused_for is None and self.crash_count >= CAUSE_THRESHOLD

    @property
    def is_shared(self) -> bool:
        """Whether its runs have to be announced to the other daemons."""
        return self.crash_count >= SHARING_THRESHOLD


CLEAN = Assessment()


class Trials(msgspec.Struct, frozen=True):
    """How often a part was tried while it counted as the cause, by any daemon, and when last."""

    count: int = 0
    last_at: float = float('-inf')


NO_TRIALS = Trials()


class CrashTracker:
    """The crashes known to one daemon, with the requests involved; times are monotonic."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._crashes: dict[int, dict[replica_processes.ReplicaProcess, float]] = {}
        """Crashed processes and times by request."""

        self._cleared: dict[int, dict[replica_processes.ReplicaProcess, float]] = {}
        """By request, the crashes that it did not cause, and when that became known."""

        self._unconfirmed: dict[replica_processes.ReplicaProcess, dict[int, float]] = {}
        """Unconfirmed crashes with the requests involved and the time at which each was seen."""

        self._running: collections.Counter[int] = collections.Counter()
        self._begun_at: dict[int, float] = {}
        """Start time of the last run of each running request."""

        self.get_trials: Callable[[int], Trials] = lambda part: NO_TRIALS
        """Returns the trials of a part."""

        self._remote_runs: dict[int, float] = {}
        """Suspects that other daemons run, with the time until which that blocks runs here."""

    def __len__(self) -> int:
        return len(self._crashes)

    def count_crashes(self, fingerprint: int) -> int:
        """Return the number of known crashes that a request was involved in."""
        return len(self._list_crashes(fingerprint))

    def assess(self, fingerprint: int, now: float, parts: Sequence[int] = ()) -> Assessment:
        """Return whether a request may be sent now, and under which conditions.

        `parts` are those that its prompt shares with others.
        """
        assessment = self._assess_request(fingerprint, now)
        blocked = tuple(x for x in parts if self._is_blocked(x))
        if assessment.refused_for is not None or not blocked:
            return assessment
        return self._assess_parts(blocked, now)

    def _is_blocked(self, part: int) -> bool:
        """Return whether a part counts as the cause, and no request of its own explains that."""
        crash_times = self._list_crashes(part)
        if len(crash_times) < CAUSE_THRESHOLD:
            return False
        explained = {
            process
            for fingerprint, times in self._crashes.items()
            if len(times) >= CAUSE_THRESHOLD and not fingerprints.is_part(fingerprint)
            for process in times
        }
        return len(crash_times.keys() - explained) >= UNEXPLAINED_MIN

    def _assess_parts(self, parts: tuple[int, ...], now: float) -> Assessment:
        """Return whether a request may be sent as a trial of parts that count as causes."""
        count = max(self.count_crashes(x) for x in parts)
        text = f'{count} replicas have ended while they responded to a part of its prompt'
        last = max(max(self._list_crashes(x).values()) for x in parts)
        trials = [self.get_trials(x) for x in parts]
        if max(t.count for t in trials) >= MAX_TRIALS:
            return Assessment(count, max(1.0, last + RETENTION_SECONDS - now), text, parts)
        ready_at = last + (PART_TRIAL_AFTER if len(parts) == 1 else JOINT_TRIAL_AFTER)
        ready_at = max(ready_at, max(t.last_at for t in trials) + JOINT_TRIAL_AFTER)
        if now < ready_at:
            wait = max(COPY_RETRY_AFTER, ready_at - now)
            return Assessment(count, wait, text, parts)
        return Assessment(count, parts=parts)

    def _assess_request(self, fingerprint: int, now: float) -> Assessment:
        crash_times = self._list_crashes(fingerprint)
        if not crash_times:
            return CLEAN
        wait = _compute_wait(crash_times, now)
        if wait > 0:
            text = f'{len(crash_times)} replicas have ended while they ran it'
            return Assessment(len(crash_times), wait, text)
        if len(crash_times) >= SHARING_THRESHOLD and self._is_running(fingerprint, now):
            return Assessment(len(crash_times), COPY_RETRY_AFTER, 'the same request is being run')
        return Assessment(len(crash_times))

    def begin(self, fingerprint: int, now: float) -> None:
        """Record the start of a run by this daemon."""
        self._running[fingerprint] += 1
        self._begun_at[fingerprint] = now

    def end(self, fingerprint: int) -> None:
        """Record the end of a run, whatever its result."""
        self._running[fingerprint] -= 1
        if not self._running[fingerprint]:
            del self._running[fingerprint]
            del self._begun_at[fingerprint]

    def note_remote_run(self, fingerprint: int, until: float) -> None:
        """Record that another daemon runs a suspect."""
        if self.count_crashes(fingerprint):
            self._remote_runs[fingerprint] = until

    def note_crash(
        self, fingerprint: int, process: replica_processes.ReplicaProcess, at: float
    ) -> bool:
        """Record that a process ended while it ran a request; return whether that is new."""
        if process in self._cleared.get(fingerprint, ()):
            return False
        crash_times = self._crashes.setdefault(fingerprint, {})
        known_at = crash_times.get(process)
        # Message delays only make a crash look later than it was, so the earliest time is kept.
        crash_times[process] = at if known_at is None else min(known_at, at)
        if len(self._crashes) > self._max_requests:
            self._evict()
        return known_at is None

    def suspect(
        self, fingerprint: int, process: replica_processes.ReplicaProcess, at: float
    ) -> bool:
        """Record a run that broke off as in a crash; return whether the process has to be probed.

        Until the crash is confirmed it counts only here and isn't shared with other daemons.
        """
        is_first = process not in self._unconfirmed
        self._unconfirmed.setdefault(process, {}).setdefault(fingerprint, at)
        return is_first

    def confirm(self, process: replica_processes.ReplicaProcess) -> list[int]:
        """Record that a process has indeed ended; return the requests whose count changed."""
        pending = self._unconfirmed.pop(process, {})
        return [x for x, at in pending.items() if self.note_crash(x, process, at)]

    def withdraw(self, process: replica_processes.ReplicaProcess) -> list[int]:
        """Drop an unconfirmed crash, as the process is alive; return the requests involved."""
        return list(self._unconfirmed.pop(process, {}))

    def clear(self, fingerprint: int, now: float) -> int:
        """Record that a run completed; return how many crashes had counted against the request."""
        crash_times = self._list_crashes(fingerprint)
        for process in crash_times:
            self._clear_crash(fingerprint, process, now)
        return len(crash_times)

    def merge_cleared(self, cleared: Iterable[Clearing], now: float) -> list[int]:
        """Merge what other daemons have cleared; return what counted for a crash until now."""
        changed: dict[int, None] = {}
        for clearing in cleared:
            for fingerprint in clearing.suspects:
                if clearing.process in self._crashes.get(fingerprint, ()):
                    changed[fingerprint] = None
                self._clear_crash(fingerprint, clearing.process, now)
        return list(changed)

    def merge(self, ends: Iterable[Crash], cleared: Iterable[Clearing], now: float) -> list[int]:
        """Merge another daemon's knowledge; return the requests whose count increased."""
        self.merge_cleared(cleared, now)
        changed: dict[int, None] = {}
        for end in ends:
            at = now - end.age
            if end.age < RETENTION_SECONDS:
                changed |= {x: None for x in end.suspects if self.note_crash(x, end.process, at)}
        return list(changed)

    def expire(self, now: float) -> None:
        """Remove expired records."""
        for fingerprint, crash_times in list(self._crashes.items()):
            if max(crash_times.values()) < now - RETENTION_SECONDS:
                del self._crashes[fingerprint]
        for fingerprint, cleared in list(self._cleared.items()):
            if max(cleared.values()) < now - RETENTION_SECONDS:
                del self._cleared[fingerprint]
        self._remote_runs = {x: until for x, until in self._remote_runs.items() if until > now}

    def export(self, now: float) -> tuple[list[Crash], list[Clearing]]:
        """Return the records to send to other daemons."""
        exported = [
            x
            for x, crash_times in self._crashes.items()
            if len(crash_times) >= SHARING_THRESHOLD
            or max(crash_times.values()) > now - RECENT_SECONDS
        ]
        exported.sort(key=lambda x: -len(self._crashes[x]))
        return self.export_crashes(exported[:MAX_EXPORTED], now), self._export_cleared(now)

    def export_crashes(self, suspects: Suspects, now: float) -> list[Crash]:
        """Return all crashes that some requests were involved in."""
        rows: dict[replica_processes.ReplicaProcess, list[int]] = {}
        for fingerprint in suspects:
            for process in self._crashes.get(fingerprint, ()):
                rows.setdefault(process, []).append(fingerprint)
        return [
            Crash(x.id, x.started_ms, now - min(self._crashes[s][x] for s in group), group)
            for x, group in rows.items()
        ]

    def _export_cleared(self, now: float) -> list[Clearing]:
        rows: dict[replica_processes.ReplicaProcess, list[int]] = {}
        for fingerprint, process in self._list_cleared(now - RECENT_SECONDS):
            rows.setdefault(process, []).append(fingerprint)
        return [Clearing(x.id, x.started_ms, group) for x, group in rows.items()]

    def _list_cleared(self, after: float) -> Iterator[tuple[int, replica_processes.ReplicaProcess]]:
        for fingerprint, cleared in self._cleared.items():
            yield from ((fingerprint, x) for x, at in cleared.items() if at > after)

    def _clear_crash(
        self, fingerprint: int, process: replica_processes.ReplicaProcess, now: float
    ) -> None:
        self._remove_crash(fingerprint, process)
        self._cleared.setdefault(fingerprint, {}).setdefault(process, now)
        if len(self._cleared) > self._max_requests:
            del self._cleared[next(iter(self._cleared))]

    def _is_running(self, fingerprint: int, now: float) -> bool:
        here_until = self._begun_at.get(fingerprint, float('-inf')) + EXCLUSIVE_RUN_SECONDS
        return max(here_until, self._remote_runs.get(fingerprint, now)) > now

    def _list_crashes(self, fingerprint: int) -> dict[replica_processes.ReplicaProcess, float]:
        pending = {
            x: seen[fingerprint] for x, seen in self._unconfirmed.items() if fingerprint in seen
        }
        return pending | self._crashes.get(fingerprint, {})

    def _remove_crash(self, fingerprint: int, process: replica_processes.ReplicaProcess) -> None:
        self._unconfirmed.get(process, {}).pop(fingerprint, None)
        crash_times = self._crashes.get(fingerprint)
        if crash_times is None:
            return
        crash_times.pop(process, None)
        if not crash_times:
            del self._crashes[fingerprint]

    def _evict(self) -> None:
        order = sorted(
            self._crashes, key=lambda x: (len(self._crashes[x]), max(self._crashes[x].values()))
        )
        for fingerprint in order[:EVICTION_BATCH]:
            del self._crashes[fingerprint]


def _compute_wait(crash_times: dict[replica_processes.ReplicaProcess, float], now: float) -> float:
    """Return the seconds until a request with these crashes may be sent; 0 or less means now."""
    trials = len(crash_times) - CAUSE_THRESHOLD
    if trials < 0:
        return 0.0
    last = max(crash_times.values())
    if trials >= MAX_TRIALS:
        return max(1.0, last + RETENTION_SECONDS - now)
    return last + TRIAL_AFTER - now
