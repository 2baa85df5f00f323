"""Consensus: fuzzing, focused cases, and planted faults.

Each planted fault breaks one rule of Raft; the fuzzing or the focused case
that guards the rule must fail on it.
"""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule

from berylspool.process.group import consensus, election, replication
from berylspool.process.group import node as node_module
from berylspool.process.group.consensus import ConsensusTiming, Node, Role, step
from berylspool.process.group.message import (
    AppendRecords,
    AppendReply,
    AppendToLog,
    Group,
    MessageReceived,
    PreVote,
    PreVoteReply,
    ProposalRejected,
    ProposeData,
    ProposeGroup,
    Record,
    RecordKind,
    SaveVote,
    SendMessage,
    Snapshot,
    Tick,
    Vote,
    VoteReply,
)
from berylspool.process.group.node import term_at
from berylspool.process.group.tests.consensus_machine import (
    NAMES,
    ConsensusMachine,
    Disk,
)
from berylspool.tests.fuzzing import fuzzing_finds_failure

TestConsensus = ConsensusMachine.TestCase


def make_node(id="a", voters=("a", "b", "c")):
    node = Node(id, ConsensusTiming())
    node.group = Group(voters)
    node.election_due_at = 1.0
    return node


def make_leader(voters=("a", "b", "c")):
    node = make_node(voters=voters)
    step(node, Tick(), 2.0)
    step(node, MessageReceived("b", PreVoteReply(1, True)), 2.0)
    step(node, MessageReceived("b", VoteReply(1, True)), 2.0)
    if len(voters) > 3:
        step(node, MessageReceived("c", PreVoteReply(1, True)), 2.0)
        step(node, MessageReceived("b", VoteReply(1, True)), 2.0)
        step(node, MessageReceived("c", VoteReply(1, True)), 2.0)
    assert node.role is Role.LEADER
    return node


def test_partitioned_node_does_not_raise_the_term():
    node = make_node()
    for now in (2.0, 4.0, 6.0):
        actions = step(node, Tick(), now)
        assert all(isinstance(a.message, PreVote) for a in actions)
    assert node.term == 0


def test_followers_of_a_live_leader_refuse_to_vote():
    node = make_node()
    step(node, MessageReceived("b", AppendRecords(1, 0, 0, (), 0, 1)), 0.0)
    for message in (PreVote(9, 9, 9), Vote(9, 9, 9)):
        [reply] = step(node, MessageReceived("c", message), 0.3)
        assert reply.message.is_granted is False
    assert node.term == 1


def restarted_nodes(jitter):
    """Return a group of five nodes that have restarted together."""
    snapshot = Snapshot(0, 0, Group(NAMES))
    timing = ConsensusTiming(0.05, 0.25, 0.25)
    return {
        name: consensus.recover_node(
            name, timing, 3, "", snapshot, [], 0.0, jitter.random()
        )
        for name in NAMES
    }


def run_until_leader(node_by_name, jitter, is_linked, latency_ticks=1):
    """Tick all nodes each 2 ms; return the time of the first leader.

    Args:
        node_by_name: The nodes.
        jitter: Random source of their election time-outs.
        is_linked: Whether a message from one node reaches another at a time.
        latency_ticks: Ticks until a message arrives.
    """
    in_transit = []
    for tick in range(1500):
        now = tick / 500
        due = [m for m in in_transit if m[0] <= tick]
        in_transit = [m for m in in_transit if m[0] > tick]
        events = [
            (peer, MessageReceived(sender, message))
            for _, sender, peer, message in due
        ]
        events += [(name, Tick()) for name in node_by_name]
        for name, event in events:
            node = node_by_name[name]
            node.jitter = jitter.random()
            for action in step(node, event, now):
                if isinstance(action, SendMessage) and is_linked(
                    name, action.peer, now
                ):
                    in_transit.append(
                        (
                            tick + latency_ticks,
                            name,
                            action.peer,
                            action.message,
                        )
                    )
        if any(n.role is Role.LEADER for n in node_by_name.values()):
            return now
    return None


def test_leader_is_elected_soon_after_a_quorum_can_be_reached():
    """Links of a restarted group open at times that no time-out fits."""
    delays = []
    for seed in range(200):
        jitter = random.Random(seed)
        linked_at = 0.3 + 0.4 * jitter.random()
        elected_at = run_until_leader(
            restarted_nodes(jitter),
            jitter,
            lambda a, b, now, at=linked_at: now >= at,
        )
        assert elected_at is not None
        delays.append(elected_at - linked_at)
    delays.sort()
    assert delays[100] < 0.05
    assert delays[190] < 0.1


def test_pre_candidate_that_hears_no_replies_does_not_block_elections():
    for seed in range(50):
        jitter = random.Random(seed)
        elected_at = run_until_leader(
            restarted_nodes(jitter),
            jitter,
            lambda a, b, now: b != "a",
        )
        assert elected_at is not None and elected_at < 2.0


def test_vote_is_saved_before_it_is_sent():
    node = make_node()
    actions = step(node, MessageReceived("b", Vote(1, 0, 0)), 5.0)
    kinds = [type(a) for a in actions]
    assert kinds.index(SaveVote) < kinds.index(SendMessage)
    [second] = [
        a
        for a in step(node, MessageReceived("c", Vote(1, 5, 1)), 6.0)
        if isinstance(a, SendMessage)
    ]
    assert second.message.is_granted is False


def test_leader_without_a_quorum_steps_down_and_rejects_proposals():
    node = make_leader()
    step(node, Tick(), 9.0)
    assert node.role is Role.FOLLOWER
    [rejected] = step(node, ProposeData(7, b"x"), 9.0)
    assert rejected == ProposalRejected(7, "")


def test_quorum_contact_counts_from_the_start_of_an_echoed_round():
    node = make_leader()
    assert not consensus.has_quorum_contact(node, 2.0)
    step(
        node,
        MessageReceived("b", AppendReply(1, True, 1, node.heartbeat_round)),
        2.3,
    )
    assert consensus.has_quorum_contact(node, 2.5)
    assert not consensus.has_quorum_contact(node, 2.7)


def test_group_changes_by_one_voter_and_one_change_at_a_time():
    node = make_leader()
    step(node, MessageReceived("b", AppendReply(1, True, 1, 1)), 2.1)
    two_voters_change = ProposeGroup(1, Group(("a", "b", "c", "d", "e")))
    assert isinstance(step(node, two_voters_change, 2.1)[0], ProposalRejected)
    learner_change = ProposeGroup(2, Group(("a", "b", "c"), ("d",)))
    assert not isinstance(step(node, learner_change, 2.1)[0], ProposalRejected)
    pending_change = ProposeGroup(3, Group(("a", "b"), ("d",)))
    assert isinstance(step(node, pending_change, 2.1)[0], ProposalRejected)


def test_acknowledgement_of_a_learner_does_not_count_for_commit():
    node = make_leader()
    step(node, MessageReceived("b", AppendReply(1, True, 1, 1)), 2.1)
    step(node, ProposeGroup(1, Group(("a", "b", "c"), ("d",))), 2.1)
    step(node, MessageReceived("b", AppendReply(1, True, 2, 1)), 2.1)
    assert node.commit_index == 2
    step(node, ProposeData(2, b"x"), 2.2)
    step(node, MessageReceived("d", AppendReply(1, True, 3, 1)), 2.2)
    assert node.commit_index == 2
    step(node, MessageReceived("c", AppendReply(1, True, 3, 1)), 2.2)
    assert node.commit_index == 3


def make_records(*terms):
    return tuple(
        Record(index, term, RecordKind.DATA, b"")
        for index, term in enumerate(terms, 1)
    )


def test_delayed_append_does_not_shorten_the_log():
    node = make_node()
    three_records = make_records(1, 1, 1)
    step(
        node,
        MessageReceived("b", AppendRecords(1, 0, 0, three_records, 0, 1)),
        0.0,
    )
    delayed = AppendRecords(1, 0, 0, three_records[:1], 0, 1)
    step(node, MessageReceived("b", delayed), 0.1)
    assert consensus.last_log_index(node) == 3


def test_records_are_refused_if_the_previous_term_differs():
    node = make_node()
    step(
        node,
        MessageReceived("b", AppendRecords(1, 0, 0, make_records(1), 0, 1)),
        0.0,
    )
    following = (Record(2, 2, RecordKind.DATA, b""),)
    actions = step(
        node, MessageReceived("c", AppendRecords(2, 1, 2, following, 2, 1)), 0.1
    )
    replies = [a.message for a in actions if isinstance(a, SendMessage)]
    assert [reply.is_accepted for reply in replies] == [False]
    assert node.commit_index == 0


def test_vote_is_refused_to_a_log_that_is_less_up_to_date():
    node = make_node()
    step(
        node,
        MessageReceived("b", AppendRecords(1, 0, 0, make_records(1, 1), 0, 1)),
        0.0,
    )
    for vote in (Vote(2, 1, 1), Vote(3, 9, 0)):
        actions = step(node, MessageReceived("c", vote), 5.0)
        replies = [a.message for a in actions if isinstance(a, SendMessage)]
        assert [reply.is_granted for reply in replies] == [False]


class SendsBeforeSync(ConsensusMachine):
    syncs_first = False


def test_fuzzing_catches_sends_before_sync():
    assert fuzzing_finds_failure(SendsBeforeSync)


class RejoinsUnderFormerId(ConsensusMachine):
    """A VM that lost its disk comes back under its former id.

    It has forgotten its votes and acknowledgements, so it may vote twice in
    a term, or vote for a leader without records that it acknowledged.
    """

    @rule(name=st.sampled_from(NAMES))
    def restarts_with_an_empty_disk(self, name):
        vm = self.vm_by_name[name]
        first_snapshot = Snapshot(0, 0, Group(("a.0", "b.0", "c.0")), b"")
        vm.disk = Disk(snapshot=first_snapshot)
        self.start_node(name)


def test_fuzzing_catches_rejoining_under_the_former_id():
    assert fuzzing_finds_failure(RejoinsUnderFormerId)


MODULES = (consensus, election, node_module, replication)


def plant_fault(monkeypatch, name, replacement):
    """Replace a function in every module that imports it."""
    for module in MODULES:
        if hasattr(module, name):
            monkeypatch.setattr(module, name, replacement)


def fault_param(name, replacement):
    return pytest.param(name, replacement, id=name)


def accept_any_log(node, last_term, index):
    return True


def commit_without_quorum(node):
    return replication.commit_up_to(node, consensus.last_log_index(node))


def quorum_is_half(node, ids):
    voters = set(node.group.voters)
    return len(voters & ids) * 2 >= len(voters) - 1


def commit_with_learners(node):
    """Count the acknowledgements of learners as if they were voters."""
    match_indexes = sorted(
        consensus.last_log_index(node)
        if member == node.id
        else node.progress_by_peer[member].match_index
        for member in (*node.group.voters, *node.group.learners)
    )
    quorum_size = len(node.group.voters) // 2 + 1
    index = match_indexes[-quorum_size]
    if term_at(node, index) != node.term:
        return []
    return replication.commit_up_to(node, index)


def vote_twice_in_a_term(node, sender, message, now):
    node.voted_for = ""
    return REAL_ON_VOTE(node, sender, message, now)


def merge_without_check(node, records):
    if not records:
        return []
    del node.log[max(0, records[0].index - node.snapshot.index - 1) :]
    node.log.extend(records)
    return [AppendToLog(tuple(records))]


def match_any_term(node, index):
    term = REAL_TERM_AT(node, index)
    return term if term is None or node.role is Role.LEADER else ANY_TERM


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
        fault_param("on_vote", vote_twice_in_a_term),
        fault_param("advance_commit_index", commit_without_quorum),
        fault_param("is_quorum", quorum_is_half),
    ],
)
def test_fuzzing_catches_planted_fault(name, replacement, monkeypatch):
    plant_fault(monkeypatch, name, replacement)
    assert fuzzing_finds_failure(ConsensusMachine)


@pytest.mark.parametrize(
    ("name", "replacement", "case"),
    [
        pytest.param(
            "advance_commit_index",
            commit_with_learners,
            test_acknowledgement_of_a_learner_does_not_count_for_commit,
            id="learner_counts_for_commit",
        ),
        pytest.param(
            "is_log_up_to_date",
            accept_any_log,
            test_vote_is_refused_to_a_log_that_is_less_up_to_date,
            id="vote_for_log_less_up_to_date",
        ),
        pytest.param(
            "_merge_records",
            merge_without_check,
            test_delayed_append_does_not_shorten_the_log,
            id="merge_without_term_check",
        ),
        pytest.param(
            "term_at",
            match_any_term,
            test_records_are_refused_if_the_previous_term_differs,
            id="term_not_checked",
        ),
    ],
)
def test_focused_case_catches_planted_fault(
    name, replacement, case, monkeypatch
):
    plant_fault(monkeypatch, name, replacement)
    with pytest.raises(AssertionError):
        case()
