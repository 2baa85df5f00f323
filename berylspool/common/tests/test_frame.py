"""Property tests of the frame codec."""

import contextlib
import tracemalloc
import zlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.common.frame import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    MAX_ITEMS,
    Packed,
    frame_length,
)
from berylspool.connection.message import (
    AskPart,
    DropPart,
    Hello,
    make_peer_codec,
)
from berylspool.exception import FrameError, FrameTooLargeError
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartRows,
    Reason,
    Snapshot,
)

TEXT = st.text(max_size=20)
SNAPSHOT = st.builds(Snapshot, TEXT, st.integers(0, 2**40))
PART = st.builds(
    Part,
    TEXT,
    TEXT,
    TEXT,
    st.integers(0, 1000),
    SNAPSHOT,
    TEXT,
    st.floats(0, 100),
    TEXT,
    st.booleans(),
    TEXT,
)
MESSAGE = st.one_of(
    st.builds(AskPart, PART),
    st.builds(DropPart, TEXT),
    st.builds(Hello, TEXT),
    st.builds(PartRefused, TEXT, st.sampled_from(Reason), st.floats(0, 9)),
    st.builds(PartFailed, TEXT, st.sampled_from(Reason), st.integers(0, 9)),
    st.builds(
        PartRows,
        TEXT,
        SNAPSHOT,
        st.lists(st.integers(0, 9)).map(tuple),
        st.integers(0, 9),
    ),
)
CODEC = make_peer_codec()


@given(st.lists(MESSAGE, max_size=5))
def test_decode_inverts_encode(messages):
    frame = CODEC.encode(messages)
    assert frame_length(frame[:HEADER_BYTES]) == len(frame) - HEADER_BYTES
    assert CODEC.decode(frame[HEADER_BYTES:]) == messages


@given(st.binary(max_size=200))
def test_decode_of_arbitrary_bytes_raises_only_frame_errors(body):
    with contextlib.suppress(FrameError):
        CODEC.decode(body)


@pytest.mark.parametrize(
    "items",
    [
        [["Unknown", {}]],
        [["DropPart", {}]],
        [["DropPart", {"part_id": 7}]],
        [["DropPart"]],
        7,
    ],
)
def test_decode_rejects_invalid_messages(items):
    with pytest.raises(FrameError):
        CODEC.decode(msgpack.packb(items))


@pytest.mark.parametrize(
    "body",
    [
        msgpack.packb([["DropPart", {"part_id": ["hush"]}]]),
        msgpack.packb([["DropPart", "hush"]]),
        msgpack.packb([["hush", {}]]),
        msgpack.packb([]) + msgpack.packb("hush"),
    ],
    ids=["wrong_type", "no_fields", "unknown_class", "trailing_bytes"],
)
def test_error_states_no_value_of_the_frame(body):
    """Errors are logged, and a frame may carry API keys."""
    with pytest.raises(FrameError) as caught:
        CODEC.decode(body)
    assert "hush" not in str(caught.value)
    assert caught.value.__suppress_context__


def test_frame_length_rejects_oversized_frame():
    with pytest.raises(FrameTooLargeError):
        frame_length(b"\xff\xff\xff\xff")


@given(st.lists(MESSAGE, max_size=5))
def test_packed_messages_decode_in_their_place(messages):
    first, last = Hello("first"), Hello("last")
    frame = CODEC.encode([first, CODEC.pack(messages), last])
    assert CODEC.decode(frame[HEADER_BYTES:]) == [first, *messages, last]


@given(data=st.data())
def test_damaged_packed_messages_are_frame_errors(data):
    body = bytearray(CODEC.pack([Hello("first")] * 20).body)
    cut = data.draw(st.integers(0, len(body) - 1))
    damaged = data.draw(st.sampled_from([bytes(body[:cut]), b"", b"\0" * 9]))
    frame = CODEC.encode([Packed(damaged)])
    with pytest.raises(FrameError):
        CODEC.decode(frame[HEADER_BYTES:])


@pytest.mark.parametrize("fields", [{}, {"body": "text"}, {"body": 3}, [], 7])
def test_odd_fields_of_packed_messages_are_frame_errors(fields):
    with pytest.raises(FrameError):
        CODEC.decode(msgpack.packb([["Packed", fields]]))


def test_packed_messages_that_expand_without_bound_are_refused():
    body = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
    with pytest.raises(FrameError):
        CODEC.decode(CODEC.encode([Packed(body)])[HEADER_BYTES:])


def test_packed_messages_are_not_nested():
    nested = CODEC.pack([CODEC.pack([Hello("first")])])
    with pytest.raises(FrameError):
        CODEC.decode(CODEC.encode([nested])[HEADER_BYTES:])


@pytest.mark.parametrize(
    "body",
    [
        b"\xdd\x00\xff\xff\xff" + b"\x90" * 0xFFFFFF,
        b"\xdc\x01\x00" + (b"\xdc\xff\xff" + b"\xa2ab" * 0xFFFF) * 0x100,
    ],
    ids=["flat", "nested"],
)
def test_long_frame_of_tiny_items_is_refused(body):
    """16 MiB of empty lists took 1.2 GB before the frame was checked."""
    body = body[: MAX_FRAME_BYTES + HEADER_BYTES]
    tracemalloc.start()
    try:
        with pytest.raises(FrameError):
            CODEC.decode(body)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 64 * MAX_ITEMS + MAX_FRAME_BYTES


def test_long_frame_of_opaque_bytes_is_decoded():
    message = Hello("n" * (MAX_FRAME_BYTES // 2))
    assert CODEC.decode(CODEC.encode([message])[HEADER_BYTES:]) == [message]
