"""The task of a control node, which replicates the configuration."""

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from berylspool.common.event import (
    DiskRoom,
    LeaderChanged,
    LinkChanged,
    ProcessStarted,
    ProcessStopped,
    StorageFailed,
)
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics, set_gauge
from berylspool.connection.admin import (
    AdminServer,
    BackupRequest,
    ChangeRequest,
    CommandRequest,
    ConfigurationRequest,
)
from berylspool.connection.control_message import (
    Addressed,
    Announce,
    DeltaSent,
    FoundingQuery,
    FoundingReply,
    Heartbeat,
    make_control_codec,
)
from berylspool.connection.listen import listen
from berylspool.connection.peer import LinkServer, Session
from berylspool.exception import (
    FrameError,
    ProtocolError,
    SettingsError,
    StorageError,
)
from berylspool.process.control import membership, move_control
from berylspool.process.control.consensus_transport import ConsensusTransport
from berylspool.process.control.distribution import (
    heartbeat_event,
    members_changed_event,
)
from berylspool.process.control.entry_sessions import EntrySessions
from berylspool.process.control.leader_duties import due_changes
from berylspool.process.control.operator_commands import (
    OperatorCommandHandler,
)
from berylspool.process.control.pending_replies import (
    LinkMessage,
    PendingChange,
    PendingReplies,
    SessionMessage,
    add_rollout_wait,
    answer_committed_changes,
    answer_rollout_waits,
    refuse_changes,
    refuse_uncommitted,
    take_record_batches,
)
from berylspool.process.control.platform_integration import (
    ListingFetched,
    PlatformIntegration,
    poll_listing,
)
from berylspool.process.control_links import make_control_links
from berylspool.process.group import consensus
from berylspool.process.group.group_manager import (
    GroupManager,
    gauge_by_name,
)
from berylspool.process.group.message import (
    ConsensusEvent,
    MessageReceived,
    ProposalRejected,
    ProposeGroup,
    RoleChanged,
    SendMessage,
    Tick,
)
from berylspool.process.group.replica import Replica
from berylspool.process.group.replica_output import (
    ChangeResult,
    DiskRoomChanged,
    RecordApplied,
    ReplicaOutput,
    SnapshotInstalled,
)
from berylspool.process.group.state_machine import Change, Configure, Seat
from berylspool.process.group.storage import Storage
from berylspool.process.lifetime import make_stop_event, serve_until_stopped
from berylspool.process.log import LogTask
from berylspool.process.settings import Settings
from berylspool.release import VERSION
from berylspool.request.ledger import Intend, Settle
from berylspool.version.operator_command import CommandAnswer

__all__ = ["ControlNode"]

TICK_INTERVAL_S = 0.05
NO_TAG = 0


class ControlNode:
    """Task that owns a replica and the links of one control process.

    Args:
        name: Name of the node in the settings.
        settings: Settings of the deployment.
        is_init: Whether this may be the first start of the deployment.
        backup: Encoded state that a new deployment starts from.
        clock: Returns the monotonic time in seconds.
        wall_clock: Returns the seconds since the epoch.
        platform: Services of the platform, and how to find the other nodes.
        log: Log task, which this task runs; None creates one.

    Raises:
        SettingsError: The settings name no such control node.
        StorageError: The data folder cannot be used.
    """

    def __init__(
        self,
        name: str,
        settings: Settings,
        is_init: bool = False,
        backup: bytes = b"",
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        platform: PlatformIntegration = PlatformIntegration(),  # noqa: B008
        log: LogTask | None = None,
    ) -> None:
        if name not in settings.controls:
            raise SettingsError(f"controls.{name}: not in the settings")
        self.name = name
        self.settings = settings
        self.inbox: Mailbox[Any] = Mailbox()
        self.membership = membership.Membership(settings.lease_s)
        self.move_control = move_control.MoveControl()
        self.announced_id_by_name: dict[str, str] = {}
        self._node_settings = settings.controls[name]
        self._platform = platform
        self._clock = clock
        self._wall_clock = wall_clock
        self._log = log or LogTask()
        self.metrics = Metrics()
        self._pending = PendingReplies()
        self._links = make_control_links(
            name,
            settings,
            platform.peer_port,
            sink=lambda _, message: self.inbox.put(LinkMessage(message)),
            on_open=lambda other: self._log.put(LinkChanged(other, "up")),
        )
        self._transport = ConsensusTransport(self._links)
        self._tasks: list[asyncio.Task[None]] = []
        founders = tuple(
            sorted(n for n, c in settings.controls.items() if c.is_voter)
        )
        own = self._node_settings
        storage = Storage(Path(own.data_folder), own.full_disk_marker)
        self.replica = Replica(
            name, storage, founders, is_init, clock, backup, platform.timing
        )
        self._group_manager = GroupManager(
            name,
            self.replica,
            self._links,
            self.announced_id_by_name,
            platform.voter_count,
            clock,
        )
        self._entry_sessions = EntrySessions(
            self.replica, settings, self._log.put
        )
        self._command_handler = OperatorCommandHandler(self)
        self._server = LinkServer(
            make_control_codec(),
            sink=lambda session, message: self.inbox.put(
                SessionMessage(session, message)
            ),
            on_session_end=self._handle_session_end,
        )
        self._admin = (
            platform.make_operator_server(self.inbox, self.metrics)
            if platform.make_operator_server is not None
            else AdminServer(self.inbox, settings.tokens, self.metrics)
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, or until the disk fails.

        Raises:
            StorageError: The disk failed.
        """
        stop = make_stop_event()
        self._start()
        failure = await serve_until_stopped(stop, self._serve(), self._tasks)
        self._log.put(ProcessStopped("control", self.name))
        self._log.close()
        if failure is not None:
            raise failure

    def _start(self) -> None:
        listen(self._server, self._node_settings.address)
        self._admin.listen(self._node_settings.admin_address)
        self._tasks.append(asyncio.ensure_future(self._log.run()))
        self._links.start()
        reader, replica = self._platform.list_reader, self.replica
        if reader is not None:
            polling = poll_listing(
                reader, self.inbox, replica.has_quorum_contact, self._log.put
            )
            self._tasks.append(asyncio.ensure_future(polling))
        self._log.put(ProcessStarted("control", self.name, VERSION))

    def reload(self, settings: Settings) -> None:
        """Replace the settings, which name the other control nodes."""
        self.settings = settings

    def _handle_session_end(
        self, session: Session, error: ProtocolError | None
    ) -> None:
        self._entry_sessions.remove_session(session)
        if error is not None:
            self._log.put(LinkChanged(session.peer or "unknown", str(error)))

    async def _serve(self) -> None:
        try:
            while True:
                for message in await self.inbox.take(TICK_INTERVAL_S):
                    await self._handle_message(message)
                await self._propose_changes()
                await self._tick()
                self._entry_sessions.push_updates(self._clock())
        except StorageError as error:
            self._log.put(StorageFailed(str(error)))
            raise

    async def _tick(self) -> None:
        if self.replica.is_founding:
            self._group_manager.query_founders()
            return
        self._handle_outputs(await self.replica.rejoin_if_room())
        for name, value in gauge_by_name(self.replica).items():
            set_gauge(self.metrics, name, value)
        if not self.replica.has_room:
            return
        self.replica.node.jitter = random.random()
        await self.step(Tick())
        if self.replica.has_quorum_contact():
            await self._run_leader_duties()
        elif self._group_manager.may_be_outside_group():
            self._group_manager.announce_identity(self.settings.controls)
        now, is_leader = self._clock(), self.replica.is_leader
        answer_rollout_waits(self._pending, self.membership, now, is_leader)

    async def _handle_message(self, message: Any) -> None:
        match message:
            case LinkMessage(message=FoundingReply() as reply):
                self.replica.on_founder_reply(reply.replier, reply.has_promised)
            case SessionMessage(session=session, message=inner):
                await self._handle_session(session, inner)
            case CommandRequest():
                await self._command_handler.handle_command(message)
            case ChangeRequest():
                self._command_handler.submit_change(message)
            case ConfigurationRequest():
                self._command_handler.reply_configuration(message)
            case ListingFetched():
                self._entry_sessions.store_listing(message.listed_by_id)
            case BackupRequest():
                self._command_handler.reply_backup(message)

    async def _handle_session(self, session: Session, message: Any) -> None:
        match message:
            case FoundingQuery():
                session.inbox.put(self._group_manager.answer_founder(message))
            case Addressed(receiver=receiver) if (
                receiver and receiver == self.replica.node.id
            ):
                await self._receive_consensus(message)
            case Announce():
                self._group_manager.handle_announcement(message)
            case Heartbeat():
                now = self._clock()
                membership.step(self.membership, heartbeat_event(message), now)
                move_control.add_tallies(self.move_control, message.tallies)
                self._entry_sessions.answer_heartbeat(session, message, now)
            case Intend() | Settle():
                self.submit(message, session.inbox.put)

    async def _receive_consensus(self, addressed: Addressed) -> None:
        try:
            message = self._transport.decode(addressed)
        except FrameError as error:
            self._log.put(LinkChanged(addressed.sender, str(error)))
            return
        self._handle_outputs(await self.replica.record_sender(addressed.sender))
        await self.step(MessageReceived(addressed.sender, message))

    def submit(
        self,
        change: Change,
        reply: Callable[[Any], None] = lambda answer: None,
    ) -> None:
        """Add a change to the next record of the log.

        `reply` receives the answer to the change, or a `NotLeader`.
        """
        self._pending.batch.append(PendingChange(change, reply))

    def await_rollout(
        self, request: CommandRequest, answer: CommandAnswer
    ) -> None:
        """Reply to an operator once a revision is in force everywhere."""
        add_rollout_wait(self._pending, request, answer, self._clock())

    async def _propose_changes(self) -> None:
        for changes in take_record_batches(self._pending):
            event = self.replica.propose([change.change for change in changes])
            self._pending.proposed_by_index[event.tag] = changes
            await self.step(event)

    async def _run_leader_duties(self) -> None:
        """Perform the periodic duties of a leader with a quorum."""
        group = self._group_manager.plan_group_change()
        if group is not None:
            await self.step(ProposeGroup(NO_TAG, group))
        now, wall_now = self._clock(), self._wall_clock()
        for change in due_changes(self, self._pending, now, wall_now):
            self.submit(change)

    async def step(self, event: ConsensusEvent) -> None:
        """Pass an event to the replica and execute its outputs.

        Raises:
            StorageError: The disk failed.
        """
        self._handle_outputs(await self.replica.step(event))

    def _handle_outputs(self, outputs: list[ReplicaOutput]) -> None:
        for output in outputs:
            match output:
                case SendMessage():
                    self._transport.send(self.replica.node.id, output)
                case ProposalRejected(tag=tag):
                    refuse_changes(
                        self._pending.proposed_by_index.pop(tag, []),
                        self.replica.leader,
                    )
                case RoleChanged(role=role, term=term):
                    self._handle_role_change(role, term)
                case RecordApplied():
                    self._handle_record_applied(output)
                case DiskRoomChanged(has_room=has_room, error=error):
                    self._log.put(DiskRoom(has_room, error))
                case SnapshotInstalled():
                    self._entry_sessions.clear_deltas()
                    self._load_member_tables()

    def _handle_role_change(self, role: str, term: int) -> None:
        self._log.put(LeaderChanged(self.name, role, term))
        refuse_uncommitted(self._pending, self.replica.leader)
        if role == consensus.Role.LEADER:
            event = membership.LeadershipGained(term)
            membership.step(self.membership, event, self._clock())
            self.announced_id_by_name.clear()
            self._load_member_tables()

    def _load_member_tables(self) -> None:
        tables = self.replica.state
        event = membership.TablesCommitted(tables.active, tables.proposed)
        membership.step(self.membership, event, self._clock())

    def _handle_record_applied(self, record: RecordApplied) -> None:
        for result in record.results:
            match result.change:
                case Configure() if result.after is not result.before:
                    self._publish_change(result, result.change)
                case Seat(table=table):
                    self._load_member_tables()
                    self._entry_sessions.add_table(table)
                    self._log.put(members_changed_event(table))
        answers = [result.answer for result in record.results]
        answer_committed_changes(self._pending, record.index, answers)

    def _publish_change(self, result: ChangeResult, change: Configure) -> None:
        before, after = result.before, result.after
        self._entry_sessions.add_delta(
            DeltaSent(before.revision, change.operations, change.at)
        )
        for event in move_control.move_changed_events(before, after):
            self._log.put(event)
