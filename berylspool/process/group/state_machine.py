"""Replicated state machine of the control nodes.

Holds the replicated state and applies the changes of the log to it.  Every
control node applies the same changes in the same order, so nothing here
reads a clock: the changes contain the times.
"""

from dataclasses import dataclass, field, replace

from berylspool.common.frame import HEADER_BYTES, Codec
from berylspool.connection.message import MemberTable
from berylspool.exception import (
    BerylspoolError,
    CommandConflictError,
)
from berylspool.request.ledger import (
    Intend,
    LedgerDecision,
    LedgerReply,
    Settle,
    SettleKind,
)
from berylspool.version.configuration import Configuration
from berylspool.version.duty.record import (
    ConfirmUsage,
    DutyHolder,
    RecordUsage,
    TakeDuty,
    UsageRecords,
    confirm_usage,
    record_usage,
    take_duty,
)
from berylspool.version.operation import (
    operation_codec,
)
from berylspool.version.operator_command import CommandAnswer
from berylspool.version.revision import apply_operations

__all__ = [
    "Change",
    "Configure",
    "ControlState",
    "HistoryItem",
    "LedgerEntry",
    "Seat",
    "apply_change",
    "change_codec",
    "decode_state",
    "encode_state",
]

MAX_COMMAND_ANSWERS = 20_000
MAX_HISTORY_ITEMS = 1_000
LEDGER_RETENTION_S = 24 * 3600.0


@dataclass(frozen=True, slots=True)
class Configure:
    """Change of the configuration.

    Attributes:
        command_id: Id of the command; a retry has the same one.
        base_revision: Revision that the command is based on; -1 for any.
        operations: Encoded operations.
        text: Text of the command as recorded in the history.
        who: Originator of the change, such as the operator's role.
        at: Wall-clock time on the leader that proposed the change, in
            seconds since the epoch.
    """

    command_id: str
    base_revision: int
    operations: bytes
    text: str
    who: str
    at: float


@dataclass(frozen=True, slots=True)
class Seat:
    """Change of the member table.

    Attributes:
        table: Member table that becomes active or proposed; ignored if its
            epoch is older than that of the newest table.
    """

    table: MemberTable


Change = (
    Configure | Intend | Settle | Seat | TakeDuty | RecordUsage | ConfirmUsage
)


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """Ledger state of one idempotency key.

    Attributes:
        fingerprint: Fingerprint of the request that first used the key.
        request_id: Id of the request that was granted.
        at: Time of the grant, in seconds since the epoch.
        is_answered: Whether the outcome of the request is recorded.
        body: Encoded outcome, if it is recorded.
    """

    fingerprint: str
    request_id: str
    at: float
    is_answered: bool = False
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HistoryItem:
    """One accepted change of the configuration.

    Attributes:
        revision: Revision that the change created.
        at: Time of the change, in seconds since the epoch.
        who: Originator of the change.
        text: Text of the command.
    """

    revision: int
    at: float
    who: str
    text: str


@dataclass(slots=True)
class ControlState:
    """The replicated state.

    Attributes:
        configuration: Newest configuration.
        answer_by_command: Answers to the newest commands by command id,
            oldest first.
        history: Newest accepted changes, oldest first.
        entry_by_key: Ledger entries by idempotency key, oldest first.
        active: Active member table; its owners admit requests.
        proposed: Newer member table that is not active yet, or None.
        holder_by_duty: Holder of each duty.
        usage: Reports of usage.
    """

    configuration: Configuration = field(default_factory=Configuration)
    answer_by_command: dict[str, CommandAnswer] = field(default_factory=dict)
    history: list[HistoryItem] = field(default_factory=list)
    entry_by_key: dict[str, LedgerEntry] = field(default_factory=dict)
    active: MemberTable = field(default_factory=MemberTable)
    proposed: MemberTable | None = None
    holder_by_duty: dict[str, DutyHolder] = field(default_factory=dict)
    usage: UsageRecords = field(default_factory=UsageRecords)


OPERATION_CODEC = operation_codec()
STATE_CODEC = Codec([ControlState])


def change_codec() -> Codec:
    """Return the codec of the changes in a log record."""
    classes = [Configure, Intend, Settle, Seat]
    return Codec([*classes, TakeDuty, RecordUsage, ConfirmUsage])


def encode_state(state: ControlState) -> bytes:
    """Return the state encoded for a snapshot."""
    return STATE_CODEC.encode([state])[HEADER_BYTES:]


def decode_state(data: bytes) -> ControlState:
    """Return the state that a snapshot holds.

    Args:
        data: Encoded state; empty for a new, empty state.

    Raises:
        FrameError: The data is malformed.
    """
    if not data:
        return ControlState()
    [state] = STATE_CODEC.decode(data)
    return state


def apply_change(
    state: ControlState, change: Change
) -> CommandAnswer | LedgerReply | None:
    """Apply one committed change to the state.

    Args:
        state: State to change in place.
        change: Change from the log.

    Returns:
        The answer for the proposer; None for a change that the leader makes on
        its own.
    """
    match change:
        case Configure():
            return _apply_configure(state, change)
        case Intend():
            return _apply_intend(state, change)
        case Settle():
            return _apply_settle(state, change)
        case Seat(table=table):
            _apply_seat(state, table)
        case TakeDuty():
            take_duty(state.holder_by_duty, state.usage, change)
        case RecordUsage():
            record_usage(state.usage, change)
        case ConfirmUsage():
            confirm_usage(state.usage, change)
    return None


def _apply_configure(state: ControlState, change: Configure) -> CommandAnswer:
    recorded_answer = state.answer_by_command.get(change.command_id)
    if recorded_answer is not None:
        return recorded_answer
    previous = state.configuration
    try:
        _check_base_revision(previous, change)
        operations = tuple(OPERATION_CODEC.decode(change.operations))
        state.configuration = apply_operations(previous, operations, change.at)
        answer = CommandAnswer(
            change.command_id, True, state.configuration.revision
        )
        history_item = HistoryItem(
            state.configuration.revision, change.at, change.who, change.text
        )
        state.history.append(history_item)
        del state.history[:-MAX_HISTORY_ITEMS]
    except BerylspoolError as error:
        answer = CommandAnswer(
            change.command_id,
            False,
            previous.revision,
            type(error).__name__,
            str(error),
        )
    state.answer_by_command[change.command_id] = answer
    _drop_oldest(state.answer_by_command, MAX_COMMAND_ANSWERS)
    return answer


def _check_base_revision(
    configuration: Configuration, change: Configure
) -> None:
    if change.base_revision not in (-1, configuration.revision):
        raise CommandConflictError(
            f"based on revision {change.base_revision}, "
            f"but {configuration.revision} is current"
        )


def _drop_oldest(by_key: dict, max_entries: int) -> None:
    while len(by_key) > max_entries:
        del by_key[next(iter(by_key))]


def _apply_intend(state: ControlState, change: Intend) -> LedgerReply:
    _drop_expired_entries(state, change.at)
    entry = state.entry_by_key.get(change.key)
    if entry is None:
        state.entry_by_key[change.key] = LedgerEntry(
            change.fingerprint, change.request_id, change.at
        )
        decision, body = LedgerDecision.GRANTED, b""
    elif entry.fingerprint != change.fingerprint:
        decision, body = LedgerDecision.KEY_REUSED, b""
    elif entry.is_answered:
        decision, body = LedgerDecision.RECORDED, entry.body
    elif entry.request_id == change.request_id:
        # The same attempt asks again because the first reply was lost.
        decision, body = LedgerDecision.GRANTED, b""
    else:
        decision, body = LedgerDecision.UNKNOWN, b""
    return LedgerReply(change.request_id, decision, body)


def _drop_expired_entries(state: ControlState, at: float) -> None:
    entries = state.entry_by_key
    while entries:
        key = next(iter(entries))
        if at - entries[key].at <= LEDGER_RETENTION_S:
            return
        del entries[key]


def _apply_settle(state: ControlState, change: Settle) -> LedgerReply:
    entry = state.entry_by_key.get(change.key)
    if entry is not None and entry.request_id == change.request_id:
        match change.kind:
            case SettleKind.ANSWERED:
                state.entry_by_key[change.key] = replace(
                    entry, is_answered=True, body=change.body
                )
            case SettleKind.NOT_RUN if not entry.is_answered:
                del state.entry_by_key[change.key]
            case _:
                pass
    return LedgerReply(change.request_id, LedgerDecision.SETTLED)


def _apply_seat(state: ControlState, table: MemberTable) -> None:
    newest_epoch = max(
        state.active.epoch, state.proposed.epoch if state.proposed else 0
    )
    if table.epoch < newest_epoch:
        return
    if table.is_active:
        state.active, state.proposed = table, None
    else:
        state.proposed = table
