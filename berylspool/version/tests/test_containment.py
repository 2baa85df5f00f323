"""Only requests that crash upstreams are convicted by the containment."""

from berylspool.version.containment import (
    GRACE_S,
    KEPT_S,
    Containment,
    adopt,
    expire,
    is_convicted,
    judge,
    note_answer,
    note_loss,
)


def lose(state, fingerprint, count, now=0.0):
    for number in range(count):
        note_loss(state, fingerprint, f"u{number}", now)


def test_a_request_that_no_upstream_survives_is_convicted_once():
    state = Containment()
    lose(state, "f", 5)
    assert judge(state, 1.0) == ["f"]
    assert is_convicted(state, "f") and not is_convicted(state, "g")
    lose(state, "f", 5, now=2.0)
    assert judge(state, 3.0) == []


def test_a_request_that_one_upstream_answered_is_innocent():
    state = Containment()
    lose(state, "f", 2)
    note_answer(state, "f", 1.0)
    lose(state, "f", 9, now=2.0)
    assert judge(state, 5.0) == []


def test_upstreams_that_fail_together_convict_nobody_who_is_answered():
    state = Containment()
    lose(state, "f", 6)
    assert judge(state, GRACE_S / 2) == []
    note_answer(state, "f", GRACE_S / 2)
    assert judge(state, 5.0) == []


def test_one_upstream_that_restarts_again_and_again_proves_nothing():
    state = Containment()
    for number in range(9):
        note_loss(state, "f", "u", float(number))
    assert judge(state, 20.0) == []


def test_convictions_of_others_are_taken_over_once_and_fade():
    state = Containment()
    assert adopt(state, ("f", "g"), 0.0) == ["f", "g"]
    assert adopt(state, ("g",), 1.0) == []
    expire(state, KEPT_S + 2.0)
    assert not is_convicted(state, "f")
