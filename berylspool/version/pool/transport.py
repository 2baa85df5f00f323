"""Interfaces between a pool and the protocol that its upstreams speak."""

from collections.abc import Coroutine
from typing import Any, Protocol

from berylspool.common.mailbox import Mailbox
from berylspool.version.configuration import Upstream
from berylspool.version.pool.message import CancelAttempt, PoolEvent

__all__ = ["ConnectionTask", "PoolInbox", "Transport"]


class PoolInbox(Protocol):
    """Receives the events of one pool."""

    def put(self, message: PoolEvent) -> None:
        """Queue an event for the pool."""


class ConnectionTask(Protocol):
    """Task that owns one connection to an upstream."""

    inbox: Mailbox[Any]

    def run(self) -> Coroutine[Any, Any, None]:
        """Open the connection and serve the inbox until it closes."""


class Transport(Protocol):
    """Protocol-specific access to upstreams."""

    def create_connection(
        self, connection_id: int, upstream: Upstream, pool: PoolInbox
    ) -> ConnectionTask:
        """Return the task of a new connection, not yet running."""

    def create_health_watch(
        self, upstream: Upstream, pool: PoolInbox
    ) -> ConnectionTask | None:
        """Return the task for health checks and cancellation, if any."""

    def cancel(
        self,
        action: CancelAttempt,
        connection: ConnectionTask | None,
        watch: ConnectionTask | None,
    ) -> None:
        """Cancel an attempt whose answer is no longer needed."""
