"""Decisions of the control leader about the member table.

A new table is proposed first. It becomes active once every member of the
former table has drained the services that it no longer owns, or can no longer
hold a lease, so that two entries never admit requests for one service at the
same time.  A new leader treats no entry as failed before a whole lease has
passed, because leases granted by the former leader may still be valid.  Leases
follow Gray and Cheriton, SOSP 1989.
"""

from dataclasses import dataclass, field

from berylspool.connection.message import Member, MemberTable

__all__ = [
    "EntryView",
    "HeartbeatReceived",
    "LeadershipGained",
    "Membership",
    "MembershipEvent",
    "ProposeTable",
    "TablesCommitted",
    "Tick",
    "apply_table_difference",
    "rollout_status",
    "step",
    "table_difference",
]

EPOCHS_PER_TERM = 1 << 24
LEASE_MARGIN_S = 1.0
# Entries that start together send their first heartbeats within a second. Each
# table that adds only a few of them would be a further change for all entries,
# so a table is proposed only once its members have stayed the same for
# `STABLE_MEMBERS_S`, or after `MAX_TABLE_DELAY_S`.
STABLE_MEMBERS_S = 0.3
MAX_TABLE_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A heartbeat of an entry arrived.

    Attributes:
        member: The entry.
        boot: Identifier that is unique to each start of its process.
        revision: Revision of the configuration in force at the entry.
        drained_epoch: Epoch of the newest proposed table for which it has
            drained the services that it loses.
        is_leaving: Whether it is shutting down.
    """

    member: Member
    boot: str
    revision: int
    drained_epoch: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class LeadershipGained:
    """This node became the leader; `TablesCommitted` with its tables follows.

    Attributes:
        term: Term in which it leads.
    """

    term: int


@dataclass(frozen=True, slots=True)
class TablesCommitted:
    """The member tables in the replicated state, which may have changed.

    Attributes:
        active: Table whose owners admit requests.
        proposed: Newer table that is not active yet; None if there is none.
    """

    active: MemberTable
    proposed: MemberTable | None


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the leader checks whether a table is due."""


MembershipEvent = HeartbeatReceived | LeadershipGained | TablesCommitted | Tick


@dataclass(frozen=True, slots=True)
class ProposeTable:
    """A member table to commit through the replicated log."""

    table: MemberTable


@dataclass(slots=True)
class EntryView:
    """What the leader knows of an entry from its heartbeats.

    Attributes:
        member: The entry.
        boot: Identifier that is unique to each start of its process.
        heartbeat_at: Time of the newest heartbeat, in monotonic seconds.
        revision: Revision of the configuration in force at the entry.
        drained_epoch: Epoch of the newest proposed table for which it has
            drained the services that it loses.
        is_leaving: Whether it is shutting down.
    """

    member: Member
    boot: str
    heartbeat_at: float
    revision: int = 0
    drained_epoch: int = 0
    is_leaving: bool = False


@dataclass(slots=True)
class Membership:
    """State of the leader's decisions about the member table.

    Attributes:
        lease_s: Length of an entry's lease, in seconds.
        term: Newest term in which this node became the leader.
        leader_since: Time at which it became the leader, in monotonic seconds.
        active: Table whose owners admit requests.
        proposed: Newer table that is not active yet; None if there is none.
        view_by_name: Entries that have sent heartbeats, by name.
        submitted_epoch: Epoch of the newest table that was submitted to the
            log; the table is uncommitted while the epoch is above those of
            `active` and `proposed`.
        differs_since: Time since which the live entries differ from the
            active table, in monotonic seconds; None if they do not differ, or
            once a new table has been submitted.
        next_names: Names of the entries that the next table would hold.
        next_names_since: Time at which `next_names` last changed, in monotonic
            seconds.
    """

    lease_s: float
    term: int = 0
    leader_since: float = 0.0
    active: MemberTable = field(default_factory=MemberTable)
    proposed: MemberTable | None = None
    view_by_name: dict[str, EntryView] = field(default_factory=dict)
    submitted_epoch: int = 0
    differs_since: float | None = None
    next_names: frozenset[str] = frozenset()
    next_names_since: float = 0.0


def step(
    membership: Membership, event: MembershipEvent, now: float
) -> list[ProposeTable]:
    """Apply one event.

    Args:
        membership: State to change in place.
        event: Event to apply.
        now: Monotonic time in seconds.

    Returns:
        Tables to commit; empty for every event but a `Tick`.
    """
    match event:
        case HeartbeatReceived():
            _record_heartbeat(membership, event, now)
            return []
        case LeadershipGained(term=term):
            membership.term = term
            membership.leader_since = now
            membership.submitted_epoch = 0
            membership.differs_since = None
            return []
        case TablesCommitted(active=active, proposed=proposed):
            membership.active = active
            membership.proposed = proposed
            return []
        case Tick():
            return _propose_next_table(membership, now)


def rollout_status(
    membership: Membership, revision: int, now: float
) -> tuple[int, int, bool]:
    """Return at how many entries a revision is in force.

    Args:
        membership: State of the leader.
        revision: Revision to look for.
        now: Monotonic time in seconds.

    Returns:
        Number of entries that have it or a later one, number of entries
        that may hold a lease, and whether it is in force everywhere.  An
        entry whose lease has expired accepts no new work and does not count.
    """
    live = [
        view
        for view in membership.view_by_name.values()
        if not _is_expired(membership, view.member.name, now)
    ]
    in_force_count = sum(view.revision >= revision for view in live)
    is_grace_over = now - membership.leader_since > _expiry_s(membership)
    return (
        in_force_count,
        len(live),
        is_grace_over and in_force_count == len(live),
    )


def table_difference(
    base: MemberTable, table: MemberTable
) -> tuple[tuple[Member, ...], tuple[str, ...]]:
    """Return members added or changed, and names removed, since `base`.

    Examples:
        >>> one = Member("e1", "127.0.0.1", 1)
        >>> table_difference(MemberTable(1, True, {"e1": one}), MemberTable(2))
        ((), ('e1',))
    """
    base_members, members = base.member_by_name, table.member_by_name
    joined = [m for name, m in members.items() if base_members.get(name) != m]
    left = [name for name in base_members if name not in members]
    return tuple(joined), tuple(left)


def apply_table_difference(
    base: MemberTable,
    epoch: int,
    is_active: bool,
    joined: tuple[Member, ...],
    left: tuple[str, ...],
) -> MemberTable:
    """Apply the result of `table_difference` to a table.

    Args:
        base: Table to start from.
        epoch: Epoch of the resulting table.
        is_active: Whether the resulting table is active.
        joined: Members that were added or have changed.
        left: Names of members that were removed.

    Returns:
        The resulting table.
    """
    members = {
        name: member
        for name, member in base.member_by_name.items()
        if name not in left
    }
    members.update((member.name, member) for member in joined)
    return MemberTable(epoch, is_active, members)


def _record_heartbeat(
    membership: Membership, event: HeartbeatReceived, now: float
) -> None:
    name = event.member.name
    view = membership.view_by_name.get(name)
    if view is None or view.boot != event.boot:
        view = EntryView(event.member, event.boot, now)
        membership.view_by_name[name] = view
    view.member = event.member
    view.heartbeat_at = now
    view.revision = event.revision
    view.drained_epoch = event.drained_epoch
    view.is_leaving = event.is_leaving


def _expiry_s(membership: Membership) -> float:
    return membership.lease_s + LEASE_MARGIN_S


def _is_expired(membership: Membership, name: str, now: float) -> bool:
    """Return whether an entry can no longer hold a lease."""
    view = membership.view_by_name.get(name)
    heartbeat_at = view.heartbeat_at if view else float("-inf")
    # The former leader may have granted a lease until this one was elected.
    granted_at = max(heartbeat_at, membership.leader_since)
    return now - granted_at > _expiry_s(membership)


def _propose_next_table(
    membership: Membership, now: float
) -> list[ProposeTable]:
    newest_epoch = max(
        membership.active.epoch,
        membership.proposed.epoch if membership.proposed else 0,
    )
    if membership.submitted_epoch > newest_epoch:
        return []
    if membership.proposed is not None:
        return _activate_if_drained(membership, membership.proposed, now)
    return _propose_if_stable(membership, newest_epoch, now)


def _activate_if_drained(
    membership: Membership, proposed: MemberTable, now: float
) -> list[ProposeTable]:
    former = membership.active.member_by_name
    undrained = [
        name
        for name in former
        if not _has_drained(membership, name, proposed.epoch)
        and not _is_expired(membership, name, now)
    ]
    if undrained:
        return []
    epoch = _next_epoch(membership, proposed.epoch)
    table = MemberTable(epoch, True, proposed.member_by_name)
    membership.submitted_epoch = epoch
    return [ProposeTable(table)]


def _has_drained(membership: Membership, name: str, epoch: int) -> bool:
    view = membership.view_by_name.get(name)
    return view is not None and view.drained_epoch >= epoch


def _propose_if_stable(
    membership: Membership, newest_epoch: int, now: float
) -> list[ProposeTable]:
    next_members = {
        view.member.name: view.member
        for view in membership.view_by_name.values()
        if not view.is_leaving and now - view.heartbeat_at <= membership.lease_s
    }
    current = membership.active.member_by_name
    is_grace_over = now - membership.leader_since > _expiry_s(membership)
    if not is_grace_over:
        # No member is dropped while a lease granted by the former leader may
        # still be valid.
        next_members = {**current, **next_members}
    if next_members == current:
        membership.differs_since = None
        return []
    if membership.differs_since is None:
        membership.differs_since = now
    if next_members.keys() != membership.next_names:
        membership.next_names = frozenset(next_members)
        membership.next_names_since = now
    is_stable = now - membership.next_names_since >= STABLE_MEMBERS_S
    if not is_stable and now - membership.differs_since < MAX_TABLE_DELAY_S:
        return []
    membership.differs_since = None
    epoch = _next_epoch(membership, newest_epoch)
    membership.submitted_epoch = epoch
    return [ProposeTable(MemberTable(epoch, False, next_members))]


def _next_epoch(membership: Membership, newest_epoch: int) -> int:
    return max(newest_epoch + 1, membership.term * EPOCHS_PER_TERM)
