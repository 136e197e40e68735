"""Decodes the platform's records: configuration, replicas, releases of weights, reports."""

from __future__ import annotations

import ipaddress
import logging
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from passpier import exceptions
from passpier.core import buckets, catalogue, routes
from passpier.utils import decoding

log = logging.getLogger(__name__)

T = TypeVar('T')

MAX_SLOTS = 10_000
"""Largest plausible number of concurrent requests in a replica's entry. Replicas have tens to
hundreds; one that seemed to have unlimited capacity would attract every request."""

MAX_LOGGED_ADDRESS = 40
"""Maximum number of characters of an invalid address in an error message."""

_Integer = Annotated[int, msgspec.Meta(ge=-decoding.MAX_INTEGER, le=decoding.MAX_INTEGER)]
"""Of the configuration: any integer that a message to a peer can hold."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_INTEGER)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]

_KINDS = {
    ('idempotent', False): routes.Kind.REPEATABLE,
    ('non_idempotent', False): routes.Kind.ONCE,
    ('streaming', False): routes.Kind.STREAM,
    ('streaming', True): routes.Kind.RESUMABLE_STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: _Integer = 1


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    type: str = 'idempotent'
    timeout_ms: float = 30_000
    target_latency_ms: float = 1000
    priority: _Integer = 1
    service: str = ''
    split: list[_Split] = []
    max_attempts: _Integer = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: _Integer = 1
    kv_capacity: _Integer = 0
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    max_connections: _Integer = 100
    engine: _Engine | None = None
    kv_store_address: str = ''
    """Set if the service is a KV cache store, which no route refers to."""

    zone: str = ''
    kv_capacity: _Integer = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: _Integer | None = None
    isolated: bool = False
    rate_per_s: float = 0
    """Units per second; 0 means no limit."""

    burst: float = 0
    """Units that may be spent beyond the rate."""

    unit: str = 'requests'
    uncached_tokens: _Integer = 1
    """Cost of a request that does not declare its tokens, if `unit` is `tokens`."""


class _Limits(msgspec.Struct):
    max_body_bytes: _Integer = 4 * 1024 * 1024


class _Configuration(msgspec.Struct):
    version: _Integer
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _WeightVersion(msgspec.Struct):
    name: str
    """Empty in the report of a replica without a model."""

    version: _Count


class _ReplicaEntry(msgspec.Struct):
    """A replica's registry entry.

    The fields without a default are in the entry of every replica; an entry that lacks one was
    written by something else.
    """

    service: _Name
    address: str
    zone: str
    version: str
    """Version of the replica's software."""

    slots: _Slots
    state: Literal['ready', 'draining']
    sequence: _Count
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    """Remaining milliseconds of the replica's slow start."""

    models: list[_WeightVersion] | msgspec.UnsetType = msgspec.UNSET
    born: _Count | msgspec.UnsetType = msgspec.UNSET
    """Start time of the process in Unix milliseconds; older replica software does not report it."""


class _Release(msgspec.Struct):
    model: _Name
    version: Annotated[int, msgspec.Meta(ge=1, le=decoding.MAX_INTEGER)]


class _Report(msgspec.Struct):
    """A replica's state as it reports it; some hundred milliseconds old."""

    models: list[_WeightVersion] = []
    born: _Count | None = None
    utilization: bool = False
    """Whether the replica is carrying out an order, despite the field's name on the wire."""

    sequence: _Count = 0
    """Number of orders accepted so far."""

    queued: _Count = 0
    active: _Count = 0
    kv_used: Any = None
    """Tokens of KV cache that can't be evicted. Not validated here: an invalid value must not make
    the report count as missing, which would make the replica seem unresponsive."""

    kv_total: Any = None
    """Capacity of the KV cache in tokens."""


class _CacheEvent(msgspec.Struct, array_like=True):
    number: _Count
    sign: Literal['+', '-']
    """`-` if the prompt segment was evicted, as a whole or in part."""

    salt: str
    part: str
    cached_tokens: _Count
    """Tokens of the segment that are cached after the event."""

    model: str


class _CacheResponse(msgspec.Struct):
    boot_epoch: _Count
    next_token: _Count
    events: list[msgspec.Raw] = []
    lost: bool = False


_configuration_decoder = decoding.build_json_decoder(_Configuration)
_replica_decoder = decoding.build_json_decoder(_ReplicaEntry)
_release_decoder = decoding.build_json_decoder(_Release)
_report_decoder = decoding.build_json_decoder(_Report)
_cache_decoder = decoding.build_json_decoder(_CacheResponse)
_event_decoder = decoding.build_json_decoder(_CacheEvent)


class CacheEvents(msgspec.Struct, frozen=True):
    """Events of a cache since `boot_epoch`, up to the one before `next_token`."""

    boot_epoch: int
    next_token: int
    events: tuple[_CacheEvent, ...]
    lost: bool
    """Whether events are missing: the cache no longer has them, or they could not be decoded."""


def decode_configuration(data: bytes) -> routes.Configuration:
    """Decode the operator's configuration; raise `StoreError` if it is invalid."""
    raw = decode(data, _configuration_decoder)
    services = {s.name: _convert_service(s) for s in raw.services if not s.kv_store_address}
    stores = tuple(
        routes.CacheStore(s.kv_store_address, s.zone, s.kv_capacity)
        for s in raw.services
        if s.kv_store_address
    )
    accounts = tuple(_convert_account(t) for t in raw.tenants or ())
    return routes.Configuration(
        raw.version,
        tuple(_convert_route(r) for r in raw.routes),
        services,
        stores,
        accounts,
        raw.tenants is not None,
        raw.limits.max_body_bytes,
    )


def decode_replica(id: str, data: bytes) -> catalogue.Entry:
    """Decode a replica's entry; raise `StoreError` if it is invalid."""
    raw = decode(data, _replica_decoder)
    _check_address(raw.address)
    return catalogue.Entry(
        id,
        raw.service,
        raw.address,
        raw.zone,
        raw.slots,
        raw.state == 'draining',
        {m.name: m.version for m in raw.models or ()},
        raw.born or 0,
        reports_weights=raw.models is not msgspec.UNSET,
        reports_start=raw.born is not msgspec.UNSET,
        software=raw.version,
    )


def decode_named_version(data: bytes) -> tuple[str, int]:
    """Decode a release of weights; return the model and the version."""
    raw = decode(data, _release_decoder)
    return raw.model, raw.version


def decode_report(data: bytes) -> _Report:
    """Decode a replica's report."""
    return decode(data, _report_decoder)


def decode_cache_events(data: bytes) -> CacheEvents:
    """Decode the events of a replica's or store's cache, and skip the invalid ones.

    Fetching them again would return the same invalid events.
    """
    raw = decode(data, _cache_decoder)
    events = []
    for item in raw.events:
        try:
            events.append(decode(bytes(item), _event_decoder))
        except exceptions.StoreError as error:
            log.info('invalid cache event', extra={'error': str(error), 'next': raw.next_token})
    lost = raw.lost or len(events) < len(raw.events)
    return CacheEvents(raw.boot_epoch, raw.next_token, tuple(events), lost)


def _check_address(address: str) -> None:
    """Raise `StoreError` if an address is not a reachable `IPv4:port`."""
    host, _, port = address.rpartition(':')
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise exceptions.StoreError(f'invalid address: {address[:MAX_LOGGED_ADDRESS]!r}') from error
    is_port = port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536
    if not is_port or ip.is_unspecified or ip.is_multicast:
        raise exceptions.StoreError(f'invalid address: {address[:MAX_LOGGED_ADDRESS]!r}')


def _convert_route(raw: _Route) -> routes.Route:
    kind = _KINDS.get((raw.type, raw.resumable and raw.type == 'streaming'), routes.Kind.ONCE)
    shares = tuple(routes.Share(s.service, s.weight) for s in raw.split)
    return routes.Route(
        raw.name,
        raw.host,
        raw.path_prefix,
        kind,
        shares or (routes.Share(raw.service, 1),),
        raw.timeout_ms / 1000,
        raw.target_latency_ms / 1000,
        raw.max_attempts,
        raw.priority,
        raw.public,
        raw.gap_target_ms / 1000,
    )


def _convert_account(raw: _Tenant) -> routes.Account:
    rate = buckets.Rate(raw.rate_per_s, max(0.0, raw.burst)) if raw.rate_per_s > 0 else None
    return routes.Account(
        raw.name,
        tuple(raw.api_keys),
        raw.priority,
        raw.isolated,
        rate,
        raw.unit == 'tokens',
        raw.uncached_tokens,
    )


def _convert_service(raw: _Service) -> routes.Service:
    engine = raw.engine
    if engine is None:
        return routes.Service(raw.name, raw.max_connections)
    models = tuple(m.name for m in engine.models)
    return routes.Service(
        raw.name, raw.max_connections, routes.Engine(models, engine.slots, engine.kv_capacity)
    )


def decode(data: bytes, decoder: decoding.Decoder[T]) -> T:
    """Decode JSON of the platform; raise `StoreError` if it is invalid."""
    try:
        return decoder.decode(data)
    except exceptions.DecodingError as error:
        raise exceptions.StoreError(f'invalid record: {error}') from error
