"""Moves of a route's traffic from one version to the next.

A move is planned backwards from its deadline: the canary stage takes what
the judgement needs, and the ramp stages share the rest.  A move ends in
`DONE` or `TAKEN_BACK`; a version that was taken back stays blocked until an
operator clears it.  Canary analysis steps follow the practice of Argo
Rollouts and Flagger.
"""

import enum
from dataclasses import dataclass, replace

__all__ = [
    "Cleared",
    "Finished",
    "Move",
    "MoveEvent",
    "MoveState",
    "Paused",
    "Resumed",
    "TakeBack",
    "Ticked",
    "Verdict",
    "step",
    "traffic_share",
]

CANARY_SHARE = 0.05
RAMP_SHARES = (0.1, 0.25, 0.5, 1.0)
CANARY_FRACTION = 0.4
DRAIN_S = 5.0
MIN_STAGE_S = 2.0


class MoveState(enum.StrEnum):
    """Stage of a move."""

    PREPARED = "prepared"
    CANARY = "canary"
    RAMPING = "ramping"
    DONE = "done"
    PAUSED = "paused"
    TAKING_BACK = "taking_back"
    TAKEN_BACK = "taken_back"


class Verdict(enum.StrEnum):
    """What the judgement says of the new version so far."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Move:
    """One move of a route.

    Attributes:
        route: Route that moves.
        old: Version that carries the traffic at the start.
        new: Version that should carry it at the end.
        started_at: Start, in seconds since the epoch.
        deadline_at: Moment the move must have ended, likewise.
        state: Stage.
        stage: Index into the ramp shares while ramping.
        stage_at: Start of the stage, in seconds since the epoch.
        resume: Stage to go back to after a pause.
        is_late: Whether the deadline can no longer be met.
        cause: Why it was taken back, or is late; empty if neither.
    """

    route: str
    old: str
    new: str
    started_at: float
    deadline_at: float
    state: MoveState = MoveState.PREPARED
    stage: int = 0
    stage_at: float = 0.0
    resume: MoveState = MoveState.CANARY
    is_late: bool = False
    cause: str = ""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed.

    Attributes:
        verdict: Judgement over all routes and entries so far.
        cause: Evidence behind a bad verdict.
        ready: Whether the new version has an upstream for each shard.
    """

    verdict: Verdict
    cause: str = ""
    ready: bool = True


@dataclass(frozen=True, slots=True)
class Paused:
    """An operator pauses the move."""


@dataclass(frozen=True, slots=True)
class Resumed:
    """An operator resumes the move."""


@dataclass(frozen=True, slots=True)
class TakeBack:
    """An operator takes the move back."""

    cause: str = "operator"


@dataclass(frozen=True, slots=True)
class Finished:
    """An operator puts all traffic on the new version now."""


@dataclass(frozen=True, slots=True)
class Cleared:
    """An operator clears a move that has ended."""


MoveEvent = Ticked | Paused | Resumed | TakeBack | Finished

ENDED = frozenset({MoveState.DONE, MoveState.TAKEN_BACK})
MOVING = frozenset({MoveState.PREPARED, MoveState.CANARY, MoveState.RAMPING})


def traffic_share(move: Move) -> float:
    """Return the share of requests that read the new version.

    Args:
        move: Move of the route.

    Returns:
        A share from 0 to 1.

    Examples:
        >>> traffic_share(Move("r", "v1", "v2", 0.0, 60.0))
        0.0
        >>> traffic_share(Move("r", "v1", "v2", 0, 60, MoveState.CANARY))
        0.05
    """
    state = move.resume if move.state is MoveState.PAUSED else move.state
    match state:
        case MoveState.CANARY:
            return CANARY_SHARE
        case MoveState.RAMPING:
            return RAMP_SHARES[move.stage]
        case MoveState.DONE:
            return 1.0
        case _:
            return 0.0


def step(move: Move, event: MoveEvent, now: float) -> Move:
    """Apply one event to a move.

    Args:
        move: Move before the event.
        event: What happened.
        now: Seconds since the epoch, as the control leader sees it.

    Returns:
        The move after the event; the same object if nothing changed.

    Examples:
        >>> move = Move("r", "v1", "v2", 0.0, 60.0)
        >>> step(move, Ticked(Verdict.OPEN), 1.0).state
        <MoveState.CANARY: 'canary'>
    """
    if move.state in ENDED:
        return move
    match event:
        case Paused() if move.state in MOVING:
            return replace(move, state=MoveState.PAUSED, resume=move.state)
        case Resumed() if move.state is MoveState.PAUSED:
            return replace(move, state=move.resume, stage_at=now)
        case TakeBack(cause=cause):
            return _take_back(move, cause, now)
        case Finished() if move.state is not MoveState.TAKING_BACK:
            last = len(RAMP_SHARES) - 1
            return replace(
                move, state=MoveState.RAMPING, stage=last, stage_at=now
            )
        case Ticked(verdict=Verdict.BAD, cause=cause) if (
            move.state is not MoveState.TAKING_BACK
        ):
            return _take_back(move, cause, now)
        case Ticked():
            return _advance(move, event, now)
    return move


def _take_back(move: Move, cause: str, now: float) -> Move:
    if move.state is MoveState.TAKING_BACK:
        return move
    return replace(move, state=MoveState.TAKING_BACK, stage_at=now, cause=cause)


def _advance(move: Move, event: Ticked, now: float) -> Move:
    elapsed = now - move.stage_at
    match move.state:
        case MoveState.PREPARED if event.ready:
            return replace(move, state=MoveState.CANARY, stage_at=now)
        case MoveState.CANARY if event.verdict is Verdict.GOOD:
            return replace(move, state=MoveState.RAMPING, stage=0, stage_at=now)
        case MoveState.RAMPING if elapsed >= _stage_s(move):
            return _ramp(move, event, now)
        case MoveState.TAKING_BACK if elapsed >= DRAIN_S:
            return replace(move, state=MoveState.TAKEN_BACK, stage_at=now)
    return _watch_deadline(move, event, now)


def _stage_s(move: Move) -> float:
    """Return the length of one ramp stage, planned from the deadline."""
    total = move.deadline_at - move.started_at
    ramp = total * (1.0 - CANARY_FRACTION) - DRAIN_S
    return max(ramp / (len(RAMP_SHARES) + 1), MIN_STAGE_S)


def _ramp(move: Move, event: Ticked, now: float) -> Move:
    if event.verdict is not Verdict.GOOD:
        return _watch_deadline(move, event, now)
    if move.stage + 1 < len(RAMP_SHARES):
        return replace(move, stage=move.stage + 1, stage_at=now)
    return replace(move, state=MoveState.DONE, stage_at=now)


def _watch_deadline(move: Move, event: Ticked, now: float) -> Move:
    """Warn early that the deadline cannot be met, and end at the deadline."""
    if move.state is MoveState.TAKING_BACK:
        return move
    if now >= move.deadline_at:
        return _take_back(move, "deadline passed without a verdict", now)
    stages_left = {
        MoveState.PREPARED: len(RAMP_SHARES) + 1,
        MoveState.CANARY: len(RAMP_SHARES),
        MoveState.RAMPING: len(RAMP_SHARES) - 1 - move.stage,
        MoveState.PAUSED: len(RAMP_SHARES),
    }[move.state]
    is_late = now + stages_left * MIN_STAGE_S > move.deadline_at
    if is_late and not move.is_late:
        cause = "not ready" if not event.ready else "verdict still open"
        return replace(move, is_late=True, cause=cause)
    return move
