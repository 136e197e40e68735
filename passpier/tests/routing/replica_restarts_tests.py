"""Messages about a replica process that has ended must not affect its successor.

A replica restarts under its id with older weights, an empty cache and a new count of orders.
Entries, reports, responses and peers' messages about both processes arrive in any order.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, cast

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier import clocks
from passpier.clients import exchanges, registry
from passpier.core import (
    attempts,
    catalogue,
    choice,
    members,
    pauses,
    prompts,
    replica_memory,
    replica_processes,
    routes,
)
from passpier.daemon import loads, messages, peers
from passpier.routing import (
    dialect,
    placement_sharing,
    pools,
    probing,
    registry_follower,
    registry_mirror,
    response_reader,
    rollouts,
    roster,
    sources,
)
from passpier.standins import network, virtual_time
from passpier.tests.routing import rollouts_tests

in_virtual_time = pytest.mark.usefixtures('virtual_clock')

ID = 'r1'
MODEL = 'model'
OLD = replica_processes.ReplicaProcess(ID, 1000)
NEW = replica_processes.ReplicaProcess(ID, 2000)
OLD_VERSIONS = (7, 8, 9)
NEW_VERSIONS = (1, 2, 3)
PEER = 'i-peer'


def make_entry(
    replica_process: replica_processes.ReplicaProcess, version: int, draining: bool = False
) -> catalogue.Entry:
    return catalogue.Entry(
        replica_process.id,
        's',
        f'{replica_process.id}:1',
        'd0',
        8,
        draining,
        {MODEL: version},
        replica_process.started_ms,
    )


def make_job() -> choice.Job:
    parts = (prompts.Part('aa', 800), prompts.Part('own', 50))
    return prompts.build_job(prompts.Prompt(MODEL, parts), '', 1)


class Records:
    """Registry entries as `START VERSION STATE`."""

    configuration_key = 'configuration'
    version_prefix = 'weights/'
    replica_prefix = 'replicas/'
    own_prefix = 'own/'

    def decode_configuration(self, data: bytes) -> routes.Configuration:
        engine = routes.Engine((MODEL,), 8, 10_000)
        return routes.Configuration(1, services={'s': routes.Service('s', 100, engine)})

    def decode_replica(self, id: str, data: bytes) -> catalogue.Entry:
        born, version, state = data.decode().split()
        return make_entry(
            replica_processes.ReplicaProcess(id, int(born)), int(version), state == 'draining'
        )

    def decode_named_version(self, data: bytes) -> tuple[str, int]:
        return MODEL, int(data)


class Process:
    """All components of a router that track replicas, with one peer."""

    def __init__(self) -> None:
        self.known = registry_mirror.RegistryState(Records(), pools.Pools(10.0), 5.0)
        self.pools = self.known.pools
        net = network.Network(random.Random(1))
        own = members.Member('vm-0', 'i0', '10.0.0.1', 1, 2, 'd0')
        link = cast(peers.Peers, net.connect(own))
        membership = members.Membership(own, 1e6, clocks.now())
        self.sources = sources.CacheSources(self.pools)
        self.sharing = placement_sharing.PlacementSharing(self.sources, membership, link)
        self.loads = loads.Loads(membership, self.pools, link)
        self.rollouts = rollouts.Rollouts(
            cast(registry.Registry, None),
            self.known,
            cast(registry_follower.RegistryFollower, None),
            cast(roster.Roster, rollouts_tests.Roster()),
            cast(dialect.Engines, None),
            cast(rollouts.Paths, None),
            link,
            cast(dialect.Options, rollouts_tests.Options()),
            random.Random(1),
        )
        self.put(1, 'configuration', b'-')

    def put(self, revision: int, key: str, data: bytes) -> None:
        at = registry.Revision(0, revision)
        now = clocks.now()
        items = (registry.Item(key, data, at),)
        self.known.apply_watch(registry.Changes(items, at, now, now), 0.0, now)

    def record(
        self,
        revision: int,
        replica_process: replica_processes.ReplicaProcess,
        version: int,
        state: str = 'ready',
    ) -> None:
        self.put(
            revision, f'replicas/{ID}', f'{replica_process.started_ms} {version} {state}'.encode()
        )


Event = Callable[[Process], Any]


def report(replica_process: replica_processes.ReplicaProcess, version: int) -> Event:
    """A report of one process, in response to a request to whichever process is known."""

    def happen(process: Process) -> None:
        received = dialect.Report({MODEL: version}, False, 1, 0, 0, replica_process.started_ms)
        process.known.apply_report(process.pools.get(ID).process, received)

    return happen


def test_a_report_on_memory_belongs_to_one_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a restarted replica that counts as full, or whose capacity is another's."""
    monkeypatch.setattr(clocks, 'now', lambda: 100.0)
    process = Process()
    process.record(2, OLD, 7)
    assert process.pools.get(ID).memory_capacity == 10_000
    received = dialect.Report(
        {MODEL: 7}, False, 1, 0, 0, OLD.started_ms, memory_used=9_000, memory_total=9_500
    )
    assert process.known.apply_report(OLD, received)
    replica = process.pools.get(ID)
    assert replica_memory.get_capacity(replica) == 9_500
    assert not replica_memory.has_memory(replica, 1_000, 100.1)
    process.record(3, NEW, 1)
    process.known.apply_report(NEW, received)
    replica = process.pools.get(ID)
    assert replica_memory.get_capacity(replica) == 10_000
    assert replica_memory.has_memory(replica, 1_000, 100.1)


def answer(replica_process: replica_processes.ReplicaProcess, version: int) -> Event:
    return lambda process: process.pools.update_version(replica_process, version, 'answer')


def loaded(replica_process: replica_processes.ReplicaProcess, version: int) -> Event:
    message = messages.WeightsLoaded(ID, version, version, replica_process.started_ms)
    return lambda process: process.rollouts._handle_loaded(PEER, 'p:1', message)


def loading(replica_process: replica_processes.ReplicaProcess, version: int) -> Event:
    message = messages.WeightsLoading(ID, 100.0, version, replica_process.started_ms)
    return lambda process: process.rollouts._handle_loading(PEER, 'p:1', message)


def placed(replica_process: replica_processes.ReplicaProcess, version: int) -> Event:
    job = make_job()
    rows = [(ID, replica_process.started_ms, str(version), job.chain, list(job.block_ends))]
    return lambda process: process.sharing._handle_placed(PEER, 'p:1', messages.PlacedPrompts(rows))


def load(replica_process: replica_processes.ReplicaProcess, _: int) -> Event:
    message = messages.ReplicaLoads([(ID, replica_process.short_id, (900, 0, 0, 0), 5)], True)
    return lambda process: process.loads._handle_loads(PEER, 'p:1', message)


def fail(replica_process: replica_processes.ReplicaProcess, _: int) -> Event:
    def happen(process: Process) -> None:
        for _ in range(5):
            process.pools.note_failure(replica_process)

    return happen


def replaced(replica_process: replica_processes.ReplicaProcess, _: int) -> Event:
    return lambda process: process.pools.mark_replaced(replica_process)


def leave(replica_process: replica_processes.ReplicaProcess, version: int) -> Event:
    """The last entry of the process that ended, delivered late by a slow listing."""
    return lambda process: process.record(3, replica_process, version, 'draining')


_EVENTS = st.sampled_from([report, answer, loaded, loading, placed, load, fail, replaced, leave])
_OLD_EVENTS = st.lists(st.tuples(_EVENTS, st.sampled_from(OLD_VERSIONS)), max_size=12)
_NEW_EVENTS = st.lists(
    st.tuples(st.sampled_from([report, answer, loaded]), st.sampled_from(NEW_VERSIONS)), max_size=6
)


@hypothesis.given(
    before=_OLD_EVENTS,
    after=_OLD_EVENTS,
    new=_NEW_EVENTS,
    first=st.sampled_from(['entry', 'report']),
    order=st.randoms(use_true_random=False),
)
def test_an_ended_process_leaves_no_state_behind(
    before: Sequence[Any],
    after: Sequence[Any],
    new: Sequence[Any],
    first: str,
    order: random.Random,
) -> None:
    """Weights, cache, loads, pauses, failures or leaving state of the old process remained."""
    process = Process()
    process.record(2, OLD, 7)
    for make_event, version in before:
        make_event(OLD, version)(process)
    if first == 'entry':
        process.record(4, NEW, 1)
    else:
        report(NEW, 1)(process)
    later = [w(OLD, v) for w, v in after] + [w(NEW, v) for w, v in new]
    order.shuffle(later)
    for event in later:
        event(process)
    replica = process.pools.get(ID)
    now = clocks.now()
    assert replica.process == NEW
    assert int(replica.weight_version) == max([1, *(v for _, v in new)])
    assert not process.pools.cache.match(ID, make_job().chain, now).blocks
    assert not replica.peers
    assert replica.paused_until < now
    assert not process.pools.ejector.is_ejected(ID, now)
    assert [r.process for r in process.pools.list_serving('s')] == [NEW]


@hypothesis.given(
    events=st.lists(
        st.tuples(st.sampled_from([report, answer, loaded, placed]), st.sampled_from([OLD, NEW])),
        max_size=12,
    )
)
def test_after_a_clock_jump_the_entry_decides(events: Sequence[Any]) -> None:
    """A new process with an earlier start time is known only by its registry entry.

    Late messages of the process before, whose start time is later, would bring that one back.
    """
    process = Process()
    process.record(2, NEW, 7)
    process.record(4, OLD, 1)
    for make_event, replica_process in events:
        make_event(replica_process, 7 if replica_process == NEW else 2)(process)
    replica = process.pools.get(ID)
    assert replica.process == OLD
    assert int(replica.weight_version) in (1, 2)


def test_an_older_entry_restores_no_ended_process() -> None:
    """The replica reported its restart before the registry did; then its older entry arrived."""
    process = Process()
    process.record(2, OLD, 7)
    report(NEW, 1)(process)
    process.record(3, OLD, 9, 'draining')
    assert process.pools.get(ID).process == NEW
    assert process.pools.list_serving('s')
    process.record(4, NEW, 2)
    assert process.pools.get(ID).weight_version == '2'


def test_an_ended_process_is_no_source_of_cached_parts() -> None:
    """The restarted replica was named as the source of parts that its predecessor had cached."""
    process = Process()
    process.record(2, OLD, 7)
    process.put(5, 'replicas/r2', b'1000 7 ready')
    job = make_job()
    process.sources.record_read(OLD, '7', job.chain, job.block_ends, 1)
    prompt = prompts.Prompt(MODEL, (prompts.Part('aa', 800), prompts.Part('own', 50)))
    asking = process.pools.get('r2')
    assert process.sources.choose(asking, job, prompt, 'salt').fetch == f'{ID}:1'
    process.record(6, NEW, 7)
    assert process.sources.choose(asking, job, prompt, 'salt').fetch == ''


class Engines(rollouts_tests.Engines):
    """Replicas that can restart: with version 1, and with orders counted from 0."""

    def __init__(self) -> None:
        super().__init__()
        self.born: dict[str, int] = {}
        self.counted: dict[str, int] = {}
        self.expected: list[tuple[int, int]] = []
        """For each order, the start of the process that received it and the count it expected."""

    async def report(self, address: str, incarnation: str) -> dialect.Report:
        await asyncio.sleep(0.005)
        versions = {MODEL: self.versions[incarnation]}
        orders = self.counted.get(incarnation, 0)
        return dialect.Report(versions, False, orders, 0, 0, self.born[incarnation])

    async def order(
        self, address: str, order: dialect.WeightOrder, may_send: Callable[[], bool]
    ) -> dialect.OrderResult:
        id = order.incarnation
        self.expected.append((self.born[id], order.expected_orders))
        if order.expected_orders != self.counted.get(id, 0):
            return dialect.OrderResult.BUSY
        born = self.born[id]
        result = await super().order(address, order, may_send)
        if result is dialect.OrderResult.TAKEN and self.born[id] == born:
            self.counted[id] = self.counted.get(id, 0) + 1
        return result

    def restart(self, id: str) -> None:
        self.born[id] += 1000
        self.versions[id] = 1
        self.counted[id] = 0


def build_fleet() -> tuple[rollouts_tests.Fleet, Engines]:
    fleet = rollouts_tests.Fleet()
    engines = Engines()
    fleet.engines = engines
    fleet.rollouts._engines = cast(dialect.Engines, engines)
    engines.versions[ID] = 1
    engines.born[ID] = OLD.started_ms
    engines.counted[ID] = 4
    known = fleet.rollouts._registry_state
    known.catalogue.put(make_entry(OLD, 1))
    fleet.pools.apply_change(catalogue.Change(ID, make_entry(OLD, 1), 'recorded'))
    return fleet, engines


@in_virtual_time
@pytest.mark.parametrize(
    ('delay', 'recorded'),
    [
        (0.02, True),
        (0.3, True),
        (0.75, True),
        (2.0, True),
        (0.02, False),
        (0.3, False),
        (0.75, False),
    ],
)
def test_a_replica_that_restarts_during_an_order_gets_another(delay: float, recorded: bool) -> None:
    """The order counted as in progress, and the next one expected the old process's count."""

    async def check() -> None:
        fleet, engines = build_fleet()
        fleet.elect(5)
        fleet.release(2)
        asyncio.get_running_loop().call_later(delay, engines.restart, ID)
        task = asyncio.ensure_future(fleet.rollouts.run_orders())
        await asyncio.sleep(delay + 0.05)
        change = (
            fleet.rollouts._registry_state.catalogue.put(make_entry(NEW, 1)) if recorded else None
        )
        if change is not None:
            fleet.pools.apply_change(change)
        await asyncio.sleep(3.0)
        task.cancel()
        assert engines.versions == {ID: 2}
        assert fleet.pools.get(ID).process == NEW
        assert fleet.pools.get(ID).weight_version == '2'
        assert (NEW.started_ms, 0) in engines.expected

    virtual_time.run(check())


def test_a_load_of_the_previous_process_does_not_count() -> None:
    """A late message of a peer made a replica with older weights look up to date."""
    fleet, _ = build_fleet()
    known = fleet.rollouts._registry_state
    change = known.catalogue.put(make_entry(NEW, 1))
    assert change is not None
    fleet.pools.apply_change(change)
    loaded_before = messages.WeightsLoaded(ID, 9, 9, OLD.started_ms)
    fleet.rollouts._handle_loaded(PEER, 'p:1', loaded_before)
    assert fleet.pools.get(ID).weight_version == '1'
    state = fleet.pools.list_states()[0]
    assert state.versions == {MODEL: 1}


@in_virtual_time
def test_an_unresponsive_replica_that_responds_as_another_process_has_restarted() -> None:
    """The pause and the state of the unresponsive process before were kept."""

    async def check() -> None:
        fleet, engines = build_fleet()
        received: list[messages.ReplicaUnresponsive] = []
        prober = probing.Prober(
            fleet.rollouts._registry_state, cast(dialect.Engines, engines), received.append
        )
        fleet.pools.unresponsive.add(ID)
        fleet.pools.pause(OLD, pauses.Pause.SILENT, 100.0, 'gives no answer')
        engines.restart(ID)
        prober.probe(OLD, 0.0)
        await asyncio.sleep(0.1)
        assert fleet.pools.get(ID).process == NEW
        assert not prober.is_unresponsive(ID)
        assert fleet.pools.get(ID).paused_until < clocks.now()
        assert not received

    virtual_time.run(check())


class SilentExchange:
    """A connection to a process that is gone, on which nothing arrives any more."""

    has_unacked_data = False
    is_path_lost = False

    async def read_head(self) -> exchanges.Head:
        await asyncio.sleep(1e6)
        raise AssertionError


@in_virtual_time
def test_a_request_does_not_wait_for_a_process_that_has_ended() -> None:
    """Its successor responded to the probe, so the request waited until its deadline."""

    async def check() -> None:
        fleet, engines = build_fleet()
        prober = probing.Prober(
            fleet.rollouts._registry_state, cast(dialect.Engines, engines), lambda _: None
        )
        exchange = cast(exchanges.Exchange, SilentExchange())
        started = clocks.now()
        reader = response_reader.ResponseReader(exchange, prober, OLD, started + 60.0, False)
        engines.restart(ID)
        with pytest.raises(response_reader.AttemptError) as raised:
            await reader.read_head(60.0)
        # The request may have run, and no later process can tell.
        assert raised.value.fault is attempts.Fault.NO_ANSWER
        assert clocks.now() - started < 2.0

    virtual_time.run(check())


def test_weights_reverted_by_a_late_order_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """An order to the process before was carried out late by its successor, as its first.

    The replica then had older weights than assumed: it rejected every request and got no order. A
    report lags by some hundred milliseconds, so one that arrives soon after says nothing.
    """
    process = Process()
    process.record(2, NEW, 3)
    learnt_at = clocks.now()
    monkeypatch.setattr(clocks, 'now', lambda: learnt_at + 0.5)
    report(NEW, 2)(process)
    assert process.pools.get(ID).weight_version == '3'
    monkeypatch.setattr(clocks, 'now', lambda: learnt_at + 5.0)
    report(NEW, 2)(process)
    assert process.pools.get(ID).weight_version == '2'
    assert process.pools.list_states()[0].versions == {MODEL: 2}


@in_virtual_time
def test_a_replica_that_keeps_rejecting_for_its_weights_is_probed() -> None:
    """Right after a load a replica rejects once; one that goes on has other weights."""

    async def check() -> None:
        fleet, engines = build_fleet()
        prober = probing.Prober(
            fleet.rollouts._registry_state, cast(dialect.Engines, engines), lambda _: None
        )
        engines.restart(ID)
        prober.note_version_mismatch(OLD, '1')
        await asyncio.sleep(0.3)
        prober.note_version_mismatch(OLD, '1')
        await asyncio.sleep(0.2)
        assert fleet.pools.get(ID).process == OLD
        await asyncio.sleep(1.0)
        prober.note_version_mismatch(OLD, '1')
        await asyncio.sleep(0.2)
        assert fleet.pools.get(ID).process == NEW

    virtual_time.run(check())


@in_virtual_time
def test_a_late_report_does_not_make_the_next_process_responsive() -> None:
    """A report without a start arrived after another process had become unresponsive."""

    class LateEngines:
        async def report(self, address: str, incarnation: str) -> dialect.Report:
            await asyncio.sleep(0.3)
            return dialect.Report({}, False, 0, 0, 0)

    async def check() -> None:
        fleet, _ = build_fleet()
        engines = cast(dialect.Engines, LateEngines())
        prober = probing.Prober(fleet.rollouts._registry_state, engines, lambda _: None)
        prober.probe(OLD, 0.0)
        await asyncio.sleep(0.1)
        change = fleet.rollouts._registry_state.catalogue.put(make_entry(NEW, 1))
        assert change is not None
        fleet.pools.apply_change(change)
        fleet.pools.unresponsive.add(ID)
        await asyncio.sleep(1.0)
        assert prober.is_unresponsive(ID)

    virtual_time.run(check())
