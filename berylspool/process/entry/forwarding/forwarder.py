"""The forwarding entry role, which passes callers' requests on to upstreams.

Plans and listings come from control.  Without it, the newest ones stay in use:
they have been in force, and a refusal would leave callers without any answer.
"""

import asyncio
import contextlib
import time
import uuid
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from berylspool.common.event import (
    Event,
    ProcessStarted,
    ProcessStopped,
)
from berylspool.common.metric import Metrics, set_gauges
from berylspool.common.part_event import PartAbandoned, PartChosen
from berylspool.connection.control_message import ExtraCopies
from berylspool.connection.message import Member, MemberTable
from berylspool.exception import SettingsError
from berylspool.process.entry.control_client import ControlClient
from berylspool.process.entry.control_client_message import (
    Leave,
    TableDrained,
)
from berylspool.process.entry.delegation.delegation import make_delegation
from berylspool.process.entry.delegation.division import members_by_zone
from berylspool.process.entry.forwarding.containment import Containment
from berylspool.process.entry.forwarding.forwarding_state import (
    ForwardingState,
)
from berylspool.process.entry.forwarding.request_accounting import (
    count_event,
    count_reply,
)
from berylspool.process.entry.forwarding.request_handler import RequestHandler
from berylspool.process.entry.reply_statistics import (
    ReplyStatistics,
    record_reply,
    take_tallies,
    update_moves,
)
from berylspool.process.entry.router import Router
from berylspool.process.entry.routing import RoutingState
from berylspool.process.entry.routing_message import (
    ConfigurationChanged,
    EntryClosing,
    LeaseGranted,
    Sharing,
    UpstreamsListed,
)
from berylspool.process.entry.usage.usage_counter import UsageCounter
from berylspool.process.lifetime import make_stop_event, wait_until_stopped
from berylspool.process.log import LogTask
from berylspool.process.pool_tuning import make_shared_tuning
from berylspool.process.running_requests import FINISH_S
from berylspool.process.settings import Settings, split_address
from berylspool.release import VERSION
from berylspool.version.configuration import Configuration, Document
from berylspool.version.customer.table import count_api_keys, count_customers
from berylspool.version.forwarding import ForwardPlan
from berylspool.version.listing import Listing
from berylspool.version.pool.message import (
    ObservedReply,
    RowsReply,
)
from berylspool.version.pool.transport import Transport

__all__ = ["Forwarder"]

# Shorter than any scrape interval.
MAINTENANCE_INTERVAL_S = 1.0
# Enough to write the last answers and to close a few hundred connections.
CLOSE_TIMEOUT_S = 0.1
# Enough to write one more heartbeat, with the usage of the last requests.
LAST_REPORT_S = 0.05


class CallerListener(Protocol):
    """Server that accepts the connections of callers."""

    def listen(self, address: str) -> None:
        """Start to accept connections at an address."""

    def stop_listening(self) -> None:
        """Accept no new connections."""

    async def close(self) -> None:
        """Close all connections."""


class Forwarder:
    """One forwarding entry process.

    Args:
        name: Name of the entry in the settings.
        settings: Settings of the deployment.
        decode: Decodes a published document into a plan.
        transport: Protocol spoken to upstreams.
        control_port: Port of control nodes named by address; None if unused.
        clock: Returns the monotonic time in seconds.
        wall_clock: Returns the seconds since the epoch.
        log: Log task, which the entry runs; None creates one.

    Raises:
        SettingsError: The settings hold no entry of that name.
    """

    def __init__(
        self,
        name: str,
        settings: Settings,
        *,
        decode: Callable[[Document], ForwardPlan],
        transport: Transport,
        control_port: int | None,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
        log: LogTask | None = None,
    ) -> None:
        if name not in settings.entries:
            raise SettingsError(f"entries.{name}: not in the settings")
        self.name = name
        self.settings = settings
        self.own_settings = settings.entries[name]
        self.log = log or LogTask(settings.log.decisions)
        self.metrics = Metrics()
        self.caller_listener: CallerListener | None = None
        self.is_closing = False
        self.statistics = ReplyStatistics()
        self.state = ForwardingState(
            settings,
            decode,
            log=self.log.put,
            on_change=self._apply_configuration,
            clock=clock,
        )
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self.usage = UsageCounter(
            settings.duties,
            clock=clock,
            wall_clock=wall_clock,
            log=self.log.put,
        )
        self.router = Router(
            RoutingState(name, Sharing.ALONE),
            make_shared_tuning(settings.routing, self.own_settings.zone, name),
            log=self._log_decision,
            clock=clock,
            on_reply=self._handle_reply,
            on_borrow=lambda key, copies: self.control.inbox.put(
                ExtraCopies(*key, copies)
            ),
            on_upstream=lambda seen: self.control.inbox.put(seen),
            transport=transport,
        )
        self.delegation = make_delegation(
            name,
            settings,
            self.router,
            clock=clock,
            log=self.log.put,
            metrics=self.metrics,
        )
        self.containment = Containment(
            clock=clock,
            log=self.log.put,
            get_control_inbox=lambda: self.control.inbox,
            router=self.router.inbox,
        )
        self.handler = RequestHandler(
            self.state,
            self.router.inbox,
            self.containment,
            self.usage,
            clock=clock,
            metrics=self.metrics,
            log=self.log.put,
            delegation=self.delegation,
        )
        host, port = split_address(self.own_settings.peer_address)
        self.control = ControlClient(
            Member(name, host, port, self.own_settings.zone),
            uuid.uuid4().hex[:8],
            settings,
            clock=clock,
            log=self.log.put,
            on_configuration=self.state.set_configuration,
            on_lease=lambda until: None,
            on_table=self._apply_table,
            take_tallies=lambda: take_tallies(self.statistics),
            on_listing=self._apply_listing,
            on_lent=self.router.receive_loans,
            on_judged=self.router.receive_judgements,
            usage=self.usage,
            containment=self.containment,
            control_port=control_port,
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers should open new connections to this entry."""
        return self.state.initialized.is_set() and not self.is_closing

    def reload(self, settings: Settings) -> None:
        """Apply changed settings, such as the control nodes to link to."""
        self.settings = settings
        self.state.settings = settings
        self.control.reload(settings)

    def _apply_configuration(self, configuration: Configuration) -> None:
        update_moves(self.statistics, self.state.configuration.move_by_route)
        self.router.inbox.put(ConfigurationChanged(configuration))
        self.handler.key_revocation.apply(self.state.view.value.plan)

    def _apply_listing(self, listing: Listing) -> None:
        self.state.set_listing(listing)
        ids = frozenset(listing.listed_by_id)
        self.router.inbox.put(UpstreamsListed(ids))

    def _apply_table(self, table: MemberTable) -> None:
        """Report the table as drained, as no service is owned."""
        self.control.inbox.put(TableDrained(table.epoch))
        self.state.set_entry_count(len(table.member_by_name))
        if self.delegation is not None:
            self.state.set_zone_members(
                members_by_zone(table.member_by_name.values()), self.name
            )
            self.delegation.set_members(table)

    def _handle_reply(self, observed_reply: ObservedReply) -> None:
        if self.statistics.move_by_route:
            record_reply(self.statistics, observed_reply)
        evidence = self.containment.evidence
        # An answer changes nothing unless upstreams were lost.
        if (
            evidence.record_by_fingerprint
            or evidence.watched
            or type(observed_reply.reply) is not RowsReply
        ):
            self.containment.observe(observed_reply)
        count_reply(self.metrics, observed_reply)
        if self.usage.awaited_reply_by_request:
            self.usage.note_reply(observed_reply)

    def _log_decision(self, event: Event) -> None:
        # One for each part, so it is told apart by the cheapest check.
        if type(event) is PartChosen:
            if self.usage.awaited_send_by_part:
                self.usage.note_send(event.part)
        else:
            count_event(self.metrics, event)
            if isinstance(event, PartAbandoned):
                self.usage.note_abandoned(event)
        self.log.put(event)

    def _update_gauges(self) -> None:
        """Update the gauges for scrapes of the metrics."""
        state, plan = self.state, self.state.view.value.plan
        value_by_gauge = {
            "berylspool_plan": plan.number,
            "berylspool_requires_keys": int(plan.customers is not None),
            "berylspool_customers": count_customers(plan.customers),
            "berylspool_api_keys": count_api_keys(plan.customers),
            "berylspool_configuration_revision": state.configuration.revision,
            "berylspool_in_flight": len(self.handler.running),
            "berylspool_members": state.entry_count,
            "berylspool_listed_upstreams": len(state.listing.listed_by_id),
            "berylspool_listing_age_seconds": self._clock() - state.listed_at,
            "berylspool_grant_age_seconds": self.control.grant_age_s(),
            "berylspool_log_lines_dropped": self.log.dropped,
            "berylspool_timer_lag_seconds": self.handler.timer_lag.mean_s,
            "berylspool_held_requests": self.containment.held_count,
        }
        set_gauges(self.metrics, value_by_gauge)

    async def _run_maintenance(self) -> None:
        while True:
            self.containment.maintain()
            self._update_gauges()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        stopping = make_stop_event()
        assert self.caller_listener is not None
        self._spawn(self.log.run())
        self._spawn(self.router.run())
        self._spawn(self.control.run())
        self._spawn(self._run_maintenance())
        if self.delegation is not None:
            self._spawn(self.delegation.run())
        self.router.inbox.put(LeaseGranted(float("inf")))
        self.caller_listener.listen(self.own_settings.address)
        self.log.put(ProcessStarted("entry", self.name, VERSION))
        await wait_until_stopped(stopping, self._tasks)
        await self._stop(self.caller_listener)

    async def _stop(self, callers: CallerListener) -> None:
        """Finish the requests in flight, then close."""
        self.is_closing = True
        self.control.inbox.put(Leave())
        if self.delegation is not None:
            self.delegation.stop_helping()
        own_settings = self.own_settings
        ends_at = self._clock() + own_settings.notice_s + own_settings.drain_s
        await asyncio.sleep(own_settings.notice_s)
        callers.stop_listening()
        running = self.handler.running
        running.ends_at = ends_at - FINISH_S
        await running.wait_until_idle()
        await running.end_all(lambda: self.router.inbox.put(EntryClosing()))
        if self.usage.flush():
            self.control.inbox.put(Leave())
            await asyncio.sleep(LAST_REPORT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await callers.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.log.put(ProcessStopped("entry", self.name))
        self.log.close()
