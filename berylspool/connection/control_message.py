"""Messages between entries and control nodes, and between control nodes."""

from dataclasses import dataclass

from berylspool.common.frame import Codec
from berylspool.connection.message import (
    Hello,
    Member,
    MemberTable,
    Ping,
    Pong,
)
from berylspool.request.ledger import Intend, LedgerReply, Settle
from berylspool.version.configuration import Configuration
from berylspool.version.listing import ListedUpstream, Listing

__all__ = [
    "Addressed",
    "Announce",
    "ConfigurationSent",
    "DeltaSent",
    "FoundingQuery",
    "FoundingReply",
    "Grant",
    "Heartbeat",
    "ListingDelta",
    "ListingSent",
    "NotLeader",
    "TableDelta",
    "TableSent",
    "Tally",
    "control_codec",
]


@dataclass(frozen=True, slots=True)
class Tally:
    """What one entry saw of one version of one route since its last tally.

    Attributes:
        route: Name of the route.
        version: Index version.
        answered: Whole answers of upstreams.
        failed: Errors, thin answers and lost connections.
        latency: Encoded histogram of answer times in microseconds.
    """

    route: str
    version: str
    answered: int
    failed: int
    latency: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent by every entry to every control node.

    Attributes:
        member: The entry.
        boot: Unique for each start of its process.
        revision: Configuration in force there.
        drained_epoch: Newest proposed table that it has drained for.
        is_leaving: Whether it shuts down.
        table_epoch: Newest table that it has, active or proposed.
        sent_at: Its monotonic time, echoed by the grant.
        tallies: What it saw since the last heartbeat.
        listing_epoch: Epoch of the listing of upstreams that it has.
        listing_serial: Serial of that listing.
        convicted: Fingerprints of requests that it does not send any more.
        is_busy: Whether it has had requests lately.
    """

    member: Member
    boot: str
    revision: int
    drained_epoch: int
    is_leaving: bool
    table_epoch: int
    sent_at: float
    tallies: tuple[Tally, ...] = ()
    listing_epoch: int = 0
    listing_serial: int = 0
    convicted: tuple[str, ...] = ()
    is_busy: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Lease on the configuration, from the leader only.

    Attributes:
        sent_at: Echo of the heartbeat; the lease runs from there.
        lease_s: Length of the lease in seconds.
        revision: Newest committed revision.
        table_epoch: Newest table, active or proposed.
        controls: Names of the control nodes that vote.
        convicted: Fingerprints that some entry has convicted.
        busy: Entries that have had requests lately; 0 if not known yet.
    """

    sent_at: float
    lease_s: float
    revision: int
    table_epoch: int
    controls: tuple[str, ...] = ()
    convicted: tuple[str, ...] = ()
    busy: int = 0


@dataclass(frozen=True, slots=True)
class ListingSent:
    """A whole listing of upstreams."""

    listing: Listing


@dataclass(frozen=True, slots=True)
class ListingDelta:
    """A listing as a change of the one before it.

    Attributes:
        epoch: Epoch of both.
        serial: Serial of the new one; the base has the serial before it.
        changed: Upstreams that are new or have changed.
        gone: Ids of upstreams that are no longer listed.
    """

    epoch: int
    serial: int
    changed: tuple[ListedUpstream, ...]
    gone: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TableSent:
    """A whole table of members."""

    table: MemberTable


@dataclass(frozen=True, slots=True)
class TableDelta:
    """A table of members as a change of an earlier one.

    Attributes:
        base_epoch: Table that it changes.
        epoch: Number of the new table.
        is_active: Whether new owners may admit.
        joined: Members that are new or have changed.
        left: Names of members that are gone.
    """

    base_epoch: int
    epoch: int
    is_active: bool
    joined: tuple[Member, ...]
    left: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The node does not lead.

    Attributes:
        leader: Name of the node that may, or empty.
        request_id: Ledger request that was not taken, or empty.
    """

    leader: str
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class ConfigurationSent:
    """A whole configuration."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class DeltaSent:
    """One change of the configuration.

    Attributes:
        base_revision: Revision that it changes.
        operations: Encoded operations.
        at: Time of the change, in seconds since the epoch.
    """

    base_revision: int
    operations: bytes
    at: float


@dataclass(frozen=True, slots=True)
class Addressed:
    """A consensus message for one node id.

    Attributes:
        sender: Id of the sending node.
        receiver: Id of the node it is for; another one ignores it.
        body: Encoded message.
    """

    sender: str
    receiver: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Announce:
    """A node that is in no group says which identity its disk has."""

    name: str
    id: str


@dataclass(frozen=True, slots=True)
class FoundingQuery:
    """A node with an empty disk asks whether it made promises before."""

    id: str


@dataclass(frozen=True, slots=True)
class FoundingReply:
    """Answer to a `FoundingQuery`.

    Attributes:
        id: Id that was asked about.
        has_promised: Whether a node of that id made promises.
        replier: Name of the node that answers.
    """

    id: str
    has_promised: bool
    replier: str


def control_codec() -> Codec:
    """Return the codec of links to control nodes."""
    return Codec(
        [
            Hello,
            Ping,
            Pong,
            Heartbeat,
            Grant,
            TableSent,
            TableDelta,
            ListingSent,
            ListingDelta,
            NotLeader,
            ConfigurationSent,
            DeltaSent,
            Intend,
            Settle,
            LedgerReply,
            Addressed,
            Announce,
            FoundingQuery,
            FoundingReply,
        ]
    )
