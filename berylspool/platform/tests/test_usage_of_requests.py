"""Requests over sockets that count for their customer, and that do not."""

import asyncio
import contextlib
import dataclasses

import pytest

from berylspool.connection.control_message import Grant
from berylspool.platform.tests.test_forwarding import (
    FakeUpstream,
    make_fan_out_route,
    make_records,
    make_route,
    run_scenario,
    send_request,
    signed_response,
)
from berylspool.process.entry.control_client_message import ControlMessage
from berylspool.process.entry.forwarding import request_handler
from berylspool.process.entry.usage.usage_counter import UNDECIDED_S
from berylspool.process.settings import DutySettings
from berylspool.version.forwarding import new_query

DUTIES = DutySettings(names=("usage_report",))
TIMEOUT_MS = 400


def answer(head, body):
    return signed_response(head, make_records(1))


def refuse(head, body):
    refusal = signed_response(head, b"", status="503 Service Unavailable")
    return refusal.replace(b"\r\n\r\n", b"\r\nX-Not-Executed: 1\r\n\r\n")


def fail(head, body):
    return signed_response(head, b"", status="500 Internal Server Error")


async def stay_silent(head, body):
    await asyncio.sleep(2 * TIMEOUT_MS / 1000)


@pytest.fixture(autouse=True)
def customer(monkeypatch):
    def query_of_customer(*arguments):
        query = new_query(*arguments)
        forward = dataclasses.replace(query.forward, customer="a")
        return dataclasses.replace(query, forward=forward)

    monkeypatch.setattr(request_handler, "new_query", query_of_customer)


def count_of(respond, route, send, services=("a",), is_decided=False):
    """Return the number of requests that count after one was sent.

    Args:
        respond: Response of the upstreams.
        route: Route of the request.
        send: Sends the request.
        services: Services with one upstream each.
        is_decided: Whether it must be decided without a further heartbeat.
    """

    async def scenario(forwarder, port):
        await send(port)
        await asyncio.sleep(UNDECIDED_S + 0.1)
        if not is_decided:
            forwarder.usage.take_report(0.0, True)
        assert not forwarder.usage.awaited_reply_by_request
        assert not forwarder.usage.awaited_send_by_part
        counts = forwarder.usage.counts.counts_by_window.values()
        return sum(by_customer.get("a", 0) for by_customer in counts)

    upstreams = [FakeUpstream(service, respond) for service in services]
    return run_scenario(upstreams, [route], scenario, duties=DUTIES)


async def ask_once(port):
    await send_request(port, "/r/1")


async def ask_and_leave(port):
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /r/1 HTTP/1.1\r\nHost: h.example\r\n\r\n")
    await asyncio.sleep(0.2)
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()


@pytest.mark.parametrize("route_type", ["idempotent", "non_idempotent"])
@pytest.mark.parametrize(
    ("respond", "send", "expected"),
    [
        (answer, ask_once, 1),
        (refuse, ask_once, 0),
        (fail, ask_once, 1),
        (stay_silent, ask_once, 1),
        (stay_silent, ask_and_leave, 1),
    ],
)
def test_single_request_counts_if_an_upstream_began_to_run_it(
    respond, send, expected, route_type
):
    route = make_route(
        "r",
        "/r/",
        service="a",
        **{"route-type": route_type, "timeout-ms": TIMEOUT_MS},
    )
    is_decided = send is ask_and_leave
    count = count_of(respond, route, send, is_decided=is_decided)
    assert count == expected


@pytest.mark.parametrize(("respond", "expected"), [(answer, 1), (refuse, 0)])
def test_wide_request_counts_once(respond, expected):
    async def ask_wide_once(port):
        await send_request(port, "/w/1")

    route = make_fan_out_route(**{"timeout-ms": TIMEOUT_MS})
    count = count_of(respond, route, ask_wide_once, services=("a", "b"))
    assert count == expected


def test_stopping_entry_reports_its_last_requests():
    # Guards against half a second of counts that each orderly stop would lose.
    sent = []

    async def scenario(forwarder, port):
        control = forwarder.control
        control._links.send = lambda node, message: sent.append(message)
        grant = Grant(0.0, 2.0, 0, 0, usage_confirmed=1)
        control._handle(ControlMessage("leader", grant))
        forwarder._spawn(control.run())
        await asyncio.sleep(0.05)
        await send_request(port, "/r/1")
        control._handle(ControlMessage("leader", grant))
        # The next report of the open window would be after the end.
        forwarder.usage._open_window_due_at = float("inf")
        await forwarder._stop(forwarder.caller_listener)

    route = make_route("r", "/r/", service="a")
    run_scenario([FakeUpstream("a", answer)], [route], scenario, duties=DUTIES)
    [reported] = [usage.counts for usage in sent[-1].usage]
    assert reported == {"a": 1}
