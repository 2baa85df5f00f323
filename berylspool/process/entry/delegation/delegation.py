"""Both sides of the division of wide requests at one entry."""

import asyncio
from collections.abc import Callable
from typing import Any

from berylspool.common.event import Event, LinkChanged
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics
from berylspool.connection.listen import listen
from berylspool.connection.message import (
    Member,
    MemberTable,
    make_delegation_codec,
)
from berylspool.exception import ListenError
from berylspool.process.entry.delegation.delegator import (
    Delegator,
    MembersChanged,
)
from berylspool.process.entry.delegation.division import (
    is_divisible,
    is_worth_dividing,
)
from berylspool.process.entry.delegation.helper import Helper
from berylspool.process.entry.delegation.turn_monitor import TurnMonitor
from berylspool.process.entry.router import Router
from berylspool.process.settings import EntrySettings, Settings
from berylspool.version.forwarding import ForwardRoute

__all__ = ["Delegation", "make_delegation"]

# Each entry has a link to and from each other one of its zone, and the loss of
# a helper is noticed by its silence before a ping tells.
PING_INTERVAL_S = 2.0


class Delegation:
    """Divides the wide requests of one entry, and runs parts for others.

    Args:
        name: Name of the entry.
        settings: Settings of the deployment.
        router: Router of the entry.
        clock: Returns the monotonic time in seconds.
        log: Called with each log event.
        metrics: Metrics of the process.

    Attributes:
        delegator: Divides requests.
        helper: Runs parts for other entries.
    """

    def __init__(
        self,
        name: str,
        settings: Settings,
        router: Router,
        *,
        clock: Callable[[], float],
        log: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        self._codec = make_delegation_codec()
        self.delegator = Delegator(
            name,
            router.inbox,
            clock=clock,
            log=log,
            metrics=metrics,
            codec=self._codec,
            ping_s=PING_INTERVAL_S,
        )
        self._monitor = TurnMonitor(clock)
        self.helper = Helper(
            router,
            self._monitor.was_frozen,
            clock=clock,
            log=log,
            metrics=metrics,
            codec=self._codec,
            ping_s=PING_INTERVAL_S,
        )
        self._name = name
        self._own_settings: EntrySettings = settings.entries[name]
        self._processor_share = settings.routing.processor_share
        self._log = log

    def choose_inbox(
        self,
        route: ForwardRoute,
        parts: int,
        body_bytes: int,
        router: Mailbox[Any],
    ) -> Mailbox[Any]:
        """Return the inbox for the parts of a request.

        Args:
            route: Route of the request.
            parts: Number of its parts.
            body_bytes: Length of its body.
            router: Inbox of the router, for a request that is not divided.
        """
        if (
            is_worth_dividing(
                parts, route.target_latency_s, self._processor_share
            )
            and is_divisible(route, body_bytes)
            and self.delegator.has_helpers
        ):
            return self.delegator.inbox
        return router

    def set_members(self, table: MemberTable) -> None:
        """Link to the entries of the zone that a member table names."""
        members: tuple[Member, ...] = tuple(
            member
            for member in table.member_by_name.values()
            if member.zone == self._own_settings.zone
            and member.name != self._name
        )
        self.delegator.inbox.put(MembersChanged(members))

    def stop_helping(self) -> None:
        """Accept no more parts of other entries."""
        self.helper.is_stopping = True

    async def run(self) -> None:
        """Serve until the task is cancelled."""
        try:
            listen(self.helper.server, self._own_settings.peer_address)
        except ListenError as error:
            # The entry divides its own requests all the same.
            self._log(LinkChanged(self._name, str(error)))
        # The validators take some 30 ms of a core. A first slice that waited
        # for them would be taken for late.
        self._codec.prepare()
        monitor = asyncio.ensure_future(self._monitor.run())
        try:
            await self.delegator.run()
        finally:
            monitor.cancel()
            self.helper.server.stop()


def make_delegation(
    name: str,
    settings: Settings,
    router: Router,
    *,
    clock: Callable[[], float],
    log: Callable[[Event], None],
    metrics: Metrics,
) -> Delegation | None:
    """Return the division of an entry; None if its deployment divides none."""
    if settings.routing.processor_share <= 0:
        return None
    return Delegation(
        name, settings, router, clock=clock, log=log, metrics=metrics
    )
