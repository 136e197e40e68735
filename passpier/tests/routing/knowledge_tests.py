"""What a process knows while readings, watches and peers tell it the same things out of order."""

from __future__ import annotations

import pytest

from passpier.clients import registry
from passpier.routing import history, knowledge, pools
from passpier.tests.routing import fleets

NOW = 100.0
CONFIGURATION = registry.Item('configuration', b'1', 10)
READY = registry.Item('replicas/r1', b'ready', 90)
DRAINING = registry.Item('replicas/r1', b'draining', 103)
GONE = registry.Item('replicas/r1', b'', 104, removed=True)
HOLDER = registry.Item('own/order-holder', b'vm-1', 91)


def make_knowledge() -> knowledge.Knowledge:
    return knowledge.Knowledge(fleets.Records(), pools.Pools(10.0), 5.0)


def tell(known: knowledge.Knowledge, revision: int, *items: registry.Item) -> None:
    changes = history.ChangeSet(items, False)
    assert known.apply_peer_changes(
        knowledge.PeerChanges(changes, known.revision, revision, {}), NOW
    )


@pytest.mark.parametrize('known_before', [False, True])
def test_a_late_reading_brings_nothing_back(known_before: bool) -> None:
    """A slow reading of the registry ended behind a peer's word that a replica was gone.

    The reading took it for new: it was unknown again, and so was that it had been leaving. The
    watch then went on behind the removal, so that nothing ever took it away.
    """
    known = make_knowledge()
    if known_before:
        known.apply_listing(registry.Reading((CONFIGURATION, READY, HOLDER), 95, NOW), NOW)
        tell(known, 103, DRAINING)
        tell(known, 104, GONE)
        tell(known, 105, registry.Item(HOLDER.key, b'', 105, removed=True))
    else:
        told = knowledge.PeerChanges(history.ChangeSet((CONFIGURATION,), True), 0, 105, {})
        assert known.apply_peer_changes(told, NOW)
    late = registry.Reading((CONFIGURATION, READY, HOLDER), 100, NOW)
    known.apply_listing(late, NOW + 0.2)
    assert 'r1' not in known.pools.replicas
    assert not known.members
    assert known.revision == 105
    assert READY.key not in {i.key for i in known.export_since(-1).items}


def test_a_late_reading_takes_over_what_nobody_has_told() -> None:
    known = make_knowledge()
    known.apply_listing(registry.Reading((CONFIGURATION,), 80, NOW), NOW)
    known.apply_listing(registry.Reading((CONFIGURATION, READY), 100, NOW), NOW)
    assert 'r1' in known.pools.replicas
