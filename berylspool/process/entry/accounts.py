"""What a forwarding entry says of each request: sums and log lines."""

from collections.abc import Callable

from berylspool.common.event import Event, RequestEnded, RequestServed
from berylspool.common.metric import Metrics, count, record_latency
from berylspool.request.fanout import Pinned
from berylspool.request.query import Answer, Outcome, Query, Reason, Refusal
from berylspool.version.containment import (
    Containment,
    note_answer,
    note_loss,
)
from berylspool.version.forwarding import ForwardRoute
from berylspool.version.pool.message import (
    ErrorReply,
    Observed,
    OutrunReply,
    RowsReply,
)

__all__ = ["contain", "count_reply", "end_request", "refuse_request"]

NO_ROUTE = "none"


def count_reply(metrics: Metrics, observed: Observed) -> None:
    """Count an upstream's reply, or a copy that lost to another."""
    service, kind = observed.part.service, type(observed.reply).__name__
    count(metrics, "berylspool_parts_total", service=service, reply=kind)
    if kind == OutrunReply.__name__:
        count(metrics, "berylspool_hedges_total", service=service)


def contain(state: Containment, observed: Observed, now: float) -> None:
    """Note what a reply says of a request that may crash upstreams."""
    blamed, upstream = observed.part.fingerprint, observed.upstream_id
    match observed.reply:
        case ErrorReply(reason=Reason.CONNECTION_LOST):
            note_loss(state, blamed, upstream, now)
        case RowsReply() | ErrorReply():
            note_answer(state, blamed, now)


def refuse_request(
    metrics: Metrics,
    log: Callable[[Event], None],
    refusal: Refusal,
    plan: int,
    listing: str,
) -> None:
    """Count and log a request that was refused before it had a query."""
    name = f"refused {refusal.reason}"
    count(metrics, "berylspool_requests_total", route=NO_ROUTE, outcome=name)
    line = RequestEnded(
        refusal.request_id, NO_ROUTE, plan, listing, name, {}, "", 0, 0.0
    )
    log(line)


def end_request(
    metrics: Metrics,
    log: Callable[[Event], None],
    query: Query,
    route: ForwardRoute,
    pinned: Pinned,
    listing: str,
    outcome: Outcome,
    latency_s: float,
) -> None:
    """Count a request, and log it unless it was answered whole and in time.

    Args:
        metrics: Sums of the process.
        log: Takes log events.
        query: The request.
        route: Its route.
        pinned: What it was pinned to.
        listing: Listing that was in force, as epoch and serial.
        outcome: What the caller got.
        latency_s: Time that it took, in seconds.
    """
    match outcome:
        case Answer(coverage=coverage):
            name = "answered" if coverage.is_whole else "thin"
        case Refusal(reason=reason, not_run=not_run):
            name = f"{'refused' if not_run else 'failed'} {reason}"
    count(metrics, "berylspool_requests_total", route=route.name, outcome=name)
    record_latency(metrics, route.name, latency_s)
    if name == "answered" and latency_s <= (route.target_s or latency_s):
        log(RequestServed(query.id))
        return
    missing: dict[str, str] = {}
    last, copies = "", 0
    if isinstance(outcome, Answer):
        copies = outcome.attempts
        missing = {
            pinned.services[shard]: str(reason)
            for shard, reason in outcome.coverage.missing.items()
        }
        if outcome.last_shard >= 0:
            last = pinned.services[outcome.last_shard]
    log(
        RequestEnded(
            query.id,
            query.route,
            pinned.snapshot.partition,
            listing,
            name,
            missing,
            last,
            copies,
            round(latency_s * 1000, 1),
        )
    )
