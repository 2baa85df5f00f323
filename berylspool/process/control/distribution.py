"""Updates that a control node sends to entries that are out of date."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from berylspool.common.event import MembersChanged
from berylspool.common.frame import Codec, Packed
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
    make_control_codec,
)
from berylspool.connection.message import MemberTable
from berylspool.process.control.membership import (
    HeartbeatReceived,
    table_difference,
)
from berylspool.process.group.state_machine import ControlState
from berylspool.version import listing as listings
from berylspool.version.configuration import Configuration
from berylspool.version.containment.evidence import Holds
from berylspool.version.listing import ListedUpstream, Listing

__all__ = [
    "DistributionState",
    "EntryState",
    "add_delta",
    "add_table",
    "configuration_update",
    "drop_listing_of_other_terms",
    "entry_updates",
    "heartbeat_event",
    "listing_update",
    "make_grant",
    "members_changed_event",
    "newest_state",
    "replace_listing",
    "reported_state",
    "table_update",
]

EntryUpdate = (
    ConfigurationSent
    | DeltaSent
    | TableDelta
    | TableSent
    | ListingSent
    | ListingDelta
)

MAX_DELTAS = 500
MAX_TABLES = 50
MAX_LISTING_DELTAS = 50
NO_HOLDS = Holds()


@dataclass(frozen=True, slots=True)
class EntryState:
    """Versions of the state that an entry holds.

    Attributes:
        revision: Revision of its configuration.
        table_epoch: Epoch of its member table.
        listing: Epoch and serial of its listing.
    """

    revision: int = 0
    table_epoch: int = 0
    listing: tuple[int, int] = (0, 0)


@dataclass(slots=True)
class DistributionState:
    """Recent changes, and what entries have reported in heartbeats.

    Most entries are only a few changes behind, so they are sent the changes
    that they lack rather than a whole copy.

    Attributes:
        deltas: Recent changes of the configuration, oldest first.
        table_by_epoch: Recent member tables.
        listing: Newest listing of upstreams; serial 0 before the first.
        listing_deltas: Recent changes of the listing within its epoch, oldest
            first.
        codec: Codec of the links to entries.
        packed_by_states: Packed updates by the state that they start from and
            the state that they lead to.
    """

    deltas: list[DeltaSent] = field(default_factory=list)
    table_by_epoch: dict[int, MemberTable] = field(default_factory=dict)
    listing: Listing = Listing()
    listing_deltas: list[ListingDelta] = field(default_factory=list)
    codec: Codec = field(default_factory=make_control_codec)
    packed_by_states: dict[tuple[EntryState, EntryState], Packed] = field(
        default_factory=dict
    )


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
) -> None:
    """Replace the listing by a newer one from the platform, if it differs.

    Args:
        distribution: State to change in place.
        epoch: Term of the leader that read the listing.
        listed_by_id: Listed upstreams by id.
    """
    before = distribution.listing
    if before.epoch != epoch or not before.serial:
        distribution.listing = Listing(epoch, 1, listed_by_id)
        distribution.listing_deltas.clear()
        return
    changed, removed_ids = listings.listing_difference(
        before.listed_by_id, listed_by_id
    )
    if not changed and not removed_ids:
        return
    serial = before.serial + 1
    distribution.listing = Listing(epoch, serial, listed_by_id)
    distribution.listing_deltas.append(
        ListingDelta(epoch, serial, changed, removed_ids)
    )
    del distribution.listing_deltas[:-MAX_LISTING_DELTAS]


def drop_listing_of_other_terms(
    distribution: DistributionState, term: int
) -> None:
    """Drop a listing that was read in an earlier term.

    Upstreams may have left since, while another node led; an entry that has
    just started would use them again.

    Args:
        distribution: State to change in place.
        term: Term in which this node leads.
    """
    if distribution.listing.epoch != term:
        distribution.listing = Listing()
        distribution.listing_deltas.clear()


def listing_update(
    distribution: DistributionState, entry_listing: tuple[int, int]
) -> Sequence[ListingDelta | ListingSent]:
    """Return the messages that bring an entry to the newest listing.

    Args:
        distribution: Newest listing and its recent changes.
        entry_listing: Epoch and serial of the entry's listing.

    Returns:
        The changes that the entry lacks, or the whole listing if some of them
        are no longer kept or together they are larger.
    """
    newest = distribution.listing
    if not newest.serial or entry_listing == (newest.epoch, newest.serial):
        return ()
    epoch, serial = entry_listing
    missing = [
        delta for delta in distribution.listing_deltas if delta.serial > serial
    ]
    size = sum(len(delta.changed) for delta in missing)
    if (
        epoch == newest.epoch
        and missing
        and missing[0].serial == serial + 1
        and size <= len(newest.listed_by_id)
    ):
        return missing
    return (ListingSent(newest),)


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


def heartbeat_event(heartbeat: Heartbeat) -> HeartbeatReceived:
    """Return the membership event for a heartbeat."""
    return HeartbeatReceived(
        heartbeat.member,
        heartbeat.boot,
        heartbeat.revision,
        heartbeat.drained_epoch,
        heartbeat.is_leaving,
    )


def reported_state(heartbeat: Heartbeat) -> EntryState:
    """Return the state that an entry reports in a heartbeat."""
    return EntryState(
        heartbeat.revision,
        heartbeat.table_epoch,
        (heartbeat.listing_epoch, heartbeat.listing_serial),
    )


def newest_state(
    distribution: DistributionState, state: ControlState
) -> EntryState:
    """Return the state of an entry that is up to date.

    Args:
        distribution: Newest listing.
        state: Replicated state.
    """
    table = state.proposed or state.active
    listing = distribution.listing
    return EntryState(
        state.configuration.revision,
        table.epoch,
        (listing.epoch, listing.serial),
    )


def entry_updates(
    distribution: DistributionState,
    entry_state: EntryState,
    state: ControlState,
    *,
    accepts_packed: bool,
) -> Sequence[EntryUpdate | Packed]:
    """Return the messages that bring an entry to the newest state.

    Entries that lack the same changes get the same packed message, which is
    encoded once.

    Args:
        distribution: Recent changes.
        entry_state: What the entry has, or will have once it has read all that
            was sent.
        state: Replicated state.
        accepts_packed: Whether the entry accepts packed messages.
    """
    newest = newest_state(distribution, state)
    key = (entry_state, newest)
    if accepts_packed and key in distribution.packed_by_states:
        return (distribution.packed_by_states[key],)
    updates: list[EntryUpdate] = []
    if entry_state.revision != newest.revision:
        updates += configuration_update(
            distribution, entry_state.revision, state.configuration
        )
    if entry_state.table_epoch != newest.table_epoch:
        table = state.proposed or state.active
        updates.append(
            table_update(distribution, entry_state.table_epoch, table)
        )
    updates += listing_update(distribution, entry_state.listing)
    if not updates or not accepts_packed:
        return updates
    if any(to != newest for _, to in distribution.packed_by_states):
        distribution.packed_by_states.clear()
    packed = distribution.codec.pack(updates)
    distribution.packed_by_states[key] = packed
    return (packed,)


def make_grant(
    distribution: DistributionState,
    heartbeat: Heartbeat,
    state: ControlState,
    lease_s: float,
    voter_names: tuple[str, ...] = (),
    lent: tuple[ExtraCopies, ...] = (),
    usage_confirmed: int = 0,
    holds: Holds = NO_HOLDS,
    trials: tuple[str, ...] = (),
) -> Grant:
    """Return the grant with which a leader with a quorum answers a heartbeat.

    Args:
        distribution: Reports of entries.
        heartbeat: Heartbeat of an entry.
        state: Replicated state.
        lease_s: Length of a lease in seconds.
        voter_names: Names of the control nodes that vote.
        lent: Copies lent to the entry.
        usage_confirmed: Term of the leader if it collects usage, else 0.
        holds: Requests that entries must not send.
        trials: Trials given to the entry.
    """
    newest = newest_state(distribution, state)
    return Grant(
        heartbeat.sent_at,
        lease_s,
        newest.revision,
        newest.table_epoch,
        voter_names,
        ()
        if heartbeat.known_holds is not None
        else tuple(held.fingerprint for held in holds.held),
        lent,
        usage_confirmed,
        holds if heartbeat.known_holds is not None else NO_HOLDS,
        trials,
    )
