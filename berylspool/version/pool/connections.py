"""Decisions on a pool's set of upstreams and on connections to them."""

from collections.abc import Iterable

from berylspool.common.event import UpstreamChanged
from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool import availability
from berylspool.version.pool.attempt import on_attempt_lost
from berylspool.version.pool.extra_copies import queue_unsent
from berylspool.version.pool.hedging import set_max_tokens
from berylspool.version.pool.message import (
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    Log,
    OpenConnection,
    PoolAction,
)
from berylspool.version.pool.state import (
    Job,
    Pool,
    earliest_idle_since,
)
from berylspool.version.upstream.balancing import rank_upstreams
from berylspool.version.upstream.connection_limits import infer_limits_from_loss
from berylspool.version.upstream.notices import (
    on_instance_changed,
    restore_notices,
)
from berylspool.version.upstream.slow_start import (
    LISTING_LAG_S,
    mark_cold,
    on_connection_lost,
    on_instance_report,
)
from berylspool.version.upstream.slow_upstreams import SlownessObserved
from berylspool.version.upstream.subsetting import (
    choose_subset,
    round_fraction,
)
from berylspool.version.upstream.upstream_view import (
    ConnectionState,
    ConnectionView,
    UpstreamView,
    count_opening,
    free_slots,
    has_silent_opening,
    record_opening,
)

__all__ = [
    "drop_unused_upstreams",
    "on_connection_closed",
    "on_connection_opened",
    "open_connections_on_demand",
    "open_connections_per_slot",
    "reconfigure",
]

MIN_RECONNECT_DELAY_S = 0.02
MAX_RECONNECT_DELAY_S = 1.0
SPARE_CONNECTIONS = 1
# Covers a 6 ms handshake that waits for a slot, plus a round trip between
# zones. A connection that takes longer may never open.
MAX_OPENING_S = 0.05
# Slowness to report of an upstream that does not answer an opening connection.
UNREACHABLE_SLOWNESS = 10.0
# Active callers send again within a few seconds. An entry without requests for
# longer opens no connection in advance, so its next part waits until one opens.
UNUSED_AFTER_S = 10.0
HEALTH_CONNECTIONS = 1


def on_connection_opened(
    pool: Pool, event: ConnectionOpened, now: float
) -> list[PoolAction]:
    """Make a connection available once its upstream sent its instance id."""
    view = pool.view_by_upstream.get(event.upstream_id)
    if view is None:
        return [CloseConnection(event.connection_id)]
    connection = view.connection_by_id.get(event.connection_id)
    if connection is None:
        return [CloseConnection(event.connection_id)]
    if view.cold_rate.is_unreachable:
        # It refused connections before, so it has restarted.
        view.cold_rate.is_unreachable = False
        mark_cold(view.cold_rate, view.limits.cold_s, now)
    actions: list[PoolAction] = []
    if on_instance_report(view.slow_start, event.instance):
        on_instance_changed(pool.notices, view)
        change = f"instance {event.instance} is cold"
        actions.append(Log(UpstreamChanged(view.upstream.id, change)))
    if connection.state is ConnectionState.OPENING:
        if pool.tuning.opens_on_demand:
            record_opening(view, now - connection.idle_since)
        connection.state = ConnectionState.IDLE
        connection.idle_since = now
    # Upstreams accept connections beyond their limit and then reset them, so
    # the reconnection delay keeps growing until an answer arrives.
    return actions


def on_connection_closed(
    pool: Pool, event: ConnectionClosed, now: float
) -> list[PoolAction]:
    """Remove a closed connection and handle the attempt it carried."""
    view = pool.view_by_upstream.get(event.upstream_id)
    if view is None or event.connection_id not in view.connection_by_id:
        return []
    connection = view.connection_by_id.pop(event.connection_id)
    if connection.state is ConnectionState.OPENING:
        view.cold_rate.is_unreachable = True
    if connection.holds_slot:
        view.in_flight -= 1
    infer_limits_from_loss(pool, view, connection, now)
    actions = availability.on_overrun(pool, view, event.overrun, now)
    if event.last_sent_id in (None, connection.attempt_id):
        excess, attempt_id = event.overrun, connection.attempt_id
        actions += on_attempt_lost(pool, attempt_id, view, excess, now)
    else:
        queue_unsent(pool, connection.attempt_id)
    if connection.state is not ConnectionState.CLOSING and not event.is_planned:
        if not view.slow_start.is_unconfirmed:
            actions.append(
                Log(UpstreamChanged(view.upstream.id, "connection lost"))
            )
        on_connection_lost(view.slow_start)
        view.reconnect_delay_s = min(
            max(view.reconnect_delay_s * 2, MIN_RECONNECT_DELAY_S),
            MAX_RECONNECT_DELAY_S,
        )
        view.reconnect_at = now + view.reconnect_delay_s
    return actions


def reconfigure(
    pool: Pool, upstreams: tuple[Upstream, ...], limits: Limits, now: float
) -> list[PoolAction]:
    """Apply a new set of upstreams that may get new work, and new limits."""
    tuning = pool.tuning
    if pool.last_arrival_at is None and limits.share >= 1.0:
        pool.last_arrival_at = now
    if limits.extra_copies is not None:
        pool_name = f"{tuning.entry}{pool.service}"
        max_tokens = round_fraction(limits.extra_copies, pool_name)
        set_max_tokens(pool.budget, max_tokens)
    upstream_by_id = {upstream.id: upstream for upstream in upstreams}
    subset = choose_subset(tuning.entry, tuning.zone, upstreams, limits.share)
    for view in pool.view_by_upstream.values():
        view.is_serving = view.upstream.id in upstream_by_id
        view.limits = limits
    for upstream in upstreams:
        known_view = pool.view_by_upstream.get(upstream.id)
        if known_view is None:
            pool.view_by_upstream[upstream.id] = UpstreamView(upstream, limits)
        else:
            known_view.upstream = upstream
        if upstream.is_cold:
            view = pool.view_by_upstream[upstream.id]
            mark_cold(view.cold_rate, max(limits.cold_s, LISTING_LAG_S), now)
    for view in pool.view_by_upstream.values():
        restore_notices(pool.notices, view)
        availability.note_pending_notice(pool, view)
        view.is_outside_subset = view.upstream.id not in subset
    return drop_unused_upstreams(pool)


def drop_unused_upstreams(pool: Pool) -> list[PoolAction]:
    """Close idle connections to upstreams that get no new work.

    Such upstreams are removed once they have no connections or attempts.
    """
    actions: list[PoolAction] = []
    for view in list(pool.view_by_upstream.values()):
        if view.is_serving:
            continue
        for connection in list(view.connection_by_id.values()):
            if connection.state is ConnectionState.IDLE:
                connection.state = ConnectionState.CLOSING
                actions.append(CloseConnection(connection.id))
        if not view.connection_by_id and not view.in_flight:
            del pool.view_by_upstream[view.upstream.id]
    return actions


def open_connections_per_slot(pool: Pool, now: float) -> list[PoolAction]:
    """Keep one connection per slot and a spare one, within the limit."""
    actions: list[PoolAction] = []
    for view in pool.view_by_upstream.values():
        if not view.is_serving or view.is_draining or pool.is_closing:
            continue
        live_count = sum(
            connection.state is not ConnectionState.CLOSING
            for connection in view.connection_by_id.values()
        )
        room = (
            view.limits.connections
            - HEALTH_CONNECTIONS
            - len(view.connection_by_id)
        )
        wanted = view.limits.slots + SPARE_CONNECTIONS - live_count
        if now < max(view.reconnect_at, view.paused_until):
            continue
        for _ in range(min(wanted, room)):
            connection = ConnectionView(pool.next_serial(), view.upstream.id)
            view.connection_by_id[connection.id] = connection
            actions.append(OpenConnection(connection.id, view.upstream))
    return actions


def open_connections_on_demand(pool: Pool, now: float) -> list[PoolAction]:
    """Open a connection for each waiting part, and keep a few in advance.

    Parts are connected outside the subset only if no upstream of the subset
    can take them.  Opening a connection takes a slot of the upstream and
    processor time of the entry, so a wide request opens no more than it needs.
    """
    actions: list[PoolAction] = []
    if pool.is_closing or (not pool.queue and _is_connected(pool)):
        return actions
    jobs = _waiting_jobs(pool)
    for view in _rank_upstreams(pool, jobs, now):
        keeps_one = _keeps_connected(pool, view, now)
        if not jobs and not keeps_one:
            # The usual case: no part waits, and the upstream is connected.
            continue
        if view.is_outside_subset or not _may_connect(view, now):
            continue
        part_count = _count_parts_for(pool, view, jobs)
        min_new = int(keeps_one)
        actions += _open_needed_connections(
            pool, view, part_count, min_new, now
        )
        if has_silent_opening(view, now):
            observed = SlownessObserved(
                view.upstream.id, UNREACHABLE_SLOWNESS, now
            )
            pool.observed.append(observed)
            continue
        del jobs[: min(part_count, count_opening(view))]
    if pool.queue:
        actions += _connect_outside_subset(pool, now)
    return actions


def _is_connected(pool: Pool) -> bool:
    """Return whether each upstream that is kept connected has a connection."""
    for view in pool.view_by_upstream.values():
        if view.connection_by_id:
            if view.limits.share < 1.0:
                return True
        elif view.limits.share >= 1.0:
            return False
    return False


def _keeps_connected(pool: Pool, view: UpstreamView, now: float) -> bool:
    """Return whether to connect to an upstream that has no connection.

    Connections to all upstreams are kept only if each entry may connect to all
    of them; otherwise an entry in use keeps one connection of the pool.
    """
    if view.connection_by_id:
        return False
    arrived_at = pool.last_arrival_at
    if arrived_at is None or now - arrived_at >= UNUSED_AFTER_S:
        return False
    return view.limits.share >= 1.0 or not any(
        other.connection_by_id for other in pool.view_by_upstream.values()
    )


def _rank_upstreams(
    pool: Pool, jobs: list[Job], now: float
) -> Iterable[UpstreamView]:
    """Return the upstreams, best first for the first part in the queue.

    Without a waiting part they are not ranked, because the ranking would be
    the same at all entries.
    """
    views = pool.view_by_upstream.values()
    if not jobs:
        return views
    policy, part_id = pool.tuning.policy, jobs[0].part.id
    return rank_upstreams(views, policy, part_id, now)


def _waiting_jobs(pool: Pool) -> list[Job]:
    jobs = (pool.job_by_part.get(item[3]) for item in pool.queue)
    return [job for job in jobs if job is not None]


def _count_parts_for(pool: Pool, view: UpstreamView, jobs: list[Job]) -> int:
    """Return the number of waiting parts that an upstream may take."""
    serving_ids = {
        other.upstream.id
        for other in pool.view_by_upstream.values()
        if other.is_serving and not other.is_draining
    }
    upstream_id = view.upstream.id
    return sum(
        upstream_id not in job.tried_upstreams
        or serving_ids <= job.tried_upstreams
        for job in jobs
    )


def _connect_outside_subset(pool: Pool, now: float) -> list[PoolAction]:
    """Connect to upstreams outside the subset for parts it cannot take."""
    actions: list[PoolAction] = []
    stuck_count = _count_stuck_parts(pool, now) - sum(
        connection.state is ConnectionState.OPENING
        and now - connection.idle_since < MAX_OPENING_S
        for view in pool.view_by_upstream.values()
        if view.is_outside_subset
        for connection in view.connection_by_id.values()
    )
    if stuck_count <= 0:
        return actions
    for view in _rank_upstreams(pool, _waiting_jobs(pool), now):
        needed = stuck_count - len(actions)
        if needed > 0 and view.is_outside_subset and _may_connect(view, now):
            actions += _open_needed_connections(pool, view, needed, 0, now)
    return actions


def _count_stuck_parts(pool: Pool, now: float) -> int:
    """Return the number of waiting parts that the subset cannot take."""
    usable_ids = {
        view.upstream.id
        for view in pool.view_by_upstream.values()
        if not view.is_outside_subset
        and _may_connect(view, now)
        and not has_silent_opening(view, now)
        and free_slots(view, now)
    }
    return sum(usable_ids <= job.tried_upstreams for job in _waiting_jobs(pool))


def _may_connect(view: UpstreamView, now: float) -> bool:
    return (
        view.is_serving
        and not view.is_draining
        and now >= view.paused_until
        and now >= view.reconnect_at
        and not view.reserved_for
    )


def _open_needed_connections(
    pool: Pool, view: UpstreamView, part_count: int, min_new: int, now: float
) -> list[PoolAction]:
    """Open the connections that waiting parts need, and at least `min_new`.

    Idle connections that no waiting part may use are closed to make room.
    """
    actions: list[PoolAction] = (
        _close_stale_connections(pool, view, now) if part_count else []
    )
    live = [
        connection
        for connection in view.connection_by_id.values()
        if connection.state is not ConnectionState.CLOSING
    ]
    if live and now < view.connections_full_until:
        return actions
    opening_count = sum(c.state is ConnectionState.OPENING for c in live)
    usable_count = opening_count + sum(
        c.state is ConnectionState.IDLE for c in live
    )
    room = view.limits.connections - len(live)
    max_new = min(free_slots(view, now) - usable_count, room)
    wanted = min_new
    if part_count > opening_count:
        wanted = max(wanted, part_count - opening_count)
    for _ in range(max(0, min(wanted, max_new))):
        connection = ConnectionView(
            pool.next_serial(), view.upstream.id, idle_since=now
        )
        view.connection_by_id[connection.id] = connection
        actions.append(OpenConnection(connection.id, view.upstream))
    return actions


def _close_stale_connections(
    pool: Pool, view: UpstreamView, now: float
) -> list[PoolAction]:
    """Close connections that have been idle too long for any waiting part."""
    jobs = _waiting_jobs(pool)
    not_before = min(
        (earliest_idle_since(pool, job, now) for job in jobs), default=now
    )
    actions: list[PoolAction] = []
    for connection in view.connection_by_id.values():
        is_idle = connection.state is ConnectionState.IDLE
        if is_idle and connection.idle_since < not_before:
            connection.state = ConnectionState.CLOSING
            actions.append(CloseConnection(connection.id))
    return actions
