"""What a control node sends to an entry that lacks something."""

from dataclasses import dataclass, field

from berylspool.common.event import MembersChanged
from berylspool.connection.control_message import (
    ConfigurationSent,
    DeltaSent,
    Grant,
    Heartbeat,
    ListingDelta,
    ListingSent,
    TableDelta,
    TableSent,
)
from berylspool.connection.message import MemberTable
from berylspool.process.control.membership import Heard, difference
from berylspool.process.group.change import ControlState
from berylspool.version import listing as listings
from berylspool.version.configuration import Configuration
from berylspool.version.listing import ListedUpstream, Listing

__all__ = [
    "Distribution",
    "answers_to",
    "busy_entries",
    "configuration_since",
    "heard",
    "keep_busy",
    "keep_convicted",
    "keep_delta",
    "keep_listing",
    "keep_table",
    "members_changed",
    "table_since",
]

Answer = (
    ConfigurationSent | DeltaSent | TableDelta | TableSent | ListingSent | Grant
)

KEPT_DELTAS = 500
KEPT_TABLES = 50
# Entries name what they have convicted in each heartbeat.
FORGET_S = 10.0
# Callers that went on to another entry are counted at both for so long. A
# leader that has not heard for as long does not know who is busy.
BUSY_KEPT_S = 5.0
BUSY_STEPS = 4


@dataclass(slots=True)
class Distribution:
    """Newest changes, so that most entries need no whole copy.

    Attributes:
        deltas: Changes of the configuration, oldest first.
        table_by_epoch: Tables of members.
        listing: Newest listing of upstreams; serial 0 before the first.
        convicted_at: When entries last named a fingerprint as convicted,
            monotonic seconds.
        busy_at: When each entry last said that it has requests, likewise.
        since: Moment of the first heartbeat, likewise.
    """

    deltas: list[DeltaSent] = field(default_factory=list)
    table_by_epoch: dict[int, MemberTable] = field(default_factory=dict)
    listing: Listing = Listing()
    convicted_at: dict[str, float] = field(default_factory=dict)
    busy_at: dict[str, float] = field(default_factory=dict)
    since: float | None = None


def keep_delta(distribution: Distribution, delta: DeltaSent) -> None:
    """Keep a change of the configuration."""
    distribution.deltas.append(delta)
    del distribution.deltas[:-KEPT_DELTAS]


def keep_table(distribution: Distribution, table: MemberTable) -> None:
    """Keep a table of members."""
    tables = distribution.table_by_epoch
    tables[table.epoch] = table
    if len(tables) > KEPT_TABLES:
        del tables[min(tables)]


def keep_listing(
    distribution: Distribution,
    epoch: int,
    read: dict[str, ListedUpstream],
) -> ListingSent | ListingDelta | None:
    """Keep a listing that was read.

    Args:
        distribution: What is kept.
        epoch: Term of the leader that read it.
        read: Listed upstreams by id.

    Returns:
        What entries must be told, or None if nothing has changed.
    """
    before = distribution.listing
    if before.epoch != epoch or not before.serial:
        distribution.listing = Listing(epoch, 1, read)
        return ListingSent(distribution.listing)
    changed, gone = listings.difference(before.listed_by_id, read)
    if not changed and not gone:
        return None
    serial = before.serial + 1
    distribution.listing = Listing(epoch, serial, read)
    return ListingDelta(epoch, serial, changed, gone)


def members_changed(table: MemberTable) -> MembersChanged:
    """Return the log event of a table of members."""
    names = ",".join(sorted(table.member_by_name))
    return MembersChanged(table.epoch, names, table.is_active)


def configuration_since(
    distribution: Distribution, revision: int, newest: Configuration
) -> list[DeltaSent] | list[ConfigurationSent]:
    """Return the changes since a revision, or the whole configuration.

    Args:
        distribution: Changes that are kept.
        revision: Revision that the entry has.
        newest: Newest committed configuration.
    """
    missing = [
        delta
        for delta in distribution.deltas
        if delta.base_revision >= revision
    ]
    size = sum(len(delta.operations) for delta in missing)
    # Each published plan replaces the one before, so the newest is enough.
    is_small = not newest.document.number or size <= len(newest.document.body)
    if missing and missing[0].base_revision == revision and is_small:
        return missing
    return [ConfigurationSent(newest)]


def table_since(
    distribution: Distribution, epoch: int, newest: MemberTable
) -> TableDelta | TableSent:
    """Return a table as a change of the one an entry has, or whole."""
    base = distribution.table_by_epoch.get(epoch)
    if base is None:
        return TableSent(newest)
    joined, left = difference(base, newest)
    return TableDelta(epoch, newest.epoch, newest.is_active, joined, left)


def keep_convicted(
    distribution: Distribution, convicted: tuple[str, ...], now: float
) -> None:
    """Keep what an entry has convicted for as long as any entry names it."""
    kept = distribution.convicted_at
    kept.update((fingerprint, now) for fingerprint in convicted)
    for fingerprint in [f for f, at in kept.items() if now - at > FORGET_S]:
        del kept[fingerprint]


def keep_busy(distribution: Distribution, beat: Heartbeat, now: float) -> None:
    """Keep which entries have requests."""
    if distribution.since is None:
        distribution.since = now
    kept = distribution.busy_at
    if beat.is_busy:
        kept[beat.member.name] = now
    for name in [n for n, at in kept.items() if now - at > BUSY_KEPT_S]:
        del kept[name]


def busy_entries(distribution: Distribution, now: float) -> int:
    """Return how many entries have requests; 0 if that is not known yet.

    The number is rounded up, so that entries change their shares seldom.

    Examples:
        >>> state = Distribution(busy_at={"a": 9.0, "b": 9.0}, since=0.0)
        >>> busy_entries(state, 3.0), busy_entries(state, 9.0)
        (0, 2)
    """
    if distribution.since is None or now - distribution.since < BUSY_KEPT_S:
        return 0
    count = 1
    while count < len(distribution.busy_at):
        count += 1 + count // BUSY_STEPS
    return count


def heard(beat: Heartbeat) -> Heard:
    """Return what the membership needs of a heartbeat."""
    return Heard(
        beat.member,
        beat.boot,
        beat.revision,
        beat.drained_epoch,
        beat.is_leaving,
    )


def answers_to(
    distribution: Distribution,
    beat: Heartbeat,
    state: ControlState,
    lease_s: float,
    controls: tuple[str, ...] = (),
    busy: int = 0,
) -> list[Answer]:
    """Return what a leader with a quorum answers to a heartbeat.

    Args:
        distribution: Changes that are kept.
        beat: Heartbeat of an entry.
        state: Replicated state.
        lease_s: Length of a lease in seconds.
        controls: Names of the control nodes that vote.
        busy: Entries that have requests; 0 if not known.

    Returns:
        What the entry lacks, and then the lease.
    """
    newest = state.configuration
    table = state.proposed or state.active
    answers: list[Answer] = []
    if beat.revision != newest.revision:
        answers += configuration_since(distribution, beat.revision, newest)
    if beat.table_epoch != table.epoch:
        answers.append(table_since(distribution, beat.table_epoch, table))
    listing = distribution.listing
    held = (beat.listing_epoch, beat.listing_serial)
    if listing.serial and held != (listing.epoch, listing.serial):
        answers.append(ListingSent(listing))
    grant = Grant(
        beat.sent_at,
        lease_s,
        newest.revision,
        table.epoch,
        controls,
        tuple(distribution.convicted_at),
        busy,
    )
    return [*answers, grant]
