"""Messages to the control client task, and what it has not sent yet."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from berylspool.connection.control_message import ExtraCopies
from berylspool.request.ledger import LedgerRequest
from berylspool.version.upstream.slow_upstreams import (
    SlownessObserved,
    SlownessReport,
)

__all__ = [
    "ControlLinkOpened",
    "ControlMessage",
    "EvidenceChanged",
    "Leave",
    "Observations",
    "PendingLedgerRequest",
    "TableDrained",
    "TrialWanted",
    "without_copies",
]


@dataclass(frozen=True, slots=True)
class TableDrained:
    """The pools of the services that a member table moves have drained here.

    Attributes:
        epoch: Epoch of the member table.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class Leave:
    """The entry shuts down and hands over its services to other entries."""


@dataclass(frozen=True, slots=True)
class EvidenceChanged:
    """The time of the next report on requests may have changed."""


@dataclass(frozen=True, slots=True)
class TrialWanted:
    """A request that is held waits for the leader's decision."""


@dataclass(frozen=True, slots=True)
class ControlMessage:
    """A message from the control node named `node`."""

    node: str
    message: Any


@dataclass(frozen=True, slots=True)
class ControlLinkOpened:
    """The link to the control node named `node` has opened."""

    node: str


@dataclass(slots=True)
class PendingLedgerRequest:
    """A ledger request that has no reply yet.

    Attributes:
        submission: The request and the inbox that receives the reply.
        sent_at: Time of the newest transmission, in monotonic seconds.
        expires_at: Time after which it is no longer sent, in monotonic seconds.
    """

    submission: LedgerRequest
    sent_at: float
    expires_at: float


# A busy entry meets as many slow upstreams in one interval only if it is slow
# itself.
MAX_OBSERVED = 64


@dataclass(slots=True)
class Observations:
    """Observations of upstreams that no heartbeat has reported yet.

    Attributes:
        observed_by_upstream: Newest observation of each upstream.
    """

    observed_by_upstream: dict[str, SlownessObserved] = field(
        default_factory=dict
    )

    def add(self, observed: SlownessObserved) -> None:
        """Add an observation; it replaces an earlier one of the upstream."""
        self.observed_by_upstream[observed.id] = observed

    def take(self, now: float) -> tuple[SlownessReport, ...]:
        """Take the observations, up to a limit; drop the rest.

        Args:
            now: Monotonic time in seconds.
        """
        taken = list(self.observed_by_upstream.values())[:MAX_OBSERVED]
        self.observed_by_upstream.clear()
        return tuple(
            SlownessReport(seen.id, round(seen.slowness, 2), now - seen.at)
            for seen in taken
        )


def without_copies(
    loans: Iterable[ExtraCopies],
) -> tuple[ExtraCopies, ...]:
    """Return loans to the same pools that lend nothing."""
    return tuple(replace(loan, copies=0) for loan in loans)
