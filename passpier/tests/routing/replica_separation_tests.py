"""The filter that keeps long prompts of the theory tests off the replicas for drafts."""

from __future__ import annotations

import asyncio
import logging
import random

import msgspec
import pytest

from passpier import clocks
from passpier.config import declarations
from passpier.core import attempts, catalogue, choice, pool_demand, replicas, routes
from passpier.daemon import calls, dispatcher, metrics
from passpier.routing import pools, replica_separation
from passpier.standins import virtual_time
from passpier.tests.core import separation_tests

ENGINE = routes.Engine(('m',), 48, 114_380)


def make_route(name: str, priority: int, event_gap: float, service: str = 's') -> routes.Route:
    shares = (routes.Share(service, 1),)
    kind = routes.Kind.STREAM
    return routes.Route(
        name, 'h', f'/{name}', kind, shares, 12.0, 0.8, 1, priority, event_gap=event_gap
    )


def make_configuration(*own: routes.Route) -> routes.Configuration:
    services = {'s': routes.Service('s', 100, ENGINE), 'plain': routes.Service('plain', 100)}
    return routes.Configuration(1, own, services)


CONFIGURATION = make_configuration(
    make_route('draft', 0, 0.4), make_route('mark', 1, 0.4), make_route('booking', 2, 0, 'plain')
)


class Filter:
    """The filter over 30 replicas, ten of each failure domain and of each speed."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(clocks, 'now', lambda: self.now)
        self.configuration = CONFIGURATION
        self.picture: pool_demand.Picture | None = separation_tests.make_tests_picture()
        self.vms = 9
        self.divided = 0
        self.counters = metrics.Metrics()
        self.pools = pools.Pools(10.0)
        self.pools.apply_configuration(CONFIGURATION)
        for number, replica in enumerate(separation_tests.make_pool()):
            domain = replica.failure_domain
            entry = catalogue.Entry(replica.name, 's', f'a{number}:1', domain, 48, False, {'m': 1})
            self.pools.apply_change(catalogue.Change(entry.id, entry, 'recorded'))
            # Slow enough that a pause is too long even without the time between events.
            speed = 0.9 * separation_tests.SPEEDS[number // 3 % 3]
            self.pools.replicas[entry.id].seconds_per_token = 1 / 81_900 / speed
        self.filter = replica_separation.ReplicaSeparation(
            self.pools,
            lambda: self.configuration,
            self._get_picture,
            lambda now: self.vms,
            self.counters,
        )

    def _get_picture(self, service: str, now: float) -> pool_demand.Picture | None:
        assert service == 's'
        self.divided += 1
        return self.picture

    def select(
        self, call: calls.Call, available: list[replicas.Replica] | None = None
    ) -> frozenset[str]:
        if available is None:
            serving = self.pools.list_serving(call.service.pool)
            available = [r for r in serving if replicas.is_open(r, self.now)]
        return frozenset(r.name for r in self.filter.select(call, available, self.now))

    def select_draft(self) -> frozenset[str]:
        return self.select(make_call(0, 826))

    def get_metric(self) -> object:
        return self.counters.reserved_replicas.get({'service': 's'})


def make_call(priority: int, tokens: int, service: str = 's') -> calls.Call:
    declared = declarations.Service(service, service, priority=priority)
    progress = attempts.RequestProgress(True)
    call = calls.Call('c', declarations.Account('a'), declared, '', 'cost', 100.0, progress)
    call.job = choice.Job([], 64, tokens, priority=priority)
    return call


@pytest.fixture(name='separated')
def make_filter(monkeypatch: pytest.MonkeyPatch) -> Filter:
    return Filter(monkeypatch)


def test_drafts_and_marks_share_no_replica(separated: Filter) -> None:
    """Guards against marks that pause drafts although the pool has room for both."""
    drafts, marks = separated.select_draft(), separated.select(make_call(1, 9190))
    assert len(drafts) == separated.get_metric() == 6
    assert len(marks) == 24 and not drafts & marks


def test_a_partition_is_reused_for_a_quarter_of_a_second(separated: Filter) -> None:
    """Guards against a partition that is computed for each of 250 requests a second."""
    for _ in range(100):
        separated.now += 0.01
        separated.select_draft()
    assert 4 <= separated.divided <= 5


@pytest.mark.parametrize('is_leaving', [False, True])
def test_a_lost_failure_domain_is_replaced_at_once(separated: Filter, is_leaving: bool) -> None:
    """Guards against drafts whose remaining reserved replicas are too few after a loss."""
    before = separated.select_draft()
    for name, replica in list(separated.pools.replicas.items()):
        if replica.failure_domain == 'd0' and is_leaving:
            replicas.set_leaving(replica, 'signal', True)
        elif replica.failure_domain == 'd0':
            separated.pools.apply_change(catalogue.Change(name, None, 'expired'))
    after = separated.select_draft()
    lost = {f'r{n:02}' for n in range(0, 30, 3)}
    assert before & lost and not after & lost
    assert before - lost <= after and len(after) == 6


def test_retries_and_resumed_streams_find_a_replica(separated: Filter) -> None:
    """Guards against marks that wait although only reserved replicas may still take them.

    A first attempt waits for the others: its prefill would pause many streams.
    """
    reserved = separated.select_draft()
    only = [r for r in separated.pools.list_serving('s') if r.name in reserved]
    for replica in only:
        separation_tests.fill(replica, 20)
    assert not separated.select(make_call(1, 9190), only)
    retry, resumed = make_call(1, 9190), make_call(1, 9190)
    retry.progress.begin()
    resumed.software = '2.0'
    assert separated.select(retry, only) == separated.select(resumed, only) == reserved
    # Restricted to a single replica that isn't reserved.
    other = next(r for r in separated.pools.list_serving('s') if r.name not in reserved)
    assert separated.select(make_call(0, 826), [other]) == {other.name}


def test_drafts_are_placed_while_marks_wait(separated: Filter) -> None:
    """Guards against a burst of marks that holds drafts back or pauses their streams."""

    async def run() -> None:
        placer = dispatcher.Dispatcher(separated.pools, separated.counters, random.Random(1))
        placer.filters.append(separated.filter)
        reserved = separated.select_draft()
        for name, replica in separated.pools.replicas.items():
            separation_tests.fill(replica, 20 if name in reserved else 72)
        waiting = asyncio.ensure_future(placer.place(make_call(1, 9190), 'm'))
        await asyncio.sleep(0.1)
        draft = await placer.place(make_call(0, 826), 'd')
        assert isinstance(draft, dispatcher.Placement) and draft.replica.name in reserved
        assert not waiting.done()
        other = next(r for n, r in separated.pools.replicas.items() if n not in reserved)
        other.dispatches.clear()
        placer.end(draft)
        mark = await waiting
        assert isinstance(mark, dispatcher.Placement) and mark.replica is other

    virtual_time.run(run())


@pytest.mark.parametrize(
    'own',
    [
        (make_route('draft', 0, 0.5), make_route('mark', 1, 0.4)),
        (make_route('draft', 0, 0.0), make_route('mark', 1, 0.4)),
        (make_route('mark', 0, 0.3),),
        (make_route('other', 0, 0.4, 'plain'),),
    ],
)
def test_routes_that_call_for_no_partition(
    separated: Filter, own: tuple[routes.Route, ...]
) -> None:
    """Guards against reserved replicas where the urgent routes permit the pauses of the tests."""
    assert len(separated.select_draft()) == 6
    separated.configuration = make_configuration(*own)
    if len(own) == 1:
        # All demand is of the one priority.
        rows = separation_tests.make_tests_picture().priorities
        separated.picture = separation_tests.make_picture(*rows[1:])
    assert len(separated.select_draft()) == 30
    assert len(separated.select(make_call(1, 9190))) == 30


def test_the_smallest_pause_of_the_urgent_routes_counts() -> None:
    """Guards against a route of drafts whose stricter target is overlooked, or one of marks."""
    service = routes.Service('s', 100, ENGINE)
    own = (
        make_route('draft', 0, 0.5),
        make_route('strict', 0, 0.4),
        make_route('unlimited', 0, 0.0),
        make_route('mark', 1, 0.1),
    )
    assert replica_separation.find_urgent(make_configuration(*own), service) == (0, 0.4)
    assert replica_separation.find_urgent(make_configuration(own[3]), service) == (1, 0.1)


def test_other_calls_are_not_concerned(separated: Filter) -> None:
    """Guards against bookings and check calls of the tests that lose replicas."""
    assert len(separated.select(make_call(2, 0))) == 30
    plain = [replicas.Replica('p', '', '', 'd0')]
    assert separated.select(make_call(2, 500, 'plain'), plain) == {'p'}
    assert not separated.divided


def test_without_demand_the_pool_is_not_divided(separated: Filter) -> None:
    """Guards against replicas that stay reserved for the drafts of an unknown demand."""
    assert len(separated.select_draft()) == 6
    separated.picture = None
    separated.now += 0.3
    assert len(separated.select_draft()) == 30
    assert not separated.get_metric()


def test_without_peers_the_own_demand_stands_for_theirs(separated: Filter) -> None:
    """Guards against a VM that reserves replicas for its own ninth of the drafts only."""
    separated.picture = separation_tests.make_tests_picture(1 / 9)
    separated.picture = msgspec.structs.replace(separated.picture, vms=1)
    assert len(separated.select_draft()) == 6


def test_a_change_is_logged_with_its_inputs(
    separated: Filter, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a set of the tests' pool that an operator can't trace to its inputs."""
    with caplog.at_level(logging.INFO, 'passpier.routing.replica_separation'):
        for _ in range(20):
            separated.now += 0.1
            separated.select_draft()
    fields = [vars(r) for r in caplog.records if r.message == 'reserved replicas']
    assert len(fields) == 1
    assert fields[0]['service'] == 's' and fields[0]['number'] == 6
    assert fields[0]['reason'] == 'prefill pauses streams' and fields[0]['age'] == 0.3
    assert len(fields[0]['added']) == 5


def test_a_changed_priority_begins_a_new_partition(separated: Filter) -> None:
    """Guards against drafts that keep the class of their former priority."""
    separated.select_draft()
    separated.configuration = make_configuration(
        make_route('draft', 1, 0.4), make_route('mark', 2, 0.4)
    )
    rows = separation_tests.make_tests_picture().priorities
    separated.picture = separation_tests.make_picture(pool_demand.NO_DEMAND, *rows)
    reserved = separated.select(make_call(1, 826))
    assert len(reserved) == 6
    assert not reserved & separated.select(make_call(2, 9190))
