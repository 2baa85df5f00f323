"""Conviction by one entry of requests that crash upstreams, and only those."""

from berylspool.version.containment import entry_evidence
from berylspool.version.containment.entry_evidence import (
    ANSWER_GRACE_PERIOD_S,
    RETENTION_S,
    CrashEvidence,
    apply_holds,
    convict,
    expire,
    is_convicted,
    record_loss,
    record_reply,
)
from berylspool.version.containment.evidence import HeldRequest, Holds
from berylspool.version.containment.reporting import (
    confirm_report,
    next_report_at,
    take_report,
)


def record_losses(evidence, fingerprint, count, now=0.0, gap_s=0.02):
    """Lose one upstream after the other, as a request sent again does."""
    for number in range(count):
        record_loss(evidence, fingerprint, f"u{number}", now + number * gap_s)


def record_answer(evidence, fingerprint, now):
    record_reply(evidence, fingerprint, now, is_answer=True)


def test_request_that_loses_every_upstream_is_convicted_once():
    evidence = CrashEvidence()
    record_losses(evidence, "f", 5)
    assert convict(evidence, 1.0) == ["f"]
    assert is_convicted(evidence, "f") and not is_convicted(evidence, "g")
    record_losses(evidence, "f", 5, now=2.0)
    assert convict(evidence, 3.0) == []


def test_request_that_loses_three_upstreams_in_a_row_is_convicted():
    evidence = CrashEvidence()
    record_losses(evidence, "f", 2)
    assert convict(evidence, 1.0) == []
    record_loss(evidence, "f", "u2", 2.0)
    assert convict(evidence, 3.0) == ["f"]


def test_upstreams_that_fall_together_convict_no_request():
    """Guards against a notice board that is refused after an outage."""
    evidence = CrashEvidence()
    for number in range(9):
        sent_at = -0.02 * number
        record_loss(evidence, "f", f"u{number}", 0.0, sent_at)
    assert convict(evidence, 5.0) == []
    # Two in a row and many others may also be one request of many clients.
    record_loss(evidence, "f", "u9", 0.1, 0.05)
    assert convict(evidence, 5.0) == ["f"]


def test_answered_request_is_not_convicted_by_later_losses():
    evidence = CrashEvidence()
    record_losses(evidence, "f", 2)
    record_answer(evidence, "f", 1.0)
    record_losses(evidence, "f", 9, now=2.0)
    assert convict(evidence, 5.0) == []


def test_answer_within_the_grace_period_prevents_a_conviction():
    evidence = CrashEvidence()
    record_losses(evidence, "f", 6, gap_s=0.0)
    assert convict(evidence, ANSWER_GRACE_PERIOD_S / 2) == []
    record_answer(evidence, "f", ANSWER_GRACE_PERIOD_S / 2)
    assert convict(evidence, 5.0) == []


def test_repeated_losses_of_one_upstream_do_not_convict():
    evidence = CrashEvidence()
    for number in range(9):
        record_loss(evidence, "f", "u", float(number))
    assert convict(evidence, 20.0) == []


def test_error_clears_losses_but_earns_no_trust():
    """Guards against an upstream that fails before it runs the request."""
    evidence = CrashEvidence()
    record_losses(evidence, "f", 2)
    record_reply(evidence, "f", 1.0, is_answer=False)
    record_loss(evidence, "f", "u5", 2.0)
    assert convict(evidence, 4.0) == []
    record_losses(evidence, "f", 2, now=5.0)
    assert convict(evidence, 7.0) == ["f"]


def make_holds(*fingerprints, term=1):
    held = [HeldRequest(f, 2.0, 0, 0.0) for f in fingerprints]
    return Holds(term, tuple(held))


def test_convictions_by_other_entries_are_added_once_and_expire():
    evidence = CrashEvidence()
    confirm_report(evidence, 0.0, 1, 0.0)
    assert apply_holds(evidence, make_holds("f", "g"), 0.0)[0] == ["f", "g"]
    assert apply_holds(evidence, make_holds("f", "g"), 1.0)[0] == []
    assert is_convicted(evidence, "f")
    assert expire(evidence, RETENTION_S + 2.0) == ["f", "g"]
    assert not is_convicted(evidence, "f")


def test_leader_releases_only_what_it_knows_of():
    """Guards against a new leader that has not heard of a crasher yet."""
    evidence = CrashEvidence()
    confirm_report(evidence, 0.0, 1, 0.0)
    apply_holds(evidence, make_holds("f"), 0.0)
    assert confirm_report(evidence, 0.5, 2, 1.0)
    assert apply_holds(evidence, make_holds(term=2), 1.0) == ([], [])
    [report] = take_report(evidence, 1.0)
    assert report.held_lost_at == -2.0
    assert not confirm_report(evidence, 1.0, 2, 1.1)
    assert apply_holds(evidence, make_holds(term=2), 1.1) == ([], ["f"])


def test_reply_is_not_undone_by_a_leader_that_lacks_it():
    evidence = CrashEvidence()
    confirm_report(evidence, 0.0, 1, 0.0)
    apply_holds(evidence, make_holds("f"), 0.0)
    assert record_reply(evidence, "f", 0.1, is_answer=True)
    assert apply_holds(evidence, make_holds("f"), 0.2) == ([], [])
    [report] = take_report(evidence, 0.2)
    assert report.answered_at == 0.1


def test_loss_is_reported_once_it_is_unanswered_and_until_confirmed():
    evidence = CrashEvidence()
    confirm_report(evidence, -1.0, 1, -1.0)
    record_loss(evidence, "f", "u0", 0.0)
    record_loss(evidence, "g", "u0", 0.0)
    assert next_report_at(evidence) == ANSWER_GRACE_PERIOD_S
    record_answer(evidence, "g", 0.1)
    assert take_report(evidence, 0.4) == ()
    assert [r.fingerprint for r in take_report(evidence, 0.5)] == ["f"]
    assert [r.fingerprint for r in take_report(evidence, 0.6)] == ["f"]
    # Nothing wakes the control client for a report that is on its way.
    assert next_report_at(evidence) == float("inf")
    confirm_report(evidence, 0.5, 1, 0.7)
    assert take_report(evidence, 0.8) == ()


def test_full_tables_keep_the_request_that_comes_again(monkeypatch):
    """Guards against a crasher hidden among innocents of a large outage."""
    monkeypatch.setattr(entry_evidence, "MAX_FINGERPRINTS", 400)
    evidence = CrashEvidence()
    record_loss(evidence, "f", "u0", 0.0)
    record_loss(evidence, "f", "u1", 0.1)
    for number in range(2000):
        record_loss(evidence, f"g{number}", "u2", 0.2)
    assert len(evidence.record_by_fingerprint) <= 400
    assert take_report(evidence, 1.0)[0].fingerprint == "f"
