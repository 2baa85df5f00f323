"""Checks the history of a soak run against the system's invariants.

The history holds what callers, operators and upstreams observed.  The checker
shares no code with the programs under test.  Each invariant is one function
that yields a description of each violation in an `Observed` history; the
function's name is the name of the invariant in reports.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

__all__ = [
    "Command",
    "Observed",
    "Query",
    "Reading",
    "Stop",
    "Violation",
    "ZoneOut",
    "judge",
]

# Limit on the time from accepting a zone's evacuation until its upstreams
# start no new work: operators take the zone to be empty after a few seconds.
ZONE_OUT_S = 5.0
# Window before a request in which interruptions of its entry count as causes
# of a lost connection.  A planned stop is blamed only if all interruptions in
# the window were planned: a kill or a freeze may also have cut the connection.
STRUCK_S = 5.0
# Limit on the time that the close of a stopping process takes to reach the
# caller.  A request sent within that time may be lost unread, which is not a
# violation as long as no part of it ran.
CROSSING_S = 0.2
# Budget for attempts beyond the first of a part: the ratio in the settings, and
# the tokens that each start of an entry may accumulate for each service.
EXTRA_RATIO = 0.05
SAVED_COPIES = 10


@dataclass(frozen=True, slots=True)
class Query:
    """One request and the result that its caller received.

    Attributes:
        request_id: Id in the answer; empty without an answer.
        mark: Unique text in the request's body, which identifies the request
            in the records of upstreams; of a command, also its key.
        entry: Entry that received the request.
        sent_at: Time when sending began, monotonic seconds.
        ended_at: Time of the answer or of the loss, monotonic seconds.
        outcome: `answered`, `not_run`, `unknown`, `cut`, `no_connection` or
            `late`.
        body: Decoded answer; empty without one.
    """

    request_id: str
    mark: str
    entry: str
    sent_at: float
    ended_at: float
    outcome: str
    body: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Command:
    """One send of a command, a request that runs at most once.

    Attributes:
        reply: The request and its result.
    """

    reply: Query


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """An evacuation of a zone by operators.

    Attributes:
        zone: Name of the zone.
        accepted_at: Time of the answer that accepted it, monotonic seconds.
        back_at: Time just before the command that puts the zone back in,
            monotonic seconds.
        revision: Configuration revision in the answer.
    """

    zone: str
    accepted_at: float
    back_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class Reading:
    """A configuration revision that a control node reported.

    Attributes:
        asked_at: Time when its read was sent or its change was accepted,
            monotonic seconds.
        revision: The revision.
    """

    asked_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class Stop:
    """An interruption of a process: a kill, a freeze or a planned stop.

    Attributes:
        name: Name of the process.
        at: Time of the interruption, monotonic seconds.
        is_planned: Whether the process was asked to stop with SIGTERM.
    """

    name: str
    at: float
    is_planned: bool


@dataclass(slots=True)
class Observed:
    """History of a run, as callers, operators and upstreams observed it.

    Attributes:
        queries: All queries and their results.
        commands: All sends of commands and their results.
        records: Records of the stand-in upstreams.
        zones_out: Evacuations of zones.
        accepted: Time and revision of each accepted change.
        readings: Time and revision of each read of the configuration.
        stops: Interruptions of processes.
        zone_by_upstream: Zone of each upstream.
        starts: Number of times that entries were started.
    """

    queries: list[Query] = field(default_factory=list)
    commands: list[Command] = field(default_factory=list)
    records: list[dict[str, Any]] = field(default_factory=list)
    zones_out: list[ZoneOut] = field(default_factory=list)
    accepted: list[Reading] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    zone_by_upstream: dict[str, str] = field(default_factory=dict)
    starts: int = 0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant.

    Attributes:
        promise: Name of the invariant.
        detail: What was found, for the report.
    """

    promise: str
    detail: str


def _runs(seen: Observed) -> Iterator[dict[str, Any]]:
    return (record for record in seen.records if record["event"] == "run")


def _request_of(record: dict[str, Any]) -> str:
    """Return the id of a record's request, the prefix of its attempt id."""
    return record["attempt"].partition("/")[0]


def _answers(seen: Observed) -> list[Query]:
    queries = [*seen.queries, *(command.reply for command in seen.commands)]
    return [query for query in queries if query.outcome == "answered"]


def mixed(seen: Observed) -> Iterator[str]:
    """All rows of an answer belong to the snapshot that the answer states."""
    for query in _answers(seen):
        wanted = query.body["snapshot"]["index_version"]
        versions = {row["version"] for row in query.body["rows"]}
        if versions - {wanted}:
            yield f"{query.request_id}: rows of {versions}, snapshot {wanted}"


def misdelivered(seen: Observed) -> Iterator[str]:
    """All rows of an answer were produced for its request.

    A command may get the recorded answer of an earlier send with the same
    key; the rows of that answer state the request id of the earlier send.
    """
    sends_by_mark = defaultdict(set)
    for record in _runs(seen):
        mark = json.loads(record["body"])["mark"]
        sends_by_mark[mark].add(_request_of(record))
    keys = {command.reply.mark for command in seen.commands}
    for query in _answers(seen):
        allowed = {query.request_id}
        if query.mark in keys:
            allowed |= sends_by_mark[query.mark]
        others = {row["request"] for row in query.body["rows"]}
        if others - allowed:
            yield f"{query.request_id}: rows of {sorted(others)[:3]}"


def coverage(seen: Observed) -> Iterator[str]:
    """The coverage of an answer states exactly the shards in its rows."""
    for query in _answers(seen):
        stated = query.body["coverage"]
        shards = {row["shard"] for row in query.body["rows"]}
        missing = {int(shard) for shard in stated["missing"]}
        if (
            len(shards) != stated["shards_answered"]
            or shards & missing
            or len(shards) + len(missing) != stated["shards_total"]
        ):
            yield f"{query.request_id}: {stated}, rows of {sorted(shards)}"


def doubled(seen: Observed) -> Iterator[str]:
    """A command runs at most once, over all sends with its key."""
    runs = Counter(
        json.loads(record["body"])["mark"]
        for record in _runs(seen)
        if record["idempotent"] == "false"
    )
    for key, count in runs.items():
        if count > 1:
            yield f"{key} ran {count} times"


def falsely_not_run(seen: Observed) -> Iterator[str]:
    """A request that is reported as `not_run` did not run and never does."""
    ran = {_request_of(record) for record in _runs(seen)}
    replies = [*seen.queries, *(command.reply for command in seen.commands)]
    for reply in replies:
        if reply.outcome == "not_run" and reply.request_id in ran:
            yield f"{reply.request_id} at {reply.entry}"


def cold(seen: Observed) -> Iterator[str]:
    """A cold upstream is not sent more parts at once than its limit."""
    for record in seen.records:
        if record["event"] == "overrun" and record["is_cold"]:
            yield f"{record['upstream']}: {record['value']} too many"


def evacuated(seen: Observed) -> Iterator[str]:
    """Upstreams in an evacuated zone start no new work after the limit."""
    for out in seen.zones_out:
        for record in _runs(seen):
            zone = seen.zone_by_upstream[record["upstream"]]
            late = out.accepted_at + ZONE_OUT_S < record["at"] < out.back_at
            if zone == out.zone and late:
                after_s = record["at"] - out.accepted_at
                yield f"{record['upstream']} ran work {after_s:.1f} s after"


def reverted(seen: Observed) -> Iterator[str]:
    """Every read that is sent after a change was accepted includes it."""
    for reading in seen.readings:
        newest = max(
            (
                accepted.revision
                for accepted in seen.accepted
                if accepted.asked_at < reading.asked_at
            ),
            default=0,
        )
        if reading.revision < newest:
            yield f"read {reading.revision} after {newest} was accepted"


def cut(seen: Observed) -> Iterator[str]:
    """A planned stop of an entry closes no connection with a request on it.

    Requests that may have crossed the close on the wire are left out, if no
    part of them ran.
    """
    stops_by_name = defaultdict(list)
    for stop in seen.stops:
        stops_by_name[stop.name].append(stop)
    ran = {json.loads(record["body"]).get("mark") for record in _runs(seen)}
    replies = [*seen.queries, *(command.reply for command in seen.commands)]
    for reply in replies:
        is_crossing = reply.ended_at - reply.sent_at < CROSSING_S
        if reply.outcome != "cut" or (is_crossing and reply.mark not in ran):
            continue
        before = [
            stop
            for stop in stops_by_name[reply.entry]
            if reply.sent_at - STRUCK_S < stop.at <= reply.ended_at
        ]
        if before and all(stop.is_planned for stop in before):
            yield f"{reply.entry} cut a request sent at {reply.sent_at:.2f}"


def extra(seen: Observed) -> Iterator[str]:
    """Attempts of a part beyond the first stay within the retry budget."""
    runs: Counter[str] = Counter()
    parts = defaultdict(set)
    for record in _runs(seen):
        service = record["upstream"].rpartition("-v")[0]
        runs[service] += 1
        parts[service].add(record["attempt"].rpartition("#")[0])
    for service, count in runs.items():
        first = len(parts[service])
        allowed = EXTRA_RATIO * first + SAVED_COPIES * max(1, seen.starts)
        if count - first > allowed:
            yield f"{service}: {count - first} beyond {first} first copies"


PROMISES: tuple[Callable[[Observed], Iterator[str]], ...] = (
    mixed,
    misdelivered,
    coverage,
    doubled,
    falsely_not_run,
    cold,
    evacuated,
    reverted,
    cut,
    extra,
)


def judge(seen: Observed) -> list[Violation]:
    """Return all violations of invariants in a run."""
    return [
        Violation(promise.__name__, detail)
        for promise in PROMISES
        for detail in promise(seen)
    ]
