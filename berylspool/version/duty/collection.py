"""Collection of the usage that entries report to the leader."""

from dataclasses import dataclass, field

from berylspool.version.duty.counting import WindowUsage

__all__ = ["UsageCollection", "add_usage", "drop_recorded", "window_total"]

# Windows that an entry may be ahead of the leader; more is an error of its
# clock, and would be kept for long.
MAX_WINDOWS_AHEAD = 12


@dataclass(slots=True)
class UsageCollection:
    """Counts of the windows that are not recorded yet.

    Attributes:
        term: Term in which this node collects them as the leader.
        counts_by_window: Counts of each entry by customer, by window and boot
            of the entry.
    """

    term: int = 0
    counts_by_window: dict[int, dict[str, dict[str, int]]] = field(
        default_factory=dict
    )


def add_usage(
    collection: UsageCollection,
    boot: str,
    reported: tuple[WindowUsage, ...],
    first: int,
    current: int,
) -> None:
    """Store the report of an entry.

    Args:
        collection: Collection to change in place.
        boot: Unique for each start of the entry's process.
        reported: Counts of the entry, each at least as high as before.
        first: First window that is not recorded; older ones are ignored.
        current: Number of the current window.
    """
    for usage in reported:
        if not first <= usage.window <= current + MAX_WINDOWS_AHEAD:
            continue
        by_boot = collection.counts_by_window.setdefault(usage.window, {})
        counts = by_boot.setdefault(boot, {})
        for customer, count in usage.counts.items():
            # Reports of one entry may overtake each other on two sessions.
            counts[customer] = max(counts.get(customer, 0), count)


def window_total(collection: UsageCollection, window: int) -> dict[str, int]:
    """Return the number of requests of all entries in a window, by customer.

    Examples:
        >>> collection = UsageCollection()
        >>> for boot in ("x", "y"):
        ...     usage = (WindowUsage(3, {"a": 2}),)
        ...     add_usage(collection, boot, usage, 1, 3)
        >>> window_total(collection, 3), window_total(collection, 4)
        ({'a': 4}, {})
    """
    total: dict[str, int] = {}
    for counts in collection.counts_by_window.get(window, {}).values():
        for customer, count in counts.items():
            total[customer] = total.get(customer, 0) + count
    return dict(sorted(total.items()))


def drop_recorded(collection: UsageCollection, first: int) -> None:
    """Drop the counts of windows before the first that is not recorded."""
    for window in [w for w in collection.counts_by_window if w < first]:
        del collection.counts_by_window[window]
