"""Decodes bytes that other processes wrote; all of them may be invalid.

The libraries raise errors of several unrelated classes for such bytes, `RecursionError` for deeply
nested ones among them. The decoders here raise `DecodingError` only.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from passpier import exceptions

T = TypeVar('T')

MAX_INTEGER = 2**63 - 1
"""Largest integer to accept at a border; what is accepted must fit into messages to peers."""

MAX_MESSAGE_LENGTH = 200
"""Maximum number of characters of the message of an error, which may quote the bytes."""

MAX_DIGITS = 18
"""Maximum number of digits of a number in text, so that it is at most `MAX_INTEGER`."""

REPLACEMENT = '\ufffd'
"""The character in place of what is no text."""

_ESCAPE = re.compile(
    rb'\\(?:u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}'
    rb'|(u[dD][89a-fA-F][0-9a-fA-F]{2})|.)',
    re.DOTALL,
)
"""An escape in JSON: a pair of surrogates, a lone one as the only group, or any other."""

_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


class Decoder(Generic[T]):
    """Decodes values of one type."""

    def __init__(self, decode: Callable[[bytes], T]) -> None:
        self._decode = decode

    def decode(self, data: bytes) -> T:
        """Return the decoded value; raise `DecodingError` if the bytes are invalid."""
        try:
            return self._decode(data)
        except _ERRORS as error:
            raise exceptions.DecodingError(str(error)[:MAX_MESSAGE_LENGTH]) from error


def build_json_decoder(kind: type[T], strict: bool = True) -> Decoder[T]:
    """Return a decoder of JSON; unless it is `strict`, numbers may be strings."""
    return Decoder(msgspec.json.Decoder(kind, strict=strict).decode)


def build_messagepack_decoder(kind: type[T]) -> Decoder[T]:
    """Return a decoder of MessagePack."""
    return Decoder(msgspec.msgpack.Decoder(kind).decode)


decode_json: Callable[[bytes], Any] = build_json_decoder(object).decode
"""Decodes JSON of any form; raises `DecodingError`."""


def replace_lone_surrogates(data: bytes) -> bytes:
    """Return JSON with `REPLACEMENT` for each escape of a surrogate that is not one of a pair.

    Some encoders write them, and no decoder accepts them.
    """
    return _ESCAPE.sub(_replace_lone_surrogate, data)


def _replace_lone_surrogate(match: re.Match[bytes]) -> bytes:
    return match[0] if match[1] is None else b'\\ufffd'


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Decompress complete zlib data; raise `DecodingError` if it is invalid or too large."""
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise exceptions.DecodingError(str(error)[:MAX_MESSAGE_LENGTH]) from error
    if not decompressor.eof or len(result) > max_bytes:
        raise exceptions.DecodingError(f'incomplete, or over {max_bytes} bytes decompressed')
    return result


def parse_number(text: str) -> int | None:
    """Return a whole number of at most `MAX_DIGITS` ASCII digits, or none if the text isn't one."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None
