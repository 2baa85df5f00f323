"""Whether parts of a request may be taken back before any copy is sent."""

from collections.abc import Callable, Iterable

from berylspool.process.entry.ownership import RoutingState
from berylspool.version.pool.message import PoolKey

__all__ = ["may_withdraw"]


def may_withdraw(
    routing: RoutingState,
    is_unsent: Callable[[PoolKey, str], bool],
    part_ids: Iterable[str],
) -> bool:
    """Return whether certainly no copy of any of some parts was sent.

    A part that has ended may have been sent, as may one at another entry. Of
    two parts in one pool, the second may be sent once the first is discarded.

    Args:
        routing: Routing state of the entry.
        is_unsent: Returns whether a part waits in a pool of this entry and no
            copy of it was sent.
        part_ids: Ids of the parts.
    """
    keys: set[PoolKey] = set()
    for part_id in part_ids:
        pending = routing.pending_by_part.get(part_id)
        if pending is None:
            return False
        if pending.owner is None:
            continue
        key = (pending.part.service, pending.part.snapshot.version)
        is_elsewhere = pending.owner != routing.name
        if is_elsewhere or key in keys or not is_unsent(key, part_id):
            return False
        keys.add(key)
    return True
