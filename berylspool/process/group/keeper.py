"""How a control node finds its group, and how a leader keeps it whole."""

from collections.abc import Callable, Iterable

from berylspool.connection.control_message import Announce, FoundingQuery
from berylspool.connection.link_set import LinkSet
from berylspool.process.group.message import Group
from berylspool.process.group.repair import admitted, name_of, next_group
from berylspool.process.group.replica import Replica

__all__ = ["GroupKeeper"]

# Several elections: a node that hears no leader for longer may have been
# replaced while it was cut off, which nobody tells it.
UNHEARD_S = 2.0


class GroupKeeper:
    """Joins the group, and changes it as nodes come and go.

    Args:
        name: Name of this node.
        replica: Its replica.
        links: Its links to other control nodes.
        announced_by_name: Id that each node outside of the group has.
        voters: Nodes that should vote; 0 if operators name them.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        name: str,
        replica: Replica,
        links: LinkSet,
        announced_by_name: dict[str, str],
        voters: int,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._replica = replica
        self._links = links
        self._announced_by_name = announced_by_name
        self._voters = voters
        self._clock = clock

    def probe(self) -> None:
        """Ask the other founders about promises of this node."""
        for founder in self._replica.unconfirmed:
            query = FoundingQuery(f"{self._name}.0")
            self._links.put_idle(founder, query)

    def is_outside(self) -> bool:
        """Return whether this node is, or may be, in no group."""
        replica = self._replica
        if not replica.is_member:
            return True
        unheard_s = self._clock() - replica.node.heard_at
        return not replica.is_leader and unheard_s > UNHEARD_S

    def announce(self, known: Iterable[str]) -> None:
        """Let the leader know this disk's identity, so it can be added.

        Args:
            known: Names of nodes that may know the leader.
        """
        voters = (name_of(id) for id in self._replica.node.group.voters)
        names = {*known, *voters, self._replica.leader} - {self._name, ""}
        message = Announce(self._name, self._replica.node.id)
        for name in names:
            self._links.put_idle(name, message)

    def pass_on(self, message: Announce) -> None:
        """Tell the leader of a node that has announced itself here."""
        if not self._replica.is_leader:
            self._links.put_idle(self._replica.leader, message)

    def next_group(self) -> Group | None:
        """Return the group after the next step, or None if there is none."""
        node, now = self._replica.node, self._clock()
        group = next_group(node, self._voters, now)
        if group is None and self._voters:
            self._drop_answered()
            group = admitted(node, self._announced_by_name, now)
        return group

    def _drop_answered(self) -> None:
        """Forget announcements of nodes that the group holds by now."""
        group = self._replica.node.group
        members = {*group.voters, *group.learners}
        for name, id in list(self._announced_by_name.items()):
            if id in members:
                del self._announced_by_name[name]
