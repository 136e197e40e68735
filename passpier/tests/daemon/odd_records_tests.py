"""Records of other writers in the store of the daemons, which can't be decoded."""

from __future__ import annotations

import base64
import time
import zlib
from collections.abc import Iterator

import pytest

from passpier.core import revisions
from passpier.daemon import storage
from passpier.standins import fleets, processes

DEEP = b'[' * 100_000 + b']' * 100_000
RECORDS = (
    b'',
    b'\xff',
    b'{',
    b'{"other":' + DEEP + b'}',
    b'{"revision":1' + b'0' * 30 + b',"chunks":[],"nonce":"","based_on":0}',
    b'{"number":1' + b'0' * 30 + b',"holders":{}}',
)
CHUNK = b'{"fleet":"other","pools":' + DEEP + b'}'
INDEX = b'{"revision":1000,"chunks":["%s"],"nonce":"n","based_on":1}'
FOLLOW_SECONDS = 0.7
"""Seconds in which the daemons read a changed record."""


@pytest.fixture(scope='module')
def fleet() -> Iterator[fleets.Fleet]:
    with fleets.run_fleet() as started:
        yield started


def put(fleet: fleets.Fleet, key: str, data: bytes) -> None:
    """Write a record as another writer does."""
    row = {'key': _encode(key.encode()), 'value': _encode(data), 'lease': '0'}
    body = {'compare': [], 'success': [{'request_put': row}]}
    assert processes.call('POST', f'http://{fleet.store.address}/v3/kv/txn', body)[0] == 200


def check(fleet: fleets.Fleet) -> None:
    """Check that all daemons run and serve."""
    time.sleep(FOLLOW_SECONDS)
    for number, daemon in enumerate(fleet.daemons):
        assert daemon.popen.poll() is None, daemon.name
        assert fleet.complete(number, 'a question').is_complete


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


# Guards against daemons that end, as a record of another writer can't be decoded.
@pytest.mark.parametrize(
    'key', [storage.MEMBER_PREFIX + 'other', storage.EPOCH_KEY, storage.INDEX_KEY]
)
def test_daemons_serve_beside_odd_records(fleet: fleets.Fleet, key: str) -> None:
    for data in RECORDS:
        put(fleet, key, data)
        check(fleet)


# Guards against a configuration that ends the daemons, as it can't be decoded.
def test_daemons_keep_their_configuration_if_the_next_is_odd(fleet: fleets.Fleet) -> None:
    name = revisions.hash_chunk(CHUNK)
    for data in (b'', b'no zlib data', zlib.compress(CHUNK)):
        put(fleet, storage.CHUNK_PREFIX + name, data)
        put(fleet, storage.INDEX_KEY, INDEX % name.encode())
        check(fleet)
