"""The leader proposes a table once the set of entries is stable.

A table for each of many entries that start together would change ownership
everywhere again and again; a long series of starts must not delay it for ever.
"""

from berylspool.connection.message import Member
from berylspool.process.control.membership import (
    LONGEST_CALM_S,
    Heard,
    Led,
    Membership,
    ProposeTable,
    Seated,
    Ticked,
    step,
)

TICK_S = 0.05
BEAT_S = 0.25


def play(heard_at_by_name, seconds):
    """Return the time and the size of each proposed table."""
    membership = Membership(lease_s=2.0)
    step(membership, Led(1), 0.0)
    proposed = []
    for tick in range(round(seconds / TICK_S)):
        now = tick * TICK_S
        for name, first in heard_at_by_name.items():
            if now >= first and (now - first) % BEAT_S < TICK_S:
                member = Member(name, "127.0.0.1", 1)
                epoch = membership.active.epoch
                epoch = max(
                    epoch,
                    membership.proposed.epoch if membership.proposed else 0,
                )
                heard = Heard(member, "b", 1, epoch, False)
                step(membership, heard, now)
        for action in step(membership, Ticked(), now):
            assert isinstance(action, ProposeTable)
            table = action.table
            if table.is_active:
                step(membership, Seated(table, None), now)
            else:
                proposed.append((now, len(table.member_by_name)))
                step(membership, Seated(membership.active, table), now)
    return proposed


def test_entries_that_start_together_come_in_one_table():
    starts = {f"e{n}": 0.5 + n * 0.01 for n in range(78)}
    proposed = play(starts, 5.0)
    assert [count for _, count in proposed] == [78]


def test_a_steady_trickle_of_entries_is_not_held_up():
    starts = {f"e{n}": 0.5 + n * 0.2 for n in range(40)}
    proposed = play(starts, 9.0)
    assert proposed[0][0] <= 0.5 + LONGEST_CALM_S + 2 * TICK_S
    assert proposed[-1][1] == 40
