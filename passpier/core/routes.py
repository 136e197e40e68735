"""Routes by host and path prefix, with their services and client accounts."""

from __future__ import annotations

import enum
import json
import statistics
from collections.abc import Collection, Iterable, Mapping, Sequence

import msgspec
import xxhash

from passpier.core import buckets, rendezvous


class Kind(enum.Enum):
    """How a request may be retried after a failed attempt."""

    REPEATABLE = 'repeatable'
    """May run any number of times."""

    ONCE = 'once'
    """Runs at most once per attempt of the client."""

    STREAM = 'stream'
    """A stream of events; runs at most once."""

    RESUMABLE_STREAM = 'resumable_stream'
    """A stream of events that another replica can resume after a given event."""

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE_STREAM)

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self in (Kind.REPEATABLE, Kind.RESUMABLE_STREAM)


class Share(msgspec.Struct, frozen=True):
    """A service's share of a route's traffic."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """The settings for a host and path prefix; times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout: float
    objective: float
    max_attempts: int = 1
    priority: int = 1
    public: bool = False
    event_gap: float = 0.0
    """Longest pause between events that still counts as in time, or 0 if there is no limit."""


class Account(msgspec.Struct, frozen=True):
    """A client account as configured by the operator."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    """Whether other accounts must not use cache entries of this account's prompts."""

    rate: buckets.Rate | None = None
    """Its rate limit over all daemons, if any."""

    counts_tokens: bool = False
    """Whether the rate is in tokens instead of requests."""

    plain_cost: int = 1
    """Cost in units of a request whose number of tokens is unknown."""

    def compute_cost(self, tokens: int | None) -> int:
        """Return the cost of one run of a request in units of the rate."""
        if not self.counts_tokens:
            return 1
        return self.plain_cost if tokens is None else tokens


class CacheStore(msgspec.Struct, frozen=True):
    """A shared store of KV cache."""

    address: str
    failure_domain: str
    capacity_tokens: int


class Engine(msgspec.Struct, frozen=True):
    """The capabilities of the replicas of a model service."""

    models: tuple[str, ...]
    slots: int
    cache_tokens: int


class Service(msgspec.Struct, frozen=True):
    """A service that requests can be routed to; `engine` is `None` for plain services."""

    name: str
    max_connections: int
    engine: Engine | None = None


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = msgspec.field(default_factory=dict)
    cache_stores: tuple[CacheStore, ...] = ()
    accounts: tuple[Account, ...] = ()
    has_accounts: bool = False
    """Whether requests need a key, except on public routes."""

    max_body: int = 4 * 1024 * 1024
    """Maximum size of a request body in bytes."""


MEDIAN_WEIGHT = 8
"""Weight of the account with the median rate limit; others are in proportion."""

MAX_WEIGHT = 64
"""Largest weight: an account's turn in a queue must not keep all others waiting."""


def compute_weights(accounts: Sequence[Account]) -> dict[str, int]:
    """Return the accounts' weights in fair shares, by their rate limits; empty without limits."""
    limits = {a.name: a.rate.per_second for a in accounts if a.rate is not None}
    if not limits:
        return {}
    unit = statistics.median(limits.values()) / MEDIAN_WEIGHT
    return {a: min(MAX_WEIGHT, max(1, round(limit / unit))) for a, limit in limits.items()}


class Table:
    """A configuration with its routes and keys indexed for lookup."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._hosts: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda r: -len(r.prefix))
        self._accounts = {k: a for a in configuration.accounts for k in a.keys}
        self.weights = compute_weights(configuration.accounts)
        self.rates = {a.name: a.rate for a in configuration.accounts if a.rate is not None}

        self._isolated = {a.name for a in configuration.accounts if a.isolated}
        self._shared_owner = _name_shared_owner(self._isolated)

    def get_cache_owner(self, account: Account | None) -> str:
        """Return whose cached prompt parts a request may use: the account's own, or shared ones.

        The shared ones change with the set of isolated accounts: what an account made before it
        became isolated is used by no other one afterwards.
        """
        if account is None:
            return self._shared_owner
        # The account may be that of an earlier configuration.
        is_isolated = account.isolated or account.name in self._isolated
        return account.name if is_isolated else self._shared_owner

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, if any."""
        routes: Iterable[Route] = self._hosts.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def find_account(self, key: str) -> Account | None:
        """Return the account that holds a key, if any."""
        return self._accounts.get(key)

    def choose_service(self, route: Route, request: str) -> str:
        """Return the service for a request, a stable choice by the weights of the shares."""
        total = sum(s.weight for s in route.shares)
        point = rendezvous.compute_weight(request, route.name) % max(1, total)
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return route.shares[-1].service


def _name_shared_owner(isolated: Collection[str]) -> str:
    """Return the owner of the parts that all accounts but the isolated ones share."""
    if not isolated:
        return ''
    return f'/{xxhash.xxh3_64_hexdigest(json.dumps(sorted(isolated)).encode())}'
