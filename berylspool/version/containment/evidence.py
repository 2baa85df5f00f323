"""Evidence that a request crashes upstreams, and what it proves.

A single lost upstream proves little, as upstreams also crash and reset
connections for other reasons.  A request is to blame if upstream after upstream
was lost under it and none answered.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

__all__ = [
    "TRUST_S",
    "EvidenceReport",
    "HeldRequest",
    "Holds",
    "LostCopy",
    "count_losses_in_a_row",
    "is_suspicious",
    "is_to_blame",
    "shift_report",
]

# After an answer, losses prove nothing against the request for this time.
TRUST_S = 60.0
# Both copies of a request may coincide with a restart of their upstream; the
# loss of a third upstream is evidence against the request.
MIN_LOSSES_IN_A_ROW = 3
# One loss less is enough if as many other upstreams fell at the same moments,
# as several clients may send the request at once.
MIN_OTHER_LOSSES = 4


@dataclass(frozen=True, slots=True)
class LostCopy:
    """A copy of a request whose upstream was lost while it ran.

    Attributes:
        upstream: Id of the upstream.
        sent_at: Time at which the copy was sent, in monotonic seconds.
        lost_at: Time at which the upstream was lost, in monotonic seconds.
    """

    upstream: str
    sent_at: float
    lost_at: float


@dataclass(frozen=True, slots=True)
class EvidenceReport:
    """What one entry knows of a request; times are on its own clock.

    Attributes:
        fingerprint: Fingerprint of the request.
        losses: Copies lost since the latest reply.
        replied_at: Time of the latest reply of an upstream, an error or an
            answer, in monotonic seconds; None if there was none.
        answered_at: Time of the latest answer, in monotonic seconds; None if
            there was none.
        held_lost_at: If the entry holds the request, the time of the latest
            loss that it knows of, in monotonic seconds; else None.
        failed_trials: Number of trials that have failed.
    """

    fingerprint: str
    losses: tuple[LostCopy, ...] = ()
    replied_at: float | None = None
    answered_at: float | None = None
    held_lost_at: float | None = None
    failed_trials: int = 0


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that entries must not send.

    Attributes:
        fingerprint: Fingerprint of the request.
        lost_ago_s: Time since the latest loss, in seconds.
        failed_trials: Number of trials that have failed.
        trial_in_s: Time until an entry may ask for a trial, in seconds; None
            if there will be none.
    """

    fingerprint: str
    lost_ago_s: float
    failed_trials: int
    trial_in_s: float | None


@dataclass(frozen=True, slots=True)
class Holds:
    """What a leader tells entries of requests that may crash upstreams.

    Attributes:
        term: Term of the leader; 0 if it keeps no evidence.
        held: Requests that must not be sent.
        watched: Fingerprints of requests whose answers are worth reporting.
        serial: Number that changes with `held` and `watched`, which are empty
            if the entry has those of this number; 0 if they are always sent.
    """

    term: int = 0
    held: tuple[HeldRequest, ...] = ()
    watched: tuple[str, ...] = ()
    serial: int = 0


def count_losses_in_a_row(losses: Iterable[LostCopy]) -> int:
    """Return the number of losses of which each follows from a new copy.

    Upstreams that fall together interrupt the copies that they run at that
    moment, so these count once.  A copy that is sent after a loss, and loses
    one more upstream, counts again.

    Examples:
        >>> together = [LostCopy(u, 0.0, 1.0) for u in "abc"]
        >>> count_losses_in_a_row(together)
        1
        >>> count_losses_in_a_row([*together, LostCopy("d", 1.1, 1.2)])
        2
    """
    count, latest_at = 0, float("-inf")
    for loss in sorted(losses, key=lambda loss: loss.lost_at):
        if loss.sent_at >= latest_at:
            count += 1
            latest_at = loss.lost_at
    return count


def is_suspicious(losses: Iterable[LostCopy]) -> bool:
    """Return whether one more loss would put the blame on the request."""
    return count_losses_in_a_row(losses) >= MIN_LOSSES_IN_A_ROW - 1


def is_to_blame(losses: Iterable[LostCopy]) -> bool:
    """Return whether the losses are the fault of the request.

    Args:
        losses: One loss for each upstream.

    Examples:
        >>> chain = [LostCopy(f"u{n}", n, n + 0.5) for n in range(3)]
        >>> is_to_blame(chain), is_to_blame(chain[1:])
        (True, False)
    """
    losses = tuple(losses)
    in_a_row = count_losses_in_a_row(losses)
    others = len(losses) - in_a_row
    return in_a_row >= MIN_LOSSES_IN_A_ROW or (
        in_a_row == MIN_LOSSES_IN_A_ROW - 1 and others >= MIN_OTHER_LOSSES
    )


def shift_report(report: EvidenceReport, offset_s: float) -> EvidenceReport:
    """Return a report with its times on another clock.

    Args:
        report: Report of an entry.
        offset_s: Reading of the other clock less that of the entry, in
            seconds.
    """

    def shift(at: float | None) -> float | None:
        return None if at is None else at + offset_s

    return replace(
        report,
        losses=tuple(
            LostCopy(
                loss.upstream, loss.sent_at + offset_s, loss.lost_at + offset_s
            )
            for loss in report.losses
        ),
        replied_at=shift(report.replied_at),
        answered_at=shift(report.answered_at),
        held_lost_at=shift(report.held_lost_at),
    )
