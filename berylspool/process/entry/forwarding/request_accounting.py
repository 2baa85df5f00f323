"""Metrics and log events of the requests at a forwarding entry."""

import functools
import time
from collections.abc import Callable

from berylspool.common.event import (
    Event,
    RequestServed,
    UpstreamNoticed,
    UpstreamOverran,
)
from berylspool.common.metric import (
    Metrics,
    Series,
    increment_counter,
    make_series,
    record_busy_time,
    record_latency,
    set_gauge,
)
from berylspool.common.part_event import PartChosen, PartShed, PartsWaited
from berylspool.common.request_event import RequestEnded
from berylspool.request.fanout import PinnedMap
from berylspool.request.query import Answer, Outcome, Query, Refusal
from berylspool.version.forwarding import ForwardRoute
from berylspool.version.pool.message import ObservedReply, OutrunReply

__all__ = [
    "Stopwatch",
    "count_event",
    "count_reply",
    "record_outcome",
    "record_refusal",
]

NO_ROUTE_LABEL = "none"
# A few kinds of replies for each service of a plan.
MAX_CACHED_SERIES = 4096
MS_PER_S = 1000.0


class Stopwatch:
    """Measures a request: the time until now, and the processor time in it.

    The difference is time in which the request waited for upstreams, or the
    process for the processor.

    Args:
        clock: Returns the monotonic time in seconds.
        processor_clock: Returns the processor time of the process in seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        processor_clock: Callable[[], float] = time.process_time,
    ) -> None:
        self._clock = clock
        self._processor_clock = processor_clock
        self._busy_s_at_start = processor_clock()
        self.started_at = clock()

    def elapsed_s(self) -> float:
        """Return the time since the start, in seconds."""
        return self._clock() - self.started_at

    def busy_s(self) -> float:
        """Return the processor time used since the start, in seconds."""
        return self._processor_clock() - self._busy_s_at_start


def count_event(metrics: Metrics, event: Event) -> None:
    """Count what a pool has logged of an upstream or of its queue."""
    match event:
        case PartChosen():
            # The usual event.
            return
        case UpstreamNoticed(notice=notice):
            name = "berylspool_upstream_notices_total"
            increment_counter(metrics, name, notice=notice)
        case UpstreamOverran(excess=excess):
            name = "berylspool_upstream_overruns_total"
            increment_counter(metrics, name, excess=excess)
        case PartShed(rank=rank, reason=reason):
            name = "berylspool_parts_shed_total"
            increment_counter(metrics, name, rank=str(rank), reason=reason)
        case PartsWaited():
            _count_waits(metrics, event)


def _count_waits(metrics: Metrics, event: PartsWaited) -> None:
    rank = str(event.rank)
    waits = make_series("berylspool_part_waits_total", rank=rank)
    wait_ms = make_series("berylspool_part_wait_milliseconds_total", rank=rank)
    metrics.counter_by_series[waits] += event.parts
    metrics.counter_by_series[wait_ms] += event.wait_ms
    age_s = event.load_age_ms / MS_PER_S
    set_gauge(metrics, "berylspool_load_view_age_seconds", age_s)


def count_reply(metrics: Metrics, observed_reply: ObservedReply) -> None:
    """Count an upstream's reply, or a copy cancelled without one."""
    service, reply = observed_reply.part.service, observed_reply.reply
    metrics.counter_by_series[_parts_series(service, type(reply).__name__)] += 1
    if isinstance(reply, OutrunReply):
        increment_counter(metrics, "berylspool_hedges_total", service=service)


@functools.lru_cache(maxsize=MAX_CACHED_SERIES)
def _parts_series(service: str, reply_kind: str) -> Series:
    return make_series(
        "berylspool_parts_total", service=service, reply=reply_kind
    )


def record_refusal(
    metrics: Metrics,
    log: Callable[[Event], None],
    refusal: Refusal,
    plan_number: int,
    listing_name: str,
) -> None:
    """Count and log a request that is refused before any part is sent.

    Args:
        metrics: Metrics of the process.
        log: Called with the log event.
        refusal: Outcome returned to the caller.
        plan_number: Number of the plan in force.
        listing_name: Epoch and serial of the listing in force.
    """
    outcome = f"refused {refusal.reason}"
    increment_counter(
        metrics,
        "berylspool_requests_total",
        route=NO_ROUTE_LABEL,
        outcome=outcome,
    )
    event = RequestEnded(
        refusal.request_id,
        NO_ROUTE_LABEL,
        plan_number,
        listing_name,
        outcome,
        {},
        "",
        0,
        0.0,
    )
    log(event)


def record_outcome(
    metrics: Metrics,
    log: Callable[[Event], None],
    query: Query,
    route: ForwardRoute,
    pinned: PinnedMap,
    listing_name: str,
    outcome: Outcome,
    stopwatch: Stopwatch,
) -> None:
    """Count a request; log it unless it was answered in full and in time.

    A request answered in full and in time emits only `RequestServed`, by which
    the log task may discard the log lines of its parts.

    Args:
        metrics: Metrics of the process.
        log: Called with the log event.
        query: The request.
        route: Its route.
        pinned: Snapshot and services that the request was pinned to.
        listing_name: Epoch and serial of the listing in force.
        outcome: Outcome returned to the caller.
        stopwatch: Started when the request arrived.
    """
    latency_s, busy_s = stopwatch.elapsed_s(), stopwatch.busy_s()
    match outcome:
        case Answer(coverage=coverage):
            outcome_label = "answered" if coverage.is_whole else "thin"
        case Refusal(reason=reason, not_run=not_run):
            outcome_label = f"{'refused' if not_run else 'failed'} {reason}"
    increment_counter(
        metrics,
        "berylspool_requests_total",
        route=route.name,
        outcome=outcome_label,
    )
    record_latency(metrics, route.name, latency_s)
    record_busy_time(metrics, route.name, busy_s)
    if outcome_label == "answered" and latency_s <= (
        route.target_latency_s or latency_s
    ):
        log(RequestServed(query.id))
        return
    reason_by_service: dict[str, str] = {}
    last_service, copies = "", 0
    if isinstance(outcome, Answer):
        copies = outcome.attempts
        reason_by_service = {
            pinned.services[shard]: str(reason)
            for shard, reason in outcome.coverage.missing.items()
        }
        if outcome.last_shard >= 0:
            last_service = pinned.services[outcome.last_shard]
    log(
        RequestEnded(
            query.id,
            query.route,
            pinned.snapshot.partition,
            listing_name,
            outcome_label,
            reason_by_service,
            last_service,
            copies,
            round(latency_s * MS_PER_S, 1),
            round(busy_s * MS_PER_S, 1),
        )
    )
