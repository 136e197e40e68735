"""Registry state while listings, watches and peers deliver the same changes out of order."""

from __future__ import annotations

import pytest

from passpier.clients import registry
from passpier.routing import history, pools, registry_mirror
from passpier.tests.routing import fleets

NOW = 100.0
CONFIGURATION = registry.Item('configuration', b'1', fleets.at(10))
READY = registry.Item('replicas/r1', b'ready', fleets.at(90))
DRAINING = registry.Item('replicas/r1', b'draining', fleets.at(103))
GONE = registry.Item('replicas/r1', b'', fleets.at(104), removed=True)
HOLDER = registry.Item('own/order-holder', b'vm-1', fleets.at(91))


def make_state() -> registry_mirror.RegistryState:
    return registry_mirror.RegistryState(fleets.Records(), pools.Pools(10.0), 5.0)


def apply_from_peer(
    state: registry_mirror.RegistryState, revision: int, *items: registry.Item
) -> None:
    changes = history.ChangeSet(items, False)
    assert state.apply_peer_changes(
        registry_mirror.PeerChanges(changes, state.revision, fleets.at(revision), {}), NOW
    )


@pytest.mark.parametrize('state_before', [False, True])
def test_a_late_listing_restores_nothing(state_before: bool) -> None:
    """A slow listing ended after a peer had reported that a replica was gone.

    Its older entry was applied as new, and the replica's leaving state was lost. The watch then
    continued after the removal, so that the replica was never removed.
    """
    state = make_state()
    if state_before:
        state.apply_listing(
            registry.Listing((CONFIGURATION, READY, HOLDER), fleets.at(95), NOW), NOW
        )
        apply_from_peer(state, 103, DRAINING)
        apply_from_peer(state, 104, GONE)
        apply_from_peer(state, 105, registry.Item(HOLDER.key, b'', fleets.at(105), removed=True))
    else:
        peer_changes = registry_mirror.PeerChanges(
            history.ChangeSet((CONFIGURATION,), True), registry.NO_REVISION, fleets.at(105), {}
        )
        assert state.apply_peer_changes(peer_changes, NOW)
    late = registry.Listing((CONFIGURATION, READY, HOLDER), fleets.at(100), NOW)
    state.apply_listing(late, NOW + 0.2)
    assert 'r1' not in state.pools.replicas
    assert not state.members
    assert state.revision == fleets.at(105)
    assert READY.key not in {i.key for i in state.export_since(registry.NO_REVISION).items}


def test_a_late_listing_adds_what_no_peer_has_sent() -> None:
    state = make_state()
    state.apply_listing(registry.Listing((CONFIGURATION,), fleets.at(80), NOW), NOW)
    state.apply_listing(registry.Listing((CONFIGURATION, READY), fleets.at(100), NOW), NOW)
    assert 'r1' in state.pools.replicas


def test_a_configuration_that_the_copy_lacks_stays_in_force_and_is_told_to_peers() -> None:
    """Guards against a return to a copy from before the first configuration."""
    state = make_state()
    state.apply_listing(registry.Listing((CONFIGURATION, READY), fleets.at(95), NOW), NOW)
    assert state.export_lost_configuration(0) is None
    returned = registry.Revision(fleets.TIMELINE + 1, 5)
    state.apply_listing(registry.Listing((), returned, NOW + 1.0), NOW + 1.0)
    assert state.is_ready()
    assert state.export_lost_configuration(0) == CONFIGURATION


def test_what_is_read_in_an_earlier_timeline_changes_and_proves_nothing() -> None:
    """Guards against listings and watches answered before a return and arrive after it."""
    state = make_state()
    state.apply_listing(registry.Listing((CONFIGURATION, READY), fleets.at(95), NOW), NOW)
    returned = registry.Revision(fleets.TIMELINE + 1, 90)
    state.apply_listing(registry.Listing((CONFIGURATION,), returned, NOW + 1.0), NOW + 1.0)
    state.expire(NOW + 10.0)
    late = registry.Listing((CONFIGURATION, READY), fleets.at(99), NOW + 20.0)
    state.apply_listing(late, NOW + 20.0)
    watched = registry.Changes((DRAINING,), fleets.at(103), NOW + 20.0, NOW + 20.1)
    state.apply_watch(watched, 0.1, NOW + 20.1)
    assert not state.apply_freshness(fleets.at(95), NOW + 20.0)
    assert state.revision == returned
    assert 'r1' not in state.pools.replicas
    assert state.freshness.proved_at == NOW + 1.0
