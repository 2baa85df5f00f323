"""Questions to the ledger of requests that may not be repeated.

A request states its intent before the first byte goes to an upstream, and
settles it once it has ended; the ledger's reply says whether it may run.
"""

import enum
from dataclasses import dataclass
from typing import Any

from berylspool.common.mailbox import Mailbox

__all__ = [
    "Intend",
    "LedgerAsked",
    "LedgerDecision",
    "LedgerReply",
    "Settle",
    "SettleKind",
]


@dataclass(frozen=True, slots=True)
class Intend:
    """State the intent to run a request that may not be repeated."""

    key: str
    fingerprint: str
    request_id: str
    at: float


class SettleKind(enum.StrEnum):
    """How a request that may not be repeated ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Settle:
    """Record how a request ended.

    Attributes:
        key: Idempotency key.
        request_id: Request that was granted.
        kind: How it ended.
        body: Encoded outcome, if it was answered.
    """

    key: str
    request_id: str
    kind: SettleKind
    body: bytes = b""


class LedgerDecision(enum.StrEnum):
    """What the ledger says to an intent."""

    GRANTED = "granted"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    SETTLED = "settled"


@dataclass(frozen=True, slots=True)
class LedgerReply:
    """Answer of the ledger.

    Attributes:
        request_id: Request that asked.
        decision: What the ledger says.
        body: Encoded outcome, if one is recorded.
    """

    request_id: str
    decision: LedgerDecision
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class LedgerAsked:
    """A request task asks the ledger.

    Attributes:
        request: What it asks.
        inbox: Takes the `LedgerReply`, or nothing if there is none.
    """

    request: Intend | Settle
    inbox: Mailbox[Any]
