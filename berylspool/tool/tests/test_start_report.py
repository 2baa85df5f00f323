"""Reports of starts from logs with several starts and unreadable lines."""

from berylspool.common.event import (
    ConfigurationApplied,
    LeaderChanged,
    LinkChanged,
    ListingApplied,
    ProcessStarted,
)
from berylspool.tool.start_report import describe_starts, find_starts
from berylspool.tool.tests.test_explain import encode_line


def entry_log():
    return [
        encode_line(LinkChanged("c1", "up"), 1.0),
        encode_line(ProcessStarted("entry", "e1", "1"), 10.0),
        encode_line(LinkChanged("c1", "refused"), 10.1),
        encode_line(LinkChanged("c1", "up"), 10.2),
        encode_line(LinkChanged("c2", "up"), 10.3),
        encode_line(ConfigurationApplied(1), 10.6)[:-9],
        encode_line(ConfigurationApplied(2), 10.7),
        encode_line(ProcessStarted("entry", "e1", "1"), 20.0),
        encode_line(ListingApplied(1, 1, 9), 20.5),
    ]


def test_each_start_has_its_first_milestones():
    first, second = find_starts(entry_log())
    rounded = {k: round(v, 3) for k, v in first.elapsed_by_milestone.items()}
    assert rounded == {"link": 0.2, "configuration": 0.7}
    assert list(second.elapsed_by_milestone) == ["listing"]


def test_control_reports_its_vote_and_its_lead():
    lines = [
        encode_line(ProcessStarted("control", "c1", "1"), 1.0),
        encode_line(LeaderChanged("c1", "follower", 3), 1.5),
        encode_line(LeaderChanged("c1", "leader", 3), 1.6),
    ]
    assert describe_starts([("c1.log", lines)]) == [
        "c1.log  c1 (control)  vote +500 ms, leader +600 ms"
    ]


def test_logs_without_a_start():
    assert describe_starts([("a", [b"{}\n", b"x"])]) == [
        "no line tells of a start"
    ]
