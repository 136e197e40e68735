"""The client's side of a request, as the forwarder uses it, and the router's own responses."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Protocol

import msgspec

from passpier.clients import exchanges

log = logging.getLogger(__name__)


class Refusal(msgspec.Struct, frozen=True):
    """A response of the router itself; `retry_after` is in seconds."""

    status: int
    reason: str
    """A stable identifier for logs and metrics."""

    message: str
    retry_after: float | None = None


class ClientGoneError(Exception):
    """The client has closed its connection, so that the request needs no further work."""


class Client(Protocol):
    """Receives the response to one request."""

    @property
    def gone(self) -> bool:
        """Whether the client has closed its connection, as far as this VM has been notified."""

    @property
    def started(self) -> bool:
        """Whether the head of a response has been sent."""

    async def begin(
        self, status: int, reason: str, headers: Sequence[tuple[str, str]], length: int | None
    ) -> None:
        """Send the head; without a length the body comes in chunks."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits for a client that reads slowly."""

    async def finish(self) -> None:
        """End the response as complete."""

    def abort(self) -> None:
        """Close the connection, so that the response can't look complete."""


async def write_refusal(client: Client, refusal: Refusal, id_header: str, id: str) -> None:
    """Send a response of the router itself."""
    headers = [('Content-Type', 'application/json')]
    if id:
        headers.append((id_header, id))
    if refusal.retry_after is not None:
        headers.append(('Retry-After', f'{refusal.retry_after:.3f}'))
    body = b'{"error":"%s"}' % refusal.reason.encode()
    log.info(
        'request refused',
        extra={
            'request': id,
            'status': refusal.status,
            'reason': refusal.reason,
            'detail': refusal.message,
            'retry_after': refusal.retry_after,
        },
    )
    await _write(client, refusal.status, '', headers, body)


async def write_response(
    client: Client, head: exchanges.Head, headers: Sequence[tuple[str, str]], body: bytes
) -> None:
    """Send an upstream's complete response, with these headers."""
    await _write(client, head.status, head.reason, headers, body)


async def _write(
    client: Client, status: int, reason: str, headers: Sequence[tuple[str, str]], body: bytes
) -> None:
    await client.begin(status, reason, headers, len(body))
    await client.write(body)
    await client.finish()
