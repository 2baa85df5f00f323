"""Responses that are cut or doubled, at lists and native upstreams."""

import asyncio
import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylspool.connection.http import (
    MAX_BUFFER_BYTES,
    open_http_connection,
)
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


def responses_to_two_requests(pieces):
    """Return the bodies that two requests get; None for one that fails.

    Args:
        pieces: What the server sends in answer to each of the requests.
    """

    async def serve(reader, writer):
        with contextlib.closing(writer):
            for piece in pieces:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(piece)
                await writer.drain()
            await reader.read()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await open_http_connection("127.0.0.1", port, 5.0)
        bodies = []
        try:
            async with asyncio.timeout(5.0):
                for _ in pieces:
                    response = await connection.send(
                        "GET", "/", {"Host": "h"}, b""
                    )
                    bodies.append((response.status, response.body))
        except (ConnectionLostError, ProtocolError):
            bodies.append(None)
        finally:
            connection.close()
            server.close()
        return bodies

    return asyncio.run(run())


FAILURE = (
    b"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nno"
)
COPIED = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)


def test_copy_after_a_response_is_no_beginning_of_the_next_one():
    """What the stream had buffered was read as the head of the next answer."""
    for end in range(1, len(COPIED) + 1):
        pieces = [COPIED + COPIED[:end], FAILURE]
        assert responses_to_two_requests(pieces) == [(200, b"hello"), None]


def test_late_copy_that_is_cut_in_its_head_mixes_with_no_response():
    head_end = COPIED.index(b"\r\n\r\n")
    for end in range(1, head_end):
        bodies = responses_to_two_requests([COPIED, COPIED[:end] + FAILURE])
        assert bodies == [(200, b"hello"), None], COPIED[:end]


OK_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "chunk"),
    [
        pytest.param(b"", b"HTTP/1.1 100 C\r\n\r\n", id="interim"),
        pytest.param(OK_LINE, b"a:b\r\n", id="headers"),
        pytest.param(OK_LINE + b"a: ", b"b", id="header"),
        pytest.param(OK_LINE + b"\r\n", b"a", id="body"),
        pytest.param(
            CHUNKED_HEAD, b"1000\r\n" + b"a" * 4096 + b"\r\n", id="chunks"
        ),
        pytest.param(CHUNKED_HEAD + b"2;", b"a", id="chunk_extension"),
        pytest.param(CHUNKED_HEAD + b"0\r\n", b"a:b\r\n", id="trailers"),
    ],
)
def test_bytes_without_end_raise_an_error(start, chunk):
    """A stream kept up to 100 MB of what a server sent."""
    pieces = chunk * (65536 // len(chunk))
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while True:
                writer.write(pieces)
                sent += len(pieces)
                await writer.drain()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await open_http_connection("127.0.0.1", port, 5.0)
        try:
            async with asyncio.timeout(20.0):
                with pytest.raises((ConnectionLostError, ProtocolError)):
                    await connection.send("GET", "/", {"Host": "h"}, b"")
        finally:
            connection.close()
            server.close()

    asyncio.run(run())
    # What the sockets buffer comes on top.
    assert sent < MAX_BUFFER_BYTES + 16 * 1024 * 1024


@given(
    st.one_of(
        st.integers(0, 999).map(lambda code: f"{code:03}"),
        st.sampled_from(["000", "099", "101", "600", "999", "20", "1000"]),
    ),
    st.sampled_from(["", "Content-Length: 0\r\n", "Content-Length: 9\r\n"]),
    st.integers(0, 60),
)
@settings(max_examples=60)
def test_response_with_an_invalid_status_raises_an_error(code, field, cut):
    """It was returned as a response, or waited for as an interim one."""
    is_valid = len(code) == 3 and "100" <= code <= "599" and code != "101"
    is_interim = is_valid and code < "200"
    data = f"HTTP/1.1 {code} X\r\n{'' if is_interim else field}\r\n".encode()
    if is_interim:
        data += WHOLE

    async def run():
        return await request_from(data)

    async def run_cut():
        return await request_from(data[: min(cut, len(data) - 1)])

    if not is_valid:
        # The codec itself gives up on lines that are none.
        lost = () if len(code) == 3 else (ConnectionLostError,)
        with pytest.raises((ProtocolError, *lost)):
            asyncio.run(run())
        with pytest.raises((ProtocolError, ConnectionLostError)):
            asyncio.run(run_cut())
    elif "9" not in field or code in ("204", "304"):
        with contextlib.suppress(ProtocolError):
            status = asyncio.run(run()).status
            assert status == (200 if is_interim else int(code))


def test_invalid_status_fails_without_waiting_for_its_body():
    async def run():
        response = b"HTTP/1.1 000 X\r\nContent-Length: 9\r\n\r\n"

        async def serve(reader, writer):
            writer.write(response)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await open_http_connection("127.0.0.1", port, 5.0)
        async with asyncio.timeout(5.0):
            with pytest.raises(ProtocolError):
                await connection.send("GET", "/", {"Host": "h"}, b"")
        assert connection.stream.closed()
        server.close()

    asyncio.run(run())
