"""Opens connections to upstreams through peers, by HTTP's CONNECT method."""

from __future__ import annotations

import h11
import tornado.iostream

READ_SIZE = 4096


class TunnelError(OSError):
    """A peer did not open a tunnel."""


async def open_tunnel(stream: tornado.iostream.IOStream, address: str) -> None:
    """Have the peer at the other end of `stream` connect it to `address`.

    Raises `TunnelError` if the peer refuses, and tornado's errors if the stream breaks.
    """
    parser = h11.Connection(h11.CLIENT)
    request = h11.Request(method='CONNECT', target=address, headers=[('Host', address)])
    data = (parser.send(request) or b'') + (parser.send(h11.EndOfMessage()) or b'')
    await stream.write(data)
    response = await _read_response(parser, stream)
    if not 200 <= response.status_code < 300:
        raise TunnelError(f'the peer answers with status {response.status_code}')


async def _read_response(parser: h11.Connection, stream: tornado.iostream.IOStream) -> h11.Response:
    try:
        while not isinstance(event := parser.next_event(), h11.Response):
            if event is not h11.NEED_DATA:
                raise TunnelError('the peer closed the connection')
            parser.receive_data(await stream.read_bytes(READ_SIZE, partial=True))
    except h11.RemoteProtocolError as error:
        raise TunnelError(f'the peer answers no valid HTTP: {error}') from error
    return event
