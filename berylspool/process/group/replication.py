"""Log replication: records, snapshots, acknowledgements and commits.

Reference: Ongaro 2014, chapter 3; a leader commits only records of its own
term by counting replicas (section 3.6.2).
"""

from berylspool.process.group.message import (
    AppendRecords,
    AppendReply,
    AppendToLog,
    ApplyRecords,
    ConsensusAction,
    InstallSnapshot,
    Record,
    RecordKind,
    SaveSnapshot,
    SendMessage,
)
from berylspool.process.group.node import (
    Node,
    Role,
    become_follower,
    last_log_index,
    latest_group,
    other_members,
    term_at,
)

__all__ = [
    "advance_commit_index",
    "append_as_leader",
    "commit_up_to",
    "on_append_records",
    "on_append_reply",
    "on_install_snapshot",
    "replicate_to",
    "start_heartbeat_round",
]

MAX_RECORDS_PER_MESSAGE = 256


def on_append_records(
    node: Node, sender: str, message: AppendRecords
) -> list[ConsensusAction]:
    """Append the records of the leader, or acknowledge its heartbeat."""
    local_term = term_at(node, message.previous_index)
    if message.previous_index < node.snapshot.index:
        # The snapshot already covers these committed records.
        reply = AppendReply(node.term, True, node.snapshot.index, message.round)
        return [SendMessage(sender, reply)]
    if local_term != message.previous_term:
        retry_index = min(last_log_index(node), message.previous_index - 1)
        reply = AppendReply(
            node.term,
            False,
            max(retry_index, node.snapshot.index),
            message.round,
        )
        return [SendMessage(sender, reply)]
    actions = _merge_records(node, message.records)
    match_index = message.previous_index + len(message.records)
    reply = AppendReply(node.term, True, match_index, message.round)
    actions.append(SendMessage(sender, reply))
    return actions + commit_up_to(node, min(message.commit, match_index))


def _merge_records(
    node: Node, records: tuple[Record, ...]
) -> list[ConsensusAction]:
    """Append the records that are new, replacing those of another term."""
    new_records = [
        record
        for record in records
        if term_at(node, record.index) != record.term
    ]
    if not new_records:
        return []
    first_index = new_records[0].index
    assert first_index > node.commit_index, "a committed record must not change"
    new_records = [record for record in records if record.index >= first_index]
    del node.log[first_index - node.snapshot.index - 1 :]
    node.log.extend(new_records)
    node.group = latest_group(node.snapshot, node.log)
    return [AppendToLog(tuple(new_records))]


def on_install_snapshot(
    node: Node, sender: str, message: InstallSnapshot
) -> list[ConsensusAction]:
    """Install a snapshot of the leader, unless all of it is committed here."""
    snapshot = message.snapshot
    reply = AppendReply(node.term, True, snapshot.index, message.round)
    if snapshot.index <= node.commit_index:
        return [SendMessage(sender, reply)]
    node.log = []
    node.snapshot = snapshot
    node.commit_index = snapshot.index
    node.group = snapshot.group
    save = SaveSnapshot(snapshot, is_installed=True, later_records=())
    return [save, SendMessage(sender, reply)]


def on_append_reply(
    node: Node, sender: str, message: AppendReply, now: float
) -> list[ConsensusAction]:
    """Update the progress of a peer; commit and send more if possible."""
    if message.term > node.term:
        return become_follower(node, message.term, "", now)
    progress = node.progress_by_peer.get(sender)
    if node.role is not Role.LEADER or progress is None:
        return []
    if message.term < node.term:
        return []
    progress.replied_at = now
    progress.echoed_round = max(progress.echoed_round, message.round)
    _update_quorum_round(node)
    if not message.is_accepted:
        progress.next_index = max(
            1, min(progress.next_index - 1, message.match + 1)
        )
        return [replicate_to(node, sender)]
    progress.match_index = max(progress.match_index, message.match)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    actions = advance_commit_index(node)
    if progress.next_index <= last_log_index(node):
        actions.append(replicate_to(node, sender))
    return actions


def _update_quorum_round(node: Node) -> None:
    """Record the start of the newest heartbeat round that a quorum echoed."""
    echoed_rounds = sorted(
        node.heartbeat_round
        if voter == node.id
        else node.progress_by_peer[voter].echoed_round
        for voter in node.group.voters
        if voter == node.id or voter in node.progress_by_peer
    )
    quorum_round = echoed_rounds[-(len(node.group.voters) // 2 + 1)]
    if quorum_round in node.start_by_round:
        node.quorum_round_start = max(
            node.quorum_round_start, node.start_by_round[quorum_round]
        )
        for obsolete_round in [
            n for n in node.start_by_round if n < quorum_round
        ]:
            del node.start_by_round[obsolete_round]


def start_heartbeat_round(node: Node, now: float) -> list[ConsensusAction]:
    """Start a heartbeat round and send the next records to every peer."""
    node.heartbeat_due_at = now + node.timing.heartbeat_interval_s
    node.heartbeat_round += 1
    node.start_by_round[node.heartbeat_round] = now
    if node.group.voters == (node.id,):
        node.quorum_round_start = now
    return [replicate_to(node, peer) for peer in other_members(node)]


def replicate_to(node: Node, peer: str) -> SendMessage:
    """Send a peer its next records and advance its next index past them.

    A snapshot is sent instead if the log no longer holds the record before
    them.
    """
    progress = node.progress_by_peer[peer]
    previous_index = progress.next_index - 1
    previous_term = term_at(node, previous_index)
    if previous_term is None:
        message = InstallSnapshot(
            node.term, node.snapshot, node.heartbeat_round
        )
        progress.next_index = node.snapshot.index + 1
        return SendMessage(peer, message)
    start = previous_index - node.snapshot.index
    records = tuple(node.log[start : start + MAX_RECORDS_PER_MESSAGE])
    # Pipelined: later records may be sent before these are acknowledged.
    progress.next_index = previous_index + len(records) + 1
    return SendMessage(
        peer,
        AppendRecords(
            node.term,
            previous_index,
            previous_term,
            records,
            node.commit_index,
            node.heartbeat_round,
        ),
    )


def append_as_leader(
    node: Node, kind: RecordKind, body: bytes
) -> list[ConsensusAction]:
    """Append a new record to the log of a leader."""
    record = Record(last_log_index(node) + 1, node.term, kind, body)
    node.log.append(record)
    return [AppendToLog((record,))]


def advance_commit_index(node: Node) -> list[ConsensusAction]:
    """Commit up to the last record on a quorum, if its term is current."""
    match_indexes = sorted(
        last_log_index(node)
        if voter == node.id
        else node.progress_by_peer[voter].match_index
        for voter in node.group.voters
    )
    if not match_indexes:
        return []
    quorum_index = match_indexes[-(len(match_indexes) // 2 + 1)]
    if term_at(node, quorum_index) != node.term:
        return []
    return commit_up_to(node, quorum_index)


def commit_up_to(node: Node, index: int) -> list[ConsensusAction]:
    """Advance the commit index and apply the records newly committed."""
    if index <= node.commit_index:
        return []
    start = node.commit_index - node.snapshot.index
    end = index - node.snapshot.index
    node.commit_index = index
    return [ApplyRecords(tuple(node.log[start:end]))]
