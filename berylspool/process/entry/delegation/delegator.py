"""The task that divides wide requests and sends slices to other entries."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from berylspool.common.event import Event, LinkChanged
from berylspool.common.frame import Codec
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics, increment_counter
from berylspool.common.request_event import HelperSuspended, SliceTakenBack
from berylspool.connection.message import (
    Member,
    RunSlice,
    SliceAccepted,
    SliceRefused,
    SliceResults,
)
from berylspool.connection.peer import Link
from berylspool.process.entry.delegation.division import (
    MIN_OTHER_ENTRIES,
    PARTS_PER_SLICE,
    choose_helpers,
    cut_services,
)
from berylspool.process.entry.delegation.slice_message import (
    Deliver,
    HelperAnswered,
    HelperLinked,
    HelperLost,
    LogSlice,
    PartDropped,
    PartsAssigned,
    RequestEnded,
    RunHere,
    SendToHelper,
    SliceAction,
    SliceEvent,
    SlicesDue,
)
from berylspool.process.entry.delegation.slice_state import (
    Slices,
    next_due_at,
)
from berylspool.process.entry.delegation.slices import step
from berylspool.request.part_message import (
    DiscardPart,
    Origin,
    RunParts,
    Subscribe,
    Unsubscribe,
    WithdrawUnsent,
)
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    PartRows,
    Reason,
)

__all__ = ["Delegator", "MembersChanged"]

# Turns of the event loop from a readable link to its message in the inbox.
READING_TURNS = 4


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The other entries of the zone have changed."""

    members: tuple[Member, ...]


DelegatorMessage = (
    Subscribe
    | Unsubscribe
    | RunParts
    | DiscardPart
    | WithdrawUnsent
    | MembersChanged
    | HelperAnswered
    | HelperLinked
    | HelperLost
)


class _SecondRunInbox(Mailbox[Any]):
    """Receives results of parts that may have run at a helper before.

    Args:
        inbox: Inbox of the request.
    """

    def __init__(self, inbox: Mailbox[Any]) -> None:
        super().__init__()
        self._inbox = inbox

    def put_all(self, messages: Iterable[Any]) -> None:
        """Pass results on, none of which says that the part has not run."""
        self._inbox.put_all([_after_helper(result) for result in messages])


def _after_helper(result: PartResult) -> PartResult:
    """Return a result that counts the copy of the helper."""
    match result:
        case PartRows():
            result.attempts += 1
            return result
        case PartRefused():
            return PartFailed(result.part_id, Reason.CONNECTION_LOST, 1)
        case PartFailed(reason=Reason.NO_OWNER | Reason.SHUTTING_DOWN):
            # The request would send it once more.
            return replace(result, reason=Reason.CONNECTION_LOST)
        case PartFailed():
            return replace(result, attempts=result.attempts + 1)


class Delegator:
    """Task that divides wide requests of this entry.

    It stands between a request and the router: parts of this entry's own
    slices go to the router, whose results return to the request directly.

    Args:
        name: Name of this entry.
        router: Inbox of the entry's router.
        clock: Returns the monotonic time in seconds.
        log: Called with each log event.
        metrics: Metrics of the process.
        codec: Codec of the links.
        ping_s: Time after which an idle link carries a `Ping`, in seconds.

    Attributes:
        inbox: Receives the messages of requests that are to be divided.
        linked: Names of the other entries of the zone whose link is open.
            An entry that leaves is none of them.
    """

    def __init__(
        self,
        name: str,
        router: Mailbox[Any],
        *,
        clock: Callable[[], float],
        log: Callable[[Event], None],
        metrics: Metrics,
        codec: Codec,
        ping_s: float,
    ) -> None:
        self.inbox: Mailbox[DelegatorMessage] = Mailbox()
        self.linked: frozenset[str] = frozenset()
        self._name = name
        self._router = router
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._ping_s = ping_s
        self._codec = codec
        self._slices = Slices()
        self._link_by_member: dict[Member, Link] = {}
        self._task_by_member: dict[Member, asyncio.Task[None]] = {}
        self._inbox_by_request: dict[str, Mailbox[Any]] = {}
        self._second_runs: set[str] = set()
        self._inbox_by_helper: dict[str, Mailbox[Any]] = {}
        self._helpers_by_count: dict[int, tuple[str, ...]] = {}
        self._members: frozenset[Member] = frozenset()
        # Those that have left the table, and still have a link.
        self._former_members: set[Member] = set()
        self._open_links: set[str] = set()

    @property
    def has_helpers(self) -> bool:
        """Whether enough other entries are linked to divide a request."""
        return len(self.linked) >= MIN_OTHER_ENTRIES

    async def run(self) -> None:
        """Serve the inbox until the task is cancelled."""
        try:
            while True:
                await self._run_due_slices()
                wait_s = max(next_due_at(self._slices) - self._clock(), 0.0)
                messages = await self.inbox.take(
                    wait_s if wait_s < float("inf") else None
                )
                self._handle_all(messages)
                self._close_unused_links()
        finally:
            for task in self._task_by_member.values():
                task.cancel()

    async def _run_due_slices(self) -> None:
        """Act on answers that are overdue, once what has arrived is read."""
        if next_due_at(self._slices) > self._clock():
            return
        for _ in range(READING_TURNS):
            await asyncio.sleep(0)
            self._handle_all(self.inbox.take_pending())
        self._step(SlicesDue())

    def _handle_all(self, messages: list[DelegatorMessage]) -> None:
        for message in messages:
            match message:
                case RunParts():
                    self._divide(message)
                case WithdrawUnsent():
                    # The router refuses it for parts that it does not have.
                    self._router.put(message)
                case DiscardPart(part_id=part_id, is_caller_gone=is_gone):
                    self._router.put(message)
                    self._step(PartDropped(part_id, is_gone))
                case Subscribe(request_id=request_id, inbox=inbox):
                    self._inbox_by_request[request_id] = inbox
                    self._router.put(message)
                case Unsubscribe(request_id=request_id):
                    self._end_request(request_id)
                case MembersChanged(members=members):
                    self._update_links(members)
                case HelperLinked(helper=helper):
                    self._open_links.add(helper)
                    self._update_linked()
                    self._step(message)
                case HelperLost(helper=helper):
                    self._open_links.discard(helper)
                    self._update_linked()
                    if helper in self._inbox_by_helper:
                        # What was put since must not be sent later.
                        self._inbox_by_helper[helper].clear()
                    self._step(message)
                case HelperAnswered():
                    self._step(message)

    def _divide(self, message: RunParts) -> None:
        origin, parts = message.origin, message.parts
        if len(parts) <= PARTS_PER_SLICE or not self.has_helpers:
            self._router.put(message)
            return
        cut = cut_services(tuple([part.service for part in parts]))
        own_parts: list[Part] = []
        for helper, positions in zip(
            self._choose_helpers(len(cut)), cut, strict=True
        ):
            slice_parts = [parts[position] for position in positions]
            if helper == self._name:
                own_parts += slice_parts
            else:
                self._step(PartsAssigned(helper, slice_parts))
        if own_parts:
            self._router.put(RunParts(origin, own_parts))

    def _choose_helpers(self, count: int) -> tuple[str, ...]:
        helpers = self._helpers_by_count.get(count)
        if helpers is None:
            helpers = choose_helpers(count, {self._name, *self.linked})
            self._helpers_by_count[count] = helpers
        return helpers

    def _end_request(self, request_id: str) -> None:
        self._step(RequestEnded(request_id))
        self._inbox_by_request.pop(request_id, None)
        self._router.put(Unsubscribe(request_id))
        if request_id in self._second_runs:
            self._second_runs.discard(request_id)
            self._router.put(Unsubscribe(_second_run_id(request_id)))

    def _step(self, event: SliceEvent) -> None:
        for action in step(self._slices, event, self._clock()):
            self._perform(action)

    def _perform(self, action: SliceAction) -> None:
        match action:
            case SendToHelper(helper=helper, message=message):
                inbox = self._inbox_by_helper.get(helper)
                if inbox is not None:
                    inbox.put(message)
                if isinstance(message, RunSlice):
                    self._count("berylspool_slices_sent_total", "sent")
            case Deliver(request_id=request_id, results=results):
                request_inbox = self._inbox_by_request.get(request_id)
                if request_inbox is not None:
                    request_inbox.put_all(results)
            case RunHere():
                self._run_here(action)
            case LogSlice(event=event):
                self._record(event)

    def _run_here(self, action: RunHere) -> None:
        request_id = action.request_id
        inbox = self._inbox_by_request.get(request_id)
        if inbox is None:
            return
        if not action.may_have_run:
            self._router.put(RunParts(Origin(request_id), action.parts))
            return
        origin = Origin(_second_run_id(request_id))
        if request_id not in self._second_runs:
            self._second_runs.add(request_id)
            self._router.put(Subscribe(origin.id, _SecondRunInbox(inbox)))
        self._router.put(RunParts(origin, action.parts))

    def _record(self, event: SliceTakenBack | HelperSuspended) -> None:
        self._log(event)
        if isinstance(event, SliceTakenBack):
            self._count("berylspool_slices_taken_back_total", event.cause)

    def _count(self, name: str, outcome: str) -> None:
        increment_counter(self._metrics, name, outcome=outcome)

    def _update_links(self, members: tuple[Member, ...]) -> None:
        """Open links to new members, and use those of former ones no more.

        An entry that leaves finishes the slices that it has accepted, so its
        link stays open until they have ended.
        """
        self._members = frozenset(members)
        self._former_members = self._link_by_member.keys() - self._members
        self._close_unused_links()
        for member in members:
            if member not in self._link_by_member:
                self._close_links_to(member.name)
                self._open_link(member)
        self._update_linked()

    def _close_unused_links(self) -> None:
        if not self._former_members:
            return
        used = {slice.helper for slice in self._slices.slice_by_id.values()}
        for member in list(self._former_members):
            if member.name not in used:
                self._close_links_to(member.name)

    def _close_links_to(self, name: str) -> None:
        """Close the link to an entry, at whichever address."""
        for member in [m for m in self._link_by_member if m.name == name]:
            del self._link_by_member[member]
            self._former_members.discard(member)
            self._task_by_member.pop(member).cancel()
            del self._inbox_by_helper[name]
            self._open_links.discard(name)
            self._update_linked()
            self._step(HelperLost(name))
            self._slices.health_by_helper.pop(name, None)

    def _open_link(self, member: Member) -> None:
        name = member.name
        link = Link(
            self._name,
            member.host,
            member.port,
            self._codec,
            sink=lambda message: self._handle_reply(name, message),
            on_open=lambda: self.inbox.put(HelperLinked(name)),
            on_close=lambda: self.inbox.put(HelperLost(name)),
            ping_s=self._ping_s,
        )
        self._link_by_member[member] = link
        self._inbox_by_helper[name] = link.inbox
        self._task_by_member[member] = asyncio.ensure_future(link.run())

    def _handle_reply(self, helper: str, message: Any) -> None:
        match message:
            case SliceAccepted() | SliceRefused() | SliceResults():
                self.inbox.put(HelperAnswered(helper, message))

    def _update_linked(self) -> None:
        """Update the entries that may run slices."""
        names = {member.name for member in self._members}
        linked = frozenset(
            self._open_links & names & set(self._inbox_by_helper)
        )
        for name in linked ^ self.linked:
            self._log(LinkChanged(name, "up" if name in linked else "down"))
        if linked != self.linked:
            self.linked = linked
            self._helpers_by_count.clear()


def _second_run_id(request_id: str) -> str:
    """Return the origin of parts that may have run at a helper before."""
    return f"{request_id}/second run"
