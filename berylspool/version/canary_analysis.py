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

from berylspool.version.move import CanaryVerdict

__all__ = [
    "RouteObservations",
    "VersionObservations",
    "add_tally",
    "compare_versions",
    "start_stage",
    "summarize",
]

MAX_LATENCY_US = 60_000_000
LATENCY_SIGNIFICANT_DIGITS = 2
FALSE_ALARM_RATE = 1e-4
MISS_RATE = 1e-2
BAD_RATIO = 3.0
MIN_GOOD_FAILURE_RATE = 0.01
MIN_BAD_FAILURE_RATE = 0.05
MAX_GOOD_FAILURE_RATE = 0.3
SLOW_RATE = 0.05
SLOW_PERCENTILE = 95.0
SLOW_FACTOR = 1.25
MIN_NEW_SAMPLES = 100
MIN_OLD_SAMPLES = 100


def new_latency_histogram() -> HdrHistogram:
    """Return an empty histogram of answer times, in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class VersionObservations:
    """Observations of one version of one route, summed over all entries.

    Attributes:
        answered: Number of complete answers.
        failed: Number of errors, incomplete answers and lost connections.
        latency: Histogram of answer times, in microseconds.
    """

    answered: int = 0
    failed: int = 0
    latency: HdrHistogram = field(default_factory=new_latency_histogram)


@dataclass(slots=True)
class RouteObservations:
    """Observations of one route since the current stage of its move began.

    Attributes:
        current_by_version: Observations in the current stage, by version.
        previous_by_version: Observations in the previous stage, which are
            used when the old version gets too little traffic in the current
            one to be compared with.
    """

    current_by_version: dict[str, VersionObservations] = field(
        default_factory=dict
    )
    previous_by_version: dict[str, VersionObservations] = field(
        default_factory=dict
    )


def start_stage(observations: RouteObservations) -> None:
    """Start a new stage, and keep the observations of the previous one."""
    observations.previous_by_version = observations.current_by_version
    observations.current_by_version = {}


def add_tally(
    observations: RouteObservations,
    version: str,
    answered: int,
    failed: int,
    latency: bytes,
) -> None:
    """Add the counts that one entry reports.

    Args:
        observations: Observations to add to.
        version: Index version or software version.
        answered: Number of complete answers.
        failed: Number of errors, incomplete answers and lost connections.
        latency: Encoded histogram of answer times; empty if there are none.
    """
    version_observations = observations.current_by_version.setdefault(
        version, VersionObservations()
    )
    version_observations.answered += answered
    version_observations.failed += failed
    if latency:
        version_observations.latency.decode_and_add(latency)


def compare_versions(
    observations: RouteObservations, old: str, new: str
) -> tuple[CanaryVerdict, str]:
    """Compare a new version with the old one.

    Args:
        observations: Observations of both versions over the same time.
        old: Version that carries the traffic.
        new: Version under test.

    Returns:
        The verdict, and the evidence for it if it is bad, else empty text.

    Examples:
        >>> compare_versions(RouteObservations(), "v1", "v2")
        (<CanaryVerdict.OPEN: 'open'>, '')
    """
    old_observations = _baseline(observations, old)
    new_observations = observations.current_by_version.get(
        new, VersionObservations()
    )
    failure_verdict = _compare_failures(old_observations, new_observations)
    latency_verdict = _compare_latency(old_observations, new_observations)
    if failure_verdict is CanaryVerdict.BAD:
        return CanaryVerdict.BAD, _describe_failures(
            old_observations, new_observations
        )
    if latency_verdict is CanaryVerdict.BAD:
        return CanaryVerdict.BAD, _describe_latency(
            old_observations, new_observations
        )
    samples = new_observations.answered + new_observations.failed
    if (
        samples >= MIN_NEW_SAMPLES
        and failure_verdict is CanaryVerdict.GOOD
        and latency_verdict is CanaryVerdict.GOOD
    ):
        return CanaryVerdict.GOOD, ""
    return CanaryVerdict.OPEN, ""


def summarize(
    observations: RouteObservations, version: str
) -> tuple[int, int, float]:
    """Summarize the observations of a version in the current stage.

    Args:
        observations: Observations of the route.
        version: Name of the version.

    Returns:
        Number of samples, number of failures, and the 95th percentile of
        answer times in milliseconds.
    """
    version_observations = observations.current_by_version.get(
        version, VersionObservations()
    )
    p95_us = version_observations.latency.get_value_at_percentile(
        SLOW_PERCENTILE
    )
    return (
        version_observations.answered + version_observations.failed,
        version_observations.failed,
        p95_us / 1000,
    )


def sequential_ratio_test(
    faults: int, samples: int, good_rate: float, bad_rate: float
) -> CanaryVerdict:
    """Decide between two fault rates by Wald's sequential test.

    Args:
        faults: Number of samples that show the fault.
        samples: Number of all samples.
        good_rate: Fault rate of a good version.
        bad_rate: Fault rate of a bad version; greater than `good_rate`.

    Returns:
        `GOOD` or `BAD` once a boundary of the test is crossed, else `OPEN`.

    Examples:
        >>> sequential_ratio_test(0, 1000, 0.01, 0.05)
        <CanaryVerdict.GOOD: 'good'>
        >>> sequential_ratio_test(100, 1000, 0.01, 0.05)
        <CanaryVerdict.BAD: 'bad'>
    """
    faultless = samples - faults
    log_likelihood_ratio = faults * math.log(
        bad_rate / good_rate
    ) + faultless * math.log((1 - bad_rate) / (1 - good_rate))
    if log_likelihood_ratio >= math.log((1 - MISS_RATE) / FALSE_ALARM_RATE):
        return CanaryVerdict.BAD
    if log_likelihood_ratio <= math.log(MISS_RATE / (1 - FALSE_ALARM_RATE)):
        return CanaryVerdict.GOOD
    return CanaryVerdict.OPEN


def _baseline(observations: RouteObservations, old: str) -> VersionObservations:
    """Return the old version's observations to compare with.

    These are those of the current stage or, if it has too few samples, those
    of the previous stage.
    """
    current = observations.current_by_version.get(old, VersionObservations())
    if current.latency.total_count >= MIN_OLD_SAMPLES:
        return current
    return observations.previous_by_version.get(old, current)


def _compare_failures(
    old: VersionObservations, new: VersionObservations
) -> CanaryVerdict:
    old_samples = old.answered + old.failed
    # Counting one failure more than was observed keeps a short history
    # without failures from passing for a failure rate of zero.
    observed_rate = (old.failed + 1) / (old_samples + 1)
    good_rate = min(
        max(observed_rate, MIN_GOOD_FAILURE_RATE), MAX_GOOD_FAILURE_RATE
    )
    if old_samples < MIN_OLD_SAMPLES:
        good_rate = MIN_GOOD_FAILURE_RATE
    rate_at_bad_odds = good_rate * BAD_RATIO / (1 + good_rate * (BAD_RATIO - 1))
    bad_rate = max(rate_at_bad_odds, MIN_BAD_FAILURE_RATE)
    samples = new.answered + new.failed
    return sequential_ratio_test(new.failed, samples, good_rate, bad_rate)


def _compare_latency(
    old: VersionObservations, new: VersionObservations
) -> CanaryVerdict:
    if old.latency.total_count < MIN_OLD_SAMPLES:
        return CanaryVerdict.OPEN
    old_p95_us = old.latency.get_value_at_percentile(SLOW_PERCENTILE)
    limit_us = int(old_p95_us * SLOW_FACTOR)
    samples = new.latency.total_count
    slow_samples = samples - _count_up_to(new.latency, limit_us)
    bad_rate = SLOW_RATE * BAD_RATIO
    return sequential_ratio_test(
        slow_samples, samples, SLOW_RATE * 1.2, bad_rate
    )


def _count_up_to(latency: HdrHistogram, limit_us: int) -> int:
    return sum(
        bucket.count_added_in_this_iter_step
        for bucket in latency.get_recorded_iterator()
        if bucket.value_iterated_to <= limit_us
    )


def _describe_failures(
    old: VersionObservations, new: VersionObservations
) -> str:
    return (
        f"{new.failed} of {new.answered + new.failed} failed, "
        f"old {old.failed} of {old.answered + old.failed}"
    )


def _describe_latency(
    old: VersionObservations, new: VersionObservations
) -> str:
    old_p95_ms = old.latency.get_value_at_percentile(SLOW_PERCENTILE) / 1000
    new_p95_ms = new.latency.get_value_at_percentile(SLOW_PERCENTILE) / 1000
    return f"95th percentile {new_p95_ms:.1f} ms, old {old_p95_ms:.1f} ms"
