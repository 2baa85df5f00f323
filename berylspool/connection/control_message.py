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
from berylspool.version.containment.evidence import EvidenceReport, Holds
from berylspool.version.duty.counting import WindowUsage
from berylspool.version.listing import ListedUpstream, Listing
from berylspool.version.upstream.slow_upstreams import (
    SlownessJudgement,
    SlownessReport,
)

__all__ = [
    "Addressed",
    "Announce",
    "ConfigurationSent",
    "DeltaSent",
    "ExtraCopies",
    "FoundingQuery",
    "FoundingReply",
    "Grant",
    "Heartbeat",
    "ListingDelta",
    "ListingSent",
    "NotLeader",
    "TableDelta",
    "TableSent",
    "UpstreamsJudged",
    "Tally",
    "make_control_codec",
]


@dataclass(frozen=True, slots=True)
class Tally:
    """Reply statistics of one entry for one version of a route.

    They cover the time since the previous tally of that entry.

    Attributes:
        route: Name of the route.
        version: Index version.
        answered: Number of complete answers of upstreams.
        failed: Number of errors, incomplete answers and lost connections.
        latency: Encoded histogram of response times in microseconds.
    """

    route: str
    version: str
    answered: int
    failed: int
    latency: bytes


@dataclass(frozen=True, slots=True)
class ExtraCopies:
    """Copies beyond the first that a pool of an entry wants or is lent.

    Attributes:
        service: Name of the service.
        version: Index version of the pool.
        copies: Number of copies.
    """

    service: str
    version: str
    copies: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic report of an entry to the control nodes.

    An entry that knows the leader sends it to the leader only, and otherwise
    to every control node.

    Attributes:
        member: The entry.
        boot: Unique for each start of the entry's process.
        revision: Revision of the configuration in force at the entry.
        drained_epoch: Epoch of the latest proposed member table for which
            the entry has drained the services that it loses.
        is_leaving: Whether the entry is shutting down.
        table_epoch: Epoch of the entry's latest member table, active or
            proposed.
        sent_at: Monotonic time of the entry in seconds; the grant echoes it.
        tallies: Reply statistics since the previous heartbeat.
        listing_epoch: Epoch of the entry's listing of upstreams.
        listing_serial: Serial of that listing.
        convicted: Fingerprints of requests that the entry no longer sends
            because they crash upstreams; empty if it reports `evidence`.
        wanted: Copies that pools of the entry ask for.
        accepts_packed: Whether the entry accepts `Packed` messages, and
            judgements on upstreams.
        observed: What the entry has observed of upstreams.
        usage: Counts of requests that the leader has not confirmed.
        known_holds: Serial of the holds that the entry has, 0 without any;
            None if it does not accept them.
        evidence: Evidence on requests that the leader has not confirmed.
        trials_wanted: Fingerprints of held requests that wait at the entry.
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
    wanted: tuple[ExtraCopies, ...] = ()
    accepts_packed: bool = False
    observed: tuple[SlownessReport, ...] = ()
    usage: tuple[WindowUsage, ...] = ()
    known_holds: int | None = None
    evidence: tuple[EvidenceReport, ...] = ()
    trials_wanted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """Lease on the configuration; only the leader grants it.

    Attributes:
        sent_at: Time `sent_at` of the heartbeat; the lease starts then.
        lease_s: Duration of the lease in seconds.
        revision: Latest committed revision.
        table_epoch: Epoch of the latest member table, active or proposed.
        controls: Names of the voting control nodes.
        convicted: Fingerprints of held requests, for entries that do not
            accept `holds`.
        lent: Copies lent for each that the heartbeat asked for, possibly
            fewer.
        usage_confirmed: Term of the leader, which has stored the `usage` of the
            heartbeat; 0 if it collects none.
        holds: Requests that the leader holds; it has the `evidence` of the
            heartbeat.
        trials: Fingerprints of held requests of which the entry may send one
            copy.
    """

    sent_at: float
    lease_s: float
    revision: int
    table_epoch: int
    controls: tuple[str, ...] = ()
    convicted: tuple[str, ...] = ()
    lent: tuple[ExtraCopies, ...] = ()
    usage_confirmed: int = 0
    holds: Holds = Holds()
    trials: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListingSent:
    """A complete listing of upstreams."""

    listing: Listing


@dataclass(frozen=True, slots=True)
class ListingDelta:
    """The difference between a listing of upstreams and its predecessor.

    Attributes:
        epoch: Epoch of both listings.
        serial: Serial of the new listing; its predecessor has the serial
            one lower.
        changed: Upstreams that were added or changed.
        gone: Ids of upstreams that are no longer listed.
    """

    epoch: int
    serial: int
    changed: tuple[ListedUpstream, ...]
    gone: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UpstreamsJudged:
    """What all entries together have found of upstreams.

    Attributes:
        judged: New and renewed judgements.
    """

    judged: tuple[SlownessJudgement, ...]


@dataclass(frozen=True, slots=True)
class TableSent:
    """A complete member table."""

    table: MemberTable


@dataclass(frozen=True, slots=True)
class TableDelta:
    """The difference between a member table and an earlier one.

    Attributes:
        base_epoch: Epoch of the earlier table.
        epoch: Epoch of the new table.
        is_active: Whether new owners may admit requests.
        joined: Members that were added or changed.
        left: Names of members that were removed.
    """

    base_epoch: int
    epoch: int
    is_active: bool
    joined: tuple[Member, ...]
    left: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The control node is not the leader.

    Attributes:
        leader: Name of the node that may be the leader; empty if unknown.
        request_id: Id of the ledger request that was not accepted; empty if
            the message answers no ledger request.
    """

    leader: str
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class ConfigurationSent:
    """A complete configuration."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class DeltaSent:
    """One change of the configuration.

    Attributes:
        base_revision: Revision that the change applies to.
        operations: Encoded operations.
        at: Time of the change, in seconds since the Unix epoch.
    """

    base_revision: int
    operations: bytes
    at: float


@dataclass(frozen=True, slots=True)
class Addressed:
    """A consensus message to one control node.

    Attributes:
        sender: Id of the sending node.
        receiver: Id of the receiving node; a node with another id ignores
            the message.
        body: Encoded message.
    """

    sender: str
    receiver: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Announce:
    """The identity of a node that is not in any consensus group.

    Attributes:
        name: Name of the node.
        id: Identity stored on its disk.
    """

    name: str
    id: str


@dataclass(frozen=True, slots=True)
class FoundingQuery:
    """Query of a node with an empty disk: has it made promises before?

    A promise is a vote or an acknowledgement of consensus, which binds the
    node even after the loss of its disk.

    Attributes:
        id: Id of the node.
    """

    id: str


@dataclass(frozen=True, slots=True)
class FoundingReply:
    """Answer to a `FoundingQuery`.

    Attributes:
        id: Id in the query.
        has_promised: Whether a node of that id has made promises.
        replier: Name of the node that sends the reply.
    """

    id: str
    has_promised: bool
    replier: str


def make_control_codec() -> Codec:
    """Return a codec for links to control nodes."""
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
            UpstreamsJudged,
        ]
    )
