"""Sessions of the entries that are connected to a control node."""

from typing import Any

from berylspool.connection.control_message import (
    DeltaSent,
    Heartbeat,
    NotLeader,
)
from berylspool.connection.message import MemberTable
from berylspool.connection.peer import Session
from berylspool.process.control.copy_lending import CopyLending, lend_copies
from berylspool.process.control.distribution import (
    DistributionState,
    add_delta,
    add_table,
    heartbeat_answers,
    record_convicted,
    replace_listing,
)
from berylspool.process.group.reconfiguration import node_name_from_id
from berylspool.process.group.replica import Replica
from berylspool.process.settings import Settings
from berylspool.version.listing import ListedUpstream

__all__ = ["EntrySessions"]


class EntrySessions:
    """Answers heartbeats of entries and sends them updates.

    Args:
        replica: Replica of this control node.
        settings: Settings of the deployment.
    """

    def __init__(self, replica: Replica, settings: Settings) -> None:
        self._replica = replica
        self._lease_s = settings.lease_s
        self._routing = settings.routing
        self._lending: CopyLending | None = None
        self._distribution = DistributionState()
        self._session_by_id: dict[str, Session] = {}

    def answer_heartbeat(
        self, session: Session, heartbeat: Heartbeat, now: float
    ) -> None:
        """Answer a heartbeat; only a leader with a quorum grants a lease."""
        self._session_by_id[session.id] = session
        record_convicted(self._distribution, heartbeat.convicted, now)
        if not self._replica.has_quorum_contact():
            self._lending = None
            session.inbox.put(NotLeader(self._replica.leader))
            return
        if self._lending is None:
            self._lending = CopyLending(self._routing, now)
        voters = self._replica.node.group.voters
        for message in heartbeat_answers(
            self._distribution,
            heartbeat,
            self._replica.state,
            self._lease_s,
            tuple(node_name_from_id(id) for id in voters),
            lend_copies(self._lending, heartbeat.wanted, now),
        ):
            session.inbox.put(message)

    def remove_session(self, session: Session) -> None:
        """Remove a session that has ended."""
        self._session_by_id.pop(session.id, None)

    def broadcast(self, message: Any) -> None:
        """Send a message to all connected entries."""
        for session in self._session_by_id.values():
            session.inbox.put(message)

    def publish_listing(self, listed_by_id: dict[str, ListedUpstream]) -> None:
        """Store a listing from the platform, and send changes to the entries.

        Does nothing unless this node leads with a quorum.
        """
        if not self._replica.has_quorum_contact():
            return
        term = self._replica.node.term
        message = replace_listing(self._distribution, term, listed_by_id)
        if message is not None:
            self.broadcast(message)

    def publish_delta(self, delta: DeltaSent) -> None:
        """Store a change that was applied; the leader also broadcasts it."""
        add_delta(self._distribution, delta)
        if self._replica.has_quorum_contact():
            self.broadcast(delta)

    def add_table(self, table: MemberTable) -> None:
        """Store a member table that was committed."""
        add_table(self._distribution, table)

    def clear_deltas(self) -> None:
        """Drop the stored changes after a snapshot has replaced the state."""
        self._distribution.deltas.clear()
