"""Judges a run by what callers, operators and upstreams saw.

It shares no code with the programs.  Each promise is one function from the
`Observed` of a run to the violations of that promise.
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

# Time from an accepted order until its zone gets no new work; the brief says
# a few seconds, the users' rules 5 s.
ZONE_OUT_S = 5.0
# A process that was struck before it was asked to end proves nothing.
STRUCK_S = 5.0
# What a closing process had not read yet is no loss; the users' rules allow
# so much time for its close to arrive.
CROSSING_S = 0.2
# Copies beyond the first: the ratio of the settings, and what each start of a
# process may have saved up for each service.
EXTRA_RATIO = 0.05
SAVED_COPIES = 10


@dataclass(frozen=True, slots=True)
class Query:
    """One query and what its caller got.

    Attributes:
        request_id: Id in the answer; empty without one.
        mark: Text in its body that no other query has.
        entry: Entry that was asked.
        sent_at: Moment of its last byte, monotonic seconds.
        ended_at: Moment of the answer or of the loss.
        outcome: `answered`, `not_run`, `unknown`, `cut`, `no_connection` or
            `late`.
        body: Decoded answer.
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
    """One send of a request that may run once; its mark is its key."""

    reply: Query


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """A zone that operators took out.

    Attributes:
        zone: The zone.
        accepted_at: Moment of the answer.
        back_at: Moment just before it was ordered back in.
        revision: Revision that the answer named.
    """

    zone: str
    accepted_at: float
    back_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class Reading:
    """A revision that a control node told, asked for at a moment."""

    asked_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class Stop:
    """A process that was struck, or asked to end.

    Attributes:
        name: The process.
        at: Moment.
        is_planned: Whether it was asked to end.
    """

    name: str
    at: float
    is_planned: bool


@dataclass(slots=True)
class Observed:
    """Everything that was seen in a run.

    Attributes:
        queries: All queries.
        commands: All sends of requests that may run once.
        records: Records of the stand-in upstreams.
        zones_out: Zones that were out.
        accepted: Moment and revision of each accepted change.
        readings: Revisions that were read.
        stops: Processes that were struck.
        zone_by_upstream: Zone of each upstream.
        starts: Starts of entries.
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
    """A promise that was broken."""

    promise: str
    detail: str


def _runs(seen: Observed) -> Iterator[dict[str, Any]]:
    return (record for record in seen.records if record["event"] == "run")


def _request_of(record: dict[str, Any]) -> str:
    """Return the request of a record; attempts are named after it."""
    return record["attempt"].partition("/")[0]


def _answers(seen: Observed) -> list[Query]:
    queries = [*seen.queries, *(command.reply for command in seen.commands)]
    return [query for query in queries if query.outcome == "answered"]


def mixed(seen: Observed) -> Iterator[str]:
    """All rows of an answer are of the snapshot that it names."""
    for query in _answers(seen):
        wanted = query.body["snapshot"]["index_version"]
        versions = {row["version"] for row in query.body["rows"]}
        if versions - {wanted}:
            yield f"{query.request_id}: rows of {versions}, snapshot {wanted}"


def misdelivered(seen: Observed) -> Iterator[str]:
    """All rows of an answer were made for its request.

    A request that may not be repeated gets the recorded answer of an earlier
    send under its key, which names that send.
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
    """An answer states the shards whose rows it holds."""
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
    """A request that may not be repeated runs once at most."""
    runs = Counter(
        json.loads(record["body"])["mark"]
        for record in _runs(seen)
        if record["idempotent"] == "false"
    )
    for key, count in runs.items():
        if count > 1:
            yield f"{key} ran {count} times"


def falsely_not_run(seen: Observed) -> Iterator[str]:
    """What was told not to have run has not, and never does."""
    ran = {_request_of(record) for record in _runs(seen)}
    replies = [*seen.queries, *(command.reply for command in seen.commands)]
    for reply in replies:
        if reply.outcome == "not_run" and reply.request_id in ran:
            yield f"{reply.request_id} at {reply.entry}"


def cold(seen: Observed) -> Iterator[str]:
    """An upstream that has just started gets no more than it bears."""
    for record in seen.records:
        if record["event"] == "overrun" and record["is_cold"]:
            yield f"{record['upstream']}: {record['value']} too many"


def evacuated(seen: Observed) -> Iterator[str]:
    """A zone that is out gets no new work after a few seconds."""
    for out in seen.zones_out:
        for record in _runs(seen):
            zone = seen.zone_by_upstream[record["upstream"]]
            late = out.accepted_at + ZONE_OUT_S < record["at"] < out.back_at
            if zone == out.zone and late:
                after_s = record["at"] - out.accepted_at
                yield f"{record['upstream']} ran work {after_s:.1f} s after"


def reverted(seen: Observed) -> Iterator[str]:
    """An accepted change is in every later reading."""
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
    """A planned stop cuts no request."""
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
    """Copies beyond the first stay within the retry budget."""
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
    """Return all violations of a run."""
    return [
        Violation(promise.__name__, detail)
        for promise in PROMISES
        for detail in promise(seen)
    ]
