"""A loopback TCP proxy that impairs the connections that pass through it."""

import asyncio
import contextlib
import enum
from dataclasses import dataclass, field

__all__ = ["Impairment", "Proxy"]

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
# Longer than the delay before a hedge, shorter than a deadline.
CHUNK_DELAY_S = 0.15


class Impairment(enum.StrEnum):
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
class ProxiedConnection:
    """One connection through the proxy.

    Attributes:
        client_writer: Writer to the client.
        target_writer: Writer to the target.
        is_silenced: Whether all of its bytes are dropped.
    """

    client_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter
    is_silenced: bool = False


@dataclass(eq=False)
class Proxy:
    """Task that forwards the connections of one port to another.

    Attributes:
        target: IP address and port that connections are forwarded to.
        impairment: Current impairment.
        connections: Open connections.
        server: Listening server; None before the start.
    """

    target: tuple[str, int]
    impairment: Impairment = Impairment.NONE
    connections: set[ProxiedConnection] = field(default_factory=set)
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
        self._reset_connections()

    def set_impairment(self, impairment: Impairment) -> None:
        """Set the impairment of all connections, open ones included.

        Connections that are silenced stay silent after the impairment ends;
        connections that are opened later work.
        """
        self.impairment = impairment
        match impairment:
            case Impairment.RESET:
                self._reset_connections()
            case Impairment.SILENCE_OPEN:
                for connection in self.connections:
                    connection.is_silenced = True
            case _:
                pass

    def _reset_connections(self) -> None:
        for connection in self.connections:
            connection.client_writer.transport.abort()
            connection.target_writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                target_reader, target_writer = await asyncio.open_connection(
                    *self.target
                )
        except (OSError, TimeoutError):
            client_writer.transport.abort()
            return
        connection = ProxiedConnection(client_writer, target_writer)
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(
                    connection, reader, target_writer, Impairment.CUT_FORWARD
                ),
                self._forward(
                    connection,
                    target_reader,
                    client_writer,
                    Impairment.CUT_BACK,
                ),
            )
        except asyncio.CancelledError:
            # The run has ended.  asyncio streams would log the cancellation of
            # this callback as an error.
            pass
        finally:
            self.connections.discard(connection)
            client_writer.transport.abort()
            target_writer.transport.abort()

    async def _forward(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_impairment: Impairment,
    ) -> None:
        """Forward bytes until either end closes, subject to the impairment."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if connection.is_silenced or self.impairment is drop_impairment:
                    continue
                if self.impairment is Impairment.DELAY:
                    await asyncio.sleep(CHUNK_DELAY_S)
                writer.write(data)
                await writer.drain()
        if (
            not connection.is_silenced
            and self.impairment is not drop_impairment
        ):
            with contextlib.suppress(OSError):
                writer.close()
