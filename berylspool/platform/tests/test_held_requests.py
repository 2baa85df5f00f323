"""Requests that crash upstreams, at several entries with a control group."""

import asyncio
import contextlib
import time

from berylspool.platform.document import decode_plan
from berylspool.platform.tests.test_forwarding import (
    HOST,
    FakeUpstream,
    make_document,
    make_route,
    signed_response,
)
from berylspool.platform.upstream.connection import PlatformTransport
from berylspool.process.entry.forwarding.forwarder import Forwarder
from berylspool.process.entry.routing_message import LeaseGranted
from berylspool.request.forward_request import ForwardRequest
from berylspool.request.query import Answer, Reason
from berylspool.tests.cluster import Cluster, make_settings
from berylspool.version.configuration import Configuration
from berylspool.version.listing import Listing

ENTRIES = 6
UPSTREAMS = 24
DEADLINE_S = 5.0
# Twice the grace period after a loss, and some heartbeats.
NEWS_S = 2.0
PERMANENT_LEASE = LeaseGranted(float("inf"))


class Deployment(Cluster):
    """Control nodes, forwarding entries, and upstreams that a path crashes.

    Attributes:
        crashes: Number of upstreams that were lost under a request.
        is_deadly: Whether the path still crashes upstreams.
    """

    def __init__(self, folder, controls):
        super().__init__(make_settings(folder, ENTRIES, controls, 1))
        self.crashes = 0
        self.is_deadly = True
        self.forwarders, self.upstreams, self.tasks = [], [], []

    def respond(self, head, _body):
        if "/s/death" not in head or not self.is_deadly:
            return signed_response(head, b"well")
        self.crashes += 1
        return None

    async def start(self):
        for name in self.settings.controls:
            self.start_control(name)
        listed = []
        for _ in range(UPSTREAMS):
            upstream = FakeUpstream("a", self.respond)
            self.upstreams.append(upstream)
            listed.append(await upstream.start())
        listing = Listing(1, 1, {item.upstream.id: item for item in listed})
        document = make_document([make_route("r", "/s/", service="a")], ["a"])
        for name in self.settings.entries:
            forwarder = Forwarder(
                name,
                self.settings,
                decode=decode_plan,
                transport=PlatformTransport(time.monotonic),
                control_port=None,
                clock=time.monotonic,
            )
            self.forwarders.append(forwarder)
            # The control group of this test has no plan to publish.
            forwarder.control._received.apply = lambda update: False
            forwarder.router.inbox.put(PERMANENT_LEASE)
            forwarder.state.set_entry_count(ENTRIES)
            forwarder.state.set_listing(listing)
            forwarder.state.set_configuration(
                Configuration(1, document=document)
            )
            self.tasks += [
                asyncio.ensure_future(forwarder.router.run()),
                asyncio.ensure_future(forwarder.control.run()),
                asyncio.ensure_future(forwarder._run_maintenance()),
            ]
        await self.wait_until(
            lambda: all(f.control.grant_age_s() < 1.0 for f in self.forwarders)
        )

    async def send(self, number, path="/s/death"):
        """Send a request through an entry; return its outcome."""
        request = ForwardRequest(
            f"r{time.monotonic_ns()}",
            "GET",
            HOST,
            path,
            path,
            (),
            b"",
            DEADLINE_S,
            (),
        )
        handler = self.forwarders[number].handler
        return await handler.answer(request, asyncio.Event())

    async def hold(self):
        """Send the deadly request in turn until all entries hold it."""
        for number in range(ENTRIES):
            await self.send(number)
            await asyncio.sleep(NEWS_S)
            if any(f.containment.held_count for f in self.forwarders):
                await self.wait_until(self.is_held_everywhere)
                return
        raise AssertionError(f"not held after {self.crashes} crashes")

    def is_held_everywhere(self):
        return all(f.containment.held_count for f in self.forwarders)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for upstream in self.upstreams:
            upstream.server.close()
        await super().stop()


def play(folder, scenario, controls=1):
    async def run():
        deployment = Deployment(folder, controls)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(deployment.stop)
            await deployment.start()
            return await scenario(deployment)

    return asyncio.run(run())


def test_crasher_costs_as_many_upstreams_at_six_entries_as_at_one(tmp_path):
    """Guards against two upstreams for each entry that the request meets."""

    async def scenario(deployment):
        await deployment.hold()
        crashes = deployment.crashes
        outcomes = [await deployment.send(n) for n in range(ENTRIES)]
        ordinary = await deployment.send(0, "/s/other")
        return crashes, deployment.crashes, outcomes, ordinary

    held_after, crashes, outcomes, ordinary = play(tmp_path, scenario)
    # Two copies of two requests, and one trial.
    assert held_after <= 4 and crashes <= held_after + 1
    reasons = [outcome.reason for outcome in outcomes]
    assert reasons[1:] == [Reason.QUARANTINED] * (ENTRIES - 1)
    assert all(outcome.not_run for outcome in outcomes[1:])
    assert isinstance(ordinary, Answer)


def test_answered_trial_releases_a_request_at_all_entries(tmp_path):
    """Guards against an innocent request that is refused for minutes."""

    async def scenario(deployment):
        await deployment.hold()
        deployment.is_deadly = False
        first = await deployment.send(0)
        await deployment.wait_until(
            lambda: (
                not any(f.containment.held_count for f in deployment.forwarders)
            )
        )
        return [first, *[await deployment.send(n) for n in range(ENTRIES)]]

    outcomes = play(tmp_path, scenario)
    assert all(isinstance(outcome, Answer) for outcome in outcomes)


def test_hold_outlasts_the_leader(tmp_path):
    """Guards against a new leader that gives each crasher a new budget."""

    async def scenario(deployment):
        await deployment.wait_until(deployment.leader_name)
        await deployment.hold()
        await deployment.send(0)
        crashes = deployment.crashes
        await deployment.kill_control(deployment.leader_name())
        await deployment.wait_until(deployment.leader_name)
        await deployment.wait_until(
            lambda: all(
                f.control.grant_age_s() < 1.0 for f in deployment.forwarders
            )
        )
        await asyncio.sleep(1.0)
        for number in range(ENTRIES):
            await deployment.send(number)
        return deployment.crashes - crashes

    assert play(tmp_path, scenario, controls=3) == 0
