"""Number of wake-ups that a request to many services costs its entry."""

import asyncio
import time

from berylspool.platform.tests.test_forwarding import (
    header_value,
    make_records,
    signed_response,
)
from berylspool.platform.tests.wide_entry import ask_wide, start_wide_entry
from berylspool.version.configuration import Upstream
from berylspool.version.listing import ListedUpstream, Listing

SERVICES = [f"s{number}" for number in range(60)]
TEST_TIMEOUT_S = 20.0
DEADLINE_S = 5.0


class CountingLoop(asyncio.SelectorEventLoop):
    """Event loop that counts the callbacks and wake-ups of its tasks."""

    count = 0

    def call_soon(self, *args, **kwargs):
        self.count += 1
        return super().call_soon(*args, **kwargs)


class HoldingUpstreams:
    """Upstreams that answer together once all of them have a request."""

    def __init__(self):
        self.held = []

    def receive(self, transport, head):
        self.held.append((transport, head))
        if len(self.held) < len(SERVICES):
            return
        held, self.held = self.held, []
        for transport, head in held:
            request_id = header_value(head, "x-request-id")
            stamp = f"s.{request_id}.{id(transport)}"
            transport.write(signed_response(head, make_records(7), stamp))


class UpstreamProtocol(asyncio.Protocol):
    def __init__(self, upstreams):
        self.upstreams = upstreams

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.upstreams.receive(self.transport, data.decode())


async def listen_upstreams(loop, upstreams):
    servers, listed_by_id = [], {}
    for service in SERVICES:
        server = await loop.create_server(
            lambda: UpstreamProtocol(upstreams), "127.0.0.1", 0
        )
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        upstream = Upstream(f"i-{service}", "127.0.0.1", port, "z", "v1")
        listed_by_id[upstream.id] = ListedUpstream(service, upstream, 2)
    return servers, Listing(1, 1, listed_by_id)


async def count_wake_ups(loop):
    servers, listing = await listen_upstreams(loop, HoldingUpstreams())
    forwarder, router = await start_wide_entry(
        time.monotonic, listing, SERVICES, 1, {}
    )
    async with asyncio.timeout(TEST_TIMEOUT_S):
        first = await ask_wide(forwarder, "r1", DEADLINE_S)
        await asyncio.sleep(0.1)
        count_before = loop.count
        second = await ask_wide(forwarder, "r2", DEADLINE_S)
        count = loop.count - count_before
    router.cancel()
    for server in servers:
        server.close()
    await asyncio.sleep(0.1)
    assert first.coverage.is_whole and second.coverage.is_whole
    return count


def test_parts_of_a_wide_request_share_their_wake_ups():
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        count = runner.run(count_wake_ups(runner.get_loop()))
    assert count <= len(SERVICES)
