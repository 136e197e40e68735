"""Where streams began, and which versions a service has had."""

from __future__ import annotations

from passpier.core import stream_origins

ORIGIN = stream_origins.Origin('s', 'v1')


def see(*versions: str, is_complete: bool = True) -> stream_origins.Sighting:
    return stream_origins.Sighting(frozenset(versions), is_complete)


def test_origin_is_known_until_its_record_ends() -> None:
    table = stream_origins.OriginTable()
    table.note('a', ORIGIN, 1.0, 10.0)
    assert table.find('a', 9.0) == stream_origins.Record(ORIGIN, 1.0, 10.0)
    assert table.find('a', 10.0) is None
    assert table.find('b', 9.0) is None


def test_first_origin_of_a_stream_stays_and_is_kept_for_longer() -> None:
    """Guards against a router that resumes a stream and records its own choice as the origin."""
    table = stream_origins.OriginTable()
    table.note('a', ORIGIN, 1.0, 10.0)
    table.note('a', stream_origins.Origin('s', 'v2'), 2.0, 20.0)
    table.note('a', ORIGIN, 3.0, 15.0)
    assert table.find('a', 19.0) == stream_origins.Record(ORIGIN, 1.0, 20.0)


def test_expired_records_are_dropped() -> None:
    table = stream_origins.OriginTable()
    table.note('a', ORIGIN, 1.0, 10.0)
    table.note('b', ORIGIN, 1.0, 20.0)
    table.expire(15.0)
    assert len(table) == 1
    assert table.list_service('s') == [('b', stream_origins.Record(ORIGIN, 1.0, 20.0))]
    assert table.list_service('t') == []


def test_memory_is_bounded_and_the_oldest_records_go_first() -> None:
    table = stream_origins.OriginTable(max_bytes=4 * stream_origins.RECORD_BYTES)
    for number in range(10):
        table.note(f's{number}', ORIGIN, 0.0, 10.0)
    assert len(table) == 3
    assert table.find('s9', 0.0) == stream_origins.Record(ORIGIN, 0.0, 10.0)
    table.note('x' * 10_000, ORIGIN, 0.0, 10.0)
    assert len(table) == 0


def test_versions_count_for_some_time_after_their_last_replica() -> None:
    history = stream_origins.VersionHistory()
    history.note_gone('v1', 100.0)
    assert history.list_since(['v2'], 99.0) == {'v1', 'v2'}
    assert history.list_since(['v2'], 100.0) == {'v2'}
    history.note_gone('v2', 100.0 + 2 * stream_origins.VERSIONS_KEPT_SECONDS)
    assert history.list_since([], 0.0) == {'v2'}


def test_only_version_is_known_if_one_process_has_seen_no_other_for_long_enough() -> None:
    assert stream_origins.find_only_version([see('v1')]) == 'v1'
    assert stream_origins.find_only_version([see('v1', is_complete=False), see('v1')]) == 'v1'
    assert stream_origins.find_only_version([see('v1'), see(is_complete=False)]) == 'v1'
    assert stream_origins.find_only_version([see('v1', is_complete=False)]) == ''
    assert stream_origins.find_only_version([see('v1'), see('v2', is_complete=False)]) == ''
    assert stream_origins.find_only_version([see('v1', '')]) == ''
    assert stream_origins.find_only_version([see('')]) == ''
    assert stream_origins.find_only_version([]) == ''
