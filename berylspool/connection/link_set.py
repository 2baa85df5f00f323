"""Links to a fixed set of peers."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from berylspool.connection.frame import Codec
from berylspool.connection.peer import Link

__all__ = ["LinkSet"]


class LinkSet:
    """Owns one link to each of some peers.

    Args:
        name: Name of this process.
        address_by_name: IP address and port of each peer.
        codec: Codec of the links.
        sink: Takes the peer's name and each message that arrives.
        up: Takes the peer's name when its link opens.
    """

    def __init__(
        self,
        name: str,
        address_by_name: Mapping[str, tuple[str, int]],
        codec: Codec,
        *,
        sink: Callable[[str, Any], None],
        up: Callable[[str], None],
    ) -> None:
        self.link_by_name: dict[str, Link] = {}
        self._tasks: list[asyncio.Task[None]] = []
        for peer, (host, port) in address_by_name.items():
            self.link_by_name[peer] = self._link(
                name, peer, host, port, codec, sink, up
            )

    @staticmethod
    def _link(
        name: str,
        peer: str,
        host: str,
        port: int,
        codec: Codec,
        sink: Callable[[str, Any], None],
        up: Callable[[str], None],
    ) -> Link:
        return Link(
            name,
            host,
            port,
            codec,
            sink=lambda message: sink(peer, message),
            up=lambda: up(peer),
            down=lambda: None,
        )

    def start(self) -> list[asyncio.Task[None]]:
        """Open all links; they are kept open until the tasks are ended."""
        self._tasks = [
            asyncio.ensure_future(link.run())
            for link in self.link_by_name.values()
        ]
        return self._tasks

    def close(self) -> None:
        """End all links."""
        for task in self._tasks:
            task.cancel()

    def put(self, peer: str, message: Any) -> None:
        """Send a message to one peer; unknown peers get nothing."""
        link = self.link_by_name.get(peer)
        if link is not None:
            link.inbox.put(message)

    def put_all(self, message: Any) -> None:
        """Send a message to all peers."""
        for link in self.link_by_name.values():
            link.inbox.put(message)

    def put_idle(self, peer: str, message: Any) -> None:
        """Send a message that is sent again and again, if none waits."""
        link = self.link_by_name.get(peer)
        if link is not None and not len(link.inbox):
            link.inbox.put(message)
