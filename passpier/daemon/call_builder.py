"""Builds calls from requests: validates the body, finds the service and encodes the prompt."""

from __future__ import annotations

import urllib.parse
from typing import Annotated, Any, Literal

import expression
import msgspec
import pydantic

from passpier import clocks, exceptions
from passpier.config import declarations, directory
from passpier.core import attempts, blocks
from passpier.daemon import calls
from passpier.utils import decoding

MAX_TOKENS = 32_768


class ChatMessage(pydantic.BaseModel):
    """One message of a chat."""

    model_config = pydantic.ConfigDict(extra='allow')

    role: str
    content: str


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='allow')

    model: str
    stream: bool = False
    max_tokens: int = pydantic.Field(default=16, ge=1, le=MAX_TOKENS)
    n: Literal[1] = 1


class CompletionBody(_Body):
    """Body of `POST /v1/completions`."""

    prompt: str | list[Annotated[int, pydantic.Field(ge=0, lt=2**32)]]


class ChatBody(_Body):
    """Body of `POST /v1/chat/completions`."""

    messages: list[ChatMessage] = pydantic.Field(min_length=1)


class Request(msgspec.Struct, frozen=True):
    """A request as received; `service` is set for plain services only."""

    id: str
    path: str
    body: bytes
    key: str
    service: str
    method: str
    content_type: str


def build_call(
    config: directory.Directory, account: declarations.Account, request: Request
) -> expression.Result[calls.Call, exceptions.Failure]:
    """Return the call for a request, or the failure."""
    if request.service:
        return _build_plain(config, account, request)
    body = _parse_body(request.path, request.body)
    if isinstance(body, exceptions.Failure):
        return expression.Error(body)
    service = config.find_service(account, body.model)
    if service is None or service.kind != 'model' or service.model is None:
        return expression.Error(_refuse_unknown(body.model))
    missing = _check_key(service.repeatable, request.key)
    if missing is not None:
        return expression.Error(missing)
    model = config.models[service.model]
    call = _start_call(config, account, service, request, service.repeatable)
    call.body = _add_preamble(service, body)
    call.progress.continuable = not isinstance(call.body.get('prompt'), list)
    call.prompt = _encode(dict(call.body))
    call.job = calls.build_job(account, service, model, call.prompt)
    call.model = model
    call.weight_version = model.weight_version
    return expression.Ok(call)


def _build_plain(
    config: directory.Directory, account: declarations.Account, request: Request
) -> expression.Result[calls.Call, exceptions.Failure]:
    service = config.find_service(account, request.service)
    if service is None or service.kind != 'plain':
        return expression.Error(_refuse_unknown(request.service))
    path = urllib.parse.unquote(request.path.partition('?')[0])
    if not _is_plain_path(path):
        return expression.Error(_refuse('the path has empty or dot segments'))
    repeatable = directory.is_repeatable(service, path)
    missing = _check_key(repeatable, request.key)
    if missing is not None:
        return expression.Error(missing)
    call = _start_call(config, account, service, request, repeatable)
    call.progress.resumable = False
    return expression.Ok(call)


def _start_call(
    config: directory.Directory,
    account: declarations.Account,
    service: declarations.Service,
    request: Request,
    repeatable: bool,
) -> calls.Call:
    call = calls.Call(
        request.id,
        account,
        service,
        request.path,
        config.find_policy(service.name, account.name),
        clocks.now(),
        attempts.RequestProgress(repeatable),
    )
    call.raw = request.body
    call.key = '' if repeatable else request.key
    call.method = request.method
    call.content_type = request.content_type
    return call


def _is_plain_path(path: str) -> bool:
    """Return whether a path has no empty or dot segments, which an upstream may normalize."""
    *segments, last = path.split('/')[1:]
    return all(s not in ('', '.', '..') for s in segments) and last not in ('.', '..')


def _parse_body(path: str, raw: bytes) -> CompletionBody | ChatBody | exceptions.Failure:
    kind = ChatBody if path == calls.CHAT_PATH else CompletionBody
    try:
        body = decoding.decode_json(raw)
    except exceptions.DecodingError:
        return _refuse('the body is not JSON')
    try:
        return kind.model_validate(body)
    except pydantic.ValidationError as error:
        parts = [f'{".".join(map(str, e["loc"]))}: {e["msg"]}' for e in error.errors()[:5]]
        return _refuse('; '.join(parts))


def _refuse(message: str) -> exceptions.Failure:
    return exceptions.Failure(exceptions.Code.BAD_REQUEST, exceptions.Outcome.NOT_RUN, message)


def _refuse_unknown(name: str) -> exceptions.Failure:
    message = f'no service {name[:64]!r} for this account'
    return exceptions.Failure(exceptions.Code.NOT_FOUND, exceptions.Outcome.NOT_RUN, message)


def _check_key(repeatable: bool, key: str) -> exceptions.Failure | None:
    if repeatable:
        return None
    if key and len(key) <= 256:
        return None
    message = 'this request may run only once: send an Idempotency-Key of at most 256 characters'
    code = exceptions.Code.KEY_REQUIRED
    return exceptions.Failure(code, exceptions.Outcome.NOT_RUN, message)


def _add_preamble(service: declarations.Service, body: CompletionBody | ChatBody) -> dict[str, Any]:
    content = body.model_dump()
    if not service.preamble:
        return content
    if isinstance(body, ChatBody):
        system = {'role': 'system', 'content': service.preamble}
        content['messages'] = [system, *content['messages']]
    elif isinstance(body.prompt, str):
        content['prompt'] = service.preamble + body.prompt
    return content


def _encode(content: dict[str, Any]) -> bytes:
    if 'messages' in content:
        return blocks.encode_text(calls.render_chat(content['messages']))
    if isinstance(content['prompt'], str):
        return blocks.encode_text(content['prompt'])
    return blocks.encode_tokens(content['prompt'])
