"""Clients that read resumable streams and resume them after they have broken off."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Sequence

from passpier.clients import exchanges
from passpier.core import sse
from passpier.platform import names
from passpier.standins.platform import deployment, replica

SLACK = 1.0
"""Seconds that a client waits beyond the deadline that it sends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event that a client has received, with the version of its replica's software."""

    number: int
    software: str


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream as its client has received it, in one or several attempts."""

    id: str
    headers: Sequence[tuple[str, str]]
    events: list[Event] = dataclasses.field(default_factory=list)
    statuses: list[int] = dataclasses.field(default_factory=list)
    """The status of each attempt; 0 if no response began."""

    bodies: list[bytes] = dataclasses.field(default_factory=list)
    """The body of each attempt that was not answered with a success."""

    path: str = '/resume/x'
    is_complete: bool = False
    first_attempt: str = ''
    """The attempt that brought the first event."""

    @property
    def versions(self) -> set[str]:
        """The software versions whose events the client holds."""
        return {event.software for event in self.events}

    @property
    def next_attempt(self) -> str:
        """The request id of the next attempt."""
        return f'{self.id}.{len(self.statuses)}'

    @property
    def is_whole(self) -> bool:
        """Whether no event so far is missing or has come twice."""
        return [e.number for e in self.events] == list(range(len(self.events)))

    async def read(
        self,
        running: deployment.Deployment,
        address: str,
        stop_after: int | None = None,
        patience: float = 3.0,
    ) -> bool:
        """Ask a router for the stream, or for the rest of it; return whether it is complete.

        The client disconnects once it holds `stop_after` events.
        """
        attempt = self.next_attempt
        headers = [*deployment.build_headers(attempt, int(patience * 1000)), *self.headers]
        if self.events:
            headers.append((names.LAST_EVENT_ID, str(self.events[-1].number)))
            headers.append((names.RESUMES, self.first_attempt))
        request = exchanges.Request('POST', self.path, headers, self.id.encode())
        self.statuses.append(0)
        exchange: exchanges.Exchange | None = None
        try:
            async with asyncio.timeout(patience + SLACK):
                exchange = await running.pool.open(address, request)
                await self._read_response(exchange, attempt, stop_after)
        except (TimeoutError, exchanges.ExchangeError):
            # The client keeps the events that it has.
            pass
        finally:
            if exchange is not None:
                exchange.close()
        return self.is_complete

    async def _read_response(
        self, exchange: exchanges.Exchange, attempt: str, stop_after: int | None
    ) -> None:
        head = await exchange.read_head()
        self.statuses[-1] = head.status
        if head.status != 200:
            self.bodies.append((await exchange.read_all()).body)
            return
        splitter = sse.EventSplitter()
        while (part := await exchange.read()) is not None:
            for event in splitter.feed(part):
                self.first_attempt = self.first_attempt or attempt
                self.events.append(_parse_event(event))
            if stop_after is not None and len(self.events) >= stop_after:
                return
        self.is_complete = True


def _parse_event(data: bytes) -> Event:
    fields = dict(line.split(': ', 1) for line in data.decode().splitlines() if ': ' in line)
    return Event(int(fields['id']), fields.get(replica.SOFTWARE_FIELD, ''))
