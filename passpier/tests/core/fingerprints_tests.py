"""Which requests have the same fingerprint."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st

from passpier.core import fingerprints

REQUEST = ('tower', 'POST', 'desk.example', '/stream/x', b'body')

texts = st.text(max_size=8)
requests = st.tuples(texts, texts, texts, texts, st.binary(max_size=8))


def test_a_repeated_request_has_the_same_fingerprint() -> None:
    """It stays the same across restarts, as nothing in it is random."""
    first = fingerprints.compute_fingerprint(*REQUEST)
    assert first == fingerprints.compute_fingerprint(*REQUEST)
    assert fingerprints.render_fingerprint(first) == '2f0cc2d4053f2bb0'


@hypothesis.given(requests, requests)
def test_different_requests_have_different_fingerprints(
    one: tuple[str, str, str, str, bytes], other: tuple[str, str, str, str, bytes]
) -> None:
    same = fingerprints.compute_fingerprint(*one) == fingerprints.compute_fingerprint(*other)
    assert same == (one == other)
