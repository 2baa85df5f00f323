"""Which upstreams of a service an entry keeps connections to.

It answers many entries that share upstreams with few connections each: where
not every entry can be connected to every upstream, each keeps to a subset, and
goes beyond it only for parts that the subset cannot take.  Subsets follow
rendezvous hashing, so an entry or an upstream that comes or goes moves only
its own connections.  Reference: "deterministic aperture" of Finagle, and
subsetting in Beyer et al., "Site Reliability Engineering", O'Reilly 2016,
chapter 20.
"""

from collections.abc import Iterable

from berylspool.request.fingerprint import ticket
from berylspool.version.configuration import Upstream

__all__ = ["choose_aperture", "connection_share", "fraction"]

# The rest is for hedges beyond the subset, and for the unevenness of hashing.
KEPT_SHARE = 0.85
TICKETS = 1 << 64


def connection_share(connections: int, sharers: int) -> float:
    """Return the connections to one upstream that one entry may keep.

    Args:
        connections: Connections that the upstream accepts from all entries.
        sharers: Entries that share it.

    Examples:
        >>> connection_share(60, 6), connection_share(60, 102)
        (8.5, 0.5)
    """
    return connections * KEPT_SHARE / max(1, sharers)


def fraction(text: str) -> float:
    """Return a number in [0, 1) that is uniform over texts."""
    return ticket(text) / TICKETS


def choose_aperture(
    entry: str, zone: str, upstreams: Iterable[Upstream], share: float
) -> frozenset[str]:
    """Return the ids of the upstreams that an entry keeps connections to.

    Upstreams of the entry's own zone come first.  What the share leaves of a
    whole connection goes to that part of the entries, by hash.

    Args:
        entry: Name of the entry.
        zone: Its availability zone.
        upstreams: Upstreams that may get new work.
        share: Connections to one upstream that one entry may keep.

    Returns:
        One id or more, unless there are no upstreams.

    Examples:
        >>> up = [Upstream(i, "10.0.0.1", 1, i, "v1") for i in ("a", "b", "c")]
        >>> len(choose_aperture("e", "a", up, 1.0))
        3
        >>> sorted(choose_aperture("e", "a", up, 0.1))
        ['a']
    """
    by_id = {upstream.id: upstream for upstream in upstreams}
    if share >= 1.0 or not by_id:
        return frozenset(by_id)
    part = fraction(entry + "".join(sorted(by_id)))
    count = max(1, int(share * len(by_id) + part))
    ranked = sorted(
        by_id.values(),
        key=lambda upstream: (
            upstream.zone != zone,
            ticket(entry + upstream.id),
        ),
    )
    return frozenset(upstream.id for upstream in ranked[:count])
