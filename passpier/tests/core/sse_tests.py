"""Complete events are returned for any split of the bytes."""

from __future__ import annotations

import contextlib

import hypothesis
import hypothesis.strategies as st
import pytest

from passpier.core import sse

texts = st.lists(st.text('abc :', max_size=6), max_size=6)


@hypothesis.given(texts, st.lists(st.integers(1, 9)), st.booleans())
def test_any_split_gives_the_same_events(
    lines: list[str], cuts: list[int], carriage_return: bool
) -> None:
    end = '\r\n' if carriage_return else '\n'
    expected = [f'id: {n}{end}data: {text}{end}{end}'.encode() for n, text in enumerate(lines)]
    stream = b''.join(expected)
    splitter = sse.EventSplitter()
    received = []
    for cut in cuts:
        received += splitter.feed(stream[:cut])
        stream = stream[cut:]
    received += splitter.feed(stream)
    assert received == expected
    assert not splitter.has_rest
    position = sse.Position()
    for event in received:
        position.advance(event)
    assert position.last_id == (str(len(lines) - 1) if lines else '')


# Guards against an event that is held back, and a whole stream that counts as broken off, because
# its lines do not all end in the same way.
@pytest.mark.parametrize('end', ['\n', '\r\n'])
@pytest.mark.parametrize('blank', ['\n', '\r\n'])
def test_lines_of_an_event_may_end_in_different_ways(end: str, blank: str) -> None:
    event = f'id: 1{end}data: a{end}{blank}'.encode()
    splitter = sse.EventSplitter()
    received = [found for n in range(len(event)) for found in splitter.feed(event[n : n + 1])]
    assert received == [event]
    assert not splitter.has_rest


def test_an_incomplete_event_is_buffered() -> None:
    splitter = sse.EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == [b'id: 1\ndata: a\n\n']
    assert splitter.has_rest


@pytest.mark.parametrize(
    ('last_id', 'id', 'follows'),
    [
        ('', '0', True),
        ('9', '10', True),
        ('10', '9', False),
        ('7', '7', False),
        ('7', '007', False),
        ('0', '00', False),
        ('9' * 5000, '1' + '0' * 5000, True),
        ('1' + '0' * 5000, '9' * 5000, False),
        ('-5', '0', True),
        ('x', 'x', False),
        ('b', 'a', True),
    ],
)
def test_event_follows_only_with_a_higher_id(last_id: str, id: str, follows: bool) -> None:
    position = sse.Position(last_id)
    event = f'data: x\nid: {id}\n\n'.encode()
    with contextlib.nullcontext() if follows else pytest.raises(sse.OrderError):
        position.advance(event)
    assert position.last_id == (id if follows else last_id)


@pytest.mark.parametrize(
    ('event', 'is_known'),
    [
        (b'id: 1\ndata: x\n\n', True),
        (b'data: x\n\n', False),
        (b'event: y\r\ndata\r\n\r\n', False),
        (b'\xef\xbb\xbfid: 1\ndata: x\n\n', False),
        (b'id: \xc3\xa9\ndata: x\n\n', False),
        (b': wait\n\n', True),
        (b'event: data\n\n', True),
    ],
)
def test_position_is_known_after_events_with_an_id(event: bytes, is_known: bool) -> None:
    position = sse.Position('0')
    position.advance(event)
    assert position.is_known is is_known
    position.advance(b': wait\n\n')
    assert position.is_known is is_known
    position.advance(b'id: 2\ndata: x\n\n')
    assert position.is_known
