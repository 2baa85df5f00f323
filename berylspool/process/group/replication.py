"""Log replication: records, snapshots, acknowledgements and commits.

Reference: Ongaro 2014, chapter 3; a leader commits only records of its own
term by counting replicas (section 3.6.2).
"""

from berylspool.process.group.message import (
    AppendRecords,
    AppendReply,
    AppendToLog,
    Apply,
    ConsensusAction,
    InstallSnapshot,
    Record,
    RecordKind,
    SaveSnapshot,
    SendTo,
)
from berylspool.process.group.node import (
    Node,
    Role,
    follow,
    group_of,
    last_index,
    peers,
    term_at,
)

__all__ = [
    "on_records",
    "on_snapshot",
    "on_append_reply",
    "heartbeat",
    "records_for",
    "append_own",
    "advance_commit",
    "commit_to",
]

RECORDS_PER_MESSAGE = 256


def on_records(
    node: Node, sender: str, message: AppendRecords
) -> list[ConsensusAction]:
    """Append the records of the leader, or acknowledge its heartbeat."""
    known = term_at(node, message.previous_index)
    if message.previous_index < node.snapshot.index:
        # The snapshot already covers these committed records.
        reply = AppendReply(node.term, True, node.snapshot.index, message.round)
        return [SendTo(sender, reply)]
    if known != message.previous_term:
        hint = min(last_index(node), message.previous_index - 1)
        reply = AppendReply(
            node.term, False, max(hint, node.snapshot.index), message.round
        )
        return [SendTo(sender, reply)]
    actions = _merge(node, message.records)
    match_index = message.previous_index + len(message.records)
    reply = AppendReply(node.term, True, match_index, message.round)
    actions.append(SendTo(sender, reply))
    return actions + commit_to(node, min(message.commit, match_index))


def _merge(node: Node, records: tuple[Record, ...]) -> list[ConsensusAction]:
    """Append the records that are new, replacing those of another term."""
    new = [
        record
        for record in records
        if term_at(node, record.index) != record.term
    ]
    if not new:
        return []
    first = new[0].index
    assert first > node.commit, "a committed record must not change"
    new = [record for record in records if record.index >= first]
    del node.log[first - node.snapshot.index - 1 :]
    node.log.extend(new)
    node.group = group_of(node.snapshot, node.log)
    return [AppendToLog(tuple(new))]


def on_snapshot(
    node: Node, sender: str, message: InstallSnapshot
) -> list[ConsensusAction]:
    """Install a snapshot of the leader, unless all of it is committed here."""
    snapshot = message.snapshot
    reply = AppendReply(node.term, True, snapshot.index, message.round)
    if snapshot.index <= node.commit:
        return [SendTo(sender, reply)]
    node.log = []
    node.snapshot = snapshot
    node.commit = snapshot.index
    node.group = snapshot.group
    save = SaveSnapshot(snapshot, is_installed=True, kept=())
    return [save, SendTo(sender, reply)]


def on_append_reply(
    node: Node, sender: str, message: AppendReply, now: float
) -> list[ConsensusAction]:
    """Update the progress of a peer; commit and send more if possible."""
    if message.term > node.term:
        return follow(node, message.term, "", now)
    progress = node.progress_by_peer.get(sender)
    if node.role is not Role.LEADER or progress is None:
        return []
    if message.term < node.term:
        return []
    progress.heard_at = now
    progress.round = max(progress.round, message.round)
    _advance_quorum_round(node)
    if not message.is_accepted:
        progress.next = max(1, min(progress.next - 1, message.match + 1))
        return [records_for(node, sender)]
    progress.match = max(progress.match, message.match)
    progress.next = max(progress.next, progress.match + 1)
    actions = advance_commit(node)
    if progress.next <= last_index(node):
        actions.append(records_for(node, sender))
    return actions


def _advance_quorum_round(node: Node) -> None:
    rounds = sorted(
        node.round if voter == node.id else node.progress_by_peer[voter].round
        for voter in node.group.voters
        if voter == node.id or voter in node.progress_by_peer
    )
    newest = rounds[-(len(node.group.voters) // 2 + 1)]
    if newest in node.round_at:
        node.quorum_at = max(node.quorum_at, node.round_at[newest])
        for number in [n for n in node.round_at if n < newest]:
            del node.round_at[number]


def heartbeat(node: Node, now: float) -> list[ConsensusAction]:
    """Start a heartbeat round and send the next records to every peer."""
    node.heartbeat_at = now + node.timing.heartbeat_s
    node.round += 1
    node.round_at[node.round] = now
    if node.group.voters == (node.id,):
        node.quorum_at = now
    return [records_for(node, peer) for peer in peers(node)]


def records_for(node: Node, peer: str) -> SendTo:
    """Return the message with a peer's next records, or with a snapshot.

    A snapshot is sent if the log no longer holds the record before them.
    """
    progress = node.progress_by_peer[peer]
    previous = progress.next - 1
    previous_term = term_at(node, previous)
    if previous_term is None:
        install = InstallSnapshot(node.term, node.snapshot, node.round)
        progress.next = node.snapshot.index + 1
        return SendTo(peer, install)
    start = previous - node.snapshot.index
    records = tuple(node.log[start : start + RECORDS_PER_MESSAGE])
    # Pipelined: later records may be sent before these are acknowledged.
    progress.next = previous + len(records) + 1
    return SendTo(
        peer,
        AppendRecords(
            node.term,
            previous,
            previous_term,
            records,
            node.commit,
            node.round,
        ),
    )


def append_own(
    node: Node, kind: RecordKind, body: bytes
) -> list[ConsensusAction]:
    """Append a new record to the log of a leader."""
    record = Record(last_index(node) + 1, node.term, kind, body)
    node.log.append(record)
    return [AppendToLog((record,))]


def advance_commit(node: Node) -> list[ConsensusAction]:
    """Commit up to the last record on a quorum, if its term is current."""
    matches = sorted(
        last_index(node)
        if voter == node.id
        else node.progress_by_peer[voter].match
        for voter in node.group.voters
    )
    if not matches:
        return []
    index = matches[-(len(matches) // 2 + 1)]
    if term_at(node, index) != node.term:
        return []
    return commit_to(node, index)


def commit_to(node: Node, index: int) -> list[ConsensusAction]:
    """Advance the commit index and apply the records newly committed."""
    if index <= node.commit:
        return []
    start = node.commit - node.snapshot.index
    end = index - node.snapshot.index
    node.commit = index
    return [Apply(tuple(node.log[start:end]))]
