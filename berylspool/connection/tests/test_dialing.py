"""Opening of streams to peers that are silent, refuse, or start meanwhile."""

import asyncio
import socket

import pytest
from tornado.iostream import IOStream, StreamClosedError

from berylspool.connection import dialing


class FakePeer:
    """Peer whose machine answers only attempts made after it has started.

    Attributes:
        attempts: Streams that tried to connect, in order.
    """

    def __init__(self, monkeypatch, first_answered):
        self.attempts = []
        self._first_answered = first_answered
        monkeypatch.setattr(dialing, "ATTEMPT_INTERVAL_S", 0.01)
        monkeypatch.setattr(
            IOStream, "connect", lambda stream, address: self._connect(stream)
        )

    async def _connect(self, stream):
        self.attempts.append(stream)
        if len(self.attempts) < self._first_answered:
            await asyncio.Event().wait()
        return stream


@pytest.mark.parametrize("first_answered", [1, 2, 4])
def test_silent_peer_is_tried_again_before_the_kernel_would(
    monkeypatch, first_answered
):
    peer = FakePeer(monkeypatch, first_answered)

    async def run():
        stream = await dialing.open_stream("127.0.0.1", 1)
        assert stream is peer.attempts[first_answered - 1]
        assert not stream.closed()
        stream.close()

    asyncio.run(run())
    assert len(peer.attempts) == first_answered
    assert all(stream.closed() for stream in peer.attempts)


def test_silent_peer_times_out_and_leaves_no_stream(monkeypatch):
    monkeypatch.setattr(dialing, "CONNECT_TIMEOUT_S", 0.05)
    peer = FakePeer(monkeypatch, first_answered=10**9)
    with pytest.raises(TimeoutError):
        asyncio.run(dialing.open_stream("127.0.0.1", 1))
    assert len(peer.attempts) > 1
    assert all(stream.closed() for stream in peer.attempts)


def test_slow_peer_is_reached_by_an_earlier_attempt(monkeypatch):
    """A round trip longer than the interval must not fail for ever."""
    monkeypatch.setattr(dialing, "ATTEMPT_INTERVAL_S", 0.01)
    attempts = []

    async def connect(stream, address):
        attempts.append(stream)
        await asyncio.sleep(0.05)
        return stream

    monkeypatch.setattr(IOStream, "connect", connect)

    async def run():
        stream = await dialing.open_stream("127.0.0.1", 1)
        assert stream is attempts[0]
        stream.close()

    asyncio.run(run())


def test_refused_connection_fails_at_once():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
        with pytest.raises((OSError, StreamClosedError)):
            asyncio.run(dialing.open_stream("127.0.0.1", port))


def test_cancelled_attempts_are_closed(monkeypatch):
    peer = FakePeer(monkeypatch, first_answered=10**9)

    async def run():
        task = asyncio.ensure_future(dialing.open_stream("127.0.0.1", 1))
        await asyncio.sleep(0.03)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())
    assert all(stream.closed() for stream in peer.attempts)
