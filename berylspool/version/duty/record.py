"""Replicated state of the duties: their holders and the usage reports.

A duty is a kind of call to the platform that only one node at a time may make.
Each call carries the token of its holder; the platform refuses a token lower
than one that it has seen.
"""

from dataclasses import dataclass, field

__all__ = [
    "USAGE_REPORT",
    "ConfirmUsage",
    "DutyChange",
    "DutyHolder",
    "RecordUsage",
    "TakeDuty",
    "UsageRecords",
    "confirm_usage",
    "record_usage",
    "take_duty",
]

USAGE_REPORT = "usage_report"


@dataclass(frozen=True, slots=True)
class TakeDuty:
    """A leader takes a duty and gets a new token.

    Attributes:
        duty: Name of the duty.
        holder: Name of the node, as the platform knows it.
        term: Term in which the node leads.
        window: First window to report if none was before.
        token_step: Increment of the token, at least 1.
    """

    duty: str
    holder: str
    term: int
    window: int
    token_step: int = 1


@dataclass(frozen=True, slots=True)
class RecordUsage:
    """Fixes the content of the report of a window.

    Attributes:
        window: Number of the window; ignored if it was recorded before.
        counts: Number of requests by customer.
    """

    window: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class ConfirmUsage:
    """The platform has accepted the report of a window.

    Attributes:
        window: Number of the window.
    """

    window: int


DutyChange = TakeDuty | RecordUsage | ConfirmUsage


@dataclass(frozen=True, slots=True)
class DutyHolder:
    """Node that may make the calls of a duty.

    Attributes:
        holder: Name of the node; empty before the duty was first taken.
        token: Fencing token of its calls.
        term: Term of the leader that took the duty.
    """

    holder: str = ""
    token: int = 0
    term: int = 0


@dataclass(slots=True)
class UsageRecords:
    """Reports of usage.

    Attributes:
        next_window: First window whose content is not recorded; 0 before the
            duty was first taken.
        counts_by_window: Recorded content that the platform has not accepted
            yet, by window.
        reported_window: Latest window that the platform has accepted; 0 if
            none.
    """

    next_window: int = 0
    counts_by_window: dict[int, dict[str, int]] = field(default_factory=dict)
    reported_window: int = 0


def take_duty(
    holder_by_duty: dict[str, DutyHolder],
    usage: UsageRecords,
    change: TakeDuty,
) -> None:
    """Make a node the holder of a duty, with a token of its own."""
    token = holder_by_duty.get(change.duty, DutyHolder()).token
    token += max(1, change.token_step)
    holder_by_duty[change.duty] = DutyHolder(change.holder, token, change.term)
    if not usage.next_window:
        usage.next_window = change.window


def record_usage(usage: UsageRecords, change: RecordUsage) -> None:
    """Record the content of a window unless one is recorded already."""
    if change.window >= usage.next_window:
        usage.counts_by_window[change.window] = change.counts
        usage.next_window = change.window + 1


def confirm_usage(usage: UsageRecords, change: ConfirmUsage) -> None:
    """Drop the content of a window that the platform has accepted."""
    if usage.counts_by_window.pop(change.window, None) is not None:
        usage.reported_window = max(usage.reported_window, change.window)
