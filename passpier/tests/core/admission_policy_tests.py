"""Room by priority, expected waits, and who is refused under scarcity."""

from __future__ import annotations

from passpier.core import admission_policy, replicas

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
