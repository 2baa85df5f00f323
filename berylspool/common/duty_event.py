"""Log events about duties and usage; docs/LOGS.md documents them."""

from dataclasses import dataclass
from typing import ClassVar

from berylspool.common.event import Event

__all__ = ["DutyCallEnded", "DutyTaken", "UsageLost", "WallClockStepped"]


@dataclass(frozen=True, slots=True)
class DutyTaken(Event):
    """This node has taken a duty and has a new token.

    Attributes:
        duty: Name of the duty.
        holder: Name of this node in the calls.
        token: Fencing token of the calls.
    """

    number: ClassVar[int] = 4020
    duty: str
    holder: str
    token: int


@dataclass(frozen=True, slots=True)
class DutyCallEnded(Event):
    """A call of a duty has an outcome.

    Attributes:
        duty: Name of the duty.
        window: Window that it reports.
        token: Its fencing token.
        outcome: `accepted`, `superseded`, `throttled`, `failed`, or `withheld`
            if it was not sent.
        customers: Number of customers in the report.
        requests: Number of requests in the report.
        error: Why it failed; empty unless it did.
    """

    number: ClassVar[int] = 4021
    duty: str
    window: int
    token: int
    outcome: str
    customers: int
    requests: int
    error: str


@dataclass(frozen=True, slots=True)
class WallClockStepped(Event):
    """The wall clock of the VM jumped and stayed, so windows follow it now.

    Attributes:
        step_s: Change of the clock, in seconds.
    """

    number: ClassVar[int] = 4022
    step_s: float


@dataclass(frozen=True, slots=True)
class UsageLost(Event):
    """Counts of a window were dropped that no leader has confirmed.

    Attributes:
        window: Number of the window.
    """

    number: ClassVar[int] = 4023
    window: int
