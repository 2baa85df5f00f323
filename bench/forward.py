"""Measures the processor time of a forwarding entry by size of its fan-out.

Usage: python -m bench.forward [--shards 20,90] [--queries 100] [--entries 1]
    [--profile] [--profile-first]

The upstreams are a minimal protocol in a separate process, so that only the
processor time of the entry is measured. The first query of an entry is measured
apart: where many entries share the upstreams, it opens the connections.
"""

import argparse
import asyncio
import cProfile
import pstats
import subprocess
import sys
import time

import orjson
import uvloop

from berylspool.platform.upstream.connection import PlatformTransport
from berylspool.process.entry.forwarding.forwarder import Forwarder
from berylspool.process.entry.routing_message import LeaseGranted
from berylspool.process.lifetime import start_garbage_collection
from berylspool.process.settings import EntrySettings, Settings
from berylspool.request.forward_request import ForwardRequest
from berylspool.version.configuration import (
    Configuration,
    Document,
    Upstream,
)
from berylspool.version.forwarding import (
    ForwardPlan,
    ForwardRoute,
    ForwardService,
    Target,
)
from berylspool.version.listing import ListedUpstream, Listing

HOST = "h.example"
UPSTREAMS_PER_SERVICE = 3
SLOTS_PER_UPSTREAM = 2
MAX_CONNECTIONS = 61
RECORDS_PER_RESPONSE = 12
WARM_UP_QUERIES = 20
DEADLINE_S = 5.0
HEAD_END = b"\r\n\r\n"
US_PER_S = 1e6


class BareUpstream(asyncio.Protocol):
    """Upstream that answers each request immediately."""

    def connection_made(self, transport):
        self.transport = transport
        self.buffer = b""

    def data_received(self, data):
        *heads, self.buffer = (self.buffer + data).split(HEAD_END)
        for head in heads:
            self.transport.write(make_response(head))


def make_response(head):
    """Return the response to a request head, with the same request id."""
    start = head.index(b"X-Request-Id: ")
    line = head[start : head.index(b"\r\n", start)]
    body = bytes(range(16)) * RECORDS_PER_RESPONSE
    return (
        b"HTTP/1.1 200 OK\r\n"
        + line
        + b"\r\nX-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1"
        + b"\r\nX-Server-Load: 1,0,2\r\nKeep-Alive: timeout=30"
        + b"\r\nContent-Length: %d\r\n\r\n" % len(body)
        + body
    )


async def serve_upstreams(count):
    """Serve a number of upstreams until standard input closes.

    Their ports are printed as a JSON list.
    """
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(BareUpstream, "127.0.0.1", 0)
        for _ in range(count)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    sys.stdout.write(orjson.dumps(ports).decode() + "\n")
    sys.stdout.flush()
    await loop.run_in_executor(None, sys.stdin.read)


def make_plan(services):
    """Return a forwarding plan with one route, to all services."""
    route = ForwardRoute(
        "r",
        HOST,
        "/a/",
        is_idempotent=True,
        timeout_s=DEADLINE_S,
        target_latency_s=0.0,
        rank=0,
        max_attempts=2,
        targets=(Target(tuple(services)),),
        max_records=10,
        min_coverage=0.9,
    )
    return ForwardPlan(
        1,
        {HOST: (route,)},
        {name: ForwardService(name, MAX_CONNECTIONS) for name in services},
    )


def make_listing(ports):
    """Return a listing with `UPSTREAMS_PER_SERVICE` upstreams a service."""
    listed_by_id = {}
    for number, port in enumerate(ports):
        id = f"i-{number}"
        zone = f"z{number % UPSTREAMS_PER_SERVICE}"
        upstream = Upstream(id, "127.0.0.1", port, zone, "v1")
        listed_by_id[id] = ListedUpstream(
            f"s{number // UPSTREAMS_PER_SERVICE}", upstream, SLOTS_PER_UPSTREAM
        )
    return Listing(1, 1, listed_by_id)


async def measure(ports, args, profile):
    """Return the processor times of the first and of a later query.

    Args:
        ports: Ports of the upstreams.
        args: Command-line arguments.
        profile: Profiler, or None.

    Returns:
        Seconds of the first query, and mean seconds of a query after the
        warm-up.
    """
    services = {
        f"s{n // UPSTREAMS_PER_SERVICE}": None for n in range(len(ports))
    }
    plan = make_plan(services)
    entry = EntrySettings(
        address="127.0.0.1:1", peer_address="127.0.0.1:2", zone="z0"
    )
    forwarder = Forwarder(
        "e1",
        Settings(entries={"e1": entry}, controls={}),
        decode=lambda document: plan,
        transport=PlatformTransport(),
        control_port=None,
        clock=time.monotonic,
    )
    routing_task = asyncio.ensure_future(forwarder.router.run())
    forwarder.router.inbox.put(LeaseGranted(float("inf")))
    forwarder.state.set_configuration(Configuration(1, document=Document(1)))
    forwarder.state.set_entry_count(args.entries)
    forwarder.state.set_listing(make_listing(ports))
    await asyncio.sleep(1.0)
    start_garbage_collection()
    is_profiling_first = profile and args.profile_first
    if is_profiling_first:
        profile.enable()
    started_s = time.process_time()
    await ask(forwarder, "first")
    # Connections are opened while the answer is merged and after it.
    await asyncio.sleep(0.5)
    first_s = time.process_time() - started_s
    if is_profiling_first:
        profile.disable()
    for number in range(WARM_UP_QUERIES):
        await ask(forwarder, f"w{number}")
    started_s = time.process_time()
    if profile and not is_profiling_first:
        profile.enable()
    for number in range(args.queries):
        await ask(forwarder, f"q{number}")
    if profile:
        profile.disable()
    used_s = time.process_time() - started_s
    routing_task.cancel()
    return first_s, used_s / args.queries


async def ask(forwarder, id):
    """Send one query and wait for its answer."""
    request = ForwardRequest(
        id=id,
        method="GET",
        host=HOST,
        path="/a/1",
        target="/a/1",
        headers=(("Host", HOST), ("X-Request-Id", id)),
        body=b"",
        deadline_s=DEADLINE_S,
    )
    await forwarder.handler.answer(request, asyncio.Event())


def main():
    """Measure each size of fan-out, or serve upstreams with `--serve`."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--shards", default="20,90")
    parser.add_argument("--queries", type=int, default=100)
    parser.add_argument("--entries", type=int, default=1)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--profile-first", action="store_true")
    parser.add_argument("--serve", type=int, default=0)
    args = parser.parse_args()
    if args.serve:
        asyncio.run(serve_upstreams(args.serve))
        return
    for shards in map(int, args.shards.split(",")):
        command = [sys.executable, "-m", "bench.forward"]
        with subprocess.Popen(
            [*command, "--serve", str(shards * UPSTREAMS_PER_SERVICE)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as upstreams:
            assert upstreams.stdout is not None
            ports = orjson.loads(upstreams.stdout.readline())
            is_profiling = args.profile or args.profile_first
            profile = cProfile.Profile() if is_profiling else None
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                first_s, used_s = runner.run(measure(ports, args, profile))
            print(
                f"{shards} shards: first query {first_s * 1000:.1f} ms, then "
                f"{used_s * 1000:.1f} ms a query, "
                f"{used_s / shards * US_PER_S:.0f} us a part"
            )
            if profile:
                pstats.Stats(profile).sort_stats("tottime").print_stats(40)
            upstreams.stdin.close()


if __name__ == "__main__":
    main()
