"""Complete events are returned for any split of the bytes."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

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
    assert splitter.last_id == (str(len(lines) - 1) if lines else '')


def test_an_incomplete_event_is_buffered() -> None:
    splitter = sse.EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == [b'id: 1\ndata: a\n\n']
    assert splitter.has_rest
    assert splitter.last_id == '1'
