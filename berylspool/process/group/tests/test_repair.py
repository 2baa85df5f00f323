"""Reconfiguration of the group when nodes are lost, replaced or added."""

from types import SimpleNamespace

from berylspool.process.group.consensus import Node, Role, Timing
from berylspool.process.group.keeper import UNHEARD_S, GroupKeeper
from berylspool.process.group.message import Group
from berylspool.process.group.node import Progress
from berylspool.process.group.repair import (
    FORGET_AFTER_S,
    REPLACE_AFTER_S,
    admitted,
    next_group,
)

NOW = 100.0
VOTERS = ("a.0", "b.0", "c.0")


def make_leader(voters=VOTERS, learners=(), silent=(), behind=()):
    node = Node("a.0", Timing(), term=1, role=Role.LEADER, commit=5)
    node.group = Group(voters, learners)
    for peer in (*voters, *learners):
        heard_at = NOW - 60.0 if peer in silent else NOW - 0.1
        match = 1 if peer in behind else 5
        node.progress_by_peer[peer] = Progress(6, match, heard_at)
    return node


def test_learners_join_until_there_are_voters_enough():
    node = make_leader(learners=("d.1", "e.1"))
    assert next_group(node, 5, NOW) == Group((*VOTERS, "d.1"), ("e.1",))


def test_a_learner_that_lags_does_not_vote_yet():
    node = make_leader(learners=("d.1",), behind=("d.1",))
    assert next_group(node, 5, NOW) is None


def test_a_spare_learner_waits_while_all_voters_answer():
    node = make_leader(learners=("d.1",))
    assert next_group(node, 3, NOW) is None


def test_a_spare_learner_takes_the_place_of_a_silent_voter():
    node = make_leader(learners=("d.1",), silent=("b.0",))
    step_one = next_group(node, 3, NOW)
    assert step_one == Group(("a.0", "c.0"), ("d.1",))
    node.group = step_one
    assert next_group(node, 3, NOW) == Group(("a.0", "c.0", "d.1"), ())


def test_a_voter_that_is_silent_for_a_moment_stays():
    node = make_leader(learners=("d.1",))
    node.progress_by_peer["b.0"].heard_at = NOW - REPLACE_AFTER_S / 2
    assert next_group(node, 3, NOW) is None


def test_a_new_disk_replaces_the_former_learner_of_its_name():
    node = make_leader(learners=("d.1",))
    after = admitted(node, {"d": "d.2", "a": "a.0"}, NOW)
    assert after == Group(VOTERS, ("d.2",))


def test_a_learner_that_is_long_gone_is_forgotten():
    node = make_leader(learners=("d.1",))
    node.progress_by_peer["d.1"].heard_at = NOW - FORGET_AFTER_S - 1
    assert admitted(node, {}, NOW) == Group(VOTERS, ())


def test_of_two_silent_voters_the_one_that_is_longer_silent_goes():
    node = make_leader(learners=("d.1",), silent=("c.0",))
    node.progress_by_peer["b.0"].heard_at = NOW - REPLACE_AFTER_S - 1
    assert next_group(node, 3, NOW) == Group(("a.0", "b.0"), ("d.1",))


def keeper_of(node, now, sent):
    replica = SimpleNamespace(
        node=node,
        leader="",
        is_member=True,
        is_leader=False,
    )
    links = SimpleNamespace(put_idle=lambda *pair: sent.append(pair))
    return GroupKeeper("a", replica, links, {}, 3, lambda: now)


def test_a_voter_that_was_replaced_while_cut_off_announces_itself():
    node = make_leader()
    node.heard_at = NOW
    sent = []
    assert not keeper_of(node, NOW + UNHEARD_S / 2, sent).is_outside()
    keeper = keeper_of(node, NOW + UNHEARD_S + 1, sent)
    assert keeper.is_outside()
    keeper.announce(["seed"])
    assert {name for name, _ in sent} == {"seed", "b", "c"}
