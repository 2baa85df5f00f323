"""Evidence of one entry, what it has reported of it, and what it must hold."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from berylspool.version.containment.evidence import (
    TRUST_S,
    Holds,
    LostCopy,
    count_losses_in_a_row,
    is_to_blame,
)

__all__ = [
    "ANSWER_GRACE_PERIOD_S",
    "CrashEvidence",
    "Hold",
    "EntryRecord",
    "apply_holds",
    "convict",
    "expire",
    "is_convicted",
    "rank",
    "record_failed_trial",
    "record_loss",
    "record_reply",
]

# Other upstreams answer an innocent request within this time, slow ones too.
ANSWER_GRACE_PERIOD_S = 0.5
RETENTION_S = 600.0
MAX_FINGERPRINTS = 4_096


@dataclass(slots=True)
class EntryRecord:
    """What this entry has seen of a request.

    Attributes:
        loss_by_upstream: First loss of each upstream since the latest reply.
        replied_at: Time of the latest reply, an error or an answer, in
            monotonic seconds.
        answered_at: Time of the latest answer, in monotonic seconds.
        changed_at: Time of the latest change, in monotonic seconds.
        due_at: Time from which the record is worth reporting, in monotonic
            seconds; infinite if the leader has all of it.
        is_shared: Whether a leader may have some of it.
    """

    loss_by_upstream: dict[str, LostCopy] = field(default_factory=dict)
    replied_at: float = float("-inf")
    answered_at: float = float("-inf")
    changed_at: float = float("-inf")
    due_at: float = float("inf")
    is_shared: bool = False


@dataclass(frozen=True, slots=True)
class Hold:
    """A request that this entry must not send.

    Attributes:
        lost_at: Time of the latest loss, in monotonic seconds.
        failed_trials: Number of trials that have failed.
        trial_at: Time from which a trial may be asked for, in monotonic
            seconds.
        heard_at: Time at which the hold was decided or heard of last, in
            monotonic seconds.
    """

    lost_at: float
    failed_trials: int
    trial_at: float
    heard_at: float


@dataclass(slots=True)
class CrashEvidence:
    """Evidence for and against requests, by fingerprint.

    Attributes:
        record_by_fingerprint: What this entry has seen.
        hold_by_fingerprint: Requests that this entry must not send.
        told: Requests that the leader holds.
        watched: Requests whose replies the leader wants to know of.
        holds_serial: Serial of what the leader has told; 0 to be told again.
        taken_at: Time of the latest report, in monotonic seconds.
        term: Term of the leader that the confirmed records are with.
        reported_by_time: Fingerprints of the reports without a confirmation,
            by the time of the report.
    """

    record_by_fingerprint: dict[str, EntryRecord] = field(default_factory=dict)
    hold_by_fingerprint: dict[str, Hold] = field(default_factory=dict)
    told: set[str] = field(default_factory=set)
    watched: set[str] = field(default_factory=set)
    holds_serial: int = 0
    taken_at: float = float("-inf")
    term: int = 0
    reported_by_time: dict[float, tuple[str, ...]] = field(default_factory=dict)


def record_loss(
    evidence: CrashEvidence,
    fingerprint: str,
    upstream: str,
    now: float,
    sent_at: float | None = None,
) -> None:
    """Record an upstream that was lost while it ran a request.

    Args:
        evidence: Evidence to change.
        fingerprint: Fingerprint of the request.
        upstream: Id of the upstream.
        now: Monotonic time in seconds.
        sent_at: Time at which the copy was sent, in monotonic seconds; `now`
            if it is not known.
    """
    record = evidence.record_by_fingerprint.setdefault(
        fingerprint, EntryRecord()
    )
    if now - record.answered_at <= TRUST_S:
        return
    hold = evidence.hold_by_fingerprint.get(fingerprint)
    if hold is not None:
        evidence.hold_by_fingerprint[fingerprint] = replace(hold, lost_at=now)
    elif upstream in record.loss_by_upstream:
        return
    sent_at = now if sent_at is None else sent_at
    loss = LostCopy(upstream, sent_at, now)
    record.loss_by_upstream.setdefault(upstream, loss)
    record.changed_at = now
    record.due_at = min(record.due_at, now + ANSWER_GRACE_PERIOD_S)
    _drop_least(evidence)


def record_failed_trial(
    evidence: CrashEvidence, fingerprint: str, now: float
) -> None:
    """Record that a trial of this entry has lost its upstream."""
    hold = evidence.hold_by_fingerprint.get(fingerprint)
    if hold is None:
        return
    evidence.hold_by_fingerprint[fingerprint] = replace(
        hold, lost_at=now, failed_trials=hold.failed_trials + 1
    )
    record = evidence.record_by_fingerprint.setdefault(
        fingerprint, EntryRecord()
    )
    # The leader may change before the next report.
    record.changed_at = record.due_at = now


def record_reply(
    evidence: CrashEvidence, fingerprint: str, now: float, *, is_answer: bool
) -> bool:
    """Record a reply to a request, which its upstream has survived.

    An error clears the losses so far, but its upstream may have failed before
    it ran the request, so that only an answer is trusted for longer.

    Returns:
        Whether the request was held until now.
    """
    is_told = fingerprint in evidence.watched
    record = evidence.record_by_fingerprint.get(fingerprint)
    if record is None:
        if not is_told:
            return False
        record = evidence.record_by_fingerprint[fingerprint] = EntryRecord()
    elif not (record.loss_by_upstream or is_told):
        return False
    record.loss_by_upstream.clear()
    record.replied_at = record.changed_at = now
    if is_answer:
        record.answered_at = now
    record.due_at = now if is_told or record.is_shared else float("inf")
    if evidence.hold_by_fingerprint.pop(fingerprint, None) is None:
        return False
    # The leader may know of a later loss, and go on to hold it.
    evidence.holds_serial = 0
    return True


def convict(evidence: CrashEvidence, now: float) -> list[str]:
    """Hold requests that are to blame, by the evidence of this entry alone.

    Where a leader has the evidence, it decides.  Other upstreams answer an
    innocent request soon after a loss, so a decision waits for
    `ANSWER_GRACE_PERIOD_S`.

    Args:
        evidence: Evidence to read and change.
        now: Monotonic time in seconds.

    Returns:
        Fingerprints that this call convicts.

    Examples:
        >>> evidence = CrashEvidence()
        >>> for at, upstream in enumerate(("a", "b", "c")):
        ...     record_loss(evidence, "f", upstream, at)
        >>> convict(evidence, 2.1), convict(evidence, 3.0)
        ([], ['f'])
    """
    convicted = []
    for fingerprint, record in evidence.record_by_fingerprint.items():
        if (
            fingerprint in evidence.hold_by_fingerprint
            or record.due_at == float("inf")
            or not is_to_blame(
                loss
                for loss in record.loss_by_upstream.values()
                if now - loss.lost_at > ANSWER_GRACE_PERIOD_S
            )
        ):
            continue
        convicted.append(fingerprint)
        lost_at = max(loss.lost_at for loss in record.loss_by_upstream.values())
        evidence.hold_by_fingerprint[fingerprint] = Hold(lost_at, 0, now, now)
    return convicted


def is_convicted(evidence: CrashEvidence, fingerprint: str) -> bool:
    """Return whether a request must not be sent."""
    return fingerprint in evidence.hold_by_fingerprint


def rank(
    evidence: CrashEvidence, fingerprint: str, record: EntryRecord
) -> tuple[bool, int, float]:
    """Return a sort key, which is greater the more a record proves."""
    return (
        fingerprint in evidence.hold_by_fingerprint,
        count_losses_in_a_row(record.loss_by_upstream.values()),
        record.changed_at,
    )


def apply_holds(
    evidence: CrashEvidence, holds: Holds, now: float
) -> tuple[list[str], list[str]]:
    """Take over what a leader holds.

    A request that the leader does not hold is released once the leader has all
    that this entry knows of it.

    Args:
        evidence: Evidence to change.
        holds: What the leader tells, whose term was confirmed.
        now: Monotonic time in seconds.

    Returns:
        Fingerprints that were not held before, and those released.
    """
    hold_by_fingerprint = evidence.hold_by_fingerprint
    added: list[str] = []
    if not holds.serial or holds.serial != evidence.holds_serial:
        evidence.holds_serial = holds.serial
        added = _take_over(evidence, holds, now)
    for fingerprint in evidence.told & hold_by_fingerprint.keys():
        hold = hold_by_fingerprint[fingerprint]
        hold_by_fingerprint[fingerprint] = replace(hold, heard_at=now)
    released = [
        fingerprint
        for fingerprint in hold_by_fingerprint
        if fingerprint not in evidence.told
        and _is_confirmed(evidence, fingerprint)
    ]
    _release(evidence, released)
    return added, released


def _take_over(evidence: CrashEvidence, holds: Holds, now: float) -> list[str]:
    """Take over what has changed; return what was not held before."""
    hold_by_fingerprint = evidence.hold_by_fingerprint
    evidence.told = {held.fingerprint for held in holds.held}
    evidence.watched = evidence.told.union(holds.watched)
    added = []
    for held in holds.held:
        record = evidence.record_by_fingerprint.get(held.fingerprint)
        if record is not None and record.replied_at > now - held.lost_ago_s:
            # The leader does not have this reply yet.
            continue
        if held.fingerprint not in hold_by_fingerprint:
            added.append(held.fingerprint)
        hold = hold_by_fingerprint.get(held.fingerprint)
        lost_at = now - held.lost_ago_s
        hold_by_fingerprint[held.fingerprint] = Hold(
            max(hold.lost_at, lost_at) if hold else lost_at,
            max(hold.failed_trials if hold else 0, held.failed_trials),
            now + held.trial_in_s
            if held.trial_in_s is not None
            else float("inf"),
            now,
        )
    return added


def _is_confirmed(evidence: CrashEvidence, fingerprint: str) -> bool:
    record = evidence.record_by_fingerprint.get(fingerprint)
    return record is None or record.due_at == float("inf")


def _release(evidence: CrashEvidence, fingerprints: Collection[str]) -> None:
    for fingerprint in fingerprints:
        del evidence.hold_by_fingerprint[fingerprint]


def expire(evidence: CrashEvidence, now: float) -> list[str]:
    """Remove what is older than `RETENTION_S`.

    Returns:
        Fingerprints that are no longer held.
    """
    released = [
        fingerprint
        for fingerprint, hold in evidence.hold_by_fingerprint.items()
        if now - hold.heard_at > RETENTION_S
    ]
    _release(evidence, released)
    records = evidence.record_by_fingerprint
    _drop(
        evidence,
        [f for f, r in records.items() if now - r.changed_at > RETENTION_S],
    )
    return released


def _drop_least(evidence: CrashEvidence) -> None:
    """Drop the records that prove least, a quarter of a full table at once."""
    records = evidence.record_by_fingerprint
    if len(records) <= MAX_FINGERPRINTS:
        return
    ranked = sorted(records, key=lambda f: rank(evidence, f, records[f]))
    _drop(evidence, ranked[: MAX_FINGERPRINTS // 4])


def _drop(evidence: CrashEvidence, fingerprints: Iterable[str]) -> None:
    for fingerprint in fingerprints:
        del evidence.record_by_fingerprint[fingerprint]
