"""Only requests that crash upstreams are convicted by the containment."""

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


def record_losses(state, fingerprint, count, now=0.0):
    for number in range(count):
        record_loss(state, fingerprint, f"u{number}", now)


def test_request_that_every_upstream_is_lost_under_is_convicted_once():
    state = CrashEvidence()
    record_losses(state, "f", 5)
    assert convict(state, 1.0) == ["f"]
    assert is_convicted(state, "f") and not is_convicted(state, "g")
    record_losses(state, "f", 5, now=2.0)
    assert convict(state, 3.0) == []


def test_answered_request_is_not_convicted_by_later_losses():
    state = CrashEvidence()
    record_losses(state, "f", 2)
    record_answer(state, "f", 1.0)
    record_losses(state, "f", 9, now=2.0)
    assert convict(state, 5.0) == []


def test_answer_within_the_grace_period_prevents_a_conviction():
    state = CrashEvidence()
    record_losses(state, "f", 6)
    assert convict(state, ANSWER_GRACE_PERIOD_S / 2) == []
    record_answer(state, "f", ANSWER_GRACE_PERIOD_S / 2)
    assert convict(state, 5.0) == []


def test_repeated_losses_of_one_upstream_do_not_convict():
    state = CrashEvidence()
    for number in range(9):
        record_loss(state, "f", "u", float(number))
    assert convict(state, 20.0) == []


def test_convictions_by_other_entries_are_added_once_and_expire():
    state = CrashEvidence()
    assert add_convictions(state, ("f", "g"), 0.0) == ["f", "g"]
    assert add_convictions(state, ("g",), 1.0) == []
    expire(state, RETENTION_S + 2.0)
    assert not is_convicted(state, "f")
