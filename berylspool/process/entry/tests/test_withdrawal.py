"""Parts are taken back only if certainly none of them was sent."""

import pytest

from berylspool.process.entry.ownership import PendingPart, RoutingState
from berylspool.process.entry.routing_message import Sharing
from berylspool.process.entry.withdrawal import may_withdraw
from berylspool.request.part_message import Origin
from berylspool.request.query import Part, Snapshot


def make_pending(id, service, owner):
    part = Part(id, "r", service, 0, Snapshot("", 1), "", 1.0, "f", True, "r")
    return PendingPart(part, Origin("r"), 1.0, owner)


@pytest.mark.parametrize(
    ("pending", "sent", "expected"),
    [
        ([("p1", "a", "e1"), ("p2", "b", "e1")], [], True),
        ([("p1", "a", "e1"), ("p2", "b", None)], [], True),
        ([("p1", "a", "e1"), ("p2", "b", "e1")], ["p2"], False),
        ([("p1", "a", "e1")], [], False),
        ([("p1", "a", "e1"), ("p2", "b", "e2")], [], False),
        ([("p1", "a", "e1"), ("p2", "a", "e1")], [], False),
    ],
    ids=["waiting", "held", "sent", "ended", "at_a_peer", "in_one_pool"],
)
def test_part_that_may_have_been_sent_keeps_its_request(
    pending, sent, expected
):
    """A request that runs would be refused as one that does not."""
    routing = RoutingState("e1", Sharing.ALONE)
    for id, service, owner in pending:
        routing.pending_by_part[id] = make_pending(id, service, owner)
    result = may_withdraw(
        routing, lambda key, part_id: part_id not in sent, ("p1", "p2")
    )
    assert result is expected
