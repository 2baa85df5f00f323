"""Task of a command, which is a request that may not be repeated.

The intent is durable on a quorum before the first byte is sent to an upstream.
A resent command, at any entry, gets the recorded answer.  While the ledger
holds its key without an answer, it is refused as `in_progress`.
"""

import time
from collections.abc import Callable

from berylspool.common.event import CommandDecided, Event
from berylspool.common.mailbox import Mailbox
from berylspool.request.answer_codec import decode_answer, encode_answer
from berylspool.request.fanout import PinnedMap
from berylspool.request.ledger import (
    Intend,
    LedgerDecision,
    LedgerReply,
    LedgerRequest,
    Settle,
    SettleKind,
)
from berylspool.request.query import (
    Answer,
    Outcome,
    Query,
    Reason,
    Refusal,
)
from berylspool.request.request_task import RequestTask

__all__ = ["CommandTask", "settle_kind"]

SETTLE_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0


def settle_kind(outcome: Outcome) -> SettleKind:
    """Return the kind of settlement that the ledger records for an outcome.

    Examples:
        >>> settle_kind(Refusal("r", Reason.OVERLOAD, True, 0.1))
        <SettleKind.NOT_RUN: 'not_run'>
    """
    match outcome:
        case Answer(coverage=coverage) if coverage.is_whole:
            return SettleKind.ANSWERED
        case Refusal(not_run=True):
            return SettleKind.NOT_RUN
        case _:
            return SettleKind.UNKNOWN


class CommandTask:
    """Task that records one command in the ledger and then runs it.

    Args:
        query: Query of the command; its key is set.
        request_task: Task that runs the command once its intent is granted.
        send_to_ledger: Sends a message to the ledger.
        clock: Returns monotonic time in seconds.
        log: Writes a log event.
    """

    def __init__(
        self,
        query: Query,
        request_task: RequestTask,
        *,
        send_to_ledger: Callable[[LedgerRequest], None],
        clock: Callable[[], float],
        log: Callable[[Event], None],
    ) -> None:
        self._query = query
        self._request_task = request_task
        self._send_to_ledger = send_to_ledger
        self._clock = clock
        self._log = log

    async def run(self, pinned: PinnedMap) -> Outcome:
        """Run the command at most once.

        Args:
            pinned: Partition map of the route, which must have one shard.

        Returns:
            Outcome of the command, or the recorded answer to an earlier send.
        """
        query = self._query
        key = query.key or ""
        if len(pinned.services) != 1:
            return Refusal(query.id, Reason.INVALID, True, 0.0)
        intent = Intend(key, query.fingerprint, query.id, time.time())
        reply = await self._request_ledger(
            intent, query.deadline - self._clock()
        )
        if reply is None:
            # The intent may have become durable, but this entry will not run
            # the command, so the key is released.
            self._release_key(key)
            self._log(CommandDecided(key, "no_control"))
            return Refusal(query.id, Reason.NO_CONTROL, True, RETRY_AFTER_S)
        self._log(CommandDecided(key, reply.decision))
        match reply.decision:
            case LedgerDecision.GRANTED:
                return await self._run_granted(pinned, key)
            case LedgerDecision.RECORDED:
                return decode_answer(reply.body)
            case LedgerDecision.KEY_REUSED:
                return Refusal(query.id, Reason.KEY_REUSED, True, 0.0)
            case _:
                return Refusal(
                    query.id, Reason.IN_PROGRESS, False, RETRY_AFTER_S
                )

    async def _run_granted(self, pinned: PinnedMap, key: str) -> Outcome:
        outcome = await self._request_task.run(pinned)
        kind = settle_kind(outcome)
        body = encode_answer(outcome) if isinstance(outcome, Answer) else b""
        settlement = Settle(key, self._query.id, kind, body)
        if kind is not SettleKind.UNKNOWN:
            await self._request_ledger(settlement, SETTLE_TIMEOUT_S)
        return outcome

    def _release_key(self, key: str) -> None:
        settlement = Settle(key, self._query.id, SettleKind.NOT_RUN)
        self._send_to_ledger(LedgerRequest(settlement, Mailbox()))

    async def _request_ledger(
        self, request: Intend | Settle, timeout_s: float
    ) -> LedgerReply | None:
        inbox: Mailbox[LedgerReply] = Mailbox()
        self._send_to_ledger(LedgerRequest(request, inbox))
        replies = await inbox.take(max(timeout_s, 0.0))
        return replies[0] if replies else None
