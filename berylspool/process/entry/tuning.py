"""Tuning of an entry's pools, derived from its settings."""

from berylspool.process.settings import RoutingSettings
from berylspool.version.pool.state import Tuning
from berylspool.version.pool.upstream_view import (
    Choice,
    FewestInFlight,
    LeastLoaded,
    Random,
    ZoneAware,
)

__all__ = ["make_owner_tuning", "make_shared_tuning"]

# A restart must not create a budget for extra copies; further tokens are earned
# by requests.
INITIAL_EXTRA_COPY_TOKENS = 1.0


def make_owner_tuning(settings: RoutingSettings, zone: str) -> Tuning:
    """Return the tuning of pools whose upstreams no other entry uses.

    Args:
        settings: Routing settings.
        zone: Availability zone of the entry.
    """
    choice_by_name: dict[str, Choice] = {
        "zone_aware": ZoneAware(zone, settings.crossing_ms / 1000),
        "fewest_in_flight": FewestInFlight(),
        "random": Random(),
        "least_loaded": LeastLoaded(zone, settings.crossing_requests),
    }
    return Tuning(
        choice=choice_by_name[settings.choice],
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
) -> Tuning:
    """Return the tuning of pools that share upstreams with other entries.

    Args:
        settings: Routing settings.
        zone: Availability zone of the entry.
        entry: Name of the entry.
    """
    return Tuning(
        choice=LeastLoaded(zone, settings.crossing_requests),
        extra_ratio=settings.extra_ratio,
        first_tokens=INITIAL_EXTRA_COPY_TOKENS,
        queue_limit=settings.queue_limit,
        # A silent connection is covered by hedges until the deadline.
        silent_s=None,
        wait_share=settings.wait_share,
        opens_on_demand=True,
        isolates_suspects=False,
        counts_refusals=True,
        entry=entry,
        zone=zone,
    )
