"""Evidence of all entries at the leader of control, and its decisions.

Reports may arrive in any order, late or twice: a record holds the union of the
losses and the latest of all other times, and what follows from it is the same.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from berylspool.version.containment.evidence import (
    TRUST_S,
    EvidenceReport,
    HeldRequest,
    Holds,
    LostCopy,
    count_losses_in_a_row,
    is_suspicious,
    is_to_blame,
    shift_report,
)

__all__ = [
    "SharedEvidence",
    "Trial",
    "add_convicted",
    "add_reports",
    "ask_trials",
    "expire",
    "make_holds",
]

# A request that is to blame crashes one upstream more in each trial.  Each wait
# counts from the latest loss; after the last trial there is none.
TRIAL_WAITS_S = (0.0, 10.0, 600.0)
# Longer than most requests take.  An entry that ends or has no request in this
# time leaves the trial to another.
TRIAL_S = 10.0
HOLD_RETENTION_S = 3_600.0
LOSS_RETENTION_S = 600.0
EXPIRY_INTERVAL_S = 5.0
MAX_FINGERPRINTS = 4_096
# Limits on what each grant carries.
MAX_HELD_TOLD = 16
MAX_WATCHED_TOLD = 8
# A request that is lost twice and never sent again is worth no more attention.
WATCHED_S = 60.0
# More than the changes in a term, so that no two terms share a serial.
SERIALS_PER_TERM = 1 << 32


@dataclass(frozen=True, slots=True)
class Trial:
    """Permission for one entry to send one copy of a held request.

    Attributes:
        entry: Name of the entry.
        begun_at: Time at which it was given, in monotonic seconds.
    """

    entry: str
    begun_at: float


@dataclass(slots=True)
class SharedRecord:
    """What all entries have seen of a request.

    Attributes:
        loss_by_upstream: First loss of each upstream since the latest reply.
        lost_at: Time of the latest loss, in monotonic seconds.
        replied_at: Time of the latest reply, an error or an answer, in
            monotonic seconds.
        answered_at: Time of the latest answer, in monotonic seconds.
        held_lost_at: Latest loss that an entry names which holds the request,
            in monotonic seconds.
        failed_trials: Number of trials that have failed.
        trial: Trial that has not ended.
    """

    loss_by_upstream: dict[str, LostCopy] = field(default_factory=dict)
    lost_at: float = float("-inf")
    replied_at: float = float("-inf")
    answered_at: float = float("-inf")
    held_lost_at: float = float("-inf")
    failed_trials: int = 0
    trial: Trial | None = None

    @property
    def changed_at(self) -> float:
        """Time of the latest loss or reply, in monotonic seconds."""
        return max(self.lost_at, self.replied_at)


@dataclass(slots=True)
class SharedEvidence:
    """Evidence of all entries in one term of the leader.

    Attributes:
        term: Term of the leader.
        expired_at: Time at which old records were removed last, in monotonic
            seconds.
        record_by_fingerprint: What all entries have seen.
        held: Fingerprints that are held, the latest to change last.
        watched: Fingerprints that one more loss would put the blame on, in the
            same order.
        serial: Number of what entries are told, unique among all terms.
        told: What that is made of.
    """

    term: int = 0
    expired_at: float = float("-inf")
    record_by_fingerprint: dict[str, SharedRecord] = field(default_factory=dict)
    held: dict[str, None] = field(default_factory=dict)
    watched: dict[str, None] = field(default_factory=dict)
    serial: int = 0
    told: tuple[tuple[Any, ...], ...] = ()


def add_reports(
    evidence: SharedEvidence,
    reports: Iterable[EvidenceReport],
    offset_s: float,
) -> None:
    """Add the reports of an entry.

    Args:
        evidence: Evidence to change.
        reports: Reports, with times on the clock of the entry.
        offset_s: Reading of this node's clock less that of the entry, in
            seconds.
    """
    for report in reports:
        _add_report(evidence, shift_report(report, offset_s))


def _add_report(evidence: SharedEvidence, report: EvidenceReport) -> None:
    record = evidence.record_by_fingerprint.setdefault(
        report.fingerprint, SharedRecord()
    )
    record.replied_at = _latest(record.replied_at, report.replied_at)
    record.answered_at = _latest(record.answered_at, report.answered_at)
    record.held_lost_at = _latest(record.held_lost_at, report.held_lost_at)
    for loss in report.losses:
        record.loss_by_upstream.setdefault(loss.upstream, loss)
        _note_loss(record, loss.lost_at)
    _note_loss(record, record.held_lost_at)
    record.failed_trials = max(record.failed_trials, report.failed_trials)
    record.loss_by_upstream = {
        upstream: loss
        for upstream, loss in record.loss_by_upstream.items()
        if loss.lost_at > record.replied_at
    }
    _classify(evidence, report.fingerprint, record)
    _drop_least(evidence)


def _latest(known: float, reported: float | None) -> float:
    return known if reported is None else max(known, reported)


def _note_loss(record: SharedRecord, lost_at: float) -> None:
    record.lost_at = max(record.lost_at, lost_at)
    trial = record.trial
    if trial is not None and lost_at >= trial.begun_at:
        record.failed_trials += 1
        record.trial = None


def _classify(
    evidence: SharedEvidence, fingerprint: str, record: SharedRecord
) -> None:
    losses = record.loss_by_upstream.values()
    is_trusted = record.lost_at - record.answered_at <= TRUST_S
    is_held = not is_trusted and (
        record.held_lost_at > record.replied_at or is_to_blame(losses)
    )
    is_watched = not (is_trusted or is_held) and is_suspicious(losses)
    if not is_held:
        record.trial = None
    for fingerprints, is_member in (
        (evidence.held, is_held),
        (evidence.watched, is_watched),
    ):
        fingerprints.pop(fingerprint, None)
        if is_member:
            fingerprints[fingerprint] = None


def add_convicted(
    evidence: SharedEvidence, fingerprints: Iterable[str], now: float
) -> None:
    """Hold requests that an entry of an earlier build has convicted.

    Its heartbeats repeat them without a time, so only the first counts.
    """
    for fingerprint in fingerprints:
        if fingerprint not in evidence.record_by_fingerprint:
            report = EvidenceReport(fingerprint, held_lost_at=now)
            _add_report(evidence, report)


def make_holds(
    evidence: SharedEvidence, now: float, known_serial: int = 0
) -> Holds:
    """Return what to tell an entry; the latest where not all fits.

    Args:
        evidence: Evidence to read; its serial changes with what is told.
        now: Monotonic time in seconds.
        known_serial: Serial of what the entry has.
    """
    held = list(evidence.held)[-MAX_HELD_TOLD:]
    watched = tuple(list(evidence.watched)[-MAX_WATCHED_TOLD:])
    records = [evidence.record_by_fingerprint[f] for f in held]
    told = (
        watched,
        *(
            (fingerprint, record.lost_at, record.failed_trials, record.trial)
            for fingerprint, record in zip(held, records, strict=True)
        ),
    )
    if not evidence.serial or told != evidence.told:
        evidence.told = told
        first = evidence.term * SERIALS_PER_TERM
        evidence.serial = max(evidence.serial, first) + 1
    if known_serial == evidence.serial:
        return Holds(evidence.term, serial=evidence.serial)
    return Holds(
        evidence.term,
        tuple(
            _make_held(record, fingerprint, now)
            for fingerprint, record in zip(held, records, strict=True)
        ),
        watched,
        evidence.serial,
    )


def _make_held(
    record: SharedRecord, fingerprint: str, now: float
) -> HeldRequest:
    trial_at = _next_trial_at(record)
    return HeldRequest(
        fingerprint,
        now - record.lost_at,
        record.failed_trials,
        max(0.0, trial_at - now) if trial_at is not None else None,
    )


def _next_trial_at(record: SharedRecord) -> float | None:
    """Return when another trial may begin, in monotonic seconds."""
    if record.failed_trials >= len(TRIAL_WAITS_S):
        return None
    trial_at = record.lost_at + TRIAL_WAITS_S[record.failed_trials]
    if record.trial is not None:
        trial_at = max(trial_at, record.trial.begun_at + TRIAL_S)
    return trial_at


def ask_trials(
    evidence: SharedEvidence,
    entry: str,
    fingerprints: Iterable[str],
    now: float,
) -> tuple[str, ...]:
    """Give an entry the trials that it asks for, if their time has come.

    Args:
        evidence: Evidence to read and change.
        entry: Name of the entry.
        fingerprints: Requests that wait there.
        now: Monotonic time in seconds.

    Returns:
        Fingerprints of which the entry may send one copy.
    """
    given = []
    for fingerprint in fingerprints:
        record = evidence.record_by_fingerprint.get(fingerprint)
        if record is None or fingerprint not in evidence.held:
            continue
        trial_at = _next_trial_at(record)
        if trial_at is not None and trial_at <= now:
            record.trial = Trial(entry, now)
            given.append(fingerprint)
    return tuple(given)


def expire(evidence: SharedEvidence, now: float) -> None:
    """Remove records that prove nothing any longer, now and then."""
    if now - evidence.expired_at < EXPIRY_INTERVAL_S:
        return
    evidence.expired_at = now
    evidence.watched = {
        fingerprint: None
        for fingerprint in evidence.watched
        if now - evidence.record_by_fingerprint[fingerprint].changed_at
        <= WATCHED_S
    }
    _drop(
        evidence,
        [
            fingerprint
            for fingerprint, record in evidence.record_by_fingerprint.items()
            if now - record.changed_at
            > (
                HOLD_RETENTION_S
                if fingerprint in evidence.held
                else LOSS_RETENTION_S
            )
        ],
    )


def _drop_least(evidence: SharedEvidence) -> None:
    """Drop the records that prove least, a quarter of a full table at once."""
    records = evidence.record_by_fingerprint
    if len(records) <= MAX_FINGERPRINTS:
        return

    def rank(fingerprint: str) -> tuple[bool, int, float]:
        record = records[fingerprint]
        in_a_row = count_losses_in_a_row(record.loss_by_upstream.values())
        return fingerprint in evidence.held, in_a_row, record.changed_at

    ranked = sorted(records, key=rank)
    _drop(evidence, ranked[: MAX_FINGERPRINTS // 4])


def _drop(evidence: SharedEvidence, fingerprints: list[str]) -> None:
    for fingerprint in fingerprints:
        del evidence.record_by_fingerprint[fingerprint]
        evidence.held.pop(fingerprint, None)
        evidence.watched.pop(fingerprint, None)
