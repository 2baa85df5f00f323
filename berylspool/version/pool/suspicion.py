"""Containment of requests that crash the upstreams that run them.

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
    "Suspicion",
    "Verdict",
    "blame",
    "clear",
    "expire",
    "is_convicted",
    "is_suspect",
]

KEPT_S = 600.0


class Verdict(enum.StrEnum):
    """Status of a fingerprint whose requests lost an upstream."""

    SUSPECT = "suspect"
    CONVICTED = "convicted"


@dataclass(slots=True)
class Suspicion:
    """Verdict on each blamed fingerprint and its time.

    Attributes:
        verdict_by_fingerprint: Verdicts that have not expired.
        blamed_at: Time of the latest verdict by fingerprint, monotonic
            seconds.
    """

    verdict_by_fingerprint: dict[str, Verdict] = field(default_factory=dict)
    blamed_at: dict[str, float] = field(default_factory=dict)


def blame(
    suspicion: Suspicion, fingerprint: str, verdict: Verdict, now: float
) -> bool:
    """Record a verdict against a fingerprint.

    Args:
        suspicion: Table to update.
        fingerprint: Fingerprint of the request.
        verdict: Verdict of this or another pool.
        now: Monotonic time in seconds.

    Returns:
        True if the verdict changed.  A conviction is never lowered.

    Examples:
        >>> table = Suspicion()
        >>> blame(table, "f", Verdict.SUSPECT, 0.0)
        True
        >>> is_suspect(table, "f"), is_convicted(table, "f")
        (True, False)
    """
    suspicion.blamed_at[fingerprint] = now
    held = suspicion.verdict_by_fingerprint.get(fingerprint)
    if held in (verdict, Verdict.CONVICTED):
        return False
    suspicion.verdict_by_fingerprint[fingerprint] = verdict
    return True


def clear(suspicion: Suspicion, fingerprint: str) -> None:
    """Remove a suspect after an answer; a conviction stays."""
    if is_suspect(suspicion, fingerprint):
        del suspicion.verdict_by_fingerprint[fingerprint]
        del suspicion.blamed_at[fingerprint]


def is_suspect(suspicion: Suspicion, fingerprint: str) -> bool:
    """Return whether the fingerprint must run alone."""
    held = suspicion.verdict_by_fingerprint.get(fingerprint)
    return held is Verdict.SUSPECT


def is_convicted(suspicion: Suspicion, fingerprint: str) -> bool:
    """Return whether the fingerprint must not run."""
    held = suspicion.verdict_by_fingerprint.get(fingerprint)
    return held is Verdict.CONVICTED


def expire(suspicion: Suspicion, now: float) -> None:
    """Remove verdicts that are older than `KEPT_S`."""
    old = [f for f, at in suspicion.blamed_at.items() if now - at > KEPT_S]
    for fingerprint in old:
        del suspicion.blamed_at[fingerprint]
        del suspicion.verdict_by_fingerprint[fingerprint]
