"""Ledger requests of an entry that have no reply yet."""

from berylspool.process.entry.control_client_message import (
    PendingLedgerRequest,
)
from berylspool.request.ledger import (
    LedgerDecision,
    LedgerReply,
    LedgerRequest,
    Settle,
)

__all__ = ["LedgerRequests"]

RESEND_INTERVAL_S = 0.3
TIMEOUT_S = 5.0


class LedgerRequests:
    """Ledger requests that are sent again until control replies."""

    def __init__(self) -> None:
        self._pending_by_key: dict[tuple[str, bool], PendingLedgerRequest] = {}

    def add(self, message: LedgerRequest, now: float) -> PendingLedgerRequest:
        """Add a request, which is to be sent now.

        Args:
            message: The request and the inbox that receives the reply.
            now: Monotonic time in seconds.
        """
        pending = PendingLedgerRequest(message, now, now + TIMEOUT_S)
        request = message.request
        key = (request.request_id, isinstance(request, Settle))
        self._pending_by_key[key] = pending
        return pending

    def take_due(self, now: float) -> list[PendingLedgerRequest]:
        """Return the requests to send again; drop those that have expired."""
        due = []
        for key, pending in list(self._pending_by_key.items()):
            if now >= pending.expires_at:
                del self._pending_by_key[key]
            elif now - pending.sent_at >= RESEND_INTERVAL_S:
                due.append(pending)
        return due

    def deliver(self, reply: LedgerReply) -> None:
        """Pass a reply on to the request that waits for it."""
        is_settle = reply.decision is LedgerDecision.SETTLED
        key = (reply.request_id, is_settle)
        pending = self._pending_by_key.pop(key, None)
        if pending is not None:
            pending.submission.inbox.put(reply)
