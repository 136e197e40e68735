"""Which replicas may begin a request: their weights and pauses."""

from __future__ import annotations

import pytest

from passpier import clocks
from passpier.core import catalogue, lives, pauses, replicas, routes
from passpier.routing import pools


@pytest.fixture(name='known')
def make_known(monkeypatch: pytest.MonkeyPatch) -> pools.Pools:
    monkeypatch.setattr(clocks, 'now', lambda: 100.0)
    known = pools.Pools(10.0)
    services = {'s': routes.Service('s', 100)}
    known.apply_configuration(routes.Configuration(1, services=services))
    for number in range(4):
        entry = catalogue.Entry(f'r{number}', 's', f'a{number}:1', 'd0', 8, False, {'m': 1})
        known.apply_change(catalogue.Change(entry.id, entry, 'recorded'))
    return known


def test_newer_weights_do_not_prolong_the_use_of_older_ones(
    known: pools.Pools, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request began on weights that had been outdated for longer than the bound.

    A replica crashed before it had loaded version 8 and came back with 7, again and again, while
    the process that gives orders was killed as well. When 9 was named, 5.5 seconds after 8, the
    routers counted the replica's time from 9: only the newest naming was kept, with its own time.
    The times in the log proved it: 10.6 seconds since 8 was known, 5.0 since 9.
    """
    known.record_release('m', 8, 100.0, 100.0)
    known.record_release('m', 9, 105.5, 105.5)
    known.learn_version(lives.Life('r0'), 7, 'registry')
    known.learn_version(lives.Life('r1'), 8, 'registry')
    known.learn_version(lives.Life('r2'), 9, 'registry')
    monkeypatch.setattr(clocks, 'now', lambda: 109.0)
    serving = {r.name for r in known.list_serving('s')}
    assert serving & {'r0', 'r1', 'r2'} == {'r1', 'r2'}


def test_the_end_of_an_older_load_does_not_end_the_pause_of_a_newer_one(
    known: pools.Pools, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Late word of version 8 came while the replica loaded 9: it got requests and refused them."""
    known.pause(lives.Life('r0'), pauses.Pause.LOADING, pools.PAUSE_LOADING, 'is to load', 9)
    known.learn_version(lives.Life('r0'), 8, 'registry')
    known.resume(lives.Life('r0'), pauses.Pause.LOADING, 8)
    assert not replicas.is_open(known.get('r0'), 100.0)
    monkeypatch.setattr(clocks, 'now', lambda: 100.5)
    known.learn_version(lives.Life('r0'), 9, 'registry')
    assert replicas.is_open(known.get('r0'), 100.5)


def test_the_end_of_one_pause_ends_no_other(known: pools.Pools) -> None:
    """A silent replica got requests when another process, which it answers, had it load."""
    known.pause(lives.Life('r0'), pauses.Pause.SILENT, 1.4, 'gives no answer')
    known.pause(lives.Life('r0'), pauses.Pause.LOADING, pools.PAUSE_LOADING, 'is to load', 2)
    known.learn_version(lives.Life('r0'), 2, 'peer')
    assert not replicas.is_open(known.get('r0'), 100.0)
    known.resume(lives.Life('r0'), pauses.Pause.SILENT)
    assert replicas.is_open(known.get('r0'), 100.0)


def test_an_order_that_failed_ends_its_pause(known: pools.Pools) -> None:
    known.pause(lives.Life('r0'), pauses.Pause.LOADING, pools.PAUSE_LOADING, 'is to load', 2)
    known.resume(lives.Life('r0'), pauses.Pause.LOADING, 2)
    assert replicas.is_open(known.get('r0'), 100.0)


def test_what_would_begin_on_outdated_weights_is_not_sent(
    known: pools.Pools, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request waits at its replica; the bound is on when it begins, not on when it is sent."""
    known.record_release('m', 2, 100.0, 100.0)
    busy = known.get('r0')
    monkeypatch.setattr(clocks, 'now', lambda: 108.0)
    for number in range(4):
        replicas.begin_dispatch(busy, str(number), int(0.2 / busy.seconds_per_token), 108.0)
    serving = {r.name for r in known.list_serving('s')}
    assert 'r0' not in serving
    assert 'r1' in serving
