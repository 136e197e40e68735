"""Cache events that vLLM publishes over ZeroMQ: topic, sequence number, MessagePack batch."""

from __future__ import annotations

import msgspec

from passpier import exceptions
from passpier.utils import decoding

TOPIC_PREFIX = 'kv@'
"""Prefix of a topic, which has the form `kv@<incarnation>@<model>`."""

REPLAY_END = (-1).to_bytes(8, 'big', signed=True)
"""Sequence number that marks the end of a replay."""


class BlockStored(msgspec.Struct, array_like=True, tag='BlockStored'):
    """A chain of blocks that follows `parent_block_hash` and was added to the cache."""

    block_hashes: list[int]
    parent_block_hash: int | None
    token_ids: list[int]
    block_size: int
    lora_id: int | None = None
    medium: str | None = None
    lora_name: str | None = None
    extra_keys: list[list[str] | None] | None = None


class BlockRemoved(msgspec.Struct, array_like=True, tag='BlockRemoved'):
    """Blocks that were evicted."""

    block_hashes: list[int]
    medium: str | None = None


class AllBlocksCleared(msgspec.Struct, array_like=True, tag='AllBlocksCleared'):
    """The cache was emptied."""


Event = BlockStored | BlockRemoved | AllBlocksCleared


class Batch(msgspec.Struct, array_like=True):
    """Events of one engine step; `ts` is the engine's clock in seconds."""

    ts: float
    events: list[Event]
    data_parallel_rank: int | None = None


encode_batch = msgspec.msgpack.Encoder().encode
decode_batch = decoding.build_messagepack_decoder(Batch).decode
"""Raises `DecodingError`."""

SEQUENCE_BYTES = 8
"""Size of a sequence number in bytes."""


def parse_frames(frames: list[bytes]) -> tuple[bytes, bytes, bytes]:
    """Return a message's topic or delimiter, its sequence number and its batch.

    Raises `DecodingError` if it has another form.
    """
    if len(frames) != 3 or len(frames[1]) != SEQUENCE_BYTES:
        raise exceptions.DecodingError(f'{len(frames)} frames, or no sequence number')
    return frames[0], frames[1], frames[2]


def build_topic(incarnation: str, model: str) -> bytes:
    """Return the topic of an engine's cache events."""
    return f'{TOPIC_PREFIX}{incarnation}@{model}'.encode()


def parse_topic(topic: bytes) -> tuple[str, str]:
    """Return the incarnation and the model of a topic, or empty strings if it is malformed."""
    parts = topic.decode(errors='replace').split('@')
    if len(parts) != 3 or parts[0] + '@' != TOPIC_PREFIX:
        return '', ''
    return parts[1], parts[2]
