"""Tasks that each own one connection to an upstream."""

import asyncio
from dataclasses import dataclass

import orjson

from berylspool.common.mailbox import Mailbox
from berylspool.connection import wire
from berylspool.connection.http import HttpReply, HttpStream, connect
from berylspool.connection.wire import attempt_name
from berylspool.exception import ConnectionLostError, ProtocolError
from berylspool.version.configuration import Upstream
from berylspool.version.pool.message import (
    AttemptAnswered,
    CancelAttempt,
    ConnectionClosed,
    ConnectionOpened,
    HealthReported,
    PoolEvent,
    Send,
    Shut,
)
from berylspool.version.pool.task import ConnectionTask

__all__ = ["UpstreamConnection", "UpstreamWatch"]

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 1.0
WATCH_INTERVAL_S = 0.5
WATCH_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancellation of an attempt whose result is no longer needed.

    Attributes:
        attempt_name: Id of the attempt as sent to the upstream.
    """

    attempt_name: str


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
        self, connection_id: int, upstream: Upstream, pool: Mailbox[PoolEvent]
    ) -> None:
        self.inbox: Mailbox[Send | Shut] = Mailbox()
        self._id = connection_id
        self._upstream = upstream
        self._pool = pool

    async def run(self) -> None:
        """Connect, and process the inbox until the connection closes."""
        stream: HttpStream | None = None
        try:
            stream = await connect(
                self._upstream.host, self._upstream.port, CONNECT_TIMEOUT_S
            )
            stream.on_close(lambda: self.inbox.put(Shut()))
            await self._hello(stream)
            await self._serve(stream)
        except (ConnectionLostError, ProtocolError, TimeoutError):
            pass
        finally:
            if stream is not None:
                stream.close()
            self._pool.put(ConnectionClosed(self._id, self._upstream.id))

    async def _hello(self, stream: HttpStream) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            reply = await stream.send(
                "GET", wire.HEALTH_PATH, {"Host": self._upstream.id}, b""
            )
        instance = _instance(reply)
        self._pool.put(ConnectionOpened(self._id, self._upstream.id, instance))

    async def _serve(self, stream: HttpStream) -> None:
        while True:
            for message in await self.inbox.take():
                match message:
                    case Shut():
                        return
                    case Send():
                        await self._send(stream, message)

    async def _send(self, stream: HttpStream, message: Send) -> None:
        headers, body = wire.encode_part(
            message.part, message.attempt_id, message.timeout_s
        )
        sending = asyncio.ensure_future(
            stream.send("POST", wire.PART_PATH, headers, body)
        )
        self.inbox.watch(lambda: self._abort_if_shut(stream))
        try:
            reply = await sending
        finally:
            self.inbox.watch(None)
        decoded = wire.decode_reply(
            message.part,
            message.attempt_id,
            reply.status,
            reply.headers,
            reply.body,
        )
        self._pool.put(
            AttemptAnswered(
                self._id,
                message.attempt_id,
                _instance(reply),
                decoded,
            )
        )

    def _abort_if_shut(self, stream: HttpStream) -> None:
        if any(isinstance(message, Shut) for message in self.inbox):
            stream.close()


class UpstreamWatch:
    """Task that owns the connection for health checks and cancellations.

    Args:
        upstream: Upstream to check.
        pool: Inbox of the pool.
    """

    def __init__(self, upstream: Upstream, pool: Mailbox[PoolEvent]) -> None:
        self.inbox: Mailbox[Cancel | Shut] = Mailbox()
        self._upstream = upstream
        self._pool = pool

    async def run(self) -> None:
        """Check the health until stopped, and reconnect when necessary."""
        while True:
            stream: HttpStream | None = None
            try:
                stream = await connect(
                    self._upstream.host, self._upstream.port, CONNECT_TIMEOUT_S
                )
                await self._serve(stream)
                return
            except (ConnectionLostError, ProtocolError, TimeoutError):
                pass
            finally:
                if stream is not None:
                    stream.close()
            for message in await self.inbox.take(WATCH_INTERVAL_S):
                if isinstance(message, Shut):
                    return

    async def _serve(self, stream: HttpStream) -> None:
        while True:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                await self._poll(stream)
            for message in await self.inbox.take(WATCH_INTERVAL_S):
                match message:
                    case Shut():
                        return
                    case Cancel(attempt_name=name):
                        async with asyncio.timeout(WATCH_TIMEOUT_S):
                            await self._cancel(stream, name)

    async def _poll(self, stream: HttpStream) -> None:
        reply = await stream.send(
            "GET", wire.HEALTH_PATH, {"Host": self._upstream.id}, b""
        )
        try:
            state = orjson.loads(reply.body)["state"]
        except (ValueError, KeyError, TypeError) as error:
            raise ProtocolError("health response has no state") from error
        self._pool.put(
            HealthReported(
                self._upstream.id,
                _instance(reply),
                state == "draining",
            )
        )

    async def _cancel(self, stream: HttpStream, name: str) -> None:
        headers = {
            "Host": self._upstream.id,
            wire.ATTEMPT_ID: name,
            "Content-Length": "0",
        }
        await stream.send("POST", wire.CANCEL_PATH, headers, b"")


def _instance(reply: HttpReply) -> str:
    instance = reply.headers.get(wire.INSTANCE_ID)
    if not instance:
        raise ProtocolError(f"response has no {wire.INSTANCE_ID} header")
    return instance


class OwnProtocol:
    """Transport to upstreams that implement docs/UPSTREAM.md."""

    def connection(
        self, connection_id: int, upstream: Upstream, pool: Mailbox[PoolEvent]
    ) -> ConnectionTask:
        """Return the task of a new connection."""
        return UpstreamConnection(connection_id, upstream, pool)

    def watch(
        self, upstream: Upstream, pool: Mailbox[PoolEvent]
    ) -> ConnectionTask | None:
        """Return the task for health checks and cancellations."""
        return UpstreamWatch(upstream, pool)

    def cancel(
        self,
        action: CancelAttempt,
        connection: ConnectionTask | None,
        watch: ConnectionTask | None,
    ) -> None:
        """Send the cancellation on the health check connection."""
        if watch is not None:
            name = attempt_name(action.part_id, action.attempt_id)
            watch.inbox.put(Cancel(name))
