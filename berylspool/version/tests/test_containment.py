"""Conviction of requests that crash upstreams, and only of those."""

from berylspool.version.containment import (
    ANSWER_GRACE_PERIOD_S,
    RETENTION_S,
    CrashEvidence,
    add_convictions,
    convict,
    expire,
    is_convicted,
    record_answer,
    record_loss,
)


def record_losses(evidence, fingerprint, count, now=0.0):
    for number in range(count):
        record_loss(evidence, fingerprint, f"u{number}", now)


def test_request_that_loses_every_upstream_is_convicted_once():
    evidence = CrashEvidence()
    record_losses(evidence, "f", 5)
    assert convict(evidence, 1.0) == ["f"]
    assert is_convicted(evidence, "f") and not is_convicted(evidence, "g")
    record_losses(evidence, "f", 5, now=2.0)
    assert convict(evidence, 3.0) == []


def test_answered_request_is_not_convicted_by_later_losses():
    evidence = CrashEvidence()
    record_losses(evidence, "f", 2)
    record_answer(evidence, "f", 1.0)
    record_losses(evidence, "f", 9, now=2.0)
    assert convict(evidence, 5.0) == []


def test_answer_within_the_grace_period_prevents_a_conviction():
    evidence = CrashEvidence()
    record_losses(evidence, "f", 6)
    assert convict(evidence, ANSWER_GRACE_PERIOD_S / 2) == []
    record_answer(evidence, "f", ANSWER_GRACE_PERIOD_S / 2)
    assert convict(evidence, 5.0) == []


def test_repeated_losses_of_one_upstream_do_not_convict():
    evidence = CrashEvidence()
    for number in range(9):
        record_loss(evidence, "f", "u", float(number))
    assert convict(evidence, 20.0) == []


def test_convictions_by_other_entries_are_added_once_and_expire():
    evidence = CrashEvidence()
    assert add_convictions(evidence, ("f", "g"), 0.0) == ["f", "g"]
    assert add_convictions(evidence, ("g",), 1.0) == []
    expire(evidence, RETENTION_S + 2.0)
    assert not is_convicted(evidence, "f")
