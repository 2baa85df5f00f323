"""Containment of requests that crash every upstream that runs them.

A query of death may be resent through any entry, and here no entry owns the
upstreams.  A single lost connection proves little, as upstreams also crash and
reset connections for other reasons.  A request is convicted, and not sent
again, once several upstreams were lost while they ran it and none answered it.
Reference: "query of death" in Beyer et al., "Site Reliability Engineering",
O'Reilly 2016, chapter 22.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = [
    "CrashEvidence",
    "add_convictions",
    "convict",
    "expire",
    "is_convicted",
    "record_answer",
    "record_loss",
]

# Both copies of a request may coincide with a restart of their upstream; the
# loss of a third upstream is evidence against the request.
MIN_LOST_UPSTREAMS = 3
# Other upstreams answer an innocent request within this time, slow ones too.
ANSWER_GRACE_PERIOD_S = 0.5
RETENTION_S = 600.0
MAX_FINGERPRINTS = 4_096


@dataclass(slots=True)
class CrashEvidence:
    """Evidence for and against requests, by fingerprint.

    Attributes:
        lost_by_fingerprint: Upstreams that were lost while they ran a
            request, with the time of their first loss, in monotonic seconds.
        answered_at: Time at which a request with losses was answered, in
            monotonic seconds.
        convicted_at: Time of a request's conviction, in monotonic seconds.
    """

    lost_by_fingerprint: dict[str, dict[str, float]] = field(
        default_factory=dict
    )
    answered_at: dict[str, float] = field(default_factory=dict)
    convicted_at: dict[str, float] = field(default_factory=dict)


def record_loss(
    evidence: CrashEvidence, fingerprint: str, upstream: str, now: float
) -> None:
    """Record an upstream that was lost while it ran a request."""
    if (
        fingerprint in evidence.answered_at
        or fingerprint in evidence.convicted_at
    ):
        return
    lost = evidence.lost_by_fingerprint.setdefault(fingerprint, {})
    lost.setdefault(upstream, now)
    _drop_oldest(evidence.lost_by_fingerprint)


def convict(evidence: CrashEvidence, now: float) -> list[str]:
    """Convict requests that no upstream answered within the grace period.

    Upstreams that fail together interrupt all requests that they run at that
    time. Other upstreams answer those requests soon after, so a conviction
    waits for `ANSWER_GRACE_PERIOD_S` after the decisive loss.

    Args:
        evidence: Evidence to read and change.
        now: Monotonic time in seconds.

    Returns:
        Fingerprints that this call convicts.

    Examples:
        >>> evidence = CrashEvidence()
        >>> for upstream in ("a", "b", "c"):
        ...     record_loss(evidence, "f", upstream, 0.0)
        >>> convict(evidence, 0.1), convict(evidence, 1.0)
        ([], ['f'])
    """
    convicted = [
        fingerprint
        for fingerprint, lost in evidence.lost_by_fingerprint.items()
        if len(lost) >= MIN_LOST_UPSTREAMS
        and now - sorted(lost.values())[MIN_LOST_UPSTREAMS - 1]
        > ANSWER_GRACE_PERIOD_S
    ]
    for fingerprint in convicted:
        del evidence.lost_by_fingerprint[fingerprint]
        evidence.convicted_at[fingerprint] = now
    return convicted


def record_answer(
    evidence: CrashEvidence, fingerprint: str, now: float
) -> None:
    """Record an answer to a request, which clears it if it had losses."""
    if evidence.lost_by_fingerprint.pop(fingerprint, None) is not None:
        evidence.answered_at[fingerprint] = now


def add_convictions(
    evidence: CrashEvidence, fingerprints: Iterable[str], now: float
) -> list[str]:
    """Add convictions by other entries.

    Returns:
        Fingerprints that were not convicted here before.
    """
    new = [f for f in fingerprints if f not in evidence.convicted_at]
    evidence.convicted_at.update((f, now) for f in new)
    return new


def is_convicted(evidence: CrashEvidence, fingerprint: str) -> bool:
    """Return whether a request must not be sent."""
    return fingerprint in evidence.convicted_at


def expire(evidence: CrashEvidence, now: float) -> None:
    """Remove evidence that is older than `RETENTION_S`."""
    for time_by_fingerprint in (evidence.answered_at, evidence.convicted_at):
        expired = [
            f for f, at in time_by_fingerprint.items() if now - at > RETENTION_S
        ]
        for fingerprint in expired:
            del time_by_fingerprint[fingerprint]
        _drop_oldest(time_by_fingerprint)
    for fingerprint, lost in list(evidence.lost_by_fingerprint.items()):
        if now - max(lost.values()) > RETENTION_S:
            del evidence.lost_by_fingerprint[fingerprint]


def _drop_oldest(by_fingerprint: dict) -> None:
    while len(by_fingerprint) > MAX_FINGERPRINTS:
        del by_fingerprint[next(iter(by_fingerprint))]
