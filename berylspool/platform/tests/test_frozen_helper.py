"""Helpers in processes of their own that are stopped and continued."""

import asyncio
import contextlib
import json
import signal
import sys
import time

from berylspool.connection.message import Member
from berylspool.platform.tests.test_division import assert_whole
from berylspool.platform.tests.zone import (
    ANSWER_TIMEOUT_S,
    FOREVER_S,
    run_zone,
)
from berylspool.tests.cluster import free_ports

HELPERS = ("p1", "p2", "p3")
MODULE = "berylspool.platform.tests.helper_process"
# Enough to read what has arrived, and to send what must not be sent.
AFTER_WAKE_UP_S = 0.6


async def start_helper(zone, name):
    port, peer_port = free_ports(2)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        MODULE,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    upstreams = [
        (listed.service, id, listed.upstream.host, listed.upstream.port)
        for id, listed in zone.listing.listed_by_id.items()
    ]
    fields = {
        "name": name,
        "port": port,
        "peer_port": peer_port,
        "upstreams": upstreams,
    }
    process.stdin.write(json.dumps(fields).encode() + b"\n")
    await process.stdout.readline()
    zone.member_by_name[name] = Member(name, "127.0.0.1", peer_port, "z")
    return process


@contextlib.asynccontextmanager
async def run_helpers(zone):
    """Run three helpers, all of which `e1` is linked to."""
    processes = []
    try:
        for name in HELPERS:
            processes.append(await start_helper(zone, name))
        zone.apply_table()
        await zone.wait_until(lambda: zone.linked("e1") >= set(HELPERS))
        # Connections of the helpers open with the first request.
        assert_whole(await zone.ask("e1", "first"))
        assert zone.sent("e1") >= 2
        yield processes
    finally:
        for process in processes:
            process.kill()
            await process.wait()


def send_signal(processes, number):
    for process in processes:
        process.send_signal(number)


def run_with_helpers(scenario):
    async def run(zone):
        async with run_helpers(zone) as processes:
            return await scenario(zone, processes)

    return run_zone(run, names=("e1",))


def test_slice_that_a_frozen_helper_reads_late_does_not_run():
    """On waking up, it would run parts that have long run elsewhere."""

    async def scenario(zone, processes):
        send_signal(processes, signal.SIGSTOP)
        answer = await zone.ask("e1", "r")
        taken_back = zone.taken_back("e1", "late")
        send_signal(processes, signal.SIGCONT)
        await asyncio.sleep(AFTER_WAKE_UP_S)
        return zone, answer, taken_back

    zone, answer, taken_back = run_with_helpers(scenario)
    assert_whole(answer)
    assert 2 <= taken_back <= 3
    assert zone.upstreams.most_copies("r") == 1


def test_parts_of_a_helper_that_freezes_run_once_more():
    """It has accepted them, and its hedges must not follow when it wakes."""

    async def scenario(zone, processes):
        zone.upstreams.delay_s = FOREVER_S
        asking = asyncio.ensure_future(zone.ask("e1", "r"))
        await zone.wait_until(lambda: len(zone.upstreams.started["r"]) == 45)
        send_signal(processes, signal.SIGSTOP)
        zone.upstreams.delay_s = 0.0
        answer = await asking
        taken_back = zone.taken_back("e1", "silent")
        send_signal(processes, signal.SIGCONT)
        await asyncio.sleep(AFTER_WAKE_UP_S)
        return zone, answer, taken_back

    zone, answer, taken_back = run_with_helpers(scenario)
    assert_whole(answer)
    assert 2 <= taken_back <= 3
    assert zone.upstreams.most_copies("r") == 2


def test_first_entry_that_was_busy_reads_before_it_takes_back():
    """Its own lag would count as that of helpers that have long accepted."""

    async def scenario(zone, processes):
        sent = zone.sent("e1")
        asking = asyncio.ensure_future(zone.ask("e1", "r"))
        while zone.sent("e1") < sent + 2:
            await asyncio.sleep(0)
        # The slices are written to the links in the next turns.
        for _ in range(3):
            await asyncio.sleep(0)
        time.sleep(2 * ANSWER_TIMEOUT_S)
        return await asking, zone.taken_back("e1", "late")

    answer, taken_back = run_with_helpers(scenario)
    assert_whole(answer)
    assert taken_back == 0
