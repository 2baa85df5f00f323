"""The pools of a process, which one task runs together.

A wide request has a part in every pool, so its parts and their answers are
handled in a few turns of one task. A task for each pool would wake up for each
part.
"""

import asyncio
import heapq
from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass, field
from typing import Any

from berylspool.common.event import Event, RequestBlamed
from berylspool.common.mailbox import Mailbox
from berylspool.request.part_message import RequestTurnedAway
from berylspool.request.query import Part, PartResult
from berylspool.version.configuration import Upstream
from berylspool.version.overload.admission_check import turn_away
from berylspool.version.pool.admission import step
from berylspool.version.pool.message import (
    AttemptAnswered,
    Blame,
    BorrowCopies,
    CancelAttempt,
    CloseConnection,
    Log,
    ObservedReply,
    OpenConnection,
    PartArrived,
    PoolAction,
    PoolEvent,
    PoolKey,
    PoolMessage,
    PoolReconfigured,
    SendAttempt,
    SendResult,
    StopTask,
    Tick,
)
from berylspool.version.pool.state import Job, Pool, PoolTuning
from berylspool.version.pool.timing import drop_ended_timers, max_wait_s
from berylspool.version.pool.transport import ConnectionTask, Transport
from berylspool.version.upstream.notices import NoticeMemory, forget_unlisted
from berylspool.version.upstream.slow_upstreams import (
    SlownessJudged,
    SlownessObserved,
)

__all__ = ["PoolListener", "PoolSet"]


@dataclass(frozen=True, slots=True)
class PoolListener:
    """Receives what pools report.

    Attributes:
        on_result: Receives the result of a part.
        on_verdict: Receives a verdict for the other pools.
        on_borrow: Receives the key of a pool, and the number of extra copies
            that it asks control for.
        on_drained: Called once with the key of a closing pool that has no
            parts or attempts left.
        on_observed: Receives each reply of an upstream and each outrun copy,
            for metrics and the evaluation of versions.
        on_upstream: Receives what is worth telling the other entries of an
            upstream.
        log: Receives log events.
    """

    on_result: Callable[[PartResult], None]
    on_verdict: Callable[[Blame], None]
    on_borrow: Callable[[PoolKey, int], None]
    on_drained: Callable[[PoolKey], None]
    on_observed: Callable[[ObservedReply], None]
    on_upstream: Callable[[SlownessObserved], None]
    log: Callable[[Event], None]


class _InboxOfPool:
    """Inbox of one pool within the inbox of the task that runs all pools."""

    def __init__(
        self, key: PoolKey, incarnation: int, inbox: Mailbox[Any]
    ) -> None:
        self._key = key
        self._incarnation = incarnation
        self._inbox = inbox

    def put(self, message: PoolEvent) -> None:
        """Queue an event for the pool."""
        self._inbox.put(PoolMessage(self._key, self._incarnation, message))


@dataclass(slots=True)
class _RunningPool:
    """A pool and the tasks of its connections.

    Attributes:
        pool: State of the pool.
        incarnation: Number that no other pool of the set has had.
        inbox: Inbox of the pool.
        connection_by_id: Connections that are opening or open.
        watch_by_upstream: Health watch of each upstream, if it has any.
        wake_at: Time at which the pool must act without an event, monotonic
            seconds.
        latest_wake_at: The same without the timers that were set since; it is
            never before `wake_at`.
        is_drained: Whether the pool has been reported as drained.
    """

    pool: Pool
    incarnation: int
    inbox: _InboxOfPool
    connection_by_id: dict[int, ConnectionTask] = field(default_factory=dict)
    watch_by_upstream: dict[str, ConnectionTask | None] = field(
        default_factory=dict
    )
    wake_at: float = float("inf")
    latest_wake_at: float = float("inf")
    is_drained: bool = False


class PoolSet:
    """Runs the pools of a process; part of the task that owns it.

    Args:
        tuning: Settings of all pools.
        inbox: Inbox of the owning task, to which connections send
            `PoolMessage`.
        listener: Receives what the pools report.
        clock: Returns monotonic time in seconds.
        transport: Access to upstreams.
    """

    def __init__(
        self,
        tuning: PoolTuning,
        *,
        inbox: Mailbox[Any],
        listener: PoolListener,
        clock: Callable[[], float],
        transport: Transport,
    ) -> None:
        self._tuning = tuning
        self._inbox = inbox
        self._listener = listener
        self._clock = clock
        self._transport = transport
        self._running_by_key: dict[PoolKey, _RunningPool] = {}
        self._last_incarnation = 0
        self._notices = NoticeMemory()
        # Heap of (time, key); entries that differ from `wake_at` are stale.
        self._wake_times: list[tuple[float, PoolKey]] = []
        self._changed_keys: set[PoolKey] = set()
        # Pools that have had a queue; it may have been sent since.
        self._strained_keys: set[PoolKey] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, key: PoolKey) -> None:
        """Create the pool of a service and version."""
        service, version = key
        self._last_incarnation += 1
        incarnation = self._last_incarnation
        self._running_by_key[key] = _RunningPool(
            Pool(service, version, self._tuning, notices=self._notices),
            incarnation,
            _InboxOfPool(key, incarnation, self._inbox),
        )
        self._changed_keys.add(key)

    def forget_unlisted(self, listed_ids: Collection[str]) -> None:
        """Forget what upstreams have said that are gone from the list."""
        forget_unlisted(self._notices, listed_ids)

    def remove(self, key: PoolKey) -> None:
        """Remove a pool that has drained, and close its connections."""
        running = self._running_by_key.pop(key, None)
        self._strained_keys.discard(key)
        if running is not None:
            _stop_tasks(running)

    def receive(self, message: PoolMessage) -> None:
        """Apply an event of a connection, unless its pool is gone."""
        running = self._running_by_key.get(message.key)
        if running and running.incarnation == message.incarnation:
            self._apply(running, message.key, message.event)

    def handle(self, key: PoolKey, event: PoolEvent) -> None:
        """Apply an event to a pool, if it exists, and perform its actions."""
        running = self._running_by_key.get(key)
        if running is not None:
            self._apply(running, key, event)

    def _apply(
        self, running: _RunningPool, key: PoolKey, event: PoolEvent
    ) -> None:
        pool = running.pool
        for action in step(pool, event, self._clock()):
            self._perform(running, key, action)
        if pool.observed:
            for observed in pool.observed:
                self._listener.on_upstream(observed)
            pool.observed.clear()
        match event:
            case PartArrived() if not pool.queue:
                self._update_wake_time(running, key)
            case AttemptAnswered() if not pool.queue:
                drop_ended_timers(pool)
                self._update_wake_time(running, key)
            case PoolReconfigured() | Tick():
                self._sync_health_watches(running)
                self._changed_keys.add(key)
            case _:
                self._changed_keys.add(key)
                if pool.queue:
                    self._strained_keys.add(key)

    def turn_away(
        self, parts: list[Part], min_coverage: float
    ) -> RequestTurnedAway | None:
        """Return the refusal of a request that cannot be served in time.

        Args:
            parts: Parts of the request, none of which has been sent.
            min_coverage: Share of the parts that its answer needs.
        """
        if not min_coverage or not self._strained_keys:
            return None
        strained = []
        for part in parts:
            key = (part.service, part.snapshot.version)
            running = self._running_by_key.get(key)
            if running is None or key not in self._strained_keys:
                continue
            if running.pool.queue:
                strained.append((running.pool, part))
            else:
                self._strained_keys.discard(key)
        return turn_away(strained, len(parts), min_coverage, self._clock())

    def find_job(self, key: PoolKey, part_id: str) -> Job | None:
        """Return a part without a result and its copies, if the pool has it."""
        running = self._running_by_key.get(key)
        return running.pool.job_by_part.get(part_id) if running else None

    def judge(self, judged: SlownessJudged) -> None:
        """Tell the pools of an upstream how all entries judge it."""
        for key, running in list(self._running_by_key.items()):
            if judged.id in running.pool.view_by_upstream:
                self.handle(key, judged)

    def next_wake_at(self) -> float:
        """Return when a pool must act without an event, in monotonic seconds.

        Drained pools are reported on the way.
        """
        self._update_wake_times()
        while self._wake_times:
            wake_at, key = self._wake_times[0]
            running = self._running_by_key.get(key)
            if running is not None and running.wake_at == wake_at:
                return wake_at
            heapq.heappop(self._wake_times)
        return float("inf")

    def run_due_pools(self) -> float | None:
        """Let the pools act whose time has come.

        Returns:
            Seconds until a pool must act without an event; None without pools.
        """
        now = self._clock()
        while (wake_at := self.next_wake_at()) <= now:
            _, key = heapq.heappop(self._wake_times)
            self._running_by_key[key].wake_at = float("inf")
            self.handle(key, Tick())
        return wake_at - now if self._wake_times else None

    def stop(self) -> None:
        """Close the connections of all pools."""
        for running in self._running_by_key.values():
            _stop_tasks(running)

    def _update_wake_times(self) -> None:
        now = self._clock()
        for key in self._changed_keys:
            running = self._running_by_key.get(key)
            if running is None:
                continue
            if _has_drained(running.pool) and not running.is_drained:
                running.is_drained = True
                self._listener.on_drained(key)
            wake_at = now + max_wait_s(running.pool, now)
            running.latest_wake_at = wake_at
            if wake_at != running.wake_at:
                running.wake_at = wake_at
                heapq.heappush(self._wake_times, (wake_at, key))
        self._changed_keys.clear()

    def _update_wake_time(self, running: _RunningPool, key: PoolKey) -> None:
        """Update the wake time after an event that changed only the timers.

        A wide request has such events in all pools.
        """
        timers = running.pool.timers
        wake_at = running.latest_wake_at
        if timers and timers[0][0] < wake_at:
            wake_at = timers[0][0]
            if wake_at != running.wake_at:
                heapq.heappush(self._wake_times, (wake_at, key))
        # The heap holds `latest_wake_at` until the pool has acted.
        running.wake_at = wake_at
        if running.pool.is_closing:
            self._changed_keys.add(key)

    def _perform(
        self, running: _RunningPool, key: PoolKey, action: PoolAction
    ) -> None:
        match action:
            case SendAttempt(connection_id=connection_id):
                connection = running.connection_by_id.get(connection_id)
                # A connection that has just ended reports it by
                # `ConnectionClosed`.
                if connection is not None:
                    connection.inbox.put(action)
            case SendResult(result=result):
                self._listener.on_result(result)
            case Log(event=event):
                self._listener.log(event)
            case ObservedReply():
                self._listener.on_observed(action)
            case OpenConnection(connection_id=connection_id, upstream=upstream):
                self._connect(running, connection_id, upstream)
            case CloseConnection(connection_id=connection_id):
                connection = running.connection_by_id.get(connection_id)
                if connection is not None:
                    connection.inbox.put(StopTask())
            case CancelAttempt():
                self._transport.cancel(
                    action,
                    running.connection_by_id.get(action.connection_id),
                    running.watch_by_upstream.get(action.upstream_id),
                )
            case Blame():
                self._listener.on_verdict(action)
                self._listener.log(
                    RequestBlamed(
                        action.fingerprint, action.upstream_id, action.verdict
                    )
                )
            case BorrowCopies(copies=copies):
                self._listener.on_borrow(key, copies)

    def _connect(
        self, running: _RunningPool, connection_id: int, upstream: Upstream
    ) -> None:
        connection = self._transport.create_connection(
            connection_id, upstream, running.inbox
        )
        running.connection_by_id[connection_id] = connection
        task = self._spawn(connection.run())
        task.add_done_callback(
            lambda _: running.connection_by_id.pop(connection_id, None)
        )

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _sync_health_watches(self, running: _RunningPool) -> None:
        """Run a health watch for each upstream of the pool, and no others."""
        view_by_upstream = running.pool.view_by_upstream
        watch_by_upstream = running.watch_by_upstream
        for upstream_id in watch_by_upstream.keys() - view_by_upstream.keys():
            removed = watch_by_upstream.pop(upstream_id)
            if removed is not None:
                removed.inbox.put(StopTask())
        for upstream_id in view_by_upstream.keys() - watch_by_upstream.keys():
            upstream = view_by_upstream[upstream_id].upstream
            watch = self._transport.create_health_watch(upstream, running.inbox)
            watch_by_upstream[upstream_id] = watch
            if watch is not None:
                self._spawn(watch.run())


def _has_drained(pool: Pool) -> bool:
    return pool.is_closing and not pool.job_by_part and not pool.attempt_by_id


def _stop_tasks(running: _RunningPool) -> None:
    for connection in running.connection_by_id.values():
        connection.inbox.put(StopTask())
    for watch in running.watch_by_upstream.values():
        if watch is not None:
            watch.inbox.put(StopTask())
