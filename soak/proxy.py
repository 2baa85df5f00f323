"""A loopback TCP proxy that harms the connections that go through it."""

import asyncio
import contextlib
import enum
from dataclasses import dataclass, field

__all__ = ["Harm", "Proxy"]

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
# Long against a hedge, short against a deadline.
DELAY_S = 0.15


class Harm(enum.StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_FORWARD = "cut_forward"
    CUT_BACK = "cut_back"
    SILENCE_OPEN = "silence_open"


@dataclass(eq=False)
class Pair:
    """One connection through the proxy, with both of its ends."""

    front: asyncio.StreamWriter
    back: asyncio.StreamWriter
    is_silenced: bool = False


@dataclass(eq=False)
class Proxy:
    """Task that forwards one port to another.

    Attributes:
        target: IP address and port behind it.
        harm: What it does to bytes now.
        pairs: Open connections.
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
        """Stop to listen and close all connections."""
        assert self.server is not None
        self.server.close()
        self._reset_all()

    def set_harm(self, harm: Harm) -> None:
        """Harm the connections from now on, open ones included.

        Connections that are open when they are silenced stay so for good;
        new ones work.
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
            # The run is over; the stream library would report it as an error.
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
        """Hand bytes on until either end closes; cut bytes are dropped."""
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
