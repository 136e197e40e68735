"""Estimates the speed of each replica of a service from the samples of all VMs."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from passpier.core import replica_processes

HALF_LIFE = 10.0
"""Seconds in which the weight of a sample is halved."""

EXPIRY_SECONDS = 25.0
"""Seconds without an update after which a sender's sums are dropped, as it may have failed. With
the interval of the checks, they are gone within 30 seconds."""

POOL_WEIGHT = 4.0
"""Samples that the pool's mean counts for in the estimate of a replica."""

MIN_SAMPLES = 8.0
"""Prefill samples, or gaps, from which on a replica's own mean is used for comparisons."""

UNEVEN_RATIO = 1.25
"""Ratio of the slowest to the fastest replica above which a pool becomes uneven. Smaller
differences are measurement noise."""

EVEN_RATIO = 1.15
"""Ratio below which an uneven pool becomes even again. Replicas of 1 and 1.3 times the usual speed
are measured close to `UNEVEN_RATIO`, so that a single limit would be crossed again and again."""

NOISE_BEFORE = 0.25
"""Mean squared relative deviation of a sample from its estimate that is assumed at first.

Prompts of other VMs that are ahead unnoticed cause 0.1 to 0.3 with nine VMs.
"""

NOISE_LEARNING_RATE = 0.02
"""Weight of a new sample in the moving average of these deviations."""

MIN_NOISE = 1e-4
"""Lower bound of the relative variance that noise causes in a replica's mean."""

DEVIATIONS = 5.0
"""Standard deviations by which the variance of the replicas' rates must exceed the one that noise
causes, for a pool to become uneven. In pools of dozens of replicas, noise alone makes the slowest
and the fastest differ by more than `UNEVEN_RATIO`."""

SLOWED_SECONDS = 0.6
"""Seconds for which a replica counts as slowed, the duration of a slowdown."""

SLOWED_FACTOR = 2.0
"""Factor of the time per token while a replica counts as slowed."""

SLOWED_PREFILL_RATIO = 2.0
"""Time to the first event, relative to the expected one, that shows a slowdown."""

SLOWED_GAP_RATIO = 3.0
"""Gap between events, relative to the usual one, that shows a slowdown."""

EXPECTED_RATIO = 1.5
"""Ratio up to which a sample counts as expected, so that it ends a slowdown."""

MIN_WEIGHT = 0.05
"""Samples below which sums are dropped, after some 60 s without a new one."""

OWN = ''
"""Sender of the samples of this VM."""


class Speed(msgspec.Struct, frozen=True):
    """The estimated speed of a replica."""

    seconds_per_token: float
    """Prefill time per token."""

    event_seconds: float
    """Time between two events of a stream with no prefill in between; 0 if it is unknown."""

    samples: float
    """Total weight of the replica's samples."""


class SpeedSums(msgspec.Struct, frozen=True):
    """Sums over weighted samples of one replica."""

    prefills: float = 0.0
    tokens: float = 0.0
    prefill_seconds: float = 0.0
    gaps: float = 0.0
    gap_seconds: float = 0.0

    @property
    def weight(self) -> float:
        """The total weight of the samples."""
        return self.prefills + self.gaps

    def add(self, other: SpeedSums, factor: float = 1.0) -> SpeedSums:
        """Return the sum with `other` times a factor."""
        # Differences of nearly equal sums may be negative by a rounding error.
        return SpeedSums(
            max(0.0, self.prefills + other.prefills * factor),
            max(0.0, self.tokens + other.tokens * factor),
            max(0.0, self.prefill_seconds + other.prefill_seconds * factor),
            max(0.0, self.gaps + other.gaps * factor),
            max(0.0, self.gap_seconds + other.gap_seconds * factor),
        )


NO_SUMS = SpeedSums()


class _DecayingSums:
    """Sums whose samples lose weight over time."""

    __slots__ = ('_at', '_sums')

    def __init__(self) -> None:
        self._sums = NO_SUMS
        self._at = -math.inf

    def read(self, now: float) -> SpeedSums:
        """Return the sums as of `now`."""
        if self._sums is NO_SUMS or now <= self._at:
            return self._sums
        return NO_SUMS.add(self._sums, 0.5 ** ((now - self._at) / HALF_LIFE))

    def add(self, change: SpeedSums, now: float, factor: float = 1.0) -> None:
        """Add sums as of `now` times a factor."""
        self._sums = self.read(now).add(change, factor)
        self._at = max(now, self._at)


class _Row:
    """The sums of one sender for one replica."""

    __slots__ = ('sums', 'updated_at')

    def __init__(self) -> None:
        self.sums = _DecayingSums()
        self.updated_at = -math.inf


class _Record:
    """All that is known about one replica process."""

    def __init__(self) -> None:
        self.rows: dict[str, _Row] = {}
        self.total = _DecayingSums()
        """The sum of the rows, so that an estimate doesn't depend on the number of senders."""

        self.slowed_until = -math.inf


class SpeedEstimator:
    """Estimates the speeds of the replicas of one service."""

    def __init__(self) -> None:
        self._records: dict[replica_processes.ReplicaProcess, _Record] = {}
        self._pool = _DecayingSums()
        """The sum over all replicas."""

        self._noise = NOISE_BEFORE
        self.is_uneven = False
        """Whether the replicas differed in speed at the last call of `assess`."""

        self.spread = 1.0
        """Ratio of the slowest to the fastest replica at that call; 1 if it was unknown."""

        self.updated_at = -math.inf
        """When the last sample or message arrived."""

    def note_prefill(
        self,
        process: replica_processes.ReplicaProcess,
        tokens: float,
        seconds: float,
        now: float,
        waited: float | None = None,
    ) -> None:
        """Add a prefill sample of this VM.

        `waited` is the time to the first event without the bound of `seconds`, or none if that
        says nothing about a slowdown.
        """
        if tokens <= 0 or seconds <= 0:
            return
        record = self._records.get(process)
        speed = self.estimate(process, now)
        if record is not None and speed is not None:
            expected = tokens * speed.seconds_per_token
            # Bounded, as waiting for a slot may take many times as long.
            deviation = min(1.0, (seconds / expected - 1) ** 2)
            self._noise += NOISE_LEARNING_RATE * (deviation - self._noise)
            if waited is not None and record.total.read(now).prefills >= MIN_SAMPLES:
                self._compare(record, waited / expected, SLOWED_PREFILL_RATIO, now)
        self._add(process, SpeedSums(1.0, tokens, seconds), now)

    def note_event_gap(
        self, process: replica_processes.ReplicaProcess, seconds: float, now: float
    ) -> None:
        """Add a gap of a stream of this VM."""
        self.check_event_gap(process, seconds, now)
        self._add(process, SpeedSums(gaps=1.0, gap_seconds=seconds), now)

    def check_event_gap(
        self, process: replica_processes.ReplicaProcess, seconds: float, now: float
    ) -> None:
        """Compare a gap with the usual one, without adding it to the samples."""
        record = self._records.get(process)
        total = record.total.read(now) if record is not None else NO_SUMS
        if record is not None and total.gaps >= MIN_SAMPLES and total.gap_seconds:
            ratio = seconds * total.gaps / total.gap_seconds
            self._compare(record, ratio, SLOWED_GAP_RATIO, now)

    def merge(
        self,
        sender: str,
        process: replica_processes.ReplicaProcess,
        sums: SpeedSums,
        now: float,
    ) -> None:
        """Replace a sender's sums for a replica by newer ones."""
        record = self._get_record(process)
        row = record.rows.setdefault(sender, _Row())
        before = row.sums.read(now)
        self._change(record, row, before, now, -1.0)
        self._change(record, row, sums, now)
        row.updated_at = self.updated_at = now

    def estimate(self, process: replica_processes.ReplicaProcess, now: float) -> Speed | None:
        """Return the speed of a replica, that of the pool if it is unknown, or none without data.

        It doesn't depend on whether the replica is slowed at present.
        """
        pool = self._pool.read(now)
        if pool.prefills < MIN_WEIGHT or not pool.tokens:
            return None
        record = self._records.get(process)
        own = record.total.read(now) if record is not None else NO_SUMS
        tokens = POOL_WEIGHT * pool.tokens / pool.prefills
        seconds = POOL_WEIGHT * pool.prefill_seconds / pool.prefills
        event_seconds = 0.0
        if pool.gaps >= MIN_WEIGHT:
            gap_seconds = own.gap_seconds + POOL_WEIGHT * pool.gap_seconds / pool.gaps
            event_seconds = gap_seconds / (own.gaps + POOL_WEIGHT)
        rate = (own.prefill_seconds + seconds) / (own.tokens + tokens)
        return Speed(rate, event_seconds, own.weight)

    def is_slowed(self, process: replica_processes.ReplicaProcess, now: float) -> bool:
        """Return whether a slowdown of a replica was detected recently."""
        return now < self.get_slowed_until(process)

    def get_slowed_until(self, process: replica_processes.ReplicaProcess) -> float:
        """Return when a replica ceases to count as slowed, which may be in the past."""
        record = self._records.get(process)
        return record.slowed_until if record is not None else -math.inf

    def assess(self, now: float) -> bool:
        """Decide whether the pool is uneven; return whether that has changed."""
        known = []
        rates = []
        for process, record in self._records.items():
            total = record.total.read(now)
            if total.prefills >= MIN_SAMPLES and total.tokens:
                speed = self.estimate(process, now)
                assert speed is not None, 'the pool has at least the samples of the replica'
                rates.append(speed.seconds_per_token)
                known.append((total.prefill_seconds / total.tokens, total.prefills))
        self.spread = max(rates) / min(rates) if rates else 1.0
        before = self.is_uneven
        excess = _compute_excess(known, self._noise)
        if before:
            # A lower limit, so that the state doesn't change with each sample.
            self.is_uneven = self.spread > EVEN_RATIO and excess > DEVIATIONS / 2
        else:
            self.is_uneven = self.spread > UNEVEN_RATIO and excess > DEVIATIONS
        return self.is_uneven != before

    def list_own(self, since: float) -> list[replica_processes.ReplicaProcess]:
        """Return the replicas of which this VM has had a sample since then."""
        rows = ((process, record.rows.get(OWN)) for process, record in self._records.items())
        return [process for process, row in rows if row is not None and row.updated_at >= since]

    def read_own(self, process: replica_processes.ReplicaProcess, now: float) -> SpeedSums:
        """Return this VM's sums for a replica that it has had samples of."""
        return self._records[process].rows[OWN].sums.read(now)

    def list_processes(self) -> list[replica_processes.ReplicaProcess]:
        """Return the replicas with samples."""
        return list(self._records)

    def forget(self, process: replica_processes.ReplicaProcess, now: float) -> None:
        """Drop the samples of a process that has ended."""
        record = self._records.pop(process, None)
        if record is not None:
            self._pool.add(record.total.read(now), now, -1.0)

    def expire(self, now: float) -> None:
        """Drop the sums of senders that have sent none for long, and own sums without weight."""
        for process, record in list(self._records.items()):
            for sender, row in list(record.rows.items()):
                if sender == OWN:
                    # This VM can't have failed; its samples lose weight by themselves.
                    is_old = row.sums.read(now).weight < MIN_WEIGHT
                else:
                    is_old = now - row.updated_at >= EXPIRY_SECONDS
                if is_old:
                    self._change(record, row, row.sums.read(now), now, -1.0)
                    del record.rows[sender]
            if not record.rows:
                self.forget(process, now)

    def _get_record(self, process: replica_processes.ReplicaProcess) -> _Record:
        return self._records.setdefault(process, _Record())

    def _add(
        self, process: replica_processes.ReplicaProcess, sample: SpeedSums, now: float
    ) -> None:
        record = self._get_record(process)
        row = record.rows.setdefault(OWN, _Row())
        self._change(record, row, sample, now)
        row.updated_at = self.updated_at = now

    def _change(
        self, record: _Record, row: _Row, change: SpeedSums, now: float, factor: float = 1.0
    ) -> None:
        for sums in (row.sums, record.total, self._pool):
            sums.add(change, now, factor)

    def _compare(self, record: _Record, ratio: float, limit: float, now: float) -> None:
        """Begin or end a slowdown by the ratio of a sample to the expectation."""
        if ratio >= limit:
            record.slowed_until = now + SLOWED_SECONDS
        elif ratio <= EXPECTED_RATIO:
            record.slowed_until = min(record.slowed_until, now)


def _compute_excess(known: Sequence[tuple[float, float]], noise: float) -> float:
    """Return by how much the rates vary more than by noise, in standard deviations.

    `known` has the mean rate of each replica and the number of its samples, `noise` is the relative
    variance of one sample.
    """
    if len(known) < 2:
        return 0.0
    mean = sum(rate for rate, _ in known) / len(known)
    variance = sum((rate / mean - 1) ** 2 for rate, _ in known) / (len(known) - 1)
    expected = sum(noise / samples for _, samples in known) / len(known)
    # The relative standard deviation of a variance that is measured over n values.
    deviation = math.sqrt(2 / (len(known) - 1))
    return (variance / max(expected, MIN_NOISE) - 1) / deviation
