"""What clients get of pools that are asked for more than upstreams serve."""

from dataclasses import replace

import pytest

from berylspool.version.overload.precedence import LEAST_URGENT_SHARE
from berylspool.version.overload.tests.played_load import (
    CAPACITY_PER_S,
    Play,
    Stream,
)

RUN_S = 4.0
URGENT = Stream("urgent", 0.5 * CAPACITY_PER_S, 0, 0.05, 0.5)
BULK = Stream("bulk", CAPACITY_PER_S, 3, 0.25, 1.0)


@pytest.mark.parametrize(
    ("entries", "min_share"),
    # An entry among many knows less of the queues at upstreams.
    [(1, 0.95), (3, 0.95), (12, 0.9), (60, 0.6)],
)
def test_urgent_requests_are_answered_in_time_under_overload(
    entries, min_share
):
    """Guards against refusing or delaying the most urgent requests most."""
    play = Play((URGENT, BULK), entries=entries).run(RUN_S)
    tally = play.tally_by_stream
    assert tally["urgent"].share >= min_share
    assert tally["urgent"].share > tally["bulk"].share


def test_less_urgent_requests_get_what_is_left():
    """Guards against slots that idle while less urgent requests are held."""
    play = Play((URGENT, BULK)).run(RUN_S)
    left = 1.0 - URGENT.per_s / CAPACITY_PER_S
    assert play.tally_by_stream["bulk"].share >= 0.8 * left


@pytest.mark.parametrize("seed", range(2))
def test_load_below_the_capacity_is_served_as_a_whole(seed):
    """Guards against refusals and holds without an overload."""
    urgent, bulk = replace(URGENT, per_s=180.0), replace(BULK, per_s=180.0)
    tally = Play((urgent, bulk), seed).run(RUN_S).tally_by_stream
    assert tally["urgent"].share >= 0.98 and tally["bulk"].share >= 0.98
    assert tally["urgent"].refused == tally["bulk"].refused == 0


def test_least_urgent_requests_get_their_share_of_the_sends():
    """Guards against starvation by urgent load beyond the capacity."""
    urgent = replace(URGENT, per_s=2.0 * CAPACITY_PER_S)
    bulk = replace(BULK, per_s=CAPACITY_PER_S, timeout_s=2.0)
    sends = Play((urgent, bulk)).run(RUN_S).sends_by_stream(from_s=1.0)
    assert sends["bulk"] >= 0.9 * LEAST_URGENT_SHARE * sends.total()
    assert sends["urgent"] >= 0.7 * sends.total()


def test_few_requests_of_the_least_urgent_rank_are_all_answered():
    """Guards against waits until the deadline for a load within the share."""
    urgent = replace(URGENT, per_s=2.0 * CAPACITY_PER_S)
    bulk = replace(BULK, per_s=0.05 * CAPACITY_PER_S, timeout_s=2.0)
    tally = Play((urgent, bulk)).run(RUN_S).tally_by_stream["bulk"]
    assert tally.in_target + tally.late >= 0.95 * tally.ended > 0


def test_ranks_between_do_not_starve():
    """Guards against shares of the sends for the two ends only."""
    streams = (
        replace(URGENT, per_s=2.0 * CAPACITY_PER_S),
        Stream("middle", 0.03 * CAPACITY_PER_S, 1, 0.25, 2.0),
        replace(BULK, per_s=CAPACITY_PER_S, timeout_s=2.0),
    )
    tally = Play(streams).run(2 * RUN_S).tally_by_stream["middle"]
    assert tally.in_target + tally.late >= 0.9 * tally.ended > 0


@pytest.mark.parametrize("entries", (1, 3))
def test_burst_of_a_customer_does_not_displace_others_of_its_rank(entries):
    """Guards against an order in which the greatest demand gets most."""
    streams = (
        Stream("steady", 0.2 * CAPACITY_PER_S, 1, 0.1, 0.5, "a"),
        Stream("burst", 3.0 * CAPACITY_PER_S, 1, 0.1, 0.5, "b", from_s=1.0),
    )
    tally = Play(streams, entries=entries).run(RUN_S).tally_by_stream
    assert tally["steady"].share >= 0.9
    assert tally["burst"].in_target >= 0.6 * CAPACITY_PER_S * (RUN_S - 1.0)


def test_customers_of_equal_demand_get_equal_shares():
    """Guards against an order by name or by the time of the first request."""
    streams = tuple(
        Stream(name, CAPACITY_PER_S, 1, 0.1, 0.5, name) for name in "abc"
    )
    tally = Play(streams).run(RUN_S).tally_by_stream
    answered = [tally[name].in_target for name in "abc"]
    assert max(answered) <= 1.1 * min(answered)


def test_refusals_are_immediate_and_true():
    """Guards against refusals at the deadline, or of what has been sent."""
    play = Play((URGENT, BULK)).run(RUN_S)
    sent_ids = {part.id for _, part in play.sent}
    assert play.refused and not sent_ids & {part.id for part in play.refused}
    tally = play.tally_by_stream["bulk"]
    # A few wait for a share of the sends that others use up.
    in_target = [t <= BULK.target_s for t in tally.refused_after_s]
    assert sum(in_target) >= 0.9 * tally.refused
    assert max(tally.refused_after_s) < BULK.timeout_s
    assert tally.failed == 0


class ReturningClients(Play):
    """Clients whose refused requests return once, at the time they are told.

    Attributes:
        returned: Ids of the parts of requests that have returned.
        returned_at: Times of their return, in seconds.
    """

    def __init__(self, *args, **settings):
        self.returned, self.returned_at = set(), []
        super().__init__(*args, **settings)

    def on_result(self, part, stream, result):
        refused = part in self.refused[-1:]
        if refused and part.id not in self.returned:
            self.after(
                result.retry_after_s,
                lambda: self.ask_again(stream, part.fingerprint),
            )

    def ask_again(self, stream, fingerprint):
        self.returned_at.append(self.now)
        part_id = f"returned-{len(self.returned)}"
        self.returned.add(part_id)
        self.ask(stream, fingerprint, part_id)


def test_returning_requests_are_refused_less_often_than_new_ones():
    """Guards against refusing the same client again and again."""
    bulk = replace(BULK, per_s=0.7 * CAPACITY_PER_S)
    play = ReturningClients((URGENT, bulk), entries=1).run(10.0)
    refused = [part.id for part in play.refused if part.route == "bulk"]
    refused_again = play.returned & set(refused)
    new = play.tally_by_stream["bulk"].arrived - len(play.returned)
    assert len(play.returned) > 100
    share_of_new = (len(refused) - len(refused_again)) / new
    assert len(refused_again) / len(play.returned) <= 0.5 * share_of_new


def test_refused_clients_return_at_the_rate_that_frees_up():
    """Guards against the return of all refused clients at the same time."""
    burst = replace(BULK, per_s=6 * CAPACITY_PER_S, from_s=1.0, until_s=1.5)
    play = ReturningClients((URGENT, burst), entries=1).run(10.0)
    returned_at = sorted(play.returned_at)
    assert len(returned_at) > 500
    most = max(
        sum(at <= other < at + 0.1 for other in returned_at)
        for at in returned_at
    )
    assert most <= 0.15 * CAPACITY_PER_S
