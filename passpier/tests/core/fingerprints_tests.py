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


@hypothesis.given(texts, texts, texts, texts)
def test_parts_have_the_same_fingerprint_only_in_the_same_model(
    model: str, name: str, other_model: str, other_name: str
) -> None:
    one = fingerprints.compute_part_fingerprint(model, name)
    other = fingerprints.compute_part_fingerprint(other_model, other_name)
    assert (one == other) == ((model, name) == (other_model, other_name))


@hypothesis.given(requests, texts)
def test_a_part_is_never_taken_for_a_request(
    request: tuple[str, str, str, str, bytes], name: str
) -> None:
    assert not fingerprints.is_part(fingerprints.compute_fingerprint(*request))
    assert fingerprints.is_part(fingerprints.compute_part_fingerprint('model', name))
