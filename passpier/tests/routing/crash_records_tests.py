"""Crash records in the registry, for processes that no peer can tell."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from passpier import exceptions
from passpier.clients import registry
from passpier.core import crashes, members, replica_processes
from passpier.daemon import peers, suspects
from passpier.routing import crash_records, pools, registry_mirror
from passpier.standins import virtual_time
from passpier.tests.routing import fleets

CRASHING = 6
OTHER = 8
PROCESS = replica_processes.ReplicaProcess('r1', 1000)

pytestmark = pytest.mark.usefixtures('virtual_clock')


class NoPeers:
    """The peer links of a process that reaches no other."""

    def register_handler(self, kind: object, handler: object) -> None:
        """Ignore the handler."""

    def send_all(self, addresses: object, message: object) -> None:
        """Drop the message."""


class Process:
    """One process's records of crashes."""

    def __init__(self, source: fleets.LeaseRegistry, name: str) -> None:
        own = members.Member(name, name, '10.0.0.1', 1, 2, 'd0')
        self.source = source
        self.known = registry_mirror.RegistryState(fleets.Records(), pools.Pools(10.0), 5.0)
        self.suspects = suspects.SuspectRequests(
            members.Membership(own, 1.0, 0.0), cast(peers.Peers, NoPeers()), ended, list
        )
        self.marks = crash_records.CrashRecords(
            cast(registry.Registry, source), self.known, self.suspects, name
        )

    async def observe_crash(
        self, fingerprint: int, replica_process: replica_processes.ReplicaProcess = PROCESS
    ) -> None:
        self.suspects.note_disconnect(fingerprint, replica_process)
        await asyncio.sleep(0.01)

    def read(self) -> crashes.CrashTracker:
        self.known.members.clear()
        self.known.members.update(self.source.items)
        self.marks.apply_records()
        return self.suspects.crashes


async def ended(replica_process: replica_processes.ReplicaProcess) -> bool:
    return True


def test_a_starting_process_knows_all_requests_running_at_a_crash() -> None:
    """A request noticed the crash later than another, and its record replaced the first."""

    async def run() -> None:
        source = fleets.LeaseRegistry()
        first = Process(source, 'i1')
        await first.observe_crash(CRASHING)
        await first.marks.write_records()
        await first.observe_crash(OTHER)
        await first.marks.write_records()
        known = Process(source, 'i2').read()
        assert known.count_crashes(CRASHING) == known.count_crashes(OTHER) == 1

    virtual_time.run(run())


def test_a_record_that_can_not_be_written_is_written_later() -> None:
    async def run() -> None:
        source = fleets.LeaseRegistry()
        first = Process(source, 'i1')
        source.unavailable = True
        await first.observe_crash(CRASHING)
        with pytest.raises(exceptions.StoreError):
            await first.marks.write_records()
        source.unavailable = False
        await first.marks.write_records()
        assert Process(source, 'i2').read().count_crashes(CRASHING) == 1
        written = len(source.items)
        await first.marks.write_records()
        assert len(source.items) == written

    virtual_time.run(run())


def test_one_trial_is_granted_over_all_processes() -> None:
    async def run() -> None:
        source = fleets.LeaseRegistry()
        processes = [Process(source, f'i{n}') for n in range(4)]
        claims = [await p.marks.claim_trial(CRASHING) for p in processes]
        assert claims == [True, False, False, False]
        source.unavailable = True
        assert not await processes[0].marks.claim_trial(OTHER)

    virtual_time.run(run())


def test_a_trial_known_to_be_granted_costs_no_call() -> None:
    async def run() -> None:
        source = fleets.LeaseRegistry()
        first, other = Process(source, 'i1'), Process(source, 'i2')
        assert await first.marks.claim_trial(CRASHING)
        other.read()
        granted = source.granted
        for _ in range(20):
            assert not await other.marks.claim_trial(CRASHING)
        assert source.granted == granted

    virtual_time.run(run())


def test_an_invalid_record_is_ignored() -> None:
    async def run() -> None:
        source = fleets.LeaseRegistry()
        source.items['own/suspects/i9/x'] = registry.Item('own/suspects/i9/x', b'{}', fleets.at(1))
        await Process(source, 'i1').observe_crash(CRASHING)
        assert not Process(source, 'i2').read().count_crashes(CRASHING)

    virtual_time.run(run())


def test_records_and_trials_last_over_a_return_of_the_registry() -> None:
    """Guards against crashes that nobody knows any more, and a second trial of the same request."""

    async def run() -> None:
        source = fleets.LeaseRegistry()
        processes = [Process(source, f'i{n}') for n in range(2)]
        tasks = [asyncio.ensure_future(p.marks.run()) for p in processes]
        for process in processes:
            process.known.revision = fleets.at(1)
        await processes[0].observe_crash(CRASHING)
        assert await processes[0].marks.claim_trial(OTHER)
        await asyncio.sleep(1.0)
        processes[1].read()
        await asyncio.sleep(1.0)
        source.items.clear()
        for process in processes:
            process.known.members.clear()
            process.known.revision = registry.Revision(fleets.TIMELINE + 1, 1)
        assert [await p.marks.claim_trial(OTHER) for p in processes] == [False, False]
        await asyncio.sleep(1.0)
        started_since = Process(source, 'i9')
        assert started_since.read().count_crashes(CRASHING) == 1
        assert not await started_since.marks.claim_trial(OTHER)
        for task in tasks:
            task.cancel()

    virtual_time.run(run())


def test_many_crashes_are_written_in_several_transactions() -> None:
    """Guards against a transaction that registries refuse for its size."""

    async def run() -> None:
        source = fleets.LeaseRegistry()
        first = Process(source, 'i1')
        for number in range(3 * crash_records.BATCH_SIZE):
            process = replica_processes.ReplicaProcess(f'r{number}', 1000)
            await first.observe_crash(CRASHING, process)
        await first.marks.write_records()
        assert len(source.items) == 3 * crash_records.BATCH_SIZE
        assert source.largest_write <= crash_records.BATCH_SIZE

    virtual_time.run(run())


PART = 101
"""A part of prompts, which has an odd fingerprint."""


def test_two_trials_of_a_part_are_granted_to_all_processes_together() -> None:
    async def run() -> None:
        source = fleets.LeaseRegistry()
        processes = [Process(source, f'i{n}') for n in range(4)]
        claims = []
        for process in processes:
            process.read()
            claims.append(await process.marks.claim_trial(PART))
        assert claims == [True, True, False, False]
        assert processes[3].read().get_trials(PART).count == crashes.MAX_TRIALS

    virtual_time.run(run())


def test_a_part_that_is_cleared_may_be_tried_again_at_the_next_crashes() -> None:
    """A sound part that many requests share was blocked for ten minutes in the second storm."""

    async def run() -> None:
        source = fleets.LeaseRegistry()
        first, other = Process(source, 'i1'), Process(source, 'i2')
        await first.observe_crash(PART)
        assert await first.marks.claim_trial(PART)
        assert other.read().get_trials(PART).count == 1
        task = asyncio.ensure_future(first.marks.run())
        first.suspects.note_success(PART)
        await asyncio.sleep(1.0)
        task.cancel()
        for process in (first, other):
            assert process.read().get_trials(PART).count == 0
        assert await other.marks.claim_trial(PART)

    virtual_time.run(run())


def test_a_starting_process_does_not_count_crashes_that_a_part_was_cleared_of() -> None:
    """Guards against blocking sound parts after a restart, with all their trials used up."""

    async def run() -> None:
        source = fleets.LeaseRegistry()
        first = Process(source, 'i1')
        await first.observe_crash(PART)
        await first.observe_crash(OTHER)
        await first.marks.write_records()
        first.suspects.note_success(PART)
        await first.marks.write_records()
        known = Process(source, 'i2').read()
        assert known.count_crashes(PART) == 0
        assert known.count_crashes(OTHER) == 1

    virtual_time.run(run())
