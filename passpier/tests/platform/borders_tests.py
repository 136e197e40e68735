"""Every border gets the same odd values: bytes from outside never raise an unexpected error.

A new border needs a row in `JSON_BORDERS` or `MESSAGEPACK_BORDERS`. What a border accepts must also
fit into a message, as most of it is sent to peers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import types
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, cast

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest
import tornado.httputil

from passpier import exceptions
from passpier.clients import connections, engines, exchanges, kvevents, registry, rpc, web
from passpier.clients import store as store_clients
from passpier.config import declarations
from passpier.core import members, revisions
from passpier.daemon import (
    call_builder,
    calls,
    idempotency,
    messages,
    operators,
    peers,
    responses,
    storage,
    upstreams,
)
from passpier.platform import dialect, names, records, store
from passpier.routing import crash_records, origin_records, relaying, roster, version_records
from passpier.standins.platform import deployment
from passpier.standins.platform import replica as replica_standins
from passpier.utils import decoding

DEPTHS = (900, 100_000)
ODD_VALUES: tuple[bytes, ...] = (
    *(b'[' * depth + b']' * depth for depth in DEPTHS),
    *(b'{"a":' * depth + b'1' + b'}' * depth for depth in DEPTHS),
    b'9' * 5000,
    b'-' + b'9' * 5000,
    b'1' + b'0' * 30,
    b'18446744073709551616',
    b'9223372036854775808',
    b'-9223372036854775809',
    b'1e999',
    b'1e308',
    b'-1e308',
    b'-1',
    b'0',
    b'1.5',
    b'NaN',
    b'null',
    b'true',
    b'[]',
    b'{}',
    b'[null]',
    b'{"":null}',
    b'""',
    b'"' + b'x' * 200_000 + b'"',
    b'"' + b'9' * 5000 + b'"',
    b'"\\ud800"',
    b'"\\u0000"',
    b'"\xff"',
    '"²"'.encode(),
)
"""Values in JSON that some decoder, number or text can't hold."""


MARK = '@'
MARK_IN_JSON = b'"@"'


class NeverError(Exception):
    """Raised by nothing, for borders that raise no error."""


class Border(NamedTuple):
    """Where bytes of another process come in; `error` is what its callers expect."""

    name: str
    decode: Callable[[bytes], object]
    error: type[Exception]
    example: Any


def run_store(body: bytes, call: Callable[[store.Store], Any]) -> Any:
    """Return the result of a call that the platform's store answers with `body`."""

    class Pool:
        async def fetch(self, *arguments: Any, **options: Any) -> exchanges.Response:
            return exchanges.Response(exchanges.Head(200, '', []), body)

    return asyncio.run(call(store.Store('store:1', cast(connections.Pool, Pool()))))


def run_gateway(body: bytes, call: Callable[[store_clients.EtcdStore], Any]) -> Any:
    """Return the result of a call that the gateway of `passpierd`'s store answers with `body`."""
    client = cast(web.Client, Client(body))
    return asyncio.run(call(store_clients.EtcdStore(['store:1'], client)))


class Client:
    """Answers every call with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def fetch(self, *arguments: Any, **options: Any) -> web.Response:
        return web.Response(200, tornado.httputil.HTTPHeaders(), self._body)


def read_report(body: bytes) -> engines.LoadReport:
    return asyncio.run(engines.HttpEngines(cast(web.Client, Client(body))).report('a:1'))


def read_memory(report: Any) -> Any:
    """Return a report without the fields that are validated later."""
    return msgspec.structs.replace(report, kv_used=None, kv_total=None)


def decode_item(decode: Callable[[str, bytes], Any]) -> Callable[[bytes], Any]:
    return lambda data: decode('key', data)


def decode_stored(decoder: decoding.Decoder[Any]) -> Callable[[bytes], Any]:
    return lambda data: storage._decode(store_clients.Value('key', data, 1, 1), decoder)


def build_item(data: bytes) -> registry.Item:
    return registry.Item('own/members/vm-1', data, registry.Revision(1, 1))


def read_items(items: tuple[registry.Item, ...]) -> list[str]:
    return [item.key for item in items]


MEMBER = msgspec.to_builtins(members.Member('vm-1', 'i1', '10.0.0.1', 1, 2, 'd0'))
ITEMS = [{'private_key': 'a', 'revision': 1, 'value': 'YQ==', 'lease': 1, 'removed': False}]
ROWS = [{'key': 'YQ==', 'value': 'YQ==', 'mod_revision': '1', 'create_revision': '1'}]
REPORT = {
    'models': [{'name': 'm1', 'version': 1}],
    'born': 1000,
    'utilization': False,
    'sequence': 1,
    'queued': 0,
    'active': 0,
    'kv_used': 5,
    'kv_total': 10,
}
CACHE_EVENTS = {
    'boot_epoch': 1,
    'next_token': 2,
    'events': [[1, '+', 'salt', 'part', 5, 'm1']],
    'lost': False,
}
USAGE = {
    'prompt_tokens': 5,
    'completion_tokens': 1,
    'total_tokens': 6,
    'prompt_tokens_details': {'cached_tokens': 1},
}
CHUNK = {
    'id': 'a',
    'choices': [{'text': 'x', 'delta': {'content': 'y'}, 'finish_reason': None}],
    'usage': USAGE,
    'sequence': 1,
}
COMPLETION = {
    'choices': [{'text': 'x', 'message': {'content': 'y'}, 'finish_reason': 'stop'}],
    'usage': USAGE,
}
LOAD = msgspec.to_builtins(engines.LoadReport('i', 'v', 'm', 1, 1, 1, 1, 1))
INDEX = msgspec.to_builtins(revisions.Index(1, ('a',), 'n', 0))
EPOCH = {'number': 1, 'holders': {'i': ['vm', 'd', 'a:1']}, 'took_over': 0, 'lost': {}}
FLEET = {
    'fleet': 'f',
    'models': [{'name': 'm', 'weight_version': 'v'}],
    'accounts': [{'name': 'a', 'key_digests': ['d']}],
}
BODY = {'model': 'm', 'prompt': 'x', 'max_tokens': 5, 'stream': True}
ENTRY = replica_standins.Replica('r', 'llm', 'zone-0', deployment.MODEL).render_entry()
ENTRY['address'] = '10.0.0.1:80'
FAILURE = msgspec.to_builtins(
    exceptions.Failure(exceptions.Code.LIMIT, exceptions.Outcome.RAN, 'm', 1.0, ('a',))
)
CHAT = cast(calls.Call, types.SimpleNamespace(chat=True))

STORE_ERROR = exceptions.StoreError
DECODING_ERROR = exceptions.DecodingError
JSON_BORDERS = (
    Border(
        'member', lambda b: roster._decode_entry(build_item(b), 'vm-1').member, NeverError, MEMBER
    ),
    Border('crash', crash_records._decoder.decode, DECODING_ERROR, ['r', 1000, [6, 8]]),
    Border(
        'origins',
        decode_item(origin_records._decode_group),
        NeverError,
        [['s', 'v1', ['a'], 'r', 1000]],
    ),
    Border(
        'versions', lambda b: version_records._decode_versions(build_item(b)), NeverError, ['v1']
    ),
    Border('replica', decode_item(records.decode_replica), STORE_ERROR, ENTRY),
    Border(
        'configuration',
        records.decode_configuration,
        STORE_ERROR,
        deployment.build_configuration() | {'version': 1},
    ),
    Border('weights', records.decode_named_version, STORE_ERROR, {'model': 'm', 'version': 1}),
    Border('report', lambda b: read_memory(records.decode_report(b)), STORE_ERROR, REPORT),
    Border('cache events', records.decode_cache_events, STORE_ERROR, CACHE_EVENTS),
    Border(
        'listing',
        lambda b: run_store(b, lambda s: s.read('')),
        STORE_ERROR,
        {'items': ITEMS, 'store_revision': 1},
    ),
    Border(
        'watch',
        lambda b: run_store(b, lambda s: s.watch('', registry.NO_REVISION, 0.0)),
        STORE_ERROR,
        {'events': ITEMS, 'store_revision': 1},
    ),
    Border('write', lambda b: run_store(b, lambda s: s.write([])), STORE_ERROR, {'revision': 1}),
    Border('lease', lambda b: run_store(b, lambda s: s.grant(1.0)), STORE_ERROR, {'lease': 1}),
    Border(
        'gateway rows', lambda b: run_gateway(b, lambda s: s.read('a')), STORE_ERROR, {'kvs': ROWS}
    ),
    Border(
        'gateway lease', lambda b: run_gateway(b, lambda s: s.grant(1)), STORE_ERROR, {'ID': '1'}
    ),
    Border(
        'gateway renewal',
        lambda b: run_gateway(b, lambda s: s.keep_alive(1)),
        STORE_ERROR,
        {'result': {'ID': '1', 'TTL': '1'}},
    ),
    Border(
        'gateway write',
        lambda b: run_gateway(b, lambda s: s.write([])),
        STORE_ERROR,
        {'succeeded': True},
    ),
    Border('load', read_report, web.ExchangeError, LOAD),
    Border('chunk', engines.decode_chunk, DECODING_ERROR, CHUNK),
    Border('VM list', upstreams._vm_list_decoder.decode, DECODING_ERROR, {'vms': {'a': 'b'}}),
    Border('index', decode_stored(storage._index_decoder), STORE_ERROR, INDEX),
    Border('epoch', decode_stored(storage._epoch_decoder), STORE_ERROR, EPOCH),
    Border('fleet', declarations.decode_fleet, DECODING_ERROR, FLEET),
    Border(
        'claim',
        lambda b: idempotency._decode_claim(store_clients.Value('key', b, 1, 1)),
        STORE_ERROR,
        {'incarnation': 'i', 'nonce': 'n', 'claimed_at': 1.0},
    ),
    Border('failure', idempotency._failure_decoder.decode, DECODING_ERROR, FAILURE),
    Border(
        'completion',
        lambda b: responses.read_completion(CHAT, responses.Response(200, 'a', b)),
        DECODING_ERROR,
        COMPLETION,
    ),
    Border('decisions', lambda b: str(operators._decode_decisions([b])), NeverError, {'a': [1]}),
    Border('reply', lambda b: str(rpc._decoder.decode(b)), DECODING_ERROR, {'result': {'a': 1}}),
    Border('body', lambda b: parse_body(b), NeverError, BODY),
)


def parse_body(data: bytes) -> bytes | None:
    """Return the body that an engine is sent, or none if it is refused."""
    parsed = call_builder._parse_body(calls.COMPLETION_PATH, data)
    return (
        None if isinstance(parsed, exceptions.Failure) else msgspec.json.encode(parsed.model_dump())
    )


def list_variants(example: Any) -> Iterator[bytes]:
    """Yield JSON with each value of an example replaced by each odd one, and with further ones."""
    for variant in _list_marked(example):
        text = json.dumps(variant).encode()
        for value in ODD_VALUES:
            yield text.replace(MARK_IN_JSON, value)


def _list_marked(example: Any) -> Iterator[Any]:
    """Yield an example with the mark in each place."""
    yield MARK
    if isinstance(example, dict):
        yield {**example, 'other': MARK}
        for name, value in example.items():
            yield from ({**example, name: marked} for marked in _list_marked(value))
    elif isinstance(example, list):
        yield [*example, MARK]
        for number, value in enumerate(example):
            for marked in _list_marked(value):
                yield [*example[:number], marked, *example[number + 1 :]]


def check(border: Border, data: bytes) -> None:
    """Check that bytes are refused with the expected error, or fit into a message."""
    try:
        value = border.decode(data)
    except border.error:
        return
    messages.encode(messages.Envelope('a', 'a:1', cast(messages.AnyMessage, value)))


@pytest.mark.parametrize('border', JSON_BORDERS, ids=lambda border: border.name)
def test_odd_values_in_json_raise_no_unexpected_error(border: Border) -> None:
    assert border.decode(json.dumps(border.example).encode())
    for data in list_variants(border.example):
        check(border, data)


MEMBER_ITEMS = (registry.Item('own/a', b'value', registry.Revision(1, 1), 7),)
BLOCKS = kvevents.BlockStored([1], None, [1, 2], 2, extra_keys=[['acme']])
MESSAGE = messages.Envelope('a', 'a:1', messages.Members([members.Member(**MEMBER)]))
MESSAGEPACK_BORDERS = (
    Border('message', peers._decoder.decode, DECODING_ERROR, MESSAGE),
    Border('changes', lambda b: relaying.decode_items(b'p' + b), DECODING_ERROR, MEMBER_ITEMS),
    Border('batch', kvevents.decode_batch, DECODING_ERROR, kvevents.Batch(1.0, [BLOCKS])),
)
ODD_BYTES = (
    *(b'\x91' * depth + b'\xc0' for depth in DEPTHS),
    *(b'\x81\xa1a' * depth + b'\xc0' for depth in DEPTHS),
    b'\xc0',
    b'\xc1',
    b'\x90',
    b'\x80',
    b'\xff',
    b'\xa1\xff',
    b'\xcf' + b'\xff' * 8,
    b'\xd3\x80' + bytes(7),
    b'\xcb\x7f\xf8' + bytes(6),
    b'\xcb\x7f\xf0' + bytes(6),
    b'\xc7\x0c\xff' + b'\xff' * 12,
    *(head + b'\xff' * 4 for head in (b'\xdd', b'\xdf', b'\xdb', b'\xc6', b'\xc9')),
)
"""Values in MessagePack of other types, too deep, not finite or longer than the bytes."""


@pytest.mark.parametrize('border', MESSAGEPACK_BORDERS, ids=lambda border: border.name)
def test_odd_values_in_messagepack_raise_no_unexpected_error(border: Border) -> None:
    example = messages.encode(border.example)
    assert border.decode(example)
    for odd in ODD_BYTES:
        for position in range(len(example) + 1):
            check(border, example[:position] + odd)
            check(border, example[:position] + odd + example[position + 1 :])


@hypothesis.given(st.data())
def test_any_bytes_raise_no_unexpected_error(data: st.DataObject) -> None:
    border = data.draw(st.sampled_from((*JSON_BORDERS, *MESSAGEPACK_BORDERS)))
    check(border, data.draw(st.binary()))


LONG = '9' * 5000
HEADER_VALUES = (
    *('', ' ', '-1', LONG, '-' + LONG, '1e999', 'nan', '1e308', '\xb2', '1.5', '_1', 'x' * 200_000),
    *(',', ',,', ':', f'a:{LONG}', f'1,{LONG}', 'a:-1', '\xff'),
)
REQUEST_HEADERS = (names.DEADLINE, names.TOKEN_USAGE, names.PREFIX_HASHES, names.AUTHORIZATION)
RESPONSE_HEADERS = (names.RATE_LIMIT, names.BRITTLE, names.WEIGHT_VERSION, 'Retry-After')


# Guards against numbers in headers that `int` and `float` refuse with other errors.
@pytest.mark.parametrize('value', HEADER_VALUES, ids=lambda value: value[:10])
def test_odd_header_raises_no_unexpected_error(value: str) -> None:
    requests = dialect.Requests()
    start = tornado.httputil.RequestStartLine('POST', '/', 'HTTP/1.1')
    for name in REQUEST_HEADERS:
        given = {names.REQUEST_ID: 'a', names.MODEL: 'm', name: value}
        headers = tornado.httputil.HTTPHeaders(given)
        with contextlib.suppress(ValueError):
            messages.encode(cast(Any, requests.read_request(start, headers).prompt))
    for name in RESPONSE_HEADERS:
        head = exchanges.Head(503, '', [(name.lower(), value)])
        messages.encode(cast(Any, requests.read_signal(head)))
        int(requests.read_version(head) or 0)
    for part in (value, f'1,1,{value}'):
        messages.encode(cast(Any, engines.parse_identity({'X-Engine-Load': part})))
