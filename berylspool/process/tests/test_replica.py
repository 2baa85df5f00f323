"""A replica speaks for the newest state only once it surely has it."""

import time

from berylspool.process.consensus import step
from berylspool.process.consensus_message import AppendReply, Received
from berylspool.process.replica import Replica
from berylspool.process.storage import Storage
from berylspool.process.tests.test_consensus import make_leader

NOW = 2.3


def test_new_leader_grants_nothing_before_a_record_of_its_own_term(tmp_path):
    storage = Storage(tmp_path)
    replica = Replica("a", storage, ("a",), True, lambda: NOW)
    replica.node = make_leader()
    echo = AppendReply(1, True, 0, replica.node.round)
    step(replica.node, Received("b", echo), NOW)
    assert not replica.has_quorum_contact()
    acknowledged = AppendReply(1, True, 1, replica.node.round)
    step(replica.node, Received("b", acknowledged), NOW)
    assert replica.has_quorum_contact()


def test_wiped_founder_becomes_a_learner(tmp_path):
    founders = ("a", "b", "c")
    replica = Replica("a", Storage(tmp_path), founders, True, time.monotonic)
    assert replica.is_founding and not replica.node.id
    replica.confirm("b", has_promised=True)
    assert not replica.is_founding and not replica.is_member
    assert replica.node.id not in ("", "a.0")


def test_founder_waits_for_all_others(tmp_path):
    founders = ("a", "b", "c")
    replica = Replica("a", Storage(tmp_path), founders, True, time.monotonic)
    replica.confirm("b", has_promised=False)
    assert replica.is_founding
    replica.confirm("c", has_promised=False)
    assert replica.node.id == "a.0" and replica.is_member
