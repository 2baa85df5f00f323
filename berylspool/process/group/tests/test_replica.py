"""Replica: quorum contact, founding and log compaction.

A new leader may answer for the newest state only once a record of its own
term is committed.
"""

import asyncio
import time

from berylspool.common.frame import HEADER_BYTES
from berylspool.process.group.consensus import step
from berylspool.process.group.message import (
    AppendReply,
    MessageReceived,
    Tick,
)
from berylspool.process.group.replica import COMPACTION_THRESHOLD_BYTES, Replica
from berylspool.process.group.state_machine import Configure
from berylspool.process.group.storage import Storage
from berylspool.process.group.tests.test_consensus import make_leader
from berylspool.version.operation import operation_codec

NOW = 2.3
NO_OPERATIONS = operation_codec().encode([])[HEADER_BYTES:]


class Clock:
    """Clock with a time that the test sets."""

    now = 0.0

    def __call__(self):
        return self.now


def test_new_leader_has_no_quorum_contact_before_a_commit_of_its_own_term(
    tmp_path,
):
    storage = Storage(tmp_path)
    replica = Replica("a", storage, ("a",), True, lambda: NOW)
    replica.node = make_leader()
    echo_reply = AppendReply(1, True, 0, replica.node.heartbeat_round)
    step(replica.node, MessageReceived("b", echo_reply), NOW)
    assert not replica.has_quorum_contact()
    acknowledged = AppendReply(1, True, 1, replica.node.heartbeat_round)
    step(replica.node, MessageReceived("b", acknowledged), NOW)
    assert replica.has_quorum_contact()


def test_founder_that_lost_its_disk_becomes_a_learner(tmp_path):
    founders = ("a", "b", "c")
    replica = Replica("a", Storage(tmp_path), founders, True, time.monotonic)
    assert replica.is_founding and not replica.node.id
    replica.on_founder_reply("b", has_promised=True)
    assert not replica.is_founding and not replica.is_member
    assert replica.node.id not in ("", "a.0")


def test_founder_waits_for_replies_of_all_other_founders(tmp_path):
    founders = ("a", "b", "c")
    replica = Replica("a", Storage(tmp_path), founders, True, time.monotonic)
    replica.on_founder_reply("b", has_promised=False)
    assert replica.is_founding
    replica.on_founder_reply("c", has_promised=False)
    assert replica.node.id == "a.0" and replica.is_member


def test_a_log_of_long_records_is_compacted(tmp_path):
    async def run():
        clock = Clock()
        replica = Replica("a", Storage(tmp_path), ("a",), True, clock)
        clock.now = 10.0
        await replica.step(Tick())
        assert replica.is_leader
        text = "x" * (COMPACTION_THRESHOLD_BYTES // 8)
        for number in range(12):
            change = Configure(f"c{number}", -1, NO_OPERATIONS, text, "w", 1.0)
            await replica.step(replica.propose([change]))
        return replica

    replica = asyncio.run(run())
    assert replica.node.snapshot.index > 0
    assert len(replica.node.log) < 12
    restarted = Replica("a", Storage(tmp_path), ("a",), False, lambda: 0.0)
    assert restarted.node.snapshot.index == replica.node.snapshot.index
