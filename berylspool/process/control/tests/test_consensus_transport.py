"""Consensus messages that other nodes send, and malformed ones."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.common.frame import HEADER_BYTES
from berylspool.connection.control_message import Addressed
from berylspool.exception import FrameError
from berylspool.process.control.consensus_transport import ConsensusTransport
from berylspool.process.control.pending_replies import SessionMessage
from berylspool.process.control.role import ControlNode
from berylspool.process.group.message import (
    AppendRecords,
    PreVote,
    Record,
    RecordKind,
    SendMessage,
    consensus_codec,
)
from berylspool.process.settings import ControlSettings, Settings

CODEC = consensus_codec()


class FakeLinks:
    def __init__(self):
        self.sent = []

    def send(self, peer, message):
        self.sent.append((peer, message))


def encode(*messages):
    return CODEC.encode(messages)[HEADER_BYTES:]


def test_message_arrives_as_it_was_sent():
    links = FakeLinks()
    transport = ConsensusTransport(links)
    record = Record(5, 2, RecordKind.DATA, b"x")
    message = AppendRecords(2, 4, 1, (record,), 3, 7)
    transport.send("a.0", SendMessage("b.0", message))
    [(peer, addressed)] = links.sent
    assert peer == "b" and addressed.receiver == "b.0"
    assert transport.decode(addressed) == message


@given(st.binary(max_size=60))
def test_bytes_that_are_no_message_are_frame_errors(body):
    with pytest.raises(FrameError):
        ConsensusTransport(FakeLinks()).decode(Addressed("a.0", "b.0", body))


@pytest.mark.parametrize(
    "body",
    [
        encode(),
        encode(PreVote(1, 0, 0), PreVote(1, 0, 0)),
        encode(AppendRecords(1, -5, 0, (), 0, 0)),
        encode(
            AppendRecords(1, 4, 0, (Record(9, 1, RecordKind.NOOP, b""),), 0, 0)
        ),
    ],
)
def test_messages_that_contradict_themselves_are_frame_errors(body):
    with pytest.raises(FrameError):
        ConsensusTransport(FakeLinks()).decode(Addressed("a.0", "b.0", body))


def test_malformed_consensus_message_costs_the_message_only(tmp_path):
    settings = ControlSettings(
        address="127.0.0.1:1",
        admin_address="127.0.0.1:2",
        zone="z",
        data_folder=str(tmp_path),
    )
    logged = []

    async def run():
        control = ControlNode(
            "c1", Settings(controls={"c1": settings}), is_init=True
        )
        control._log.put = logged.append
        receiver = control.replica.node.id
        for body in (b"", b"\xc1", encode(), b"\x91\x92\xa1x\x80"):
            addressed = Addressed("x.0", receiver, body)
            await control._handle_message(SessionMessage(None, addressed))
        term = control.replica.node.term
        vote = Addressed("x.0", receiver, encode(PreVote(term + 1, 99, 99)))
        await control._handle_message(SessionMessage(None, vote))

    asyncio.run(run())
    assert [event.peer for event in logged] == ["x.0"] * 4
