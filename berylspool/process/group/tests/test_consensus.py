"""Consensus: fuzzing, focused cases, and planted faults.

Each planted fault breaks one rule of Raft; the fuzzing or the focused case
that guards the rule must fail on it.
"""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule

from berylspool.process.group import consensus, election, replication
from berylspool.process.group import node as node_module
from berylspool.process.group.consensus import Node, Role, Timing, step
from berylspool.process.group.message import (
    AppendRecords,
    AppendReply,
    AppendToLog,
    Group,
    PreVote,
    PreVoteReply,
    Propose,
    ProposeGroup,
    Received,
    Record,
    RecordKind,
    Rejected,
    SaveVote,
    SendTo,
    Snapshot,
    Ticked,
    Vote,
    VoteReply,
)
from berylspool.process.group.node import term_at
from berylspool.process.group.tests.consensus_machine import (
    NAMES,
    ConsensusMachine,
    Disk,
)
from berylspool.tests.planted import is_caught

TestConsensus = ConsensusMachine.TestCase


def make_node(id="a", voters=("a", "b", "c")):
    node = Node(id, Timing())
    node.group = Group(voters)
    node.election_at = 1.0
    return node


def make_leader(voters=("a", "b", "c")):
    node = make_node(voters=voters)
    step(node, Ticked(), 2.0)
    step(node, Received("b", PreVoteReply(1, True)), 2.0)
    step(node, Received("b", VoteReply(1, True)), 2.0)
    if len(voters) > 3:
        step(node, Received("c", PreVoteReply(1, True)), 2.0)
        step(node, Received("b", VoteReply(1, True)), 2.0)
        step(node, Received("c", VoteReply(1, True)), 2.0)
    assert node.role is Role.LEADER
    return node


def test_a_node_that_was_cut_off_does_not_raise_the_term():
    node = make_node()
    for moment in (2.0, 4.0, 6.0):
        actions = step(node, Ticked(), moment)
        assert all(isinstance(a.message, PreVote) for a in actions)
    assert node.term == 0


def test_followers_of_a_live_leader_refuse_to_vote():
    node = make_node()
    step(node, Received("b", AppendRecords(1, 0, 0, (), 0, 1)), 0.0)
    for message in (PreVote(9, 9, 9), Vote(9, 9, 9)):
        [reply] = step(node, Received("c", message), 0.3)
        assert reply.message.is_granted is False
    assert node.term == 1


def test_vote_is_saved_before_it_is_sent():
    node = make_node()
    actions = step(node, Received("b", Vote(1, 0, 0)), 5.0)
    kinds = [type(a) for a in actions]
    assert kinds.index(SaveVote) < kinds.index(SendTo)
    [again] = [
        a
        for a in step(node, Received("c", Vote(1, 5, 1)), 6.0)
        if isinstance(a, SendTo)
    ]
    assert again.message.is_granted is False


def test_leader_without_a_quorum_steps_down_and_refuses():
    node = make_leader()
    step(node, Ticked(), 9.0)
    assert node.role is Role.FOLLOWER
    [rejected] = step(node, Propose(7, b"x"), 9.0)
    assert rejected == Rejected(7, "")


def test_quorum_contact_counts_from_the_start_of_an_echoed_round():
    node = make_leader()
    assert not consensus.has_quorum_contact(node, 2.0)
    step(node, Received("b", AppendReply(1, True, 1, node.round)), 2.3)
    assert consensus.has_quorum_contact(node, 2.5)
    assert not consensus.has_quorum_contact(node, 2.7)


def test_group_changes_by_one_voter_and_one_change_at_a_time():
    node = make_leader()
    step(node, Received("b", AppendReply(1, True, 1, 1)), 2.1)
    two = ProposeGroup(1, Group(("a", "b", "c", "d", "e")))
    assert isinstance(step(node, two, 2.1)[0], Rejected)
    one = ProposeGroup(2, Group(("a", "b", "c"), ("d",)))
    assert not isinstance(step(node, one, 2.1)[0], Rejected)
    again = ProposeGroup(3, Group(("a", "b"), ("d",)))
    assert isinstance(step(node, again, 2.1)[0], Rejected)


def test_acknowledgement_of_a_learner_does_not_commit():
    node = make_leader()
    step(node, Received("b", AppendReply(1, True, 1, 1)), 2.1)
    step(node, ProposeGroup(1, Group(("a", "b", "c"), ("d",))), 2.1)
    step(node, Received("b", AppendReply(1, True, 2, 1)), 2.1)
    assert node.commit == 2
    step(node, Propose(2, b"x"), 2.2)
    step(node, Received("d", AppendReply(1, True, 3, 1)), 2.2)
    assert node.commit == 2
    step(node, Received("c", AppendReply(1, True, 3, 1)), 2.2)
    assert node.commit == 3


def records(*terms):
    return tuple(
        Record(index, term, RecordKind.DATA, b"")
        for index, term in enumerate(terms, 1)
    )


def test_late_message_does_not_shorten_the_log():
    node = make_node()
    all_three = records(1, 1, 1)
    step(node, Received("b", AppendRecords(1, 0, 0, all_three, 0, 1)), 0.0)
    late = AppendRecords(1, 0, 0, all_three[:1], 0, 1)
    step(node, Received("b", late), 0.1)
    assert consensus.last_index(node) == 3


def test_records_after_a_record_of_another_term_are_refused():
    node = make_node()
    step(node, Received("b", AppendRecords(1, 0, 0, records(1), 0, 1)), 0.0)
    following = (Record(2, 2, RecordKind.DATA, b""),)
    actions = step(
        node, Received("c", AppendRecords(2, 1, 2, following, 2, 1)), 0.1
    )
    replies = [a.message for a in actions if isinstance(a, SendTo)]
    assert [reply.is_accepted for reply in replies] == [False]
    assert node.commit == 0


def test_a_vote_needs_a_log_that_is_at_least_as_new():
    node = make_node()
    step(node, Received("b", AppendRecords(1, 0, 0, records(1, 1), 0, 1)), 0.0)
    for vote in (Vote(2, 1, 1), Vote(3, 9, 0)):
        actions = step(node, Received("c", vote), 5.0)
        replies = [a.message for a in actions if isinstance(a, SendTo)]
        assert [reply.is_granted for reply in replies] == [False]


class SendsBeforeSync(ConsensusMachine):
    syncs_first = False


def test_fuzzing_catches_sends_before_sync():
    assert is_caught(SendsBeforeSync)


class VotesFromForgottenPromises(ConsensusMachine):
    """A VM that lost its disk comes back under its former id.

    It has forgotten its votes and acknowledgements, so it may vote twice in
    a term, or vote for a leader without records that it acknowledged.
    """

    @rule(name=st.sampled_from(NAMES))
    def comes_back_empty(self, name):
        machine = self.machine_by_name[name]
        founding = Snapshot(0, 0, Group(("a.0", "b.0", "c.0")), b"")
        machine.disk = Disk(snapshot=founding)
        self.start(name)


def test_fuzzing_catches_votes_from_forgotten_promises():
    assert is_caught(VotesFromForgottenPromises)


MODULES = (consensus, election, node_module, replication)


def plant(monkeypatch, name, replacement):
    """Replace a function in every module that imports it."""
    for module in MODULES:
        if hasattr(module, name):
            monkeypatch.setattr(module, name, replacement)


def _plant(name, replacement):
    return pytest.param(name, replacement, id=name)


def vote_for_anyone(node, last_term, index):
    return True


def commit_without_quorum(node):
    return replication.commit_to(node, consensus.last_index(node))


def quorum_is_half(node, ids):
    voters = set(node.group.voters)
    return len(voters & ids) * 2 >= len(voters) - 1


def commit_with_learners(node):
    """Count the acknowledgements of learners as if they were voters."""
    matches = sorted(
        consensus.last_index(node)
        if member == node.id
        else node.progress_by_peer[member].match
        for member in (*node.group.voters, *node.group.learners)
    )
    needed = len(node.group.voters) // 2 + 1
    index = matches[-needed]
    if term_at(node, index) != node.term:
        return []
    return replication.commit_to(node, index)


def forget_the_vote(node, sender, message, now):
    node.voted_for = ""
    return REAL_ON_VOTE(node, sender, message, now)


def merge_without_check(node, records):
    if not records:
        return []
    del node.log[max(0, records[0].index - node.snapshot.index - 1) :]
    node.log.extend(records)
    return [AppendToLog(tuple(records))]


def term_always_matches(node, index):
    real = REAL_TERM_AT(node, index)
    return real if real is None or node.role is Role.LEADER else ANY_TERM


class AnyTerm(int):
    """Term that equals every other term."""

    def __eq__(self, other):
        return other is not None

    def __ne__(self, other):
        return other is None

    __hash__ = int.__hash__


ANY_TERM = AnyTerm(0)
REAL_TERM_AT = term_at
REAL_ON_VOTE = election.on_vote


@pytest.mark.parametrize(
    ("name", "replacement"),
    [
        _plant("on_vote", forget_the_vote),
        _plant("advance_commit", commit_without_quorum),
        _plant("is_quorum", quorum_is_half),
    ],
)
def test_fuzzing_catches_planted_fault(name, replacement, monkeypatch):
    plant(monkeypatch, name, replacement)
    assert is_caught(ConsensusMachine)


@pytest.mark.parametrize(
    ("name", "replacement", "case"),
    [
        pytest.param(
            "advance_commit",
            commit_with_learners,
            test_acknowledgement_of_a_learner_does_not_commit,
            id="learner_counted_early",
        ),
        pytest.param(
            "is_current",
            vote_for_anyone,
            test_a_vote_needs_a_log_that_is_at_least_as_new,
            id="vote_for_shorter_log",
        ),
        pytest.param(
            "_merge",
            merge_without_check,
            test_late_message_does_not_shorten_the_log,
            id="blind_merge",
        ),
        pytest.param(
            "term_at",
            term_always_matches,
            test_records_after_a_record_of_another_term_are_refused,
            id="term_not_checked",
        ),
    ],
)
def test_focused_case_catches_planted_fault(
    name, replacement, case, monkeypatch
):
    plant(monkeypatch, name, replacement)
    with pytest.raises(AssertionError):
        case()
