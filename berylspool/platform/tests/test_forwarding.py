"""Forwarded requests from end to end over sockets, without control nodes."""

import asyncio
import contextlib
import time
import zlib

import orjson

from berylspool.platform.document import decode_plan, read_document
from berylspool.platform.ingress import Ingress
from berylspool.platform.upstream import PlatformTransport
from berylspool.process.entry.forwarder import Forwarder
from berylspool.process.entry.routing_message import LeaseSet
from berylspool.process.settings import EntrySettings, Settings
from berylspool.tests.cluster import free_ports
from berylspool.version.configuration import Configuration, Upstream
from berylspool.version.listing import ListedUpstream, Listing

PATIENCE_S = 10.0
HOST = "h.example"


class Shard:
    """An upstream whose response is a function of the request."""

    def __init__(self, service, answer):
        self.service = service
        self.answer = answer
        self.heads = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        id = f"i-{self.service}-{port}"
        upstream = Upstream(id, "127.0.0.1", port, "z", "v1")
        return ListedUpstream(self.service, upstream, 3)

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = value_of(head, "content-length")
                body = await reader.readexactly(int(length or 0))
                self.heads.append((head, body))
                reply = self.answer(head, body)
                if asyncio.iscoroutine(reply):
                    reply = await reply
                if reply is None:
                    break
                writer.write(reply)
        writer.close()


def value_of(head, name):
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(": ")
        if key.lower() == name:
            return value
    return ""


def signed(head, body, stamp="s.1", status="200 OK"):
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {value_of(head, 'x-request-id')}",
        f"X-Response-Stamp: {stamp}",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def route(name, prefix, **changes):
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": "idempotent",
        "timeout-ms": 2000,
        "max-attempts": 2,
        **changes,
    }


def document(routes, services):
    text = orjson.dumps(
        {
            "version": 3,
            "routes": routes,
            "services": [{"name": s, "max-connections": 9} for s in services],
        }
    )
    return read_document(text)[0]


async def request(port, path, method="GET", body=b"", extra=()):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *extra]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = int(value_of(head, "content-length"))
    answer = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), head, answer


def play(shards, routes, script, is_informed=True):
    async def run():
        [port, peer] = free_ports(2)
        entry = EntrySettings(
            address=f"127.0.0.1:{port}",
            peer_address=f"127.0.0.1:{peer}",
            zone="z",
            notice_s=0.1,
            drain_s=1.0,
        )
        forwarder = Forwarder(
            "e1",
            Settings(entries={"e1": entry}),
            decode=decode_plan,
            transport=PlatformTransport(time.monotonic),
            peer_port=None,
            clock=time.monotonic,
        )
        ingress = Ingress(forwarder.answer, lambda: forwarder.is_closing)
        forwarder.callers = ingress
        router = asyncio.ensure_future(forwarder.router.run())
        figures = asyncio.ensure_future(forwarder._watch_figures())
        forwarder.router.inbox.put(LeaseSet(float("inf")))
        listed = [await shard.start() for shard in shards]
        if is_informed:
            plan = document(routes, {shard.service for shard in shards})
            forwarder.in_force.share(1)
            forwarder.in_force.list(
                Listing(1, 1, {item.upstream.id: item for item in listed})
            )
            forwarder.in_force.state(Configuration(1, document=plan))
        ingress.listen(entry.address)
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await script(forwarder, port)
        finally:
            router.cancel()
            figures.cancel()
            await ingress.close()
            for shard in shards:
                shard.server.close()

    return asyncio.run(run())


def records(*numbers):
    return b"".join(bytes([n]) * 16 for n in numbers)


def wide(**changes):
    return route(
        "wide",
        "/w/",
        **{
            "fanout-services": ["a", "b"],
            "top-k": 3,
            "min-shard-ratio": 0.5,
            **changes,
        },
    )


def test_the_greatest_records_of_all_shards_with_their_signatures():
    shards = [
        Shard("a", lambda head, body: signed(head, records(9, 2), "s.a")),
        Shard("b", lambda head, body: signed(head, records(1, 7), "s.b")),
    ]

    async def script(forwarder, port):
        return await request(port, "/w/1?x=2", extra=("X-Request-Id: r1",))

    status, head, body = play(shards, [wide()], script)
    assert status == 200 and body == records(9, 7, 2)
    assert value_of(head, "x-part-stamps") == "s.a, s.b"
    assert value_of(head, "x-missing-parts") == "0"
    assert all(
        shard.heads[0][0].startswith("GET /w/1?x=2 ") for shard in shards
    )


def test_a_part_that_fails_is_stated_as_missing():
    shards = [
        Shard("a", lambda head, body: signed(head, records(9), "s.a")),
        Shard("b", lambda head, body: signed(head, b"", "s.b", "500 X")),
    ]

    async def script(forwarder, port):
        return await request(port, "/w/1")

    status, head, body = play(shards, [wide()], script)
    assert status == 200 and body == records(9)
    assert value_of(head, "x-part-stamps") == "s.a"
    assert value_of(head, "x-missing-parts") == "1"


def test_less_than_the_least_coverage_is_no_success():
    shards = [
        Shard("a", lambda head, body: signed(head, records(9), "s.a")),
        Shard("b", lambda head, body: signed(head, b"", "s.b", "500 X")),
    ]

    async def script(forwarder, port):
        return await request(port, "/w/1")

    status, _, _ = play(shards, [wide(**{"min-shard-ratio": 1.0})], script)
    assert status in (500, 502)


def test_at_the_target_the_least_coverage_is_an_answer():
    async def slow(head, body):
        await asyncio.sleep(3.0)
        return signed(head, records(8), "s.b")

    shards = [
        Shard("a", lambda head, body: signed(head, records(9), "s.a")),
        Shard("b", slow),
    ]

    async def script(forwarder, port):
        return await request(port, "/w/1")

    changes = {"target-latency-ms": 200, "timeout-ms": 8000}
    status, head, body = play(shards, [wide(**changes)], script)
    assert status == 200 and value_of(head, "x-missing-parts") == "1"
    assert body == records(9)


def test_a_request_that_may_run_once_is_sent_once_and_never_called_not_run():
    shard = Shard("a", lambda head, body: None)
    once = route("once", "/o/", service="a", **{"route-type": "non_idempotent"})

    async def script(forwarder, port):
        return await request(port, "/o/1", "POST", b"pay")

    status, _, _ = play([shard], [once], script)
    assert status == 502
    assert [body for _, body in shard.heads] == [b"pay"]


def test_a_request_that_may_run_once_moves_on_after_a_true_refusal():
    def refuse_first(head, body):
        if len(shard.heads) == 1:
            lines = "HTTP/1.1 503 X\r\nX-Not-Executed: 1"
            return f"{lines}\r\nContent-Length: 0\r\n\r\n".encode()
        return signed(head, b"paid")

    shard = Shard("a", refuse_first)
    once = route("once", "/o/", service="a", **{"route-type": "non_idempotent"})

    async def script(forwarder, port):
        return await request(port, "/o/1", "POST", b"pay")

    status, head, body = play([shard], [once], script)
    assert status == 200 and body == b"paid" and len(shard.heads) == 2
    assert value_of(head, "x-response-stamp") == "s.1"


def test_a_failure_of_the_upstream_is_handed_on_unchanged():
    shard = Shard("a", lambda head, body: signed(head, b"no", "s.9", "500 Bad"))

    async def script(forwarder, port):
        return await request(port, "/s/1")

    single = route("single", "/s/", service="a", **{"max-attempts": 1})
    status, head, body = play([shard], [single], script)
    assert (status, body) == (500, b"no")
    assert value_of(head, "x-response-stamp") == "s.9"


def test_a_chunked_body_arrives_whole():
    shard = Shard("a", lambda head, body: signed(head, body[::-1]))
    single = route("single", "/s/", service="a")

    async def script(forwarder, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = f"POST /s/1 HTTP/1.1\r\nHost: {HOST}\r\n"
        coding = "Transfer-Encoding: chunked\r\n\r\n"
        writer.write((head + coding + "3\r\nabc\r\n2\r\nde\r\n").encode())
        await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        answer = await reader.readuntil(b"edcba")
        writer.close()
        return answer

    assert play([shard], [single], script).startswith(b"HTTP/1.1 200")


def test_a_request_that_crashes_upstreams_is_not_sent_for_ever():
    shards = [Shard("a", lambda head, body: None) for _ in range(4)]
    single = route("single", "/s/", service="a")

    async def script(forwarder, port):
        statuses = []
        while 503 not in statuses:
            statuses.append((await request(port, "/s/1"))[0])
            await asyncio.sleep(0.4)
        sent = sum(len(shard.heads) for shard in shards)
        statuses.append((await request(port, "/s/1"))[0])
        return statuses, sent

    statuses, sent = play(shards, [single], script)
    assert set(statuses[:-2]) == {502} and statuses[-1] == 503
    assert sum(len(shard.heads) for shard in shards) == sent


def test_no_route_is_404_and_no_plan_is_a_true_refusal():
    shard = Shard("a", lambda head, body: signed(head, b""))

    async def script(forwarder, port):
        return await request(port, "/nowhere/1")

    status, _, _ = play([shard], [route("r", "/s/", service="a")], script)
    assert status == 404
    status, head, _ = play([shard], [], script, is_informed=False)
    assert status == 503 and float(value_of(head, "retry-after")) > 0


def test_what_arrives_while_connections_close_is_not_sent_on():
    shard = Shard("a", lambda head, body: signed(head, b""))

    async def script(forwarder, port):
        forwarder._is_done = True
        return await request(port, "/s/1")

    status, _, _ = play([shard], [route("r", "/s/", service="a")], script)
    assert status == 503 and not shard.heads


def test_a_stop_cuts_no_request_of_callers_that_keep_busy():
    async def slow(head, body):
        await asyncio.sleep(0.1)
        return signed(head, b"done")

    shard = Shard("a", slow)
    statuses = []

    async def keep_busy(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        ask = f"GET /s/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        try:
            while True:
                writer.write(ask)
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await reader.readexactly(int(value_of(head, "content-length")))
                statuses.append(int(head.split()[1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            # The entry closed the connection, as announced in its responses
            # during the stop.
            writer.close()

    async def script(forwarder, port):
        callers = [asyncio.ensure_future(keep_busy(port)) for _ in range(4)]
        await asyncio.sleep(0.3)
        ingress = forwarder.callers
        await forwarder._stop(ingress)
        await asyncio.gather(*callers)
        return forwarder.in_flight

    single = route("single", "/s/", service="a")
    assert play([shard], [single], script) == 0
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) == len(shard.heads)


def test_a_published_text_shrinks():
    services = [f"service-{n}" for n in range(20)]
    routes = [
        route(f"r{n}", f"/{n}/", **{"fanout-services": services, "top-k": 5})
        for n in range(300)
    ]
    packed = document(routes, services)
    assert len(packed.body) * 20 < len(zlib.decompress(packed.body))
