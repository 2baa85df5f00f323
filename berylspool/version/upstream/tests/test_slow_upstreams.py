"""Judgements on slow upstreams, and what they do for callers."""

import random

import pytest

from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool.admission import step
from berylspool.version.pool.message import (
    AttemptAnswered,
    ConnectionOpened,
    OpenConnection,
    PartArrived,
    PartCancelled,
    PoolReconfigured,
    RowsReply,
    SendAttempt,
)
from berylspool.version.pool.state import Pool, PoolTuning
from berylspool.version.pool.tests.test_shared_upstreams import (
    SNAPSHOT,
    make_part,
)
from berylspool.version.upstream.balancing import LeastLoaded
from berylspool.version.upstream.slow_upstreams import (
    JUDGEMENT_S,
    MIN_REPORTERS,
    MIN_SPAN_S,
    SlownessJudged,
    SlownessReport,
    SlowUpstreams,
    all_judgements,
    judge,
)

HEARTBEAT_S = 0.25


def report(state, entry, now, slowness=5.0, age_s=0.0):
    return judge(state, entry, [SlownessReport("i", slowness, age_s)], now)


def reports_over(span_s, count=6, entries=MIN_REPORTERS):
    """Return the judgements after slow answers spread over some time."""
    state, judged = SlowUpstreams(), []
    for number in range(count):
        now = span_s * number / (count - 1)
        judged += report(state, f"e{number % entries}", now)
    return judged


def test_entries_that_agree_for_longer_than_a_pause_judge_an_upstream():
    [judged] = reports_over(MIN_SPAN_S + 0.1)
    assert judged.id == "i" and judged.slowness == 5.0


def test_pause_of_an_upstream_is_no_judgement():
    assert not reports_over(0.25, count=20, entries=10)


def test_few_entries_may_be_slow_themselves():
    assert not reports_over(0.9, count=20, entries=MIN_REPORTERS - 1)


def test_reports_that_were_delayed_count_from_the_observation():
    state = SlowUpstreams()
    for number in range(6):
        age_s = 0.5 - number * 0.02
        assert not report(state, f"e{number}", 10.0, age_s=age_s)
    assert not report(state, "e9", 10.5, age_s=5.0)


def test_scattered_slow_answers_are_no_judgement():
    state = SlowUpstreams()
    judged = [report(state, f"e{n}", n * 0.6) for n in range(30)]
    assert not any(judged)


def test_fast_answers_of_several_entries_end_a_judgement():
    state = SlowUpstreams()
    for number in range(6):
        report(state, f"e{number}", number * 0.1)
    assert all_judgements(state, 0.6)
    assert not report(state, "e1", 0.7, slowness=1.0)
    assert not report(state, "e1", 0.8, slowness=1.0)
    report(state, "e2", 0.9)
    assert not report(state, "e3", 0.95, slowness=1.0)
    [cleared] = report(state, "e1", 1.0, slowness=1.0)
    assert cleared.slowness == 1.0
    assert not all_judgements(state, 1.0)


def test_judgement_ends_without_new_reports_and_goes_on_with_them():
    state = SlowUpstreams()
    for number in range(6):
        report(state, f"e{number}", number * 0.1)
    assert [j.id for j in all_judgements(state, 3.0)] == ["i"]
    renewals = [report(state, "e1", 1.0 + n) for n in range(6)]
    assert 2 <= sum(map(len, renewals)) <= 3
    assert all_judgements(state, 6.5)
    assert not all_judgements(state, 6.1 + JUDGEMENT_S)


@pytest.mark.parametrize("age_s", [-1.0, 1e9, float("nan"), float("inf")])
def test_odd_age_of_a_report_is_ignored(age_s):
    state = SlowUpstreams()
    for number in range(9):
        report(state, f"e{number}", number * 0.1, age_s=age_s)
    assert not state.verdict_by_upstream
    assert not state.sightings_by_upstream


class Fleet:
    """Many entries with a pool of the same three upstreams each.

    Attributes:
        silent: Ids of the upstreams that do not answer.
        met: Requests whose first copy went to a silent upstream, with times.
    """

    TUNING = PoolTuning(
        LeastLoaded("z0", 0.0),
        extra_ratio=0.2,
        silent_s=None,
        opens_on_demand=True,
        isolates_suspects=False,
        initial_tokens=10.0,
    )
    LIMITS = Limits(slots=2, connections=2, cold_slots=2, ramp_s=0.0)
    ANSWER_S = 0.01
    GIVEN_UP_AFTER_S = 0.045

    def __init__(self, entries, shares, seed=1):
        self.random = random.Random(seed)
        self.shares = shares
        self.silent = frozenset()
        self.met = []
        self.unanswered = []
        self.leader = SlowUpstreams()
        self.now = 0.0
        upstreams = tuple(
            Upstream(f"i{n}", "127.0.0.1", n + 1, "z0", "") for n in range(3)
        )
        self.pools = [Pool("s", "", self.TUNING) for _ in range(entries)]
        for pool in self.pools:
            self.feed(pool, PoolReconfigured(upstreams, self.LIMITS))

    def feed(self, pool, event):
        """Apply an event; return the copies that it sends."""
        sent = []
        for action in step(pool, event, self.now):
            match action:
                case OpenConnection(connection_id=id, upstream=upstream):
                    opened = ConnectionOpened(id, upstream.id, upstream.id)
                    sent += self.feed(pool, opened)
                case SendAttempt():
                    sent.append(action)
        return sent

    def request(self, number):
        """Play one request of one part at a random entry."""
        pool = self.random.choice(self.pools)
        part = make_part(number, attempts=1, hedge_after_s=9.0)
        [send] = self.feed(pool, PartArrived(part))
        upstream_id = pool.attempt_by_id[send.attempt_id].upstream_id
        self.met.append((self.now, upstream_id in self.silent))
        if upstream_id in self.silent:
            self.unanswered.append((pool, send, upstream_id))
            self.now += self.GIVEN_UP_AFTER_S
            self.feed(pool, PartCancelled(part.id, is_caller_gone=False))
            return
        self.now += self.ANSWER_S
        reply = RowsReply(SNAPSHOT, (), "x")
        answered = AttemptAnswered(
            send.connection_id, send.attempt_id, upstream_id, reply
        )
        self.feed(pool, answered)

    def answer_all(self):
        """Let the silent upstreams answer what they have got."""
        self.silent = frozenset()
        reply = RowsReply(SNAPSHOT, (), "x")
        for pool, send, upstream_id in self.unanswered:
            answered = AttemptAnswered(
                send.connection_id, send.attempt_id, upstream_id, reply
            )
            self.feed(pool, answered)

    def exchange_heartbeats(self):
        """Pass the reports of all entries on, and the judgements back."""
        judged = []
        for number, pool in enumerate(self.pools):
            observed = [
                SlownessReport(o.id, o.slowness, self.now - o.at)
                for o in pool.observed
            ]
            pool.observed.clear()
            if self.shares:
                judged += judge(self.leader, f"e{number}", observed, self.now)
        for pool in self.pools:
            for judgement in judged:
                until = self.now + judgement.valid_s * self.random.uniform(1, 2)
                event = SlownessJudged(judgement.id, judgement.slowness, until)
                self.feed(pool, event)

    def run(self, duration_s, per_s):
        """Play requests at a rate, and heartbeats."""
        end = self.now + duration_s
        next_heartbeat_at = self.now
        while self.now < end:
            if self.now >= next_heartbeat_at:
                self.exchange_heartbeats()
                next_heartbeat_at = self.now + HEARTBEAT_S
            started_at = self.now
            self.request(len(self.met))
            gap_s = self.random.expovariate(per_s)
            self.now = max(self.now, started_at + gap_s)

    def met_share(self, start, end):
        """Return the share of requests that met a silent upstream."""
        met = [is_met for at, is_met in self.met if start <= at < end]
        return sum(met) / len(met)


def shares_that_meet_a_silent_upstream(shares, seed):
    """Return the shares in the first second, in the next, and at the end."""
    fleet = Fleet(entries=60, shares=shares, seed=seed)
    fleet.run(20.0, per_s=30.0)
    fleet.silent = frozenset({"i1"})
    start = fleet.now
    fleet.run(8.0, per_s=30.0)
    first = fleet.met_share(start, start + 1.0)
    later = fleet.met_share(start + 1.0, start + 8.0)
    fleet.answer_all()
    fleet.run(12.0, per_s=30.0)
    return first, later, fleet


@pytest.mark.parametrize("seed", range(5))
def test_callers_of_many_entries_seldom_meet_a_silent_upstream_twice(seed):
    """A third of the requests meets it at first, whichever entry has them."""
    _, alone_later, _ = shares_that_meet_a_silent_upstream(False, seed)
    first, shared_later, _ = shares_that_meet_a_silent_upstream(True, seed)
    assert first > 0.1
    assert alone_later > 0.1
    assert shared_later < 0.5 * alone_later


@pytest.mark.parametrize("seed", range(3))
def test_upstream_that_answers_again_is_used_again_soon(seed):
    _, _, fleet = shares_that_meet_a_silent_upstream(True, seed)
    assert not fleet.leader.verdict_by_upstream
    views = [pool.view_by_upstream["i1"] for pool in fleet.pools]
    expected = [view.expected_slowness(fleet.now) for view in views]
    assert sum(e < 2.0 for e in expected) > 0.9 * len(expected)


def test_newer_answer_of_an_entry_outweighs_a_judgement():
    fleet = Fleet(entries=1, shares=False)
    fleet.run(2.0, per_s=30.0)
    [pool] = fleet.pools
    view = pool.view_by_upstream["i1"]
    fleet.feed(pool, SlownessJudged("i1", 6.0, fleet.now + 5.0))
    assert view.expected_slowness(fleet.now) == 6.0
    view.record_latency(0.01, 0.01, fleet.now + 0.1)
    assert view.expected_slowness(fleet.now + 0.1) < 2.0


def test_judgement_only_changes_the_order_of_preference():
    """With all upstreams judged, requests are served as without."""
    fleet = Fleet(entries=1, shares=False)
    [pool] = fleet.pools
    for id in ("i0", "i1", "i2"):
        fleet.feed(pool, SlownessJudged(id, 50.0, 1e9))
    fleet.run(1.0, per_s=30.0)
    assert len(fleet.met) > 10
