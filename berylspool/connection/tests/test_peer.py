"""Links that strangers open."""

import asyncio
import struct

import pytest

from berylspool.common.frame import MAX_FRAME_BYTES, Codec
from berylspool.connection import peer
from berylspool.connection.message import Hello, Ping, Pong
from berylspool.exception import FrameTooLargeError, ProtocolError

CODEC = Codec([Hello, Ping, Pong])


def run(scenario):
    async def main():
        ended = []
        server = peer.LinkServer(
            CODEC,
            sink=lambda session, message: None,
            on_session_end=lambda session, error: ended.append(error),
        )
        server.listen(0, "127.0.0.1")
        [listener] = server._sockets.values()
        port = listener.getsockname()[1]
        try:
            async with asyncio.timeout(10.0):
                await scenario(server, port, ended)
        finally:
            server.stop()
            for session in server.session_by_id.values():
                session.close()
            await asyncio.sleep(0)

    asyncio.run(main())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_first_frame_that_is_no_hello_is_not_read():
    """A stranger's frame of 16 MiB was read before it was checked."""

    async def scenario(server, port, ended):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(struct.pack(">I", MAX_FRAME_BYTES))
        await until(lambda: ended)
        assert isinstance(ended[0], ProtocolError)
        assert await reader.read() == b""
        writer.close()

    run(scenario)


def test_oldest_stranger_makes_room_for_a_peer(monkeypatch):
    """Silent connections took any number of descriptors until a time-out."""
    monkeypatch.setattr(peer, "MAX_SESSIONS_WITHOUT_HELLO", 3)

    async def scenario(server, port, ended):
        opened = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(3)
        ]
        await until(lambda: len(server.session_by_id) == 3)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(CODEC.encode([Hello("p")]))
        assert await opened[0][0].read() == b""
        await until(lambda: any(s.peer for s in server.session_by_id.values()))
        assert len(server.session_by_id) == 3
        for _, each in (*opened, (reader, writer)):
            each.close()

    run(scenario)


def test_no_more_sessions_than_there_can_be_peers(monkeypatch):
    monkeypatch.setattr(peer, "MAX_SESSIONS", 2)

    async def scenario(server, port, ended):
        opened = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(3)
        ]
        assert await opened[2][0].read() == b""
        assert len(server.session_by_id) == 2
        for _, writer in opened:
            writer.close()

    run(scenario)


def test_long_frames_of_all_sessions_share_a_budget():
    budget = peer.ReadBudget()
    with budget.take(MAX_FRAME_BYTES), budget.take(MAX_FRAME_BYTES):
        with budget.take(peer.MAX_SMALL_FRAME_BYTES):
            pass
        with pytest.raises(FrameTooLargeError), budget.take(MAX_FRAME_BYTES):
            pass
    with budget.take(MAX_FRAME_BYTES):
        pass
