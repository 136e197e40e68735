"""Complete responses, as sent to callers and as stored for repeated requests."""

from __future__ import annotations

from typing import Any

import msgspec

from passpier import clocks, exceptions
from passpier.clients import engines
from passpier.daemon import calls
from passpier.utils import decoding

_STATUSES = {
    exceptions.Code.BAD_REQUEST: 400,
    exceptions.Code.BODY_TOO_LARGE: 413,
    exceptions.Code.CONFLICT: 409,
    exceptions.Code.KEY_EXPIRED: 409,
    exceptions.Code.KEY_REQUIRED: 400,
    exceptions.Code.LIMIT: 429,
    exceptions.Code.NOT_FOUND: 404,
    exceptions.Code.REPEATED: 409,
    exceptions.Code.STREAM_BROKEN: 502,
    exceptions.Code.UNAUTHORIZED: 401,
    exceptions.Code.UPSTREAM_FAILED: 502,
}
"""HTTP status by failure code; all others are 503."""


class Response(msgspec.Struct, frozen=True):
    """A complete response; `repeated` is set if it was sent before."""

    status: int
    content_type: str
    body: bytes
    repeated: bool = False


class _Message(msgspec.Struct):
    content: str = ''


class _Choice(msgspec.Struct):
    finish_reason: str | None
    text: str = ''
    message: _Message = msgspec.field(default_factory=_Message)


class _Completion(msgspec.Struct):
    choices: list[_Choice]
    usage: engines.Usage


_completion_decoder = decoding.build_json_decoder(_Completion)


def get_status(failure: exceptions.Failure) -> int:
    """Return the HTTP status of a failure."""
    return _STATUSES.get(failure.code, 503)


def render_failure(failure: exceptions.Failure) -> dict[str, Any]:
    """Return the OpenAI-style body of a failure, with its outcome."""
    error: dict[str, Any] = {
        'message': failure.message,
        'type': failure.code.value,
        'code': failure.code.value,
        'param': None,
        'outcome': failure.outcome.value,
    }
    if failure.retry_after is not None:
        error['retry_after'] = round(failure.retry_after, 3)
    if failure.entries:
        error['entries'] = list(failure.entries)
    return {'error': error}


def render_chunk(call: calls.Call, text: str, finish_reason: str | None) -> dict[str, Any]:
    """Return a streamed chunk in the OpenAI style."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason, 'logprobs': None}
    if call.chat:
        choice['delta'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    object_type = 'chat.completion.chunk' if call.chat else 'text_completion'
    return _render_common(call, object_type, choice)


def read_completion(call: calls.Call, response: Response) -> tuple[str, str | None, engines.Usage]:
    """Return the text, finish reason and usage of a whole completion; raise `DecodingError`."""
    completion = _completion_decoder.decode(response.body)
    if not completion.choices:
        raise exceptions.DecodingError('a completion without a choice')
    choice = completion.choices[0]
    text = choice.message.content if call.chat else choice.text
    return text, choice.finish_reason, completion.usage


def render_completion(
    call: calls.Call, text: str, finish_reason: str | None, usage: engines.Usage
) -> Response:
    """Return a whole completion in the OpenAI style."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason, 'logprobs': None}
    if call.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    object_type = 'chat.completion' if call.chat else 'text_completion'
    body = {**_render_common(call, object_type, choice), 'usage': msgspec.to_builtins(usage)}
    return Response(200, 'application/json', msgspec.json.encode(body))


def _render_common(call: calls.Call, object_type: str, choice: dict[str, Any]) -> dict[str, Any]:
    return {
        'id': call.id,
        'object': object_type,
        'created': int(clocks.read_time_of_day()),
        'model': call.service.name,
        'choices': [choice],
    }
