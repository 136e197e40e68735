"""Rate limits of client accounts, enforced over all daemons by exchanging what each has spent.

An account may spend `per_second` units and a saved `burst`: a token bucket that all daemons share.
A deficit that is older than the window in which spending is checked is forgotten, so that an
account that exceeds its rate all the time gets what each window allows, and not only its rate.

Each daemon has its own copy of the bucket. It subtracts its own spending at once and that of the
others when they report it, some tenths of a second later. A copy may go below zero and has to
refill before more is spent, so the delay costs once and does not add up.

The cost of delays is bounded by connectivity. A daemon is connected to another while that one has
recently confirmed its messages. It uses the share of each bucket that belongs to the connected
daemons, including itself, and reserves the rest for the others: in any partition, the shares in use
on all sides add up to one bucket. A daemon starts with nearly empty buckets.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

import msgspec

CONNECTED_INTERVALS = 3.0
"""Message intervals without a confirmation after which a daemon counts as disconnected.

With intervals of 0.1 s, the two halves of a partitioned fleet spend as one for 0.3 s. In a model of
successive partitions, kills and starts (`standins/fleet/limits.py`, 614,000 units per second, 4.4
times the rate, 100 seeds), 4 intervals exceeded the tolerance in two seeds, 3 intervals in none.
"""

GRACE_SHARE = 0.2
"""Minimum share of the tolerated excess that may be spent regularly, so that no request within the
limit is refused because of rounding or ordering; the rest covers delays, partitions and starts."""

SLACK_GRACE_SHARE = 0.5
"""Share of the slack that may be spent regularly while all daemons are connected, if that is more.

The excess caused by delays grows with the rate, as the other term of the tolerance does.
"""

INITIAL_SHARE = 0.25
"""Share of the tolerated excess with which buckets start, so that some requests are accepted in the
first second after a power loss. A starting daemon doesn't know what was spent before, and all of
them may lose power twice in a window."""

OVERSIZE_SHARE = 0.5
"""Share of the tolerated excess that a single request larger than the burst may use."""

STARTUP_SECONDS = 5.0
"""Seconds after the start in which the other daemons may not be known yet."""

ASSUMED_DAEMONS = 32
"""Number of daemons assumed in that time while none is connected."""

QUORUM_SHARE = 0.5
"""Share of all daemons, including itself, that a daemon must have been connected to before others
adopt its levels, because a starting daemon has nearly empty buckets."""

MAX_SEND_DELAY = 1.0
"""Maximum seconds between charging a request and sending it, while it waits for a replica and a
connection: half of its objective, of which the longest in use is 1 s, and some tenths. A deficit is
kept for this much longer than a window."""

COMPLETE_SHARE = 1.0
"""Share of a bucket that has to be in use for a whole window before a deficit is forgotten: all.

Partitions, kills and starts use up the tolerance. When accounts regained their burst during these,
one got up to 197,000 tokens too many in one of 180 random simulations at 614,000 per second.
"""

DEFICIT_STEP = 0.1
"""Resolution in seconds at which deficits are recorded: 90 values per account."""

MAX_UNCONFIRMED = 64
"""Maximum number of unconfirmed messages per daemon; older ones count as lost."""

RETRY_MAX = 30.0
"""Maximum seconds after which a refused caller may retry."""


class Rate(msgspec.Struct, frozen=True):
    """An account's limit: units per second and burst size."""

    per_second: float
    burst: float


class Tolerance(msgspec.Struct, frozen=True):
    """The excess over a rate that is tolerated in each window of `window` seconds."""

    window: float
    share: float
    """Excess as a share of what the rate allows in a window."""

    slack: float
    """Additional excess in units."""

    def compute_excess(self, rate: Rate) -> float:
        """Return the tolerated excess of an account in one window, in units."""
        return (rate.per_second * self.window + rate.burst) * self.share + self.slack

    def compute_grace(self, rate: Rate) -> float:
        """Return the part of the excess that may be spent regularly."""
        return self.compute_excess(rate) * GRACE_SHARE

    def compute_connected_grace(self, rate: Rate) -> float:
        """Return the same while all daemons are connected."""
        return max(self.compute_grace(rate), self.slack * SLACK_GRACE_SHARE)


class UsageRow(msgspec.Struct, frozen=True):
    """A daemon's report on an account: its total spending and the units it believes to be left.

    The latter include the units that it has reserved for others.
    """

    account: str
    spent: int
    remaining: int


class _WindowDeficit:
    """The deficit of a bucket, limited to the last `seconds`.

    The deficit of a bucket is the maximum by which spending exceeded refills since any earlier
    time, that is, since the time with the lowest balance of the two. Recorded are that time, the
    time with the lowest balance after it, and so on. Once the first one is older than `seconds`,
    only the deficit since the next one counts; the difference is forgotten.
    """

    def __init__(self, seconds: float, lacking: float, now: float) -> None:
        self._seconds = seconds
        self._balance = lacking
        """Spending minus refills, since some time."""

        self._minima: collections.deque[tuple[float, float]] = collections.deque([(now, 0.0)])
        """Times with the balance at that time, both ascending."""

    def add(self, amount: float, now: float) -> None:
        """Record spending, or a refill if `amount` is negative."""
        self._balance += amount
        while self._minima and self._minima[-1][1] >= self._balance:
            self._minima.pop()
        if not self._minima or now >= self._minima[-1][0] + DEFICIT_STEP:
            self._minima.append((now, self._balance))

    def forget(self, now: float) -> float:
        """Forget deficits that are too old; return by how much the deficit shrinks."""
        if self._minima[0][0] >= now - self._seconds:
            return 0.0
        before = self._minima[0][1]
        while self._minima and self._minima[0][0] < now - self._seconds:
            self._minima.popleft()
        if not self._minima:
            self._minima.append((now, self._balance))
        return self._minima[0][1] - before


class _Bucket(msgspec.Struct):
    level: float
    filled_at: float
    spent: int = 0
    """Total units that this daemon has spent."""

    reserved: float = 0.0
    """Units reserved for disconnected daemons."""

    share: float = 1.0
    """Share of the bucket that is in use."""

    deficit: _WindowDeficit | None = None
    """Recent deficit; `None` while only a share of the bucket is in use."""

    def split(self, share: float) -> None:
        """Set the share that is in use."""
        if share < self.share and self.level > 0:
            moved = self.level * (1 - share / self.share)
            self.level -= moved
            self.reserved += moved
        elif share > self.share:
            released = self.reserved * (share - self.share) / (1 - self.share)
            self.level += released
            self.reserved -= released
        self.share = share

    def fill(self, rate: Rate, now: float) -> None:
        """Add the units earned since the last call and deficits that are forgotten."""
        earned = max(0.0, now - self.filled_at) * rate.per_second
        self.filled_at = max(now, self.filled_at)
        disconnected = 1 - self.share
        if self.deficit is not None:
            self.deficit.add(-earned * self.share, now)
            earned += self.deficit.forget(now)
        self.level = min(self.level + earned * self.share, rate.burst * self.share)
        self.reserved = min(self.reserved + earned * disconnected, rate.burst * disconnected)

    def subtract(self, spent: float, now: float) -> None:
        """Subtract spending of this or a connected daemon; negative for a refund."""
        self.level -= spent
        if self.deficit is not None:
            self.deficit.add(spent, now)

    def subtract_disconnected(self, spent: int, floor: float) -> None:
        """Subtract spending of a disconnected daemon, first from the reserved units.

        During the partition the bucket may have been full here and not there; the level is lowered
        for that no further than to `floor`.
        """
        from_reserved = min(max(0, spent), self.reserved)
        self.reserved -= from_reserved
        self.level = max(self.level - (spent - from_reserved), min(self.level, floor))

    def drop_reserved(self, part: float) -> None:
        """Drop a part of the reserved units, which may have been spent without a report."""
        self.reserved *= 1 - part


class _Peer(msgspec.Struct):
    confirmed_at: float = float('-inf')
    """When the last message that the peer has confirmed was sent."""

    last_received: int = 0
    """Number of the last message received from it."""

    number: int = 0
    spent: dict[str, int] = msgspec.field(default_factory=dict)
    """Its reported spending by account."""

    confirmed: dict[str, int] = msgspec.field(default_factory=dict)
    """Spending of this daemon that it has confirmed, by account."""

    unconfirmed: dict[int, tuple[float, list[UsageRow]]] = msgspec.field(default_factory=dict)


class SharedBuckets:
    """One daemon's copies of the buckets of all accounts."""

    def __init__(self, tolerance: Tolerance, interval: float, now: float) -> None:
        self.tolerance = tolerance
        self.interval = interval
        """Seconds between messages to a peer."""

        self._started_at = now
        self._rates: dict[str, Rate] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._sharers: set[str] = set()
        self._peers: dict[str, _Peer] = {}
        self._had_quorum = False
        self._adopted = False
        """Whether levels of others were adopted since this daemon last had no connection."""

        self._share = 1.0
        self._share_computed_at = float('nan')
        """When the share was computed; cached, as it is needed for each account of each message."""

        self.changed_at = float('-inf')
        """When this daemon last spent units or received a report that another had."""

    def configure(self, rates: Mapping[str, Rate], now: float) -> None:
        """Set the rates of accounts; accounts without one are not limited."""
        for account, rate in rates.items():
            if account in self._buckets and rate != self._rates.get(account):
                bucket = self._fill(account, now)
                grace = self.tolerance.compute_grace(rate)
                bucket.level = min(max(bucket.level, -grace), rate.burst * bucket.share)
                bucket.deficit = None
        self._rates = dict(rates)
        self._buckets = {a: b for a, b in self._buckets.items() if a in rates}

    def set_sharers(self, names: Iterable[str], now: float) -> None:
        """Set the other daemons that may spend, whether connected or not.

        Units reserved for daemons that are removed may have been spent without a report.
        """
        sharers = set(names)
        disconnected = {name for name in self._sharers if not self.is_connected(name, now)}
        ended = disconnected - sharers
        for account in self._buckets:
            self._fill(account, now)
        self._sharers = sharers
        self._share_computed_at = float('nan')
        if not ended:
            return
        share = self.compute_share(now)
        for bucket in self._buckets.values():
            bucket.drop_reserved(len(ended) / len(disconnected))
            bucket.share = max(bucket.share, share)

    def forget(self, alive: Iterable[str]) -> None:
        """Remove the state of daemons that no longer exist."""
        kept = set(alive)
        self._peers = {name: peer for name, peer in self._peers.items() if name in kept}

    @property
    def has_rates(self) -> bool:
        """Whether any account is limited."""
        return bool(self._rates)

    def get_rate(self, account: str) -> Rate:
        """Return the rate of a limited account."""
        return self._rates[account]

    def take(self, account: str, cost: int, now: float) -> float:
        """Spend `cost` units and return 0, or return the seconds until they may be available.

        A full bucket admits even a request larger than the burst, as long as that request alone
        stays within the tolerance.
        """
        rate = self._rates.get(account)
        if rate is None:
            return 0.0
        bucket = self._fill(account, now)
        if cost > rate.burst + self.tolerance.compute_excess(rate) * OVERSIZE_SHARE:
            return RETRY_MAX
        grace = self._compute_grace(bucket, rate)
        lacking = min(cost, rate.burst + grace) - bucket.level - grace
        if lacking > 0:
            per_second = rate.per_second * bucket.share
            return min(RETRY_MAX, lacking / per_second) if per_second else RETRY_MAX
        self._spend(bucket, cost, now)
        return 0.0

    def refund(self, account: str, cost: int, now: float) -> None:
        """Refund the units of a request that reached no upstream."""
        if account in self._rates:
            self._spend(self._fill(account, now), -cost, now)

    def get_level(self, account: str, now: float) -> float:
        """Return the units available to this and the connected daemons."""
        return self._fill(account, now).level

    def get_spent(self, account: str) -> int:
        """Return the total units that this daemon has spent."""
        bucket = self._buckets.get(account)
        return bucket.spent if bucket else 0

    def compute_share(self, now: float) -> float:
        """Return the share of each bucket that belongs to this and the connected daemons."""
        if now != self._share_computed_at:
            self._share_computed_at = now
            self._share = self._recompute_share(now)
        return self._share

    def _recompute_share(self, now: float) -> float:
        connected = sum(self.is_connected(name, now) for name in self._sharers)
        self._adopted &= connected > 0
        daemons = len(self._sharers) + 1
        if not connected and now - self._started_at < STARTUP_SECONDS:
            daemons = max(daemons, ASSUMED_DAEMONS)
        return (1 + connected) / daemons

    def is_connected(self, name: str, now: float) -> bool:
        """Return whether a daemon has recently confirmed a message."""
        peer = self._peers.get(name)
        return peer is not None and now - peer.confirmed_at <= self.interval * CONNECTED_INTERVALS

    def build_update(self, name: str, now: float) -> tuple[int, int, bool, list[UsageRow]]:
        """Return a message to a daemon: number, last number received, quorum flag, changed rows.

        The flag says whether this daemon's levels are reliable, because it has been connected to
        most others.
        """
        peer = self._peers.setdefault(name, _Peer())
        peer.number += 1
        whole = not self.is_connected(name, now)
        rows = [
            self._make_row(account, now)
            for account, bucket in self._buckets.items()
            if whole or bucket.spent != peer.confirmed.get(account, 0)
        ]
        peer.unconfirmed[peer.number] = (now, rows)
        if len(peer.unconfirmed) > MAX_UNCONFIRMED:
            del peer.unconfirmed[next(iter(peer.unconfirmed))]
        return peer.number, peer.last_received, self._had_quorum, rows

    def apply_update(
        self,
        name: str,
        number: int,
        confirmed: int,
        has_quorum: bool,
        rows: Iterable[UsageRow],
        now: float,
    ) -> None:
        """Apply a message of another daemon."""
        peer = self._peers.setdefault(name, _Peer())
        is_connected = self.is_connected(name, now)
        if number <= peer.last_received:
            return
        # Only once, as the levels include spending reported since, which would count twice.
        adopt = has_quorum and not self._adopted
        self._adopted |= adopt
        peer.last_received = number
        for row in rows:
            before = peer.spent.get(row.account, 0 if is_connected else row.spent)
            peer.spent[row.account] = row.spent
            if row.account in self._rates:
                self._apply_row(row, row.spent - before, is_connected, adopt, now)
        found = peer.unconfirmed.get(confirmed)
        if found is not None:
            sent_at, sent_rows = found
            peer.confirmed_at = max(peer.confirmed_at, sent_at)
            self._share_computed_at = float('nan')
            peer.confirmed.update({row.account: row.spent for row in sent_rows})
            for older in [n for n in peer.unconfirmed if n <= confirmed]:
                del peer.unconfirmed[older]

    def _make_row(self, account: str, now: float) -> UsageRow:
        bucket = self._fill(account, now)
        return UsageRow(account, bucket.spent, int(bucket.level + bucket.reserved))

    def _apply_row(
        self, row: UsageRow, spent: int, is_connected: bool, adopt: bool, now: float
    ) -> None:
        bucket = self._fill(row.account, now)
        if spent:
            self.changed_at = now
        if is_connected:
            bucket.subtract(spent, now)
            return
        bucket.subtract_disconnected(spent, -self.tolerance.compute_grace(self._rates[row.account]))
        if adopt:
            bucket.level -= max(0.0, bucket.level + bucket.reserved - row.remaining)
            # The time at which this was spent is not reported.
            bucket.deficit = None

    def _compute_grace(self, bucket: _Bucket, rate: Rate) -> float:
        """Return how far below zero a level may fall by regular spending."""
        if bucket.deficit is not None:
            return self.tolerance.compute_connected_grace(rate)
        return self.tolerance.compute_grace(rate) * bucket.share

    def _spend(self, bucket: _Bucket, cost: int, now: float) -> None:
        bucket.subtract(cost, now)
        bucket.spent += cost
        self.changed_at = now

    def _fill(self, account: str, now: float) -> _Bucket:
        rate = self._rates[account]
        share = self.compute_share(now)
        self._had_quorum |= share > QUORUM_SHARE
        bucket = self._buckets.get(account)
        if bucket is None:
            # The bucket has been filling since the start of this daemon, at its share.
            initial = min(rate.burst, self.tolerance.compute_excess(rate) * INITIAL_SHARE)
            bucket = _Bucket(initial * share, self._started_at, 0, initial * (1 - share), share)
            self._buckets[account] = bucket
        bucket.split(share)
        bucket.fill(rate, now)
        if share < COMPLETE_SHARE:
            bucket.deficit = None
        elif bucket.deficit is None:
            # The time of earlier spending is unknown, so the whole deficit counts as new.
            seconds = self.tolerance.window + MAX_SEND_DELAY
            bucket.deficit = _WindowDeficit(seconds, rate.burst - bucket.level, now)
        return bucket
