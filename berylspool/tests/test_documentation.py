"""Checks that the documentation agrees with the code."""

import dataclasses
import re
from pathlib import Path

import yaml

from berylspool.common.event_catalogue import event_class_by_number
from berylspool.common.metric import HELP_BY_NAME
from berylspool.connection.caller import (
    ROUTES,
    STATUS_BY_REASON,
    CommandBody,
    QueryBody,
)
from berylspool.request.query import Reason

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
LAYOUT_PRINCIPLE = (
    "- Layout: by life span: what lives for a request, a connection, a "
    "version, a process."
)


def test_log_catalogue_agrees_with_the_code():
    rows = re.findall(
        r"^\| (\d+) \| `(\w+)` \| .* \| (.*) \|$",
        (DOCS / "LOGS.md").read_text(),
        re.MULTILINE,
    )
    documented = {int(n): (name, fields) for n, name, fields in rows}
    expected = {
        number: (
            cls.__name__,
            ", ".join(f"`{f.name}`" for f in dataclasses.fields(cls)),
        )
        for number, cls in event_class_by_number().items()
    }
    assert documented == expected


def test_openapi_agrees_with_the_handlers():
    page = yaml.safe_load((DOCS / "openapi.yaml").read_text())
    assert set(page["paths"]) == {path for path, _ in ROUTES}
    for path, handler in ROUTES:
        for method in page["paths"][path]:
            assert method in handler.__dict__ or hasattr(handler, method)
    for model in (QueryBody, CommandBody):
        schema = page["components"]["schemas"][model.__name__]
        actual = model.model_json_schema()
        assert set(schema["properties"]) == set(actual["properties"])
        assert set(schema["required"]) == set(actual["required"])
        for name, documented in schema["properties"].items():
            for key in ("minimum", "maximum", "minLength", "maxLength"):
                assert documented.get(key) == actual["properties"][name].get(
                    key
                )


def test_every_status_and_reason_is_on_the_callers_page():
    page = (DOCS / "CALLERS.md").read_text()
    for reason in Reason:
        assert f"`{reason}`" in page
    openapi = yaml.safe_load((DOCS / "openapi.yaml").read_text())
    command = openapi["paths"]["/v1/command"]["post"]["responses"]
    assert {str(s) for s in STATUS_BY_REASON.values()} <= set(command)


def test_layout_principle_is_on_the_developers_page():
    assert LAYOUT_PRINCIPLE in (ROOT / "CONTRIBUTING.md").read_text()


def test_design_page_maps_every_module():
    page = (DOCS / "DESIGN.md").read_text()
    folders = ("common", "request", "version", "connection", "process", "tool")
    for folder in folders:
        for path in (ROOT / "berylspool" / folder).rglob("*.py"):
            if path.stem != "__init__" and "tests" not in path.parts:
                assert f"`{path.stem}`" in page, path


def test_operations_page_names_events_and_metrics_that_exist():
    page = (DOCS / "OPERATIONS.md").read_text()
    class_name_by_number = {
        number: cls.__name__ for number, cls in event_class_by_number().items()
    }
    named = re.findall(r"`(\w+)` \((\d{4})", page)
    assert len(named) >= 8
    for name, number in named:
        assert class_name_by_number[int(number)] == name
    for metric in re.findall(r"`(berylspool_\w+)`", page):
        assert metric in HELP_BY_NAME
    for fields in re.findall(r"^ +(?:\S+ ms +)?(\w+)  +(.*=.*)$", page, re.M):
        event = next(
            c
            for c in event_class_by_number().values()
            if c.__name__ == fields[0]
        )
        slots = {field.name for field in dataclasses.fields(event)}
        assert set(re.findall(r"(?:^| )(\w+)=", fields[1])) <= slots


def test_query_path_names_modules_that_exist():
    page = (DOCS / "DESIGN.md").read_text()
    section = page.partition("**The way of one query.**")[2].partition(
        "**Tasks."
    )[0]
    named = re.findall(r"`([a-z_]+(?:/[a-z_]+)+)`", section)
    assert len(named) >= 10
    for module in named:
        assert (ROOT / "berylspool" / f"{module}.py").is_file(), module
