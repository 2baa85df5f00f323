"""Which waiting parts are refused, as their loss costs least.

A pool that is asked for more than it can send keeps the parts that come first
in its order and refuses those that would not be reached in time.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from berylspool.version.overload.precedence import (
    LEAST_URGENT_SHARE,
    LONGEST_WAIT_SHARE,
    URGENT_SHARE,
    Claim,
    Precedence,
    order_key,
    ranks_that_count_as_urgent,
)
from berylspool.version.overload.retry_after import FreeRate, ReturnPlan

__all__ = [
    "Shedding",
    "Waits",
    "expects_refusal",
    "find_hopeless",
    "note_refused",
    "take_waits",
    "was_refused",
]

# Clients that were refused return within seconds.
REFUSED_MEMORY_S = 15.0
MAX_REFUSED = 1024
# The queue is searched with each event of a pool, a few times in this time.
MAX_CHECK_AGE_S = 0.1
REPORT_INTERVAL_S = 1.0


@dataclass(slots=True)
class Waits:
    """Number of parts that waited in a queue, and their time in it."""

    count: int = 0
    total_s: float = 0.0


@dataclass(slots=True)
class Shedding:
    """What refusals under overload depend on besides the waiting parts.

    Attributes:
        free_rate: Rate at which waiting parts are sent.
        returns: Times at which refused clients return.
        refused_at_by_fingerprint: Times of recent refusals, oldest first,
            monotonic seconds.
        checked_at: Time at which the queue was last searched for parts to
            refuse, monotonic seconds.
        kept_by_rank: Parts of each rank that waited on after that.
        kept_late: Parts among them that were expected to miss their target.
        waits_by_rank: Waits of the parts sent since they were last reported.
        reported_at: Time of that report, monotonic seconds.
    """

    free_rate: FreeRate = field(default_factory=FreeRate)
    returns: ReturnPlan = field(default_factory=ReturnPlan)
    refused_at_by_fingerprint: dict[str, float] = field(default_factory=dict)
    checked_at: float = float("-inf")
    kept_by_rank: Counter[int] = field(default_factory=Counter)
    kept_late: int = 0
    waits_by_rank: dict[int, Waits] = field(default_factory=dict)
    reported_at: float = float("-inf")

    def kept_up_to(self, rank: int) -> int:
        """Return how many parts wait that are as urgent as a rank, or more."""
        return sum(n for r, n in self.kept_by_rank.items() if r <= rank)


def note_refused(state: Shedding, fingerprint: str, now: float) -> None:
    """Note a refusal, so that the request is preferred when it returns."""
    refused_at = state.refused_at_by_fingerprint
    refused_at.pop(fingerprint, None)
    refused_at[fingerprint] = now
    if len(refused_at) > MAX_REFUSED:
        del refused_at[next(iter(refused_at))]


def was_refused(state: Shedding, fingerprint: str, now: float) -> bool:
    """Return whether a request was refused a short while ago.

    Examples:
        >>> state = Shedding()
        >>> note_refused(state, "f", 0.0)
        >>> [was_refused(state, "f", now) for now in (1.0, 99.0)]
        [True, False]
    """
    refused_at = state.refused_at_by_fingerprint.get(fingerprint)
    return refused_at is not None and now - refused_at < REFUSED_MEMORY_S


def take_waits(state: Shedding, now: float) -> dict[int, Waits]:
    """Return the waits by rank once they are due to be reported, else none."""
    if now - state.reported_at < REPORT_INTERVAL_S:
        return {}
    waits, state.waits_by_rank = state.waits_by_rank, {}
    state.reported_at = now
    return waits


def find_hopeless(
    state: Shedding,
    precedence: Precedence,
    claims: Sequence[Claim],
    rate_per_s: float,
    max_waiting: int,
    now: float,
) -> list[int]:
    """Return the indexes of the parts that would not be reached in time.

    A part that may have run is kept: its refusal would promise too much.

    Args:
        state: State of the refusals; what is kept is recorded there.
        precedence: Order of the parts.
        claims: What waits.
        rate_per_s: Rate at which waiting parts are sent.
        max_waiting: Maximum number of parts that may wait.
        now: Monotonic time in seconds.
    """
    keys = [order_key(precedence, claim, now) for claim in claims]
    last_rank = max((claim.rank for claim in claims), default=0)
    urgent_ranks = ranks_that_count_as_urgent(claims)
    hopeless: list[int] = []
    kept_by_rank: Counter[int] = Counter()
    kept = kept_late = kept_of_last_rank = kept_longest = 0
    late_per_s = rate_per_s * precedence.late_share
    for index in sorted(range(len(claims)), key=keys.__getitem__):
        claim = claims[index]
        longest_wait_s = claim.deadline - now - claim.work_s
        wait_s = kept / rate_per_s
        if claim.rank == last_rank:
            share_s = kept_of_last_rank / (rate_per_s * LEAST_URGENT_SHARE)
            wait_s = min(wait_s, share_s)
        is_late = now + wait_s + claim.work_s > claim.target_at
        if is_late and kept > kept_late:
            # New parts that can meet their target will be sent before it.
            wait_s = max(wait_s, kept_late / late_per_s)
        if wait_s > longest_wait_s and claim.rank in urgent_ranks:
            wait_s = kept_longest / (rate_per_s * LONGEST_WAIT_SHARE)
            wait_s = max(wait_s, _time_to_urgent_s(claim, now))
            kept_longest += wait_s <= longest_wait_s
        is_in_vain = wait_s > longest_wait_s
        if not claim.is_sent and (is_in_vain or kept >= max_waiting):
            hopeless.append(index)
            continue
        kept += 1
        kept_late += is_late
        kept_of_last_rank += claim.rank == last_rank
        kept_by_rank[claim.rank] += 1
    state.kept_by_rank, state.kept_late = kept_by_rank, kept_late
    return hopeless


def expects_refusal(
    state: Shedding,
    claim: Claim,
    rate_per_s: float,
    late_share: float,
    now: float,
) -> bool:
    """Return whether a part that arrives now is likely to be refused.

    This follows the latest search of the queue, as a search for each part of a
    wide request would take longer than the request.

    Args:
        state: State of the refusals.
        claim: The part.
        rate_per_s: Rate at which waiting parts are sent.
        late_share: Share of the sends that go to parts that miss their target.
        now: Monotonic time in seconds.
    """
    if now - state.checked_at > MAX_CHECK_AGE_S:
        return False
    # Those that return go before the others of their rank.
    passed_rank = claim.rank - claim.is_returned
    wait_s = state.kept_up_to(passed_rank) / rate_per_s
    if now + wait_s + claim.work_s > claim.target_at:
        wait_s = max(wait_s, state.kept_late / (rate_per_s * late_share))
    return now + wait_s + claim.work_s > claim.deadline


def _time_to_urgent_s(claim: Claim, now: float) -> float:
    time_s = claim.deadline - claim.arrived_at
    return claim.arrived_at + URGENT_SHARE * time_s - now
