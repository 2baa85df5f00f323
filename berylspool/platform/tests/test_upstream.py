"""One connection to an upstream that misbehaves, over sockets."""

import asyncio
import contextlib
import socket
import struct
import time

import pytest

from berylspool.common.mailbox import Mailbox
from berylspool.platform.upstream import PlatformTransport
from berylspool.request.query import (
    Forward,
    Part,
    Reason,
    Snapshot,
    UpstreamResponse,
)
from berylspool.version.configuration import Upstream
from berylspool.version.pool.message import (
    AttemptAnswered,
    ConnectionClosed,
    ConnectionOpened,
    ErrorReply,
    NotRunReply,
    ReportedLoad,
    RowsReply,
    Send,
    Shut,
)

PATIENCE_S = 10.0
STAMP = "X-Response-Stamp: s.1\r\n"


def make_part(is_part=False, timeout_s=5.0, id="r1"):
    forward = Forward(
        "GET", "/a/1?q=2", (("X-Request-Id", id), ("X-A", "b")), b"", is_part
    )
    return Part(
        "p1",
        id,
        "s",
        0,
        Snapshot("", 1),
        "",
        timeout_s,
        "f",
        True,
        "r",
        forward,
    )


class Played:
    """An upstream that answers each request with the next of given bytes."""

    def __init__(self, *answers, ends=()):
        self.answers = list(answers)
        self.ends = ends
        self.requests = []

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for number, answer in enumerate(self.answers):
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(answer)
                await writer.drain()
                match dict(self.ends).get(number):
                    case "eof":
                        writer.close()
                        return
                    case "reset":
                        await asyncio.sleep(0.05)
                        # A close without lingering sends a reset.
                        writer.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET,
                            socket.SO_LINGER,
                            struct.pack("ii", 1, 0),
                        )
                        writer.transport.abort()
                        return
            await reader.read()
        writer.close()


async def take(pool, kind):
    async with asyncio.timeout(PATIENCE_S):
        while True:
            for event in await pool.take(0.1):
                if isinstance(event, kind):
                    return event


def play(played, script):
    async def run():
        server = await asyncio.start_server(played.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = Mailbox()
        upstream = Upstream("i-1", "127.0.0.1", port, "z", "")
        connection = PlatformTransport(time.monotonic).connection(
            1, upstream, pool
        )
        task = asyncio.ensure_future(connection.run())
        await take(pool, ConnectionOpened)
        try:
            return await script(connection, pool)
        finally:
            connection.inbox.put(Shut())
            await task
            server.close()

    return asyncio.run(run())


def answer_to(played, part=None):
    part = part or make_part()

    async def script(connection, pool):
        connection.inbox.put(Send(1, 1, part, 2.0))
        return await take(pool, (AttemptAnswered, ConnectionClosed))

    return play(played, script)


def whole(body=b"hello", extra="", id="r1", status="200 OK"):
    head = f"HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{STAMP}{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def test_the_request_travels_unchanged_with_what_is_left_of_its_time():
    played = Played(whole(extra="X-Server-Load: 2,1,3\r\n"))
    event = answer_to(played)
    lines = played.requests[0].decode().split("\r\n")
    assert lines[0] == "GET /a/1?q=2 HTTP/1.1"
    assert "X-Expect-Instance: i-1" in lines and "X-A: b" in lines
    assert "X-Request-Deadline: 2000" in lines
    assert event.load == ReportedLoad(2, 1, 3)
    [response] = event.reply.rows
    assert isinstance(response, UpstreamResponse) and response.body == b"hello"


def test_records_of_a_part_without_the_remainder():
    event = answer_to(Played(whole(b"a" * 16 + b"b" * 20)), make_part(True))
    assert event.reply.rows == (b"a" * 16, b"b" * 16)
    assert event.reply.stamp == "s.1"


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", Reason.NO_UPSTREAM),
        (
            b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            Reason.OVERLOAD,
        ),
    ],
)
def test_only_a_stated_refusal_counts_as_not_run(answer, reason):
    assert answer_to(Played(answer)).reply == NotRunReply(reason)


def test_a_failure_without_the_statement_may_have_run():
    reply = answer_to(Played(whole(b"no", status="503 X"))).reply
    assert isinstance(reply, ErrorReply) and reply.response.status == 503


def test_a_success_without_a_signature_is_no_answer():
    bare = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    assert isinstance(answer_to(Played(bare)).reply, ErrorReply)


def test_an_answer_without_length_ends_with_its_stream():
    bare = f"HTTP/1.1 200 OK\r\n{STAMP}\r\nabc".encode()
    event = answer_to(Played(bare, ends=[(0, "eof")]))
    assert event.reply.rows[0].body == b"abc"


def test_an_answer_without_length_that_is_reset_is_not_whole():
    bare = f"HTTP/1.1 200 OK\r\n{STAMP}\r\nabc".encode()
    event = answer_to(Played(bare, ends=[(0, "reset")]))
    assert isinstance(event, ConnectionClosed) and not event.is_planned


def test_an_answer_that_is_cut_is_not_whole():
    event = answer_to(Played(whole(b"hello")[:-2], ends=[(0, "eof")]))
    assert isinstance(event, ConnectionClosed)


def test_bytes_that_are_no_answer_end_the_connection():
    event = answer_to(Played(b"\x00\x01garbage\r\n\r\n"))
    assert isinstance(event, ConnectionClosed) and not event.is_planned


def test_a_late_answer_to_an_earlier_request_is_not_taken():
    late = whole(b"old", id="r0")
    event = answer_to(Played(late + whole(b"new")))
    assert event.reply.rows[0].body == b"new"


def test_a_second_answer_ends_the_connection_after_the_first():
    async def script(connection, pool):
        connection.inbox.put(Send(1, 1, make_part(), 2.0))
        first = await take(pool, AttemptAnswered)
        await take(pool, ConnectionClosed)
        return first

    first = play(Played(whole(b"one") + whole(b"two")), script)
    assert first.reply.rows[0].body == b"one"


def test_an_announced_close_says_nothing_of_the_upstream():
    async def script(connection, pool):
        connection.inbox.put(Send(1, 1, make_part(), 2.0))
        await take(pool, AttemptAnswered)
        return await take(pool, ConnectionClosed)

    played = Played(whole(extra="Connection: close\r\n"))
    assert play(played, script).is_planned


def test_a_silent_connection_ends_soon_after_the_deadline():
    async def script(connection, pool):
        connection.inbox.put(Send(1, 1, make_part(), 0.1))
        return await take(pool, ConnectionClosed)

    assert not play(Played(b""), script).is_planned


def test_a_kept_connection_serves_the_next_request():
    async def script(connection, pool):
        replies = []
        for number in (1, 2):
            part = make_part(id=f"r{number}")
            connection.inbox.put(Send(1, number, part, 2.0))
            event = await take(pool, AttemptAnswered)
            replies.append(event.reply)
        return replies

    played = Played(whole(b"a", id="r1"), whole(b"b", id="r2"))
    replies = play(played, script)
    assert all(isinstance(reply, RowsReply) for reply in replies)
    assert [reply.rows[0].body for reply in replies] == [b"a", b"b"]
