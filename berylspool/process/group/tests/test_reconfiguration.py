"""Reconfiguration of the group when nodes are lost, replaced or added."""

from types import SimpleNamespace

from berylspool.process.group.consensus import ConsensusTiming, Node, Role
from berylspool.process.group.group_manager import (
    LEADER_SILENCE_TIMEOUT_S,
    GroupManager,
)
from berylspool.process.group.message import Group
from berylspool.process.group.node import Progress
from berylspool.process.group.reconfiguration import (
    LEARNER_SILENCE_TIMEOUT_S,
    VOTER_SILENCE_TIMEOUT_S,
    plan_learner_change,
    plan_voter_change,
)

NOW = 100.0
VOTERS = ("a.0", "b.0", "c.0")


def make_leader(voters=VOTERS, learners=(), silent=(), lagging=()):
    node = Node(
        "a.0", ConsensusTiming(), term=1, role=Role.LEADER, commit_index=5
    )
    node.group = Group(voters, learners)
    for peer in (*voters, *learners):
        replied_at = NOW - 60.0 if peer in silent else NOW - 0.1
        match_index = 1 if peer in lagging else 5
        node.progress_by_peer[peer] = Progress(6, match_index, replied_at)
    return node


def test_learners_become_voters_until_the_target_is_reached():
    node = make_leader(learners=("d.1", "e.1"))
    assert plan_voter_change(node, 5, NOW) == Group((*VOTERS, "d.1"), ("e.1",))


def test_lagging_learner_does_not_become_a_voter():
    node = make_leader(learners=("d.1",), lagging=("d.1",))
    assert plan_voter_change(node, 5, NOW) is None


def test_surplus_learner_stays_a_learner_while_all_voters_reply():
    node = make_leader(learners=("d.1",))
    assert plan_voter_change(node, 3, NOW) is None


def test_surplus_learner_replaces_a_silent_voter():
    node = make_leader(learners=("d.1",), silent=("b.0",))
    without_silent_voter = plan_voter_change(node, 3, NOW)
    assert without_silent_voter == Group(("a.0", "c.0"), ("d.1",))
    node.group = without_silent_voter
    assert plan_voter_change(node, 3, NOW) == Group(("a.0", "c.0", "d.1"), ())


def test_briefly_silent_voter_is_not_replaced():
    node = make_leader(learners=("d.1",))
    node.progress_by_peer["b.0"].replied_at = NOW - VOTER_SILENCE_TIMEOUT_S / 2
    assert plan_voter_change(node, 3, NOW) is None


def test_announced_id_replaces_the_learner_of_the_same_name():
    node = make_leader(learners=("d.1",))
    group = plan_learner_change(node, {"d": "d.2", "a": "a.0"}, NOW)
    assert group == Group(VOTERS, ("d.2",))


def test_learner_is_removed_after_long_silence():
    node = make_leader(learners=("d.1",))
    node.progress_by_peer["d.1"].replied_at = (
        NOW - LEARNER_SILENCE_TIMEOUT_S - 1
    )
    assert plan_learner_change(node, {}, NOW) == Group(VOTERS, ())


def test_longest_silent_voter_is_replaced_first():
    node = make_leader(learners=("d.1",), silent=("c.0",))
    node.progress_by_peer["b.0"].replied_at = NOW - VOTER_SILENCE_TIMEOUT_S - 1
    assert plan_voter_change(node, 3, NOW) == Group(("a.0", "b.0"), ("d.1",))


def make_group_manager(node, now, sent):
    replica = SimpleNamespace(
        node=node,
        leader="",
        is_member=True,
        is_leader=False,
    )
    links = SimpleNamespace(
        send_if_idle=lambda *arguments: sent.append(arguments)
    )
    return GroupManager("a", replica, links, {}, 3, lambda: now)


def test_voter_replaced_while_partitioned_announces_its_id():
    node = make_leader()
    node.leader_heard_at = NOW
    sent = []
    assert not make_group_manager(
        node, NOW + LEADER_SILENCE_TIMEOUT_S / 2, sent
    ).may_be_outside_group()
    manager = make_group_manager(node, NOW + LEADER_SILENCE_TIMEOUT_S + 1, sent)
    assert manager.may_be_outside_group()
    manager.announce_identity(["seed"])
    assert {name for name, _ in sent} == {"seed", "b", "c"}
