"""Bound on what all connections keep of responses that are not whole yet."""

from typing import Any

from berylspool.common.mailbox import Mailbox

__all__ = ["ReceiveBudget"]


class ReceiveBudget:
    """Memory that the connections of a process share for unfinished responses.

    Once it is spent, the connection that keeps most has to give up: whole
    answers are far smaller than what an upstream sends that does not end.

    Args:
        max_bytes: Bytes that all connections may keep together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._kept_bytes = 0
        self._bytes_by_inbox: dict[Mailbox[Any], int] = {}

    def keep(self, inbox: Mailbox[Any], byte_count: int) -> Mailbox[Any] | None:
        """Record how much a connection keeps.

        Args:
            inbox: Inbox of the connection.
            byte_count: Bytes that it keeps now; 0 if it keeps none.

        Returns:
            Inbox of the connection that has to give up; None while the budget
            suffices.
        """
        self._kept_bytes += byte_count - self._bytes_by_inbox.pop(inbox, 0)
        if byte_count:
            self._bytes_by_inbox[inbox] = byte_count
        if self._kept_bytes <= self._max_bytes:
            return None
        return max(self._bytes_by_inbox, key=self._bytes_by_inbox.__getitem__)
