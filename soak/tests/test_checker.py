"""The checker reports an injected violation of each invariant and no other."""

import json

import pytest

from soak.checker import INVARIANTS, find_violations
from soak.history import (
    CommandSend,
    Evacuation,
    Exchange,
    Interruption,
    RunHistory,
    TimedRevision,
)

REQUEST_ID = "e1.x.1"


def make_row(shard=0, version="v1", request=REQUEST_ID):
    return {"shard": shard, "row": 0, "version": version, "request": request}


def make_answer(rows=None, answered=2, missing=(), total=2):
    return {
        "request_id": REQUEST_ID,
        "rows": [make_row(0), make_row(1)] if rows is None else rows,
        "snapshot": {"index_version": "v1", "partition_revision": 1},
        "coverage": {
            "shards_total": total,
            "shards_answered": answered,
            "missing": {str(shard): "timeout" for shard in missing},
        },
    }


def make_exchange(
    outcome="answered", body=None, ended_at=10.1, correlation_id="q1"
):
    body = make_answer() if body is None else body
    return Exchange(
        REQUEST_ID, correlation_id, "entry-1", 10.0, ended_at, outcome, body
    )


def make_run_record(
    correlation_id="q1", at=10.05, copy=1, idempotent="true", upstream="s-v1-a"
):
    return {
        "event": "run",
        "at": at,
        "upstream": upstream,
        "instance": "i1",
        "attempt": f"{REQUEST_ID}/0.0.1#{copy}",
        "idempotent": idempotent,
        "body": json.dumps({"mark": correlation_id}),
        "is_cold": False,
    }


def make_history():
    """Return the history of a run without violations."""
    return RunHistory(
        queries=[make_exchange()],
        commands=[CommandSend(make_exchange(correlation_id="c1"))],
        records=[make_run_record(), make_run_record("c1", idempotent="false")],
        evacuations=[Evacuation("z1", 20.0, 30.0, 5)],
        accepted_revisions=[TimedRevision(20.0, 5)],
        read_revisions=[TimedRevision(21.0, 5)],
        zone_by_upstream={"s-v1-a": "z1"},
        entry_start_count=1,
    )


def violate_mixed(history):
    history.queries[0] = make_exchange(
        body=make_answer([make_row(0), make_row(1, "v2")])
    )


def violate_misdelivered(history):
    history.queries[0] = make_exchange(
        body=make_answer([make_row(0), make_row(1, request="other")])
    )


def violate_coverage(history):
    history.queries[0] = make_exchange(body=make_answer([make_row(0)]))


def violate_doubled(history):
    history.records.append(make_run_record("c1", copy=2, idempotent="false"))


def violate_falsely_not_run(history):
    history.queries[0] = make_exchange("not_run")


def violate_cold(history):
    record = {"event": "overrun", "upstream": "s-v1-a", "value": 1}
    history.records.append({**record, "is_cold": True, "at": 9.0})


def violate_evacuated(history):
    history.records.append(make_run_record("q9", at=26.0))


def violate_reverted(history):
    history.read_revisions.append(TimedRevision(22.0, 4))


def violate_cut(history):
    history.interruptions.append(Interruption("entry-1", 9.9, is_planned=True))
    history.queries.append(make_exchange("cut", ended_at=11.0))


def violate_extra(history):
    history.records += [make_run_record(copy=copy) for copy in range(2, 14)]


def make_refused_record(at):
    refused = {"event": "refused", "upstream": "s-v1-a", "instance": "i1"}
    return {**refused, "at": at}


def violate_left(history):
    answered = {**make_refused_record(9.0), "event": "answered"}
    history.records.append({**answered, "leaves": True})
    history.records += [make_refused_record(12.0) for _ in range(3)]


def violate_stuck(history):
    history.stuck_changes.append("zone z1 in")


def violate_paused(history):
    pause = {**make_refused_record(9.0), "event": "paused", "pause_s": 4.0}
    history.records.append(pause)
    history.records += [make_refused_record(12.0) for _ in range(3)]


@pytest.mark.parametrize(
    "invariant", [invariant.__name__ for invariant in INVARIANTS]
)
def test_violation_of_each_invariant_is_reported(invariant):
    history = make_history()
    assert not find_violations(history)
    globals()[f"violate_{invariant}"](history)
    assert {violation.invariant for violation in find_violations(history)} == {
        invariant
    }


def test_recorded_answer_may_belong_to_an_earlier_send():
    history = make_history()
    record = make_run_record("c1", idempotent="false")
    history.records[1] = {**record, "attempt": "e2.y.9/0.0.1#4"}
    rows = [make_row(0, request="e2.y.9"), make_row(1, request="e2.y.9")]
    history.commands.append(
        CommandSend(make_exchange(body=make_answer(rows), correlation_id="c1"))
    )
    assert not find_violations(history)
    history.queries.append(
        make_exchange(body=make_answer(rows), correlation_id="q1")
    )
    assert [v.invariant for v in find_violations(history)] == ["misdelivered"]


def test_connection_cut_by_a_killed_process_is_no_violation():
    history = make_history()
    violate_cut(history)
    history.interruptions.append(
        Interruption("entry-1", 9.95, is_planned=False)
    )
    assert not find_violations(history)


def test_request_that_crosses_the_close_is_no_violation():
    history = make_history()
    history.interruptions.append(Interruption("entry-1", 9.9, is_planned=True))
    history.queries.append(
        make_exchange("cut", ended_at=10.05, correlation_id="q2")
    )
    assert not find_violations(history)


def test_parts_after_a_pause_and_of_another_instance_are_no_violation():
    history = make_history()
    pause = {**make_refused_record(9.0), "event": "paused", "pause_s": 2.0}
    history.records.append(pause)
    history.records += [make_refused_record(12.0) for _ in range(9)]
    other = {**make_refused_record(10.5), "instance": "i2"}
    history.records += [other] * 9
    assert not find_violations(history)
