"""JSON-RPC 2.0 client over HTTP that the command line uses to call a daemon."""

from __future__ import annotations

from typing import Any

import msgspec
import tornado.httpclient

from passpier import exceptions


class RpcError(exceptions.PasspierError):
    """The daemon returned an error; `code` is the JSON-RPC error code."""

    def __init__(self, code: int, message: str, data: Any) -> None:
        super().__init__(message if data is None else f'{message}: {data}')
        self.code = code
        self.data = data


class UnreachableError(exceptions.PasspierError):
    """No daemon responded."""


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
    reply = msgspec.json.decode(response.body)
    if 'error' in reply:
        failure = reply['error']
        raise RpcError(failure['code'], failure['message'], failure.get('data'))
    return reply['result']
