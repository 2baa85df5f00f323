"""Reservation of an upstream for a request that must run alone."""

from collections.abc import Collection

from berylspool.version.upstream.balancing import (
    BalancingPolicy,
    choose_upstream,
)
from berylspool.version.upstream.slow_start import is_warm
from berylspool.version.upstream.upstream_view import (
    UpstreamView,
    find_idle_connection,
)

__all__ = ["reserve_upstream"]


def reserve_upstream(
    views: Collection[UpstreamView],
    policy: BalancingPolicy,
    part_id: str,
    tried: Collection[str],
    now: float,
) -> UpstreamView | None:
    """Return the warm upstream reserved for a suspect once it is empty.

    At most one upstream is reserved at a time.

    Args:
        views: Upstreams of the pool.
        policy: Load-balancing policy.
        part_id: Part of the suspect.
        tried: Upstreams that the part was sent to before.
        now: Monotonic time in seconds.

    Returns:
        The upstream, or None while it still runs other attempts, is reserved
        for another suspect, or cannot be chosen.
    """
    reserved = next((v for v in views if v.reserved_for), None)
    if reserved is not None and not _may_run_suspect(reserved, now):
        reserved.reserved_for = None
        reserved = None
    if reserved is None:
        reserved = choose_upstream(
            views,
            policy,
            part_id,
            frozenset(tried),
            warm_only=True,
            now=now,
        )
        if reserved is None:
            return None
        reserved.reserved_for = part_id
    is_ready = (
        reserved.reserved_for == part_id
        and reserved.in_flight == 0
        and find_idle_connection(reserved) is not None
    )
    return reserved if is_ready else None


def _may_run_suspect(view: UpstreamView, now: float) -> bool:
    """Return whether a reserved upstream may still run its suspect."""
    if view.in_flight:
        return True
    return (
        view.is_serving
        and not view.is_draining
        and now >= view.paused_until
        and is_warm(view.slow_start, view.limits, now)
    )
