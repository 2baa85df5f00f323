"""State machine of a move: a gradual shift of traffic to a new version.

A move is planned backwards from its deadline: the canary stage gets the time
that canary analysis needs for a verdict, and the ramp stages share the rest.
A move ends in `DONE` or `TAKEN_BACK`; a version that was taken back stays
blocked until an operator clears it.  The stages follow the canary analysis
of Argo Rollouts and Flagger.
"""

import enum
from dataclasses import dataclass, replace

__all__ = [
    "CanaryVerdict",
    "ClearRequested",
    "Evaluation",
    "FinishRequested",
    "Move",
    "MoveEvent",
    "MoveState",
    "PauseRequested",
    "ResumeRequested",
    "TakeBackRequested",
    "step",
    "traffic_share",
]

CANARY_SHARE = 0.05
RAMP_SHARES = (0.1, 0.25, 0.5, 1.0)
CANARY_TIME_FRACTION = 0.4
TAKE_BACK_DRAIN_S = 5.0
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


class CanaryVerdict(enum.StrEnum):
    """Result of the canary analysis of the new version so far."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Move:
    """Move of a route's traffic from one version to another.

    Attributes:
        route: Name of the route.
        old: Version that carries the traffic at the start.
        new: Version that should carry the traffic at the end.
        started_at: Start of the move, in seconds since the epoch.
        deadline_at: Time by which the move must have ended, in seconds
            since the epoch.
        state: Stage that the move has reached.
        stage: Index into `RAMP_SHARES` while ramping.
        stage_at: Start of the current stage, in seconds since the epoch.
        resume: Stage that the move returns to after a pause.
        is_late: Whether the deadline can no longer be met.
        cause: Why the move was taken back or is late; empty if neither.
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
class Evaluation:
    """Periodic evaluation of a move by the control leader.

    Attributes:
        verdict: Verdict on the new version so far, over all entries.
        cause: Evidence for a bad verdict.
        is_ready: Whether the new version has an upstream for each shard.
    """

    verdict: CanaryVerdict
    cause: str = ""
    is_ready: bool = True


@dataclass(frozen=True, slots=True)
class PauseRequested:
    """An operator requests a pause at the current traffic share."""


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """An operator requests that a paused move continue."""


@dataclass(frozen=True, slots=True)
class TakeBackRequested:
    """An operator requests the return of all traffic to the old version."""

    cause: str = "operator"


@dataclass(frozen=True, slots=True)
class FinishRequested:
    """An operator requests all traffic on the new version immediately."""


@dataclass(frozen=True, slots=True)
class ClearRequested:
    """An operator requests the removal of a move that has ended."""


MoveEvent = (
    Evaluation
    | PauseRequested
    | ResumeRequested
    | TakeBackRequested
    | FinishRequested
)

ENDED_STATES = frozenset({MoveState.DONE, MoveState.TAKEN_BACK})
ACTIVE_STATES = frozenset(
    {MoveState.PREPARED, MoveState.CANARY, MoveState.RAMPING}
)


def traffic_share(move: Move) -> float:
    """Return the share of requests that are sent to the new version.

    Args:
        move: Move of the route.

    Returns:
        Share of the requests, from 0 to 1.

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
        event: Periodic evaluation or request of an operator.
        now: Current time on the control leader, in seconds since the epoch.

    Returns:
        Move after the event; the same object if nothing changed.

    Examples:
        >>> move = Move("r", "v1", "v2", 0.0, 60.0)
        >>> step(move, Evaluation(CanaryVerdict.OPEN), 1.0).state
        <MoveState.CANARY: 'canary'>
    """
    if move.state in ENDED_STATES:
        return move
    match event:
        case PauseRequested() if move.state in ACTIVE_STATES:
            return replace(move, state=MoveState.PAUSED, resume=move.state)
        case ResumeRequested() if move.state is MoveState.PAUSED:
            return replace(move, state=move.resume, stage_at=now)
        case TakeBackRequested(cause=cause):
            return _take_back(move, cause, now)
        case FinishRequested() if move.state is not MoveState.TAKING_BACK:
            last_stage = len(RAMP_SHARES) - 1
            return replace(
                move, state=MoveState.RAMPING, stage=last_stage, stage_at=now
            )
        case Evaluation(verdict=CanaryVerdict.BAD, cause=cause) if (
            move.state is not MoveState.TAKING_BACK
        ):
            return _take_back(move, cause, now)
        case Evaluation():
            return _advance(move, event, now)
    return move


def _take_back(move: Move, cause: str, now: float) -> Move:
    if move.state is MoveState.TAKING_BACK:
        return move
    return replace(move, state=MoveState.TAKING_BACK, stage_at=now, cause=cause)


def _advance(move: Move, event: Evaluation, now: float) -> Move:
    elapsed_s = now - move.stage_at
    match move.state:
        case MoveState.PREPARED if event.is_ready:
            return replace(move, state=MoveState.CANARY, stage_at=now)
        case MoveState.CANARY if event.verdict is CanaryVerdict.GOOD:
            return replace(move, state=MoveState.RAMPING, stage=0, stage_at=now)
        case MoveState.RAMPING if elapsed_s >= _ramp_stage_s(move):
            return _next_ramp_stage(move, event, now)
        case MoveState.TAKING_BACK if elapsed_s >= TAKE_BACK_DRAIN_S:
            return replace(move, state=MoveState.TAKEN_BACK, stage_at=now)
    return _check_deadline(move, event, now)


def _ramp_stage_s(move: Move) -> float:
    """Return the length of a ramp stage that meets the deadline, in seconds."""
    total_s = move.deadline_at - move.started_at
    ramp_s = total_s * (1.0 - CANARY_TIME_FRACTION) - TAKE_BACK_DRAIN_S
    return max(ramp_s / (len(RAMP_SHARES) + 1), MIN_STAGE_S)


def _next_ramp_stage(move: Move, event: Evaluation, now: float) -> Move:
    if event.verdict is not CanaryVerdict.GOOD:
        return _check_deadline(move, event, now)
    if move.stage + 1 < len(RAMP_SHARES):
        return replace(move, stage=move.stage + 1, stage_at=now)
    return replace(move, state=MoveState.DONE, stage_at=now)


def _check_deadline(move: Move, event: Evaluation, now: float) -> Move:
    """Mark a move that cannot end in time, and take it back at the deadline.

    The move is marked as soon as its remaining stages, at their minimum
    length, no longer fit before the deadline.
    """
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
        cause = "not ready" if not event.is_ready else "verdict still open"
        return replace(move, is_late=True, cause=cause)
    return move
