"""The control client task: heartbeats, lease, configuration and ledger."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from berylspool.common.event import (
    ConfigurationApplied,
    Event,
    LeaseChanged,
    LinkChanged,
    ListingApplied,
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
from berylspool.process.control.membership import apply_table_difference
from berylspool.process.control_links import make_control_links
from berylspool.process.entry.control_client_message import (
    ControlLinkOpened,
    ControlMessage,
    Leave,
    Observations,
    PendingLedgerRequest,
    TableDrained,
    without_copies,
)
from berylspool.process.entry.ledger_requests import LedgerRequests
from berylspool.process.entry.usage.usage_counter import UsageCounter
from berylspool.process.settings import Settings
from berylspool.request.ledger import LedgerReply, LedgerRequest
from berylspool.version.configuration import Configuration
from berylspool.version.duty.counting import WindowUsage
from berylspool.version.listing import Listing, apply_difference
from berylspool.version.operation import operation_codec
from berylspool.version.revision import apply_operations
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
        get_convicted: Returns the fingerprints of requests that this entry no
            longer sends.
        on_convicted: Called with the fingerprints that any entry has convicted.
        on_lent: Called with the copies that control has lent.
        on_judged: Called with judgements on upstreams.
        usage: Counts requests of customers; None if this role does not.
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
        get_convicted: Callable[[], tuple[str, ...]] = lambda: (),
        on_convicted: Callable[[tuple[str, ...]], None] = lambda _: None,
        on_lent: Callable[[tuple[ExtraCopies, ...]], None] = lambda lent: None,
        on_judged: Callable[[tuple[SlownessJudgement, ...]], None] = lambda _: (
            None
        ),
        usage: UsageCounter | None = None,
        control_port: int | None = None,
    ) -> None:
        self.inbox: Mailbox[Any] = Mailbox()
        self._member = member
        self._boot_id = boot_id
        self._settings = settings
        self._clock = clock
        self._log = log
        self._on_configuration = on_configuration
        self._on_lease = on_lease
        self._on_table = on_table
        self._take_tallies = take_tallies
        self._on_listing = on_listing
        self._get_convicted = get_convicted
        self._on_convicted = on_convicted
        self._on_lent = on_lent
        self._on_judged = on_judged
        self._usage = usage
        self._observations = Observations()
        self._wanted_by_pool: dict[tuple[str, str], ExtraCopies] = {}
        self._listing = Listing()
        self._granted_at = float("-inf")
        self._has_addressed_nodes = control_port is not None
        self._operation_codec = operation_codec()
        self._configuration = Configuration()
        self._table = MemberTable()
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
                wait_s = max(0.0, next_heartbeat_at - self._clock())
                for message in await self.inbox.take(wait_s):
                    self._handle(message)
                self._ask_for_copies()
                if self._has_news or self._clock() >= next_heartbeat_at:
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

    def _build_heartbeat(self) -> Heartbeat:
        now = self._clock()
        return Heartbeat(
            self._member,
            self._boot_id,
            self._configuration.revision,
            self._drained_epoch,
            self._is_leaving,
            self._table.epoch,
            now,
            self._take_tallies(),
            self._listing.epoch,
            self._listing.serial,
            self._get_convicted(),
            tuple(self._wanted_by_pool.values()),
            accepts_packed=True,
            observed=self._observations.take(now),
            usage=self._take_usage(now),
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
            revision = self._configuration.revision
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
            case TableSent(table=table):
                self._apply_table(table)
            case TableDelta(base_epoch=base) if base == self._table.epoch:
                self._apply_table(
                    apply_table_difference(
                        self._table,
                        message.epoch,
                        message.is_active,
                        message.joined,
                        message.left,
                    )
                )
            case UpstreamsJudged(judged=judged):
                self._on_judged(judged)
            case ConfigurationSent(configuration=configuration):
                self._apply_configuration(configuration)
            case DeltaSent():
                self._apply_delta(message)
            case ListingSent(listing=listing):
                self._apply_listing(listing)
            case ListingDelta(epoch=epoch, serial=serial) if (
                epoch,
                serial - 1,
            ) == (self._listing.epoch, self._listing.serial):
                self._apply_listing(
                    apply_difference(
                        self._listing,
                        epoch,
                        serial,
                        message.changed,
                        message.gone,
                    )
                )
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
        if grant.convicted:
            self._on_convicted(grant.convicted)
        if grant.controls and self._has_addressed_nodes:
            self._links.set_peers({*grant.controls, *self._settings.controls})
        is_behind = (
            self._configuration.revision < grant.revision
            or self._table.epoch < grant.table_epoch
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

    def _apply_listing(self, listing: Listing) -> None:
        current = (self._listing.epoch, self._listing.serial)
        if (listing.epoch, listing.serial) <= current:
            return
        self._listing = listing
        self._log(
            ListingApplied(
                listing.epoch, listing.serial, len(listing.listed_by_id)
            )
        )
        self._on_listing(listing)

    def _apply_table(self, table: MemberTable) -> None:
        if table.epoch > self._table.epoch:
            self._table = table
            self._on_table(table)

    def _apply_configuration(self, configuration: Configuration) -> None:
        if configuration.revision <= self._configuration.revision:
            return
        self._configuration = configuration
        self._on_configuration(configuration)
        self._log(ConfigurationApplied(configuration.revision))
        self._has_news = True

    def _apply_delta(self, delta: DeltaSent) -> None:
        """Apply a change that is based on the revision in force.

        Any other change is ignored: the next heartbeat states the revision, and
        the leader sends the missing changes.
        """
        if delta.base_revision != self._configuration.revision:
            return
        operations = tuple(self._operation_codec.decode(delta.operations))
        self._apply_configuration(
            apply_operations(self._configuration, operations, delta.at)
        )

    def _send_ledger_request(self, pending: PendingLedgerRequest) -> None:
        """Send a request to the leader, or to all nodes if it is not known."""
        pending.sent_at = self._clock()
        if self._leader in self._links.link_by_name:
            self._links.send(self._leader, pending.submission.request)
        else:
            self._links.send_to_all(pending.submission.request)
