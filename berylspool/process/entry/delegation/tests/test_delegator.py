"""Results of parts that may have run at a helper before they run here."""

import pytest

from berylspool.common.frame import HEADER_BYTES
from berylspool.common.mailbox import Mailbox
from berylspool.connection.message import make_delegation_codec
from berylspool.process.entry.delegation.delegator import _SecondRunInbox
from berylspool.process.entry.delegation.slice_codec import (
    decode_failure,
    decode_rows,
    decode_slice,
    encode_results,
    encode_slice,
)
from berylspool.process.entry.delegation.tests.slice_machine import make_parts
from berylspool.request.query import (
    PartFailed,
    PartRefused,
    PartRows,
    Reason,
    Snapshot,
    UpstreamResponse,
)

SNAPSHOT = Snapshot("v1", 1)


@pytest.mark.parametrize(
    "result",
    [
        PartRefused("p", Reason.OVERLOAD, 0.1),
        PartRefused("p", Reason.SHUTTING_DOWN, 0.1),
        PartFailed("p", Reason.SHUTTING_DOWN, 0),
    ],
)
def test_no_result_says_that_the_part_has_not_run_or_may_run_again(result):
    """The caller would be told 503, or the part sent to more upstreams."""
    inbox = Mailbox()
    _SecondRunInbox(inbox).put_all([result])
    [passed_on] = inbox.take_pending()
    assert isinstance(passed_on, PartFailed)
    assert passed_on.reason is Reason.CONNECTION_LOST


def test_the_copy_of_the_helper_is_counted():
    inbox = Mailbox()
    rows = PartRows("p", SNAPSHOT, (), 1)
    failed = PartFailed("q", Reason.TIMEOUT, 1)
    _SecondRunInbox(inbox).put_all([rows, failed])
    assert [result.attempts for result in inbox.take_pending()] == [2, 2]


def pass_on(message):
    """Return a message as it is at the other end of a link."""
    codec = make_delegation_codec()
    [decoded] = codec.decode(codec.encode([message])[HEADER_BYTES:])
    assert decoded == message
    return decoded


def test_parts_are_the_same_at_the_helper():
    parts = make_parts(3)
    message = pass_on(encode_slice(7, parts))
    copies = decode_slice(message, "r@1.7")
    assert len({id(copy.forward) for copy in copies}) == 1
    for part, copy in zip(parts, copies, strict=True):
        assert copy.id.startswith("r@1.7/") and copy.id != part.id
        copy.id = part.id
        assert copy == part


def test_results_are_the_same_at_the_first_entry():
    first, second, third = make_parts(3)
    rows = PartRows(first.id, SNAPSHOT, (b"a" * 16, b"b" * 16), 2, "s.1")
    response = UpstreamResponse(500, (("A", "b"),), b"no")
    failed = PartFailed(second.id, Reason.UPSTREAM_ERROR, 1, response)
    other = PartRows(third.id, Snapshot("v2", 1), (), 1)
    message = pass_on(
        encode_results(
            7, [(0, first, rows), (1, second, failed), (2, third, other)]
        )
    )
    assert decode_rows(first, message.rows[0]) == rows
    lost = decode_failure(third, message.failed[1], message)
    assert lost.reason is Reason.WRONG_SNAPSHOT and lost.part_id == third.id
    only = pass_on(encode_results(7, [(1, second, failed)]))
    assert decode_failure(second, only.failed[0], only) == failed
