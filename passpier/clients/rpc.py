"""JSON-RPC 2.0 client over HTTP that the command line uses to call a daemon."""

from __future__ import annotations

from typing import Any

import msgspec
import tornado.httpclient

from passpier import exceptions
from passpier.utils import decoding


class RpcError(exceptions.PasspierError):
    """The daemon returned an error; `code` is the JSON-RPC error code."""

    def __init__(self, code: int, message: str, data: Any) -> None:
        super().__init__(message if data is None else f'{message}: {data}')
        self.code = code
        self.data = data


class UnreachableError(exceptions.PasspierError):
    """No daemon responded."""


class _Error(msgspec.Struct):
    code: int
    message: str
    data: Any = None


class _Reply(msgspec.Struct):
    result: Any = None
    error: _Error | None = None


_decoder = decoding.build_json_decoder(_Reply)


def call(address: str, secret: str, method: str, parameters: dict[str, Any], timeout: float) -> Any:
    """Call a method and return its result; raise `RpcError` or `UnreachableError`."""
    body = {'jsonrpc': '2.0', 'id': 1, 'method': method, 'params': parameters}
    request = tornado.httpclient.HTTPRequest(
        f'http://{address}/rpc',
        'POST',
        headers={'Authorization': f'Bearer {secret}', 'Content-Type': 'application/json'},
        body=msgspec.json.encode(body),
        connect_timeout=2.0,
        request_timeout=timeout,
    )
    client = tornado.httpclient.HTTPClient()
    try:
        response = client.fetch(request, raise_error=False)
    except OSError as error:
        raise UnreachableError(f'no daemon answers at {address}: {error}') from error
    finally:
        client.close()
    if response.code == 401:
        raise UnreachableError(f'the daemon at {address} refuses the operator secret')
    if response.code != 200:
        raise UnreachableError(f'no daemon answers at {address}: {response.error}')
    try:
        reply = _decoder.decode(response.body)
    except exceptions.DecodingError as error:
        raise UnreachableError(f'no daemon answers at {address}: {error}') from error
    if reply.error is not None:
        raise RpcError(reply.error.code, reply.error.message, reply.error.data)
    return reply.result
