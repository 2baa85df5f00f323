"""Core types of a request: query, snapshot, parts, coverage and answer."""

import enum
from dataclasses import dataclass, field
from typing import Any

__all__ = [
    "Answer",
    "Coverage",
    "Outcome",
    "Part",
    "PartFailed",
    "PartRefused",
    "PartResult",
    "PartRows",
    "Query",
    "Reason",
    "Refusal",
    "Snapshot",
]


class Reason(enum.StrEnum):
    """Why a part or a request has no answer."""

    TIMEOUT = "timeout"
    OVERLOAD = "overload"
    COLD = "cold"
    CONNECTION_LOST = "connection_lost"
    QUARANTINED = "quarantined"
    WRONG_SNAPSHOT = "wrong_snapshot"
    TRUNCATED = "truncated"
    UPSTREAM_ERROR = "upstream_error"
    NO_UPSTREAM = "no_upstream"
    NO_OWNER = "no_owner"
    LEASE_EXPIRED = "lease_expired"
    SHUTTING_DOWN = "shutting_down"
    CANCELLED = "cancelled"
    UNKNOWN_ROUTE = "unknown_route"
    NO_CONTROL = "no_control"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The one view that a query reads.

    Attributes:
        version: Index version of the route.
        partition: Revision of the partition map.
    """

    version: str
    partition: int


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's request after validation.

    Attributes:
        id: Unique among all sends of all callers to all entries.
        route: Name of the route.
        body: Query body as JSON text, passed to upstreams unchanged.
        deadline: Moment the answer is due, on this process's monotonic
            clock, in seconds.
        fingerprint: Identity of equal requests.
        key: Idempotency key of a request that may not be repeated, else
            None.
        min_coverage: Least share of shards that is an answer, from 0 to 1.
    """

    id: str
    route: str
    body: str
    deadline: float
    fingerprint: str
    key: str | None = None
    min_coverage: float = 0.0


@dataclass(frozen=True, slots=True)
class Part:
    """The share of one request that one shard answers.

    Attributes:
        id: Unique for the request, the shard and the send.
        request_id: Id of the request.
        service: Service that holds the shard.
        shard: Index of the shard in the partition map.
        snapshot: Snapshot the request is pinned to.
        body: Query body as JSON text.
        timeout_s: Time left when the part was sent, in seconds.
        fingerprint: Fingerprint of the request.
        idempotent: Whether the part may be sent more than once.
        route: Name of the route.
    """

    id: str
    request_id: str
    service: str
    shard: int
    snapshot: Snapshot
    body: str
    timeout_s: float
    fingerprint: str
    idempotent: bool
    route: str


@dataclass(frozen=True, slots=True)
class PartRows:
    """A whole answer to a part.

    Attributes:
        part_id: Part that is answered.
        snapshot: Snapshot that the upstream says it read.
        rows: JSON values, in the upstream's order.
        attempts: Copies sent to upstreams for this part.
    """

    part_id: str
    snapshot: Snapshot
    rows: tuple[Any, ...]
    attempts: int


@dataclass(frozen=True, slots=True)
class PartRefused:
    """The part never ran at any upstream.

    Attributes:
        part_id: Part that is refused.
        reason: Why it was refused.
        retry_after_s: Earliest useful retry, in seconds.
    """

    part_id: str
    reason: Reason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class PartFailed:
    """The part may have run, but there is no whole answer.

    Attributes:
        part_id: Part that failed.
        reason: Why there is no answer.
        attempts: Copies sent to upstreams for this part.
    """

    part_id: str
    reason: Reason
    attempts: int


PartResult = PartRows | PartRefused | PartFailed


@dataclass(frozen=True, slots=True)
class Coverage:
    """How much of the pinned partition map an answer covers.

    Attributes:
        total: Shards in the pinned partition map.
        answered: Shards with a whole answer from the pinned snapshot.
        missing: Reason for each shard without an answer, by shard index.
    """

    total: int
    answered: int
    missing: dict[int, Reason] = field(default_factory=dict)

    @property
    def is_whole(self) -> bool:
        """Whether every shard has answered."""
        return self.answered == self.total


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request.

    Attributes:
        request_id: Request that is answered.
        snapshot: The one snapshot that every row comes from.
        rows: Rows of all shards in shard order.
        coverage: Coverage over the pinned partition map.
        attempts: Copies sent to upstreams for all parts.
    """

    request_id: str
    snapshot: Snapshot
    rows: tuple[Any, ...]
    coverage: Coverage
    attempts: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request without an answer.

    Attributes:
        request_id: Request that is refused.
        reason: Why there is no answer.
        not_run: True only if no upstream can have run any of it.
        retry_after_s: Earliest useful retry, in seconds.
    """

    request_id: str
    reason: Reason
    not_run: bool
    retry_after_s: float


Outcome = Answer | Refusal
