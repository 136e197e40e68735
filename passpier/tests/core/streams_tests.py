"""A stream is delivered in order and completely, or is not reported as complete."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import streams

CHUNKS = st.lists(
    st.tuples(st.sampled_from(['mine', 'other']), st.integers(0, 2), st.booleans()),
    min_size=1,
    max_size=8,
)
MANY = hypothesis.settings(max_examples=500)


class TrustingTracker(streams.Tracker):
    """Broken variant: doesn't check the attempt id."""

    def check(self, attempt: str, sequence: int, final: bool) -> streams.Verdict:
        return super().check(self.attempt, sequence, final)


class LenientTracker(streams.Tracker):
    """Broken variant: accepts a chunk after a gap."""

    def check(self, attempt: str, sequence: int, final: bool) -> streams.Verdict:
        verdict = super().check(attempt, sequence, final)
        if verdict is streams.Verdict.GAP:
            self.next_sequence = sequence + 1
            return streams.Verdict.DELIVER
        return verdict


def check_delivery(kind: type[streams.Tracker], chunks: list[tuple[str, int, bool]]) -> None:
    tracker = kind('mine')
    delivered = []
    for attempt, sequence, final in chunks:
        verdict = tracker.check(attempt, sequence, final)
        if verdict is streams.Verdict.GAP:
            break
        if verdict is streams.Verdict.DELIVER:
            delivered.append((attempt, sequence))
    assert delivered == [('mine', i) for i in range(len(delivered))]


@MANY
@hypothesis.given(CHUNKS)
def test_chunks_of_the_attempt_are_delivered_in_order(chunks: list[tuple[str, int, bool]]) -> None:
    check_delivery(streams.Tracker, chunks)


@pytest.mark.parametrize('kind', [TrustingTracker, LenientTracker])
def test_broken_variants_are_caught(kind: type[streams.Tracker]) -> None:
    @MANY
    @hypothesis.given(CHUNKS)
    def prove(chunks: list[tuple[str, int, bool]]) -> None:
        check_delivery(kind, chunks)

    with pytest.raises(AssertionError):
        prove()
