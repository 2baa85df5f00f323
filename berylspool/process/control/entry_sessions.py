"""Sessions of the entries that are connected to a control node."""

from collections.abc import Callable
from dataclasses import dataclass

from berylspool.common.event import (
    Event,
    RequestBlamed,
    SlowUpstreamJudged,
)
from berylspool.connection.control_message import (
    DeltaSent,
    Heartbeat,
    NotLeader,
    UpstreamsJudged,
)
from berylspool.connection.message import MemberTable
from berylspool.connection.peer import Session
from berylspool.process.control.copy_lending import CopyLending, lend_copies
from berylspool.process.control.distribution import (
    DistributionState,
    EntryState,
    add_delta,
    add_table,
    drop_listing_of_other_terms,
    entry_updates,
    make_grant,
    newest_state,
    replace_listing,
    reported_state,
)
from berylspool.process.group.reconfiguration import node_name_from_id
from berylspool.process.group.replica import Replica
from berylspool.process.settings import Settings
from berylspool.version.containment.shared_evidence import (
    SharedEvidence,
    add_convicted,
    add_reports,
    ask_trials,
    expire,
    make_holds,
)
from berylspool.version.listing import ListedUpstream
from berylspool.version.pool.quarantine import Verdict
from berylspool.version.upstream.slow_upstreams import (
    SlowUpstreams,
    all_judgements,
    judge,
)

__all__ = ["EntrySessions"]

# Several round trips and heartbeats. An entry that still lacks an update after
# this time could not apply it, and gets what it lacks by its own report.
RESEND_AFTER_S = 1.0


@dataclass(slots=True)
class EntrySession:
    """What this node knows of the entry at the other end of a session.

    Attributes:
        session: The session.
        heartbeat: Newest heartbeat of the entry.
        received_at: Time at which it arrived, in monotonic seconds.
        state: State that the entry has, or will have once it has read all
            that was sent on this session.
        sent_at: Time of the newest update, in monotonic seconds.
        awaits_leader: Whether the heartbeat was refused because this node did
            not lead.
    """

    session: Session
    heartbeat: Heartbeat
    received_at: float
    state: EntryState
    sent_at: float = float("-inf")
    awaits_leader: bool = False


class EntrySessions:
    """Answers heartbeats of entries and sends them updates.

    Args:
        replica: Replica of this control node.
        settings: Settings of the deployment.
        log: Called with each log event.
        collect_usage: Called with each heartbeat that gets a grant; returns
            what the grant confirms.
    """

    def __init__(
        self,
        replica: Replica,
        settings: Settings,
        log: Callable[[Event], None],
        collect_usage: Callable[[Heartbeat], int] = lambda heartbeat: 0,
    ) -> None:
        self._log = log
        self._collect_usage = collect_usage
        self._replica = replica
        self._lease_s = settings.lease_s
        self._routing = settings.routing
        self._lending: CopyLending | None = None
        self._distribution = DistributionState()
        self._entry_by_session_id: dict[str, EntrySession] = {}
        # State that all entries with a lease have, or have been sent.
        self._pushed_state = EntryState()
        self._slow_upstreams = SlowUpstreams()
        self._crash_evidence = SharedEvidence()

    def answer_heartbeat(
        self, session: Session, heartbeat: Heartbeat, now: float
    ) -> None:
        """Answer a heartbeat; only a leader with a quorum grants a lease."""
        entry = self._record_heartbeat(session, heartbeat, now)
        if not self._replica.has_quorum_contact():
            self._lending = None
            self._slow_upstreams = SlowUpstreams()
            entry.awaits_leader = True
            self._pushed_state = EntryState()
            session.inbox.put(NotLeader(self._replica.leader))
            return
        self._grant(entry, now)
        self._tell_judgements(heartbeat, now)

    def _tell_judgements(self, heartbeat: Heartbeat, now: float) -> None:
        """Judge upstreams by an entry's reports; tell entries what changed."""
        if not heartbeat.observed:
            return
        judged = judge(
            self._slow_upstreams, heartbeat.member.name, heartbeat.observed, now
        )
        if not judged:
            return
        for judgement in judged:
            self._log(SlowUpstreamJudged(judgement.id, judgement.slowness))
        message = UpstreamsJudged(tuple(judged))
        for entry in self._entry_by_session_id.values():
            if entry.heartbeat.accepts_packed:
                entry.session.inbox.put(message)

    def _record_heartbeat(
        self, session: Session, heartbeat: Heartbeat, now: float
    ) -> EntrySession:
        reported = reported_state(heartbeat)
        entry = self._entry_by_session_id.get(session.id)
        if entry is None:
            entry = EntrySession(session, heartbeat, now, reported)
            self._entry_by_session_id[session.id] = entry
            judged = all_judgements(self._slow_upstreams, now)
            if judged and heartbeat.accepts_packed:
                session.inbox.put(UpstreamsJudged(tuple(judged)))
        entry.heartbeat, entry.received_at = heartbeat, now
        # The heartbeat may have been sent before an update arrived that is on
        # its way; what is sent on a session arrives in order.
        if now - entry.sent_at >= RESEND_AFTER_S:
            entry.state = reported
        return entry

    def _grant(self, entry: EntrySession, now: float) -> None:
        """Send what an entry lacks, followed by the lease."""
        entry.awaits_leader = False
        term = self._replica.node.term
        drop_listing_of_other_terms(self._distribution, term)
        if self._lending is None:
            self._lending = CopyLending(self._routing, now)
        newest = newest_state(self._distribution, self._replica.state)
        self._send_updates(entry, newest, now)
        self._add_evidence(entry, term, now)
        voters = self._replica.node.group.voters
        grant = make_grant(
            self._distribution,
            entry.heartbeat,
            self._replica.state,
            self._lease_s,
            tuple(node_name_from_id(id) for id in voters),
            lend_copies(self._lending, entry.heartbeat.wanted, now),
            self._collect_usage(entry.heartbeat),
            make_holds(
                self._crash_evidence, now, entry.heartbeat.known_holds or 0
            ),
            ask_trials(
                self._crash_evidence,
                entry.heartbeat.member.name,
                entry.heartbeat.trials_wanted,
                now,
            ),
        )
        entry.session.inbox.put(grant)

    def _add_evidence(self, entry: EntrySession, term: int, now: float) -> None:
        """Add what an entry reports of requests that may crash upstreams."""
        if self._crash_evidence.term != term:
            self._crash_evidence = SharedEvidence(term)
        evidence, heartbeat = self._crash_evidence, entry.heartbeat
        expire(evidence, now)
        if not (heartbeat.evidence or heartbeat.convicted):
            return
        held_before = set(evidence.held)
        offset_s = entry.received_at - heartbeat.sent_at
        add_reports(evidence, heartbeat.evidence, offset_s)
        add_convicted(evidence, heartbeat.convicted, now)
        for fingerprint in held_before ^ evidence.held.keys():
            is_held = fingerprint in evidence.held
            verdict = Verdict.CONVICTED if is_held else Verdict.CLEARED
            self._log(RequestBlamed(fingerprint, "", verdict))

    def _send_updates(
        self, entry: EntrySession, newest: EntryState, now: float
    ) -> None:
        if entry.state == newest:
            return
        updates = entry_updates(
            self._distribution,
            entry.state,
            self._replica.state,
            accepts_packed=entry.heartbeat.accepts_packed,
        )
        for update in updates:
            entry.session.inbox.put(update)
        entry.state = newest
        entry.sent_at = now

    def remove_session(self, session: Session) -> None:
        """Remove a session that has ended."""
        self._entry_by_session_id.pop(session.id, None)

    def push_updates(self, now: float) -> None:
        """Bring all connected entries to the newest state.

        Does nothing unless this node leads with a quorum. Entries whose last
        heartbeat came before that are granted their lease now.
        """
        if not self._replica.has_quorum_contact():
            return
        term = self._replica.node.term
        drop_listing_of_other_terms(self._distribution, term)
        newest = newest_state(self._distribution, self._replica.state)
        if newest == self._pushed_state:
            return
        self._pushed_state = newest
        for entry in self._entry_by_session_id.values():
            if entry.awaits_leader:
                self._grant(entry, now)
            else:
                self._send_updates(entry, newest, now)

    def store_listing(self, listed_by_id: dict[str, ListedUpstream]) -> None:
        """Store a listing from the platform.

        Does nothing unless this node leads with a quorum.
        """
        if self._replica.has_quorum_contact():
            term = self._replica.node.term
            replace_listing(self._distribution, term, listed_by_id)

    def add_delta(self, delta: DeltaSent) -> None:
        """Store a change of the configuration that was applied."""
        add_delta(self._distribution, delta)

    def add_table(self, table: MemberTable) -> None:
        """Store a member table that was committed."""
        add_table(self._distribution, table)

    def clear_deltas(self) -> None:
        """Drop the stored changes after a snapshot has replaced the state."""
        self._distribution.deltas.clear()
