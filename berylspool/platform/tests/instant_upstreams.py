"""An entry on an event loop whose upstreams are in the same process.

They answer in the next turn of the loop, and time is what the test says, so
that nothing depends on the speed of the machine.
"""

import asyncio
from dataclasses import dataclass

from berylspool.platform.tests.test_forwarding import (
    header_value,
    make_records,
)
from berylspool.platform.tests.wide_entry import ask_wide, start_wide_entry
from berylspool.version.configuration import Upstream
from berylspool.version.listing import ListedUpstream, Listing

UPSTREAMS_PER_SERVICE = 3
TARGET_MS = 100
MAX_OPENING_TURNS = 3
# Far beyond what the clock of a test reaches.
DEADLINE_S = 1e6


@dataclass
class Costs:
    """Time that passes at each step of the entry, in seconds."""

    opening_s: float = 0.0
    sending_s: float = 0.0


class InstantUpstream(asyncio.Transport):
    """Stream to an upstream that answers each request in the next turn."""

    def __init__(self, loop, protocol):
        super().__init__()
        self.loop = loop
        self.protocol = protocol

    def write(self, data):
        self.loop.sent += 1
        self.loop.now += self.loop.costs.sending_s
        request_id = header_value(data.decode(), "x-request-id")
        body = make_records(*range(12))
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Response-Stamp: s.{request_id}.{id(self)}",
            "X-Server-Load: 1,0,2,104",
            "Keep-Alive: timeout=30",
            f"Content-Length: {len(body)}",
        ]
        response = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.loop.call_soon(self.protocol.data_received, response)

    def is_closing(self):
        return False

    def close(self):
        pass

    abort = close


class InstantLoop(asyncio.SelectorEventLoop):
    """Event loop whose connections lead to instant upstreams.

    Attributes:
        now: Time of the entry, in seconds.
        costs: Time that its steps take.
        opened: Connections opened.
        sent: Copies sent.
    """

    def __init__(self):
        super().__init__()
        self.now, self.costs = 1.0, Costs()
        self.opened = self.sent = 0

    def clock(self):
        return self.now

    async def create_connection(self, protocol_factory, *_args, **_kwargs):
        self.opened += 1
        self.now += self.costs.opening_s
        # Those that open together are noticed in a few turns of the loop.
        for _ in range(1 + self.opened % MAX_OPENING_TURNS):
            await asyncio.sleep(0)
        protocol = protocol_factory()
        transport = InstantUpstream(self, protocol)
        protocol.connection_made(transport)
        return transport, protocol


def make_listing(services):
    listed_by_id = {}
    for service in services:
        for number in range(UPSTREAMS_PER_SERVICE):
            upstream = Upstream(
                f"i-{service}-{number}", "192.0.2.1", 80, f"z{number}", "v1"
            )
            listed_by_id[upstream.id] = ListedUpstream(service, upstream, 2)
    return Listing(1, 1, listed_by_id)


async def start_entry(
    loop, service_count, entries, processor_share=0.0, **settings_changes
):
    """Return an entry among several, with one wide route, and its router."""
    services = [f"s{number}" for number in range(service_count)]
    return await start_wide_entry(
        loop.clock,
        make_listing(services),
        services,
        entries,
        {
            "top-k": 10,
            "min-shard-ratio": 1.0,
            "timeout-ms": DEADLINE_S * 1000,
            "target-latency-ms": TARGET_MS,
        },
        processor_share,
        **settings_changes,
    )


async def ask(forwarder, id):
    """Return the answer to a wide request, once nothing of it is left."""
    answer = await ask_wide(forwarder, id, DEADLINE_S)
    for _ in range(8):
        await asyncio.sleep(0)
    return answer
