"""What replica processes have asked for outlasts their entries, and nothing else does."""

from __future__ import annotations

from passpier.core import replica_processes, unlisted_processes

PROCESS = replica_processes.ReplicaProcess('r1', 1)


def test_backoff_is_returned_once_to_the_process_that_asked_for_it() -> None:
    unlisted = unlisted_processes.UnlistedProcesses()
    unlisted.note_removed(PROCESS, 13.0, 10.0)
    assert unlisted.take_backoff(replica_processes.ReplicaProcess('r1', 2), 11.0) == 0.0
    assert unlisted.take_backoff(PROCESS, 11.0) == 2.0
    assert unlisted.take_backoff(PROCESS, 11.0) == 0.0


def test_backoff_that_is_over_is_forgotten() -> None:
    unlisted = unlisted_processes.UnlistedProcesses()
    unlisted.note_removed(PROCESS, 9.0, 10.0)
    assert unlisted.take_backoff(PROCESS, 10.0) == 0.0
    unlisted.note_removed(PROCESS, 11.0, 10.0)
    assert unlisted.take_backoff(PROCESS, 12.0) == 0.0


def test_the_number_of_remembered_processes_is_bounded() -> None:
    unlisted = unlisted_processes.UnlistedProcesses()
    most = unlisted_processes.MAX_PROCESSES
    processes = [replica_processes.ReplicaProcess(f'r{number}', 1) for number in range(most + 1)]
    for process in processes:
        unlisted.note_removed(process, 20.0, 10.0)
    assert unlisted.take_backoff(processes[0], 10.0) == 0.0
    assert unlisted.take_backoff(processes[1], 10.0) == 10.0
