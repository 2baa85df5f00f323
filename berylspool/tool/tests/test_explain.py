"""Timelines from logs that are cut off, incomplete or of many processes."""

import orjson

from berylspool.common.event import LinesDropped, PartChosen, RequestEnded
from berylspool.tool.explain import explain


def line(event, at):
    fields = {name: getattr(event, name) for name in event.__slots__}
    fields |= {"timestamp": at, "message_type": type(event).__name__}
    return orjson.dumps(fields) + b"\n"


def chosen(part, copy=1):
    return PartChosen(part, "s", "", "u1", copy, copy > 1)


ENDED = RequestEnded(
    "r1~4", "wide", 7, "2.1", "thin", {"s": "timeout"}, "t", 21, 90.5
)


def test_a_request_its_parts_and_nobody_elses():
    lines = [
        line(chosen("r1~4/0.0.1"), 1.0),
        line(chosen("r12~5/0.0.1"), 1.0),
        line(chosen("r1~4/0.0.1", copy=2), 1.05),
        line(ENDED, 1.09),
    ]
    timeline = explain("r1", [("entry-1", lines)])
    names = [step.name for step in timeline.steps]
    assert names == ["PartChosen", "PartChosen", "RequestEnded"]
    text = timeline.describe()
    assert "+90.0 ms" in text[-1] and "missing={'s': 'timeout'}" in text[-1]


def test_torn_and_missing_lines_are_said():
    lines = [
        line(ENDED, 1.0)[:-20],
        b"\n",
        b"not json\n",
        line(LinesDropped(7), 2.0),
        b"  35.1 entry-1 " + line(ENDED, 3.0),
    ]
    timeline = explain("r1~4", [("entry-1", lines)])
    assert len(timeline.steps) == 1
    assert timeline.unreadable == 2 and timeline.dropped == 7


def test_clocks_that_differ_do_not_mix():
    files = [
        ("entry-1", [line(ENDED, 5000.0)]),
        ("entry-2", [line(ENDED, 1.0), line(ENDED, 1.5)]),
    ]
    text = explain("r1", files).describe()
    assert "+0.0 ms" in text[0] and "+0.0 ms" in text[1]
    assert "+500.0 ms" in text[2]


def test_a_request_without_lines():
    assert explain("r9", []).describe() == ["no line names this request"]
