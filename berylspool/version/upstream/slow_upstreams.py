"""Upstreams that entries find slow, judged together and told to all entries.

An entry among many meets each upstream every few seconds only. When some of
them become slow or silent, each entry would find out for itself, and a wide
request meets one of them at nearly every entry.  So entries report slow
answers, and the leader of control judges an upstream as slow once several
entries agree.

A judgement changes only the order in which an entry prefers upstreams.  An
upstream that pauses for a fraction of a second is not judged, nor is one that a
single entry finds slow, which may itself be busy or cut off.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = [
    "SlownessJudgement",
    "SlownessReport",
    "SlowUpstreams",
    "SlownessJudged",
    "SlownessObserved",
    "all_judgements",
    "is_worth_reporting",
    "judge",
]

# Times its usual answer time. Answers of a healthy upstream vary less, but for
# a few in a hundred.
SLOW_RATIO = 2.5
FAST_RATIO = 1.5
MIN_REPORTERS = 3
# An entry that has met few upstreams of a service may take a slow one as usual.
MIN_FAST_REPORTERS = 2
# Longer than the pauses in which upstreams collect garbage.
MIN_SPAN_S = 0.4
REPORT_WINDOW_S = 1.0
# A report that took longer says little about the present.
MAX_REPORT_AGE_S = 1.0
# Without new reports, entries try the upstream again after about this time, and
# one of them reports it again if it is still slow.
JUDGEMENT_S = 4.0
# Entries are told again that reports go on, so that they go on avoiding it.
RENEWAL_S = 2.0
MAX_SIGHTINGS = 16
# Hundreds of entries report several times a second.
DROP_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class SlownessObserved:
    """A pool has observed an upstream.

    Attributes:
        id: Id of the upstream.
        slowness: Answer time, or time without an answer, as a multiple of the
            usual answer time of the route.
        at: Time of the observation, monotonic seconds.
    """

    id: str
    slowness: float
    at: float


@dataclass(frozen=True, slots=True)
class SlownessJudged:
    """All entries together have judged an upstream.

    Attributes:
        id: Id of the upstream.
        slowness: Expected multiple of the usual answer time.
        valid_until: End of the judgement, monotonic seconds.
    """

    id: str
    slowness: float
    valid_until: float


@dataclass(frozen=True, slots=True)
class SlownessReport:
    """An entry's report on an upstream.

    Attributes:
        id: Id of the upstream.
        slowness: Answer time, or time without an answer, as a multiple of the
            usual answer time of the route.
        age_s: Time since the observation, in seconds.
    """

    id: str
    slowness: float
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SlownessJudgement:
    """Judgement on an upstream.

    Attributes:
        id: Id of the upstream.
        slowness: Expected multiple of the usual answer time; 1 if it is no
            longer slow.
        valid_s: Time for which the judgement holds, in seconds.
    """

    id: str
    slowness: float
    valid_s: float


@dataclass(slots=True)
class _Sighting:
    at: float
    entry: str
    slowness: float


@dataclass(slots=True)
class _Verdict:
    slowness: float
    reported_at: float
    told_at: float
    fast_reporters: set[str] = field(default_factory=set)


@dataclass(slots=True)
class SlowUpstreams:
    """Reports and judgements; state of the leader.

    Attributes:
        sightings_by_upstream: Recent reports of slow answers, oldest first.
        verdict_by_upstream: Upstreams that are judged as slow.
        expired_dropped_at: Time at which expired ones were last dropped,
            monotonic seconds.
    """

    sightings_by_upstream: dict[str, list[_Sighting]] = field(
        default_factory=dict
    )
    verdict_by_upstream: dict[str, _Verdict] = field(default_factory=dict)
    expired_dropped_at: float = float("-inf")


def is_worth_reporting(
    slowness: float, is_answer: bool, is_judged: bool
) -> bool:
    """Return whether an entry should report an observation.

    Args:
        slowness: Observed multiple of the usual answer time.
        is_answer: Whether the upstream has answered.
        is_judged: Whether the upstream is judged as slow.

    Examples:
        >>> is_worth_reporting(4.0, is_answer=False, is_judged=False)
        True
        >>> is_worth_reporting(1.0, is_answer=True, is_judged=False)
        False
        >>> is_worth_reporting(1.0, is_answer=True, is_judged=True)
        True
    """
    if slowness >= SLOW_RATIO:
        return True
    return is_answer and is_judged and slowness <= FAST_RATIO


def judge(
    state: SlowUpstreams,
    entry: str,
    observed: Iterable[SlownessReport],
    now: float,
) -> list[SlownessJudgement]:
    """Add the reports of an entry.

    Args:
        state: State to change in place.
        entry: Name of the entry.
        observed: What it has observed since its last report.
        now: Monotonic time in seconds.

    Returns:
        Judgements that all entries must be told.
    """
    judged = []
    for report in observed:
        if not 0.0 <= report.age_s <= MAX_REPORT_AGE_S:
            continue
        if report.slowness >= SLOW_RATIO:
            judgement = _add_sighting(state, entry, report, now)
        else:
            judgement = _add_fast_report(state, entry, report.id)
        if judgement is not None:
            judged.append(judgement)
    _drop_expired(state, now)
    return judged


def _add_sighting(
    state: SlowUpstreams, entry: str, report: SlownessReport, now: float
) -> SlownessJudgement | None:
    at = now - report.age_s
    sightings = state.sightings_by_upstream.setdefault(report.id, [])
    sightings.append(_Sighting(at, entry, report.slowness))
    sightings.sort(key=lambda sighting: sighting.at)
    sightings[:] = [
        s for s in sightings[-MAX_SIGHTINGS:] if now - s.at <= REPORT_WINDOW_S
    ]
    verdict = state.verdict_by_upstream.get(report.id)
    if verdict is not None and now - verdict.reported_at <= JUDGEMENT_S:
        verdict.reported_at = now
        verdict.fast_reporters.clear()
        if now - verdict.told_at < RENEWAL_S:
            return None
        verdict.told_at = now
        return SlownessJudgement(report.id, verdict.slowness, JUDGEMENT_S)
    if not sightings or not _agree(sightings):
        return None
    slowness = sorted(s.slowness for s in sightings)[len(sightings) // 2]
    state.verdict_by_upstream[report.id] = _Verdict(slowness, now, now)
    return SlownessJudgement(report.id, slowness, JUDGEMENT_S)


def _agree(sightings: list[_Sighting]) -> bool:
    """Return whether several entries found it slow, for longer than a pause."""
    reporters = {sighting.entry for sighting in sightings}
    span_s = sightings[-1].at - sightings[0].at
    return len(reporters) >= MIN_REPORTERS and span_s >= MIN_SPAN_S


def _add_fast_report(
    state: SlowUpstreams, entry: str, upstream_id: str
) -> SlownessJudgement | None:
    state.sightings_by_upstream.pop(upstream_id, None)
    verdict = state.verdict_by_upstream.get(upstream_id)
    if verdict is None:
        return None
    verdict.fast_reporters.add(entry)
    if len(verdict.fast_reporters) < MIN_FAST_REPORTERS:
        return None
    del state.verdict_by_upstream[upstream_id]
    return SlownessJudgement(upstream_id, 1.0, 0.0)


def _drop_expired(state: SlowUpstreams, now: float) -> None:
    if now - state.expired_dropped_at < DROP_INTERVAL_S:
        return
    state.expired_dropped_at = now
    for id, sightings in list(state.sightings_by_upstream.items()):
        if not sightings or now - sightings[-1].at > REPORT_WINDOW_S:
            del state.sightings_by_upstream[id]
    for id, verdict in list(state.verdict_by_upstream.items()):
        if now - verdict.reported_at > JUDGEMENT_S:
            del state.verdict_by_upstream[id]


def all_judgements(state: SlowUpstreams, now: float) -> list[SlownessJudgement]:
    """Return the judgements in force, for an entry that knows none of them."""
    return [
        SlownessJudgement(id, verdict.slowness, JUDGEMENT_S - age_s)
        for id, verdict in state.verdict_by_upstream.items()
        if (age_s := now - verdict.reported_at) < JUDGEMENT_S
    ]
