"""Replicated state machine: concurrent and retried commands, the ledger."""

import msgpack
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylspool.common.frame import HEADER_BYTES
from berylspool.process.group import state_machine
from berylspool.process.group.state_machine import (
    Configure,
    ControlState,
    apply_change,
    change_codec,
    decode_state,
    encode_state,
)
from berylspool.request.ledger import Intend, LedgerDecision, Settle, SettleKind
from berylspool.tests.fuzzing import fuzzing_finds_failure
from berylspool.version.configuration import ZoneState
from berylspool.version.duty.record import (
    USAGE_REPORT,
    ConfirmUsage,
    DutyHolder,
    RecordUsage,
    TakeDuty,
    UsageRecords,
)
from berylspool.version.operation import (
    CreateZone,
    SetZone,
    operation_codec,
)

OPERATION_CODEC = operation_codec()


def configure(command_id, base, *operations, at=0.0):
    body = OPERATION_CODEC.encode(operations)[HEADER_BYTES:]
    return Configure(command_id, base, body, "text", "who", at)


def test_retried_command_gets_the_same_answer_and_is_applied_once():
    state = ControlState()
    change = configure("c1", 0, CreateZone("a"))
    first = apply_change(state, change)
    assert apply_change(state, change) is first
    assert state.configuration.revision == 1


def test_second_command_on_the_same_revision_conflicts():
    state = ControlState()
    apply_change(state, configure("c1", 0, CreateZone("a")))
    set_zone_out = SetZone("a", ZoneState.OUT)
    first = apply_change(state, configure("c2", 1, set_zone_out))
    second = apply_change(state, configure("c3", 1, CreateZone("b")))
    assert first.is_accepted and not second.is_accepted
    assert second.error == "CommandConflictError" and second.revision == 2


def test_invalid_change_leaves_the_configuration_unchanged():
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


def test_ledger_entries_expire():
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
        self.send_count = 0
        self.key_by_granted_request = {}
        self.run_count_by_key = {}
        self.said_not_run = set()
        self.outcome_by_key = {}

    @rule(key=st.sampled_from("abc"), fingerprint=st.sampled_from("fg"))
    def caller_sends(self, key, fingerprint):
        self.send_count += 1
        request = f"r{self.send_count}"
        reply = apply_change(self.state, Intend(key, fingerprint, request, 0.0))
        match reply.decision:
            case LedgerDecision.GRANTED:
                self.key_by_granted_request[request] = key
            case LedgerDecision.RECORDED:
                assert reply.body == self.outcome_by_key[key]

    @rule(random=st.randoms(use_true_random=False))
    def granted_request_runs(self, random):
        if not self.key_by_granted_request:
            return
        request = random.choice(sorted(self.key_by_granted_request))
        key = self.key_by_granted_request.pop(request)
        self.run_count_by_key[key] = self.run_count_by_key.get(key, 0) + 1
        if random.random() < 0.5:
            body = request.encode()
            self.outcome_by_key[key] = body
            apply_change(
                self.state, Settle(key, request, SettleKind.ANSWERED, body)
            )

    @rule(random=st.randoms(use_true_random=False))
    def granted_request_is_not_run(self, random):
        if not self.key_by_granted_request:
            return
        request = random.choice(sorted(self.key_by_granted_request))
        key = self.key_by_granted_request.pop(request)
        apply_change(self.state, Settle(key, request, SettleKind.NOT_RUN))

    @rule(random=st.randoms(use_true_random=False))
    def entry_crashes_with_a_granted_request(self, random):
        if self.key_by_granted_request:
            del self.key_by_granted_request[
                random.choice(sorted(self.key_by_granted_request))
            ]

    @rule(key=st.sampled_from("abc"), kind=st.sampled_from(SettleKind))
    def stale_settle_arrives(self, key, kind):
        apply_change(self.state, Settle(key, "r0", kind, b"stale"))

    @rule()
    def state_is_recovered(self):
        self.state = decode_state(encode_state(self.state))

    @invariant()
    def no_key_runs_twice(self):
        assert all(count <= 1 for count in self.run_count_by_key.values())

    @invariant()
    def each_key_has_at_most_one_grant(self):
        keys = list(self.key_by_granted_request.values())
        assert len(keys) == len(set(keys))
        assert not set(keys) & self.run_count_by_key.keys()


TestLedger = LedgerMachine.TestCase


def grant_unanswered_key_again(state, intend):
    entry = state.entry_by_key.get(intend.key)
    if entry is not None and not entry.is_answered:
        del state.entry_by_key[intend.key]
    return REAL_INTEND(state, intend)


def settle_for_any_request(state, settle):
    entry = state.entry_by_key.get(settle.key)
    if entry is not None and settle.kind is SettleKind.NOT_RUN:
        del state.entry_by_key[settle.key]
    return REAL_SETTLE(state, settle)


REAL_INTEND = state_machine._apply_intend
REAL_SETTLE = state_machine._apply_settle


@pytest.mark.parametrize(
    ("name", "replacement"),
    [
        pytest.param(
            "_apply_intend",
            grant_unanswered_key_again,
            id="grant_of_unanswered_key",
        ),
        pytest.param(
            "_apply_settle",
            settle_for_any_request,
            id="settle_of_another_request",
        ),
    ],
)
def test_fuzzing_catches_planted_fault(name, replacement, monkeypatch):
    monkeypatch.setattr(state_machine, name, replacement)
    assert fuzzing_finds_failure(LedgerMachine)


DUTY_CHANGES = [
    TakeDuty(USAGE_REPORT, "a", 1, 7),
    TakeDuty(USAGE_REPORT, "b", 2, 9, 4),
    RecordUsage(7, {"x": 2}),
    RecordUsage(8, {}),
    ConfirmUsage(7),
]


def test_duties_survive_the_log_and_a_snapshot():
    # Guards against a node that has another state after a restart.
    body = change_codec().encode(DUTY_CHANGES)[HEADER_BYTES:]
    state = ControlState()
    for change in change_codec().decode(body):
        apply_change(state, change)
    assert state.holder_by_duty == {USAGE_REPORT: DutyHolder("b", 5, 2)}
    assert state.usage == UsageRecords(9, {8: {}}, 7)
    assert decode_state(encode_state(state)) == state


def test_state_of_an_earlier_build_loads_without_duties():
    state = ControlState()
    apply_change(state, configure("c1", 0, CreateZone("a")))
    [[tag, fields]] = msgpack.unpackb(encode_state(state), strict_map_key=False)
    del fields["holder_by_duty"], fields["usage"]
    loaded = decode_state(msgpack.packb([[tag, fields]]))
    assert loaded == state
    for change in DUTY_CHANGES:
        apply_change(loaded, change)
    assert loaded.usage.next_window == 9
