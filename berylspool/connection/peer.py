"""Links between berylspool processes, with one task for each stream."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterator
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from berylspool.common.frame import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    Codec,
    frame_length,
)
from berylspool.common.mailbox import Mailbox
from berylspool.connection.dialing import open_stream
from berylspool.connection.message import (
    CHANGE_LEVEL,
    PROTOCOL_VERSION,
    Hello,
    Ping,
    Pong,
)
from berylspool.exception import (
    FrameError,
    FrameTooLargeError,
    ProtocolError,
)

__all__ = ["Link", "LinkServer", "Session"]

INITIAL_BACKOFF_S = 0.05
# Short, so that the link to a restarted peer reopens at once; a refused
# connection costs little, and there are few control nodes.
MAX_BACKOFF_S = 0.25
# Spreads the attempts of processes that have lost the same peer.
BACKOFF_JITTER = 0.5
PING_INTERVAL_S = 0.5
RECEIVE_TIMEOUT_S = 1.5
# A stream that carries nothing for this many ping intervals is lost.
SILENT_INTERVALS = 3
MAX_MESSAGES_PER_FRAME = 256
# Far more than a `Hello` with the name of a peer.
MAX_HELLO_BYTES = 4096
# Peers open a few connections each and say `Hello` at once; there are less than
# a hundred of them.
MAX_SESSIONS_WITHOUT_HELLO = 64
MAX_SESSIONS = 512
# A frame up to this length is read whatever other sessions read.
MAX_SMALL_FRAME_BYTES = 64 * 1024
# Longer frames that all sessions of a server may be reading at a time; a frame
# is at most half as long.
MAX_READ_BYTES = 2 * MAX_FRAME_BYTES

Sink = Callable[[Any], None]


class ReadBudget:
    """Long frames that all sessions of a server may read at a time."""

    def __init__(self) -> None:
        self._read_bytes = 0

    @contextlib.contextmanager
    def take(self, byte_count: int) -> Iterator[None]:
        """Reserve the memory of a frame while it is read.

        Raises:
            FrameTooLargeError: Other sessions read too much already.
        """
        if byte_count <= MAX_SMALL_FRAME_BYTES:
            yield
            return
        if self._read_bytes + byte_count > MAX_READ_BYTES:
            raise FrameTooLargeError(
                f"frame of {byte_count} bytes beside {self._read_bytes} of "
                "other sessions"
            )
        self._read_bytes += byte_count
        try:
            yield
        finally:
            self._read_bytes -= byte_count


async def _write_messages(
    stream: IOStream, inbox: Mailbox[Any], codec: Codec, ping_s: float
):
    """Write the messages of the inbox, many in one frame.

    An idle stream carries a `Ping` every `ping_s` seconds.
    """
    while True:
        messages = await inbox.take(ping_s) or [Ping()]
        for start in range(0, len(messages), MAX_MESSAGES_PER_FRAME):
            batch = messages[start : start + MAX_MESSAGES_PER_FRAME]
            await stream.write(codec.encode(batch))


async def _read_messages(
    stream: IOStream,
    codec: Codec,
    inbox: Mailbox[Any],
    sink: Sink,
    ping_s: float,
    budget: ReadBudget,
) -> None:
    """Pass each message to the sink until the stream ends.

    Raises:
        TimeoutError: No frame arrived for `SILENT_INTERVALS` ping intervals.
        FrameTooLargeError: Other streams with this budget read too much.
    """
    while True:
        async with asyncio.timeout(ping_s * SILENT_INTERVALS):
            header = await stream.read_bytes(HEADER_BYTES)
            length = frame_length(header)
            with budget.take(length):
                body = await stream.read_bytes(length)
        has_answered = False
        for message in codec.decode(body):
            match message:
                case Ping() if not has_answered:
                    # One answer to a frame, however many it holds.
                    has_answered = True
                    inbox.put(Pong())
                case Ping():
                    pass
                case Pong():
                    pass
                case _:
                    sink(message)


async def _run_stream(
    stream: IOStream,
    codec: Codec,
    inbox: Mailbox[Any],
    sink: Sink,
    ping_s: float,
    budget: ReadBudget,
) -> None:
    """Write and read concurrently until reading ends, then close."""
    writer = asyncio.ensure_future(
        _write_messages(stream, inbox, codec, ping_s)
    )
    try:
        await _read_messages(stream, codec, inbox, sink, ping_s, budget)
    finally:
        writer.cancel()
        stream.close()


class Link:
    """Task that owns the stream to one peer and reconnects when it is lost.

    Senders must treat `on_close` as the loss of all messages sent before it.
    Messages that are still in the inbox at that time are discarded, so that
    none is delivered late.

    Args:
        name: Name of this process.
        host: IP address of the peer.
        port: TCP port of the peer.
        codec: Codec of the link.
        sink: Receives each message from the peer.
        on_open: Called when the link opens.
        on_close: Called when the link is lost, and after each failed attempt to
            open it.
        ping_s: Time after which an idle stream carries a `Ping`, in seconds.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        codec: Codec,
        *,
        sink: Sink,
        on_open: Callable[[], None],
        on_close: Callable[[], None],
        ping_s: float = PING_INTERVAL_S,
    ) -> None:
        self.inbox: Mailbox[Any] = Mailbox()
        self._ping_s = ping_s
        self._name = name
        self._host = host
        self._port = port
        self._codec = codec
        self._sink = sink
        self._on_open = on_open
        self._on_close = on_close

    async def run(self) -> None:
        """Keep the link open until the task is cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            stream: IOStream | None = None
            try:
                stream = await open_stream(self._host, self._port)
                stream.set_nodelay(True)
                hello = Hello(self._name, change_level=CHANGE_LEVEL)
                await stream.write(self._codec.encode([hello]))
                self._on_open()
                backoff_s = INITIAL_BACKOFF_S
                # This process chose the peer, so its frames are not shared out.
                await _run_stream(
                    stream,
                    self._codec,
                    self.inbox,
                    self._sink,
                    self._ping_s,
                    ReadBudget(),
                )
            except (OSError, TimeoutError, StreamClosedError, FrameError):
                pass
            finally:
                if stream is not None:
                    stream.close()
            self.inbox.clear()
            self._on_close()
            jitter = random.uniform(1.0 - BACKOFF_JITTER, 1.0)
            await asyncio.sleep(backoff_s * jitter)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)


class Session:
    """Task that owns a stream that a peer opened.

    Args:
        id: Id of the session, unique within this process.
        stream: The accepted stream.
        codec: Codec of the link.
        ping_s: Time after which an idle stream carries a `Ping`, in seconds.
        budget: Budget that it shares with other sessions.

    Attributes:
        id: Id of the session.
        inbox: Messages to the peer.
        peer: Name of the peer; empty until its `Hello` arrives.
        change_level: Latest kinds of changes that the peer can apply.
    """

    def __init__(
        self,
        id: str,
        stream: IOStream,
        codec: Codec,
        ping_s: float,
        budget: ReadBudget,
    ) -> None:
        self.id = id
        self.inbox: Mailbox[Any] = Mailbox()
        self.peer = ""
        self.change_level = 0
        self._stream = stream
        self._codec = codec
        self._ping_s = ping_s
        self._budget = budget

    async def run(self, sink: Callable[["Session", Any], None]) -> None:
        """Serve the stream until it ends.

        Args:
            sink: Receives the session and each message from the peer.

        Raises:
            ProtocolError: The peer violates the protocol or uses a later
                version of it.
        """
        try:
            async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                hello = await self._read_hello()
            self.peer, self.change_level = hello.name, hello.change_level
            await _run_stream(
                self._stream,
                self._codec,
                self.inbox,
                lambda message: sink(self, message),
                self._ping_s,
                self._budget,
            )
        except (OSError, TimeoutError, StreamClosedError):
            pass
        finally:
            self._stream.close()

    def close(self) -> None:
        """Close the stream, which ends the session."""
        self._stream.close()

    async def _read_hello(self) -> Hello:
        header = await self._stream.read_bytes(HEADER_BYTES)
        length = frame_length(header)
        if length > MAX_HELLO_BYTES:
            raise ProtocolError(f"first frame of {length} bytes is no Hello")
        body = await self._stream.read_bytes(length)
        messages = self._codec.decode(body)
        match messages:
            case [Hello(protocol=protocol) as hello] if (
                protocol <= PROTOCOL_VERSION
            ):
                return hello
        raise ProtocolError(
            f"first frame is not a Hello of protocol <= {PROTOCOL_VERSION}"
        )


class LinkServer(TCPServer):
    """Accepts links from peers and runs a session for each.

    Args:
        codec: Codec of the links.
        sink: Receives the session and each message.
        on_session_end: Receives each ended session, and its protocol error
            or None.
        ping_s: Time after which an idle stream carries a `Ping`, in seconds.
    """

    def __init__(
        self,
        codec: Codec,
        *,
        sink: Callable[[Session, Any], None],
        on_session_end: Callable[[Session, ProtocolError | None], None],
        ping_s: float = PING_INTERVAL_S,
    ) -> None:
        super().__init__()
        self._ping_s = ping_s
        self._codec = codec
        self._sink = sink
        self._on_session_end = on_session_end
        self._session_count = 0
        self._budget = ReadBudget()
        self.session_by_id: dict[str, Session] = {}

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Run the session of one accepted stream."""
        if len(self.session_by_id) >= MAX_SESSIONS:
            stream.close()
            return
        silent = [s for s in self.session_by_id.values() if not s.peer]
        if len(silent) >= MAX_SESSIONS_WITHOUT_HELLO:
            # Sessions are in the order in which they were accepted.
            silent[0].close()
        stream.set_nodelay(True)
        self._session_count += 1
        session = Session(
            str(self._session_count),
            stream,
            self._codec,
            self._ping_s,
            self._budget,
        )
        self.session_by_id[session.id] = session
        error: ProtocolError | None = None
        try:
            await session.run(self._sink)
        except ProtocolError as caught:
            error = caught
        finally:
            del self.session_by_id[session.id]
            self._on_session_end(session, error)
