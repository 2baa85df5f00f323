"""The leader lends extra copies to entries that need them."""

import random

import pytest

from berylspool.connection.control_message import ExtraCopies, Grant, Heartbeat
from berylspool.connection.message import Member
from berylspool.process.control.copy_lending import (
    SAVED_SHARE,
    CopyLending,
    lend_copies,
)
from berylspool.process.control.distribution import (
    DistributionState,
    make_grant,
)
from berylspool.process.group.state_machine import ControlState
from berylspool.process.settings import RoutingSettings
from berylspool.version.listing import HELD_COPY_SHARE
from berylspool.version.pool.tests.test_shared_upstreams import (
    WINDOW_S,
    most_in_a_window,
)

SLACK = 100.0
LENDABLE = SLACK * (1.0 - HELD_COPY_SHARE)
ROUTING = RoutingSettings(extra_slack=SLACK, extra_window_s=WINDOW_S)


def ask(lending, now, copies=1, service="s"):
    [lent] = lend_copies(lending, [ExtraCopies(service, "", copies)], now)
    return lent.copies


@pytest.mark.parametrize("seed", range(10))
def test_copies_lent_in_any_window_stay_within_the_limit(seed):
    pick, now, times = random.Random(seed), 0.0, []
    lending = CopyLending(ROUTING, leads_since=0.0)
    while now < 60.0:
        now += pick.choice((0.01, 0.3, 4.0))
        times += [now] * ask(lending, now, pick.randrange(1, 9))
    assert LENDABLE / 2 < most_in_a_window(times) <= LENDABLE


@pytest.mark.parametrize("seed", range(10))
def test_copies_lent_by_successive_leaders_stay_within_the_limit(seed):
    pick, now, times = random.Random(seed), 0.0, []
    for _ in range(6):
        lending = CopyLending(ROUTING, leads_since=now)
        for _ in range(pick.randrange(1, 200)):
            now += pick.choice((0.01, 0.1))
            times += [now] * ask(lending, now, pick.randrange(1, 9))
    assert most_in_a_window(times) <= LENDABLE


def test_entry_that_asks_gets_copies_that_others_leave():
    lending = CopyLending(ROUTING, leads_since=0.0)
    assert ask(lending, WINDOW_S, copies=8) == 8


def test_each_service_has_copies_of_its_own():
    lending = CopyLending(ROUTING, leads_since=0.0)
    lent = [ask(lending, WINDOW_S, 100, service) for service in "aba"]
    saved = LENDABLE * SAVED_SHARE
    assert lent == [saved, saved, 0]


def test_new_leader_lends_most_of_a_window_to_those_with_slow_upstreams():
    """Upstreams stay slow for seconds, and leaders are lost meanwhile."""
    lending = CopyLending(ROUTING, leads_since=0.0)
    lent = sum(ask(lending, 0.1 * step, copies=2) for step in range(81))
    assert lent >= 0.6 * LENDABLE


def test_grant_tells_an_entry_what_it_was_lent():
    wanted = (ExtraCopies("a", "", 1), ExtraCopies("b", "v2", 50))
    member = Member("e", "127.0.0.1", 1)
    heartbeat = Heartbeat(member, "b", 1, 1, False, 1, 0.0, wanted=wanted)
    lending = CopyLending(ROUTING, leads_since=0.0)
    grant = make_grant(
        DistributionState(),
        heartbeat,
        ControlState(),
        2.0,
        lent=lend_copies(lending, heartbeat.wanted, WINDOW_S),
    )
    assert isinstance(grant, Grant)
    assert grant.lent == (ExtraCopies("a", "", 1), ExtraCopies("b", "v2", 10))
