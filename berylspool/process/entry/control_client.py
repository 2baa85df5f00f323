"""The control client task: heartbeats, lease, configuration and ledger."""

from collections.abc import Callable
from dataclasses import dataclass
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
    Grant,
    Heartbeat,
    ListingDelta,
    ListingSent,
    NotLeader,
    TableDelta,
    TableSent,
    Tally,
)
from berylspool.connection.message import Member, MemberTable
from berylspool.process.control.membership import changed_table
from berylspool.process.control_links import control_links
from berylspool.process.settings import Settings
from berylspool.request.ledger import (
    LedgerAsked,
    LedgerDecision,
    LedgerReply,
    Settle,
)
from berylspool.version.configuration import Configuration
from berylspool.version.listing import Listing, changed_listing
from berylspool.version.operation import (
    operation_codec,
)
from berylspool.version.revision import apply_all

__all__ = ["ControlClient", "Drained", "Leave"]

HEARTBEAT_S = 0.25
# Four heartbeats; a leader that is silent for longer may have been replaced.
LEADER_KNOWN_S = 1.0
# Heartbeat interval without a known leader: as often as control nodes vote.
SEARCH_S = 0.1
RESEND_S = 0.3
LEDGER_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Drained:
    """The pools of the services that a table moves have drained here.

    Attributes:
        epoch: Epoch of the table.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class Leave:
    """The process shuts down and hands over its services."""


@dataclass(frozen=True, slots=True)
class From:
    """A message from a control node."""

    node: str
    message: Any


@dataclass(frozen=True, slots=True)
class Linked:
    """The link to a control node has opened."""

    node: str


@dataclass(slots=True)
class Asked:
    """A ledger request that has no reply yet.

    Attributes:
        asked: The request and the inbox that receives the reply.
        sent_at: Time of the newest transmission, in monotonic seconds.
        until: Time after which it is no longer sent, in monotonic seconds.
    """

    asked: LedgerAsked
    sent_at: float
    until: float


class ControlClient:
    """Task that owns the links to all control nodes.

    Args:
        member: Name and peer address of this entry.
        boot: Identifier that is unique to each start of the process.
        settings: Settings of the deployment.
        clock: Returns the monotonic time in seconds.
        log: Called with each log event.
        applied: Called with each configuration that comes into force.
        leased: Called with the expiry of the lease, in monotonic seconds.
        seated: Called with each newer table of members.
        tallies: Returns the reply statistics since the last call.
        listed: Called with each newer listing of upstreams.
        convicted: Returns the fingerprints of requests that this entry no
            longer sends.
        adopted: Called with the fingerprints that any entry has convicted.
        is_busy: Returns whether the entry has had requests recently.
        shared: Called with the number of entries that have had requests
            recently; 0 if not known.
        peer_port: Port of control nodes that are named by their address;
            None if the settings name all of them.
    """

    def __init__(
        self,
        member: Member,
        boot: str,
        settings: Settings,
        *,
        clock: Callable[[], float],
        log: Callable[[Event], None],
        applied: Callable[[Configuration], None],
        leased: Callable[[float], None],
        seated: Callable[[MemberTable], None],
        tallies: Callable[[], tuple[Tally, ...]],
        listed: Callable[[Listing], None] = lambda listing: None,
        convicted: Callable[[], tuple[str, ...]] = lambda: (),
        adopted: Callable[[tuple[str, ...]], None] = lambda found: None,
        is_busy: Callable[[], bool] = lambda: False,
        shared: Callable[[int], None] = lambda busy: None,
        peer_port: int | None = None,
    ) -> None:
        self.inbox: Mailbox[Any] = Mailbox()
        self._member = member
        self._boot = boot
        self._settings = settings
        self._clock = clock
        self._log = log
        self._applied = applied
        self._leased = leased
        self._seated = seated
        self._tallies = tallies
        self._listed = listed
        self._convicted = convicted
        self._adopted = adopted
        self._is_busy = is_busy
        self._shared = shared
        self._listing = Listing()
        self._granted_at = float("-inf")
        self._is_addressed = peer_port is not None
        self._operations = operation_codec()
        self._configuration = Configuration()
        self._table = MemberTable()
        self._drained_epoch = 0
        self._is_leaving = False
        self._is_held = False
        self._lease_until = float("-inf")
        self._leader = ""
        self._asked_by_key: dict[tuple[str, bool], Asked] = {}
        self._links = control_links(
            member.name,
            settings,
            peer_port,
            sink=lambda name, message: self.inbox.put(From(name, message)),
            up=lambda name: self.inbox.put(Linked(name)),
        )

    async def run(self) -> None:
        """Serve the inbox until the task is cancelled."""
        self._links.start()
        beat_at = self._clock()
        try:
            while True:
                pause_s = max(0.0, beat_at - self._clock())
                for message in await self.inbox.take(pause_s):
                    self._handle(message)
                if self._clock() >= beat_at:
                    is_known = self._knows_leader()
                    pause_s = HEARTBEAT_S if is_known else SEARCH_S
                    beat_at = self._clock() + pause_s
                    self._beat()
                self._watch_lease()
        finally:
            self._links.close()

    def grant_age_s(self) -> float:
        """Return the time since the newest grant of a leader, in seconds."""
        return self._clock() - self._granted_at

    def _knows_leader(self) -> bool:
        return self._clock() - self._granted_at < LEADER_KNOWN_S

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._member,
            self._boot,
            self._configuration.revision,
            self._drained_epoch,
            self._is_leaving,
            self._table.epoch,
            self._clock(),
            self._tallies(),
            self._listing.epoch,
            self._listing.serial,
            self._convicted(),
            self._is_busy(),
        )

    def _beat(self) -> None:
        now = self._clock()
        beat = self._heartbeat()
        if self._knows_leader():
            self._links.put(self._leader, beat)
        else:
            self._links.put_all(beat)
        for key, asked in list(self._asked_by_key.items()):
            if now >= asked.until:
                del self._asked_by_key[key]
            elif now - asked.sent_at >= RESEND_S:
                self._send(asked)

    def _watch_lease(self) -> None:
        is_held = self._clock() < self._lease_until
        if is_held != self._is_held:
            self._is_held = is_held
            revision = self._configuration.revision
            self._log(LeaseChanged(is_held, revision))

    def _handle(self, message: Any) -> None:
        match message:
            case Drained(epoch=epoch):
                self._drained_epoch = max(self._drained_epoch, epoch)
                self._beat()
            case Leave():
                self._is_leaving = True
                self._beat()
            case LedgerAsked(request=request):
                now = self._clock()
                asked = Asked(message, now, now + LEDGER_TIMEOUT_S)
                key = (request.request_id, isinstance(request, Settle))
                self._asked_by_key[key] = asked
                self._send(asked)
            case From(node=node, message=inner):
                self._hear(node, inner)
            case Linked(node=node):
                self._log(LinkChanged(node, "up"))
                if not self._knows_leader():
                    self._links.put(node, self._heartbeat())

    def _hear(self, node: str, message: Any) -> None:
        match message:
            case Grant():
                self._grant(node, message)
            case NotLeader(leader=leader):
                self._refer(node, leader)
            case TableSent(table=table):
                self._seat(table)
            case TableDelta(base_epoch=base) if base == self._table.epoch:
                self._seat(
                    changed_table(
                        self._table,
                        message.epoch,
                        message.is_active,
                        message.joined,
                        message.left,
                    )
                )
            case ConfigurationSent(configuration=configuration):
                self._apply(configuration)
            case DeltaSent():
                self._apply_delta(message)
            case ListingSent(listing=listing):
                self._take_listing(listing)
            case ListingDelta(epoch=epoch, serial=serial) if (
                epoch,
                serial - 1,
            ) == (self._listing.epoch, self._listing.serial):
                self._take_listing(
                    changed_listing(
                        self._listing,
                        epoch,
                        serial,
                        message.changed,
                        message.gone,
                    )
                )
            case LedgerReply(request_id=request_id, decision=decision):
                is_settle = decision is LedgerDecision.SETTLED
                asked = self._asked_by_key.pop((request_id, is_settle), None)
                if asked is not None:
                    asked.asked.inbox.put(message)

    def _refer(self, node: str, leader: str) -> None:
        """Follow a node's redirect to the leader, until a leader grants."""
        if self._leader == node:
            self._leader = leader
        if leader and self._is_addressed:
            self._links.keep({*self._links.link_by_name, leader})

    def _grant(self, node: str, grant: Grant) -> None:
        """Process a leader's grant; extend the lease if this entry is current.

        The lease holds only for the revision and the table that the grant
        names, so an entry with older ones does not extend it.
        """
        self._leader = node
        self._granted_at = self._clock()
        self._shared(grant.busy)
        if grant.convicted:
            self._adopted(grant.convicted)
        if grant.controls and self._is_addressed:
            self._links.keep({*grant.controls, *self._settings.controls})
        is_behind = (
            self._configuration.revision < grant.revision
            or self._table.epoch < grant.table_epoch
        )
        if is_behind:
            return
        self._lease_until = max(
            self._lease_until, grant.sent_at + grant.lease_s
        )
        self._leased(self._lease_until)

    def reload(self, settings: Settings) -> None:
        """Apply changed settings: link to the control nodes they name."""
        self._settings = settings
        self._links.keep({*self._links.link_by_name, *settings.controls})

    def _take_listing(self, listing: Listing) -> None:
        held = (self._listing.epoch, self._listing.serial)
        if (listing.epoch, listing.serial) <= held:
            return
        self._listing = listing
        self._log(
            ListingApplied(
                listing.epoch, listing.serial, len(listing.listed_by_id)
            )
        )
        self._listed(listing)

    def _seat(self, table: MemberTable) -> None:
        if table.epoch > self._table.epoch:
            self._table = table
            self._seated(table)

    def _apply(self, configuration: Configuration) -> None:
        if configuration.revision <= self._configuration.revision:
            return
        self._configuration = configuration
        self._applied(configuration)
        self._log(ConfigurationApplied(configuration.revision))
        self._beat()

    def _apply_delta(self, delta: DeltaSent) -> None:
        """Apply a change that is based on the revision in force.

        Any other is ignored: the next heartbeat states the revision, and the
        leader sends what is missing.
        """
        if delta.base_revision != self._configuration.revision:
            return
        operations = tuple(self._operations.decode(delta.operations))
        self._apply(apply_all(self._configuration, operations, delta.at))

    def _send(self, asked: Asked) -> None:
        """Send a ledger request to the leader, or to all nodes if unknown."""
        asked.sent_at = self._clock()
        if self._leader in self._links.link_by_name:
            self._links.put(self._leader, asked.asked.request)
        else:
            self._links.put_all(asked.asked.request)
