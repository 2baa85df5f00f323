"""Counts of requests by window and customer at an entry.

An entry reports the counts that changed since the leader confirmed them.
Counts are cumulative, so a report that is lost or arrives twice does no harm.
A new leader has none of them, and gets all that the entry still keeps.
"""

from dataclasses import dataclass, field

__all__ = [
    "UsageCounts",
    "WindowUsage",
    "confirm_report",
    "count_request",
    "drop_old_windows",
    "take_report",
]

# Any leader may still need counts for so long, even if a former one has
# confirmed them.
KEEP_CONFIRMED_S = 60.0
# Counts that no leader has confirmed are the only ones; a group without a
# leader for longer is beyond what an entry has the memory for.
KEEP_UNCONFIRMED_S = 600.0
# Keeps a heartbeat small after a long time without a leader.
MAX_WINDOWS_PER_REPORT = 24
MAX_UNANSWERED_REPORTS = 16


@dataclass(frozen=True, slots=True)
class WindowUsage:
    """Requests of a window that upstreams began to run for one entry.

    Attributes:
        window: Number of the window.
        counts: Number of requests in the window so far, by customer; customers
            whose number the leader has confirmed are left out.
    """

    window: int
    counts: dict[str, int]


@dataclass(slots=True)
class UsageCounts:
    """Counts of an entry, and which of them the leader has.

    Attributes:
        term: Term of the leader that collects them; 0 if none does.
        counts_by_window: Number of requests by window and customer.
        unconfirmed_by_window: Customers whose number has changed since the
            leader of that term confirmed it, by window.
        report_by_time: Reports without an answer, by the `sent_at` of their
            heartbeats.
    """

    term: int = 0
    counts_by_window: dict[int, dict[str, int]] = field(default_factory=dict)
    unconfirmed_by_window: dict[int, set[str]] = field(default_factory=dict)
    report_by_time: dict[float, tuple[WindowUsage, ...]] = field(
        default_factory=dict
    )


def count_request(usage: UsageCounts, window: int, customer: str) -> None:
    """Count a request of a customer.

    Examples:
        >>> usage = UsageCounts(term=1)
        >>> count_request(usage, 7, "a")
        >>> take_report(usage, 0.0, 8)
        (WindowUsage(window=7, counts={'a': 1}),)
    """
    counts = usage.counts_by_window.setdefault(window, {})
    counts[customer] = counts.get(customer, 0) + 1
    usage.unconfirmed_by_window.setdefault(window, set()).add(customer)


def take_report(
    usage: UsageCounts, sent_at: float, end: int
) -> tuple[WindowUsage, ...]:
    """Return what the leader has not confirmed, for one heartbeat.

    Args:
        usage: Counts; the report is added to those without an answer.
        sent_at: Time that the heartbeat states, in monotonic seconds.
        end: Window from which nothing is reported yet.

    Returns:
        Changed counts of the oldest windows; empty without a leader that
        collects them.
    """
    if not usage.term:
        return ()
    due = [window for window in usage.unconfirmed_by_window if window < end]
    report = tuple(
        WindowUsage(
            window,
            {
                customer: usage.counts_by_window[window][customer]
                for customer in sorted(usage.unconfirmed_by_window[window])
            },
        )
        for window in sorted(due)[:MAX_WINDOWS_PER_REPORT]
    )
    if report:
        usage.report_by_time[sent_at] = report
        while len(usage.report_by_time) > MAX_UNANSWERED_REPORTS:
            del usage.report_by_time[next(iter(usage.report_by_time))]
    return report


def confirm_report(usage: UsageCounts, sent_at: float, term: int) -> bool:
    """Handle the confirmation in a grant.

    Args:
        usage: Counts to change in place.
        sent_at: Time of the heartbeat that the grant answers.
        term: Term of the leader, if it has stored the report of that
            heartbeat; 0 if it collects no usage.

    Returns:
        Whether the leader is a new one, which needs all counts again. Its term
        may be lower if the control group was restored from a backup.
    """
    if term != usage.term:
        usage.term = term
        usage.report_by_time.clear()
        usage.unconfirmed_by_window = {
            window: set(counts)
            for window, counts in usage.counts_by_window.items()
        }
        return bool(term)
    for reported in usage.report_by_time.pop(sent_at, ()):
        _confirm_window(usage, reported)
    return False


def _confirm_window(usage: UsageCounts, reported: WindowUsage) -> None:
    window = reported.window
    unconfirmed = usage.unconfirmed_by_window.get(window)
    if unconfirmed is None:
        return
    counts = usage.counts_by_window[window]
    for customer, count in reported.counts.items():
        if counts[customer] == count:
            unconfirmed.discard(customer)
    if not unconfirmed:
        del usage.unconfirmed_by_window[window]


def drop_old_windows(
    usage: UsageCounts, current: int, window_s: float
) -> list[int]:
    """Drop counts that are too old to be needed.

    Args:
        usage: Counts to change in place.
        current: Number of the current window.
        window_s: Length of a window in seconds.

    Returns:
        Windows with counts that no leader has confirmed.
    """
    lost = []
    for window in list(usage.counts_by_window):
        age_s = (current - window) * window_s
        is_unconfirmed = window in usage.unconfirmed_by_window
        if age_s <= (
            KEEP_UNCONFIRMED_S if is_unconfirmed else KEEP_CONFIRMED_S
        ):
            continue
        del usage.counts_by_window[window]
        if usage.unconfirmed_by_window.pop(window, None) and usage.term:
            lost.append(window)
    return lost
