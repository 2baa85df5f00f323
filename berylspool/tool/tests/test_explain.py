"""Timelines from logs that are cut off, incomplete or of many processes."""

import orjson

from berylspool.common.event import LinesDropped
from berylspool.common.part_event import PartChosen
from berylspool.common.request_event import RequestEnded
from berylspool.tool.explain import explain


def encode_line(event, at):
    fields = {name: getattr(event, name) for name in event.__slots__}
    fields |= {"timestamp": at, "message_type": type(event).__name__}
    return orjson.dumps(fields) + b"\n"


def part_chosen(part, copy=1):
    return PartChosen(part, "s", "", "u1", copy, copy > 1)


REQUEST_ENDED = RequestEnded(
    "r1~4", "wide", 7, "2.1", "thin", {"s": "timeout"}, "t", 21, 90.5
)


def test_timeline_has_lines_of_the_request_and_its_parts_only():
    lines = [
        encode_line(part_chosen("r1~4/0.0.1"), 1.0),
        encode_line(part_chosen("r12~5/0.0.1"), 1.0),
        encode_line(part_chosen("r1~4/0.0.1", copy=2), 1.05),
        encode_line(REQUEST_ENDED, 1.09),
    ]
    timeline = explain("r1", [("entry-1", lines)])
    names = [log_line.name for log_line in timeline.log_lines]
    assert names == ["PartChosen", "PartChosen", "RequestEnded"]
    text = timeline.describe()
    assert "+90.0 ms" in text[-1] and "missing={'s': 'timeout'}" in text[-1]


def test_unreadable_and_dropped_lines_are_counted():
    lines = [
        encode_line(REQUEST_ENDED, 1.0)[:-20],
        b"\n",
        b"not json\n",
        encode_line(LinesDropped(7), 2.0),
        b"  35.1 entry-1 " + encode_line(REQUEST_ENDED, 3.0),
    ]
    timeline = explain("r1~4", [("entry-1", lines)])
    assert len(timeline.log_lines) == 1
    assert timeline.unreadable_count == 2 and timeline.dropped_count == 7


def test_clocks_of_different_processes_are_not_compared():
    files = [
        ("entry-1", [encode_line(REQUEST_ENDED, 5000.0)]),
        (
            "entry-2",
            [encode_line(REQUEST_ENDED, 1.0), encode_line(REQUEST_ENDED, 1.5)],
        ),
    ]
    text = explain("r1", files).describe()
    assert "+0.0 ms" in text[0] and "+0.0 ms" in text[1]
    assert "+500.0 ms" in text[2]


def test_request_without_lines():
    assert explain("r9", []).describe() == ["no line names this request"]
