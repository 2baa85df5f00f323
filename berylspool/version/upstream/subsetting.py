"""Subsetting: which upstreams of a service an entry keeps connections to.

Many entries may share upstreams that accept few connections each.  Where not
every entry can connect to every upstream, each keeps to a subset and leaves it
only for parts that the subset cannot take.  Subsets follow rendezvous hashing,
so that an entry or an upstream that joins or leaves moves only its own
connections.  References: "deterministic aperture" of Finagle, and subsetting
in Beyer et al., "Site Reliability Engineering", O'Reilly 2016, chapter 20.
"""

from collections.abc import Iterable

from berylspool.request.fingerprint import hash64
from berylspool.version.configuration import Upstream

__all__ = [
    "choose_subset",
    "connections_per_entry",
    "hash_fraction",
    "round_fraction",
]

# The rest is left for hedges outside the subset and for uneven hashing.
SUBSET_CONNECTION_SHARE = 0.85
HASH_RANGE = 1 << 64


def connections_per_entry(connections: int, sharers: int) -> float:
    """Return the number of connections per upstream that an entry may keep.

    Args:
        connections: Connections that an upstream accepts from all entries.
        sharers: Number of entries that share it.

    Returns:
        A number, possibly fractional; below one if not every entry can connect
        to every upstream.

    Examples:
        >>> connections_per_entry(60, 6), connections_per_entry(60, 102)
        (8.5, 0.5)
    """
    return connections * SUBSET_CONNECTION_SHARE / max(1, sharers)


def hash_fraction(text: str) -> float:
    """Return a hash in [0, 1) that is uniform over texts."""
    return hash64(text) / HASH_RANGE


def round_fraction(value: float, text: str) -> float:
    """Round a value below one to 0 or 1, so that its mean over texts stays.

    Args:
        value: Share of something that is of use only as a whole.
        text: Identity of the holder of the share.

    Returns:
        The value itself if it is at least one.

    Examples:
        >>> round_fraction(1.5, "a")
        1.5
        >>> [round_fraction(0.5, text) for text in "abcd"]
        [0.0, 1.0, 0.0, 1.0]
    """
    if value >= 1.0:
        return value
    return float(hash_fraction(text) < value)


def choose_subset(
    entry: str, zone: str, upstreams: Iterable[Upstream], share: float
) -> frozenset[str]:
    """Return the ids of the upstreams that an entry keeps connections to.

    Upstreams in the entry's own zone come first.  A fractional subset size is
    rounded up at the same fraction of the entries, selected by hash.

    Args:
        entry: Name of the entry.
        zone: Its availability zone.
        upstreams: Upstreams that may get new work.
        share: Connections per upstream that one entry may keep.

    Returns:
        At least one id, unless there are no upstreams.

    Examples:
        >>> up = [Upstream(i, "10.0.0.1", 1, i, "v1") for i in ("a", "b", "c")]
        >>> len(choose_subset("e", "a", up, 1.0))
        3
        >>> sorted(choose_subset("e", "a", up, 0.1))
        ['a']
    """
    upstream_by_id = {upstream.id: upstream for upstream in upstreams}
    if share >= 1.0 or not upstream_by_id:
        return frozenset(upstream_by_id)
    rounding = hash_fraction(entry + "".join(sorted(upstream_by_id)))
    count = max(1, int(share * len(upstream_by_id) + rounding))
    ranked = sorted(
        upstream_by_id.values(),
        key=lambda upstream: (
            upstream.zone != zone,
            hash64(entry + upstream.id),
        ),
    )
    return frozenset(upstream.id for upstream in ranked[:count])
