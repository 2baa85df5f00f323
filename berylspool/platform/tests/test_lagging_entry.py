"""An entry that is at work for longer than its upstreams take to answer."""

import asyncio

from berylspool.platform.tests.instant_upstreams import (
    InstantLoop,
    ask,
    start_entry,
)

SERVICES = 40
ENTRIES = 62
# For all parts, several times the target and each delay that follows from it.
STEP_S = 0.02


async def ask_lagging_entry(loop, opening_s, sending_s):
    """Return the connections and the copies that a request cost."""
    forwarder, router = await start_entry(loop, SERVICES, ENTRIES)
    if not opening_s:
        await ask(forwarder, "first")
    loop.costs.opening_s, loop.costs.sending_s = opening_s, sending_s
    opened, sent = loop.opened, loop.sent
    answer = await ask(forwarder, "second")
    router.cancel()
    assert answer.coverage.is_whole
    return loop.opened - opened, loop.sent - sent


def count_costs(opening_s=0.0, sending_s=0.0):
    with asyncio.Runner(loop_factory=InstantLoop) as runner:
        loop = runner.get_loop()
        return runner.run(ask_lagging_entry(loop, opening_s, sending_s))


def test_answers_that_wait_unread_are_not_hedged():
    assert count_costs(sending_s=STEP_S) == (0, SERVICES)


def test_connections_that_open_unnoticed_are_not_replaced():
    assert count_costs(opening_s=STEP_S) == (SERVICES, SERVICES)
