"""Canary analysis: comparison of a new version with the old one.

For each route, failures of both versions over the same time are compared by
a sequential probability ratio test (Wald, "Sequential Tests of Statistical
Hypotheses", 1945): the new version is bad if its failure odds exceed the old
version's by the factor `BAD_RATIO`, and good if they do not.  The false-alarm
rate of one test is limited by `FALSE_ALARM_RATE`; a fault that is missed in
one stage is tested for again in the next.  Latency is tested in the same way:
an answer is slow if it takes longer than the old version's 95th percentile
times `SLOW_FACTOR`, so fewer than one in twenty answers of a good version are
slow.  Answer times of upstreams that are still cold are not counted, nor are
lost connections that a convicted request caused.
"""

import math
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from berylspool.version.move import Verdict

__all__ = ["Judge", "VersionView", "add_tally", "evidence", "judge", "restart"]

LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
FALSE_ALARM_RATE = 1e-4
MISS_RATE = 1e-2
BAD_RATIO = 3.0
LEAST_FAILURE_RATE = 0.01
LEAST_BAD_RATE = 0.05
MOST_FAILURE_RATE = 0.3
SLOW_RATE = 0.05
SLOW_PERCENTILE = 95.0
SLOW_FACTOR = 1.25
LEAST_SAMPLES = 100
LEAST_OLD_SAMPLES = 100


def histogram() -> HdrHistogram:
    """Return an empty histogram of answer times, in microseconds."""
    return HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class VersionView:
    """Observations of one version of one route, summed over all entries.

    Attributes:
        answered: Number of complete answers.
        failed: Number of errors, incomplete answers and lost connections.
        latency: Histogram of answer times, in microseconds.
    """

    answered: int = 0
    failed: int = 0
    latency: HdrHistogram = field(default_factory=histogram)


@dataclass(slots=True)
class Judge:
    """Observations of one route since the current stage of its move began.

    Attributes:
        view_by_version: Observations in the current stage, by version.
        former_by_version: Observations in the previous stage, which are
            used when the old version gets too little traffic in the current
            one to be compared with.
    """

    view_by_version: dict[str, VersionView] = field(default_factory=dict)
    former_by_version: dict[str, VersionView] = field(default_factory=dict)


def restart(judge: Judge) -> None:
    """Start a new stage, and keep the observations of the previous one."""
    judge.former_by_version = judge.view_by_version
    judge.view_by_version = {}


def add_tally(
    judge: Judge, version: str, answered: int, failed: int, latency: bytes
) -> None:
    """Add the counts that one entry reports.

    Args:
        judge: Observations to add to.
        version: Index version or software version.
        answered: Number of complete answers.
        failed: Number of errors, incomplete answers and lost connections.
        latency: Encoded histogram of answer times; empty if there are none.
    """
    view = judge.view_by_version.setdefault(version, VersionView())
    view.answered += answered
    view.failed += failed
    if latency:
        view.latency.decode_and_add(latency)


def judge(observed: Judge, old: str, new: str) -> tuple[Verdict, str]:
    """Compare a new version with the old one.

    Args:
        observed: Observations of both versions over the same time.
        old: Version that carries the traffic.
        new: Version under test.

    Returns:
        The verdict, and the evidence for it if it is bad, else empty text.

    Examples:
        >>> judge(Judge(), "v1", "v2")
        (<Verdict.OPEN: 'open'>, '')
    """
    before = _old_view(observed, old)
    after = observed.view_by_version.get(new, VersionView())
    failures = _judge_failures(before, after)
    slowness = _judge_latency(before, after)
    if failures is Verdict.BAD:
        return Verdict.BAD, _describe_failures(before, after)
    if slowness is Verdict.BAD:
        return Verdict.BAD, _describe_latency(before, after)
    samples = after.answered + after.failed
    if (
        samples >= LEAST_SAMPLES
        and failures is Verdict.GOOD
        and slowness is Verdict.GOOD
    ):
        return Verdict.GOOD, ""
    return Verdict.OPEN, ""


def evidence(observed: Judge, version: str) -> tuple[int, int, float]:
    """Summarize the observations of a version in the current stage.

    Args:
        observed: Observations of the route.
        version: Name of the version.

    Returns:
        Number of samples, number of failures, and the 95th percentile of
        answer times in milliseconds.
    """
    view = observed.view_by_version.get(version, VersionView())
    percentile_us = view.latency.get_value_at_percentile(SLOW_PERCENTILE)
    return view.answered + view.failed, view.failed, percentile_us / 1000


def ratio_test(
    hits: int, samples: int, good_rate: float, bad_rate: float
) -> Verdict:
    """Decide between two fault rates by Wald's sequential test.

    Args:
        hits: Number of samples that show the fault.
        samples: Number of all samples.
        good_rate: Fault rate of a good version.
        bad_rate: Fault rate of a bad version; greater than `good_rate`.

    Returns:
        `GOOD` or `BAD` once a boundary of the test is crossed, else `OPEN`.

    Examples:
        >>> ratio_test(0, 1000, 0.01, 0.05)
        <Verdict.GOOD: 'good'>
        >>> ratio_test(100, 1000, 0.01, 0.05)
        <Verdict.BAD: 'bad'>
    """
    misses = samples - hits
    score = hits * math.log(bad_rate / good_rate) + misses * math.log(
        (1 - bad_rate) / (1 - good_rate)
    )
    if score >= math.log((1 - MISS_RATE) / FALSE_ALARM_RATE):
        return Verdict.BAD
    if score <= math.log(MISS_RATE / (1 - FALSE_ALARM_RATE)):
        return Verdict.GOOD
    return Verdict.OPEN


def _old_view(observed: Judge, old: str) -> VersionView:
    """Return the old version's observations to compare with.

    These are those of the current stage or, if it has too few samples, those
    of the previous stage.
    """
    current = observed.view_by_version.get(old, VersionView())
    if current.latency.total_count >= LEAST_OLD_SAMPLES:
        return current
    return observed.former_by_version.get(old, current)


def _judge_failures(before: VersionView, after: VersionView) -> Verdict:
    total = before.answered + before.failed
    # Counting one failure more than was observed keeps a short history
    # without failures from passing for a failure rate of zero.
    observed = (before.failed + 1) / (total + 1)
    good_rate = min(max(observed, LEAST_FAILURE_RATE), MOST_FAILURE_RATE)
    if total < LEAST_OLD_SAMPLES:
        good_rate = LEAST_FAILURE_RATE
    odds_rate = good_rate * BAD_RATIO / (1 + good_rate * (BAD_RATIO - 1))
    bad_rate = max(odds_rate, LEAST_BAD_RATE)
    samples = after.answered + after.failed
    return ratio_test(after.failed, samples, good_rate, bad_rate)


def _judge_latency(before: VersionView, after: VersionView) -> Verdict:
    if before.latency.total_count < LEAST_OLD_SAMPLES:
        return Verdict.OPEN
    usual_us = before.latency.get_value_at_percentile(SLOW_PERCENTILE)
    limit_us = int(usual_us * SLOW_FACTOR)
    total = after.latency.total_count
    slow = total - _count_up_to(after.latency, limit_us)
    bad_rate = SLOW_RATE * BAD_RATIO
    return ratio_test(slow, total, SLOW_RATE * 1.2, bad_rate)


def _count_up_to(latency: HdrHistogram, limit_us: int) -> int:
    return sum(
        item.count_added_in_this_iter_step
        for item in latency.get_recorded_iterator()
        if item.value_iterated_to <= limit_us
    )


def _describe_failures(before: VersionView, after: VersionView) -> str:
    return (
        f"{after.failed} of {after.answered + after.failed} failed, "
        f"old {before.failed} of {before.answered + before.failed}"
    )


def _describe_latency(before: VersionView, after: VersionView) -> str:
    old_ms = before.latency.get_value_at_percentile(SLOW_PERCENTILE) / 1000
    new_ms = after.latency.get_value_at_percentile(SLOW_PERCENTILE) / 1000
    return f"95th percentile {new_ms:.1f} ms, old {old_ms:.1f} ms"
