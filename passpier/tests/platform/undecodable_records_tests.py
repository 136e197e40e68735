"""Records of other writers among the routers' own, which can't be decoded."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec

from passpier.platform import names
from passpier.standins.platform import deployment, routers, stream_clients
from passpier.tests.platform import harness, software_versions_tests

DEEP = b'[' * 100_000 + b']' * 100_000
"""A value that is nested deeper than any decoder follows."""

LARGE = b'x' * 3 * 1024 * 1024
LARGE_ENTRIES = 8
"""Entries that together exceed a response of the registry."""

MEMBERS = names.OWN_PREFIX + 'members/'
ORIGINS = names.OWN_PREFIX + 'origins/'
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
