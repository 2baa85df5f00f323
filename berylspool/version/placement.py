"""Placement of services on owners by rendezvous hashing.

Each service has one owner among the entries.  When a member leaves, only the
services that it owned change their owner; when a member joins, it takes over
its share and no other service changes its owner.  Reference: Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
Transactions on Networking 6(1), 1998.
"""

from collections.abc import Collection, Iterable, Mapping

from berylspool.request.fingerprint import ticket

__all__ = ["owner_of", "owners_after", "owners_by_service"]


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


def owners_after(
    former: Mapping[str, str],
    before: Collection[str],
    after: Collection[str],
) -> dict[str, str]:
    """Return the owners after a change of members.

    Only members that joined are compared with the current owner, and only
    services of members that left are placed from scratch. A change therefore
    costs about one hash for each service instead of one for each service and
    member.

    Args:
        former: Owner by service before the change.
        before: Names of the members before the change.
        after: Names of the members after the change.

    Returns:
        Owner by service, equal to the result of `owners_by_service` for the
        members after the change.

    Examples:
        >>> services = ["a", "b", "c"]
        >>> former = owners_by_service(services, ["e1", "e2"])
        >>> owners_after(former, ["e1", "e2"], ["e2", "e3"]) == (
        ...     owners_by_service(services, ["e2", "e3"])
        ... )
        True
    """
    joined = set(after) - set(before)
    left = set(before) - set(after)
    owners: dict[str, str] = {}
    for service, owner in former.items():
        candidates = after if owner in left else {owner, *joined}
        found = owner_of(service, candidates)
        if found is not None:
            owners[service] = found
    return owners


def _weight(service: str, member: str) -> tuple[int, str]:
    return ticket(f"{len(service)}:{service}{member}"), member
