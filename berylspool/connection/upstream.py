"""Tasks that each own one connection to an upstream."""

import asyncio
from dataclasses import dataclass

import orjson

from berylspool.common.mailbox import Mailbox
from berylspool.connection import upstream_codec
from berylspool.connection.http import (
    HttpConnection,
    HttpResponse,
    open_http_connection,
)
from berylspool.connection.upstream_codec import encode_attempt_id
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.version.configuration import Upstream
from berylspool.version.pool.message import (
    AttemptAnswered,
    CancelAttempt,
    ConnectionClosed,
    ConnectionOpened,
    HealthReported,
    SendAttempt,
    StopTask,
)
from berylspool.version.pool.transport import ConnectionTask, PoolInbox

__all__ = ["UpstreamConnection", "UpstreamHealthWatch"]

CONNECT_TIMEOUT_S = 1.0
IDENTIFY_TIMEOUT_S = 1.0
HEALTH_WATCH_INTERVAL_S = 0.5
HEALTH_WATCH_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancellation of an attempt whose result is no longer needed.

    Attributes:
        encoded_attempt_id: Id of the attempt as sent to the upstream.
    """

    encoded_attempt_id: str


class UpstreamConnection:
    """Task that owns one keep-alive connection, with one attempt at a time.

    The task requests the instance id of the upstream before it sends the
    first part, so that the pool knows of a restart before an attempt reaches
    the new instance.

    Args:
        connection_id: Number of the connection in its pool.
        upstream: Upstream to connect to.
        pool: Inbox of the pool.
    """

    def __init__(
        self, connection_id: int, upstream: Upstream, pool: PoolInbox
    ) -> None:
        self.inbox: Mailbox[SendAttempt | StopTask] = Mailbox()
        self._id = connection_id
        self._upstream = upstream
        self._pool = pool
        self._last_sent_id = 0

    async def run(self) -> None:
        """Connect, and process the inbox until the connection closes."""
        connection: HttpConnection | None = None
        try:
            connection = await open_http_connection(
                self._upstream.host, self._upstream.port, CONNECT_TIMEOUT_S
            )
            connection.on_close(lambda: self.inbox.put(StopTask()))
            await self._identify_instance(connection)
            await self._process_inbox(connection)
        except (ConnectionLostError, ProtocolError, TimeoutError):
            pass
        finally:
            if connection is not None:
                connection.close()
            self._pool.put(
                ConnectionClosed(
                    self._id,
                    self._upstream.id,
                    last_sent_id=self._last_sent_id,
                )
            )

    async def _identify_instance(self, connection: HttpConnection) -> None:
        async with asyncio.timeout(IDENTIFY_TIMEOUT_S):
            response = await connection.send(
                "GET",
                upstream_codec.HEALTH_PATH,
                {"Host": self._upstream.id},
                b"",
            )
        instance = _instance_id(response)
        self._pool.put(ConnectionOpened(self._id, self._upstream.id, instance))

    async def _process_inbox(self, connection: HttpConnection) -> None:
        while True:
            for message in await self.inbox.take():
                match message:
                    case StopTask():
                        return
                    case SendAttempt():
                        await self._send_attempt(connection, message)

    async def _send_attempt(
        self, connection: HttpConnection, message: SendAttempt
    ) -> None:
        headers, body = upstream_codec.encode_part(
            message.part, message.attempt_id, message.timeout_s
        )
        connection.reject_foreign_bytes()
        self._last_sent_id = message.attempt_id
        response_task = asyncio.ensure_future(
            connection.send("POST", upstream_codec.PART_PATH, headers, body)
        )
        self.inbox.set_put_callback(lambda: self._close_if_stopped(connection))
        try:
            response = await response_task
        finally:
            self.inbox.set_put_callback(None)
        reply = upstream_codec.decode_reply(
            message.part,
            message.attempt_id,
            response.status,
            response.headers,
            response.body,
        )
        self._pool.put(
            AttemptAnswered(
                self._id,
                message.attempt_id,
                _instance_id(response),
                reply,
                notice=upstream_codec.decode_notice(
                    response.status, response.headers
                ),
            )
        )

    def _close_if_stopped(self, connection: HttpConnection) -> None:
        if any(isinstance(message, StopTask) for message in self.inbox):
            connection.close()


class UpstreamHealthWatch:
    """Task that owns the connection for health checks and cancellations.

    Args:
        upstream: Upstream to check.
        pool: Inbox of the pool.
    """

    def __init__(self, upstream: Upstream, pool: PoolInbox) -> None:
        self.inbox: Mailbox[CancelRequest | StopTask] = Mailbox()
        self._upstream = upstream
        self._pool = pool

    async def run(self) -> None:
        """Check the health until stopped, and reconnect when necessary."""
        while True:
            connection: HttpConnection | None = None
            try:
                connection = await open_http_connection(
                    self._upstream.host, self._upstream.port, CONNECT_TIMEOUT_S
                )
                await self._check_until_stopped(connection)
                return
            except (ConnectionLostError, ProtocolError, TimeoutError):
                pass
            finally:
                if connection is not None:
                    connection.close()
            for message in await self.inbox.take(HEALTH_WATCH_INTERVAL_S):
                if isinstance(message, StopTask):
                    return

    async def _check_until_stopped(self, connection: HttpConnection) -> None:
        while True:
            async with asyncio.timeout(HEALTH_WATCH_TIMEOUT_S):
                await self._check_health(connection)
            for message in await self.inbox.take(HEALTH_WATCH_INTERVAL_S):
                match message:
                    case StopTask():
                        return
                    case CancelRequest(encoded_attempt_id=encoded_attempt_id):
                        async with asyncio.timeout(HEALTH_WATCH_TIMEOUT_S):
                            await self._send_cancellation(
                                connection, encoded_attempt_id
                            )

    async def _check_health(self, connection: HttpConnection) -> None:
        response = await connection.send(
            "GET", upstream_codec.HEALTH_PATH, {"Host": self._upstream.id}, b""
        )
        try:
            state = orjson.loads(response.body)["state"]
        except (ValueError, KeyError, TypeError) as error:
            raise ProtocolError("health response has no state") from error
        self._pool.put(
            HealthReported(
                self._upstream.id,
                _instance_id(response),
                state == "draining",
            )
        )

    async def _send_cancellation(
        self, connection: HttpConnection, encoded_attempt_id: str
    ) -> None:
        headers = {
            "Host": self._upstream.id,
            upstream_codec.ATTEMPT_ID: encoded_attempt_id,
            "Content-Length": "0",
        }
        await connection.send("POST", upstream_codec.CANCEL_PATH, headers, b"")


def _instance_id(response: HttpResponse) -> str:
    instance = response.headers.get(upstream_codec.INSTANCE_ID)
    if not instance:
        raise ProtocolError(
            f"response has no {upstream_codec.INSTANCE_ID} header"
        )
    return instance


class NativeTransport:
    """Transport to upstreams that implement docs/UPSTREAM.md."""

    def create_connection(
        self, connection_id: int, upstream: Upstream, pool: PoolInbox
    ) -> ConnectionTask:
        """Return the task of a new connection."""
        return UpstreamConnection(connection_id, upstream, pool)

    def create_health_watch(
        self, upstream: Upstream, pool: PoolInbox
    ) -> ConnectionTask | None:
        """Return the task for health checks and cancellations."""
        return UpstreamHealthWatch(upstream, pool)

    def cancel(
        self,
        action: CancelAttempt,
        connection: ConnectionTask | None,
        watch: ConnectionTask | None,
    ) -> None:
        """Send the cancellation on the health check connection."""
        if watch is not None:
            encoded_id = encode_attempt_id(action.part_id, action.attempt_id)
            watch.inbox.put(CancelRequest(encoded_id))
