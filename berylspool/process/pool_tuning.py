"""Tuning of an entry's pools, derived from its settings."""

from berylspool.process.settings import RoutingSettings
from berylspool.version.pool.state import PoolTuning
from berylspool.version.upstream.balancing import (
    BalancingPolicy,
    FewestInFlight,
    LeastLoaded,
    RandomChoice,
    ZoneAware,
)

__all__ = ["make_owner_tuning", "make_shared_tuning"]

# A restart must not create a budget for extra copies; further tokens are earned
# by requests.
INITIAL_EXTRA_COPY_TOKENS = 1.0


def make_owner_tuning(settings: RoutingSettings, zone: str) -> PoolTuning:
    """Return the tuning of pools whose upstreams no other entry uses.

    Args:
        settings: Routing settings.
        zone: Availability zone of the entry.
    """
    policy_by_name: dict[str, BalancingPolicy] = {
        "zone_aware": ZoneAware(zone, settings.crossing_ms / 1000),
        "fewest_in_flight": FewestInFlight(),
        "random": RandomChoice(),
        "least_loaded": LeastLoaded(zone, settings.crossing_requests),
    }
    return PoolTuning(
        policy=policy_by_name[settings.choice],
        hedges=settings.hedges,
        hedges_in_turn=settings.hedges_in_turn,
        hedge_percentile=settings.hedge_percentile,
        extra_ratio=settings.extra_ratio,
        queue_limit=settings.queue_limit,
        silent_s=settings.silent_s,
        wait_share=settings.wait_share,
    )


def make_shared_tuning(
    settings: RoutingSettings, zone: str, entry: str
) -> PoolTuning:
    """Return the tuning of pools that share upstreams with other entries.

    Args:
        settings: Routing settings.
        zone: Availability zone of the entry.
        entry: Name of the entry.
    """
    return PoolTuning(
        policy=LeastLoaded(zone, settings.crossing_requests),
        extra_ratio=settings.extra_ratio,
        initial_tokens=INITIAL_EXTRA_COPY_TOKENS,
        queue_limit=settings.queue_limit,
        # A silent connection is covered by hedges until the deadline.
        silent_s=None,
        wait_share=settings.wait_share,
        opens_on_demand=True,
        isolates_suspects=False,
        charges_refusals=True,
        borrows_copies=True,
        entry=entry,
        zone=zone,
    )
