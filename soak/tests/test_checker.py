"""The checker reports an injected violation of each invariant and no other."""

import json

import pytest

from soak.checker import (
    PROMISES,
    Command,
    Observed,
    Query,
    Reading,
    Stop,
    ZoneOut,
    judge,
)

ID = "e1.x.1"


def row(shard=0, version="v1", request=ID):
    return {"shard": shard, "row": 0, "version": version, "request": request}


def answer(rows=None, answered=2, missing=(), total=2):
    return {
        "request_id": ID,
        "rows": [row(0), row(1)] if rows is None else rows,
        "snapshot": {"index_version": "v1", "partition_revision": 1},
        "coverage": {
            "shards_total": total,
            "shards_answered": answered,
            "missing": {str(shard): "timeout" for shard in missing},
        },
    }


def query(outcome="answered", body=None, ended_at=10.1, mark="q1"):
    body = answer() if body is None else body
    return Query(ID, mark, "entry-1", 10.0, ended_at, outcome, body)


def run(mark="q1", at=10.05, copy=1, idempotent="true", upstream="s-v1-a"):
    return {
        "event": "run",
        "at": at,
        "upstream": upstream,
        "attempt": f"{ID}/0.0.1#{copy}",
        "idempotent": idempotent,
        "body": json.dumps({"mark": mark}),
        "is_cold": False,
    }


def kept():
    """Return the history of a run without violations."""
    return Observed(
        queries=[query()],
        commands=[Command(query(mark="c1"))],
        records=[run(), run("c1", idempotent="false")],
        zones_out=[ZoneOut("z1", 20.0, 30.0, 5)],
        accepted=[Reading(20.0, 5)],
        readings=[Reading(21.0, 5)],
        zone_by_upstream={"s-v1-a": "z1"},
        starts=1,
    )


def plant_mixed(seen):
    seen.queries[0] = query(body=answer([row(0), row(1, "v2")]))


def plant_misdelivered(seen):
    seen.queries[0] = query(body=answer([row(0), row(1, request="other")]))


def plant_coverage(seen):
    seen.queries[0] = query(body=answer([row(0)]))


def plant_doubled(seen):
    seen.records.append(run("c1", copy=2, idempotent="false"))


def plant_falsely_not_run(seen):
    seen.queries[0] = query("not_run")


def plant_cold(seen):
    record = {"event": "overrun", "upstream": "s-v1-a", "value": 1}
    seen.records.append({**record, "is_cold": True, "at": 9.0})


def plant_evacuated(seen):
    seen.records.append(run("q9", at=26.0))


def plant_reverted(seen):
    seen.readings.append(Reading(22.0, 4))


def plant_cut(seen):
    seen.stops.append(Stop("entry-1", 9.9, is_planned=True))
    seen.queries.append(query("cut", ended_at=11.0))


def plant_extra(seen):
    seen.records += [run(copy=copy) for copy in range(2, 14)]


@pytest.mark.parametrize("promise", [promise.__name__ for promise in PROMISES])
def test_a_planted_violation_is_caught(promise):
    seen = kept()
    assert not judge(seen)
    globals()[f"plant_{promise}"](seen)
    assert {violation.promise for violation in judge(seen)} == {promise}


def test_a_recorded_answer_is_of_the_send_that_ran():
    seen = kept()
    ran = run("c1", idempotent="false")
    seen.records[1] = {**ran, "attempt": "e2.y.9/0.0.1#4"}
    rows = [row(0, request="e2.y.9"), row(1, request="e2.y.9")]
    seen.commands.append(Command(query(body=answer(rows), mark="c1")))
    assert not judge(seen)
    seen.queries.append(query(body=answer(rows), mark="q1"))
    assert [v.promise for v in judge(seen)] == ["misdelivered"]


def test_a_cut_by_a_process_that_was_killed_is_no_violation():
    seen = kept()
    plant_cut(seen)
    seen.stops.append(Stop("entry-1", 9.95, is_planned=False))
    assert not judge(seen)


def test_a_request_that_crosses_the_close_is_no_violation():
    seen = kept()
    seen.stops.append(Stop("entry-1", 9.9, is_planned=True))
    seen.queries.append(query("cut", ended_at=10.05, mark="q2"))
    assert not judge(seen)
