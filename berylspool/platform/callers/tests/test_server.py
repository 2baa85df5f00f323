"""Connections of clients, over sockets, without a router behind them."""

import asyncio
import contextlib
import random

import pytest
import uvloop

from berylspool.common.metric import Metrics
from berylspool.common.request_event import ClientsRejected
from berylspool.platform.callers import connection as connection_module
from berylspool.platform.callers.holdings import HoldingLimits
from berylspool.platform.ingress import Ingress
from berylspool.request.query import (
    Answer,
    Coverage,
    Reason,
    Refusal,
    Snapshot,
    UpstreamResponse,
)
from berylspool.tests.cluster import free_ports
from berylspool.version.forwarding import CallerLimits

TEST_TIMEOUT_S = 20.0
MIB = 1024 * 1024
ROOM = HoldingLimits(64 * MIB, 100)


def make_answer(response):
    coverage = Coverage(1, 1, {})
    return Answer("r", Snapshot("", 1), (response,), coverage, 1)


class Backend:
    """Answers requests: `/wait` waits for `go`, `/long` is 12 MiB long."""

    def __init__(self):
        self.go = asyncio.Event()
        self.requests = []
        self.cancelled = []
        self.has_run = False

    async def answer(self, request, gone):
        self.requests.append(request)
        if request.path == "/wait":
            waits = [
                asyncio.ensure_future(event.wait()) for event in (self.go, gone)
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for wait in waits:
                wait.cancel()
            if gone.is_set():
                self.cancelled.append(request.target)
                return Refusal("", Reason.CANCELLED, not self.has_run, 0.0)
        body = bytes(12 * MIB) if request.path == "/long" else b"ok:"
        if request.path == "/bad":
            return make_answer(UpstreamResponse(200, (("A", "b\nc"),), b""))
        body += request.target.encode() + request.body[:10]
        return make_answer(UpstreamResponse(200, (("X-B", "c"),), body))


def run(scenario, limits=ROOM, caller_limits=None, **settings):
    """Run a scenario, which gets the backend, a port, and the server's parts.

    Args:
        scenario: Coroutine function.
        limits: Limits on all clients.
        caller_limits: List whose first item is the limits on each client.
        **settings: Attributes of the backend.
    """
    caller_limits = caller_limits or [CallerLimits()]

    async def main():
        backend, metrics, logged = Backend(), Metrics(), []
        for name, value in settings.items():
            setattr(backend, name, value)
        ingress = Ingress(
            backend.answer,
            lambda: False,
            logged.append,
            limits=limits,
            get_limits=lambda: caller_limits[0],
            metrics=metrics,
        )
        [port] = free_ports(1)
        ingress.listen(f"127.0.0.1:{port}")
        failures = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: failures.append(context)
        )
        server = ingress._server
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(backend, port, metrics, logged)
        finally:
            async with asyncio.timeout(5.0):
                await ingress.close()
        await asyncio.sleep(0)
        assert not failures and not server._open
        assert server._holdings.byte_count == 0

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())


async def connect(port, data=b""):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    return reader, writer


def make_head(path="/a", *lines, method="GET", version="1.1"):
    start = f"{method} {path} HTTP/{version}"
    return "\r\n".join([start, "Host: h", *lines, "", ""]).encode()


async def read_response(reader):
    """Return the status and the body of the next response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = int(head.lower().partition("content-length: ")[2].split()[0])
    return int(head.split()[1]), head, await reader.readexactly(length)


async def ask(port, data):
    reader, writer = await connect(port, data)
    status, _, _ = await read_response(reader)
    writer.close()
    return status


def counted(metrics):
    return {
        (name.split("_")[2], dict(labels)["reason"]): count
        for (name, labels), count in metrics.counter_by_series.items()
    }


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_pipelined_requests_are_answered_in_order_and_one_at_a_time():
    """Requests behind one that runs would be served at once, without bound."""

    async def scenario(backend, port, metrics, logged):
        many = b"".join(make_head(f"/{n}") for n in range(200))
        reader, writer = await connect(port, make_head("/wait") + many)
        await until(lambda: backend.requests)
        await asyncio.sleep(0.05)
        assert len(backend.requests) == 1
        backend.go.set()
        bodies = [(await read_response(reader))[2] for _ in range(201)]
        writer.close()
        assert bodies == [b"ok:/wait", *(b"ok:/%d" % n for n in range(200))]

    run(scenario)


@pytest.mark.parametrize(
    ("version", "lines", "closes", "has"),
    [
        ("1.1", (), False, None),
        ("1.1", ("Connection: close",), True, "Connection: close"),
        ("1.0", (), True, None),
        ("1.0", ("Connection: keep-alive",), False, "Connection: Keep-Alive"),
    ],
)
def test_connection_stays_open_as_the_request_says(version, lines, closes, has):
    async def scenario(backend, port, metrics, logged):
        request = make_head("/a", *lines, version=version)
        reader, writer = await connect(port, request)
        status, head, body = await read_response(reader)
        assert (status, body) == (200, b"ok:/a")
        assert ("Connection" in head) == (has is not None)
        assert has is None or f"\r\n{has}\r\n" in head
        writer.write(b"" if closes else request)
        following = await reader.read(20)
        assert following == (b"" if closes else b"HTTP/1.1 200 OK\r\nX-B")
        writer.close()

    run(scenario)


def test_head_request_has_no_body_and_the_next_one_is_served():
    async def scenario(backend, port, metrics, logged):
        data = make_head("/a", method="HEAD") + make_head("/b")
        reader, writer = await connect(port, data)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert (await read_response(reader))[2] == b"ok:/b"
        writer.close()

    run(scenario)


def test_body_is_asked_for_unless_it_is_too_long():
    async def scenario(backend, port, metrics, logged):
        lines = ("Expect: 100-continue", "Content-Length: 5")
        head = make_head("/a", *lines, method="POST")
        reader, writer = await connect(port, head)
        first = await reader.readuntil(b"\r\n\r\n")
        assert first == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"hello")
        assert (await read_response(reader))[2] == b"ok:/ahello"
        writer.close()
        lines = ("Expect: 100-continue", "Content-Length: 99")
        assert await ask(port, make_head("/a", *lines, method="POST")) == 413
        assert len(backend.requests) == 1

    run(scenario, caller_limits=[CallerLimits(max_body_bytes=50)])


def test_response_with_an_invalid_header_is_a_failure():
    async def scenario(backend, port, metrics, logged):
        assert await ask(port, make_head("/bad")) == 502

    run(scenario)


def test_request_ends_when_its_client_goes():
    async def scenario(backend, port, metrics, logged):
        _, writer = await connect(port, make_head("/wait"))
        await until(lambda: backend.requests)
        writer.close()
        await until(lambda: backend.cancelled)

    run(scenario)


def test_new_limits_apply_to_open_connections():
    """A version's limits would hold for new connections only."""
    limits = [CallerLimits()]

    async def scenario(backend, port, metrics, logged):
        head = make_head("/a", "Content-Length: 60", method="POST")
        reader, writer = await connect(port, head + bytes(60))
        assert (await read_response(reader))[0] == 200
        limits[0] = CallerLimits(max_body_bytes=50)
        writer.write(head)
        assert (await read_response(reader))[0] == 413
        assert await reader.read() == b""
        writer.close()
        assert counted(metrics) == {("refused", "body"): 1}

    run(scenario, caller_limits=limits)


def test_time_outs_of_heads_bodies_and_idle_connections():
    """Each of them held its connection for ever."""
    limits = CallerLimits(head_timeout_s=0.3, idle_timeout_s=0.6)

    async def scenario(backend, port, metrics, logged):
        head = make_head("/a", "Content-Length: 5", method="POST")
        reader, _ = await connect(port, head[:-3])
        assert (await read_response(reader))[0] == 408
        assert await reader.read() == b""
        reader, _ = await connect(port, head + b"1234")
        assert (await read_response(reader))[0] == 408
        reader, _ = await connect(port)
        assert await reader.read() == b""
        assert not backend.requests
        await asyncio.sleep(1.2)
        assert counted(metrics) == {
            ("refused", "head-timeout"): 1,
            ("refused", "body-timeout"): 1,
            ("dropped", "idle"): 1,
        }
        assert any(isinstance(event, ClientsRejected) for event in logged)

    run(scenario, caller_limits=[limits])


def test_slow_but_steady_client_is_served():
    """A body that takes longer than the time-out is legal while it moves."""
    limits = CallerLimits(head_timeout_s=0.5, idle_timeout_s=0.5)

    async def scenario(backend, port, metrics, logged):
        head = make_head("/a", "Content-Length: 20", method="POST")
        reader, writer = await connect(port, head)
        for _ in range(20):
            await asyncio.sleep(0.1)
            writer.write(b"x")
        assert (await read_response(reader))[0] == 200
        writer.close()

    run(scenario, caller_limits=[limits])


def test_connection_that_was_idle_longest_makes_room():
    """All descriptors would be taken by connections without requests."""

    async def scenario(backend, port, metrics, logged):
        idle = [await connect(port) for _ in range(6)]
        await until(lambda: counted(metrics).get(("dropped", "connections")))
        assert await ask(port, make_head()) == 200
        assert await idle[0][0].read() == b""
        for _, writer in idle:
            writer.close()

    run(scenario, HoldingLimits(64 * MIB, 4))


@pytest.mark.parametrize("has_run", [False, True])
def test_dropped_request_is_refused_only_if_no_copy_was_sent(has_run):
    """A 408 promises that the request has not run."""

    async def scenario(backend, port, metrics, logged):
        data = make_head("/wait", f"Content-Length: {MIB}", method="POST")
        reader, writer = await connect(port, data + bytes(MIB))
        await until(lambda: backend.requests)
        other = await connect(port, data + bytes(MIB))
        if has_run:
            assert await reader.read() == b""
        else:
            assert (await read_response(reader))[0] == 408
        assert backend.cancelled == ["/wait"]
        backend.go.set()
        assert (await read_response(other[0]))[0] == 200
        for each in (writer, other[1]):
            each.close()

    # Enough for both bodies, but not for the tasks that run the second.
    run(scenario, HoldingLimits(2 * MIB + 48 * 1024, 100), has_run=has_run)


def test_incomplete_body_is_dropped_and_a_small_request_served():
    async def scenario(backend, port, metrics, logged):
        data = make_head("/a", f"Content-Length: {MIB}", method="POST")
        opened = [await connect(port, data + bytes(MIB - 1)) for _ in range(4)]
        assert await ask(port, make_head()) == 200
        await until(lambda: counted(metrics).get(("dropped", "memory")))
        assert (await read_response(opened[0][0]))[0] == 408
        assert await ask(port, make_head()) == 200
        for _, writer in opened:
            writer.close()

    run(scenario, HoldingLimits(5 * MIB // 2, 100))


def test_responses_that_are_not_read_are_dropped():
    """The kernel takes the beginning, the process would keep the rest."""

    async def scenario(backend, port, metrics, logged):
        slow = []
        for _ in range(6):
            reader, writer = await connect(port)
            writer.transport.pause_reading()
            writer.write(make_head("/long"))
            slow.append(writer)
        await until(lambda: counted(metrics).get(("dropped", "memory")))
        assert await ask(port, make_head()) == 200
        for writer in slow:
            writer.close()

    run(scenario, HoldingLimits(16 * MIB, 100))


def test_long_response_that_is_read_arrives_whole():
    async def scenario(backend, port, metrics, logged):
        lines = ("Connection: close",)
        reader, writer = await connect(port, make_head("/long", *lines))
        status, _, body = await read_response(reader)
        assert status == 200 and len(body) == 12 * MIB + len(b"/long")
        writer.close()
        reader, writer = await connect(port, make_head("/long") * 2)
        for _ in range(2):
            status, _, body = await read_response(reader)
            assert status == 200 and len(body) == 12 * MIB + len(b"/long")
        writer.close()
        assert not counted(metrics)

    run(scenario)


def test_refused_client_that_goes_on_sending_is_cut_off(monkeypatch):
    monkeypatch.setattr(connection_module, "LINGER_S", 0.1)

    async def scenario(backend, port, metrics, logged):
        head = make_head("/a", f"Content-Length: {64 * MIB}", method="POST")
        reader, writer = await connect(port, head)
        with pytest.raises(ConnectionError):
            while True:
                writer.write(bytes(65536))
                await writer.drain()
                await asyncio.sleep(0.001)
        writer.close()

    run(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_clients_of_any_kind_leave_nothing_behind(seed):
    """A holding that is not released would in time refuse everybody."""
    chance = random.Random(seed)
    body = f"Content-Length: {MIB // 8}"

    def pieces():
        data = b"".join(
            chance.choice(
                [
                    make_head("/a"),
                    make_head("/wait"),
                    make_head("/long"),
                    make_head("/a", body, method="POST") + bytes(MIB // 8),
                    make_head("/a", "Expect: 100-continue", body),
                    make_head("/a", "Connection: close"),
                    make_head("/a", version="1.0"),
                    b"no request\r\n\r\n",
                ]
            )
            for _ in range(chance.randint(1, 4))
        )
        data = data[: len(data) - chance.choice([0, 0, 1, 50])]
        cut = chance.randint(0, len(data))
        return data[:cut], data[cut:]

    async def be_client(port):
        reader, writer = await connect(port)
        with contextlib.suppress(OSError, TimeoutError):
            if chance.random() < 0.5:
                writer.transport.pause_reading()
            for piece in pieces():
                if not writer.transport.is_closing():
                    writer.write(piece)
                await asyncio.sleep(chance.choice([0, 0.01, 0.3]))
            if writer.transport.is_reading():
                async with asyncio.timeout(chance.choice([0.01, 0.3])):
                    await reader.read()
        if chance.random() < 0.5:
            writer.transport.abort()
        else:
            writer.close()

    async def scenario(backend, port, metrics, logged):
        limits = CallerLimits(head_timeout_s=0.2, idle_timeout_s=0.4)
        caller_limits[0] = limits
        await asyncio.gather(*(be_client(port) for _ in range(60)))
        backend.go.set()
        caller_limits[0] = CallerLimits()
        assert await ask(port, make_head()) == 200

    caller_limits = [CallerLimits()]
    run(scenario, HoldingLimits(MIB, 20), caller_limits)
