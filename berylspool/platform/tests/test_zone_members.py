"""Entries learn from control which other entries are in their zone."""

import asyncio
import time

from berylspool.platform.document import decode_plan
from berylspool.platform.tests.zone import PROCESSOR_SHARE
from berylspool.platform.upstream.connection import PlatformTransport
from berylspool.process.entry.forwarding.forwarder import Forwarder
from berylspool.tests.cluster import Cluster, make_settings

ENTRIES = 6


def start_forwarder(name, settings):
    forwarder = Forwarder(
        name,
        settings,
        decode=decode_plan,
        transport=PlatformTransport(time.monotonic),
        control_port=None,
        clock=time.monotonic,
    )
    tasks = [
        asyncio.ensure_future(run())
        for run in (
            forwarder.router.run,
            forwarder.control.run,
            forwarder.delegation.run,
        )
    ]
    return forwarder, tasks


def is_linked_to_its_zone(forwarder, settings):
    zone = forwarder.own_settings.zone
    others = {
        name
        for name, entry in settings.entries.items()
        if entry.zone == zone and name != forwarder.name
    }
    assert len(others) == 2
    return forwarder.delegation.delegator.linked == others


async def run(folder):
    routing = {"sharing": "alone", "processor_share": PROCESSOR_SHARE}
    settings = make_settings(folder, ENTRIES, 1, 1, routing=routing)
    cluster = Cluster(settings)
    cluster.start_control("control-0")
    started = [start_forwarder(name, settings) for name in settings.entries]
    forwarders = [forwarder for forwarder, _ in started]
    try:
        await cluster.wait_until(
            lambda: all(is_linked_to_its_zone(f, settings) for f in forwarders)
        )
        return [f.state._names_by_zone for f in forwarders]
    finally:
        tasks = [task for _, tasks in started for task in tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await cluster.stop()


def test_entries_link_to_those_of_their_own_zone(tmp_path):
    """The zone must survive heartbeats, the log of control and its tables."""
    expected = {
        "a": frozenset({"entry-0", "entry-2", "entry-4"}),
        "b": frozenset({"entry-1", "entry-3", "entry-5"}),
    }
    assert asyncio.run(run(tmp_path)) == [expected] * ENTRIES
