"""Exceptions, error codes and validation findings."""

from __future__ import annotations

import enum

import msgspec


class Outcome(enum.StrEnum):
    """Whether a request is known to have run at an upstream."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class Code(enum.StrEnum):
    """Stable codes of the reasons for which a request is rejected or ends early."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    CONFLICT = 'conflict'
    DEADLINE = 'deadline_unreachable'
    DRAINING = 'draining'
    KEY_EXPIRED = 'key_expired'
    KEY_REQUIRED = 'idempotency_key_required'
    LIMIT = 'limit_reached'
    NO_CONFIGURATION = 'no_configuration'
    NO_UPSTREAM = 'no_upstream'
    NOT_FOUND = 'not_found'
    OVERLOADED = 'overloaded'
    REPEATED = 'already_ran'
    STORE_UNAVAILABLE = 'store_unavailable'
    STREAM_BROKEN = 'stream_broken'
    SUSPECTED = 'suspected'
    UNAUTHORIZED = 'unauthorized'
    UPSTREAM_FAILED = 'upstream_failed'


class Failure(msgspec.Struct, frozen=True):
    """Why a request ends without a regular response.

    `retry_after` is in seconds; `entries` lists addresses that may serve the caller instead.
    """

    code: Code
    outcome: Outcome
    message: str
    retry_after: float | None = None
    entries: tuple[str, ...] = ()


class Finding(msgspec.Struct, frozen=True):
    """One error in an input, with its location."""

    place: str
    message: str

    def __str__(self) -> str:
        return f'{self.place}: {self.message}'


class PasspierError(Exception):
    """Base class of the exceptions that passpier raises."""


class FindingsError(PasspierError):
    """An input is invalid; carries all findings."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__('\n'.join(str(f) for f in findings))
        self.findings = findings


class StoreError(PasspierError):
    """A call to the key-value service failed; a write may or may not have taken effect."""


class ConflictError(PasspierError):
    """A write was rejected because of a concurrent write."""


class DecodingError(PasspierError):
    """Bytes from another process are invalid."""
