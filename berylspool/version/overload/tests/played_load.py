"""Plays loads on pools that share played upstreams, without a network."""

import heapq
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from berylspool.request.query import (
    Forward,
    Part,
    PartRefused,
    PartRows,
    Reason,
    Snapshot,
)
from berylspool.version.configuration import Limits, Upstream
from berylspool.version.pool.admission import step
from berylspool.version.pool.message import (
    AttemptAnswered,
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    Log,
    NotRunReply,
    OpenConnection,
    PartArrived,
    PoolReconfigured,
    ReportedLoad,
    RowsReply,
    SendAttempt,
    SendResult,
    Tick,
)
from berylspool.version.pool.state import Pool, PoolTuning
from berylspool.version.pool.timing import max_wait_s
from berylspool.version.upstream.balancing import LeastLoaded

SNAPSHOT = Snapshot("", 1)
SLOTS = 2
QUEUE_LIMIT = 12
WORK_S = 0.01
OPENING_S = 0.006
UPSTREAMS = tuple(
    Upstream(f"u{number}", "10.0.0.1", 1, "z0", "") for number in range(3)
)
TUNING = PoolTuning(
    LeastLoaded("z0", 0.9),
    extra_ratio=0.18,
    silent_s=None,
    opens_on_demand=True,
    isolates_suspects=False,
    charges_refusals=True,
    initial_tokens=1.0,
)
# Requests per second that the three upstreams serve at their usual pace.
CAPACITY_PER_S = len(UPSTREAMS) * SLOTS / WORK_S


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind.

    Attributes:
        name: Name of the kind, which is also its route.
        per_s: Requests per second at all entries together.
        rank: Their priority.
        target_s: Their target latency, in seconds.
        timeout_s: Their time-out, in seconds.
        customer: Their customer.
        from_s: Time of the first one, in seconds.
        until_s: End of the stream, in seconds.
    """

    name: str
    per_s: float
    rank: int = 0
    target_s: float = 0.1
    timeout_s: float = 1.0
    customer: str = ""
    from_s: float = 0.0
    until_s: float = 1e9


def make_forward(stream):
    return Forward(
        "GET",
        "/",
        (),
        b"",
        attempts=2,
        hedge_after_s=0.5 * stream.target_s,
        rank=stream.rank,
        grace_s=stream.timeout_s - stream.target_s,
        customer=stream.customer,
    )


def make_load(running, waiting, pace):
    return ReportedLoad(running, waiting, SLOTS, pace, has_pace=True)


@dataclass
class Tally:
    """What became of the requests of one stream."""

    arrived: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    retry_after_s: list = field(default_factory=list)
    refused_after_s: list = field(default_factory=list)

    @property
    def ended(self):
        """Number of requests that have a result."""
        return self.in_target + self.late + self.refused + self.failed

    @property
    def share(self):
        """Share of the requests that were answered within the target."""
        return self.in_target / self.arrived


class PlayedUpstream:
    """Two slots and a queue, in the order of arrival."""

    def __init__(self, play, id, pace):
        self.play, self.id, self.pace = play, id, pace
        self.running, self.waiting = 0, deque()

    def arrive(self, reply):
        if self.running < SLOTS:
            self.run(reply)
        elif len(self.waiting) < QUEUE_LIMIT:
            self.waiting.append(reply)
        else:
            refusal = NotRunReply(Reason.OVERLOAD)
            self.play.after(0.0, lambda: reply(refusal, self.load()))

    def run(self, reply):
        self.running += 1
        work_s = WORK_S * self.pace * self.play.random.uniform(0.7, 1.3)
        self.play.after(work_s, lambda: self.end(reply))

    def end(self, reply):
        self.running -= 1
        if self.waiting:
            self.run(self.waiting.popleft())
        reply(RowsReply(SNAPSHOT, (), "s"), self.load())

    def load(self):
        return make_load(self.running, len(self.waiting), self.pace)


class PlayedPool:
    """One entry's pool of the service."""

    def __init__(self, play, name, tuning):
        self.play, self.name = play, name
        self.pool = Pool("s", "", tuning)
        self.wake_at = float("inf")
        limits = Limits(
            slots=SLOTS,
            connections=8,
            cold_slots=SLOTS,
            ramp_s=0.0,
            extra_copies=20.0,
        )
        self.feed(PoolReconfigured(UPSTREAMS, limits))

    def feed(self, event):
        play = self.play
        for action in step(self.pool, event, play.now):
            match action:
                case OpenConnection(connection_id=id, upstream=upstream):
                    opened = ConnectionOpened(id, upstream.id, upstream.id)
                    play.after(OPENING_S, lambda event=opened: self.feed(event))
                case CloseConnection(connection_id=id):
                    for view in self.pool.view_by_upstream.values():
                        if id in view.connection_by_id:
                            closed = ConnectionClosed(
                                id, view.upstream.id, True
                            )
                            play.after(0.0, lambda e=closed: self.feed(e))
                case SendAttempt():
                    self.send(action)
                case SendResult(result=result):
                    play.record(result)
                case Log(event=event):
                    play.logged.append(event)
        wake_at = play.now + max(max_wait_s(self.pool, play.now), 0.0001)
        if wake_at < self.wake_at or self.wake_at <= play.now:
            self.wake_at = wake_at
            play.after(wake_at - play.now, lambda: self.wake(wake_at))

    def wake(self, wake_at):
        if wake_at == self.wake_at:
            self.wake_at = float("inf")
            self.feed(Tick())

    def send(self, action):
        self.play.sent.append((self.play.now, action.part))
        attempt = self.pool.attempt_by_id[action.attempt_id]
        id = attempt.upstream_id

        def reply(reply, load):
            answered = AttemptAnswered(
                action.connection_id, action.attempt_id, id, reply, load
            )
            self.feed(answered)

        self.play.upstream_by_id[id].arrive(reply)


class Play:
    """One run of a load.

    Attributes:
        tally_by_stream: What became of the requests, by stream.
        sent: Time and part of each copy sent.
        refused: Parts that were refused.
        logged: Log events of the pools.
    """

    def __init__(
        self, streams, seed=0, entries=3, paces=(1.0, 1.0, 1.0), tuning=TUNING
    ):
        self.now = 0.0
        self.random = random.Random(seed)
        self.serial = itertools.count()
        self.events = []
        self.sent = []
        self.refused = []
        self.logged = []
        self.tally_by_stream = {stream.name: Tally() for stream in streams}
        self.part_by_id = {}
        self.upstream_by_id = {
            upstream.id: PlayedUpstream(self, upstream.id, pace)
            for upstream, pace in zip(UPSTREAMS, paces, strict=True)
        }
        self.pools = [
            PlayedPool(self, f"e{number}", tuning) for number in range(entries)
        ]
        self.has_result = set()
        for stream in streams:
            self.plan_next(stream, stream.from_s)

    def after(self, delay_s, call):
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.serial), call)
        )

    def plan_next(self, stream, from_s):
        at = from_s + self.random.expovariate(stream.per_s)
        if at < stream.until_s:
            self.after(at - self.now, lambda: self.arrive(stream))

    def arrive(self, stream):
        self.plan_next(stream, self.now)
        self.ask(stream, f"f{next(self.serial)}")

    def ask(self, stream, fingerprint, id=None):
        """Let a request of a stream arrive at one of the entries."""
        part = Part(
            id=id or f"p{next(self.serial)}",
            request_id="r",
            service="s",
            shard=0,
            snapshot=SNAPSHOT,
            body="",
            timeout_s=stream.timeout_s,
            fingerprint=fingerprint,
            idempotent=True,
            route=stream.name,
            forward=make_forward(stream),
        )
        self.part_by_id[part.id] = (self.now, stream, part)
        self.tally_by_stream[stream.name].arrived += 1
        self.random.choice(self.pools).feed(PartArrived(part))
        return part

    def record(self, result):
        arrived_at, stream, part = self.part_by_id[result.part_id]
        tally = self.tally_by_stream[stream.name]
        elapsed_s = self.now - arrived_at
        match result:
            case PartRows() if elapsed_s <= stream.target_s:
                tally.in_target += 1
            case PartRows():
                tally.late += 1
            case PartRefused(retry_after_s=retry_after_s):
                tally.refused += 1
                self.refused.append(part)
                tally.refused_after_s.append(elapsed_s)
                tally.retry_after_s.append(retry_after_s)
            case _:
                tally.failed += 1
        self.on_result(part, stream, result)

    def on_result(self, part, stream, result):
        """Let clients react; by default they do nothing."""

    def run(self, until_s):
        while self.events and self.events[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self

    def sends_by_stream(self, from_s=0.0):
        return Counter(part.route for at, part in self.sent if at >= from_s)
