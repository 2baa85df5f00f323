"""Joins a control node to its group; on the leader, chooses group changes.

A node that may be outside of the group announces its id, so that the leader
can add it.
"""

from collections.abc import Callable, Iterable

from berylspool.connection.control_message import (
    Announce,
    FoundingQuery,
    FoundingReply,
)
from berylspool.connection.link_set import LinkSet
from berylspool.process.group.message import Group
from berylspool.process.group.reconfiguration import (
    node_name_from_id,
    plan_learner_change,
    plan_voter_change,
)
from berylspool.process.group.replica import Replica

__all__ = ["GroupManager", "gauge_by_name"]

# Several election timeouts. A node that hears no leader for longer may have
# been replaced while it was partitioned; no message informs it of that.
LEADER_SILENCE_TIMEOUT_S = 2.0


class GroupManager:
    """Announces this node to the group and chooses the group's next change.

    Args:
        name: Name of this node.
        replica: Replica of this node.
        links: Links of this node to the other control nodes.
        announced_by_name: Node ids that nodes outside of the group have
            announced, by node name; shared with the control task.
        target_voter_count: Target number of voters; 0 if operators name them.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        name: str,
        replica: Replica,
        links: LinkSet,
        announced_by_name: dict[str, str],
        target_voter_count: int,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._replica = replica
        self._links = links
        self._announced_by_name = announced_by_name
        self._target_voter_count = target_voter_count
        self._clock = clock

    def query_founders(self) -> None:
        """Ask founders if they ever got messages from this node's fixed id.

        Founders that have already replied are not asked again.
        """
        for founder in self._replica.unconfirmed_founders:
            query = FoundingQuery(f"{self._name}.0")
            self._links.send_if_idle(founder, query)

    def may_be_outside_group(self) -> bool:
        """Return whether this node is, or may be, outside of the group."""
        replica = self._replica
        if not replica.is_member:
            return True
        leader_silence_s = self._clock() - replica.node.leader_heard_at
        return (
            not replica.is_leader
            and leader_silence_s > LEADER_SILENCE_TIMEOUT_S
        )

    def announce_identity(self, node_names: Iterable[str]) -> None:
        """Send this node's id to the other nodes, so the leader can add it.

        Args:
            node_names: Names of nodes that may know the leader.
        """
        voters = (
            node_name_from_id(id) for id in self._replica.node.group.voters
        )
        names = {*node_names, *voters, self._replica.leader} - {self._name, ""}
        message = Announce(self._name, self._replica.node.id)
        for name in names:
            self._links.send_if_idle(name, message)

    def answer_founder(self, query: FoundingQuery) -> FoundingReply:
        """Return the reply to a founder that asks about its fixed id."""
        has_promised = self._replica.has_received_from(query.id)
        return FoundingReply(query.id, has_promised, self._name)

    def handle_announcement(self, announcement: Announce) -> None:
        """Record an announcement; forward it unless this node leads."""
        self._announced_by_name[announcement.name] = announcement.id
        if not self._replica.is_leader:
            self._links.send_if_idle(self._replica.leader, announcement)

    def plan_group_change(self) -> Group | None:
        """Return the group to propose next, or None if no change is needed."""
        node, now = self._replica.node, self._clock()
        group = plan_voter_change(node, self._target_voter_count, now)
        if group is None and self._target_voter_count:
            self._drop_obsolete_announcements()
            group = plan_learner_change(node, self._announced_by_name, now)
        return group

    def _drop_obsolete_announcements(self) -> None:
        """Drop the announcements of nodes that are now in the group."""
        group = self._replica.node.group
        members = {*group.voters, *group.learners}
        for name, id in list(self._announced_by_name.items()):
            if id in members:
                del self._announced_by_name[name]


def gauge_by_name(replica: Replica) -> dict[str, float]:
    """Return the gauges of a replica by metric name."""
    state, node = replica.state, replica.node
    return {
        "berylspool_term": node.term,
        "berylspool_leader": float(replica.is_leader),
        "berylspool_quorum_contact": float(replica.has_quorum_contact()),
        "berylspool_disk_full": float(not replica.has_room),
        "berylspool_commit_index": node.commit_index,
        "berylspool_members": len(state.active.member_by_name),
        "berylspool_configuration_revision": state.configuration.revision,
    }
