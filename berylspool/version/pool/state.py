"""State of one pool, and the changes that its decisions share."""

import heapq
from dataclasses import dataclass, field

from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    Reason,
    UpstreamResponse,
)
from berylspool.version.pool.message import (
    CancelAttempt,
    PoolAction,
    Reply,
    TimerKind,
)
from berylspool.version.pool.suspicion import Suspicion, is_convicted
from berylspool.version.pool.tail import Budget, HedgeDelay
from berylspool.version.pool.upstream_view import (
    Choice,
    ConnectionState,
    UpstreamView,
)

__all__ = [
    "Attempt",
    "Job",
    "Pool",
    "Tuning",
    "end_attempt",
    "enqueue",
    "fail",
    "hedge_delay_s",
    "idle_since",
    "may_hedge",
    "resolve",
    "retry_after_s",
    "set_timer",
]

FIRST_MEAN_S = 0.005
FIRST_HEDGE_DELAY_S = 0.25
MOST_TOKENS = 10.0
SHORTEST_RETRY_AFTER_S = 0.05
# Well below any timeout of an upstream in whole seconds; a new connection
# costs a round trip or two.
LONGEST_IDLE_ONCE_S = 0.1


@dataclass(frozen=True, slots=True)
class Tuning:
    """Settings of all pools of a process.

    Attributes:
        choice: How an upstream is chosen.
        hedges: Most hedges of one part.
        hedges_in_turn: Whether a hedge waits in turn with first copies, by
            the age of its request, rather than behind all of them.
        hedge_percentile: Percentile that the hedge delay follows.
        extra_ratio: Extra copies allowed for each first copy.
        queue_limit: Most parts that wait in one pool.
        silent_s: Age of the oldest owed answer at which a connection is
            taken for silent, in seconds; None if it owes its answer until
            the deadline.
        wait_share: Share of a part's time that it may be expected to wait.
        opens_on_demand: Whether connections are opened for parts that wait,
            rather than one for each slot in advance.
        isolates_suspects: Whether a request that lost an upstream runs alone
            on its next one; only an owner can see to that.
        counts_refusals: Whether a send after an upstream's refusal is paid
            from the budget of extra copies.
        first_tokens: Balance of that budget at the start.
        entry: Name of the entry, which decides its subset of upstreams.
        zone: Availability zone of the entry.
    """

    choice: Choice
    hedges: int = 2
    hedges_in_turn: bool = True
    hedge_percentile: float = 96.0
    extra_ratio: float = 0.05
    queue_limit: int = 256
    silent_s: float | None = 1.0
    wait_share: float = 0.7
    opens_on_demand: bool = False
    isolates_suspects: bool = True
    counts_refusals: bool = False
    first_tokens: float = MOST_TOKENS
    entry: str = ""
    zone: str = ""


@dataclass(slots=True)
class Attempt:
    """One copy of a part at an upstream."""

    id: int
    part_id: str
    upstream_id: str
    connection_id: int
    sent_at: float
    is_cancelled: bool = False
    is_alone: bool = False


@dataclass(slots=True)
class Job:
    """A part that has no result yet."""

    part: Part
    deadline: float
    arrived_at: float
    attempt_by_id: dict[int, Attempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    hedges: int = 0
    queued: int = 0
    has_run: bool = False
    refusals: int = 0
    warm_only: bool = False
    is_denied: bool = False
    last_reason: Reason = Reason.NO_UPSTREAM
    last_response: UpstreamResponse | None = None


@dataclass(slots=True)
class Pool:
    """State of one pool.

    Attributes:
        service: Name of the service.
        version: Index version of its upstreams.
        tuning: Settings.
        view_by_upstream: What is known of each upstream.
        job_by_part: Parts without a result.
        attempt_by_id: Attempts in flight, cancelled ones included.
        waiting: Heap of (is hedge, request age key, serial, part id).
        timers: Heap of (moment, serial, part id, kind).
        suspicion: Requests blamed for lost upstreams.
        lease_until: No new copy is sent from this moment on, monotonic
            seconds.
        is_closing: Whether the pool takes no new parts.
        arrived_at: Moment of the newest part; of the start, where there is
            room for connections of all entries.
        idle_limit_s: Time after which upstreams forget idle connections, as
            far as was seen, in seconds.
        idle_limit_until: Moment until which that is believed.
        idle_losses: Connections that were lost by what was sent on them after
            a pause, since one was of use after as long a pause.
        lost_idle_s: Shortest of those pauses, in seconds.
    """

    service: str
    version: str
    tuning: Tuning
    view_by_upstream: dict[str, UpstreamView] = field(default_factory=dict)
    job_by_part: dict[str, Job] = field(default_factory=dict)
    attempt_by_id: dict[int, Attempt] = field(default_factory=dict)
    waiting: list[tuple[int, float, int, str]] = field(default_factory=list)
    timers: list[tuple[float, int, str, TimerKind]] = field(
        default_factory=list
    )
    suspicion: Suspicion = field(default_factory=Suspicion)
    lease_until: float = float("inf")
    is_closing: bool = False
    arrived_at: float | None = None
    idle_limit_s: float = float("inf")
    idle_limit_until: float = float("-inf")
    idle_losses: int = 0
    lost_idle_s: float = float("inf")
    serial: int = 0
    mean_s: float = FIRST_MEAN_S
    budget: Budget = field(init=False)
    delay: HedgeDelay = field(init=False)

    def __post_init__(self) -> None:
        self.budget = Budget(
            self.tuning.extra_ratio, MOST_TOKENS, self.tuning.first_tokens
        )
        self.delay = HedgeDelay(
            self.tuning.hedge_percentile, FIRST_HEDGE_DELAY_S
        )

    def next_serial(self) -> int:
        """Return the next number of this pool."""
        self.serial += 1
        return self.serial


def idle_since(pool: Pool, job: Job, now: float) -> float:
    """Return since when a connection may be idle at most to carry a part.

    Upstreams may forget idle connections and reset what is sent on them. A
    part that may run once is lost then, so it takes a connection that was
    just used, or a new one.

    Args:
        pool: The pool.
        job: The part.
        now: Monotonic time in seconds.

    Returns:
        Monotonic seconds.
    """
    longest_s = float("inf")
    if now < pool.idle_limit_until:
        longest_s = pool.idle_limit_s
    if pool.tuning.opens_on_demand and not job.part.idempotent:
        longest_s = min(longest_s, LONGEST_IDLE_ONCE_S)
    return now - longest_s


def enqueue(pool: Pool, job: Job, is_hedge: bool) -> None:
    """Put a part into the queue."""
    job.queued += 1
    entry = (int(is_hedge), job.deadline, pool.next_serial(), job.part.id)
    heapq.heappush(pool.waiting, entry)


def set_timer(pool: Pool, moment: float, part_id: str, kind: TimerKind) -> None:
    """Set a timer; the id is a part's, or an attempt's for `SILENT`."""
    entry = (moment, pool.next_serial(), part_id, kind)
    heapq.heappush(pool.timers, entry)


def end_attempt(pool: Pool, attempt_id: int | None) -> Attempt | None:
    """Forget an attempt and free its slot and its connection."""
    if attempt_id is None:
        return None
    attempt = pool.attempt_by_id.pop(attempt_id, None)
    if attempt is None:
        return None
    view = pool.view_by_upstream.get(attempt.upstream_id)
    if view is not None:
        view.in_flight -= 1
        view.sent_at_by_attempt.pop(attempt_id, None)
        if attempt.is_alone:
            view.reserved_for = None
        connection = view.connection_by_id.get(attempt.connection_id)
        if connection and connection.state is ConnectionState.BUSY:
            connection.state = ConnectionState.IDLE
            connection.attempt_id = None
    job = pool.job_by_part.get(attempt.part_id)
    if job is not None:
        job.attempt_by_id.pop(attempt_id, None)
    return attempt


def resolve(
    pool: Pool, job: Job, result: PartResult, is_gone: bool = False
) -> list[PoolAction]:
    """Reply once and cancel the copies that are still in flight."""
    actions: list[PoolAction] = [Reply(result)]
    del pool.job_by_part[job.part.id]
    for view in pool.view_by_upstream.values():
        if view.reserved_for == job.part.id:
            view.reserved_for = None
    for attempt in job.attempt_by_id.values():
        attempt.is_cancelled = True
        actions.append(
            CancelAttempt(
                attempt.upstream_id,
                attempt.part_id,
                attempt.id,
                attempt.connection_id,
                is_gone,
            )
        )
    return actions


def fail(
    pool: Pool, job: Job, reason: Reason, is_gone: bool = False
) -> list[PoolAction]:
    """Give a part up; refuse it if that is still true."""
    if is_convicted(pool.suspicion, job.part.fingerprint):
        reason = Reason.QUARANTINED
    is_untouched = not job.has_run and not job.attempt_by_id
    result: PartResult
    if is_untouched:
        result = PartRefused(job.part.id, reason, retry_after_s(pool))
    else:
        result = PartFailed(job.part.id, reason, job.sends, job.last_response)
    return resolve(pool, job, result, is_gone)


def retry_after_s(pool: Pool) -> float:
    """Return the earliest useful retry, in seconds."""
    return max(pool.mean_s, SHORTEST_RETRY_AFTER_S)


def may_hedge(pool: Pool, job: Job) -> bool:
    """Return whether a part may have one more copy beside the first."""
    forward = job.part.forward
    if forward is None:
        return job.hedges < pool.tuning.hedges
    return job.sends - job.refusals < forward.attempts


def hedge_delay_s(pool: Pool, job: Job) -> float:
    """Return the time after a send until a hedge, in seconds."""
    forward = job.part.forward
    if forward is None or forward.hedge_after_s is None:
        return pool.delay.delay_s
    return forward.hedge_after_s
