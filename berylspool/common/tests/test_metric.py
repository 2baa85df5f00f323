"""Rendering of the metrics of a process."""

from berylspool.common.metric import (
    Metrics,
    increment_counter,
    record_latency,
    render_exposition,
    set_gauge,
)


def test_metrics_can_be_scraped_more_than_once():
    metrics = Metrics()
    increment_counter(metrics, "berylspool_requests_total", route="r")
    set_gauge(metrics, "berylspool_in_flight", 2.0)
    record_latency(metrics, "r", 0.1)
    first, _ = render_exposition(metrics)
    increment_counter(metrics, "berylspool_requests_total", route="r")
    second, _ = render_exposition(metrics)
    assert b'berylspool_requests_total{route="r"} 1' in first
    assert b'berylspool_requests_total{route="r"} 2' in second
    assert b"berylspool_in_flight 2" in second
    assert b"berylspool_latency_seconds{" in second
