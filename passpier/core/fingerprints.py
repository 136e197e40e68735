"""Fingerprints that identify repeated requests, and the parts that prompts share."""

from __future__ import annotations

import hashlib

SIZE = 8
"""Size of a fingerprint in bytes. As the hash is cryptographic, matching the fingerprint of another
account on purpose takes about 2**64 attempts."""


def compute_fingerprint(account: str, method: str, host: str, target: str, body: bytes) -> int:
    """Return the fingerprint of a request, which is even and doesn't reveal its content.

    A repeated request has another request id and is usually sent to another daemon, so only these
    properties are hashed. They include the account, so that no account can make the requests of
    another one suspects.
    """
    digest = hashlib.blake2b(digest_size=SIZE)
    for part in (account, method, host, target):
        data = part.encode()
        # Prefixed with its length, so that different lists of parts are never encoded alike.
        digest.update(len(data).to_bytes(4, 'big') + data)
    digest.update(body)
    return int.from_bytes(digest.digest(), 'big') & ~1


def compute_part_fingerprint(model: str, name: str) -> int:
    """Return the fingerprint of a prompt part, which is odd; see `is_part`.

    It doesn't include the account: the same part has the same content for all accounts.
    """
    digest = hashlib.blake2b(f'{len(model)}/{model}/{name}'.encode(), digest_size=SIZE)
    return int.from_bytes(digest.digest(), 'big') | 1


def is_part(fingerprint: int) -> bool:
    """Return whether a fingerprint is that of a prompt part and not of a whole request."""
    return bool(fingerprint & 1)


def render_fingerprint(fingerprint: int) -> str:
    """Return the form of a fingerprint used in log lines."""
    return f'{fingerprint:016x}'
