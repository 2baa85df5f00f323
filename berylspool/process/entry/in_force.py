"""What is in force at a forwarding entry: plan, moves and listing."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from berylspool.common.current import Current
from berylspool.common.event import Event, PlanRefused
from berylspool.exception import ConfigurationError
from berylspool.process.settings import Settings
from berylspool.version.configuration import Configuration, Document
from berylspool.version.forwarding import ForwardPlan
from berylspool.version.listing import Listing, SharedBounds, assemble
from berylspool.version.move import Move

__all__ = ["ForwardView", "InForce"]


@dataclass(frozen=True, slots=True)
class ForwardView:
    """What a request is served by, from its start to its end."""

    plan: ForwardPlan = ForwardPlan()
    move_by_service: dict[str, Move] = field(default_factory=dict)


class InForce:
    """Keeps the newest of all that control says, and publishes one view.

    Changes that come together are taken over once.

    Args:
        settings: Settings of the deployment.
        decode: Decodes a published document.
        log: Takes log events.
        changed: Takes what pools must know, after each change.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        decode: Callable[[Document], ForwardPlan],
        *,
        log: Callable[[Event], None],
        changed: Callable[[Configuration], None],
        clock: Callable[[], float],
    ) -> None:
        self.view = Current(ForwardView())
        self.stated = Configuration()
        self.listing = Listing()
        self.listed_at = clock()
        self.entries = 0
        self.busy = 0
        self.is_known = asyncio.Event()
        self.settings = settings
        self._decode = decode
        self._log = log
        self._changed = changed
        self._clock = clock
        self._revision = 0
        self._refused = 0
        self._is_stale = False

    @property
    def listing_name(self) -> str:
        """Epoch and serial of the listing, as log lines name it."""
        return f"{self.listing.epoch}.{self.listing.serial}"

    def state(self, configuration: Configuration) -> None:
        """Take what operators have stated."""
        self.stated = configuration
        self._refresh_soon()

    def list(self, listing: Listing) -> None:
        """Take a listing of upstreams."""
        self.listing = listing
        self.listed_at = self._clock()
        self._refresh_soon()

    def share_copies(self, busy: int) -> None:
        """Take the number of entries that have requests; 0 if not known."""
        if busy != self.busy:
            self.busy = busy
            self._refresh_soon()

    def share(self, entries: int) -> None:
        """Take the number of entries that share the upstreams."""
        if entries != self.entries:
            self.entries = max(1, entries)
            self._refresh_soon()

    def _refresh_soon(self) -> None:
        if not self._is_stale:
            self._is_stale = True
            asyncio.get_running_loop().call_soon(self._refresh)

    def _refresh(self) -> None:
        self._is_stale = False
        if not self.entries:
            # As many as control counts share the upstreams: one that takes
            # itself for the only one would open all their connections.
            return
        plan = self._newest_plan()
        self.view.publish(ForwardView(plan, dict(self.stated.move_by_route)))
        if plan.number and self.listing.serial:
            self.is_known.set()
        self._revision += 1
        routing = self.settings.routing
        bounds = SharedBounds(
            self.entries,
            routing.extra_slack,
            routing.extra_window_s,
            routing.cold_factor,
            routing.cold_slack,
            min(self.busy or self.entries, self.entries),
        )
        self._changed(
            assemble(self._revision, plan, self.listing, self.stated, bounds)
        )

    def _newest_plan(self) -> ForwardPlan:
        plan, document = self.view.value.plan, self.stated.document
        if document.number in (plan.number, self._refused):
            return plan
        try:
            return self._decode(document)
        except ConfigurationError as error:
            # Control checks what it takes, so the programs must differ.
            self._refused = document.number
            self._log(PlanRefused(document.number, str(error)))
            return plan
