"""Updates that a control node sends to entries that are out of date."""

from dataclasses import dataclass, field

from berylspool.common.event import MembersChanged
from berylspool.connection.control_message import (
    ConfigurationSent,
    DeltaSent,
    ExtraCopies,
    Grant,
    Heartbeat,
    ListingDelta,
    ListingSent,
    TableDelta,
    TableSent,
)
from berylspool.connection.message import MemberTable
from berylspool.process.control.membership import (
    HeartbeatReceived,
    table_difference,
)
from berylspool.process.group.state_machine import ControlState
from berylspool.version import listing as listings
from berylspool.version.configuration import Configuration
from berylspool.version.listing import ListedUpstream, Listing

__all__ = [
    "DistributionState",
    "add_delta",
    "add_table",
    "configuration_update",
    "heartbeat_answers",
    "heartbeat_event",
    "members_changed_event",
    "record_convicted",
    "replace_listing",
    "table_update",
]

HeartbeatAnswer = (
    ConfigurationSent | DeltaSent | TableDelta | TableSent | ListingSent | Grant
)

MAX_DELTAS = 500
MAX_TABLES = 50
# Each heartbeat repeats the fingerprints that its entry has convicted, so a
# fingerprint that has not been repeated for this long is convicted nowhere.
CONVICTION_EXPIRY_S = 10.0


@dataclass(slots=True)
class DistributionState:
    """Recent changes, and what entries have reported in heartbeats.

    Most entries are only a few changes behind, so they are sent the changes
    that they lack rather than a whole copy.

    Attributes:
        deltas: Recent changes of the configuration, oldest first.
        table_by_epoch: Recent member tables.
        listing: Newest listing of upstreams; serial 0 before the first.
        convicted_at_by_fingerprint: Time at which an entry last reported the
            fingerprint as convicted, in monotonic seconds.
    """

    deltas: list[DeltaSent] = field(default_factory=list)
    table_by_epoch: dict[int, MemberTable] = field(default_factory=dict)
    listing: Listing = Listing()
    convicted_at_by_fingerprint: dict[str, float] = field(default_factory=dict)


def add_delta(distribution: DistributionState, delta: DeltaSent) -> None:
    """Add a change of the configuration, and drop the oldest over the limit."""
    distribution.deltas.append(delta)
    del distribution.deltas[:-MAX_DELTAS]


def add_table(distribution: DistributionState, table: MemberTable) -> None:
    """Add a member table, and drop the oldest over the limit."""
    tables = distribution.table_by_epoch
    tables[table.epoch] = table
    if len(tables) > MAX_TABLES:
        del tables[min(tables)]


def replace_listing(
    distribution: DistributionState,
    epoch: int,
    listed_by_id: dict[str, ListedUpstream],
) -> ListingSent | ListingDelta | None:
    """Replace the listing by a newer one from the platform.

    Args:
        distribution: State to change in place.
        epoch: Term of the leader that read the listing.
        listed_by_id: Listed upstreams by id.

    Returns:
        The update to send to all entries, or None if nothing has changed.
    """
    before = distribution.listing
    if before.epoch != epoch or not before.serial:
        distribution.listing = Listing(epoch, 1, listed_by_id)
        return ListingSent(distribution.listing)
    changed, removed_ids = listings.listing_difference(
        before.listed_by_id, listed_by_id
    )
    if not changed and not removed_ids:
        return None
    serial = before.serial + 1
    distribution.listing = Listing(epoch, serial, listed_by_id)
    return ListingDelta(epoch, serial, changed, removed_ids)


def members_changed_event(table: MemberTable) -> MembersChanged:
    """Return the log event for a member table that was committed."""
    names = ",".join(sorted(table.member_by_name))
    return MembersChanged(table.epoch, names, table.is_active)


def configuration_update(
    distribution: DistributionState, revision: int, newest: Configuration
) -> list[DeltaSent] | list[ConfigurationSent]:
    """Return the messages that bring an entry to the newest configuration.

    Args:
        distribution: Recent changes.
        revision: Revision that the entry has.
        newest: Newest committed configuration.

    Returns:
        The changes since the revision, or the whole configuration if some of
        them are no longer kept or they are larger.
    """
    missing = [
        delta
        for delta in distribution.deltas
        if delta.base_revision >= revision
    ]
    size = sum(len(delta.operations) for delta in missing)
    # Each published plan replaces the previous one. If the changes are larger
    # than the newest plan, the configuration is sent, which holds only the
    # newest one.
    is_small = not newest.document.number or size <= len(newest.document.body)
    if missing and missing[0].base_revision == revision and is_small:
        return missing
    return [ConfigurationSent(newest)]


def table_update(
    distribution: DistributionState, epoch: int, newest: MemberTable
) -> TableDelta | TableSent:
    """Return the message that brings an entry to the newest member table.

    Args:
        distribution: Recent member tables.
        epoch: Epoch of the table that the entry has.
        newest: Newest table.

    Returns:
        The difference, or the whole table if the entry's is no longer kept.
    """
    base = distribution.table_by_epoch.get(epoch)
    if base is None:
        return TableSent(newest)
    joined, left = table_difference(base, newest)
    return TableDelta(epoch, newest.epoch, newest.is_active, joined, left)


def record_convicted(
    distribution: DistributionState, convicted: tuple[str, ...], now: float
) -> None:
    """Record an entry's convicted fingerprints, and drop expired ones."""
    convicted_at = distribution.convicted_at_by_fingerprint
    convicted_at.update((fingerprint, now) for fingerprint in convicted)
    for fingerprint in [
        f for f, at in convicted_at.items() if now - at > CONVICTION_EXPIRY_S
    ]:
        del convicted_at[fingerprint]


def heartbeat_event(heartbeat: Heartbeat) -> HeartbeatReceived:
    """Return the membership event for a heartbeat."""
    return HeartbeatReceived(
        heartbeat.member,
        heartbeat.boot,
        heartbeat.revision,
        heartbeat.drained_epoch,
        heartbeat.is_leaving,
    )


def heartbeat_answers(
    distribution: DistributionState,
    heartbeat: Heartbeat,
    state: ControlState,
    lease_s: float,
    voter_names: tuple[str, ...] = (),
    lent: tuple[ExtraCopies, ...] = (),
) -> list[HeartbeatAnswer]:
    """Return the answers of a leader with a quorum to a heartbeat.

    Args:
        distribution: Recent changes and reports.
        heartbeat: Heartbeat of an entry.
        state: Replicated state.
        lease_s: Length of a lease in seconds.
        voter_names: Names of the control nodes that vote.
        lent: Copies lent to the entry.

    Returns:
        The updates that the entry lacks, followed by the lease.
    """
    newest = state.configuration
    table = state.proposed or state.active
    answers: list[HeartbeatAnswer] = []
    if heartbeat.revision != newest.revision:
        answers += configuration_update(
            distribution, heartbeat.revision, newest
        )
    if heartbeat.table_epoch != table.epoch:
        answers.append(table_update(distribution, heartbeat.table_epoch, table))
    listing = distribution.listing
    entry_listing = (heartbeat.listing_epoch, heartbeat.listing_serial)
    if listing.serial and entry_listing != (listing.epoch, listing.serial):
        answers.append(ListingSent(listing))
    grant = Grant(
        heartbeat.sent_at,
        lease_s,
        newest.revision,
        table.epoch,
        voter_names,
        tuple(distribution.convicted_at_by_fingerprint),
        lent,
    )
    return [*answers, grant]
