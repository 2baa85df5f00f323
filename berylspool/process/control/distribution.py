"""Updates that a control node sends to entries that are out of date."""

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
# Each heartbeat repeats the fingerprints that the entry has convicted, so one
# that no entry has repeated for this long is convicted at none of them.
FORGET_S = 10.0
# An entry counts as busy for this long after the last heartbeat that said so;
# callers that move to another entry are counted at both meanwhile. A leader
# that has received heartbeats for a shorter time than this does not know yet
# which entries are busy.
BUSY_KEPT_S = 5.0
BUSY_STEPS = 4


@dataclass(slots=True)
class Distribution:
    """Recent changes, and what entries have reported in heartbeats.

    Most entries are only a few changes behind, so they are sent the changes
    that they lack rather than a whole copy.

    Attributes:
        deltas: Recent changes of the configuration, oldest first.
        table_by_epoch: Recent tables of members.
        listing: Newest listing of upstreams; serial 0 before the first.
        convicted_at: Time at which an entry last reported each fingerprint
            as convicted, in monotonic seconds.
        busy_at: Time at which each entry last reported that it has requests,
            in monotonic seconds.
        since: Time of the first heartbeat that this node received as the
            leader, in monotonic seconds; None if it does not lead.
    """

    deltas: list[DeltaSent] = field(default_factory=list)
    table_by_epoch: dict[int, MemberTable] = field(default_factory=dict)
    listing: Listing = Listing()
    convicted_at: dict[str, float] = field(default_factory=dict)
    busy_at: dict[str, float] = field(default_factory=dict)
    since: float | None = None


def keep_delta(distribution: Distribution, delta: DeltaSent) -> None:
    """Add a change of the configuration, and drop the oldest over the limit."""
    distribution.deltas.append(delta)
    del distribution.deltas[:-KEPT_DELTAS]


def keep_table(distribution: Distribution, table: MemberTable) -> None:
    """Add a table of members, and drop the oldest over the limit."""
    tables = distribution.table_by_epoch
    tables[table.epoch] = table
    if len(tables) > KEPT_TABLES:
        del tables[min(tables)]


def keep_listing(
    distribution: Distribution,
    epoch: int,
    read: dict[str, ListedUpstream],
) -> ListingSent | ListingDelta | None:
    """Replace the listing by one that was read from the platform.

    Args:
        distribution: State to change in place.
        epoch: Term of the leader that read the listing.
        read: Listed upstreams by id.

    Returns:
        The update to send to all entries, or None if nothing has changed.
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
    """Return the log event for a table of members that was committed."""
    names = ",".join(sorted(table.member_by_name))
    return MembersChanged(table.epoch, names, table.is_active)


def configuration_since(
    distribution: Distribution, revision: int, newest: Configuration
) -> list[DeltaSent] | list[ConfigurationSent]:
    """Return what brings an entry from a revision to the newest one.

    Args:
        distribution: Recent changes.
        revision: Revision that the entry has.
        newest: Newest committed configuration.

    Returns:
        The changes since the revision, or the whole configuration if these
        are no longer kept or are larger.
    """
    missing = [
        delta
        for delta in distribution.deltas
        if delta.base_revision >= revision
    ]
    size = sum(len(delta.operations) for delta in missing)
    # Each published plan replaces the one before. If the changes are larger
    # than the newest plan, the configuration that holds only that one is sent.
    is_small = not newest.document.number or size <= len(newest.document.body)
    if missing and missing[0].base_revision == revision and is_small:
        return missing
    return [ConfigurationSent(newest)]


def table_since(
    distribution: Distribution, epoch: int, newest: MemberTable
) -> TableDelta | TableSent:
    """Return what brings an entry from a table to the newest one.

    Args:
        distribution: Recent tables.
        epoch: Epoch of the table that the entry has.
        newest: Newest table.

    Returns:
        The difference, or the whole table if the entry's is no longer kept.
    """
    base = distribution.table_by_epoch.get(epoch)
    if base is None:
        return TableSent(newest)
    joined, left = difference(base, newest)
    return TableDelta(epoch, newest.epoch, newest.is_active, joined, left)


def keep_convicted(
    distribution: Distribution, convicted: tuple[str, ...], now: float
) -> None:
    """Record an entry's convicted fingerprints, and drop expired ones."""
    kept = distribution.convicted_at
    kept.update((fingerprint, now) for fingerprint in convicted)
    for fingerprint in [f for f, at in kept.items() if now - at > FORGET_S]:
        del kept[fingerprint]


def keep_busy(distribution: Distribution, beat: Heartbeat, now: float) -> None:
    """Record whether an entry has requests, and drop expired records."""
    if distribution.since is None:
        distribution.since = now
    kept = distribution.busy_at
    if beat.is_busy:
        kept[beat.member.name] = now
    for name in [n for n, at in kept.items() if now - at > BUSY_KEPT_S]:
        del kept[name]


def busy_entries(distribution: Distribution, now: float) -> int:
    """Return how many entries have requests; 0 if that is not known yet.

    The number is rounded up in steps of a quarter, so that entries seldom
    have to change their shares.

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
    """Return the membership event for a heartbeat."""
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
    """Return the answers of a leader with a quorum to a heartbeat.

    Args:
        distribution: Recent changes and reports.
        beat: Heartbeat of an entry.
        state: Replicated state.
        lease_s: Length of a lease in seconds.
        controls: Names of the control nodes that vote.
        busy: Number of entries that have requests; 0 if not known.

    Returns:
        The updates that the entry lacks, followed by the lease.
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
