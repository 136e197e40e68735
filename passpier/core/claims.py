"""Idempotency keys of requests that may run at most once: homed keys, opaque keys and their table.

A homed key has the form `<incarnation>.<uuid7>`; only that daemon incarnation may ever run it. Any
other key is opaque and has to be claimed in the store before it may run.
"""

from __future__ import annotations

import enum
import uuid
from typing import Generic, TypeVar

import msgspec

MAX_ENTRIES = 100_000
"""Maximum number of keys in a table; further keys are refused."""

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Maximum bytes of responses in a table; the oldest are dropped first."""

T = TypeVar('T')


class HomedKey(msgspec.Struct, frozen=True):
    """A key that belongs to one daemon incarnation; `made_at` is in seconds since the epoch."""

    incarnation: str
    made_at: float


class OpaqueKey(msgspec.Struct, frozen=True):
    """A key without a home."""


def parse_key(key: str) -> HomedKey | OpaqueKey:
    """Parse an idempotency key."""
    incarnation, separator, rest = key.partition('.')
    if not separator or not incarnation:
        return OpaqueKey()
    try:
        parsed = uuid.UUID(rest)
    except ValueError:
        return OpaqueKey()
    if parsed.version != 7:
        return OpaqueKey()
    return HomedKey(incarnation, (parsed.int >> 80) / 1000)


class State(enum.Enum):
    """The state of a key."""

    RUNNING = 'running'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Verdict(enum.Enum):
    """What to do with a request that has a key."""

    RUN = 'run'
    JOIN = 'join'
    """The key is running; the request waits for the same response."""

    ANSWER = 'answer'
    """The key has run and its response is stored."""

    RAN = 'ran'
    """The key has run, but its response is no longer stored."""

    UNKNOWN = 'unknown'
    """The key may have run."""

    EXPIRED = 'expired'
    """The key is older than the retention, so it may have run."""

    FULL = 'full'
    """The table is full."""


class _Entry(msgspec.Struct, Generic[T]):
    state: State
    made_at: float
    response: T | None = None
    size: int = 0


class KeyTable(Generic[T]):
    """The keys that this incarnation has run or is running.

    An entry is dropped only once its key is older than a horizon that never moves back, and a key
    older than the horizon is never run. So correctness doesn't depend on any clock.
    """

    def __init__(self, retention: float, max_entries: int = MAX_ENTRIES) -> None:
        self._retention = retention
        self._max_entries = max_entries
        self._entries: dict[str, _Entry[T]] = {}
        self._horizon = float('-inf')
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, key: str, made_at: float, now: float) -> Verdict:
        """Decide on a request; `RUN` marks the key as running. Times are Unix times in seconds."""
        self._expire(now)
        entry = self._entries.get(key)
        if entry is not None:
            return self._check_entry(entry)
        if made_at <= self._horizon or made_at > now + self._retention:
            return Verdict.EXPIRED
        if len(self._entries) >= self._max_entries:
            return Verdict.FULL
        self._entries[key] = _Entry(State.RUNNING, made_at)
        return Verdict.RUN

    def covers(self, made_at: float) -> bool:
        """Return whether a key of that time would still be in the table if it had run."""
        return made_at > self._horizon

    def finish(self, key: str, response: T, size: int) -> None:
        """Record that a key has run, and store its response."""
        entry = self._entries[key]
        entry.state = State.RAN
        entry.response = response
        entry.size = size
        self._response_bytes += size
        self._drop_responses()

    def fail(self, key: str, may_have_run: bool) -> None:
        """Record a failure; a key that has certainly not run is removed and may be used again."""
        if may_have_run:
            self._entries[key].state = State.UNKNOWN
        else:
            del self._entries[key]

    def get_response(self, key: str) -> T | None:
        """Return a stored response, if any."""
        entry = self._entries.get(key)
        return entry.response if entry else None

    def _check_entry(self, entry: _Entry[T]) -> Verdict:
        if entry.state is State.RUNNING:
            return Verdict.JOIN
        if entry.state is State.UNKNOWN:
            return Verdict.UNKNOWN
        return Verdict.RAN if entry.response is None else Verdict.ANSWER

    def _expire(self, now: float) -> None:
        horizon = now - self._retention
        if horizon <= self._horizon:
            return
        self._horizon = horizon
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.made_at > horizon or entry.state is State.RUNNING:
                return
            self._response_bytes -= entry.size
            del self._entries[key]

    def _drop_responses(self) -> None:
        if self._response_bytes <= MAX_RESPONSE_BYTES:
            return
        for entry in self._entries.values():
            if entry.response is not None:
                self._response_bytes -= entry.size
                entry.response = None
                entry.size = 0
            if self._response_bytes <= MAX_RESPONSE_BYTES:
                return
