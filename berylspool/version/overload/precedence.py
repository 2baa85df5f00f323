"""Order in which waiting parts of one pool are sent.

A part that can still meet its target goes before one that cannot, then the more
urgent rank, then first copies before hedges, then customers in turn by the work
that they have got, then the part with the least time left.  Customers in turn
follow start-time fair queueing: Goyal, Vin and Cheng, SIGCOMM 1996.  Of one
customer, requests that return after a refusal go first.

Two shares of the sends are exempt, so that no rank starves: one goes to the
least urgent rank that waits.  The other goes to the ranks between it and the
most urgent one, or else to the least urgent one: to the part that has waited
for the greatest share of its time, once that is at least `URGENT_SHARE`.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = [
    "LEAST_URGENT_SHARE",
    "LONGEST_WAIT_SHARE",
    "URGENT_SHARE",
    "Claim",
    "OrderKey",
    "Precedence",
    "is_mixed",
    "may_be_held",
    "note_class",
    "order_key",
    "ranks_that_count_as_urgent",
    "record_send",
    "select",
    "waited_share",
]

# Of ten sends, one goes to the least urgent rank and one to the longest wait.
# More would cost urgent work what the order saves it, as a pool under overload
# serves about half of what is asked.
SENDS_PER_TURN = 10
LEAST_URGENT_TURN = 9
LONGEST_WAIT_TURN = 4
LEAST_URGENT_SHARE = 1 / SENDS_PER_TURN
LONGEST_WAIT_SHARE = 1 / SENDS_PER_TURN
# Share of its time after which a part counts as urgent.
URGENT_SHARE = 0.5
# Ranks that once shared a pool are likely to share it again.
MIXED_MEMORY_S = 60.0
# Once urgent work has stopped, holding other work back for it serves nobody.
URGENT_MEMORY_S = 2.0
MAX_FINISH_TAGS = 256
LATE_EWMA_WEIGHT = 0.05
# Late parts get some of the sends by their exempt shares.
MIN_LATE_SHARE = 0.05

OrderKey = tuple[bool, int, bool, float, bool, float]


@dataclass(slots=True)
class Claim:
    """What decides on the place of one waiting part.

    Attributes:
        rank: Priority of its request; 0 is the most urgent.
        customer: Customer of its request; empty if none is known.
        is_hedge: Whether another copy of it is in flight.
        arrived_at: Time of its arrival, monotonic seconds.
        target_at: Time by which its answer meets the target latency, monotonic
            seconds.
        deadline: Time by which it must have a result, monotonic seconds.
        work_s: Expected time from its send to its answer, in seconds.
        is_returned: Whether its request was refused a short while ago.
        is_sent: Whether an upstream may have run it, so that its refusal would
            promise too much.
        is_exempt: Whether it is sent out of order, so that it does not starve.
    """

    rank: int
    customer: str
    is_hedge: bool
    arrived_at: float
    target_at: float
    deadline: float
    work_s: float
    is_returned: bool = False
    is_sent: bool = False
    is_exempt: bool = False


@dataclass(slots=True)
class Precedence:
    """What the order depends on besides the waiting parts.

    Attributes:
        mixed_until: Time until which parts count as differing in rank or
            customer, monotonic seconds.
        latest_class: Rank and customer of the latest part.
        most_urgent_rank: Lowest rank since parts have differed.
        urgent_until: Time until which parts of that rank are expected,
            monotonic seconds.
        sends: Number of parts sent by this order.
        late_share: Share of the latest sends that could not meet their target
            any more.
        start_by_rank: Start tag of the latest send of each rank, in seconds of
            work.
        finish_by_class: Finish tag of each customer of each rank, in seconds of
            work.
    """

    mixed_until: float = float("-inf")
    latest_class: tuple[int, str] | None = None
    most_urgent_rank: int = 0
    urgent_until: float = float("-inf")
    sends: int = 0
    late_share: float = MIN_LATE_SHARE
    start_by_rank: dict[int, float] = field(default_factory=dict)
    finish_by_class: dict[tuple[int, str], float] = field(default_factory=dict)


def note_class(state: Precedence, rank: int, customer: str, now: float) -> None:
    """Note a part of another class than the one before.

    Examples:
        >>> state = Precedence()
        >>> for rank in (1, 0, 2):
        ...     note_class(state, rank, "", 0.0)
        >>> is_mixed(state, 0.0), state.most_urgent_rank
        (True, 0)
    """
    if state.latest_class is None:
        state.most_urgent_rank = rank
    else:
        known_rank = state.latest_class[0]
        if is_mixed(state, now) and now < state.urgent_until:
            known_rank = state.most_urgent_rank
        state.most_urgent_rank = min(known_rank, rank)
        state.mixed_until = now + MIXED_MEMORY_S
        if state.most_urgent_rank in (rank, state.latest_class[0]):
            state.urgent_until = now + URGENT_MEMORY_S
    state.latest_class = (rank, customer)


def is_mixed(state: Precedence, now: float) -> bool:
    """Return whether parts of several classes share the pool.

    Otherwise their order is that of their deadlines.
    """
    return now < state.mixed_until


def may_be_held(state: Precedence, claim: Claim, now: float) -> bool:
    """Return whether a part must wait while upstreams have work waiting.

    An upstream serves its queue in the order of arrival, so less urgent work
    that waits there delays urgent work.  Here it can be passed.

    Examples:
        >>> state = Precedence(most_urgent_rank=1, urgent_until=1.0)
        >>> claims = [Claim(r, "", False, 0.0, 1.0, 2.0, 0.01) for r in (1, 2)]
        >>> [may_be_held(state, claim, 0.5) for claim in claims]
        [False, True]
    """
    return (
        claim.rank > state.most_urgent_rank
        and not claim.is_exempt
        and now < state.urgent_until
    )


def _start_tag(state: Precedence, claim: Claim) -> float:
    start = state.start_by_rank.get(claim.rank, 0.0)
    finish = state.finish_by_class.get((claim.rank, claim.customer), 0.0)
    return max(start, finish)


def order_key(state: Precedence, claim: Claim, now: float) -> OrderKey:
    """Return the key by which parts are sent, lowest first.

    Examples:
        >>> late = Claim(0, "", False, 0.0, 1.0, 2.0, work_s=0.2)
        >>> early = Claim(9, "", False, 0.0, 1.5, 2.0, work_s=0.2)
        >>> key = [order_key(Precedence(), c, 0.9) for c in (late, early)]
        >>> key[1] < key[0]
        True
    """
    is_late = now + claim.work_s > claim.target_at
    due_at = claim.deadline if is_late else claim.target_at
    tag = _start_tag(state, claim)
    is_new = not claim.is_returned
    return (is_late, claim.rank, claim.is_hedge, tag, is_new, due_at)


def select(state: Precedence, claims: Sequence[Claim], now: float) -> int:
    """Return the index of the claim to send next.

    A claim that is selected for one of the exempt shares is marked so.

    Args:
        state: State of the order.
        claims: What waits; at least one.
        now: Monotonic time in seconds.
    """
    indexes: Sequence[int] = range(len(claims))
    match state.sends % SENDS_PER_TURN:
        case turn if turn == LEAST_URGENT_TURN:
            last_rank = max(claim.rank for claim in claims)
            indexes = [i for i in indexes if claims[i].rank == last_rank]
        case turn if turn == LONGEST_WAIT_TURN:
            ranks = ranks_that_count_as_urgent(claims)
            waited = [
                waited_share(claim, now) if claim.rank in ranks else 0.0
                for claim in claims
            ]
            if max(waited) >= URGENT_SHARE:
                indexes = [waited.index(max(waited))]
    index = min(indexes, key=lambda i: order_key(state, claims[i], now))
    claims[index].is_exempt = len(indexes) < len(claims)
    return index


def ranks_that_count_as_urgent(claims: Sequence[Claim]) -> list[int]:
    """Return the ranks of which a part may count as urgent after a wait.

    Examples:
        >>> claims = [Claim(r, "", False, 0.0, 1.0, 2.0, 0.01) for r in (0, 4)]
        >>> ranks_that_count_as_urgent(claims)
        [4]
        >>> claims.append(Claim(2, "", False, 0.0, 1.0, 2.0, 0.01))
        >>> ranks_that_count_as_urgent(claims)
        [2]
    """
    ranks = sorted({claim.rank for claim in claims})
    return ranks[1:-1] or ranks[1:]


def waited_share(claim: Claim, now: float) -> float:
    """Return the share of its time that a first copy has waited; at most 1."""
    if claim.is_hedge:
        return 0.0
    time_s = claim.deadline - claim.arrived_at
    return min(1.0, (now - claim.arrived_at) / time_s) if time_s > 0 else 1.0


def record_send(state: Precedence, claim: Claim, now: float) -> None:
    """Record a send, whose work counts for its customer."""
    start = _start_tag(state, claim)
    state.sends += 1
    is_late = now + claim.work_s > claim.target_at
    late_share = state.late_share
    late_share += LATE_EWMA_WEIGHT * (is_late - late_share)
    state.late_share = max(late_share, MIN_LATE_SHARE)
    state.start_by_rank[claim.rank] = start
    finish_by_class = state.finish_by_class
    finish_by_class[(claim.rank, claim.customer)] = start + claim.work_s
    if len(finish_by_class) > MAX_FINISH_TAGS:
        # A tag that is not ahead of its rank says nothing.
        state.finish_by_class = {
            part_class: finish
            for part_class, finish in finish_by_class.items()
            if finish > state.start_by_rank.get(part_class[0], 0.0)
        }
