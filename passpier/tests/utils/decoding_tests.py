"""The decoders raise one error, whatever the bytes are."""

from __future__ import annotations

import pathlib
import re
import zlib

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

import passpier
from passpier import exceptions
from passpier.utils import decoding

ROOT = pathlib.Path(passpier.__file__).parent
DECODER_CALLS = re.compile(
    r'msgspec\.(json|msgpack)\.(decode|Decoder)\b|\bjson\.loads?\(|zlib\.decompress\w*\('
)
OWN_MODULES = ('utils/decoding.py', 'daemon/messages.py')
"""Of the messages between daemons, the module has a decoder for tests and measurements."""


class Value(msgspec.Struct):
    """A value with a field of each kind."""

    text: str = ''
    number: int = 0
    share: float = 0.0
    rest: list[int] = []


# Guards against a border that lets errors through which its caller doesn't expect.
def test_no_other_module_calls_the_decoders_of_libraries() -> None:
    for path in sorted(ROOT.rglob('*.py')):
        relative = path.relative_to(ROOT).as_posix()
        if not relative.startswith(('tests/', 'standins/')) and relative not in OWN_MODULES:
            assert not DECODER_CALLS.search(path.read_text()), relative


@hypothesis.given(st.binary())
def test_any_bytes_are_decoded_or_raise_the_one_error(data: bytes) -> None:
    for decoder in (
        decoding.build_json_decoder(Value),
        decoding.build_json_decoder(Value, strict=False),
        decoding.build_messagepack_decoder(Value),
        decoding.build_messagepack_decoder(object),
    ):
        try:
            decoder.decode(data)
        except exceptions.DecodingError as error:
            assert len(str(error)) <= decoding.MAX_MESSAGE_LENGTH


@hypothesis.given(st.binary())
def test_any_bytes_decompress_or_raise_the_one_error(data: bytes) -> None:
    for start in (b'', zlib.compress(b'')[:2]):
        try:
            assert len(decoding.decompress(start + data, 10)) <= 10
        except exceptions.DecodingError:
            continue


@pytest.mark.parametrize(('size', 'fits'), [(0, True), (99, True), (100, True), (101, False)])
def test_decompressed_data_is_limited(size: int, fits: bool) -> None:
    data = zlib.compress(bytes(size))
    if fits:
        assert decoding.decompress(data, 100) == bytes(size)
        return
    with pytest.raises(exceptions.DecodingError):
        decoding.decompress(data, 100)


@pytest.mark.parametrize(
    ('text', 'number'),
    [('0', 0), ('007', 7), ('9' * 18, 10**18 - 1), ('9' * 19, None), ('9' * 5000, None)]
    + [(text, None) for text in ('', '-1', '+1', '1.0', '1e3', ' 1', '1\n', '²', '٣', '1_0')],
)
def test_only_numbers_of_ascii_digits_are_parsed(text: str, number: int | None) -> None:
    assert decoding.parse_number(text) == number


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        (rb'"\ud83d\ude00"', rb'"\ud83d\ude00"'),
        (rb'"\ud83d"', rb'"\ufffd"'),
        (rb'"\ude00\ud83d"', rb'"\ufffd\ufffd"'),
        (rb'"\ud83d\ud83d\ude00"', rb'"\ufffd\ud83d\ude00"'),
        (rb'"\\ud83d"', rb'"\\ud83d"'),
        (rb'"\\\ud83d"', rb'"\\\ufffd"'),
        (b'"\\', b'"\\'),
    ],
)
def test_only_lone_surrogates_are_replaced(before: bytes, after: bytes) -> None:
    assert decoding.replace_lone_surrogates(before) == after
