"""Handling of operators' commands inside the control task."""

import time
from collections.abc import Callable
from typing import Any, Protocol

from berylspool.common.frame import HEADER_BYTES
from berylspool.connection.admin import (
    Ask,
    AskBackup,
    AskChange,
    AskReply,
    AskState,
    Decided,
    Elsewhere,
    Failed,
    Shown,
    StateShown,
)
from berylspool.exception import (
    BerylspoolError,
    CommandError,
    NoLeaderError,
    PermissionDeniedError,
    UnknownNameError,
)
from berylspool.process.control import membership
from berylspool.process.control.overseer import Overseer
from berylspool.process.control.view import ControlView, difference, rows_of
from berylspool.process.group.change import (
    Change,
    Configure,
    encode_state,
)
from berylspool.process.group.message import (
    ConsensusEvent,
    Group,
    ProposeGroup,
)
from berylspool.process.group.repair import name_of
from berylspool.process.group.replica import Replica
from berylspool.process.settings import Settings
from berylspool.version.move import Move
from berylspool.version.operation import (
    Operation,
    ReplaceAll,
    ReplaceMove,
    operation_codec,
)
from berylspool.version.revision import apply_all
from berylspool.version.schema import to_configuration
from berylspool.version.statement import (
    AddControl,
    ChangeConfiguration,
    Command,
    CommandAnswer,
    RemoveControl,
    ReplaceControl,
    Show,
)

__all__ = ["Desk", "DeskHost", "initial_change", "move_change"]

OPERATIONS = operation_codec()
ANY_REVISION = -1


def _configure(
    command_id: str,
    base_revision: int,
    operations: tuple[Operation, ...],
    text: str,
    who: str,
    at: float,
) -> Configure:
    encoded = OPERATIONS.encode(operations)[HEADER_BYTES:]
    return Configure(command_id, base_revision, encoded, text, who, at)


def initial_change(settings: Settings, at: float) -> Configure:
    """Return the change that sets the initial configuration."""
    initial = ReplaceAll(to_configuration(settings.initial))
    return _configure("initial", 0, (initial,), "initial", "settings", at)


def move_change(before: Move, after: Move, at: float) -> Configure:
    """Return the change that replaces a move by its next state.

    Args:
        before: The move as it is stored.
        after: The move after its step.
        at: Time of the change, in seconds since the epoch.
    """
    command_id = f"move/{after.route}/{after.state}/{after.stage}/{at}"
    text = f"move {after.route}: {after.state}"
    operation = ReplaceMove(before, after)
    return _configure(
        command_id, ANY_REVISION, (operation,), text, "overseer", at
    )


class DeskHost(Protocol):
    """What the command handler needs of the control task it runs in."""

    name: str
    settings: Settings
    replica: Replica
    membership: membership.Membership
    overseer: Overseer
    announced_by_name: dict[str, str]

    def submit(self, change: Change, reply: Callable[[Any], None]) -> None:
        """Add a change to the next record of the log."""

    def wait_in_force(self, ask: Ask, answer: CommandAnswer) -> None:
        """Reply once the revision is in force at all entries."""

    async def step(self, event: ConsensusEvent) -> None:
        """Pass an event to the replica and carry out its outputs."""


class Desk:
    """Handles operators' commands on behalf of a control task.

    Args:
        control: The control task; all methods run inside it.
    """

    def __init__(self, control: DeskHost) -> None:
        self._control = control

    async def handle(self, ask: Ask) -> None:
        """Run a command; reply now, or once its change is committed."""
        # Imported on first use: loading the grammar makes a process start
        # take a tenth longer, and operators on the platform do not use it.
        from berylspool.version.language import parse

        try:
            command = parse(ask.text)
            if not isinstance(command, Show) and ask.role != "change":
                raise PermissionDeniedError(
                    "this token allows only `show`; a change needs a token"
                    " with the role 'change'"
                )
            if not self._control.replica.has_quorum_contact():
                ask.reply.put(self._elsewhere())
                return
            reply = await self._run(ask, command)
        except BerylspoolError as error:
            reply = Failed(error)
        if reply is not None:
            ask.reply.put(reply)

    def show_state(self, ask: AskState) -> None:
        """Reply with the configuration, if it is known to be the newest."""
        if not self._may_answer():
            ask.reply.put(self._elsewhere())
            return
        state = self._control.replica.state
        ask.reply.put(StateShown(state.configuration))

    def back_up(self, ask: AskBackup) -> None:
        """Reply with the encoded state; empty if this node does not lead.

        Only the leader is known to hold all committed changes.
        """
        replica = self._control.replica
        is_leading = replica.has_quorum_contact()
        ask.reply.put(encode_state(replica.state) if is_leading else b"")

    def change(self, ask: AskChange) -> None:
        """Submit an operator's change; reply once it is committed."""
        if not self._may_answer():
            ask.reply.put(self._elsewhere())
            return
        change = _configure(
            ask.command_id,
            ANY_REVISION,
            ask.operations,
            ask.text,
            "operator",
            time.time(),
        )
        self._control.submit(
            change, lambda answer: self._answer_change(ask, answer)
        )

    def _may_answer(self) -> bool:
        return self._control.replica.has_quorum_contact() and (
            self._revision() > 0
        )

    def _answer_change(self, ask: AskChange, answer: Any) -> None:
        match answer:
            case CommandAnswer():
                ask.reply.put(Decided(answer))
            case _:
                ask.reply.put(self._elsewhere())

    def _elsewhere(self) -> Elsewhere:
        leader = self._control.replica.leader
        if not leader or leader == self._control.name:
            return Elsewhere("", "")
        known = self._control.settings.controls.get(leader)
        return Elsewhere(leader, known.admin_address if known else "")

    async def _run(self, ask: Ask, command: Command) -> AskReply | None:
        match command:
            case Show():
                rows = rows_of(self._view(), command)
                return Shown(rows, self._revision())
            case ChangeConfiguration(operations=operations):
                return self._change(ask, operations)
            case AddControl() | ReplaceControl() | RemoveControl():
                await self._change_group(command)
                answer = CommandAnswer(ask.command_id, True, self._revision())
                return Decided(answer)

    def _revision(self) -> int:
        return self._control.replica.state.configuration.revision

    def _view(self) -> ControlView:
        control = self._control
        return ControlView(
            control.replica.state,
            control.membership,
            control.overseer,
            control.replica.node.group,
            control.replica.leader,
            control.replica.node.term,
            time.monotonic(),
            time.time(),
        )

    def _change(
        self, ask: Ask, operations: tuple[Operation, ...]
    ) -> AskReply | None:
        before = self._control.replica.state.configuration
        at = time.time()
        if ask.is_dry_run:
            after = apply_all(before, operations, at)
            return Shown(difference(before, after), before.revision)
        change = _configure(
            ask.command_id,
            ask.base_revision,
            operations,
            ask.text,
            ask.role,
            at,
        )
        self._control.submit(change, lambda answer: self._done(ask, answer))
        return None

    def _done(self, ask: Ask, answer: Any) -> None:
        if not isinstance(answer, CommandAnswer):
            # The leader has changed; the operator may resend the command
            # with the same id to the next one.
            ask.reply.put(self._elsewhere())
        elif answer.is_accepted and ask.is_waiting:
            self._control.wait_in_force(ask, answer)
        else:
            having, total, is_everywhere = membership.in_force(
                self._control.membership, answer.revision, time.monotonic()
            )
            ask.reply.put(Decided(answer, having, total, is_everywhere))

    async def _change_group(
        self, command: AddControl | ReplaceControl | RemoveControl
    ) -> None:
        node = self._control.replica.node
        before = node.group
        after = self._changed_group(command, before)
        await self._control.step(ProposeGroup(0, after))
        if node.group == before:
            raise NoLeaderError(
                "control group not changed: another change is pending, or"
                " this node no longer leads; try again"
            )

    def _changed_group(
        self,
        command: AddControl | ReplaceControl | RemoveControl,
        group: Group,
    ) -> Group:
        """Return the group after the first step of a command.

        A node that is added, or that replaces another, starts as a learner.
        """
        members = (*group.voters, *group.learners)
        known = [id for id in members if name_of(id) == command.name]
        match command:
            case AddControl(name=name):
                if known:
                    raise CommandError(
                        f"control node {name!r} is already in the group"
                    )
                return self._with_learner(name, group)
            case ReplaceControl(name=name):
                if not known:
                    raise UnknownNameError(
                        f"control node {name!r} is not in the group"
                    )
                return self._with_learner(name, group)
            case RemoveControl(name=name):
                if not known:
                    raise UnknownNameError(
                        f"control node {name!r} is not in the group"
                    )
                voters = tuple(x for x in group.voters if x not in known)
                if not voters:
                    raise CommandError(
                        f"control node {name!r} is the last voter and cannot"
                        " be removed"
                    )
                learners = tuple(x for x in group.learners if x not in known)
                return Group(voters, learners)

    def _with_learner(self, name: str, group: Group) -> Group:
        id = self._control.announced_by_name.get(name)
        if id is None or id in (*group.voters, *group.learners):
            raise CommandError(
                f"control node {name!r} has not announced a new identity;"
                " start it with an empty data folder"
            )
        return Group(group.voters, (*group.learners, id))
