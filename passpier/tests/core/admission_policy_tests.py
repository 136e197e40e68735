"""Room by priority, expected waits, and who is refused under scarcity."""

from __future__ import annotations

import msgspec
import pytest

from passpier.core import admission_policy, refusal_schedule, replicas
from passpier.tests import fakes

DIGEST = 2
QUERY = 0
DIGEST_TOKENS = 9_190


def make_replica() -> replicas.Replica:
    """Return a replica of the licences."""
    replica = replicas.Replica('e', '', 'vm', 'd', slots=16, room_seconds=0.3)
    replica.seconds_per_token = 1 / 50_700
    return replica


def test_digests_at_a_replica_leave_room_for_queries() -> None:
    """Digests in a burst fill the queue of 0.3 s; queries are served before them there."""
    replica = make_replica()
    while admission_policy.has_room(replica, 0.0, DIGEST):
        replicas.begin_dispatch(replica, f'd{len(replica.dispatches)}', DIGEST_TOKENS, 0.0, DIGEST)
    assert admission_policy.has_room(replica, 0.0, QUERY)


def test_the_room_for_a_priority_is_shared_among_vms() -> None:
    """Nine VMs at one pool: guards against each of them filling the queue by itself."""
    replica = make_replica()
    for number in range(8):
        replica.peers[f'vm{number}'] = replicas.PeerLoad((0, 0, 0, 0), 1, 0.0)
    replicas.begin_dispatch(replica, 'q', 2_000, 0.0, QUERY)
    assert not admission_policy.has_room(replica, 0.0, QUERY)


def test_less_urgent_requests_leave_queue_places_to_urgent_ones() -> None:
    replica = make_replica()
    while admission_policy.has_room(replica, 0.0, DIGEST):
        replicas.begin_dispatch(replica, f'd{len(replica.dispatches)}', 1, 0.0, DIGEST)
    assert len(replica.dispatches) == 16 + 6
    urgent = 0
    while admission_policy.has_room(replica, 0.0, QUERY):
        replicas.begin_dispatch(replica, f'q{urgent}', 1, 0.0, QUERY)
        urgent += 1
    assert urgent == 2


def test_no_places_are_reserved_without_more_urgent_requests() -> None:
    """Plain replicas of 6 slots get requests of priority 2 only and use all 3 places."""
    replica = replicas.Replica('e', '', 'vm', 'd', slots=6)
    while admission_policy.has_room(replica, 0.0, 2, most_urgent=2):
        replicas.begin_dispatch(replica, f'{len(replica.dispatches)}', 0, 0.0, 2)
    assert len(replica.dispatches) == 6 + 3


EQUAL_WEIGHTS = dict.fromkeys(['hot', 'a', *(f'a{n}' for n in range(16))], 1)
"""Accounts with the same rate limit."""


def make_policy(weights: dict[str, int] = EQUAL_WEIGHTS) -> admission_policy.Admission:
    policy = admission_policy.Admission()
    policy.get_weights = lambda: weights
    return policy


NOTHING = fakes.PriorityDemand()
RATE = 100_000.0
"""Tokens that the pool places per second."""

QUERY_DEMAND = admission_policy.Demand(
    's', 'a', 1, QUERY, 826, 10.132, 10.265, 25.9, 0.01, 0, RATE, RATE
)
DIGEST_DEMAND = admission_policy.Demand(
    's', 'a', 1, DIGEST, DIGEST_TOKENS, 10.517, 11.035, 15.176, 0.2, 0, RATE, RATE
)
"""A member query and a digest that arrive at 10 s."""


def make_picture(
    queries: int = 0, digests: int = 0, accounts: dict[str, int] | None = None, age: float = 0.2
) -> fakes.Picture:
    """Return the demand with these waiting tokens."""
    return fakes.Picture(
        (
            fakes.PriorityDemand(queries // 826, queries, RATE if queries else 0.0),
            NOTHING,
            fakes.PriorityDemand(digests // DIGEST_TOKENS, digests, RATE if digests else 0.0),
        ),
        {'a': queries + digests} if accounts is None else accounts,
        age=age,
    )


def assess(
    demand: admission_policy.Demand, picture: fakes.Picture | None
) -> admission_policy.Verdict:
    return make_policy().assess(demand, picture, 10.0)


def is_refused(demand: admission_policy.Demand, picture: fakes.Picture | None) -> bool:
    return assess(demand, picture).action is admission_policy.Action.REFUSE


def test_digests_that_wait_delay_no_query() -> None:
    """A burst of digests, 2 s of work: digests are refused at once, queries are not."""
    picture = make_picture(digests=200_000)
    refused = assess(DIGEST_DEMAND, picture)
    assert refused.reason is admission_policy.Reason.OBJECTIVE
    assert refused.estimate.wait == pytest.approx(2.0)
    assert not is_refused(QUERY_DEMAND, picture)
    assert is_refused(QUERY_DEMAND, make_picture(queries=200_000))


def test_every_vm_refuses_the_same_requests() -> None:
    """Nine VMs in front of one pool: guards against refusals by the length of the own queue."""
    picture = make_picture(digests=45_000)
    other_queue = msgspec.structs.replace(DIGEST_DEMAND, own_ahead=500_000, own_rate=1_000.0)
    for demand in (DIGEST_DEMAND, other_queue):
        assert not is_refused(demand, picture)
        assert is_refused(demand, make_picture(digests=90_000))


@pytest.mark.parametrize(
    'picture',
    [None, make_picture(age=1.6), msgspec.structs.replace(make_picture(), vms=1)],
    ids=['missing', 'stale', 'this VM only'],
)
def test_without_a_current_picture_the_own_queue_decides(picture: fakes.Picture | None) -> None:
    assert not is_refused(QUERY_DEMAND, picture)
    waiting = msgspec.structs.replace(QUERY_DEMAND, own_ahead=30_000)
    assert is_refused(waiting, picture)
    assert assess(waiting, picture).estimate.age is None
    assert not is_refused(waiting, make_picture())


def test_demand_sent_once_per_second_is_current() -> None:
    """Peers whose demand is steady send it once per second, and delivery takes time as well."""
    assert is_refused(DIGEST_DEMAND, make_picture(digests=90_000, age=1.4))


def test_nothing_is_refused_while_nothing_waits() -> None:
    """Prefill during a slowdown alone takes longer than the objective of a mark (535 ms)."""
    slow = msgspec.structs.replace(DIGEST_DEMAND, prefill_seconds=2.0)
    for picture in (None, make_picture()):
        assert not is_refused(slow, picture)


def test_a_hot_account_is_refused_before_others() -> None:
    """An account at six times its usual load among 16: the others' requests still wait."""
    accounts = {'hot': 24_000} | {f'a{n}': 1_600 for n in range(15)}
    picture = make_picture(digests=48_000, accounts=accounts)
    hot = msgspec.structs.replace(DIGEST_DEMAND, account='hot')
    assert assess(hot, picture).reason is admission_policy.Reason.ACCOUNT_SHARE
    assert not is_refused(msgspec.structs.replace(DIGEST_DEMAND, account='a1'), picture)


@pytest.mark.parametrize('weights', [{'hot': 15} | {f'a{n}': 1 for n in range(15)}, {}])
def test_a_large_account_within_its_limit_is_not_refused_first(weights: dict[str, int]) -> None:
    """Guards against equal shares for accounts of different size.

    On the licences, where the largest accounts send many times as much as the smallest, most
    refusals of digests were of accounts within their limits.
    """
    accounts = {'hot': 24_000} | {f'a{n}': 1_600 for n in range(15)}
    picture = make_picture(digests=48_000, accounts=accounts)
    weight = weights.get('hot', 1)
    hot = msgspec.structs.replace(DIGEST_DEMAND, account='hot', weight=weight)
    verdict = make_policy(weights).assess(hot, picture, 10.0)
    assert verdict.reason is not admission_policy.Reason.ACCOUNT_SHARE


def test_returns_of_a_hot_account_do_not_delay_those_of_others() -> None:
    """Guards against one schedule for all, which a hot account's refusals would fill."""
    accounts = {'hot': 24_000} | {f'a{n}': 1_600 for n in range(15)}
    picture = make_picture(queries=48_000, accounts=accounts)
    hot = msgspec.structs.replace(QUERY_DEMAND, account='hot')
    other = msgspec.structs.replace(QUERY_DEMAND, account='a1')
    policy = make_policy()
    before = make_policy().refuse_held(other, picture, 0.132, 10.0)
    told = [policy.refuse_held(hot, picture, 0.132, 10.0).retry_after for _ in range(2)]
    assert before.retry_after < told[0] < told[1]
    assert policy.refuse_held(other, picture, 0.132, 10.0).retry_after == before.retry_after


def test_a_hot_account_counts_up_to_its_share_against_others() -> None:
    """Queries of the hot account wait for 2 s of work; those of another account for their share."""
    accounts = {'hot': 200_000, 'a': 0}
    estimate = admission_policy.estimate_wait(
        QUERY_DEMAND, make_picture(queries=200_000, accounts=accounts)
    )
    assert estimate.wait == pytest.approx((826 + QUERY_DEMAND.quantum) / RATE, abs=1e-3)


def test_one_long_prompt_is_no_excess() -> None:
    """Guards against refusing an account for its only digest while others wait with queries."""
    accounts = {'a': DIGEST_TOKENS} | {f'a{n}': 826 for n in range(3)}
    picture = make_picture(digests=sum(accounts.values()), accounts=accounts)
    assert not admission_policy.is_over_share(DIGEST_DEMAND, picture, EQUAL_WEIGHTS)


def test_a_lost_plain_replica_leads_to_refusals_by_requests() -> None:
    """Two of three plain replicas of 6 slots serve 133 requests/s; each waiting one takes a slot.

    Requests without a prompt have no tokens, so a wait in tokens alone would be zero.
    """
    lost = 12 / 0.09
    check = admission_policy.Demand(
        's', 'a', 1, 2, 1, 10.207, 10.415, 14.15, 0.0, 0, lost, lost, quantum=1
    )
    few, many = (fakes.Picture((NOTHING, NOTHING, fakes.PriorityDemand(n)), {}) for n in (20, 40))
    assert not is_refused(check, few)
    assert is_refused(check, many)


def test_a_returned_request_is_refused_only_if_its_client_stops_waiting_first() -> None:
    returned = msgspec.structs.replace(DIGEST_DEMAND, returned=True)
    verdict = assess(returned, make_picture(digests=300_000))
    assert verdict.action is admission_policy.Action.WAIT
    assert verdict.until == pytest.approx(10.0 + 5.176 * refusal_schedule.MAX_WAIT_SHARE)
    refused = assess(returned, make_picture(digests=600_000))
    assert refused.reason is admission_policy.Reason.DEADLINE
    assert refused.retry_after == pytest.approx(5.176 * refusal_schedule.MAX_WAIT_SHARE)


def test_returns_of_a_hot_account_delay_no_others() -> None:
    """Guards against a schedule full of the returns of one account."""
    policy = make_policy()
    accounts = {'hot': 60_000, 'a': 20_000}
    picture = make_picture(digests=80_000, accounts=accounts)
    hot = msgspec.structs.replace(DIGEST_DEMAND, account='hot')
    for _ in range(20):
        policy.assess(hot, picture, 10.0)
    own = policy.assess(DIGEST_DEMAND, picture, 10.0)
    first = make_policy().assess(DIGEST_DEMAND, picture, 10.0)
    assert own.retry_after == first.retry_after
