"""No two holders give orders within the hold time, whatever is lost or paused."""

from __future__ import annotations

import dataclasses
import random

import hypothesis
import hypothesis.strategies as st

from passpier.core import order_lease

HOLD = 3.0
TTL = 1.5


@dataclasses.dataclass
class Lease:
    """The lease in the registry."""

    owner: int = -1
    ends_at: float = 0.0
    revision: int = 0


class Daemon:
    """One daemon; a `broken` one doesn't check its own clock for the end of the lease."""

    def __init__(self, number: int, broken: bool) -> None:
        self.number = number
        self.broken = broken
        self.holder = order_lease.OrderLease(HOLD, TTL)
        self.paused_until = 0.0
        self.cut_until = 0.0

    def may_order(self, now: float) -> bool:
        if self.broken:
            return bool(self.holder.token) and now >= self.holder.may_order_from
        return self.holder.may_order(now)


def simulate(
    seed: int, broken: bool = False, no_wait: bool = False
) -> list[tuple[float, int, int]]:
    """Return the orders given, as time, daemon and token."""
    rng = random.Random(seed)
    lease = Lease()
    daemons = [Daemon(n, broken) for n in range(4)]
    orders = []
    now = 0.0
    while now < 60.0:
        now += 0.05
        if lease.owner >= 0 and now >= lease.ends_at:
            lease.owner = -1
        for daemon in daemons:
            if rng.random() < 0.004:
                daemon.paused_until = now + rng.uniform(0.5, 6.0)
            if rng.random() < 0.004:
                daemon.cut_until = now + rng.uniform(0.5, 6.0)
            if now < daemon.paused_until:
                continue
            step(daemon, lease, now, rng, no_wait)
            if rng.random() < 0.3 and daemon.may_order(now):
                orders.append((now, daemon.number, daemon.holder.token))
    return orders


def step(daemon: Daemon, lease: Lease, now: float, rng: random.Random, no_wait: bool) -> None:
    """Renew the lease or seek election; a response may be lost after the effect."""
    holder = daemon.holder
    reached = now >= daemon.cut_until
    answered = reached and rng.random() > 0.2
    if holder.token:
        if reached and lease.owner == daemon.number:
            lease.ends_at = now + TTL
        if answered and lease.owner == daemon.number:
            holder.renew(now)
        elif answered or not (holder.is_held(now) or daemon.broken):
            holder.resign()
    elif reached and lease.owner < 0 and rng.random() < 0.2:
        before = lease.revision
        lease.revision += 1
        lease.owner, lease.ends_at = daemon.number, now + TTL
        if answered:
            holder.elect(lease.revision, now, now, before)
            if no_wait:
                holder.may_order_from = now


def find_violations(orders: list[tuple[float, int, int]]) -> list[str]:
    violations = []
    for (t1, d1, k1), (t2, d2, k2) in zip(orders, orders[1:], strict=False):
        if d1 != d2 and t2 - t1 < HOLD:
            violations.append(f'{d1} and {d2} within {t2 - t1:.2f} s')
        if k2 < k1:
            violations.append('a token fell')
    tokens: dict[int, int] = {}
    for _, daemon, token in orders:
        if tokens.setdefault(token, daemon) != daemon:
            violations.append('two holders of one token')
    return violations


@hypothesis.given(st.integers(0, 100_000))
def test_no_two_holders_within_the_hold_time(seed: int) -> None:
    assert find_violations(simulate(seed)) == []


def test_orders_are_given() -> None:
    assert all(simulate(seed) for seed in range(5))


def test_broken_variants_are_caught() -> None:
    assert any(find_violations(simulate(seed, broken=True)) for seed in range(30))
    assert any(find_violations(simulate(seed, no_wait=True)) for seed in range(30))


def test_a_reelected_holder_does_not_wait_again() -> None:
    holder = order_lease.OrderLease(HOLD, TTL)
    holder.elect(7, 10.0, 10.0, succeeds=4)
    holder.renew(13.0)
    assert holder.may_order(13.1)
    holder.resign()
    assert not holder.may_order(13.2)
    holder.elect(9, 20.0, 20.1, succeeds=7)
    assert holder.may_order(20.2)
    holder.resign()
    holder.elect(12, 30.0, 30.1, succeeds=10)
    assert not holder.may_order(30.2)


def test_a_second_election_does_not_shorten_the_wait() -> None:
    holder = order_lease.OrderLease(HOLD, TTL)
    holder.elect(7, 10.0, 10.0, succeeds=4)
    holder.resign()
    holder.elect(8, 11.5, 11.5, succeeds=7)
    assert not holder.may_order(12.0)
    holder.renew(13.0)
    assert holder.may_order(13.1)


def test_an_election_with_a_lost_response_counts_as_one_of_another_daemon() -> None:
    holder = order_lease.OrderLease(HOLD, TTL)
    holder.elect(8, 11.5, 11.5, succeeds=7)
    assert not holder.may_order(12.0)


def test_the_lease_ends_by_the_own_clock() -> None:
    holder = order_lease.OrderLease(HOLD, TTL)
    holder.elect(7, 10.0, 10.0, succeeds=0)
    holder.renew(13.1)
    assert holder.may_order(13.2)
    assert not holder.may_order(13.1 + TTL)
