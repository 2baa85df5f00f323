"""Decisions on a pool's set of upstreams and on connections to them."""

from collections.abc import Iterable

from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool.aperture import choose_aperture
from berylspool.version.pool.attempt import on_attempt_lost
from berylspool.version.pool.message import (
    Changed,
    Connect,
    ConnectionClosed,
    ConnectionOpened,
    Disconnect,
    PoolAction,
)
from berylspool.version.pool.ramp import (
    LISTING_LAG_S,
    chill,
    doubt,
    on_instance,
)
from berylspool.version.pool.state import Job, Pool, idle_since
from berylspool.version.pool.tail import cap
from berylspool.version.pool.upstream_view import (
    ConnectionState,
    ConnectionView,
    UpstreamView,
    free_slots,
    preference,
)

__all__ = [
    "drop_unused",
    "on_closed",
    "on_opened",
    "open_connections",
    "open_on_demand",
    "reconfigure",
]

FIRST_REOPEN_DELAY_S = 0.02
LONGEST_REOPEN_DELAY_S = 1.0
SPARE_CONNECTIONS = 1
# Covers a 6 ms handshake that waits for a slot, plus a round trip between
# zones. A connection that takes longer may never open.
OPENING_S = 0.05
# Upstreams accept fewer connections while their queues are long. A queue of a
# dozen requests drains within a second or two.
FULL_S = 2.0
# A reset caused by a request arrives one round trip after it was sent.
RESET_S = 0.05
# Connections that were idle for less time are lost for other reasons.
SHORTEST_IDLE_S = 0.05
IDLE_SHARE = 0.7
# If one answer in thirty is lost for other reasons, two in a row are lost with
# a probability of about one in a thousand.
IDLE_LOSSES = 2
IDLE_LIMIT_KEPT_S = 15.0
# Active callers send again within a few seconds. At an entry without requests
# for longer, the next part has to wait until a connection opens.
UNUSED_S = 10.0
WATCH_CONNECTIONS = 1


def on_opened(
    pool: Pool, event: ConnectionOpened, now: float
) -> list[PoolAction]:
    """Make a connection available once its upstream sent its instance id."""
    view = pool.view_by_upstream.get(event.upstream_id)
    if view is None:
        return [Disconnect(event.connection_id)]
    connection = view.connection_by_id.get(event.connection_id)
    if connection is None:
        return [Disconnect(event.connection_id)]
    if view.cold.is_lost:
        # It refused connections before, so it has restarted.
        view.cold.is_lost = False
        chill(view.cold, view.limits.cold_s, now)
    actions: list[PoolAction] = []
    if on_instance(view.ramp, event.instance):
        view.is_draining = False
        change = f"instance {event.instance} is cold"
        actions.append(Changed(view.upstream.id, change))
    if connection.state is ConnectionState.OPENING:
        connection.state = ConnectionState.IDLE
        connection.since = now
    # Upstreams accept connections beyond their limit and then reset them, so
    # the reconnection delay keeps growing until an answer arrives.
    return actions


def on_closed(
    pool: Pool, event: ConnectionClosed, now: float
) -> list[PoolAction]:
    """Remove a closed connection and handle the attempt it carried."""
    view = pool.view_by_upstream.get(event.upstream_id)
    if view is None:
        return on_attempt_lost(pool, event.attempt_id, None, now)
    connection = view.connection_by_id.pop(event.connection_id, None)
    if connection is None:
        return []
    if connection.state is ConnectionState.OPENING:
        view.cold.is_lost = True
    if connection.holds_slot:
        view.in_flight -= 1
    _learn_from_loss(pool, view, connection, now)
    actions = on_attempt_lost(pool, connection.attempt_id, view, now)
    if connection.state is not ConnectionState.RETIRED and not event.is_planned:
        if not view.ramp.is_doubted:
            actions.append(Changed(view.upstream.id, "connection lost"))
        doubt(view.ramp)
        view.reopen_delay_s = min(
            max(view.reopen_delay_s * 2, FIRST_REOPEN_DELAY_S),
            LONGEST_REOPEN_DELAY_S,
        )
        view.reopen_at = now + view.reopen_delay_s
    return actions


def _learn_from_loss(
    pool: Pool, view: UpstreamView, connection: ConnectionView, now: float
) -> None:
    """Infer the upstream's connection limit or idle time-out from a loss.

    A connection that was reset before its first answer exceeded the connection
    limit. Consecutive ones that were reset by a request after an idle period
    exceeded the idle time-out; a single loss has other causes.
    """
    if connection.state in (ConnectionState.OPENING, ConnectionState.RETIRED):
        return
    if not connection.has_answered:
        view.full_until = now + FULL_S
        return
    sent_at = view.sent_at_by_attempt.get(connection.attempt_id or 0)
    if sent_at is None or now - sent_at > RESET_S:
        return
    idle_s = sent_at - connection.since
    if idle_s <= SHORTEST_IDLE_S:
        return
    pool.idle_losses += 1
    pool.lost_idle_s = min(pool.lost_idle_s, idle_s)
    if pool.idle_losses >= IDLE_LOSSES:
        pool.idle_limit_s = pool.lost_idle_s * IDLE_SHARE
        pool.idle_limit_until = now + IDLE_LIMIT_KEPT_S


def reconfigure(
    pool: Pool, upstreams: tuple[Upstream, ...], limits: Limits, now: float
) -> list[PoolAction]:
    """Apply a new set of upstreams that may get new work, and new limits."""
    tuning = pool.tuning
    if pool.arrived_at is None and limits.share >= 1.0:
        pool.arrived_at = now
    if limits.extra_copies is not None:
        cap(pool.budget, limits.extra_copies, limits.extra_per_s)
    wanted = {upstream.id: upstream for upstream in upstreams}
    kept = choose_aperture(tuning.entry, tuning.zone, upstreams, limits.share)
    for view in pool.view_by_upstream.values():
        view.is_serving = view.upstream.id in wanted
        view.limits = limits
    for upstream in upstreams:
        known = pool.view_by_upstream.get(upstream.id)
        if known is None:
            pool.view_by_upstream[upstream.id] = UpstreamView(upstream, limits)
        else:
            known.upstream = upstream
        if upstream.is_cold:
            view = pool.view_by_upstream[upstream.id]
            chill(view.cold, max(limits.cold_s, LISTING_LAG_S), now)
    for view in pool.view_by_upstream.values():
        view.is_reserve = view.upstream.id not in kept
    return drop_unused(pool)


def drop_unused(pool: Pool) -> list[PoolAction]:
    """Close idle connections to upstreams that get no new work.

    Such upstreams are removed once they have no connections or attempts.
    """
    actions: list[PoolAction] = []
    for view in list(pool.view_by_upstream.values()):
        if view.is_serving:
            continue
        for connection in list(view.connection_by_id.values()):
            if connection.state is ConnectionState.IDLE:
                connection.state = ConnectionState.RETIRED
                actions.append(Disconnect(connection.id))
        if not view.connection_by_id and not view.in_flight:
            del pool.view_by_upstream[view.upstream.id]
    return actions


def open_connections(pool: Pool, now: float) -> list[PoolAction]:
    """Keep one connection per slot and a spare one, within the limit."""
    actions: list[PoolAction] = []
    for view in pool.view_by_upstream.values():
        if not view.is_serving or view.is_draining or pool.is_closing:
            continue
        live = sum(
            connection.state is not ConnectionState.RETIRED
            for connection in view.connection_by_id.values()
        )
        room = (
            view.limits.connections
            - WATCH_CONNECTIONS
            - len(view.connection_by_id)
        )
        wanted = view.limits.slots + SPARE_CONNECTIONS - live
        if now < view.reopen_at:
            continue
        for _ in range(min(wanted, room)):
            connection = ConnectionView(pool.next_serial(), view.upstream.id)
            view.connection_by_id[connection.id] = connection
            actions.append(Connect(connection.id, view.upstream))
    return actions


def open_on_demand(pool: Pool, now: float) -> list[PoolAction]:
    """Keep one connection to each upstream of the entry's subset.

    Each waiting part gets one more, outside the subset only if no upstream of
    the subset can take the part.  Opening a connection briefly occupies a slot
    of the upstream, and all entries share its connection limit, so none beyond
    the first is opened in advance, and none at an entry without recent parts.
    """
    actions: list[PoolAction] = []
    if pool.is_closing:
        return actions
    jobs = _waiting_jobs(pool)
    arrived_at = pool.arrived_at
    is_used = arrived_at is not None and now - arrived_at < UNUSED_S
    for view in _in_order(pool, jobs, now):
        if not jobs and (view.connection_by_id or not is_used):
            # The usual case: no part waits, and the upstream is connected.
            continue
        if view.is_reserve or not _may_connect(view, now):
            continue
        parts = _parts_for(pool, view, jobs)
        opened = _connect(pool, view, parts, now)
        actions += opened
        connects = sum(isinstance(action, Connect) for action in opened)
        del jobs[:connects]
    if pool.waiting:
        actions += _open_reserve(pool, now)
    return actions


def _in_order(
    pool: Pool, jobs: list[Job], now: float
) -> Iterable[UpstreamView]:
    """Return the upstreams, best first for the first part in the queue.

    Without a waiting part they are not ranked, because the ranking would be
    the same at all entries.
    """
    views = pool.view_by_upstream.values()
    if not jobs:
        return views
    choice, part_id = pool.tuning.choice, jobs[0].part.id
    return sorted(views, key=preference(views, choice, part_id, now))


def _waiting_jobs(pool: Pool) -> list[Job]:
    jobs = (pool.job_by_part.get(entry[3]) for entry in pool.waiting)
    return [job for job in jobs if job is not None]


def _parts_for(pool: Pool, view: UpstreamView, jobs: list[Job]) -> int:
    """Return the number of waiting parts that an upstream may take."""
    serving = {
        other.upstream.id
        for other in pool.view_by_upstream.values()
        if other.is_serving and not other.is_draining
    }
    id = view.upstream.id
    return sum(id not in job.tried or serving <= job.tried for job in jobs)


def _open_reserve(pool: Pool, now: float) -> list[PoolAction]:
    """Connect to upstreams outside the subset for parts it cannot take."""
    views = _in_order(pool, _waiting_jobs(pool), now)
    reserve = [view for view in views if view.is_reserve]
    if not reserve:
        return []
    stuck = _stuck_parts(pool, now) - sum(
        connection.state is ConnectionState.OPENING
        and now - connection.since < OPENING_S
        for view in reserve
        for connection in view.connection_by_id.values()
    )
    actions: list[PoolAction] = []
    for view in reserve:
        if stuck > len(actions) and _may_connect(view, now):
            actions += _connect(pool, view, stuck - len(actions), now)
    return actions


def _stuck_parts(pool: Pool, now: float) -> int:
    """Return the number of waiting parts that the subset cannot take."""
    usable = {
        view.upstream.id
        for view in pool.view_by_upstream.values()
        if not view.is_reserve
        and _may_connect(view, now)
        and free_slots(view, now)
    }
    return sum(usable <= job.tried for job in _waiting_jobs(pool))


def _may_connect(view: UpstreamView, now: float) -> bool:
    return (
        view.is_serving
        and not view.is_draining
        and now >= view.reopen_at
        and not view.reserved_for
    )


def _connect(
    pool: Pool, view: UpstreamView, parts: int, now: float
) -> list[PoolAction]:
    """Open the connections that a number of waiting parts need.

    Idle connections that no waiting part may use are closed to make room.
    """
    actions: list[PoolAction] = _close_stale(pool, view, now) if parts else []
    live = [
        connection
        for connection in view.connection_by_id.values()
        if connection.state is not ConnectionState.RETIRED
    ]
    if live and now < view.full_until:
        return actions
    opening = sum(c.state is ConnectionState.OPENING for c in live)
    usable = opening + sum(c.state is ConnectionState.IDLE for c in live)
    room = view.limits.connections - len(live)
    most = min(free_slots(view, now) - usable, room)
    wanted = 1 if not live else 0
    if parts > opening:
        wanted = max(wanted, parts - opening)
    for _ in range(max(0, min(wanted, most))):
        connection = ConnectionView(
            pool.next_serial(), view.upstream.id, since=now
        )
        view.connection_by_id[connection.id] = connection
        actions.append(Connect(connection.id, view.upstream))
    return actions


def _close_stale(
    pool: Pool, view: UpstreamView, now: float
) -> list[PoolAction]:
    """Close connections that have been idle too long for any waiting part."""
    jobs = _waiting_jobs(pool)
    not_before = min((idle_since(pool, job, now) for job in jobs), default=now)
    actions: list[PoolAction] = []
    for connection in view.connection_by_id.values():
        is_idle = connection.state is ConnectionState.IDLE
        if is_idle and connection.since < not_before:
            connection.state = ConnectionState.RETIRED
            actions.append(Disconnect(connection.id))
    return actions
