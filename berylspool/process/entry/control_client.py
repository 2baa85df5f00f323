"""The control client task: heartbeats, lease, configuration and ledger."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from berylspool.common.event import (
    Event,
    LeaseChanged,
    LinkChanged,
)
from berylspool.common.mailbox import Mailbox
from berylspool.connection.control_message import (
    ConfigurationSent,
    DeltaSent,
    ExtraCopies,
    Grant,
    Heartbeat,
    ListingDelta,
    ListingSent,
    NotLeader,
    TableDelta,
    TableSent,
    Tally,
    UpstreamsJudged,
)
from berylspool.connection.message import Member, MemberTable
from berylspool.process.control_links import make_control_links
from berylspool.process.entry.control_client_message import (
    ControlLinkOpened,
    ControlMessage,
    EvidenceChanged,
    Leave,
    Observations,
    PendingLedgerRequest,
    TableDrained,
    TrialWanted,
    without_copies,
)
from berylspool.process.entry.forwarding.containment import Containment
from berylspool.process.entry.ledger_requests import LedgerRequests
from berylspool.process.entry.received_state import ReceivedState
from berylspool.process.entry.usage.usage_counter import UsageCounter
from berylspool.process.settings import Settings
from berylspool.request.ledger import LedgerReply, LedgerRequest
from berylspool.version.configuration import Configuration
from berylspool.version.duty.counting import WindowUsage
from berylspool.version.listing import Listing
from berylspool.version.upstream.slow_upstreams import (
    SlownessJudgement,
    SlownessObserved,
)

__all__ = ["ControlClient"]

HEARTBEAT_INTERVAL_S = 0.25
# Four heartbeats; a leader that is silent for longer may have been replaced.
LEADER_TIMEOUT_S = 1.0
# Heartbeat interval without a known leader: as often as control nodes vote.
LEADER_SEARCH_INTERVAL_S = 0.1
# Control counts a loan when it lends it; a much later use would fall into a
# window of the budget that other entries may use in full.
LOAN_EXPIRY_S = 0.5


class ControlClient:
    """Task that owns the links to all control nodes.

    Args:
        member: Name and peer address of this entry.
        boot_id: Identifier that is unique to each start of the process.
        settings: Settings of the deployment.
        clock: Returns the monotonic time in seconds.
        log: Called with each log event.
        on_configuration: Called with each configuration that comes into force.
        on_lease: Called with the expiry of the lease, in monotonic seconds.
        on_table: Called with each newer member table.
        take_tallies: Returns the reply statistics since the last call.
        on_listing: Called with each newer listing of upstreams.
        on_lent: Called with the copies that control has lent.
        on_judged: Called with judgements on upstreams.
        usage: Counts requests of customers; None if this role does not.
        containment: Holds requests that may crash upstreams; None if this role
            does not.
        control_port: Port of control nodes that are named by their address;
            None if the settings name all of them.

    Attributes:
        inbox: Receives `TableDrained`, `Leave`, ledger requests, and the extra
            copies to ask for.
    """

    def __init__(
        self,
        member: Member,
        boot_id: str,
        settings: Settings,
        *,
        clock: Callable[[], float],
        log: Callable[[Event], None],
        on_configuration: Callable[[Configuration], None],
        on_lease: Callable[[float], None],
        on_table: Callable[[MemberTable], None],
        take_tallies: Callable[[], tuple[Tally, ...]],
        on_listing: Callable[[Listing], None] = lambda listing: None,
        on_lent: Callable[[tuple[ExtraCopies, ...]], None] = lambda lent: None,
        on_judged: Callable[[tuple[SlownessJudgement, ...]], None] = lambda _: (
            None
        ),
        usage: UsageCounter | None = None,
        containment: Containment | None = None,
        control_port: int | None = None,
    ) -> None:
        self.inbox: Mailbox[Any] = Mailbox()
        self._member = member
        self._boot_id = boot_id
        self._settings = settings
        self._clock = clock
        self._log = log
        self._on_lease = on_lease
        self._take_tallies = take_tallies
        self._on_lent = on_lent
        self._on_judged = on_judged
        self._usage = usage
        self._containment = containment
        self._observations = Observations()
        self._wanted_by_pool: dict[tuple[str, str], ExtraCopies] = {}
        self._received = ReceivedState(
            log=log,
            on_configuration=on_configuration,
            on_table=on_table,
            on_listing=on_listing,
        )
        self._granted_at = float("-inf")
        self._has_addressed_nodes = control_port is not None
        self._drained_epoch = 0
        self._is_leaving = False
        # Whether a heartbeat is due after all messages that came together.
        self._has_news = False
        self._is_lease_held = False
        self._lease_until = float("-inf")
        self._leader = ""
        self._ledger_requests = LedgerRequests()
        self._links = make_control_links(
            member.name,
            settings,
            control_port,
            sink=lambda name, message: self.inbox.put(
                ControlMessage(name, message)
            ),
            on_open=lambda name: self.inbox.put(ControlLinkOpened(name)),
        )

    async def run(self) -> None:
        """Serve the inbox until the task is cancelled."""
        self._links.start()
        next_heartbeat_at = self._clock()
        try:
            while True:
                due_at = min(next_heartbeat_at, self._next_report_at())
                wait_s = max(0.0, due_at - self._clock())
                for message in await self.inbox.take(wait_s):
                    self._handle(message)
                self._ask_for_copies()
                due_at = min(next_heartbeat_at, self._next_report_at())
                if self._has_news or self._clock() >= due_at:
                    is_leader_known = self._knows_leader()
                    wait_s = (
                        HEARTBEAT_INTERVAL_S
                        if is_leader_known
                        else LEADER_SEARCH_INTERVAL_S
                    )
                    next_heartbeat_at = self._clock() + wait_s
                    self._send_heartbeat()
                self._log_lease_change()
        finally:
            self._links.close()

    def grant_age_s(self) -> float:
        """Return the age of the newest grant in seconds; infinite if none."""
        return self._clock() - self._granted_at

    def _knows_leader(self) -> bool:
        return self._clock() - self._granted_at < LEADER_TIMEOUT_S

    def _next_report_at(self) -> float:
        containment = self._containment
        return containment.next_report_at() if containment else float("inf")

    def _build_heartbeat(self) -> Heartbeat:
        now, containment = self._clock(), self._containment
        return Heartbeat(
            self._member,
            self._boot_id,
            self._received.configuration.revision,
            self._drained_epoch,
            self._is_leaving,
            self._received.table.epoch,
            now,
            self._take_tallies(),
            self._received.listing.epoch,
            self._received.listing.serial,
            (),
            tuple(self._wanted_by_pool.values()),
            accepts_packed=True,
            observed=self._observations.take(now),
            usage=self._take_usage(now),
            known_holds=containment.holds_serial if containment else None,
            evidence=containment.take_report(now) if containment else (),
            trials_wanted=containment.wanted_trials() if containment else (),
        )

    def _take_usage(self, now: float) -> tuple[WindowUsage, ...]:
        if self._usage is None:
            return ()
        return self._usage.take_report(now, self._knows_leader())

    def _send_heartbeat(self) -> None:
        """Send a heartbeat; resend ledger requests without a reply."""
        self._has_news = False
        heartbeat = self._build_heartbeat()
        if self._knows_leader():
            self._links.send(self._leader, heartbeat)
        else:
            self._links.send_to_all(heartbeat)
        for pending in self._ledger_requests.take_due(self._clock()):
            self._send_ledger_request(pending)

    def _ask_for_copies(self) -> None:
        """Ask the leader for extra copies; without one, none are lent."""
        if not self._wanted_by_pool:
            return
        if self._knows_leader():
            self._links.send(self._leader, self._build_heartbeat())
        else:
            self._on_lent(without_copies(self._wanted_by_pool.values()))
        self._wanted_by_pool.clear()

    def _log_lease_change(self) -> None:
        is_held = self._clock() < self._lease_until
        if is_held != self._is_lease_held:
            self._is_lease_held = is_held
            revision = self._received.configuration.revision
            self._log(LeaseChanged(is_held, revision))

    def _handle(self, message: Any) -> None:
        match message:
            case TableDrained(epoch=epoch):
                self._drained_epoch = max(self._drained_epoch, epoch)
                self._has_news = True
            case ExtraCopies(service=service, version=version, copies=copies):
                pool = (service, version)
                if pool in self._wanted_by_pool:
                    copies += self._wanted_by_pool[pool].copies
                self._wanted_by_pool[pool] = replace(message, copies=copies)
            case SlownessObserved():
                self._observations.add(message)
            case EvidenceChanged():
                # Waking up is enough.
                pass
            case TrialWanted():
                self._has_news = True
            case Leave():
                self._is_leaving = True
                self._has_news = True
            case LedgerRequest():
                pending = self._ledger_requests.add(message, self._clock())
                self._send_ledger_request(pending)
            case ControlMessage(node=node, message=inner):
                self._handle_control_message(node, inner)
            case ControlLinkOpened(node=node):
                self._log(LinkChanged(node, "up"))
                if not self._knows_leader():
                    self._links.send(node, self._build_heartbeat())

    def _handle_control_message(self, node: str, message: Any) -> None:
        match message:
            case Grant():
                self._apply_grant(node, message)
            case NotLeader(leader=leader):
                self._follow_redirect(node, leader)
            case UpstreamsJudged(judged=judged):
                self._on_judged(judged)
            case (
                ConfigurationSent()
                | DeltaSent()
                | TableSent()
                | TableDelta()
                | ListingSent()
                | ListingDelta()
            ):
                self._has_news |= self._received.apply(message)
            case LedgerReply():
                self._ledger_requests.deliver(message)

    def _follow_redirect(self, node: str, leader: str) -> None:
        """Open a link to the leader that a node names.

        It becomes the known leader only if that node was the known leader.
        """
        if self._leader == node:
            self._leader = leader
        if leader and self._has_addressed_nodes:
            self._links.set_peers({*self._links.link_by_name, leader})

    def _apply_grant(self, node: str, grant: Grant) -> None:
        """Process a grant; extend the lease if this entry is up to date.

        The lease holds only for the revision and the table that the grant
        names, so an entry with older ones does not extend it.
        """
        self._leader = node
        self._granted_at = self._clock()
        if self._usage is not None:
            self._has_news |= self._usage.confirm(
                grant.sent_at, grant.usage_confirmed
            )
        is_fresh = self._granted_at - grant.sent_at <= LOAN_EXPIRY_S
        self._on_lent(grant.lent if is_fresh else without_copies(grant.lent))
        if self._containment is not None:
            self._has_news |= self._containment.receive(grant)
        if grant.controls and self._has_addressed_nodes:
            self._links.set_peers({*grant.controls, *self._settings.controls})
        is_behind = (
            self._received.configuration.revision < grant.revision
            or self._received.table.epoch < grant.table_epoch
        )
        if is_behind:
            return
        self._lease_until = max(
            self._lease_until, grant.sent_at + grant.lease_s
        )
        self._on_lease(self._lease_until)

    def reload(self, settings: Settings) -> None:
        """Apply changed settings: link to the control nodes they name."""
        self._settings = settings
        self._links.set_peers({*self._links.link_by_name, *settings.controls})

    def _send_ledger_request(self, pending: PendingLedgerRequest) -> None:
        """Send a request to the leader, or to all nodes if it is not known."""
        pending.sent_at = self._clock()
        if self._leader in self._links.link_by_name:
            self._links.send(self._leader, pending.submission.request)
        else:
            self._links.send_to_all(pending.submission.request)
