"""A zone of forwarding entries in one process, with upstreams, on loopback."""

import asyncio
import collections
import contextlib
import time
from unittest import mock

from berylspool.connection.control_message import ExtraCopies
from berylspool.connection.message import Member, MemberTable
from berylspool.platform.document import decode_plan
from berylspool.platform.tests.test_forwarding import (
    HOST,
    FakeUpstream,
    header_value,
    make_document,
    make_records,
    make_route,
    signed_response,
)
from berylspool.platform.upstream.connection import PlatformTransport
from berylspool.process.entry.delegation import slices, turn_monitor
from berylspool.process.entry.delegation.delegation import Delegation
from berylspool.process.entry.forwarding.forwarder import Forwarder
from berylspool.process.entry.routing_message import LeaseGranted
from berylspool.process.log import LogTask
from berylspool.process.settings import (
    EntrySettings,
    RoutingSettings,
    Settings,
)
from berylspool.request.forward_request import ForwardRequest
from berylspool.tests.cluster import free_ports
from berylspool.version.configuration import Configuration
from berylspool.version.listing import Listing

WAIT_TIMEOUT_S = 10.0
FOREVER_S = 60.0
DEADLINE_S = 5.0
# All entries and upstreams share one event loop and a busy machine, so that an
# entry is given more time to answer, and the route a longer target.
ANSWER_TIMEOUT_S = 0.25
MAX_LATENESS_S = 1.0
TARGET_MS = 2000
# Below the share at which 45 parts of such a target are worth dividing.
PROCESSOR_SHARE = 0.04
SERVICES = [f"s{number:02}" for number in range(45)]
PERMANENT_LEASE = LeaseGranted(float("inf"))


class Upstreams:
    """Upstreams of all services, one process each.

    Attributes:
        delay_s: Time until each answers, in seconds.
        slow_services: Services whose upstreams do not answer.
        started: Services of each request that began to run, by request id.
    """

    def __init__(self):
        self.delay_s = 0.0
        self.slow_services = set()
        self.started = collections.defaultdict(list)
        self.upstreams = []

    async def start(self):
        listed = []
        for service in SERVICES:
            for _ in range(3):
                upstream = FakeUpstream(service, self.make_respond(service))
                listed.append(await upstream.start())
                self.upstreams.append(upstream)
        return Listing(1, 1, {item.upstream.id: item for item in listed})

    def make_respond(self, service):
        async def respond(head, _body):
            request_id = header_value(head, "x-request-id")
            self.started[request_id].append(service)
            is_slow = service in self.slow_services
            await asyncio.sleep(FOREVER_S if is_slow else self.delay_s)
            return signed_response(
                head, make_records(int(service[1:])), f"s.{service}"
            )

        return respond

    def most_copies(self, request_id):
        """Return the largest number of upstreams that got one part."""
        return max(collections.Counter(self.started[request_id]).values())

    def stop(self):
        for upstream in self.upstreams:
            upstream.server.close()


def make_entry(name, port, peer_port, share=PROCESSOR_SHARE):
    """Return an entry that is not started."""
    entry = EntrySettings(
        address=f"127.0.0.1:{port}",
        peer_address=f"127.0.0.1:{peer_port}",
        zone="z",
        notice_s=0.1,
        drain_s=1.0,
    )
    return Forwarder(
        name,
        Settings(
            entries={name: entry},
            routing=RoutingSettings(processor_share=share, sharing="alone"),
        ),
        decode=decode_plan,
        transport=PlatformTransport(time.monotonic),
        control_port=None,
        clock=time.monotonic,
        log=LogTask(holds_part_lines=True),
    )


def apply_plan(forwarder, listing, services, **changes):
    fields = {
        "fanout-services": SERVICES,
        "top-k": 45,
        "min-shard-ratio": 0.5,
        "timeout-ms": DEADLINE_S * 1000,
        "target-latency-ms": TARGET_MS,
        **changes,
    }
    route = make_route("wide", "/w/", **fields)
    forwarder.state.set_listing(listing)
    forwarder.state.set_configuration(
        Configuration(1, document=make_document([route], services))
    )


async def lend_copies(forwarder):
    """Lend extra copies, as the leader of control does."""
    while True:
        messages = await forwarder.control.inbox.take()
        wanted = [m for m in messages if isinstance(m, ExtraCopies)]
        forwarder.router.receive_loans(tuple(wanted))


class Zone:
    """Entries of one zone.

    Attributes:
        upstreams: Upstreams of all entries.
        entry_by_name: Running entries.
        member_by_name: The entries as the member table names them.
    """

    def __init__(self):
        self.upstreams = Upstreams()
        self.entry_by_name = {}
        self.member_by_name = {}
        self.tasks_by_name = {}
        self.patches = contextlib.ExitStack()

    async def start(self, names, **changes):
        self.listing = await self.upstreams.start()
        for name in names:
            self.start_entry(name, **changes)
        self.apply_table()
        await self.wait_until(self.is_linked)

    def start_entry(self, name, **changes):
        port, peer_port = free_ports(2)
        forwarder = make_entry(name, port, peer_port)
        assert isinstance(forwarder.delegation, Delegation)
        self.tasks_by_name[name] = [
            asyncio.ensure_future(forwarder.router.run()),
            asyncio.ensure_future(forwarder.delegation.run()),
            asyncio.ensure_future(lend_copies(forwarder)),
        ]
        forwarder.router.inbox.put(PERMANENT_LEASE)
        apply_plan(forwarder, self.listing, SERVICES, **changes)
        self.entry_by_name[name] = forwarder
        self.member_by_name[name] = Member(name, "127.0.0.1", peer_port, "z")

    def apply_table(self):
        for name in self.entry_by_name:
            self.set_table(name, self.member_by_name)

    def set_table(self, name, member_by_name):
        table = MemberTable(1, True, dict(member_by_name))
        self.entry_by_name[name]._apply_table(table)

    def linked(self, name):
        return self.entry_by_name[name].delegation.delegator.linked

    def is_linked(self):
        return all(
            forwarder.state.initialized.is_set()
            and self.linked(name) >= self.entry_by_name.keys() - {name}
            for name, forwarder in self.entry_by_name.items()
        )

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)

    async def ask(self, name, id, caller_gone=None):
        request = ForwardRequest(
            id=id,
            method="GET",
            host=HOST,
            path="/w/1",
            target="/w/1",
            headers=(("Host", HOST), ("X-Request-Id", id)),
            body=b"",
            deadline_s=DEADLINE_S,
        )
        handler = self.entry_by_name[name].handler
        return await handler.answer(request, caller_gone or asyncio.Event())

    def count(self, name, metric, outcome):
        counters = self.entry_by_name[name].metrics.counter_by_series
        return counters[(metric, (("outcome", outcome),))]

    def sent(self, name):
        return self.count(name, "berylspool_slices_sent_total", "sent")

    def taken_back(self, name, cause):
        return self.count(name, "berylspool_slices_taken_back_total", cause)

    def accepted(self, name):
        return self.count(name, "berylspool_slices_received_total", "accepted")

    def kill_entry(self, name):
        """Stop an entry abruptly and close its sockets, as SIGKILL does."""
        forwarder = self.entry_by_name.pop(name)
        for task in self.tasks_by_name.pop(name):
            task.cancel()
        server = forwarder.delegation.helper.server
        server.stop()
        for session in list(server.session_by_id.values()):
            session._stream.close()

    async def stop(self):
        for name in list(self.entry_by_name):
            self.kill_entry(name)
        self.upstreams.stop()
        await asyncio.sleep(0.05)
        self.patches.close()

    def patch(self, module, name, value):
        """Change a constant of a module until the zone stops."""
        self.patches.enter_context(mock.patch.object(module, name, value))


def run_zone(scenario, names=("e1", "e2", "e3", "e4"), **changes):
    """Run a scenario with a zone of entries."""

    async def run():
        zone = Zone()
        zone.patch(slices, "ACCEPT_TIMEOUT_S", ANSWER_TIMEOUT_S)
        zone.patch(slices, "PROBE_TIMEOUT_S", ANSWER_TIMEOUT_S)
        zone.patch(turn_monitor, "MAX_LATENESS_S", MAX_LATENESS_S)
        try:
            await zone.start(names, **changes)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                return await scenario(zone)
        finally:
            await zone.stop()

    return asyncio.run(run())


class Proxy:
    """Passes the bytes of a link on, until a direction is stopped.

    Attributes:
        port: Port that it listens on.
        passes: Whether bytes pass, by direction: `ask` and `answer`.
        delay_s: Delay of each answer, in seconds.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.passes = {"ask": True, "answer": True}
        self.delay_s = 0.0
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        self.writers += [writer, up_writer]
        with contextlib.suppress(ConnectionError):
            await asyncio.gather(
                self.copy(reader, up_writer, "ask"),
                self.copy(up_reader, writer, "answer"),
            )

    async def copy(self, reader, writer, direction):
        while data := await reader.read(65536):
            while not self.passes[direction]:
                await asyncio.sleep(0.002)
            if direction == "answer" and self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
        writer.close()

    def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.close()
