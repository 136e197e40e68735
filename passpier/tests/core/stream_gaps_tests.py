"""The longest gap of a stream, as operators see it in the log."""

from __future__ import annotations

from passpier.core import stream_gaps


def test_the_longest_gap_is_kept_with_the_time_of_its_end() -> None:
    """Guards against logging the last gap, or the wait for the first event, as the longest."""
    gaps = stream_gaps.StreamGaps()
    for now in (5.0, 5.1, 5.9, 6.0):
        gaps.note_event(now)
    assert round(gaps.longest, 6) == 0.8
    assert gaps.ended_at == 5.9
    assert gaps.first_at == 5.0


def test_a_stream_of_one_event_has_no_gap() -> None:
    gaps = stream_gaps.StreamGaps()
    gaps.note_event(5.0)
    gaps.note_sent(5.0, 5.3)
    assert gaps.ended_at is None
    assert round(gaps.longest_send, 6) == 0.3
