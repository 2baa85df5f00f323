"""The router task, which owns the routing state, the pools and the links."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from berylspool.common.event import (
    Event,
    LinkChanged,
    ServicePlaced,
)
from berylspool.common.mailbox import Mailbox
from berylspool.common.published_value import PublishedValue
from berylspool.connection.control_message import ExtraCopies
from berylspool.connection.message import (
    AskPart,
    DropPart,
    make_peer_codec,
)
from berylspool.connection.peer import LinkServer, Session
from berylspool.connection.upstream import NativeTransport
from berylspool.exception import ProtocolError
from berylspool.process.entry.peer_links import PeerLinks
from berylspool.process.entry.routing import RoutingState, step
from berylspool.process.entry.routing_message import (
    BlameRaised,
    BlameReceived,
    HeldPartsRetryDue,
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
from berylspool.process.entry.withdrawal import may_withdraw
from berylspool.request.fanout_message import PartsWithdrawn
from berylspool.request.part_message import (
    DiscardPart,
    Origin,
    RunPart,
    RunParts,
    Subscribe,
    Unsubscribe,
    WithdrawUnsent,
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
    | WithdrawUnsent
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
        self._peer_links = PeerLinks(
            routing.name,
            sink=self._handle_peer_reply,
            on_change=self.inbox.put,
            log=log,
        )
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
            self._peer_links.stop()

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

    def has_reached_limit(self, key: PoolKey, part_id: str) -> bool:
        """Return whether a part was sent to as many upstreams as may run it."""
        job = self._pools.find_job(key, part_id)
        forward = job.part.forward if job is not None else None
        if job is None or forward is None:
            return False
        return job.sends - job.refusals >= forward.attempts

    def _is_unsent(self, key: PoolKey, part_id: str) -> bool:
        """Return whether a part waits in a pool and no copy of it was sent."""
        job = self._pools.find_job(key, part_id)
        return job is not None and not job.sends

    def _return_results(self) -> None:
        if self._results:
            results, self._results = self._results, []
            self._handle(ResultsReceived(results))

    def _handle(self, message: RouterMessage) -> None:
        match message:
            case PoolMessage():
                self._pools.receive(message)
            case ResultsReceived():
                # The usual messages; the other classes are not compared.
                self._route(message)
            case RunParts():
                if not self._turn_away(message):
                    self._route(message)
            case Subscribe(request_id=request_id, inbox=inbox):
                self._inbox_by_request[request_id] = inbox
            case Unsubscribe(request_id=request_id):
                self._inbox_by_request.pop(request_id, None)
            case WithdrawUnsent():
                self._withdraw(message)
            case UpstreamsListed(ids=ids):
                self._pools.forget_unlisted(ids)
            case SlownessJudged():
                self._pools.judge(message)
            case TableChanged():
                self._route(message)
                self.member_table.publish(self.routing.active_table)
                self._peer_links.update(message.table)
            case _:
                self._route(message)

    def _route(self, message: RoutingEvent) -> None:
        for action in step(self.routing, message, self._clock()):
            self._perform(action)

    def _withdraw(self, wanted: WithdrawUnsent) -> None:
        inbox = self._inbox_by_request.get(wanted.origin.id)
        if inbox is not None and may_withdraw(
            self.routing, self._is_unsent, wanted.part_ids
        ):
            for part_id in wanted.part_ids:
                self._handle(DiscardPart(part_id))
            inbox.put(PartsWithdrawn())

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
                self._peer_links.send(member, message)
            case SendToAllPeers(message=blame):
                self._peer_links.send_to_all(blame)
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
