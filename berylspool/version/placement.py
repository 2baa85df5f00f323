"""Placement of services on owners by rendezvous hashing.

Each service has one owner among the entries.  When a member leaves, only the
services that it owned change their owner; when a member joins, it takes over
its share and no other service changes its owner.  Reference: Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
Transactions on Networking 6(1), 1998.
"""

from collections.abc import Collection, Iterable, Mapping

from berylspool.request.fingerprint import hash64

__all__ = ["owner_of", "owners_after_change", "owners_by_service"]


def owner_of(service: str, members: Iterable[str]) -> str | None:
    """Return the member that owns a service.

    Args:
        service: Name of the service.
        members: Names of the members, in any order.

    Returns:
        Name of the owner, or None if there are no members.

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
    """Return the owner of each service; empty if there are no members."""
    names = tuple(members)
    if not names:
        return {}
    return {s: owner for s in services if (owner := owner_of(s, names))}


def owners_after_change(
    owner_by_service: Mapping[str, str],
    members_before: Collection[str],
    members_after: Collection[str],
) -> dict[str, str]:
    """Return the owners after a change of members.

    Only members that joined are compared with the current owner, and only
    services of members that left are placed from scratch. A change therefore
    costs about one hash for each service instead of one for each service and
    member.

    Args:
        owner_by_service: Owner by service before the change.
        members_before: Names of the members before the change.
        members_after: Names of the members after the change.

    Returns:
        Owner by service, equal to the result of `owners_by_service` for the
        members after the change.

    Examples:
        >>> services = ["a", "b", "c"]
        >>> owners = owners_by_service(services, ["e1", "e2"])
        >>> owners_after_change(owners, ["e1", "e2"], ["e2", "e3"]) == (
        ...     owners_by_service(services, ["e2", "e3"])
        ... )
        True
    """
    joined = set(members_after) - set(members_before)
    left = set(members_before) - set(members_after)
    new_owner_by_service: dict[str, str] = {}
    for service, owner in owner_by_service.items():
        candidates = members_after if owner in left else {owner, *joined}
        new_owner = owner_of(service, candidates)
        if new_owner is not None:
            new_owner_by_service[service] = new_owner
    return new_owner_by_service


def _weight(service: str, member: str) -> tuple[int, str]:
    return hash64(f"{len(service)}:{service}{member}"), member
