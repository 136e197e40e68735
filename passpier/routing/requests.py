"""A client's request with its route and account, and how dispatcher and upstream see it."""

from __future__ import annotations

import functools
from collections.abc import Callable

import msgspec

from passpier import clocks
from passpier.clients import exchanges
from passpier.config import declarations
from passpier.core import (
    attempts,
    choice,
    fingerprints,
    priorities,
    prompts,
    replicas,
    routes,
)
from passpier.daemon import calls
from passpier.routing import dialect, sources

HOLD_SHARE = 0.5
"""Fraction of a request's objective for which it may be queued here for a replica."""


class Admitted(msgspec.Struct, frozen=True, dict=True):
    """A request with the route and the account that apply to it."""

    client_request: dialect.ClientRequest
    route: routes.Route
    account: routes.Account | None
    body: bytes
    arrived_at: float

    @property
    def priority(self) -> int:
        """The priority level; 0 is the most urgent."""
        account_priority = self.account.priority if self.account is not None else None
        return priorities.combine(account_priority, self.route.priority)

    @functools.cached_property
    def fingerprint(self) -> int:
        """A hash that identifies the request when it is sent again under another id."""
        client_request = self.client_request
        account = self.account.name if self.account is not None else client_request.key or ''
        return fingerprints.compute_fingerprint(
            account, client_request.method, client_request.host, client_request.target, self.body
        )

    @functools.cached_property
    def shared_parts(self) -> tuple[int, ...]:
        """The fingerprints of the prompt's parts but the last, which is the request's own."""
        prompt = self.client_request.prompt
        if prompt is None:
            return ()
        model = prompt.model
        return tuple(
            fingerprints.compute_part_fingerprint(model, p.name) for p in prompt.parts[:-1]
        )

    @property
    def is_resumption(self) -> bool:
        """Whether the client already holds events of the response, and asks for the rest."""
        client_request = self.client_request
        is_resumed = bool(client_request.last_event or client_request.resumes)
        return is_resumed and self.route.kind.is_stream

    @property
    def stream(self) -> str:
        """The id of the request that began the stream, if the response is one."""
        return self.client_request.resumes or self.client_request.id

    @property
    def stream_seconds(self) -> float:
        """The seconds for which the client may read or resume the stream."""
        return max(self.route.timeout, self.client_request.timeout or 0.0)

    @property
    def ends_at(self) -> float:
        """When the client stops waiting, or the operator's timeout is reached."""
        timeout = self.route.timeout
        if self.client_request.timeout is not None:
            timeout = min(timeout, self.client_request.timeout)
        return self.arrived_at + timeout


def build_call(
    admitted: Admitted, service: str, cache_owner: str = '', weight: int = 1
) -> calls.Call:
    """Return the call to be dispatched for a request; `weight` is that of its account."""
    route = admitted.route
    prompt = admitted.client_request.prompt
    priority = admitted.priority
    hold = min(route.objective * HOLD_SHARE, admitted.ends_at - admitted.arrived_at)
    declared = declarations.Service(
        service,
        service,
        'model' if prompt else 'plain',
        priority=priority,
        deadline_ms=max(1, int(hold * 1000)),
    )
    progress = attempts.RequestProgress(
        route.kind.is_repeatable,
        resumable=False,
        continuable=route.kind is routes.Kind.RESUMABLE_STREAM,
        max_attempts=route.max_attempts,
    )
    call = calls.Call(
        admitted.client_request.id,
        declarations.Account(admitted.account.name if admitted.account else '', weight=weight),
        declared,
        admitted.client_request.target,
        'cost' if prompt else 'least_load',
        admitted.arrived_at,
        progress,
        first_event_due=admitted.arrived_at + route.objective,
        ends_at=admitted.ends_at,
        fingerprint=admitted.fingerprint,
    )
    if prompt is None:
        call.job = choice.Job([], 1, 0, priority=priority)
    else:
        call.job = prompts.build_job(prompt, cache_owner, priority)
    return call


def build_request(
    admitted: Admitted,
    cache_owner: str,
    job: choice.Job,
    replica: replicas.Replica,
    last_event: str,
    cache_sources: sources.CacheSources,
    wire: dialect.Dialect,
    may_send: Callable[[], bool],
) -> exchanges.Request:
    """Return one attempt as it is sent to an upstream."""
    client_request = admitted.client_request
    salt = ''
    source = sources.CacheSource()
    if client_request.prompt is not None:
        # The salt depends on the replica's weights, and the request asks for just these.
        salt = prompts.render_salt(cache_owner, client_request.prompt.model, replica.weight_version)
        source = cache_sources.choose(replica, job, client_request.prompt, salt)
    added = dialect.AttemptFields(
        replica.incarnation,
        replica.weight_version,
        admitted.account.name if admitted.account else '',
        admitted.priority if client_request.prompt is not None else None,
        salt,
        source.fetch,
        source.save,
        last_event,
    )
    return exchanges.Request(
        client_request.method,
        client_request.target,
        wire.write_request(client_request, added),
        admitted.body,
        wire.id_header,
        client_request.id,
        once=not admitted.route.kind.is_repeatable,
        build_late_headers=lambda: wire.write_deadline(admitted.ends_at - clocks.now()),
        may_send=may_send,
    )
