"""Streams that break off at any byte: a client gets each event once, and none is left out."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Sequence

import pytest

from passpier.clients import exchanges
from passpier.platform import names
from passpier.standins.platform import deployment
from passpier.tests.platform import harness

EVENT_COUNT = 3
CUT_STEP = 3
"""Bytes from one cut to the next; the bytes of an event are no multiple of it."""

HEAD = '\r\n'.join(
    [
        'HTTP/1.1 200 OK',
        f'{names.REQUEST_ID}: one',
        f'{names.SERVER_STAMP}: stamp',
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
        '',
        '',
    ]
).encode()

END = b'0\r\n\r\n'

FORMS: dict[str, Callable[[int], str]] = {
    'line feeds': lambda n: f'id: {n}\ndata: piece {n}\n\n',
    'carriage returns': lambda n: f'id: {n}\r\ndata: piece {n}\r\n\r\n',
    'id last': lambda n: f'{names.WEIGHT_VERSION.lower()}: 2\ndata: piece {n}\nid:{n}\n\n',
    'two ids': lambda n: f'id: 7\nid: {n}\ndata: piece {n}\n\n',
    'comments': lambda n: f': wait\n\n: more\nid: {n}\ndata: piece {n}\n\n',
}
"""Ways in which replicas may write the event of a number."""


def render_script(events: Sequence[str], is_whole: bool = False) -> list[bytes]:
    """Return a response as the parts that a replica writes, one for each of the events."""
    chunks = [f'{len(event.encode()):x}\r\n{event}\r\n'.encode() for event in events]
    return [HEAD, *chunks, END] if is_whole else [HEAD, *chunks]


async def read_stream(
    running: deployment.Deployment,
    path: str,
    scripts: list[list[bytes]],
    headers: Sequence[tuple[str, str]] = (),
) -> deployment.ObservedResponse:
    """Return what a client gets of a stream whose attempts are answered with the scripts.

    Any further attempt gets the events after `Last-Event-Id`.
    """
    for target in running.replicas.values():
        target.event_count = EVENT_COUNT
        target.faults.scripts = scripts
    given = [*deployment.build_headers('one', 2000), *harness.PROMPT_HEADERS, *headers]
    request = exchanges.Request('POST', path, given)
    return await running.observe_at(running.routers[0].options.caller, request, 2.0)


def list_pieces(observed: deployment.ObservedResponse) -> list[int]:
    """Return the numbers of the events that a client has received."""
    return [int(number) for number in re.findall(rb'piece (\d+)', observed.body)]


def allow_retries(running: deployment.Deployment) -> None:
    """Let requests be repeated any number of times."""
    running.routers[0].forwarder.budgets.get('llm').configure(1.0, 10_000.0, 10.0)


# Guards against events that come twice or never where a replica breaks off, and against a stream
# that looks complete without its last events.
@pytest.mark.parametrize('form', FORMS)
def test_stream_that_is_cut_anywhere_is_whole_or_incomplete(form: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        allow_retries(running)
        text = ''.join(FORMS[form](n) for n in range(EVENT_COUNT))
        whole = list(range(EVENT_COUNT))
        for length in range(0, len(text), CUT_STEP):
            script = render_script([text[:length]] if length else [])
            observed = await read_stream(running, '/resume/x', [script])
            assert (observed.status, list_pieces(observed)) == (200, whole), length
            observed = await read_stream(running, '/stream/x', [script])
            assert observed.status != 200, length
            pieces = list_pieces(observed)
            assert pieces == whole[: len(pieces)], length

    harness.run_check(check)


# Guards against a replica that doesn't go on at the event it was asked for: the client got events
# twice, or out of order.
@pytest.mark.parametrize(
    'numbers', [[0, 1, 2], [1, 2], [2, 1], [2, 2]], ids=['first', 'last', 'back', 'twice']
)
def test_replica_that_goes_on_from_an_earlier_event_is_replaced(numbers: list[int]) -> None:
    async def check(running: deployment.Deployment) -> None:
        allow_retries(running)
        form = FORMS['line feeds']
        wrong = render_script([form(number) for number in numbers], is_whole=True)
        cut = render_script([form(0), form(1)])
        observed = await read_stream(running, '/resume/x', [cut, wrong])
        assert (observed.status, list_pieces(observed)) == (200, [0, 1, 2])

    harness.run_check(check)


# Guards against events that the client already holds, at a router that has not seen the others.
@pytest.mark.parametrize(
    'last_event', ['1', '01', '9' * 5000], ids=['number', 'zero before', 'long number']
)
def test_resumed_stream_has_no_event_that_the_client_holds(last_event: str) -> None:
    async def check(running: deployment.Deployment) -> None:
        allow_retries(running)
        running.routers[0].pools.observed_since = float('-inf')
        form = FORMS['line feeds']
        wrong = render_script([form(number) for number in range(EVENT_COUNT)], is_whole=True)
        headers = [(names.LAST_EVENT_ID, last_event), (names.RESUMES, 'before')]
        observed = await read_stream(running, '/resume/x', [wrong] * 2, headers)
        assert (observed.status, list_pieces(observed)) == (502, [])

    harness.run_check(check)


# Guards against a continuation that begins anew, or from an earlier event, since the last event
# has no id: the client got events twice.
@pytest.mark.parametrize(
    'events',
    [
        ['data: piece 0\n\n'],
        ['id: 0\ndata: piece 0\n\n', 'data: piece 1\n\n'],
        ['\ufeffid: 0\ndata: piece 0\n\n'],
        ['id: é\ndata: piece 0\n\n'],
    ],
    ids=['first', 'later', 'after a mark', 'not ascii'],
)
def test_stream_is_not_continued_after_an_event_without_a_usable_id(events: list[str]) -> None:
    async def check(running: deployment.Deployment) -> None:
        allow_retries(running)
        observed = await read_stream(running, '/resume/x', [render_script(events)])
        assert (observed.status, list_pieces(observed)) == (0, list(range(len(events))))
        observed = await read_stream(running, '/resume/x', [render_script(events, is_whole=True)])
        assert (observed.status, list_pieces(observed)) == (200, list(range(len(events))))

    harness.run_check(check)


# Guards against a stream that looks complete because its replica's kernel closes the connections of
# a process that has ended in order, and nothing else tells where the response ends.
@pytest.mark.parametrize('returns', [False, True])
@pytest.mark.parametrize('path', ['/stream/x', '/resume/x'])
def test_stream_without_length_does_not_end_with_its_process(path: str, returns: bool) -> None:
    """The process may return at once, with another version: then it may have written the event."""

    async def check(running: deployment.Deployment) -> None:
        allow_retries(running)
        models = [target for target in running.replicas.values() if target.model]
        for target in models:
            target.faults.unframed = True
            target.event_pause = 0.2
        pending = asyncio.ensure_future(read_stream(running, path, []))
        await harness.wait_for(lambda: any(target.cache_events for target in models))
        await asyncio.sleep(0.1)
        first = next(target for target in models if target.cache_events)
        first.crash(resets=False)
        if returns:
            running.restart_replica(first.id, software='v2')
        observed = await pending
        if path == '/resume/x' and not returns:
            assert (observed.status, list_pieces(observed)) == (200, [0, 1, 2])
        else:
            assert (observed.status, list_pieces(observed)) == (0, [0])

    harness.run_check(check)
