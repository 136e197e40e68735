"""The aggregate of all VMs' demand: sums, age and expiry of rows."""

from __future__ import annotations

import msgspec
import pytest

from passpier.core import pool_demand, priorities, routes


def make(waiting: int = 0, accounts: tuple[tuple[str, int], ...] = ()) -> pool_demand.ServiceDemand:
    urgent = pool_demand.PriorityDemand(4, waiting, waiting * 100, 8.0, 800.0, 50.0, 900.0, 0.5)
    return pool_demand.ServiceDemand('s', (urgent,), accounts)


def test_rows_are_summed_by_priority_and_account() -> None:
    board = pool_demand.DemandBoard()
    board.update_own(make(2, (('a', 200),)), 10.0)
    slow = pool_demand.PriorityDemand(12, 1, 9000, 24.0, 9e4, 0.0, 9190.0, 1.5)
    other = pool_demand.ServiceDemand('s', (slow, slow), (('a', 50), ('b', 9000)))
    assert board.merge('vm-1', other, 0.25, 10.0)
    picture = board.get_picture('s', 10.5)
    assert picture.priorities[0] == pool_demand.PriorityDemand(
        16, 3, 9200, 32.0, 90_800.0, 50.0, 9190.0, 1.25
    )
    assert picture.priorities[1] == slow
    assert picture.priorities[2:] == (pool_demand.NO_DEMAND,) * (priorities.LEVELS - 2)
    assert picture.accounts == {'a': 250, 'b': 9000}
    assert (picture.vms, picture.age, picture.waiting) == (2, 0.75, 4)


def test_without_peers_the_picture_is_this_vm() -> None:
    """Guards against decisions that need peers right after a start."""
    board = pool_demand.DemandBoard()
    assert board.get_picture('s', 5.0) == pool_demand.Picture()
    board.update_own(make(3), 5.0)
    picture = board.get_picture('s', 5.25)
    assert (picture.vms, picture.age, picture.waiting) == (1, 0.25, 3)


@pytest.mark.parametrize('max_age', [pool_demand.MAX_AGE, pool_demand.GOSSIP_MAX_AGE])
def test_rows_of_a_silent_peer_expire(max_age: float) -> None:
    """Guards against the demand of a VM that has failed, and against rows that arrive too late."""
    board = pool_demand.DemandBoard()
    board.max_age = max_age
    board.merge('vm-1', make(5), 0.0, 0.0)
    board.merge('vm-2', make(7), 0.0, 1.0)
    assert board.get_picture('s', max_age - 0.1).waiting == 12
    picture = board.get_picture('s', max_age)
    assert (picture.vms, picture.waiting) == (2, 7)
    assert not board.merge('vm-1', make(5), max_age, max_age)
    board.forget('vm-2')
    assert board.get_picture('s', max_age).vms == 1


def test_an_older_row_does_not_replace_a_newer_one() -> None:
    """Guards against gossip that arrives late, or returns and makes a row look newer."""
    board = pool_demand.DemandBoard()
    board.max_age = pool_demand.GOSSIP_MAX_AGE
    assert board.merge('vm-1', make(5, (('a', 500),)), 0.0, 1.0)
    assert not board.merge('vm-1', make(9), 1.5, 2.0, relayed=True)
    assert not board.merge('vm-1', make(5), 0.9, 2.0, relayed=True)
    assert board.get_picture('s', 2.0).waiting == 5
    assert board.merge('vm-1', make(6), 0.1, 2.0, relayed=True)
    picture = board.get_picture('s', 2.0)
    assert (picture.waiting, picture.accounts) == (6, {'a': 500})
    # Accounts whose requests have all been served aren't kept.
    assert board.merge('vm-1', make(0), 0.0, 3.0, relayed=True)
    assert board.get_picture('s', 3.0).accounts == {}


def test_fields_that_an_older_release_lacks_have_defaults() -> None:
    old = msgspec.msgpack.encode(['s', [[1, 2, 300]]])
    demand = msgspec.msgpack.decode(old, type=pool_demand.ServiceDemand)
    assert demand.priorities == (pool_demand.PriorityDemand(1, 2, 300),)
    assert demand.accounts == ()


def test_noise_is_no_change_but_a_queue_that_begins_or_ends_is() -> None:
    """Guards against traffic at every measurement under steady load."""
    sent = make(0)
    noise = pool_demand.PriorityDemand(5, 0, 0, 9.5, 1700.0, 900.0, 9190.0, 3.0)
    assert not pool_demand.is_changed(sent, pool_demand.ServiceDemand('s', (noise,)))
    assert pool_demand.is_changed(sent, make(1))
    assert pool_demand.is_changed(make(1), sent)
    assert not pool_demand.is_changed(make(30), make(31))
    assert pool_demand.is_changed(make(30), make(34))
    running = pool_demand.PriorityDemand(running=2)
    more = pool_demand.ServiceDemand('s', (*sent.priorities, running))
    assert pool_demand.is_changed(sent, more)


def test_services_with_several_priorities_or_accounts_are_shared() -> None:
    def make_route(name: str, service: str, priority: int) -> routes.Route:
        shares = (routes.Share(service, 1),)
        return routes.Route(
            name, 'h', f'/{name}', routes.Kind.ONCE, shares, 1.0, 1.0, priority=priority
        )

    table = (make_route('a', 's', 0), make_route('b', 's', 2), make_route('c', 'plain', 1))
    configuration = routes.Configuration(1, table)
    assert pool_demand.list_shared_services(configuration) == ['s']
    configuration = routes.Configuration(1, table, accounts=(routes.Account('x', ('k',)),))
    assert pool_demand.list_shared_services(configuration) == ['s', 'plain']
