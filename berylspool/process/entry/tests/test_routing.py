"""Routing of parts to owners: held parts, lost links and leases."""

from berylspool.connection.message import AskPart, Member, MemberTable
from berylspool.process.entry.routing import Routing, owner, step
from berylspool.process.entry.routing_message import (
    BlameRaised,
    ConfigurationChanged,
    LeaseSet,
    LinkDown,
    LinkUp,
    ResultCame,
    SessionClosed,
    TableChanged,
    ToOrigin,
    ToPeer,
    ToPeers,
    ToPool,
    Woken,
)
from berylspool.process.entry.tests.test_ownership import (
    CONFIGURATION,
    SERVICES,
)
from berylspool.request.part_message import Origin, PartWanted
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartRows,
    Reason,
    Snapshot,
)
from berylspool.version.pool.message import Blame, PartArrived, PartCancelled
from berylspool.version.pool.suspicion import Verdict

MEMBERS = {n: Member(n, "127.0.0.1", 1) for n in ("e1", "e2")}
REQUEST = Origin("r1")


def make_part(service, idempotent=True):
    return Part(
        f"p-{service}",
        "r1",
        service,
        0,
        Snapshot("v1", 1),
        "{}",
        1.0,
        "f",
        idempotent,
        "r",
    )


def make_routing():
    routing = Routing("e1")
    step(routing, ConfigurationChanged(CONFIGURATION), 0.0)
    step(routing, TableChanged(MemberTable(1, True, MEMBERS)), 0.0)
    step(routing, LeaseSet(10.0), 0.0)
    step(routing, LinkUp("e2"), 0.0)
    return routing


def service_of(routing, name):
    return next(s for s in SERVICES if owner(routing, s) == name)


def wanted(routing, part, origin=REQUEST, now=0.0):
    return step(routing, PartWanted(origin, part), now)


def test_parts_go_to_the_pool_or_the_peer_that_owns_the_service():
    routing = make_routing()
    mine = make_part(service_of(routing, "e1"))
    theirs = make_part(service_of(routing, "e2"))
    assert wanted(routing, mine)[-1] == ToPool(
        (mine.service, "v1"), PartArrived(mine)
    )
    assert wanted(routing, theirs) == [ToPeer("e2", AskPart(theirs))]


def test_nothing_new_is_taken_after_the_lease():
    routing = make_routing()
    part = make_part(service_of(routing, "e1"))
    [action] = wanted(routing, part, now=10.0)
    assert action.result == PartRefused(
        part.id, Reason.LEASE_EXPIRED, action.result.retry_after_s
    )


def test_lost_link_resends_queries_and_leaves_commands_unknown():
    routing = make_routing()
    service = service_of(routing, "e2")
    query, command = make_part(service), make_part(service, False)
    command = Part(**{**fields(command), "id": "c"})
    wanted(routing, query)
    wanted(routing, command)
    [failed] = step(routing, LinkDown("e2"), 0.1)
    assert failed == ToOrigin(
        REQUEST, PartFailed("c", Reason.CONNECTION_LOST, 0)
    )
    assert step(routing, LinkUp("e2"), 0.2) == [ToPeer("e2", AskPart(query))]


def fields(part):
    return {name: getattr(part, name) for name in Part.__slots__}


def test_part_waits_while_the_link_is_down_and_is_refused_in_truth():
    routing = make_routing()
    step(routing, LinkDown("e2"), 0.0)
    command = make_part(service_of(routing, "e2"), idempotent=False)
    assert wanted(routing, command) == []
    [refused] = step(routing, Woken(), 1.5)
    assert isinstance(refused.result, PartRefused)


def test_owner_that_has_changed_is_asked_again():
    routing = make_routing()
    part = make_part(service_of(routing, "e2"))
    wanted(routing, part)
    refused = PartRefused(part.id, Reason.NO_OWNER, 0.1)
    assert step(routing, ResultCame(refused), 0.1) == []
    only = {"e1": MEMBERS["e1"]}
    step(routing, TableChanged(MemberTable(2, False, only)), 0.2)
    assert step(routing, Woken(), 0.3) == []
    actions = step(routing, TableChanged(MemberTable(3, True, only)), 0.4)
    key = (part.service, "v1")
    assert ToPool(key, PartArrived(part)) in actions


def test_result_goes_once_to_who_asked():
    routing = make_routing()
    part = make_part(service_of(routing, "e1"))
    wanted(routing, part)
    rows = PartRows(part.id, part.snapshot, (1,), 1)
    assert step(routing, ResultCame(rows), 0.1) == [ToOrigin(REQUEST, rows)]
    assert step(routing, ResultCame(rows), 0.1) == []


def test_closed_session_cancels_its_parts_but_not_those_it_asked_again():
    routing = make_routing()
    part = make_part(service_of(routing, "e1"))
    old, new = Origin("1", True), Origin("2", True)
    wanted(routing, part, old)
    wanted(routing, part, new)
    assert step(routing, SessionClosed("1"), 0.1) == []
    [cancel] = step(routing, SessionClosed("2"), 0.1)
    assert cancel.event == PartCancelled(part.id, is_gone=True)


def test_peer_that_is_not_the_owner_refuses():
    routing = make_routing()
    part = make_part(service_of(routing, "e2"))
    [action] = wanted(routing, part, Origin("1", True))
    assert action.result.reason is Reason.NO_OWNER


def test_stale_table_and_stale_configuration_are_ignored():
    routing = make_routing()
    only = {"e1": MEMBERS["e1"]}
    step(routing, TableChanged(MemberTable(0, True, only)), 0.1)
    assert routing.active.epoch == 1
    older = type(CONFIGURATION)(revision=0)
    step(routing, ConfigurationChanged(older), 0.1)
    assert routing.configuration is CONFIGURATION


def test_blame_reaches_all_pools_and_peers_and_later_links():
    routing = make_routing()
    blame = Blame("f", "u1", Verdict.CONVICTED)
    actions = step(routing, BlameRaised(blame), 0.1)
    assert ToPeers(blame) in actions
    pools = {a.key for a in actions if isinstance(a, ToPool)}
    assert pools == routing.pool_keys
    step(routing, LinkDown("e2"), 0.2)
    assert ToPeer("e2", blame) in step(routing, LinkUp("e2"), 0.3)
