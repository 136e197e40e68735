"""Responses to clients are complete only when their last byte is sent.

Otherwise a process that exits once no request is in progress would lose the end of a response that
waits for a slow client.
"""

from __future__ import annotations

import asyncio
import socket

import tornado.http1connection
import tornado.iostream

from passpier.routing import ingress


def test_a_response_is_not_complete_before_its_last_byte_is_sent() -> None:
    async def run() -> None:
        ours, theirs = socket.socketpair()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        theirs.setblocking(False)
        stream = tornado.iostream.IOStream(ours)
        params = tornado.http1connection.HTTP1ConnectionParameters()
        connection = tornado.http1connection.HTTP1Connection(stream, False, params)
        connection._request_start_line = tornado.httputil.RequestStartLine('GET', '/', 'HTTP/1.1')
        connection._request_headers = tornado.httputil.HTTPHeaders()
        client = ingress.HttpClient(connection)
        await client.begin(200, '', [], None)
        writing = asyncio.ensure_future(client.write(b'x' * 1_000_000))
        finishing = asyncio.ensure_future(client.finish())
        await asyncio.sleep(0.05)
        assert stream.writing()
        assert not finishing.done()
        loop = asyncio.get_running_loop()
        read = b''
        while not read.endswith(b'\r\n0\r\n\r\n'):
            read += await loop.sock_recv(theirs, 65536)
        await asyncio.gather(writing, finishing)
        theirs.close()
        stream.close()

    asyncio.run(asyncio.wait_for(run(), 20))
