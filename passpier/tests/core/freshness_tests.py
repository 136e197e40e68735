"""Freshness of knowledge, against a registry that changes at random times."""

from __future__ import annotations

import random

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import freshness


def test_an_empty_watch_proves_the_end_of_its_wait() -> None:
    known = freshness.Freshness(5.0)
    known.prove_by_watch(10.0, 3.0, 13.01, True)
    assert known.proved_at == 13.0


def test_an_early_or_nonempty_watch_proves_the_time_when_it_was_sent() -> None:
    known = freshness.Freshness(5.0)
    known.prove_by_watch(10.0, 3.0, 11.0, True)
    assert known.proved_at == 10.0
    known.prove_by_watch(12.0, 3.0, 15.5, False)
    assert known.proved_at == 12.0


def test_nothing_is_fresh_before_the_first_proof() -> None:
    assert not freshness.Freshness(5.0).is_fresh(0.0)


def test_proofs_never_go_back() -> None:
    known = freshness.Freshness(5.0)
    known.prove(10.0)
    known.prove(4.0)
    assert known.proved_at == 10.0
    assert known.is_fresh(14.4)
    assert not known.is_fresh(14.6)


def test_proofs_cover_revocations_once_the_operator_has_written_them_again() -> None:
    """Guards against keys that are accepted because the copy lacks their revocation."""
    known = freshness.Freshness(5.0)
    known.prove(10.0)
    known.note_return(12.0)
    known.prove(12.0 + freshness.REWRITE_SECONDS - 0.1)
    assert known.compute_age(13.0) < 0.2
    assert not known.is_fresh(14.6)
    known.prove(12.0 + freshness.REWRITE_SECONDS)
    assert known.is_fresh(14.6)


@hypothesis.given(
    delays=st.lists(
        st.tuples(st.floats(0, 2), st.floats(0, 2), st.booleans()), min_size=1, max_size=12
    ),
    changes=st.lists(st.floats(0, 40), max_size=6),
)
def test_a_change_is_known_or_the_bound_has_passed(
    delays: list[tuple[float, float, bool]], changes: list[float]
) -> None:
    """The registry reports changes up to its response; calls are delayed and watches lost."""
    known = freshness.Freshness(5.0)
    now = 0.0
    known_up_to = 0.0
    known.prove(now)
    for out, back, cut in delays:
        wait = known.choose_wait(now, 0.3)
        sent_at, arrived = now, now + out
        pending = sorted(c for c in changes if known_up_to < c <= arrived + wait)
        if cut:
            now = arrived + back
            continue
        # The registry responds at the first change or at the end of the wait.
        ended = arrived + wait
        if pending:
            ended = min(ended, max(arrived, pending[0]))
        reported = [c for c in pending if c <= ended]
        now = ended + back
        known.prove_by_watch(sent_at, wait, now, not reported)
        known_up_to = ended
        unknown = [c for c in changes if known_up_to < c <= now]
        for change in unknown:
            assert change > known.proved_at
        assert known.proved_at <= known_up_to


def test_waits_get_shorter_as_the_proof_ages() -> None:
    known = freshness.Freshness(5.0)
    known.prove(100.0)
    assert known.choose_wait(100.0, 0.0) == freshness.WAIT_MAX
    assert known.choose_wait(102.75, 0.0) == 1.0
    assert known.choose_wait(110.0, 0.0) == freshness.WAIT_MIN


def test_daemons_woken_by_the_same_change_prove_freshness_at_different_times() -> None:
    rng = random.Random(5)
    worst = 0.0
    for _ in range(200):
        fleet = [freshness.Freshness(5.0) for _ in range(8)]
        for known in fleet:
            known.prove(0.0)
        first = min(known.choose_wait(0.7, rng.random()) for known in fleet)
        worst = max(worst, 0.7 + first)
    assert worst < 3.0


class SlowRenewal(freshness.Freshness):
    """Broken variant: the next proof comes when the last one is refused already."""

    def choose_wait(self, now: float, jitter: float) -> float:
        longest = freshness.WAIT_MAX * (1 - freshness.WAIT_SPREAD * jitter)
        remaining = self.proved_at + self.bound * freshness.RENEWAL_SHARE - now
        return min(longest, max(freshness.WAIT_MIN, remaining))


def find_worst_room(known: freshness.Freshness, seed: int, change_share: float) -> float:
    """Follow a registry that answers every watch; return the least room before a refusal.

    A watch brings a change with probability `change_share`, at any time up to the end of its wait.
    """
    rng = random.Random(seed)
    now = 0.0
    known.prove(now)
    worst = float('inf')
    for _ in range(400):
        sent_at = now
        wait = known.choose_wait(now, rng.random())
        changed = rng.random() < change_share
        ended_after = wait * rng.choice([1.0, rng.random()]) if changed else wait
        now = sent_at + ended_after + rng.uniform(0.004, 0.05)
        worst = min(worst, known.bound - freshness.BOUND_MARGIN - known.compute_age(now))
        known.prove_by_watch(sent_at, wait, now, not changed)
        if changed:
            now += known.choose_pause(now)
    return worst


BOUNDS = [0.8, 1.0, 1.5, 2.0, 2.5, 3.0, 5.0, 10.0]


@pytest.mark.parametrize('bound', BOUNDS)
@pytest.mark.parametrize('change_share', [0.0, 0.3, 0.9])
def test_answered_watches_keep_the_knowledge_fresh(bound: float, change_share: float) -> None:
    """Guards against a renewal that comes as late as the refusal, after a watch with a change."""
    for seed in range(20):
        assert find_worst_room(freshness.Freshness(bound), seed, change_share) > 0.0


def test_broken_variant_refuses_between_answered_watches() -> None:
    assert any(find_worst_room(SlowRenewal(2.0), seed, 0.3) <= 0.0 for seed in range(20))
