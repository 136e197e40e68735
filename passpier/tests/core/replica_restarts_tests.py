"""Whether a successor of a replica's process may have done what was recorded of the process."""

from __future__ import annotations

import pytest

from passpier.core import replica_processes, replica_restarts

FIRST = replica_processes.ReplicaProcess('r', 1)
SECOND = replica_processes.ReplicaProcess('r', 2)
LATER = 100.0


def replace(
    history: replica_restarts.RestartHistory,
    process: replica_processes.ReplicaProcess,
    software: str,
    absent_at: float,
    started_at: float,
) -> None:
    """Let a process end, and another one follow it."""
    history.note_removed(process, software)
    successor = replica_processes.ReplicaProcess(process.id, process.started_ms + 1)
    history.note_successor(successor, absent_at, started_at)


# Guards against relying on entries that are late, or on clocks that were set.
@pytest.mark.parametrize(('absent_at', 'started_at'), [(50.0, 60.0), (60.0, 50.0)])
def test_earlier_sign_of_a_restart_counts(absent_at: float, started_at: float) -> None:
    history = replica_restarts.RestartHistory()
    replace(history, FIRST, 'v1', absent_at, started_at)
    last = 50.0 - replica_restarts.MARGIN
    assert not history.may_be_other_version(FIRST, 'v1', 'v2', last)
    assert history.may_be_other_version(FIRST, 'v1', 'v2', last + 0.1)


def test_successor_of_the_same_version_changes_nothing() -> None:
    history = replica_restarts.RestartHistory()
    replace(history, FIRST, 'v1', 50.0, 50.0)
    assert not history.may_be_other_version(FIRST, 'v1', 'v1', LATER)


# Guards against taking only the present process for a successor.
def test_other_version_in_between_counts() -> None:
    history = replica_restarts.RestartHistory()
    replace(history, FIRST, 'v1', 50.0, 50.0)
    replace(history, SECOND, 'v2', 60.0, 60.0)
    assert history.may_be_other_version(FIRST, 'v1', 'v1', LATER)
    assert history.may_be_other_version(SECOND, 'v2', 'v1', LATER)


# Guards against forgetting a successor that has gone as well.
def test_successor_counts_after_its_replica_has_gone() -> None:
    history = replica_restarts.RestartHistory()
    assert not history.may_be_other_version(FIRST, 'v1', None, LATER)
    replace(history, FIRST, 'v1', 50.0, 50.0)
    history.note_removed(SECOND, 'v2')
    assert history.may_be_other_version(FIRST, 'v1', None, LATER)
    assert not history.may_be_other_version(FIRST, 'v1', None, 50.0 - replica_restarts.MARGIN)
    assert not history.may_be_other_version(SECOND, 'v2', None, LATER)


def test_everything_is_possible_if_a_restart_was_not_seen() -> None:
    history = replica_restarts.RestartHistory()
    assert history.may_be_other_version(FIRST, 'v1', 'v1', 0.0)
    replace(history, FIRST, 'v1', float('-inf'), 50.0)
    assert history.may_be_other_version(FIRST, 'v1', 'v2', 0.0)


def test_oldest_restarts_are_forgotten() -> None:
    history = replica_restarts.RestartHistory()
    for number in range(replica_restarts.MAX_PROCESSES + 1):
        process = replica_processes.ReplicaProcess(f'r{number}', 1)
        replace(history, process, 'v1', 50.0, 50.0)
    first, second = (replica_processes.ReplicaProcess(f'r{n}', 1) for n in range(2))
    assert history.may_be_other_version(first, 'v1', 'v2', 0.0)
    assert not history.may_be_other_version(second, 'v1', 'v2', 0.0)


def test_process_that_comes_back_after_its_removal_has_no_successor_yet() -> None:
    history = replica_restarts.RestartHistory()
    history.note_removed(FIRST, 'v1')
    history.note_successor(FIRST, 50.0, 0.0)
    history.note_successor(SECOND, 60.0, 60.0)
    assert not history.may_be_other_version(FIRST, 'v1', 'v2', 60.0 - replica_restarts.MARGIN)
    assert history.may_be_other_version(FIRST, 'v1', 'v2', LATER)
