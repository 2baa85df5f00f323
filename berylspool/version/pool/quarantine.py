"""Quarantine of requests that crash the upstreams that run them.

A connection that is lost while a request runs makes its fingerprint a suspect,
together with those of all other requests on that upstream.  A suspect runs
alone on its next upstream: an answer clears it, a second loss convicts it.
A request thus crashes at most two upstreams of a service, and harmless requests
are answered.  Reference: "query of death" in Beyer et al., "Site Reliability
Engineering", O'Reilly 2016, chapter 22.
"""

import enum
from dataclasses import dataclass, field

__all__ = [
    "Verdict",
    "VerdictTable",
    "clear_suspect",
    "is_convicted",
    "is_suspect",
    "lift_verdict",
    "record_verdict",
    "remove_expired",
]

VERDICT_TTL_S = 600.0


class Verdict(enum.StrEnum):
    """Status of a fingerprint whose requests lost an upstream.

    Attributes:
        SUSPECT: It runs alone.
        CONVICTED: It does not run.
        CLEARED: It runs like any other; no table holds this verdict.
    """

    SUSPECT = "suspect"
    CONVICTED = "convicted"
    CLEARED = "cleared"


@dataclass(slots=True)
class VerdictTable:
    """Verdicts against fingerprints, and the times of these verdicts.

    Attributes:
        verdict_by_fingerprint: Verdicts that have not expired.
        recorded_at_by_fingerprint: Times of the latest verdicts, monotonic
            seconds.
    """

    verdict_by_fingerprint: dict[str, Verdict] = field(default_factory=dict)
    recorded_at_by_fingerprint: dict[str, float] = field(default_factory=dict)


def record_verdict(
    table: VerdictTable, fingerprint: str, verdict: Verdict, now: float
) -> bool:
    """Record a verdict against a fingerprint.

    Args:
        table: Table to update.
        fingerprint: Fingerprint of the request.
        verdict: Verdict of this or another pool.
        now: Monotonic time in seconds.

    Returns:
        True if the verdict changed.  A conviction is never lowered.

    Examples:
        >>> table = VerdictTable()
        >>> record_verdict(table, "f", Verdict.SUSPECT, 0.0)
        True
        >>> is_suspect(table, "f"), is_convicted(table, "f")
        (True, False)
    """
    table.recorded_at_by_fingerprint[fingerprint] = now
    current = table.verdict_by_fingerprint.get(fingerprint)
    if current in (verdict, Verdict.CONVICTED):
        return False
    table.verdict_by_fingerprint[fingerprint] = verdict
    return True


def clear_suspect(table: VerdictTable, fingerprint: str) -> None:
    """Remove a suspect after an answer; a conviction stays."""
    if is_suspect(table, fingerprint):
        del table.verdict_by_fingerprint[fingerprint]
        del table.recorded_at_by_fingerprint[fingerprint]


def lift_verdict(table: VerdictTable, fingerprint: str) -> None:
    """Remove any verdict against a fingerprint."""
    table.verdict_by_fingerprint.pop(fingerprint, None)
    table.recorded_at_by_fingerprint.pop(fingerprint, None)


def is_suspect(table: VerdictTable, fingerprint: str) -> bool:
    """Return whether requests with the fingerprint must run alone."""
    verdict = table.verdict_by_fingerprint.get(fingerprint)
    return verdict is Verdict.SUSPECT


def is_convicted(table: VerdictTable, fingerprint: str) -> bool:
    """Return whether requests with the fingerprint must not run."""
    verdict = table.verdict_by_fingerprint.get(fingerprint)
    return verdict is Verdict.CONVICTED


def remove_expired(table: VerdictTable, now: float) -> None:
    """Remove verdicts that are older than `VERDICT_TTL_S`."""
    expired = [
        f
        for f, at in table.recorded_at_by_fingerprint.items()
        if now - at > VERDICT_TTL_S
    ]
    for fingerprint in expired:
        del table.recorded_at_by_fingerprint[fingerprint]
        del table.verdict_by_fingerprint[fingerprint]
