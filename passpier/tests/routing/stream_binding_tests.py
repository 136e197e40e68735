"""Which software version a stream is bound to as its events arrive."""

from __future__ import annotations

from typing import cast

from passpier.config import declarations
from passpier.core import attempts, catalogue, routes, stream_origins
from passpier.daemon import calls
from passpier.routing import dialect, origin_sharing, pools, probing, requests, stream_binding

SERVICE = 's'


class Origins:
    """Records what is told of the streams' origins."""

    def __init__(self) -> None:
        self.told: list[tuple[str, str]] = []

    def note_begun(self, stream: str, origin: stream_origins.Origin, seconds: float) -> None:
        self.told.append((stream, origin.software))

    def forget(self, stream: str, service: str) -> None:
        self.told.append((stream, 'forgotten'))


class Stream:
    """A stream whose replica has started at `started_ms` 1."""

    def __init__(self, software: str = 'v1', kind: routes.Kind = routes.Kind.RESUMABLE_STREAM):
        self.pools = pools.Pools(10.0)
        self.pools.apply_configuration(
            routes.Configuration(1, services={SERVICE: routes.Service(SERVICE, 100)})
        )
        self.start(1, software)
        self.replica = self.pools.get('r')
        route = routes.Route('n', 'h', '/', kind, (routes.Share(SERVICE, 1),), 10.0, 1.0)
        asked = dialect.ClientRequest('one', 'POST', 'h', '/x', None, 5.0, None, '', [])
        progress = attempts.RequestProgress(True)
        self.call = calls.Call(
            'one',
            declarations.Account(''),
            declarations.Service(SERVICE, SERVICE, 'model'),
            '/x',
            'cost',
            0.0,
            progress,
        )
        self.origins = Origins()
        self.binding = stream_binding.StreamBinding(
            requests.Admitted(asked, route, None, b'', 0.0),
            self.call,
            self.pools,
            cast(probing.Prober, None),
            cast(origin_sharing.OriginSharing, self.origins),
        )

    def start(self, started_ms: int, software: str) -> None:
        entry = catalogue.Entry(
            'r', SERVICE, 'r:1', 'd0', 8, False, {}, started_ms, software=software
        )
        self.pools.apply_change(catalogue.Change('r', entry, 'recorded'))

    def receive_event(self) -> None:
        self.binding.note_event(self.replica)
        self.call.progress.delivered += 1


def test_stream_is_bound_with_its_first_event() -> None:
    stream = Stream()
    assert stream.call.software is None
    stream.receive_event()
    stream.receive_event()
    assert stream.call.software == 'v1'
    assert stream.origins.told == [('one', 'v1')]


def test_stream_that_is_not_resumable_is_not_bound() -> None:
    stream = Stream(kind=routes.Kind.STREAM)
    stream.receive_event()
    assert stream.call.software is None
    assert stream.origins.told == []


def test_stream_of_unknown_version_is_bound_once_the_entry_tells_it() -> None:
    stream = Stream(software='')
    stream.receive_event()
    assert stream.call.software == ''
    stream.start(1, 'v1')
    stream.receive_event()
    assert stream.call.software == 'v1'
    assert stream.origins.told[-1] == ('one', 'v1')


def test_stream_is_unbound_if_its_process_is_known_to_have_been_replaced() -> None:
    stream = Stream()
    stream.receive_event()
    stream.start(2, 'v2')
    stream.receive_event()
    stream.receive_event()
    assert stream.call.software == ''
    assert stream.origins.told == [('one', 'v1'), ('one', 'forgotten')]


def test_first_event_of_a_process_that_is_known_to_have_been_replaced_binds_nothing() -> None:
    stream = Stream()
    stream.start(2, 'v2')
    stream.receive_event()
    assert stream.call.software == ''
    assert stream.origins.told[-1] == ('one', 'forgotten')


def test_successor_of_the_same_version_changes_nothing() -> None:
    stream = Stream()
    stream.receive_event()
    stream.start(2, 'v1')
    stream.receive_event()
    assert stream.call.software == 'v1'
