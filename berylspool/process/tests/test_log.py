"""Logging never blocks the process, and missing lines are counted."""

import os

import eliot
import orjson

from berylspool.common.event import (
    HedgeDenied,
    LeaseChanged,
    PartChosen,
    RequestEnded,
    RequestServed,
)
from berylspool.process.held_lines import MOST_HELD
from berylspool.process.log import (
    MOST_UNWRITTEN_BYTES,
    DroppingWriter,
    LogTask,
)

LINE = {"text": "x" * 1000}


def pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    return reader, writer


def read_all(reader):
    parts = []
    while True:
        try:
            parts.append(os.read(reader, 1 << 16))
        except BlockingIOError:
            return b"".join(parts)


def test_lines_of_one_turn_are_written_together():
    reader, descriptor = pipe()
    writer = DroppingWriter(descriptor)
    writer({"a": 1})
    writer({"a": 2})
    assert read_all(reader) == b""
    writer.flush()
    assert read_all(reader) == b'{"a":1}\n{"a":2}\n'


def test_a_reader_that_stalls_costs_lines_and_the_next_line_says_how_many():
    reader, descriptor = pipe()
    writer = DroppingWriter(descriptor)
    most = 10 * MOST_UNWRITTEN_BYTES // 1000
    for _ in range(most):
        writer(LINE)
        writer.flush()
    assert 0 < writer.dropped < most
    assert LogTask(output=writer).dropped == writer.dropped
    text = b""
    while more := read_all(reader):
        text += more
        writer.flush()
    writer({"a": 1})
    writer.flush()
    text += read_all(reader)
    lines = [orjson.loads(line) for line in text.splitlines()]
    assert lines[-1]["lines_dropped"] == writer.dropped
    assert len(lines) - 1 + writer.dropped == most


def test_the_task_flushes_what_it_has_written():
    reader, descriptor = pipe()
    writer = DroppingWriter(descriptor)
    task = LogTask(output=writer)
    task.write([LeaseChanged(True, 3)])
    writer({"a": 1})
    task.close()
    assert read_all(reader) == b'{"a":1}\n'


def chosen(request, copy=1):
    part = f"{request}/0.3.1"
    return PartChosen(part, "s", "", "u1", copy, copy > 1)


def written(*events):
    """Return the messages that a log task writes for events, and the task."""
    messages = []
    eliot.add_destinations(messages.append)
    # Eliot passes earlier messages on to the first destination added.
    messages.clear()
    try:
        task = LogTask(holds=True)
        for event in events:
            task.put(event)
        task.close()
    finally:
        eliot.remove_destination(messages.append)
    return messages, task


def ended(request, outcome="thin"):
    return RequestEnded(request, "r", 7, "1.1", outcome, {}, "", 3, 90.0)


def test_lines_of_parts_are_written_with_the_end_of_their_request():
    messages, _ = written(
        chosen("r1~1"),
        HedgeDenied("r1~1/0.3.1", "s", 0.2),
        chosen("r2~2"),
        ended("r1~1"),
    )
    names = [message["message_type"] for message in messages]
    assert names == ["PartChosen", "HedgeDenied", "RequestEnded"]
    assert {m["part"] for m in messages[:2]} == {"r1~1/0.3.1"}
    assert all(m["at"] <= messages[-1]["timestamp"] for m in messages[:2])


def test_lines_of_a_request_that_was_served_are_left_out_and_counted():
    messages, task = written(chosen("r1~1"), RequestServed("r1~1"))
    assert not messages
    assert task._held.left_out == 1 and task._held.count == 0


def test_requests_that_never_end_do_not_fill_the_memory():
    events = [chosen(f"r{n}~{n}") for n in range(3 * MOST_HELD)]
    _, task = written(*events)
    assert task._held.count == MOST_HELD
    assert task.dropped == 2 * MOST_HELD
