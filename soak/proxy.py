"""A loopback TCP proxy that impairs the connections that pass through it."""

import asyncio
import contextlib
import enum
from dataclasses import dataclass, field

__all__ = ["Harm", "Proxy"]

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
# Longer than the delay before a hedge, shorter than a deadline.
DELAY_S = 0.15


class Harm(enum.StrEnum):
    """Impairment of the connections of a proxy.

    Attributes:
        NONE: Forwards all bytes.
        DELAY: Delays each chunk of bytes.
        RESET: Resets the connections that are open at its start.
        CUT_FORWARD: Drops bytes from the client to the target.
        CUT_BACK: Drops bytes from the target to the client.
        SILENCE_OPEN: Drops all bytes of the connections that are open at its
            start; later connections work.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_FORWARD = "cut_forward"
    CUT_BACK = "cut_back"
    SILENCE_OPEN = "silence_open"


@dataclass(eq=False)
class Pair:
    """One connection through the proxy.

    Attributes:
        front: Writer to the client.
        back: Writer to the target.
        is_silenced: Whether all of its bytes are dropped.
    """

    front: asyncio.StreamWriter
    back: asyncio.StreamWriter
    is_silenced: bool = False


@dataclass(eq=False)
class Proxy:
    """Task that forwards the connections of one port to another.

    Attributes:
        target: IP address and port that connections are forwarded to.
        harm: Current impairment.
        pairs: Open connections.
        server: Listening server; None before the start.
    """

    target: tuple[str, int]
    harm: Harm = Harm.NONE
    pairs: set[Pair] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Listen on a loopback port."""
        self.server = await asyncio.start_server(
            self._accept, "127.0.0.1", port
        )

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        assert self.server is not None
        self.server.close()
        self._reset_all()

    def set_harm(self, harm: Harm) -> None:
        """Set the impairment of all connections, open ones included.

        Connections that are silenced stay silent after the impairment ends;
        connections that are opened later work.
        """
        self.harm = harm
        match harm:
            case Harm.RESET:
                self._reset_all()
            case Harm.SILENCE_OPEN:
                for pair in self.pairs:
                    pair.is_silenced = True
            case _:
                pass

    def _reset_all(self) -> None:
        for pair in self.pairs:
            pair.front.transport.abort()
            pair.back.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, front: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                back_reader, back = await asyncio.open_connection(*self.target)
        except (OSError, TimeoutError):
            front.transport.abort()
            return
        pair = Pair(front, back)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, back, Harm.CUT_FORWARD),
                self._pump(pair, back_reader, front, Harm.CUT_BACK),
            )
        except asyncio.CancelledError:
            # The run has ended.  asyncio streams would log the cancellation of
            # this callback as an error.
            pass
        finally:
            self.pairs.discard(pair)
            front.transport.abort()
            back.transport.abort()

    async def _pump(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: Harm,
    ) -> None:
        """Forward bytes until either end closes, subject to the impairment."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if pair.is_silenced or self.harm is cut:
                    continue
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        if not pair.is_silenced and self.harm is not cut:
            with contextlib.suppress(OSError):
                writer.close()
