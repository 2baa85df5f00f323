"""The task of a control node, which replicates the configuration."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from berylspool.common.event import (
    LeaderChanged,
    LinkChanged,
    ProcessStarted,
    ProcessStopped,
    StorageFailed,
)
from berylspool.common.frame import HEADER_BYTES
from berylspool.common.mailbox import Mailbox
from berylspool.common.metric import Metrics, set_gauge
from berylspool.connection.admin import (
    AdminServer,
    Ask,
    AskBackup,
    AskChange,
    AskState,
)
from berylspool.connection.control_message import (
    Addressed,
    Announce,
    DeltaSent,
    FoundingQuery,
    FoundingReply,
    Heartbeat,
    control_codec,
)
from berylspool.connection.listen import listen
from berylspool.connection.peer import LinkServer, Session
from berylspool.exception import ProtocolError, SettingsError, StorageError
from berylspool.process.control import membership, overseer
from berylspool.process.control.desk import Desk, initial_change, move_change
from berylspool.process.control.distribution import heard, members_changed
from berylspool.process.control.entry_sessions import EntrySessions
from berylspool.process.control.owed import (
    FromLink,
    FromSession,
    Owed,
    Pause,
    Waiting,
    answer_committed,
    answer_pauses,
    refuse,
    refuse_all,
    take_records,
)
from berylspool.process.control.surroundings import (
    ListingRead,
    Surroundings,
    read_listing,
)
from berylspool.process.control_links import control_links
from berylspool.process.group import consensus
from berylspool.process.group.change import Change, Configure, Seat
from berylspool.process.group.keeper import GroupKeeper
from berylspool.process.group.message import (
    ConsensusEvent,
    ProposeGroup,
    Received,
    Rejected,
    RoleChanged,
    SendTo,
    Ticked,
    consensus_codec,
)
from berylspool.process.group.repair import name_of
from berylspool.process.group.replica import Applied, Installed, Replica, Result
from berylspool.process.group.storage import Storage
from berylspool.process.lifetime import serve_until, stop_event
from berylspool.process.log import LogTask
from berylspool.process.settings import Settings
from berylspool.release import VERSION
from berylspool.request.ledger import Intend, Settle
from berylspool.version.statement import CommandAnswer

__all__ = ["Control"]

TICK_S = 0.05
WAIT_TIMEOUT_S = 30.0
NO_TAG = 0


class Control:
    """Task that owns a replica and the links of one control process.

    Args:
        name: Name of the node in the settings.
        settings: Settings of the deployment.
        is_init: Whether this may be the first start of the deployment.
        backup: Encoded state that a new deployment starts from.
        clock: Returns the monotonic time in seconds.
        wall: Returns the seconds since the epoch.
        surroundings: Services of the platform, and how nodes find each
            other.
        log: Log task to use; this task runs it. None creates one.

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
        wall: Callable[[], float] = time.time,
        surroundings: Surroundings = Surroundings(),  # noqa: B008
        log: LogTask | None = None,
    ) -> None:
        if name not in settings.controls:
            raise SettingsError(f"controls.{name}: not in the settings")
        self.name = name
        self.settings = settings
        self.inbox: Mailbox[Any] = Mailbox()
        self.membership = membership.Membership(settings.lease_s)
        self.overseer = overseer.Overseer()
        self.announced_by_name: dict[str, str] = {}
        self._own = settings.controls[name]
        self._surroundings = surroundings
        self._clock = clock
        self._wall = wall
        self._log = log or LogTask()
        self.metrics = Metrics()
        self._random = random.Random(secrets.randbits(64))
        self._owed = Owed()
        self._messages = consensus_codec()
        self._links = control_links(
            name,
            settings,
            surroundings.peer_port,
            sink=lambda _, message: self.inbox.put(FromLink(message)),
            up=lambda other: self._log.put(LinkChanged(other, "up")),
        )
        self._tasks: list[asyncio.Task[None]] = []
        founders = tuple(
            sorted(n for n, c in settings.controls.items() if c.is_voter)
        )
        storage = Storage(Path(self._own.data_folder))
        self.replica = Replica(
            name,
            storage,
            founders,
            is_init,
            clock,
            backup,
            surroundings.timing,
        )
        self._keeper = GroupKeeper(
            name,
            self.replica,
            self._links,
            self.announced_by_name,
            surroundings.voters,
            clock,
        )
        self._entries = EntrySessions(self.replica, settings.lease_s)
        self._desk = Desk(self)
        self._server = LinkServer(
            control_codec(),
            sink=lambda session, message: self.inbox.put(
                FromSession(session, message)
            ),
            closed=self._session_ended,
        )
        if surroundings.operators is not None:
            self._admin = surroundings.operators(self.inbox)
        else:
            self._admin = AdminServer(self.inbox, settings.tokens, self.metrics)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, or until the disk fails.

        Raises:
            StorageError: The disk failed.
        """
        stopping = stop_event()
        self._start()
        failure = await serve_until(stopping, self._serve(), self._tasks)
        self._log.put(ProcessStopped("control", self.name))
        self._log.close()
        if failure is not None:
            raise failure

    def _start(self) -> None:
        listen(self._server, self._own.address)
        self._admin.listen(self._own.admin_address)
        self._tasks.append(asyncio.ensure_future(self._log.run()))
        self._links.start()
        reader = self._surroundings.reader
        if reader is not None:
            reading = read_listing(
                reader, self.inbox, self.replica_leads, self._log.put
            )
            self._tasks.append(asyncio.ensure_future(reading))
        self._log.put(ProcessStarted("control", self.name, VERSION))

    def replica_leads(self) -> bool:
        """Return whether this node leads and has the newest state."""
        return self.replica.has_quorum_contact()

    def reload(self, settings: Settings) -> None:
        """Replace the settings; the new ones name the control nodes to ask."""
        self.settings = settings

    def _session_ended(
        self, session: Session, error: ProtocolError | None
    ) -> None:
        self._entries.forget(session)
        if error is not None:
            self._log.put(LinkChanged(session.peer or "unknown", str(error)))

    async def _serve(self) -> None:
        try:
            while True:
                for message in await self.inbox.take(TICK_S):
                    await self._handle(message)
                await self._propose_batch()
                await self._tick()
        except StorageError as error:
            self._log.put(StorageFailed(str(error)))
            raise

    async def _tick(self) -> None:
        if self.replica.is_founding:
            self._keeper.probe()
            return
        self.replica.node.jitter = self._random.random()
        await self.step(Ticked())
        if self.replica.has_quorum_contact():
            await self._lead()
        elif self._keeper.is_outside():
            self._keeper.announce(self.settings.controls)
        is_leader = self.replica.is_leader
        answer_pauses(self._owed, self.membership, self._clock(), is_leader)
        set_gauge(
            self.metrics, "berylspool_quorum_contact", self.replica_leads()
        )
        for name, value in self.replica.figures().items():
            set_gauge(self.metrics, name, value)

    async def _handle(self, message: Any) -> None:
        match message:
            case FromLink(message=FoundingReply() as reply):
                self.replica.confirm(reply.replier, reply.has_promised)
            case FromSession(session=session, message=inner):
                await self._handle_session(session, inner)
            case Ask():
                await self._desk.handle(message)
            case AskChange():
                self._desk.change(message)
            case AskState():
                self._desk.show_state(message)
            case ListingRead():
                self._entries.keep_listing(message.listed_by_id)
            case AskBackup():
                self._desk.back_up(message)

    async def _handle_session(self, session: Session, message: Any) -> None:
        match message:
            case FoundingQuery(id=id):
                promised = self.replica.has_promise(id)
                session.inbox.put(FoundingReply(id, promised, self.name))
            case Addressed(receiver=receiver) if (
                receiver and receiver == self.replica.node.id
            ):
                [inner] = self._messages.decode(message.body)
                await self.replica.note_promise(message.sender)
                await self.step(Received(message.sender, inner))
            case Announce(name=name, id=id):
                self.announced_by_name[name] = id
                self._keeper.pass_on(message)
            case Heartbeat():
                now = self._clock()
                membership.step(self.membership, heard(message), now)
                overseer.add(self.overseer, message.tallies)
                self._entries.hear(session, message, now)
            case Intend() | Settle():
                self.submit(message, session.inbox.put)

    def submit(
        self,
        change: Change,
        reply: Callable[[Any], None] = lambda answer: None,
    ) -> None:
        """Add a change to the next record of the log.

        Args:
            change: The change.
            reply: Takes its answer, or a `NotLeader`.
        """
        self._owed.batch.append(Waiting(change, reply))

    def wait_in_force(self, ask: Ask, answer: CommandAnswer) -> None:
        """Reply to an operator once a revision is in force everywhere."""
        until = self._clock() + WAIT_TIMEOUT_S
        self._owed.pauses.append(Pause(ask, answer, until))

    async def _propose_batch(self) -> None:
        for chunk in take_records(self._owed):
            event = self.replica.propose([item.change for item in chunk])
            self._owed.by_index[event.tag] = chunk
            await self.step(event)

    async def _lead(self) -> None:
        """Perform the periodic duties of a leader with a quorum."""
        group = self._keeper.next_group()
        if group is not None:
            await self.step(ProposeGroup(NO_TAG, group))
        configuration = self.replica.state.configuration
        if configuration.revision == 0:
            if not self._owed.by_index and not self._owed.batch:
                self.submit(initial_change(self.settings, self._wall()))
            return
        for action in membership.step(
            self.membership, membership.Ticked(), self._clock()
        ):
            self.submit(Seat(action.table))
        if self._owed.by_index or self._owed.batch:
            return
        for before, after in overseer.step(
            self.overseer, configuration, self._wall()
        ):
            self.submit(move_change(before, after, self._wall()))

    async def step(self, event: ConsensusEvent) -> None:
        """Pass an event to the replica and carry out its outputs.

        Raises:
            StorageError: The disk failed.
        """
        for output in await self.replica.step(event):
            match output:
                case SendTo(peer=peer, message=message):
                    body = self._messages.encode([message])[HEADER_BYTES:]
                    sent = Addressed(self.replica.node.id, peer, body)
                    self._links.put(name_of(peer), sent)
                case Rejected(tag=tag):
                    refuse(
                        self._owed.by_index.pop(tag, []), self.replica.leader
                    )
                case RoleChanged(role=role, term=term):
                    self._role_changed(role, term)
                case Applied():
                    self._applied(output)
                case Installed():
                    self._entries.start_anew()
                    self._seated()

    def _role_changed(self, role: str, term: int) -> None:
        self._log.put(LeaderChanged(self.name, role, term))
        refuse_all(self._owed, self.replica.leader)
        if role == consensus.Role.LEADER:
            led = membership.Led(term)
            membership.step(self.membership, led, self._clock())
            self.announced_by_name.clear()
            self._seated()

    def _seated(self) -> None:
        state = self.replica.state
        seated = membership.Seated(state.active, state.proposed)
        membership.step(self.membership, seated, self._clock())

    def _applied(self, applied: Applied) -> None:
        for result in applied.results:
            match result.change:
                case Configure() if result.after is not result.before:
                    self._changed(result, result.change)
                case Seat(table=table):
                    self._seated()
                    self._entries.keep_table(table)
                    self._log.put(members_changed(table))
        answers = [result.answer for result in applied.results]
        answer_committed(self._owed, applied.index, answers)

    def _changed(self, result: Result, change: Configure) -> None:
        before, after = result.before, result.after
        delta = DeltaSent(before.revision, change.operations, change.at)
        self._entries.keep_delta(delta)
        for event in overseer.move_events(before, after):
            self._log.put(event)
