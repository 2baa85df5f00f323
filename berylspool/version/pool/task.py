"""Task that owns a pool's state and the tasks of its connections."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from berylspool.common.event import Event, RequestBlamed
from berylspool.common.mailbox import Mailbox
from berylspool.request.query import PartResult
from berylspool.version.configuration import Upstream
from berylspool.version.pool.admission import step
from berylspool.version.pool.message import (
    Blame,
    BorrowCopies,
    CancelAttempt,
    CloseConnection,
    Log,
    ObservedReply,
    OpenConnection,
    PoolAction,
    PoolEvent,
    SendAttempt,
    SendResult,
    StopTask,
    Tick,
)
from berylspool.version.pool.state import Pool, PoolTuning
from berylspool.version.pool.timing import max_wait_s

__all__ = ["ConnectionTask", "PoolTask", "Transport"]


class ConnectionTask(Protocol):
    """Task that owns one connection to an upstream."""

    inbox: Mailbox[Any]

    async def run(self) -> None:
        """Open the connection and serve the inbox until it closes."""


class Transport(Protocol):
    """Protocol-specific access to upstreams."""

    def create_connection(
        self, connection_id: int, upstream: Upstream, pool: Mailbox[PoolEvent]
    ) -> ConnectionTask:
        """Return the task of a new connection, not yet running."""

    def create_health_watch(
        self, upstream: Upstream, pool: Mailbox[PoolEvent]
    ) -> ConnectionTask | None:
        """Return the task for health checks and cancellation, if any."""

    def cancel(
        self,
        action: CancelAttempt,
        connection: ConnectionTask | None,
        watch: ConnectionTask | None,
    ) -> None:
        """Cancel an attempt whose answer is no longer needed."""


class PoolTask:
    """Task that owns one pool.

    Args:
        service: Name of the service.
        version: Index version.
        tuning: Settings of all pools.
        send_result: Receives the result of each part.
        share_verdict: Receives each verdict for the other pools.
        borrow: Receives the number of extra copies to ask control for.
        on_drained: Called once when a closing pool has no parts or attempts
            left.
        on_observed: Receives each reply of an upstream and each outrun copy,
            for metrics and the evaluation of versions.
        log: Receives log events.
        clock: Returns monotonic time in seconds.
        transport: Access to its upstreams.
    """

    def __init__(
        self,
        service: str,
        version: str,
        tuning: PoolTuning,
        *,
        send_result: Callable[[PartResult], None],
        share_verdict: Callable[[Blame], None],
        borrow: Callable[[int], None],
        on_drained: Callable[[], None],
        on_observed: Callable[[ObservedReply], None],
        log: Callable[[Event], None],
        clock: Callable[[], float],
        transport: Transport,
    ) -> None:
        self.inbox: Mailbox[PoolEvent] = Mailbox()
        self.pool = Pool(service, version, tuning)
        self._send_result = send_result
        self._share_verdict = share_verdict
        self._borrow = borrow
        self._on_drained = on_drained
        self._on_observed = on_observed
        self._log = log
        self._clock = clock
        self._transport = transport
        self._connection_by_id: dict[int, ConnectionTask] = {}
        self._health_watch_by_upstream: dict[str, ConnectionTask | None] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve the inbox until the task is cancelled or has drained."""
        try:
            while not self._has_drained():
                pause_s = max_wait_s(self.pool, self._clock())
                events = await self.inbox.take(pause_s) or [Tick()]
                for event in events:
                    for action in step(self.pool, event, self._clock()):
                        self._perform(action)
                self._sync_health_watches()
        finally:
            self._stop_tasks()
        self._on_drained()

    def _has_drained(self) -> bool:
        return (
            self.pool.is_closing
            and not self.pool.job_by_part
            and not self.pool.attempt_by_id
            and not self.inbox
        )

    def _perform(self, action: PoolAction) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case SendResult(result=result):
                self._send_result(result)
            case OpenConnection(connection_id=connection_id, upstream=upstream):
                self._connect(connection_id, upstream)
            case CloseConnection(connection_id=connection_id):
                connection = self._connection_by_id.get(connection_id)
                if connection is not None:
                    connection.inbox.put(StopTask())
            case CancelAttempt():
                self._cancel(action)
            case Log(event=event):
                self._log(event)
            case Blame():
                self._share_verdict(action)
                self._log(
                    RequestBlamed(
                        action.fingerprint, action.upstream_id, action.verdict
                    )
                )
            case BorrowCopies(copies=copies):
                self._borrow(copies)
            case ObservedReply():
                self._on_observed(action)

    def _send(self, action: SendAttempt) -> None:
        connection = self._connection_by_id.get(action.connection_id)
        # A connection that has just ended reports it by `ConnectionClosed`.
        if connection is not None:
            connection.inbox.put(action)

    def _connect(self, connection_id: int, upstream: Upstream) -> None:
        connection = self._transport.create_connection(
            connection_id, upstream, self.inbox
        )
        self._connection_by_id[connection_id] = connection
        task = self._spawn(connection.run())
        task.add_done_callback(
            lambda _: self._connection_by_id.pop(connection_id, None)
        )

    def _spawn(self, coroutine) -> asyncio.Task[None]:  # noqa: ANN001
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _cancel(self, action: CancelAttempt) -> None:
        self._transport.cancel(
            action,
            self._connection_by_id.get(action.connection_id),
            self._health_watch_by_upstream.get(action.upstream_id),
        )

    def _sync_health_watches(self) -> None:
        """Run a health watch for each upstream of the pool, and no others."""
        view_by_upstream = self.pool.view_by_upstream
        if view_by_upstream.keys() == self._health_watch_by_upstream.keys():
            return
        for upstream_id in (
            self._health_watch_by_upstream.keys() - view_by_upstream.keys()
        ):
            removed = self._health_watch_by_upstream.pop(upstream_id)
            if removed is not None:
                removed.inbox.put(StopTask())
        for upstream_id in (
            view_by_upstream.keys() - self._health_watch_by_upstream.keys()
        ):
            upstream = view_by_upstream[upstream_id].upstream
            watch = self._transport.create_health_watch(upstream, self.inbox)
            self._health_watch_by_upstream[upstream_id] = watch
            if watch is not None:
                self._spawn(watch.run())

    def _stop_tasks(self) -> None:
        for connection in self._connection_by_id.values():
            connection.inbox.put(StopTask())
        for watch in self._health_watch_by_upstream.values():
            if watch is not None:
                watch.inbox.put(StopTask())
