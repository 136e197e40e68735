"""Pauses of a replica, each of which has its own end."""

from __future__ import annotations

from passpier.core import pauses

LOADING, SILENT = pauses.Pause.LOADING, pauses.Pause.SILENT
NEVER = float('-inf')


def test_the_last_pause_to_end_counts() -> None:
    known = pauses.Pauses()
    assert known.until == NEVER
    known.begin(LOADING, 5.0, 2)
    known.begin(SILENT, 3.0)
    assert known.until == 5.0
    known.end(LOADING, 2)
    assert known.until == 3.0
    known.end(LOADING, 2)
    known.end(SILENT)
    assert known.until == NEVER


def test_a_shorter_pause_does_not_shorten_a_longer_one() -> None:
    known = pauses.Pauses()
    known.begin(SILENT, 5.0)
    known.begin(SILENT, 4.0)
    assert known.until == 5.0


def test_the_end_of_an_older_load_does_not_end_a_newer_one() -> None:
    known = pauses.Pauses()
    known.begin(LOADING, 5.0, 8)
    known.begin(LOADING, 6.0, 9)
    known.end(LOADING, 8)
    assert known.until == 6.0
    known.end(LOADING, 10)
    assert known.until == NEVER
