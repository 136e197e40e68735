"""The demand of one VM as measured from placements and queues."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from passpier.config import declarations
from passpier.core import admission, attempts, choice, pool_demand, priorities, replicas
from passpier.daemon import calls, demand_meter, dispatcher

STEP = 0.25


class Vm:
    """A meter with a queue, measured every `STEP` seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[calls.Call] = []
        self.meter = demand_meter.DemandMeter(self._list_waiting)

    def _list_waiting(self, pool: str) -> Iterator[admission.Ticket[calls.Call]]:
        for call in self.queue if pool == 's' else ():
            tokens = call.job.prompt_tokens
            yield admission.Ticket(
                call, call.account.name, 1, call.service.priority, tokens, call.deadline
            )

    def make_call(self, priority: int = 0, tokens: int = 1000, account: str = 'a') -> calls.Call:
        service = declarations.Service(name='s', model='m', pool='s', priority=priority)
        progress = attempts.RequestProgress(True)
        declared = declarations.Account(name=account, key_digests=())
        call = calls.Call('c', declared, service, '', 'cost', self.now, progress)
        call.job = choice.Job([], 64, tokens)
        return call

    def place(
        self, call: calls.Call, missing: int = 500, queued: bool = False
    ) -> dispatcher.Placement:
        chosen = choice.Choice('r', '', (), missing)
        placement = dispatcher.Placement(call, replicas.Replica('r', '', '', ''), 'x', chosen)
        self.meter.note_placed(placement, queued, self.now)
        return placement

    def measure(self) -> pool_demand.ServiceDemand:
        self.now += STEP
        return self.meter.measure('s', self.now)


def test_rates_follow_placements_and_end_with_them() -> None:
    vm = Vm()
    for _ in range(40):
        vm.measure()
        for _ in range(2):
            vm.meter.note_ended(vm.place(vm.make_call(1)), vm.now + 0.1)
    demand = vm.measure().priorities
    assert demand[1].request_rate == pytest.approx(8.0, rel=0.05)
    assert demand[1].prefill_rate == pytest.approx(4000.0, rel=0.05)
    assert demand[1].slot_seconds == pytest.approx(0.1)
    assert (demand[1].running, demand[1].placed_rate) == (0, 0.0)
    assert demand[0] == pool_demand.NO_DEMAND
    for _ in range(60):
        last = vm.measure()
    assert last.is_empty


def test_running_requests_count_until_their_end_is_noted_once() -> None:
    """Guards against an end that is noted twice, as by a cancelled call."""
    vm = Vm()
    first, second = vm.place(vm.make_call()), vm.place(vm.make_call())
    assert vm.measure().priorities[0].running == 2
    for placement in (first, first):
        vm.meter.note_ended(placement, vm.now)
    assert vm.measure().priorities[0].running == 1
    vm.meter.note_ended(second, vm.now)
    assert vm.measure().priorities[0].running == 0


def test_queued_requests_are_counted_by_priority_and_account() -> None:
    """Requests may wait before any has been placed, as while all replicas are lost."""
    vm = Vm()
    vm.queue = [vm.make_call(2, 9000, f'a{n}') for n in range(20)]
    vm.queue += [vm.make_call(0, 100, 'a7'), vm.make_call(0, 100, '')]
    demand = vm.measure()
    assert [p.waiting for p in demand.priorities] == [2, 0, 20] + [0] * (priorities.LEVELS - 3)
    assert [p.waiting_tokens for p in demand.priorities] == [
        200,
        0,
        180_000,
        *[0] * (priorities.LEVELS - 3),
    ]
    assert len(demand.accounts) == pool_demand.MAX_ACCOUNTS
    assert demand.accounts[0] == ('a7', 9100)
    vm.queue.clear()
    assert vm.measure().is_empty


def test_the_placed_rate_is_that_of_the_time_when_requests_waited() -> None:
    """A queue that is empty most of the time must not look slow."""
    vm = Vm()
    for _ in range(20):
        vm.measure()
        # For 50 ms of each interval, two requests of 1,000 tokens wait.
        calls_of_burst = [vm.make_call(), vm.make_call(1)]
        vm.now += 0.05
        for call in calls_of_burst:
            vm.place(call, queued=True)
        vm.now -= 0.05
    demand = vm.measure().priorities
    assert [p.placed_rate for p in demand] == [
        pytest.approx(20_000.0),
        pytest.approx(20_000.0),
        *[0] * (priorities.LEVELS - 2),
    ]
    assert [p.placed_rate for p in vm.measure().priorities] == [0.0] * priorities.LEVELS
    vm.queue = [vm.make_call()]
    vm.measure()
    vm.place(vm.make_call(), queued=True)
    assert vm.measure().priorities[0].placed_rate < 20_000.0


def test_the_longest_prefill_ignores_rare_prompts_and_cached_tokens() -> None:
    vm = Vm()
    for n in range(60):
        vm.place(vm.make_call(), 9190 if n == 30 else 600 + n)
    assert 640 < vm.measure().priorities[0].longest_prefill < 660
