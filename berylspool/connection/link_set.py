"""Links from this process to a set of peers."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from berylspool.common.frame import Codec
from berylspool.connection.peer import Link

__all__ = ["LinkSet"]


class LinkSet:
    """One link to each of a set of peers.

    Args:
        name: Name of this process.
        address_by_name: IP address and port of each peer.
        codec: Codec of the links.
        sink: Receives the name of the peer and each message from it.
        on_open: Receives the name of the peer when its link opens.
        default_port: Port of peers that are named by their IP address; links to
            them are created on first use.  None if only the peers in
            `address_by_name` exist.
    """

    def __init__(
        self,
        name: str,
        address_by_name: Mapping[str, tuple[str, int]],
        codec: Codec,
        *,
        sink: Callable[[str, Any], None],
        on_open: Callable[[str], None],
        default_port: int | None = None,
    ) -> None:
        self.link_by_name: dict[str, Link] = {}
        self._name = name
        self._codec = codec
        self._sink = sink
        self._on_open = on_open
        self._default_port = default_port
        self._task_by_name: dict[str, asyncio.Task[None]] = {}
        self._is_started = False
        for peer, (host, peer_port) in address_by_name.items():
            self._add_link(peer, host, peer_port)

    def _add_link(self, peer: str, host: str, port: int) -> None:
        link = Link(
            self._name,
            host,
            port,
            self._codec,
            sink=lambda message: self._sink(peer, message),
            on_open=lambda: self._on_open(peer),
            on_close=lambda: None,
        )
        self.link_by_name[peer] = link
        if self._is_started:
            self._task_by_name[peer] = asyncio.ensure_future(link.run())

    def start(self) -> None:
        """Open all links and keep them open until `close`."""
        self._is_started = True
        for peer, link in self.link_by_name.items():
            self._task_by_name[peer] = asyncio.ensure_future(link.run())

    def close(self) -> None:
        """Close all links."""
        for task in self._task_by_name.values():
            task.cancel()

    def set_peers(self, peers: set[str]) -> None:
        """Close links to other peers; open links to peers named by address.

        Args:
            peers: Names of the peers to keep links to.
        """
        for peer in self.link_by_name.keys() - peers:
            del self.link_by_name[peer]
            task = self._task_by_name.pop(peer, None)
            if task is not None:
                task.cancel()
        for peer in peers:
            self._ensure_link(peer)

    def _ensure_link(self, peer: str) -> None:
        needs_link = (
            peer and peer != self._name and peer not in self.link_by_name
        )
        if needs_link and self._default_port is not None:
            self._add_link(peer, peer, self._default_port)

    def send(self, peer: str, message: Any) -> None:
        """Send a message to one peer; ignore unknown peers."""
        self._ensure_link(peer)
        link = self.link_by_name.get(peer)
        if link is not None:
            link.inbox.put(message)

    def send_to_all(self, message: Any) -> None:
        """Send a message to all peers."""
        for link in self.link_by_name.values():
            link.inbox.put(message)

    def send_if_idle(self, peer: str, message: Any) -> None:
        """Send a periodic message, unless the link has pending messages."""
        self._ensure_link(peer)
        link = self.link_by_name.get(peer)
        if link is not None and not len(link.inbox):
            link.inbox.put(message)
