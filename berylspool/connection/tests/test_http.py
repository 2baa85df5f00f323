"""Responses that end early, at the client of lists and of native upstreams."""

import asyncio
import contextlib

import pytest

from berylspool.connection.http import open_http_connection
from berylspool.exception import ConnectionLostError, ProtocolError

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n0\r\n\r\n"
)


async def request_from(response):
    """Return the response of a server that closes after some bytes."""

    async def serve(reader, writer):
        with contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await open_http_connection("127.0.0.1", port, 5.0)
    try:
        return await connection.send("GET", "/", {"Host": "h"}, b"")
    finally:
        connection.close()
        server.close()


@pytest.mark.parametrize("response", [WHOLE, CHUNKED])
def test_response_that_is_cut_raises_an_error(response):
    async def run():
        for end in range(len(response)):
            with pytest.raises((ConnectionLostError, ProtocolError)):
                await request_from(response[:end])
        return await request_from(response)

    assert asyncio.run(run()).body == b"hello"
