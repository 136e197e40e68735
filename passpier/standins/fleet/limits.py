"""Limits of client accounts in a fleet without sockets: what each way lets through and refuses.

One account sends above or below its rate while daemons are cut off, killed and started. What
runs in any window is compared with what is tolerated, and what is refused with what one bucket that
knew everything would have let through. `python -m passpier.standins.fleet.limits` prints a table.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator

from passpier.core import buckets

STEP = 0.01
"""Seconds of one step of the model."""

TOLERANCE = buckets.Tolerance(8.0, 0.1, 110_000)
LATENCY = (0.002, 0.06)
"""Seconds that a message takes: the network, and a busy event loop."""

SIZES = (862, 862, 862, 200, 9_190, 9_190, 26_000)
"""Tokens of requests."""

INTERVAL = 0.1


@dataclasses.dataclass
class Daemon:
    """A daemon; those with different groups do not reach each other."""

    name: str
    book: buckets.SharedBuckets
    group: int = 0
    alive: bool = True
    told_at: float = 0.0
    suspended_until: float = 0.0


@dataclasses.dataclass
class Result:
    """What came of a play, in tokens; `messages` is a count."""

    excess: float = float('-inf')
    """The most that ran in a window beyond what is tolerated; negative if it kept below."""

    asked: int = 0
    ran: int = 0
    refused_below: int = 0
    """Refused although one bucket that knows everything would have let it through."""

    messages: int = 0


class Fleet:
    """Daemons and the messages between them; if they tell nothing, each has its even part."""

    def __init__(self, count: int, rate: buckets.Rate, tells: bool, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.result = Result()
        self.daemons: list[Daemon] = []
        self._tells = tells
        self._started = 0
        self._ran: collections.deque[tuple[float, int]] = collections.deque()
        self._in_window = 0
        self._level = rate.burst
        self._queue: list[tuple[float, Callable[[], None]]] = []
        self.limits = [(0.0, rate)]
        for _ in range(count):
            self.start()

    def start(self) -> Daemon:
        """Start a daemon that knows nothing yet."""
        self._started += 1
        name = f'd{self._started}'
        book = buckets.SharedBuckets(TOLERANCE, INTERVAL, self.now)
        book.configure({'a': self.rate}, self.now)
        daemon = Daemon(name, book, told_at=self.now)
        self.daemons.append(daemon)
        self._introduce()
        return daemon

    def kill(self, daemon: Daemon) -> None:
        """End a daemon; what it has not told yet is known to nobody."""
        daemon.alive = False
        self.daemons.remove(daemon)
        self._introduce()

    def set_rate(self, rate: buckets.Rate, reached: Callable[[Daemon], bool]) -> None:
        """Change the limit at some daemons; what is tolerated changes a window after all know."""
        self.rate = rate
        for daemon in self.daemons:
            if reached(daemon):
                daemon.book.configure({'a': rate}, self.now)

    def ask(self, daemon: Daemon, cost: int) -> None:
        """Have a caller send a request to a daemon."""
        result = self.result
        if daemon.suspended_until > self.now:
            return
        result.asked += cost
        allowed = self._level >= cost
        if not daemon.book.take('a', cost, self.now):
            self._note_run(cost)
            self._level -= cost
        elif allowed:
            result.refused_below += cost

    def run(self, seconds: float, traffic: Callable[[float], None]) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self._level = min(self.rate.burst, self._level + self.rate.per_second * STEP)
            due = [item for item in self._queue if item[0] <= self.now]
            self._queue = [item for item in self._queue if item[0] > self.now]
            for _, deliver in sorted(due, key=lambda item: item[0]):
                deliver()
            for daemon in self.daemons:
                self._tell(daemon)
            traffic(STEP)

    def _introduce(self) -> None:
        names = {d.name for d in self.daemons}
        for daemon in self.daemons:
            daemon.book.set_sharers(names - {daemon.name}, self.now)

    def _tell(self, daemon: Daemon) -> None:
        book = daemon.book
        late = daemon.suspended_until > self.now or self.now < daemon.told_at + INTERVAL
        if late or not self._tells:
            return
        daemon.told_at = self.now
        for other in self.daemons:
            if other is not daemon:
                message = book.tell(other.name, self.now)
                self.result.messages += 1
                at = self.now + self.rng.uniform(*LATENCY)
                self._queue.append((at, self._deliver(daemon, other, message)))

    def _deliver(
        self, sender: Daemon, to: Daemon, message: tuple[int, int, bool, list[buckets.Row]]
    ) -> Callable[[], None]:
        def deliver() -> None:
            if sender.group != to.group or not to.alive:
                return
            if to.suspended_until > self.now:
                self._queue.append((to.suspended_until + STEP, deliver))
                return
            to.book.hear(sender.name, *message, self.now)

        return deliver

    def _note_run(self, cost: int) -> None:
        self.result.ran += cost
        self._ran.append((self.now, cost))
        self._in_window += cost
        while self._ran[0][0] <= self.now - TOLERANCE.window:
            self._in_window -= self._ran.popleft()[1]
        # A lower limit counts from a window after it was told.
        since = self.now - TOLERANCE.window
        rates = [r for at, r in self.limits if at <= self.now]
        current = [r for at, r in self.limits if since <= at <= self.now] + rates[-1:]
        before = [r for at, r in self.limits if at < since][-1:]
        rate = max(current + before, key=lambda r: r.per_second)
        given = rate.per_second * TOLERANCE.window + rate.burst
        allowed = given + TOLERANCE.compute_excess(rate)
        self.result.excess = max(self.result.excess, self._in_window - allowed)


def make_traffic(
    fleet: Fleet, times: float, choose: Callable[[], Daemon | None]
) -> Callable[[float], None]:
    """Return traffic of so many times the account's rate, to the daemons that `choose` names."""
    left = 0.0

    def send(step: float) -> None:
        nonlocal left
        left += times * fleet.rate.per_second * step
        while left > 0:
            cost = fleet.rng.choice(SIZES)
            left -= cost
            daemon = choose()
            if daemon is not None:
                fleet.ask(daemon, cost)

    return send


def choose_any(fleet: Fleet) -> Callable[[], Daemon | None]:
    """Return a choice among all daemons alive."""
    return lambda: fleet.rng.choice(fleet.daemons) if fleet.daemons else None


def play_calm(fleet: Fleet, times: float) -> None:
    """Callers at all daemons."""
    fleet.run(16.0, lambda _: None)
    fleet.run(30.0, make_traffic(fleet, times, choose_any(fleet)))


def play_one(fleet: Fleet, times: float) -> None:
    """Callers at one daemon, and all of them at another one every few seconds."""
    fleet.run(16.0, lambda _: None)
    for number in range(10):
        target = fleet.daemons[number % len(fleet.daemons)]
        fleet.run(3.0, make_traffic(fleet, times, lambda target=target: target))  # type: ignore[misc]


def play_cut(fleet: Fleet, times: float) -> None:
    """One daemon, then half of them cut off from the others for some seconds."""
    traffic = make_traffic(fleet, times, choose_any(fleet))
    fleet.run(16.0, lambda _: None)
    fleet.run(9.0, traffic)
    for count in (1, len(fleet.daemons) // 2):
        for daemon in fleet.daemons[:count]:
            daemon.group = 1
        fleet.run(5.0, traffic)
        for daemon in fleet.daemons:
            daemon.group = 0
        fleet.run(9.0, traffic)


def play_idle_cut(fleet: Fleet, times: float) -> None:
    """Half of them cut off while nothing was spent, so that all buckets are full."""
    fleet.run(16.0, lambda _: None)
    for daemon in fleet.daemons[::2]:
        daemon.group = 1
    fleet.run(0.1, lambda _: None)
    fleet.run(5.0, make_traffic(fleet, times, choose_any(fleet)))
    for daemon in fleet.daemons:
        daemon.group = 0
    fleet.run(9.0, make_traffic(fleet, times, choose_any(fleet)))


def play_starts(fleet: Fleet, times: float) -> None:
    """All are killed at once, come back, and are then replaced one by one."""
    traffic = make_traffic(fleet, times, choose_any(fleet))
    fleet.run(16.0, lambda _: None)
    fleet.run(6.0, traffic)
    count = len(fleet.daemons)
    for daemon in list(fleet.daemons):
        fleet.kill(daemon)
    fleet.run(0.5, traffic)
    for _ in range(count):
        fleet.start()
    fleet.run(9.0, traffic)
    for _ in range(2 * count):
        fleet.kill(fleet.daemons[0])
        fleet.run(0.2, traffic)
        fleet.start()
        fleet.run(0.3, traffic)


def play_suspended(fleet: Fleet, times: float) -> None:
    """Daemons are suspended for seconds, one and then all."""
    traffic = make_traffic(fleet, times, choose_any(fleet))
    fleet.run(16.0, lambda _: None)
    fleet.run(4.0, traffic)
    for count in (1, len(fleet.daemons) // 2, len(fleet.daemons)):
        for daemon in fleet.daemons[:count]:
            daemon.suspended_until = fleet.now + 3.0
        fleet.run(9.0, traffic)


def play_lowered(fleet: Fleet, times: float) -> None:
    """The limit falls to a fifth; half of them hear of it two seconds late; then it rises."""
    traffic = make_traffic(fleet, times, choose_any(fleet))
    rate = fleet.rate
    lower = buckets.Rate(rate.per_second / 5, rate.burst / 5)
    high = make_traffic(fleet, times * 5, choose_any(fleet))
    fleet.run(16.0, lambda _: None)
    fleet.run(9.0, traffic)
    late = set(map(id, fleet.daemons[::2]))
    fleet.set_rate(lower, lambda d: id(d) not in late)
    fleet.run(2.0, high)
    fleet.set_rate(lower, lambda d: id(d) in late)
    fleet.limits.append((fleet.now, lower))
    fleet.run(20.0, high)
    fleet.limits.append((fleet.now, rate))
    fleet.set_rate(rate, lambda _: True)
    fleet.run(5.0, traffic)


def play_drawn(fleet: Fleet, times: float) -> None:
    """Cuts, kills, starts and suspensions of any length, in any order."""
    rng = fleet.rng
    fleet.run(rng.uniform(1.0, 12.0), lambda _: None)
    traffic = make_traffic(fleet, times, choose_any(fleet))
    for _ in range(10):
        happening = rng.choice(['cut', 'cut', 'kill', 'start', 'suspend', 'heal'])
        drawn = rng.sample(fleet.daemons, rng.randint(1, max(1, len(fleet.daemons) // 2)))
        for daemon in drawn:
            if happening == 'cut':
                daemon.group = rng.randint(0, 2)
            elif happening == 'kill' and len(fleet.daemons) > 4:
                fleet.kill(daemon)
            elif happening == 'start' and len(fleet.daemons) < 16:
                fleet.start()
            elif happening == 'suspend':
                daemon.suspended_until = fleet.now + rng.uniform(0.3, 4.0)
        if happening == 'heal':
            for daemon in fleet.daemons:
                daemon.group = 0
        fleet.run(rng.uniform(0.3, 5.0), traffic)


PLAYS: dict[str, Callable[[Fleet, float], None]] = {
    'calm': play_calm,
    'one daemon': play_one,
    'cut': play_cut,
    'cut at rest': play_idle_cut,
    'starts': play_starts,
    'suspended': play_suspended,
    'lowered': play_lowered,
    'drawn': play_drawn,
}


def play(
    name: str, tells: bool, daemons: int, per_second: float, times: float, seed: int
) -> Result:
    """Return what comes of one play; `times` is what is sent, in multiples of the rate."""
    fleet = Fleet(daemons, buckets.Rate(per_second, per_second), tells, seed)
    PLAYS[name](fleet, times)
    return fleet.result


def render_table(daemons: int = 12, seeds: int = 2) -> Iterator[str]:
    """Yield the lines of a table of all plays."""
    yield 'play         way    rate/s  sent   excess  refused below  messages'
    for name, per_second, times, tells in itertools.product(
        PLAYS, (29_000, 160_000, 614_000), (0.55, 4.4), (False, True)
    ):
        found = [play(name, tells, daemons, per_second, times, seed) for seed in range(seeds)]
        excess = max(r.excess for r in found)
        below = sum(r.refused_below for r in found) / max(1, sum(r.asked for r in found))
        messages = sum(r.messages for r in found)
        way = 'told' if tells else 'even'
        yield (
            f'{name:12} {way:5} {per_second:7} {times:5} {excess:8.0f} {below:14.3f} {messages:9}'
        )


if __name__ == '__main__':
    for line in render_table():
        print(line, flush=True)
