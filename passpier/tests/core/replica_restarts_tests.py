"""Until when a process of a replica ran that another one has replaced."""

from __future__ import annotations

import pytest

from passpier.core import replica_processes, replica_restarts

FIRST = replica_processes.ReplicaProcess('r', 1)
SECOND = replica_processes.ReplicaProcess('r', 2)


# Guards against relying on entries that are late, or on clocks that were set.
@pytest.mark.parametrize(('absent_at', 'started_at'), [(50.0, 60.0), (60.0, 50.0)])
def test_earlier_sign_of_a_restart_counts(absent_at: float, started_at: float) -> None:
    history = replica_restarts.RestartHistory()
    history.note(FIRST, absent_at, started_at)
    last = 50.0 - replica_restarts.MARGIN
    assert history.precedes(FIRST, last)
    assert not history.precedes(FIRST, last + 0.1)


def test_nothing_precedes_a_restart_that_was_not_seen() -> None:
    history = replica_restarts.RestartHistory()
    history.note(FIRST, float('-inf'), 50.0)
    assert not history.precedes(FIRST, 0.0)
    assert not history.precedes(SECOND, 0.0)


def test_oldest_restarts_are_forgotten() -> None:
    history = replica_restarts.RestartHistory()
    for number in range(replica_restarts.MAX_PROCESSES + 1):
        history.note(replica_processes.ReplicaProcess('r', number), 50.0, 50.0)
    assert not history.precedes(replica_processes.ReplicaProcess('r', 0), 0.0)
    assert history.precedes(FIRST, 0.0)
