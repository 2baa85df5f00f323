"""The side of an entry that runs parts for other entries of its zone."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from berylspool.common.event import Event, LinkChanged, RequestServed
from berylspool.common.frame import Codec
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics, increment_counter
from berylspool.common.request_event import RequestEnded
from berylspool.connection.message import (
    RunSlice,
    SliceAccepted,
    SliceDropped,
    SliceProbe,
    SliceRefused,
)
from berylspool.connection.peer import LinkServer, Session
from berylspool.exception import ProtocolError
from berylspool.process.entry.delegation.slice_codec import (
    decode_slice,
    encode_results,
)
from berylspool.process.entry.router import Router
from berylspool.request.part_message import (
    DiscardPart,
    Origin,
    RunParts,
    Subscribe,
    Unsubscribe,
)
from berylspool.request.query import (
    Part,
    PartFailed,
    PartRefused,
    PartResult,
    PartRows,
    Reason,
)

__all__ = ["Helper"]

# The first entry runs the part itself.
NO_WAIT_S = 0.0
# About a millisecond of a whole core.
PARTS_PER_TURN = 5
# Until its target, the first entry waits for all parts, so answers may wait for
# the others of their slice: a frame costs as much as running a part. Those so
# far are sent at these shares of the target, with the parts that were hedged by
# then, to show that the helper runs and before the target; later ones are sent
# at once. Hedges go out at 0.36 of the target (`hedge_share`).
FLUSH_SHARES = (0.42, 0.7)
MS_PER_S = 1000.0


@dataclass(slots=True)
class _RunningSlice:
    """A slice that runs here.

    Attributes:
        id: Number of the slice at the first entry.
        session: Session of the first entry.
        name: Name of the slice, which begins with the id of the request.
        place_by_part: Position and part of each part without a result, by
            part id.
        route: Route of the request.
        partition: Number of the plan that the request is pinned to.
        target_s: Target latency of the route, in seconds.
        started_at: Time of its arrival, in monotonic seconds.
        copies: Number of copies sent for the parts with an answer.
        last: Service that answered last.
        reason_by_service: Reason of each part without an answer.
        held: Position, part and result of each part whose result is not sent.
        timers: Timers at which held results are sent.
    """

    id: int
    session: Session
    name: str
    place_by_part: dict[str, tuple[int, Part]]
    route: str
    partition: int
    target_s: float
    started_at: float
    copies: int = 0
    last: str = ""
    reason_by_service: dict[str, str] = field(default_factory=dict)
    held: list[tuple[int, Part, PartResult]] = field(default_factory=list)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class _SliceInbox(Mailbox[Any]):
    """Inbox of a slice; results are sent on as they are put."""

    def __init__(self, on_results: Callable[[list[PartResult]], None]) -> None:
        super().__init__()
        self._on_results = on_results

    def put_all(self, messages: Any) -> None:
        """Send results to the first entry."""
        self._on_results(list(messages))


class Helper:
    """Runs slices of other entries' requests in the pools of this entry.

    Args:
        router: Router of the entry.
        was_frozen: Returns whether a message that is read now is likely old.
        clock: Returns the monotonic time in seconds.
        log: Called with each log event.
        metrics: Metrics of the process.
        codec: Codec of the links.
        ping_s: Time after which an idle link carries a `Ping`, in seconds.

    Attributes:
        server: Accepts the links of the other entries.
        is_stopping: Whether the process stops and accepts no more slices.
    """

    def __init__(
        self,
        router: Router,
        was_frozen: Callable[[], bool],
        *,
        clock: Callable[[], float],
        log: Callable[[Event], None],
        metrics: Metrics,
        codec: Codec,
        ping_s: float,
    ) -> None:
        self.server = LinkServer(
            codec,
            sink=self._handle,
            on_session_end=self._handle_session_end,
            ping_s=ping_s,
        )
        self.is_stopping = False
        self._router = router
        self._was_frozen = was_frozen
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._slice_by_key: dict[tuple[str, int], _RunningSlice] = {}

    def _handle(self, session: Session, message: Any) -> None:
        match message:
            case RunSlice():
                self._accept(session, message)
            case SliceProbe(id=id):
                slice = self._slice_by_key.get((session.id, id))
                session.inbox.put(
                    SliceAccepted(id, self._find_hedged(slice))
                    if slice is not None
                    else SliceRefused(id)
                )
            case SliceDropped(id=id, is_caller_gone=is_caller_gone):
                self._drop((session.id, id), is_caller_gone)

    def _accept(self, session: Session, message: RunSlice) -> None:
        key = (session.id, message.id)
        if key in self._slice_by_key:
            session.inbox.put(SliceAccepted(message.id))
            return
        if self.is_stopping or self._was_frozen() or not message.parts:
            # The first entry has given up waiting, or is about to.
            session.inbox.put(SliceRefused(message.id))
            self._count("refused")
            return
        session.inbox.put(SliceAccepted(message.id))
        name = f"{message.request_id}@{session.id}.{message.id}"
        parts = decode_slice(message, name)
        slice = _RunningSlice(
            message.id,
            session,
            name,
            {part.id: (index, part) for index, part in enumerate(parts)},
            message.route,
            message.partition,
            min(message.forward.target_latency_s, message.timeout_s),
            self._clock(),
        )
        self._slice_by_key[key] = slice
        loop = asyncio.get_running_loop()
        slice.timers = [
            loop.call_later(share * slice.target_s, self._report, key)
            for share in FLUSH_SHARES
        ]
        self._count("accepted")
        known = [part for part in parts if self._has_pool(part)]
        if len(known) < len(parts):
            self._refuse_unknown(key, slice, parts)
        if known:
            origin = Origin(name)
            inbox = _SliceInbox(lambda results: self._send(key, results))
            self._router.inbox.put(Subscribe(origin.id, inbox))
            loop.call_soon(self._run_some, key, origin, known)

    def _run_some(
        self, key: tuple[str, int], origin: Origin, parts: list[Part]
    ) -> None:
        """Run a few parts, and the others in later turns of the event loop.

        Other slices are accepted between them.  A slice whose drop has arrived
        with it does not run at all.
        """
        if key not in self._slice_by_key:
            return
        self._router.inbox.put(RunParts(origin, parts[:PARTS_PER_TURN]))
        rest = parts[PARTS_PER_TURN:]
        if rest:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._run_some, key, origin, rest)

    def _has_pool(self, part: Part) -> bool:
        """Return whether this entry knows the service and the version."""
        key = (part.service, part.snapshot.version)
        routing = self._router.routing
        return key in routing.pool_keys and key not in routing.closing_pool_keys

    def _refuse_unknown(
        self, key: tuple[str, int], slice: _RunningSlice, parts: list[Part]
    ) -> None:
        refusals: list[PartResult] = [
            PartRefused(part.id, Reason.NO_OWNER, NO_WAIT_S)
            for part in parts
            if not self._has_pool(part)
        ]
        self._send(key, refusals)

    def _send(self, key: tuple[str, int], results: list[PartResult]) -> None:
        slice = self._slice_by_key.get(key)
        if slice is None:
            return
        for result in results:
            place = slice.place_by_part.pop(result.part_id, None)
            if place is not None:
                slice.held.append((*place, result))
                _record(slice, place[1], result)
        if self._must_send(slice, results):
            self._flush(key)
        if not slice.place_by_part:
            self._forget(key)

    def _must_send(
        self, slice: _RunningSlice, results: list[PartResult]
    ) -> bool:
        """Return whether results are of use to the first entry at once.

        It decides early on parts without an answer.
        """
        if not slice.place_by_part:
            return True
        if (
            self._clock()
            >= slice.started_at + FLUSH_SHARES[-1] * slice.target_s
        ):
            return True
        return not all(isinstance(result, PartRows) for result in results)

    def _flush(self, key: tuple[str, int]) -> None:
        """Send the results that are held."""
        slice = self._slice_by_key.get(key)
        if slice is not None and slice.held:
            self._report(key)

    def _report(self, key: tuple[str, int]) -> None:
        """Send the results that are held, and which parts were hedged."""
        slice = self._slice_by_key[key]
        held, slice.held = slice.held, []
        hedged = self._find_hedged(slice)
        slice.session.inbox.put(encode_results(slice.id, held, hedged))

    def _find_hedged(self, slice: _RunningSlice) -> tuple[int, ...]:
        """Return the parts that no further upstream may run."""
        return tuple(
            index
            for index, part in slice.place_by_part.values()
            if self._router.has_reached_limit(
                (part.service, part.snapshot.version), part.id
            )
        )

    def _drop(self, key: tuple[str, int], is_caller_gone: bool) -> None:
        slice = self._slice_by_key.get(key)
        if slice is None:
            return
        for part_id, (_, part) in slice.place_by_part.items():
            self._router.inbox.put(DiscardPart(part_id, is_caller_gone))
            slice.reason_by_service[part.service] = Reason.CANCELLED.value
        self._forget(key)

    def _forget(self, key: tuple[str, int]) -> None:
        slice = self._slice_by_key.pop(key)
        for timer in slice.timers:
            timer.cancel()
        self._router.inbox.put(Unsubscribe(slice.name))
        self._log_end(slice)

    def _log_end(self, slice: _RunningSlice) -> None:
        """Log the end of a slice, with which the lines of its parts end."""
        latency_s = self._clock() - slice.started_at
        is_late = latency_s > slice.target_s > 0
        if not slice.reason_by_service and not is_late:
            self._log(RequestServed(slice.name))
            return
        self._log(
            RequestEnded(
                slice.name,
                slice.route,
                slice.partition,
                "",
                "slice",
                slice.reason_by_service,
                slice.last,
                slice.copies,
                round(latency_s * MS_PER_S, 1),
            )
        )

    def _handle_session_end(
        self, session: Session, error: ProtocolError | None
    ) -> None:
        if error is not None:
            self._log(LinkChanged(session.peer or "unknown", str(error)))
        for key in [key for key in self._slice_by_key if key[0] == session.id]:
            self._drop(key, is_caller_gone=True)

    def _count(self, outcome: str) -> None:
        name = "berylspool_slices_received_total"
        increment_counter(self._metrics, name, outcome=outcome)


def _record(slice: _RunningSlice, part: Part, result: PartResult) -> None:
    """Note the result of a part, for the log."""
    match result:
        case PartRows(attempts=attempts):
            slice.copies += attempts
            slice.last = part.service
        case PartRefused(reason=reason) | PartFailed(reason=reason):
            slice.reason_by_service[part.service] = reason.value
