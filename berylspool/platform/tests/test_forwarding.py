"""Forwarded requests from end to end over sockets, without control nodes."""

import asyncio
import contextlib
import time
import zlib

import orjson
import pytest

from berylspool.common.event import RequestFailed, UpstreamOverran
from berylspool.common.metric import render_exposition
from berylspool.platform import ingress as ingress_module
from berylspool.platform.document import decode_plan, read_document
from berylspool.platform.ingress import Ingress
from berylspool.platform.upstream.connection import PlatformTransport
from berylspool.process.entry.forwarding.forwarder import Forwarder
from berylspool.process.entry.routing_message import LeaseGranted
from berylspool.process.settings import EntrySettings, Settings
from berylspool.tests.cluster import free_ports
from berylspool.version.configuration import Configuration, Upstream
from berylspool.version.listing import ListedUpstream, Listing

TEST_TIMEOUT_S = 10.0
HOST = "h.example"


class FakeUpstream:
    """An upstream whose response is a function of the request."""

    def __init__(self, service, respond):
        self.service = service
        self.respond = respond
        self.requests = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        id = f"i-{self.service}-{port}"
        upstream = Upstream(id, "127.0.0.1", port, "z", "v1")
        return ListedUpstream(self.service, upstream, 3)

    async def serve(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = header_value(head, "content-length")
                body = await reader.readexactly(int(length or 0))
                self.requests.append((head, body))
                reply = self.respond(head, body)
                if asyncio.iscoroutine(reply):
                    reply = await reply
                if reply is None:
                    break
                writer.write(reply)


def header_value(head, name):
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(": ")
        if key.lower() == name:
            return value
    return ""


def signed_response(head, body, stamp="s.1", status="200 OK"):
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {header_value(head, 'x-request-id')}",
        f"X-Response-Stamp: {stamp}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_route(name, prefix, **changes):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": "idempotent",
        "timeout-ms": 2000,
        "max-attempts": 2,
        **changes,
    }


def make_document(routes, services):
    text = orjson.dumps(
        {
            "version": 3,
            "routes": routes,
            "services": [{"name": s, "max-connections": 9} for s in services],
        }
    )
    return read_document(text)[0]


async def send_request(port, path, method="GET", body=b"", extra=()):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *extra]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = int(header_value(head, "content-length"))
    answer = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), head, answer


def run_scenario(
    upstreams, routes, scenario, has_plan=True, **settings_changes
):
    async def run():
        [port, peer_port] = free_ports(2)
        entry = EntrySettings(
            address=f"127.0.0.1:{port}",
            peer_address=f"127.0.0.1:{peer_port}",
            zone="z",
            notice_s=0.1,
            drain_s=1.0,
        )
        forwarder = Forwarder(
            "e1",
            Settings(entries={"e1": entry}, **settings_changes),
            decode=decode_plan,
            transport=PlatformTransport(time.monotonic),
            control_port=None,
            clock=time.monotonic,
        )
        ingress = Ingress(
            forwarder.handler.answer,
            lambda: forwarder.is_closing,
            forwarder.log.put,
        )
        forwarder.caller_listener = ingress
        router = asyncio.ensure_future(forwarder.router.run())
        maintenance = asyncio.ensure_future(forwarder._run_maintenance())
        forwarder.router.inbox.put(LeaseGranted(float("inf")))
        listed = [await upstream.start() for upstream in upstreams]
        if has_plan:
            document = make_document(
                routes, {upstream.service for upstream in upstreams}
            )
            forwarder.state.set_entry_count(1)
            forwarder.state.set_listing(
                Listing(1, 1, {item.upstream.id: item for item in listed})
            )
            forwarder.state.set_configuration(
                Configuration(1, document=document)
            )
        ingress.listen(entry.address)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return await scenario(forwarder, port)
        finally:
            router.cancel()
            maintenance.cancel()
            await ingress.close()
            for upstream in upstreams:
                upstream.server.close()

    return asyncio.run(run())


def make_records(*numbers):
    return b"".join(bytes([n]) * 16 for n in numbers)


def make_fan_out_route(**changes):
    return make_route(
        "wide",
        "/w/",
        **{
            "fanout-services": ["a", "b"],
            "top-k": 3,
            "min-shard-ratio": 0.5,
            **changes,
        },
    )


def test_fan_out_merges_greatest_records_and_all_signatures():
    upstreams = [
        FakeUpstream(
            "a",
            lambda head, body: signed_response(head, make_records(9, 2), "s.a"),
        ),
        FakeUpstream(
            "b",
            lambda head, body: signed_response(head, make_records(1, 7), "s.b"),
        ),
    ]

    async def scenario(forwarder, port):
        return await send_request(port, "/w/1?x=2", extra=("X-Request-Id: r1",))

    status, head, body = run_scenario(
        upstreams, [make_fan_out_route()], scenario
    )
    assert status == 200 and body == make_records(9, 7, 2)
    assert header_value(head, "x-part-stamps") == "s.a, s.b"
    assert header_value(head, "x-missing-parts") == "0"
    assert all(
        upstream.requests[0][0].startswith("GET /w/1?x=2 ")
        for upstream in upstreams
    )


def test_failed_part_is_reported_as_missing():
    upstreams = [
        FakeUpstream(
            "a",
            lambda head, body: signed_response(head, make_records(9), "s.a"),
        ),
        FakeUpstream(
            "b", lambda head, body: signed_response(head, b"", "s.b", "500 X")
        ),
    ]

    async def scenario(forwarder, port):
        return await send_request(port, "/w/1")

    status, head, body = run_scenario(
        upstreams, [make_fan_out_route()], scenario
    )
    assert status == 200 and body == make_records(9)
    assert header_value(head, "x-part-stamps") == "s.a"
    assert header_value(head, "x-missing-parts") == "1"


def test_coverage_below_minimum_is_an_error():
    upstreams = [
        FakeUpstream(
            "a",
            lambda head, body: signed_response(head, make_records(9), "s.a"),
        ),
        FakeUpstream(
            "b", lambda head, body: signed_response(head, b"", "s.b", "500 X")
        ),
    ]

    async def scenario(forwarder, port):
        return await send_request(port, "/w/1")

    status, _, _ = run_scenario(
        upstreams, [make_fan_out_route(**{"min-shard-ratio": 1.0})], scenario
    )
    assert status in (500, 502)


def test_minimum_coverage_is_answered_at_target_latency():
    async def slow(head, body):
        await asyncio.sleep(3.0)
        return signed_response(head, make_records(8), "s.b")

    upstreams = [
        FakeUpstream(
            "a",
            lambda head, body: signed_response(head, make_records(9), "s.a"),
        ),
        FakeUpstream("b", slow),
    ]

    async def scenario(forwarder, port):
        return await send_request(port, "/w/1")

    changes = {"target-latency-ms": 200, "timeout-ms": 8000}
    status, head, body = run_scenario(
        upstreams, [make_fan_out_route(**changes)], scenario
    )
    assert status == 200 and header_value(head, "x-missing-parts") == "1"
    assert body == make_records(9)


def test_non_idempotent_request_is_sent_once_and_not_reported_as_not_run():
    upstream = FakeUpstream("a", lambda head, body: None)
    once_route = make_route(
        "once", "/o/", service="a", **{"route-type": "non_idempotent"}
    )

    async def scenario(forwarder, port):
        return await send_request(port, "/o/1", "POST", b"pay")

    status, _, _ = run_scenario([upstream], [once_route], scenario)
    assert status == 502
    assert [body for _, body in upstream.requests] == [b"pay"]


def test_non_idempotent_request_is_retried_after_not_executed():
    def refuse_first(head, body):
        if len(upstream.requests) == 1:
            lines = "HTTP/1.1 503 X\r\nX-Not-Executed: 1"
            return f"{lines}\r\nContent-Length: 0\r\n\r\n".encode()
        return signed_response(head, b"paid")

    upstream = FakeUpstream("a", refuse_first)
    once_route = make_route(
        "once", "/o/", service="a", **{"route-type": "non_idempotent"}
    )

    async def scenario(forwarder, port):
        return await send_request(port, "/o/1", "POST", b"pay")

    status, head, body = run_scenario([upstream], [once_route], scenario)
    assert status == 200 and body == b"paid" and len(upstream.requests) == 2
    assert header_value(head, "x-response-stamp") == "s.1"


def test_upstream_error_is_passed_on_unchanged():
    upstream = FakeUpstream(
        "a", lambda head, body: signed_response(head, b"no", "s.9", "500 Bad")
    )

    async def scenario(forwarder, port):
        return await send_request(port, "/s/1")

    single_route = make_route(
        "single", "/s/", service="a", **{"max-attempts": 1}
    )
    status, head, body = run_scenario([upstream], [single_route], scenario)
    assert (status, body) == (500, b"no")
    assert header_value(head, "x-response-stamp") == "s.9"


def test_chunked_request_body_is_forwarded_whole():
    upstream = FakeUpstream(
        "a", lambda head, body: signed_response(head, body[::-1])
    )
    single_route = make_route("single", "/s/", service="a")

    async def scenario(forwarder, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"POST /s/1 HTTP/1.1\r\nHost: {HOST}\r\n"
        coding = "Transfer-Encoding: chunked\r\n\r\n"
        writer.write((head + coding + "3\r\nabc\r\n2\r\nde\r\n").encode())
        await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        answer = await reader.readuntil(b"edcba")
        writer.close()
        return answer

    assert run_scenario([upstream], [single_route], scenario).startswith(
        b"HTTP/1.1 200"
    )


def test_request_that_crashes_upstreams_is_quarantined():
    upstreams = [FakeUpstream("a", lambda head, body: None) for _ in range(4)]
    single_route = make_route("single", "/s/", service="a")

    async def scenario(forwarder, port):
        statuses = []
        while 503 not in statuses:
            statuses.append((await send_request(port, "/s/1"))[0])
            await asyncio.sleep(0.4)
        sent = sum(len(upstream.requests) for upstream in upstreams)
        statuses.append((await send_request(port, "/s/1"))[0])
        return statuses, sent

    statuses, sent = run_scenario(upstreams, [single_route], scenario)
    assert set(statuses[:-2]) == {502} and statuses[-1] == 503
    assert sum(len(upstream.requests) for upstream in upstreams) == sent


def test_unknown_route_is_404_and_missing_plan_is_503():
    upstream = FakeUpstream("a", lambda head, body: signed_response(head, b""))

    async def scenario(forwarder, port):
        return await send_request(port, "/nowhere/1")

    status, _, _ = run_scenario(
        [upstream], [make_route("r", "/s/", service="a")], scenario
    )
    assert status == 404
    status, head, _ = run_scenario([upstream], [], scenario, has_plan=False)
    assert status == 503 and float(header_value(head, "retry-after")) > 0


def test_request_is_refused_while_connections_close():
    upstream = FakeUpstream("a", lambda head, body: signed_response(head, b""))

    async def scenario(forwarder, port):
        forwarder.handler.running.ends_at = float("-inf")
        return await send_request(port, "/s/1")

    status, _, _ = run_scenario(
        [upstream], [make_route("r", "/s/", service="a")], scenario
    )
    assert status == 503 and not upstream.requests


def test_stop_completes_all_requests_of_busy_callers():
    async def slow(head, body):
        await asyncio.sleep(0.1)
        return signed_response(head, b"done")

    upstream = FakeUpstream("a", slow)
    statuses = []

    async def keep_busy(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        request = f"GET /s/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        try:
            while True:
                writer.write(request)
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await reader.readexactly(
                    int(header_value(head, "content-length"))
                )
                statuses.append(int(head.split()[1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            # The entry closed the connection, as announced in its responses
            # during the stop.
            writer.close()

    async def scenario(forwarder, port):
        callers = [asyncio.ensure_future(keep_busy(port)) for _ in range(4)]
        await asyncio.sleep(0.3)
        ingress = forwarder.caller_listener
        await forwarder._stop(ingress)
        await asyncio.gather(*callers)
        return len(forwarder.handler.running)

    single_route = make_route("single", "/s/", service="a")
    assert run_scenario([upstream], [single_route], scenario) == 0
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) == len(upstream.requests)


def test_document_is_compressed_to_a_twentieth():
    services = [f"service-{n}" for n in range(20)]
    routes = [
        make_route(
            f"r{n}", f"/{n}/", **{"fanout-services": services, "top-k": 5}
        )
        for n in range(300)
    ]
    document = make_document(routes, services)
    assert len(document.body) * 20 < len(zlib.decompress(document.body))


async def send_late(port, delay_s, path, method, id):
    await asyncio.sleep(delay_s)
    extra = (f"X-Request-Id: {id}",)
    status, _, _ = await send_request(port, path, method, b"x", extra)
    return id, status


def test_stop_answers_requests_that_do_not_end_in_time():
    async def slow(head, body):
        await asyncio.sleep(TEST_TIMEOUT_S)

    upstream = FakeUpstream("a", slow)

    async def scenario(forwarder, port):
        sends = [
            asyncio.ensure_future(send_late(port, 0.0, "/s/1", "POST", f"r{n}"))
            for n in range(5)
        ]
        await asyncio.sleep(0.05)
        await forwarder._stop(forwarder.caller_listener)
        return dict(await asyncio.gather(*sends))

    route = make_route(
        "single", "/s/", service="a", **{"route-type": "non-idempotent"}
    )
    status_by_id = run_scenario([upstream], [route], scenario)
    sent_ids = {header_value(h, "x-request-id") for h, _ in upstream.requests}
    assert sent_ids and len(sent_ids) < len(status_by_id)
    assert all(
        status == (502 if id in sent_ids else 503)
        for id, status in status_by_id.items()
    )


def test_late_request_that_may_not_be_repeated_is_refused_during_a_stop():
    async def slow(head, body):
        await asyncio.sleep(0.05)
        return signed_response(head, b"done")

    upstream = FakeUpstream("a", slow)

    async def scenario(forwarder, port):
        # Opened before the entry stops to listen.
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        stop = asyncio.ensure_future(forwarder._stop(forwarder.caller_listener))
        await asyncio.sleep(0.2)
        writer.write(
            f"POST /once/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        once = (await reader.readuntil(b"\r\n\r\n")).decode()
        writer.close()
        await stop
        return int(once.split()[1])

    routes = [
        make_route(
            "once", "/once/", service="a", **{"route-type": "non-idempotent"}
        ),
    ]
    assert run_scenario([upstream], routes, scenario) == 503
    assert not upstream.requests


def test_late_request_that_ends_in_time_is_served_during_a_stop():
    upstream = FakeUpstream(
        "a", lambda head, body: signed_response(head, b"done")
    )

    async def scenario(forwarder, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        stop = asyncio.ensure_future(forwarder._stop(forwarder.caller_listener))
        await asyncio.sleep(0.2)
        writer.write(f"GET /s/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        writer.close()
        await stop
        return int(head.split()[1])

    route = make_route(
        "single", "/s/", service="a", **{"target-latency-ms": 50}
    )
    assert run_scenario([upstream], [route], scenario) == 200


def with_header(response, line):
    """Return a response with one more header."""
    return response.replace(b"\r\n", f"\r\n{line}\r\n".encode(), 1)


def test_upstream_that_says_that_it_leaves_gets_no_more_requests():
    leaving = FakeUpstream(
        "a",
        lambda head, body: with_header(
            signed_response(head, b"x"), "Server-Leaving: 1"
        ),
    )

    async def scenario(forwarder, port):
        return [(await send_request(port, "/s/1"))[0] for _ in range(4)]

    route = make_route("r", "/s/", service="a")
    statuses = run_scenario([leaving], [route], scenario)
    assert statuses == [200, 503, 503, 503] and len(leaving.requests) == 1


def test_upstream_that_wants_a_pause_gets_nothing_until_its_end():
    def refuse(head, body):
        lines = "X-Not-Executed: 1\r\nRetry-After: 2"
        return with_header(
            signed_response(head, b"", status="503 Service Unavailable"), lines
        )

    upstream = FakeUpstream("a", refuse)

    async def scenario(forwarder, port):
        answers = [await send_request(port, "/s/1") for _ in range(4)]
        return [
            (status, float(header_value(head, "retry-after")))
            for status, head, _ in answers
        ]

    route = make_route("r", "/s/", service="a")
    answers = run_scenario([upstream], [route], scenario)
    assert len(upstream.requests) == 1
    assert all(status == 503 and delay > 1.0 for status, delay in answers)


def test_metrics_of_an_entry_are_rendered():
    upstream = FakeUpstream("a", lambda head, body: signed_response(head, b"x"))

    async def scenario(forwarder, port):
        await send_request(port, "/s/1")
        forwarder._update_gauges()
        return render_exposition(forwarder.metrics)[0].decode()

    route = make_route("r", "/s/", service="a")
    text = run_scenario([upstream], [route], scenario)
    assert "berylspool_timer_lag_seconds" in text
    assert 'berylspool_requests_total{outcome="answered",route="r"} 1' in text


@pytest.mark.parametrize("deadline", ["\u00b2", "9" * 400, "-5", "1e3", ""])
def test_odd_deadline_of_a_caller_is_no_obstacle(deadline):
    upstream = FakeUpstream(
        "a", lambda head, body: signed_response(head, b"x", "s.a")
    )

    async def scenario(forwarder, port):
        extra = ("X-Request-Id: r1", f"X-Request-Deadline: {deadline}")
        return await send_request(port, "/one/1", extra=extra)

    route = make_route("one", "/one/", service="a")
    status, _, body = run_scenario([upstream], [route], scenario)
    assert (status, body) == (200, b"x")


def test_unexpected_error_costs_one_request_and_is_logged():
    upstream = FakeUpstream(
        "a", lambda head, body: signed_response(head, b"x", "s.a")
    )
    logged = []

    async def scenario(forwarder, port):
        run_request = forwarder.handler._run_request

        async def fail_once(*arguments):
            forwarder.handler._run_request = run_request
            raise KeyError("defect")

        forwarder.handler._run_request = fail_once
        forwarder.log.put = logged.append
        forwarder.caller_listener._log = logged.append
        extra = ("X-Request-Id: r1",)
        first = await send_request(port, "/one/1", extra=extra)
        second = await send_request(port, "/one/1", extra=extra)
        return first[0], second[0]

    route = make_route("one", "/one/", service="a")
    assert run_scenario([upstream], [route], scenario) == (502, 200)
    [failed] = [event for event in logged if isinstance(event, RequestFailed)]
    assert failed.path == "/one/1" and "defect" in failed.error


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_answer_with_a_blank_at_the_end_of_a_header_reaches_its_caller(method):
    """The caller got no bytes and no close, though its request had run."""

    def respond(head, body):
        response = signed_response(head, b"done")
        return response.replace(
            b"\r\n", b"\r\nContent-Type: text/plain \r\n", 1
        )

    upstream = FakeUpstream("a", respond)
    route = make_route(
        "r", "/s/", service="a", **{"route-type": "non_idempotent"}
    )

    async def scenario(forwarder, port):
        return await send_request(port, "/s/1", method, b"x")

    status, head, body = run_scenario([upstream], [route], scenario)
    assert (status, body) == (200, b"done")
    assert header_value(head, "content-type") == "text/plain"


@pytest.mark.parametrize(
    "broken", ["_make_headers", "_write"], ids=["headers", "write"]
)
def test_answer_that_cannot_be_written_leaves_no_caller_waiting(
    monkeypatch, broken
):
    """Any error after the outcome left the caller without answer or close."""
    upstream = FakeUpstream("a", lambda head, body: signed_response(head, b"x"))
    logged = []

    async def scenario(forwarder, port):
        forwarder.caller_listener._log = logged.append
        function = getattr(ingress_module, broken)

        def fail_once(*arguments):
            monkeypatch.setattr(ingress_module, broken, function)
            raise ValueError("defect")

        monkeypatch.setattr(ingress_module, broken, fail_once)
        try:
            status, _, _ = await send_request(port, "/s/1")
        except asyncio.IncompleteReadError as error:
            # The connection was closed without a byte.
            assert not error.partial
            status = 0
        following = await send_request(port, "/s/1")
        return status, following[0]

    route = make_route("r", "/s/", service="a")
    statuses = run_scenario([upstream], [route], scenario)
    assert statuses == ({"_make_headers": 502, "_write": 0}[broken], 200)
    [failed] = [event for event in logged if isinstance(event, RequestFailed)]
    assert "defect" in failed.error


def test_head_request_is_answered_once_and_without_a_body():
    upstream = FakeUpstream(
        "a",
        lambda head, body: signed_response(head, b"hello")[: -len(b"hello")],
    )

    async def scenario(forwarder, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        lines = ["HEAD /s/1 HTTP/1.1", f"Host: {HOST}", "X-Request-Id: r1"]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head.decode()

    route = make_route("r", "/s/", service="a")
    head = run_scenario([upstream], [route], scenario)
    assert head.split()[1] == "200" and "X-Response-Stamp: s.1" in head
    assert len(upstream.requests) == 1


def test_request_of_a_caller_that_left_the_queue_reaches_no_upstream():
    """They ran up to seconds after their callers had closed."""

    async def slow(head, body):
        await asyncio.sleep(0.5)
        return signed_response(head, b"x")

    upstream = FakeUpstream("a", slow)
    route = make_route(
        "r", "/s/", service="a", **{"route-type": "non_idempotent"}
    )

    async def open_request(port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        request = f"POST /s/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0"
        writer.write(request.encode() + b"\r\n\r\n")
        return writer

    async def scenario(forwarder, port):
        writers = [await open_request(port) for _ in range(30)]
        await asyncio.sleep(0.3)
        sent_count = len(upstream.requests)
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(1.0)
        return sent_count

    sent_count = run_scenario([upstream], [route], scenario)
    assert 0 < sent_count < 30
    assert len(upstream.requests) == sent_count


def test_bytes_without_end_cost_one_copy_and_the_upstream_its_use():
    """Other callers are served, and a log line and a counter say so."""

    class EndlessUpstream(FakeUpstream):
        async def serve(self, reader, writer):
            with (
                contextlib.closing(writer),
                contextlib.suppress(
                    asyncio.IncompleteReadError, ConnectionError
                ),
            ):
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.requests.append(head)
                start, _, _ = signed_response(head, b"").partition(b"Content-")
                writer.write(start + b"Transfer-Encoding: chunked\r\n\r\n0\r\n")
                while True:
                    writer.write(b"a:b\r\n" * 4096)
                    await writer.drain()

    endless = EndlessUpstream("a", None)

    async def respond(head, body):
        # Without this, the upstream that answers may be preferred throughout.
        if len(sound.requests) > 20 and not endless.requests:
            await asyncio.sleep(0.3)
        return signed_response(head, b"x")

    sound = FakeUpstream("a", respond)
    logged = []

    async def scenario(forwarder, port):
        forwarder.log.put = logged.append
        statuses = []
        for number in range(40):
            extra = (f"X-Request-Id: r{number}",)
            status, _, _ = await send_request(port, "/s/1", extra=extra)
            statuses.append(status)
        return statuses, render_exposition(forwarder.metrics)[0].decode()

    route = make_route("r", "/s/", service="a")
    statuses, metrics = run_scenario([endless, sound], [route], scenario)
    assert statuses == [200] * 40
    overruns = [event for event in logged if isinstance(event, UpstreamOverran)]
    assert overruns and len(endless.requests) == len(overruns) < 5
    assert "berylspool_upstream_overruns_total" in metrics


def test_request_behind_the_last_response_of_a_connection_does_not_run():
    """Its client was told to send it elsewhere, so it could run twice."""
    upstream = FakeUpstream("a", lambda head, body: signed_response(head, b"x"))

    async def scenario(forwarder, port):
        forwarder.is_closing = True
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"GET /s/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
        writer.write(head.encode() * 2)
        received = await reader.read()
        writer.close()
        return received

    route = make_route("r", "/s/", service="a")
    received = run_scenario([upstream], [route], scenario)
    assert received.count(b"HTTP/1.1 200") == 1
    assert b"Connection: close" in received
    assert len(upstream.requests) == 1
