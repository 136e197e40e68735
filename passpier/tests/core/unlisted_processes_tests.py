"""What replica processes have asked for outlasts their entries, and nothing else does."""

from __future__ import annotations

import pytest

from passpier.core import replica_processes, unlisted_processes

PROCESS = replica_processes.ReplicaProcess('r1', 1)
BACKOFF = unlisted_processes.Asked(13.0, False)
LEAVING = unlisted_processes.Asked(float('-inf'), True)


@pytest.mark.parametrize('asked', [BACKOFF, LEAVING])
def test_what_was_asked_for_is_returned_once_to_its_process(
    asked: unlisted_processes.Asked,
) -> None:
    unlisted = unlisted_processes.UnlistedProcesses()
    unlisted.note_removed(PROCESS, asked, 10.0)
    assert unlisted.take(replica_processes.ReplicaProcess('r1', 2)) is None
    assert unlisted.take(PROCESS) == asked
    assert unlisted.take(PROCESS) is None


def test_backoff_that_is_over_is_forgotten() -> None:
    unlisted = unlisted_processes.UnlistedProcesses()
    unlisted.note_removed(PROCESS, BACKOFF, 13.0)
    assert unlisted.take(PROCESS) is None


def test_the_number_of_remembered_processes_is_bounded() -> None:
    unlisted = unlisted_processes.UnlistedProcesses()
    most = unlisted_processes.MAX_PROCESSES
    processes = [replica_processes.ReplicaProcess(f'r{number}', 1) for number in range(most + 1)]
    for process in processes:
        unlisted.note_removed(process, BACKOFF, 10.0)
    assert unlisted.take(processes[0]) is None
    assert unlisted.take(processes[1]) == BACKOFF
