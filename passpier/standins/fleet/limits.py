"""Simulates rate limits of client accounts in a fleet of daemons, without sockets.

One account sends above or below its rate while daemons are isolated, killed and started. The tokens
that run in any window are compared with the tolerance, and the refused tokens with those that one
central bucket would have admitted. Daemons either exchange their usage or have even shares of the
rate. `python -m passpier.standins.fleet.limits` prints a table.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterator

from passpier.core import buckets

STEP_SECONDS = 0.01
"""Seconds of one step of the simulation."""

TOLERANCE = buckets.Tolerance(8.0, 0.1, 110_000)
"""Tolerated excess over the limit in a window."""

LATENCY = (0.002, 0.06)
"""Range of the seconds that a message takes through the network and a busy event loop."""

REQUEST_TOKENS = (862, 862, 862, 200, 9_190, 9_190, 26_000)
"""Possible numbers of tokens of a request."""

UPDATE_INTERVAL = 0.1
"""Seconds between two messages of a daemon to each other one."""


@dataclasses.dataclass
class Daemon:
    """A daemon; daemons in different partitions do not reach each other."""

    name: str
    shared_buckets: buckets.SharedBuckets
    partition: int = 0
    alive: bool = True
    last_update_at: float = 0.0
    suspended_until: float = 0.0


@dataclasses.dataclass
class Result:
    """The result of a simulation in tokens; `messages` is a count."""

    excess: float = float('-inf')
    """Maximum of the tokens in a window above the tolerance; negative if it was not exceeded."""

    requested: int = 0
    ran: int = 0
    refused_below_limit: int = 0
    """Refused although one central bucket would have admitted it."""

    messages: int = 0


class Fleet:
    """Daemons and the messages between them; without `exchanges`, each has an even share."""

    def __init__(self, count: int, rate: buckets.Rate, exchanges: bool, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.result = Result()
        self.daemons: list[Daemon] = []
        self._exchanges = exchanges
        self._started = 0
        self._ran: collections.deque[tuple[float, int]] = collections.deque()
        self._in_window = 0
        self._ideal_level = rate.burst
        self._queue: list[tuple[float, Callable[[], None]]] = []
        self.limits = [(0.0, rate)]
        for _ in range(count):
            self.start()

    def start(self) -> Daemon:
        """Start a daemon without any state."""
        self._started += 1
        name = f'd{self._started}'
        book = buckets.SharedBuckets(TOLERANCE, UPDATE_INTERVAL, self.now)
        book.configure({'a': self.rate}, self.now)
        daemon = Daemon(name, book, last_update_at=self.now)
        self.daemons.append(daemon)
        self._update_sharers()
        return daemon

    def kill(self, daemon: Daemon) -> None:
        """Kill a daemon; usage that it has not sent yet is lost."""
        daemon.alive = False
        self.daemons.remove(daemon)
        self._update_sharers()

    def set_rate(self, rate: buckets.Rate, reached: Callable[[Daemon], bool]) -> None:
        """Change the limit of the daemons for which `reached` is true.

        The tolerance changes one window after all daemons know the limit; see `limits`.
        """
        self.rate = rate
        for daemon in self.daemons:
            if reached(daemon):
                daemon.shared_buckets.configure({'a': rate}, self.now)

    def send_request(self, daemon: Daemon, cost: int) -> None:
        """Send a request of a caller to a daemon."""
        result = self.result
        if daemon.suspended_until > self.now:
            return
        result.requested += cost
        allowed = self._ideal_level >= cost
        if not daemon.shared_buckets.take('a', cost, self.now):
            self._note_run(cost)
            self._ideal_level -= cost
        elif allowed:
            result.refused_below_limit += cost

    def run(self, seconds: float, traffic: Callable[[float], None]) -> None:
        """Advance the simulation by `seconds`."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self._ideal_level = min(
                self.rate.burst, self._ideal_level + self.rate.per_second * STEP_SECONDS
            )
            due = [item for item in self._queue if item[0] <= self.now]
            self._queue = [item for item in self._queue if item[0] > self.now]
            for _, deliver in sorted(due, key=lambda item: item[0]):
                deliver()
            for daemon in self.daemons:
                self._send_usage(daemon)
            traffic(STEP_SECONDS)

    def _update_sharers(self) -> None:
        names = {d.name for d in self.daemons}
        for daemon in self.daemons:
            daemon.shared_buckets.set_sharers(names - {daemon.name}, self.now)

    def _send_usage(self, daemon: Daemon) -> None:
        book = daemon.shared_buckets
        late = (
            daemon.suspended_until > self.now or self.now < daemon.last_update_at + UPDATE_INTERVAL
        )
        if late or not self._exchanges:
            return
        daemon.last_update_at = self.now
        for other in self.daemons:
            if other is not daemon:
                message = book.build_update(other.name, self.now)
                self.result.messages += 1
                at = self.now + self.rng.uniform(*LATENCY)
                self._queue.append((at, self._deliver(daemon, other, message)))

    def _deliver(
        self, sender: Daemon, to: Daemon, message: tuple[int, int, bool, list[buckets.UsageRow]]
    ) -> Callable[[], None]:
        def deliver() -> None:
            if sender.partition != to.partition or not to.alive:
                return
            if to.suspended_until > self.now:
                self._queue.append((to.suspended_until + STEP_SECONDS, deliver))
                return
            to.shared_buckets.apply_update(sender.name, *message, self.now)

        return deliver

    def _note_run(self, cost: int) -> None:
        self.result.ran += cost
        self._ran.append((self.now, cost))
        self._in_window += cost
        while self._ran[0][0] <= self.now - TOLERANCE.window:
            self._in_window -= self._ran.popleft()[1]
        # A lower limit counts one window after it was announced to all daemons.
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
    """Return traffic of `times` the account's rate, to daemons returned by `choose`."""
    left = 0.0

    def send(step: float) -> None:
        nonlocal left
        left += times * fleet.rate.per_second * step
        while left > 0:
            cost = fleet.rng.choice(REQUEST_TOKENS)
            left -= cost
            daemon = choose()
            if daemon is not None:
                fleet.send_request(daemon, cost)

    return send


def choose_any(fleet: Fleet) -> Callable[[], Daemon | None]:
    """Return a function that chooses among all running daemons."""
    return lambda: fleet.rng.choice(fleet.daemons) if fleet.daemons else None


def run_steady(fleet: Fleet, times: float) -> None:
    """Callers use all daemons."""
    fleet.run(16.0, lambda _: None)
    fleet.run(30.0, make_traffic(fleet, times, choose_any(fleet)))


def run_single_daemon(fleet: Fleet, times: float) -> None:
    """All callers use one daemon, another one every few seconds."""
    fleet.run(16.0, lambda _: None)
    for number in range(10):
        target = fleet.daemons[number % len(fleet.daemons)]
        fleet.run(3.0, make_traffic(fleet, times, lambda target=target: target))  # type: ignore[misc]


def run_partition(fleet: Fleet, times: float) -> None:
    """One daemon, then half of the daemons are isolated from the others for some seconds."""
    traffic = make_traffic(fleet, times, choose_any(fleet))
    fleet.run(16.0, lambda _: None)
    fleet.run(9.0, traffic)
    for count in (1, len(fleet.daemons) // 2):
        for daemon in fleet.daemons[:count]:
            daemon.partition = 1
        fleet.run(5.0, traffic)
        for daemon in fleet.daemons:
            daemon.partition = 0
        fleet.run(9.0, traffic)


def run_idle_partition(fleet: Fleet, times: float) -> None:
    """Half of the daemons are isolated while idle, so that all buckets are full."""
    fleet.run(16.0, lambda _: None)
    for daemon in fleet.daemons[::2]:
        daemon.partition = 1
    fleet.run(0.1, lambda _: None)
    fleet.run(5.0, make_traffic(fleet, times, choose_any(fleet)))
    for daemon in fleet.daemons:
        daemon.partition = 0
    fleet.run(9.0, make_traffic(fleet, times, choose_any(fleet)))


def run_restarts(fleet: Fleet, times: float) -> None:
    """All daemons are killed at once, restarted, and then replaced one by one."""
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


def run_suspensions(fleet: Fleet, times: float) -> None:
    """One, half and then all of the daemons are suspended for seconds."""
    traffic = make_traffic(fleet, times, choose_any(fleet))
    fleet.run(16.0, lambda _: None)
    fleet.run(4.0, traffic)
    for count in (1, len(fleet.daemons) // 2, len(fleet.daemons)):
        for daemon in fleet.daemons[:count]:
            daemon.suspended_until = fleet.now + 3.0
        fleet.run(9.0, traffic)


def run_lowered_limit(fleet: Fleet, times: float) -> None:
    """The limit drops to a fifth, for half of the daemons two seconds later, and rises again."""
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


def run_random(fleet: Fleet, times: float) -> None:
    """Partitions, kills, starts and suspensions of random length, in random order."""
    rng = fleet.rng
    fleet.run(rng.uniform(1.0, 12.0), lambda _: None)
    traffic = make_traffic(fleet, times, choose_any(fleet))
    for _ in range(10):
        event = rng.choice(['cut', 'cut', 'kill', 'start', 'suspend', 'heal'])
        drawn = rng.sample(fleet.daemons, rng.randint(1, max(1, len(fleet.daemons) // 2)))
        for daemon in drawn:
            if event == 'cut':
                daemon.partition = rng.randint(0, 2)
            elif event == 'kill' and len(fleet.daemons) > 4:
                fleet.kill(daemon)
            elif event == 'start' and len(fleet.daemons) < 16:
                fleet.start()
            elif event == 'suspend':
                daemon.suspended_until = fleet.now + rng.uniform(0.3, 4.0)
        if event == 'heal':
            for daemon in fleet.daemons:
                daemon.partition = 0
        fleet.run(rng.uniform(0.3, 5.0), traffic)


SCENARIOS: dict[str, Callable[[Fleet, float], None]] = {
    'calm': run_steady,
    'one daemon': run_single_daemon,
    'cut': run_partition,
    'cut at rest': run_idle_partition,
    'starts': run_restarts,
    'suspended': run_suspensions,
    'lowered': run_lowered_limit,
    'drawn': run_random,
}


def run_scenario(
    name: str, exchanges: bool, daemons: int, per_second: float, times: float, seed: int
) -> Result:
    """Return the result of a scenario; `times` is the traffic in multiples of the rate."""
    fleet = Fleet(daemons, buckets.Rate(per_second, per_second), exchanges, seed)
    SCENARIOS[name](fleet, times)
    return fleet.result


def render_table(daemons: int = 12, seeds: int = 2) -> Iterator[str]:
    """Yield the lines of a table of all scenarios."""
    yield 'play         way    rate/s  sent   excess  refused below  messages'
    for name, per_second, times, exchanges in itertools.product(
        SCENARIOS, (29_000, 160_000, 614_000), (0.55, 4.4), (False, True)
    ):
        found = [
            run_scenario(name, exchanges, daemons, per_second, times, seed) for seed in range(seeds)
        ]
        excess = max(r.excess for r in found)
        below = sum(r.refused_below_limit for r in found) / max(1, sum(r.requested for r in found))
        messages = sum(r.messages for r in found)
        way = 'told' if exchanges else 'even'
        yield (
            f'{name:12} {way:5} {per_second:7} {times:5} {excess:8.0f} {below:14.3f} {messages:9}'
        )


if __name__ == '__main__':
    for line in render_table():
        print(line, flush=True)
