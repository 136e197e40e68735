"""The shared retry budget holds over all daemons without coordination."""

from __future__ import annotations

import dataclasses
import functools
import random

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import retries
from passpier.standins.platform import invariants

RATIO, SLACK, WINDOW = 0.2, 40.0, 10.0

LATE_SECONDS = 4.0
"""Maximum seconds that a retry takes to arrive: the kernel gives up what is unacknowledged then."""

RETRIES_WANTED = 3
"""Retries that each request asks for; a service that fails all of them causes as many."""


@dataclasses.dataclass
class Traffic:
    """Requests and retries of several daemons, in the order of time."""

    rng: random.Random
    daemons: int
    requests: list[float] = dataclasses.field(default_factory=list)
    sent: list[float] = dataclasses.field(default_factory=list)

    def run(self, seconds: float, rate: float, restart_mean: float, failing_share: float) -> None:
        """Play requests of which some want retries, while daemons restart one by one or together.

        `restart_mean` is the mean number of seconds between restarts.
        """
        budgets = [self._start(0.0) for _ in range(self.daemons)]
        now, restart_at = 0.0, self.rng.expovariate(1 / restart_mean)
        fails = False
        while now < seconds:
            now += self.rng.expovariate(rate)
            if now >= restart_at:
                restart_at = now + self.rng.expovariate(1 / restart_mean)
                chosen = range(self.daemons) if self.rng.random() < 0.5 else [0]
                for number in chosen:
                    budgets[number] = self._start(now)
            if self.rng.random() < 0.02:
                fails = self.rng.random() < failing_share
            budget = self.rng.choice(budgets)
            budget.note_request(now)
            self.requests.append(now)
            for _ in range(RETRIES_WANTED if fails else 0):
                hold = budget.hold(now, self.daemons, lambda withdrawn: None)
                if hold is not None:
                    budget.spend(hold)
                    self.sent.append(now)

    def _start(self, now: float) -> retries.SharedBudget:
        return retries.SharedBudget(RATIO, SLACK, WINDOW, now)

    def compute_share(self, arrived: list[float]) -> float:
        """Return the retries of the worst window as a share of the allowance."""
        if not arrived:
            return 0.0
        allowance = invariants.RetryAllowance(RATIO, SLACK, WINDOW)
        return invariants.find_worst_window('', self.requests, sorted(arrived), allowance).share


# Guards against retries above the budget when daemons restart, or when retries arrive late.
@hypothesis.given(
    st.integers(0, 10_000),
    st.integers(1, 12),
    st.sampled_from([0.5, 2.0, 7.0, 8.0, 12.0, 1000.0]),
    st.sampled_from([0.1, 0.5, 1.0]),
    st.sampled_from([5.0, 30.0, 100.0]),
)
def test_all_daemons_together_keep_the_budget(
    seed: int, daemons: int, restart_mean: float, failing_share: float, rate: float
) -> None:
    rng = random.Random(seed)
    traffic = Traffic(rng, daemons)
    traffic.run(40.0, rate, restart_mean, failing_share)
    assert traffic.compute_share(traffic.sent) <= 1
    late = [at + rng.uniform(0.0, LATE_SECONDS) for at in traffic.sent]
    assert traffic.compute_share(late) <= 1
    held_up = [max(at, 20.0) if at > 20.0 - LATE_SECONDS else at for at in traffic.sent]
    assert traffic.compute_share(held_up) <= 1


TICK = 0.25
"""Seconds between steps of a play with phases."""

PATIENCE = 15.0
"""Seconds for which a client with a part of a stream waits for the rest."""


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """What clients send, and what the replicas of the service do with it."""

    seconds: float
    rate: float
    """Requests a second."""

    fails: bool = False
    """Whether each attempt fails, so that its request wants another one."""

    gone: bool = False
    """Whether there is no replica, so that requests wait with the retries they hold."""


@dataclasses.dataclass
class WaitingRequest:
    """A request whose attempt has failed, at a daemon."""

    retries: retries.RequestRetries
    ends_at: float


@dataclasses.dataclass
class PhasedTraffic(Traffic):
    """Traffic that rises and falls while requests wait for replicas."""

    phases: list[Phase] = dataclasses.field(default_factory=list)

    def play(self) -> None:
        """Play one phase after the other; the last one's requests that still wait are dropped."""
        budgets = [self._start(0.0) for _ in range(self.daemons)]
        waiting: list[WaitingRequest] = []
        now = 0.0
        for phase in self.phases:
            ends_at = now + phase.seconds
            while now < ends_at:
                now += TICK
                waiting += self._send(budgets, phase, now)
                waiting = [one for one in waiting if self._go_on(one, phase, now)]

    def _send(
        self, budgets: list[retries.SharedBudget], phase: Phase, now: float
    ) -> list[WaitingRequest]:
        """Send the requests of a step; return those whose first attempt fails."""
        failed = []
        count = int(phase.rate * TICK + self.rng.random())
        for _ in range(count):
            budget = self.rng.choice(budgets)
            budget.note_request(now)
            self.requests.append(now)
            if phase.fails or phase.gone:
                one = retries.RequestRetries(budget)
                one.note_sent()
                one.note_settled()
                failed.append(WaitingRequest(one, now + PATIENCE))
        return failed

    def _go_on(self, one: WaitingRequest, phase: Phase, now: float) -> bool:
        """Send a request again if it may be and a replica is there; return whether it waits."""
        if now >= one.ends_at:
            one.retries.close()
            return False
        if not one.retries.hold(now, self.daemons) or phase.gone:
            return True
        one.retries.note_sent()
        one.retries.note_settled()
        self.sent.append(now)
        if not phase.fails:
            one.retries.close()
        return phase.fails


def play_ended_burst(rate: float, calm_seconds: float, failing_seconds: float) -> PhasedTraffic:
    """Play traffic of one daemon that ends while the service is gone, and fails afterwards."""
    traffic = PhasedTraffic(random.Random(1), 1)
    traffic.phases = [
        Phase(20.0, rate),
        Phase(1.0, rate, gone=True),
        Phase(calm_seconds, 0.0, gone=True),
        Phase(failing_seconds, 0.0, fails=True),
    ]
    traffic.play()
    return traffic


# Guards against retries above the budget that are held while the traffic falls.
def test_retries_held_while_the_traffic_falls_keep_the_budget() -> None:
    traffic = play_ended_burst(40.0, 12.0, 20.0)
    assert traffic.sent
    assert traffic.compute_share(traffic.sent) <= 1


# Guards against retries above the budget that arrive late, after the traffic has fallen.
def test_retries_that_arrive_late_keep_the_budget_while_the_traffic_falls() -> None:
    traffic = play_ended_burst(100.0, 6.0, 15.0)
    assert traffic.sent
    assert traffic.compute_share([at + LATE_SECONDS for at in traffic.sent]) <= 1


# Guards against retries above the budget as bursts end while a service is gone, again and again.
@hypothesis.given(
    st.integers(0, 10_000),
    st.integers(1, 6),
    st.sampled_from([10.0, 40.0]),
    st.sampled_from([0.0, 2.0, 10.0]),
)
def test_the_budget_is_kept_while_the_traffic_rises_and_falls(
    seed: int, daemons: int, busy: float, calm: float
) -> None:
    rng = random.Random(seed)
    traffic = PhasedTraffic(rng, daemons)
    for _ in range(3):
        traffic.phases += [
            Phase(rng.uniform(2.0, 12.0), busy, fails=rng.random() < 0.3),
            Phase(rng.uniform(0.5, 2.0), busy, gone=True),
            Phase(rng.uniform(1.0, 14.0), calm, gone=True),
            Phase(rng.uniform(1.0, 8.0), calm, fails=True),
        ]
    traffic.play()
    assert traffic.compute_share(traffic.sent) <= 1
    late = [at + rng.uniform(0.0, LATE_SECONDS) for at in traffic.sent]
    assert traffic.compute_share(late) <= 1
    assert traffic.compute_share([at + LATE_SECONDS for at in traffic.sent]) <= 1


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A time with one load and one set of faults."""

    seconds: float
    rate: float
    """Requests a second."""

    fails: bool
    """Whether each attempt that arrives fails, so that its request wants another one."""

    stands: bool
    """Whether the replicas that requests are sent to again read them only after the step."""

    restarted: float
    """Share of the daemons that restart at the start."""

    suspended: float
    """Share of the daemons that stand still for the step."""


@dataclasses.dataclass
class SteppedTraffic(Traffic):
    """Traffic to replicas of which some stand still, for however long."""

    arrived: list[float] = dataclasses.field(default_factory=list)
    """When retries arrived, in the order in which they were sent."""

    def play(self, steps: list[Step]) -> None:
        """Play one step after the other."""
        budgets = [self._start(0.0) for _ in range(self.daemons)]
        now = 0.0
        for step in steps:
            for number in range(int(step.restarted * self.daemons)):
                budgets[number] = self._start(now)
            running = budgets[int(step.suspended * self.daemons) :]
            ends_at = now + step.seconds
            unread: list[retries.RequestRetries] = []
            wanting: list[retries.RequestRetries] = []
            while running and now < ends_at:
                now = min(ends_at, now + TICK)
                wanting += self._send(step, running, now)
                wanting = [one for one in wanting if self._retry(one, step, now, ends_at, unread)]
            for one in unread:
                one.note_settled()
            now = ends_at

    def _send(
        self, step: Step, budgets: list[retries.SharedBudget], now: float
    ) -> list[retries.RequestRetries]:
        """Send the requests of a tick, each once; return those that have failed."""
        failed = []
        for _ in range(int(step.rate * TICK + self.rng.random())):
            budget = self.rng.choice(budgets)
            budget.note_request(now)
            self.requests.append(now)
            if step.fails:
                one = retries.RequestRetries(budget)
                one.note_sent()
                one.note_settled()
                failed.append(one)
        return failed

    def _retry(
        self,
        one: retries.RequestRetries,
        step: Step,
        now: float,
        ends_at: float,
        unread: list[retries.RequestRetries],
    ) -> bool:
        """Send a request again as often as it may be; return whether it still wants that."""
        while one.hold(now, self.daemons):
            one.note_sent()
            if step.stands:
                self.arrived.append(ends_at)
                unread.append(one)
                return False
            self.arrived.append(now)
            one.note_settled()
        return True


# Guards against retries above the budget that replicas read seconds after they were sent.
@hypothesis.settings(max_examples=300)
@hypothesis.given(
    st.integers(0, 10_000),
    st.sampled_from([1, 8]),
    st.lists(
        st.builds(
            Step,
            seconds=st.floats(0.25, 9.0),
            rate=st.sampled_from([0.0, 10.0, 40.0]),
            fails=st.booleans(),
            stands=st.booleans(),
            restarted=st.sampled_from([0.0, 0.0, 0.5, 1.0]),
            suspended=st.sampled_from([0.0, 0.0, 0.5, 1.0]),
        ),
        min_size=2,
        max_size=6,
    ),
)
def test_retries_that_replicas_read_late_keep_the_budget(
    seed: int, daemons: int, steps: list[Step]
) -> None:
    traffic = SteppedTraffic(random.Random(seed), daemons)
    traffic.play(steps)
    share = traffic.compute_share(traffic.arrived)
    hypothesis.target(share, label='share of the bound')
    assert share <= 1


def test_a_service_that_fails_gets_most_of_the_budget() -> None:
    traffic = Traffic(random.Random(1), 6)
    traffic.run(40.0, 30.0, 1000.0, 1.0)
    last = [at for at in traffic.sent if at > 30.0]
    allowed = (RATIO * 30.0 * WINDOW + SLACK) * retries.BUDGET_SAFETY_FACTOR
    assert len(last) > allowed * (1 - retries.SAVED_SHARE) * 0.9


def test_a_new_daemon_has_no_retries_and_earns_them_with_time_and_requests() -> None:
    budget = retries.SharedBudget(RATIO, SLACK, WINDOW, 0.0)
    assert budget.compute_left(0.0, 1) == 0.0
    earned = retries.BUDGET_SAFETY_FACTOR * (1 - retries.SAVED_SHARE)
    assert budget.compute_left(1.0, 1) == pytest.approx(SLACK / WINDOW * earned)
    for _ in range(10):
        budget.note_request(1.0)
    assert budget.compute_left(1.0, 1) == pytest.approx((SLACK / WINDOW + 10 * RATIO) * earned)


def test_saved_retries_are_limited_to_a_share_of_a_window() -> None:
    budget = retries.SharedBudget(RATIO, SLACK, WINDOW, 0.0)
    limit = SLACK * retries.BUDGET_SAFETY_FACTOR * retries.SAVED_SHARE
    assert budget.compute_left(1000.0, 1) == pytest.approx(limit)
    assert budget.compute_left(1000.0, 4) == pytest.approx(limit / 4)


def make_budget_of_one() -> retries.SharedBudget:
    """Return a budget of which one retry is saved, and that earns the next one only slowly."""
    slack = 1.0 / (retries.BUDGET_SAFETY_FACTOR * retries.SAVED_SHARE)
    budget = retries.SharedBudget(0.0, slack + 0.01, WINDOW, 0.0)
    assert 1.0 <= budget.compute_left(100.0, 1) < 1.1
    return budget


def test_a_reserved_retry_is_taken_from_others_until_it_is_released() -> None:
    budget = make_budget_of_one()
    one, other = retries.RequestRetries(budget), retries.RequestRetries(budget)
    assert one.reserve(100.0, 1)
    assert not other.reserve(100.0, 1)
    one.release()
    assert other.reserve(100.0, 1)


def test_a_reserved_retry_is_used_before_another_one_is_taken() -> None:
    budget = make_budget_of_one()
    one = retries.RequestRetries(budget)
    assert one.note_sent()
    assert one.reserve(100.0, 1)
    assert one.hold(100.0, 1)
    assert one.note_sent()
    assert budget.held == 0
    assert not one.has_any(100.0, 1)


# Guards against retries above the budget that wait for a replica while others are earned.
def test_a_held_retry_counts_as_saved_until_it_is_sent() -> None:
    budget = make_budget_of_one()
    waiting, later = retries.RequestRetries(budget), retries.RequestRetries(budget)
    assert waiting.note_sent()
    assert waiting.hold(100.0, 1)
    assert not later.hold(1000.0, 1)
    assert waiting.note_sent()
    waiting.note_settled()
    waiting.note_settled()
    assert not later.hold(1000.0, 1)
    assert later.hold(1000.0 + WINDOW, 1)


def test_retries_that_may_still_arrive_take_the_place_of_others() -> None:
    budget = make_budget_of_one()
    one, other = retries.RequestRetries(budget), retries.RequestRetries(budget)
    assert one.note_sent()
    assert one.hold(100.0, 1)
    assert one.note_sent()
    assert budget.unanswered == one.unanswered == 1
    # Whichever arrives first is no retry, and the other one still is.
    one.note_settled()
    one.close()
    assert budget.unanswered == 1
    assert not other.hold(1000.0, 1)
    one.note_settled()
    assert budget.unanswered == 0
    assert not other.hold(1000.0, 1)
    assert other.hold(1000.0 + WINDOW, 1)


def test_a_single_attempt_is_no_retry_whenever_it_arrives() -> None:
    budget = make_budget_of_one()
    one = retries.RequestRetries(budget)
    assert one.note_sent()
    assert budget.unanswered == 0
    one.note_settled()
    assert budget.unanswered == 0


def test_the_retries_held_last_are_withdrawn_as_the_requests_fall() -> None:
    budget = retries.SharedBudget(RATIO, SLACK, WINDOW, 0.0)
    for number in range(400):
        budget.note_request(90.5 + number / 50)
    waiting = [retries.RequestRetries(budget) for _ in range(100)]
    withdrawn: list[retries.RequestRetries] = []
    for one in waiting:
        one.on_withdrawn = functools.partial(withdrawn.append, one)
    held = [one for one in waiting if one.hold(100.0, 1)]
    assert len(held) == budget.held == int(budget.compute_limit(100.0, 1))
    budget.update(120.0, 1)
    left = int(SLACK * retries.BUDGET_SAFETY_FACTOR * retries.SAVED_SHARE)
    assert budget.held == left < len(held)
    assert withdrawn == held[: left - 1 : -1]
    assert not withdrawn[0].hold(120.0, 1)


def test_held_retries_are_withdrawn_as_more_processes_share_the_slack() -> None:
    budget = make_budget_of_one()
    held, reserved = retries.RequestRetries(budget), retries.RequestRetries(budget)
    withdrawn: list[str] = []
    held.on_withdrawn = lambda: withdrawn.append('held')
    assert held.hold(100.0, 1)
    budget.update(100.0, 2)
    assert withdrawn == ['held']
    held.close()
    assert reserved.reserve(200.0, 1)
    budget.update(200.0, 2)
    reserved.release()
    assert budget.held == 0


def test_a_request_that_ends_returns_what_it_has_not_sent() -> None:
    budget = make_budget_of_one()
    one, other = retries.RequestRetries(budget), retries.RequestRetries(budget)
    assert one.hold(100.0, 1)
    one.close()
    assert other.hold(100.0, 1)


def test_an_attempt_without_a_retry_is_counted_and_told() -> None:
    budget = make_budget_of_one()
    one, other = retries.RequestRetries(budget), retries.RequestRetries(budget)
    assert one.note_sent()
    assert not one.note_sent()
    assert not other.hold(100.0, 1)
