"""The leader proposes a table once the set of entries is stable.

A table for each of many entries that start together would change ownership
everywhere again and again; a long series of starts must not delay it for ever.
"""

from berylspool.connection.message import Member
from berylspool.process.control.membership import (
    MAX_TABLE_DELAY_S,
    HeartbeatReceived,
    LeadershipGained,
    Membership,
    ProposeTable,
    TablesCommitted,
    Tick,
    step,
)

TICK_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 0.25


def simulate_heartbeats(first_heartbeat_at_by_name, seconds):
    """Return the time and the size of each proposed table."""
    membership = Membership(lease_s=2.0)
    step(membership, LeadershipGained(1), 0.0)
    proposed = []
    for tick in range(round(seconds / TICK_INTERVAL_S)):
        now = tick * TICK_INTERVAL_S
        for name, first_at in first_heartbeat_at_by_name.items():
            if (
                now >= first_at
                and (now - first_at) % HEARTBEAT_INTERVAL_S < TICK_INTERVAL_S
            ):
                member = Member(name, "127.0.0.1", 1)
                epoch = membership.active.epoch
                epoch = max(
                    epoch,
                    membership.proposed.epoch if membership.proposed else 0,
                )
                heartbeat = HeartbeatReceived(member, "b", 1, epoch, False)
                step(membership, heartbeat, now)
        for action in step(membership, Tick(), now):
            assert isinstance(action, ProposeTable)
            table = action.table
            if table.is_active:
                step(membership, TablesCommitted(table, None), now)
            else:
                proposed.append((now, len(table.member_by_name)))
                step(membership, TablesCommitted(membership.active, table), now)
    return proposed


def test_entries_that_start_together_join_in_one_table():
    starts = {f"e{n}": 0.5 + n * 0.01 for n in range(78)}
    proposed = simulate_heartbeats(starts, 5.0)
    assert [count for _, count in proposed] == [78]


def test_steady_arrivals_do_not_delay_tables():
    starts = {f"e{n}": 0.5 + n * 0.2 for n in range(40)}
    proposed = simulate_heartbeats(starts, 9.0)
    assert proposed[0][0] <= 0.5 + MAX_TABLE_DELAY_S + 2 * TICK_INTERVAL_S
    assert proposed[-1][1] == 40
