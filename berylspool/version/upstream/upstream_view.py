"""Known state of one upstream."""

import math
from dataclasses import dataclass, field

from berylspool.request.query import Reason
from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool.message import (
    NotRunReply,
    RowsReply,
    UpstreamReply,
)
from berylspool.version.upstream.connection_view import (
    ConnectionState,
    ConnectionView,
)
from berylspool.version.upstream.load_report import (
    MAX_EXPLAINED_RATIO,
    ReportedLoad,
    updated_trust,
)
from berylspool.version.upstream.slow_start import (
    REFUSAL_BACKOFF_S,
    ColdRateLimit,
    SlowStart,
    allowed_slots,
    may_send,
    on_answer,
    on_cold_report,
)

__all__ = [
    "ConnectionState",
    "ConnectionView",
    "UpstreamView",
    "count_opening",
    "find_idle_connection",
    "free_slots",
    "has_silent_opening",
    "next_overrun_pause_s",
    "opening_is_silent_at",
    "raise_slots_after_pause",
    "record_opening",
    "update_from_reply",
]

LATENCY_EWMA_WEIGHT = 0.1
# An entry among many hears of an upstream only every few seconds, so the weight
# of a sample grows with the time since the one before.
MIN_SAMPLE_WEIGHT = 0.1
SAMPLE_AGE_S = 2.0
INITIAL_LATENCY_S = 0.005
# Below the resolution of what is measured.
MIN_LATENCY_S = 0.0001
# Slow upstreams stay slow for seconds. A request to one that is still slow is
# hedged.
SLOWNESS_DECAY_S = 5.0
# A waiting part is connected to another upstream after a multiple of the usual
# time of an opening: packets to a VM that has lost its power are not refused.
OPENING_PATIENCE = 3.0
MIN_OPENING_PATIENCE_S = 0.02
OPENING_EWMA_WEIGHT = 0.3
# The share of refusals counts as if at least one in ten requests were accepted.
MAX_REFUSAL_SHARE = 0.9
# A pause because of bytes without end doubles if they come again soon.
MIN_OVERRUN_PAUSE_S = 1.0
MAX_OVERRUN_PAUSE_S = 30.0
OVERRUN_MEMORY_S = 60.0
# About two service times, after which the requests that a report counted have
# been answered.
LOAD_REPORT_DECAY_S = 0.1
# The pace of a VM changes many times a second.
PACE_DECAY_S = 0.25


@dataclass(slots=True)
class UpstreamView:
    """Known state of one upstream.

    Attributes:
        upstream: Its configuration.
        limits: Its capacity limits.
        slow_start: State of its slow start.
        connection_by_id: Connections that are opening, open or closing.
        in_flight: Slots in use: attempts in flight, and connections that hold
            a slot until they close.
        is_serving: Whether the configuration allows new work.
        is_draining: Whether the upstream announced that it drains.
        reconnect_at: Time before which no connection is opened, monotonic
            seconds.
        reconnect_delay_s: Delay before the next connection after a loss, in
            seconds.
        reserved_for: Id of the part that it is reserved for, if any.
        latency_s: Moving average of answer times, in seconds.
        other_requests: Requests of other entries, by the latest load report.
        load_reported_at: Time of that report, monotonic seconds.
        reported_pace: How long work takes there, as a share of the usual time,
            by that report; None if it does not say.
        slots: Requests that it runs at the same time, by reports that state
            the pace; 1 before the first one.
        report_trust: Share of its recent answers whose time agreed with the
            report that they carried.
        last_answer_at: Time of the latest answer that `latency_s` includes,
            monotonic seconds.
        slowness: Moving average of its answer times, each relative to the
            usual one of the same route; 1 is usual.
        last_ratio: Latest answer time relative to the usual one.
        refusal_share: Moving average of the share of its replies that refused
            a request without running it.
        last_reply_at: Time of the latest reply that `refusal_share` includes,
            monotonic seconds.
        sent_at_by_attempt: Send time of each unanswered attempt, monotonic
            seconds.
        cold_rate: Limit of its request rate while it is cold.
        is_outside_subset: Whether it is outside the entry's subset and used
            only for parts that the subset cannot take.
        connections_full_until: Time until which it is assumed to accept no
            further connections, monotonic seconds.
        paused_until: End of the pause that it has asked for, monotonic
            seconds.
        slots_after_pause: Slots that it gets after a pause, which double with
            each answer; None without a limit.
        overrun_pause_s: Length of the latest pause that it got because it
            sent bytes without end, in seconds.
        has_unusable_pause: Whether it has stated a pause that is no time.
        opening_s: Moving average of the time in which connections opened, in
            seconds.
        judged_slowness: Slowness that all entries together have found.
        judged_at: Time at which this entry was told, monotonic seconds; its own
            newer answer times take precedence.
        judged_until: End of that judgement, monotonic seconds.
    """

    upstream: Upstream
    limits: Limits
    slow_start: SlowStart = field(default_factory=SlowStart)
    connection_by_id: dict[int, ConnectionView] = field(default_factory=dict)
    in_flight: int = 0
    is_serving: bool = True
    is_draining: bool = False
    reconnect_at: float = 0.0
    reconnect_delay_s: float = 0.0
    reserved_for: str | None = None
    latency_s: float = INITIAL_LATENCY_S
    other_requests: float = 0.0
    load_reported_at: float = float("-inf")
    reported_pace: float | None = None
    report_trust: float = 1.0
    slots: int = 1
    last_answer_at: float = float("-inf")
    slowness: float = 1.0
    last_ratio: float = 1.0
    refusal_share: float = 0.0
    last_reply_at: float = float("-inf")
    sent_at_by_attempt: dict[int, float] = field(default_factory=dict)
    cold_rate: ColdRateLimit = field(default_factory=ColdRateLimit)
    is_outside_subset: bool = False
    connections_full_until: float = float("-inf")
    paused_until: float = float("-inf")
    slots_after_pause: int | None = None
    overrun_pause_s: float = 0.0
    has_unusable_pause: bool = False
    opening_s: float = 0.0
    judged_slowness: float = 1.0
    judged_at: float = float("-inf")
    judged_until: float = float("-inf")

    def record_load(self, load: ReportedLoad, now: float) -> None:
        """Record a reported load.

        Of the requests that it states, those of other entries are kept.  A
        pace that does not explain the time of the answer that carried it loses
        trust: an upstream may report no load while its answers are slow.
        """
        self.other_requests = max(
            0, load.running + load.waiting - self.in_flight
        )
        self.load_reported_at = now
        if load.has_pace:
            self.reported_pace, self.slots = load.pace, load.slots
            # Most answers are neither slow nor from an upstream in doubt.
            if (
                self.last_ratio > MAX_EXPLAINED_RATIO or self.report_trust < 1.0
            ) and self.last_answer_at == now:
                self.report_trust = updated_trust(
                    self.report_trust, load, self.last_ratio
                )

    def estimated_other_requests(self, now: float) -> float:
        """Return the estimated number of requests of other entries.

        The weight of a report decreases with its age, because most requests
        that it counted have ended since.
        """
        age_s = now - self.load_reported_at
        return self.other_requests * max(0.0, 1.0 - age_s / LOAD_REPORT_DECAY_S)

    def record_latency(
        self, latency_s: float, usual_s: float, now: float
    ) -> float:
        """Add one answer time to the moving averages.

        Args:
            latency_s: Answer time in seconds.
            usual_s: Usual answer time of the same route, in seconds.
            now: Monotonic time in seconds.

        Returns:
            The answer time as a multiple of the usual one.
        """
        self.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - self.latency_s)
        weight = _sample_weight(now - self.last_answer_at)
        ratio = latency_s / max(usual_s, MIN_LATENCY_S)
        self.slowness += weight * (ratio - self.slowness)
        self.last_answer_at, self.last_ratio = now, ratio
        return ratio

    def record_reply(self, is_refusal: bool, now: float) -> None:
        """Add one reply to the share of refusals."""
        weight = _sample_weight(now - self.last_reply_at)
        self.refusal_share += weight * (is_refusal - self.refusal_share)
        self.last_reply_at = now

    def expected_attempts(self, now: float) -> float:
        """Return how many attempts one request needs, by recent refusals."""
        attempts = 1.0 / (1.0 - min(self.refusal_share, MAX_REFUSAL_SHARE))
        return 1.0 + (attempts - 1.0) * _decay(now - self.last_reply_at)

    def expected_slowness(self, now: float) -> float:
        """Return the expected time of one more request; 1 is usual.

        A pace that the upstream has just reported counts most. Without one, and
        without new answers, the average approaches 1, so that an upstream that
        was slow is tried again.  An attempt that has been unanswered for longer
        than the average counts with its time so far.
        """
        slowness = 1.0
        answer_age_s = now - self.last_answer_at
        if answer_age_s < SLOWNESS_DECAY_S:
            weight = 1.0 - answer_age_s / SLOWNESS_DECAY_S
            slowness += (self.slowness - 1.0) * weight
        if self.judged_at > self.last_answer_at and now < self.judged_until:
            slowness = max(slowness, self.judged_slowness)
        if self.reported_pace is not None:
            weight = self.report_trust * max(
                0.0, 1.0 - (now - self.load_reported_at) / PACE_DECAY_S
            )
            slowness += weight * (self.reported_pace - slowness)
        if self.sent_at_by_attempt:
            waited_s = now - min(self.sent_at_by_attempt.values())
            overdue = waited_s / max(self.latency_s, MIN_LATENCY_S)
            slowness = max(slowness, overdue)
        return slowness

    def apply_judgement(
        self, slowness: float, valid_until: float, now: float
    ) -> None:
        """Expect a slowness until a time, or until a newer answer time."""
        self.judged_slowness = slowness
        self.judged_at = now
        self.judged_until = valid_until


def _sample_weight(age_s: float) -> float:
    """Return the weight of a sample, by the age of the one before."""
    return max(MIN_SAMPLE_WEIGHT, 1.0 - math.exp(-age_s / SAMPLE_AGE_S))


def _decay(age_s: float) -> float:
    """Return the weight of an average whose latest sample has a given age."""
    return max(0.0, 1.0 - age_s / SLOWNESS_DECAY_S)


def count_opening(view: UpstreamView) -> int:
    """Return the number of connections that are opening."""
    return sum(
        connection.state is ConnectionState.OPENING
        for connection in view.connection_by_id.values()
    )


def record_opening(view: UpstreamView, elapsed_s: float) -> None:
    """Add the time in which a connection opened to the moving average."""
    view.opening_s += OPENING_EWMA_WEIGHT * (elapsed_s - view.opening_s)


def _opening_patience_s(view: UpstreamView) -> float:
    return max(MIN_OPENING_PATIENCE_S, OPENING_PATIENCE * view.opening_s)


def has_silent_opening(view: UpstreamView, now: float) -> bool:
    """Return whether a connection has been opening for too long."""
    return any(
        connection.state is ConnectionState.OPENING
        and now >= connection.idle_since + _opening_patience_s(view)
        for connection in view.connection_by_id.values()
    )


def opening_is_silent_at(view: UpstreamView, now: float) -> float:
    """Return when an opening connection will count as silent, if ever."""
    times = (
        connection.idle_since + _opening_patience_s(view)
        for connection in view.connection_by_id.values()
        if connection.state is ConnectionState.OPENING
    )
    return min((time for time in times if time > now), default=float("inf"))


def free_slots(view: UpstreamView, now: float) -> int:
    """Return the number of further attempts that the upstream may get now.

    Args:
        view: State of the upstream.
        now: Monotonic time in seconds.

    Returns:
        Zero or more; zero if it must not get new work.
    """
    if not view.is_serving or view.is_draining or view.reserved_for:
        return 0
    if now < view.paused_until:
        return 0
    if not may_send(view.cold_rate, view.limits, now):
        return 0
    slots = allowed_slots(view.slow_start, view.limits, now)
    if view.slots_after_pause is not None:
        slots = min(slots, view.slots_after_pause)
    return max(0, slots - view.in_flight)


def update_from_reply(
    view: UpstreamView, reply: UpstreamReply, now: float
) -> None:
    """Update an upstream's state from a reply, even to a part that ended."""
    match reply:
        case RowsReply():
            on_answer(view.slow_start, now)
            if view.refusal_share:
                view.record_reply(is_refusal=False, now=now)
            view.last_reply_at = now
            raise_slots_after_pause(view)
            view.reconnect_delay_s = 0.0
        case NotRunReply(reason=Reason.OVERLOAD):
            view.record_reply(is_refusal=True, now=now)
            view.slow_start.backoff_until = now + REFUSAL_BACKOFF_S
        case NotRunReply(reason=Reason.COLD):
            on_cold_report(view.slow_start)
            view.slow_start.backoff_until = now + REFUSAL_BACKOFF_S
        case NotRunReply(reason=Reason.SHUTTING_DOWN | Reason.NO_UPSTREAM):
            # Another instance answers at this address, or the upstream is
            # shutting down.
            view.is_draining = True


def next_overrun_pause_s(view: UpstreamView, now: float) -> float:
    """Return the pause of an upstream that sent bytes without end, in seconds.

    Overruns of requests that were sent before a pause do not make it longer.
    """
    if now >= view.paused_until + OVERRUN_MEMORY_S:
        view.overrun_pause_s = 0.0
    if now >= view.paused_until:
        view.overrun_pause_s = min(
            max(2 * view.overrun_pause_s, MIN_OVERRUN_PAUSE_S),
            MAX_OVERRUN_PAUSE_S,
        )
    return view.overrun_pause_s


def raise_slots_after_pause(view: UpstreamView) -> None:
    """Let an upstream that has answered after a pause have more requests."""
    if view.slots_after_pause is not None:
        view.slots_after_pause *= 2
        if view.slots_after_pause >= view.limits.slots:
            view.slots_after_pause = None


def find_idle_connection(
    view: UpstreamView, not_before: float = float("-inf")
) -> ConnectionView | None:
    """Return an idle connection to the upstream, or None.

    Args:
        view: State of the upstream.
        not_before: Connections that became idle before this time are
            excluded, monotonic seconds.
    """
    for connection in view.connection_by_id.values():
        if (
            connection.state is ConnectionState.IDLE
            and connection.idle_since >= not_before
        ):
            return connection
    return None
