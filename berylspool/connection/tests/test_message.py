"""Messages between processes of different builds."""

import msgpack

from berylspool.common.frame import HEADER_BYTES
from berylspool.connection.control_message import (
    TableSent,
    make_control_codec,
)
from berylspool.connection.message import Member, MemberTable


def test_member_of_a_build_without_zones_has_none():
    """An upgraded entry must read the tables of a former leader."""
    member = {"name": "e", "host": "10.0.0.1", "port": 1}
    fields = {"epoch": 1, "is_active": True, "member_by_name": {"e": member}}
    body = msgpack.packb([["TableSent", {"table": fields}]])
    [message] = make_control_codec().decode(body)
    assert message.table.member_by_name["e"] == Member("e", "10.0.0.1", 1, "")


def test_fields_of_a_newer_build_are_ignored():
    """A former leader must read the heartbeats of upgraded entries."""
    codec = make_control_codec()
    table = MemberTable(1, True, {"e": Member("e", "10.0.0.1", 1, "z")})
    frame = codec.encode([TableSent(table)])[HEADER_BYTES:]
    [[tag, fields]] = msgpack.unpackb(frame)
    fields["table"]["member_by_name"]["e"]["future"] = 1
    [message] = codec.decode(msgpack.packb([[tag, fields]]))
    assert message == TableSent(table)
