"""Member entries of other writers in the registry."""

from __future__ import annotations

import logging
from typing import Any

import msgspec
import pytest

from passpier import clocks
from passpier.clients import registry
from passpier.core import members
from passpier.standins import virtual_time
from passpier.tests.routing import fleets, roster_tests

HEARTBEATS = 3
KEY = fleets.Records.own_prefix + 'members/other'
OTHER = msgspec.to_builtins(
    members.Member('other', 'i9', '10.0.0.9', 8000, 9000, 'd0', capacity=4.0, tunnel_port=7000)
)
PORTS = (0, -1, 65536, 10**30, '8000', None, 1.5)
INVALID: dict[str, tuple[Any, ...]] = {
    'name': ('', 'vm-0', 7),
    'incarnation': ('', 'i' * 100_000),
    'ip': ('', 'host.example', '::1', '0.0.0.1', '224.0.0.1', '256.0.0.1', '10.0.0.9\n', '10.0.9'),
    'caller_port': PORTS,
    'peer_port': PORTS,
    'tunnel_port': PORTS[1:],
    'failure_domain': (None, 'd' * 100_000),
    'capacity': (-1.0, 1e300, '4'),
}
CASES = [(field, value) for field, values in INVALID.items() for value in values]


def play(entries: list[bytes]) -> list[str]:
    """Apply entries one after the other, each over some heartbeats; return the known members."""

    async def run() -> list[str]:
        own = members.Member('vm-0', 'i0', '10.0.0.1', 8000, 9000, 'd0')
        state = roster_tests.make_state()
        made = roster_tests.make_roster(0, [own], state)
        for number, data in enumerate(entries):
            state.members[KEY] = registry.Item(KEY, data, registry.Revision(1, number + 1))
            for _ in range(HEARTBEATS):
                made.sync_registry(clocks.now())
        return [member.incarnation for member in made.membership.list_known()]

    return virtual_time.run(run())


# Guards against invalid members, of which no router can be told and to which none can connect.
@pytest.mark.parametrize(('field', 'value'), CASES)
def test_invalid_member_entry_is_ignored(field: str, value: Any) -> None:
    assert play([msgspec.json.encode({**OTHER, field: value})]) == ['i0']


def test_valid_member_entry_that_follows_an_invalid_one_is_applied() -> None:
    assert play([b'{', msgspec.json.encode(OTHER)]) == ['i0', 'i9']


# Guards against a log that an invalid entry fills, as it is read at each heartbeat.
def test_invalid_member_entry_is_logged_once_for_each_revision(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level(logging.ERROR):
        play([b'{', b'['])
    assert len(caplog.records) == 2
