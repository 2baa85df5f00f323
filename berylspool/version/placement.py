"""Placement of services on owners by rendezvous hashing.

Each service has one owner among the entries.  When a member leaves, only
its own services move; when one joins, it takes its share and nothing else
moves.  Reference: Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

from berylspool.request.fingerprint import ticket

__all__ = ["owner_of", "owners_by_service"]


def owner_of(service: str, members: Iterable[str]) -> str | None:
    """Return the member that owns a service.

    Args:
        service: Name of the service.
        members: Names of the members; their order does not matter.

    Returns:
        The owner, or None if there is no member.

    Examples:
        >>> owner_of("a", ["e1", "e2"]) == owner_of("a", ["e2", "e1"])
        True
        >>> owner_of("a", []) is None
        True
    """
    return max(
        members, key=lambda member: _weight(service, member), default=None
    )


def owners_by_service(
    services: Iterable[str], members: Iterable[str]
) -> dict[str, str]:
    """Return the owner of each service; empty if there is no member."""
    names = tuple(members)
    if not names:
        return {}
    return {s: owner for s in services if (owner := owner_of(s, names))}


def _weight(service: str, member: str) -> tuple[int, str]:
    return ticket(f"{len(service)}:{service}{member}"), member
