"""Hands an answer on to the client, as long as the client reads it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from passpier import clocks
from passpier.clients import exchanges
from passpier.routing import answering, dialect

UNREAD_GRACE = 0.25
"""Seconds after a request's time is over, or after its answer is there if that is later, in which
the answer may still go out. A client that has stopped reading keeps a replica at work until then,
and no longer."""


class NotReadError(Exception):
    """The client has not read its answer in time."""


class Delivery:
    """The way of one answer to its client; each call raises `NotReadError`."""

    def __init__(self, client: answering.Client, wire: dialect.Dialect, ends_at: float) -> None:
        self._client = client
        self._wire = wire
        self._ends_at = ends_at
        self.final = False
        """Whether the end of the answer is on its way."""

    async def send_event(self, head: exchanges.Head, event: bytes) -> None:
        """Hand on one event of a stream."""
        await self._send(self._write_event(head, event))

    async def finish_stream(self, head: exchanges.Head) -> None:
        """End a stream as complete."""
        self.final = True
        await self._send(self._finish_stream(head))

    async def send_whole(self, answer: exchanges.Answer) -> None:
        """Hand on an upstream's whole answer."""
        self.final = True
        headers = self._wire.clean_answer(answer.head.headers)
        await self._send(answering.write_whole(self._client, answer.head, headers, answer.body))

    async def send_refusal(self, refusal: answering.Refusal, id: str) -> None:
        """Give an answer of our own."""
        self.final = True
        await self._send(answering.write_refusal(self._client, refusal, self._wire.id_header, id))

    async def _write_event(self, head: exchanges.Head, event: bytes) -> None:
        await self._begin_stream(head)
        await self._client.write(event)

    async def _finish_stream(self, head: exchanges.Head) -> None:
        await self._begin_stream(head)
        await self._client.finish()

    async def _begin_stream(self, head: exchanges.Head) -> None:
        if not self._client.started:
            headers = self._wire.clean_answer(head.headers)
            await self._client.begin(head.status, head.reason, headers, None)

    async def _send(self, sending: Awaitable[None]) -> None:
        try:
            async with asyncio.timeout(max(0.0, self._ends_at - clocks.now()) + UNREAD_GRACE):
                await sending
        except TimeoutError as error:
            raise NotReadError from error
