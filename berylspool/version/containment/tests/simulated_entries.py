"""Entries and a leader as data: no sockets, and messages in any order."""

import itertools
import random

from berylspool.version.containment.entry_evidence import (
    CrashEvidence,
    apply_holds,
    convict,
    is_convicted,
    record_failed_trial,
    record_loss,
    record_reply,
)
from berylspool.version.containment.reporting import (
    confirm_report,
    take_report,
)
from berylspool.version.containment.shared_evidence import (
    SharedEvidence,
    add_reports,
    ask_trials,
    make_holds,
)

HEARTBEAT_S = 0.25
TRIAL_S = 10.0


class Entry:
    """One entry; its clock differs from all others.

    Attributes:
        name: Name of the entry.
        evidence: What the entry knows.
    """

    def __init__(self, number):
        self.name = f"e{number}"
        self.evidence = CrashEvidence()
        self.clock_offset_s = 100.0 * number

    def clock(self, now):
        return now + self.clock_offset_s


class Deployment:
    """Entries, a leader, and upstreams that are replaced when they crash.

    Args:
        entries: Number of entries.
        seed: Seed of what is lost and doubled.
        loss_share: Share of reports and grants that are lost.

    Attributes:
        crashes: Times at which an upstream crashed.
        runs: Times and fingerprints of the requests that reached an upstream.
        refused: Times and fingerprints of the requests that were refused.
    """

    def __init__(self, entries, seed=0, loss_share=0.0):
        self.entries = [Entry(number) for number in range(entries)]
        self.random = random.Random(seed)
        self.loss_share = loss_share
        self.shared = SharedEvidence(1)
        self.now = 0.0
        self.next_upstream = itertools.count()
        self.crashes = []
        self.runs = []
        self.refused = []

    def advance(self, seconds):
        """Let time pass, with a heartbeat of each entry at its interval."""
        for _ in range(round(seconds / HEARTBEAT_S)):
            self.now += HEARTBEAT_S
            for entry in self.entries:
                convict(entry.evidence, entry.clock(self.now))
                self.beat(entry)

    def beat(self, entry, wanted=()):
        """Send a heartbeat; return the trials that the grant brings."""
        at = entry.clock(self.now)
        reports = take_report(entry.evidence, at)
        if self.random.random() < self.loss_share:
            return ()
        times = 2 if self.random.random() < self.loss_share else 1
        for _ in range(times):
            add_reports(self.shared, reports, self.now - at)
        trials = ask_trials(self.shared, entry.name, wanted, self.now)
        known = entry.evidence.holds_serial
        holds = make_holds(self.shared, self.now, known)
        if self.random.random() < self.loss_share:
            return ()
        confirm_report(entry.evidence, at, holds.term, at)
        apply_holds(entry.evidence, holds, at)
        return trials

    def elect(self):
        """Replace the leader by one that knows nothing."""
        self.shared = SharedEvidence(self.shared.term + 1)

    def send(self, entry, fingerprint, *, crashes=False, copies=2):
        """Send a request through an entry; return whether it was served."""
        if is_convicted(entry.evidence, fingerprint):
            hold = entry.evidence.hold_by_fingerprint[fingerprint]
            is_due = entry.clock(self.now) >= hold.trial_at
            if not (is_due and self.beat(entry, (fingerprint,))):
                self.refused.append((self.now, fingerprint))
                return False
            copies = 1
        self.runs.append((self.now, fingerprint))
        if not crashes:
            at = entry.clock(self.now)
            record_reply(entry.evidence, fingerprint, at, is_answer=True)
            return True
        for number in range(copies):
            self.lose(entry, fingerprint, self.now + 0.03 * number)
        record_failed_trial(entry.evidence, fingerprint, entry.clock(self.now))
        return False

    def lose(self, entry, fingerprint, lost_at, upstream=None, sent_at=None):
        """Lose an upstream under a request."""
        if upstream is None:
            upstream = f"u{next(self.next_upstream)}"
            self.crashes.append(lost_at)
        if sent_at is None:
            sent_at = lost_at - 0.005
        record_loss(
            entry.evidence,
            fingerprint,
            upstream,
            entry.clock(lost_at),
            entry.clock(sent_at),
        )

    def late_retries(self, fingerprint, contact_window_s=4.0):
        """Return how many runs began after the window of the third crash."""
        if len(self.crashes) < 3:
            return 0
        begin = sorted(self.crashes)[2] + contact_window_s
        return sum(at > begin and f == fingerprint for at, f in self.runs)
