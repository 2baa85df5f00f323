"""Messages to and from the ledger of requests that may not be repeated.

A request records its intent before the first byte is sent to an upstream, and
settles it once the request has ended; the ledger's reply to the intent decides
whether the request may run.
"""

import enum
from dataclasses import dataclass
from typing import Any

from berylspool.common.mailbox import Mailbox

__all__ = [
    "Intend",
    "LedgerDecision",
    "LedgerReply",
    "LedgerRequest",
    "Settle",
    "SettleKind",
]


@dataclass(frozen=True, slots=True)
class Intend:
    """Record the intent to run a request that may not be repeated.

    Attributes:
        key: Idempotency key.
        fingerprint: Fingerprint of the request.
        request_id: Id of the request.
        at: Time of the intent, in seconds since the epoch.
    """

    key: str
    fingerprint: str
    request_id: str
    at: float


class SettleKind(enum.StrEnum):
    """How a request that may not be repeated ended.

    Attributes:
        ANSWERED: Every shard answered; the answer is recorded.
        NOT_RUN: No upstream has run it, so its key is released.
        UNKNOWN: An upstream may have run it.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Settle:
    """Record how a request ended.

    Attributes:
        key: Idempotency key.
        request_id: Id of the request whose intent was granted.
        kind: How the request ended.
        body: Encoded answer; empty if there was none.
    """

    key: str
    request_id: str
    kind: SettleKind
    body: bytes = b""


class LedgerDecision(enum.StrEnum):
    """Decision of the ledger on an intent or a settlement.

    Attributes:
        GRANTED: The request may run.
        RECORDED: An answer is recorded for the key and is returned instead.
        UNKNOWN: An earlier request with the key may have run; no answer is
            recorded.
        KEY_REUSED: The key belongs to a request with another fingerprint.
        SETTLED: The settlement was processed.
    """

    GRANTED = "granted"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    SETTLED = "settled"


@dataclass(frozen=True, slots=True)
class LedgerReply:
    """Reply of the ledger.

    Attributes:
        request_id: Id of the request that the reply is for.
        decision: Decision of the ledger.
        body: Encoded answer; empty if none is recorded.
    """

    request_id: str
    decision: LedgerDecision
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class LedgerRequest:
    """Message from a request task to the ledger.

    Attributes:
        request: Intent or settlement to record.
        inbox: Mailbox that gets the `LedgerReply`; if the ledger cannot be
            reached, it gets no message.
    """

    request: Intend | Settle
    inbox: Mailbox[Any]
