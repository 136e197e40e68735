"""Membership, entry ranking, planned stops and orders."""

from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import drain, entries, members, orders


def make_member(number: int, incarnation: str = '', domain: str = '') -> members.Member:
    return members.Member(
        f'vm-{number}',
        incarnation or f'i{number:04}',
        '127.0.0.1',
        8000 + number,
        9000 + number,
        domain or f'domain-{number % 4}',
    )


class Gossip:
    """Simulated daemons that send a heartbeat per second and lose a share of the messages."""

    def __init__(self, size: int, loss: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        known = [make_member(n) for n in range(size)]
        self.daemons = [members.Membership(m, 1.0, 0.0) for m in known]
        for daemon in self.daemons:
            for member in known:
                daemon.add(member, 0.0)
        self.stopped: set[int] = set()

    def run(self, rounds: int) -> None:
        for _ in range(rounds):
            self.now += 1.0
            for number, daemon in enumerate(self.daemons):
                if number not in self.stopped:
                    self.beat(daemon)

    def beat(self, daemon: members.Membership) -> None:
        daemon.advance(self.now, 1, 1, 1, False)
        for target in daemon.choose_targets(self.rng):
            number = int(target.name.removeprefix('vm-'))
            if number not in self.stopped and self.rng.random() >= self.loss:
                self.daemons[number].merge(daemon.make_digest(self.rng, self.now), self.now)


@pytest.mark.parametrize(('size', 'loss'), [(8, 0.0), (8, 0.3), (120, 0.1)])
def test_stopped_daemons_are_detected_and_live_ones_are_kept(size: int, loss: float) -> None:
    gossip = Gossip(size, loss, seed=size)
    gossip.run(20)
    gossip.stopped = {1, 5}
    timeout = gossip.daemons[0].compute_timeout()
    gossip.run(int(timeout) + 12)
    missing = 0
    for number, daemon in enumerate(gossip.daemons):
        if number in gossip.stopped:
            continue
        alive = {m.name for m in daemon.list_alive(gossip.now)}
        assert not alive & {'vm-1', 'vm-5'}
        missing += size - len(gossip.stopped) - len(alive)
    assert missing <= size * size * 0.01


@hypothesis.given(st.integers(2, 60), st.randoms(use_true_random=False))
def test_most_heartbeats_stay_in_the_own_failure_domain(size: int, rng: random.Random) -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    for number in range(1, size):
        own.add(make_member(number), 0.0)
    targets = own.choose_targets(rng)
    assert len({t.incarnation for t in targets}) == min(size - 1, members.FANOUT)
    remote = sum(t.failure_domain != own.own.failure_domain for t in targets)
    if size >= 12:
        assert remote == members.REMOTE_DOMAIN_TARGETS
    assert remote >= min(size - 1, members.REMOTE_DOMAIN_TARGETS)


def test_in_a_large_fleet_only_active_members_get_load_updates() -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    for number in range(1, 69):
        own.add(make_member(number), 0.0)
    # Operators check on all of them whether a configuration is in force.
    rates = {n: 40.0 if n < 12 else 1.5 for n in range(1, 69)}
    own.merge([members.Beat(f'i{n:04}', 1, rate=r) for n, r in rates.items()], 1.0)
    assert {m.name for m in own.list_load_recipients(1.0)} == {f'vm-{n}' for n in range(1, 12)}
    assert own.is_standby(1.0)
    own.advance(1.0, 0, 0, 0, False, rate=20.0)
    assert not own.is_standby(1.0)


def test_in_a_small_fleet_all_members_get_load_updates() -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    for number in range(1, 8):
        own.add(make_member(number), 0.0)
    assert len(own.list_load_recipients(1.0)) == 7
    assert not own.is_standby(1.0)


def test_an_older_incarnation_never_replaces_a_newer_one() -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    own.add(make_member(1, 'new'), 0.0)
    assert not own.add(make_member(1, 'aged'), 0.0)
    assert own.get('new') is not None
    assert own.add(make_member(1, 'newest'), 0.0)
    assert own.get('new') is None


def test_a_leaving_daemon_is_not_ranked() -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    own.add(make_member(1), 0.0)
    own.merge([members.Beat('i0001', 5, leaving=True)], 1.0)
    names = [e.incarnation for e in entries.rank_entries('a', own.list_serving(1.0), 3)]
    assert names == ['i0000']
    own.merge([members.Beat('i0001', 4, leaving=False)], 1.0)
    assert [m.incarnation for m in own.list_serving(1.0)] == ['i0000']


@hypothesis.given(st.text(max_size=8), st.integers(4, 40))
def test_entries_are_in_different_failure_domains(account: str, size: int) -> None:
    serving = [make_member(n) for n in range(size)]
    ranked = entries.rank_entries(account, serving, 3)
    assert len({e.failure_domain for e in ranked}) == 3


@hypothesis.given(st.integers(0, 39))
def test_a_lost_daemon_moves_only_the_accounts_that_it_served(lost: int) -> None:
    serving = [make_member(n, domain='one') for n in range(40)]
    rest = [m for m in serving if m.name != f'vm-{lost}']
    for account in map(str, range(50)):
        before = entries.rank_entries(account, serving, 1)[0]
        after = entries.rank_entries(account, rest, 1)[0]
        assert before == after or before.incarnation == f'i{lost:04}'


def test_a_planned_stop_serves_old_addresses_and_finishes_what_runs() -> None:
    stop = drain.Drain(entry_ttl=10.0, bound=60.0)
    assert stop.get_phase(3, 5.0) is drain.Phase.SERVING
    stop.begin(100.0)
    assert stop.get_phase(0, 110.0) is drain.Phase.ANNOUNCED
    assert stop.get_phase(1, 114.0) is drain.Phase.CLOSING
    assert stop.get_phase(0, 114.0) is drain.Phase.STOPPED
    assert stop.get_phase(1, 161.0) is drain.Phase.STOPPED
    stop.begin(120.0)
    assert stop.get_phase(1, 114.0) is drain.Phase.CLOSING
    stop.force()
    assert stop.get_phase(1, 114.0) is drain.Phase.STOPPED


def test_the_margin_of_a_stop_can_be_set() -> None:
    stop = drain.Drain(entry_ttl=1.0, bound=7.0, margin=2.0)
    stop.begin(100.0)
    assert stop.get_phase(1, 102.9) is drain.Phase.ANNOUNCED
    assert stop.get_phase(1, 103.1) is drain.Phase.CLOSING


class Engine:
    """An upstream that may check fencing tokens."""

    def __init__(self, checks: bool) -> None:
        self.checks = checks
        self.fence = 0
        self.version = 'v1'

    def take(self, fence: int, version: str) -> None:
        if self.checks and fence < self.fence:
            return
        self.fence = max(fence, self.fence)
        self.version = version


class NoWaitBook(orders.OrderBook):
    """Broken variant: a new lease holder doesn't wait for its predecessor's orders to end."""

    def _may_order(self, item: orders.Wanted, now: float) -> bool:
        return True


def simulate_handover(book_type: type[orders.OrderBook], checks: bool, late_order_at: float) -> str:
    """Deliver an old holder's order late, while a new holder maintains the wanted state."""
    engine = Engine(checks)
    book = book_type(fence=2, held_since=0.0)
    wanted = orders.Wanted('e', 'm', 'v2', (), checks)
    now = 0.0
    sent_late = False
    # One step per second, for long enough that the late order is corrected after the wait.
    while now < 3 * orders.LONGEST_ORDER:
        if not sent_late and now >= late_order_at:
            engine.take(1, 'v0')
            sent_late = True
        seen = [orders.Observed('e', engine.version)]
        for order in book.plan([wanted], seen, 2, now):
            engine.take(book.fence, order.weight_version)
            book.finish('e')
            if book_type is NoWaitBook:
                now = max(now, late_order_at)
                engine.take(1, 'v0')
                return engine.version
        now += 1.0
    return engine.version


@pytest.mark.parametrize('checks', [True, False])
@hypothesis.given(late_order_at=st.floats(0, orders.LONGEST_ORDER))
def test_a_late_order_is_corrected_in_the_end(checks: bool, late_order_at: float) -> None:
    assert simulate_handover(orders.OrderBook, checks, late_order_at) == 'v2'


def test_broken_variant_is_caught() -> None:
    assert simulate_handover(NoWaitBook, False, 10.0) == 'v0'


def test_orders_respect_the_load_limit_and_keep_replicas_serving() -> None:
    book = orders.OrderBook(fence=1, held_since=-orders.LONGEST_ORDER, max_loads=2)
    wanted = [orders.Wanted(str(n), 'm', 'v2', (), False) for n in range(6)]
    seen = [orders.Observed(str(n), 'v1') for n in range(6)]
    assert len(book.plan(wanted, seen, 6, 0.0)) == 2
    assert not book.plan(wanted, seen, 6, 1.0)
    book.expire(orders.LONGEST_ORDER + 1)
    assert len(book.plan(wanted, seen, 2, 40.0)) == 1


def test_old_beats_do_not_restore_removed_members() -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    own.add(make_member(1), 0.0)
    own.merge([members.Beat('i0001', 7)], 1.0)
    own.remove('i0001')
    assert own.merge([members.Beat('i0001', 7)], 20.0) == []
    assert not own.add(make_member(1), 20.0)
    assert own.merge([members.Beat('i0001', 8)], 21.0) == ['i0001']
    assert own.add(make_member(1), 21.0)


def test_members_that_have_forgotten_each_other_find_each_other_in_the_store() -> None:
    """Guards against a daemon that was isolated for long and then remained a stranger for ever."""
    own = members.Membership(make_member(0), 1.0, 0.0)
    own.add(make_member(1), 0.0)
    own.merge([members.Beat('i0001', 7)], 1.0)
    own.forget_gone(2.0 + members.FORGET_SECONDS)
    late = 3.0 + members.FORGET_SECONDS
    assert not own.add(make_member(1), late)
    assert own.add(make_member(1), late, listed=True)
    own.merge([members.Beat('i0001', 7)], late)
    assert [m.name for m in own.list_alive(late + 0.1 + members.FIRST_CONTACT_BEATS)] == ['vm-0']
    own.merge([members.Beat('i0001', 8)], late + 5.0)
    assert len(own.list_alive(late + 5.0)) == 2


def test_stopped_members_are_not_restored_by_the_store() -> None:
    """Its lease may still be valid."""
    own = members.Membership(make_member(0), 1.0, 0.0)
    own.add(make_member(1), 0.0)
    own.merge([members.Beat('i0001', 7)], 1.0)
    own.remove('i0001')
    assert not own.add(make_member(1), 2.0, listed=True)


def test_silent_members_are_left_out_of_digests() -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    own.add(make_member(1), 0.0)
    own.merge([members.Beat('i0001', 7)], 1.0)
    rng = random.Random(1)
    assert {b.incarnation for b in own.make_digest(rng, 2.0)} == {'i0000', 'i0001'}
    late = 2.0 + own.compute_timeout()
    assert {b.incarnation for b in own.make_digest(rng, late)} == {'i0000'}


def test_a_listed_daemon_without_heartbeats_times_out_early() -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    own.add(make_member(1), 10.0)
    assert [m.name for m in own.list_serving(11.0)] == ['vm-0', 'vm-1']
    assert [m.name for m in own.list_serving(10.1 + members.FIRST_CONTACT_BEATS)] == ['vm-0']
    own.merge([members.Beat('i0001', 1)], 14.0)
    assert len(own.list_serving(14.0 + members.FIRST_CONTACT_BEATS)) == 2


def test_a_restart_with_an_earlier_clock_is_added_once_the_old_one_is_silent() -> None:
    own = members.Membership(make_member(0), 1.0, 0.0)
    own.add(make_member(1, 'later'), 0.0)
    own.merge([members.Beat('later', 5)], 1.0)
    assert not own.add(make_member(1, 'earlier'), 2.0)
    silent = 2.0 + own.compute_timeout()
    assert own.add(make_member(1, 'earlier'), silent)
    assert own.get('later') is None
