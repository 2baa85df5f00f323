"""Only requests that crash upstreams are convicted by the containment."""

from berylspool.version.containment import (
    ANSWER_GRACE_PERIOD_S,
    RETENTION_S,
    Containment,
    adopt,
    expire,
    is_convicted,
    judge,
    note_answer,
    note_loss,
)


def record_losses(state, fingerprint, count, now=0.0):
    for number in range(count):
        note_loss(state, fingerprint, f"u{number}", now)


def test_request_that_every_upstream_is_lost_under_is_convicted_once():
    state = Containment()
    record_losses(state, "f", 5)
    assert judge(state, 1.0) == ["f"]
    assert is_convicted(state, "f") and not is_convicted(state, "g")
    record_losses(state, "f", 5, now=2.0)
    assert judge(state, 3.0) == []


def test_answered_request_is_not_convicted_by_later_losses():
    state = Containment()
    record_losses(state, "f", 2)
    note_answer(state, "f", 1.0)
    record_losses(state, "f", 9, now=2.0)
    assert judge(state, 5.0) == []


def test_answer_within_the_grace_period_prevents_a_conviction():
    state = Containment()
    record_losses(state, "f", 6)
    assert judge(state, ANSWER_GRACE_PERIOD_S / 2) == []
    note_answer(state, "f", ANSWER_GRACE_PERIOD_S / 2)
    assert judge(state, 5.0) == []


def test_repeated_losses_of_one_upstream_do_not_convict():
    state = Containment()
    for number in range(9):
        note_loss(state, "f", "u", float(number))
    assert judge(state, 20.0) == []


def test_convictions_by_other_entries_are_added_once_and_expire():
    state = Containment()
    assert adopt(state, ("f", "g"), 0.0) == ["f", "g"]
    assert adopt(state, ("g",), 1.0) == []
    expire(state, RETENTION_S + 2.0)
    assert not is_convicted(state, "f")
