"""Links of an entry to the other members of the member table."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from berylspool.common.event import Event, LinkChanged, MembersChanged
from berylspool.connection.message import Member, MemberTable, make_peer_codec
from berylspool.connection.peer import Link
from berylspool.process.entry.routing_message import LinkDown, LinkUp

__all__ = ["PeerLinks"]


class PeerLinks:
    """One link to each other member; part of the task that owns it.

    Args:
        name: Name of this entry.
        sink: Receives each message of a peer.
        on_change: Receives `LinkUp` and `LinkDown`.
        log: Called with each log event.
    """

    def __init__(
        self,
        name: str,
        *,
        sink: Callable[[Any], None],
        on_change: Callable[[LinkUp | LinkDown], None],
        log: Callable[[Event], None],
    ) -> None:
        self._name = name
        self._sink = sink
        self._on_change = on_change
        self._log = log
        self._link_by_member: dict[str, Link] = {}
        self._task_by_member: dict[str, asyncio.Task[None]] = {}

    def send(self, member: str, message: Any) -> None:
        """Send a message to a member, or report that its link is down."""
        link = self._link_by_member.get(member)
        if link is None:
            self._on_change(LinkDown(member))
        else:
            link.inbox.put(message)

    def send_to_all(self, message: Any) -> None:
        """Send a message to all members."""
        for link in self._link_by_member.values():
            link.inbox.put(message)

    def update(self, table: MemberTable) -> None:
        """Open and close links so that they match the newest table's members.

        Links to former members are closed only when the table is active.
        """
        peer_by_name = {
            name: member
            for name, member in table.member_by_name.items()
            if name != self._name
        }
        members = ",".join(sorted(peer_by_name))
        self._log(MembersChanged(table.epoch, members, table.is_active))
        if table.is_active:
            self._close(self._link_by_member.keys() - peer_by_name.keys())
        for name in peer_by_name.keys() - self._link_by_member.keys():
            self._open(peer_by_name[name])

    def stop(self) -> None:
        """Close all links."""
        for task in self._task_by_member.values():
            task.cancel()

    def _open(self, member: Member) -> None:
        name = member.name
        link = Link(
            self._name,
            member.host,
            member.port,
            make_peer_codec(),
            sink=self._sink,
            on_open=lambda: self._report(LinkUp(name), "up"),
            on_close=lambda: self._report(LinkDown(name), "down"),
        )
        self._link_by_member[name] = link
        self._task_by_member[name] = asyncio.ensure_future(link.run())

    def _close(self, names: Iterable[str]) -> None:
        for name in names:
            del self._link_by_member[name]
            self._task_by_member.pop(name).cancel()
            self._on_change(LinkDown(name))

    def _report(self, change: LinkUp | LinkDown, word: str) -> None:
        self._log(LinkChanged(change.member, word))
        self._on_change(change)
