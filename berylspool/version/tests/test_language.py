"""Tests of the parser: every command, and the position in syntax errors."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylspool.exception import CommandError, CommandSyntaxError
from berylspool.version import operation as op
from berylspool.version.configuration import Limits, UpstreamState, ZoneState
from berylspool.version.language import expected_words, parse_command
from berylspool.version.operator_command import (
    AddControl,
    ChangeConfiguration,
    RemoveControl,
    ReplaceControl,
    Show,
)

OPERATION_BY_TEXT = {
    "create zone a": op.CreateZone("a"),
    "zone a out": op.SetZone("a", ZoneState.OUT),
    "zone a in": op.SetZone("a", ZoneState.IN),
    "create service s": op.CreateService("s"),
    "create service s zones a, b limits slots=4": op.CreateService(
        "s", ("a", "b"), Limits(slots=4)
    ),
    "set zones of s to a": op.SetServiceZones("s", ("a",)),
    "set zones of s to all": op.SetServiceZones("s", ()),
    "set limits of s slots=4 ramp_s=1.5": op.SetLimits(
        "s", {"slots": 4.0, "ramp_s": 1.5}
    ),
    "drain upstream u": op.SetUpstream("u", UpstreamState.LEAVING),
    "restore upstream u": op.SetUpstream("u", UpstreamState.SERVING),
    "remove upstream u": op.RemoveUpstream("u"),
    "remove version v from r": op.RemoveVersion("r", "v"),
    "move r to v within 2min": op.StartMove("r", "v", 120.0),
    "pause move r": op.PauseMove("r"),
    "resume move r": op.ResumeMove("r"),
    "finish move r": op.FinishMove("r"),
    "take back move r": op.TakeBackMove("r"),
    "clear version v of r": op.ClearVersion("r", "v"),
}


@pytest.mark.parametrize("text", OPERATION_BY_TEXT)
def test_each_change_parses(text):
    assert parse_command(text) == ChangeConfiguration(
        (OPERATION_BY_TEXT[text],)
    )


def test_changes_separated_by_a_semicolon():
    both = parse_command("zone a out; zone b in")
    assert both.operations == (
        OPERATION_BY_TEXT["zone a out"],
        op.SetZone("b", "in"),
    )


def test_other_commands_parse():
    assert parse_command("show zones") == Show("zones")
    assert parse_command("add control c") == AddControl("c")
    assert parse_command("replace control c") == ReplaceControl("c")
    assert parse_command("remove control c") == RemoveControl("c")
    added = parse_command("add upstream u to s at 10.0.0.1:80 in a version v")
    assert added.operations[0].upstream.port == 80
    route = parse_command("create route r version v partition 3 services a, b")
    assert route.operations[0].version.services == ("a", "b")


@pytest.mark.parametrize(
    ("text", "column", "expected"),
    [
        ("zone a sideways", 7, "in, out"),
        ("show nothing", 5, "zones"),
        ("move r to v within 5", 19, "a duration"),
        ("zone a", 5, "in, out"),
    ],
)
def test_syntax_error_marks_the_unexpected_word(text, column, expected):
    with pytest.raises(CommandSyntaxError) as caught:
        parse_command(text)
    first, line, marker = str(caught.value).split("\n")
    assert expected in first and line == text
    assert marker.index("^") == column


def test_contradictory_limits_are_rejected():
    with pytest.raises(CommandError):
        parse_command("create service s limits slots=5 connections=3")


@given(st.text(max_size=40))
def test_any_text_parses_or_raises_a_typed_error(text):
    try:
        parse_command(text)
    except CommandError:
        return
    assert text.strip()


def test_completion_follows_the_grammar():
    assert expected_words("zone a") == ["in", "out"]
    assert "show" in expected_words("")
