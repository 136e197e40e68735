"""Shares of the refusals that a brittle replica bears."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from passpier.core import refusals, replicas, throttles

NAMES = [f'vm-{number}' for number in range(420)]


def build_shares(limit: float, count: int) -> list[throttles.Share]:
    names = NAMES[:count]
    return [refusals.compute_share('r1', limit, name, names) for name in names]


@hypothesis.given(st.integers(0, 40), st.integers(1, 420))
def test_refusals_of_all_daemons_in_a_second_stay_within_the_limit(limit: int, count: int) -> None:
    """Each daemon causes as many refusals as it has tokens, and more as it gets them."""
    for step in (0.05, 0.3, 1.0):
        refused: list[float] = []
        buckets = [throttles.Throttle(share, 0.0) for share in build_shares(limit, count)]
        for tick in range(int(4.0 / step)):
            now = tick * step
            refused += [now for bucket in buckets if bucket.share.burst and bucket.take(now)]
        for at in refused:
            assert sum(at <= other < at + 1.0 for other in refused) <= limit


@hypothesis.given(st.integers(1, 40), st.integers(1, 420))
def test_some_daemon_may_always_send(limit: int, count: int) -> None:
    assert any(share.rate for share in build_shares(limit, count))


def make_replica(share: throttles.Share) -> replicas.Replica:
    replica = replicas.Replica('r1', 'a:1', 'r1', 'd0', slots=4)
    replica.refusals = throttles.Throttle(share, 0.0)
    return replica


def test_a_request_that_finds_room_for_certain_needs_no_token() -> None:
    replica = make_replica(refusals.NO_SHARE)
    assert replicas.is_open(replica, 0.0)
    replicas.begin_dispatch(replica, 'one', 0, 0.0)
    assert not replicas.is_open(replica, 0.0)
    replicas.note_first_token(replica, 'one', 0.1)
    assert replicas.is_open(replica, 0.1)


def test_nothing_waits_at_a_brittle_replica() -> None:
    replica = make_replica(throttles.Share(100.0, 100.0))
    for number in range(replica.slots):
        assert replicas.is_open(replica, 10.0)
        replicas.begin_dispatch(replica, f'n{number}', 0, 10.0)
    assert not replicas.is_open(replica, 10.0)


def test_a_token_is_returned_unless_the_request_is_refused() -> None:
    replica = make_replica(throttles.Share(0.5, 1.0))
    replica.refused_at = 10.0
    replicas.begin_dispatch(replica, 'one', 0, 10.0)
    assert not replicas.is_open(replica, 10.0)
    replicas.end_dispatch(replica, 'one', 10.1)
    assert replicas.is_open(replica, 10.1)
    replicas.begin_dispatch(replica, 'two', 0, 10.1)
    replicas.note_refusal(replica, 'two', 10.2)
    replicas.end_dispatch(replica, 'two', 10.2)
    assert not replicas.is_open(replica, 10.3)
    # The next token comes after two seconds.
    assert replicas.is_open(replica, 12.2)
