"""Simulation of one entry, its helpers and their links, without sockets.

Helpers may freeze, lag, stop and die, and links lose their messages; the
decisions on slices are the real ones.
"""

import heapq
import itertools
import random

from berylspool.connection.message import (
    RunSlice,
    SliceAccepted,
    SliceDropped,
    SliceProbe,
    SliceRefused,
    SliceResults,
)
from berylspool.process.entry.delegation.slice_message import (
    Deliver,
    HelperAnswered,
    HelperLinked,
    HelperLost,
    PartDropped,
    PartsAssigned,
    RequestEnded,
    RunHere,
    SendToHelper,
    SlicesDue,
)
from berylspool.process.entry.delegation.slice_state import (
    Slices,
    next_due_at,
)
from berylspool.process.entry.delegation.slices import step
from berylspool.request.query import (
    Forward,
    Part,
    PartRefused,
    Reason,
    Snapshot,
)

TARGET_S = 0.1
HEDGE_S = 0.036
TIMEOUT_S = 0.5
MAX_ATTEMPTS = 2
LINK_S = 0.0003
FORWARD = Forward(
    "GET",
    "/w/1",
    (),
    b"",
    is_part=True,
    attempts=MAX_ATTEMPTS,
    hedge_after_s=HEDGE_S,
    target_latency_s=TARGET_S,
)


def make_parts(count, request_id="r"):
    return [
        Part(
            id=f"{request_id}/{index}",
            request_id=request_id,
            service=f"s{index}",
            shard=index,
            snapshot=Snapshot("v1", 1),
            body="",
            timeout_s=TIMEOUT_S,
            fingerprint="f",
            idempotent=True,
            route="wide",
            forward=FORWARD,
        )
        for index in range(count)
    ]


class Helper:
    """A helper whose parts have a first copy and a hedge."""

    def __init__(self, machine, name):
        self.machine, self.name = machine, name
        self.is_linked = True
        self.frozen_until = 0.0
        self.has_fault = False
        self.lag_s = 0.0
        self.unread = []
        self.pending_by_slice = {}

    def receive(self, message, link):
        if not self.is_linked or link != self.machine.link_number[self.name]:
            return
        if self.machine.now < self.frozen_until:
            self.unread.append(message)
            return
        self.handle(message, is_old=False)

    def wake_up(self):
        """Read what has arrived before any timer acts."""
        if self.machine.now < self.frozen_until:
            return
        unread, self.unread = self.unread, []
        for message in unread:
            self.handle(message, is_old=True)

    def handle(self, message, is_old):
        machine = self.machine
        match message:
            case RunSlice(id=id) if is_old or machine.random.random() < 0.1:
                self.answer(SliceRefused(id))
            case RunSlice(id=id, parts=parts, attempts=attempts):
                self.answer(SliceAccepted(id))
                self.pending_by_slice[id] = set(range(len(parts)))
                for index, (service, _, _) in enumerate(parts):
                    self.send_copy(id, index, service, attempts)
                machine.at(TIMEOUT_S, lambda: self.time_out(id))
            case SliceProbe(id=id):
                running = id in self.pending_by_slice
                self.answer(SliceAccepted(id) if running else SliceRefused(id))
            case SliceDropped(id=id):
                self.pending_by_slice.pop(id, None)

    def send_copy(self, id, index, service, attempts):
        machine = self.machine
        machine.copies_by_service[service] += 1
        took_s = machine.random.choice((0.005, 0.02, 0.05, 0.2, 9.0))
        machine.at(took_s, lambda: self.finish(id, index, service))
        if attempts > 1:
            machine.at(
                HEDGE_S, lambda: self.hedge(id, index, service, attempts - 1)
            )

    def hedge(self, id, index, service, attempts):
        def act():
            if index in self.pending_by_slice.get(id, ()):
                self.send_copy(id, index, service, attempts)

        self.when_awake(act)

    def finish(self, id, index, service):
        def act():
            pending = self.pending_by_slice.get(id, set())
            if index not in pending:
                return
            pending.discard(index)
            copies = self.machine.copies_by_service[service]
            kind = self.machine.random.random()
            if kind < 0.8:
                self.answer(SliceResults(id, rows=((index, copies, "", b""),)))
            elif kind < 0.9:
                reason = self.machine.random.choice(("timeout", "no_owner"))
                failed = ((index, reason, copies),)
                self.answer(SliceResults(id, failed=failed))
            else:
                # Refused by its pool: the copy has not run.
                self.machine.copies_by_service[service] = 0
                reason = self.machine.random.choice(("overload", "no_upstream"))
                refused = ((index, reason, 0.1),)
                self.answer(SliceResults(id, refused=refused))

        self.when_awake(act)

    def time_out(self, id):
        def act():
            pending = self.pending_by_slice.pop(id, set())
            failed = tuple((index, "timeout", 1) for index in pending)
            if failed:
                self.answer(SliceResults(id, failed=failed))

        self.when_awake(act)

    def when_awake(self, act):
        """Act now, or once awake, after what has arrived was read."""
        wait_s = self.frozen_until - self.machine.now
        if wait_s > 0:
            self.machine.at(wait_s + 1e-6, lambda: self.when_awake(act))
        else:
            act()

    def answer(self, message):
        machine = self.machine
        link = machine.link_number[self.name]
        machine.at(
            LINK_S + self.lag_s,
            lambda: machine.receive(self.name, message, link),
        )


class SliceMachine:
    """Runs one request in slices under random faults.

    Attributes:
        results_by_part: Results that the request has got, by part id.
        copies_by_service: Upstreams that got the part, by service.
        given_up: Services of which an extra copy was sent here.
        is_dropped: Whether the request has dropped its parts.
    """

    def __init__(self, seed, faults=True):
        self.random = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.serial = itertools.count()
        self.slices = Slices()
        self.parts = make_parts(12)
        self.results_by_part = {part.id: [] for part in self.parts}
        self.copies_by_service = {part.service: 0 for part in self.parts}
        self.given_up = set()
        self.is_dropped = False
        self.helpers = {name: Helper(self, name) for name in ("h1", "h2")}
        self.link_number = dict.fromkeys(self.helpers, 0)
        for name in self.helpers:
            self.step(HelperLinked(name))
        if faults:
            for _ in range(self.random.randrange(4)):
                # Half of them strike before the helper has accepted.
                at = self.random.choice((0.0, self.random.uniform(0.0, 0.12)))
                self.at(at, self.cause_fault)

    def at(self, delay_s, act):
        item = (self.now + delay_s, next(self.serial), act)
        heapq.heappush(self.events, item)

    def cause_fault(self):
        name = self.random.choice(list(self.helpers))
        helper = self.helpers[name]
        helper.has_fault = True
        match self.random.randrange(4):
            case 0:
                pause_s = self.random.choice((0.005, 0.03, 0.3))
                ends_at = max(helper.frozen_until, self.now + pause_s)
                helper.frozen_until = ends_at
                self.at(ends_at - self.now, helper.wake_up)
            case 1:
                helper.lag_s = self.random.choice((0.005, 0.02, 0.2))
            case 2:
                self.lose_link(name)
            case 3 if self.random.random() < 0.3:
                self.is_dropped = True
                is_gone = self.random.random() < 0.5
                for part in self.parts:
                    self.step(PartDropped(part.id, is_gone))
                self.step(RequestEnded("r"))

    def lose_link(self, name):
        self.link_number[name] += 1
        helper = self.helpers[name]
        helper.pending_by_slice.clear()
        helper.unread.clear()
        self.step(HelperLost(name))
        self.step(HelperLinked(name))

    def receive(self, name, message, link):
        if link == self.link_number[name]:
            self.step(HelperAnswered(name, message))

    def step(self, event):
        for action in step(self.slices, event, self.now):
            self.perform(action)

    def perform(self, action):
        match action:
            case SendToHelper(helper=name, message=message):
                helper, link = self.helpers[name], self.link_number[name]
                self.at(LINK_S, lambda: helper.receive(message, link))
            case Deliver(results=results):
                for result in results:
                    self.results_by_part[result.part_id].append(result)
            case RunHere(parts=parts, may_have_run=may_have_run):
                for part in parts:
                    self.run_here(part, may_have_run)

    def run_here(self, part, may_have_run):
        if not may_have_run:
            assert self.copies_by_service[part.service] == 0
        if part.is_extra:
            self.given_up.add(part.service)
        self.copies_by_service[part.service] += part.forward.attempts
        result = PartRefused(part.id, Reason.OVERLOAD, 0.1)
        self.at(0.02, lambda: self.results_by_part[part.id].append(result))

    def max_copies(self, part):
        """Return how many upstreams may get a part."""
        index = self.parts.index(part)
        helper = self.helpers["h1" if index < len(self.parts) // 2 else "h2"]
        # Copies that were in flight at a helper that froze or was lost are
        # beyond control.
        is_lost = helper.has_fault and part.service in self.given_up
        return MAX_ATTEMPTS + is_lost

    def run(self):
        """Run the request until nothing happens any more."""
        self.step(PartsAssigned("h1", self.parts[:6]))
        self.step(PartsAssigned("h2", self.parts[6:]))
        while self.now < 2 * TIMEOUT_S:
            due_at = next_due_at(self.slices)
            event_at = self.events[0][0] if self.events else float("inf")
            if min(due_at, event_at) == float("inf"):
                break
            if due_at < event_at:
                self.now = due_at
                self.step(SlicesDue())
                continue
            self.now, _, act = heapq.heappop(self.events)
            act()
