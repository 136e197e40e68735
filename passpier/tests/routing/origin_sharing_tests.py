"""Routers that tell each other where streams began, in virtual time, and of which some are lost."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import cast

import msgspec
import pytest

from passpier import clocks
from passpier.clients import registry
from passpier.core import catalogue, members, replica_restarts, routes, stream_origins
from passpier.daemon import messages, peers
from passpier.routing import origin_records, origin_sharing, pools, registry_mirror, version_records
from passpier.standins import network, virtual_time
from passpier.tests.routing import fleets

pytestmark = pytest.mark.usefixtures('virtual_clock')

SERVICE = 's'
STREAM_SECONDS = 12.0
LONG = 60.0
"""Seconds after which a router has seen all versions that a stream may have begun at."""


class Prover:
    """Confirms the state of a router that reaches the registry; replicas report nothing new."""

    def __init__(self, fleet: Fleet, address: str, state: registry_mirror.RegistryState) -> None:
        self.fleet = fleet
        self.address = address
        self.state = state

    async def survey(self, service: str) -> None:
        await asyncio.sleep(0.01)

    async def prove(self, since: float) -> bool:
        self.fleet.proofs += 1
        await asyncio.sleep(0.01)
        if self.fleet.is_registry_away or self.address in self.fleet.net.cut:
            return False
        for change in self.fleet.recorded:
            self.state.pools.apply_change(change)
        self.state.freshness.prove(clocks.now())
        return True


class Fleet:
    """Routers in several failure domains, each with its own view of the replicas."""

    def __init__(self, count: int, versions: list[str], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.net = network.Network(self.rng)
        self.registry = fleets.LeaseRegistry()
        self.sharing: list[origin_sharing.OriginSharing] = []
        self.states: list[registry_mirror.RegistryState] = []
        self.memberships: list[members.Membership] = []
        self.addresses: list[str] = []
        self.beats = 1
        self.written = 0
        self.proofs = 0
        self.is_registry_away = False
        self.recorded: list[catalogue.Change] = []
        """The entries in the registry that only some routers have been told of."""

        fleet = [
            members.Member(f'vm-{n}', f'{n:05x}', '10.0.0.1', n, n, f'd{n % 4}')
            for n in range(count)
        ]
        for own in fleet:
            membership = members.Membership(own, 0.5, clocks.now())
            for other in fleet:
                membership.add(other, clocks.now())
            self.memberships.append(membership)
            link = cast(peers.Peers, self.net.connect(own))
            state = registry_mirror.RegistryState(fleets.Records(), pools.Pools(10.0), 5.0)
            state.pools.apply_configuration(
                routes.Configuration(1, services={SERVICE: routes.Service(SERVICE, 100)})
            )
            state.freshness.prove(clocks.now())
            self.states.append(state)
            source = cast(registry.Registry, self.registry)
            records = origin_records.OriginRecords(source, state, membership)
            prover = Prover(self, own.peer, state)
            version_state = version_records.VersionRecords(source, state, membership, prover)
            self.sharing.append(
                origin_sharing.OriginSharing(
                    state, membership, link, records, version_state, prover, prover
                )
            )
            self.addresses.append(own.peer)
        self.send_beats()
        for number, version in enumerate(versions):
            self.add_replica(f'r{number}', version)

    def send_beats(self, among: slice = slice(None)) -> None:
        """Let all routers, or some of them, have just heard of each other."""
        self.beats += 1
        for membership in self.memberships[among]:
            heard = [m.own for m in self.memberships[among]]
            beats = [members.Beat(m.incarnation, self.beats) for m in heard]
            membership.merge(beats, clocks.now())

    def add_replica(
        self,
        id: str,
        version: str,
        started_ms: int = 0,
        routers: slice = slice(None),
        unchanged_at: float = float('-inf'),
    ) -> None:
        """Let some or all routers know a replica, or a later process of it.

        The registry didn't have it yet at `unchanged_at`.
        """
        entry = catalogue.Entry(
            id, SERVICE, f'{id}:1', 'd0', 8, False, {}, started_ms, software=version
        )
        change = catalogue.Change(id, entry, 'recorded')
        for state in self.states[routers]:
            state.pools.apply_change(change, unchanged_at)
        if len(self.states[routers]) < len(self.states):
            self.recorded.append(change)

    def remove_replica(self, id: str) -> None:
        for state in self.states:
            state.pools.apply_change(catalogue.Change(id, None, 'entry removed'))

    def begin(self, number: int, stream: str, version: str) -> None:
        origin = stream_origins.Origin(SERVICE, version)
        self.sharing[number].note_begun(stream, origin, STREAM_SECONDS)

    async def find(self, number: int, stream: str) -> str:
        origin = await self.sharing[number].find(stream, SERVICE, STREAM_SECONDS)
        return origin.software if origin else ''

    def kill(self, number: int) -> None:
        self.net.cut.add(self.addresses[number])

    def isolate(self, routers: slice) -> None:
        """Cut some routers off from the registry and from all others."""
        for number in range(*routers.indices(len(self.addresses))):
            self.net.cut.add(self.addresses[number])

    def reconnect(self) -> None:
        """End all cuts, and let the routers hear of each other."""
        self.net.cut.clear()
        self.send_beats()

    def record_versions(self, versions: list[str]) -> None:
        """Have the registry list these versions of the service."""
        key = f'own/software/{SERVICE}'
        self.written += 1
        for state in self.states:
            data = msgspec.json.encode(versions)
            state.members[key] = registry.Item(key, data, fleets.at(self.written))

    def mark_watched(self) -> None:
        """Let all routers have watched the service for long."""
        for state in self.states:
            state.pools.observed_since = clocks.now() - LONG


def run(
    count: int, versions: list[str], check: Callable[[Fleet], Awaitable[None]], seed: int = 1
) -> None:
    async def play() -> None:
        await check(Fleet(count, versions, seed))

    virtual_time.run(play())


@pytest.mark.parametrize('count', [2, 3, 8, 60])
def test_origin_is_known_after_the_first_router_was_lost(count: int) -> None:
    async def check(fleet: Fleet) -> None:
        for number in range(20):
            fleet.begin(0, f's{number}', f'v{number % 2}')
        await asyncio.sleep(0.1)
        fleet.kill(0)
        for number in range(20):
            finder = fleet.rng.randrange(1, count)
            assert await fleet.find(finder, f's{number}') == f'v{number % 2}'

    run(count, ['v0', 'v1'], check)


def test_most_origins_are_known_after_half_of_the_routers_were_lost() -> None:
    async def check(fleet: Fleet) -> None:
        for number in range(100):
            fleet.begin(number % 4, f's{number}', 'v0')
        await asyncio.sleep(0.1)
        for number in range(4):
            fleet.kill(number)
        known = [await fleet.find(4 + number % 4, f's{number}') for number in range(100)]
        assert known.count('v0') >= 90
        assert set(known) <= {'v0', ''}

    run(8, ['v0', 'v1'], check)


def test_unknown_origin_is_not_guessed_while_there_are_several_versions() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.mark_watched()
        began = clocks.now()
        assert await fleet.find(0, 'stream') == ''
        assert clocks.now() - began <= origin_sharing.ASK_SECONDS

    run(4, ['v0', 'v1'], check)


def test_unknown_origin_is_the_only_version_of_as_long_as_streams_last() -> None:
    async def check(fleet: Fleet) -> None:
        assert await fleet.find(0, 'stream') == ''
        fleet.mark_watched()
        assert await fleet.find(0, 'stream') == 'v0'
        fleet.add_replica('other', 'v1')
        fleet.remove_replica('other')
        assert await fleet.find(0, 'stream') == ''
        await asyncio.sleep(STREAM_SECONDS + origin_sharing.LIFETIME_MARGIN + 1.0)
        fleet.send_beats()
        for state in fleet.states:
            state.freshness.prove(clocks.now())
        assert await fleet.find(0, 'stream') == 'v0'

    run(4, ['v0', 'v0'], check)


def test_version_that_only_a_peer_knows_rules_out_an_inference() -> None:
    """Guards against a router that is cut off from the registry and has missed a release."""

    async def check(fleet: Fleet) -> None:
        fleet.mark_watched()
        entry = catalogue.Entry('new', SERVICE, 'n:1', 'd0', 8, False, {}, software='v1')
        change = catalogue.Change('new', entry, 'recorded')
        fleet.states[2].pools.apply_change(change)
        assert await fleet.find(0, 'stream') == ''
        fleet.kill(2)
        assert await fleet.find(0, 'stream') == 'v0'

    run(4, ['v0'], check)


def test_isolated_router_does_not_infer_an_origin() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.mark_watched()
        fleet.is_registry_away = True
        await asyncio.sleep(3.1)
        assert await fleet.find(0, 'stream') == ''
        fleet.send_beats()
        assert await fleet.find(0, 'stream') == 'v0'
        fleet.net.cut.update(fleet.addresses[1:])
        assert await fleet.find(0, 'stream') == ''

    run(4, ['v0'], check)


def test_router_that_has_just_started_tells_peers_even_of_the_only_version() -> None:
    """Guards against streams that nobody can resume because all routers have just started."""

    async def check(fleet: Fleet) -> None:
        fleet.begin(0, 'stream', 'v0')
        await asyncio.sleep(0.1)
        fleet.kill(0)
        assert await fleet.find(1, 'stream') == 'v0'

    run(4, ['v0'], check)


def test_running_streams_are_told_when_a_second_version_appears() -> None:
    """Nobody is told before."""

    async def check(fleet: Fleet) -> None:
        fleet.mark_watched()
        upkeep = asyncio.ensure_future(fleet.sharing[0].run())
        for number in range(10):
            fleet.begin(0, f's{number}', 'v0')
        await asyncio.sleep(1.0)
        assert fleet.net.carried == 0
        fleet.add_replica('other', 'v1')
        await asyncio.sleep(1.0)
        fleet.kill(0)
        for number in range(10):
            assert await fleet.find(1 + number % 7, f's{number}') == 'v0'
        upkeep.cancel()

    run(8, ['v0'], check)


def test_stream_that_goes_on_keeps_its_record_alive() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.begin(0, 'stream', 'v0')
        await asyncio.sleep(STREAM_SECONDS)
        fleet.send_beats()
        fleet.begin(1, 'stream', 'v0')
        await asyncio.sleep(STREAM_SECONDS)
        fleet.send_beats()
        assert await fleet.find(2, 'stream') == 'v0'

    run(4, ['v0', 'v1'], check)


def test_origin_that_became_uncertain_is_forgotten_by_peers() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.begin(0, 'stream', 'v0')
        await asyncio.sleep(0.1)
        fleet.sharing[0].forget('stream', SERVICE)
        await asyncio.sleep(0.1)
        for number in range(8):
            assert await fleet.find(number, 'stream') == ''

    run(8, ['v0', 'v1'], check)


def test_peers_reject_the_origin_of_a_process_that_they_know_to_have_been_replaced() -> None:
    """Guards against a router that learns late of a replica's restart with another version."""

    async def check(fleet: Fleet) -> None:
        fleet.add_replica('r', 'v0', started_ms=1)
        fleet.add_replica('r', 'v1', started_ms=2, routers=slice(1, None))
        heard: list[messages.ProcessReplaced] = []
        link = fleet.net.links[fleet.addresses[0]]
        link.register_handler(messages.ProcessReplaced, lambda *received: heard.append(received[2]))
        origin = stream_origins.Origin(SERVICE, 'v0', 'r', 1)
        fleet.sharing[0].note_begun('stream', origin, STREAM_SECONDS)
        await asyncio.sleep(0.1)
        assert len(heard) == origin_sharing.HOLDERS
        assert {m.process for m in heard} == {origin.process}
        fleet.kill(0)
        assert await fleet.find(1, 'stream') == ''

    run(4, ['v0', 'v1'], check)


# Guards against streams of two versions: a record may be older than the news of a restart.
@pytest.mark.parametrize('informed', [[0], [1, 2, 3], [2]])
def test_origin_of_a_process_that_was_replaced_after_it_was_recorded_is_unknown(
    informed: list[int],
) -> None:
    async def check(fleet: Fleet) -> None:
        fleet.add_replica('r', 'v0', started_ms=1)
        origin = stream_origins.Origin(SERVICE, 'v0', 'r', 1)
        fleet.sharing[0].note_begun('stream', origin, STREAM_SECONDS)
        await asyncio.sleep(0.1)
        for number in informed:
            fleet.add_replica('r', 'v1', started_ms=2, routers=slice(number, number + 1))
        for number in informed:
            assert await fleet.find(number, 'stream') == ''

    run(4, ['v0', 'v1'], check)


# Guards against relying on a record again once the successor of its process has gone as well.
def test_origin_stays_unknown_after_the_successor_of_its_process_has_gone() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.add_replica('r', 'v0', started_ms=1)
        origin = stream_origins.Origin(SERVICE, 'v0', 'r', 1)
        fleet.sharing[0].note_begun('stream', origin, STREAM_SECONDS)
        await asyncio.sleep(0.1)
        fleet.add_replica('r', 'v1', started_ms=2)
        fleet.remove_replica('r')
        for number in range(4):
            assert await fleet.find(number, 'stream') == ''

    run(4, ['v0', 'v1'], check)


def read_unix_ms() -> int:
    return int(clocks.read_time_of_day() * 1000)


# Guards against refusing all streams of replicas that have ended since.
def test_origin_stays_known_if_it_was_recorded_long_before_the_restart() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.add_replica('r', 'v0', started_ms=1)
        origin = stream_origins.Origin(SERVICE, 'v0', 'r', 1)
        fleet.sharing[0].note_begun('stream', origin, STREAM_SECONDS)
        await asyncio.sleep(replica_restarts.MARGIN + 0.5)
        fleet.send_beats()
        fleet.kill(0)
        started_ms = read_unix_ms()
        fleet.add_replica('r', 'v1', started_ms, slice(1, 7), unchanged_at=clocks.now())
        # This one has just started.
        fleet.add_replica('r', 'v1', started_ms, slice(7, 8))
        for number in range(1, 8):
            assert await fleet.find(number, 'stream') == 'v0'

    run(8, ['v0', 'v1'], check)


@pytest.mark.parametrize(('entry_age', 'uptime'), [(0.0, 2.0), (2.0, 0.0)])
def test_origin_is_unknown_if_the_replica_may_have_restarted_before(
    entry_age: float, uptime: float
) -> None:
    async def check(fleet: Fleet) -> None:
        fleet.add_replica('r', 'v0', started_ms=1)
        origin = stream_origins.Origin(SERVICE, 'v0', 'r', 1)
        fleet.sharing[0].note_begun('stream', origin, STREAM_SECONDS)
        await asyncio.sleep(replica_restarts.MARGIN + 0.5)
        fleet.send_beats()
        started_ms = read_unix_ms() - int(uptime * 1000)
        fleet.add_replica('r', 'v1', started_ms, unchanged_at=clocks.now() - entry_age)
        for number in range(8):
            assert await fleet.find(number, 'stream') == ''

    run(8, ['v0', 'v1'], check)


def test_peers_accept_the_origin_of_a_process_whose_successor_has_the_same_version() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.add_replica('r', 'v0', started_ms=1)
        fleet.add_replica('r', 'v0', started_ms=2, routers=slice(1, None))
        origin = stream_origins.Origin(SERVICE, 'v0', 'r', 1)
        fleet.sharing[0].note_begun('stream', origin, STREAM_SECONDS)
        await asyncio.sleep(0.1)
        fleet.kill(0)
        assert await fleet.find(1, 'stream') == 'v0'

    run(4, ['v0', 'v1'], check)


def test_telling_of_a_stream_takes_as_many_messages_in_a_large_fleet() -> None:
    async def check(fleet: Fleet) -> None:
        for number in range(50):
            fleet.begin(0, f's{number}', 'v0')
        assert fleet.net.carried == 50 * origin_sharing.HOLDERS
        fleet.net.carried = 0
        await asyncio.sleep(0.1)
        fleet.kill(0)
        await fleet.find(1, 's0')
        assert fleet.net.carried <= 2 * origin_sharing.PEERS_ASKED

    run(60, ['v0', 'v1'], check)


# Guards against streams of a second version that pass for some of the first one after a restart.
def test_new_streams_stay_at_the_recorded_version_until_the_second_one_is_recorded() -> None:
    async def check(fleet: Fleet) -> None:
        sharing = fleet.sharing[0]
        assert sharing.choose_version(SERVICE) is None, 'no record'
        fleet.record_versions(['v0'])
        assert sharing.choose_version(SERVICE) is None, 'no other version'
        fleet.add_replica('late', 'v1')
        assert sharing.choose_version(SERVICE) == 'v0'
        fleet.record_versions(['v0', 'v1'])
        assert sharing.choose_version(SERVICE) is None
        fleet.record_versions(['v0'])
        fleet.remove_replica('r0')
        assert sharing.choose_version(SERVICE) is None, 'gone'

    run(2, ['v0'], check)


def test_unknown_origin_is_the_only_recorded_version_unless_another_one_serves() -> None:
    async def check(fleet: Fleet) -> None:
        assert await fleet.find(1, 'a') == ''
        fleet.record_versions(['v0'])
        assert await fleet.find(1, 'a') == 'v0'
        fleet.add_replica('late', 'v1')
        assert await fleet.find(1, 'a') == ''
        fleet.remove_replica('late')
        fleet.record_versions(['v0', 'v1'])
        assert await fleet.find(1, 'a') == ''

    run(2, ['v0'], check)


# Guards against streams of two versions: a router that is cut off misses the versions that join.
@pytest.mark.parametrize('seconds', [0.05, 1.3, 2.9])
def test_isolated_router_does_not_take_its_state_for_complete(seconds: float) -> None:
    async def check(fleet: Fleet) -> None:
        fleet.mark_watched()
        fleet.isolate(slice(0, 1))
        await asyncio.sleep(seconds)
        fleet.add_replica('new', 'v1', routers=slice(1, None))
        fleet.begin(1, 'stream', 'v1')
        assert await fleet.find(0, 'stream') == ''
        fleet.reconnect()
        assert await fleet.find(0, 'stream') == 'v1'

    run(4, ['v0'], check)


# Guards against a few routers that are cut off together and confirm each other's old state.
def test_minority_of_routers_does_not_infer_an_origin() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.mark_watched()
        fleet.isolate(slice(2, None))
        fleet.is_registry_away = True
        await asyncio.sleep(LONG)
        fleet.mark_watched()
        fleet.send_beats(slice(0, 2))
        fleet.add_replica('new', 'v1', routers=slice(2, None))
        assert await fleet.find(0, 'stream') == ''

    run(4, ['v0'], check)


# Guards against most routers, cut off from the registry and from the one that has seen it since.
def test_majority_of_routers_does_not_infer_an_origin_while_another_one_is_missing() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.mark_watched()
        fleet.isolate(slice(3, None))
        fleet.is_registry_away = True
        fleet.add_replica('new', 'v1', routers=slice(3, None))
        for pause in (0.05, 10.0):
            await asyncio.sleep(pause)
            fleet.send_beats(slice(0, 3))
            assert await fleet.find(0, 'stream') == ''

    run(4, ['v0'], check)


# Guards against calls that can't change the answer, in each release.
def test_state_is_not_proved_while_a_service_has_several_versions() -> None:
    async def check(fleet: Fleet) -> None:
        fleet.mark_watched()
        assert await fleet.find(0, 'stream') == ''
        assert fleet.proofs == 0

    run(4, ['v0', 'v1'], check)
