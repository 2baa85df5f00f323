"""The request task: it drives one fan-out from query to outcome."""

from collections.abc import Callable
from typing import Any

from berylspool.connection.mailbox import Mailbox
from berylspool.process.router import Router, Subscribe, Unsubscribe
from berylspool.process.routing_message import (
    Origin,
    PartDropped,
    PartWanted,
)
from berylspool.request.fanout import (
    CallerGone,
    CancelPart,
    DeadlinePassed,
    FanOut,
    FanOutAction,
    Finish,
    Pinned,
    SendPart,
    start,
    step,
)
from berylspool.request.query import Outcome, Query

__all__ = ["RequestTask"]


class RequestTask:
    """Task that owns the fan-out of one request.

    Args:
        query: The validated request.
        router: Router task of the process.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self, query: Query, router: Router, clock: Callable[[], float]
    ) -> None:
        self.inbox: Mailbox[Any] = Mailbox()
        self._query = query
        self._router = router
        self._clock = clock

    def caller_gone(self) -> None:
        """Note that the caller has closed its connection."""
        self.inbox.put(CallerGone())

    async def run(self, pinned: Pinned) -> Outcome:
        """Fan out, merge and return the outcome.

        Args:
            pinned: Partition map that the request is pinned to.

        Returns:
            An answer or a refusal, no later than the deadline.
        """
        query, router = self._query, self._router
        router.inbox.put(Subscribe(query.id, self.inbox))
        try:
            state, actions = start(query, pinned, self._clock())
            outcome = self._perform(actions)
            while outcome is None:
                left_s = query.deadline - self._clock()
                events = await self.inbox.take(left_s) or [DeadlinePassed()]
                outcome = self._apply(state, events)
            return outcome
        finally:
            router.inbox.put(Unsubscribe(query.id))

    def _apply(self, state: FanOut, events: list[Any]) -> Outcome | None:
        for event in events:
            outcome = self._perform(step(state, event, self._clock()))
            if outcome is not None:
                return outcome
        return None

    def _perform(self, actions: list[FanOutAction]) -> Outcome | None:
        origin = Origin(self._query.id)
        for action in actions:
            match action:
                case SendPart(part=part):
                    self._router.inbox.put(PartWanted(origin, part))
                case CancelPart(part=part):
                    self._router.inbox.put(PartDropped(part.id))
                case Finish(outcome=outcome):
                    return outcome
        return None
