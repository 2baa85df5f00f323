"""What upstreams say of themselves in answers: they leave, or want a pause.

A notice holds at the entry that received it, at once and without control, and
longer than the pool's view of the upstream: a list that is out of date, or a
move between pools, must not undo it.
"""

import re
from collections.abc import Collection
from dataclasses import dataclass, field

from berylspool.common.event import UpstreamNoticed
from berylspool.request.fingerprint import hash64
from berylspool.version.configuration import Upstream
from berylspool.version.pool.message import UpstreamNotice
from berylspool.version.upstream.upstream_view import UpstreamView

__all__ = [
    "NoticeMemory",
    "apply_notice",
    "forget_unlisted",
    "on_instance_changed",
    "parse_pause",
    "restore_notices",
    "spread_fraction",
]

# At the end of a pause one request tests the upstream before more follow.
SLOTS_AFTER_PAUSE = 1
# Entries that were asked for the same pause return at different times in this
# share of it.
MAX_SPREAD_SHARE = 0.2
HASH_BUCKETS = 1 << 16
# A longer pause is an error of its sender, and would cost a sound upstream.
MAX_PAUSE_S = 3600.0
MAX_LOGGED_LENGTH = 64
PAUSE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

# What changes when another process answers for an upstream.
Incarnation = tuple[str, int, int | None]


@dataclass(slots=True)
class KnownNotices:
    """Notices of one upstream that still hold.

    Attributes:
        incarnation: Incarnation that gave them.
        instance: Instance id that it had sent.
        is_leaving: Whether it leaves.
        paused_until: End of its latest pause, monotonic seconds.
    """

    incarnation: Incarnation
    instance: str = ""
    is_leaving: bool = False
    paused_until: float = float("-inf")


@dataclass(slots=True)
class NoticeMemory:
    """Notices that the upstreams of all pools of an entry have given.

    Attributes:
        known_by_upstream: Notices by the id of their upstream.
    """

    known_by_upstream: dict[str, KnownNotices] = field(default_factory=dict)


def incarnation_of(upstream: Upstream) -> Incarnation:
    """Return what changes with another incarnation of an upstream."""
    return upstream.host, upstream.port, upstream.started_at_ms


def parse_pause(text: str) -> float | None:
    """Return the pause that a text states in seconds, or None if it is no time.

    Examples:
        >>> [parse_pause(text) for text in ("2", " 0.5 ", "-1", "1e3", "7200")]
        [2.0, 0.5, None, None, None]
    """
    text = text.strip()
    if PAUSE_PATTERN.fullmatch(text) is None or float(text) > MAX_PAUSE_S:
        return None
    return float(text)


def spread_fraction(text: str) -> float:
    """Return a fraction from 0 to 1 that spreads evenly over texts."""
    return hash64(text) % HASH_BUCKETS / HASH_BUCKETS


def apply_notice(
    memory: NoticeMemory,
    view: UpstreamView,
    notice: UpstreamNotice,
    entry: str,
    now: float,
) -> list[UpstreamNoticed]:
    """Apply the notice of an answer to the upstream that gave it.

    Args:
        memory: Notices of all upstreams, changed in place.
        view: View of the upstream, changed in place.
        notice: The notice.
        entry: Name of the entry, by which the ends of pauses are spread.
        now: Monotonic time in seconds.

    Returns:
        A log event for each change.
    """
    upstream = view.upstream
    incarnation = incarnation_of(upstream)
    known = memory.known_by_upstream.get(upstream.id)
    if known is None or known.incarnation != incarnation:
        known = KnownNotices(incarnation, view.slow_start.instance)
        memory.known_by_upstream[upstream.id] = known
    events: list[UpstreamNoticed] = []
    if notice.is_leaving and not known.is_leaving:
        known.is_leaving = view.is_draining = True
        events.append(UpstreamNoticed(upstream.id, "leaving", ""))
    if notice.pause_s is not None:
        spread = spread_fraction(entry + upstream.id) * MAX_SPREAD_SHARE
        ends_at = now + notice.pause_s * (1.0 + spread)
        if ends_at > known.paused_until:
            known.paused_until = view.paused_until = ends_at
            view.slots_after_pause = SLOTS_AFTER_PAUSE
            value = f"{notice.pause_s:g}"
            events.append(UpstreamNoticed(upstream.id, "pause", value))
    if notice.unusable_pause and not view.has_unusable_pause:
        view.has_unusable_pause = True
        value = notice.unusable_pause[:MAX_LOGGED_LENGTH]
        events.append(UpstreamNoticed(upstream.id, "unusable", value))
    return events


def restore_notices(memory: NoticeMemory, view: UpstreamView) -> None:
    """Apply what is known of an upstream to its view, or forget it.

    Another incarnation under the same id has given no notice yet.
    """
    known = memory.known_by_upstream.get(view.upstream.id)
    if known is None:
        return
    if known.incarnation == incarnation_of(view.upstream):
        view.is_draining = view.is_draining or known.is_leaving
        view.paused_until = max(view.paused_until, known.paused_until)
        return
    _forget(memory, view)


def on_instance_changed(memory: NoticeMemory, view: UpstreamView) -> None:
    """Forget the notices of another instance, once a view knows its own."""
    known = memory.known_by_upstream.get(view.upstream.id)
    if known is not None and known.instance == view.slow_start.instance:
        view.is_draining = known.is_leaving
        return
    _forget(memory, view)


def _forget(memory: NoticeMemory, view: UpstreamView) -> None:
    memory.known_by_upstream.pop(view.upstream.id, None)
    view.is_draining = False
    view.paused_until = float("-inf")
    view.slots_after_pause = None


def forget_unlisted(memory: NoticeMemory, listed_ids: Collection[str]) -> None:
    """Forget the notices of upstreams that are gone from the list."""
    for id in memory.known_by_upstream.keys() - set(listed_ids):
        del memory.known_by_upstream[id]
