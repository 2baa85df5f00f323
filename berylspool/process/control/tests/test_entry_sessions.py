"""Updates that entries get from the leader, and how often.

An entry reports what it has in heartbeats that cross the updates on their way,
so an update must not be sent again for each of them.
"""

import dataclasses

import pytest

from berylspool.common.frame import HEADER_BYTES, Packed
from berylspool.connection.control_message import (
    ConfigurationSent,
    DeltaSent,
    Grant,
    Heartbeat,
    ListingDelta,
    ListingSent,
    NotLeader,
    UpstreamsJudged,
    make_control_codec,
)
from berylspool.connection.message import Member
from berylspool.process.control.distribution import (
    MAX_LISTING_DELTAS,
    DistributionState,
    listing_update,
    replace_listing,
)
from berylspool.process.control.entry_sessions import (
    RESEND_AFTER_S,
    EntrySessions,
)
from berylspool.process.group.message import Group
from berylspool.process.group.state_machine import ControlState
from berylspool.process.settings import Settings
from berylspool.version.configuration import Configuration, Document, Upstream
from berylspool.version.containment.evidence import EvidenceReport, LostCopy
from berylspool.version.listing import ListedUpstream
from berylspool.version.upstream.slow_upstreams import SlownessReport

CODEC = make_control_codec()
DOCUMENT_BYTES = 4000


class FakeInbox(list):
    put = list.append


class FakeSession:
    def __init__(self, id):
        self.id = id
        self.inbox = FakeInbox()

    def received(self):
        """Return the messages as the entry decodes them, and forget them."""
        body = CODEC.encode(self.inbox)[HEADER_BYTES:]
        self.inbox.clear()
        return CODEC.decode(body)


class FakeReplica:
    def __init__(self):
        self.leads = True
        self.leader = "other"
        self.state = ControlState()
        self.node = type("Node", (), {"group": Group(("a.0",)), "term": 1})()

    def has_quorum_contact(self):
        return self.leads

    def publish(self, sessions, number):
        """Commit a published document as the next revision."""
        document = Document(number, bytes([number]) * DOCUMENT_BYTES)
        self.state.configuration = Configuration(number, document=document)
        sessions.add_delta(DeltaSent(number - 1, document.body, 0.0))


def make_heartbeat(revision=0, table_epoch=0, listing=(0, 0), packed=True):
    member = Member("e", "127.0.0.1", 1)
    return Heartbeat(
        member,
        "b",
        revision,
        0,
        False,
        table_epoch,
        0.0,
        listing_epoch=listing[0],
        listing_serial=listing[1],
        accepts_packed=packed,
    )


def make_listing(count, **changes):
    upstreams = [
        Upstream(f"i-{n}", f"10.0.0.{n}", 80, "a", "v1") for n in range(count)
    ]
    upstreams[0] = dataclasses.replace(upstreams[0], **changes)
    return {u.id: ListedUpstream("s", u, 2) for u in upstreams}


@pytest.fixture
def replica():
    return FakeReplica()


@pytest.fixture
def sessions(replica):
    return EntrySessions(replica, Settings(), lambda event: None)


def kinds(messages):
    return [type(message) for message in messages]


def test_update_on_its_way_is_not_sent_again_for_a_crossing_heartbeat(
    replica, sessions
):
    session = FakeSession("1")
    replica.publish(sessions, 1)
    sessions.store_listing(make_listing(20))
    sessions.answer_heartbeat(session, make_heartbeat(), 0.0)
    assert kinds(session.received()) == [DeltaSent, ListingSent, Grant]
    sessions.answer_heartbeat(session, make_heartbeat(), 0.1)
    assert kinds(session.received()) == [Grant]


def test_update_that_an_entry_still_lacks_is_sent_again(replica, sessions):
    session = FakeSession("1")
    replica.publish(sessions, 1)
    sessions.answer_heartbeat(session, make_heartbeat(), 0.0)
    session.received()
    sessions.answer_heartbeat(session, make_heartbeat(), RESEND_AFTER_S)
    assert kinds(session.received()) == [DeltaSent, Grant]


def test_change_is_pushed_at_once_as_the_difference(replica, sessions):
    session = FakeSession("1")
    sessions.store_listing(make_listing(20))
    sessions.answer_heartbeat(session, make_heartbeat(), 0.0)
    session.received()
    replica.publish(sessions, 1)
    sessions.store_listing(make_listing(20, is_cold=True))
    sessions.push_updates(0.0)
    delta, listing_delta = session.received()
    assert isinstance(delta, DeltaSent)
    assert [u.upstream.id for u in listing_delta.changed] == ["i-0"]
    sessions.push_updates(0.1)
    assert not session.inbox


def test_replayed_log_is_sent_as_one_configuration(replica, sessions):
    """After a restart of all, the whole log is applied with one commit."""
    session = FakeSession("1")
    replica.leads = False
    sessions.answer_heartbeat(session, make_heartbeat(), 0.0)
    assert kinds(session.received()) == [NotLeader]
    replica.leads = True
    for number in range(1, 21):
        replica.publish(sessions, number)
    sessions.push_updates(0.2)
    assert kinds(session.received()) == [ConfigurationSent, Grant]


def test_entry_that_waits_for_a_leader_is_granted_without_a_heartbeat(
    replica, sessions
):
    session = FakeSession("1")
    replica.leads = False
    sessions.answer_heartbeat(session, make_heartbeat(), 0.0)
    session.received()
    sessions.push_updates(0.1)
    assert not session.inbox
    replica.leads = True
    replica.publish(sessions, 1)
    sessions.push_updates(0.2)
    *_, grant = session.received()
    assert isinstance(grant, Grant)
    assert grant.sent_at == 0.0


def test_entries_that_lack_the_same_share_one_encoded_message(
    replica, sessions
):
    replica.publish(sessions, 1)
    sessions.store_listing(make_listing(200))
    packed = []
    for number in range(3):
        session = FakeSession(str(number))
        sessions.answer_heartbeat(session, make_heartbeat(), 0.0)
        packed.append(session.inbox[0])
    assert isinstance(packed[0], Packed)
    assert packed[1] is packed[0] and packed[2] is packed[0]
    plain = CODEC.encode([ListingSent(sessions._distribution.listing)])
    assert len(packed[0].body) * 4 < len(plain)


def test_entry_of_an_older_build_gets_plain_messages(replica, sessions):
    session = FakeSession("1")
    replica.publish(sessions, 1)
    sessions.answer_heartbeat(session, make_heartbeat(packed=False), 0.0)
    assert not any(isinstance(m, Packed) for m in session.inbox)
    assert kinds(session.received()) == [DeltaSent, Grant]


def test_entry_a_few_changes_behind_gets_the_changes_of_the_listing():
    distribution = DistributionState()
    for number in range(5):
        listing = make_listing(20, started_at_ms=number)
        replace_listing(distribution, 1, listing)
    serials = [u.serial for u in listing_update(distribution, (1, 2))]
    assert serials == [3, 4, 5]
    assert listing_update(distribution, (1, 5)) == ()
    whole = [ListingSent(distribution.listing)]
    assert list(listing_update(distribution, (0, 2))) == whole
    assert all(
        isinstance(u, ListingDelta)
        for u in listing_update(distribution, (1, 1))
    )


def test_entry_far_behind_gets_the_whole_listing():
    distribution = DistributionState()
    for number in range(MAX_LISTING_DELTAS + 2):
        listing = make_listing(20, started_at_ms=number)
        replace_listing(distribution, 1, listing)
    assert kinds(listing_update(distribution, (1, 1))) == [ListingSent]


def test_entry_that_starts_gets_no_listing_of_an_earlier_lead(
    replica, sessions
):
    """Upstreams may have left while another node led."""
    sessions.store_listing(make_listing(20))
    replica.leads = False
    sessions.push_updates(0.0)
    replica.leads, replica.node.term = True, 3
    session = FakeSession("1")
    sessions.answer_heartbeat(session, make_heartbeat(), 10.0)
    assert kinds(session.received()) == [Grant]
    sessions.store_listing(make_listing(5))
    sessions.push_updates(10.1)
    [sent] = session.received()
    assert sent.listing.epoch == 3 and len(sent.listing.listed_by_id) == 5


def test_entries_are_told_of_slow_upstreams_and_newcomers_too(
    replica, sessions
):
    listeners = [FakeSession(str(number)) for number in range(4)]
    for step in range(6):
        now = step * 0.1
        for number, session in enumerate(listeners):
            heartbeat = dataclasses.replace(
                make_heartbeat(packed=number < 3),
                member=Member(f"e{number}", "127.0.0.1", 1),
                observed=(SlownessReport("i-1", 6.0),),
            )
            sessions.answer_heartbeat(session, heartbeat, now)
    newcomer = FakeSession("new")
    sessions.answer_heartbeat(newcomer, make_heartbeat(), 1.0)
    for session in (*listeners[:3], newcomer):
        judged = [
            judgement.id
            for message in session.received()
            if isinstance(message, UpstreamsJudged)
            for judgement in message.judged
        ]
        assert judged == ["i-1"]
    # An entry of an older build would close its link.
    assert UpstreamsJudged not in kinds(listeners[3].inbox)


def beat(sessions, session, name, now, *losses, **changes):
    """Report that upstreams were lost under "f"; return the grant."""
    reports = (EvidenceReport("f", losses),) if losses else ()
    fields = {"known_holds": 0, "evidence": reports, **changes}
    heartbeat = dataclasses.replace(
        make_heartbeat(), member=Member(name, "127.0.0.1", 1), **fields
    )
    sessions.answer_heartbeat(session, heartbeat, now)
    [grant] = [m for m in session.received() if isinstance(m, Grant)]
    return grant


def test_losses_of_several_entries_hold_a_request_at_all(replica, sessions):
    """Guards against a request that crashes two upstreams at each entry."""
    a, b, c = (FakeSession(str(number)) for number in range(3))
    grant = beat(sessions, a, "a", 10.0, LostCopy("u0", -1.0, -0.9))
    assert not grant.holds.held and grant.holds.term == 1
    beat(sessions, a, "a", 10.1, LostCopy("u1", -0.8, -0.7))
    grant = beat(sessions, b, "b", 13.0, LostCopy("u2", -0.2, -0.1))
    assert [held.fingerprint for held in grant.holds.held] == ["f"]
    assert beat(sessions, c, "c", 13.1).holds.held
    # Builds without trials get the fingerprint alone.
    former = beat(sessions, a, "a", 13.2, known_holds=None)
    assert former.convicted == ("f",) and not former.holds.held


def test_holds_are_sent_again_only_if_they_have_changed(sessions):
    """Guards against lists that are repeated in every grant."""
    session = FakeSession("1")
    for number in range(3):
        loss = LostCopy(f"u{number}", number - 0.5, number)
        grant = beat(sessions, session, "a", 10.0, loss)
    serial = grant.holds.serial
    grant = beat(sessions, session, "a", 10.2, known_holds=serial)
    assert not grant.holds.held and grant.holds.serial == serial
    later = LostCopy("u9", 9.0, 9.5)
    grant = beat(sessions, session, "a", 10.4, later, known_holds=serial)
    assert grant.holds.held and grant.holds.serial != serial


def test_trial_goes_to_one_entry_and_its_answer_releases_all(sessions):
    a, b = FakeSession("1"), FakeSession("2")
    for number in range(3):
        loss = LostCopy(f"u{number}", number - 0.5, number)
        beat(sessions, a, "a", 10.0, loss)
    wanted = {"trials_wanted": ("f",)}
    assert beat(sessions, b, "b", 14.0, **wanted).trials == ("f",)
    assert not beat(sessions, a, "a", 14.1, **wanted).trials
    reply = (EvidenceReport("f", replied_at=0.0, answered_at=0.0),)
    assert not beat(sessions, b, "b", 14.2, evidence=reply).holds.held
    assert not beat(sessions, a, "a", 14.3).holds.held


def test_new_leader_learns_of_holds_from_any_entry(replica, sessions):
    a, b = FakeSession("1"), FakeSession("2")
    replica.node.term = 2
    held = (EvidenceReport("f", held_lost_at=-5.0, failed_trials=2),)
    [hold] = beat(sessions, a, "a", 10.0, evidence=held).holds.held
    assert hold.failed_trials == 2 and hold.trial_in_s == 595.0
    assert beat(sessions, b, "b", 10.1).holds.held
    replica.node.term = 3
    assert not beat(sessions, b, "b", 10.2).holds.held
