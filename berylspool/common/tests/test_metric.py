"""Rendering of the metrics of a process."""

from berylspool.common.metric import (
    Metrics,
    increment_counter,
    record_busy_time,
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


def test_time_of_a_request_is_told_from_its_processor_time():
    metrics = Metrics()
    record_latency(metrics, "r", 0.08)
    record_busy_time(metrics, "r", 0.02)
    body, _ = render_exposition(metrics)
    lines = [line for line in body.splitlines() if b'quantile="0.5"' in line]
    value_by_name = {
        line.partition(b"{")[0]: float(line.split()[-1]) for line in lines
    }
    assert 0.079 <= value_by_name[b"berylspool_latency_seconds"] <= 0.081
    assert 0.019 <= value_by_name[b"berylspool_busy_seconds"] <= 0.021
