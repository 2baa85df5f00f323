"""Usage reports of three control nodes to a stand-in of the platform.

Leaders end, return and are cut off from the group; time passes faster than on
the platform.
"""

import asyncio
import contextlib
import time
from dataclasses import dataclass

import orjson

from berylspool.connection.message import Member
from berylspool.platform.usage_client import UsageClient
from berylspool.process.control.platform_integration import (
    PlatformIntegration,
)
from berylspool.process.control.role import ControlNode
from berylspool.process.entry.control_client import ControlClient
from berylspool.process.entry.usage.usage_counter import UsageCounter
from berylspool.process.settings import DutySettings
from berylspool.request.query import (
    Answer,
    Coverage,
    Forward,
    Query,
    Snapshot,
)
from berylspool.tests.cluster import Cluster, make_settings
from berylspool.version.duty.window import window_at

WINDOW_S = 0.5
LATE_S = 3.0
LEASE_S = 0.6
# A call that was on its way when the leader lost its quorum, and the time in
# which it notices that.
CALL_AFTER_LOSS_S = 1.6
ANSWER = Answer("r", Snapshot("", 1), (), Coverage(1, 1), 1)


@dataclass
class Report:
    at: float
    holder: str
    token: int
    window: int
    counts: dict


class DutyCluster(Cluster):
    """Three control nodes, two counting entries, and a platform."""

    def __init__(self, settings):
        super().__init__(settings)
        self.reports, self.clients, self.counters = [], [], []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        for name in self.settings.controls:
            self.start_control(name)
        for number in range(2):
            self.start_counting(f"entry-{number}")

    async def serve(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:-2]
                )
                length = int(fields["Content-Length"])
                body = orjson.loads(await reader.readexactly(length))
                self.reports.append(
                    Report(
                        time.monotonic(),
                        fields["X-Lease-Holder"],
                        int(fields["X-Fencing-Token"]),
                        body["window-id"],
                        body["counts"],
                    )
                )
                highest = max(report.token for report in self.reports)
                is_old = self.reports[-1].token < highest
                status = "409 Conflict" if is_old else "200 OK"
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode()
                )

    def start_control(self, name, is_init=True):
        duties = DutySettings(
            names=("usage_report",),
            holder=f"vm-{name}",
            window_s=WINDOW_S,
            late_s=LATE_S,
            lease_s=LEASE_S,
        )
        client = UsageClient(f"127.0.0.1:{self.port}")
        control = ControlNode(
            name,
            self.settings.model_copy(update={"duties": duties}),
            is_init,
            platform=PlatformIntegration(duty_client=client),
        )
        self.control_by_name[name] = control
        control._start()
        serving = asyncio.ensure_future(control._serve())
        self.serve_task_by_name[name] = serving

    def start_counting(self, name):
        counter = UsageCounter(
            DutySettings(names=("usage_report",), window_s=WINDOW_S),
            clock=time.monotonic,
            wall_clock=time.time,
            log=lambda event: None,
        )
        client = ControlClient(
            Member(name, "127.0.0.1", 1),
            f"boot-{name}",
            self.settings,
            clock=time.monotonic,
            log=lambda event: None,
            on_configuration=lambda configuration: None,
            on_lease=lambda until: None,
            on_table=lambda table: None,
            take_tallies=lambda: (),
            usage=counter,
        )
        self.counters.append(counter)
        self.clients += [
            asyncio.ensure_future(client.run()),
            asyncio.ensure_future(self.count(counter, name)),
        ]

    async def count(self, counter, name):
        """Count a request every few milliseconds."""
        forward = Forward("GET", "/", (), b"", customer=f"of-{name}")
        number = 0
        while True:
            number += 1
            query = Query(f"r{number}", "r", "", 1e9, "f", forward=forward)
            counter.begin(query)
            counter.end(query, ANSWER)
            await asyncio.sleep(0.01)

    async def stop(self):
        for task in self.clients:
            task.cancel()
        await super().stop()
        self.server.close()

    def reported_windows(self):
        return {report.window for report in self.reports}

    async def wait_for_reports_until(self, wall_at):
        """Wait until all windows that ended before a time are reported.

        Windows that are late already are reported after those that are not.
        """
        end = window_at(wall_at, WINDOW_S)
        first = min(self.reported_windows())
        expected = set(range(first, end))
        await self.wait_until(lambda: expected <= self.reported_windows())

    def true_counts(self, window):
        counts = {}
        for counter in self.counters:
            counts.update(counter.counts.counts_by_window.get(window, {}))
        return counts

    def check_reports(self):
        """Check what the platform forbids, and the counts."""
        content_by_window, holder_by_token = {}, {}
        for report in self.reports:
            first = content_by_window.setdefault(report.window, report.counts)
            assert first == report.counts
            holder = holder_by_token.setdefault(report.token, report.holder)
            assert holder == report.holder
        for window, counts in content_by_window.items():
            assert counts == self.true_counts(window), window


def run(test, folder):
    async def body():
        cluster = DutyCluster(make_settings(folder, 0, 3, 1))
        try:
            await cluster.start()
            await test(cluster)
        finally:
            await cluster.stop()

    asyncio.run(body())


def test_each_window_is_reported_once_though_leaders_end_and_return(tmp_path):
    # Guards against windows that are missing, doubled with other counts, or
    # recorded before the entries have told the new leader.
    async def test(cluster):
        await cluster.wait_until(lambda: len(cluster.reported_windows()) >= 3)
        for _ in range(2):
            leader = cluster.leader_name()
            await cluster.kill_control(leader)
            await cluster.wait_until(cluster.leader_name)
            cluster.start_control(leader, is_init=False)
            begun_at = time.time()
            await cluster.wait_for_reports_until(begun_at + 1.0)
        cluster.check_reports()
        tokens = [report.token for report in cluster.reports]
        assert tokens == sorted(tokens) and len(set(tokens)) >= 3

    run(test, tmp_path)


def test_frozen_leader_makes_no_call_with_its_old_token(tmp_path):
    # Guards against a process that resumes and goes on where it stopped.
    async def test(cluster):
        await cluster.wait_until(lambda: len(cluster.reported_windows()) >= 3)
        name = cluster.leader_name()
        former = cluster.control_by_name[name]
        take, resumed = former.inbox.take, asyncio.Event()

        async def take_once_resumed(timeout_s):
            await resumed.wait()
            return await take(timeout_s)

        former.inbox.take = take_once_resumed
        await asyncio.sleep(CALL_AFTER_LOSS_S)
        frozen_calls = [r for r in cluster.reports if r.holder == f"vm-{name}"]
        await cluster.wait_until(
            lambda: cluster.leader_name() not in (None, name)
        )
        await cluster.wait_for_reports_until(time.time())
        resumed.set()
        await cluster.wait_for_reports_until(time.time() + 0.5)
        calls = [r for r in cluster.reports if r.holder == f"vm-{name}"]
        assert calls == frozen_calls
        cluster.check_reports()

    run(test, tmp_path)


def test_leader_cut_off_from_its_group_makes_no_more_calls(tmp_path):
    # Guards against a former leader that still reaches the platform.
    async def test(cluster):
        await cluster.wait_until(lambda: len(cluster.reported_windows()) >= 3)
        name = cluster.leader_name()
        former = cluster.control_by_name[name]
        former._transport.send = lambda sender, action: None

        async def ignore(addressed):
            pass

        former._receive_consensus = ignore
        cut_at = time.monotonic()
        await cluster.wait_until(
            lambda: cluster.leader_name() not in (None, name)
        )
        led_at = time.monotonic()
        await cluster.wait_for_reports_until(time.time() + 1.0)
        later = [r for r in cluster.reports if r.holder != f"vm-{name}"]
        earlier = [r for r in cluster.reports if r.holder == f"vm-{name}"]
        assert earlier[-1].at < cut_at + CALL_AFTER_LOSS_S
        # The new leader is seen to lead a little after it does.
        assert later[0].at > led_at + LEASE_S - 0.2
        assert later[0].token > earlier[-1].token
        cluster.check_reports()

    run(test, tmp_path)
