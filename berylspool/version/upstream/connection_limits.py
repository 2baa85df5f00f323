"""Connection limits and idle time-outs of upstreams, inferred from losses."""

from berylspool.version.pool.state import Pool
from berylspool.version.upstream.upstream_view import (
    ConnectionState,
    ConnectionView,
    UpstreamView,
)

__all__ = ["infer_limits_from_loss"]

# Upstreams accept fewer connections while their queues are long. A queue of a
# dozen requests drains within a second or two.
CONNECTIONS_FULL_S = 2.0
# A reset caused by a request arrives one round trip after it was sent.
MAX_RESET_DELAY_S = 0.05
# Connections that were idle for less time are lost for other reasons.
MIN_IDLE_BEFORE_LOSS_S = 0.05
IDLE_TIMEOUT_SHARE = 0.7
# If one answer in thirty is lost for other reasons, two in a row are lost with
# a probability of about one in a thousand.
MIN_IDLE_LOSSES = 2
IDLE_TIMEOUT_TTL_S = 15.0


def infer_limits_from_loss(
    pool: Pool, view: UpstreamView, connection: ConnectionView, now: float
) -> None:
    """Infer the upstream's connection limit or idle time-out from a loss.

    A connection that was reset before its first answer exceeded the connection
    limit. Several in a row that were reset by a request after an idle period
    exceeded the idle time-out; a single one may be lost for other reasons.
    """
    if connection.state in (ConnectionState.OPENING, ConnectionState.CLOSING):
        return
    if not connection.has_answered:
        view.connections_full_until = now + CONNECTIONS_FULL_S
        return
    sent_at = view.sent_at_by_attempt.get(connection.attempt_id or 0)
    if sent_at is None or now - sent_at > MAX_RESET_DELAY_S:
        return
    idle_s = sent_at - connection.idle_since
    if idle_s <= MIN_IDLE_BEFORE_LOSS_S:
        return
    pool.idle_losses += 1
    pool.min_lost_idle_s = min(pool.min_lost_idle_s, idle_s)
    if pool.idle_losses >= MIN_IDLE_LOSSES:
        pool.upstream_idle_timeout_s = pool.min_lost_idle_s * IDLE_TIMEOUT_SHARE
        pool.idle_timeout_valid_until = now + IDLE_TIMEOUT_TTL_S
