"""Handling of operators' commands inside the control task."""

import time
from collections.abc import Callable
from typing import Any, Protocol

from berylspool.common.frame import HEADER_BYTES
from berylspool.connection.admin import (
    BackupRequest,
    ChangeRequest,
    CommandFailure,
    CommandReply,
    CommandRequest,
    CommandResult,
    CommandRows,
    CommittedConfiguration,
    ConfigurationRequest,
    LeaderRedirect,
)
from berylspool.exception import (
    BerylspoolError,
    CommandError,
    NoLeaderError,
    PermissionDeniedError,
    UnknownNameError,
)
from berylspool.process.control import membership
from berylspool.process.control.duty.usage_duty import UsageDuty
from berylspool.process.control.move_control import MoveControl
from berylspool.process.control.show_rows import (
    ControlView,
    configuration_difference,
    select_rows,
)
from berylspool.process.group.message import (
    ConsensusEvent,
    Group,
    ProposeGroup,
)
from berylspool.process.group.reconfiguration import node_name_from_id
from berylspool.process.group.replica import Replica
from berylspool.process.group.state_machine import (
    Change,
    Configure,
    encode_state,
)
from berylspool.process.settings import Settings
from berylspool.version.move import Move
from berylspool.version.operation import (
    Operation,
    ReplaceAll,
    ReplaceMove,
    operation_codec,
)
from berylspool.version.operator_command import (
    AddControl,
    ChangeConfiguration,
    Command,
    CommandAnswer,
    RemoveControl,
    ReplaceControl,
    Show,
)
from berylspool.version.revision import apply_operations
from berylspool.version.schema import to_configuration

__all__ = [
    "CommandHost",
    "OperatorCommandHandler",
    "OperatorRequest",
    "initial_change",
    "move_change",
]

OPERATIONS_CODEC = operation_codec()
ANY_REVISION = -1

OperatorRequest = (
    CommandRequest | ChangeRequest | ConfigurationRequest | BackupRequest
)


def _encode_change(
    command_id: str,
    base_revision: int,
    operations: tuple[Operation, ...],
    text: str,
    who: str,
    at: float,
) -> Configure:
    encoded = OPERATIONS_CODEC.encode(operations)[HEADER_BYTES:]
    return Configure(command_id, base_revision, encoded, text, who, at)


def initial_change(settings: Settings, at: float) -> Configure:
    """Return the change that sets the initial configuration."""
    initial = ReplaceAll(to_configuration(settings.initial))
    return _encode_change("initial", 0, (initial,), "initial", "settings", at)


def move_change(before: Move, after: Move, at: float) -> Configure:
    """Return the change that replaces a move by its next state.

    Args:
        before: The move as stored now.
        after: The move in its next state.
        at: Time of the change, in seconds since the epoch.
    """
    command_id = f"move/{after.route}/{after.state}/{after.stage}/{at}"
    text = f"move {after.route}: {after.state}"
    operation = ReplaceMove(before, after)
    return _encode_change(
        command_id, ANY_REVISION, (operation,), text, "overseer", at
    )


class CommandHost(Protocol):
    """The parts of the control task that the command handler uses."""

    name: str
    settings: Settings
    replica: Replica
    membership: membership.Membership
    move_control: MoveControl
    duty: UsageDuty
    announced_id_by_name: dict[str, str]

    def submit(self, change: Change, reply: Callable[[Any], None]) -> None:
        """Add a change to the next record of the log."""

    def await_rollout(
        self, request: CommandRequest, answer: CommandAnswer
    ) -> None:
        """Reply once the revision is in force at all entries."""

    async def step(self, event: ConsensusEvent) -> None:
        """Pass an event to the replica and execute its outputs."""


class OperatorCommandHandler:
    """Handles operators' commands on behalf of a control task.

    Args:
        control: The control task; all methods run inside it.
    """

    def __init__(self, control: CommandHost) -> None:
        self._control = control

    async def handle(self, request: OperatorRequest) -> None:
        """Handle a request of an operator."""
        match request:
            case CommandRequest():
                await self.handle_command(request)
            case ChangeRequest():
                self.submit_change(request)
            case ConfigurationRequest():
                self.reply_configuration(request)
            case BackupRequest():
                self.reply_backup(request)

    async def handle_command(self, request: CommandRequest) -> None:
        """Run a command; reply at once, or after its change is committed."""
        # Imported on first use: loading the grammar lengthens the start-up
        # of a process by a tenth, and operators on the platform do not
        # use the command language.
        from berylspool.version.language import parse_command

        try:
            command = parse_command(request.text)
            if not isinstance(command, Show) and request.role != "change":
                raise PermissionDeniedError(
                    "this token allows only `show`; a change needs a token"
                    " with the role 'change'"
                )
            if not self._control.replica.has_quorum_contact():
                request.reply.put(self._redirect_reply())
                return
            reply = await self._run_command(request, command)
        except BerylspoolError as error:
            reply = CommandFailure(error)
        if reply is not None:
            request.reply.put(reply)

    def reply_configuration(self, request: ConfigurationRequest) -> None:
        """Reply with the committed configuration, or redirect to the leader.

        Only a leader with a quorum is known to have the newest configuration;
        revision 0 means that none is committed yet.
        """
        if not self._has_newest_configuration():
            request.reply.put(self._redirect_reply())
            return
        state = self._control.replica.state
        request.reply.put(CommittedConfiguration(state.configuration))

    def reply_backup(self, request: BackupRequest) -> None:
        """Reply with the encoded state; empty if this node does not lead.

        Only the leader is known to hold all committed changes.
        """
        replica = self._control.replica
        is_leading = replica.has_quorum_contact()
        request.reply.put(encode_state(replica.state) if is_leading else b"")

    def submit_change(self, request: ChangeRequest) -> None:
        """Submit an operator's change; reply once it is committed."""
        if not self._has_newest_configuration():
            request.reply.put(self._redirect_reply())
            return
        change = _encode_change(
            request.command_id,
            ANY_REVISION,
            request.operations,
            request.text,
            "operator",
            time.time(),
        )
        self._control.submit(
            change, lambda answer: self._answer_change(request, answer)
        )

    def _has_newest_configuration(self) -> bool:
        return self._control.replica.has_quorum_contact() and (
            self._revision() > 0
        )

    def _answer_change(self, request: ChangeRequest, answer: Any) -> None:
        match answer:
            case CommandAnswer():
                request.reply.put(CommandResult(answer))
            case _:
                request.reply.put(self._redirect_reply())

    def _redirect_reply(self) -> LeaderRedirect:
        leader = self._control.replica.leader
        if not leader or leader == self._control.name:
            return LeaderRedirect("", "")
        node_settings = self._control.settings.controls.get(leader)
        return LeaderRedirect(
            leader, node_settings.admin_address if node_settings else ""
        )

    async def _run_command(
        self, request: CommandRequest, command: Command
    ) -> CommandReply | None:
        match command:
            case Show():
                rows = select_rows(self._control_view(), command)
                return CommandRows(rows, self._revision())
            case ChangeConfiguration(operations=operations):
                return self._change_configuration(request, operations)
            case AddControl() | ReplaceControl() | RemoveControl():
                await self._change_group(command)
                answer = CommandAnswer(
                    request.command_id, True, self._revision()
                )
                return CommandResult(answer)

    def _revision(self) -> int:
        return self._control.replica.state.configuration.revision

    def _control_view(self) -> ControlView:
        control = self._control
        return ControlView(
            control.replica.state,
            control.membership,
            control.move_control,
            control.duty.calls_by_outcome,
            control.duty.report_age_s(),
            control.replica.node.group,
            control.replica.leader,
            control.replica.node.term,
            time.monotonic(),
            time.time(),
        )

    def _change_configuration(
        self, request: CommandRequest, operations: tuple[Operation, ...]
    ) -> CommandReply | None:
        before = self._control.replica.state.configuration
        at = time.time()
        if request.is_dry_run:
            after = apply_operations(before, operations, at)
            return CommandRows(
                configuration_difference(before, after), before.revision
            )
        change = _encode_change(
            request.command_id,
            request.base_revision,
            operations,
            request.text,
            request.role,
            at,
        )
        self._control.submit(
            change, lambda answer: self._answer_command(request, answer)
        )
        return None

    def _answer_command(self, request: CommandRequest, answer: Any) -> None:
        if not isinstance(answer, CommandAnswer):
            # The leader has changed; the operator may resend the command
            # with the same id to the next one.
            request.reply.put(self._redirect_reply())
        elif answer.is_accepted and request.waits_until_in_force:
            self._control.await_rollout(request, answer)
        else:
            in_force_count, total, is_everywhere = membership.rollout_status(
                self._control.membership, answer.revision, time.monotonic()
            )
            request.reply.put(
                CommandResult(answer, in_force_count, total, is_everywhere)
            )

    async def _change_group(
        self, command: AddControl | ReplaceControl | RemoveControl
    ) -> None:
        node = self._control.replica.node
        before = node.group
        after = self._group_after(command, before)
        await self._control.step(ProposeGroup(0, after))
        if node.group == before:
            raise NoLeaderError(
                "control group not changed: another change is pending, or"
                " this node no longer leads; try again"
            )

    def _group_after(
        self,
        command: AddControl | ReplaceControl | RemoveControl,
        group: Group,
    ) -> Group:
        """Return the group after the first step of a group change.

        A node that is added, or that replaces another, starts as a learner.
        """
        members = (*group.voters, *group.learners)
        matching_ids = [
            id for id in members if node_name_from_id(id) == command.name
        ]
        match command:
            case AddControl(name=name):
                if matching_ids:
                    raise CommandError(
                        f"control node {name!r} is already in the group"
                    )
                return self._with_learner(name, group)
            case ReplaceControl(name=name):
                if not matching_ids:
                    raise UnknownNameError(
                        f"control node {name!r} is not in the group"
                    )
                return self._with_learner(name, group)
            case RemoveControl(name=name):
                if not matching_ids:
                    raise UnknownNameError(
                        f"control node {name!r} is not in the group"
                    )
                voters = tuple(
                    id for id in group.voters if id not in matching_ids
                )
                if not voters:
                    raise CommandError(
                        f"control node {name!r} is the last voter and cannot"
                        " be removed"
                    )
                learners = tuple(
                    id for id in group.learners if id not in matching_ids
                )
                return Group(voters, learners)

    def _with_learner(self, name: str, group: Group) -> Group:
        id = self._control.announced_id_by_name.get(name)
        if id is None or id in (*group.voters, *group.learners):
            raise CommandError(
                f"control node {name!r} has not announced a new identity;"
                " start it with an empty data folder"
            )
        return Group(group.voters, (*group.learners, id))
