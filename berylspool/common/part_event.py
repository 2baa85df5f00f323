"""Log events about single parts of a request; docs/LOGS.md documents them."""

from dataclasses import dataclass
from typing import ClassVar

from berylspool.common.event import Event

__all__ = [
    "HedgeDenied",
    "PartAbandoned",
    "PartChosen",
    "PartShed",
    "PartsWaited",
]


@dataclass(slots=True)
class PartChosen(Event):
    """An upstream was chosen for a copy of a part.

    Attributes:
        part: Id of the part; it begins with the id of the request.
        service: Service of the part.
        version: Index version of the pool that sends the part.
        upstream: Id of the chosen upstream.
        copy: Number of the copy; 1 is the first.
        is_hedge: Whether the copy was queued behind first copies.
        in_flight: Copies that this entry had in flight at the upstream
            before this one.
        others: Requests of other entries at the upstream, by its latest
            load report.
        load_age_ms: Age of that report in ms; -1 if there is none.
        answer_ms: Estimated response time of the upstream in ms.
        answer_age_ms: Age of its latest response in ms; -1 if there is none.
        waited_ms: Time that the part waited in the pool, in ms.
    """

    number: ClassVar[int] = 2001
    part: str
    service: str
    version: str
    upstream: str
    copy: int
    is_hedge: bool
    in_flight: int = 0
    others: float = 0.0
    load_age_ms: int = -1
    answer_ms: float = 0.0
    answer_age_ms: int = -1
    waited_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class HedgeDenied(Event):
    """A slow part was not hedged because the hedge budget is exhausted.

    Attributes:
        part: Id of the part.
        service: Service of the part.
        tokens: Tokens left in the budget.
    """

    number: ClassVar[int] = 2008
    part: str
    service: str
    tokens: float


@dataclass(frozen=True, slots=True)
class PartAbandoned(Event):
    """A part still had no answer when its request ended.

    Attributes:
        part: Id of the part.
        service: Service of the part.
        age_ms: Time since the part arrived in the pool, in ms.
        copies: Copies sent.
        queued: Copies that waited for an upstream.
        unanswered_ms: Age of each unanswered copy in ms, by upstream.
        refusals: Copies that upstreams refused without running them.
        is_hedge_denied: Whether the hedge budget was exhausted at some time.
        connecting: Connections of the pool that were opening.
    """

    number: ClassVar[int] = 2010
    part: str
    service: str
    age_ms: int
    copies: int
    queued: int
    unanswered_ms: dict[str, int]
    refusals: int
    is_hedge_denied: bool
    connecting: int


@dataclass(frozen=True, slots=True)
class PartShed(Event):
    """A waiting part was refused, as it would not be sent in time.

    Attributes:
        part: Id of the part.
        service: Service of the part.
        rank: Priority of its request; 0 is the most urgent.
        reason: Reason of the refusal.
        waited_ms: Time that the part waited in the pool, in ms.
        retry_after_ms: Time after which the client may return, in ms.
    """

    number: ClassVar[int] = 2030
    part: str
    service: str
    rank: int
    reason: str
    waited_ms: int
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class PartsWaited(Event):
    """Parts of a rank were sent after a wait; logged once a second and pool.

    Attributes:
        service: Service of the pool.
        rank: Priority of the parts; 0 is the most urgent.
        parts: Number of them since the line before.
        wait_ms: Sum of their waits, in ms.
        load_age_ms: Age of the oldest load view of an upstream of the pool, in
            ms; an hour without any.
    """

    number: ClassVar[int] = 2031
    service: str
    rank: int
    parts: int
    wait_ms: int
    load_age_ms: int
