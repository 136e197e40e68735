"""Requests in progress, as passed between the parts of the daemon."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from passpier import exceptions
from passpier.config import declarations
from passpier.core import attempts, blocks, choice

CHAT_PATH = '/v1/chat/completions'
COMPLETION_PATH = '/v1/completions'
RETRY_ELSEWHERE = 0.1
"""Retry delay, in seconds, for callers that may try another daemon, as others accept requests."""

DEFAULT_DEADLINE = 30.0
"""Deadline of the first token, in seconds, for services without one."""


class RequestFailedError(exceptions.PasspierError):
    """A request has failed."""

    def __init__(self, failure: exceptions.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class Call(msgspec.Struct):
    """A request of a caller; `arrived_at` is in seconds of the monotonic clock."""

    id: str
    account: declarations.Account
    service: declarations.Service
    path: str
    policy: str
    arrived_at: float
    progress: attempts.RequestProgress
    body: Mapping[str, Any] = msgspec.field(default_factory=dict)
    prompt: bytes = b''
    model: declarations.Model | None = None
    job: choice.Job = choice.Job([], 1, 0)
    weight_version: str = ''
    software: str | None = None
    """The software version at which a stream has begun and has to go on; empty if that is unknown,
    so that it can't go on, and none if any version will do."""

    raw: bytes = b''
    key: str = ''
    method: str = 'POST'
    content_type: str = 'application/json'
    cancelled: bool = False
    placement_deadline: float | None = None
    """Deadline of the next placement, if it differs from the deadline of the first token."""

    first_event_due: float | None = None
    """When the first event is late, if the route has an objective for it."""

    ends_at: float | None = None
    """When the client stops waiting, if that is known."""

    fingerprint: int = 0
    """Identifies the request when it is sent again under another id; 0 if it isn't known."""

    @property
    def chat(self) -> bool:
        """Whether this is a chat completion."""
        return self.path == CHAT_PATH

    @property
    def deadline(self) -> float:
        """When it has to be placed on a replica, in seconds of the monotonic clock."""
        if self.placement_deadline is not None:
            return self.placement_deadline
        seconds = self.service.deadline_ms
        return self.arrived_at + (seconds / 1000 if seconds else DEFAULT_DEADLINE)

    @property
    def max_tokens(self) -> int:
        """Maximum number of tokens of the response."""
        return int(self.body.get('max_tokens') or 16)

    def fail(
        self, code: exceptions.Code, message: str, retry_after: float | None = None
    ) -> RequestFailedError:
        """Return the error that ends this request with its current outcome."""
        failure = exceptions.Failure(code, self.progress.outcome, message, retry_after)
        return RequestFailedError(failure)


def make_draining_error(message: str, outcome: exceptions.Outcome) -> RequestFailedError:
    """Return the error that ends a request because this daemon is draining."""
    code = exceptions.Code.DRAINING
    return RequestFailedError(exceptions.Failure(code, outcome, message, RETRY_ELSEWHERE))


def build_job(
    account: declarations.Account,
    service: declarations.Service,
    model: declarations.Model,
    prompt: bytes,
) -> choice.Job:
    """Return the properties of a prompt that the routing policies use."""
    scope = blocks.Scope(account.name, model.name, model.weight_version, service.adapter)
    chain = blocks.compute_chain(blocks.compute_root(scope), prompt, model.block_tokens)
    preamble = len(service.preamble.encode()) // blocks.BYTES_PER_TOKEN // model.block_tokens
    return choice.Job(
        chain,
        model.block_tokens,
        blocks.count_tokens(prompt),
        preamble,
        service.objective,
        service.priority,
    )


def render_chat(messages: list[Mapping[str, Any]]) -> str:
    """Return the prompt text of chat messages, as rendered by the engines' chat template."""
    text = ''.join(f'<|{m["role"]}|>{m["content"]}' for m in messages)
    return text + '<|assistant|>'
