"""What an upstream reports of its load in an answer."""

from dataclasses import dataclass

__all__ = ["MAX_EXPLAINED_RATIO", "ReportedLoad", "updated_trust"]

# Answer times vary, so only one of twice what a report explains speaks against
# the report, and several of them before it hardly counts.
MAX_EXPLAINED_RATIO = 2.0
REPORT_TRUST_EWMA_WEIGHT = 0.3
FULL_TRUST = 0.99


@dataclass(slots=True)
class ReportedLoad:
    """Load of an upstream, as it reports it.

    Attributes:
        running: Requests of all callers that it runs.
        waiting: Requests of all callers that wait for a slot.
        slots: Requests that it runs at the same time; at least 1 if the
            report states the pace.
        pace: How long work takes there now, as a share of the usual time.
        has_pace: Whether the report states the pace.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0
    has_pace: bool = False


def updated_trust(trust: float, load: ReportedLoad, ratio: float) -> float:
    """Return the trust in an upstream's reports after one more answer.

    Args:
        trust: Share of its recent answers that agreed with their reports.
        load: Report that the answer carried.
        ratio: Time of the answer, relative to the usual one.

    Examples:
        >>> slow = ReportedLoad(1, 0, 2, pace=3.0, has_pace=True)
        >>> updated_trust(1.0, slow, 5.0)
        1.0
        >>> updated_trust(1.0, ReportedLoad(0, 0, 2, has_pace=True), 5.0)
        0.7
    """
    explained = load.pace * (1.0 + load.waiting / load.slots)
    agrees = ratio <= MAX_EXPLAINED_RATIO * max(explained, 1.0)
    trust += REPORT_TRUST_EWMA_WEIGHT * (agrees - trust)
    return 1.0 if trust > FULL_TRUST else trust
