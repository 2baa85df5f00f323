"""The router task, which owns the routing state, the pools and the links."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from berylspool.common.event import (
    Event,
    LinkChanged,
    MembersChanged,
    ServicePlaced,
)
from berylspool.common.mailbox import Mailbox
from berylspool.common.published_value import PublishedValue
from berylspool.connection.control_message import ExtraCopies
from berylspool.connection.message import (
    AskPart,
    DropPart,
    Member,
    make_peer_codec,
)
from berylspool.connection.peer import Link, LinkServer, Session
from berylspool.connection.upstream import NativeTransport
from berylspool.exception import ProtocolError
from berylspool.process.entry.routing import RoutingState, step
from berylspool.process.entry.routing_message import (
    BlameRaised,
    BlameReceived,
    HeldPartsRetryDue,
    LinkDown,
    LinkUp,
    LoanReceived,
    PoolDrained,
    ReportTableDrained,
    ResultReceived,
    ResultsReceived,
    RoutingAction,
    RoutingEvent,
    SendAllToOrigin,
    SendToAllPeers,
    SendToOrigin,
    SendToPeer,
    SendToPool,
    SessionClosed,
    StartPool,
    StopPool,
    TableChanged,
    UpstreamsListed,
)
from berylspool.request.part_message import (
    DiscardPart,
    Origin,
    RunPart,
    RunParts,
    Subscribe,
    Unsubscribe,
)
from berylspool.request.query import (
    PartFailed,
    PartRefused,
    PartResult,
    PartRows,
)
from berylspool.version.pool.message import (
    Blame,
    ObservedReply,
    PoolKey,
    PoolMessage,
)
from berylspool.version.pool.pool_set import PoolListener, PoolSet
from berylspool.version.pool.state import PoolTuning
from berylspool.version.pool.transport import Transport
from berylspool.version.upstream.slow_upstreams import (
    SlownessJudged,
    SlownessJudgement,
    SlownessObserved,
)

__all__ = ["Router"]

HELD_PARTS_RETRY_INTERVAL_S = 0.02
# Turns of the event loop from a handshake to the message that tells of it.
READING_TURNS = 4
MESSAGES_PER_TURN = 16


RouterMessage = (
    RoutingEvent
    | PoolMessage
    | Subscribe
    | Unsubscribe
    | UpstreamsListed
    | SlownessJudged
)


class Router:
    """Task that owns the routing of an entry.

    Args:
        routing: Routing state.
        tuning: Settings that apply to all pools.
        log: Called with each log event.
        clock: Returns the monotonic time in seconds.
        on_table_drained: Called with the epoch of a proposed member table once
            the pools of the services that it moves have drained.
        on_reply: Called with each reply of an upstream, for the metrics and
            the statistics by version.
        on_borrow: Called with the key of a pool and the number of extra copies
            that it asks control for.
        on_upstream: Called with what is worth telling the other entries of an
            upstream.
        transport: Protocol spoken to upstreams; the project's own if None.

    Attributes:
        inbox: Receives routing events, and the subscriptions of requests.
        routing: Routing state.
        member_table: Active member table.
        peer_server: Accepts the links of peers, which request parts.
    """

    def __init__(
        self,
        routing: RoutingState,
        tuning: PoolTuning,
        *,
        log: Callable[[Event], None],
        clock: Callable[[], float],
        on_table_drained: Callable[[int], None] = lambda epoch: None,
        on_reply: Callable[[ObservedReply], None] = lambda reply: None,
        on_borrow: Callable[[PoolKey, int], None] = lambda key, copies: None,
        on_upstream: Callable[[SlownessObserved], None] = lambda observed: None,
        transport: Transport | None = None,
    ) -> None:
        self.inbox: Mailbox[RouterMessage] = Mailbox()
        self.routing = routing
        self.member_table = PublishedValue(routing.active_table)
        self.peer_server = LinkServer(
            make_peer_codec(),
            sink=self._handle_peer_request,
            on_session_end=self._handle_session_end,
        )
        self._log = log
        self._clock = clock
        self._on_table_drained = on_table_drained
        self._pools = PoolSet(
            tuning,
            inbox=self.inbox,
            listener=PoolListener(
                on_result=lambda result: self._results.append(result),
                on_verdict=lambda blame: self.inbox.put(BlameRaised(blame)),
                on_borrow=on_borrow,
                on_drained=lambda key: self.inbox.put(PoolDrained(key)),
                on_observed=on_reply,
                on_upstream=on_upstream,
                log=log,
            ),
            clock=clock,
            transport=transport or NativeTransport(),
        )
        self._link_by_member: dict[str, Link] = {}
        self._link_task_by_member: dict[str, asyncio.Task[None]] = {}
        self._inbox_by_request: dict[str, Mailbox[Any]] = {}
        # Results of this turn, which are passed on together at its end.
        self._results: list[PartResult] = []

    async def run(self) -> None:
        """Serve the inbox until the task is cancelled."""
        try:
            while True:
                if self._pools.next_wake_at() <= self._clock():
                    await self._handle_unread()
                wait_s = self._pools.run_due_pools()
                self._return_results()
                has_held_parts = bool(self.routing.held_part_ids)
                if has_held_parts:
                    wait_s = (
                        HELD_PARTS_RETRY_INTERVAL_S
                        if wait_s is None
                        else min(wait_s, HELD_PARTS_RETRY_INTERVAL_S)
                    )
                messages = await self.inbox.take(wait_s)
                await self._handle_in_turns(messages)
                if has_held_parts and not messages:
                    self._handle(HeldPartsRetryDue())
        finally:
            self._pools.stop()
            for task in self._link_task_by_member.values():
                task.cancel()

    async def _handle_in_turns(self, messages: list[RouterMessage]) -> None:
        """Handle messages; return results each time a few are handled.

        A request that has enough of them answers its caller before the rest.
        """
        for start in range(0, len(messages), MESSAGES_PER_TURN):
            if start:
                await asyncio.sleep(0)
            for message in messages[start : start + MESSAGES_PER_TURN]:
                self._handle(message)
            self._return_results()

    async def _handle_unread(self) -> None:
        """Handle what has arrived while this process was at work.

        Timers that are late for that reason would act on what was not read yet:
        they would hedge answers and replace connections that are open.
        """
        for _ in range(READING_TURNS):
            await asyncio.sleep(0)
            await self._handle_in_turns(self.inbox.take_pending())

    def receive_loans(self, lent: tuple[ExtraCopies, ...]) -> None:
        """Queue the copies that control has lent to pools of this process."""
        for loan in lent:
            key = (loan.service, loan.version)
            self.inbox.put(LoanReceived(key, loan.copies))

    def receive_judgements(self, judged: tuple[SlownessJudgement, ...]) -> None:
        """Queue what all entries together have found of upstreams.

        Entries try a slow upstream again at different times, so that the first
        one can tell the others whether it is still slow.
        """
        now = self._clock()
        for judgement in judged:
            valid_s = judgement.valid_s * random.uniform(1.0, 2.0)
            self.inbox.put(
                SlownessJudged(judgement.id, judgement.slowness, now + valid_s)
            )

    def _return_results(self) -> None:
        if self._results:
            results, self._results = self._results, []
            self._handle(ResultsReceived(results))

    def _handle(self, message: RouterMessage) -> None:
        match message:
            case PoolMessage():
                self._pools.receive(message)
            case Subscribe(request_id=request_id, inbox=inbox):
                self._inbox_by_request[request_id] = inbox
            case Unsubscribe(request_id=request_id):
                self._inbox_by_request.pop(request_id, None)
            case UpstreamsListed(ids=ids):
                self._pools.forget_unlisted(ids)
            case SlownessJudged():
                self._pools.judge(message)
            case RunParts() if self._turn_away(message):
                pass
            case _:
                for action in step(self.routing, message, self._clock()):
                    self._perform(action)
                if isinstance(message, TableChanged):
                    self.member_table.publish(self.routing.active_table)
                    self._update_links(message)

    def _turn_away(self, message: RunParts) -> bool:
        """Refuse a request that cannot be served in time, as a whole."""
        refusal = self._pools.turn_away(message.parts, message.min_coverage)
        inbox = self._inbox_by_request.get(message.origin.id)
        if refusal is None or inbox is None:
            return False
        inbox.put(refusal)
        return True

    def _perform(self, action: RoutingAction) -> None:
        match action:
            case SendToPool(key=key, event=event):
                self._pools.handle(key, event)
            case SendToPeer(member=member, message=message):
                self._send_to_peer(member, message)
            case SendToAllPeers(message=blame):
                for link in self._link_by_member.values():
                    link.inbox.put(blame)
            case SendAllToOrigin(origin=origin, results=results):
                self._send_to_origin(origin, results)
            case SendToOrigin(origin=origin, result=result):
                self._send_to_origin(origin, [result])
            case StartPool(key=key):
                self._start_pool(key)
            case StopPool(key=key):
                self._pools.remove(key)
            case ReportTableDrained(epoch=epoch):
                self._on_table_drained(epoch)

    def _send_to_peer(
        self, member: str, message: AskPart | DropPart | Blame
    ) -> None:
        link = self._link_by_member.get(member)
        if link is None:
            self.inbox.put(LinkDown(member))
        else:
            link.inbox.put(message)

    def _send_to_origin(
        self, origin: Origin, results: list[PartResult]
    ) -> None:
        inbox: Mailbox[Any] | None
        if origin.is_session:
            session = self.peer_server.session_by_id.get(origin.id)
            inbox = session.inbox if session else None
        else:
            inbox = self._inbox_by_request.get(origin.id)
        if inbox is not None:
            inbox.put_all(results)

    def _start_pool(self, key: PoolKey) -> None:
        self._pools.add(key)
        epoch = self.routing.active_table.epoch
        self._log(ServicePlaced(key[0], self.routing.name, epoch))

    def _update_links(self, message: TableChanged) -> None:
        """Open and close links so that they match the newest table's members.

        Links to former members are closed only when the table is active.
        """
        table = message.table
        peer_by_name = {
            name: member
            for name, member in table.member_by_name.items()
            if name != self.routing.name
        }
        self._log(
            MembersChanged(
                table.epoch, ",".join(sorted(peer_by_name)), table.is_active
            )
        )
        for name in self._link_by_member.keys() - peer_by_name.keys():
            if table.is_active:
                self._close_link(name)
        for name in peer_by_name.keys() - self._link_by_member.keys():
            self._open_link(peer_by_name[name])

    def _open_link(self, member: Member) -> None:
        name = member.name
        link = Link(
            self.routing.name,
            member.host,
            member.port,
            make_peer_codec(),
            sink=lambda message: self._handle_peer_reply(message),
            on_open=lambda: self._handle_link_up(name),
            on_close=lambda: self._handle_link_down(name),
        )
        self._link_by_member[name] = link
        self._link_task_by_member[name] = asyncio.ensure_future(link.run())

    def _close_link(self, name: str) -> None:
        del self._link_by_member[name]
        self._link_task_by_member.pop(name).cancel()
        self.inbox.put(LinkDown(name))

    def _handle_link_up(self, name: str) -> None:
        self._log(LinkChanged(name, "up"))
        self.inbox.put(LinkUp(name))

    def _handle_link_down(self, name: str) -> None:
        self._log(LinkChanged(name, "down"))
        self.inbox.put(LinkDown(name))

    def _handle_peer_reply(self, message: Any) -> None:
        match message:
            case PartRows() | PartRefused() | PartFailed():
                self.inbox.put(ResultReceived(message))

    def _handle_peer_request(self, session: Session, message: Any) -> None:
        origin = Origin(session.id, is_session=True)
        match message:
            case AskPart(part=part):
                self.inbox.put(RunPart(origin, part))
            case DropPart(part_id=part_id):
                self.inbox.put(DiscardPart(part_id))
            case Blame():
                self.inbox.put(BlameReceived(message))

    def _handle_session_end(
        self, session: Session, error: ProtocolError | None
    ) -> None:
        if error is not None:
            self._log(LinkChanged(session.peer or "unknown", str(error)))
        self.inbox.put(SessionClosed(session.id))
