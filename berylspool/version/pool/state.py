"""State of one pool and the state changes that its decisions share."""

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
from berylspool.version.overload.precedence import Claim, Precedence
from berylspool.version.overload.retry_after import unbooked_return_s
from berylspool.version.overload.shedding import Shedding
from berylspool.version.pool.hedging import Budget, HedgeDelay
from berylspool.version.pool.message import (
    CancelAttempt,
    PoolAction,
    SendResult,
    TimerKind,
)
from berylspool.version.pool.quarantine import VerdictTable, is_convicted
from berylspool.version.upstream.balancing import BalancingPolicy
from berylspool.version.upstream.notices import NoticeMemory
from berylspool.version.upstream.slow_upstreams import SlownessObserved
from berylspool.version.upstream.upstream_view import (
    ConnectionState,
    UpstreamView,
)

__all__ = [
    "Attempt",
    "Job",
    "Pool",
    "PoolTuning",
    "earliest_idle_since",
    "end_attempt",
    "enqueue_job",
    "fail_job",
    "finish_job",
    "retry_after_s",
    "set_timer",
]

INITIAL_MEAN_LATENCY_S = 0.005
INITIAL_HEDGE_DELAY_S = 0.25
MAX_BUDGET_TOKENS = 10.0
MIN_RETRY_AFTER_S = 0.05
# Well below idle time-outs of upstreams, which are whole seconds. A new
# connection costs only a round trip or two.
MAX_IDLE_NON_IDEMPOTENT_S = 0.1
NO_LIMIT = float("-inf")


@dataclass(frozen=True, slots=True)
class PoolTuning:
    """Settings that apply to all pools of a process.

    Attributes:
        policy: Load-balancing policy.
        hedges: Maximum number of hedges of one part.
        hedges_in_turn: Whether hedges and first copies share one queue order,
            by deadline, instead of hedges queueing behind all first copies.
        hedge_percentile: Percentile of attempt times used as hedge delay.
        extra_ratio: Extra copies allowed for each first copy.
        queue_limit: Maximum number of parts that wait in one pool.
        silent_s: Age of an unanswered attempt at which its connection is
            considered unresponsive, in seconds; None if the answer may take
            until the deadline.
        wait_share: Maximum expected queueing time of a part, as a share of
            its time-out.
        opens_on_demand: Whether connections are opened for waiting parts,
            instead of one for each slot in advance.
        isolates_suspects: Whether a request that lost an upstream runs alone
            on its next one. This requires exclusive ownership of the
            upstream.
        charges_refusals: Whether a send after an upstream's refusal is paid
            from the budget of extra copies.
        borrows_copies: Whether control lends extra copies once that budget
            is spent.
        initial_tokens: Initial balance of that budget.
        entry: Name of the entry, which determines its subset of upstreams.
        zone: Availability zone of the entry.
    """

    policy: BalancingPolicy
    hedges: int = 2
    hedges_in_turn: bool = True
    hedge_percentile: float = 96.0
    extra_ratio: float = 0.05
    queue_limit: int = 256
    silent_s: float | None = 1.0
    wait_share: float = 0.7
    opens_on_demand: bool = False
    isolates_suspects: bool = True
    charges_refusals: bool = False
    borrows_copies: bool = False
    initial_tokens: float = MAX_BUDGET_TOKENS
    entry: str = ""
    zone: str = ""


@dataclass(slots=True)
class Attempt:
    """One copy of a part that was sent to an upstream.

    Attributes:
        id: Unique in the pool.
        part_id: Id of the part.
        route: Route of its request.
        upstream_id: Id of the upstream.
        connection_id: Connection that carries it.
        sent_at: Time of sending, monotonic seconds.
        is_cancelled: Whether its answer is no longer needed.
        is_isolated: Whether the upstream is reserved for it.
    """

    id: int
    part_id: str
    route: str
    upstream_id: str
    connection_id: int
    sent_at: float
    is_cancelled: bool = False
    is_isolated: bool = False


@dataclass(slots=True)
class Job:
    """A part that has no result yet.

    Attributes:
        part: The part.
        deadline: Time by which it must have a result, monotonic seconds.
        arrived_at: Time of its arrival, monotonic seconds.
        attempt_by_id: Attempts in flight.
        tried_upstreams: Upstreams that it was sent to; a refusal that may be
            temporary removes one again.
        sends: Number of copies sent.
        hedges: Number of hedges queued or sent.
        queue_items: Number of its items in the queue.
        has_run: Whether an upstream may have run it.
        refusals: Number of refusals by upstreams that did not run it.
        warm_only: Whether it must not be sent to cold upstreams.
        has_reserved: Whether an upstream was reserved for it.
        is_hedge_denied: Whether the budget denied the latest hedge.
        retry_at: Time of a retry that waits for a lent copy, monotonic
            seconds; None if none does.
        last_reason: Reason of the latest failure or refusal.
        last_response: Latest complete error response of an upstream.
        claim: What decides on its place in the queue; None until it is needed.
    """

    part: Part
    deadline: float
    arrived_at: float
    attempt_by_id: dict[int, Attempt] = field(default_factory=dict)
    tried_upstreams: set[str] = field(default_factory=set)
    sends: int = 0
    hedges: int = 0
    queue_items: int = 0
    has_run: bool = False
    refusals: int = 0
    warm_only: bool = False
    has_reserved: bool = False
    is_hedge_denied: bool = False
    retry_at: float | None = None
    last_reason: Reason = Reason.NO_UPSTREAM
    last_response: UpstreamResponse | None = None
    claim: Claim | None = None


@dataclass(slots=True)
class Pool:
    """State of one pool.

    Attributes:
        service: Name of the service.
        version: Index version of its upstreams.
        tuning: Settings.
        view_by_upstream: Known state of each upstream.
        job_by_part: Parts without a result.
        attempt_by_id: Attempts in flight, including cancelled ones.
        queue: Heap of (1 to queue behind all first copies or else 0,
            deadline in monotonic seconds, serial, part id).
        timers: Heap of (due time in monotonic seconds, serial, id of the part
            or attempt, kind).
        verdicts: Verdicts against requests that lost upstreams.
        lease_until: Time from which no new copy is sent, monotonic seconds.
        is_closing: Whether the pool drains and refuses new parts.
        last_arrival_at: Arrival time of the latest part, monotonic seconds. If
            every entry may connect to every upstream, the first configuration
            sets it, too.
        upstream_idle_timeout_s: Idle time after which a connection is not
            used again, inferred from lost connections, in seconds.
        idle_timeout_valid_until: Time until which that value applies,
            monotonic seconds.
        idle_losses: Number of connections that were reset by the first
            request after an idle period. It returns to zero when a connection
            still works after an idle time of at least `min_lost_idle_s`.
        min_lost_idle_s: Shortest idle time of those connections, in seconds.
        last_serial: Latest number given to an attempt, connection or heap item.
        mean_latency_s: Moving average of answer times, in seconds.
        usual_latency_by_route: Moving average of answer times of each route, in
            seconds.
        budget: Budget of extra copies.
        borrow_after: Time before which control is not asked for copies again,
            monotonic seconds.
        notices: What upstreams have said of themselves, for all pools.
        noticed_until: Time until which a notice of one of the upstreams may
            hold, monotonic seconds.
        hedge_delay: Estimator of the hedge delay.
        observed: Observations of upstreams that are not reported yet.
        precedence: State of the order of waiting parts of different ranks.
        shedding: State of the refusals of such parts.
    """

    service: str
    version: str
    tuning: PoolTuning
    view_by_upstream: dict[str, UpstreamView] = field(default_factory=dict)
    job_by_part: dict[str, Job] = field(default_factory=dict)
    attempt_by_id: dict[int, Attempt] = field(default_factory=dict)
    queue: list[tuple[int, float, int, str]] = field(default_factory=list)
    timers: list[tuple[float, int, str, TimerKind]] = field(
        default_factory=list
    )
    verdicts: VerdictTable = field(default_factory=VerdictTable)
    lease_until: float = float("inf")
    is_closing: bool = False
    last_arrival_at: float | None = None
    upstream_idle_timeout_s: float = float("inf")
    idle_timeout_valid_until: float = float("-inf")
    idle_losses: int = 0
    min_lost_idle_s: float = float("inf")
    last_serial: int = 0
    mean_latency_s: float = INITIAL_MEAN_LATENCY_S
    usual_latency_by_route: dict[str, float] = field(default_factory=dict)
    borrow_after: float = float("-inf")
    notices: NoticeMemory = field(default_factory=NoticeMemory)
    noticed_until: float = float("-inf")
    observed: list[SlownessObserved] = field(default_factory=list)
    precedence: Precedence = field(default_factory=Precedence)
    shedding: Shedding = field(default_factory=Shedding)
    budget: Budget = field(init=False)
    hedge_delay: HedgeDelay = field(init=False)

    def __post_init__(self) -> None:
        self.budget = Budget(
            self.tuning.extra_ratio,
            MAX_BUDGET_TOKENS,
            self.tuning.initial_tokens,
        )
        self.hedge_delay = HedgeDelay(
            self.tuning.hedge_percentile, INITIAL_HEDGE_DELAY_S
        )

    def next_serial(self) -> int:
        """Return a number that is unique in this pool."""
        self.last_serial += 1
        return self.last_serial


def earliest_idle_since(pool: Pool, job: Job, now: float) -> float:
    """Return the earliest idle start of a connection that may carry a part.

    Upstreams may drop idle connections and reset them on the next request.
    A part that is not idempotent fails then, so it uses only a connection
    that was in use a moment ago, or a new one.

    Args:
        pool: The pool.
        job: The part.
        now: Monotonic time in seconds.

    Returns:
        Monotonic seconds; minus infinity if any idle time is allowed.
    """
    needs_recent_use = pool.tuning.opens_on_demand and not job.part.idempotent
    if now >= pool.idle_timeout_valid_until and not needs_recent_use:
        return NO_LIMIT
    max_idle_s = float("inf")
    if now < pool.idle_timeout_valid_until:
        max_idle_s = pool.upstream_idle_timeout_s
    if needs_recent_use:
        max_idle_s = min(max_idle_s, MAX_IDLE_NON_IDEMPOTENT_S)
    return now - max_idle_s


def enqueue_job(pool: Pool, job: Job, behind_first_copies: bool) -> None:
    """Add a part to the queue.

    Args:
        pool: The pool.
        job: The part.
        behind_first_copies: Whether the copy queues behind all first copies.
    """
    job.queue_items += 1
    job.claim = None
    if not pool.queue:  # It may have been emptied without a send.
        pool.shedding.free_rate.latest_at = None
    pool.last_serial += 1
    rank = int(behind_first_copies)
    item = (rank, job.deadline, pool.last_serial, job.part.id)
    heapq.heappush(pool.queue, item)


def set_timer(
    pool: Pool, due_at: float, target_id: str, kind: TimerKind
) -> None:
    """Set a timer.

    Args:
        pool: The pool.
        due_at: Due time, monotonic seconds.
        target_id: Id of the part; id of the attempt for `SILENCE_TIMEOUT`.
        kind: Purpose of the timer.
    """
    pool.last_serial += 1
    heapq.heappush(pool.timers, (due_at, pool.last_serial, target_id, kind))


def end_attempt(pool: Pool, attempt_id: int | None) -> Attempt | None:
    """Remove an attempt and free its slot and its connection.

    Returns:
        The attempt, or None if it is not in flight.
    """
    if attempt_id is None:
        return None
    attempt = pool.attempt_by_id.pop(attempt_id, None)
    if attempt is None:
        return None
    view = pool.view_by_upstream.get(attempt.upstream_id)
    if view is not None:
        view.in_flight -= 1
        view.sent_at_by_attempt.pop(attempt_id, None)
        if attempt.is_isolated:
            view.reserved_for = None
        connection = view.connection_by_id.get(attempt.connection_id)
        if connection and connection.state is ConnectionState.BUSY:
            connection.state = ConnectionState.IDLE
            connection.attempt_id = None
    job = pool.job_by_part.get(attempt.part_id)
    if job is not None:
        job.attempt_by_id.pop(attempt_id, None)
    return attempt


def finish_job(
    pool: Pool, job: Job, result: PartResult, is_caller_gone: bool = False
) -> list[PoolAction]:
    """Reply with the result and cancel the copies still in flight."""
    actions: list[PoolAction] = [SendResult(result)]
    del pool.job_by_part[job.part.id]
    if job.has_reserved:
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
                is_caller_gone,
            )
        )
    return actions


def fail_job(
    pool: Pool, job: Job, reason: Reason, is_caller_gone: bool = False
) -> list[PoolAction]:
    """End a part without an answer.

    The result is a refusal if no upstream can have run the part.
    """
    if is_convicted(pool.verdicts, job.part.fingerprint):
        reason = Reason.QUARANTINED
    result: PartResult
    if not job.has_run and not job.attempt_by_id:
        retry_s = retry_after_s(pool, job.part)
        result = PartRefused(job.part.id, reason, retry_s, job.sends)
    else:
        result = PartFailed(job.part.id, reason, job.sends, job.last_response)
    return finish_job(pool, job, result, is_caller_gone)


def retry_after_s(pool: Pool, part: Part | None = None) -> float:
    """Return the time after which a retry (of a part) is useful, in seconds."""
    delay_s = max(pool.mean_latency_s, MIN_RETRY_AFTER_S)
    if part is None or not pool.queue:
        return delay_s
    rate, waiting = pool.shedding.free_rate, len(pool.queue)
    return max(delay_s, unbooked_return_s(rate, waiting, part.id))
