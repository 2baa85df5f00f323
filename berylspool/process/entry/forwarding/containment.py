"""Which requests this entry holds because they may crash upstreams."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from berylspool.common.event import Event, RequestBlamed
from berylspool.common.mailbox import Mailbox
from berylspool.connection.control_message import Grant
from berylspool.process.entry.control_client_message import (
    EvidenceChanged,
    TrialWanted,
)
from berylspool.process.entry.routing_message import BlameReceived
from berylspool.request.query import Reason
from berylspool.version.containment.entry_evidence import (
    CrashEvidence,
    apply_holds,
    convict,
    expire,
    is_convicted,
    record_failed_trial,
    record_loss,
    record_reply,
)
from berylspool.version.containment.evidence import EvidenceReport
from berylspool.version.containment.reporting import (
    confirm_report,
    next_report_at,
    take_report,
)
from berylspool.version.pool.message import (
    Blame,
    ErrorReply,
    ObservedReply,
    RowsReply,
)
from berylspool.version.pool.quarantine import Verdict

__all__ = ["Admission", "Admitted", "Containment", "Held", "OnTrial"]

# Many round trips to the leader.
TRIAL_TIMEOUT_S = 0.1
# Most trials are over by then, and entries have heard of their end.
RETRY_AFTER_TRIAL_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# Time without a grant after which there is no leader to ask.
LEADER_TIMEOUT_S = 3.0
# As long as the leader keeps a trial for this entry.
TRIAL_S = 10.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent."""


@dataclass(frozen=True, slots=True)
class OnTrial:
    """One copy of the request may be sent."""


@dataclass(frozen=True, slots=True)
class Held:
    """The request must not be sent.

    Attributes:
        retry_after_s: Time after which a retry may succeed, in seconds.
    """

    retry_after_s: float


Admission = Admitted | OnTrial | Held
ADMITTED = Admitted()
ON_TRIAL = OnTrial()


class Containment:
    """Holds requests that may crash upstreams, and tries them at times.

    Args:
        clock: Returns the monotonic time in seconds.
        log: Called with each log event.
        get_control_inbox: Returns the inbox of the control client.
        router: Inbox of the entry's router.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        log: Callable[[Event], None],
        get_control_inbox: Callable[[], Mailbox[Any]],
        router: Mailbox[Any],
    ) -> None:
        self.evidence = CrashEvidence()
        self._clock = clock
        self._log = log
        self._get_control_inbox = get_control_inbox
        self._router = router
        self._heard_at = -math.inf
        # Requests that wait for the leader, which gives one trial at a time.
        self._inbox_by_fingerprint: dict[str, Mailbox[bool]] = {}
        self._trial_until: dict[str, float] = {}
        # Trials that run, and those of them that have lost an upstream.
        self._running: set[str] = set()
        self._failed: set[str] = set()

    @property
    def held_count(self) -> int:
        """Number of requests that this entry holds."""
        return len(self.evidence.hold_by_fingerprint)

    @property
    def holds_serial(self) -> int:
        """Serial of what a leader has told, for the next heartbeat."""
        return self.evidence.holds_serial

    def observe(self, observed_reply: ObservedReply) -> None:
        """Record a lost connection or a reply for the request's fingerprint."""
        fingerprint = observed_reply.part.fingerprint
        match observed_reply.reply:
            case ErrorReply(reason=Reason.CONNECTION_LOST):
                now = self._clock()
                record_loss(
                    self.evidence,
                    fingerprint,
                    observed_reply.upstream_id,
                    now,
                    now - observed_reply.latency_s,
                )
                if fingerprint in self._running - self._failed:
                    self._failed.add(fingerprint)
                    record_failed_trial(self.evidence, fingerprint, now)
                self._get_control_inbox().put(EvidenceChanged())
            case RowsReply() | ErrorReply() as reply:
                is_answer = isinstance(reply, RowsReply)
                self._record_reply(fingerprint, is_answer=is_answer)

    def holds(self, fingerprint: str) -> bool:
        """Return whether a request needs a trial to be sent."""
        return is_convicted(self.evidence, fingerprint)

    async def admit(self, fingerprint: str) -> Admission:
        """Return whether a request may be sent, which the leader may know."""
        hold = self.evidence.hold_by_fingerprint.get(fingerprint)
        if hold is None:
            return ADMITTED
        now = self._clock()
        is_busy = (
            fingerprint in self._running
            or fingerprint in self._inbox_by_fingerprint
            or now - self._heard_at > LEADER_TIMEOUT_S
        )
        if now < self._trial_until.get(fingerprint, -math.inf) and not is_busy:
            return self._begin_trial(fingerprint)
        if is_busy or now < hold.trial_at:
            retry_s = max(hold.trial_at - now, RETRY_AFTER_TRIAL_S)
            return Held(min(retry_s, MAX_RETRY_AFTER_S))
        if not await self._ask_for_trial(fingerprint):
            return Held(RETRY_AFTER_TRIAL_S)
        if not self.holds(fingerprint):
            # A reply has released it meanwhile.
            return ADMITTED
        return self._begin_trial(fingerprint)

    async def _ask_for_trial(self, fingerprint: str) -> bool:
        inbox: Mailbox[bool] = Mailbox()
        self._inbox_by_fingerprint[fingerprint] = inbox
        self._get_control_inbox().put(TrialWanted())
        try:
            return any(await inbox.take(TRIAL_TIMEOUT_S))
        finally:
            del self._inbox_by_fingerprint[fingerprint]

    def _begin_trial(self, fingerprint: str) -> OnTrial:
        self._running.add(fingerprint)
        self._tell_pools(fingerprint, Verdict.CLEARED)
        self._log(RequestBlamed(fingerprint, "", Verdict.SUSPECT))
        return ON_TRIAL

    def end_trial(
        self,
        fingerprint: str,
        *,
        is_answered: bool = False,
        is_unsent: bool = False,
    ) -> None:
        """Record the end of a trial.

        Args:
            fingerprint: Fingerprint of the request.
            is_answered: Whether the request was answered.
            is_unsent: Whether no upstream can have run it, so that the next
                request may still be tried.
        """
        self._running.discard(fingerprint)
        self._failed.discard(fingerprint)
        if is_answered:
            # Another entry may have had the replies.
            self._record_reply(fingerprint, is_answer=True)
        elif not is_unsent:
            self._trial_until.pop(fingerprint, None)
        if self.holds(fingerprint):
            self._tell_pools(fingerprint, Verdict.CONVICTED)

    def _record_reply(self, fingerprint: str, *, is_answer: bool) -> None:
        now = self._clock()
        if record_reply(self.evidence, fingerprint, now, is_answer=is_answer):
            self._release([fingerprint])
        if fingerprint in self.evidence.watched:
            # Other entries wait for it.
            self._get_control_inbox().put(EvidenceChanged())

    def next_report_at(self) -> float:
        """Return when there is news for the leader, in monotonic seconds."""
        return next_report_at(self.evidence)

    def take_report(self, now: float) -> tuple[EvidenceReport, ...]:
        """Return what the leader lacks; `now` identifies the report."""
        return take_report(self.evidence, now)

    def wanted_trials(self) -> tuple[str, ...]:
        """Return the fingerprints of requests that wait for the leader."""
        return tuple(self._inbox_by_fingerprint)

    def receive(self, grant: Grant) -> bool:
        """Apply what a leader says.

        Returns:
            Whether the leader lacks something.
        """
        if not grant.holds.term:
            return False
        now = self._heard_at = self._clock()
        lacks_reports = confirm_report(
            self.evidence, grant.sent_at, grant.holds.term, now
        )
        added, released = apply_holds(self.evidence, grant.holds, now)
        self._block(added)
        self._release(released)
        for fingerprint in grant.trials:
            self._trial_until[fingerprint] = now + TRIAL_S
        for fingerprint, inbox in self._inbox_by_fingerprint.items():
            if fingerprint in grant.trials:
                inbox.put(True)
        return lacks_reports

    def maintain(self) -> None:
        """Decide on what no leader has decided, and forget what is old."""
        now = self._clock()
        self._block(convict(self.evidence, now))
        self._release(expire(self.evidence, now))
        self._trial_until = {
            f: until for f, until in self._trial_until.items() if now < until
        }

    def _block(self, fingerprints: list[str]) -> None:
        for fingerprint in fingerprints:
            if fingerprint not in self._running:
                self._tell_pools(fingerprint, Verdict.CONVICTED)
            self._log(RequestBlamed(fingerprint, "", Verdict.CONVICTED))

    def _release(self, fingerprints: list[str]) -> None:
        for fingerprint in fingerprints:
            self._trial_until.pop(fingerprint, None)
            self._tell_pools(fingerprint, Verdict.CLEARED)
            self._log(RequestBlamed(fingerprint, "", Verdict.CLEARED))

    def _tell_pools(self, fingerprint: str, verdict: Verdict) -> None:
        self._router.put(BlameReceived(Blame(fingerprint, "", verdict)))
