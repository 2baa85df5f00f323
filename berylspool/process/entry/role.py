"""The entry role, which answers callers and owns a share of the services."""

import asyncio
import contextlib
import time
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

from berylspool.common.event import ProcessStarted, ProcessStopped
from berylspool.common.metric import increment_counter, set_gauge
from berylspool.common.published_value import PublishedValue
from berylspool.connection.caller import CallerServer, HandlerState
from berylspool.connection.listen import listen
from berylspool.connection.message import Member, MemberTable
from berylspool.exception import SettingsError, UnknownRouteError
from berylspool.process.entry.control_client import ControlClient
from berylspool.process.entry.control_client_message import (
    Leave,
    TableDrained,
)
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
    ShuttingDown,
    TableChanged,
)
from berylspool.process.lifetime import make_stop_event, wait_until_stopped
from berylspool.process.log import LogTask
from berylspool.process.pool_tuning import make_owner_tuning
from berylspool.process.running_requests import FINISH_S, RunningRequests
from berylspool.process.settings import Settings, split_address
from berylspool.release import VERSION
from berylspool.request.command_task import CommandTask
from berylspool.request.fingerprint import hash64
from berylspool.request.ledger import LedgerRequest
from berylspool.request.query import Outcome, Query, Reason, Refusal
from berylspool.request.request_task import RequestTask
from berylspool.version.configuration import Configuration, pin_version
from berylspool.version.pool.message import ObservedReply
from berylspool.version.schema import to_configuration

__all__ = ["Entry"]

DRAIN_POLL_INTERVAL_S = 0.02
READINESS_CHECK_INTERVAL_S = 0.1
NO_CONTROL_RETRY_AFTER_S = 1.0


class Entry:
    """One entry process.

    Args:
        name: Name of the entry in the settings.
        settings: Settings of the deployment.
        clock: Returns the monotonic time in seconds.

    Attributes:
        name: Name of the entry.
        settings: Settings of the deployment.
        own_settings: Settings of this entry.
        log: Log task of the process.
        configuration: Configuration in force.
        is_ready: Whether callers should open new connections to this entry.
        control: Client of the control nodes; None before the start and in
            deployments without control nodes.
        lease_until: Expiry of the lease, in monotonic seconds.
        is_closing: Whether the entry shuts down.
        statistics: Reply statistics of routes with a move.
        router: Router task.
        caller_state: State that the connections of callers share.
        caller_server: Server that accepts the connections of callers.

    Raises:
        SettingsError: The settings hold no entry of that name.
    """

    def __init__(
        self,
        name: str,
        settings: Settings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        if name not in settings.entries:
            raise SettingsError(f"entries.{name}: not in the settings")
        self.name = name
        self.settings = settings
        self.own_settings = settings.entries[name]
        self.log = LogTask(settings.log.decisions)
        self.configuration = PublishedValue(Configuration())
        self.is_ready = PublishedValue(False)
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self.control: ControlClient | None = None
        self.lease_until = float("-inf")
        self.is_closing = False
        self.running = RunningRequests(clock)
        self.statistics = ReplyStatistics()
        self.router = Router(
            RoutingState(name, Sharing(settings.routing.sharing)),
            make_owner_tuning(settings.routing, self.own_settings.zone),
            log=self.log.put,
            clock=clock,
            on_table_drained=lambda epoch: self._report_table_drained(epoch),
            on_reply=self._handle_reply,
        )
        self.caller_state = HandlerState(
            name,
            uuid.uuid4().hex[:8],
            self.answer,
            clock,
            self.log.put,
            self.is_ready,
        )
        self.caller_server = CallerServer(self.caller_state)

    async def answer(self, query: Query, caller_gone: asyncio.Event) -> Outcome:
        """Answer one query.

        Args:
            query: The validated query.
            caller_gone: Set when the caller closes its connection.

        Returns:
            An answer or a refusal.
        """
        hash_value = hash64(query.id)
        configuration = self.configuration.value
        if configuration.revision == 0:
            return Refusal(
                query.id, Reason.NO_CONTROL, True, NO_CONTROL_RETRY_AFTER_S
            )
        try:
            pinned = pin_version(
                configuration,
                query.route,
                hash_value,
                self.statistics.blocked_versions,
            )
        except UnknownRouteError:
            return Refusal(query.id, Reason.UNKNOWN_ROUTE, True, 0.0)
        if not self.running.may_end_in_time(query, target_latency_s=0.0):
            return Refusal(query.id, Reason.SHUTTING_DOWN, True, 0.0)
        request = RequestTask(query, self.router.inbox, self._clock)
        with self.running.track(request):
            if query.key is not None:
                command = self._build_command_task(query, request)
                return await command.run(pinned)
            watcher = asyncio.ensure_future(_watch_caller(caller_gone, request))
            try:
                return await request.run(pinned)
            finally:
                watcher.cancel()

    def _build_command_task(
        self, query: Query, request: RequestTask
    ) -> CommandTask:
        return CommandTask(
            query,
            request,
            send_to_ledger=self._send_to_ledger,
            clock=self._clock,
            log=self.log.put,
        )

    def _send_to_ledger(self, submission: LedgerRequest) -> None:
        if self.control is not None:
            self.control.inbox.put(submission)

    def _handle_reply(self, observed_reply: ObservedReply) -> None:
        record_reply(self.statistics, observed_reply)
        metric = "berylspool_parts_total"
        part, reply_kind = (
            observed_reply.part,
            type(observed_reply.reply).__name__,
        )
        increment_counter(
            self.caller_state.metrics,
            metric,
            service=part.service,
            reply=reply_kind,
        )

    def _report_table_drained(self, epoch: int) -> None:
        if self.control is not None:
            self.control.inbox.put(TableDrained(epoch))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task that is cancelled when the entry stops."""
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        self.spawn(self.log.run())
        self.spawn(self.router.run())
        listen(self.router.peer_server, self.own_settings.peer_address)
        if self.settings.controls:
            self._start_control_client()
        else:
            self._start_without_control()
        self.caller_server.listen(self.own_settings.address)
        self.log.put(ProcessStarted("entry", self.name, VERSION))

    def _start_control_client(self) -> None:
        """Start the client that gets configuration, lease and members."""
        peer_address = split_address(self.own_settings.peer_address)
        self.control = ControlClient(
            Member(self.name, *peer_address),
            self.caller_state.nonce,
            self.settings,
            clock=self._clock,
            log=self.log.put,
            on_configuration=self.apply_configuration,
            on_lease=self._extend_lease,
            on_table=lambda table: self.router.inbox.put(TableChanged(table)),
            take_tallies=lambda: take_tallies(self.statistics),
        )
        self.spawn(self.control.run())
        self.spawn(self._watch_readiness())

    def _extend_lease(self, until: float) -> None:
        self.lease_until = until
        self.router.inbox.put(LeaseGranted(until))

    async def _watch_readiness(self) -> None:
        """Report ready while the lease is held, until the process closes."""
        while not self.is_closing:
            is_held = self._clock() < self.lease_until
            self.is_ready.publish(is_held)
            self._update_gauges(is_held)
            await asyncio.sleep(READINESS_CHECK_INTERVAL_S)

    def _update_gauges(self, is_held: bool) -> None:
        table = self.router.member_table.value
        value_by_gauge = {
            "berylspool_lease_held": float(is_held),
            "berylspool_in_flight": self.caller_state.in_flight,
            "berylspool_members": len(table.member_by_name),
            "berylspool_configuration_revision": (
                self.configuration.value.revision
            ),
        }
        for name, value in value_by_gauge.items():
            set_gauge(self.caller_state.metrics, name, value)

    def _start_without_control(self) -> None:
        """Use the settings' initial configuration, without control nodes."""
        configuration = to_configuration(self.settings.initial)
        self.apply_configuration(configuration)
        member_by_name = {
            name: Member(name, *split_address(entry.peer_address))
            for name, entry in self.settings.entries.items()
        }
        table = MemberTable(1, True, member_by_name)
        self.router.inbox.put(LeaseGranted(float("inf")))
        self.router.inbox.put(TableChanged(table))
        self.is_ready.publish(True)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Bring a configuration into force at this entry."""
        self.configuration.publish(configuration)
        update_moves(self.statistics, configuration.move_by_route)
        self.router.inbox.put(ConfigurationChanged(configuration))

    async def stop(self) -> None:
        """Finish the requests in flight, then close."""
        self.is_closing = True
        self.is_ready.publish(False)
        await asyncio.sleep(self.own_settings.notice_s)
        self.caller_server.stop_listening()
        drain_s = self.own_settings.drain_s - FINISH_S
        self.running.ends_at = self._clock() + drain_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(drain_s):
                await self._hand_over_services()
                while self.caller_state.in_flight:
                    await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.running.end_all(
            lambda: self.router.inbox.put(EntryClosing())
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_S):
                await self.caller_server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.log.put(ProcessStopped("entry", self.name))
        self.log.close()

    async def _hand_over_services(self) -> None:
        """Hand the services over to other entries, then refuse new parts."""
        if self.control is not None:
            self.control.inbox.put(Leave())
            while self._must_hand_over():
                await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self.router.inbox.put(ShuttingDown())

    def _must_hand_over(self) -> bool:
        """Return whether this entry and others are in the member table."""
        other_members = self.router.member_table.value.member_by_name.keys() - {
            self.name
        }
        is_member = self.name in self.router.member_table.value.member_by_name
        return bool(other_members) and is_member

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        stopping = make_stop_event()
        await self.start()
        await wait_until_stopped(stopping, self._tasks)
        await self.stop()


async def _watch_caller(caller_gone: asyncio.Event, task: RequestTask) -> None:
    await caller_gone.wait()
    task.notify_disconnect()
