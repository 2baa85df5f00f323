"""Logging never blocks the process, and missing lines are counted."""

import asyncio
import os

import eliot
import orjson

from berylspool.common.event import (
    LeaseChanged,
    RequestServed,
)
from berylspool.common.part_event import HedgeDenied, PartChosen
from berylspool.common.request_event import RequestEnded
from berylspool.process.held_lines import MAX_HELD_LINES
from berylspool.process.log import (
    MAX_BUFFERED_BYTES,
    DroppingWriter,
    LogTask,
)

LINE = {"text": "x" * 1000}


def make_pipe():
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


def test_lines_are_written_together_on_flush():
    reader, descriptor = make_pipe()
    writer = DroppingWriter(descriptor)
    writer({"a": 1})
    writer({"a": 2})
    assert read_all(reader) == b""
    writer.flush()
    assert read_all(reader) == b'{"a":1}\n{"a":2}\n'


def test_stalled_reader_drops_lines_and_next_line_reports_the_count():
    reader, descriptor = make_pipe()
    writer = DroppingWriter(descriptor)
    line_count = 10 * MAX_BUFFERED_BYTES // 1000
    for _ in range(line_count):
        writer(LINE)
        writer.flush()
    assert 0 < writer.dropped < line_count
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
    assert len(lines) - 1 + writer.dropped == line_count


def test_log_task_flushes_its_output():
    reader, descriptor = make_pipe()
    writer = DroppingWriter(descriptor)
    task = LogTask(output=writer)
    task.write([LeaseChanged(True, 3)])
    writer({"a": 1})
    task.close()
    assert read_all(reader) == b'{"a":1}\n'


def part_chosen(request, copy=1):
    part = f"{request}/0.3.1"
    return PartChosen(part, "s", "", "u1", copy, copy > 1)


def write_events(*events):
    """Return the messages that a log task writes for events, and the task."""
    messages = []
    eliot.add_destinations(messages.append)
    # Eliot passes earlier messages on to the first destination added.
    messages.clear()
    try:
        task = LogTask(holds_part_lines=True)
        for event in events:
            task.put(event)
        task.close()
    finally:
        eliot.remove_destination(messages.append)
    return messages, task


def request_ended(request, outcome="thin"):
    return RequestEnded(request, "r", 7, "1.1", outcome, {}, "", 3, 90.0)


def test_part_lines_are_written_when_their_request_ends():
    messages, _ = write_events(
        part_chosen("r1~1"),
        HedgeDenied("r1~1/0.3.1", "s", 0.2),
        part_chosen("r2~2"),
        request_ended("r1~1"),
    )
    names = [message["message_type"] for message in messages]
    assert names == ["PartChosen", "HedgeDenied", "RequestEnded"]
    assert {m["part"] for m in messages[:2]} == {"r1~1/0.3.1"}
    assert all(m["at"] <= messages[-1]["timestamp"] for m in messages[:2])


def test_first_copies_of_parts_that_answered_are_left_out():
    ended = RequestEnded(
        "r1~1", "r", 7, "1.1", "thin", {"b": "timeout"}, "c", 4, 90.0
    )
    messages, task = write_events(
        *(
            PartChosen(f"r1~1/0.{shard}.1", service, "", "u1", 1, False)
            for shard, service in enumerate("abc")
        ),
        PartChosen("r1~1/0.0.1", "a", "", "u2", 2, False),
        ended,
    )
    lines = [(m["service"], m["copy"]) for m in messages[:-1]]
    assert lines == [("b", 1), ("c", 1), ("a", 2)]
    assert task._held_lines.left_out == 1


def test_lines_are_written_once_a_full_pipe_has_room_again():
    reader, descriptor = make_pipe()
    writer = DroppingWriter(descriptor)
    task = LogTask(output=writer)

    async def run():
        running = asyncio.ensure_future(task.run())
        for _ in range(100):
            writer(LINE)
        task.inbox.put(LeaseChanged(True, 3))
        text = b""
        while text.count(b"\n") < 100:
            await asyncio.sleep(0.01)
            text += read_all(reader)
        running.cancel()

    asyncio.run(asyncio.wait_for(run(), 60.0))
    assert not writer.is_blocked


def test_part_lines_of_served_requests_are_left_out_and_counted():
    messages, task = write_events(part_chosen("r1~1"), RequestServed("r1~1"))
    assert not messages
    assert task._held_lines.left_out == 1 and task._held_lines.count == 0


def test_held_lines_of_unfinished_requests_are_bounded():
    events = [part_chosen(f"r{n}~{n}") for n in range(3 * MAX_HELD_LINES)]
    _, task = write_events(*events)
    assert task._held_lines.count == MAX_HELD_LINES
    assert task.dropped == 2 * MAX_HELD_LINES
