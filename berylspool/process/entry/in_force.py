"""Plan, moves and listing in force at a forwarding entry."""

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
    """Plan and moves by which one request is served from start to end.

    Attributes:
        plan: Forwarding plan.
        move_by_service: Moves of services between software versions.
    """

    plan: ForwardPlan = ForwardPlan()
    move_by_service: dict[str, Move] = field(default_factory=dict)


class InForce:
    """Holds the newest state from control and publishes it as one view.

    Changes that arrive in one turn of the event loop are applied together.

    Args:
        settings: Settings of the deployment.
        decode: Decodes a published document into a plan.
        log: Called with each log event.
        changed: Called with the configuration of the pools after each change.
        clock: Returns the monotonic time in seconds.

    Attributes:
        view: View that new requests use.
        stated: Configuration that operators have set.
        listing: Listing of upstreams.
        listed_at: Time of the newest listing, in monotonic seconds.
        entries: Number of entries that share the upstreams; 0 if not known.
        busy: Number of entries that have requests; 0 if not known.
        is_known: Set once a plan and a listing are in force.
        settings: Settings of the deployment.
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
        """Epoch and serial of the listing, as written to log events."""
        return f"{self.listing.epoch}.{self.listing.serial}"

    def state(self, configuration: Configuration) -> None:
        """Update the configuration that operators have set."""
        self.stated = configuration
        self._refresh_soon()

    def list(self, listing: Listing) -> None:
        """Update the listing of upstreams."""
        self.listing = listing
        self.listed_at = self._clock()
        self._refresh_soon()

    def share_copies(self, busy: int) -> None:
        """Update the number of entries that share the extra copies.

        Args:
            busy: Number of entries that have requests; 0 if not known.
        """
        if busy != self.busy:
            self.busy = busy
            self._refresh_soon()

    def share(self, entries: int) -> None:
        """Update the number of entries that share the upstreams."""
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
            # Wait for the number of entries from control: an entry that assumed
            # to be the only one would open all connections of the upstreams.
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
            # Control checks documents before it accepts them, so its build and
            # this one must differ.
            self._refused = document.number
            self._log(PlanRefused(document.number, str(error)))
            return plan
