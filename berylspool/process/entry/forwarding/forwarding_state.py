"""Plan, moves and listing in force at a forwarding entry."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from berylspool.common.event import Event, PlanRefused
from berylspool.common.published_value import PublishedValue
from berylspool.exception import ConfigurationError
from berylspool.process.entry.delegation.division import (
    Ownership,
    find_ownership,
)
from berylspool.process.settings import Settings
from berylspool.version.configuration import Configuration, Document
from berylspool.version.forwarding import ForwardPlan
from berylspool.version.listing import (
    Listing,
    SharedLimits,
    build_pool_configuration,
)
from berylspool.version.move import Move

__all__ = [
    "ForwardView",
    "ForwardingState",
    "plan_wait_s",
    "retry_without_plan_s",
]


@dataclass(frozen=True, slots=True)
class ForwardView:
    """Plan and moves by which one request is served from start to end.

    Attributes:
        plan: Forwarding plan.
        move_by_service: Moves of services between software versions.
    """

    plan: ForwardPlan = ForwardPlan()
    move_by_service: dict[str, Move] = field(default_factory=dict)


# Time from a start of all processes to the first plan: links, the election, the
# list of upstreams.
EXPECTED_START_S = 1.0
# Share of the deadline; the rest is enough to serve the request.
MAX_PLAN_WAIT_SHARE = 0.5
# Entries that start later than control have a plan within this time.
MIN_PLAN_WAIT_S = 0.4
MIN_RETRY_S = 0.1
# Callers that were refused together return over this time.
RETRY_SPREAD_S = 0.3


def plan_wait_s(uptime_s: float, deadline_s: float | None) -> float:
    """Return how long a request waits for the first plan of a process.

    While all processes start, every other entry is without a plan, too, so a
    request is served sooner by waiting than by asking elsewhere.

    Args:
        uptime_s: Time since the process started, in seconds.
        deadline_s: Time that the caller waits, in seconds; None if not stated.

    Examples:
        >>> plan_wait_s(0.0, 8.0), plan_wait_s(0.0, 0.8), plan_wait_s(60.0, 8.0)
        (1.0, 0.4, 0.4)
    """
    wait_s = max(EXPECTED_START_S - uptime_s, MIN_PLAN_WAIT_S)
    if deadline_s is None:
        return wait_s
    return min(wait_s, deadline_s * MAX_PLAN_WAIT_SHARE)


def retry_without_plan_s(uptime_s: float) -> float:
    """Return when a caller should return that got no plan in time, in seconds.

    Args:
        uptime_s: Time since the process started, in seconds.
    """
    rest_s = max(EXPECTED_START_S - uptime_s, MIN_RETRY_S)
    return rest_s + random.uniform(0.0, RETRY_SPREAD_S)


class ForwardingState:
    """Holds the newest state from control and publishes it as one view.

    Changes that arrive in one turn of the event loop are applied together.

    Args:
        settings: Settings of the deployment.
        decode: Decodes a published document into a plan.
        log: Called with each log event.
        on_change: Called with the configuration of the pools after each change.
        clock: Returns the monotonic time in seconds.

    Attributes:
        view: View that new requests use.
        configuration: Configuration that operators have set.
        listing: Listing of upstreams.
        listed_at: Time of the newest listing, in monotonic seconds.
        entry_count: Number of entries that share the upstreams; 0 if not known.
        initialized: Set once a plan and a listing are in force.
        settings: Settings of the deployment.
    """

    def __init__(
        self,
        settings: Settings,
        decode: Callable[[Document], ForwardPlan],
        *,
        log: Callable[[Event], None],
        on_change: Callable[[Configuration], None],
        clock: Callable[[], float],
    ) -> None:
        self.view = PublishedValue(ForwardView())
        self.configuration = Configuration()
        self.listing = Listing()
        self.listed_at = clock()
        self.entry_count = 0
        self.initialized = asyncio.Event()
        self.settings = settings
        self._decode = decode
        self._log = log
        self._on_change = on_change
        self._clock = clock
        self._revision = 0
        self._names_by_zone: dict[str, frozenset[str]] = {}
        self._name = ""
        self._refused_plan_number = 0
        self._is_refresh_scheduled = False

    @property
    def listing_name(self) -> str:
        """Epoch and serial of the listing, as written to log events."""
        return f"{self.listing.epoch}.{self.listing.serial}"

    def set_configuration(self, configuration: Configuration) -> None:
        """Update the configuration that operators have set."""
        self.configuration = configuration
        self._schedule_refresh()

    def set_listing(self, listing: Listing) -> None:
        """Update the listing of upstreams."""
        self.listing = listing
        self.listed_at = self._clock()
        self._schedule_refresh()

    def set_entry_count(self, entry_count: int) -> None:
        """Update the number of entries that share the upstreams."""
        if entry_count != self.entry_count:
            self.entry_count = max(1, entry_count)
            self._schedule_refresh()

    def set_zone_members(
        self, names_by_zone: dict[str, frozenset[str]], name: str
    ) -> None:
        """Update the entries of each zone, among which requests are divided.

        Args:
            names_by_zone: Names of the entries in each zone.
            name: Name of this entry.
        """
        self._name = name
        if names_by_zone != self._names_by_zone:
            self._names_by_zone = names_by_zone
            self._schedule_refresh()

    def _find_ownership(self, plan: ForwardPlan) -> Ownership:
        if not self._name:
            return Ownership({}, frozenset())
        return find_ownership(
            plan,
            self._names_by_zone,
            self.settings.entries[self._name].zone,
            self._name,
            self.settings.routing.processor_share,
        )

    def _schedule_refresh(self) -> None:
        if not self._is_refresh_scheduled:
            self._is_refresh_scheduled = True
            asyncio.get_running_loop().call_soon(self._refresh)

    def _refresh(self) -> None:
        self._is_refresh_scheduled = False
        if not self.entry_count:
            # Wait for the number of entries from control: as the only
            # entry, this one would open all connections of the upstreams.
            return
        plan = self._decode_newest_plan()
        self.view.publish(
            ForwardView(plan, dict(self.configuration.move_by_route))
        )
        if plan.number and self.listing.serial:
            self.initialized.set()
        self._revision += 1
        routing = self.settings.routing
        ownership = self._find_ownership(plan)
        shared_limits = SharedLimits(
            self.entry_count,
            routing.extra_slack,
            routing.cold_factor,
            routing.cold_slack,
            ownership.owners_by_service,
            ownership.owned,
        )
        self._on_change(
            build_pool_configuration(
                self._revision,
                plan,
                self.listing,
                self.configuration,
                shared_limits,
            )
        )

    def _decode_newest_plan(self) -> ForwardPlan:
        plan, document = self.view.value.plan, self.configuration.document
        if document.number in (plan.number, self._refused_plan_number):
            return plan
        if plan.customers is not None and document.number < plan.number:
            # A key that was removed since must not become valid again.
            return plan
        try:
            return self._decode(document)
        except ConfigurationError as error:
            # Control checks documents before it accepts them, so its build and
            # this one must differ.
            self._refused_plan_number = document.number
            self._log(PlanRefused(document.number, str(error)))
            return plan
