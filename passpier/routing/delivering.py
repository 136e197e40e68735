"""Sends a response to the client, as long as the client reads it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from passpier import clocks
from passpier.clients import exchanges
from passpier.routing import dialect, responses

UNREAD_GRACE = 0.25
"""Seconds for which a response may still be sent after the request's deadline, or after the
response is there if that is later. A client that has stopped reading keeps a replica busy for that
long and no longer."""


class SlowClientError(Exception):
    """The client has not read its response in time."""


class Delivery:
    """Sends one response to its client; each method raises `SlowClientError`."""

    def __init__(self, client: responses.Client, wire: dialect.Dialect, ends_at: float) -> None:
        self._client = client
        self._wire = wire
        self._ends_at = ends_at
        self.final = False
        """Whether the end of the response is being sent."""

    async def send_event(self, head: exchanges.Head, event: bytes) -> None:
        """Send one event of a stream."""
        await self._send(self._write_event(head, event))

    async def finish_stream(self, head: exchanges.Head) -> None:
        """End a stream as complete."""
        self.final = True
        await self._send(self._finish_stream(head))

    async def send_response(self, response: exchanges.Response) -> None:
        """Send an upstream's complete response."""
        self.final = True
        headers = self._wire.filter_headers(response.head.headers)
        await self._send(
            responses.write_response(self._client, response.head, headers, response.body)
        )

    async def send_refusal(self, refusal: responses.Refusal, id: str) -> None:
        """Send a response of the router itself."""
        self.final = True
        await self._send(responses.write_refusal(self._client, refusal, self._wire.id_header, id))

    async def _write_event(self, head: exchanges.Head, event: bytes) -> None:
        await self._begin_stream(head)
        await self._client.write(event)

    async def _finish_stream(self, head: exchanges.Head) -> None:
        await self._begin_stream(head)
        await self._client.finish()

    async def _begin_stream(self, head: exchanges.Head) -> None:
        if not self._client.started:
            headers = self._wire.filter_headers(head.headers)
            await self._client.begin(head.status, head.reason, headers, None)

    async def _send(self, sending: Awaitable[None]) -> None:
        try:
            async with asyncio.timeout(max(0.0, self._ends_at - clocks.now()) + UNREAD_GRACE):
                await sending
        except TimeoutError as error:
            raise SlowClientError from error
