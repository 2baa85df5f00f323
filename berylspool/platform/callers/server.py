"""HTTP server that bounds what its clients make the process hold."""

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Callable

from berylspool.common.event import Event
from berylspool.common.metric import Metrics, increment_counter, set_gauge
from berylspool.common.request_event import ClientsRejected
from berylspool.exception import ListenError
from berylspool.platform.callers import holdings
from berylspool.platform.callers.connection import ClientConnection
from berylspool.platform.callers.holdings import HoldingLimits, Holdings
from berylspool.platform.callers.request_reader import ClientRequest
from berylspool.process.settings import split_address
from berylspool.version.forwarding import CallerLimits

__all__ = ["ClientServer"]

ACCEPT_BACKLOG = 1024
# Time-outs are late by up to this time.
CHECK_INTERVAL_S = 0.25
# A line for each client would be a load of its own.
LOG_INTERVAL_S = 1.0


class ClientServer:
    """Accepts connections and bounds what all of them hold.

    Args:
        handle: Called with a connection and a request that it has read; the
            response goes to `ClientConnection.respond`.
        limits: Limits on all clients together.
        get_limits: Returns the limits on each of them.
        log: Called with each log event.
        metrics: Metrics of the process.
        listening_socket: Listening socket, if it is open already.
        clock: Returns the monotonic time in seconds.

    Attributes:
        handle: Handler of requests.
        get_limits: Returns the limits on each client.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        handle: Callable[[ClientConnection, ClientRequest], None],
        limits: HoldingLimits,
        *,
        get_limits: Callable[[], CallerLimits],
        log: Callable[[Event], None],
        metrics: Metrics,
        listening_socket: socket.socket | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.handle = handle
        self.get_limits = get_limits
        self.clock = clock
        self._limits = limits
        self._log = log
        self._metrics = metrics
        self._socket = listening_socket
        self._holdings: Holdings[ClientConnection] = Holdings()
        self._open: set[ClientConnection] = set()
        self._all_closed = asyncio.Event()
        self._is_dropping = False
        self._start: asyncio.Task[None] | None = None
        self._server: asyncio.AbstractServer | None = None
        self._check: asyncio.TimerHandle | None = None
        self._refused: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._logged_at = float("-inf")

    def listen(self, address: str) -> None:
        """Start to accept connections.

        Args:
            address: IP address and port, as `host:port`; ignored if the
                listening socket is open already.

        Raises:
            ListenError: The address is in use or is not local.
        """
        if self._socket is None:
            self._socket = _open_socket(address)
        self._start = asyncio.ensure_future(self._serve(self._socket))
        self._check_clients()

    async def _serve(self, listening_socket: socket.socket) -> None:
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(self),
            sock=listening_socket,
            backlog=ACCEPT_BACKLOG,
        )

    def stop_listening(self) -> None:
        """Stop accepting new connections; open ones stay open."""
        if self._server is not None:
            self._server.close()
        elif self._start is not None:
            self._start.cancel()

    async def close(self) -> None:
        """Close all connections once what was written to them is sent."""
        self.stop_listening()
        for connection in list(self._open):
            connection.close()
        if self._open:
            await self._all_closed.wait()
        if self._check is not None:
            self._check.cancel()

    def add(self, connection: ClientConnection) -> None:
        """Add an open connection; drop others that are too many."""
        self._open.add(connection)
        self._all_closed.clear()
        while (
            excess := holdings.find_excess_connection(
                self._holdings, self._limits
            )
        ) is not None:
            self.count_dropped("connections")
            excess.abort()

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed."""
        holdings.release(self._holdings, connection)
        self._open.discard(connection)
        if not self._open:
            self._all_closed.set()

    def hold(
        self, connection: ClientConnection, byte_count: int, moved_bytes: int
    ) -> None:
        """Record what a connection takes; drop others if it is too much.

        Args:
            connection: The connection.
            byte_count: Bytes that it takes.
            moved_bytes: Bytes sent or read since the last call.
        """
        holdings.hold(
            self._holdings,
            connection,
            connection.stage,
            byte_count,
            self.clock(),
            moved_bytes,
        )
        # A connection that is dropped records what it still takes.
        if (
            self._holdings.byte_count > self._limits.max_bytes
            and not self._is_dropping
        ):
            self._drop_excess()

    def _drop_excess(self) -> None:
        self._is_dropping = True
        try:
            while (
                excess := holdings.find_excess_holder(
                    self._holdings, self._limits
                )
            ) is not None:
                excess.drop("memory")
        finally:
            self._is_dropping = False

    def count_refused(self, reason: str) -> None:
        """Count a request that the server refused."""
        self._refused[reason] += 1
        increment_counter(
            self._metrics, "berylspool_clients_refused_total", reason=reason
        )

    def count_dropped(self, reason: str) -> None:
        """Count a connection that the server dropped."""
        self._dropped[reason] += 1
        increment_counter(
            self._metrics, "berylspool_clients_dropped_total", reason=reason
        )

    def _check_clients(self) -> None:
        """Check time-outs, and report what was refused and dropped."""
        now = self.clock()
        for connection in list(self._open):
            connection.check_time(now)
        connections = len(self._open)
        held_bytes = self._holdings.byte_count
        set_gauge(self._metrics, "berylspool_client_connections", connections)
        set_gauge(self._metrics, "berylspool_client_bytes", held_bytes)
        if (
            self._refused or self._dropped
        ) and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            self._log(
                ClientsRejected(
                    dict(self._refused),
                    dict(self._dropped),
                    connections,
                    held_bytes,
                )
            )
            self._refused.clear()
            self._dropped.clear()
        self._check = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check_clients
        )


def _open_socket(address: str) -> socket.socket:
    """Return a listening socket.

    Raises:
        ListenError: The address is in use or is not local.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.bind((host, port))
        listening_socket.listen(ACCEPT_BACKLOG)
    except OSError as error:
        listening_socket.close()
        raise ListenError(
            f"cannot listen on {address}: {error.strerror}"
        ) from error
    listening_socket.setblocking(False)
    return listening_socket
