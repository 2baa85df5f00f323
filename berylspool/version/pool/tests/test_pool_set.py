"""Pools that one task runs: wake-ups, ends and successors of a pool."""

import asyncio

from berylspool.common.mailbox import Mailbox
from berylspool.request.query import Reason
from berylspool.version.configuration import Limits
from berylspool.version.pool.message import (
    CloseRequested,
    ConnectionOpened,
    PartArrived,
    PoolMessage,
    PoolReconfigured,
)
from berylspool.version.pool.pool_set import PoolListener, PoolSet
from berylspool.version.pool.tests.test_shared_upstreams import (
    FAR,
    NEAR,
    TUNING,
    make_part,
)

KEY = ("s", "")
LIMITS = Limits(slots=3, connections=8, cold_slots=3, ramp_s=0.0)


class FakeConnection:
    """A connection that opens at once and keeps what it is told."""

    def __init__(self, connection_id, upstream, pool):
        self.inbox = Mailbox()
        self.upstream = upstream
        self.opened = ConnectionOpened(connection_id, upstream.id, upstream.id)
        self.pool = pool

    async def run(self):
        self.pool.put(self.opened)
        await asyncio.Event().wait()


class FakeTransport:
    def __init__(self):
        self.connections = []

    def create_connection(self, connection_id, upstream, pool):
        connection = FakeConnection(connection_id, upstream, pool)
        self.connections.append(connection)
        return connection

    def create_health_watch(self, upstream, pool):
        return None

    def cancel(self, action, connection, watch):
        pass


class Driver:
    """Runs a pool set as the router does, at a time that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.inbox = Mailbox()
        self.results, self.drained = [], []
        self.transport = FakeTransport()
        self.pools = PoolSet(
            TUNING,
            inbox=self.inbox,
            listener=PoolListener(
                on_result=self.results.append,
                on_verdict=lambda blame: None,
                on_borrow=lambda key, copies: None,
                on_drained=self.drained.append,
                on_observed=lambda reply: None,
                on_upstream=lambda observed: None,
                log=lambda event: None,
            ),
            clock=lambda: self.now,
            transport=self.transport,
        )
        self.pools.add(KEY)
        self.pools.handle(KEY, PoolReconfigured((NEAR, FAR), LIMITS))

    async def run_until(self, now):
        self.now = now
        await asyncio.sleep(0.01)
        for message in self.inbox.take_pending():
            self.pools.receive(message)
        return self.pools.run_due_pools()

    def sent_count(self):
        return sum(len(c.inbox) for c in self.transport.connections)


def test_hedge_is_sent_at_its_time_without_an_event():
    async def run():
        driver = Driver()
        await driver.run_until(0.0)
        driver.pools.handle(KEY, PartArrived(make_part(1, hedge_after_s=0.05)))
        wait_s = await driver.run_until(0.01)
        count_before = driver.sent_count()
        await driver.run_until(0.01 + wait_s)
        return wait_s, count_before, driver.sent_count()

    wait_s, count_before, count_after = asyncio.run(run())
    assert wait_s <= 0.05
    assert (count_before, count_after) == (1, 2)


def test_pool_without_events_waits_for_seconds():
    async def run():
        driver = Driver()
        await driver.run_until(0.0)
        return await driver.run_until(20.0)

    assert asyncio.run(run()) >= 1.0


def test_closing_pool_is_reported_as_drained_once():
    async def run():
        driver = Driver()
        driver.pools.handle(KEY, CloseRequested())
        for now in (0.1, 0.2, 10.0):
            await driver.run_until(now)
        return driver.drained

    assert asyncio.run(run()) == [KEY]


def test_event_of_a_removed_pool_does_not_reach_its_successor():
    async def run():
        driver = Driver()
        await driver.run_until(0.0)
        stale = [
            PoolMessage(KEY, 1, connection.opened)
            for connection in driver.transport.connections
        ]
        driver.pools.remove(KEY)
        driver.pools.add(KEY)
        driver.pools.handle(KEY, PoolReconfigured((), LIMITS))
        for message in stale:
            driver.pools.receive(message)
        driver.pools.handle(KEY, PartArrived(make_part(1)))
        return driver.results

    [result] = asyncio.run(run())
    assert result.reason is Reason.NO_UPSTREAM
