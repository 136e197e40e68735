"""Records of other writers among the routers' own, which can't be decoded."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec
import pytest

from passpier.platform import names
from passpier.standins.platform import deployment, routers, stream_clients
from passpier.tests.platform import harness, software_versions_tests

DEEP = b'[' * 100_000 + b']' * 100_000
"""A value that is nested deeper than any decoder follows."""

LARGE = b'x' * 3 * 1024 * 1024
LARGE_ENTRIES = 8
"""Entries that together exceed a response of the registry."""

SHORT_DEEP = b'[' * 2000 + b']' * 2000
"""The same in few bytes, for many records."""

MEMBERS = names.OWN_PREFIX + 'members/'
ORIGINS = names.OWN_PREFIX + 'origins/'
PREFIXES = (
    names.REPLICA_PREFIX,
    MEMBERS,
    ORIGINS,
    *(names.OWN_PREFIX + kind for kind in ('suspects/', 'trials/', 'software/', 'other/')),
    names.VERSION_PREFIX,
)
RECORD_COUNT = 4000
HEARTBEATS = 1.5
"""Seconds in which a router applies the list of members several times."""


# Guards against routers that end, again after each start, as one member record is nested deeply.
def test_router_runs_beside_a_deeply_nested_member_record(tmp_path: pathlib.Path) -> None:
    async def check(running: deployment.Deployment, process: routers.RouterProcess) -> None:
        running.store.put_bytes(MEMBERS + 'other', b'{"other":' + DEEP + b'}')
        await asyncio.sleep(HEARTBEATS)
        assert process.is_running
        assert (await running.ask_at(process.caller, '/safe/x')).status == 200

    harness.run_process_check(tmp_path, check)


# Guards against resumed streams without any answer, as one record of origins is nested deeply.
def test_resumed_stream_is_answered_beside_a_deeply_nested_record_of_origins() -> None:
    async def check(running: deployment.Deployment) -> None:
        software_versions_tests.add_models(running, ['v1', 'v1.1'])
        record = msgspec.json.encode(['llm', 'v1', ['lost']])[:-1] + b',"",0,' + DEEP + b']'
        running.store.put_bytes(ORIGINS + 'other/0', b'[' + record + b']')
        await software_versions_tests.wait_known(running)
        stream = stream_clients.Stream('one', harness.PROMPT_HEADERS)
        stream.events.append(stream_clients.Event(0, 'v1'))
        stream.first_attempt = 'lost'
        assert not await stream.read(running, running.routers[0].options.caller)
        assert stream.bodies == [b'{"error":"unknown_stream"}']

    harness.run_check(check)


def get_version(running: deployment.Deployment, number: int) -> int:
    """Return the version of the configuration that a router has."""
    return running.routers[number].registry_state.configuration_version


# Guards against routers that stop following the registry, as its changes exceed a response.
def test_routers_follow_the_registry_past_large_entries() -> None:
    async def check(running: deployment.Deployment) -> None:
        for number in range(LARGE_ENTRIES):
            running.store.put_bytes(f'{names.REPLICA_PREFIX}large-{number}', LARGE)
        running.configure()
        await harness.wait_for(lambda: get_version(running, 0) == running.version)
        running.add_router('vm-1', 'zone-1')
        await running.wait_ready(20.0)
        assert (await running.ask('/safe/x', 1)).status == 200

    harness.run_check(check)


ODD_RECORDS = (b'', b'{', b'[]', b'{"other":' + SHORT_DEEP + b'}', b'9' * 5000, b'\xff')


# Guards against routers that fall behind, as they decode thousands of odd records again and again.
def test_routers_serve_beside_thousands_of_odd_records() -> None:
    async def check(running: deployment.Deployment) -> None:
        for number in range(RECORD_COUNT):
            data = ODD_RECORDS[number % len(ODD_RECORDS)]
            prefix = PREFIXES[number % len(PREFIXES)]
            running.store.put_bytes(f'{prefix}odd-{number}', data)
        running.configure()
        await harness.wait_for(lambda: get_version(running, 0) == running.version)
        running.add_router('vm-1', 'zone-1')
        await running.wait_ready(20.0)
        for entry in range(2):
            assert (await running.ask('/safe/x', entry)).status == 200
            resumed = await running.ask('/resume/x', entry, headers=harness.PROMPT_HEADERS)
            assert resumed.status == 200

    harness.run_check(check)


# Guards against a router that no starting router finds, as another writer has replaced its entry.
@pytest.mark.parametrize('data', ODD_RECORDS, ids=range(len(ODD_RECORDS)))
def test_replaced_entry_of_a_live_member_is_restored(data: bytes) -> None:
    async def check(running: deployment.Deployment) -> None:
        roster = running.routers[0].roster
        await harness.wait_for(lambda: roster.is_listed)
        running.store.put_bytes(MEMBERS + 'vm-0', data)
        await harness.wait_for(lambda: not roster.is_listed)
        await harness.wait_for(lambda: roster.is_listed)

    harness.run_check(check)


# Guards against requests that a replica gets while its entry is odd, and after it is restored.
def test_replica_is_used_again_once_its_replaced_entry_is_restored() -> None:
    async def check(running: deployment.Deployment) -> None:
        pools = running.routers[0].pools
        for data in ODD_RECORDS:
            running.store.put_bytes(names.REPLICA_PREFIX + 'app-0', data)
            await harness.wait_for(lambda: 'app-0' not in pools.replicas)
            assert (await running.ask('/safe/x')).status == 200
            running.write_entry('app-0')
            await harness.wait_for(lambda: 'app-0' in pools.replicas)

    harness.run_check(check)
