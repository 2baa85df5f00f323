"""Usage reports to a stand-in of the platform that is slow, down or refuses."""

import asyncio
import contextlib
import time

import orjson
import pytest

from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.platform.usage_client import CALL_TIMEOUT_S, UsageClient
from berylspool.tests.cluster import free_ports
from berylspool.version.duty.schedule import CallOutcome, UsageCall

TEST_TIMEOUT_S = 10.0
CALL = UsageCall(340_000_000, {"b": 2, "a": 1}, "node-a", 7)


def response(status, body=b""):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def report_all(respond, calls, may_send=lambda: True):
    """Report calls one after the other to a stand-in.

    Returns:
        The requests that it got, the outcome or error of each call, and the
        number of connections.
    """
    requests, results, connections = [], [], 0

    async def serve(reader, writer):
        nonlocal connections
        connections += 1
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:-2]
                )
                body = await reader.readexactly(int(fields["Content-Length"]))
                requests.append((head.split("\r\n")[0], fields, body))
                reply = respond(len(requests))
                if reply is None:
                    return
                if reply:
                    writer.write(reply)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = UsageClient(f"127.0.0.1:{port}")
    async with asyncio.timeout(TEST_TIMEOUT_S):
        for call in calls:
            try:
                results.append(await client.report(call, may_send))
            except (ConnectionLostError, ProtocolError) as error:
                results.append(type(error))
    client._close()
    server.close()
    return requests, results, connections


def test_report_has_the_form_of_the_platform_on_one_connection():
    requests, results, connections = asyncio.run(
        report_all(lambda n: response("200 OK", b"{}"), [CALL] * 3)
    )
    assert results == [CallOutcome.ACCEPTED] * 3 and connections == 1
    line, fields, body = requests[0]
    assert line == "POST /usage HTTP/1.1"
    assert fields["X-Lease-Holder"] == "node-a"
    assert fields["X-Fencing-Token"] == "7"
    assert orjson.loads(body) == {
        "window-id": 340_000_000,
        "counts": {"a": 1, "b": 2},
    }
    # An exact repeat is ignored, another content for the window is a fault.
    assert {request[2] for request in requests} == {body}


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        ("409 Conflict", CallOutcome.SUPERSEDED),
        ("429 Too Many Requests", CallOutcome.THROTTLED),
        ("500 Internal Server Error", ProtocolError),
        ("400 Bad Request", ProtocolError),
    ],
)
def test_refusals_of_the_platform(status, outcome):
    replies = {1: response(status, b"no"), 2: response("200 OK")}
    _, results, _ = asyncio.run(report_all(replies.get, [CALL] * 2))
    assert results == [outcome, CallOutcome.ACCEPTED]


def test_slow_platform_is_given_up_and_asked_on_a_new_connection():
    # Guards against a call that holds up all others, and a late response that
    # is taken for that of the next call.
    replies = {1: b"", 2: response("200 OK")}
    begun = time.monotonic()
    _, results, connections = asyncio.run(report_all(replies.get, [CALL] * 2))
    assert results == [ConnectionLostError, CallOutcome.ACCEPTED]
    assert connections == 2
    assert CALL_TIMEOUT_S <= time.monotonic() - begun < 3 * CALL_TIMEOUT_S


def test_connection_that_the_platform_closed_is_replaced():
    replies = {1: None, 2: response("200 OK"), 3: response("200 OK")}
    _, results, _ = asyncio.run(report_all(replies.get, [CALL] * 3))
    assert results[0] is ConnectionLostError
    assert results[1:] == [CallOutcome.ACCEPTED] * 2


def test_platform_that_is_down_is_an_error():
    [port] = free_ports(1)
    client = UsageClient(f"127.0.0.1:{port}")
    with pytest.raises(ConnectionLostError):
        asyncio.run(client.report(CALL, lambda: True))


def test_call_is_withheld_if_it_may_not_be_sent_once_connected():
    requests, results, _ = asyncio.run(
        report_all(lambda n: response("200 OK"), [CALL], lambda: False)
    )
    assert results == [CallOutcome.WITHHELD] and not requests
