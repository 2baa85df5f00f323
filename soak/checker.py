"""Checks the history of a soak run against the system's invariants.

The history holds what callers, operators and upstreams observed.  The checker
shares no code with the programs under test.  Each invariant is one function
that yields a description of each violation in a `RunHistory`; the function's
name is the name of the invariant in reports.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from soak.history import Exchange, RunHistory

__all__ = [
    "Violation",
    "find_violations",
]

# Limit on the time from accepting a zone's evacuation until its upstreams
# start no new work: operators take the zone to be empty after a few seconds.
EVACUATION_LIMIT_S = 5.0
# Window before a request in which interruptions of its entry count as causes
# of a lost connection.  A planned stop counts as the cause only if all
# interruptions in the window were planned: a kill or a freeze may also have cut
# the connection.
INTERRUPTION_WINDOW_S = 5.0
# Limit on the time that the close of a stopping process takes to reach the
# caller.  A request sent within that time may be lost unread, which is not a
# violation as long as no part of it ran.
CLOSE_DELAY_LIMIT_S = 0.2
# Budget for attempts beyond the first of a part: the ratio in the settings, and
# the tokens that each start of an entry may accumulate for each service.
RETRY_BUDGET_RATIO = 0.05
MAX_SAVED_ATTEMPTS = 10


# Time from an answer of an upstream until its entry has read it.
NOTICE_DELAY_S = 0.5
# Parts that each start of an entry may send to an upstream after that: it owns
# upstreams of which another entry has read the notice.
MAX_PARTS_AFTER_NOTICE = 2


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant.

    Attributes:
        invariant: Name of the invariant.
        detail: What was found, for the report.
    """

    invariant: str
    detail: str


def _run_records(history: RunHistory) -> Iterator[dict[str, Any]]:
    return (record for record in history.records if record["event"] == "run")


def _request_id(record: dict[str, Any]) -> str:
    """Return the id of a record's request, the prefix of its attempt id."""
    return record["attempt"].partition("/")[0]


def _answered_exchanges(history: RunHistory) -> list[Exchange]:
    exchanges = [
        *history.queries,
        *(command.exchange for command in history.commands),
    ]
    return [
        exchange for exchange in exchanges if exchange.outcome == "answered"
    ]


def mixed(history: RunHistory) -> Iterator[str]:
    """All rows of an answer belong to the snapshot that the answer states."""
    for exchange in _answered_exchanges(history):
        stated_version = exchange.body["snapshot"]["index_version"]
        versions = {row["version"] for row in exchange.body["rows"]}
        if versions - {stated_version}:
            yield (
                f"{exchange.request_id}: rows of {versions}, "
                f"snapshot {stated_version}"
            )


def misdelivered(history: RunHistory) -> Iterator[str]:
    """All rows of an answer were produced for its request.

    A command may get the recorded answer of an earlier send with the same
    key; the rows of that answer state the request id of the earlier send.
    """
    request_ids_by_correlation_id = defaultdict(set)
    for record in _run_records(history):
        correlation_id = json.loads(record["body"])["mark"]
        request_ids_by_correlation_id[correlation_id].add(_request_id(record))
    command_keys = {
        command.exchange.correlation_id for command in history.commands
    }
    for exchange in _answered_exchanges(history):
        allowed = {exchange.request_id}
        if exchange.correlation_id in command_keys:
            allowed |= request_ids_by_correlation_id[exchange.correlation_id]
        request_ids = {row["request"] for row in exchange.body["rows"]}
        if request_ids - allowed:
            yield f"{exchange.request_id}: rows of {sorted(request_ids)[:3]}"


def coverage(history: RunHistory) -> Iterator[str]:
    """The coverage of an answer states exactly the shards in its rows."""
    for exchange in _answered_exchanges(history):
        stated_coverage = exchange.body["coverage"]
        shards = {row["shard"] for row in exchange.body["rows"]}
        missing = {int(shard) for shard in stated_coverage["missing"]}
        if (
            len(shards) != stated_coverage["shards_answered"]
            or shards & missing
            or len(shards) + len(missing) != stated_coverage["shards_total"]
        ):
            yield (
                f"{exchange.request_id}: {stated_coverage}, "
                f"rows of {sorted(shards)}"
            )


def doubled(history: RunHistory) -> Iterator[str]:
    """A command runs at most once, over all sends with its key."""
    run_count_by_key = Counter(
        json.loads(record["body"])["mark"]
        for record in _run_records(history)
        if record["idempotent"] == "false"
    )
    for key, count in run_count_by_key.items():
        if count > 1:
            yield f"{key} ran {count} times"


def falsely_not_run(history: RunHistory) -> Iterator[str]:
    """A request that is reported as `not_run` did not run and never does."""
    request_ids_that_ran = {
        _request_id(record) for record in _run_records(history)
    }
    exchanges = [
        *history.queries,
        *(command.exchange for command in history.commands),
    ]
    for exchange in exchanges:
        if (
            exchange.outcome == "not_run"
            and exchange.request_id in request_ids_that_ran
        ):
            yield f"{exchange.request_id} at {exchange.entry}"


def cold(history: RunHistory) -> Iterator[str]:
    """A cold upstream is not sent more parts at once than its limit."""
    for record in history.records:
        if record["event"] == "overrun" and record["is_cold"]:
            yield f"{record['upstream']}: {record['value']} parts too many"


def evacuated(history: RunHistory) -> Iterator[str]:
    """Upstreams in an evacuated zone start no new work after the limit."""
    for evacuation in history.evacuations:
        for record in _run_records(history):
            zone = history.zone_by_upstream[record["upstream"]]
            is_late = (
                evacuation.accepted_at + EVACUATION_LIMIT_S
                < record["at"]
                < evacuation.restored_at
            )
            if zone == evacuation.zone and is_late:
                delay_s = record["at"] - evacuation.accepted_at
                yield (
                    f"{record['upstream']} ran work {delay_s:.1f} s "
                    "after the evacuation"
                )


def reverted(history: RunHistory) -> Iterator[str]:
    """Every read that is sent after a change was accepted includes it."""
    for read in history.read_revisions:
        newest_accepted = max(
            (
                accepted.revision
                for accepted in history.accepted_revisions
                if accepted.at < read.at
            ),
            default=0,
        )
        if read.revision < newest_accepted:
            yield f"read {read.revision} after {newest_accepted} was accepted"


def stuck(history: RunHistory) -> Iterator[str]:
    """Changes are accepted, as a quorum of control nodes has no fault."""
    for change in history.stuck_changes:
        yield f"{change!r} was not accepted in time"


def cut(history: RunHistory) -> Iterator[str]:
    """A planned stop of an entry closes no connection with a request on it.

    Requests that may have crossed the close on the wire are left out, if no
    part of them ran.
    """
    interruptions_by_name = defaultdict(list)
    for interruption in history.interruptions:
        interruptions_by_name[interruption.name].append(interruption)
    correlation_ids_that_ran = {
        json.loads(record["body"]).get("mark")
        for record in _run_records(history)
    }
    exchanges = [
        *history.queries,
        *(command.exchange for command in history.commands),
    ]
    for exchange in exchanges:
        is_crossing = exchange.ended_at - exchange.sent_at < CLOSE_DELAY_LIMIT_S
        if exchange.outcome != "cut" or (
            is_crossing
            and exchange.correlation_id not in correlation_ids_that_ran
        ):
            continue
        causes = [
            interruption
            for interruption in interruptions_by_name[exchange.entry]
            if exchange.sent_at - INTERRUPTION_WINDOW_S
            < interruption.at
            <= exchange.ended_at
        ]
        if causes and all(interruption.is_planned for interruption in causes):
            yield (
                f"{exchange.entry} cut a request sent at {exchange.sent_at:.2f}"
            )


def extra(history: RunHistory) -> Iterator[str]:
    """Attempts of a part beyond the first stay within the retry budget."""
    run_count_by_service: Counter[str] = Counter()
    parts_by_service = defaultdict(set)
    for record in _run_records(history):
        service = record["upstream"].rpartition("-v")[0]
        run_count_by_service[service] += 1
        parts_by_service[service].add(record["attempt"].rpartition("#")[0])
    for service, count in run_count_by_service.items():
        first_attempt_count = len(parts_by_service[service])
        allowed = (
            RETRY_BUDGET_RATIO * first_attempt_count
            + MAX_SAVED_ATTEMPTS * max(1, history.entry_start_count)
        )
        if count - first_attempt_count > allowed:
            yield (
                f"{service}: {count - first_attempt_count} attempts beyond "
                f"{first_attempt_count} first attempts"
            )


def _arrivals(history: RunHistory) -> dict[tuple[str, str], list[float]]:
    """Return the times of parts at each instance of each upstream."""
    times_by_instance = defaultdict(list)
    for record in history.records:
        if record["event"] in ("run", "refused"):
            instance = (record["upstream"], record["instance"])
            times_by_instance[instance].append(record["at"])
    return times_by_instance


def _max_parts_after_notice(history: RunHistory) -> int:
    return MAX_PARTS_AFTER_NOTICE * max(1, history.entry_start_count)


def left(history: RunHistory) -> Iterator[str]:
    """An upstream that has said that it leaves gets no more parts."""
    told_at_by_instance: dict[tuple[str, str], float] = {}
    for record in history.records:
        if record["event"] == "answered" and record.get("leaves"):
            instance = (record["upstream"], record["instance"])
            told_at_by_instance.setdefault(instance, record["at"])
    arrivals = _arrivals(history)
    for instance, told_at in told_at_by_instance.items():
        late = [
            at for at in arrivals[instance] if at > told_at + NOTICE_DELAY_S
        ]
        if len(late) > _max_parts_after_notice(history):
            yield f"{instance[0]}: {len(late)} parts after it said it leaves"


def paused(history: RunHistory) -> Iterator[str]:
    """An upstream that has asked for a pause gets no parts until its end."""
    spans_by_instance: dict[tuple[str, str], list[tuple[float, float]]]
    spans_by_instance = defaultdict(list)
    for record in history.records:
        if record["event"] == "paused":
            instance = (record["upstream"], record["instance"])
            span = (
                record["at"] + NOTICE_DELAY_S,
                record["at"] + record["pause_s"],
            )
            spans_by_instance[instance].append(span)
    arrivals = _arrivals(history)
    for instance, spans in spans_by_instance.items():
        early = [
            at
            for at in arrivals[instance]
            if any(start < at < end for start, end in spans)
        ]
        if len(early) > _max_parts_after_notice(history):
            yield f"{instance[0]}: {len(early)} parts in a pause"


INVARIANTS: tuple[Callable[[RunHistory], Iterator[str]], ...] = (
    mixed,
    misdelivered,
    coverage,
    doubled,
    falsely_not_run,
    cold,
    evacuated,
    reverted,
    stuck,
    cut,
    extra,
    left,
    paused,
)


def find_violations(history: RunHistory) -> list[Violation]:
    """Return all violations of invariants in a run."""
    return [
        Violation(invariant.__name__, detail)
        for invariant in INVARIANTS
        for detail in invariant(history)
    ]
