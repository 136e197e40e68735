"""Translates the platform's requests, responses, reports and orders to the router's own types."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec
import tornado.httputil

from passpier import exceptions
from passpier.clients import connections, exchanges
from passpier.core import backpressure, catalogue, prompts, routes
from passpier.platform import names, records
from passpier.routing import dialect
from passpier.utils import decoding

log = logging.getLogger(__name__)

T = TypeVar('T')

DEADLINE_MAX = 86_400.0
"""Maximum seconds for which a client is taken to wait."""

TOKENS_MAX = 2**31
"""Maximum number of tokens in a client's header; sums of them are sent between processes."""

ORDER_TIMEOUT = 0.4
"""Timeout of an order in seconds; a replica accepts one within milliseconds."""

REPORT_MAX = 256 * 1024
"""Maximum size in bytes of a replica's report, and of its answer to an order."""

CACHE_EVENTS_MAX = 1024 * 1024
"""Maximum size in bytes of a list of cache events."""

_VERSION = re.compile('[0-9]{1,18}')

ORDER_MODE = 'keep'
"""How a weight change treats running requests: they continue."""

MAX_LOGGED_LENGTH = 40
"""Maximum number of characters of an invalid header value in a log line."""

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee to a client that the request did not run and never will."""


class Requests:
    """Implements `dialect.Dialect`."""

    id_header = names.REQUEST_ID

    def read_request(
        self, start: tornado.httputil.RequestStartLine, headers: tornado.httputil.HTTPHeaders
    ) -> dialect.ClientRequest:
        """Parse a client's request; raise `ValueError` if it is invalid."""
        id = headers.get(names.REQUEST_ID, '')
        if not id:
            raise ValueError('the request has no id')
        host = headers.get('Host', '').partition(':')[0]
        passed = [
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in names.CONNECTION_HEADERS
            and name.lower() not in names.ROUTER_HEADERS
            and name.lower() != names.LAST_EVENT_ID.lower()
        ]
        usage = _read_usage(headers)
        return dialect.ClientRequest(
            id,
            start.method,
            host,
            start.path,
            _read_key(headers),
            _read_deadline(headers),
            _read_prompt(headers, usage),
            headers.get(names.LAST_EVENT_ID, ''),
            passed,
            resumes=headers.get(names.RESUMES, ''),
            tokens=sum(usage) if usage is not None else None,
        )

    def write_request(
        self, ask: dialect.ClientRequest, sending: dialect.AttemptFields
    ) -> exchanges.Headers:
        """Return the request headers of one attempt, but for its deadline."""
        added = {
            names.EXPECT_INCARNATION: sending.incarnation,
            names.EXPECT_VERSION: sending.weight_version,
            names.ACCOUNT: sending.account,
            names.PRIORITY: '' if sending.priority is None else str(sending.priority),
            names.SALT: sending.salt,
            names.CACHE_SOURCE: sending.source,
            names.CACHE_TARGET: sending.target,
            names.LAST_EVENT_ID: sending.last_event,
        }
        return [*ask.headers, *((n, v) for n, v in added.items() if v)]

    def write_deadline(self, time_left: float) -> exchanges.Headers:
        """Return the header that tells an upstream how many seconds it has."""
        return [(names.DEADLINE, str(max(1, int(time_left * 1000))))]

    def classify_response(self, head: exchanges.Head) -> dialect.Verdict:
        """Classify an upstream's response by its status and headers."""
        if head.status == 421:
            return dialect.Verdict.WRONG_UPSTREAM
        if head.get(names.NOT_EXECUTED) is not None:
            return dialect.Verdict.NOT_RUN
        if head.get('Content-Encoding') is not None or head.status in _NOT_RUN_STATUSES:
            return dialect.Verdict.INVALID
        if 200 <= head.status < 300:
            stamped = head.get(names.SERVER_STAMP) is not None
            return dialect.Verdict.SUCCESS if stamped else dialect.Verdict.INVALID
        return dialect.Verdict.FAILURE

    def read_version(self, head: exchanges.Head) -> str:
        """Return the weight version that produced a response, or an empty string."""
        version = head.get(names.WEIGHT_VERSION) or ''
        return version if _VERSION.fullmatch(version) else ''

    def read_incarnation(self, head: exchanges.Head) -> str:
        """Return the incarnation that an upstream reports, or an empty string."""
        return head.get(names.INCARNATION) or ''

    def read_signal(self, head: exchanges.Head) -> backpressure.Signal:
        """Return the backpressure signal of a replica's response."""
        return _read_signal(head)

    def filter_headers(self, headers: exchanges.Headers) -> list[tuple[str, str]]:
        """Return the response headers that are forwarded to the client."""
        return [(n, v) for n, v in headers if n.lower() not in names.CONNECTION_HEADERS]


class Records:
    """Implements `dialect.Records`."""

    configuration_key = names.CONFIGURATION_KEY
    version_prefix = names.VERSION_PREFIX
    replica_prefix = names.REPLICA_PREFIX
    own_prefix = names.OWN_PREFIX

    def decode_configuration(self, data: bytes) -> routes.Configuration:
        """Decode the operator's configuration."""
        return records.decode_configuration(data)

    def decode_replica(self, id: str, data: bytes) -> catalogue.Entry:
        """Decode a replica's registry entry."""
        return records.decode_replica(id, data)

    def decode_named_version(self, data: bytes) -> tuple[str, int]:
        """Decode a release of weights; return the model and the version."""
        return records.decode_named_version(data)


class Directory:
    """Implements `dialect.Directory`."""

    directory_path = names.RESOLVE_PATH
    ready_path = names.READY_PATH

    def read_query(self, request: tornado.httputil.HTTPServerRequest) -> dialect.Query:
        """Parse a client's lookup parameters."""
        values = {k: v[0].decode('utf-8', 'replace') for k, v in request.arguments.items()}
        return dialect.Query(values.get('region', ''), values.get('zone', ''))

    def render_entries(self, addresses: Sequence[str], ttl: float) -> dict[str, object]:
        """Return the body of the response."""
        return {'addresses': list(addresses), 'ttl_s': ttl}


class Engines:
    """Implements `dialect.Engines`.

    Its calls carry no ids: a replica of a plain service would run them as requests. A response with
    an id is a late one to a request.
    """

    def __init__(self, pool: connections.Pool) -> None:
        self._pool = pool

    async def report(
        self, address: str, incarnation: str, proxy: str | None = None, is_new: bool = False
    ) -> dialect.Report:
        """Fetch a replica's report; raise `ExchangeError` if that fails."""
        headers = [('Host', address)]
        if incarnation:
            headers.append((names.EXPECT_INCARNATION, incarnation))
        request = exchanges.Request('GET', names.REPORT_PATH, headers, id_header=names.REQUEST_ID)
        response = await self._pool.fetch(
            address, request, dialect.ASK_TIMEOUT, proxy, is_new, REPORT_MAX
        )
        if response.head.status in (400, 404, 405):
            # Replicas of plain services have no report; any response shows that they are alive.
            return dialect.Report({}, False, 0, 0, 0, signal=_read_signal(response.head))
        reported = response.head.get(names.INCARNATION)
        replaced = incarnation and reported is not None and reported != incarnation
        if response.head.status == 421 or replaced:
            text = f'{incarnation} is no longer at {address}'
            raise exchanges.ExchangeError(exchanges.Fault.REPLACED, text, True)
        raw = _decode_response(response, records.decode_report)
        versions = {m.name: m.version for m in raw.models}
        return dialect.Report(
            versions,
            raw.utilization,
            raw.sequence,
            raw.active,
            raw.queued,
            raw.born,
            _read_signal(response.head),
            _read_tokens(raw.kv_used),
            _read_tokens(raw.kv_total),
        )

    async def read_cache_changes(
        self, address: str, since: int, wait: float
    ) -> dialect.CacheChanges:
        """Fetch a cache's events from number `since` on; raise `ExchangeError` if that fails."""
        headers = [('Host', address), (names.WAIT_MS, str(int(wait * 1000)))]
        target = f'{names.CACHE_EVENTS_PATH}?since={since}'
        request = exchanges.Request('GET', target, headers, id_header=names.REQUEST_ID)
        timeout = wait + dialect.ASK_TIMEOUT
        response = await self._pool.fetch(address, request, timeout, max_bytes=CACHE_EVENTS_MAX)
        raw = _decode_response(response, records.decode_cache_events)
        changes = tuple(
            # A partial eviction counts as a removal: what remains of the segment is unusable.
            dialect.CacheChange(event.sign == '+', event.salt, event.part)
            for event in raw.events
        )
        return dialect.CacheChanges(raw.boot_epoch, raw.next_token, raw.lost, changes)

    async def order(
        self, address: str, order: dialect.WeightOrder, may_send: Callable[[], bool]
    ) -> dialect.OrderResult:
        """Order a replica to load weights; `may_send` is checked right before the first byte."""
        body = {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            'mode': ORDER_MODE,
            'holder': order.holder,
            'fencing_token': order.token,
            'expected_revision': order.expected_orders,
        }
        headers = [
            ('Host', address),
            ('Content-Type', 'application/json'),
            # A late response to an order has no id, and would pass for that to the next call.
            ('Connection', 'close'),
            (names.EXPECT_INCARNATION, order.incarnation),
        ]
        data = msgspec.json.encode(body)
        request = exchanges.Request(
            'POST',
            names.ORDER_PATH,
            headers,
            data,
            id_header=names.REQUEST_ID,
            once=True,
            may_send=may_send,
        )
        try:
            response = await self._pool.fetch(
                address, request, ORDER_TIMEOUT, proxy='', max_bytes=REPORT_MAX
            )
        except exchanges.ExchangeError as error:
            log.warning('order not answered', extra={'upstream': address, 'error': str(error)})
            return dialect.OrderResult.UNKNOWN
        return _ORDER_RESULTS.get(response.head.status, dialect.OrderResult.REFUSED)


_ORDER_RESULTS = {
    421: dialect.OrderResult.REPLACED,
    200: dialect.OrderResult.HOLDS,
    202: dialect.OrderResult.TAKEN,
    409: dialect.OrderResult.BUSY,
}


def _decode_response(response: exchanges.Response, decode: Callable[[bytes], T]) -> T:
    """Decode the body of a replica's response; raise `ExchangeError` if it is not usable."""
    if response.head.status != 200:
        text = f'unexpected status {response.head.status}'
        raise exchanges.ExchangeError(exchanges.Fault.MALFORMED, text, True)
    try:
        return decode(response.body)
    except exceptions.StoreError as error:
        raise exchanges.ExchangeError(exchanges.Fault.MALFORMED, str(error), True) from error


def _read_key(headers: tornado.httputil.HTTPHeaders) -> str | None:
    value = headers.get(names.AUTHORIZATION)
    if value is None:
        return None
    return (
        value[len(names.AUTHORIZATION_SCHEME) :]
        if value.startswith(names.AUTHORIZATION_SCHEME)
        else ''
    )


def _read_deadline(headers: tornado.httputil.HTTPHeaders) -> float | None:
    value = headers.get(names.DEADLINE)
    if value is None:
        return None
    seconds = float(value) / 1000
    if not math.isfinite(seconds) or seconds < 0:
        raise ValueError('the deadline is no time')
    return min(seconds, DEADLINE_MAX)


def _read_signal(head: exchanges.Head) -> backpressure.Signal:
    leaving = (head.get(names.LEAVING) or '').strip() == '1'
    backoff = _read_amount(head, 'Retry-After') if head.status == 503 else None
    return backpressure.Signal(
        _read_amount(head, names.RATE_LIMIT),
        leaving,
        backoff or None,
        _read_amount(head, names.BRITTLE),
    )


def _read_amount(head: exchanges.Head, name: str) -> float | None:
    """Return the non-negative number in a header, or none if it is missing or invalid."""
    value = head.get(name)
    if value is None:
        return None
    try:
        amount = float(value)
    except ValueError:
        amount = math.nan
    if math.isfinite(amount) and amount >= 0:
        return amount
    log.warning('invalid header value', extra={'header': name, 'value': value[:MAX_LOGGED_LENGTH]})
    return None


def _read_tokens(value: object) -> int | None:
    """Return a number of tokens in a report, or none if it is missing or invalid."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return int(value) if 0 <= value <= decoding.MAX_INTEGER else None


def _read_usage(headers: tornado.httputil.HTTPHeaders) -> tuple[int, int] | None:
    """Return the prompt tokens and the maximum completion tokens, if the client declares them."""
    value = headers.get(names.TOKEN_USAGE)
    if value is None:
        return None
    prompt_tokens, _, completion_tokens = value.partition(',')
    return _read_count(prompt_tokens), _read_count(completion_tokens or '0')


def _read_count(text: str) -> int:
    """Return a number of tokens that a client declares; raises `ValueError`."""
    count = int(text)
    if not 0 <= count <= TOKENS_MAX:
        raise ValueError('the tokens are no count')
    return count


def _read_prompt(
    headers: tornado.httputil.HTTPHeaders, usage: tuple[int, int] | None
) -> prompts.Prompt | None:
    model = headers.get(names.MODEL)
    if model is None:
        return None
    parts = []
    for item in filter(None, headers.get(names.PREFIX_HASHES, '').split(',')):
        name, _, tokens = item.strip().partition(':')
        parts.append(prompts.Part(name, _read_count(tokens)))
    return prompts.Prompt(model, tuple(parts), usage[1] if usage is not None else 0)
