"""Replicated state machine: concurrent and retried commands, the ledger."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylspool.common.frame import HEADER_BYTES
from berylspool.process.group import change
from berylspool.process.group.change import (
    Configure,
    ControlState,
    apply_change,
    decode_state,
    encode_state,
)
from berylspool.request.ledger import Intend, LedgerDecision, Settle, SettleKind
from berylspool.tests.planted import is_caught
from berylspool.version.configuration import ZoneState
from berylspool.version.operation import (
    CreateZone,
    SetZone,
    operation_codec,
)

CODEC = operation_codec()


def configure(command_id, base, *operations, at=0.0):
    body = CODEC.encode(operations)[HEADER_BYTES:]
    return Configure(command_id, base, body, "text", "who", at)


def test_same_command_gets_the_same_answer_and_is_applied_once():
    state = ControlState()
    change = configure("c1", 0, CreateZone("a"))
    first = apply_change(state, change)
    assert apply_change(state, change) is first
    assert state.configuration.revision == 1


def test_of_two_commands_on_one_revision_one_wins():
    state = ControlState()
    apply_change(state, configure("c1", 0, CreateZone("a")))
    out = SetZone("a", ZoneState.OUT)
    won = apply_change(state, configure("c2", 1, out))
    lost = apply_change(state, configure("c3", 1, CreateZone("b")))
    assert won.is_accepted and not lost.is_accepted
    assert lost.error == "CommandConflictError" and lost.revision == 2


def test_change_that_does_not_fit_changes_nothing():
    state = ControlState()
    answer = apply_change(
        state, configure("c1", 0, CreateZone("a"), CreateZone("a"))
    )
    assert not answer.is_accepted
    assert state.configuration.revision == 0
    assert not state.configuration.zone_by_name


def test_state_survives_a_snapshot():
    state = ControlState()
    apply_change(state, configure("c1", 0, CreateZone("a")))
    apply_change(state, Intend("k", "f", "r1", 1.0))
    apply_change(state, Settle("k", "r1", SettleKind.ANSWERED, b"x"))
    assert decode_state(encode_state(state)) == state


def test_old_keys_are_forgotten():
    state = ControlState()
    apply_change(state, Intend("k", "f", "r1", 0.0))
    apply_change(state, Intend("k2", "f", "r2", 100_000.0))
    assert set(state.entry_by_key) == {"k2"}


class LedgerMachine(RuleBasedStateMachine):
    """Callers send and retry requests under keys; upstreams run granted ones.

    Fails if a request that must not be repeated runs twice.
    """

    def __init__(self):
        super().__init__()
        self.state = ControlState()
        self.sends = 0
        self.granted = {}
        self.ran = {}
        self.said_not_run = set()
        self.outcome_by_key = {}

    @rule(key=st.sampled_from("abc"), fingerprint=st.sampled_from("fg"))
    def caller_sends(self, key, fingerprint):
        self.sends += 1
        request = f"r{self.sends}"
        reply = apply_change(self.state, Intend(key, fingerprint, request, 0.0))
        match reply.decision:
            case LedgerDecision.GRANTED:
                self.granted[request] = key
            case LedgerDecision.RECORDED:
                assert reply.body == self.outcome_by_key[key]

    @rule(pick=st.randoms(use_true_random=False))
    def granted_request_runs(self, pick):
        if not self.granted:
            return
        request = pick.choice(sorted(self.granted))
        key = self.granted.pop(request)
        self.ran[key] = self.ran.get(key, 0) + 1
        if pick.random() < 0.5:
            body = request.encode()
            self.outcome_by_key[key] = body
            apply_change(
                self.state, Settle(key, request, SettleKind.ANSWERED, body)
            )

    @rule(pick=st.randoms(use_true_random=False))
    def granted_request_is_refused(self, pick):
        if not self.granted:
            return
        request = pick.choice(sorted(self.granted))
        key = self.granted.pop(request)
        apply_change(self.state, Settle(key, request, SettleKind.NOT_RUN))

    @rule(pick=st.randoms(use_true_random=False))
    def entry_dies(self, pick):
        if self.granted:
            del self.granted[pick.choice(sorted(self.granted))]

    @rule(key=st.sampled_from("abc"), kind=st.sampled_from(SettleKind))
    def stale_settle_arrives(self, key, kind):
        apply_change(self.state, Settle(key, "r0", kind, b"stale"))

    @rule()
    def state_is_recovered(self):
        self.state = decode_state(encode_state(self.state))

    @invariant()
    def no_key_runs_twice(self):
        assert all(count <= 1 for count in self.ran.values())

    @invariant()
    def one_grant_for_a_key(self):
        keys = list(self.granted.values())
        assert len(keys) == len(set(keys))
        assert not set(keys) & self.ran.keys()


TestLedger = LedgerMachine.TestCase


def grants_again(state, intend):
    known = state.entry_by_key.get(intend.key)
    if known is not None and not known.is_answered:
        del state.entry_by_key[intend.key]
    return REAL_INTEND(state, intend)


def any_settle_clears(state, settle):
    known = state.entry_by_key.get(settle.key)
    if known is not None and settle.kind is SettleKind.NOT_RUN:
        del state.entry_by_key[settle.key]
    return REAL_SETTLE(state, settle)


REAL_INTEND = change._intend
REAL_SETTLE = change._settle


@pytest.mark.parametrize(
    ("name", "replacement"),
    [
        pytest.param("_intend", grants_again, id="grant_on_a_doubt"),
        pytest.param("_settle", any_settle_clears, id="settle_of_another"),
    ],
)
def test_fuzzing_catches_planted_fault(name, replacement, monkeypatch):
    monkeypatch.setattr(change, name, replacement)
    assert is_caught(LedgerMachine)
