"""Sessions of the entries that are connected to a control node."""

from typing import Any

from berylspool.connection.control_message import (
    DeltaSent,
    Heartbeat,
    NotLeader,
)
from berylspool.connection.message import MemberTable
from berylspool.connection.peer import Session
from berylspool.process.control.distribution import (
    Distribution,
    answers_to,
    busy_entries,
    keep_busy,
    keep_convicted,
    keep_delta,
    keep_listing,
    keep_table,
)
from berylspool.process.group.repair import name_of
from berylspool.process.group.replica import Replica
from berylspool.version.listing import ListedUpstream

__all__ = ["EntrySessions"]


class EntrySessions:
    """Answers heartbeats of entries and sends them updates.

    Args:
        replica: Replica of this control node.
        lease_s: Length of an entry's lease, in seconds.
    """

    def __init__(self, replica: Replica, lease_s: float) -> None:
        self._replica = replica
        self._lease_s = lease_s
        self._distribution = Distribution()
        self._session_by_id: dict[str, Session] = {}

    def hear(self, session: Session, beat: Heartbeat, now: float) -> None:
        """Answer a heartbeat; only a leader with the newest state grants."""
        self._session_by_id[session.id] = session
        keep_convicted(self._distribution, beat.convicted, now)
        if not self._replica.has_quorum_contact():
            self._distribution.since = None
            session.inbox.put(NotLeader(self._replica.leader))
            return
        keep_busy(self._distribution, beat, now)
        voters = self._replica.node.group.voters
        for message in answers_to(
            self._distribution,
            beat,
            self._replica.state,
            self._lease_s,
            tuple(name_of(id) for id in voters),
            busy_entries(self._distribution, now),
        ):
            session.inbox.put(message)

    def forget(self, session: Session) -> None:
        """Remove a session that has ended."""
        self._session_by_id.pop(session.id, None)

    def tell(self, message: Any) -> None:
        """Send a message to all connected entries."""
        for session in self._session_by_id.values():
            session.inbox.put(message)

    def keep_listing(self, listed_by_id: dict[str, ListedUpstream]) -> None:
        """Store a listing that was read, and send changes to the entries.

        Does nothing unless this node leads with a quorum.
        """
        if not self._replica.has_quorum_contact():
            return
        term = self._replica.node.term
        message = keep_listing(self._distribution, term, listed_by_id)
        if message is not None:
            self.tell(message)

    def keep_delta(self, delta: DeltaSent) -> None:
        """Store a change that was applied; the leader also broadcasts it."""
        keep_delta(self._distribution, delta)
        if self._replica.has_quorum_contact():
            self.tell(delta)

    def keep_table(self, table: MemberTable) -> None:
        """Store a table of members that was committed."""
        keep_table(self._distribution, table)

    def start_anew(self) -> None:
        """Drop the stored changes after a snapshot has replaced the state."""
        self._distribution.deltas.clear()
