"""Extra copies that the leader lends to entries whose own share is spent.

Entries hold even shares of the copies that a service may get beyond the first
ones, whatever their traffic.  Callers are spread unevenly and a slow upstream
affects only the entries that prefer it, so a few entries need most copies.  The
leader lends the part that is not held in advance to whichever entry asks first.

Each service has a token bucket.  A fifth of what may be lent in a window can be
saved up and the rest is added during the window, so that no window exceeds the
whole.  The buckets of a new leader are empty, because its predecessor may just
have lent all that the window allows; what is added reaches entries whose
upstreams have been slow for seconds, also under a new leader.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from berylspool.connection.control_message import ExtraCopies
from berylspool.process.settings import RoutingSettings
from berylspool.version.listing import HELD_COPY_SHARE
from berylspool.version.pool.hedging import Budget, try_withdraw

__all__ = ["CopyLending", "lend_copies"]

SAVED_SHARE = 0.2


@dataclass(slots=True)
class CopyLending:
    """Copies that one leader may lend.

    Attributes:
        routing: Routing settings, which state the copies of each window.
        leads_since: Start of the leadership, monotonic seconds.
        budget_by_service: Budget of each service that was asked for.
    """

    routing: RoutingSettings
    leads_since: float
    budget_by_service: dict[str, Budget] = field(default_factory=dict)


def lend_copies(
    lending: CopyLending, wanted: Iterable[ExtraCopies], now: float
) -> tuple[ExtraCopies, ...]:
    """Lend copies to an entry.

    Args:
        lending: State to change in place.
        wanted: Copies that pools of the entry ask for.
        now: Monotonic time in seconds.

    Returns:
        An answer for each pool; it names fewer copies than the pool wants if
        the budget of its service is spent.

    Examples:
        >>> routing = RoutingSettings(extra_slack=20.0, extra_window_s=10.0)
        >>> lending = CopyLending(routing, leads_since=0.0)
        >>> lend_copies(lending, [ExtraCopies("s", "", 3)], 10.0)
        (ExtraCopies(service='s', version='', copies=2),)
    """
    return tuple(
        replace(request, copies=_lend(lending, request, now))
        for request in wanted
    )


def _lend(lending: CopyLending, request: ExtraCopies, now: float) -> int:
    budget = lending.budget_by_service.get(request.service)
    if budget is None:
        budget = _new_budget(lending)
        lending.budget_by_service[request.service] = budget
    lent = 0
    while lent < request.copies and try_withdraw(budget, now):
        lent += 1
    return lent


def _new_budget(lending: CopyLending) -> Budget:
    routing = lending.routing
    lendable = routing.extra_slack * (1.0 - HELD_COPY_SHARE)
    saved = lendable * SAVED_SHARE
    return Budget(
        tokens_per_first_copy=0.0,
        max_tokens=saved,
        tokens=0.0,
        tokens_per_s=(lendable - saved) / routing.extra_window_s,
        refilled_at=lending.leads_since,
    )
