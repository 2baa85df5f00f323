"""Wide requests that are refused before their first part."""

import asyncio

from berylspool.common.mailbox import Mailbox
from berylspool.platform.ingress import encode_outcome
from berylspool.platform.tests.instant_upstreams import (
    InstantLoop,
    ask,
    start_entry,
)
from berylspool.request.fanout import PinnedMap
from berylspool.request.part_message import RequestTurnedAway, RunParts
from berylspool.request.query import (
    Forward,
    Query,
    Reason,
    Refusal,
    Snapshot,
    TopRecords,
)
from berylspool.request.request_task import RequestTask
from berylspool.version.pool import pool_set


def run_until_turned_away():
    """Return the outcome of a request whose parts are not run."""
    router = Mailbox()
    query = Query(
        "q",
        "route",
        "",
        10.0,
        "f",
        min_coverage=0.85,
        forward=Forward("GET", "/", (), b"", is_part=True),
        merge=TopRecords(3),
    )
    task = RequestTask(query, router, lambda: 0.0)
    pinned = PinnedMap(Snapshot("", 1), ("a", "b"))

    async def run():
        running = asyncio.ensure_future(task.run(pinned))
        await asyncio.sleep(0)
        sent = [m for m in router.take_pending() if isinstance(m, RunParts)]
        task.inbox.put(RequestTurnedAway(Reason.OVERLOAD, 0.7))
        return sent, await running

    return asyncio.run(run())


def test_request_that_is_turned_away_is_refused_as_not_run():
    """Guards against 502 for a request of which nothing was sent."""
    [sent], outcome = run_until_turned_away()
    assert sent.min_coverage == 0.85 and len(sent.parts) == 2
    assert outcome == Refusal("q", Reason.OVERLOAD, True, 0.7)
    response = encode_outcome(outcome)
    assert response.status == 503
    assert dict(response.headers)["Retry-After"] == "0.700"


def test_entry_sends_nothing_of_a_request_that_is_turned_away(monkeypatch):
    """Guards against a check that is made once parts have been sent."""
    asked = []

    def refuse(strained, part_count, min_coverage, now):
        asked.append((part_count, min_coverage))
        return RequestTurnedAway(Reason.OVERLOAD, 0.3)

    async def play(loop):
        forwarder, router = await start_entry(loop, 5, 3)
        answer = await ask(forwarder, "r1")
        assert answer.coverage.is_whole
        sent = loop.sent
        monkeypatch.setattr(pool_set, "turn_away", refuse)
        forwarder.router._pools._strained_keys.add(("s1", ""))
        outcome = await ask(forwarder, "r2")
        router.cancel()
        return loop.sent - sent, outcome

    with asyncio.Runner(loop_factory=InstantLoop) as runner:
        sent, outcome = runner.run(play(runner.get_loop()))
    assert sent == 0 and asked == [(5, 1.0)]
    assert isinstance(outcome, Refusal) and outcome.not_run
    assert outcome.retry_after_s == 0.3
