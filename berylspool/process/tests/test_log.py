"""Log lines never hold the process up, and what is missing is counted."""

import os

import orjson

from berylspool.common.event import LeaseChanged
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
