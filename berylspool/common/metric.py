"""Metrics: cheap counters on the request path, rendered on a scrape."""

from collections import Counter as SeriesCounter
from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = [
    "Metrics",
    "Series",
    "increment_counter",
    "make_series",
    "record_busy_time",
    "record_latency",
    "render_exposition",
    "set_gauge",
    "set_gauges",
]

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Labels = tuple[tuple[str, str], ...]
Series = tuple[str, Labels]

HELP_BY_NAME = {
    "berylspool_requests_total": "Caller requests, by route and outcome.",
    "berylspool_parts_total": "Upstream replies, by service and kind.",
    "berylspool_upstream_notices_total": "Notices of upstreams, by kind.",
    "berylspool_upstream_overruns_total": "Responses without end, by excess.",
    "berylspool_parts_shed_total": "Waiting parts refused, by rank and reason.",
    "berylspool_replaced_statuses_total": (
        "Failures of upstreams answered with another status, by the upstream's."
    ),
    "berylspool_part_waits_total": "Parts sent after a wait, by rank.",
    "berylspool_part_wait_milliseconds_total": "Waits of parts, by rank.",
    "berylspool_load_view_age_seconds": (
        "Age of the oldest load view of the latest pool that had a queue."
    ),
    "berylspool_clients_refused_total": "Refusals by the server, by reason.",
    "berylspool_clients_dropped_total": "Connections dropped, by reason.",
    "berylspool_client_connections": "Open connections of clients.",
    "berylspool_client_bytes": "Memory held for clients, in bytes.",
    "berylspool_latency_seconds": "Response time, by route and quantile.",
    "berylspool_busy_seconds": (
        "Processor time during a request, by route and quantile."
    ),
    "berylspool_configuration_revision": "Configuration revision in force.",
    "berylspool_lease_held": "Whether the lease is held.",
    "berylspool_in_flight": "Caller requests in flight.",
    "berylspool_term": "Consensus term of a control node.",
    "berylspool_leader": "Whether this control node is the leader.",
    "berylspool_commit_index": "Commit index of a control node.",
    "berylspool_disk_full": "Whether the disk refuses writes for lack of room.",
    "berylspool_members": "Entries in the active member table.",
    "berylspool_held_requests": "Requests held as they may crash upstreams.",
    "berylspool_plan": "Number of the forwarding plan in force.",
    "berylspool_customers": "Customers of the forwarding plan in force.",
    "berylspool_api_keys": "API keys of the customers of that plan.",
    "berylspool_requires_keys": "Whether that plan has a list of customers.",
    "berylspool_listing_age_seconds": "Time since the listing changed.",
    "berylspool_listed_upstreams": "Upstreams in the listing.",
    "berylspool_timer_lag_seconds": "Mean lag of timers under requests.",
    "berylspool_log_lines_dropped": "Log lines that were discarded.",
    "berylspool_slices_sent_total": "Slices of wide requests sent to helpers.",
    "berylspool_slices_received_total": (
        "Slices of other entries' requests, by whether they were run."
    ),
    "berylspool_slices_taken_back_total": (
        "Slices taken back from helpers, by cause."
    ),
    "berylspool_hedges_total": "Copies sent beyond the first, by service.",
    "berylspool_grant_age_seconds": "Time since the last grant of a leader.",
    "berylspool_quorum_contact": "Whether this node leads with a quorum.",
    "berylspool_duty_calls_total": "Calls of duties, by duty and outcome.",
    "berylspool_duty_held": "Whether this node holds the duties.",
    "berylspool_duty_token": "Newest fencing token of the usage report.",
    "berylspool_usage_report_age_seconds": (
        "Time since the end of the latest window that was reported."
    ),
    "berylspool_usage_reported_window": "Latest window that was reported.",
    "berylspool_usage_waiting_windows": "Recorded windows not yet reported.",
}


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Metrics:
    """Metrics of one process.

    Attributes:
        counter_by_series: Counters by name and labels.
        gauge_by_series: Gauges by name and labels.
        latency_by_route: Histogram of response times in microseconds, by
            route.
        busy_time_by_route: Histogram of the processor time that the process
            used during a request, in microseconds, by route.
    """

    counter_by_series: SeriesCounter[Series] = field(
        default_factory=SeriesCounter
    )
    gauge_by_series: dict[Series, float] = field(default_factory=dict)
    latency_by_route: dict[str, HdrHistogram] = field(default_factory=dict)
    busy_time_by_route: dict[str, HdrHistogram] = field(default_factory=dict)


def increment_counter(metrics: Metrics, name: str, **labels: str) -> None:
    """Increment a counter by one.

    Examples:
        >>> metrics = Metrics()
        >>> increment_counter(metrics, "berylspool_requests_total", route="r")
        >>> body, content_type = render_exposition(metrics)
        >>> "berylspool_requests_total" in body.decode()
        True
    """
    metrics.counter_by_series[make_series(name, **labels)] += 1


def make_series(name: str, **labels: str) -> Series:
    """Return the key of a series, which counting may use again and again."""
    return name, tuple(sorted(labels.items()))


def set_gauge(metrics: Metrics, name: str, value: float, **labels: str) -> None:
    """Set a gauge."""
    metrics.gauge_by_series[make_series(name, **labels)] = value


def set_gauges(metrics: Metrics, value_by_name: Mapping[str, float]) -> None:
    """Set gauges without labels."""
    for name, value in value_by_name.items():
        set_gauge(metrics, name, value)


def record_latency(metrics: Metrics, route: str, latency_s: float) -> None:
    """Record one response time.

    Args:
        metrics: Metrics of the process.
        route: Name of the route.
        latency_s: Response time in seconds; it is clamped to the range of
            the histogram.
    """
    _record_time(metrics.latency_by_route, route, latency_s)


def record_busy_time(metrics: Metrics, route: str, busy_s: float) -> None:
    """Record the processor time that the process used during a request.

    Args:
        metrics: Metrics of the process.
        route: Name of the route.
        busy_s: Processor time in seconds; it is clamped like a response time.
    """
    _record_time(metrics.busy_time_by_route, route, busy_s)


def _record_time(
    histogram_by_route: dict[str, HdrHistogram], route: str, time_s: float
) -> None:
    histogram = histogram_by_route.get(route)
    if histogram is None:
        histogram = histogram_by_route[route] = _new_histogram()
    histogram.record_value(max(1, min(MAX_LATENCY_US, int(time_s * 1e6))))


def render_exposition(metrics: Metrics) -> tuple[bytes, str]:
    """Render the metrics in the Prometheus text format.

    Returns:
        Body and content type of the response.
    """
    # Imported on the first scrape: the import would double the start-up
    # time of a process.
    from aioprometheus import Counter, Gauge, Registry, render

    registry = Registry()
    metric_by_name: dict[str, Counter | Gauge] = {}
    for (name, labels), value in metrics.counter_by_series.items():
        if name not in metric_by_name:
            metric_by_name[name] = Counter(
                name, HELP_BY_NAME[name], registry=registry
            )
        metric_by_name[name].set(dict(labels), value)
    for (name, labels), gauge in metrics.gauge_by_series.items():
        if name not in metric_by_name:
            metric_by_name[name] = Gauge(
                name, HELP_BY_NAME[name], registry=registry
            )
        metric_by_name[name].set(dict(labels), gauge)
    histograms_by_name = {
        "berylspool_latency_seconds": metrics.latency_by_route,
        "berylspool_busy_seconds": metrics.busy_time_by_route,
    }
    for name, histogram_by_route in histograms_by_name.items():
        for route, histogram in histogram_by_route.items():
            if name not in metric_by_name:
                metric_by_name[name] = Gauge(
                    name, HELP_BY_NAME[name], registry=registry
                )
            for percentile in PERCENTILES:
                value_us = histogram.get_value_at_percentile(percentile)
                quantile = f"{percentile / 100:g}"
                time_labels = {"route": route, "quantile": quantile}
                metric_by_name[name].set(time_labels, value_us / 1e6)
    body, headers = render(registry, ["text/plain"])
    return body, headers["Content-Type"]
