"""Data classes of a request: query, snapshot, parts, coverage and answer."""

import enum
from dataclasses import dataclass, field
from typing import Any

__all__ = [
    "Answer",
    "Concatenate",
    "Coverage",
    "Forward",
    "MergePolicy",
    "Outcome",
    "Part",
    "PartFailed",
    "PartRefused",
    "PartResult",
    "PartRows",
    "Query",
    "Reason",
    "Refusal",
    "SingleResponse",
    "Snapshot",
    "TopRecords",
    "UpstreamResponse",
]


class Reason(enum.StrEnum):
    """Why a part or a request has no answer.

    Attributes:
        TIMEOUT: No answer arrived in time.
        OVERLOAD: Too many requests are waiting at the pool or the upstream.
        COLD: Upstreams have started recently and take less load.
        PAUSED: All upstreams have asked for a pause.
        CONNECTION_LOST: The connection to the upstream was closed or did not
            respond.
        QUARANTINED: The request is convicted of crashing upstreams.
        WRONG_SNAPSHOT: An upstream does not serve the pinned snapshot.
        TRUNCATED: The response of an upstream is incomplete.
        UPSTREAM_ERROR: An upstream responded with an error.
        NO_UPSTREAM: No upstream may get the part.
        NO_OWNER: The owner of the service cannot be reached.
        LEASE_EXPIRED: The lease of the entry has expired.
        SHUTTING_DOWN: The pool, the entry or the upstream is draining.
        CANCELLED: The result is no longer needed.
        UNKNOWN_ROUTE: The route is not defined.
        NO_CONTROL: The entry has no configuration yet, or the ledger did not
            reply in time.
        KEY_REUSED: The idempotency key belongs to a different request.
        IN_PROGRESS: An earlier request with the same idempotency key may be
            running or may have run.
        INVALID: The request violates a rule for its format or its route.
        INTERNAL: The entry failed to handle the request.
        UNKNOWN_KEY: The request has no valid API key, and its route needs one.
    """

    TIMEOUT = "timeout"
    OVERLOAD = "overload"
    COLD = "cold"
    PAUSED = "paused"
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
    INTERNAL = "internal"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The single state of the data that a query reads.

    Attributes:
        version: Index version of the route.
        partition: Revision of the partition map.
    """

    version: str
    partition: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Request that is forwarded to upstreams as the caller sent it.

    Attributes:
        method: HTTP method.
        target: Path and query string, unchanged.
        headers: End-to-end headers, in their original order; without customers,
            a key that the caller sent is among them.
        body: Complete body.
        is_part: Whether the response is one part of the answer, and
            therefore a list of records.
        attempts: Maximum number of upstreams that may run one part.
        hedge_after_s: Time without an answer after which a second copy is
            sent, in seconds; None for no second copy.
        rank: Priority of its customer, or else of its route; 0 is the most
            urgent.
        target_latency_s: Target latency of its route, in seconds; 0 if none
            is stated.
        grace_s: Time between the target latency and the deadline, in seconds;
            0 without a target latency.
        customer: Name of its customer; empty if it has none.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes
    is_part: bool = False
    attempts: int = 1
    hedge_after_s: float | None = None
    rank: int = 0
    target_latency_s: float = 0.0
    grace_s: float = 0.0
    customer: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """Complete response of an upstream, which is passed on unchanged.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Concatenate:
    """Merge policy: concatenate the rows of all shards, in shard order."""


@dataclass(frozen=True, slots=True)
class TopRecords:
    """Merge policy: take the greatest records of all shards, greatest first.

    Attributes:
        count: Maximum number of records in the answer.
    """

    count: int


@dataclass(frozen=True, slots=True)
class SingleResponse:
    """Merge policy: return the response of the only part."""


MergePolicy = Concatenate | TopRecords | SingleResponse


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's request after validation.

    Attributes:
        id: Identifier, unique among all requests of all callers to all
            entries; a resent request has a new one.
        route: Name of the route.
        body: Query body as JSON text, passed to upstreams unchanged.
        deadline: Time by which the answer is due, on this process's
            monotonic clock, in seconds.
        fingerprint: Hash that is the same for equal requests.
        key: Idempotency key of a request that may not be repeated, else
            None.
        min_coverage: Minimum share of the shards that an answer must cover,
            from 0 to 1.
        forward: Original request, if it is forwarded to upstreams unchanged.
        merge: Policy that merges the results of the parts.
        soft_deadline: Time from which an answer with at least `min_coverage` is
            preferred to a complete but later one, on the same clock as
            `deadline`; None to wait until the deadline.
    """

    id: str
    route: str
    body: str
    deadline: float
    fingerprint: str
    key: str | None = None
    min_coverage: float = 0.0
    forward: Forward | None = None
    merge: MergePolicy = Concatenate()
    soft_deadline: float | None = None


@dataclass(slots=True)
class Part:
    """Part of a request that one shard answers.

    Attributes:
        id: Identifier, unique for the request, the shard and the send.
        request_id: Id of the request.
        service: Name of the service that serves the shard.
        shard: Index of the shard in the partition map.
        snapshot: Snapshot that the request is pinned to.
        body: Query body as JSON text.
        timeout_s: Time left until the deadline when the part was sent, in
            seconds.
        fingerprint: Fingerprint of the request.
        idempotent: Whether the part may be sent more than once.
        route: Name of the route.
        forward: Original request, if it is forwarded to upstreams unchanged.
        is_extra: Whether an upstream may have run the part already, so that
            its first copy here is paid from the budget of extra copies.
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
    forward: Forward | None = None
    is_extra: bool = False


@dataclass(slots=True)
class PartRows:
    """Complete answer to a part.

    Attributes:
        part_id: Id of the part.
        snapshot: Snapshot that the upstream reports it has read.
        rows: JSON values, in the upstream's order.
        attempts: Number of copies of this part sent to upstreams.
        stamp: Signature of the upstream over its answer; empty if none.
    """

    part_id: str
    snapshot: Snapshot
    rows: tuple[Any, ...]
    attempts: int
    stamp: str = ""


@dataclass(frozen=True, slots=True)
class PartRefused:
    """Refusal of a part that no upstream has run.

    Attributes:
        part_id: Id of the part.
        reason: Why the part was refused.
        retry_after_s: Time after which a retry may succeed, in seconds.
        sends: Number of copies that upstreams have refused.
    """

    part_id: str
    reason: Reason
    retry_after_s: float
    sends: int = 0


@dataclass(frozen=True, slots=True)
class PartFailed:
    """Failure of a part that an upstream may have run.

    Attributes:
        part_id: Id of the part.
        reason: Why there is no complete answer.
        attempts: Number of copies of this part sent to upstreams.
        response: Error response of an upstream, if there was one.
    """

    part_id: str
    reason: Reason
    attempts: int
    response: UpstreamResponse | None = None


PartResult = PartRows | PartRefused | PartFailed


@dataclass(frozen=True, slots=True)
class Coverage:
    """Extent to which an answer covers the pinned partition map.

    Attributes:
        total: Number of shards in the pinned partition map.
        answered: Number of shards with a complete answer from the pinned
            snapshot.
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
    """Answer to a request.

    Attributes:
        request_id: Id of the request.
        snapshot: The single snapshot that all rows come from.
        rows: Rows of the shards, merged by the query's `merge` policy.
        coverage: Coverage of the pinned partition map.
        attempts: Number of copies sent to upstreams for all parts.
        stamps: Signatures of the merged parts that have one, in shard order.
        last_shard: Index of the shard that answered last, or -1.
    """

    request_id: str
    snapshot: Snapshot
    rows: tuple[Any, ...]
    coverage: Coverage
    attempts: int
    stamps: tuple[str, ...] = ()
    last_shard: int = -1


@dataclass(frozen=True, slots=True)
class Refusal:
    """Outcome of a request that has no answer.

    Attributes:
        request_id: Id of the request.
        reason: Why there is no answer.
        not_run: True only if no upstream can have run any part of it.
        retry_after_s: Time after which a retry may succeed, in seconds.
        response: Error response of an upstream, if there was one.
    """

    request_id: str
    reason: Reason
    not_run: bool
    retry_after_s: float
    response: UpstreamResponse | None = None


Outcome = Answer | Refusal
