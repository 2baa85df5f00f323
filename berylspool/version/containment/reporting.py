"""Reports of an entry's evidence to the leader of control.

A record is reported until the leader confirms it, and again to each new leader.
"""

from berylspool.version.containment.entry_evidence import (
    ANSWER_GRACE_PERIOD_S,
    CrashEvidence,
    EntryRecord,
    rank,
)
from berylspool.version.containment.evidence import EvidenceReport

__all__ = ["confirm_report", "next_report_at", "take_report"]

MAX_REPORTED = 64
# A report repeats until it is confirmed, so that a few are on their way.
MAX_REPORTS_IN_FLIGHT = 16


def next_report_at(evidence: CrashEvidence) -> float:
    """Return when a record is due that was not reported yet.

    Reports that are not confirmed are repeated at the next occasion.
    """
    return min(
        (
            record.due_at
            for record in evidence.record_by_fingerprint.values()
            if record.due_at > evidence.taken_at
        ),
        default=float("inf"),
    )


def take_report(
    evidence: CrashEvidence, now: float
) -> tuple[EvidenceReport, ...]:
    """Return what the leader lacks, and remember that it was reported.

    If there is more than fits, requests that may be to blame come first, and
    newer losses before older ones, so that innocent requests cannot hide a
    request that comes again.

    Args:
        evidence: Evidence to read and change.
        now: Monotonic time in seconds, which the confirmation names.
    """
    evidence.taken_at = now
    due = [
        (fingerprint, record)
        for fingerprint, record in evidence.record_by_fingerprint.items()
        if record.due_at <= now
    ]
    if not due:
        return ()
    due.sort(key=lambda item: rank(evidence, *item), reverse=True)
    del due[MAX_REPORTED:]
    reported = evidence.reported_by_time
    reported[now] = tuple(fingerprint for fingerprint, _ in due)
    while len(reported) > MAX_REPORTS_IN_FLIGHT:
        del reported[next(iter(reported))]
    for _, record in due:
        record.is_shared = True
    return tuple(_make_report(evidence, *item) for item in due)


def _make_report(
    evidence: CrashEvidence, fingerprint: str, record: EntryRecord
) -> EvidenceReport:
    hold = evidence.hold_by_fingerprint.get(fingerprint)
    return EvidenceReport(
        fingerprint,
        tuple(record.loss_by_upstream.values()),
        _known_time(record.replied_at),
        _known_time(record.answered_at),
        hold.lost_at if hold else None,
        hold.failed_trials if hold else 0,
    )


def _known_time(at: float) -> float | None:
    return at if at > float("-inf") else None


def confirm_report(
    evidence: CrashEvidence, sent_at: float, term: int, now: float
) -> bool:
    """Record that a leader has what was reported at a time.

    A new leader knows nothing, so that all records are due again.

    Args:
        evidence: Evidence to change.
        sent_at: Time of the report, in monotonic seconds.
        term: Term of the leader.
        now: Monotonic time in seconds.

    Returns:
        Whether the leader lacks something.
    """
    if term != evidence.term:
        evidence.term = term
        evidence.reported_by_time.clear()
        for fingerprint, hold in evidence.hold_by_fingerprint.items():
            evidence.record_by_fingerprint.setdefault(
                fingerprint, EntryRecord(changed_at=hold.lost_at)
            )
        for record in evidence.record_by_fingerprint.values():
            record.due_at = min(
                record.due_at,
                max(now, record.changed_at + ANSWER_GRACE_PERIOD_S),
            )
        return bool(evidence.record_by_fingerprint)
    for fingerprint in evidence.reported_by_time.pop(sent_at, ()):
        reported = evidence.record_by_fingerprint.get(fingerprint)
        if reported is not None and reported.changed_at <= sent_at:
            reported.due_at = float("inf")
    return False
