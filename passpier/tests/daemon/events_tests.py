"""Cache events: a daemon learns of blocks that requests of another daemon created."""

from __future__ import annotations

import types
from collections.abc import Iterator
from typing import cast

import pytest

from passpier import exceptions
from passpier.clients import kvevents
from passpier.config import declarations
from passpier.daemon import events, upstreams
from passpier.standins import fleets, processes


@pytest.fixture(scope='module')
def fleet() -> Iterator[fleets.Fleet]:
    with fleets.run_fleet(daemon_flags=['--events', 'all']) as started:
        yield started


def count_view(fleet: fleets.Fleet) -> float:
    """Return the number of blocks in the cache view of the second daemon."""
    page = processes.call('GET', f'http://{fleet.daemons[1].entry}/metrics')[2].decode()
    lines = [line for line in page.splitlines() if line.startswith('passpier_view_blocks')]
    return float(lines[-1].split()[-1]) if lines else 0.0


@pytest.mark.parametrize('gap_percent', [0, 40])
def test_blocks_are_learned_from_events(fleet: fleets.Fleet, gap_percent: int) -> None:
    """Blocks are learned from events, also if some events are lost and have to be replayed.

    The second daemon gets no requests after its warm-up, so that it depends on events.
    """
    for engine in fleet.engines:
        engine.set_faults(gap_percent=gap_percent)
    for number in range(4):
        assert fleet.complete(1, f'warm {gap_percent} {number} ' * 40).is_complete
    before = count_view(fleet)
    for number in range(18):
        if number == 12:
            # A gap is detected only by a later event.
            for engine in fleet.engines:
                engine.set_faults(gap_percent=0)
        prefix = ' '.join(f'{gap_percent}.{number} farm {n}' for n in range(120))
        assert fleet.complete(0, prefix).is_complete
    processes.wait_until(lambda: count_view(fleet) >= before + 18 * 5, 'blocks are known', 10)


def test_topics_and_batches_round_trip() -> None:
    topic = kvevents.build_topic('boot', 'm')
    assert kvevents.parse_topic(topic) == ('boot', 'm')
    assert kvevents.parse_topic(b'other') == ('', '')
    batch = kvevents.Batch(1.0, [kvevents.BlockRemoved([1]), kvevents.AllBlocksCleared()])
    assert kvevents.decode_batch(kvevents.encode_batch(batch)) == batch
    stored = kvevents.BlockStored([1], None, [1, 2], 2, extra_keys=[['acme']])
    again = kvevents.decode_batch(kvevents.encode_batch(kvevents.Batch(1.0, [stored])))
    assert again.events == [stored]


class Cache:
    """Notes when the cache of an engine is cleared."""

    def __init__(self) -> None:
        self.cleared = 0

    def clear(self, name: str, key: str) -> None:
        self.cleared += 1


# Guards against an event that ends the subscription, so that the daemon misses all that follow.
def test_events_behind_one_with_impossible_tokens_are_applied() -> None:
    cache = Cache()
    feed = events.Feed(
        cast(declarations.Upstream, types.SimpleNamespace(name='e')),
        cast(declarations.Model, types.SimpleNamespace(name='m', block_tokens=1)),
        cast(upstreams.Upstreams, types.SimpleNamespace(cache=cache)),
    )
    for token in (-1, 2**32, 2**63):
        stored = kvevents.BlockStored([1], None, [token], 1, extra_keys=[['acme']])
        batch = kvevents.Batch(1.0, [stored, kvevents.AllBlocksCleared()])
        feed.apply('key', kvevents.encode_batch(batch))
    feed.apply('key', b'\x91' * 100_000)
    assert cache.cleared == 3


@pytest.mark.parametrize('frames', [[], [b''], [b'', b'1', b''], [b'', bytes(9), b''], [b''] * 4])
def test_message_of_another_form_is_invalid(frames: list[bytes]) -> None:
    with pytest.raises(exceptions.DecodingError):
        kvevents.parse_frames(frames)
