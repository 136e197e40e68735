"""Learns the speeds of replicas from the samples of all VMs, and sets them for the choice."""

from __future__ import annotations

import asyncio
import collections
import logging
from collections.abc import Sequence

import msgspec

from passpier import clocks
from passpier.core import members, replica_processes, replicas, speeds
from passpier.daemon import messages, metrics, peers
from passpier.routing import pools

log = logging.getLogger(__name__)

INTERVAL = 2.0
"""Seconds between messages, which have the rows with new samples."""

FULL_INTERVAL = 10.0
"""Seconds between messages with all rows, which repair the loss of others."""

ALL_PEERS = 8
"""Number of peers up to which each gets a message every time."""

ROTATED_PEERS = 4
"""Number of peers that get a message every time if there are more."""

MAX_ROWS = 60
"""Maximum number of rows in a message, to limit the control traffic."""

ASSESS_INTERVAL = 1.0
"""Seconds between assessments of a pool, which take time in proportion to its size."""

EXPIRY_INTERVAL = 4.0
"""Seconds between checks for sums that are too old, which go through those of all senders."""

GAP_STRIDE = 7
"""One in so many gaps between events is a sample, to limit the work per event. A prime, as the
samples of streams with a common number of events must not all be of the same event."""

SLOWED_LOG_INTERVAL = 10.0
"""Minimum seconds between log lines on slowdowns in one service. Every replica may have one every
few seconds."""

UNEVEN_LOG_INTERVAL = 10.0
"""Minimum seconds between log lines on the spread of one service's speeds."""

PREFILLS_UNIT = 0.1
"""Unit of the number of prefills in messages. The units of numbers and times keep the errors by
rounding under 5% for a single sample, with two or three bytes for most sums."""

TOKENS_UNIT = 16.0
"""Unit of the number of tokens in messages."""

PREFILL_UNIT = 0.0005
"""Unit of the prefill time in messages, in seconds."""

GAPS_UNIT = 0.1
"""Unit of the number of gaps in messages."""

GAP_UNIT = 0.001
"""Unit of the time of gaps in messages, in seconds."""


class _Service:
    """The speeds of one service."""

    def __init__(self) -> None:
        self.estimator = speeds.SpeedEstimator()
        self.assessed_at = float('-inf')
        self.logged_uneven = False
        """The state that was logged last."""

        self.uneven_logged_at = float('-inf')
        self.slowed_logged_at = float('-inf')
        self.unlogged_slowdowns = 0


class _Recipient(msgspec.Struct):
    """What a peer was last sent, and when."""

    sent_at: float = float('-inf')
    full_sent_at: float = float('-inf')
    row_turn: int = 0
    """Where its next message begins in a list of rows that is too long for one."""


class SpeedSharing:
    """Collects samples, exchanges their sums with peers and sets `Replica.speed`."""

    def __init__(
        self,
        replica_pools: pools.Pools,
        membership: members.Membership,
        link: peers.Peers,
        counters: metrics.Metrics,
    ) -> None:
        self._pools = replica_pools
        self._membership = membership
        self._peers = link
        self._counters = counters
        self._services: dict[str, _Service] = collections.defaultdict(_Service)
        self._recipients: dict[str, _Recipient] = {}
        self._gaps = 0
        self._turn = 0
        self._row_turn = 0
        link.register_handler(messages.ReplicaSpeeds, self._handle_speeds)

    def get_estimator(self, service: str) -> speeds.SpeedEstimator:
        """Return the speeds of a service's replicas."""
        return self._services[service].estimator

    def note_prefill(self, replica: replicas.Replica, sample: replicas.PrefillSample) -> None:
        """Add the prefill sample of an attempt."""
        service = self._find_service(replica)
        if service is None:
            return
        now = clocks.now()
        service.estimator.note_prefill(
            replica.process, sample.tokens, sample.seconds, now, sample.waited
        )
        self._apply_slowdown(service, replica, now, 'prefill', sample.waited or 0.0)
        self._update(service, replica, now)

    def note_event_gap(self, replica: replicas.Replica, began_at: float, now: float) -> None:
        """Add a gap between two events of a stream, if it is to be sampled."""
        self._gaps += 1
        seconds = now - began_at
        usual = replica.speed.event_seconds if replica.speed is not None else 0.0
        # Only long gaps show a slowdown, and any gap may show its end.
        is_long = usual > 0 and seconds >= speeds.SLOWED_GAP_RATIO * usual
        is_checked = is_long or now < replica.slowed_until
        # Gaps near zero are samples as well: events may arrive together, late, and the mean of
        # their gaps is that of the events.
        is_sample = not self._gaps % GAP_STRIDE
        if not (is_sample or is_checked):
            return
        service = self._find_service(replica)
        if service is None or replicas.has_prefill(replica, began_at, now):
            return
        if is_sample:
            service.estimator.note_event_gap(replica.process, seconds, now)
        else:
            service.estimator.check_event_gap(replica.process, seconds, now)
        self._apply_slowdown(service, replica, now, 'gap', seconds)
        if is_sample:
            self._update(service, replica, now)

    async def run(self) -> None:
        """Send sums to peers and drop old ones until cancelled."""
        expired_at = clocks.now()
        while True:
            await asyncio.sleep(INTERVAL)
            now = clocks.now()
            if now - expired_at >= EXPIRY_INTERVAL:
                expired_at = now
                for service in self._services.values():
                    service.estimator.expire(now)
            for name in list(self._services):
                self._assess(name, now)
            self._send(now)

    def _find_service(self, replica: replicas.Replica) -> _Service | None:
        """Return the state for a replica's service, or none if its process has ended."""
        if self._pools.find(replica.process) is not replica:
            return None
        return self._services[self._pools.get_service(replica.name)]

    def _update(self, service: _Service, replica: replicas.Replica, now: float) -> None:
        """Set a replica's speed after a sample, or those of its whole service if that is due."""
        if now - service.assessed_at >= ASSESS_INTERVAL:
            self._assess(self._pools.get_service(replica.name), now)
        elif service.estimator.is_uneven:
            replica.speed = service.estimator.estimate(replica.process, now)

    def _assess(self, name: str, now: float) -> None:
        """Decide whether a service's speeds differ, and set or reset them at all its replicas."""
        service = self._services[name]
        estimator = service.estimator
        service.assessed_at = now
        known = {r.process: r for r in self._pools.list_service(name)}
        for process in estimator.list_processes():
            if process not in known:
                estimator.forget(process, now)
        estimator.assess(now)
        for process, replica in known.items():
            replica.speed = estimator.estimate(process, now) if estimator.is_uneven else None
        self._counters.speed_spread.set({'service': name}, round(estimator.spread, 3))
        is_due = now - service.uneven_logged_at >= UNEVEN_LOG_INTERVAL
        if estimator.is_uneven != service.logged_uneven and is_due:
            service.logged_uneven = estimator.is_uneven
            service.uneven_logged_at = now
            log.info(
                'upstream speeds differ' if estimator.is_uneven else 'upstream speeds are equal',
                extra={
                    'service': name,
                    'spread': round(estimator.spread, 3),
                    'upstreams': len(known),
                    'sampled': len(estimator.list_processes()),
                    'age': round(now - estimator.updated_at, 3),
                },
            )

    def _apply_slowdown(
        self, service: _Service, replica: replicas.Replica, now: float, source: str, seconds: float
    ) -> None:
        """Set until when a replica counts as slowed, and log that it begins to."""
        before = replica.slowed_until
        replica.slowed_until = service.estimator.get_slowed_until(replica.process)
        if replica.slowed_until <= now or before > now:
            return
        service.unlogged_slowdowns += 1
        if now - service.slowed_logged_at < SLOWED_LOG_INTERVAL:
            return
        speed = service.estimator.estimate(replica.process, now)
        log.info(
            'upstream slowed',
            extra={
                'upstream': replica.name,
                'born': replica.started_ms,
                'source': source,
                'seconds': round(seconds, 4),
                'ms_per_token': round(speed.seconds_per_token * 1000, 5) if speed else None,
                'samples': round(speed.samples, 1) if speed else None,
                'is_used': replica.speed is not None,
                'count': service.unlogged_slowdowns,
            },
        )
        service.slowed_logged_at = now
        service.unlogged_slowdowns = 0

    def _send(self, now: float) -> None:
        others = self._membership.list_load_recipients(now)
        known = {m.incarnation for m in others}
        self._recipients = {i: r for i, r in self._recipients.items() if i in known}
        for member in self._choose_recipients(others):
            recipient = self._get_recipient(member.incarnation)
            # Half an interval of tolerance, as the timer isn't exact.
            is_full = now - recipient.full_sent_at >= FULL_INTERVAL - INTERVAL / 2
            rows = self._collect(recipient, float('-inf') if is_full else recipient.sent_at, now)
            recipient.sent_at = now
            if is_full:
                recipient.full_sent_at = now
            if rows:
                self._peers.send(member.peer, messages.ReplicaSpeeds(rows))

    def _choose_recipients(self, others: Sequence[members.Member]) -> Sequence[members.Member]:
        if len(others) <= ALL_PEERS:
            return others
        ordered = sorted(others, key=lambda m: m.incarnation)
        first = self._turn % len(ordered)
        self._turn = first + ROTATED_PEERS
        return (ordered + ordered)[first : first + ROTATED_PEERS]

    def _get_recipient(self, incarnation: str) -> _Recipient:
        recipient = self._recipients.get(incarnation)
        if recipient is None:
            # Peers begin at different rows, so that all rows are known somewhere soon.
            recipient = self._recipients[incarnation] = _Recipient(row_turn=self._row_turn)
            self._row_turn += MAX_ROWS
        return recipient

    def _collect(self, recipient: _Recipient, since: float, now: float) -> list[messages.SpeedRow]:
        """Return the rows with samples after `since`; if they are many, in turn per recipient."""
        listed = [
            (service.estimator, process)
            for service in self._services.values()
            for process in service.estimator.list_own(since)
        ]
        if len(listed) > MAX_ROWS:
            first = recipient.row_turn % len(listed)
            recipient.row_turn = first + MAX_ROWS
            listed = (listed + listed)[first : first + MAX_ROWS]
        return [_pack(process, known.read_own(process, now)) for known, process in listed]

    def _handle_speeds(self, sender: str, address: str, message: messages.ReplicaSpeeds) -> None:
        now = clocks.now()
        changed = {}
        for row in message.rows:
            replica = self._pools.replicas.get(row.name)
            if replica is None or replica.process.short_id != row.mark:
                # The sums belong to another process.
                continue
            service = self._find_service(replica)
            if service is not None:
                service.estimator.merge(sender, replica.process, _unpack(row), now)
                changed[row.name] = (service, replica)
        for service, replica in changed.values():
            self._update(service, replica, now)


def _pack(process: replica_processes.ReplicaProcess, sums: speeds.SpeedSums) -> messages.SpeedRow:
    """Return the row of a message, in whole units, as a float takes 9 bytes."""
    return messages.SpeedRow(
        process.id,
        process.short_id,
        round(sums.prefills / PREFILLS_UNIT),
        round(sums.tokens / TOKENS_UNIT),
        round(sums.prefill_seconds / PREFILL_UNIT),
        round(sums.gaps / GAPS_UNIT),
        round(sums.gap_seconds / GAP_UNIT),
    )


def _unpack(row: messages.SpeedRow) -> speeds.SpeedSums:
    """Return the sums of a row, without those that are too small to give a mean."""
    prefill = gap = speeds.NO_SUMS
    if row.prefills > 0 and row.tokens > 0 and row.prefill_time > 0:
        prefill = speeds.SpeedSums(
            row.prefills * PREFILLS_UNIT, row.tokens * TOKENS_UNIT, row.prefill_time * PREFILL_UNIT
        )
    if row.gaps > 0 and row.gap_time > 0:
        gap = speeds.SpeedSums(gaps=row.gaps * GAPS_UNIT, gap_seconds=row.gap_time * GAP_UNIT)
    return prefill.add(gap)
