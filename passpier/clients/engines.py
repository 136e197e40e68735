"""Client of model engines: OpenAI-style completions, resumable streams, load reports, orders."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from typing import Annotated, Any, Protocol

import msgspec

from passpier import exceptions
from passpier.clients import web
from passpier.core import sse
from passpier.utils import decoding, pacing

END_MARK = b'[DONE]'
"""Data of the event that terminates a complete stream."""

REPORT_MAX = 256 * 1024
"""Maximum size in bytes of a load report, and of the answer to an order."""

NO_SEQUENCE = -1
"""Sequence number of a chunk from an engine that does not number its chunks."""


_Count = Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]


class Delta(msgspec.Struct):
    """New text of a chat choice."""

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class PromptDetails(msgspec.Struct):
    """Details of the prompt tokens: how many were served from the engine's cache."""

    cached_tokens: _Count = 0


class Usage(msgspec.Struct):
    """Token counts of a complete response."""

    prompt_tokens: _Count = 0
    completion_tokens: _Count = 0
    total_tokens: _Count = 0
    prompt_tokens_details: PromptDetails | None = None


class Chunk(msgspec.Struct):
    """One chunk of a streamed completion."""

    id: str
    choices: list[Choice] = []
    usage: Usage | None = None
    sequence: Annotated[int, msgspec.Meta(ge=NO_SEQUENCE, le=decoding.MAX_INTEGER)] = NO_SEQUENCE

    @property
    def text(self) -> str:
        """The new text of the first choice."""
        if not self.choices:
            return ''
        choice = self.choices[0]
        return choice.text or (choice.delta.content if choice.delta else None) or ''

    @property
    def finish_reason(self) -> str | None:
        """The finish reason of the first choice, or none if the text goes on."""
        return self.choices[0].finish_reason if self.choices else None


class LoadReport(msgspec.Struct):
    """The load that an engine reports."""

    incarnation: str
    weight_version: str
    model: str = ''
    running: _Count = 0
    waiting: _Count = 0
    backlog: _Count = 0
    slots: _Count = 8
    capacity: _Count = 0
    leaving: bool = False


_report_decoder = decoding.build_json_decoder(LoadReport)
_chunk_decoder = decoding.build_json_decoder(Chunk)


class Identity(msgspec.Struct, frozen=True):
    """What the headers of a response tell about the engine; load is running, waiting, backlog."""

    incarnation: str
    weight_version: str
    load: tuple[int, int, int] | None


class Engines(Protocol):
    """Calls to model engines."""

    def generate(
        self, address: str, path: str, body: bytes, attempt: str, version: str, reuse: bool
    ) -> web.Exchange:
        """Start a generation."""

    def resume(self, address: str, attempt: str, offset: int, chat: bool) -> web.Exchange:
        """Resume a stream."""

    async def cancel(self, address: str, attempt: str) -> None:
        """Cancel a generation."""

    async def report(self, address: str) -> LoadReport:
        """Fetch an engine's load report."""

    async def order(self, address: str, wanted: Mapping[str, Any], timeout: float) -> web.Response:
        """Send an engine its desired state."""


class HttpEngines:
    """Calls model engines over HTTP."""

    def __init__(self, client: web.Client) -> None:
        self._client = client

    def generate(
        self, address: str, path: str, body: bytes, attempt: str, version: str, reuse: bool
    ) -> web.Exchange:
        """Start a generation; the engine rejects it if it serves other weights."""
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': attempt,
            'X-Weight-Version': version,
        }
        return self._client.open('POST', f'http://{address}{path}', body, headers, reuse)

    def resume(self, address: str, attempt: str, offset: int, chat: bool) -> web.Exchange:
        """Resume a stream from the chunk numbered `offset`."""
        url = f'http://{address}/v1/streams/{attempt}?offset={offset}' + ('&chat=1' * chat)
        return self._client.open('GET', url)

    async def cancel(self, address: str, attempt: str) -> None:
        """Cancel a generation; errors are ignored if the engine cannot be reached."""
        try:
            url = f'http://{address}/v1/streams/{attempt}/cancel'
            await self._client.fetch('POST', url, b'', timeout=2.0)
        except web.ExchangeError:
            return

    async def report(self, address: str) -> LoadReport:
        """Fetch an engine's load report; raise `ExchangeError` if that fails."""
        response = await self._client.fetch(
            'GET', f'http://{address}/load', timeout=1.0, max_bytes=REPORT_MAX
        )
        if response.status != 200:
            raise web.ExchangeError(f'status {response.status}', True)
        try:
            return _report_decoder.decode(response.body)
        except exceptions.DecodingError as error:
            raise web.ExchangeError(f'invalid load report: {error}', True) from error

    async def order(self, address: str, wanted: Mapping[str, Any], timeout: float) -> web.Response:
        """Send an engine its desired state."""
        body = msgspec.json.encode(wanted)
        return await self._client.fetch(
            'PUT', f'http://{address}/wanted', body, timeout=timeout, max_bytes=REPORT_MAX
        )


def parse_identity(headers: Mapping[str, str]) -> Identity:
    """Return what the headers of a response tell about the engine."""
    load = None
    numbers = [decoding.parse_number(part) for part in headers.get('X-Engine-Load', '').split(',')]
    match numbers:
        case [int(running), int(waiting), int(backlog)]:
            load = running, waiting, backlog
    incarnation = headers.get('X-Engine-Incarnation', '')
    return Identity(incarnation, headers.get('X-Weight-Version', ''), load)


def decode_chunk(data: bytes) -> Chunk:
    """Return the chunk in an event's data; raise `DecodingError` if it is invalid."""
    return _chunk_decoder.decode(data)


async def read_events(exchange: web.Exchange) -> AsyncIterator[bytes]:
    """Yield the data of each server-sent event of a response; raises `ExchangeError`."""
    splitter = sse.EventSplitter()
    while (part := await exchange.read()) is not None:
        try:
            events = splitter.feed(part)
        except sse.OverlongEventError as error:
            raise web.ExchangeError(str(error), True) from error
        for event in events:
            await exchange.work.take(pacing.EVENT_STEPS)
            if event.startswith(b'data: '):
                yield event[6:].rstrip(b'\r\n')
